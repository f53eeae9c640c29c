#ifndef COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_
#define COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "mesh/node.h"

/// A model of load for tests: the reducers of several nodes, targets with slots
/// and speeds that make calls of their own, and callers, on one virtual clock.
/// Everything that decides is the real reducer; links and the store always
/// work.
namespace comfreylock::mesh {

/// A kind of request.
struct ModelRoute {
  std::string name;
  std::string service;
  std::chrono::milliseconds work{50};
  uint32_t importance = 2;
  bool idempotent = true;
  bool open = false;  ///< For calls.
  std::chrono::milliseconds timeout{5000};
  std::chrono::milliseconds latency{1500};
  std::vector<std::string> calls;  ///< Names of routes, one after the other.
};

/// A target and the node beside it.
struct ModelTarget {
  std::string service;
  std::string zone = "a";
  uint32_t slots = 10;
  double speed = 1;
};

/// How the requests of one route ended.
struct ModelResult {
  int sent = 0;
  int in_time = 0;  ///< Whole answers within the route's latency.
  int late = 0;
  int refused = 0;  ///< Not run.
  int failed = 0;
  std::chrono::milliseconds longest_refusal{0};

  double served() const {
    return sent == 0 ? 0 : static_cast<double>(in_time + late) / sent;
  }
};

class FleetModel {
 public:
  FleetModel(std::vector<ModelRoute> routes, std::vector<ModelTarget> targets);

  /// Sends requests of a route at a steady rate, at the nodes in turn.
  void Offer(const std::string& route, double per_second);

  /// The target beside a node sheds this part of its requests.
  void Shed(size_t target, double part) { states_[target]->shed = part; }

  /// The target says that it leaves.
  void Leave(size_t target);

  /// Lets virtual time pass.
  void Run(std::chrono::milliseconds time);

  /// Starts counting anew.
  void ResetResults() { results_.clear(); }

  const ModelResult& Result(const std::string& route) {
    return results_[route];
  }

  /// @return times that a request that must not repeat ran more than once.
  int double_runs() const { return double_runs_; }

  /// @return largest number of requests that a target held beyond its slots.
  int overfull() const { return overfull_; }

 private:
  struct State {
    std::unique_ptr<Node> node;
    ModelTarget target;
    double shed = 0;
    int running = 0;
    uint64_t sequence = 1;
  };
  struct Caller {
    std::string route;
    TimePoint sent;
    std::function<void(bool ok)> done;  ///< For calls of targets.
  };
  struct Later {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Later& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct Load {
    std::string route;
    double per_second = 0;
    double owed = 0;
  };
  struct ModelRun {
    size_t node = 0;
    bool cancelled = false;
  };

  void After(std::chrono::microseconds delay, std::function<void()> action);
  void Feed(size_t node, EventBody event);
  void Apply(size_t node, Effect& effect);
  void Connect();
  void Send(const std::string& route,
            size_t node,
            const std::string& id,
            std::chrono::milliseconds deadline,
            std::function<void(bool ok)> done);
  void StartRun(size_t node, const RunOnTarget& run);
  void MakeCalls(size_t node,
                 std::shared_ptr<wire::Forward> request,
                 TimePoint deadline,
                 size_t next,
                 std::function<void(bool ok)> done);
  void EndRun(size_t node, WorkId work, int status);
  const ModelRoute& RouteNamed(const std::string& name) const;

  std::vector<ModelRoute> routes_;
  std::vector<std::unique_ptr<State>> states_;
  std::vector<Load> loads_;
  std::priority_queue<Later> later_;
  std::map<std::pair<size_t, uint64_t>, std::pair<size_t, uint64_t>> links_;
  std::map<std::pair<size_t, uint64_t>, Caller> callers_;
  std::map<std::pair<size_t, uint64_t>, std::shared_ptr<ModelRun>> runs_;
  std::map<std::string, int> run_counts_;
  std::map<std::string, ModelResult> results_;
  TimePoint now_{std::chrono::seconds(100)};
  uint64_t order_ = 0;
  uint64_t last_id_ = 0;
  size_t next_node_ = 0;
  int double_runs_ = 0;
  int overfull_ = 0;
  std::mt19937_64 random_{11};
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_
