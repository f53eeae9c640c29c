#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "mesh/call_throttle.h"
#include "mesh/placement.h"
#include "mesh/rank.h"
#include "mesh/rate_share.h"
#include "mesh/retry_allowance.h"

/// Decision modules of the entry, each with the load pattern that it answers.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

wire::Load LoadOf(uint32_t slots, uint32_t in_flight, microseconds time) {
  wire::Load load;
  load.set_serving(true);
  load.set_slots(slots);
  load.set_in_flight(in_flight);
  load.set_service("shop");
  load.set_service_time_us(static_cast<uint32_t>(time.count()));
  auto* route = load.add_route_times();
  route->set_route("read");
  route->set_time_us(static_cast<uint32_t>(time.count()));
  return load;
}

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() : placement_("zone-a", 7) {
    for (const char* node : {"a", "b", "c"})
      placement_.SetNode(node, "shop", std::string("zone-") + node);
  }

  std::map<NodeId, int> Place(int count, microseconds tolerance = 0us) {
    std::map<NodeId, int> placed;
    for (int i = 0; i < count; ++i) {
      auto choice =
          placement_.Choose({"shop", "read", 1, false, tolerance}, {});
      if (choice)
        ++placed[choice->node];
    }
    return placed;
  }

  Placement placement_;
  TimePoint now_{10s};
};

TEST_F(PlacementTest, ChoosesNobodyBeforeANodeToldItsLoad) {
  EXPECT_FALSE(placement_.Choose({"shop", "read"}, {}));
  EXPECT_FALSE(placement_.Serves("shop"));
}

TEST_F(PlacementTest, PrefersTheFastTarget) {
  placement_.Learn("a", LoadOf(50, 0, 300ms), now_);
  placement_.Learn("b", LoadOf(50, 0, 100ms), now_);
  placement_.Learn("c", LoadOf(50, 0, 300ms), now_);
  EXPECT_EQ(Place(20)["b"], 20);
}

TEST_F(PlacementTest, UsesSlowTargetsBeforeTheFastOneIsFull) {
  placement_.Learn("a", LoadOf(50, 0, 160ms), now_);
  placement_.Learn("b", LoadOf(50, 46, 100ms), now_);
  EXPECT_GE(Place(20)["a"], 15);
}

// Guards against one target that gets nearly all: the mean time over all routes
// of a target with long requests says nothing of its speed.
TEST_F(PlacementTest, ComparesTheTimesOfTheRequestsRoute) {
  wire::Load longer = LoadOf(50, 0, 100ms);
  longer.set_service_time_us(900'000);
  wire::Load shorter = LoadOf(50, 0, 150ms);
  shorter.set_service_time_us(60'000);
  placement_.Learn("a", longer, now_);
  placement_.Learn("b", shorter, now_);
  EXPECT_EQ(Place(20)["a"], 20);
}

TEST_F(PlacementTest, StaysInItsZoneWhileThatCostsNothing) {
  placement_.Learn("a", LoadOf(50, 5, 150ms), now_);
  placement_.Learn("b", LoadOf(50, 0, 100ms), now_);
  EXPECT_EQ(Place(20, 150ms)["a"], 20);
  EXPECT_EQ(Place(20, 1ms)["b"], 20);
}

TEST_F(PlacementTest, AvoidsATargetThatFailsAPart) {
  wire::Load grey = LoadOf(50, 0, 100ms);
  grey.set_failure_permille(500);
  placement_.Learn("a", grey, now_);
  placement_.Learn("b", LoadOf(50, 0, 150ms), now_);
  EXPECT_EQ(Place(20)["b"], 20);
}

// A slowdown of the whole service must not turn everybody out.
TEST_F(PlacementTest, StillChoosesWhenAllFail) {
  for (const char* node : {"a", "b", "c"}) {
    wire::Load grey = LoadOf(50, 0, 2000ms);
    grey.set_failure_permille(900);
    placement_.Learn(node, grey, now_);
  }
  auto placed = Place(300);
  EXPECT_EQ(placed["a"] + placed["b"] + placed["c"], 300);
}

TEST_F(PlacementTest, CountsWhatItSentSinceTheNews) {
  for (const char* node : {"a", "b", "c"})
    placement_.Learn(node, LoadOf(10, 0, 100ms), now_);
  std::map<NodeId, int> placed;
  for (int i = 0; i < 30; ++i) {
    auto choice = placement_.Choose({"shop", "read"}, {});
    ASSERT_TRUE(choice);
    placement_.OnSent(choice->node);
    ++placed[choice->node];
  }
  for (const auto& [node, count] : placed)
    EXPECT_GE(count, 7) << node;
}

TEST_F(PlacementTest, LeavesOutUnreachableAndTriedNodes) {
  for (const char* node : {"a", "b", "c"})
    placement_.Learn(node, LoadOf(10, 0, 100ms), now_);
  placement_.SetUnreachable("a");
  std::vector<NodeId> tried = {"b"};
  auto choice = placement_.Choose({"shop", "read"}, tried);
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->node, "c");
  EXPECT_TRUE(placement_.HasOther("shop", tried));
  tried.push_back("c");
  EXPECT_FALSE(placement_.HasOther("shop", tried));
}

// A service below has room for a third of the calls: the entry must find the
// part that it can carry, and let all through again soon after the overload.
TEST(CallThrottleTest, FindsWhatTheServiceBelowCarriesAndRecovers) {
  CallThrottle throttle;
  TimePoint now(10s);
  constexpr double kCarried = 0.33;
  double sum = 0;
  int rounds = 0;
  for (; rounds < 100; ++rounds) {
    now += CallThrottle::kAdjustmentInterval;
    double admitted = throttle.AdmittedPart("shop", 2);
    double failed = admitted > kCarried ? 1 - kCarried / admitted : 0;
    throttle.Learn("shop", 2, failed, now);
    if (rounds >= 50)
      sum += admitted;
  }
  EXPECT_NEAR(sum / 50, kCarried, 0.15);
  for (int i = 0; i < 25; ++i) {
    now += CallThrottle::kAdjustmentInterval;
    throttle.Learn("shop", 2, 0, now);
  }
  EXPECT_DOUBLE_EQ(throttle.AdmittedPart("shop", 2), 1);
}

// The organisation goes first, and the route decides within it.
TEST(RankTest, OrganisationBeforeRoute) {
  EXPECT_LT(RankOf(0, 2), RankOf(1, 0));
  EXPECT_LT(RankOf(1, 0), RankOf(1, 2));
  EXPECT_LT(RankOf(std::nullopt, 0), RankOf(std::nullopt, 1));
  EXPECT_EQ(RankOf(99, 99), kRanks - 1);
}

TEST(CallThrottleTest, KeepsImportancesApart) {
  CallThrottle throttle;
  TimePoint now(10s);
  for (int i = 0; i < 20; ++i) {
    now += CallThrottle::kAdjustmentInterval;
    throttle.Learn("shop", 2, 0.9, now);
    throttle.Learn("shop", 0, 0, now);
  }
  EXPECT_DOUBLE_EQ(throttle.AdmittedPart("shop", 0), 1);
  EXPECT_LT(throttle.AdmittedPart("shop", 2), 0.2);
}

TEST(CallFailuresTest, FewCallsSayNothing) {
  CallFailures failures;
  TimePoint now(10s);
  failures.Count(1, true, now);
  EXPECT_EQ(failures.Permille(1, now), 0u);
  for (int i = 0; i < 9; ++i)
    failures.Count(1, true, now);
  EXPECT_EQ(failures.Permille(1, now), 1000u);
  EXPECT_EQ(failures.Permille(1, now + 5s), 0u);
}

// A service that fails everything must not get more repeats than its bound.
TEST(RetryAllowanceTest, RepeatsStayWithinTheWindow) {
  RetryAllowance allowance({.ratio = 0.2, .slack = 48, .window = 10s});
  TimePoint now(100s);
  std::vector<std::pair<TimePoint, bool>> log;
  for (int i = 0; i < 6000; ++i) {
    now += 10ms;
    allowance.CountRequest("shop", now);
    log.emplace_back(now, allowance.Take("shop", 0, 12, now));
  }
  // Any window of 10 s, with a twelfth of the slack.
  for (size_t begin = 0; begin + 1000 <= log.size(); begin += 100) {
    auto first = log.begin() + static_cast<std::ptrdiff_t>(begin);
    auto taken = std::count_if(first, first + 1000,
                               [](const auto& item) { return item.second; });
    EXPECT_LE(taken, 0.2 * 1000 + 48.0 / 12);
  }
}

// All targets of a service shed: its callers fail at their first call instead
// of their fourth, and the repeats must not shrink with the calls.
TEST(RetryAllowanceTest, FewerCallsDoNotTakeTheRepeatsAway) {
  RetryAllowance allowance({.ratio = 0.2, .slack = 0, .window = 10s});
  TimePoint now(100s);
  int taken = 0;
  for (int second = 0; second < 18; ++second) {
    now += 1s;
    bool shedding = second >= 10;
    for (int i = 0; i < (shedding ? 100 : 400); ++i)
      allowance.CountRequest("shop", now);
    while (second >= 15 && allowance.Take("shop", 0, 1, now))
      ++taken;
  }
  // The window before had 4,000 requests; three fifths of its bound are used.
  EXPECT_GE(taken, 0.55 * 0.2 * 4000);
  EXPECT_LE(taken, 0.2 * 4000);
}

TEST(RetryAllowanceTest, ImportantRequestsMayUseMore) {
  RetryAllowance allowance({.ratio = 0.2, .slack = 0, .window = 10s});
  TimePoint now(100s);
  for (int i = 0; i < 100; ++i)
    allowance.CountRequest("shop", now);
  int low = 0;
  while (allowance.Take("shop", 2, 1, now))
    ++low;
  int high = 0;
  while (allowance.Take("shop", 0, 1, now))
    ++high;
  EXPECT_GT(low, 0);
  EXPECT_GT(high, low);
}

TEST(RetryAllowanceTest, CallsOfRepeatedRequestsAreCharged) {
  RetryAllowance allowance({.ratio = 0.2, .slack = 0, .window = 10s});
  TimePoint now(100s);
  for (int i = 0; i < 100; ++i)
    allowance.CountRequest("shop", now);
  for (int i = 0; i < 20; ++i)
    allowance.Charge("shop", now);
  EXPECT_FALSE(allowance.Take("shop", 0, 1, now));
}

/// Some nodes and one or two holders; each node asks for a token at its own
/// pace.
class RateModel {
 public:
  explicit RateModel(double rate, double burst) {
    config_.version = 1;
    config_.organisations["acme"] = {"acme", std::nullopt, rate, burst};
  }

  /// @param per_second offered at each node.
  /// @param heard nodes below this index reach the holder.
  /// @return admitted requests.
  /// @param apart nodes below this index have another holder than the rest.
  int Run(const std::vector<double>& per_second,
          milliseconds time,
          size_t heard,
          size_t apart = 0) {
    int admitted = 0;
    nodes_.resize(per_second.size());
    owed_.resize(per_second.size());
    for (milliseconds t{0}; t < time; t += 1ms) {
      now_ += 1ms;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        owed_[i] += per_second[i] / 1000;
        while (owed_[i] >= 1) {
          owed_[i] -= 1;
          ++offered_;
          const auto& limits = config_.organisations.at("acme");
          if (nodes_[i].Take(limits, nodes_.size(), now_).count() == 0)
            ++admitted;
        }
        if (t.count() % 200 != 0 || i >= heard)
          continue;
        RateHolder& holder = i < apart ? other_holder_ : holder_;
        nodes_[i].Apply(
            holder.OnDemand("node" + std::to_string(i), nodes_[i].Demand(now_),
                            config_, nodes_.size(), now_),
            now_);
      }
    }
    return admitted;
  }

  int offered() const { return offered_; }

 private:
  FleetConfig config_;
  RateHolder holder_;
  RateHolder other_holder_;
  std::vector<RateShare> nodes_;
  std::vector<double> owed_;
  TimePoint now_{100s};
  int offered_ = 0;
};

// One organisation sends seven times its rate at all nodes.
TEST(RateShareTest, AFloodStaysWithinRateAndBurst) {
  RateModel model(48, 48);
  int admitted = model.Run(std::vector<double>(12, 28), 5s, 12);
  EXPECT_LE(admitted, (48 * 5 + 48) * 1.1 + 20);
  EXPECT_GE(admitted, 48 * 5 * 0.9);
}

TEST(RateShareTest, AnUnevenDemandWithinTheRateIsServed) {
  RateModel model(48, 48);
  std::vector<double> demand(12, 0);
  demand[0] = 20;
  demand[1] = 10;
  model.Run(demand, 2s, 12);
  int before = model.offered();
  int admitted = model.Run(demand, 10s, 12);
  EXPECT_GE(admitted, 0.99 * (model.offered() - before));
}

// Nodes without news from the holder use a fixed part, and all together stay
// within the bound.
TEST(RateShareTest, NodesThatAreCutOffStayWithinTheBound) {
  RateModel model(48, 48);
  model.Run(std::vector<double>(12, 28), 5s, 12);
  int admitted = model.Run(std::vector<double>(12, 28), 5s, 8);
  EXPECT_LE(admitted, (48 * 5 + 48) * 1.1 + 20);
}

// Found by the soak (seed 1, over_rate): nodes that are cut off from each other
// have two holders, and each gave out the whole rate.
TEST(RateShareTest, TwoHoldersGiveOutOneRate) {
  RateModel model(48, 48);
  model.Run(std::vector<double>(12, 28), 5s, 12);
  model.Run(std::vector<double>(12, 28), 3s, 12, 4);
  int admitted = model.Run(std::vector<double>(12, 28), 5s, 12, 4);
  EXPECT_LE(admitted, (48 * 5 + 48) * 1.1);
  EXPECT_GE(admitted, 48 * 5 * 0.9);
}

// Found on ertis-etch-grown, scale-1 (QUOTA): with 91 nodes, each with a burst
// of its own, an organisation with a small rate got many times its burst.
TEST(RateShareTest, ASmallRateOverManyNodesComesFromOneBucket) {
  FleetConfig config;
  config.organisations["acme"] = {"acme", std::nullopt, 10, 10};
  const OrganisationLimits& limits = config.organisations["acme"];
  ASSERT_TRUE(TakesCommonTokens(limits, 91));
  ASSERT_FALSE(TakesCommonTokens(limits, 3));
  RateHolder holder;
  std::vector<RateShare> nodes(91);
  TimePoint now(100s);
  int admitted = 0;
  int offered = 0;
  auto run = [&](milliseconds time, int every) {
    admitted = offered = 0;
    for (milliseconds t{0}; t < time; t += 10ms) {
      now += 10ms;
      for (size_t i = 0; i < nodes.size() && t.count() % 200 == 0; ++i)
        holder.OnDemand("node" + std::to_string(i), {}, config, 91, now);
      if (t.count() % every != 0)
        continue;
      size_t index = static_cast<size_t>(++offered * 37) % 91;
      RateShare& node = nodes[index];
      if (node.TakeCommon("acme", now)) {
        ++admitted;
        continue;
      }
      wire::Demand demand;
      demand.add_rows()->set_organisation("acme");
      demand.mutable_rows(0)->set_tokens(node.TokensWanted("acme", 1, now));
      node.Apply(holder.OnDemand("node" + std::to_string(index), demand, config,
                                 91, now),
                 now);
      admitted += node.TakeCommon("acme", now) ? 1 : 0;
    }
  };
  run(5s, 10);
  EXPECT_LE(admitted, (10 * 5 + 10) * 1.1 + 20);
  EXPECT_GE(admitted, 10 * 5 * 0.9);
  // Within the rate nothing is refused.
  run(10s, 150);
  EXPECT_GE(admitted, 0.97 * offered);
}

TEST(RateShareTest, WithoutALimitEverythingIsAdmitted) {
  RateShare share;
  OrganisationLimits limits{"acme", std::nullopt, 0, 0};
  for (int i = 0; i < 1000; ++i)
    EXPECT_EQ(share.Take(limits, 12, TimePoint(1s)).count(), 0);
}

}  // namespace
}  // namespace comfreylock::mesh
