#ifndef COMFREYLOCK_MESH_WARMUP_LIMIT_H_
#define COMFREYLOCK_MESH_WARMUP_LIMIT_H_

#include <chrono>
#include <cstdint>
#include <deque>

#include "comfreylock/types.h"

/// Limit of the requests that a node starts on a cold target.
///
/// Load pattern: a target has just started, or its zone returns to service, and
/// all nodes send it their waiting requests at once. While it is cold, it
/// handles a small number of requests a second and crashes at a rate well above
/// that. The limit admits starts at the steady rate, and in no window more than
/// the bound, whatever the arrivals.
namespace comfreylock::mesh {

/// Limit of one target. The default limits nothing.
struct WarmupLimitRules {
  double starts_per_second = 0;  ///< Steady rate, requests; 0: no limit.
  /// The target may get `starts_per_second` x `overage` + `slack` requests in
  /// any second.
  double overage = 1;
  double slack = 0;

  bool operator==(const WarmupLimitRules&) const = default;
};

class WarmupLimit {
 public:
  /// Sets the limit of the present target.
  void SetRules(const WarmupLimitRules& rules);

  /// Assumes that as many requests as the bound allows were started at `time`:
  /// what an earlier process of this node has started is not known.
  void AssumeFullAt(TimePoint time);

  /// @param until the target counts as cold before this time.
  void SetColdUntil(TimePoint until) { cold_until_ = until; }

  /// @return whether starts are limited at this time.
  bool IsActive(TimePoint now) const {
    return rules_.starts_per_second > 0 && now < cold_until_;
  }

  /// @return until when the target counts as cold.
  TimePoint cold_until() const { return cold_until_; }

  /// @return the number of starts per second that the limit aims at.
  double starts_per_second() const { return rules_.starts_per_second; }

  /// @return the earliest time at which one more request may start; `now` or
  ///     earlier if it may start now.
  TimePoint NextStart(TimePoint now) const;

  /// @param ahead number of requests that start before it.
  /// @return how long one more request waits for the limit; 0 if it does not.
  std::chrono::microseconds ExpectedWait(uint32_t ahead, TimePoint now) const;

  /// Counts a request that is started, also while the target is warm, since it
  /// may become cold within the same second.
  void RecordStart(TimePoint now);

  /// @return the largest number of starts in a window.
  uint32_t bound() const { return bound_; }

 private:
  std::chrono::microseconds Interval() const;
  std::chrono::microseconds Burst() const;

  WarmupLimitRules rules_;
  uint32_t bound_ = 0;
  TimePoint cold_until_;
  /// Last starts, oldest first; at most `bound_`.
  std::deque<TimePoint> starts_;
  /// No start is admitted before this time.
  TimePoint closed_until_;
  /// Time at which starts at the steady rate would have used up those so far.
  TimePoint paced_until_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_WARMUP_LIMIT_H_
