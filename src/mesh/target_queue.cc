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
/// The same for calls that running requests make. A request makes several in a
/// row, so that each may take but a part; one that cannot be served soon is
/// better refused before more work is done for it.
constexpr double kUsableTimeOfCalls = 0.3;

/// Part of the target's time that calls get while others of the same importance
/// wait too. Others keep a part, so that no route is starved by calls.
constexpr double kCallShare = 0.9;
/// Routes whose times are told, and how long after their last request.
constexpr size_t kMostRoutes = 16;
constexpr std::chrono::seconds kRouteKept{10};

uint32_t LaneOf(uint32_t importance) {
  return std::min(importance, kImportanceClasses - 1);
}

}  // namespace

double UsableTime(bool onward) {
  return onward ? kUsableTimeOfCalls : kUsableTime;
}

TargetQueue::Changes TargetQueue::Offer(const OfferedWork& work,
                                        TimePoint now) {
  Changes changes;
  if (slots_ == 0) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  microseconds service = service_time_.Expected(work.route, now);
  if (running_.size() < slots_ && queue_.size() == 0) {
    running_[work.work] = {work.route, work.onward, now};
    changes.start.push_back(work.work);
    return changes;
  }
  microseconds wait = ExpectedWait(work.importance, work.onward);
  TimePoint useful = std::min(work.useful_until, work.deadline);
  double left =
      static_cast<double>((useful - now).count()) * UsableTime(work.onward);
  if (static_cast<double>((wait + service).count()) > left) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  WorkItem item;
  item.work = work.work;
  item.organisation = work.onward ? "" : work.organisation;
  item.route = work.route;
  item.importance = LaneOf(work.importance);
  // The latest start with which the answer has its full worth.
  item.deadline = useful - service;
  Waiting& lane = lanes_[LaneOf(work.importance)];
  ++lane.count[work.onward];
  if (!work.onward)
    ++lane.organisations[work.organisation];
  item.weight = WeightOf(work, service);
  queue_.Push(item, now);
  waiting_[work.work] = work;
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
    for (double* mean : {&mean_us_, &mean_of_kind_us_[found->second.onward]})
      *mean += *mean == 0 ? sample : kMeanGain * (sample - *mean);
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

microseconds TargetQueue::ExpectedWait(uint32_t importance, bool onward) const {
  if (running_.size() < slots_ || slots_ == 0)
    return microseconds(0);
  uint32_t lane = LaneOf(importance);
  double ahead_us = mean_us_;
  for (uint32_t i = 0; i < lane; ++i) {
    for (size_t kind = 0; kind < 2; ++kind)
      ahead_us += lanes_[i].count[kind] * mean_of_kind_us_[kind];
  }
  const Waiting& own = lanes_[lane];
  bool contended = own.count[!onward] > 0;
  double share = onward ? kCallShare : 1 - kCallShare;
  ahead_us +=
      own.count[onward] * mean_of_kind_us_[onward] / (contended ? share : 1);
  return microseconds(static_cast<int64_t>(ahead_us / slots_));
}

/// The queue divides starts by weight; dividing by the service time makes that
/// a division of the target's time.
double TargetQueue::WeightOf(const OfferedWork& work,
                             microseconds service) const {
  double share = kCallShare;
  if (!work.onward) {
    const Waiting& own = lanes_[LaneOf(work.importance)];
    size_t organisations = std::max<size_t>(own.organisations.size(), 1);
    share = (1 - kCallShare) / static_cast<double>(organisations);
  }
  return share / std::max(static_cast<double>(service.count()), 1000.0);
}

void TargetQueue::StartReady(Changes& changes, TimePoint now) {
  while (running_.size() < slots_) {
    auto item = queue_.Pop(false);
    if (!item)
      return;
    bool onward = waiting_.at(item->work).onward;
    Forget(item->work);
    running_[item->work] = {item->route, onward, now};
    changes.start.push_back(item->work);
  }
}

void TargetQueue::Forget(WorkId work) {
  auto found = waiting_.find(work);
  if (found == waiting_.end())
    return;
  const OfferedWork& work_item = found->second;
  Waiting& lane = lanes_[LaneOf(work_item.importance)];
  --lane.count[work_item.onward];
  if (!work_item.onward && --lane.organisations[work_item.organisation] == 0)
    lane.organisations.erase(work_item.organisation);
  waiting_.erase(found);
}

}  // namespace comfreylock::mesh
