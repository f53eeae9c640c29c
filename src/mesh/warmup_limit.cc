#include "mesh/warmup_limit.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// The target counts requests by their arrival. Starts up to this much more
/// than a second apart can arrive within one second: the earlier request waits
/// for a connection or for the processor, the later one does not.
constexpr microseconds kArrivalMargin{150'000};
constexpr microseconds kWindow = std::chrono::seconds(1) + kArrivalMargin;
/// Starts of this time at the steady rate may be made at once, so that requests
/// which arrive unevenly from many nodes do not lose their time in the queue.
constexpr microseconds kBurstTime{250'000};
constexpr double kMicrosecondsPerSecond = 1e6;
/// Largest bound that is counted; a higher one limits nothing that a node can
/// start.
constexpr double kMaxBound = 1e6;
/// Slowest rate that is paced: one start in 1000 seconds.
constexpr double kMinStartsPerSecond = 1e-3;

}  // namespace

void WarmupLimit::SetRules(const WarmupLimitRules& rules) {
  rules_ = rules;
  if (rules_.starts_per_second > 0) {
    rules_.starts_per_second =
        std::max(rules_.starts_per_second, kMinStartsPerSecond);
  }
  // Rounded down, so that the bound holds as the target counts it. At least 1,
  // since a target that gets no request stays cold for its callers.
  double bound = rules_.starts_per_second * rules_.overage + rules_.slack;
  bound_ =
      rules_.starts_per_second > 0
          ? static_cast<uint32_t>(std::clamp(std::floor(bound), 1.0, kMaxBound))
          : 0;
  while (starts_.size() > bound_)
    starts_.pop_front();
}

void WarmupLimit::AssumeFullAt(TimePoint time) {
  closed_until_ = time + kWindow;
}

microseconds WarmupLimit::Interval() const {
  return microseconds(
      static_cast<int64_t>(kMicrosecondsPerSecond / rules_.starts_per_second));
}

microseconds WarmupLimit::Burst() const {
  // At least one request can always be started at once.
  return std::max(kBurstTime - Interval(), microseconds(0));
}

TimePoint WarmupLimit::NextStart(TimePoint now) const {
  if (!IsActive(now))
    return now;
  TimePoint next = std::max(closed_until_, paced_until_ - Burst());
  if (starts_.size() >= bound_)
    next = std::max(next, starts_[starts_.size() - bound_] + kWindow);
  return next;
}

microseconds WarmupLimit::ExpectedWait(uint32_t ahead, TimePoint now) const {
  if (!IsActive(now))
    return microseconds(0);
  microseconds paced = Interval() * static_cast<int64_t>(ahead);
  TimePoint next = NextStart(now);
  // Requests that can start at once use up the burst before they are paced.
  TimePoint start =
      next > now ? next + paced : std::max(paced_until_, now) + paced - Burst();
  // The limit ends with the warm-up.
  start = std::min(start, cold_until_);
  return std::max(start - now, microseconds(0));
}

void WarmupLimit::RecordStart(TimePoint now) {
  if (bound_ == 0)
    return;
  starts_.push_back(now);
  if (starts_.size() > bound_)
    starts_.pop_front();
  // Starts while the target was warm use up the burst, but no more.
  paced_until_ = std::min(std::max(paced_until_, now) + Interval(),
                          now + Burst() + Interval());
}

}  // namespace comfreylock::mesh
