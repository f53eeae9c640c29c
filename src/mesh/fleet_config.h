#ifndef COMFREYLOCK_MESH_FLEET_CONFIG_H_
#define COMFREYLOCK_MESH_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The operators' configuration in the form that a mesh node uses.
namespace comfreylock::mesh {

/// A service and its weight in the traffic split of a route.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Handling of requests whose path begins with `prefix`.
struct Route {
  std::string name;
  std::string prefix;  ///< Begins and ends with a slash.
  std::vector<WeightedService> services;
  bool idempotent = false;
  bool is_public = false;   ///< Served without a key.
  uint32_t importance = 2;  ///< 0 is the most important.
  uint32_t max_attempts = 1;
  std::chrono::milliseconds timeout{0};  ///< 0: no limit.
  /// Time within which an answer has its full value for the caller.
  std::chrono::milliseconds latency_objective{1000};
};

/// Limits of one organisation, summed over all nodes.
struct OrganisationLimits {
  std::string name;
  std::optional<uint32_t> importance;  ///< Outranks the route's; see `RankOf`.
  double rate = 0;                     ///< Requests per second; 0: no limit.
  double burst = 0;                    ///< Requests.
};

/// What a target of a service can handle while it is cold.
struct WarmupRule {
  std::chrono::milliseconds duration{0};  ///< Of the warm-up after a start.
  double starts_per_second = 0;           ///< Requests; 0: no limit.
};

/// Limits of the HTTP listener for callers.
struct CallerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 64 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One validated version of the operators' configuration.
struct FleetConfig {
  uint64_t version = 0;
  std::string text;  ///< Text from the store, for sending to other nodes.
  /// Routes of each host name, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> hosts;
  std::map<std::string, OrganisationLimits, std::less<>> organisations;
  /// Name of the organisation that owns each key.
  std::unordered_map<std::string, std::string> keys;
  std::set<std::string, std::less<>> services;
  /// By service; only services whose cold targets are limited.
  std::map<std::string, WarmupRule, std::less<>> warmup_rules;
  CallerLimits limits;

  /// @param host without port, lower case.
  /// @param path path of the request; a query is ignored.
  /// @return the route with the longest matching prefix, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  /// @return the organisation that owns `key`, or null.
  const OrganisationLimits* FindOrganisation(const std::string& key) const;

  /// Sorts the routes of each host as `FindRoute` requires.
  void SortRoutes();
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_FLEET_CONFIG_H_
