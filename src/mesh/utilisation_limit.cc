#include "mesh/utilisation_limit.h"

#include <algorithm>

namespace comfreylock::mesh {
namespace {

/// Weight of a new service time in the route's baseline.
constexpr double kBaselineWeight = 0.03;
/// Factor on the weight of older samples at each new one; the weights add up to
/// 80 at most.
constexpr double kSampleDecay = 0.9875;
/// Weight below which a range is ignored, since single service times vary by
/// half.
constexpr double kMinRangeWeight = 25;
/// Time without samples after which a range is discarded, so that its slots are
/// tried again.
constexpr std::chrono::seconds kRangeRetention{8};
/// All slots are used unless the throughput at a lower utilisation is more than
/// this multiple of the throughput with all slots.
constexpr double kMinThroughputGain = 1.05;

}  // namespace

void UtilisationLimit::Record(const std::string& route,
                              std::chrono::microseconds service_time,
                              uint32_t running,
                              uint32_t slots,
                              TimePoint now) {
  if (slots == 0 || service_time.count() <= 0)
    return;
  double utilisation = static_cast<double>(running) / slots;
  auto time = static_cast<double>(service_time.count());
  auto [baseline, added] = baseline_us_.try_emplace(route, time);
  if (utilisation <= kRangeEnds.front()) {
    baseline->second += kBaselineWeight * (time - baseline->second);
    return;
  }
  // Without a baseline from lower utilisation there is nothing to compare with.
  if (added) {
    baseline_us_.erase(baseline);
    return;
  }
  size_t index = 1;
  while (index + 1 < kRangeEnds.size() && utilisation > kRangeEnds[index])
    ++index;
  Range& range = ranges_[index];
  if (now - range.updated_at > kRangeRetention)
    range = Range();
  range.sum = range.sum * kSampleDecay + time / baseline->second;
  range.weight = range.weight * kSampleDecay + 1;
  range.updated_at = now;
}

double UtilisationLimit::Slowdown(const Range& range, TimePoint now) {
  bool known = range.weight >= kMinRangeWeight &&
               now - range.updated_at <= kRangeRetention;
  return known ? range.sum / range.weight : 1;
}

uint32_t UtilisationLimit::UsableSlots(uint32_t slots, TimePoint now) const {
  double full_throughput = kRangeEnds.back() / Slowdown(ranges_.back(), now);
  double best = full_throughput * kMinThroughputGain;
  double best_utilisation = kRangeEnds.back();
  for (size_t i = 0; i + 1 < kRangeEnds.size(); ++i) {
    double throughput = kRangeEnds[i] / Slowdown(ranges_[i], now);
    if (throughput > best) {
      best = throughput;
      best_utilisation = kRangeEnds[i];
    }
  }
  return std::max(1u, static_cast<uint32_t>(slots * best_utilisation));
}

}  // namespace comfreylock::mesh
