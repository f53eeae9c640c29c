#ifndef COMFREYLOCK_MESH_RANK_H_
#define COMFREYLOCK_MESH_RANK_H_

#include <algorithm>
#include <cstdint>
#include <optional>

/// Scheduling priority of requests under overload.
///
/// The rank is ordered by the importance of the organisation first and by that
/// of the route second, so that an organisation's orders are served before its
/// views.
namespace comfreylock::mesh {

/// Number of distinct importances; greater values are treated as the last.
inline constexpr uint32_t kOrganisationImportanceCount = 4;
inline constexpr uint32_t kRouteImportanceCount = 3;
/// Number of ranks; rank 0 is served first.
inline constexpr uint32_t kRankCount =
    kOrganisationImportanceCount * kRouteImportanceCount;

/// @param organisation importance of the caller's organisation, if it has one.
/// @param route importance of the route.
/// @return the rank of a request.
inline uint32_t RankOf(std::optional<uint32_t> organisation, uint32_t route) {
  uint32_t primary =
      std::min(organisation.value_or(route), kOrganisationImportanceCount - 1);
  return primary * kRouteImportanceCount +
         std::min(route, kRouteImportanceCount - 1);
}

/// @return `rank` limited to the last rank, for values received from other
///     nodes.
inline uint32_t ClampRank(uint32_t rank) {
  return std::min(rank, kRankCount - 1);
}

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RANK_H_
