#ifndef COMFREYLOCK_LOG_RATE_LIMITER_H_
#define COMFREYLOCK_LOG_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Limits the rate of log lines of each kind, so that refusing a flood of
/// requests does not cost more than serving them.
namespace comfreylock {

class LogRateLimiter {
 public:
  using Clock = std::chrono::steady_clock;
  /// A kind of line and the number of its suppressed lines.
  using SuppressedCount = std::pair<std::string, uint64_t>;

  /// @param max_lines maximum number of lines of each kind in an interval.
  /// @param interval length of an interval; it starts with a kind's first line.
  LogRateLimiter(uint32_t max_lines, std::chrono::milliseconds interval)
      : max_lines_(max_lines), interval_(interval) {}

  /// @return true if a line of this kind may be written now; otherwise the
  /// line is counted as suppressed.
  bool TryAcquire(const std::string& kind, Clock::time_point now);

  /// Removes the intervals that have ended.
  /// @return kinds with suppressed lines in these intervals, with the count.
  std::vector<SuppressedCount> CloseEndedIntervals(Clock::time_point now);

 private:
  struct Interval {
    Clock::time_point start;
    uint32_t written = 0;
    uint64_t suppressed = 0;
  };

  uint32_t max_lines_;
  std::chrono::milliseconds interval_;
  std::map<std::string, Interval> open_intervals_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_LOG_RATE_LIMITER_H_
