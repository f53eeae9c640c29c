#include "mesh/target_selector.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// Service time that is assumed while no target reports one for the route.
constexpr microseconds kAssumedServiceTime{50'000};
/// Growth of the cost with the square of the utilisation, so that other targets
/// are used before the fastest one is full.
constexpr double kUtilisationWeight = 1.0;
/// Growth of the cost with the fraction of failed requests; a target that fails
/// half of its requests costs three times as much.
constexpr double kFailureWeight = 4.0;
/// Cost factor of a target that is still warming up.
constexpr double kWarmupCostFactor = 1.5;
/// Remaining warm-up from which on the additional cost of a cold target with
/// limited starts is highest. A typical warm-up takes 3 s; below it the cost
/// falls with the time left, so that requests return step by step.
constexpr double kWarmupRampMs = 3000;
/// Time after a request was sent within which its node must be heard from. A
/// node with requests sends its load every 200 ms, up to 100 ms late.
constexpr std::chrono::milliseconds kMaxSilence{500};
/// Cost added to a silent target, above the expected time of any other.
constexpr double kSilentTargetCostUs = 60e6;
constexpr double kPermille = 1000;
/// Largest random fraction added to the cost, so that nodes with the same load
/// reports do not all choose the same target.
constexpr double kMaxCostJitter = 0.15;

}  // namespace

TargetSelector::TargetSelector(std::string zone, uint64_t seed)
    : zone_(std::move(zone)), random_(seed) {}

void TargetSelector::SetNode(const NodeId& node,
                             const std::string& service,
                             const std::string& zone) {
  auto found = targets_.find(node);
  if (found != targets_.end() && found->second.service == service &&
      found->second.zone == zone) {
    return;
  }
  RemoveNode(node);
  Target& target = targets_[node];
  target.service = service;
  target.zone = zone;
  by_service_[service].push_back(node);
}

void TargetSelector::RemoveNode(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  std::erase(by_service_[found->second.service], node);
  targets_.erase(found);
}

void TargetSelector::Update(const NodeId& node, const wire::Load& load) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  target.load = load;
  target.reachable = true;
  target.sent_since_load = 0;
}

void TargetSelector::SetUnreachable(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end())
    found->second.reachable = false;
}

void TargetSelector::OnRequestSent(const NodeId& node, TimePoint now) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  ++target.outstanding;
  if (++target.sent_since_load == 1)
    target.first_sent_at = now;
}

bool TargetSelector::IsSilent(const Target& target, TimePoint now) {
  return target.sent_since_load > 0 && now - target.first_sent_at > kMaxSilence;
}

void TargetSelector::OnRequestEnded(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

microseconds TargetSelector::ReportedServiceTime(const Target& target,
                                                 std::string_view route) {
  for (const wire::Load::RouteTime& time : target.load.route_times()) {
    if (time.route() == route)
      return microseconds(time.time_us());
  }
  return microseconds(0);
}

microseconds TargetSelector::TypicalServiceTime(std::span<const NodeId> nodes,
                                                std::string_view route) const {
  microseconds sum(0);
  int known = 0;
  for (const NodeId& node : nodes) {
    microseconds time = ReportedServiceTime(targets_.at(node), route);
    sum += time;
    known += time.count() > 0 ? 1 : 0;
  }
  return known > 0 ? sum / known : kAssumedServiceTime;
}

TargetSelector::ZoneLoads TargetSelector::LoadsByZone(
    const Request& request) const {
  ZoneLoads loads;
  auto nodes = by_service_.find(request.service);
  if (nodes == by_service_.end())
    return loads;
  microseconds typical = TypicalServiceTime(nodes->second, request.route);
  int own_targets = 0;
  int other_targets = 0;
  for (const NodeId& node : nodes->second) {
    const Target& target = targets_.at(node);
    if (!IsUsable(target))
      continue;
    bool own = target.zone == zone_;
    ++(own ? own_targets : other_targets);
    ZoneLoad& load = own ? loads.own : loads.others;
    load.slots += target.load.slots();
    load.used +=
        target.load.in_flight() + target.load.queued() + target.sent_since_load;
    Choice choice = Estimate(node, target, request, typical);
    load.expected_time += choice.wait + choice.service;
  }
  loads.own.expected_time /= std::max(own_targets, 1);
  loads.others.expected_time /= std::max(other_targets, 1);
  return loads;
}

std::optional<TargetSelector::Choice> TargetSelector::Choose(
    const Request& request,
    std::span<const NodeId> tried,
    TimePoint now) {
  auto nodes = by_service_.find(request.service);
  if (nodes == by_service_.end())
    return std::nullopt;
  microseconds typical = TypicalServiceTime(nodes->second, request.route);
  std::optional<Choice> best;
  double best_cost = 0;
  for (const NodeId& node : nodes->second) {
    const Target& target = targets_.at(node);
    if (!IsUsable(target) || std::ranges::find(tried, node) != tried.end())
      continue;
    Choice choice = Estimate(node, target, request, typical);
    double cost = Cost(choice, target, request);
    if (IsSilent(target, now))
      cost += kSilentTargetCostUs;
    if (!best || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

bool TargetSelector::HasUntriedTarget(std::string_view service,
                                      std::span<const NodeId> tried) const {
  auto nodes = by_service_.find(service);
  return nodes != by_service_.end() &&
         std::ranges::any_of(nodes->second, [&](const NodeId& node) {
           return IsUsable(targets_.at(node)) &&
                  std::ranges::find(tried, node) == tried.end();
         });
}

TargetSelector::Choice TargetSelector::Estimate(const NodeId& node,
                                                const Target& target,
                                                const Request& request,
                                                microseconds typical) const {
  Choice choice{node};
  choice.service = ReportedServiceTime(target, request.route);
  if (choice.service.count() == 0)
    choice.service = typical;
  const auto& waits = request.onward ? target.load.call_wait_us()
                                     : target.load.request_wait_us();
  int rank_index = std::min(static_cast<int>(request.rank), waits.size() - 1);
  if (rank_index >= 0)
    choice.wait = microseconds(waits[rank_index]);
  // The reported wait does not include requests sent since the report.
  if (microseconds interval = StartInterval(target); interval.count() > 0) {
    choice.wait += interval * target.sent_since_load;
    return choice;
  }
  uint32_t slots = target.load.slots();
  uint32_t used = target.load.in_flight() + target.sent_since_load;
  if (used >= slots) {
    choice.wait += microseconds(target.load.service_time_us()) *
                   (used - std::max(target.load.in_flight(), slots) + 1) /
                   slots;
  }
  return choice;
}

microseconds TargetSelector::StartInterval(const Target& target) {
  constexpr int64_t kMicrosecondsPer1000Seconds = 1'000'000'000;
  if (target.load.warmup_left_ms() == 0 || target.load.start_rate_milli() == 0)
    return microseconds(0);
  return microseconds(kMicrosecondsPer1000Seconds /
                      target.load.start_rate_milli());
}

double TargetSelector::CallFailureRatio(std::string_view service,
                                        uint32_t rank) const {
  auto nodes = by_service_.find(service);
  if (nodes == by_service_.end())
    return 0;
  double sum = 0;
  int count = 0;
  for (const NodeId& node : nodes->second) {
    const wire::Load& load = targets_.at(node).load;
    if (!IsUsable(targets_.at(node)))
      continue;
    ++count;
    if (load.failed_calls_permille().empty())
      continue;
    int rank_index =
        std::min(static_cast<int>(rank), load.failed_calls_permille_size() - 1);
    sum += load.failed_calls_permille(rank_index);
  }
  return count == 0 ? 0 : sum / count / kPermille;
}

double TargetSelector::Cost(const Choice& choice,
                            const Target& target,
                            const Request& request) {
  auto service = static_cast<double>(choice.service.count());
  double used = target.load.in_flight() + target.sent_since_load;
  double utilisation = std::min(1.0, used / target.load.slots());
  double failures = target.load.failure_permille() / 1000.0;
  double cost = service * (1 + kUtilisationWeight * utilisation * utilisation) *
                (1 + kFailureWeight * failures);
  if (target.load.warmup_left_ms() > 0)
    cost *= kWarmupCostFactor;
  double ramp = std::min(1.0, target.load.warmup_left_ms() / kWarmupRampMs);
  cost += ramp * static_cast<double>(StartInterval(target).count());
  cost += static_cast<double>(choice.wait.count());
  cost *=
      std::uniform_real_distribution<double>(1, 1 + kMaxCostJitter)(random_);
  if (target.zone != zone_)
    cost += static_cast<double>(request.zone_tolerance.count());
  return cost;
}

}  // namespace comfreylock::mesh
