#include "comfreylock/concurrency_limit.h"

#include <algorithm>
#include <cmath>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr double kLimitDecreaseFactor = 0.9;
/// Ratio of the smoothed median latency to its minimum above which the limit is
/// lowered.
constexpr double kMaxLatencyRatio = 2;
/// Fraction of the slots by which the limit rises in each round trip, so that a
/// lowered limit recovers within about 32 round trips.
constexpr double kLimitIncreaseFraction = 1.0 / 32;
/// The limit rises only if at least this fraction of it was in use.
constexpr double kMinIncreaseLoadFraction = 0.9;
/// High latency lowers the limit only if at least this fraction of it was in
/// use. Below it, the latency has other causes than the limit.
constexpr double kMinDecreaseLoadFraction = 0.5;
/// Fraction of shed answers above which the limit is lowered. A few refusals
/// for other reasons do not lower it.
constexpr double kMaxShedFraction = 0.02;
/// Weight of the newest window in the smoothed median.
constexpr double kNewestMedianWeight = 0.5;
/// Consecutive decreases after which their effect is checked. The limit is then
/// at 0.53 of its value, and latency that is caused by the requests in flight
/// would have fallen with it.
constexpr uint32_t kDecreasesBeforeCheck = 6;
/// The decreases are undone as ineffective if the median is still at least this
/// fraction of the median before them.
constexpr double kIneffectiveMedianRatio = 0.85;
/// Fraction of the slots that a newly started target's limit begins with.
constexpr double kColdStartFraction = 0.1;
constexpr std::chrono::milliseconds kMinSampleWindow = 10ms;
/// The minimum of the medians is taken over the current and the previous of
/// these windows.
constexpr std::chrono::seconds kBaselineWindow = 60s;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots,
                                   std::chrono::milliseconds ramp,
                                   TimePoint now)
    : slots_(slots),
      ramp_(ramp),
      started_at_(now),
      limit_(slots),
      window_start_(now),
      baseline_window_start_(now) {}

void ConcurrencyLimit::Configure(uint32_t slots,
                                 std::chrono::milliseconds ramp) {
  bool at_slots = limit_ >= slots_;
  slots_ = slots;
  ramp_ = ramp;
  limit_ = at_slots ? slots_ : std::min(limit_, slots_);
}

uint32_t ConcurrencyLimit::Value(TimePoint now) const {
  double ramped = slots_;
  if (now - started_at_ < ramp_) {
    double fraction = std::chrono::duration<double>(now - started_at_) /
                      std::chrono::duration<double>(ramp_);
    ramped =
        slots_ * (kColdStartFraction + (1 - kColdStartFraction) * fraction);
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
    ++shed_answers_;
  // The bound limits the memory of a window that lasts long.
  else if (samples_.size() < kMaxLimitWindowSamples * 8)
    samples_.push_back(static_cast<double>(latency.count()));
  std::chrono::microseconds round_trip(static_cast<int64_t>(median_));
  bool long_enough = now - window_start_ >= std::max<std::chrono::microseconds>(
                                                round_trip, kMinSampleWindow);
  // A target that sheds every request yields no latency samples, so shedding
  // also closes a window.
  bool is_shedding = shed_answers_ > kMaxShedFraction * answers_;
  if (long_enough && (samples_.size() >= WindowSamples() || is_shedding))
    CloseWindow(now);
}

size_t ConcurrencyLimit::WindowSamples() const {
  return std::clamp(static_cast<uint32_t>(2 * limit_), kMinLimitWindowSamples,
                    kMaxLimitWindowSamples);
}

void ConcurrencyLimit::CloseWindow(TimePoint now) {
  bool is_slow = false;
  if (samples_.size() >= WindowSamples()) {
    auto median_sample =
        samples_.begin() + static_cast<std::ptrdiff_t>(samples_.size() / 2);
    std::nth_element(samples_.begin(), median_sample, samples_.end());
    median_ = median_ == 0
                  ? *median_sample
                  : median_ + kNewestMedianWeight * (*median_sample - median_);
    UpdateBaseline(median_, now);
    is_slow = median_ > kMaxLatencyRatio * Baseline();
  }
  bool is_shedding = shed_answers_ > kMaxShedFraction * answers_;
  if (is_shedding)
    limit_ = std::max(1.0, limit_ * kLimitDecreaseFactor);
  else if (is_slow && peak_in_flight_ >= kMinDecreaseLoadFraction * limit_)
    Decrease(median_);
  else if (!is_slow &&
           peak_in_flight_ >= std::floor(kMinIncreaseLoadFraction * limit_))
    Increase();
  window_start_ = now;
  samples_.clear();
  answers_ = 0;
  shed_answers_ = 0;
  peak_in_flight_ = 0;
}

void ConcurrencyLimit::Increase() {
  consecutive_decreases_ = 0;
  limit_ =
      std::min(slots_, limit_ + std::max(1.0, slots_ * kLimitIncreaseFraction));
}

void ConcurrencyLimit::Decrease(double median) {
  if (consecutive_decreases_ == 0) {
    limit_before_decreases_ = limit_;
    median_before_decreases_ = median;
  }
  limit_ = std::max(1.0, limit_ * kLimitDecreaseFactor);
  if (++consecutive_decreases_ < kDecreasesBeforeCheck)
    return;
  consecutive_decreases_ = 0;
  if (median < kIneffectiveMedianRatio * median_before_decreases_)
    return;
  // Latency did not fall with the limit, so the target became slower for
  // another reason. A lower limit would only reduce its goodput.
  limit_ = limit_before_decreases_;
  min_median_ = median;
  previous_min_median_ = median;
}

void ConcurrencyLimit::UpdateBaseline(double median, TimePoint now) {
  if (min_median_ == 0) {
    min_median_ = median;
    previous_min_median_ = median;
    baseline_window_start_ = now;
  }
  if (now - baseline_window_start_ >= kBaselineWindow) {
    previous_min_median_ = min_median_;
    min_median_ = median;
    baseline_window_start_ = now;
  }
  min_median_ = std::min(min_median_, median);
}

double ConcurrencyLimit::Baseline() const {
  return std::min(min_median_, previous_min_median_);
}

}  // namespace comfreylock
