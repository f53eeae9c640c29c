#include "comfreylock/routing.h"

#include <gtest/gtest.h>

#include <set>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr uint32_t kLimit = 50;
constexpr TimePoint kStart(100s);

std::string Name(int index) {
  return "target-" + std::to_string(index);
}

void AddTargets(Router& router,
                int first,
                int count,
                const std::string& zone,
                TimePoint now) {
  for (int i = first; i < first + count; ++i)
    router.SetTarget({Name(i), "proofs", zone, "127.0.0.1:1"}, now);
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
               AttemptKind kind = AttemptKind::kAnswered) {
  const TargetInfo* target = router.Choose("proofs", {}, now);
  NodeId node = target->node;
  router.OnDispatched(node, now);
  auto found = in_flight.find(node);
  auto report = Report(found == in_flight.end() ? 0 : found->second);
  router.OnEnded(node, kind, &report, 10ms, now);
  return node;
}

/// Share of `node` in 4,000 attempts from `now` on, 0.1 ms apart.
double ShareOf(Router& router,
               const std::set<NodeId>& nodes,
               const std::map<NodeId, uint32_t>& in_flight,
               TimePoint now) {
  constexpr int kAttempts = 4000;
  int chosen = 0;
  for (int i = 0; i < kAttempts; ++i)
    chosen += nodes.contains(SendOne(router, in_flight, now + i * 100us));
  return static_cast<double>(chosen) / kAttempts;
}

// Guards against a herd on a target whose reports say idle: it gets at most
// what two random choices of ten give.
TEST(RoutingTest, FalselyIdleTargetAttractsNoHerd) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 10, "a", kStart);
  std::map<NodeId, uint32_t> in_flight;
  for (int i = 1; i < 10; ++i)
    in_flight[Name(i)] = 30;
  EXPECT_LE(ShareOf(router, {Name(0)}, in_flight, kStart + 10s), 0.25);
}

// Guards against a target that was never heard of being taken as idle.
TEST(RoutingTest, UnknownTargetCountsAsAverage) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 10, "a", kStart);
  TimePoint now = kStart + 10s;
  for (int i = 1; i < 10; ++i) {
    router.OnDispatched(Name(i), now);
    auto report = Report(i < 5 ? 10 : 30);
    router.OnEnded(Name(i), AttemptKind::kAnswered, &report, 10ms, now);
  }
  int chosen = 0;
  for (int i = 0; i < 1000; ++i)
    chosen += router.Choose("proofs", {}, now)->node == Name(0);
  EXPECT_NEAR(chosen, 100, 50);
}

// Guards against cold targets that get their full part at once.
TEST(RoutingTest, ColdHalfRamps) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 5, "a", kStart);
  TimePoint now = kStart + 10s;
  AddTargets(router, 5, 5, "a", now);
  std::set<NodeId> cold = {Name(5), Name(6), Name(7), Name(8), Name(9)};
  EXPECT_LE(ShareOf(router, cold, {}, now), 0.3);
  EXPECT_NEAR(ShareOf(router, cold, {}, now + 3s), 0.5, 0.1);
}

// Guards against requests that leave their zone without need, and against a
// full zone that keeps all of them.
TEST(RoutingTest, OwnZoneFirstThenSpillsByDegree) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 3, "a", kStart);
  AddTargets(router, 3, 3, "b", kStart);
  std::set<NodeId> remote = {Name(3), Name(4), Name(5)};
  auto share_at = [&](uint32_t local, double second) {
    std::map<NodeId, uint32_t> in_flight;
    for (int i = 0; i < 3; ++i)
      in_flight[Name(i)] = local;
    TimePoint now =
        kStart + std::chrono::microseconds(static_cast<int64_t>(second * 1e6));
    ShareOf(router, remote, in_flight, now);
    return ShareOf(router, remote, in_flight, now + 500ms);
  };
  EXPECT_EQ(share_at(30, 10), 0);
  EXPECT_NEAR(share_at(50, 20), 0.5, 0.1);
  EXPECT_GE(share_at(80, 30), 0.95);
}

// Guards against more than a third of the targets ejected, and against
// ejections that last after a target answers again.
TEST(RoutingTest, EjectsAtMostAThird) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 9, "a", kStart);
  TimePoint now = kStart + 10s;
  auto ejected = [&](TimePoint time) {
    int count = 0;
    for (int i = 0; i < 9; ++i)
      count += router.IsEjected(Name(i), time);
    return count;
  };
  std::set<NodeId> broken = {Name(0), Name(1), Name(2), Name(3)};
  for (int i = 0; i < 400; ++i) {
    NodeId node = router.Choose("proofs", {}, now)->node;
    router.OnDispatched(node, now);
    auto kind =
        broken.contains(node) ? AttemptKind::kBroken : AttemptKind::kAnswered;
    router.OnEnded(node, kind, nullptr, 10ms, now);
  }
  EXPECT_EQ(ejected(now), 3);
  EXPECT_EQ(ejected(now + 1s), 0);
}

// Guards against ejections while the whole service fails, which would only
// move the load to fewer targets.
TEST(RoutingTest, ServiceWideFailureEjectsNothing) {
  Router router({"node", "a", 1});
  AddTargets(router, 0, 9, "a", kStart);
  TimePoint now = kStart + 10s;
  for (int i = 0; i < 300; ++i)
    SendOne(router, {}, now, AttemptKind::kBroken);
  for (int i = 0; i < 9; ++i)
    EXPECT_FALSE(router.IsEjected(Name(i), now)) << i;
}

// Guards against connections to the whole fleet, against nodes that all use
// the same targets, and against a large own zone without any way out.
TEST(RoutingTest, UsesFewTargetsByRendezvousHash) {
  std::set<NodeId> all_used;
  for (int node = 0; node < 20; ++node) {
    Router router({"node-" + std::to_string(node), "a", 1});
    AddTargets(router, 0, 200, "a", kStart);
    AddTargets(router, 200, 200, "b", kStart);
    auto used = router.UsedTargets("proofs");
    ASSERT_EQ(used.size(), kTargetsPerService);
    all_used.insert(used.begin(), used.end());
    std::vector<NodeId> before(used.begin(), used.end());
    router.RemoveTarget(before[0]);
    auto after = router.UsedTargets("proofs");
    EXPECT_EQ(after.size(), kTargetsPerService);
    for (size_t i = 1; i < before.size(); ++i)
      EXPECT_NE(std::ranges::find(after, before[i]), after.end());
  }
  EXPECT_GE(all_used.size(), 200U);
}

}  // namespace
}  // namespace comfreylock
