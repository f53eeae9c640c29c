#ifndef COMFREYLOCK_THROTTLE_H_
#define COMFREYLOCK_THROTTLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "comfreylock/types.h"

/// Refuses a part of the calls of one importance at their entry.
///
/// A shed level refuses a whole priority or nothing. Where all calls have the
/// same priority, a service far down the chain would shed calls for which the
/// services above it have worked already. The throttle lets through the share
/// that ends without an overload, so that the rest is refused before any work.
namespace comfreylock {

class EntryThrottle {
 public:
  /// @param random a number from 0 up to 1 that decides about this call.
  /// @return whether the call may go on.
  bool Admit(std::string_view service,
             uint32_t importance,
             double random,
             TimePoint now);

  /// Learns how a call that went on ended.
  /// @param overloaded some service refused it, or its deadline passed.
  void OnEnded(std::string_view service,
               uint32_t importance,
               bool overloaded,
               TimePoint now);

  /// @return the share of calls that is let through, 0 to 1.
  double ShareOf(std::string_view service, uint32_t importance, TimePoint now);

 private:
  struct Gate {
    double share = 1;
    double step = 0;
    uint32_t ended = 0;
    uint32_t overloaded = 0;
    TimePoint window_start;
  };

  Gate& GateOf(std::string_view service, uint32_t importance, TimePoint now);
  static void EndWindow(Gate& gate);

  std::map<std::pair<std::string, uint32_t>, Gate, std::less<>> gates_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_THROTTLE_H_
