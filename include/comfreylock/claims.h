#ifndef COMFREYLOCK_CLAIMS_H_
#define COMFREYLOCK_CLAIMS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreylock/store.h"
#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Once-only routes: at most one run for each once-only key. The owner of a
/// partition keeps the claim log (ClaimPartition); an entry node claims the
/// keys of its calls (ClaimTracker).
namespace comfreylock {

/// @return the once-only key of a call: organisation, route and idempotency
/// key.
std::string OnceOnlyKey(std::string_view organisation,
                        std::string_view route,
                        std::string_view idempotency_key);

/// @return the timestamp in the idempotency key at the end of `key`, if that is
/// a version 7 UUID.
std::optional<WallTime> TimeOfKey(std::string_view key);

/// The claims of one partition at its owner. A claim is granted only after a
/// store transaction has written it to the log. The transaction compares the
/// revision of the owner record, so it fails once another node is the owner.
class ClaimPartition {
 public:
  /// A message to an entry node.
  struct Reply {
    NodeId node;
    wire::PeerMessage message;
  };
  using Replies = std::vector<Reply>;

  /// Safety rules. A test disables the rule to prove that it detects the fault
  /// that the rule prevents.
  struct Rules {
    /// A write fails if the owner record changed or the log already has its
    /// batch.
    bool compare = true;
  };

  /// @param owner_key store key of the owner record.
  /// @param owner_revision its revision while this node owns the partition.
  ClaimPartition(uint32_t partition,
                 uint64_t epoch,
                 std::string owner_key,
                 int64_t owner_revision,
                 Rules rules);

  /// @param ownership_confirmed otherwise new claims are refused.
  Replies OnRequest(const NodeId& entry,
                    const wire::ClaimRequest& request,
                    bool ownership_confirmed,
                    WallTime wall);
  Replies OnResult(const NodeId& entry, const wire::ClaimResult& result);
  Replies OnReleased(const NodeId& entry, const wire::ClaimReleased& released);

  /// @return the next store request, if one is due and none is running.
  std::optional<StoreRequest> Advance(TimePoint now, WallTime wall);

  /// Handles the answer to the last store request.
  Replies OnStoreAnswer(const StoreResult& result);

  /// @return whether the log has been read.
  bool IsLoaded() const { return phase_ != Phase::kLoading; }
  /// @return whether another node has taken the partition over; this object
  /// then ignores all further input.
  bool IsLost() const { return phase_ == Phase::kLost; }
  size_t size() const { return index_.size(); }

 private:
  /// Phases of the log. In kWriteUncertain the batch may or may not have been
  /// written; kReadingBack reads it to find out.
  enum class Phase {
    kLoading,
    kIdle,
    kWriting,
    kWriteUncertain,
    kReadingBack,
    kLost
  };
  enum class State {
    kQueued,   ///< Not in the log yet.
    kClaimed,  ///< In the log; the entry may dispatch the call.
    kClosing,  ///< A result or release is queued.
    kDone,     ///< Has a result, or its outcome is unknown.
  };
  struct Record {
    wire::ClaimRecord data;
    State state = State::kQueued;
    /// The claim was made at this owner, so the entry may still report a result
    /// here; false if it was read from the log of a former owner.
    bool claimed_here = true;
  };
  struct Batch {
    uint64_t sequence = 0;
    std::string value;
    std::vector<wire::ClaimRecord> records;
    std::vector<uint64_t> deleted;  ///< Expired batches that the write deletes.
  };

  static bool IsSameClaim(const wire::ClaimRecord& record,
                          const NodeId& entry,
                          uint64_t incarnation,
                          uint64_t claim);
  Reply MakeGrant(const Record& record) const;
  Reply MakeResendReply(const NodeId& entry,
                        const wire::ClaimRequest& request,
                        const Record& record) const;
  std::string BatchKey(uint64_t sequence) const;
  void Load(const StoreRangeResult& range);
  void IndexRecord(const wire::ClaimRecord& record, bool claimed_here);
  StoreTransaction MakeWrite() const;
  void MakeBatch(WallTime wall);
  Replies FinishBatch();
  void RecordBatchExpiry(uint64_t sequence,
                         const std::vector<wire::ClaimRecord>& records);
  void ExpireRecords(WallTime wall);
  Replies MarkLost();

  uint32_t partition_;
  uint64_t epoch_;
  std::string owner_key_;
  int64_t owner_revision_;
  Rules rules_;
  Phase phase_ = Phase::kLoading;
  bool store_request_pending_ = false;
  bool compares_failed_ = false;  ///< The uncertain write failed its compares.
  TimePoint next_request_at_;     ///< Earliest time of the next store request.
  std::string load_from_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<std::string, Record> index_;
  size_t index_bytes_ = 0;
  std::deque<wire::ClaimRecord> queue_;
  Batch batch_;
  /// Batches whose records all expire, by the last expiry time. Batches that
  /// hold a key without timestamp are kept.
  std::multimap<WallTime, uint64_t> batch_expiry_;
  std::multimap<WallTime, std::string> key_expiry_;
};

/// The claims of one entry node. A call is dispatched at most once for each
/// claim, and a claim is released only if no target can have started the call.
class ClaimTracker {
 public:
  /// A message for the owner of a partition.
  struct Outgoing {
    uint32_t partition = 0;
    wire::PeerMessage message;
  };
  using Messages = std::vector<Outgoing>;

  /// How a call proceeds: dispatch, replay or refusal.
  struct Decision {
    CallId call;
    bool dispatch = false;
    std::optional<wire::StoredAnswer> answer;  ///< To replay.
    Reason reason = Reason::kNone;             ///< Of a refusal.
    Outcome outcome = Outcome::kNotRun;
  };
  using Decisions = std::vector<Decision>;

  explicit ClaimTracker(uint64_t incarnation) : incarnation_(incarnation) {}

  /// Starts to claim `key` for a call. The next Advance returns the request.
  void Start(CallId call,
             uint32_t partition,
             const std::string& key,
             const std::string& body_digest,
             TimePoint now,
             TimePoint deadline);

  Decisions OnGranted(const wire::ClaimGranted& granted, TimePoint now);
  Decisions OnRefused(const wire::ClaimRefused& refused, TimePoint now);
  void OnAcknowledged(const wire::ClaimAcknowledged& acknowledged,
                      TimePoint now);
  /// Resends the claim's message half an interval earlier, as its receiver was
  /// not the owner.
  void OnNotOwner(const wire::NotOwner& not_owner, TimePoint now);

  /// Releases the claim, so that a resend may run. Only for a call that has not
  /// started and will not start.
  void Release(CallId call, TimePoint now);

  /// Reports the result of a call that was dispatched and has ended.
  /// @param answer absent if the outcome is unknown.
  void Report(CallId call,
              const std::optional<wire::StoredAnswer>& answer,
              TimePoint now);

  /// Decides on calls whose deadline has passed, and appends messages that are
  /// due.
  Decisions Advance(TimePoint now, Messages& messages);

  /// @return whether a result has not been acknowledged yet; releases do not
  /// count.
  bool HasUnacknowledgedResults() const;

 private:
  enum class State { kRequesting, kDispatched, kReleasing, kReporting };
  struct Claim {
    CallId call;
    uint32_t partition = 0;
    std::string key;
    std::string body_digest;
    State state = State::kRequesting;
    /// The owner reported another claim of the key in progress.
    bool claimed_elsewhere = false;
    std::optional<wire::StoredAnswer> answer;
    TimePoint deadline;
    TimePoint next_send_at;
    TimePoint keep_until;  ///< If released, to release late grants again.
  };

  Claim* Find(uint64_t claim, uint64_t incarnation);
  Claim* FindByCall(CallId call);
  void Close(Claim& claim, State state, TimePoint now);
  wire::PeerMessage MessageFor(uint64_t id, const Claim& claim) const;

  uint64_t incarnation_;
  uint64_t last_claim_ = 0;
  std::map<uint64_t, Claim> claims_;
  std::unordered_map<CallId, uint64_t> by_call_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CLAIMS_H_
