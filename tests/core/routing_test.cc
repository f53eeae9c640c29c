#include "comfreylock/routing.h"

#include <gtest/gtest.h>

#include <set>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr uint32_t kLimit = 50;
constexpr TimePoint kStart(100s);

std::string TargetName(int index) {
  return "target-" + std::to_string(index);
}

void AddTargets(Router& router,
                int first,
                int count,
                const std::string& zone,
                TimePoint now) {
  for (int i = first; i < first + count; ++i)
    router.SetTarget({TargetName(i), "proofs", zone, "127.0.0.1:1"}, now);
}

wire::AnswerReport Report(uint32_t in_flight) {
  wire::AnswerReport report;
  report.set_in_flight(in_flight);
  report.set_limit(kLimit);
  return report;
}

/// Sends one attempt that ends at once. @return the chosen node.
NodeId SendOne(Router& router,
               const std::map<NodeId, uint32_t>& in_flight,
               TimePoint now,
               AttemptResult kind = AttemptResult::kAnswered) {
  const TargetInfo* target = router.Choose("proofs", {}, now);
  NodeId node = target->node;
  router.OnAttemptDispatched(node, now);
  auto found = in_flight.find(node);
  auto report = Report(found == in_flight.end() ? 0 : found->second);
  router.OnAttemptEnded(node, kind, &report, 10ms, now);
  return node;
}

/// @return the fraction of 4,000 attempts, 0.1 ms apart, that `nodes` get.
double FractionOf(Router& router,
                  const std::set<NodeId>& nodes,
                  const std::map<NodeId, uint32_t>& in_flight,
                  TimePoint now) {
  constexpr int kAttempts = 4000;
  int chosen = 0;
  for (int i = 0; i < kAttempts; ++i)
    chosen += nodes.contains(SendOne(router, in_flight, now + i * 100us));
  return static_cast<double>(chosen) / kAttempts;
}

// Guards against a target that attracts all requests because its reports say
// that it is idle. The better of two random choices of ten gives it 0.2.
TEST(RoutingTest, FalselyIdleTargetGetsBoundedTraffic) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 10, "a", kStart);
  std::map<NodeId, uint32_t> in_flight;
  for (int i = 1; i < 10; ++i)
    in_flight[TargetName(i)] = 30;
  EXPECT_LE(FractionOf(router, {TargetName(0)}, in_flight, kStart + 10s), 0.25);
}

// Guards against a target that counts as idle because it has not sent a report.
TEST(RoutingTest, TargetWithoutReportCountsAsAverage) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 10, "a", kStart);
  TimePoint now = kStart + 10s;
  for (int i = 1; i < 10; ++i) {
    router.OnAttemptDispatched(TargetName(i), now);
    auto report = Report(i < 5 ? 10 : 30);
    router.OnAttemptEnded(TargetName(i), AttemptResult::kAnswered, &report,
                          10ms, now);
  }
  int chosen = 0;
  for (int i = 0; i < 1000; ++i)
    chosen += router.Choose("proofs", {}, now)->node == TargetName(0);
  EXPECT_NEAR(chosen, 100, 50);
}

// Guards against newly added targets that get their full traffic at once.
TEST(RoutingTest, NewTargetsRampUp) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 5, "a", kStart);
  TimePoint now = kStart + 10s;
  AddTargets(router, 5, 5, "a", now);
  std::set<NodeId> added = {TargetName(5), TargetName(6), TargetName(7),
                            TargetName(8), TargetName(9)};
  EXPECT_LE(FractionOf(router, added, {}, now), 0.3);
  EXPECT_NEAR(FractionOf(router, added, {}, now + 3s), 0.5, 0.1);
}

// Guards against requests that leave a zone with free capacity, and against a
// full zone that keeps all requests.
TEST(RoutingTest, OwnZonePreferredUntilLoaded) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 3, "a", kStart);
  AddTargets(router, 3, 3, "b", kStart);
  std::set<NodeId> remote = {TargetName(3), TargetName(4), TargetName(5)};
  auto remote_fraction = [&](uint32_t local, double second) {
    std::map<NodeId, uint32_t> in_flight;
    for (int i = 0; i < 3; ++i)
      in_flight[TargetName(i)] = local;
    TimePoint now =
        kStart + std::chrono::microseconds(static_cast<int64_t>(second * 1e6));
    FractionOf(router, remote, in_flight, now);
    return FractionOf(router, remote, in_flight, now + 500ms);
  };
  EXPECT_EQ(remote_fraction(30, 10), 0);
  EXPECT_NEAR(remote_fraction(50, 20), 0.5, 0.1);
  EXPECT_GE(remote_fraction(80, 30), 0.95);
}

// Guards against more than a third of the targets being ejected, and against
// first ejections that last longer than 1 s.
TEST(RoutingTest, EjectsAtMostOneThird) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 9, "a", kStart);
  TimePoint now = kStart + 10s;
  auto ejected = [&](TimePoint time) {
    int count = 0;
    for (int i = 0; i < 9; ++i)
      count += router.IsEjected(TargetName(i), time);
    return count;
  };
  std::set<NodeId> broken = {TargetName(0), TargetName(1), TargetName(2),
                             TargetName(3)};
  for (int i = 0; i < 400; ++i) {
    NodeId node = router.Choose("proofs", {}, now)->node;
    router.OnAttemptDispatched(node, now);
    auto kind = broken.contains(node) ? AttemptResult::kBroken
                                      : AttemptResult::kAnswered;
    router.OnAttemptEnded(node, kind, nullptr, 10ms, now);
  }
  EXPECT_EQ(ejected(now), 3);
  EXPECT_EQ(ejected(now + 1s), 0);
}

// Guards against ejections while the whole service fails, which would only
// move the load to fewer targets.
TEST(RoutingTest, ServiceWideFailureEjectsNoTarget) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 9, "a", kStart);
  TimePoint now = kStart + 10s;
  for (int i = 0; i < 300; ++i)
    SendOne(router, {}, now, AttemptResult::kBroken);
  for (int i = 0; i < 9; ++i)
    EXPECT_FALSE(router.IsEjected(TargetName(i), now)) << i;
}

// Guards against connections to the whole fleet, nodes that all use the same
// targets, a large own zone that excludes other zones, and a removal that also
// replaces other targets in use.
TEST(RoutingTest, UsesTargetSubsetByRendezvousHash) {
  std::set<NodeId> all_used;
  for (int node = 0; node < 20; ++node) {
    Router router({"node-" + std::to_string(node), "a", 1});
    AddTargets(router, 0, 200, "a", kStart);
    AddTargets(router, 200, 200, "b", kStart);
    auto used = router.UsedTargets("proofs");
    ASSERT_EQ(used.size(), kMaxTargetsPerService);
    all_used.insert(used.begin(), used.end());
    std::vector<NodeId> before(used.begin(), used.end());
    router.RemoveTarget(before[0]);
    auto after = router.UsedTargets("proofs");
    EXPECT_EQ(after.size(), kMaxTargetsPerService);
    for (size_t i = 1; i < before.size(); ++i)
      EXPECT_NE(std::ranges::find(after, before[i]), after.end());
  }
  EXPECT_GE(all_used.size(), 200U);
}

}  // namespace
}  // namespace comfreylock
