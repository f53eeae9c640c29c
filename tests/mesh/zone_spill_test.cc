#include "mesh/zone_spill.h"

#include <gtest/gtest.h>

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kPathCost = 10ms;

/// Two zones with the same number of slots. Each serves what its own callers
/// send, less what leaves, plus what comes from the other zone. Loads are seen
/// one interval late, as load reports are.
class TwoZones {
 public:
  explicit TwoZones(double slots) : slots_(slots) {}

  /// Runs one interval. @param demand slots that the callers of each zone need.
  void Run(double demand_a, double demand_b) {
    now_ += ZoneSpill::kAdjustmentInterval;
    double leaving_a = LeavingFraction(spill_a_, used_a_, used_b_);
    double leaving_b = LeavingFraction(spill_b_, used_b_, used_a_);
    used_a_ = demand_a * (1 - leaving_a) + demand_b * leaving_b;
    used_b_ = demand_b * (1 - leaving_b) + demand_a * leaving_a;
    fraction_a_ = leaving_a;
  }

  double used_a() const { return used_a_; }
  double used_b() const { return used_b_; }
  double fraction_a() const { return fraction_a_; }

 private:
  ZoneLoad LoadOf(double used) const {
    ZoneLoad load{slots_, used, 100ms};
    if (used > slots_) {
      load.expected_time +=
          std::chrono::duration_cast<std::chrono::microseconds>(
              100ms * (used / slots_ - 1));
    }
    if (load.utilisation() > 0.85)
      load.expected_time += 50ms;
    return load;
  }

  /// @return the fraction of 100 requests that leaves.
  double LeavingFraction(ZoneSpill& spill, double own, double other) const {
    int leaving = 0;
    for (int i = 0; i < 100; ++i) {
      leaving +=
          spill.Decide("shop", LoadOf(own), LoadOf(other), kPathCost, now_)
              .leaves;
    }
    return leaving / 100.0;
  }

  double slots_;
  TimePoint now_{100s};
  ZoneSpill spill_a_;
  ZoneSpill spill_b_;
  double used_a_ = 0;
  double used_b_ = 0;
  double fraction_a_ = 0;
};

// Guards against traffic between zones that makes no answer faster.
TEST(ZoneSpillTest, RequestsStayWhileTheZoneHasRoom) {
  TwoZones zones(100);
  for (int i = 0; i < 50; ++i) {
    zones.Run(80, 10);
    EXPECT_EQ(zones.fraction_a(), 0);
  }
}

// Guards against a full zone beside an idle one: demand of one zone rises by 55
// percent of its slots.
TEST(ZoneSpillTest, FullZoneSendsItsExcess) {
  TwoZones zones(100);
  for (int i = 0; i < 10; ++i)
    zones.Run(80, 40);
  for (int i = 0; i < 15; ++i)
    zones.Run(124, 40);
  EXPECT_LE(zones.used_a(), 100);
  EXPECT_LE(zones.used_b(), 100);
}

// Guards against load that swings between the zones, since all entry nodes see
// the same reports and move their requests at once.
TEST(ZoneSpillTest, FractionDoesNotSwing) {
  TwoZones zones(100);
  for (int i = 0; i < 30; ++i)
    zones.Run(124, 40);
  double lowest = 1;
  double highest = 0;
  for (int i = 0; i < 50; ++i) {
    zones.Run(124, 40);
    lowest = std::min(lowest, zones.fraction_a());
    highest = std::max(highest, zones.fraction_a());
  }
  EXPECT_LE(highest - lowest, 0.1);
  EXPECT_LE(zones.used_a(), 100);
}

// Guards against requests that go on leaving after the wave has passed.
TEST(ZoneSpillTest, RequestsReturnWhenTheZoneHasRoom) {
  TwoZones zones(100);
  for (int i = 0; i < 20; ++i)
    zones.Run(124, 40);
  for (int i = 0; i < 15; ++i)
    zones.Run(60, 40);
  EXPECT_EQ(zones.fraction_a(), 0);
}

// Guards against two full zones that exchange their requests.
TEST(ZoneSpillTest, NothingLeavesWhenAllZonesAreFull) {
  TwoZones zones(100);
  for (int i = 0; i < 50; ++i) {
    zones.Run(150, 150);
    EXPECT_EQ(zones.fraction_a(), 0);
  }
}

// Guards against requests that find no target while other zones have some.
TEST(ZoneSpillTest, AllLeaveAZoneWithoutTargets) {
  ZoneSpill spill;
  auto decision = spill.Decide("shop", ZoneLoad(), ZoneLoad{100, 10, 50ms},
                               kPathCost, TimePoint(100s));
  EXPECT_TRUE(decision.leaves);
  EXPECT_EQ(decision.reason, SpillReason::kNoTarget);
}

}  // namespace
}  // namespace comfreylock::mesh
