#include "comfreylock/routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Weights of the newest attempt in the smoothed latency and failure ratio.
constexpr double kNewestLatencyWeight = 0.1;
constexpr double kNewestFailureWeight = 0.02;
/// Ratio of failed attempts above which the whole service counts as failing.
constexpr double kMaxFailureRatio = 0.5;
/// At most one in this many targets of a service is ejected.
constexpr size_t kTargetsPerEjection = 3;
/// Loads that differ by less count as equal; the latency then decides.
constexpr double kMinLoadDifference = 0.05;
/// Own-zone load from which on all requests go to other zones with less load.
/// Between `kZoneSpillLoadFraction` and this load, the fraction of them grows
/// linearly.
constexpr double kFullSpillLoad = 1.2;
/// Time for which a target counts as full after an overload refusal.
constexpr std::chrono::milliseconds kFullAfterRefusalWindow = 100ms;
/// Fraction of its full traffic that a newly added target starts with.
constexpr double kInitialRampFraction = 0.1;
/// Number of random picks; the last one is accepted regardless of its ramp-up.
constexpr int kMaxRampPicks = 4;

bool IsFailure(AttemptResult kind) {
  return kind != AttemptResult::kAnswered && kind != AttemptResult::kRefused;
}

bool IsNoTargetRefusal(AttemptResult kind, const wire::AnswerReport* report) {
  return kind == AttemptResult::kRefused && report &&
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
      chooser_(options_.policy == Policy::kNaive ? &Router::ChooseRoundRobin
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
  entry.added_at = now;
  Service& service = services_[target.service];
  (entry.own_zone ? service.own_zone : service.other_zones)
      .emplace(entry.hash, &entry);
  SelectUsedTargets(service);
}

void Router::RemoveTarget(const NodeId& node) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  auto service = services_.find(target.info.service);
  (target.own_zone ? service->second.own_zone : service->second.other_zones)
      .erase({target.hash, &target});
  SelectUsedTargets(service->second);
  if (service->second.used.empty())
    services_.erase(service);
  targets_.erase(found);
}

void Router::SelectUsedTargets(Service& service) {
  service.used.clear();
  service.used_nodes.clear();
  size_t remote =
      std::min(kMinRemoteTargetsPerService, service.other_zones.size());
  size_t local =
      std::min(kMaxTargetsPerService - remote, service.own_zone.size());
  remote = std::min(kMaxTargetsPerService - local, service.other_zones.size());
  auto add_first = [&](const Ranking& ranking, size_t count) {
    for (auto entry = ranking.begin(); count > 0; ++entry, --count) {
      service.used.push_back(entry->second);
      service.used_nodes.push_back(entry->second->info.node);
    }
  };
  add_first(service.own_zone, local);
  add_first(service.other_zones, remote);
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

Router::Target* Router::ChooseRoundRobin(Service& service,
                                         std::span<const NodeId> tried,
                                         TimePoint /*now*/) {
  for (size_t i = 0; i < service.used.size(); ++i) {
    Target* target = service.used[service.next_index++ % service.used.size()];
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
  // Ejected targets may be chosen while the whole service fails, or if no other
  // target is eligible.
  for (bool include_ejected : {IsFailingServiceWide(service), true}) {
    Target* choice =
        LessLoadedOfTwo(local, tried, include_ejected, average, now);
    double load = choice ? LoadOf(*choice, average, now) : 0;
    if (choice && load < kZoneSpillLoadFraction)
      return choice;
    Target* spill =
        LessLoadedOfTwo(remote, tried, include_ejected, average, now);
    if (!choice || (spill && ShouldSpill(load, *spill, average, now)))
      choice = spill;
    if (choice)
      return choice;
  }
  return nullptr;
}

bool Router::ShouldSpill(double own_load,
                         const Target& other,
                         double average,
                         TimePoint now) {
  // Without a fresh report, LoadOf() uses the average, which is mostly the own
  // zone's load and would keep all traffic in the own zone. The number of
  // outstanding attempts is used instead.
  bool has_fresh_report = other.reported_limit > 0 &&
                          now - other.reported_at <= kReportFreshnessWindow;
  double load = has_fresh_report ? LoadOf(other, average, now)
                                 : static_cast<double>(other.outstanding);
  if (load >= own_load)
    return false;
  double spill_probability = (own_load - kZoneSpillLoadFraction) /
                             (kFullSpillLoad - kZoneSpillLoadFraction);
  return std::bernoulli_distribution(std::min(spill_probability, 1.0))(random_);
}

Router::Target* Router::PickRandom(std::span<Target* const> targets,
                                   TimePoint now) {
  std::uniform_int_distribution<size_t> pick(0, targets.size() - 1);
  std::uniform_real_distribution<double> chance;
  Target* target = nullptr;
  for (int i = 0; i < kMaxRampPicks; ++i) {
    target = targets[pick(random_)];
    if (chance(random_) < RampFraction(*target, now))
      break;
  }
  return target;
}

Router::Target* Router::LessLoadedOfTwo(std::span<Target* const> targets,
                                        std::span<const NodeId> tried,
                                        bool include_ejected,
                                        double average,
                                        TimePoint now) {
  std::array<Target*, kMaxTargetsPerService> eligible;
  size_t count = 0;
  for (Target* target : targets) {
    if ((include_ejected || now >= target->ejected_until) &&
        !Contains(tried, target->info.node)) {
      eligible[count++] = target;
    }
  }
  if (count == 0)
    return nullptr;
  Target* first = PickRandom({eligible.data(), count}, now);
  if (count == 1)
    return first;
  std::swap(*std::ranges::find(eligible, first), eligible[count - 1]);
  Target* second = PickRandom({eligible.data(), count - 1}, now);
  double difference =
      LoadOf(*first, average, now) - LoadOf(*second, average, now);
  if (std::abs(difference) < kMinLoadDifference)
    return second->latency < first->latency ? second : first;
  return difference > 0 ? second : first;
}

double Router::RampFraction(const Target& target, TimePoint now) const {
  double elapsed = std::chrono::duration<double>(now - target.added_at) /
                   std::chrono::duration<double>(kTargetRampWindow);
  return std::min(1.0,
                  kInitialRampFraction + (1 - kInitialRampFraction) * elapsed);
}

double Router::LoadOf(const Target& target,
                      double average,
                      TimePoint now) const {
  if (target.reported_limit == 0)
    return average + target.outstanding;
  double age = std::chrono::duration<double>(now - target.reported_at) /
               std::chrono::duration<double>(kReportFreshnessWindow);
  double report_weight = age <= 1 ? 1 : 1 / age;
  double limit = target.reported_limit;
  double reported = report_weight * target.reported_in_flight / limit +
                    (1 - report_weight) * average;
  double load = reported + target.outstanding / limit;
  return now < target.full_until ? std::max(load, 1.0) + 1 : load;
}

double Router::AverageLoad(const Service& service, TimePoint now) const {
  double sum = 0;
  size_t count = 0;
  for (const Target* target : service.used) {
    if (target->reported_limit == 0 ||
        now - target->reported_at > kReportFreshnessWindow)
      continue;
    sum += static_cast<double>(target->reported_in_flight) /
           target->reported_limit;
    ++count;
  }
  return count == 0 ? 0 : sum / static_cast<double>(count);
}

void Router::OnAttemptDispatched(const NodeId& node, TimePoint /*now*/) {
  auto found = targets_.find(node);
  if (found != targets_.end())
    ++found->second.outstanding;
}

void Router::OnAttemptAbandoned(const NodeId& node) {
  auto found = targets_.find(node);
  if (found != targets_.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

void Router::OnAttemptEnded(const NodeId& node,
                            AttemptResult kind,
                            const wire::AnswerReport* report,
                            std::chrono::microseconds latency,
                            TimePoint now) {
  auto found = targets_.find(node);
  if (found == targets_.end())
    return;
  Target& target = found->second;
  // The target has at least this node's outstanding attempts in flight, even if
  // its report has a smaller number.
  uint32_t outstanding = target.outstanding;
  if (target.outstanding > 0)
    --target.outstanding;
  Service& service = services_.find(target.info.service)->second;
  bool failed = IsFailure(kind) || (report && kind == AttemptResult::kRefused &&
                                    report->started());
  // A node that cannot reach its target, or cannot be reached itself, will fail
  // the next request as well, so one such attempt is enough to eject it.
  bool unreachable =
      kind == AttemptResult::kNotSent || IsNoTargetRefusal(kind, report);
  failed = failed || unreachable;
  service.failure_ratio +=
      kNewestFailureWeight * (failed - service.failure_ratio);
  if (unreachable)
    target.consecutive_failures =
        std::max(target.consecutive_failures, kFailuresToEject - 1);
  if (failed) {
    RecordFailure(service, target, now);
    return;
  }
  target.consecutive_failures = 0;
  if (kind == AttemptResult::kAnswered) {
    target.ejections = 0;
    auto sample = static_cast<double>(latency.count());
    target.latency += target.latency == 0
                          ? sample
                          : kNewestLatencyWeight * (sample - target.latency);
  } else {
    target.full_until = now + kFullAfterRefusalWindow;
  }
  if (!report || report->limit() == 0)
    return;
  target.reported_in_flight =
      std::max(report->in_flight() + report->queued(), outstanding) -
      std::min(outstanding, 1U);
  target.reported_limit = report->limit();
  target.reported_at = now;
}

bool Router::IsFailingServiceWide(const Service& service) const {
  return service.failure_ratio > kMaxFailureRatio;
}

void Router::RecordFailure(Service& service, Target& target, TimePoint now) {
  if (++target.consecutive_failures < kFailuresToEject ||
      now < target.ejected_until)
    return;
  auto ejected = static_cast<size_t>(std::ranges::count_if(
      service.used,
      [&](const Target* other) { return now < other->ejected_until; }));
  if ((ejected + 1) * kTargetsPerEjection > service.used.size() ||
      IsFailingServiceWide(service)) {
    return;
  }
  auto duration =
      std::min(kMaxEjectionTime,
               kMinEjectionTime * (1 << std::min(target.ejections, 5U)));
  target.ejected_until = now + duration;
  ++target.ejections;
  // After the ejection, one more failed attempt ejects the target again.
  target.consecutive_failures = kFailuresToEject - 1;
}

bool Router::IsEjected(const NodeId& node, TimePoint now) const {
  auto found = targets_.find(node);
  if (found == targets_.end() || now >= found->second.ejected_until)
    return false;
  auto service = services_.find(found->second.info.service);
  return !IsFailingServiceWide(service->second);
}

}  // namespace comfreylock
