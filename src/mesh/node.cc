#include "mesh/node.h"

#include <algorithm>
#include <utility>

namespace comfreylock::mesh {
namespace {

using std::chrono::milliseconds;

/// Longest time without `TimePassed`.
constexpr milliseconds kIdleTick = 100ms;
/// Interval while requests wait beside the target.
constexpr milliseconds kQueueTick = 20ms;
/// A stopping node goes on for this time at least: clients stop after two
/// failed readiness checks, one second apart.
constexpr milliseconds kLeastStopTime = 2100ms;
/// It then exits once no caller has sent anything for this time.
constexpr milliseconds kQuietBeforeStop = 700ms;
/// A little before, it takes no more work of others, so that what runs can end.
constexpr milliseconds kLastWorkBeforeStop = 400ms;
/// Time after the start of a graceful stop for which callers' requests and work
/// are still taken; later ones might not end before the process must.
constexpr milliseconds kTakeWhileStopping = 2700ms;
/// Before the end of the grace time, what is left for closing connections.
constexpr milliseconds kStopMargin = 400ms;
/// Time in which other nodes may hand on a newer configuration before the store
/// is asked for it.
constexpr milliseconds kConfigHandover = 250ms;
/// Part of the time for withdrawn keys within which a node without news still
/// calls itself ready.
constexpr double kReadyPart = 0.8;

}  // namespace

Node::Node(NodeIdentity identity, TimePoint now)
    : identity_(std::move(identity)),
      random_(identity_.seed),
      now_(now),
      config_confirmed_(now),
      placement_(identity_.zone, identity_.seed + 1),
      retries_(identity_.bounds.retry),
      quarantine_(identity_.node, identity_.boot),
      last_pass_(now) {
  placement_.SetNode(identity_.node, identity_.service, identity_.zone);
}

Node::~Node() = default;

Effects Node::Reduce(const Event& event) {
  now_ = std::max(now_, event.time);
  effects_.clear();
  std::visit([this](const auto& body) { On(body); }, event.body);
  return std::exchange(effects_, {});
}

TimePoint Node::NextWake() const {
  TimePoint wake = last_pass_ + (queue_.queued() > 0 ? kQueueTick : kIdleTick);
  if (!call_deadlines_.empty())
    wake = std::min(wake, call_deadlines_.begin()->first);
  return wake;
}

void Node::Reconfigure(const NodeBounds& bounds, const std::string& service) {
  identity_.bounds = bounds;
  identity_.service = service;
  retries_.SetBound(bounds.retry);
}

NodeStatus Node::StatusAt(TimePoint now) const {
  NodeStatus status;
  status.config_version = config_ ? config_->version : 0;
  status.config_age =
      std::chrono::duration_cast<milliseconds>(now - config_confirmed_);
  status.in_flight = queue_.in_flight();
  status.queued = queue_.queued();
  status.slots = queue_.slots();
  status.calls = calls_.size();
  status.members = members_.size();
  status.links = links_.size();
  for (uint32_t i = 0; i < kRanks; ++i)
    status.failed_calls_permille[i] = call_failures_.Permille(i, now);
  status.stopping = stopping_;
  status.watches_config = WatchesConfig();
  status.config_outdated = newest_version_ > status.config_version &&
                           now - newer_since_ > kConfigHandover;
  auto limit = identity_.bounds.key_withdrawal * kReadyPart;
  status.ready =
      config_ && !stopping_ && reads_.done && now - config_confirmed_ < limit;
  return status;
}

void Node::On(const TimePassed& /*event*/) {
  bool fresh = ConfigFresh();
  if (config_ && fresh != config_was_fresh_) {
    config_was_fresh_ = fresh;
    LogLine(fresh ? LogCode::kConfigConfirmed : LogCode::kConfigUnconfirmed,
            {{"version", std::to_string(config_->version)},
             {"age_ms", ConfigAge()}});
  }
  AdvanceRecord();
  if (!target_record_read_)
    ReadTargetRecord();
  if (target_record_due_)
    WriteTargetRecord();
  AdvanceMembers();
  UpdateFleetSize();
  CloseSilentLinks();
  ConnectMembers();
  AdvanceTarget();
  Apply(queue_.Advance(now_));
  ExpireCalls();
  ExpireTokenWaits();
  ReportDemand();
  TellLoad();
  quarantine_.Expire(now_);
  last_pass_ = now_;
  if (!stopping_ || stopped_)
    return;
  // A caller's request puts the end off, and with it that of taking work.
  refuses_work_ = now_ >= ExpectedStop() - kLastWorkBeforeStop ||
                  now_ - stop_since_ > kTakeWhileStopping;
  bool quiet = calls_.empty() && works_.empty() && now_ >= ExpectedStop();
  if (quiet || now_ - stop_since_ >= identity_.bounds.grace - kStopMargin) {
    stopped_ = true;
    LogLine(LogCode::kNodeStopped, {{"calls", std::to_string(calls_.size())}});
    effects_.push_back(Stop{});
  }
}

bool Node::TakesCallers() const {
  return !stopping_ || now_ - stop_since_ <= kTakeWhileStopping;
}

TimePoint Node::ExpectedStop() const {
  return std::max(stop_since_ + kLeastStopTime, last_call_ + kQuietBeforeStop);
}

void Node::On(const ShutdownRequested& /*event*/) {
  if (std::exchange(stopping_, true))
    return;
  stop_since_ = now_;
  LogLine(LogCode::kNodeDraining, {{"calls", std::to_string(calls_.size())},
                                   {"works", std::to_string(works_.size())}});
  TellLoad();
  if (record_.lease != 0) {
    Ask(StoreLeaseRevoke{record_.lease}, [](const StoreResult&) {});
    record_ = {};
  }
}

void Node::On(const ConfigRead& event) {
  config_confirmed_ = std::max(config_confirmed_, event.confirmed);
  if (!event.config || (config_ && event.config->version <= config_->version))
    return;
  config_ = event.config;
  split_credit_.clear();
  TellLoad();
  LogLine(
      LogCode::kConfigInForce,
      {{"version", std::to_string(config_->version)}, {"age_ms", ConfigAge()}});
}

void Node::LogLine(LogCode code,
                   std::vector<std::pair<std::string, std::string>> fields) {
  effects_.push_back(WriteLine{code, std::move(fields)});
}

std::string Node::ConfigAge() const {
  if (!config_)
    return "none";
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(now_ - config_confirmed_)
          .count());
}

}  // namespace comfreylock::mesh
