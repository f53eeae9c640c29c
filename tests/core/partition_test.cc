#include "comfreylock/partition.h"

#include <gtest/gtest.h>

#include "fleet_loop.h"

namespace comfreylock {
namespace {

constexpr uint32_t kPartitions = 4;

void ExpectOneConfirmedOwnerEach(const FleetLoop& loop) {
  for (uint32_t p = 0; p < kPartitions; ++p)
    EXPECT_EQ(loop.CertainOwners(p), 1u) << "partition " << p;
}

/// Checks after each tick that no partition has two confirmed owners.
void RunChecked(FleetLoop& loop, std::chrono::milliseconds time) {
  for (auto end = loop.now + time; loop.now < end;) {
    loop.Run(kTickInterval);
    for (uint32_t p = 0; p < kPartitions; ++p)
      ASSERT_LE(loop.CertainOwners(p), 1u) << "partition " << p;
  }
}

// Guards against two confirmed owners when two nodes take a partition at the
// same time because neither sees the other, and against an owner that other
// nodes are not informed of.
TEST(PartitionOwnershipTest, ConcurrentTakeoverLeavesOneOwner) {
  FleetLoop loop(1);
  loop.Add("a");
  loop.Add("b");
  bool members_hidden = true;
  loop.store_fault = [&](const NodeId&, const StoreRequest& request) {
    const auto* range = std::get_if<StoreRange>(&request);
    return members_hidden && range &&
                   range->key.find("members") != range->key.npos
               ? StoreFault::kLoseRequest
               : StoreFault::kNone;
  };
  RunChecked(loop, 3s);
  ExpectOneConfirmedOwnerEach(loop);
  members_hidden = false;
  RunChecked(loop, 40s);
  for (uint32_t p = 0; p < kPartitions; ++p) {
    const auto* first = loop.hosts["a"].node->partitions().OwnerOf(p);
    const auto* second = loop.hosts["b"].node->partitions().OwnerOf(p);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->node, second->node);
    EXPECT_TRUE(loop.hosts[first->node].node->partitions().Held(p)->first_ever);
  }
}

// Guards against an owner that was paused past its lease and still counts its
// ownership as confirmed, and against two confirmed owners after the takeover.
TEST(PartitionOwnershipTest, PausedOwnerIsUnconfirmedOnResume) {
  FleetLoop loop(2);
  loop.Add("a");
  loop.Run(3s);
  ExpectOneConfirmedOwnerEach(loop);
  auto& paused = loop.hosts["a"];
  paused.paused = true;
  loop.now += 2s;
  EXPECT_EQ(loop.CertainOwners(0), 0u);
  EXPECT_NE(paused.node->partitions().Held(0), nullptr);
  loop.now += 2s;
  loop.store.Expire(loop.now);
  EXPECT_FALSE(loop.store.values.contains("/comfreylock/owners/0"));
  uint64_t epoch = paused.node->partitions().Held(0)->epoch;
  paused.paused = false;
  RunChecked(loop, 3s);
  ExpectOneConfirmedOwnerEach(loop);
  const HeldPartition* held = paused.node->partitions().Held(0);
  EXPECT_GT(held->epoch, epoch);
  EXPECT_FALSE(held->first_ever);
}

// Guards against a write counted as failed because its answer was lost: the
// node would wait for its own key to expire, or miss that it is the first
// owner.
TEST(PartitionOwnershipTest, LostWriteAnswersAreReadBack) {
  for (int lost_write = 0; lost_write < 6; ++lost_write) {
    FleetLoop loop(3);
    loop.Add("a");
    int writes = 0;
    loop.store_fault = [&](const NodeId&, const StoreRequest& request) {
      bool write = !std::holds_alternative<StoreRange>(request) &&
                   !std::holds_alternative<StoreWatch>(request);
      return write && writes++ == lost_write ? StoreFault::kLoseAnswer
                                             : StoreFault::kNone;
    };
    RunChecked(loop, 6s);
    ExpectOneConfirmedOwnerEach(loop);
    for (uint32_t p = 0; p < kPartitions; ++p)
      EXPECT_TRUE(loop.hosts["a"].node->partitions().Held(p)->first_ever);
  }
}

// Guards against an owner that counts as confirmed, or drops its partitions,
// while the store is unavailable; and against more store calls than one lease
// needs.
TEST(PartitionOwnershipTest, StoreOutageFreezesOwner) {
  FleetLoop loop(4);
  loop.Add("a");
  loop.Run(5s);
  loop.store_calls.clear();
  loop.Run(20s);
  EXPECT_LE(loop.store_calls["a"], 22u);
  loop.store_fault = [](const NodeId&, const StoreRequest&) {
    return StoreFault::kLoseRequest;
  };
  RunChecked(loop, 2100ms);
  EXPECT_EQ(loop.CertainOwners(0), 0u);
  EXPECT_NE(loop.hosts["a"].node->partitions().Held(0), nullptr);
  loop.store_fault = nullptr;
  RunChecked(loop, 5s);
  ExpectOneConfirmedOwnerEach(loop);
}

// Guards against a leave that leaves partitions without an owner until the
// lease expires, or owned by the node that left.
TEST(PartitionOwnershipTest, LeavingOwnerReleasesPartitionsAtOnce) {
  FleetLoop loop(5);
  loop.Add("a");
  loop.Run(3s);
  loop.Add("b");
  loop.Run(3s);
  loop.Feed("a", DrainRequested{});
  EXPECT_EQ(loop.hosts["a"].node->partitions().Held(0), nullptr);
  EXPECT_FALSE(loop.store.values.contains("/comfreylock/owners/0"));
  RunChecked(loop, 1500ms);
  EXPECT_TRUE(loop.hosts["a"].exited);
  ExpectOneConfirmedOwnerEach(loop);
  EXPECT_NE(loop.hosts["b"].node->partitions().Held(0), nullptr);
}

}  // namespace
}  // namespace comfreylock
