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

/// Choice of the target that gets a request.
namespace comfreylock {

/// A target as its node announced it.
struct TargetInfo {
  NodeId node;
  std::string service;
  std::string zone;
  std::string address;  ///< IP:PORT of the node's peer listener.
};

/// What a router knows of its own node.
struct RouterOptions {
  NodeId node;
  std::string zone;  ///< Preferred.
  uint64_t seed = 1;
  Policy policy = Policy::kStandard;
};

/// Chooses targets by their load as last reported.
class Router {
 public:
  explicit Router(RouterOptions options);

  /// Adds a target or changes its address. O(log n) in known targets.
  void SetTarget(const TargetInfo& target, TimePoint now);

  /// Removes a target that left, is draining or is dead. O(log n).
  void RemoveTarget(const NodeId& node);

  /// Takes time bounded by `kTargetsPerService`, whatever the fleet's size.
  /// @param tried nodes that must not be chosen again.
  /// @return the chosen target, or null if there is none.
  const TargetInfo* Choose(std::string_view service,
                           std::span<const NodeId> tried,
                           TimePoint now);

  /// Counts an attempt that was sent to `node`.
  void OnDispatched(const NodeId& node, TimePoint now);

  /// Forgets an attempt that the caller or the deadline of its call ended, and
  /// that says nothing about the target.
  void OnAbandoned(const NodeId& node);

  /// Learns from an attempt that ended.
  /// @param report the node's figures, or null if it sent none.
  void OnEnded(const NodeId& node,
               AttemptKind kind,
               const wire::AnswerReport* report,
               std::chrono::microseconds latency,
               TimePoint now);

  /// @return the targets of `service` that this node may choose, at most
  ///     `kTargetsPerService`. Valid until targets are set or removed.
  std::span<const NodeId> UsedTargets(std::string_view service) const;

  /// @return whether `node` is ejected at `now`.
  bool IsEjected(const NodeId& node, TimePoint now) const;

 private:
  struct Target {
    TargetInfo info;
    uint64_t hash = 0;  ///< Rendezvous hash of (own id, target).
    bool own_zone = false;
    TimePoint known_since;

    uint32_t outstanding = 0;
    uint32_t reported_in_flight = 0;
    uint32_t reported_limit = 0;  ///< 0 before the first report.
    TimePoint reported_at;
    TimePoint refused_until;  ///< Counts as full after an overload refusal.
    double latency = 0;       ///< Smoothed, microseconds.

    uint32_t failures = 0;   ///< Consecutive broken attempts.
    uint32_t ejections = 0;  ///< Since the last answer.
    TimePoint ejected_until;
  };

  /// Ordered by rendezvous hash.
  using Ranking = std::set<std::pair<uint64_t, Target*>>;

  struct Service {
    Ranking own_zone;
    Ranking other_zones;
    std::vector<Target*> used;  ///< Own zone first.
    std::vector<NodeId> used_nodes;
    size_t own_zone_used = 0;
    size_t next = 0;           ///< For round robin.
    double failure_share = 0;  ///< Smoothed share of broken attempts.
  };

  using Chooser = Target* (Router::*)(Service& service,
                                      std::span<const NodeId> tried,
                                      TimePoint now);

  Target* ChooseByLoad(Service& service,
                       std::span<const NodeId> tried,
                       TimePoint now);
  Target* ChooseInTurn(Service& service,
                       std::span<const NodeId> tried,
                       TimePoint now);
  /// @return the better of two random eligible targets, or null.
  Target* BetterOfTwo(std::span<Target* const> targets,
                      std::span<const NodeId> tried,
                      bool with_ejected,
                      double average,
                      TimePoint now);
  Target* PickOne(std::span<Target* const> targets, TimePoint now);
  bool SpillsOver(double own_load,
                  const Target& other,
                  double average,
                  TimePoint now);
  bool FailsAsAWhole(const Service& service) const;
  void NoteFailure(Service& service, Target& target, TimePoint now);
  void ChooseUsed(Service& service);
  double LoadOf(const Target& target, double average, TimePoint now) const;
  double AverageLoad(const Service& service, TimePoint now) const;
  double RampOf(const Target& target, TimePoint now) const;

  RouterOptions options_;
  std::mt19937_64 random_;
  Chooser chooser_;
  std::unordered_map<NodeId, Target> targets_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_ROUTING_H_
