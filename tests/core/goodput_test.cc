#include "comfreylock/goodput.h"

#include <gtest/gtest.h>

namespace comfreylock {
namespace {

// Guards against a worst-served figure that blames an organisation's own flood,
// or that misses one that got less than it asked for within its share.
TEST(GoodputTest, WorstServedIsMeasuredAgainstTheFairShare) {
  Goodput goodput;
  for (int i = 0; i < 100; ++i) {
    goodput.CountWhole("flood", 1);
    goodput.CountRefused("flood", 1, Reason::kOverload);
    goodput.CountWhole("a", 1);
  }
  auto earlier = goodput.Snapshot();
  EXPECT_DOUBLE_EQ(WorstServedBetween({}, earlier).share, 1);
  for (int i = 0; i < 50; ++i) {
    goodput.CountWhole("a", 1);
    goodput.CountRefused("b", 1, Reason::kOverload);
    goodput.CountWhole("b", 1);
    goodput.CountWhole("flood", 1);
    goodput.CountWhole("flood", 1);
  }
  auto worst = WorstServedBetween(earlier, goodput.Snapshot());
  EXPECT_EQ(worst.organisation, "b");
  EXPECT_NEAR(worst.share, 50.0 / (200.0 / 3), 1e-9);
  EXPECT_EQ(earlier["flood"].refused[Reason::kOverload], 100U);
}

}  // namespace
}  // namespace comfreylock
