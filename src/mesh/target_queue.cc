#include "mesh/target_queue.h"

#include <algorithm>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// Weight of a new duration in the mean service time.
constexpr double kMeanGain = 0.05;
/// Part of the time left that wait and service may take together. The rest
/// covers durations above the mean and the way back to the caller.
constexpr double kUsableTime = 0.9;

/// Routes whose times are told, and how long after their last request.
constexpr size_t kMostRoutes = 16;
constexpr std::chrono::seconds kRouteKept{10};

uint32_t LaneOf(uint32_t importance) {
  return std::min(importance, kImportanceClasses - 1);
}

}  // namespace

TargetQueue::Changes TargetQueue::Offer(const OfferedWork& work,
                                        TimePoint now) {
  Changes changes;
  if (slots_ == 0) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  microseconds service = service_time_.Expected(work.route, now);
  if (running_.size() < slots_ && queue_.size() == 0) {
    running_[work.work] = {work.route, now};
    changes.start.push_back(work.work);
    return changes;
  }
  microseconds wait = ExpectedWait(work.importance);
  TimePoint useful = std::min(work.useful_until, work.deadline);
  double left = static_cast<double>((useful - now).count()) * kUsableTime;
  if (static_cast<double>((wait + service).count()) > left) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  WorkItem item;
  item.work = work.work;
  item.organisation = work.organisation;
  item.route = work.route;
  item.importance = LaneOf(work.importance);
  // The latest start with which the answer has its full worth.
  item.deadline = useful - service;
  queue_.Push(item, now);
  waiting_[work.work] = work;
  ++queued_by_importance_[LaneOf(work.importance)];
  StartReady(changes, now);
  return changes;
}

TargetQueue::Changes TargetQueue::Finish(WorkId work,
                                         bool learn,
                                         TimePoint now) {
  Changes changes;
  auto found = running_.find(work);
  if (found == running_.end())
    return changes;
  if (learn) {
    microseconds took = now - found->second.since;
    service_time_.Record(found->second.route, took, now);
    routes_[found->second.route] = now;
    auto sample = static_cast<double>(took.count());
    mean_us_ += mean_us_ == 0 ? sample : kMeanGain * (sample - mean_us_);
  }
  running_.erase(found);
  StartReady(changes, now);
  return changes;
}

std::vector<std::pair<std::string, microseconds>> TargetQueue::RouteTimes(
    TimePoint now) const {
  std::vector<std::pair<std::string, microseconds>> times;
  for (const auto& [route, ran] : routes_) {
    if (now - ran < kRouteKept && times.size() < kMostRoutes)
      times.emplace_back(route, service_time_.Expected(route, ran));
  }
  return times;
}

bool TargetQueue::Remove(WorkId work) {
  if (!queue_.Remove(work))
    return false;
  Forget(work);
  return true;
}

TargetQueue::Changes TargetQueue::Advance(TimePoint now) {
  Changes changes;
  while (auto late = queue_.PopPastDeadline(now)) {
    Forget(late->work);
    changes.refuse.push_back(late->work);
  }
  StartReady(changes, now);
  return changes;
}

TargetQueue::Changes TargetQueue::Clear() {
  Changes changes;
  while (auto item = queue_.Pop(false)) {
    Forget(item->work);
    changes.refuse.push_back(item->work);
  }
  return changes;
}

microseconds TargetQueue::mean_service_time() const {
  return microseconds(static_cast<int64_t>(mean_us_));
}

microseconds TargetQueue::ExpectedWait(uint32_t importance) const {
  uint32_t ahead = 0;
  for (uint32_t lane = 0; lane <= LaneOf(importance); ++lane)
    ahead += queued_by_importance_[lane];
  if (running_.size() < slots_)
    return microseconds(0);
  return microseconds(
      static_cast<int64_t>(mean_us_ * (ahead + 1) / std::max(slots_, 1u)));
}

void TargetQueue::StartReady(Changes& changes, TimePoint now) {
  while (running_.size() < slots_) {
    auto item = queue_.Pop(false);
    if (!item)
      return;
    Forget(item->work);
    running_[item->work] = {item->route, now};
    changes.start.push_back(item->work);
  }
}

void TargetQueue::Forget(WorkId work) {
  auto found = waiting_.find(work);
  if (found == waiting_.end())
    return;
  --queued_by_importance_[LaneOf(found->second.importance)];
  waiting_.erase(found);
}

}  // namespace comfreylock::mesh
