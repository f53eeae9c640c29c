#include "comfreylock/goodput.h"

#include <gtest/gtest.h>

namespace comfreylock {
namespace {

// Guards against a worst-served organisation that is chosen by its refusals: a
// flood is refused although it got its fair share, while an organisation within
// its fair share that got less than it offered is missed.
TEST(GoodputTest, WorstServedIsRelativeToFairShare) {
  Goodput goodput;
  for (int i = 0; i < 100; ++i) {
    goodput.CountServed("flood", 1);
    goodput.CountUnserved("flood", 1, Reason::kOverload);
    goodput.CountServed("a", 1);
  }
  auto earlier = goodput.Snapshot();
  EXPECT_DOUBLE_EQ(WorstServedBetween({}, earlier).served_fraction, 1);
  for (int i = 0; i < 50; ++i) {
    goodput.CountServed("a", 1);
    goodput.CountUnserved("b", 1, Reason::kOverload);
    goodput.CountServed("b", 1);
    goodput.CountServed("flood", 1);
    goodput.CountServed("flood", 1);
  }
  auto worst = WorstServedBetween(earlier, goodput.Snapshot());
  EXPECT_EQ(worst.organisation, "b");
  EXPECT_NEAR(worst.served_fraction, 50.0 / (200.0 / 3), 1e-9);
  EXPECT_EQ(earlier["flood"].unserved[Reason::kOverload], 100U);
}

}  // namespace
}  // namespace comfreylock
