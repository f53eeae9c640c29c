#ifndef COMFREYLOCK_MESH_CALL_THROTTLE_H_
#define COMFREYLOCK_MESH_CALL_THROTTLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"
#include "mesh/rank.h"

/// Refusal at the entry of what services further down cannot carry.
///
/// Load pattern: a service at the end of the call graph loses targets. Requests
/// at its callers would each run, spend a part of what is left of it, and fail.
/// Nodes tell which part of their targets' calls fail; the entry admits fewer
/// requests until nearly all calls of the admitted ones succeed.
namespace comfreylock::mesh {

/// Beside a target: the part of its calls that failed of late.
class CallFailures {
 public:
  /// Counts a call that ended.
  /// @param rank of the request that made the call.
  void Count(uint32_t rank, bool failed, TimePoint now);

  /// @return the part that failed, in thousandths; 0 without calls.
  uint32_t Permille(uint32_t rank, TimePoint now) const;

 private:
  struct Counts {
    double calls = 0;
    double failed = 0;
    TimePoint time;
  };
  static double Decayed(const Counts& counts, TimePoint now);

  std::array<Counts, kRanks> counts_;
};

/// At the entry: the part of the requests that is admitted.
class CallThrottle {
 public:
  /// Interval between changes of the admitted part.
  static constexpr std::chrono::milliseconds kInterval{200};

  /// Takes the part of failed calls that the targets of a service tell.
  void Learn(std::string_view service,
             uint32_t rank,
             double failed,
             TimePoint now);

  /// @param random uniform in [0, 1).
  bool Admits(std::string_view service, uint32_t rank, double random) const;

  /// @return the admitted part, 1 without failures.
  double AdmittedPart(std::string_view service, uint32_t rank) const;

 private:
  struct State {
    double admitted = 1;
    TimePoint changed;
  };
  using States = std::array<State, kRanks>;

  std::map<std::string, States, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_CALL_THROTTLE_H_
