#ifndef COMFREYLOCK_MESH_NODE_H_
#define COMFREYLOCK_MESH_NODE_H_

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
#include <unordered_map>
#include <vector>

#include "comfreylock/quarantine.h"
#include "mesh/call_throttle.h"
#include "mesh/events.h"
#include "mesh/placement.h"
#include "mesh/rank.h"
#include "mesh/rate_share.h"
#include "mesh/retry_allowance.h"
#include "mesh/target_queue.h"

/// The reducer of a node beside a target: all its decisions, as a function from
/// events to effects. It reads no clock and owns no socket.
namespace comfreylock::mesh {

/// Bounds that the platform gives.
struct NodeBounds {
  RetryBound retry;
  /// A withdrawn key must not be served longer than this.
  std::chrono::milliseconds key_withdrawal{5000};
  /// A stopping process is killed after this time.
  std::chrono::milliseconds grace{6000};
  /// Interval of the target's reports.
  std::chrono::milliseconds report_interval{1500};

  bool operator==(const NodeBounds&) const = default;
};

/// What a node knows of itself.
struct NodeIdentity {
  NodeId node;
  std::string service;  ///< Of the target beside it.
  std::string zone;
  std::string peer_address;    ///< IP:PORT of the listener for other nodes.
  std::string target_address;  ///< IP:PORT
  /// IP:PORT at which other nodes reach the listener; empty: `peer_address`.
  std::string advertised_address;
  uint64_t boot = 1;  ///< Greater at each start of this node.
  uint64_t seed = 1;
  NodeBounds bounds;
};

/// @return where other nodes reach this one.
inline const std::string& AddressForPeers(const NodeIdentity& identity) {
  return identity.advertised_address.empty() ? identity.peer_address
                                             : identity.advertised_address;
}

/// Figures for readiness and metrics.
struct NodeStatus {
  uint64_t config_version = 0;
  std::chrono::milliseconds config_age{0};  ///< Since it was confirmed.
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  size_t calls = 0;
  size_t members = 0;
  size_t links = 0;
  /// Part of the target's calls that was refused for want of room, in
  /// thousandths, by the importance of the request that made them.
  std::array<uint32_t, kRanks> failed_calls_permille{};
  bool ready = false;
  bool stopping = false;
  bool watches_config = false;  ///< Asks the store for all the others.
  /// Another node has a newer one and has not handed it on in time.
  bool config_outdated = false;
};

class Node {
 public:
  Node(NodeIdentity identity, TimePoint now);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Takes one event. Times must not go backwards.
  /// @return what the shell has to do, in order.
  Effects Reduce(const Event& event);

  /// @return when `TimePassed` is due, if nothing else happens before.
  TimePoint NextWake() const;

  /// Takes bounds and service from changed settings.
  void Reconfigure(const NodeBounds& bounds, const std::string& service);

  /// @return the configuration in force, or null before the first.
  const FleetConfig* config() const { return config_.get(); }

  NodeStatus StatusAt(TimePoint now) const;

 private:
  /// A caller's request at this node.
  struct Call {
    CallId id;
    std::shared_ptr<wire::Forward> forward;
    std::string service;
    std::string organisation;
    uint32_t max_attempts = 1;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint useful_until;
    std::vector<NodeId> tried;
    NodeId node;          ///< Where it is now.
    LinkId link;          ///< 0 for this host's own target.
    uint64_t stream = 0;  /// On `link`, or the number of the local work.
    std::chrono::microseconds expected{0};  ///< Wait and service there.
    uint32_t placements = 0;
    uint32_t runs = 0;  ///< Targets that may have run it.
    bool may_have_run = false;
    bool shed = false;        ///< A target has refused it.
    bool took_token = false;  ///< Of its organisation's rate.
  };

  /// A request at this host's target.
  struct Work {
    WorkId id;
    LinkId link;  ///< 0: a call of this node.
    uint64_t stream = 0;
    CallId call;  ///< For a call of this node.
    std::shared_ptr<wire::Forward> forward;
    TimePoint deadline;
    bool started = false;
  };

  struct Link {
    LinkId id;
    NodeId node;
    uint64_t boot = 0;  ///< Of the other process; 0 before its Hello.
    bool accepted = false;
    bool open = false;
    TimePoint last_load;      ///< When this node last told its load.
    TimePoint last_received;  ///< Last frame of the other node.
    TimePoint last_forward;   ///< Last request in either direction.
    /// Smallest difference between the clocks of arrival and sending so far:
    /// what a request takes beyond it, it has waited on the way.
    std::optional<int64_t> clock_offset_us;
    uint32_t loads = 0;                ///< Received on it.
    std::map<uint64_t, CallId> calls;  ///< Requests sent on it.
    std::map<uint64_t, WorkId> works;  ///< Requests received on it.
  };

  /// Another node.
  struct Member {
    wire::NodeRecord record;
    bool recorded = false;  ///< The store has its record.
    LinkId link;            ///< Outgoing; 0 if there is none.
    TimePoint next_connect;
    std::chrono::milliseconds backoff{0};
  };

  struct Target {
    bool known = false;
    TargetReport report;
    TimePoint reported;
    bool leaving = false;
    TimePoint down_until;
    double failures = 0;  ///< Smoothed share.
    TimePoint last_answer;
    /// Start times of the targets that have left, by id.
    std::map<std::string, uint64_t> gone;
  };

  /// A request that broke while the target ran it.
  struct BrokenWork {
    TimePoint time;
    std::string fingerprint;
  };

  // Events.
  void On(const RequestArrived& event);
  void On(const CallerLeft& event);
  void On(const LinkOpened& event);
  void On(const LinkClosed& event);
  void On(const FrameReceived& event);
  void On(const TargetAnswered& event);
  void On(const TargetReported& event);
  void On(const ConfigRead& event);
  void On(const StoreReplied& event);
  void On(const TimePassed& event);
  void On(const ShutdownRequested& event);

  /// @return whether requests of callers are taken; not late in a stop.
  bool TakesCallers() const;
  /// @return when a stopping node exits if no caller sends anything more.
  TimePoint ExpectedStop() const;

  // Calls (node_calls.cc).
  Reason Classify(Call& call, const CallerRequest& request);
  /// Takes a call that is within its organisation's rate.
  void Admit(Call call, bool took_token);
  const std::string& PickService(const Route& route);
  /// @return the request at this host's target that made the call, or null.
  const Work* ParentOf(const wire::Forward& forward) const;
  bool ConfigFresh() const;
  /// @return whether another node has a newer configuration.
  bool ConfigOutdated() const {
    return config_ && newest_version_ > config_->version;
  }
  bool IsQuarantined(const wire::Forward& forward) const;
  /// Sends the call to a target, or refuses it.
  void Place(Call& call);
  void SendTo(Call& call, const Placement::Choice& choice);
  /// Takes the outcome of the attempt in progress.
  void OnOutcome(Call& call, std::shared_ptr<wire::Outcome> outcome);
  bool MayRepeat(const Call& call) const;
  void Detach(Call& call);
  void Refuse(Call& call, Reason reason, std::chrono::milliseconds retry_after);
  std::chrono::milliseconds SpreadRetryAfter(std::chrono::microseconds base);
  void ExpireCalls();
  void EndCall(const Call& call);
  /// @return whether services further down can carry the call.
  bool AdmittedByThrottle(const Call& call);
  /// Learns how a call of this host's target ended.
  void CountOnwardEnd(const Call& call, bool failed, bool overloaded);

  // Works (node_works.cc).
  void Accept(Work work);
  /// @return how long a received request has waited on its way.
  /// @param sent_us when it was sent, by the sender's clock.
  std::chrono::microseconds DelayOf(Link& link, uint64_t sent_us) const;
  Reason WhyNotAccepted(const Work& work) const;
  void Apply(const TargetQueue::Changes& changes);
  void Start(WorkId id);
  void Reply(const Work& work, std::shared_ptr<wire::Outcome> outcome);
  void ReplyWithout(const Work& work,
                    wire::Outcome::Kind kind,
                    std::string_view reason);
  void CancelWork(WorkId id);
  void EndWork(WorkId id);
  bool TargetServes() const;
  bool IsNewerReport(const TargetReport& report) const;
  void OnTargetFailure(const Work& work, const TargetResult& result);
  void TargetDown();
  using ByRank = google::protobuf::RepeatedField<uint32_t>;
  /// Adds the expected wait of each rank.
  void AddWaits(bool onward, ByRank& waits) const;
  wire::Load OwnLoad() const;
  void AdvanceTarget();
  void TellLoad();
  static std::string FingerprintOfForward(const wire::Forward& forward);

  // Records in the store (node_records.cc).
  using StoreHandler = std::function<void(const StoreResult&)>;
  void Ask(StoreRequest request, StoreHandler handler);
  void AdvanceRecord();
  void WriteRecord();
  void WriteTargetRecord();
  void ReadTargetRecord();
  void AdvanceMembers();
  void ReadMembers();
  void WatchMembers();
  void LearnMember(const StoreEntry& entry);
  void ForgetRecord(const std::string& key);
  void RemoveMember(const NodeId& node);

  // Other nodes (node_fleet.cc).
  void ConnectMembers();
  void CloseSilentLinks();
  void CloseLinkOf(LinkId id);
  size_t NodeCount() const { return members_.size() + 1; }
  /// @return the largest number of nodes of late: one that is not seen may
  ///     still admit and repeat requests.
  size_t FleetSize() const { return std::max(fleet_size_, NodeCount()); }
  void LearnLoad(Link& link, const wire::Load& load);
  /// Asks a node that has a newer configuration for it.
  void AskForConfig(const Link& link);
  void OnConfigWanted(LinkId link, const wire::ConfigWanted& wanted);
  /// Learns of a node that made a link before its record was read.
  void LearnPeer(const wire::Hello& peer);
  /// @return whether this node is one of the few that ask the store all the
  /// time.
  bool WatchesConfig() const;
  /// Lets a call wait for a token of its organisation's common bucket.
  void WaitForToken(Call& call);
  void AskForTokens(const std::string& organisation);
  void OnShares(const wire::Shares& shares);
  /// Refuses calls that wait for too long.
  void ExpireTokenWaits();
  /// @return whether a message to the node goes out now.
  bool CanReach(const NodeId& node) const;
  void SendDemand(const NodeId& holder, wire::Demand demand);
  /// @return number of parts into which organisations are divided.
  uint32_t RateParts() const;
  uint32_t RatePartOf(const std::string& organisation) const;
  NodeId HolderOfPart(uint32_t part) const;
  NodeId RateHolderFor(const std::string& organisation) const {
    return HolderOfPart(RatePartOf(organisation));
  }
  void UpdateFleetSize();
  void ReportDemand();
  void OnDemand(LinkId link, const wire::Demand& demand);
  void TellQuarantine(LinkId except);
  void Send(LinkId link, std::shared_ptr<wire::Frame> frame);
  void LogLine(LogCode code,
               std::vector<std::pair<std::string, std::string>> fields);
  std::string ConfigAge() const;

  NodeIdentity identity_;
  std::mt19937_64 random_;
  TimePoint now_;
  Effects effects_;
  uint64_t last_id_ = 0;

  std::shared_ptr<const FleetConfig> config_;
  TimePoint config_confirmed_;
  bool config_was_fresh_ = false;
  uint64_t newest_version_ = 0;  ///< That any node told of.
  TimePoint newer_since_;        ///< When the first newer one was told of.
  TimePoint next_config_ask_;    ///< Of another node.
  uint64_t told_version_ = 0;
  std::map<const Route*, std::vector<double>> split_credit_;

  std::unordered_map<CallId, Call> calls_;
  std::set<std::pair<TimePoint, CallId>> call_deadlines_;
  std::unordered_map<WorkId, Work> works_;
  std::unordered_map<std::string, WorkId> running_requests_;
  Target target_;
  TimePoint last_call_failure_;   ///< Of a call of the target.
  TimePoint last_call_overload_;  ///< A call of the target was refused.
  CallFailures call_failures_;
  CallThrottle call_throttle_;
  std::vector<BrokenWork> broken_;  ///< Of the last second.
  TargetQueue queue_;
  Placement placement_;
  RetryAllowance retries_;
  RateShare rate_share_;
  RateHolder rate_holder_;
  Quarantine quarantine_;
  TimePoint next_demand_;
  /// Calls that wait for a token, by organisation, in the order of arrival.
  std::map<std::string, std::deque<std::pair<TimePoint, CallId>>> token_waits_;

  std::map<LinkId, Link> links_;
  std::map<NodeId, Member> members_;
  size_t fleet_size_ = 1;
  TimePoint fleet_size_seen_;  ///< When there were so many last.
  bool told_serving_ = false;
  TimePoint last_pass_;  ///< Last `TimePassed`.

  std::unordered_map<StoreCallId, StoreHandler> store_calls_;
  struct Record {
    int64_t lease = 0;
    bool asking = false;
    bool written = false;
    TimePoint next;
    TimePoint renewed;
  } record_;
  struct MemberReads {
    bool reading = false;
    bool done = false;  ///< Read once since the start.
    StoreCallId watch;
    TimePoint next;
    int64_t revision = 0;
    std::string after;  ///< Last key of the page before.
    std::set<std::string> seen;
  } reads_;
  bool store_away_ = false;
  bool target_record_read_ = false;
  bool target_record_due_ = false;  ///< The last write failed.

  bool stopping_ = false;
  TimePoint stop_since_;
  TimePoint last_call_;        ///< Last request of a caller.
  bool refuses_work_ = false;  ///< About to stop.
  bool stopped_ = false;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_NODE_H_
