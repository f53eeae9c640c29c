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

/// The reducer: all decisions of one node, as a function from events to
/// effects. It reads no clock, owns no socket, and its only source of
/// randomness is seeded at construction.
namespace comfreylock {

/// What a node knows of itself, from its settings.
struct NodeIdentity {
  NodeId node;
  std::string service;
  std::string zone;
  std::string peer_address;     ///< IP:PORT of the data listener.
  std::string control_address;  ///< IP:PORT of the control listener.
  uint64_t incarnation = 1;     ///< Greater at each start of this node.
  uint64_t seed = 1;
  std::vector<std::string> seeds;  ///< Control addresses of first peers.
  Policy policy = Policy::kStandard;
  OperatorKeys operators;  ///< Whose signatures put bundles in force.
};

/// Figures for the operator's listener. Cheap: read for each decision.
struct NodeStatus {
  uint64_t bundle_version = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;
  uint32_t shed_level = 0;
  size_t members = 0;
  size_t calls = 0;
  bool draining = false;
  bool store_reached = false;  ///< The store's last answer was no failure.
};

/// The state of one node.
class Node {
 public:
  Node(NodeIdentity identity, TimePoint now);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Takes one event. Times must not go backwards.
  /// @return what the shell has to do, in order.
  Effects Reduce(const Event& event);

  /// @return the bundle in force, or null before the first.
  const Bundle* bundle() const { return bundle_.get(); }

  /// @return the owners of partitions that this node knows.
  const PartitionTable& partitions() const { return partitions_; }

  /// @return all members that this node knows, also those that are gone.
  const Membership& membership() const { return membership_; }

  /// @return whether this node may have missed withdrawn keys because it is
  /// cut off; it then serves no keyed routes.
  bool IsolatedFromFleet() const { return membership_.Isolated(now_); }

  NodeStatus status() const;

  /// @return whole answers and refusals of each organisation at this entry.
  const Goodput& goodput() const { return goodput_; }

  /// @return the report that goes with the answer to `work`.
  wire::AnswerReport ReportFor(WorkId work) const;

 private:
  /// A caller's request at its entry.
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
    WorkId parent;  ///< Set for onward calls.
    uint32_t attempt = 0;
    NodeId node;
    std::vector<NodeId> tried;
    bool may_have_run = false;
    bool key_refused = false;
    bool abandoned = false;  ///< The caller or the parent work is gone.
    bool refused = false;    ///< Already answered; nothing follows.
    int status = 0;          ///< Of the answer that is passed on.
    std::string fingerprint;
    bool suspect = false;  ///< An attempt crashed a target.
    uint32_t crashes = 0;
    uint32_t reroutes = 0;  ///< Attempts that reached no target.
  };

  /// A request at this host's target.
  struct Work {
    wire::CallContext context;
    TimePoint deadline;
    bool started = false;
    std::string target_request_id;  ///< What the target was given.
    ChainBudget budget;
    std::set<CallId> onward_calls;  ///< In progress.
    bool downstream_overload = false;
    bool crash_recorded = false;
    TimePoint onward_since;                   ///< When the first of them began.
    std::chrono::microseconds downstream{0};  ///< Spent on ended onward calls.
  };

  // Each handler appends to effects_.
  void On(const CallArrived& event);
  void On(const AttemptEnded& event);
  void On(const CallerGone& event);
  void On(const CallFinished& event);
  void On(const WorkArrived& event);
  void On(const WorkEnded& event);
  void On(const WorkCancelled& event);
  void On(const PeerMessageReceived& event);
  void On(const StoreAnswered& event);
  void On(const Tick& event);
  void On(const DrainRequested& event);

  // Calls at their entry.
  /// Fills route, organisation, importance and deadline of a call.
  /// @return `kNone`, or why the call is refused.
  Reason Classify(Call& call);
  Reason ClassifyOnward(Call& call);
  Reason Authenticate(Call& call, const RouteRule& route);
  void DispatchCall(Call& call, std::chrono::milliseconds delay);
  /// @return why the call is refused before any work is spent on it.
  Reason EarlyRefusal(Call& call);
  /// Tells the throttle how a call that was let through ended.
  void CountForThrottle(const Call& call, bool overloaded);
  bool IsShed(const Call& call);
  /// @return the level of `service` as its targets or others reported it.
  uint32_t ShedLevelOf(std::string_view service) const;
  double WeightOf(const std::string& organisation) const;
  void LearnFrom(Call& call, const AttemptEnded& event);
  void LearnCrash(Call& call);
  /// @return whether an attempt that reached no target is made again without
  /// a retry of the budget.
  bool MayReroute(Call& call, const AttemptEnded& event) const;
  bool MayRetry(const Call& call, const AttemptEnded& event) const;
  void Retry(Call& call);
  void Abandon(Call& call);
  void CountEnd(const Call& call, bool whole);
  void FailCall(Call& call, const AttemptEnded& event);
  void Refuse(Call& call, Reason reason, Outcome outcome);

  // Rate (reducer_rate.cc) and claims (reducer_claims.cc).
  /// What this node keeps for a partition that it owns.
  struct OwnedPartition {
    uint64_t epoch = 0;
    RateAllocator rate;
    ClaimPartition claims;
    bool members_read = false;
    TimePoint next_member_read;
  };
  /// Local token bucket of the baseline.
  struct NaiveBucket {
    double tokens = 0;
    TimePoint filled;
    /// @return whether there was a token.
    bool Take(double rate, double burst, TimePoint now);
  };
  void AdmitCall(Call& call);
  void AdmitNaively(Call& call);
  /// Tells the allocators that a node admits nothing any more.
  void EndShares(const NodeId& node, uint64_t incarnation);
  void OnRateVerdict(Call& call, RateLimiter::Decision decision);
  void ClaimCall(Call& call);
  /// Releases the claim of a refused call, or reports its outcome unknown.
  void EndClaim(const Call& call);
  void RecordAnswer(const Call& call, const AttemptEnded& event);
  void Apply(const ClaimTracker::Decisions& decisions);
  /// @return null unless this node owns the partition and has set it up.
  OwnedPartition* Owned(uint32_t partition);
  void SyncOwned();
  void ReadMembersFor(uint32_t partition, OwnedPartition& owned);
  void AdvanceRate();
  void AdvanceClaims();
  void SendShareRequests(const RateLimiter::Requests& requests);
  void SendClaimMessages();
  void Send(ClaimPartition::Replies replies);
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
  void Apply(const AdmissionChanges& changes);
  void Reject(WorkId work, Reason reason);
  void RecordCrash();
  void CancelOnwardCalls(const Work& work);
  void AddShedLevels(wire::AnswerReport& report) const;
  std::chrono::microseconds DownstreamTime(const Work& work) const;
  wire::AnswerReport Report(const Work& work) const;

  // Bundle.
  /// @return whether this node reads and watches the head in the store.
  bool IsStoreWatcher() const;
  void ReadBundle();
  void OnBundleRead(StoreResult result);
  void OnBundleChanged(StoreResult result);
  void OnBundlePartRead(StoreResult result);
  void OfferBundle(std::string_view document,
                   std::string_view origin,
                   TimePoint read_parts_at);
  void TakeBundle();
  void PutInForce(Bundle bundle);
  void AdvanceBundle();
  void TellBundleVersion(size_t peers);
  void AskForParts(const NodeId& node, const std::string& address);
  void OnBundleVersion(const wire::Rumours& rumours,
                       const PeerMessageReceived& event);
  void OnBundleHead(const PeerMessageReceived& event);
  void OnBundlePartRequest(const PeerMessageReceived& event);
  void OnBundlePart(const PeerMessageReceived& event);
  /// @return whether the key a call came with is still in the bundle.
  bool KeyInForce(const Call& call) const;
  void RefuseWithdrawnKeys();

  // Fleet.
  using StoreHandler = std::function<void(const StoreResult&)>;
  StoreCallId AskStore(
      StoreRequest request,
      StoreHandler handler,
      std::chrono::milliseconds timeout = std::chrono::seconds(1));
  void AskStore(StoreRequest request, void (Node::*handler)(StoreResult));
  void RepeatReads();
  void Announce();
  void AdvanceMembers();
  void ReadMembers();
  void OnMembersRead(const StoreResult& result);
  void OnMembersChanged(const StoreResult& result);
  void Apply(MembershipChanges changes);
  void ApplyMember(const wire::Member& member);
  void RemoveOldRecords();
  void RemoveRecord(const wire::Member& member);
  void TakeMember(const StoreEntry& entry, bool deleted);
  void StartStoreReads();
  bool HasWatchDuty() const;
  void FinishDrain();

  // Ownership of partitions (reducer_partition.cc).
  struct Ownership {
    int64_t lease = 0;    ///< 0: this node holds no lease.
    TimePoint confirmed;  ///< Send time of the last renewal that held.
    TimePoint next_renewal;
    TimePoint next_read;
    std::chrono::milliseconds read_pause{0};
    bool asking_lease = false;
    bool renewing = false;
    bool reading = false;
    bool released = false;  ///< Graceful leave: nothing is taken any more.
    bool releasing = false;
    std::set<uint32_t> taking;
  };
  static std::string OwnerKey(uint32_t partition);
  void AdvancePartitions();
  void AskLease();
  void RenewLease();
  void OnLeaseLost();
  void ReadOwners();
  void OnOwnersRead(const StoreRangeResult& range);
  void TakePartition(uint32_t partition, int64_t history_revision);
  void HoldPartition(uint32_t partition, int64_t revision, bool first_ever);
  void ReleasePartitions();
  /// Looks at once whether an owner that left or died let its keys go.
  void OnOwnerGone(const NodeId& node);
  /// @return whether this node comes first for the partition among the nodes
  /// that are alive.
  bool PreferredOwnerOf(uint32_t partition) const;
  bool MayOwnPartitions(const NodeId& node) const;
  void LearnOwner(uint32_t partition, const PartitionOwner& owner);
  void LearnOwner(const wire::PartitionOwner& owner);
  /// Tells some members which requests crash targets.
  void PushQuarantine(const NodeId& except);
  void PushRumours(wire::Rumours rumours, const NodeId& except);

  NodeIdentity identity_;
  std::mt19937_64 random_;
  TimePoint now_;
  WallTime wall_now_{};
  Effects effects_;

  std::shared_ptr<const Bundle> bundle_;
  BundleIntake bundle_intake_;
  TimePoint next_bundle_tell_;
  TimePoint next_part_read_;
  TimePoint next_part_ask_;
  uint64_t asked_version_ = 0;
  std::unique_ptr<Admission> admission_;
  Router router_;
  std::unique_ptr<RetryPolicy> retry_;
  EntryThrottle throttle_;
  ShedTable shed_;
  std::map<std::string, ShareMeter, std::less<>> demand_;  ///< By service.
  Quarantine quarantine_;
  Goodput goodput_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<WorkId, Work> works_;
  std::unordered_map<std::string, WorkId> work_by_request_;
  /// Members that live or are suspected.
  std::map<NodeId, wire::Member> members_;
  Membership membership_;
  PartitionTable partitions_;
  RateLimiter rate_;
  ClaimTracker claims_;
  std::map<uint32_t, std::unique_ptr<OwnedPartition>> owned_;
  Ownership ownership_;

  uint64_t last_store_call_ = 0;
  struct StoreAsk {
    StoreHandler handler;
    std::optional<StoreRange> read;  ///< Set for reads, which are repeated.
    std::chrono::milliseconds timeout{0};
    uint32_t tries = 0;
    TimePoint next;
  };
  std::unordered_map<StoreCallId, StoreAsk> store_calls_;
  std::vector<StoreAsk> store_repeats_;  ///< Failed reads, to be repeated.
  TimePoint next_store_try_;
  bool announced_ = false;
  bool announcing_ = false;
  bool watching_ = false;     ///< Reads or watches the bundle's head.
  bool bundle_read_ = false;  ///< The head was read once.
  StoreCallId bundle_watch_;
  bool store_reached_ = false;
  /// Reads and watches of the store's member list.
  struct MemberReads {
    bool done = false;
    bool reading = false;
    std::set<NodeId> stored;  ///< Nodes with a record when last read.
    StoreCallId watch;
    TimePoint next_check;
    TimePoint next_registrar;
    /// Records removed as registrar, with their incarnation.
    std::map<NodeId, uint64_t> removed;
  };
  MemberReads member_reads_;
  std::map<std::string, NaiveBucket, std::less<>> naive_buckets_;
  bool draining_ = false;
  TimePoint exit_at_;
  TimePoint drain_started_;
  bool exited_ = false;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_REDUCER_H_
