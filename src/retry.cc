#include "comfreylock/retry.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// A first attempt adds one token and a retry consumes ten, which limits
/// retries to a tenth of the first attempts. Whole numbers avoid rounding
/// errors.
constexpr double kInitialTokens = 10;
constexpr double kTokensPerRetry = 10;
constexpr double kMaxTokens = 100;
constexpr uint32_t kNaiveRetriesPerDepth = 3;

/// Standard policy: one budget for the call chain, a ratio for each service,
/// and back-off with full jitter.
class BudgetedRetry : public RetryPolicy {
 public:
  ChainBudget EntryBudget(uint32_t configured) const override {
    return ChainBudget(configured);
  }
  ChainBudget OnwardBudget(ChainBudget& parent) const override {
    return parent.SplitHalf();
  }
  void Return(ChainBudget& parent, ChainBudget unspent) const override {
    parent.Return(unspent);
  }
  bool RetriesOverload() const override { return false; }
  void CountFirstAttempt(std::string_view service) override {
    ratio_.CountFirstAttempt(service);
  }
  bool AcquireRetry(std::string_view service, ChainBudget& budget) override {
    return budget.remaining() > 0 && ratio_.AcquireRetry(service) &&
           budget.Spend();
  }
  std::chrono::milliseconds Backoff(uint32_t retry,
                                    std::mt19937_64& random) const override {
    auto max_delay = std::min(
        kMaxBackoff, kInitialBackoff * (1 << std::clamp(retry, 1U, 10U)) / 2);
    std::uniform_int_distribution<int64_t> delay(0, max_delay.count());
    return std::chrono::milliseconds(delay(random));
  }

 private:
  RetryRatio ratio_;
};

/// Baseline for measurements: three retries without delay at each depth of the
/// call chain, regardless of retries at other depths.
class NaiveRetry : public RetryPolicy {
 public:
  ChainBudget EntryBudget(uint32_t /*configured*/) const override {
    return ChainBudget(kNaiveRetriesPerDepth);
  }
  ChainBudget OnwardBudget(ChainBudget& /*parent*/) const override {
    return ChainBudget(kNaiveRetriesPerDepth);
  }
  void Return(ChainBudget& /*parent*/, ChainBudget /*unspent*/) const override {
  }
  bool RetriesOverload() const override { return true; }
  void CountFirstAttempt(std::string_view /*service*/) override {}
  bool AcquireRetry(std::string_view /*service*/,
                    ChainBudget& budget) override {
    return budget.Spend();
  }
  std::chrono::milliseconds Backoff(
      uint32_t /*retry*/,
      std::mt19937_64& /*random*/) const override {
    return std::chrono::milliseconds(0);
  }
};

}  // namespace

bool ChainBudget::Spend() {
  if (remaining_ == 0)
    return false;
  --remaining_;
  return true;
}

void ChainBudget::Deduct(uint32_t spent) {
  remaining_ -= std::min(spent, remaining_);
}

ChainBudget ChainBudget::SplitHalf() {
  ChainBudget half((remaining_ + 1) / 2);
  remaining_ -= half.remaining_;
  return half;
}

void RetryRatio::CountFirstAttempt(std::string_view service) {
  auto found = tokens_.find(service);
  if (found == tokens_.end())
    found = tokens_.emplace(std::string(service), kInitialTokens).first;
  found->second = std::min(found->second + 1, kMaxTokens);
}

bool RetryRatio::AcquireRetry(std::string_view service) {
  auto found = tokens_.find(service);
  if (found == tokens_.end() || found->second < kTokensPerRetry)
    return false;
  found->second -= kTokensPerRetry;
  return true;
}

std::unique_ptr<RetryPolicy> MakeRetryPolicy(Policy policy) {
  if (policy == Policy::kNaive)
    return std::make_unique<NaiveRetry>();
  return std::make_unique<BudgetedRetry>();
}

std::chrono::milliseconds JitteredRetryAfter(std::mt19937_64& random) {
  std::uniform_int_distribution<int64_t> spread(kMinRetryAfter.count(),
                                                kMaxRetryAfter.count());
  return std::chrono::milliseconds(spread(random));
}

}  // namespace comfreylock
