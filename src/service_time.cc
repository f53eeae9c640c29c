#include "service_time.h"

#include <cmath>

namespace comfreylock {
namespace {

/// Weight of the newest request in the smoothed mean.
constexpr double kNewestSampleWeight = 1.0 / 16;
constexpr std::chrono::seconds kEstimateHalfLife{1};

}  // namespace

void ServiceTime::Record(const std::string& route,
                         std::chrono::microseconds latency,
                         TimePoint now) {
  auto [found, added] = routes_.try_emplace(route);
  Estimate& estimate = found->second;
  auto sample = static_cast<double>(latency.count());
  estimate.mean =
      added ? sample
            : estimate.mean + kNewestSampleWeight * (sample - estimate.mean);
  estimate.recorded_at = now;
}

std::chrono::microseconds ServiceTime::Expected(const std::string& route,
                                                TimePoint now) const {
  auto found = routes_.find(route);
  if (found == routes_.end())
    return std::chrono::microseconds(0);
  auto half_lives =
      static_cast<int>((now - found->second.recorded_at) / kEstimateHalfLife);
  return std::chrono::microseconds(
      static_cast<int64_t>(std::ldexp(found->second.mean, -half_lives)));
}

}  // namespace comfreylock
