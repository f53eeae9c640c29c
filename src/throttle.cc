#include "comfreylock/throttle.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock {

bool EntryThrottle::Admit(std::string_view service,
                          uint32_t importance,
                          double random,
                          TimePoint now) {
  return random < ShareOf(service, importance, now);
}

void EntryThrottle::OnEnded(std::string_view service,
                            uint32_t importance,
                            bool overloaded,
                            TimePoint now) {
  Gate& gate = GateOf(service, importance, now);
  ++gate.ended;
  gate.overloaded += overloaded ? 1 : 0;
}

double EntryThrottle::ShareOf(std::string_view service,
                              uint32_t importance,
                              TimePoint now) {
  return GateOf(service, importance, now).share;
}

EntryThrottle::Gate& EntryThrottle::GateOf(std::string_view service,
                                           uint32_t importance,
                                           TimePoint now) {
  auto [found, added] =
      gates_.try_emplace(std::pair(std::string(service), importance));
  Gate& gate = found->second;
  if (added)
    gate.window_start = now;
  // The share is back at 1 after fewer windows than this without news.
  gate.window_start =
      std::max(gate.window_start, now - kThrottleMemory * kThrottleWindow);
  while (now - gate.window_start >= kThrottleWindow) {
    EndWindow(gate);
    gate.window_start += kThrottleWindow;
  }
  return gate;
}

void EntryThrottle::EndWindow(Gate& gate) {
  double overloaded =
      gate.ended > 0 ? static_cast<double>(gate.overloaded) / gate.ended : 0;
  gate.ended = 0;
  gate.overloaded = 0;
  if (overloaded > kThrottleTolerance) {
    gate.share *= 1 - kThrottleGain * overloaded;
    gate.share = std::max(gate.share, kThrottleLeastShare);
    gate.step = kThrottleFirstStep;
    return;
  }
  // Steps double, so that the end of an overload is felt within a second.
  gate.share = std::min(1.0, gate.share + gate.step);
  gate.step = std::min(2 * gate.step, kThrottleLargestStep);
}

}  // namespace comfreylock
