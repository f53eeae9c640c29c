#ifndef COMFREYLOCK_CONCURRENCY_LIMIT_H_
#define COMFREYLOCK_CONCURRENCY_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "comfreylock/types.h"

/// The limit on requests in flight at one target, from its latency.
namespace comfreylock {

/// Adaptive limit between 1 and the target's slots.
///
/// Latencies are judged in windows of at least a round trip and
/// `kLimitWindowSamples` answers. The median of a window is compared with the
/// long-run minimum of such medians; single fast answers do not count.
class ConcurrencyLimit {
 public:
  /// @param slots largest limit.
  /// @param ramp time over which a cold target's limit rises from a tenth.
  /// @param now time at which the target is taken to have started.
  ConcurrencyLimit(uint32_t slots,
                   std::chrono::milliseconds ramp,
                   TimePoint now);

  /// Takes new slots; a limit at the old slots moves to the new ones.
  void Configure(uint32_t slots, std::chrono::milliseconds ramp);

  /// Learns from an answer.
  /// @param latency time that the target itself took.
  /// @param shed whether the target refused because of its load.
  /// @param in_flight requests in flight, with this one.
  void Record(std::chrono::microseconds latency,
              bool shed,
              uint32_t in_flight,
              TimePoint now);

  /// @return the limit at `now`, with the cold-start ramp.
  uint32_t Value(TimePoint now) const;

 private:
  size_t WindowSamples() const;
  void CloseWindow(TimePoint now);
  void RefreshBaseline(double median, TimePoint now);
  void Increase();
  void Decrease(double median);
  double Baseline() const;

  double slots_;
  std::chrono::milliseconds ramp_;
  TimePoint started_;
  double limit_;

  // The window that is being filled. Latencies are in microseconds.
  TimePoint window_start_;
  std::vector<double> samples_;
  uint32_t answers_ = 0;
  uint32_t sheds_ = 0;
  uint32_t peak_in_flight_ = 0;

  double median_ = 0;  ///< Smoothed over windows; 0 before the first.
  double minimum_ = 0;
  double previous_minimum_ = 0;
  TimePoint minimum_since_;

  // A run of decreases without an increase between.
  uint32_t decreases_ = 0;
  double limit_before_ = 0;
  double median_before_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CONCURRENCY_LIMIT_H_
