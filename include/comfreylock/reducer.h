#ifndef COMFREYLOCK_REDUCER_H_
#define COMFREYLOCK_REDUCER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreylock/admission.h"
#include "comfreylock/bundle.h"
#include "comfreylock/bundle_head.h"
#include "comfreylock/claims.h"
#include "comfreylock/effects.h"
#include "comfreylock/events.h"
#include "comfreylock/goodput.h"
#include "comfreylock/membership.h"
#include "comfreylock/partition.h"
#include "comfreylock/policy.h"
#include "comfreylock/quarantine.h"
#include "comfreylock/rate.h"
#include "comfreylock/retry.h"
#include "comfreylock/routing.h"
#include "comfreylock/shedding.h"
#include "comfreylock/throttle.h"
#include "comfreylock/types.h"

/// The reducer makes all decisions of one node: it maps events to effects. It
/// reads no clock, owns no socket, and its only source of randomness is seeded
/// at construction.
namespace comfreylock {

/// Identity of a node, from its settings.
struct NodeIdentity {
  NodeId node;
  std::string service;
  std::string zone;
  std::string peer_address;     ///< IP:PORT of the peer listener.
  std::string control_address;  ///< IP:PORT of the control listener.
  uint64_t incarnation = 1;     ///< Increases with each start of this node.
  uint64_t seed = 1;
  /// Control addresses of the peers that are contacted first.
  std::vector<std::string> seed_addresses;
  Policy policy = Policy::kStandard;
  OperatorKeys operators;  ///< Their signatures put a bundle in force.
};

/// Status for the operator listener and for each recorded decision, so it must
/// be cheap to build.
struct NodeStatus {
  uint64_t bundle_version = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;
  uint32_t shed_level = 0;
  size_t members = 0;
  size_t calls = 0;
  bool draining = false;
  bool store_reached = false;  ///< The last store request succeeded.
};

/// The state of one node.
class NodeReducer {
 public:
  NodeReducer(NodeIdentity identity, TimePoint now);
  ~NodeReducer();
  NodeReducer(const NodeReducer&) = delete;
  NodeReducer& operator=(const NodeReducer&) = delete;

  /// Processes one event. Event times must not decrease.
  /// @return what the runtime has to do, in order.
  Effects Reduce(const Event& event);

  /// @return the bundle in force, or null if there is none yet.
  const Bundle* bundle() const { return bundle_.get(); }

  /// @return the partition owners known to this node.
  const PartitionTable& partitions() const { return partitions_; }

  /// @return all members known to this node, also those that left or died.
  const Membership& membership() const { return membership_; }

  /// @return whether this node is cut off from the fleet, so that it may have
  /// missed the withdrawal of keys; it then serves no routes that need a key.
  bool IsIsolatedFromFleet() const { return membership_.IsIsolated(now_); }

  NodeStatus status() const;

  /// @return complete answers and refusals of each organisation at this node.
  const Goodput& goodput() const { return goodput_; }

  /// @return the report that goes with the answer to `work`.
  wire::AnswerReport ReportFor(WorkId work) const;

 private:
  /// A caller's request at its entry node.
  struct Call {
    CallId id;
    RequestSummary request;
    std::string route;
    std::string service;
    std::string organisation;
    std::string key_id;
    uint32_t importance = 0;
    uint32_t depth = 0;
    ChainBudget budget;
    bool once_only = false;
    TimePoint deadline;
    WorkId parent;         ///< Set for onward calls.
    uint32_t attempt = 0;  ///< Number of the last attempt; 0 before the first.
    NodeId node;           ///< Receiver of the last attempt.
    std::vector<NodeId> tried_nodes;
    bool may_have_run = false;
    bool key_refused = false;  ///< Refused because its key was withdrawn.
    bool abandoned = false;    ///< Caller disconnected or parent work ended.
    bool refused = false;      ///< A refusal was sent; no other answer follows.
    int status = 0;            ///< Of the answer sent to the caller.
    std::string fingerprint;
    /// May crash targets. A target runs at most one suspect at a time.
    bool suspect = false;
    uint32_t crashes = 0;  ///< Suspected target crashes in earlier attempts.
    /// Attempts repeated without using the retry budget, since they reached no
    /// target.
    uint32_t reroutes = 0;
  };

  /// A request at this host's target.
  struct Work {
    wire::CallContext context;
    TimePoint deadline;
    bool started = false;
    std::string target_request_id;  ///< Request id sent to the target.
    ChainBudget budget;
    std::set<CallId> onward_calls;  ///< In progress.
    bool downstream_overload = false;
    bool crash_recorded = false;
    /// Since when at least one onward call has been running.
    TimePoint onward_started_at;
    /// Total of the earlier periods with onward calls.
    std::chrono::microseconds downstream_time{0};
  };

  // Each handler appends to effects_.
  void Handle(const CallArrived& event);
  void Handle(const AttemptEnded& event);
  void Handle(const CallerDisconnected& event);
  void Handle(const CallFinished& event);
  void Handle(const WorkArrived& event);
  void Handle(const WorkEnded& event);
  void Handle(const WorkCancelled& event);
  void Handle(const PeerMessageReceived& event);
  void Handle(const StoreAnswered& event);
  void Handle(const Tick& event);
  void Handle(const DrainRequested& event);

  // Calls at their entry node.
  /// Sets route, organisation, importance and deadline of a call.
  /// @return `kNone`, or why the call is refused.
  Reason Classify(Call& call);
  Reason ClassifyOnward(Call& call);
  Reason Authenticate(Call& call, const RouteRule& route);
  void DispatchCall(Call& call, std::chrono::milliseconds delay);
  /// Checks quarantine, shed level and throttle before the call uses other
  /// resources. @return `kNone`, or why the call is refused.
  Reason EarlyRefusal(Call& call);
  /// Reports the end of an admitted call to the throttle.
  void CountForThrottle(const Call& call, bool overloaded);
  bool IsShed(const Call& call);
  /// @return the shed level of `service`, from its targets or other services.
  uint32_t ShedLevelOf(std::string_view service) const;
  double WeightOf(const std::string& organisation) const;
  void RecordAttempt(Call& call, const AttemptEnded& event);
  void OnCrashSuspected(Call& call);
  /// Counts the attempt if it reached no target.
  /// @return whether it may be repeated without using the retry budget.
  bool UseFreeReroute(Call& call, const AttemptEnded& event) const;
  bool CanRetry(const Call& call, const AttemptEnded& event) const;
  void Retry(Call& call);
  void Abandon(Call& call);
  void RecordGoodput(const Call& call, bool complete);
  void FailCall(Call& call, const AttemptEnded& event);
  void Refuse(Call& call, Reason reason, Outcome outcome);

  // Rate (reducer_rate.cc) and claims (reducer_claims.cc).
  /// State of a partition that this node owns.
  struct OwnedPartition {
    uint64_t epoch = 0;
    RateAllocator rate;
    ClaimPartition claims;
    bool members_read = false;
    TimePoint next_member_read_at;
  };
  /// Local token bucket of the policy `kNaive`.
  struct NaiveBucket {
    double tokens = 0;
    TimePoint refilled_at;
    /// Consumes a token. @return whether one was available.
    bool TryConsume(double rate, double burst, TimePoint now);
  };
  void AdmitCall(Call& call);
  void AdmitNaively(Call& call);
  /// Notifies the allocators that a node has stopped admitting calls.
  void ReclaimShares(const NodeId& node, uint64_t incarnation);
  void OnRateDecision(Call& call, RateLimiter::Decision decision);
  void ClaimCall(Call& call);
  /// Releases the claim of a refused call, or, if the call may have run,
  /// reports its outcome as unknown.
  void CloseClaim(const Call& call);
  void RecordAnswer(const Call& call, const AttemptEnded& event);
  void Apply(const ClaimTracker::Decisions& decisions);
  /// @return null unless this node owns the partition and has its state.
  OwnedPartition* FindOwnedPartition(uint32_t partition);
  void SyncOwnedPartitions();
  void ReadMembersFor(uint32_t partition, OwnedPartition& owned);
  void AdvanceRate();
  void AdvanceClaims();
  void SendShareRequests(const RateLimiter::Requests& requests);
  void SendClaimMessages();
  void SendClaimReplies(ClaimPartition::Replies replies);
  void SendToNode(const NodeId& node, wire::PeerMessage message);
  void SendToOwner(uint32_t partition, wire::PeerMessage message);
  void SendNotOwner(const NodeId& to,
                    uint32_t partition,
                    uint64_t claim,
                    uint64_t incarnation);
  void HandlePeerMessage(const NodeId& from, const wire::PeerMessage& message);
  void OnShareRequest(const NodeId& from, const wire::PeerMessage& message);
  void OnShareGrant(const NodeId& from, const wire::PeerMessage& message);
  void OnNotOwner(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimRequest(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimResult(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimReleased(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimGranted(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimRefused(const NodeId& from, const wire::PeerMessage& message);
  void OnClaimAcknowledged(const NodeId& from,
                           const wire::PeerMessage& message);

  // Requests at the target.
  void Apply(const AdmissionDecisions& changes);
  void Reject(WorkId work, Reason reason);
  void RecordCrash();
  void CancelOnwardCalls(const Work& work);
  void AddShedLevels(wire::AnswerReport& report) const;
  std::chrono::microseconds DownstreamTime(const Work& work) const;
  wire::AnswerReport Report(const Work& work) const;

  // Bundle.
  /// @return whether this node watches the bundle head in the store: it is an
  /// elected watcher and is not draining.
  bool IsStoreWatcher() const;
  void ReadBundle();
  void OnBundleRead(StoreResult result);
  void OnBundleChanged(StoreResult result);
  void OnBundlePartRead(StoreResult result);
  void OfferBundleHead(std::string_view document,
                       std::string_view origin,
                       TimePoint next_part_read_at);
  void AssembleBundle();
  void ApplyBundle(Bundle bundle);
  void AdvanceBundle();
  void AdvertiseBundleVersion(size_t peers);
  void RequestBundleParts(const NodeId& node, const std::string& address);
  void OnBundleVersionAdvertised(const wire::Rumours& gossip,
                                 const PeerMessageReceived& event);
  void OnBundleHead(const PeerMessageReceived& event);
  void OnBundlePartRequest(const PeerMessageReceived& event);
  void OnBundlePart(const PeerMessageReceived& event);
  /// @return whether the call's key is still in the bundle.
  bool IsKeyInForce(const Call& call) const;
  void RefuseWithdrawnKeys();

  // Fleet.
  using StoreHandler = std::function<void(const StoreResult&)>;
  StoreRequestId SendStoreRequest(
      StoreRequest request,
      StoreHandler handler,
      std::chrono::milliseconds timeout = std::chrono::seconds(1));
  void SendStoreRequest(StoreRequest request,
                        void (NodeReducer::*handler)(StoreResult));
  void RetryFailedReads();
  void RegisterMember();
  void AdvanceMembers();
  void ReadMembers();
  void OnMembersRead(const StoreResult& result);
  void OnMembersChanged(const StoreResult& result);
  void Apply(MembershipChanges changes);
  void ApplyMember(const wire::Member& member);
  void RemoveOldRecords();
  void RemoveRecord(const wire::Member& member);
  void UpdateMemberFromStore(const StoreEntry& entry, bool deleted);
  void StartStoreReads();
  /// @return whether this node is among those of its zone that watch the store.
  bool IsElectedWatcher() const;
  /// Ends the process once a drain was requested and no request is left.
  void FinishDrain();

  // Ownership of partitions (reducer_partition.cc).
  struct Ownership {
    int64_t lease = 0;       ///< 0: this node holds no lease.
    TimePoint confirmed_at;  ///< Send time of the last successful renewal.
    TimePoint next_renewal_at;
    TimePoint next_read_at;
    std::chrono::milliseconds read_delay{0};
    bool requesting_lease = false;
    bool renewing = false;
    bool reading = false;
    bool released = false;  ///< Set by a drain, which ends all acquisitions.
    bool releasing = false;
    std::set<uint32_t> acquiring;  ///< Partitions with a pending acquisition.
  };
  static std::string OwnerKey(uint32_t partition);
  void AdvancePartitions();
  void RequestLease();
  void RenewLease();
  void OnLeaseLost();
  void ReadOwners();
  void OnOwnersRead(const StoreRangeResult& range);
  void AcquirePartition(uint32_t partition, int64_t history_revision);
  void RecordOwnPartition(uint32_t partition,
                          int64_t revision,
                          bool is_first_owner);
  void ReleasePartitions();
  /// Reads the owner keys at once if the node owned partitions, since it may
  /// have released them.
  void OnOwnerUnavailable(const NodeId& node);
  /// @return whether this node ranks first for the partition among the live
  /// nodes (rendezvous hashing).
  bool IsPreferredOwnerOf(uint32_t partition) const;
  bool CanOwnPartitions(const NodeId& node) const;
  void UpdateOwner(uint32_t partition, const PartitionOwner& owner);
  void UpdateOwner(const wire::PartitionOwner& owner);
  /// Sends the quarantine entries to some members.
  void PushQuarantine(const NodeId& except);
  void PushGossip(wire::Rumours gossip, const NodeId& except);

  NodeIdentity identity_;
  std::mt19937_64 random_;
  TimePoint now_;
  WallTime wall_now_{};
  Effects effects_;

  std::shared_ptr<const Bundle> bundle_;
  BundleAssembler bundle_assembler_;
  TimePoint next_bundle_advertisement_at_;
  TimePoint next_part_read_at_;
  TimePoint next_part_request_at_;
  uint64_t requested_version_ = 0;
  std::unique_ptr<Admission> admission_;
  Router router_;
  std::unique_ptr<RetryPolicy> retry_;
  EntryThrottle throttle_;
  ShedLevelTable shed_table_;
  std::map<std::string, DemandMeter, std::less<>> demand_by_service_;
  Quarantine quarantine_;
  Goodput goodput_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<WorkId, Work> works_;
  std::unordered_map<std::string, WorkId> work_by_request_;
  /// Members that are alive or suspect.
  std::map<NodeId, wire::Member> members_;
  Membership membership_;
  PartitionTable partitions_;
  RateLimiter rate_limiter_;
  ClaimTracker claim_tracker_;
  std::map<uint32_t, std::unique_ptr<OwnedPartition>> owned_partitions_;
  Ownership ownership_;

  uint64_t last_store_request_ = 0;
  struct PendingStoreRequest {
    StoreHandler handler;
    std::optional<StoreRange> read;  ///< Set for reads, which are retried.
    std::chrono::milliseconds timeout{0};
    uint32_t retry_count = 0;
    TimePoint next_try_at;
  };
  std::unordered_map<StoreRequestId, PendingStoreRequest>
      pending_store_requests_;
  std::vector<PendingStoreRequest> failed_reads_;  ///< To be retried.
  TimePoint next_store_try_at_;
  bool registered_ = false;  ///< The store has the record of this node.
  bool registering_ = false;
  bool watching_head_ = false;  ///< Reads or watches the bundle head.
  bool head_read_ = false;      ///< The head was read at least once.
  StoreRequestId bundle_watch_;
  bool store_reached_ = false;
  /// Reads and watches of the store's member list.
  struct MemberReads {
    bool has_read = false;
    bool reading = false;
    std::set<NodeId> stored;  ///< Nodes with a record at the last read.
    StoreRequestId watch;
    TimePoint next_check_at;
    TimePoint next_cleanup_at;
    /// Nodes whose old record is no longer in the store, with the incarnation
    /// of that record.
    std::map<NodeId, uint64_t> removed;
  };
  MemberReads member_reads_;
  std::map<std::string, NaiveBucket, std::less<>> naive_buckets_;
  bool draining_ = false;
  TimePoint exit_at_;
  TimePoint drain_started_at_;
  bool exited_ = false;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_REDUCER_H_
