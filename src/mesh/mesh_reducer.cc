#include "mesh/mesh_reducer.h"

#include <algorithm>
#include <utility>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Maximum interval between `Tick` events.
constexpr milliseconds kIdleTickInterval = 100ms;
/// The same while requests are queued for the target.
constexpr milliseconds kQueueTickInterval = 20ms;
/// Minimum time from the shutdown request to the exit: clients stop sending
/// after two failed readiness checks, one second apart.
constexpr milliseconds kMinExitDelay = 2100ms;
/// After `kMinExitDelay`, a stopping node exits once no caller has sent a
/// request for this time.
constexpr milliseconds kCallerQuietWindow = 700ms;
/// A stopping node reports its target as not serving this long before its
/// expected exit, so that running requests can end.
constexpr milliseconds kStopServingMargin = 400ms;
/// Time after the shutdown request for which callers' requests are accepted and
/// the target is reported as serving. Later requests might not end before the
/// process is killed.
constexpr milliseconds kStopAdmissionWindow = 2700ms;
/// Time reserved for delivering the last answers and closing connections before
/// the process is killed.
constexpr milliseconds kConnectionCloseMargin = 400ms;
/// Time before the process is killed at which a stopping node ends the requests
/// that remain: the other nodes' results of it and the answers to callers need
/// the time until `kConnectionCloseMargin`.
constexpr milliseconds kEndRequestsMargin = 700ms;
/// Time before the process is killed until which it delivers what was handed to
/// connections.
constexpr milliseconds kDeliveryMargin = 100ms;
/// A stopping node takes a request whose deadline it will not reach only if the
/// expected time fits this often into the time that is left.
constexpr int kExpectedTimeSafetyFactor = 2;
/// Time for other nodes to send a newer configuration before this node reads it
/// from the store.
constexpr milliseconds kPeerConfigTimeout = 250ms;
/// A node is ready while the time since its configuration was last confirmed is
/// below this fraction of `max_key_withdrawal_delay`.
constexpr double kMaxReadyAgeFraction = 0.8;

}  // namespace

MeshReducer::MeshReducer(NodeIdentity identity, TimePoint now)
    : identity_(std::move(identity)),
      random_(identity_.seed),
      now_(now),
      started_at_(now),
      config_confirmed_at_(now),
      target_selector_(identity_.zone, identity_.seed + 1),
      retry_budget_(identity_.bounds.retry),
      quarantine_(identity_.node, identity_.incarnation),
      last_tick_at_(now) {
  target_selector_.SetNode(identity_.node, identity_.service, identity_.zone);
  // What an earlier process of this node started on the target is not known.
  queue_.AssumeStartsFullAt(now);
}

MeshReducer::~MeshReducer() = default;

Effects MeshReducer::Reduce(const Event& event) {
  now_ = std::max(now_, event.time);
  effects_.clear();
  std::visit([this](const auto& body) { Handle(body); }, event.body);
  return std::exchange(effects_, {});
}

TimePoint MeshReducer::NextTickTime() const {
  TimePoint wake = last_tick_at_ + (queue_.queued() > 0 ? kQueueTickInterval
                                                        : kIdleTickInterval);
  if (!call_deadlines_.empty())
    wake = std::min(wake, call_deadlines_.begin()->first);
  return wake;
}

void MeshReducer::Reconfigure(const NodeBounds& bounds,
                              const std::string& service) {
  identity_.bounds = bounds;
  identity_.service = service;
  retry_budget_.SetLimits(bounds.retry);
  if (!FollowsEvacuations()) {
    if (evacuations_.zones.contains(identity_.zone))
      AssumeColdSince(now_);
    evacuations_ = {};
    target_selector_.SetEvacuatedZones({});
  }
  UpdateWarmupLimit();
}

NodeStatus MeshReducer::StatusAt(TimePoint now) const {
  NodeStatus status;
  status.config_version = config_ ? config_->version : 0;
  status.config_age =
      std::chrono::duration_cast<milliseconds>(now - config_confirmed_at_);
  status.in_flight = queue_.in_flight();
  status.queued = queue_.queued();
  status.slots = queue_.slots();
  status.calls = calls_.size();
  status.members = members_.size();
  status.links = links_.size();
  status.gone_members = gone_members_.size();
  status.links_opened = links_opened_;
  status.links_accepted = links_accepted_;
  status.links_lost = links_lost_;
  status.configs_sent = configs_sent_.total;
  status.configs_withheld = configs_sent_.withheld;
  for (uint32_t i = 0; i < kRankCount; ++i)
    status.failed_calls_permille[i] = call_failures_.FailurePermille(i, now);
  status.requests_kept = requests_kept_;
  status.requests_leaving = requests_leaving_;
  status.retries = retry_budget_.counts();
  status.stopping = stopping_;
  status.polls_config = PollsConfig();
  status.store_era = store_era_;
  status.store_restores = store_restores_;
  status.config_outdated = newest_config_version_ > status.config_version &&
                           now - config_outdated_since_ > kPeerConfigTimeout;
  status.follows_evacuations = FollowsEvacuations();
  status.evacuated_zones = evacuations_.zones;
  status.evacuations_era = evacuations_.era;
  status.evacuations_revision = evacuations_.revision;
  status.target_serving = IsTargetServing();
  status.warmup_left = WarmupLeft(now);
  status.warmup_refusals = warmup_refusals_;
  auto limit = identity_.bounds.max_key_withdrawal_delay * kMaxReadyAgeFraction;
  status.ready = config_ && !stopping_ && member_reads_.done &&
                 now - config_confirmed_at_ < limit;
  return status;
}

void MeshReducer::Handle(const Tick& event) {
  bool fresh = IsConfigFresh();
  if (config_ && fresh != config_was_fresh_) {
    config_was_fresh_ = fresh;
    LogLine(fresh ? LogCode::kConfigConfirmed : LogCode::kConfigUnconfirmed,
            {{"version", std::to_string(config_->version)},
             {"age_ms", ConfigAgeText()}});
  }
  MaintainNodeRecord();
  MaintainTargetRecord();
  AnswerWrittenReports();
  RefreshMembers();
  UpdatePeerWait();
  UpdateKeepers();
  UpdateFleetSize();
  CloseSilentLinks();
  ConnectMembers();
  CheckTargetSilence();
  Apply(queue_.Advance(now_));
  ExpireCalls();
  ExpireTokenWaits();
  ReportDemand();
  AdvertiseLoad();
  quarantine_.Expire(now_);
  last_tick_at_ = now_;
  if (!stopping_ || stopped_)
    return;
  if (!AcceptsCallers())
    RefuseLateWorks();
  if (now_ >= LastAnswerTime())
    EndRemainingRequests();
  // Each request of a caller postpones the exit, and with it the time from
  // which the target is reported as not serving.
  reports_not_serving_ = now_ >= ExpectedExitTime() - kStopServingMargin ||
                         now_ - stopping_since_ > kStopAdmissionWindow;
  // Callers may read slowly what was answered before.
  bool idle = calls_.empty() && works_.empty() &&
              event.unfinished_writes == 0 && now_ >= ExpectedExitTime();
  if (idle || now_ - stopping_since_ >=
                  identity_.bounds.shutdown_timeout - kConnectionCloseMargin) {
    stopped_ = true;
    auto draining =
        std::chrono::duration_cast<milliseconds>(now_ - stopping_since_);
    LogLine(LogCode::kNodeStopped,
            {{"calls", std::to_string(calls_.size())},
             {"works", std::to_string(works_.size())},
             {"unfinished_writes", std::to_string(event.unfinished_writes)},
             {"draining_ms", std::to_string(draining.count())}});
    while (!calls_.empty())
      AbandonCall(calls_.begin()->second, Reason::kDraining);
    effects_.push_back(Exit{
        stopping_since_ + identity_.bounds.shutdown_timeout - kDeliveryMargin});
  }
}

bool MeshReducer::AcceptsCallers() const {
  return !stopping_ || now_ - stopping_since_ <= kStopAdmissionWindow;
}

TimePoint MeshReducer::LastAnswerTime() const {
  return stopping_since_ + identity_.bounds.shutdown_timeout -
         kEndRequestsMargin;
}

bool MeshReducer::CanAnswerBeforeExit(TimePoint deadline,
                                      microseconds expected_time) const {
  return IsOverBeforeExit(deadline) ||
         now_ + expected_time * kExpectedTimeSafetyFactor < LastAnswerTime();
}

void MeshReducer::RefuseLateWorks() {
  if (std::exchange(late_works_refused_, true))
    return;
  std::vector<WorkId> late;
  for (const auto& [id, work] : works_) {
    if (!work.started && !IsOverBeforeExit(work.deadline))
      late.push_back(id);
  }
  for (WorkId id : late)
    CancelWork(id);
}

void MeshReducer::EndRemainingRequests() {
  if (std::exchange(requests_ended_, true))
    return;
  LogLine(LogCode::kRequestsEnded, {{"calls", std::to_string(calls_.size())},
                                    {"works", std::to_string(works_.size())}});
  Apply(queue_.RefuseAll(), InfoOf(Reason::kDraining).name);
  std::vector<WorkId> works;
  for (const auto& [id, work] : works_)
    works.push_back(id);
  for (WorkId id : works)
    CancelWork(id);
  // The nodes that have the other calls report whether they have run them.
  std::vector<CallId> waiting;
  for (const auto& [id, call] : calls_) {
    if (call.stream == 0)
      waiting.push_back(id);
    else
      SendCancel(call);
  }
  for (CallId id : waiting)
    AbandonCall(calls_.at(id), Reason::kDraining);
}

TimePoint MeshReducer::ExpectedExitTime() const {
  return std::max(stopping_since_ + kMinExitDelay,
                  last_call_at_ + kCallerQuietWindow);
}

void MeshReducer::Handle(const ShutdownRequested& /*event*/) {
  if (std::exchange(stopping_, true))
    return;
  stopping_since_ = now_;
  LogLine(LogCode::kNodeDraining, {{"calls", std::to_string(calls_.size())},
                                   {"works", std::to_string(works_.size())}});
  AdvertiseLoad();
  if (record_.lease != 0) {
    SendStoreRequest(StoreLeaseRevoke{record_.lease},
                     [](const StoreResult&) {});
    record_ = {};
  }
}

void MeshReducer::Handle(const ConfigRead& event) {
  ObserveStoreEra(event.store_era);
  // The store may have been restored to an older state.
  bool doubtful =
      event.store_era != 0 && !config_ && event.config &&
      (AwaitsPeers() || event.config->version < newest_config_version_);
  if (doubtful) {
    if (!held_config_ || event.config->version >= held_config_->version) {
      held_config_ = event.config;
      held_config_confirmed_at_ = event.confirmed_at;
    }
    return;
  }
  // An older copy is no proof that the configuration in force is the newest.
  bool older =
      event.config && config_ && event.config->version < config_->version;
  if (!older)
    config_confirmed_at_ = std::max(config_confirmed_at_, event.confirmed_at);
  if (!event.config || (config_ && event.config->version <= config_->version))
    return;
  config_ = event.config;
  held_config_ = nullptr;
  service_credits_.clear();
  UpdateWarmupLimit();
  AdvertiseLoad();
  LogLine(LogCode::kConfigInForce,
          {{"version", std::to_string(config_->version)},
           {"age_ms", ConfigAgeText()}});
}

void MeshReducer::Handle(const EvacuationsRead& event) {
  ApplyEvacuations({event.era, event.revision, event.zones});
}

void MeshReducer::LogLine(
    LogCode code,
    std::vector<std::pair<std::string, std::string>> fields) {
  effects_.push_back(WriteLogLine{code, std::move(fields)});
}

std::string MeshReducer::ConfigAgeText() const {
  if (!config_)
    return "none";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(now_ - config_confirmed_at_)
          .count());
}

}  // namespace comfreylock::mesh
