#include "mesh/fleet_config.h"

#include <algorithm>

namespace comfreylock::mesh {

const Route* FleetConfig::FindRoute(std::string_view host,
                                    std::string_view path) const {
  auto routes = hosts.find(host);
  if (routes == hosts.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (const Route& route : routes->second) {
    if (path.starts_with(route.prefix))
      return &route;
  }
  return nullptr;
}

const OrganisationLimits* FleetConfig::FindOrganisation(
    const std::string& key) const {
  auto found = keys.find(key);
  if (found == keys.end())
    return nullptr;
  auto organisation = organisations.find(found->second);
  return organisation == organisations.end() ? nullptr : &organisation->second;
}

void FleetConfig::SortRoutes() {
  for (auto& [host, routes] : hosts) {
    std::ranges::stable_sort(routes, [](const Route& a, const Route& b) {
      return a.prefix.size() > b.prefix.size();
    });
  }
}

}  // namespace comfreylock::mesh
