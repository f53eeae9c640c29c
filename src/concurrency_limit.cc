#include "comfreylock/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr double kDecreaseFactor = 0.9;
/// Latency over the minimum at which the limit is lowered.
constexpr double kLatencyTolerance = 2;
/// Part of the slots that a limit gains in each round trip, so that a lowered
/// limit is back within about 32 round trips.
constexpr double kIncreaseShare = 1.0 / 32;
/// Part of the limit that must have been in use for an increase. Below half of
/// it the target's latency has other causes than the limit.
constexpr double kInUseShare = 0.9;
constexpr double kLoadedShare = 0.5;
/// Part of the answers from which on the target is taken to shed. A few
/// refusals for other reasons do not lower the limit.
constexpr double kShedShare = 0.02;
/// Weight of the newest window in the smoothed median.
constexpr double kMedianGain = 0.5;
/// Decreases after which their effect is judged: the limit is then at 0.53 of
/// its value, and latency caused by the limit would have followed it.
constexpr uint32_t kDecreasesToJudge = 6;
constexpr double kIneffectiveShare = 0.85;
constexpr double kColdShare = 0.1;
constexpr std::chrono::milliseconds kShortestWindow = 10ms;
/// The minimum covers one to two of these periods.
constexpr std::chrono::seconds kMinimumPeriod = 60s;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots,
                                   std::chrono::milliseconds ramp,
                                   TimePoint now)
    : slots_(slots),
      ramp_(ramp),
      started_(now),
      limit_(slots),
      window_start_(now),
      minimum_since_(now) {}

void ConcurrencyLimit::Configure(uint32_t slots,
                                 std::chrono::milliseconds ramp) {
  bool at_slots = limit_ >= slots_;
  slots_ = slots;
  ramp_ = ramp;
  limit_ = at_slots ? slots_ : std::min(limit_, slots_);
}

uint32_t ConcurrencyLimit::Value(TimePoint now) const {
  double ramped = slots_;
  if (now - started_ < ramp_) {
    double share = std::chrono::duration<double>(now - started_) /
                   std::chrono::duration<double>(ramp_);
    ramped = slots_ * (kColdShare + (1 - kColdShare) * share);
  }
  return static_cast<uint32_t>(std::max(1.0, std::min(limit_, ramped)));
}

void ConcurrencyLimit::Record(std::chrono::microseconds latency,
                              bool shed,
                              uint32_t in_flight,
                              TimePoint now) {
  ++answers_;
  peak_in_flight_ = std::max(peak_in_flight_, in_flight);
  if (shed)
    ++sheds_;
  else if (samples_.size() < kLimitWindowSamples * 8)
    samples_.push_back(static_cast<double>(latency.count()));
  std::chrono::microseconds round_trip(static_cast<int64_t>(median_));
  bool long_enough = now - window_start_ >= std::max<std::chrono::microseconds>(
                                                round_trip, kShortestWindow);
  // A target that sheds all gives no latencies.
  bool sheds = sheds_ > kShedShare * answers_;
  if (long_enough && (samples_.size() >= WindowSamples() || sheds))
    CloseWindow(now);
}

size_t ConcurrencyLimit::WindowSamples() const {
  return std::clamp(static_cast<uint32_t>(2 * limit_), kLeastLimitWindowSamples,
                    kLimitWindowSamples);
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  bool slow = false;
  if (samples_.size() >= WindowSamples()) {
    auto middle =
        samples_.begin() + static_cast<std::ptrdiff_t>(samples_.size() / 2);
    std::nth_element(samples_.begin(), middle, samples_.end());
    median_ =
        median_ == 0 ? *middle : median_ + kMedianGain * (*middle - median_);
    RefreshBaseline(median_, now);
    slow = median_ > kLatencyTolerance * Baseline();
  }
  bool sheds = sheds_ > kShedShare * answers_;
  if (sheds)
    limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  else if (slow && peak_in_flight_ >= kLoadedShare * limit_)
    Decrease(median_);
  else if (!slow && peak_in_flight_ >= std::floor(kInUseShare * limit_))
    Increase();
  window_start_ = now;
  samples_.clear();
  answers_ = 0;
  sheds_ = 0;
  peak_in_flight_ = 0;
}

void ConcurrencyLimit::Increase() {
  decreases_ = 0;
  limit_ = std::min(slots_, limit_ + std::max(1.0, slots_ * kIncreaseShare));
}

void ConcurrencyLimit::Decrease(double median) {
  if (decreases_ == 0) {
    limit_before_ = limit_;
    median_before_ = median;
  }
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
  if (++decreases_ < kDecreasesToJudge)
    return;
  decreases_ = 0;
  if (median < kIneffectiveShare * median_before_)
    return;
  // Latency did not follow the limit, so the target became slower for another
  // reason; a lower limit would only cut its goodput.
  limit_ = limit_before_;
  minimum_ = median;
  previous_minimum_ = median;
}

void ConcurrencyLimit::RefreshBaseline(double median, TimePoint now) {
  if (minimum_ == 0) {
    minimum_ = median;
    previous_minimum_ = median;
    minimum_since_ = now;
  }
  if (now - minimum_since_ >= kMinimumPeriod) {
    previous_minimum_ = minimum_;
    minimum_ = median;
    minimum_since_ = now;
  }
  minimum_ = std::min(minimum_, median);
}

double ConcurrencyLimit::Baseline() const {
  return std::min(minimum_, previous_minimum_);
}

}  // namespace comfreylock
