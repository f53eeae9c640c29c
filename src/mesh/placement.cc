#include "mesh/placement.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// Service time that is assumed before the first request, microseconds.
constexpr double kAssumedServiceUs = 50'000;
/// Added to the cost of a target in another availability zone, microseconds:
/// the way there and back, and the price of traffic between zones.
constexpr double kOtherZoneUs = 4'000;
/// Growth of the cost with the square of the used share of the slots, so that
/// the fastest target is not filled before the others are used.
constexpr double kUtilisationWeight = 1.0;
/// Growth of the cost with the share of failed requests; a target that fails
/// half of its requests costs three times as much.
constexpr double kFailureWeight = 4.0;
/// Cost factor of a target that is still cold.
constexpr double kColdFactor = 1.5;
/// Random part of the cost, so that nodes with the same news do not all choose
/// the same target.
constexpr double kSpread = 0.15;

}  // namespace

Placement::Placement(std::string zone, uint64_t seed)
    : zone_(std::move(zone)), random_(seed) {}

void Placement::SetNode(const NodeId& node,
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

void Placement::RemoveNode(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  std::erase(by_service_[found->second.service], node);
  targets_.erase(found);
}

void Placement::Learn(const NodeId& node,
                      const wire::Load& load,
                      TimePoint now) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  target.load = load;
  target.reachable = true;
  target.sent_since_load = 0;
  target.learned = now;
}

void Placement::SetUnreachable(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end())
    found->second.reachable = false;
}

void Placement::OnSent(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  ++found->second.outstanding;
  ++found->second.sent_since_load;
}

void Placement::OnEnded(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

std::optional<Placement::Choice> Placement::Choose(
    std::string_view service,
    uint32_t importance,
    std::span<const NodeId> tried) {
  auto nodes = by_service_.find(service);
  if (nodes == by_service_.end())
    return std::nullopt;
  // What a target without own figures is taken for: the mean of the others.
  double sum = 0;
  int known = 0;
  for (const NodeId& node : nodes->second) {
    const Target& target = targets_.at(node);
    if (target.load.service_time_us() > 0) {
      sum += target.load.service_time_us();
      ++known;
    }
  }
  microseconds typical(
      static_cast<int64_t>(known > 0 ? sum / known : kAssumedServiceUs));
  std::optional<Choice> best;
  double best_cost = 0;
  for (const NodeId& node : nodes->second) {
    const Target& target = targets_.at(node);
    if (!Usable(target) || std::ranges::find(tried, node) != tried.end())
      continue;
    Choice choice = Estimate(node, target, importance, typical);
    double cost = Cost(choice, target);
    if (!best || cost < best_cost) {
      best = choice;
      best_cost = cost;
    }
  }
  return best;
}

bool Placement::Serves(std::string_view service) const {
  auto nodes = by_service_.find(service);
  return nodes != by_service_.end() &&
         std::ranges::any_of(nodes->second, [this](const NodeId& node) {
           return Usable(targets_.at(node));
         });
}

Placement::Choice Placement::Estimate(const NodeId& node,
                                      const Target& target,
                                      uint32_t importance,
                                      microseconds typical) const {
  Choice choice{node};
  choice.service = target.load.service_time_us() > 0
                       ? microseconds(target.load.service_time_us())
                       : typical;
  uint32_t ahead = target.sent_since_load;
  for (int lane = 0;
       lane < target.load.queued_size() && lane <= static_cast<int>(importance);
       ++lane) {
    ahead += target.load.queued(lane);
  }
  uint32_t slots = target.load.slots();
  uint32_t used = target.load.in_flight() + ahead;
  if (used >= slots) {
    choice.wait = microseconds(
        static_cast<int64_t>(static_cast<double>(choice.service.count()) *
                             (used - slots + 1) / slots));
  }
  return choice;
}

double Placement::Cost(const Choice& choice, const Target& target) {
  auto service = static_cast<double>(choice.service.count());
  double used = target.load.in_flight() + target.sent_since_load;
  double utilisation = std::min(1.0, used / target.load.slots());
  double failures = target.load.failure_permille() / 1000.0;
  double cost = service * (1 + kUtilisationWeight * utilisation * utilisation) *
                (1 + kFailureWeight * failures);
  if (target.load.warmup_left_ms() > 0)
    cost *= kColdFactor;
  cost += static_cast<double>(choice.wait.count());
  if (target.zone != zone_)
    cost += kOtherZoneUs;
  return cost * std::uniform_real_distribution<double>(1, 1 + kSpread)(random_);
}

}  // namespace comfreylock::mesh
