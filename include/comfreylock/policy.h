#ifndef COMFREYLOCK_POLICY_H_
#define COMFREYLOCK_POLICY_H_

/// Which set of load decisions a node uses.
namespace comfreylock {

enum class Policy {
  kStandard,
  /// Baseline for measurements: fixed limit, first-in-first-out queue without
  /// delay bound, round robin, three retries at each depth.
  kNaive,
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_POLICY_H_
