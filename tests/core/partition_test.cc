#include "comfreylock/partition.h"

#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace comfreylock {
namespace {

constexpr uint32_t kPartitions = 4;

void ExpectOneConfirmedOwnerEach(const FleetSimulation& simulation) {
  for (uint32_t p = 0; p < kPartitions; ++p)
    EXPECT_EQ(simulation.ConfirmedOwners(p), 1u) << "partition " << p;
}

/// Checks after each tick that no partition has two confirmed owners.
void RunChecked(FleetSimulation& simulation, std::chrono::milliseconds time) {
  for (auto end = simulation.now + time; simulation.now < end;) {
    simulation.Run(kTickInterval);
    for (uint32_t p = 0; p < kPartitions; ++p)
      ASSERT_LE(simulation.ConfirmedOwners(p), 1u) << "partition " << p;
  }
}

// Guards against two confirmed owners when two nodes take over a partition at
// the same time because neither sees the other, and against an owner that is
// not reported to other nodes.
TEST(PartitionOwnershipTest, ConcurrentTakeoverLeavesOneOwner) {
  FleetSimulation simulation(1);
  simulation.Add("a");
  simulation.Add("b");
  bool members_hidden = true;
  simulation.store_fault = [&](const NodeId&, const StoreRequest& request) {
    const auto* range = std::get_if<StoreRange>(&request);
    return members_hidden && range &&
                   range->key.find("members") != range->key.npos
               ? StoreFault::kLoseRequest
               : StoreFault::kNone;
  };
  RunChecked(simulation, 3s);
  ExpectOneConfirmedOwnerEach(simulation);
  members_hidden = false;
  RunChecked(simulation, 40s);
  for (uint32_t p = 0; p < kPartitions; ++p) {
    const auto* first = simulation.hosts["a"].node->partitions().OwnerOf(p);
    const auto* second = simulation.hosts["b"].node->partitions().OwnerOf(p);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->node, second->node);
    EXPECT_TRUE(simulation.hosts[first->node]
                    .node->partitions()
                    .FindOwned(p)
                    ->is_first_owner);
  }
}

// Guards against an owner that was paused past its lease and still counts its
// ownership as confirmed, and against two confirmed owners after the takeover.
TEST(PartitionOwnershipTest, PausedOwnerIsUnconfirmedOnResume) {
  FleetSimulation simulation(2);
  simulation.Add("a");
  simulation.Run(3s);
  ExpectOneConfirmedOwnerEach(simulation);
  auto& paused = simulation.hosts["a"];
  paused.paused = true;
  simulation.now += 2s;
  EXPECT_EQ(simulation.ConfirmedOwners(0), 0u);
  EXPECT_NE(paused.node->partitions().FindOwned(0), nullptr);
  simulation.now += 2s;
  simulation.store.Expire(simulation.now);
  EXPECT_FALSE(simulation.store.values.contains("/comfreylock/owners/0"));
  uint64_t epoch = paused.node->partitions().FindOwned(0)->epoch;
  paused.paused = false;
  RunChecked(simulation, 3s);
  ExpectOneConfirmedOwnerEach(simulation);
  const PartitionOwnership* ownership = paused.node->partitions().FindOwned(0);
  EXPECT_GT(ownership->epoch, epoch);
  EXPECT_FALSE(ownership->is_first_owner);
}

// Guards against a write counted as failed because its answer was lost: the
// node would wait for its own key to expire, or miss that it is the first
// owner.
TEST(PartitionOwnershipTest, LostWriteAnswersAreReadBack) {
  for (int lost_write = 0; lost_write < 6; ++lost_write) {
    FleetSimulation simulation(3);
    simulation.Add("a");
    int writes = 0;
    simulation.store_fault = [&](const NodeId&, const StoreRequest& request) {
      bool write = !std::holds_alternative<StoreRange>(request) &&
                   !std::holds_alternative<StoreWatch>(request);
      return write && writes++ == lost_write ? StoreFault::kLoseAnswer
                                             : StoreFault::kNone;
    };
    RunChecked(simulation, 6s);
    ExpectOneConfirmedOwnerEach(simulation);
    for (uint32_t p = 0; p < kPartitions; ++p)
      EXPECT_TRUE(simulation.hosts["a"]
                      .node->partitions()
                      .FindOwned(p)
                      ->is_first_owner);
  }
}

// Guards against an owner that counts as confirmed, or drops its partitions,
// while the store is unavailable; and against more store calls than one lease
// needs.
TEST(PartitionOwnershipTest, StoreOutageFreezesOwner) {
  FleetSimulation simulation(4);
  simulation.Add("a");
  simulation.Run(5s);
  simulation.store_calls.clear();
  simulation.Run(20s);
  EXPECT_LE(simulation.store_calls["a"], 22u);
  simulation.store_fault = [](const NodeId&, const StoreRequest&) {
    return StoreFault::kLoseRequest;
  };
  RunChecked(simulation, 2100ms);
  EXPECT_EQ(simulation.ConfirmedOwners(0), 0u);
  EXPECT_NE(simulation.hosts["a"].node->partitions().FindOwned(0), nullptr);
  simulation.store_fault = nullptr;
  RunChecked(simulation, 5s);
  ExpectOneConfirmedOwnerEach(simulation);
}

// Guards against a leave that leaves partitions without an owner until the
// lease expires, or owned by the node that left.
TEST(PartitionOwnershipTest, LeavingOwnerReleasesPartitionsAtOnce) {
  FleetSimulation simulation(5);
  simulation.Add("a");
  simulation.Run(3s);
  simulation.Add("b");
  simulation.Run(3s);
  simulation.Feed("a", DrainRequested{});
  EXPECT_EQ(simulation.hosts["a"].node->partitions().FindOwned(0), nullptr);
  EXPECT_FALSE(simulation.store.values.contains("/comfreylock/owners/0"));
  RunChecked(simulation, 1500ms);
  EXPECT_TRUE(simulation.hosts["a"].exited);
  ExpectOneConfirmedOwnerEach(simulation);
  EXPECT_NE(simulation.hosts["b"].node->partitions().FindOwned(0), nullptr);
}

}  // namespace
}  // namespace comfreylock
