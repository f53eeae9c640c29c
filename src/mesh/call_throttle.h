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

/// Load shedding at the entry for overloaded services further down the call
/// graph.
///
/// Load pattern: a service at the end of the call graph loses targets. Requests
/// to the services that call it would all run, use some of its remaining
/// capacity, and fail. Nodes report the fraction of their targets' onward calls
/// that fail because of overload; entry nodes admit fewer requests until nearly
/// all onward calls of the admitted requests succeed.
namespace comfreylock::mesh {

/// At the node of a target: fraction of its recent onward calls that failed
/// because of overload.
class CallFailures {
 public:
  /// Counts an onward call that ended.
  /// @param rank of the request that made the call.
  /// @param failed whether it failed because of overload.
  void Count(uint32_t rank, bool failed, TimePoint now);

  /// @return the fraction that failed, in thousandths; 0 with too few calls.
  uint32_t FailurePermille(uint32_t rank, TimePoint now) const;

 private:
  /// Decaying counts, as of `updated_at`.
  struct Counts {
    double calls = 0;
    double failed = 0;
    TimePoint updated_at;
  };
  /// @return the fraction of the counts that is left at `now`.
  static double DecayFactor(const Counts& counts, TimePoint now);

  std::array<Counts, kRankCount> counts_;
};

/// At an entry node: fraction of the requests that is admitted.
class CallThrottle {
 public:
  /// Interval between changes of the admitted fraction.
  static constexpr std::chrono::milliseconds kAdjustmentInterval{200};

  /// Adjusts the admitted fraction at most once per interval.
  /// @param failure_ratio fraction of onward calls that failed because of
  ///     overload, as the nodes of the service's targets report it.
  void Update(std::string_view service,
              uint32_t rank,
              double failure_ratio,
              TimePoint now);

  /// @param random uniform in [0, 1).
  bool Admits(std::string_view service, uint32_t rank, double random) const;

  /// @return the admitted fraction; 1 without failures.
  double AdmittedFraction(std::string_view service, uint32_t rank) const;

 private:
  struct State {
    double admitted_fraction = 1;
    TimePoint changed_at;
  };
  using States = std::array<State, kRankCount>;

  std::map<std::string, States, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_CALL_THROTTLE_H_
