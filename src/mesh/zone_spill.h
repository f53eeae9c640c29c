#ifndef COMFREYLOCK_MESH_ZONE_SPILL_H_
#define COMFREYLOCK_MESH_ZONE_SPILL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"

/// Decision how many of a service's requests leave the availability zone.
///
/// Load pattern: demand rises in one zone while others have spare capacity, in
/// waves that are not in step, and zones have different numbers of targets. A
/// request that leaves its zone is answered later by the way there and back,
/// and its bytes cost money, so it leaves only if that makes it faster by more.
/// All entry nodes of a zone see the same load reports. If each of them moved
/// all its requests at once, the load would swing between the zones, so a
/// fraction of the requests leaves, and it changes in steps.
namespace comfreylock::mesh {

/// Load of the targets of a service, in this zone or in the other zones.
struct ZoneLoad {
  double slots = 0;  ///< Usable slots of all serving targets.
  double used = 0;   ///< Requests that run or wait at them.
  /// Expected time to an answer of one more request, mean over the targets.
  std::chrono::microseconds expected_time{0};

  double utilisation() const { return slots > 0 ? used / slots : 0; }
};

/// Why the fraction has its value; a label of the metrics.
enum class SpillReason : uint8_t {
  kWithinZone,   ///< The own zone has room.
  kZoneFull,     ///< The own zone is above its utilisation limit.
  kNoTarget,     ///< The own zone has no serving target.
  kNotWorth,     ///< The own zone is full, but leaving it makes nothing faster.
  kReasonCount,  ///< Not a reason.
};

/// @return the name of a reason.
std::string_view SpillReasonName(SpillReason reason);

class ZoneSpill {
 public:
  /// Time between changes of the fraction; loads are reported as often.
  static constexpr std::chrono::milliseconds kAdjustmentInterval{200};

  struct Decision {
    bool leaves = false;  ///< The request is placed without regard to its zone.
    SpillReason reason = SpillReason::kWithinZone;
  };

  /// Decides on one request for `service`. Of successive requests, the fraction
  /// that leaves is spread evenly.
  /// @param own load of the targets in this zone.
  /// @param others load of the targets in the other zones.
  /// @param path_cost time that an answer from another zone must be faster by.
  Decision Decide(std::string_view service,
                  const ZoneLoad& own,
                  const ZoneLoad& others,
                  std::chrono::microseconds path_cost,
                  TimePoint now);

  /// @return whether the loads are needed for the next decision on `service`;
  ///     otherwise those passed to `Decide` are not looked at.
  bool IsUpdateDue(std::string_view service, TimePoint now) const;

  /// @return the fraction of the requests for `service` that leaves the zone.
  double Fraction(std::string_view service) const;

 private:
  struct State {
    double fraction = 0;
    double credit = 0;  ///< Part of a leaving request that is left over.
    SpillReason reason = SpillReason::kWithinZone;
    bool updated = false;
    TimePoint updated_at;
  };

  static void Update(State& state,
                     const ZoneLoad& own,
                     const ZoneLoad& others,
                     std::chrono::microseconds path_cost);

  std::map<std::string, State, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_ZONE_SPILL_H_
