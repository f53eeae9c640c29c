#include <gtest/gtest.h>

#include "fleet_model.h"

/// Replays of load at its worst through the reducers of a small fleet.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;

/// A call graph: views and orders call a register four times, through an index;
/// lists go to the register themselves and take long there.
std::vector<ModelRoute> Routes() {
  return {
      {.name = "view",
       .service = "front",
       .work = 100ms,
       .timeout = 1200ms,
       .calls = {"index"}},
      {.name = "order",
       .service = "orders",
       .work = 100ms,
       .importance = 0,
       .idempotent = false,
       .latency = 2000ms,
       .calls = {"index"}},
      {.name = "list", .service = "register", .work = 800ms, .latency = 2500ms},
      {.name = "index",
       .service = "store",
       .work = 15ms,
       .importance = 1,
       .open = true,
       .timeout = 2000ms,
       .calls = {"look", "look", "look", "look"}},
      {.name = "look",
       .service = "register",
       .work = 55ms,
       .importance = 1,
       .open = true,
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

/// Leaves one target of the register, and counts what ends 4 s later.
void LoseTwoTargetsOfTheRegister(FleetModel& model) {
  model.Run(3s);
  model.Leave(3);
  model.Leave(7);
  model.Run(4s);
  model.ResetResults();
  model.Run(10s);
}

TEST(LoadTest, ACalmDayIsServed) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 1);
  model.Run(3s);
  model.ResetResults();
  model.Run(5s);
  for (const char* route : {"view", "order", "list"}) {
    const ModelResult& result = model.Result(route);
    // Requests in flight at the two ends are counted on one side only.
    EXPECT_GE(result.in_time, 0.85 * result.sent) << route;
    EXPECT_EQ(result.failed + result.refused, 0) << route;
  }
  EXPECT_LE(model.overfull(), 0);
}

// Guards against the collapse in which all requests of the call graph run, use
// up what is left of the service at its end, and fail.
TEST(LoadTest, OneTargetLeftOfTheServiceBelow) {
  FleetModel model(Routes(), Targets());
  OfferAll(model, 1);
  LoseTwoTargetsOfTheRegister(model);
  const ModelResult& view = model.Result("view");
  const ModelResult& order = model.Result("order");
  const ModelResult& list = model.Result("list");
  // The register has 29 slots. Orders need 6.4 of them, lists 13.6, and views
  // 16.5: the orders fit, and the rest shares what is left.
  EXPECT_GE(order.served(), 0.8);
  EXPECT_GE(view.served(), 0.35);
  EXPECT_GE(list.served(), 0.2);
  // Work is refused before it begins and not broken off later.
  EXPECT_LE(view.failed, 0.15 * view.sent);
  EXPECT_EQ(model.double_runs(), 0);
  EXPECT_LE(model.overfull(), 0);
}

// All organisations have the same importance. Guards against orders that are
// served no better than views, since the organisation's importance hid that of
// the route.
TEST(LoadTest, RoutesOfOneOrganisationDiffer) {
  std::vector<ModelTarget> targets = Targets();
  targets[11].speed = 0.5;
  FleetModel model(Routes(), targets);
  OfferAll(model, 1);
  LoseTwoTargetsOfTheRegister(model);
  // Orders need 13 of the 29 slots that are left, views 33, and lists 27.
  EXPECT_GE(model.Result("order").served(), 0.8);
  EXPECT_GE(model.Result("view").served(), 0.2);
  EXPECT_GE(model.Result("list").served(), 0.15);
}

TEST(LoadTest, RecoversSoonAfterTheOverload) {
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

// A burst of three times the capacity: the important requests are served, and
// callers that are refused learn it soon.
TEST(LoadTest, ABurstRefusesEarlyAndByImportance) {
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
  EXPECT_LE(model.overfull(), 0);
}

// Targets of one service at half speed: the others take more.
TEST(LoadTest, SlowTargetsAreAvoidedByDegree) {
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

// An order must not run twice, also while a part of the targets sheds.
TEST(LoadTest, OrdersRunAtMostOnceWhileTargetsShed) {
  FleetModel model(Routes(), Targets());
  model.Offer("order", 60);
  for (size_t target : {1, 5, 9})
    model.Shed(target, 0.4);
  model.Run(8s);
  EXPECT_EQ(model.double_runs(), 0);
  EXPECT_GE(model.Result("order").served(), 0.6);
}

}  // namespace
}  // namespace comfreylock::mesh
