#include "comfreylock/retry.h"

#include <algorithm>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Tokens of a service are counted in tenths of a retry, without rounding.
constexpr double kTokensAtStart = 10;
constexpr double kTokensPerRetry = 10;
constexpr double kMostTokens = 100;
constexpr uint32_t kNaiveRetries = 3;

/// One budget over the chain, a ratio for each service, full jitter.
class BudgetedRetry : public RetryPolicy {
 public:
  ChainBudget AtEntry(uint32_t configured) const override {
    return ChainBudget(configured);
  }
  ChainBudget Onward(ChainBudget& parent) const override {
    return parent.Lend();
  }
  void Return(ChainBudget& parent, ChainBudget loan) const override {
    parent.Return(loan);
  }
  bool RetriesOverload() const override { return false; }
  void CountFirst(std::string_view service) override {
    ratio_.CountFirst(service);
  }
  bool Pay(std::string_view service, ChainBudget& budget) override {
    return budget.left() > 0 && ratio_.Pay(service) && budget.Spend();
  }
  std::chrono::milliseconds Backoff(uint32_t retry,
                                    std::mt19937_64& random) const override {
    auto longest =
        std::min(kLongestBackoff,
                 kShortestBackoff * (1 << std::clamp(retry, 1U, 10U)) / 2);
    std::uniform_int_distribution<int64_t> pick(0, longest.count());
    return std::chrono::milliseconds(pick(random));
  }

 private:
  RetryRatio ratio_;
};

/// The baseline: three retries at once at each depth, whatever others spent.
class NaiveRetry : public RetryPolicy {
 public:
  ChainBudget AtEntry(uint32_t /*configured*/) const override {
    return ChainBudget(kNaiveRetries);
  }
  ChainBudget Onward(ChainBudget& /*parent*/) const override {
    return ChainBudget(kNaiveRetries);
  }
  void Return(ChainBudget& /*parent*/, ChainBudget /*loan*/) const override {}
  bool RetriesOverload() const override { return true; }
  void CountFirst(std::string_view /*service*/) override {}
  bool Pay(std::string_view /*service*/, ChainBudget& budget) override {
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
  if (left_ == 0)
    return false;
  --left_;
  return true;
}

void ChainBudget::Deduct(uint32_t spent) {
  left_ -= std::min(spent, left_);
}

ChainBudget ChainBudget::Lend() {
  ChainBudget loan((left_ + 1) / 2);
  left_ -= loan.left_;
  return loan;
}

void RetryRatio::CountFirst(std::string_view service) {
  auto found = tokens_.find(service);
  if (found == tokens_.end())
    found = tokens_.emplace(std::string(service), kTokensAtStart).first;
  found->second = std::min(found->second + 1, kMostTokens);
}

bool RetryRatio::Pay(std::string_view service) {
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

std::chrono::milliseconds SpreadRetryAfter(std::mt19937_64& random) {
  std::uniform_int_distribution<int64_t> spread(kShortestRetryAfter.count(),
                                                kLongestRetryAfter.count());
  return std::chrono::milliseconds(spread(random));
}

}  // namespace comfreylock
