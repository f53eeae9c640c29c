#ifndef COMFREYLOCK_THROTTLE_H_
#define COMFREYLOCK_THROTTLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "comfreylock/types.h"

/// Refuses a fraction of the calls of one importance at their entry node.
///
/// A shed level refuses all calls of a priority or none. If all calls have the
/// same priority, a service at the end of a call chain would shed calls for
/// which the services before it have already done work. The throttle admits
/// only the fraction that ends without an overload; the rest is refused before
/// any work is done for it.
namespace comfreylock {

class EntryThrottle {
 public:
  /// @param random uniform random number in [0, 1) for this call.
  /// @return whether the call is admitted.
  bool Admit(std::string_view service,
             uint32_t importance,
             double random,
             TimePoint now);

  /// Records the end of an admitted call.
  /// @param overloaded whether it was refused for overload or ran out of time.
  void OnCallEnded(std::string_view service,
                   uint32_t importance,
                   bool overloaded,
                   TimePoint now);

  /// @return the fraction of calls that is admitted, 0 to 1.
  double AdmittedFraction(std::string_view service,
                          uint32_t importance,
                          TimePoint now);

 private:
  struct ThrottleState {
    double admitted_fraction = 1;
    double increase_step = 0;
    uint32_t ended = 0;
    uint32_t overloaded = 0;
    TimePoint window_start;
  };

  ThrottleState& StateAt(std::string_view service,
                         uint32_t importance,
                         TimePoint now);
  static void EndWindow(ThrottleState& state);

  std::map<std::pair<std::string, uint32_t>, ThrottleState, std::less<>>
      states_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_THROTTLE_H_
