#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace comfreylock {
namespace {

/// Two nodes, one organisation with a key, and a once-only route.
class RateLimitedFleet {
 public:
  RateLimitedFleet() : simulation(1) {
    PresentedKey hashed = HashKey("cl_k1_secret", "00ff");
    std::string bundle = R"({"version": 1, "partitions": 4,
      "key_salt": "00ff",
      "services": {"s": {"slots": 50}},
      "organisations": {"o": {"rate": 20, "burst": 10}},
      "keys": [{"id": "k1", "organisation": "o", "hash": ")" +
                         hashed.hash + R"("}],
      "routes": [
        {"name": "read", "path": "/", "service": "s"},
        {"name": "order", "path": "/orders", "service": "s",
         "once_only": true}]})";
    simulation.PutBundle(bundle, 1);
    simulation.Add("a");
    simulation.Add("b");
    simulation.Run(3s);
  }

  CallId Call(const NodeId& node, const std::string& target) {
    CallArrived call{CallId{++last_call}};
    call.request.method = "POST";
    call.request.request_target = target;
    call.request.key = HashKey("cl_k1_secret", "00ff");
    call.request.request_id = std::to_string(last_call);
    call.request.idempotency_key = "order-1";
    call.request.body_complete = true;
    simulation.Feed(node, call);
    return call.call;
  }

  template <typename T>
  std::vector<T> TakeEffects(const NodeId& node) {
    std::vector<T> found;
    for (const auto& effect : simulation.hosts[node].effects) {
      if (const auto* wanted = std::get_if<T>(&effect))
        found.push_back(*wanted);
    }
    simulation.hosts[node].effects.clear();
    return found;
  }

  FleetSimulation simulation;
  uint64_t last_call = 0;
};

// Guards against running an order twice if it is sent to two nodes, and against
// a resend that does not get the answer of the first run.
TEST(ReducerRateTest, OrderAtTwoNodesRunsOnce) {
  RateLimitedFleet fleet;
  fleet.Call("a", "/orders");
  fleet.Call("b", "/orders");
  fleet.simulation.Run(500ms);
  auto at_a = fleet.TakeEffects<Dispatch>("a");
  auto at_b = fleet.TakeEffects<Dispatch>("b");
  ASSERT_EQ(at_a.size() + at_b.size(), 1u);
  NodeId dispatcher = at_a.empty() ? "b" : "a";
  NodeId waiter = at_a.empty() ? "a" : "b";
  const Dispatch& dispatch = at_a.empty() ? at_b[0] : at_a[0];
  EXPECT_TRUE(dispatch.report_answer);
  AttemptEnded ended{dispatch.call, dispatch.attempt, AttemptResult::kAnswered};
  ended.answer.emplace().set_body("printed");
  fleet.simulation.Feed(dispatcher, ended);
  fleet.simulation.Run(500ms);
  EXPECT_EQ(fleet.TakeEffects<DeliverAnswer>(dispatcher).size(), 1u);
  auto replays = fleet.TakeEffects<ReplayAnswer>(waiter);
  ASSERT_EQ(replays.size(), 1u);
  EXPECT_EQ(replays[0].answer.body(), "printed");
}

// Guards against admitting more than rate and burst when an organisation floods
// all nodes, and against refusing all its calls.
TEST(ReducerRateTest, FloodStaysWithinRate) {
  RateLimitedFleet fleet;
  size_t dispatched = 0;
  for (int i = 0; i < 500; ++i) {
    fleet.Call("a", "/read");
    fleet.Call("b", "/read");
    fleet.simulation.Run(10ms);
    dispatched += fleet.TakeEffects<Dispatch>("a").size();
    dispatched += fleet.TakeEffects<Dispatch>("b").size();
  }
  EXPECT_LE(dispatched, 20u * 5 + 10);
  EXPECT_GE(dispatched, 90u);
}

// Guards against a node that never gets a share because it joined after the
// owner had read the member list.
TEST(ReducerRateTest, LateNodeGetsShare) {
  RateLimitedFleet fleet;
  fleet.simulation.Add("c");
  fleet.simulation.Run(3s);
  fleet.Call("c", "/read");
  fleet.simulation.Run(200ms);
  EXPECT_EQ(fleet.TakeEffects<Dispatch>("c").size(), 1u);
}

}  // namespace
}  // namespace comfreylock
