#include "mesh/call_throttle.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

/// Time in which counted onward calls lose half of their weight.
constexpr std::chrono::milliseconds kCallHalfLife{300};
/// Weight of onward calls below which no failures are reported.
constexpr double kMinCallWeight = 3;
/// Largest fraction of failed onward calls that does not reduce admission; a
/// few calls fail by chance.
constexpr double kMaxToleratedFailureRatio = 0.1;
/// Relative decrease of the admitted fraction in one interval, as a multiple of
/// the failure ratio.
constexpr double kAdmittedDecreaseFactor = 0.35;
/// Increase of the admitted fraction in one interval without more failures than
/// tolerated: the greater of a fixed step and a factor times the fraction.
constexpr double kMinAdmittedIncrease = 0.02;
constexpr double kAdmittedIncreaseFactor = 0.25;
/// Fraction that is always admitted, so that the end of an overload is noticed.
constexpr double kMinAdmittedFraction = 0.04;
constexpr double kPermille = 1000;

}  // namespace

double CallFailures::DecayFactor(const Counts& counts, TimePoint now) {
  std::chrono::duration<double> passed = now - counts.updated_at;
  std::chrono::duration<double> half = kCallHalfLife;
  return std::exp2(-passed.count() / half.count());
}

void CallFailures::Count(uint32_t rank, bool failed, TimePoint now) {
  Counts& counts = counts_[ClampRank(rank)];
  double decay = DecayFactor(counts, now);
  counts.calls = counts.calls * decay + 1;
  counts.failed = counts.failed * decay + (failed ? 1 : 0);
  counts.updated_at = now;
}

uint32_t CallFailures::FailurePermille(uint32_t rank, TimePoint now) const {
  const Counts& counts = counts_[ClampRank(rank)];
  if (counts.calls * DecayFactor(counts, now) < kMinCallWeight)
    return 0;
  return static_cast<uint32_t>(kPermille * counts.failed / counts.calls);
}

void CallThrottle::Update(std::string_view service,
                          uint32_t rank,
                          double failure_ratio,
                          TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    found = services_.emplace(std::string(service), States()).first;
  State& state = found->second[ClampRank(rank)];
  if (now - state.changed_at < kAdjustmentInterval)
    return;
  state.changed_at = now;
  if (failure_ratio > kMaxToleratedFailureRatio)
    state.admitted_fraction *= 1 - kAdmittedDecreaseFactor * failure_ratio;
  else
    state.admitted_fraction +=
        std::max(kMinAdmittedIncrease,
                 kAdmittedIncreaseFactor * state.admitted_fraction);
  state.admitted_fraction =
      std::clamp(state.admitted_fraction, kMinAdmittedFraction, 1.0);
}

bool CallThrottle::Admits(std::string_view service,
                          uint32_t rank,
                          double random) const {
  return random < AdmittedFraction(service, rank);
}

double CallThrottle::AdmittedFraction(std::string_view service,
                                      uint32_t rank) const {
  auto found = services_.find(service);
  return found == services_.end()
             ? 1
             : found->second[ClampRank(rank)].admitted_fraction;
}

}  // namespace comfreylock::mesh
