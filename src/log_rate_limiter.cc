#include "log_rate_limiter.h"

namespace comfreylock {

bool LogRateLimiter::TryAcquire(const std::string& kind,
                                Clock::time_point now) {
  Window& window = windows_.try_emplace(kind, Window{now}).first->second;
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
  for (auto it = windows_.begin(); it != windows_.end();) {
    if (now - it->second.start < interval_) {
      ++it;
      continue;
    }
    if (it->second.suppressed > 0)
      ended.emplace_back(it->first, it->second.suppressed);
    it = windows_.erase(it);
  }
  return ended;
}

}  // namespace comfreylock
