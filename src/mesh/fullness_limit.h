#ifndef COMFREYLOCK_MESH_FULLNESS_LIMIT_H_
#define COMFREYLOCK_MESH_FULLNESS_LIMIT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "comfreylock/types.h"

/// How many of a target's slots are worth using.
///
/// Load pattern: work queues beside a target that takes longer for each request
/// when it is nearly full, so that the last slots lower its throughput. The
/// times of requests that began at different fullness are compared, and the
/// fullness with the greatest throughput is the limit.
namespace comfreylock::mesh {

class FullnessLimit {
 public:
  /// Learns from a request that ended with success.
  /// @param running requests at the target when it began, itself included.
  /// @param slots of the target.
  void Record(const std::string& route,
              std::chrono::microseconds took,
              uint32_t running,
              uint32_t slots,
              TimePoint now);

  /// @return the requests to run at a time, at most `slots`.
  uint32_t Limit(uint32_t slots, TimePoint now) const;

  /// Forgets all, as when another target has taken the address.
  void Reset() { *this = FullnessLimit(); }

 private:
  /// Upper ends of the compared ranges of fullness; below the first, times
  /// count as the target's own.
  static constexpr std::array<double, 4> kEnds = {0.85, 0.9, 0.95, 1.0};

  /// Times relative to the route's own, newer ones counting more.
  struct Range {
    double sum = 0;
    double weight = 0;
    TimePoint last;
  };

  /// @return how much longer requests take in a range, 1 if not known.
  static double Slowdown(const Range& range, TimePoint now);

  std::array<Range, kEnds.size()> ranges_;
  std::map<std::string, double> own_times_us_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_FULLNESS_LIMIT_H_
