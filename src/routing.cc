#include "comfreylock/routing.h"

#include <algorithm>

namespace comfreylock {

Router::Router(std::string own_zone, uint64_t seed)
    : own_zone_(std::move(own_zone)), random_(seed) {}

void Router::SetTarget(const TargetInfo& target, TimePoint /*now*/) {
  auto [entry, added] = targets_.try_emplace(target.node);
  entry->second.info = target;
  if (added)
    by_service_[target.service].push_back(target.node);
}

void Router::RemoveTarget(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  std::erase(by_service_[found->second.info.service], node);
  targets_.erase(found);
}

const TargetInfo* Router::Choose(std::string_view service,
                                 std::span<const NodeId> tried,
                                 TimePoint /*now*/) {
  auto found = by_service_.find(service);
  if (found == by_service_.end())
    return nullptr;
  std::vector<const Target*> candidates;
  for (const auto& node : found->second) {
    if (std::ranges::find(tried, node) == tried.end())
      candidates.push_back(&targets_.at(node));
  }
  if (candidates.empty())
    return nullptr;
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  const Target* first = candidates[pick(random_)];
  const Target* second = candidates[pick(random_)];
  return LoadOf(*second) < LoadOf(*first) ? &second->info : &first->info;
}

void Router::OnDispatched(const NodeId& node, TimePoint /*now*/) {
  auto found = targets_.find(node);
  if (found != targets_.end())
    ++found->second.outstanding;
}

void Router::OnEnded(const NodeId& node,
                     AttemptKind /*kind*/,
                     const wire::AnswerReport* report,
                     std::chrono::microseconds /*latency*/,
                     TimePoint /*now*/) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  if (target.outstanding > 0)
    --target.outstanding;
  if (!report)
    return;
  target.reported_in_flight = report->in_flight() + report->queued();
  target.reported_limit = report->limit();
}

double Router::LoadOf(const Target& target) const {
  double limit = std::max<uint32_t>(target.reported_limit, 1);
  return (target.outstanding + target.reported_in_flight) / limit;
}

}  // namespace comfreylock
