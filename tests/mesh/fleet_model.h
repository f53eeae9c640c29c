#ifndef COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_
#define COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "mesh/mesh_reducer.h"

/// Load model for tests: the reducers of several nodes, targets that have slots
/// and speeds and make onward calls, and callers, on one virtual clock. All
/// decisions are made by the real reducers; links and the store never fail.
namespace comfreylock::mesh {

/// A route, with the behaviour of its requests at the target.
struct ModelRoute {
  std::string name;
  std::string service;
  std::chrono::milliseconds service_time{50};  ///< Mean, at speed 1.
  uint32_t importance = 2;
  bool idempotent = true;
  bool is_public = false;  ///< Needs no organisation's key; for onward calls.
  std::chrono::milliseconds timeout{5000};
  /// Answers within this time count as in time.
  std::chrono::milliseconds latency{1500};
  std::vector<std::string> calls;  ///< Routes of its onward calls, in order.
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
  int in_time = 0;  ///< Successful answers within the route's latency.
  int late = 0;     ///< Successful answers after it.
  int refused = 0;  ///< Refused without having run.
  int failed = 0;
  std::chrono::milliseconds max_refusal_delay{0};

  double served() const {
    return sent == 0 ? 0 : static_cast<double>(in_time + late) / sent;
  }
};

/// Settings of all nodes and of the configuration.
struct ModelOptions {
  NodeBounds bounds;
  std::map<std::string, WarmupRule, std::less<>> warmup_rules;
};

/// A request that was started on a target.
struct ModelStart {
  TimePoint time;
  size_t target = 0;
};

class FleetModel {
 public:
  FleetModel(std::vector<ModelRoute> routes,
             std::vector<ModelTarget> targets,
             ModelOptions options = {});

  /// Sends requests of a route at a steady rate, to each node in turn.
  void Offer(const std::string& route, double per_second);

  /// Makes a target shed this fraction of its requests.
  void Shed(size_t target, double fraction) {
    states_[target]->shed = fraction;
  }

  /// Makes a target report that it is leaving.
  void Leave(size_t target);

  /// Makes a target report its remaining warm-up.
  void Report(size_t target, std::chrono::milliseconds warmup_left);

  /// Sets the evacuated zones in the store. Only the first node reads them.
  void Evacuate(std::set<std::string> zones);

  /// @return all requests started on targets so far, in order.
  const std::vector<ModelStart>& starts() const { return starts_; }

  TimePoint now() const { return now_; }

  /// Advances the virtual time.
  void Run(std::chrono::milliseconds time);

  /// Discards all results counted so far.
  void ResetResults() { results_.clear(); }

  const ModelResult& Result(const std::string& route) {
    return results_[route];
  }

  /// @return the number of repeated runs of requests that are not idempotent.
  int repeated_runs() const { return repeated_runs_; }

  /// @return the largest number of requests that a target ran beyond its slots.
  int max_excess_running() const { return max_excess_running_; }

 private:
  struct State {
    std::unique_ptr<MeshReducer> node;
    ModelTarget target;
    double shed = 0;
    int running = 0;
    uint64_t sequence = 1;
  };
  struct Caller {
    std::string route;
    TimePoint sent_at;
    std::function<void(bool ok)> done;  ///< Set for onward calls only.
  };
  struct ScheduledAction {
    TimePoint time;
    uint64_t order = 0;  ///< Order of actions with the same time.
    std::function<void()> action;
    bool operator<(const ScheduledAction& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct OfferedLoad {
    std::string route;
    double per_second = 0;
    double pending = 0;
  };
  struct ModelRun {
    size_t node = 0;
    bool cancelled = false;
  };

  void Schedule(std::chrono::microseconds delay, std::function<void()> action);
  void HandleEvent(size_t node, EventBody event);
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
  const ModelRoute& RouteByName(const std::string& name) const;

  std::vector<ModelRoute> routes_;
  uint64_t store_revision_ = 1;
  std::vector<ModelStart> starts_;
  std::vector<std::unique_ptr<State>> states_;
  std::vector<OfferedLoad> offered_loads_;
  std::priority_queue<ScheduledAction> scheduled_;
  std::map<std::pair<size_t, uint64_t>, std::pair<size_t, uint64_t>> links_;
  std::map<std::pair<size_t, uint64_t>, Caller> callers_;
  std::map<std::pair<size_t, uint64_t>, std::shared_ptr<ModelRun>> runs_;
  std::map<std::string, int> run_counts_;
  std::map<std::string, ModelResult> results_;
  TimePoint now_{std::chrono::seconds(100)};
  uint64_t order_ = 0;
  uint64_t last_id_ = 0;
  size_t next_node_ = 0;
  int repeated_runs_ = 0;
  int max_excess_running_ = 0;
  std::mt19937_64 random_{11};
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_TESTS_MESH_FLEET_MODEL_H_
