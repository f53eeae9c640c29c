#ifndef COMFREYLOCK_RETRY_H_
#define COMFREYLOCK_RETRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "comfreylock/policy.h"

/// Retries: the budget of a call chain, the service-wide ratio, the back-off.
namespace comfreylock {

/// Retries that a call chain may still spend, as one node holds them. What is
/// left and what is lent never exceed the budget at the entry.
class ChainBudget {
 public:
  explicit ChainBudget(uint32_t left = 0) : left_(left) {}

  /// Takes one retry. @return false if none is left.
  bool Spend();

  /// Takes off what was spent further down, at most what is left.
  void Deduct(uint32_t spent);

  /// @return a loan of half of what is left, rounded up.
  ChainBudget Lend();

  /// Takes back what a loan did not spend.
  void Return(ChainBudget loan) { left_ += loan.left_; }

  uint32_t left() const { return left_; }

 private:
  uint32_t left_;
};

/// For each service, retries as a share of first attempts.
class RetryRatio {
 public:
  /// Counts the first attempt of a call.
  void CountFirst(std::string_view service);

  /// Pays for one retry. @return false if that is more than the ratio allows.
  bool Pay(std::string_view service);

 private:
  std::map<std::string, double, std::less<>> tokens_;
};

/// The rules by which a node retries.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// @param configured budget of the route in the bundle.
  virtual ChainBudget AtEntry(uint32_t configured) const = 0;

  /// @param parent budget of the running request that makes the call.
  virtual ChainBudget Onward(ChainBudget& parent) const = 0;

  /// Gives back what an onward call did not spend.
  virtual void Return(ChainBudget& parent, ChainBudget loan) const = 0;

  /// @return whether a call that may have been overloaded further down the
  ///     chain, or whose target answered 503, may be tried again.
  virtual bool RetriesOverload() const = 0;

  virtual void CountFirst(std::string_view service) = 0;

  /// Pays for a retry. @return false if there may be none.
  virtual bool Pay(std::string_view service, ChainBudget& budget) = 0;

  /// @param retry 1 for the first retry.
  virtual std::chrono::milliseconds Backoff(uint32_t retry,
                                            std::mt19937_64& random) const = 0;
};

std::unique_ptr<RetryPolicy> MakeRetryPolicy(Policy policy);

/// @return a hint for refused callers, spread so that they do not come back
///     all at once.
std::chrono::milliseconds SpreadRetryAfter(std::mt19937_64& random);

}  // namespace comfreylock

#endif  // COMFREYLOCK_RETRY_H_
