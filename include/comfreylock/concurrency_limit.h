#ifndef COMFREYLOCK_CONCURRENCY_LIMIT_H_
#define COMFREYLOCK_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "comfreylock/types.h"

/// The limit on requests in flight at one target, derived from its latency.
namespace comfreylock {

/// Adaptive limit between 1 and the target's slots.
///
/// Latencies are evaluated in windows. A window lasts at least one round trip
/// (the median latency) and has at least twice as many answers as the limit;
/// this number is clamped to the range from `kMinLimitWindowSamples` to
/// `kMaxLimitWindowSamples`. The smoothed median of the windows is compared
/// with its minimum over the last one to two minutes, so that single fast
/// answers do not lower the limit.
class ConcurrencyLimit {
 public:
  /// @param slots largest limit.
  /// @param ramp time over which the limit of a newly started target rises from
  ///     a tenth of `slots` to `slots`.
  /// @param now start time of the target, from which the ramp counts.
  ConcurrencyLimit(uint32_t slots,
                   std::chrono::milliseconds ramp,
                   TimePoint now);

  /// Changes the slots; a limit equal to the old slots becomes the new slots.
  void Configure(uint32_t slots, std::chrono::milliseconds ramp);

  /// Records an answer.
  /// @param latency time that the target itself took.
  /// @param shed whether the target refused because of its load.
  /// @param in_flight requests in flight, with this one.
  void Record(std::chrono::microseconds latency,
              bool shed,
              uint32_t in_flight,
              TimePoint now);

  /// @return the limit at `now`, bounded by the cold-start ramp.
  uint32_t Value(TimePoint now) const;

 private:
  size_t WindowSamples() const;
  void CloseWindow(TimePoint now);
  void UpdateBaseline(double median, TimePoint now);
  void Increase();
  void Decrease(double median);
  double Baseline() const;

  double slots_;
  std::chrono::milliseconds ramp_;
  TimePoint started_at_;
  double limit_;

  // The current window. Latencies are in microseconds.
  TimePoint window_start_;
  std::vector<double> samples_;
  uint32_t answers_ = 0;
  uint32_t shed_answers_ = 0;
  uint32_t peak_in_flight_ = 0;

  double median_ = 0;  ///< Smoothed over windows; 0 before the first.
  double min_median_ = 0;
  double previous_min_median_ = 0;
  TimePoint baseline_window_start_;

  // Consecutive decreases because of latency, and the limit and median before
  // the first of them.
  uint32_t consecutive_decreases_ = 0;
  double limit_before_decreases_ = 0;
  double median_before_decreases_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CONCURRENCY_LIMIT_H_
