#include "log_rate_limiter.h"

namespace comfreylock {

bool LogRateLimiter::TryAcquire(const std::string& kind,
                                Clock::time_point now) {
  Interval& window =
      open_intervals_.try_emplace(kind, Interval{now}).first->second;
  if (window.written < max_lines_) {
    ++window.written;
    return true;
  }
  ++window.suppressed;
  return false;
}

std::vector<LogRateLimiter::SuppressedCount>
LogRateLimiter::CloseEndedIntervals(Clock::time_point now) {
  std::vector<SuppressedCount> ended;
  for (auto it = open_intervals_.begin(); it != open_intervals_.end();) {
    if (now - it->second.start < interval_) {
      ++it;
      continue;
    }
    if (it->second.suppressed > 0)
      ended.emplace_back(it->first, it->second.suppressed);
    it = open_intervals_.erase(it);
  }
  return ended;
}

}  // namespace comfreylock
