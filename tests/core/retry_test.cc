#include "comfreylock/retry.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

// Guards against budgets that multiply along a chain or over parallel calls:
// after any split, spending and return, the total is the entry node's budget.
TEST(RetryTest, ChainSpendsAtMostItsBudget) {
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
        ChainBudget part = calls[index].second.SplitHalf();
        calls.emplace_back(index, part);
      } else if (action == 1) {
        spent += calls[index].second.Spend();
      } else if (calls.size() > 1) {
        auto [parent, part] = calls.back();
        calls.pop_back();
        calls[parent].second.Return(part);
      }
      uint32_t remaining = 0;
      for (const auto& [parent, held] : calls)
        remaining += held.remaining();
      RC_ASSERT(spent + remaining == budget);
    }
  }));
}

// Guards against retries beyond a tenth of the first attempts, plus one at the
// start, and against a burst of more than 10 after a time without retries.
TEST(RetryTest, RetriesStayWithinServiceRatio) {
  EXPECT_TRUE(rc::check([] {
    auto events =
        *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
    RetryRatio ratio;
    int first_attempts = 0;
    int retries = 0;
    for (bool first : events) {
      if (first) {
        ++first_attempts;
        ratio.CountFirstAttempt("proofs");
      } else {
        retries += ratio.AcquireRetry("proofs");
      }
      RC_ASSERT(retries <= 1 + first_attempts / 10);
    }
  }));
  RetryRatio ratio;
  for (int i = 0; i < 1000; ++i)
    ratio.CountFirstAttempt("proofs");
  int burst = 0;
  while (ratio.AcquireRetry("proofs"))
    ++burst;
  EXPECT_EQ(burst, 10);
}

// Guards against retries and refused callers that resend at the same time:
// back-off and Retry-After are drawn from their whole range.
TEST(RetryTest, BackoffAndRetryAfterAreJittered) {
  std::mt19937_64 random(1);
  auto policy = MakeRetryPolicy(Policy::kStandard);
  auto min_delay = 1000ms;
  auto max_delay = 0ms;
  for (int i = 0; i < 1000; ++i) {
    auto delay = policy->Backoff(1, random);
    min_delay = std::min<std::chrono::milliseconds>(min_delay, delay);
    max_delay = std::max<std::chrono::milliseconds>(max_delay, delay);
    auto hint = JitteredRetryAfter(random);
    EXPECT_GE(hint, 1s);
    EXPECT_LE(hint, 5s);
  }
  EXPECT_EQ(min_delay, 0ms);
  EXPECT_EQ(max_delay, kInitialBackoff);
}

// Guards against a baseline that limits retries over the call chain and would
// make the standard policy look less useful than it is.
TEST(RetryTest, NaivePolicyAllowsThreeRetriesAtEachDepth) {
  auto policy = MakeRetryPolicy(Policy::kNaive);
  ChainBudget entry = policy->EntryBudget(1);
  EXPECT_EQ(policy->OnwardBudget(entry).remaining(), 3U);
  EXPECT_EQ(entry.remaining(), 3U);
}

}  // namespace
}  // namespace comfreylock
