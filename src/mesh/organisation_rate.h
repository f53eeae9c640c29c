#ifndef COMFREYLOCK_MESH_ORGANISATION_RATE_H_
#define COMFREYLOCK_MESH_ORGANISATION_RATE_H_

#include <chrono>
#include <map>
#include <string>

#include "comfreylock/types.h"
#include "generated/mesh.pb.h"
#include "mesh/fleet_config.h"

/// Fleet-wide limits of organisations' rates and bursts, divided among nodes.
///
/// Load pattern: one organisation sends many times its rate to all nodes at
/// once, or its callers move between nodes. An allocator divides each rate
/// mainly in proportion to the nodes' demand several times a second; a node
/// that receives no share from the allocator uses a small fixed one. In a
/// network partition there may be two allocators: each allocates only the
/// fraction of the rate that belongs to the nodes that report to it. If a rate
/// is so small for the number of nodes that shares would be less than one
/// request, nodes request single tokens from one central bucket at the
/// allocator instead.
namespace comfreylock::mesh {

/// @return whether an organisation's requests use tokens of a central bucket.
/// @param nodes number of nodes that admit requests.
bool UsesCentralBucket(const OrganisationLimits& limits, size_t nodes);

/// Limiter at one node: admits requests within the node's shares.
class OrganisationRateLimiter {
 public:
  /// Time for which a share is valid after the allocator sent it.
  static constexpr std::chrono::milliseconds kShareTtl{1500};
  /// Time constant of the decaying count of demand.
  static constexpr std::chrono::milliseconds kDemandWindow{1000};

  /// Acquires a token of the node's share for a request.
  /// @param nodes number of nodes that admit requests.
  /// @return 0 if the request is admitted, else the time until the next token.
  std::chrono::microseconds TryAcquire(const OrganisationLimits& limits,
                                       size_t nodes,
                                       TimePoint now);

  /// Counts a request and uses a central token that this node already holds.
  /// @return false if it holds none.
  bool TryAcquireCentralToken(const std::string& organisation, TimePoint now);

  /// @param waiting requests that wait for a central token.
  /// @return the number of central tokens to request: for the waiting requests,
  ///     and for those expected until the allocator's answer.
  uint32_t TokensWanted(const std::string& organisation,
                        size_t waiting,
                        TimePoint now);

  /// Returns a token of the node's share for a request that did not run.
  void ReturnToken(const std::string& organisation);

  /// Applies the shares and central tokens that the allocator sent.
  void Apply(const wire::Shares& shares, TimePoint now);

  /// @return the demand at this node, of each organisation that has any.
  wire::Demand Demand(TimePoint now);

 private:
  struct Bucket {
    uint32_t central_tokens = 0;  ///< Unused central tokens.
    TimePoint central_tokens_until;
    double tokens = 0;
    double rate = 0;
    double burst = 0;
    TimePoint refilled_at;
    TimePoint valid_until;
    double arrivals = 0;  ///< Decaying count over `kDemandWindow`.
    TimePoint counted_at;
    /// Set by the first request; only that one may start with a full bucket.
    bool initialised = false;
  };

  static void Decay(Bucket& bucket, TimePoint now);
  static void Refill(Bucket& bucket, TimePoint now);

  std::map<std::string, Bucket> buckets_;
};

/// Allocator: divides each organisation's rate among nodes by their demand.
class OrganisationRateAllocator {
 public:
  /// Time for which a node's reported demand counts.
  static constexpr std::chrono::milliseconds kDemandTtl{1500};

  /// Records a node's demand.
  /// @param nodes number of nodes that admit requests; too high is safe, too
  ///     low would allocate more than the rate.
  /// @return the node's shares of these organisations' rates.
  wire::Shares OnDemand(const NodeId& node,
                        const wire::Demand& demand,
                        const FleetConfig& config,
                        size_t nodes,
                        TimePoint now);

 private:
  /// Tokens that nodes request one by one.
  struct CentralBucket {
    double tokens = 0;
    TimePoint refilled_at;
  };

  /// @param reporting_fraction of the rate, which this allocator may allocate.
  /// @return the tokens granted, at most `wanted`.
  uint32_t GrantTokens(const OrganisationLimits& limits,
                       uint32_t wanted,
                       double reporting_fraction,
                       TimePoint now);
  /// Records that a node reports to this allocator.
  /// @param partition of the organisations in the report.
  /// @return the fraction of all nodes that report demand of this partition;
  ///     the same fraction of each rate may be allocated.
  double RecordReporter(const NodeId& node,
                        uint32_t partition,
                        size_t nodes,
                        TimePoint now);

  struct Reported {
    double per_second = 0;
    TimePoint reported_at;
  };

  std::map<std::string, std::map<NodeId, Reported>> demand_;
  std::map<std::string, CentralBucket> central_buckets_;
  /// Time of each node's last report, by partition of the organisations.
  std::map<uint32_t, std::map<NodeId, TimePoint>> reporters_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_ORGANISATION_RATE_H_
