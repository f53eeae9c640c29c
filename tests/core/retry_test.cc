#include "comfreylock/retry.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

// Guards against budgets that multiply along a chain or side by side: with
// every loan, spending and return, the total stays what the entry gave.
TEST(RetryTest, ChainNeverSpendsMoreThanItsBudget) {
  EXPECT_TRUE(rc::check([] {
    auto budget = *rc::gen::inRange<uint32_t>(0, 4);
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 100)));
    std::vector<std::pair<size_t, ChainBudget>> calls = {
        {0, ChainBudget(budget)}};
    uint32_t spent = 0;
    for (auto [action, choice] : steps) {
      size_t index = static_cast<size_t>(choice) % calls.size();
      if (action == 0) {
        ChainBudget loan = calls[index].second.Lend();
        calls.emplace_back(index, loan);
      } else if (action == 1) {
        spent += calls[index].second.Spend();
      } else if (calls.size() > 1) {
        auto [parent, loan] = calls.back();
        calls.pop_back();
        calls[parent].second.Return(loan);
      }
      uint32_t left = 0;
      for (const auto& [parent, held] : calls)
        left += held.left();
      RC_ASSERT(spent + left == budget);
    }
  }));
}

// Guards against retries of more than a tenth of the first attempts, plus 10.
TEST(RetryTest, ServiceWideRetriesStayWithinTheRatio) {
  EXPECT_TRUE(rc::check([] {
    auto events =
        *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
    RetryRatio ratio;
    int firsts = 0;
    int retries = 0;
    for (bool first : events) {
      if (first) {
        ++firsts;
        ratio.CountFirst("proofs");
      } else {
        retries += ratio.Pay("proofs");
      }
      RC_ASSERT(retries <= 1 + firsts / 10);
    }
  }));
  RetryRatio ratio;
  for (int i = 0; i < 1000; ++i)
    ratio.CountFirst("proofs");
  int burst = 0;
  while (ratio.Pay("proofs"))
    ++burst;
  EXPECT_EQ(burst, 10);
}

// Guards against retries and refused callers that come back in step.
TEST(RetryTest, WaitsAreSpread) {
  std::mt19937_64 random(1);
  auto policy = MakeRetryPolicy(Policy::kStandard);
  auto least = 1000ms;
  auto most = 0ms;
  for (int i = 0; i < 1000; ++i) {
    auto wait = policy->Backoff(1, random);
    least = std::min<std::chrono::milliseconds>(least, wait);
    most = std::max<std::chrono::milliseconds>(most, wait);
    auto hint = SpreadRetryAfter(random);
    EXPECT_GE(hint, 1s);
    EXPECT_LE(hint, 5s);
  }
  EXPECT_EQ(least, 0ms);
  EXPECT_EQ(most, kShortestBackoff);
}

// Guards against a baseline that shares its budget and so looks too good.
TEST(RetryTest, NaivePolicyRetriesThreeTimesAtEachDepth) {
  auto policy = MakeRetryPolicy(Policy::kNaive);
  ChainBudget entry = policy->AtEntry(1);
  EXPECT_EQ(policy->Onward(entry).left(), 3U);
  EXPECT_EQ(entry.left(), 3U);
}

}  // namespace
}  // namespace comfreylock
