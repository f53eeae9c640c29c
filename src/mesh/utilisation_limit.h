#ifndef COMFREYLOCK_MESH_UTILISATION_LIMIT_H_
#define COMFREYLOCK_MESH_UTILISATION_LIMIT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "comfreylock/types.h"

/// Number of a target's slots that are worth using.
///
/// Load pattern: requests queue for a target that takes longer for each request
/// when nearly all its slots are in use, so that the last slots lower its
/// throughput. Compares the service times of requests that started at different
/// utilisation, and uses the utilisation with the highest throughput.
namespace comfreylock::mesh {

class UtilisationLimit {
 public:
  /// Records a request that ended with success.
  /// @param service_time of the request.
  /// @param running requests at the target when it started, itself included.
  /// @param slots of the target.
  void Record(const std::string& route,
              std::chrono::microseconds service_time,
              uint32_t running,
              uint32_t slots,
              TimePoint now);

  /// @return the number of requests to run at a time, at most `slots`.
  uint32_t UsableSlots(uint32_t slots, TimePoint now) const;

  /// Discards all records, for instance when another target has taken over the
  /// address.
  void Reset() { *this = UtilisationLimit(); }

 private:
  /// Upper ends of the compared ranges of utilisation. Service times up to the
  /// first end form the route's baseline.
  static constexpr std::array<double, 4> kRangeEnds = {0.85, 0.9, 0.95, 1.0};

  /// Service times relative to the route's baseline; newer ones weigh more.
  struct Range {
    double sum = 0;
    double weight = 0;
    TimePoint updated_at;
  };

  /// @return the service time in a range relative to the baseline; 1 without
  ///     enough recent samples.
  static double Slowdown(const Range& range, TimePoint now);

  std::array<Range, kRangeEnds.size()> ranges_;
  std::map<std::string, double> baseline_us_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_UTILISATION_LIMIT_H_
