#include "mesh/fullness_limit.h"

#include <algorithm>

namespace comfreylock::mesh {
namespace {

/// Weight of a new time in a route's own time.
constexpr double kOwnGain = 0.03;
/// Part of their weight that older times keep beside a new one; about 80 count.
constexpr double kKept = 0.9875;
/// Weight below which a range is not known: single times vary by half.
constexpr double kLeastWeight = 25;
/// Time after which a range is tried again.
constexpr std::chrono::seconds kRangeKept{8};
/// Gain of throughput below which all slots are used.
constexpr double kLeastGain = 1.05;

}  // namespace

void FullnessLimit::Record(const std::string& route,
                           std::chrono::microseconds took,
                           uint32_t running,
                           uint32_t slots,
                           TimePoint now) {
  if (slots == 0 || took.count() <= 0)
    return;
  double fullness = static_cast<double>(running) / slots;
  auto time = static_cast<double>(took.count());
  auto [own, added] = own_times_us_.try_emplace(route, time);
  if (fullness <= kEnds.front()) {
    own->second += kOwnGain * (time - own->second);
    return;
  }
  // Without times at lower fullness there is nothing to compare with.
  if (added) {
    own_times_us_.erase(own);
    return;
  }
  size_t index = 1;
  while (index + 1 < kEnds.size() && fullness > kEnds[index])
    ++index;
  Range& range = ranges_[index];
  if (now - range.last > kRangeKept)
    range = Range();
  range.sum = range.sum * kKept + time / own->second;
  range.weight = range.weight * kKept + 1;
  range.last = now;
}

double FullnessLimit::Slowdown(const Range& range, TimePoint now) {
  bool known = range.weight >= kLeastWeight && now - range.last <= kRangeKept;
  return known ? range.sum / range.weight : 1;
}

uint32_t FullnessLimit::Limit(uint32_t slots, TimePoint now) const {
  double all = kEnds.back() / Slowdown(ranges_.back(), now);
  double best = all * kLeastGain;
  double end = kEnds.back();
  for (size_t i = 0; i + 1 < kEnds.size(); ++i) {
    double throughput = kEnds[i] / Slowdown(ranges_[i], now);
    if (throughput > best) {
      best = throughput;
      end = kEnds[i];
    }
  }
  return std::max(1u, static_cast<uint32_t>(slots * end));
}

}  // namespace comfreylock::mesh
