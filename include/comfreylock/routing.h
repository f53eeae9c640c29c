#ifndef COMFREYLOCK_ROUTING_H_
#define COMFREYLOCK_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "comfreylock/events.h"
#include "comfreylock/policy.h"
#include "comfreylock/types.h"

/// Choice of the target that a request is sent to.
namespace comfreylock {

/// A target as advertised by its node.
struct TargetInfo {
  NodeId node;
  std::string service;
  std::string zone;
  std::string address;  ///< IP:PORT of the node's peer listener.
};

/// The node that a router belongs to, and the router's settings.
struct RouterOptions {
  NodeId node;
  std::string zone;  ///< Own zone; its targets are preferred.
  uint64_t seed = 1;
  Policy policy = Policy::kStandard;
};

/// Chooses targets by their last reported load.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Adds a target or changes its address. O(log n) in known targets.
  void SetTarget(const TargetInfo& target, TimePoint now);

  /// Removes a target that left, is draining or is dead. O(log n).
  void RemoveTarget(const NodeId& node);

  /// Chooses a target in O(`kMaxTargetsPerService`), independent of the fleet's
  /// size.
  /// @param tried nodes that must not be chosen again.
  /// @return the chosen target, or null if there is none.
  const TargetInfo* Choose(std::string_view service,
                           std::span<const NodeId> tried,
                           TimePoint now);

  /// Counts an attempt that was sent to `node` as outstanding.
  void OnAttemptDispatched(const NodeId& node, TimePoint now);

  /// Removes an outstanding attempt that ended because the caller disconnected
  /// or the call's deadline passed, which is no indication of the target's
  /// health.
  void OnAttemptAbandoned(const NodeId& node);

  /// Records the end of an attempt.
  /// @param report the load report of `node`, or null if it sent none.
  void OnAttemptEnded(const NodeId& node,
                      AttemptResult kind,
                      const wire::AnswerReport* report,
                      std::chrono::microseconds latency,
                      TimePoint now);

  /// @return the targets of `service` that this node may choose, at most
  ///     `kMaxTargetsPerService`. Valid until a target is set or removed.
  std::span<const NodeId> UsedTargets(std::string_view service) const;

  bool IsEjected(const NodeId& node, TimePoint now) const;

 private:
  struct Target {
    TargetInfo info;
    uint64_t hash = 0;  ///< Rendezvous hash of (own id, target).
    bool own_zone = false;
    TimePoint added_at;

    uint32_t outstanding = 0;
    uint32_t reported_in_flight = 0;
    uint32_t reported_limit = 0;  ///< 0 before the first report.
    TimePoint reported_at;
    TimePoint full_until;  ///< Counts as full until then.
    double latency = 0;    ///< Smoothed, microseconds.

    uint32_t consecutive_failures = 0;
    uint32_t ejections = 0;  ///< Since the last answered attempt.
    TimePoint ejected_until;
  };

  /// Ordered by rendezvous hash.
  using Ranking = std::set<std::pair<uint64_t, Target*>>;

  struct Service {
    Ranking own_zone;
    Ranking other_zones;
    std::vector<Target*> used;  ///< May be chosen; own zone first.
    std::vector<NodeId> used_nodes;
    size_t own_zone_used = 0;  ///< Number of own-zone targets in `used`.
    size_t next_index = 0;     ///< For round robin.
    double failure_ratio = 0;  ///< Smoothed ratio of failed attempts.
  };

  using Chooser = Target* (Router::*)(Service& service,
                                      std::span<const NodeId> tried,
                                      TimePoint now);

  Target* ChooseByLoad(Service& service,
                       std::span<const NodeId> tried,
                       TimePoint now);
  Target* ChooseRoundRobin(Service& service,
                           std::span<const NodeId> tried,
                           TimePoint now);
  /// @return the less loaded of two random eligible targets, or null.
  Target* LessLoadedOfTwo(std::span<Target* const> targets,
                          std::span<const NodeId> tried,
                          bool include_ejected,
                          double average,
                          TimePoint now);
  /// @return a random target, a recently added one with lower probability.
  Target* PickRandom(std::span<Target* const> targets, TimePoint now);
  /// Decides whether a request leaves the own zone for `other`.
  bool ShouldSpill(double own_load,
                   const Target& other,
                   double average,
                   TimePoint now);
  /// @return whether the failure ratio is so high that the fault lies in the
  ///     whole service and not in single targets.
  bool IsFailingServiceWide(const Service& service) const;
  void RecordFailure(Service& service, Target& target, TimePoint now);
  void SelectUsedTargets(Service& service);
  /// @return the estimated load: requests in flight / limit.
  double LoadOf(const Target& target, double average, TimePoint now) const;
  /// @return the mean of the recently reported loads; 0 if there is none.
  double AverageLoad(const Service& service, TimePoint now) const;
  double RampFraction(const Target& target, TimePoint now) const;

  RouterOptions options_;
  std::mt19937_64 random_;
  Chooser chooser_;
  std::unordered_map<NodeId, Target> targets_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_ROUTING_H_
