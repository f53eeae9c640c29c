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
#include "comfreylock/claims.h"
#include "comfreylock/effects.h"
#include "comfreylock/events.h"
#include "comfreylock/partition.h"
#include "comfreylock/rate.h"
#include "comfreylock/routing.h"
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
};

/// Figures for the operator's listener.
struct NodeStatus {
  uint64_t bundle_version = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t limit = 0;
  size_t members = 0;
  size_t calls = 0;
  bool draining = false;
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

  NodeStatus status() const;

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
    uint32_t retries_left = 0;
    bool once_only = false;
    TimePoint deadline;
    WorkId parent;  ///< Set for onward calls.
    uint32_t attempt = 0;
    NodeId node;
    std::vector<NodeId> tried;
    bool may_have_run = false;
    bool refused = false;  ///< Already answered; nothing follows.
  };

  /// A request at this host's target.
  struct Work {
    wire::CallContext context;
    TimePoint deadline;
    bool started = false;
    uint32_t retries_left = 0;
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
  bool MayRetry(const Call& call, const AttemptEnded& event) const;
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
  void AdmitCall(Call& call);
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
  wire::AnswerReport Report(const Work& work) const;

  // Fleet.
  using StoreHandler = std::function<void(const StoreResult&)>;
  void AskStore(StoreRequest request,
                StoreHandler handler,
                std::chrono::milliseconds timeout = std::chrono::seconds(1));
  void AskStore(StoreRequest request, void (Node::*handler)(StoreResult));
  void ReadBundle();
  void OnBundleRead(StoreResult result);
  void OnBundleChanged(StoreResult result);
  void OnMembersRead(StoreResult result);
  void OnMembersChanged(StoreResult result);
  void OnAnnounced(StoreResult result);
  void TakeBundle(const StoreEntry& entry);
  void TakeMember(const StoreEntry& entry, bool deleted);
  void StartStoreReads();
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
  void PushRumours(const wire::Rumours& rumours, const NodeId& except);

  NodeIdentity identity_;
  std::mt19937_64 random_;
  TimePoint now_;
  WallTime wall_now_{};
  Effects effects_;

  std::shared_ptr<const Bundle> bundle_;
  std::unique_ptr<Admission> admission_;
  Router router_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<WorkId, Work> works_;
  std::unordered_map<std::string, WorkId> work_by_request_;
  std::map<NodeId, wire::Member> members_;
  PartitionTable partitions_;
  RateLimiter rate_;
  ClaimTracker claims_;
  std::map<uint32_t, std::unique_ptr<OwnedPartition>> owned_;
  Ownership ownership_;

  uint64_t last_store_call_ = 0;
  std::unordered_map<StoreCallId, StoreHandler> store_calls_;
  TimePoint next_store_try_;
  bool announced_ = false;
  bool watching_ = false;
  bool draining_ = false;
  TimePoint drain_started_;
  bool exited_ = false;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_REDUCER_H_
