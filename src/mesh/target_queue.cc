#include "mesh/target_queue.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// Weight of a new duration in the mean service time.
constexpr double kMeanServiceTimeWeight = 0.05;
/// Service time that is assumed before the first request has ended. Without it
/// a node that has just started would queue every request.
constexpr double kAssumedServiceTimeUs = 150'000;
/// Fraction of the remaining time that queueing and service together may use.
/// The rest covers service times above the mean and the answer's way back to
/// the caller.
constexpr double kUsableTimeFraction = 0.9;
/// The same fraction for onward calls. A request makes several of them in a
/// row, so each may use only a small part of the time; if one cannot be served
/// soon, it is better refused before more work is done for the request.
constexpr double kOnwardUsableTimeFraction = 0.3;
/// Largest fraction of the slots for onward calls while requests from callers
/// wait, and smallest fraction for requests from callers while onward calls are
/// expected.
constexpr double kMaxOnwardSlotFraction = 0.8;
constexpr double kMinFromCallerSlotFraction = 0.2;
/// Slots reserved for onward calls, as a multiple of the slots that they use on
/// average (arrival rate times mean service time).
constexpr double kOnwardReserveFactor = 1.4;
/// Time constant of the decaying count of offered requests.
constexpr std::chrono::seconds kArrivalWindow{1};
/// Maximum number of routes whose service times are reported, and how long
/// after its last request a route is reported.
constexpr size_t kMaxReportedRoutes = 16;
constexpr std::chrono::seconds kRouteReportRetention{10};

}  // namespace

double UsableTimeFraction(bool onward) {
  return onward ? kOnwardUsableTimeFraction : kUsableTimeFraction;
}

TargetQueue::Changes TargetQueue::Offer(const OfferedWork& work,
                                        TimePoint now) {
  Changes changes;
  if (slots_ == 0) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  Kind kind = KindOf(work);
  KindState& state = kinds_[kind];
  state.arrivals = ArrivalsPerSecond(state, now) + 1;
  state.counted_at = now;
  microseconds service = service_time_.Expected(work.route, now);
  if (waiting_.empty() && HasFreeSlot(kind, now) && CanStartNow(now)) {
    MarkRunning(work.work, work.route, kind, now);
    changes.start.push_back(work.work);
    return changes;
  }
  microseconds wait = ExpectedWait(work.rank, work.onward, now);
  TimePoint useful_until = std::min(work.useful_until, work.deadline);
  microseconds usable(
      static_cast<int64_t>(static_cast<double>((useful_until - now).count()) *
                           UsableTimeFraction(work.onward)));
  if (wait.count() > 0 && wait + service > usable) {
    microseconds wait_if_warm = WaitForSlot(work.rank, kind, now);
    if (wait_if_warm.count() == 0 || wait_if_warm + service <= usable)
      ++changes.refused_while_cold;
    changes.refuse.push_back(work.work);
    return changes;
  }
  WorkItem item;
  item.work = work.work;
  item.organisation = work.onward ? "" : work.organisation;
  item.route = work.route;
  item.importance = ClampRank(work.rank);
  // More important requests may overtake it, so that it waits longer than
  // expected. It is refused while its entry node can still place it elsewhere
  // or tell the caller that it has not run.
  item.deadline = now + usable - service;
  state.queue.Push(item, now);
  ++state.waiting[item.importance];
  waiting_[work.work] = work;
  StartReady(changes, now);
  return changes;
}

TargetQueue::Changes TargetQueue::Finish(WorkId work,
                                         bool record_duration,
                                         TimePoint now) {
  Changes changes;
  auto found = running_.find(work);
  if (found == running_.end())
    return changes;
  KindState& state = kinds_[found->second.kind];
  --state.running;
  if (record_duration) {
    microseconds duration = now - found->second.started_at;
    service_time_.Record(found->second.route, duration, now);
    utilisation_limit_.Record(found->second.route, duration,
                              found->second.running, slots_, now);
    route_finished_at_[found->second.route] = now;
    auto sample = static_cast<double>(duration.count());
    for (double* mean : {&mean_us_, &state.mean_us})
      *mean += *mean == 0 ? sample : kMeanServiceTimeWeight * (sample - *mean);
  }
  running_.erase(found);
  StartReady(changes, now);
  return changes;
}

bool TargetQueue::Remove(WorkId work) {
  auto found = waiting_.find(work);
  if (found == waiting_.end())
    return false;
  kinds_[KindOf(found->second)].queue.Remove(work);
  EraseWaiting(work);
  return true;
}

TargetQueue::Changes TargetQueue::Advance(TimePoint now) {
  Changes changes;
  for (KindState& state : kinds_) {
    while (auto late = state.queue.PopPastDeadline(now)) {
      EraseWaiting(late->work);
      changes.refuse.push_back(late->work);
      changes.refused_while_cold += warmup_limit_.IsActive(now) ? 1 : 0;
    }
  }
  StartReady(changes, now);
  return changes;
}

uint32_t TargetQueue::UsableSlots(TimePoint now) const {
  uint32_t slots = RunnableSlots(now);
  if (!warmup_limit_.IsActive(now) || slots == 0)
    return slots;
  constexpr double kMicrosecondsPerSecond = 1e6;
  double mean = mean_us_ > 0 ? mean_us_ : kAssumedServiceTimeUs;
  double used = std::ceil(warmup_limit_.starts_per_second() * mean /
                          kMicrosecondsPerSecond);
  return static_cast<uint32_t>(
      std::clamp(used, 1.0, static_cast<double>(slots)));
}

TargetQueue::Changes TargetQueue::RefuseAll() {
  Changes changes;
  for (KindState& state : kinds_) {
    while (auto item = state.queue.Pop(false)) {
      EraseWaiting(item->work);
      changes.refuse.push_back(item->work);
    }
  }
  return changes;
}

microseconds TargetQueue::mean_service_time() const {
  return microseconds(static_cast<int64_t>(mean_us_));
}

std::vector<std::pair<std::string, microseconds>> TargetQueue::RouteTimes(
    TimePoint now) const {
  std::vector<std::pair<std::string, microseconds>> times;
  for (const auto& [route, finished_at] : route_finished_at_) {
    if (now - finished_at < kRouteReportRetention &&
        times.size() < kMaxReportedRoutes)
      times.emplace_back(route, service_time_.Expected(route, finished_at));
  }
  return times;
}

double TargetQueue::ArrivalsPerSecond(const KindState& state, TimePoint now) {
  std::chrono::duration<double> passed = now - state.counted_at;
  std::chrono::duration<double> window = kArrivalWindow;
  return state.arrivals * std::exp(-passed.count() / window.count());
}

uint32_t TargetQueue::SlotsFor(Kind kind, TimePoint now) const {
  uint32_t limit = RunnableSlots(now);
  double slots = limit;
  if (kind == kOnward) {
    bool callers_wait = kinds_[kFromCaller].queue.size() > 0;
    return callers_wait
               ? std::max(1u,
                          static_cast<uint32_t>(slots * kMaxOnwardSlotFraction))
               : limit;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const KindState& onward_state = kinds_[kOnward];
  double used = ArrivalsPerSecond(onward_state, now) * onward_state.mean_us /
                kMicrosecondsPerSecond;
  double remaining_slots = slots - std::ceil(used * kOnwardReserveFactor);
  return static_cast<uint32_t>(
      std::max({1.0, slots * kMinFromCallerSlotFraction, remaining_slots}));
}

bool TargetQueue::HasFreeSlot(Kind kind, TimePoint now) const {
  return running_.size() < RunnableSlots(now) &&
         kinds_[kind].running < SlotsFor(kind, now);
}

TargetQueue::Kind TargetQueue::NextKind(TimePoint now) const {
  bool onward_has_slot = HasFreeSlot(kOnward, now);
  bool from_caller_has_slot = HasFreeSlot(kFromCaller, now);
  bool from_caller_waits = false;
  for (uint32_t rank_index = 0; rank_index < kRankCount; ++rank_index) {
    from_caller_waits |= kinds_[kFromCaller].waiting[rank_index] > 0;
    // Onward calls may exceed their slot limit (`SlotsFor`) if only less
    // important requests from callers wait.
    if ((onward_has_slot || !from_caller_waits) &&
        kinds_[kOnward].waiting[rank_index] > 0)
      return kOnward;
    if (from_caller_has_slot && kinds_[kFromCaller].waiting[rank_index] > 0)
      return kFromCaller;
  }
  return kKindCount;
}

microseconds TargetQueue::ExpectedWait(uint32_t rank,
                                       bool onward,
                                       TimePoint now) const {
  return std::max(WaitForSlot(rank, onward ? kOnward : kFromCaller, now),
                  WaitForWarmup(rank, now));
}

microseconds TargetQueue::WaitForWarmup(uint32_t rank, TimePoint now) const {
  if (slots_ == 0 || !warmup_limit_.IsActive(now))
    return microseconds(0);
  uint32_t ahead = 0;
  for (const KindState& state : kinds_) {
    for (uint32_t rank_index = 0; rank_index <= ClampRank(rank); ++rank_index)
      ahead += state.waiting[rank_index];
  }
  return warmup_limit_.ExpectedWait(ahead, now);
}

microseconds TargetQueue::WaitForSlot(uint32_t rank,
                                      Kind kind,
                                      TimePoint now) const {
  if (HasFreeSlot(kind, now) || slots_ == 0)
    return microseconds(0);
  const KindState& state = kinds_[kind];
  uint32_t ahead = 1;
  for (uint32_t rank_index = 0; rank_index <= ClampRank(rank); ++rank_index)
    ahead += state.waiting[rank_index];
  double mean = state.mean_us > 0 ? state.mean_us
                : mean_us_ > 0    ? mean_us_
                                  : kAssumedServiceTimeUs;
  uint32_t servers = std::max(1u, std::max(state.running, SlotsFor(kind, now)));
  return microseconds(static_cast<int64_t>(mean * ahead / servers));
}

void TargetQueue::MarkRunning(WorkId work,
                              const std::string& route,
                              Kind kind,
                              TimePoint now) {
  ++kinds_[kind].running;
  auto running = static_cast<uint32_t>(running_.size() + 1);
  running_[work] = {route, kind, now, running};
  warmup_limit_.RecordStart(now);
}

void TargetQueue::StartReady(Changes& changes, TimePoint now) {
  while (running_.size() < RunnableSlots(now) && CanStartNow(now)) {
    Kind kind = NextKind(now);
    if (kind == kKindCount)
      return;
    auto item = kinds_[kind].queue.Pop(false);
    if (!item)
      return;
    EraseWaiting(item->work);
    MarkRunning(item->work, item->route, kind, now);
    changes.start.push_back(item->work);
  }
}

void TargetQueue::EraseWaiting(WorkId work) {
  auto found = waiting_.find(work);
  if (found == waiting_.end())
    return;
  --kinds_[KindOf(found->second)].waiting[ClampRank(found->second.rank)];
  waiting_.erase(found);
}

}  // namespace comfreylock::mesh
