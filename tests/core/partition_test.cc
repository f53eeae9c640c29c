#include "comfreylock/partition.h"

#include <gtest/gtest.h>

#include "fleet_loop.h"

namespace comfreylock {
namespace {

constexpr uint32_t kPartitions = 4;

void ExpectOneOwnerEach(const FleetLoop& loop) {
  for (uint32_t p = 0; p < kPartitions; ++p)
    EXPECT_EQ(loop.CertainOwners(p), 1u) << "partition " << p;
}

/// Runs in steps and checks that no partition ever has two certain owners.
void RunChecked(FleetLoop& loop, std::chrono::milliseconds time) {
  for (auto end = loop.now + time; loop.now < end;) {
    loop.Run(kTickInterval);
    for (uint32_t p = 0; p < kPartitions; ++p)
      ASSERT_LE(loop.CertainOwners(p), 1u) << "partition " << p;
  }
}

// Guards against two certain owners when nodes take a partition at once (each
// believes to be alone), and against an owner that others do not learn of.
TEST(PartitionOwnershipTest, TwoNodesTakeOnePartition) {
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
  ExpectOneOwnerEach(loop);
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

// Guards against an owner that was paused past its lease and still thinks it
// is certain, and against two certain owners after the take-over.
TEST(PartitionOwnershipTest, PausedOwnerIsNotCertainOnWaking) {
  FleetLoop loop(2);
  loop.Add("a");
  loop.Run(3s);
  ExpectOneOwnerEach(loop);
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
  ExpectOneOwnerEach(loop);
  const HeldPartition* held = paused.node->partitions().Held(0);
  EXPECT_GT(held->epoch, epoch);
  EXPECT_FALSE(held->first_ever);
}

// Guards against a write whose answer was lost being taken as not done: the
// node would wait for its own key to expire, or miss that it was first ever.
TEST(PartitionOwnershipTest, LostAnswersAreReadBack) {
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
    ExpectOneOwnerEach(loop);
    for (uint32_t p = 0; p < kPartitions; ++p)
      EXPECT_TRUE(loop.hosts["a"].node->partitions().Held(p)->first_ever);
  }
}

// Guards against an owner that stays certain, or forgets what it held, while
// the store is away; and against more store calls than one lease needs.
TEST(PartitionOwnershipTest, StoreAwayFreezesTheOwner) {
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
  ExpectOneOwnerEach(loop);
}

// Guards against a leave after which a partition is without owner until the
// lease expires, or that is still held by the node that left.
TEST(PartitionOwnershipTest, LeavingOwnerReleasesAtOnce) {
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
  ExpectOneOwnerEach(loop);
  EXPECT_NE(loop.hosts["b"].node->partitions().Held(0), nullptr);
}

}  // namespace
}  // namespace comfreylock
