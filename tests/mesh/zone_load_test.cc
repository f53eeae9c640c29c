#include <gtest/gtest.h>

#include <algorithm>

#include "fleet_model.h"

/// A fleet in two zones whose targets are evacuated or turn cold under load.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr size_t kTargets = 8;
/// 13 x 1.5 + 8, rounded down.
constexpr size_t kBound = 27;

class ZoneLoadTest : public testing::Test {
 protected:
  ZoneLoadTest() : model_({Read()}, Targets(), Options()) {
    model_.Offer("read", 150);
    RunWithReports(3000ms, 0ms);
    model_.ResetResults();
  }

  static ModelRoute Read() {
    ModelRoute read{"read", "shop", 100ms};
    read.latency = 1500ms;
    return read;
  }

  static bool IsInZoneA(size_t target) { return target % 2 == 1; }

  static std::vector<ModelTarget> Targets() {
    std::vector<ModelTarget> targets;
    for (size_t i = 0; i < kTargets; ++i)
      targets.push_back({"shop", IsInZoneA(i) ? "a" : "b", 20});
    return targets;
  }

  static ModelOptions Options() {
    ModelOptions options;
    options.bounds.max_evacuation_delay = 5000ms;
    options.bounds.warmup_overage = 1.5;
    options.bounds.warmup_slack = 8;
    options.warmup_rules["shop"] = {3000ms, 13};
    return options;
  }

  /// Advances the time; all targets report at least every 500 ms.
  /// @param cold_for remaining warm-up of the targets of zone a.
  void RunWithReports(milliseconds time, milliseconds cold_for) {
    for (milliseconds passed = 0ms; passed < time; passed += 500ms) {
      for (size_t i = 0; i < kTargets; ++i) {
        model_.Report(i, IsInZoneA(i) ? std::max(cold_for - passed, 0ms) : 0ms);
      }
      model_.Run(500ms);
    }
  }

  /// @return the number of starts on targets of zone a since `from`.
  size_t StartsInZoneA(TimePoint from) const {
    return static_cast<size_t>(
        std::ranges::count_if(model_.starts(), [from](const ModelStart& start) {
          return start.time >= from && IsInZoneA(start.target);
        }));
  }

  /// @return the largest number of starts of one target of zone a in a second.
  size_t MostInOneSecond(TimePoint from) const {
    size_t most = 0;
    for (const ModelStart& first : model_.starts()) {
      if (first.time < from || !IsInZoneA(first.target))
        continue;
      auto in_second = std::ranges::count_if(
          model_.starts(), [&first](const ModelStart& start) {
            return start.target == first.target && start.time >= first.time &&
                   start.time < first.time + 1s;
          });
      most = std::max(most, static_cast<size_t>(in_second));
    }
    return most;
  }

  FleetModel model_;
};

// Guards against an evacuation that does not reach all nodes, that fails
// requests, or whose end returns the zone's whole load to its cold targets.
TEST_F(ZoneLoadTest, EvacuatedZoneGetsNothingAndReturnsAtItsRate) {
  EXPECT_GT(StartsInZoneA(TimePoint()), 100u);
  model_.Evacuate({"a"});
  RunWithReports(2000ms, 0ms);
  TimePoint evacuated = model_.now();
  RunWithReports(4000ms, 0ms);
  EXPECT_EQ(StartsInZoneA(evacuated), 0u);
  EXPECT_GE(model_.Result("read").served(), 0.99);
  EXPECT_EQ(model_.Result("read").failed, 0);
  TimePoint ended = model_.now();
  model_.Evacuate({});
  // The targets report only after their first requests may have come.
  model_.Run(1000ms);
  RunWithReports(2000ms, 2000ms);
  EXPECT_LE(MostInOneSecond(ended), kBound);
  EXPECT_GE(model_.Result("read").served(), 0.99);
  TimePoint warm = model_.now();
  RunWithReports(3000ms, 0ms);
  EXPECT_GT(StartsInZoneA(warm), 100u);
}

// Guards against a zone's load that goes to its cold targets because they are
// near, or that is refused because they take only a part of it.
TEST_F(ZoneLoadTest, ZoneThatTurnsColdKeepsItsBound) {
  TimePoint cold = model_.now();
  RunWithReports(3000ms, 3000ms);
  // Requests that were started while the targets were warm do not count.
  EXPECT_LE(MostInOneSecond(cold), kBound);
  EXPECT_GE(model_.Result("read").served(), 0.99);
  EXPECT_EQ(model_.Result("read").failed, 0);
}

}  // namespace
}  // namespace comfreylock::mesh
