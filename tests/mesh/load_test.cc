#include <gtest/gtest.h>

#include "fleet_model.h"

/// Runs overload patterns through the reducers of a small fleet.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;

/// A call graph: views and orders call a register four times through an index.
/// Lists go to the register directly and take long there.
std::vector<ModelRoute> Routes() {
  return {
      {.name = "view",
       .service = "front",
       .service_time = 100ms,
       .timeout = 1200ms,
       .calls = {"index"}},
      {.name = "order",
       .service = "orders",
       .service_time = 100ms,
       .importance = 0,
       .idempotent = false,
       .latency = 2000ms,
       .calls = {"index"}},
      {.name = "list",
       .service = "register",
       .service_time = 800ms,
       .latency = 2500ms},
      {.name = "index",
       .service = "store",
       .service_time = 15ms,
       .importance = 1,
       .is_public = true,
       .timeout = 2000ms,
       .calls = {"look", "look", "look", "look"}},
      {.name = "look",
       .service = "register",
       .service_time = 55ms,
       .importance = 1,
       .is_public = true,
       .timeout = 700ms},
  };
}

std::vector<ModelTarget> Targets() {
  std::vector<ModelTarget> targets;
  for (const char* zone : {"a", "b", "c"}) {
    targets.push_back({"front", zone, 55, 1});
    targets.push_back({"orders", zone, 55, 1});
    targets.push_back({"store", zone, 55, 1});
    targets.push_back({"register", zone, 29, 1});
  }
  return targets;
}

void OfferAll(FleetModel& model, double factor) {
  model.Offer("view", 75 * factor);
  model.Offer("order", 29 * factor);
  model.Offer("list", 17 * factor);
}

/// Removes two of the three register targets, and counts only requests that end
/// from 4 s later on.
void RunWithOneRegisterTarget(FleetModel& model) {
  model.Run(3s);
  model.Leave(3);
  model.Leave(7);
  model.Run(4s);
  model.ResetResults();
  model.Run(10s);
}

TEST(LoadTest, LoadWithinCapacityIsServed) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 1);
  model.Run(3s);
  model.ResetResults();
  model.Run(5s);
  for (const char* route : {"view", "order", "list"}) {
    const ModelResult& result = model.Result(route);
    // Requests in flight at the start or end of the period are counted either
    // as sent or as ended, not both.
    EXPECT_GE(result.in_time, 0.85 * result.sent) << route;
    EXPECT_EQ(result.failed + result.refused, 0) << route;
  }
  EXPECT_LE(model.max_excess_running(), 0);
}

// Guards against a collapse of goodput: all requests run, use up the remaining
// capacity of the service at the end of the call graph, and fail.
TEST(LoadTest, OneTargetLeftOfDownstreamService) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 1);
  RunWithOneRegisterTarget(model);
  const ModelResult& view = model.Result("view");
  const ModelResult& order = model.Result("order");
  const ModelResult& list = model.Result("list");
  // The register has 29 slots. Orders need 6.4 of them, lists 13.6 and views
  // 16.5: the orders fit, and views and lists divide the rest.
  EXPECT_GE(order.served(), 0.8);
  EXPECT_GE(view.served(), 0.35);
  EXPECT_GE(list.served(), 0.2);
  // Requests are refused before they start rather than aborted later.
  EXPECT_LE(view.failed, 0.15 * view.sent);
  EXPECT_EQ(model.repeated_runs(), 0);
  EXPECT_LE(model.max_excess_running(), 0);
}

// Guards against orders that are served no better than views: with one
// importance for all organisations, the routes' importances had no effect.
TEST(LoadTest, RoutesOfOneOrganisationDiffer) {
  std::vector<ModelTarget> targets = Targets();
  targets[11].speed = 0.5;
  FleetModel model(Routes(), targets);
  OfferAll(model, 1);
  RunWithOneRegisterTarget(model);
  // Of the remaining 29 slots, orders need 13, views 33 and lists 27.
  EXPECT_GE(model.Result("order").served(), 0.8);
  EXPECT_GE(model.Result("view").served(), 0.2);
  EXPECT_GE(model.Result("list").served(), 0.15);
}

TEST(LoadTest, RecoversSoonAfterOverload) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 1);
  model.Run(2s);
  for (size_t target : {3, 7, 11})
    model.Shed(target, 0.5);
  model.Run(4s);
  for (size_t target : {3, 7, 11})
    model.Shed(target, 0);
  model.Run(2s);
  model.ResetResults();
  model.Run(4s);
  for (const char* route : {"view", "order", "list"})
    EXPECT_GE(model.Result(route).served(), 0.8) << route;
}

// Guards against retries that are spent on the first calls of requests while
// too few are left for their last ones: all targets of the service at the end
// of the call graph shed 0.55 of their requests, and a view needs four calls to
// it in sequence. Without retries 0.04 of the views succeed; with the retries
// spent on their last calls 0.15 can.
TEST(LoadTest, RetriesCompleteRequestsThatNearlySucceeded) {
  FleetModel model(Routes(), Targets());
  model.Offer("view", 120);
  model.Run(12s);
  for (size_t target : {3, 7, 11})
    model.Shed(target, 0.55);
  model.ResetResults();
  model.Run(8500ms);
  EXPECT_GE(model.Result("view").served(), 0.15);
}

// Guards against a burst of three times the capacity that crowds out important
// requests.
TEST(LoadTest, BurstIsRefusedByImportance) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 4);
  model.Run(3s);
  model.ResetResults();
  model.Run(6s);
  const ModelResult& view = model.Result("view");
  const ModelResult& order = model.Result("order");
  EXPECT_GE(order.served(), view.served());
  EXPECT_GE(order.served(), 0.6);
  EXPECT_GE(view.served(), 0.1);
  EXPECT_GE(model.Result("list").served(), 0.05);
  EXPECT_LE(model.max_excess_running(), 0);
}

// One target of a service runs at 0.3 of its speed: the others must serve more.
TEST(LoadTest, OtherTargetsRelieveSlowTarget) {
  std::vector<ModelTarget> targets = Targets();
  targets[3].speed = 0.3;
  FleetModel model(Routes(), targets);
  OfferAll(model, 1);
  model.Run(4s);
  model.ResetResults();
  model.Run(5s);
  EXPECT_GE(model.Result("view").served(), 0.85);
  EXPECT_GE(model.Result("list").served(), 0.6);
}

// An order must not run twice, even while targets shed some requests.
TEST(LoadTest, OrdersRunAtMostOnceWhileTargetsShed) {
  FleetModel model(Routes(), Targets());
  model.Offer("order", 60);
  for (size_t target : {1, 5, 9})
    model.Shed(target, 0.4);
  model.Run(8s);
  EXPECT_EQ(model.repeated_runs(), 0);
  EXPECT_GE(model.Result("order").served(), 0.6);
}

}  // namespace
}  // namespace comfreylock::mesh
