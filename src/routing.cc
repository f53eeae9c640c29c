#include "comfreylock/routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Weight of the newest attempt in smoothed figures.
constexpr double kLatencyGain = 0.1;
constexpr double kFailureGain = 0.02;
/// Share of broken attempts above which a service fails as a whole.
constexpr double kWholeFailureShare = 0.5;
/// At most one in so many targets of a service is ejected.
constexpr size_t kEjectionFraction = 3;
/// Loads closer than this are equal; the latency then decides.
constexpr double kLoadTie = 0.05;
/// Own-zone load from which on traffic goes to other zones as far as they have
/// less load; between `kSpillLoad` and this the share grows evenly.
constexpr double kFullSpillLoad = 1.2;
/// An overload refusal makes a target count as full for this time.
constexpr std::chrono::milliseconds kRefusalMemory = 100ms;
constexpr double kRampStart = 0.1;
/// Random picks before the ramp of new targets is set aside.
constexpr int kRampedPicks = 4;

bool IsBroken(AttemptKind kind) {
  return kind != AttemptKind::kAnswered && kind != AttemptKind::kRefused;
}

bool RefusedWithoutTarget(AttemptKind kind, const wire::AnswerReport* report) {
  return kind == AttemptKind::kRefused && report &&
         report->refusal_reason() == InfoOf(Reason::kNoTarget).name;
}

bool Contains(std::span<const NodeId> nodes, const NodeId& node) {
  return std::ranges::find(nodes, node) != nodes.end();
}

/// Mixes the bits of `value` (the finaliser of SplitMix64).
uint64_t Mix(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9;
  value ^= value >> 27;
  value *= 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace

Router::Router(RouterOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      chooser_(options_.policy == Policy::kNaive ? &Router::ChooseInTurn
                                                 : &Router::ChooseByLoad) {}

void Router::SetTarget(const TargetInfo& target, TimePoint now) {
  auto known = targets_.find(target.node);
  if (known != targets_.end()) {
    const TargetInfo& old = known->second.info;
    if (old.service == target.service && old.zone == target.zone) {
      known->second.info = target;
      return;
    }
    RemoveTarget(target.node);
  }
  Target& entry = targets_[target.node];
  entry.info = target;
  entry.hash = Mix(std::hash<std::string>()(options_.node) ^
                   Mix(std::hash<std::string>()(target.node)));
  entry.own_zone = target.zone == options_.zone;
  entry.known_since = now;
  Service& service = services_[target.service];
  (entry.own_zone ? service.own_zone : service.other_zones)
      .emplace(entry.hash, &entry);
  ChooseUsed(service);
}

void Router::RemoveTarget(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  auto service = services_.find(target.info.service);
  (target.own_zone ? service->second.own_zone : service->second.other_zones)
      .erase({target.hash, &target});
  ChooseUsed(service->second);
  if (service->second.used.empty())
    services_.erase(service);
  targets_.erase(found);
}

void Router::ChooseUsed(Service& service) {
  service.used.clear();
  service.used_nodes.clear();
  size_t remote =
      std::min(kRemoteTargetsPerService, service.other_zones.size());
  size_t local = std::min(kTargetsPerService - remote, service.own_zone.size());
  remote = std::min(kTargetsPerService - local, service.other_zones.size());
  auto take = [&](const Ranking& ranking, size_t count) {
    for (auto entry = ranking.begin(); count > 0; ++entry, --count) {
      service.used.push_back(entry->second);
      service.used_nodes.push_back(entry->second->info.node);
    }
  };
  take(service.own_zone, local);
  take(service.other_zones, remote);
  service.own_zone_used = local;
}

std::span<const NodeId> Router::UsedTargets(std::string_view service) const {
  auto found = services_.find(service);
  if (found == services_.end())
    return {};
  return found->second.used_nodes;
}

const TargetInfo* Router::Choose(std::string_view service,
                                 std::span<const NodeId> tried,
                                 TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    return nullptr;
  const Target* target = (this->*chooser_)(found->second, tried, now);
  return target ? &target->info : nullptr;
}

Router::Target* Router::ChooseInTurn(Service& service,
                                     std::span<const NodeId> tried,
                                     TimePoint /*now*/) {
  for (size_t i = 0; i < service.used.size(); ++i) {
    Target* target = service.used[service.next++ % service.used.size()];
    if (!Contains(tried, target->info.node))
      return target;
  }
  return nullptr;
}

Router::Target* Router::ChooseByLoad(Service& service,
                                     std::span<const NodeId> tried,
                                     TimePoint now) {
  std::span<Target* const> used(service.used);
  auto local = used.first(service.own_zone_used);
  auto remote = used.subspan(service.own_zone_used);
  double average = AverageLoad(service, now);
  // Ejection is set aside while everything fails, and if nothing else is left.
  for (bool with_ejected : {FailsAsAWhole(service), true}) {
    Target* here = BetterOfTwo(local, tried, with_ejected, average, now);
    double load = here ? LoadOf(*here, average, now) : 0;
    if (here && load < kSpillLoad)
      return here;
    Target* there = BetterOfTwo(remote, tried, with_ejected, average, now);
    if (!here || (there && SpillsOver(load, *there, average, now)))
      here = there;
    if (here)
      return here;
  }
  return nullptr;
}

bool Router::SpillsOver(double own_load,
                        const Target& other,
                        double average,
                        TimePoint now) {
  // The average is mostly the own zone's load. Without a fresh report it would
  // keep all traffic here, so only attempts on the way count then.
  bool fresh =
      other.reported_limit > 0 && now - other.reported_at <= kReportFresh;
  double load = fresh ? LoadOf(other, average, now)
                      : static_cast<double>(other.outstanding);
  if (load >= own_load)
    return false;
  double share = (own_load - kSpillLoad) / (kFullSpillLoad - kSpillLoad);
  return std::bernoulli_distribution(std::min(share, 1.0))(random_);
}

Router::Target* Router::PickOne(std::span<Target* const> targets,
                                TimePoint now) {
  std::uniform_int_distribution<size_t> pick(0, targets.size() - 1);
  std::uniform_real_distribution<double> chance;
  Target* target = nullptr;
  for (int i = 0; i < kRampedPicks; ++i) {
    target = targets[pick(random_)];
    if (chance(random_) < RampOf(*target, now))
      break;
  }
  return target;
}

Router::Target* Router::BetterOfTwo(std::span<Target* const> targets,
                                    std::span<const NodeId> tried,
                                    bool with_ejected,
                                    double average,
                                    TimePoint now) {
  std::array<Target*, kTargetsPerService> eligible;
  size_t count = 0;
  for (Target* target : targets) {
    if ((with_ejected || now >= target->ejected_until) &&
        !Contains(tried, target->info.node)) {
      eligible[count++] = target;
    }
  }
  if (count == 0)
    return nullptr;
  Target* first = PickOne({eligible.data(), count}, now);
  if (count == 1)
    return first;
  std::swap(*std::ranges::find(eligible, first), eligible[count - 1]);
  Target* second = PickOne({eligible.data(), count - 1}, now);
  double difference =
      LoadOf(*first, average, now) - LoadOf(*second, average, now);
  if (std::abs(difference) < kLoadTie)
    return second->latency < first->latency ? second : first;
  return difference > 0 ? second : first;
}

double Router::RampOf(const Target& target, TimePoint now) const {
  double share = std::chrono::duration<double>(now - target.known_since) /
                 std::chrono::duration<double>(kRouteRamp);
  return std::min(1.0, kRampStart + (1 - kRampStart) * share);
}

double Router::LoadOf(const Target& target,
                      double average,
                      TimePoint now) const {
  if (target.reported_limit == 0)
    return average + target.outstanding;
  double age = std::chrono::duration<double>(now - target.reported_at) /
               std::chrono::duration<double>(kReportFresh);
  double trust = age <= 1 ? 1 : 1 / age;
  double limit = target.reported_limit;
  double reported =
      trust * target.reported_in_flight / limit + (1 - trust) * average;
  double load = reported + target.outstanding / limit;
  return now < target.refused_until ? std::max(load, 1.0) + 1 : load;
}

double Router::AverageLoad(const Service& service, TimePoint now) const {
  double sum = 0;
  size_t count = 0;
  for (const Target* target : service.used) {
    if (target->reported_limit == 0 || now - target->reported_at > kReportFresh)
      continue;
    sum += static_cast<double>(target->reported_in_flight) /
           target->reported_limit;
    ++count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

void Router::OnDispatched(const NodeId& node, TimePoint /*now*/) {
  auto found = targets_.find(node);
  if (found != targets_.end())
    ++found->second.outstanding;
}

void Router::OnAbandoned(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

void Router::OnEnded(const NodeId& node,
                     AttemptKind kind,
                     const wire::AnswerReport* report,
                     std::chrono::microseconds latency,
                     TimePoint now) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  // A target cannot have less in flight than this node has sent to it.
  uint32_t outstanding = target.outstanding;
  if (target.outstanding > 0)
    --target.outstanding;
  Service& service = services_.find(target.info.service)->second;
  bool broken = IsBroken(kind) ||
                (report && kind == AttemptKind::kRefused && report->started());
  // A node that cannot reach its target, or cannot be reached itself, will not
  // serve the next request either.
  bool unreachable =
      kind == AttemptKind::kNotSent || RefusedWithoutTarget(kind, report);
  broken = broken || unreachable;
  service.failure_share += kFailureGain * (broken - service.failure_share);
  if (unreachable)
    target.failures = std::max(target.failures, kEjectAfter - 1);
  if (broken) {
    NoteFailure(service, target, now);
    return;
  }
  target.failures = 0;
  if (kind == AttemptKind::kAnswered) {
    target.ejections = 0;
    auto sample = static_cast<double>(latency.count());
    target.latency +=
        target.latency == 0 ? sample : kLatencyGain * (sample - target.latency);
  } else {
    target.refused_until = now + kRefusalMemory;
  }
  if (!report || report->limit() == 0)
    return;
  target.reported_in_flight =
      std::max(report->in_flight() + report->queued(), outstanding) -
      std::min(outstanding, 1U);
  target.reported_limit = report->limit();
  target.reported_at = now;
}

bool Router::FailsAsAWhole(const Service& service) const {
  return service.failure_share > kWholeFailureShare;
}

void Router::NoteFailure(Service& service, Target& target, TimePoint now) {
  if (++target.failures < kEjectAfter || now < target.ejected_until)
    return;
  auto ejected = static_cast<size_t>(std::ranges::count_if(
      service.used,
      [&](const Target* other) { return now < other->ejected_until; }));
  if ((ejected + 1) * kEjectionFraction > service.used.size() ||
      FailsAsAWhole(service)) {
    return;
  }
  auto duration =
      std::min(kLongestEjection,
               kShortestEjection * (1 << std::min(target.ejections, 5U)));
  target.ejected_until = now + duration;
  ++target.ejections;
  // The next attempt after the ejection decides alone.
  target.failures = kEjectAfter - 1;
}

bool Router::IsEjected(const NodeId& node, TimePoint now) const {
  auto found = targets_.find(node);
  if (found == targets_.end() || now >= found->second.ejected_until)
    return false;
  auto service = services_.find(found->second.info.service);
  return !FailsAsAWhole(service->second);
}

}  // namespace comfreylock
