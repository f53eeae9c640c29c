#ifndef COMFREYLOCK_MESH_PLACEMENT_H_
#define COMFREYLOCK_MESH_PLACEMENT_H_

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "comfreylock/types.h"
#include "generated/mesh.pb.h"

/// Choice of the target that gets a request.
///
/// Load pattern: targets of one service differ in speed, turn slow, fail a part
/// of their requests, or are new and cold. The target with the shortest
/// expected time to an answer is chosen, from what each node tells of its
/// target and what this node has sent since; nobody is left out for good.
namespace comfreylock::mesh {

class Placement {
 public:
  struct Choice {
    NodeId node;
    std::chrono::microseconds wait{0};     ///< Expected in its queue.
    std::chrono::microseconds service{0};  ///< Expected at the target.
  };

  /// @param zone availability zone of this node.
  Placement(std::string zone, uint64_t seed);

  /// Adds a node, or changes its service or zone.
  void SetNode(const NodeId& node,
               const std::string& service,
               const std::string& zone);
  void RemoveNode(const NodeId& node);

  /// Takes what a node told of its target.
  void Learn(const NodeId& node, const wire::Load& load, TimePoint now);

  /// Tells that a node cannot be reached, until it is heard of again.
  void SetUnreachable(const NodeId& node);

  /// Counts a request that was sent to `node`, and one that has ended.
  void OnSent(const NodeId& node);
  void OnEnded(const NodeId& node);

  /// What matters of a request.
  struct Request {
    std::string_view service;
    std::string_view route;
    uint32_t rank = 0;
    bool onward = false;
    /// Time that an answer from another availability zone may take longer, so
    /// that traffic stays in the zone while that costs callers nothing.
    std::chrono::microseconds zone_tolerance{0};
  };

  /// @param tried nodes that are not chosen.
  /// @return the best target, or nothing if none serves.
  std::optional<Choice> Choose(const Request& request,
                               std::span<const NodeId> tried);

  /// @return the part of the calls of a service's targets that failed of late,
  ///     for requests of this rank; the mean over its nodes.
  double FailedCalls(std::string_view service, uint32_t rank) const;

  /// @return whether a target of the service serves that was not tried.
  bool HasOther(std::string_view service, std::span<const NodeId> tried) const;

  /// @return whether any target of the service serves at present.
  bool Serves(std::string_view service) const { return HasOther(service, {}); }

 private:
  struct Target {
    std::string service;
    std::string zone;
    wire::Load load;
    bool reachable = false;
    uint32_t outstanding = 0;      ///< Sent by this node, without an outcome.
    uint32_t sent_since_load = 0;  ///< Not part of `load` yet.
    TimePoint learned;
  };

  static bool Usable(const Target& target) {
    return target.reachable && target.load.serving() && target.load.slots() > 0;
  }
  Choice Estimate(const NodeId& node,
                  const Target& target,
                  const Request& request,
                  std::chrono::microseconds typical) const;
  double Cost(const Choice& choice,
              const Target& target,
              const Request& request);
  static std::chrono::microseconds TimeOf(const Target& target,
                                          std::string_view route);

  std::string zone_;
  std::mt19937_64 random_;
  std::map<NodeId, Target> targets_;
  std::map<std::string, std::vector<NodeId>, std::less<>> by_service_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_PLACEMENT_H_
