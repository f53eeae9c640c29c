#ifndef COMFREYLOCK_SERVICE_TIME_H_
#define COMFREYLOCK_SERVICE_TIME_H_

#include <chrono>
#include <string>
#include <unordered_map>

#include "comfreylock/types.h"

/// Expected service time of each route at this host's target.
namespace comfreylock {

class ServiceTime {
 public:
  /// Learns from a request that ran for `latency`, onward calls included.
  void Record(const std::string& route,
              std::chrono::microseconds latency,
              TimePoint now);

  /// @return the expected time, which halves for each second without news, so
  ///     that one slow period does not refuse short deadlines for ever.
  std::chrono::microseconds Expected(const std::string& route,
                                     TimePoint now) const;

 private:
  struct Estimate {
    double mean = 0;  ///< Microseconds.
    TimePoint time;
  };

  std::unordered_map<std::string, Estimate> routes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_SERVICE_TIME_H_
