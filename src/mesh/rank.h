#ifndef COMFREYLOCK_MESH_RANK_H_
#define COMFREYLOCK_MESH_RANK_H_

#include <algorithm>
#include <cstdint>
#include <optional>

/// The order in which requests are served when not all can be.
///
/// An organisation's importance goes before that of the route. Within one
/// importance of organisations the routes still differ, so that an
/// organisation's orders go before its views.
namespace comfreylock::mesh {

/// Importances that are told apart; greater ones count as the last.
inline constexpr uint32_t kFirstImportances = 4;
inline constexpr uint32_t kRouteImportances = 3;
/// Number of ranks; rank 0 is served first.
inline constexpr uint32_t kRanks = kFirstImportances * kRouteImportances;

/// @param organisation importance of the caller's organisation, if it has one.
/// @param route importance of the route.
/// @return the rank of a request.
inline uint32_t RankOf(std::optional<uint32_t> organisation, uint32_t route) {
  uint32_t first =
      std::min(organisation.value_or(route), kFirstImportances - 1);
  return first * kRouteImportances + std::min(route, kRouteImportances - 1);
}

/// @return a rank that is in bounds, for ranks that other nodes tell.
inline uint32_t ClampRank(uint32_t rank) {
  return std::min(rank, kRanks - 1);
}

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RANK_H_
