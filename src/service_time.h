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
  /// Updates the estimate with a request that ran for `latency`, onward calls
  /// included.
  void Record(const std::string& route,
              std::chrono::microseconds latency,
              TimePoint now);

  /// @return the expected time; 0 for an unknown route. It halves for each
  ///     second without a record. Otherwise an estimate from a slow period
  ///     would keep refusing requests with short deadlines, and none would run
  ///     to correct it.
  std::chrono::microseconds Expected(const std::string& route,
                                     TimePoint now) const;

 private:
  struct Estimate {
    double mean = 0;  ///< Microseconds.
    TimePoint recorded_at;
  };

  std::unordered_map<std::string, Estimate> routes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_SERVICE_TIME_H_
