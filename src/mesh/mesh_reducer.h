#ifndef COMFREYLOCK_MESH_MESH_REDUCER_H_
#define COMFREYLOCK_MESH_MESH_REDUCER_H_

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreylock/quarantine.h"
#include "mesh/call_throttle.h"
#include "mesh/events.h"
#include "mesh/organisation_rate.h"
#include "mesh/rank.h"
#include "mesh/retry_budget.h"
#include "mesh/target_queue.h"
#include "mesh/target_selector.h"
#include "mesh/zone_spill.h"

/// The reducer of a mesh node: the functional core that maps events to effects.
/// A mesh node runs beside one target. The reducer reads no clock and owns no
/// socket; the runtime carries out its effects.
namespace comfreylock::mesh {

/// Bounds that the platform sets.
struct NodeBounds {
  RetryBudgetLimits retry;
  /// Longest time for which a withdrawn key may still be accepted.
  std::chrono::milliseconds max_key_withdrawal_delay{5000};
  /// Time from the shutdown request until the process is killed.
  std::chrono::milliseconds shutdown_timeout{6000};
  /// Interval at which the target sends its reports.
  std::chrono::milliseconds report_interval{1500};
  /// A cold target may get `starts_per_second` of its service's `WarmupRule`,
  /// times `warmup_overage`, plus `warmup_slack` requests in any second.
  double warmup_overage = 1;
  double warmup_slack = 0;
  /// Longest time from the operator's write of an evacuation until no request
  /// reaches a target in the zone; 0: evacuations are not followed.
  std::chrono::milliseconds max_evacuation_delay{0};
  /// Part of the requests leaves the availability zone while its targets are
  /// full; see `ZoneSpill`.
  bool zone_spill = false;

  bool operator==(const NodeBounds&) const = default;
};

/// Identity and addresses of a node, and the bounds it works under.
struct NodeIdentity {
  NodeId node;
  std::string service;  ///< Service of the target beside the node.
  std::string zone;
  std::string peer_address;    ///< IP:PORT of the listener for other nodes.
  std::string target_address;  ///< IP:PORT
  /// IP:PORT at which other nodes reach the listener; empty: `peer_address`.
  std::string advertised_address;
  uint64_t incarnation = 1;  ///< Increases with each start of the node.
  uint64_t seed = 1;
  NodeBounds bounds;
};

/// @return the IP:PORT at which other nodes reach this one.
inline const std::string& AddressForPeers(const NodeIdentity& identity) {
  return identity.advertised_address.empty() ? identity.peer_address
                                             : identity.advertised_address;
}

/// Why a connection to another node ended.
enum class LinkEnd {
  kSilent,     ///< Nothing was received on it for too long.
  kClosed,     ///< The connection ended.
  kWrongPeer,  ///< Another node answers at the address.
  kRefused,    ///< It could not be made.
  kReplaced,   ///< The node was started again or has another address.
};
inline constexpr size_t kLinkEndCount = 5;

/// @return the value of `reason` in log lines and metrics.
std::string_view NameOf(LinkEnd end);

/// Numbers of requests by `SpillReason`.
using SpillCounts =
    std::array<uint64_t, static_cast<size_t>(SpillReason::kReasonCount)>;

/// State for the readiness check and the metrics.
struct NodeStatus {
  uint64_t config_version = 0;
  std::chrono::milliseconds config_age{0};  ///< Time since last confirmed.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  size_t calls = 0;
  size_t members = 0;
  size_t links = 0;
  /// Members removed because another node answers at their address, of which
  /// old records are ignored.
  size_t gone_members = 0;
  uint64_t links_opened = 0;  ///< By this node, since its start.
  uint64_t links_accepted = 0;
  /// Links of this node that ended since its start, indexed by `LinkEnd`.
  std::array<uint64_t, kLinkEndCount> links_lost{};
  uint64_t configs_sent = 0;  ///< Configurations handed on to other nodes.
  /// Requests of other nodes for the configuration that were not answered,
  /// because the limit of configurations handed on was reached.
  uint64_t configs_withheld = 0;
  /// Fraction of the target's onward calls that were refused because of
  /// overload, in thousandths, indexed by the rank of the request that made
  /// them.
  std::array<uint32_t, kRankCount> failed_calls_permille{};
  /// Placed requests by the zone decision; see `SpillReason`.
  SpillCounts requests_kept{};
  SpillCounts requests_leaving{};
  RetryCounts retries;  ///< Retries that the budget granted and denied.
  bool ready = false;
  bool stopping = false;
  /// This node polls the store for the configuration; other nodes rely on it.
  bool polls_config = false;
  /// Another node has a newer version but has not sent it in time.
  bool config_outdated = false;
  uint64_t store_era = 0;  ///< Highest that was seen; 0: none reported.
  /// Number of times that the store's era rose since the start.
  uint64_t store_restores = 0;
  /// The settings enable evacuations, so the node reads them with the
  /// configuration.
  bool follows_evacuations = false;
  std::set<std::string> evacuated_zones;
  uint64_t evacuations_era = 0;
  uint64_t evacuations_revision = 0;  ///< 0: the zones are not known.
  bool target_serving = false;        ///< The target may get new requests.
  /// Time for which the target counts as cold; 0 if it is warm.
  std::chrono::milliseconds warmup_left{0};
  /// Requests refused by the limit of starts of a cold target.
  uint64_t warmup_refusals = 0;
};

/// Makes all decisions of one mesh node: which requests it admits, where it
/// sends them, what its target runs, and what it reports to other nodes.
class MeshReducer {
 public:
  MeshReducer(NodeIdentity identity, TimePoint now);
  ~MeshReducer();
  MeshReducer(const MeshReducer&) = delete;
  MeshReducer& operator=(const MeshReducer&) = delete;

  /// Handles one event. Event times must not decrease.
  /// @return the effects for the runtime to carry out, in order.
  Effects Reduce(const Event& event);

  /// @return when the next `Tick` is due if no other event comes first.
  TimePoint NextTickTime() const;

  /// Applies the bounds and the service of changed settings.
  void Reconfigure(const NodeBounds& bounds, const std::string& service);

  /// @return the configuration in force, or null before the first is read.
  const FleetConfig* config() const { return config_.get(); }

  NodeStatus StatusAt(TimePoint now) const;

 private:
  /// A caller's request, at its entry node.
  struct Call {
    CallId id;
    std::shared_ptr<wire::Forward> forward;
    std::string service;
    std::string organisation;
    uint32_t max_attempts = 1;
    TimePoint arrived_at;
    TimePoint deadline;
    TimePoint useful_until;  ///< The answer has its full value until then.
    std::vector<NodeId> tried_nodes;  ///< Skipped at the next placement.
    NodeId node;                      ///< Node of the attempt in progress.
    LinkId link;                      ///< 0 if it runs on this host's target.
    uint64_t stream = 0;  ///< Stream on `link`, or id of the local work.
    std::chrono::microseconds expected_time{0};  ///< Wait plus service time.
    uint32_t placement_count = 0;
    size_t sent_body_bytes = 0;  ///< To other nodes, over all placements.
    uint32_t run_count = 0;      ///< Attempts that a target may have run.
    bool may_have_run = false;
    bool shed = false;  ///< A target has shed it.
    /// Reason of the last result; empty if that was an answer.
    std::string cause;
    /// Holds a token of its organisation's bucket.
    bool holds_token = false;
  };

  /// A request that this node queues for or runs on its target.
  struct Work {
    WorkId id;
    LinkId link;  ///< 0 if this node is the entry node.
    uint64_t stream = 0;
    CallId call;  ///< Set if this node is the entry node.
    std::shared_ptr<wire::Forward> forward;
    TimePoint deadline;
    bool started = false;
    /// Onward calls of it that have succeeded.
    uint32_t completed_calls = 0;
  };

  /// A connection to another node.
  struct Link {
    LinkId id;
    NodeId node;
    uint64_t incarnation = 0;  ///< Of the peer; 0 before its Hello.
    bool accepted = false;
    bool open = false;
    TimePoint opened_at;
    TimePoint last_load_sent_at;  ///< Last time this node sent its load.
    TimePoint last_received_at;   ///< Last frame from the peer.
    /// Last request in either direction, or last outcome from the peer.
    TimePoint last_forward_at;
    /// Smallest difference so far between the arrival time by this node's clock
    /// and the sending time by the peer's clock. A larger difference of a later
    /// message is the delay of that message in transit.
    std::optional<int64_t> clock_offset_us;
    /// Era and revision of the evacuated zones last sent on it.
    std::pair<uint64_t, uint64_t> evacuations_sent;
    /// Loads received from the peer that had this node's configuration version.
    uint32_t loads_received = 0;
    std::map<uint64_t, CallId> calls;  ///< Requests sent on it.
    std::map<uint64_t, WorkId> works;  ///< Requests received on it.
  };

  /// Another node.
  struct Member {
    wire::NodeRecord record;
    bool has_record = false;  ///< Its record is in the store.
    LinkId link;              ///< Outgoing link; 0 if there is none.
    TimePoint linked_at;      ///< When the link was last open, or it joined.
    TimePoint next_connect_at;
    std::chrono::milliseconds backoff{0};
    bool refusal_logged = false;  ///< Since the last open link.
    bool sent_load = false;       ///< A load was received from it.
  };

  /// What this node did because of recent Hellos of another one that opened
  /// links. Kept apart from `Member`, which may be removed between two of them.
  struct Greeting {
    uint64_t incarnation = 0;
    TimePoint load_sent_at;      ///< As the first frame of a link.
    TimePoint backoff_reset_at;  ///< When it was connected to without delay.
  };

  /// A former member at whose address another node answers.
  struct GoneMember {
    uint64_t incarnation = 0;
    std::string address;
    TimePoint since;
  };

  /// The target beside this node.
  struct Target {
    /// False before the first report, and after the target was replaced or has
    /// stopped reporting and answering.
    bool known = false;
    TargetReport report;
    TimePoint reported_at;
    bool leaving = false;
    TimePoint unreachable_until;  ///< Not used until then.
    double failure_ratio = 0;     ///< Smoothed over recent results.
    TimePoint last_answer_at;
    TimePoint cold_until;  ///< According to its last report.
    /// Set if it may have become cold at this time, which its next report
    /// confirms or denies.
    std::optional<TimePoint> may_be_cold_since;
    bool missed_reports = false;  ///< Its last report is overdue.
  };

  /// The evacuated zones, as the store had them at a revision.
  struct Evacuations {
    uint64_t era = 0;
    uint64_t revision = 0;  ///< 0: the zones are not known.
    std::set<std::string> zones;
  };

  /// A target that has announced that it leaves. Incarnations that started up
  /// to `LastStart()` have left; a later one may have the same id.
  struct DepartedTarget {
    std::string id;
    uint64_t started_at_ms = 0;  ///< 0 if it was not known.
    /// When it left, in the same clock; 0 if `started_at_ms` was known.
    uint64_t left_at_ms = 0;
    uint64_t change = 0;  ///< Of `TargetRecord` that contains it.
    /// When this process received the leave; unset if it did not.
    TimePoint received_at;

    uint64_t LastStart() const { return std::max(started_at_ms, left_at_ms); }
  };

  /// A report that is answered once the store holds what it announced.
  struct UnansweredReport {
    CallId call;
    uint64_t change = 0;  ///< Of `TargetRecord` that contains it.
    TimePoint since;
  };

  /// A request that ended without an answer while the target ran it.
  struct InterruptedWork {
    TimePoint time;
    std::string fingerprint;
  };

  // Event handlers, selected by argument type.
  void Handle(const RequestArrived& event);
  void Handle(const CallerDisconnected& event);
  void Handle(const LinkOpened& event);
  void Handle(const LinkClosed& event);
  void Handle(const FrameReceived& event);
  void Handle(const TargetAnswered& event);
  void Handle(const TargetReported& event);
  void Handle(const ConfigRead& event);
  void Handle(const EvacuationsRead& event);
  void Handle(const StoreReplied& event);
  void Handle(const Tick& event);
  void Handle(const ShutdownRequested& event);

  /// @return whether callers' requests are accepted. Late in a shutdown they
  ///     are not.
  bool AcceptsCallers() const;
  /// @return when a stopping node ends the requests that remain.
  TimePoint LastAnswerTime() const;
  /// @return whether a request with this deadline is over, in any case, before
  ///     this node exits.
  bool IsOverBeforeExit(TimePoint deadline) const {
    return !stopping_ || deadline <= LastAnswerTime();
  }
  /// @return whether a request is over before this node exits, or is expected
  ///     to be.
  bool CanAnswerBeforeExit(TimePoint deadline,
                           std::chrono::microseconds expected_time) const;
  /// Refuses the queued requests that may not be over before this node exits,
  /// once no further ones are taken. Started late, they would be aborted at the
  /// exit, while callers of other nodes still wait for them.
  void RefuseLateWorks();
  /// Ends all requests in progress, so that each gets an answer: as not run
  /// where that is certain.
  void EndRemainingRequests();
  /// @return when a stopping node exits if callers send no more requests.
  TimePoint ExpectedExitTime() const;

  // Calls (mesh_reducer_calls.cc).
  /// Finds the route and organisation of a request and sets the call's rank,
  /// deadline and service.
  /// @return why the request is refused, or `kNone`.
  Reason Classify(Call& call, const CallerRequest& request);
  /// Admits a call that is within its organisation's rate.
  void Admit(Call call, bool holds_token);
  const std::string& ChooseService(const Route& route);
  /// @return the request on this host's target that made this onward call, or
  ///     null.
  const Work* FindParentWork(const wire::Forward& forward) const;
  /// @return whether the configuration was confirmed recently enough to accept
  ///     keys.
  bool IsConfigFresh() const;
  /// @return whether another node has reported a newer configuration.
  bool IsConfigOutdated() const {
    return config_ && newest_config_version_ > config_->version;
  }
  bool IsQuarantined(const wire::Forward& forward) const;
  /// Chooses a target and sends the call to its node, or refuses the call.
  void Place(Call& call);
  /// @return the time by which an answer from another availability zone must be
  ///     faster than one from this zone.
  std::chrono::microseconds ZoneTolerance(
      const Call& call,
      const TargetSelector::Request& request);
  void SendTo(Call& call, const TargetSelector::Choice& choice);
  /// Handles the outcome of the attempt in progress: answers, retries or
  /// refuses the call.
  void OnOutcome(Call& call, std::shared_ptr<wire::Outcome> outcome);
  bool CanRetry(const Call& call) const;
  /// Acquires a retry from the budget. @return whether there is one.
  bool AcquireRetry(const Call& call);
  /// Counts a successful onward call at the request that made it.
  void CountCompletedCall(const wire::Forward& forward);
  /// Releases the attempt in progress; the call itself goes on.
  void EndAttempt(Call& call);
  void Refuse(Call& call, Reason reason, std::chrono::milliseconds retry_after);
  std::chrono::milliseconds JitterRetryAfter(std::chrono::microseconds base);
  /// Refuses a call and cancels its attempt in progress, which may have run.
  void AbandonCall(Call& call, Reason reason);
  /// Tells the node of the attempt in progress that it is not needed any more.
  void SendCancel(const Call& call);
  void ExpireCalls();
  void RemoveDeadline(const Call& call);
  /// Updates the throttle for overload further down the call graph.
  /// @return whether it admits the call.
  bool IsAdmittedByThrottle(const Call& call);
  /// Records the result of an onward call of this host's target.
  void RecordOnwardCallResult(const Call& call, bool failed, bool overloaded);

  // Works (mesh_reducer_works.cc).
  void AcceptWork(Work work);
  /// Measures the transit delay of a message and updates the link's clock
  /// offset.
  /// @param sent_us when it was sent, by the sender's clock, microseconds.
  /// @return how long it was delayed in transit.
  std::chrono::microseconds MeasureTransitDelay(Link& link,
                                                uint64_t sent_us) const;
  /// @return why the work is rejected, or `kNone`.
  Reason RejectionReason(const Work& work) const;
  /// @return the expected wait and service time on this host's target.
  std::chrono::microseconds ExpectedTime(const wire::Forward& forward) const;
  /// @param refusal_reason why requests that did not start are refused.
  void Apply(const TargetQueue::Changes& changes,
             std::string_view refusal_reason = "overload");
  void StartWork(WorkId id);
  void Reply(const Work& work, std::shared_ptr<wire::Outcome> outcome);
  void ReplyWithoutAnswer(const Work& work,
                          wire::Outcome::Kind kind,
                          std::string_view reason);
  void CancelWork(WorkId id);
  void EndWork(WorkId id);
  /// @return whether the target may get new requests, from any node. The only
  ///     place of this decision.
  bool IsTargetServing() const;
  bool FollowsEvacuations() const {
    return identity_.bounds.max_evacuation_delay.count() > 0;
  }
  /// @return the limit while the target is cold, or null if there is none.
  const WarmupRule* FindWarmupRule() const;
  /// Notes that the target may have become cold at `time`, until its next
  /// report.
  void AssumeColdSince(TimePoint time);
  /// Passes the limit of a cold target and the end of its warm-up to the queue.
  void UpdateWarmupLimit();
  /// @return the remaining warm-up, 0 if the target is warm.
  std::chrono::milliseconds WarmupLeft(TimePoint now) const;
  /// Counts refusals by the limit of a cold target, and logs them at most once
  /// a second.
  void CountWarmupRefusals(uint32_t count);
  bool IsNewerReport(const TargetReport& report) const;
  /// Keeps the newest report until the target's record is read.
  void KeepEarlyReport(const TargetReport& report);
  /// @return the start time of the known target that a leave names by its id
  ///     only; 0 if none has this id.
  uint64_t FindStartTime(const std::string& id) const;
  /// Applies a report. @return why it is ignored, or null.
  const char* ApplyReport(TargetReport report);
  /// Applies a leave of a target whose start time is not known.
  /// @return why it is ignored, or null.
  const char* ApplyUnknownLeave(const std::string& id, uint64_t received_at_ms);
  /// @return the entry of a target that has left, or null.
  const DepartedTarget* FindDeparted(const std::string& id) const;
  /// Records that a target leaves, so that a late report of it is told as such
  /// after a restart too. Raises the start time of an entry with this id, but
  /// never lowers it.
  void AddDeparted(DepartedTarget departed);
  static DepartedTarget ParseDeparted(const wire::TargetRecord::Departed& row);
  static void SerializeDeparted(const DepartedTarget& departed,
                                wire::TargetRecord::Departed& row);
  /// Confirms a leave only once it is written, since a confirmed leave must
  /// hold after a restart of the node.
  void AnswerWhenWritten(const TargetReported& event);
  void AnswerWrittenReports();
  /// Logs a failed request, and stops using a target that was replaced or
  /// cannot be reached.
  void OnTargetFailure(const Work& work, const TargetResult& result);
  void RecordTargetCrash();
  using ValuesByRank = google::protobuf::RepeatedField<uint32_t>;
  /// Appends the expected wait of each rank, microseconds.
  void AddExpectedWaits(bool onward, ValuesByRank& waits) const;
  wire::Load LocalLoad() const;
  /// Stops using a target that neither reports nor answers.
  void CheckTargetSilence();
  /// Updates this node's own entry in the target selector, and sends the load
  /// on accepted links where it is due.
  void AdvertiseLoad();
  static std::string FingerprintOfForward(const wire::Forward& forward);

  // Records in the store (mesh_reducer_records.cc).
  using StoreHandler = std::function<void(const StoreResult&)>;
  /// A request to the store that has no result yet.
  struct StoreCall {
    StoreHandler handler;
    uint64_t era = 0;   ///< Highest era known when it was sent.
    bool read = false;  ///< Changes nothing in the store.
  };
  /// Notes the era that the store reports. A rise means that the store was
  /// restored to an older state.
  /// @param era 0: none is reported.
  void ObserveStoreEra(uint64_t era);
  /// Treats all that this node wrote into the store as lost.
  void OnStoreRestored();
  /// @return a random part of the window in which all nodes write again.
  std::chrono::milliseconds RandomRewriteDelay();
  /// @return the result, or a failure if it belongs to another era than the
  ///     request or than the store's present one.
  StoreResult CheckEra(const StoreCall& call, const StoreResult& result) const;
  /// @return whether a target waits for the confirmation of a leave that is not
  ///     written yet.
  bool HasUnwrittenLeave() const;
  void SendStoreRequest(StoreRequest request, StoreHandler handler);
  /// Obtains a lease, writes the record under it, and renews the lease.
  void MaintainNodeRecord();
  void WriteNodeRecord();
  /// Reads the record at the start, and after a write of unknown outcome, and
  /// writes changes of it.
  void MaintainTargetRecord();
  std::string TargetRecordValue() const;
  void WriteTargetRecord();
  void ReadTargetRecord();
  /// After a failed call: draws a new delay if the record is still to be
  /// written again after a restore.
  void PostponeRewrite();
  void OnTargetRecordRead(const StoreRangeResult& range);
  /// Uses what the record tells about the time before the start of this node.
  void ApplyTargetRecord(const wire::TargetRecord& record);
  void RefreshMembers();
  void ReadMembers();
  /// @return whether a member has had no open link for some seconds.
  bool HasUnreachableMember() const;
  void UpdateMember(const StoreEntry& entry);
  /// Applies a record, or what a Hello says of a node, to a member. Closes the
  /// link to an earlier incarnation.
  void ApplyNodeRecord(const NodeId& node, const wire::NodeRecord& record);
  /// Handles a read of all records without that of a member. The node stays a
  /// member while a link to it is open, and some seconds longer.
  void OnRecordMissing(const NodeId& node);
  void RemoveMember(const NodeId& node);
  /// @return whether `record` says no more of a node than was known when
  ///     another node answered at its address. If it says more, the node is no
  ///     longer taken as gone.
  bool IsRecordOfGoneMember(const NodeId& node, const wire::NodeRecord& record);

  // What other nodes know of this one (mesh_reducer_news.cc). A store that was
  // restored may lack the newest configuration and confirmed leaves, so that a
  // node that starts waits for other nodes before it uses what it has read.
  /// @return the members that keep the departed targets of `node`: those of the
  ///     highest scores.
  /// @param reachable whether only members with an open link count.
  std::vector<NodeId> KeepersOfDeparted(bool reachable) const;
  /// Ends the wait for other nodes if it is due.
  void UpdatePeerWait();
  bool AwaitsPeers() const { return store_era_ != 0 && !peers_heard_; }
  /// Sends the departed targets of this host to the nodes that keep them and do
  /// not have them yet.
  void UpdateKeepers();
  /// Sends back the departed targets that a node told before its restart.
  void ReturnDeparted(const Link& link);
  void OnTargetsLeft(const Link& link, const wire::TargetsLeft& left);
  /// Adds departed targets that this node did not know.
  void MergeDeparted(const std::vector<DepartedTarget>& others);

  // Other nodes (mesh_reducer_fleet.cc).
  void ConnectMembers();
  /// Closes links on which nothing was received for too long.
  void CloseSilentLinks();
  void CloseLinkOf(LinkId id, LinkEnd end);
  /// Handles the end of a link: its calls and works, and when to connect again.
  void OnLinkEnded(LinkId id, LinkEnd end);
  /// Removes the member that a link was opened to, because `peer` answered.
  void OnWrongPeer(LinkId id, const wire::Hello& peer);
  size_t NodeCount() const { return members_.size() + 1; }
  /// @return the largest number of nodes in the retention window. A node that
  ///     this one has lost may still admit and retry requests.
  size_t FleetSize() const { return std::max(fleet_size_, NodeCount()); }
  void UpdateLoad(Link& link, const wire::Load& load);
  /// Uses a set of evacuated zones if its era and revision are higher than
  /// those of the present one.
  void ApplyEvacuations(Evacuations evacuations);
  /// Adds the evacuated zones to a load that is sent on `link`: the revision,
  /// and the zones if they were not sent on it before.
  void AddEvacuations(Link& link, wire::Load& load) const;
  /// Requests the newer configuration that the peer on `link` has.
  void RequestConfig(const Link& link);
  void OnConfigWanted(LinkId link, const wire::ConfigWanted& wanted);
  /// @return whether the configuration may be handed on to one more node in
  ///     this interval.
  bool TakeConfigAllowance();
  /// Adds a node that opened a link before its record was read.
  void AddPeer(const wire::Hello& peer);
  /// @return whether this node is one of the few that poll the store for the
  ///     configuration: those of the highest scores among the nodes that it can
  ///     reach.
  bool PollsConfig() const;
  /// Queues a call until its organisation's central bucket grants a token.
  void QueueForToken(Call& call);
  void RequestTokens(const std::string& organisation);
  void OnShares(const wire::Shares& shares);
  /// Refuses calls that have waited too long for a token.
  void ExpireTokenWaits();
  /// @return whether an open link leads to the node, or it is this node.
  bool CanReach(const NodeId& node) const;
  void SendDemand(const NodeId& allocator, wire::Demand demand);
  /// @return number of partitions into which organisations are divided; each
  ///     has one allocator.
  uint32_t RatePartitionCount() const;
  uint32_t RatePartitionOf(const std::string& organisation) const;
  /// @return the node of the highest score among those that can be reached. Two
  ///     nodes may choose differently: each allocator hands out only the part
  ///     of the nodes that report to it.
  NodeId AllocatorOfPartition(uint32_t partition) const;
  NodeId RateAllocatorFor(const std::string& organisation) const {
    return AllocatorOfPartition(RatePartitionOf(organisation));
  }
  void UpdateFleetSize();
  void ReportDemand();
  void OnDemand(LinkId link, const wire::Demand& demand);
  void SendQuarantine(LinkId except);
  void Send(LinkId link, std::shared_ptr<wire::Frame> frame);
  void LogLine(LogCode code,
               std::vector<std::pair<std::string, std::string>> fields);
  std::string ConfigAgeText() const;

  NodeIdentity identity_;
  std::mt19937_64 random_;
  TimePoint now_;
  TimePoint started_at_;
  Effects effects_;
  uint64_t last_id_ = 0;

  std::shared_ptr<const FleetConfig> config_;
  TimePoint config_confirmed_at_;
  bool config_was_fresh_ = false;
  uint64_t newest_config_version_ = 0;  ///< Reported by any node.
  /// Time of the first report of a configuration newer than `config_`.
  TimePoint config_outdated_since_;
  TimePoint next_config_request_at_;  ///< Next request to another node.
  uint64_t advertised_config_version_ = 0;
  /// State of the weighted round robin over the services of each route.
  std::map<const Route*, std::vector<double>> service_credits_;

  Evacuations evacuations_;
  /// The zones changed since this node sent its load on all links.
  bool evacuations_changed_ = false;

  std::unordered_map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> call_deadlines_;
  std::unordered_map<WorkId, Work> works_;
  /// Works by request id, to find the parents of onward calls.
  std::unordered_map<std::string, WorkId> running_requests_;
  Target target_;
  TimePoint last_call_failure_at_;  ///< An onward call failed.
  /// An onward call failed because of overload.
  TimePoint last_call_overload_at_;
  CallFailures call_failures_;
  CallThrottle call_throttle_;
  /// Recent interrupted requests; a crash of the target is attributed to them.
  std::vector<InterruptedWork> interrupted_;
  TargetQueue queue_;
  uint64_t warmup_refusals_ = 0;
  uint64_t logged_warmup_refusals_ = 0;
  TimePoint next_warmup_log_at_;
  TargetSelector target_selector_;
  ZoneSpill zone_spill_;
  SpillCounts requests_kept_{};
  SpillCounts requests_leaving_{};
  RetryBudget retry_budget_;
  OrganisationRateLimiter rate_limiter_;
  OrganisationRateAllocator rate_allocator_;
  Quarantine quarantine_;
  TimePoint next_demand_report_at_;
  /// Calls that wait for a token, with their arrival times, oldest first, by
  /// organisation.
  std::map<std::string, std::deque<std::pair<TimePoint, CallId>>> token_waits_;

  std::map<LinkId, Link> links_;
  std::map<NodeId, Member> members_;
  std::map<NodeId, GoneMember> gone_members_;
  std::map<NodeId, Greeting> greetings_;  ///< Of the last seconds.
  uint64_t links_opened_ = 0;
  uint64_t links_accepted_ = 0;
  std::array<uint64_t, kLinkEndCount> links_lost_{};
  /// Configurations handed on in the interval that began at `since`.
  struct ConfigsSent {
    TimePoint since;
    uint32_t count = 0;
    size_t bytes = 0;
    uint64_t total = 0;
    uint64_t withheld = 0;
  } configs_sent_;
  size_t fleet_size_ = 1;
  /// Last time that the fleet had at least `fleet_size_` nodes.
  TimePoint fleet_size_seen_at_;
  bool advertised_serving_ = false;
  TimePoint last_tick_at_;  ///< Time of the last `Tick`.

  std::unordered_map<StoreRequestId, StoreCall> store_calls_;
  uint64_t store_era_ = 0;  ///< Highest that was seen; 0: none reported.
  uint64_t store_restores_ = 0;
  /// When the era was first known, and when the first member was.
  std::optional<TimePoint> era_known_at_;
  std::optional<TimePoint> first_member_at_;
  bool peers_heard_ = false;  ///< The wait for other nodes is over.
  /// Configuration that was read from the store during this wait.
  std::shared_ptr<const FleetConfig> held_config_;
  TimePoint held_config_confirmed_at_;
  /// Links on which keepers were sent the departed targets of this host.
  std::set<LinkId> informed_keepers_;
  TimePoint next_keeper_update_at_;
  /// Departed targets that other nodes have told, by node.
  std::map<NodeId, std::vector<DepartedTarget>> departed_of_nodes_;
  /// This node's own record in the store.
  struct Record {
    int64_t lease = 0;
    bool request_pending = false;
    bool written = false;
    /// The store was restored and the record is not written again yet.
    bool rewriting = false;
    TimePoint next_request_at;
    TimePoint renewed_at;
  } record_;
  /// Reading the records of all nodes.
  struct MemberReads {
    bool reading = false;
    bool done = false;              ///< All records were read at least once.
    bool after_own_record = false;  ///< The own record was written since.
    bool serializable = false;      ///< Kind of the read in progress.
    TimePoint next_read_at;
    TimePoint done_at;
    std::string last_key;  ///< Last key of the previous page.
    std::set<std::string> keys_read;
  } member_reads_;
  bool store_unreachable_ = false;
  /// Record of this host's target in the store.
  struct TargetRecord {
    bool read = false;  ///< Was read since the start of this node.
    bool request_pending = false;
    bool revision_known = false;
    uint64_t marked_era = 0;  ///< Last era whose marker was written.
    TimePoint rewrite_at;     ///< After a restore: earliest time to write.
    int64_t revision = 0;     ///< Of the record in the store; 0: absent.
    uint64_t change = 0;      ///< Number of changes so far.
    uint64_t written = 0;     ///< Last change that the store holds.
    TimePoint next_request_at;
  } target_record_;
  /// Targets that have left, oldest first.
  std::vector<DepartedTarget> departed_;
  /// The newest report before the record was read.
  std::optional<TargetReport> early_report_;
  std::vector<UnansweredReport> unanswered_reports_;

  bool stopping_ = false;
  bool late_works_refused_ = false;  ///< See `RefuseLateWorks`.
  bool requests_ended_ = false;      ///< See `EndRemainingRequests`.
  TimePoint stopping_since_;
  TimePoint last_call_at_;            ///< Last request from a caller.
  bool reports_not_serving_ = false;  ///< Set shortly before the exit.
  bool stopped_ = false;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_MESH_REDUCER_H_
