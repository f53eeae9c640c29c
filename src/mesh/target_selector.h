#ifndef COMFREYLOCK_MESH_TARGET_SELECTOR_H_
#define COMFREYLOCK_MESH_TARGET_SELECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "comfreylock/types.h"
#include "generated/mesh.pb.h"
#include "mesh/zone_spill.h"

/// Selection of the target for a request.
///
/// Load pattern: targets of one service differ in speed, become slow, fail some
/// of their requests, or have just started and are still warming up. Selects
/// the target with the lowest cost, mainly the expected time to an answer, from
/// the load that each node reports of its target and from what this node has
/// sent since. No target is excluded permanently.
///
/// Load pattern: the targets of a zone return to service together, all cold,
/// and would crash under the zone's former load. A cold target whose starts are
/// limited counts with the wait at that rate, and costs more the longer its
/// warm-up still lasts.
///
/// Load pattern: the network between two nodes fails without closing their
/// link. A target whose node has not been heard from since a request was sent
/// to it is chosen only if there is no other.
namespace comfreylock::mesh {

class TargetSelector {
 public:
  struct Choice {
    NodeId node;
    std::chrono::microseconds wait{0};     ///< Expected time in its queue.
    std::chrono::microseconds service{0};  ///< Expected service time.
  };

  /// @param zone availability zone of this node.
  /// @param seed of the random part of the cost.
  TargetSelector(std::string zone, uint64_t seed);

  /// Adds a node, or changes its service or zone.
  void SetNode(const NodeId& node,
               const std::string& service,
               const std::string& zone);
  void RemoveNode(const NodeId& node);

  /// Stores the load that a node reported of its target.
  void Update(const NodeId& node, const wire::Load& load);

  /// Sets the zones whose targets are not chosen.
  void SetEvacuatedZones(std::set<std::string> zones) {
    evacuated_zones_ = std::move(zones);
  }

  /// Marks a node as unreachable until its next load report.
  void SetUnreachable(const NodeId& node);

  /// Counts a request that was sent to `node`, or that ended there.
  void OnRequestSent(const NodeId& node, TimePoint now);
  void OnRequestEnded(const NodeId& node);

  /// Properties of a request that the selection depends on.
  struct Request {
    std::string_view service;
    std::string_view route;
    uint32_t rank = 0;
    bool onward = false;
    /// Cost added to targets in other availability zones: one of them is chosen
    /// only if its cost is lower by more than this. Small enough that staying
    /// in the zone makes no answer late.
    std::chrono::microseconds zone_tolerance{0};
  };

  /// @param tried nodes to leave out.
  /// @return the target with the lowest cost, or nothing if none serves.
  std::optional<Choice> Choose(const Request& request,
                               std::span<const NodeId> tried,
                               TimePoint now);

  /// Loads of the serving targets of a service.
  struct ZoneLoads {
    ZoneLoad own;     ///< In this availability zone.
    ZoneLoad others;  ///< In all others.
  };
  ZoneLoads LoadsByZone(const Request& request) const;

  /// @return the fraction of recent onward calls by a service's targets that
  ///     failed because of overload, for requests of this rank; the mean over
  ///     its nodes.
  double CallFailureRatio(std::string_view service, uint32_t rank) const;

  /// @return whether the service has a serving target that is not in `tried`.
  bool HasUntriedTarget(std::string_view service,
                        std::span<const NodeId> tried) const;

  /// @return whether the service has a serving target at present.
  bool HasServingTarget(std::string_view service) const {
    return HasUntriedTarget(service, {});
  }

 private:
  struct Target {
    std::string service;
    std::string zone;
    wire::Load load;
    bool reachable = false;
    uint32_t outstanding = 0;      ///< Sent by this node and not ended.
    uint32_t sent_since_load = 0;  ///< Sent by this node, not yet in `load`.
    /// When the first of the requests in `sent_since_load` was sent.
    TimePoint first_sent_at;
  };

  bool IsUsable(const Target& target) const {
    return target.reachable && target.load.serving() &&
           target.load.slots() > 0 && !evacuated_zones_.contains(target.zone);
  }
  /// @return the mean time between two starts that a cold target allows; 0 if
  ///     its starts are not limited.
  static std::chrono::microseconds StartInterval(const Target& target);
  /// @return whether the node of the target should have been heard from.
  static bool IsSilent(const Target& target, TimePoint now);
  /// @return the mean service time of a route over the targets of a service
  ///     that report one, for the others; assumed if none reports one.
  std::chrono::microseconds TypicalServiceTime(std::span<const NodeId> nodes,
                                               std::string_view route) const;
  /// @param typical service time of targets that report none for the route.
  Choice Estimate(const NodeId& node,
                  const Target& target,
                  const Request& request,
                  std::chrono::microseconds typical) const;
  /// @return the cost by which targets are compared, in microseconds.
  double Cost(const Choice& choice,
              const Target& target,
              const Request& request);
  /// @return the reported service time of a route, 0 if there is none.
  static std::chrono::microseconds ReportedServiceTime(const Target& target,
                                                       std::string_view route);

  std::string zone_;
  std::mt19937_64 random_;
  std::set<std::string> evacuated_zones_;
  std::map<NodeId, Target> targets_;
  std::map<std::string, std::vector<NodeId>, std::less<>> by_service_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_TARGET_SELECTOR_H_
