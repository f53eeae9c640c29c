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

/// Retries: budget of a call chain, ratio of retries to first attempts for each
/// service, and back-off.
namespace comfreylock {

/// The part of a call chain's retry budget that one call or request holds. The
/// parts along the chain together never exceed the budget at the entry node.
class ChainBudget {
 public:
  explicit ChainBudget(uint32_t remaining = 0) : remaining_(remaining) {}

  /// Uses one retry. @return false if none is left.
  bool Spend();

  /// Subtracts the retries that downstream nodes spent, at most the remaining
  /// ones.
  void Deduct(uint32_t spent);

  /// Moves half of the remaining retries, rounded up, into a new budget.
  /// @return the new budget.
  ChainBudget SplitHalf();

  /// Adds the remaining retries of a budget from `SplitHalf`.
  void Return(ChainBudget unspent) { remaining_ += unspent.remaining_; }

  uint32_t remaining() const { return remaining_; }

 private:
  uint32_t remaining_;
};

/// Limits the retries to each service to a ratio of its first attempts.
class RetryRatio {
 public:
  /// Counts the first attempt of a call.
  void CountFirstAttempt(std::string_view service);

  /// Acquires one retry. @return false if the ratio allows none.
  bool AcquireRetry(std::string_view service);

 private:
  std::map<std::string, double, std::less<>> tokens_;
};

/// Decides whether and when a node retries.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// @return the budget of a call at its entry node.
  /// @param configured budget of the route in the bundle.
  virtual ChainBudget EntryBudget(uint32_t configured) const = 0;

  /// @return the budget of an onward call, taken from `parent`.
  /// @param parent budget of the running request that makes the call.
  virtual ChainBudget OnwardBudget(ChainBudget& parent) const = 0;

  /// Returns the remaining retries of an onward call's budget to its parent.
  virtual void Return(ChainBudget& parent, ChainBudget unspent) const = 0;

  /// @return whether to retry a call that may have been refused for overload
  ///     further down the chain, or whose target answered 503.
  virtual bool RetriesOverload() const = 0;

  /// Counts the first attempt of a call.
  virtual void CountFirstAttempt(std::string_view service) = 0;

  /// Acquires one retry from `budget` and from the ratio of `service`.
  /// @return false if either allows none.
  virtual bool AcquireRetry(std::string_view service, ChainBudget& budget) = 0;

  /// @return the delay before a retry.
  /// @param retry 1 for the first retry.
  virtual std::chrono::milliseconds Backoff(uint32_t retry,
                                            std::mt19937_64& random) const = 0;
};

std::unique_ptr<RetryPolicy> MakeRetryPolicy(Policy policy);

/// @return a random Retry-After hint for a refused caller, so that refused
///     callers do not all resend at once.
std::chrono::milliseconds JitteredRetryAfter(std::mt19937_64& random);

}  // namespace comfreylock

#endif  // COMFREYLOCK_RETRY_H_
