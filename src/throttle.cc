#include "comfreylock/throttle.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock {

bool EntryThrottle::Admit(std::string_view service,
                          uint32_t importance,
                          double random,
                          TimePoint now) {
  return random < AdmittedFraction(service, importance, now);
}

void EntryThrottle::OnCallEnded(std::string_view service,
                                uint32_t importance,
                                bool overloaded,
                                TimePoint now) {
  ThrottleState& state = StateAt(service, importance, now);
  ++state.ended;
  state.overloaded += overloaded ? 1 : 0;
}

double EntryThrottle::AdmittedFraction(std::string_view service,
                                       uint32_t importance,
                                       TimePoint now) {
  return StateAt(service, importance, now).admitted_fraction;
}

EntryThrottle::ThrottleState& EntryThrottle::StateAt(std::string_view service,
                                                     uint32_t importance,
                                                     TimePoint now) {
  auto [found, added] =
      states_.try_emplace(std::pair(std::string(service), importance));
  ThrottleState& state = found->second;
  if (added)
    state.window_start = now;
  // Without ended calls the fraction returns to 1 within kThrottleExpiryWindows
  // windows, so earlier windows are skipped.
  state.window_start = std::max(state.window_start,
                                now - kThrottleExpiryWindows * kThrottleWindow);
  while (now - state.window_start >= kThrottleWindow) {
    EndWindow(state);
    state.window_start += kThrottleWindow;
  }
  return state;
}

void EntryThrottle::EndWindow(ThrottleState& state) {
  double overloaded_fraction =
      state.ended > 0 ? static_cast<double>(state.overloaded) / state.ended : 0;
  state.ended = 0;
  state.overloaded = 0;
  if (overloaded_fraction > kMaxOverloadedFraction) {
    state.admitted_fraction *=
        1 - kThrottleDecreaseFactor * overloaded_fraction;
    state.admitted_fraction =
        std::max(state.admitted_fraction, kMinAdmittedFraction);
    state.increase_step = kInitialThrottleIncrease;
    return;
  }
  // The step doubles with each window, so that calls are admitted again within
  // a second after an overload.
  state.admitted_fraction =
      std::min(1.0, state.admitted_fraction + state.increase_step);
  state.increase_step = std::min(2 * state.increase_step, kMaxThrottleIncrease);
}

}  // namespace comfreylock
