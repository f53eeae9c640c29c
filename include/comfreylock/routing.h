#ifndef COMFREYLOCK_ROUTING_H_
#define COMFREYLOCK_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreylock/events.h"
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

/// Chooses targets by their load as last reported.
class Router {
 public:
  /// @param own_zone zone that is preferred.
  /// @param seed seed of the router's random choices.
  Router(std::string own_zone, uint64_t seed);

  /// Adds a target or changes its address.
  void SetTarget(const TargetInfo& target, TimePoint now);

  /// Removes a target that left, is draining or is dead.
  void RemoveTarget(const NodeId& node);

  /// @param tried nodes that must not be chosen again.
  /// @return the chosen target, or null if there is none.
  const TargetInfo* Choose(std::string_view service,
                           std::span<const NodeId> tried,
                           TimePoint now);

  /// Counts an attempt that was sent to `node`.
  void OnDispatched(const NodeId& node, TimePoint now);

  /// Learns from an attempt that ended.
  /// @param report the node's figures, or null if it sent none.
  void OnEnded(const NodeId& node,
               AttemptKind kind,
               const wire::AnswerReport* report,
               std::chrono::microseconds latency,
               TimePoint now);

 private:
  struct Target {
    TargetInfo info;
    uint32_t outstanding = 0;
    uint32_t reported_in_flight = 0;
    uint32_t reported_limit = 0;
  };

  double LoadOf(const Target& target) const;

  std::string own_zone_;
  std::mt19937_64 random_;
  std::map<NodeId, Target> targets_;
  std::map<std::string, std::vector<NodeId>, std::less<>> by_service_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_ROUTING_H_
