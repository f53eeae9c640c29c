#ifndef COMFREYLOCK_MESH_RATE_SHARE_H_
#define COMFREYLOCK_MESH_RATE_SHARE_H_

#include <chrono>
#include <map>
#include <string>

#include "comfreylock/types.h"
#include "generated/mesh.pb.h"
#include "mesh/fleet_config.h"

/// Fleet-wide rate and burst of organisations, in shares.
///
/// Load pattern: one organisation sends many times its rate at all nodes at
/// once, or its callers move between nodes. A holder divides each rate by the
/// nodes' demand several times a second; a node that does not hear from the
/// holder falls back to a small fixed part. Nodes that are cut off from each
/// other may have two holders: each gives out the part of the rate that belongs
/// to the nodes that report to it. Where a rate is small for the
/// number of nodes, shares would be less than a request: nodes then ask the
/// holder for single tokens of one common bucket.
namespace comfreylock::mesh {

/// @return whether an organisation's requests take tokens of a common bucket.
/// @param nodes number of nodes that admit requests.
bool TakesCommonTokens(const OrganisationLimits& limits, size_t nodes);

/// Seen from one node: admits requests within its shares.
class RateShare {
 public:
  /// How long a share holds without news from the holder.
  static constexpr std::chrono::milliseconds kValidity{1500};
  /// Window over which demand is counted.
  static constexpr std::chrono::milliseconds kDemandWindow{1000};

  /// Takes one request of an organisation.
  /// @param nodes number of nodes that admit requests.
  /// @return 0 if it is admitted, else the time until the next token.
  std::chrono::microseconds Take(const OrganisationLimits& limits,
                                 size_t nodes,
                                 TimePoint now);

  /// Asks for a token of the common bucket.
  /// @return whether one is left from before; it is taken then.
  bool TakeCommon(const std::string& organisation, TimePoint now);

  /// @return the tokens to ask for: what waits, and what is expected until the
  ///     answer.
  /// @param waiting requests that wait for a token.
  uint32_t TokensWanted(const std::string& organisation,
                        size_t waiting,
                        TimePoint now);

  /// Gives a token back for a request that has not run.
  void GiveBack(const std::string& organisation);

  /// Applies the holder's shares.
  void Apply(const wire::Shares& shares, TimePoint now);

  /// @return what this node wants to admit, of each organisation with demand.
  wire::Demand Demand(TimePoint now);

 private:
  struct Bucket {
    uint32_t common = 0;  ///< Tokens of the common bucket.
    TimePoint common_until;
    double tokens = 0;
    double rate = 0;
    double burst = 0;
    TimePoint filled;
    TimePoint valid_until;
    double arrivals = 0;  ///< Decaying count over `kDemandWindow`.
    TimePoint counted;
    bool started = false;
  };

  static void Decay(Bucket& bucket, TimePoint now);
  static void Refill(Bucket& bucket, TimePoint now);

  std::map<std::string, Bucket> buckets_;
};

/// At the holder: divides each organisation's rate by demand.
class RateHolder {
 public:
  /// Demand of a node counts for so long without news.
  static constexpr std::chrono::milliseconds kDemandKept{1500};

  /// Takes a node's demand. @return its shares of these organisations.
  /// @param nodes number of nodes that admit requests; too many rather than too
  ///     few.
  wire::Shares OnDemand(const NodeId& node,
                        const wire::Demand& demand,
                        const FleetConfig& config,
                        size_t nodes,
                        TimePoint now);

 private:
  /// Tokens that nodes ask for one by one.
  struct CommonBucket {
    double tokens = 0;
    TimePoint filled;
  };

  uint32_t TakeTokens(const OrganisationLimits& limits,
                      uint32_t wanted,
                      double held,
                      TimePoint now);
  /// Counts a node that reports.
  /// @return the part of a rate that belongs to the nodes that report demand of
  ///     these organisations.
  double PartHeld(const NodeId& node,
                  uint32_t part,
                  size_t nodes,
                  TimePoint now);

  struct Reported {
    double per_second = 0;
    TimePoint time;
  };

  std::map<std::string, std::map<NodeId, Reported>> demand_;
  std::map<std::string, CommonBucket> common_;
  /// Last report of each node, by part of the organisations.
  std::map<uint32_t, std::map<NodeId, TimePoint>> reporters_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RATE_SHARE_H_
