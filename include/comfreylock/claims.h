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

/// At most one run for each once-only key: the claim log at the owner of a
/// partition, and the claims of an entry node.
namespace comfreylock {

/// @return the once-only key of an organisation's order.
std::string OnceOnlyKey(std::string_view organisation,
                        std::string_view route,
                        std::string_view idempotency_key);

/// @return the time inside a version 7 UUID at the end of `key`, if any.
std::optional<WallTime> TimeOfKey(std::string_view key);

/// The claims of one partition at its owner. A claim is granted only after a
/// store transaction that compares the owner key has put it in the log.
class ClaimPartition {
 public:
  /// A message to an entry node.
  struct Reply {
    NodeId node;
    wire::PeerMessage message;
  };
  using Replies = std::vector<Reply>;

  /// Rules that a test can switch off to show that its check finds the fault.
  struct Rules {
    bool compare = true;  ///< Writes compare the owner and the log's end.
  };

  /// @param owner_key store key of the owner record.
  /// @param owner_revision its revision while this node owns the partition.
  ClaimPartition(uint32_t partition,
                 uint64_t epoch,
                 std::string owner_key,
                 int64_t owner_revision,
                 Rules rules);

  /// @param certain whether ownership is confirmed; new claims need it.
  Replies OnRequest(const NodeId& entry,
                    const wire::ClaimRequest& request,
                    bool certain,
                    WallTime wall);
  Replies OnResult(const NodeId& entry, const wire::ClaimResult& result);
  Replies OnReleased(const NodeId& entry, const wire::ClaimReleased& released);

  /// @return the next store request, if one is due and none is running.
  std::optional<StoreRequest> Advance(TimePoint now, WallTime wall);

  /// Takes the answer to the last store request.
  Replies OnStoreAnswer(const StoreResult& result);

  bool ready() const { return phase_ != Phase::kLoading; }
  /// The owner key has changed; this object does nothing more.
  bool lost() const { return phase_ == Phase::kLost; }
  size_t size() const { return index_.size(); }

 private:
  enum class Phase { kLoading, kIdle, kWriting, kDoubtful, kReading, kLost };
  enum class State {
    kQueued,   ///< Not in the log yet.
    kClaimed,  ///< In the log; may be dispatched.
    kClosing,  ///< A result or release is queued.
    kDone,     ///< Has a result, or its outcome stays unknown.
  };
  struct Record {
    wire::ClaimRecord data;
    State state = State::kQueued;
    /// The entry may still report a result to this owner.
    bool live = true;
  };
  struct Batch {
    uint64_t sequence = 0;
    std::string value;
    std::vector<wire::ClaimRecord> records;
    std::vector<uint64_t> deleted;
  };

  static bool SameClaim(const wire::ClaimRecord& record,
                        const NodeId& entry,
                        uint64_t incarnation,
                        uint64_t claim);
  Reply Answer(const Record& record) const;
  Reply AnswerResend(const NodeId& entry,
                     const wire::ClaimRequest& request,
                     const Record& record) const;
  std::string BatchKey(uint64_t sequence) const;
  void Load(const StoreRangeResult& range);
  void Index(const wire::ClaimRecord& record, bool live);
  StoreTransaction MakeWrite() const;
  void MakeBatch(WallTime wall);
  Replies FinishBatch();
  void RememberBatch(uint64_t sequence,
                     const std::vector<wire::ClaimRecord>& records);
  void Forget(WallTime wall);
  Replies Lose();

  uint32_t partition_;
  uint64_t epoch_;
  std::string owner_key_;
  int64_t owner_revision_;
  Rules rules_;
  Phase phase_ = Phase::kLoading;
  bool asked_ = false;    ///< A store request is running.
  bool refused_ = false;  ///< The doubtful write failed its compares.
  TimePoint next_;        ///< Earliest time of the next store request.
  std::string load_from_;
  uint64_t next_sequence_ = 1;
  std::unordered_map<std::string, Record> index_;
  size_t index_bytes_ = 0;
  std::deque<wire::ClaimRecord> queue_;
  Batch batch_;
  /// Batches whose records will all be forgotten, by the last such time.
  std::multimap<WallTime, uint64_t> batch_ends_;
  std::multimap<WallTime, std::string> key_ends_;
};

/// The claims of one entry node. It dispatches a call at most once for each
/// claim, and releases a claim only if no target can have started the call.
class ClaimTracker {
 public:
  /// A message for the owner of a partition.
  struct Outgoing {
    uint32_t partition = 0;
    wire::PeerMessage message;
  };
  using Messages = std::vector<Outgoing>;

  /// What a call has to do now.
  struct Decision {
    CallId call;
    bool dispatch = false;
    std::optional<wire::StoredAnswer> answer;  ///< Replay this.
    Reason reason = Reason::kNone;             ///< Refuse with this.
    Outcome outcome = Outcome::kNotRun;
  };
  using Decisions = std::vector<Decision>;

  explicit ClaimTracker(uint64_t incarnation) : incarnation_(incarnation) {}

  /// Starts to claim `key` for a call. Messages come with the next Advance.
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
  /// The owner has changed: asks again at once.
  void OnNotOwner(const wire::NotOwner& not_owner, TimePoint now);

  /// The call surely never started and never will: a resend may run.
  void Release(CallId call, TimePoint now);

  /// The call was dispatched and has ended.
  /// @param answer absent if it is not known what happened.
  void Report(CallId call,
              const std::optional<wire::StoredAnswer>& answer,
              TimePoint now);

  /// Decides about calls out of time, and appends messages that are due.
  Decisions Advance(TimePoint now, Messages& messages);

  /// @return whether results or releases are still to be acknowledged.
  bool busy() const;

 private:
  enum class State { kAsking, kDispatched, kReleasing, kReporting };
  struct Claim {
    CallId call;
    uint32_t partition = 0;
    std::string key;
    std::string body_digest;
    State state = State::kAsking;
    bool seen_elsewhere = false;  ///< Another claim of the key is in progress.
    std::optional<wire::StoredAnswer> answer;
    TimePoint deadline;
    TimePoint next;
    TimePoint closed;  ///< Kept until then, to answer late grants.
  };

  Claim* Find(uint64_t claim, uint64_t incarnation);
  Claim* FindCall(CallId call);
  void Close(Claim& claim, State state, TimePoint now);
  wire::PeerMessage MessageFor(uint64_t id, const Claim& claim) const;

  uint64_t incarnation_;
  uint64_t last_claim_ = 0;
  std::map<uint64_t, Claim> claims_;
  std::unordered_map<CallId, uint64_t> by_call_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CLAIMS_H_
