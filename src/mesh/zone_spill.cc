#include "mesh/zone_spill.h"

#include <algorithm>
#include <array>

namespace comfreylock::mesh {
namespace {

/// Utilisation of the own zone above which requests leave it. Targets answer
/// more slowly when nearly full, and demand in a burst rises by more than the
/// rest of the slots within a report interval.
constexpr double kSpillUtilisation = 0.85;
/// Utilisation below which requests return. Lower than the above, so that the
/// fraction rests while the load lies between them.
constexpr double kReturnUtilisation = 0.7;
/// Largest change of the fraction in one interval. From 0 to 1 takes 2 s, less
/// than a wave of demand takes to rise, and ten reports of the other zones.
constexpr double kMaxStep = 0.1;
/// Others must be this much less utilised than the own zone.
constexpr double kMinUtilisationGap = 0.1;

}  // namespace

std::string_view SpillReasonName(SpillReason reason) {
  static constexpr std::array<std::string_view,
                              static_cast<size_t>(SpillReason::kReasonCount)>
      kNames = {"within_zone", "zone_full", "no_target", "not_worth"};
  return kNames.at(static_cast<size_t>(reason));
}

bool ZoneSpill::IsUpdateDue(std::string_view service, TimePoint now) const {
  auto found = services_.find(service);
  return found == services_.end() ||
         now - found->second.updated_at >= kAdjustmentInterval;
}

double ZoneSpill::Fraction(std::string_view service) const {
  auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.fraction;
}

void ZoneSpill::Update(State& state,
                       const ZoneLoad& own,
                       const ZoneLoad& others,
                       std::chrono::microseconds path_cost) {
  if (own.slots <= 0) {
    state.fraction = 1;
    state.reason = SpillReason::kNoTarget;
    return;
  }
  bool full = own.utilisation() > kSpillUtilisation;
  bool pays = others.slots > 0 &&
              own.expected_time > others.expected_time + path_cost &&
              own.utilisation() > others.utilisation() + kMinUtilisationGap;
  if (full && pays) {
    // The part of the load that is above the limit, if this fraction of the
    // requests caused all of it.
    double excess = 1 - kSpillUtilisation / own.utilisation();
    state.fraction += std::min(excess, kMaxStep);
    state.reason = SpillReason::kZoneFull;
  } else if (full && state.fraction == 0) {
    state.reason = SpillReason::kNotWorth;
  } else if (!pays || own.utilisation() < kReturnUtilisation) {
    state.fraction -= kMaxStep;
  }
  state.fraction = std::clamp(state.fraction, 0.0, 1.0);
  if (!full && state.fraction == 0)
    state.reason = SpillReason::kWithinZone;
}

ZoneSpill::Decision ZoneSpill::Decide(std::string_view service,
                                      const ZoneLoad& own,
                                      const ZoneLoad& others,
                                      std::chrono::microseconds path_cost,
                                      TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    found = services_.emplace(std::string(service), State()).first;
  State& state = found->second;
  if (!state.updated || now - state.updated_at >= kAdjustmentInterval) {
    Update(state, own, others, path_cost);
    state.updated = true;
    state.updated_at = now;
  }
  Decision decision{false, state.reason};
  state.credit += state.fraction;
  if (state.credit >= 1) {
    state.credit -= 1;
    decision.leaves = true;
  }
  return decision;
}

}  // namespace comfreylock::mesh
