#include "comfreylock/shedding.h"

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr TimePoint kStart(10s);

wire::AnswerReport ReportOf(const std::string& service, uint32_t level) {
  wire::AnswerReport report;
  auto* shed = report.add_shed();
  shed->set_service(service);
  shed->set_level(level);
  return report;
}

// Guards against levels that refuse the most important priority or that refuse
// nothing at all.
TEST(SheddingTest, LevelRefusesLeastImportantFirst) {
  EXPECT_EQ(ShedPriority(3, 7), 31U);
  EXPECT_FALSE(LevelRefuses(0, 31));
  EXPECT_TRUE(LevelRefuses(1, 31));
  EXPECT_FALSE(LevelRefuses(1, 30));
  EXPECT_TRUE(LevelRefuses(31, 1));
  EXPECT_FALSE(LevelRefuses(99, 0));
}

// Guards against a level that rises although the queue empties in each window,
// and against one that stays up after the queueing delay has ended.
TEST(SheddingTest, LevelFollowsStandingDelay) {
  LevelController controller(kStart);
  TimePoint now = kStart;
  for (; now < kStart + 1s; now += 10ms)
    controller.Observe(now.time_since_epoch() % 100ms == 0ms ? 0ms : 50ms, now);
  EXPECT_EQ(controller.level(), 0U);
  for (; now < kStart + 2s; now += 10ms)
    controller.Observe(50ms, now);
  EXPECT_NEAR(controller.level(), 10, 1);
  for (; now < kStart + 3200ms; now += 10ms)
    controller.Observe(0ms, now);
  EXPECT_EQ(controller.level(), 0U);
}

// Guards against a table that keeps refusing without new reports, that applies
// one target's level to another target, or that admits no probe.
TEST(SheddingTest, ReportedLevelsDecayAndAreProbed) {
  ShedLevelTable table;
  table.Update("n1", "proofs", ReportOf("proofs", 3), kStart);
  table.Update("n1", "proofs", ReportOf("register", 9), kStart);
  EXPECT_EQ(table.LevelOfTarget("n1", kStart + 500ms), 3U);
  EXPECT_EQ(table.LevelOfTarget("n1", kStart + 2s), 1U);
  EXPECT_EQ(table.LevelOfTarget("n1", kStart + 9s), 0U);
  EXPECT_EQ(table.LevelOfTarget("n2", kStart), 0U);
  EXPECT_EQ(table.ReportedLevelOf("register", kStart), 9U);
  int probes = 0;
  for (int i = 0; i < 500; ++i)
    probes += !table.ShouldRefuse("proofs", 8, 31, kStart);
  EXPECT_EQ(probes, 10);
  EXPECT_TRUE(table.ShouldRefuse("proofs", 8, 31, kStart + 400ms));
  EXPECT_FALSE(table.ShouldRefuse("proofs", 8, 31, kStart + 600ms));
}

// Guards against a flooding organisation that gets no step, and against others
// that get one although they stay within their fair share.
TEST(SheddingTest, StepRisesWithDemandAboveFairShare) {
  DemandMeter meter(kStart);
  for (int i = 0; i < 200; ++i) {
    TimePoint now = kStart + i * 5ms;
    for (int n = 0; n < 5; ++n)
      meter.Add("flood", 1, now);
    for (const char* name : {"a", "b", "c"})
      meter.Add(name, 1, now);
    meter.Add("heavy", 2, now);
    meter.Add("heavy", 2, now);
  }
  TimePoint now = kStart + 1s;
  EXPECT_GE(meter.ShedStepOf("flood", now), 4U);
  for (const char* name : {"a", "b", "c", "heavy", "unknown"})
    EXPECT_EQ(meter.ShedStepOf(name, now), 0U) << name;
  EXPECT_EQ(meter.ShedStepOf("flood", now + 5s), 0U);
}

}  // namespace
}  // namespace comfreylock
