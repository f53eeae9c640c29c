#include "mesh/call_throttle.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

/// Time in which counted calls lose half of their weight.
constexpr std::chrono::milliseconds kHalfLife{300};
/// Calls below this weight say nothing.
constexpr double kLeastCalls = 3;
/// Part of failed calls that is taken for chance.
constexpr double kTolerated = 0.1;
/// Part of the failures by which the admitted part falls in one interval.
constexpr double kFallGain = 0.35;
/// Rise of the admitted part in an interval without failures, at least and as a
/// part of what is admitted.
constexpr double kLeastRise = 0.02;
constexpr double kRiseGain = 0.25;
/// Always admitted, so that an end of the overload is noticed.
constexpr double kLeastAdmitted = 0.04;
constexpr double kPermille = 1000;

}  // namespace

double CallFailures::Decayed(const Counts& counts, TimePoint now) {
  std::chrono::duration<double> passed = now - counts.time;
  std::chrono::duration<double> half = kHalfLife;
  return std::exp2(-passed.count() / half.count());
}

void CallFailures::Count(uint32_t rank, bool failed, TimePoint now) {
  Counts& counts = counts_[ClampRank(rank)];
  double kept = Decayed(counts, now);
  counts.calls = counts.calls * kept + 1;
  counts.failed = counts.failed * kept + (failed ? 1 : 0);
  counts.time = now;
}

uint32_t CallFailures::Permille(uint32_t rank, TimePoint now) const {
  const Counts& counts = counts_[ClampRank(rank)];
  if (counts.calls * Decayed(counts, now) < kLeastCalls)
    return 0;
  return static_cast<uint32_t>(kPermille * counts.failed / counts.calls);
}

void CallThrottle::Learn(std::string_view service,
                         uint32_t rank,
                         double failed,
                         TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    found = services_.emplace(std::string(service), States()).first;
  State& state = found->second[ClampRank(rank)];
  if (now - state.changed < kInterval)
    return;
  state.changed = now;
  if (failed > kTolerated)
    state.admitted *= 1 - kFallGain * failed;
  else
    state.admitted += std::max(kLeastRise, kRiseGain * state.admitted);
  state.admitted = std::clamp(state.admitted, kLeastAdmitted, 1.0);
}

bool CallThrottle::Admits(std::string_view service,
                          uint32_t rank,
                          double random) const {
  return random < AdmittedPart(service, rank);
}

double CallThrottle::AdmittedPart(std::string_view service,
                                  uint32_t rank) const {
  auto found = services_.find(service);
  return found == services_.end() ? 1 : found->second[ClampRank(rank)].admitted;
}

}  // namespace comfreylock::mesh
