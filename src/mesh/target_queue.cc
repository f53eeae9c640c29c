#include "mesh/target_queue.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;

/// Weight of a new duration in a mean service time.
constexpr double kMeanGain = 0.05;
/// Service time that is assumed before the first request has ended. Without it
/// a node that has just started would let everything wait.
constexpr double kAssumedServiceUs = 150'000;
/// Part of the time left that wait and service may take together. The rest
/// covers durations above the mean and the way back to the caller.
constexpr double kUsableTime = 0.9;
/// The same for calls that running requests make. A request makes several in a
/// row, so that each may take but a part; one that cannot be served soon is
/// better refused before more work is done for it.
constexpr double kUsableTimeOfCalls = 0.3;
/// Part of the slots that calls may take while others of their importance wait,
/// and that is left to others while calls are expected.
constexpr double kMostForCalls = 0.8;
constexpr double kLeastForRequests = 0.2;
/// Slots kept for calls, as a multiple of those that they use on average:
/// arrivals times service time.
constexpr double kCallReserve = 1.4;
/// Time over which offers are counted.
constexpr std::chrono::seconds kArrivalWindow{1};
/// Routes whose times are told, and how long after their last request.
constexpr size_t kMostRoutes = 16;
constexpr std::chrono::seconds kRouteKept{10};

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
  Kind kind = KindOf(work);
  KindState& state = kinds_[kind];
  state.arrivals = ArrivalsPerSecond(state, now) + 1;
  state.counted = now;
  microseconds service = service_time_.Expected(work.route, now);
  if (waiting_.empty() && HasRoom(kind, now)) {
    Begin(work.work, work.route, kind, now);
    changes.start.push_back(work.work);
    return changes;
  }
  microseconds wait = ExpectedWait(work.rank, work.onward, now);
  TimePoint useful = std::min(work.useful_until, work.deadline);
  double left =
      static_cast<double>((useful - now).count()) * UsableTime(work.onward);
  bool too_late = static_cast<double>((wait + service).count()) > left;
  if (wait.count() > 0 && too_late) {
    changes.refuse.push_back(work.work);
    return changes;
  }
  WorkItem item;
  item.work = work.work;
  item.organisation = work.onward ? "" : work.organisation;
  item.route = work.route;
  item.importance = ClampRank(work.rank);
  // The latest start with which the answer has its full worth.
  item.deadline = useful - service;
  state.queue.Push(item, now);
  ++state.waiting[item.importance];
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
  KindState& state = kinds_[found->second.kind];
  --state.running;
  if (learn) {
    microseconds took = now - found->second.since;
    service_time_.Record(found->second.route, took, now);
    fullness_.Record(found->second.route, took, found->second.running, slots_,
                     now);
    routes_[found->second.route] = now;
    auto sample = static_cast<double>(took.count());
    for (double* mean : {&mean_us_, &state.mean_us})
      *mean += *mean == 0 ? sample : kMeanGain * (sample - *mean);
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
  Forget(work);
  return true;
}

TargetQueue::Changes TargetQueue::Advance(TimePoint now) {
  Changes changes;
  for (KindState& state : kinds_) {
    while (auto late = state.queue.PopPastDeadline(now)) {
      Forget(late->work);
      changes.refuse.push_back(late->work);
    }
  }
  StartReady(changes, now);
  return changes;
}

TargetQueue::Changes TargetQueue::Clear() {
  Changes changes;
  for (KindState& state : kinds_) {
    while (auto item = state.queue.Pop(false)) {
      Forget(item->work);
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
  for (const auto& [route, ran] : routes_) {
    if (now - ran < kRouteKept && times.size() < kMostRoutes)
      times.emplace_back(route, service_time_.Expected(route, ran));
  }
  return times;
}

double TargetQueue::ArrivalsPerSecond(const KindState& state, TimePoint now) {
  std::chrono::duration<double> passed = now - state.counted;
  std::chrono::duration<double> window = kArrivalWindow;
  return state.arrivals * std::exp(-passed.count() / window.count());
}

uint32_t TargetQueue::SlotsFor(Kind kind, TimePoint now) const {
  uint32_t limit = Limit(now);
  double slots = limit;
  if (kind == kCall) {
    bool others = kinds_[kRequest].queue.size() > 0;
    return others ? std::max(1u, static_cast<uint32_t>(slots * kMostForCalls))
                  : limit;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const KindState& calls = kinds_[kCall];
  double used =
      ArrivalsPerSecond(calls, now) * calls.mean_us / kMicrosecondsPerSecond;
  double left = slots - std::ceil(used * kCallReserve);
  return static_cast<uint32_t>(
      std::max({1.0, slots * kLeastForRequests, left}));
}

bool TargetQueue::HasRoom(Kind kind, TimePoint now) const {
  return running_.size() < Limit(now) &&
         kinds_[kind].running < SlotsFor(kind, now);
}

TargetQueue::Kind TargetQueue::NextKind(TimePoint now) const {
  bool call = HasRoom(kCall, now);
  bool request = HasRoom(kRequest, now);
  bool requests_before = false;
  for (uint32_t lane = 0; lane < kRanks; ++lane) {
    requests_before |= kinds_[kRequest].waiting[lane] > 0;
    // Less important requests do not hold up calls.
    if ((call || !requests_before) && kinds_[kCall].waiting[lane] > 0)
      return kCall;
    if (request && kinds_[kRequest].waiting[lane] > 0)
      return kRequest;
  }
  return kKinds;
}

microseconds TargetQueue::ExpectedWait(uint32_t rank,
                                       bool onward,
                                       TimePoint now) const {
  Kind kind = onward ? kCall : kRequest;
  if (HasRoom(kind, now) || slots_ == 0)
    return microseconds(0);
  const KindState& state = kinds_[kind];
  uint32_t ahead = 1;
  for (uint32_t lane = 0; lane <= ClampRank(rank); ++lane)
    ahead += state.waiting[lane];
  double mean = state.mean_us > 0 ? state.mean_us
                : mean_us_ > 0    ? mean_us_
                                  : kAssumedServiceUs;
  uint32_t servers = std::max(1u, std::max(state.running, SlotsFor(kind, now)));
  return microseconds(static_cast<int64_t>(mean * ahead / servers));
}

void TargetQueue::Begin(WorkId work,
                        const std::string& route,
                        Kind kind,
                        TimePoint now) {
  ++kinds_[kind].running;
  auto running = static_cast<uint32_t>(running_.size() + 1);
  running_[work] = {route, kind, now, running};
}

void TargetQueue::StartReady(Changes& changes, TimePoint now) {
  while (running_.size() < Limit(now)) {
    Kind kind = NextKind(now);
    if (kind == kKinds)
      return;
    auto item = kinds_[kind].queue.Pop(false);
    if (!item)
      return;
    Forget(item->work);
    Begin(item->work, item->route, kind, now);
    changes.start.push_back(item->work);
  }
}

void TargetQueue::Forget(WorkId work) {
  auto found = waiting_.find(work);
  if (found == waiting_.end())
    return;
  --kinds_[KindOf(found->second)].waiting[ClampRank(found->second.rank)];
  waiting_.erase(found);
}

}  // namespace comfreylock::mesh
