#ifndef COMFREYLOCK_LOG_REPEATS_H_
#define COMFREYLOCK_LOG_REPEATS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// Limits how often lines of one kind are written, so that a flood of
/// refusals does not cost more than serving them.
namespace comfreylock {

class LogRepeats {
 public:
  using Clock = std::chrono::steady_clock;
  /// A kind of line and how many of it were left out.
  using LeftOut = std::pair<std::string, uint64_t>;

  /// @param lines written of each kind in each interval.
  LogRepeats(uint32_t lines, std::chrono::milliseconds interval)
      : lines_(lines), interval_(interval) {}

  /// @return whether a line of this kind is written now.
  bool Take(const std::string& kind, Clock::time_point now);

  /// @return kinds whose interval has ended, with the lines left out in it.
  std::vector<LeftOut> Ended(Clock::time_point now);

 private:
  struct Window {
    Clock::time_point start;
    uint32_t written = 0;
    uint64_t left_out = 0;
  };

  uint32_t lines_;
  std::chrono::milliseconds interval_;
  std::map<std::string, Window> windows_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_LOG_REPEATS_H_
