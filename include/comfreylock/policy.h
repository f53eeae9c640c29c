#ifndef COMFREYLOCK_POLICY_H_
#define COMFREYLOCK_POLICY_H_

/// Which set of load decisions a node uses.
namespace comfreylock {

enum class Policy {
  kStandard,
  /// Baseline for measurements: fixed limit, first-in-first-out queue without
  /// a bound on the delay, round robin, three retries at each depth of the call
  /// chain.
  kNaive,
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_POLICY_H_
