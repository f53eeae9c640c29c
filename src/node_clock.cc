#include "node_clock.h"

#include <time.h>

namespace comfreylock {

TimePoint ReadNodeClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint(
      std::chrono::duration_cast<std::chrono::microseconds>(since_boot));
}

}  // namespace comfreylock
