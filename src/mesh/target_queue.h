#ifndef COMFREYLOCK_MESH_TARGET_QUEUE_H_
#define COMFREYLOCK_MESH_TARGET_QUEUE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "comfreylock/fair_queue.h"
#include "comfreylock/types.h"
#include "mesh/rank.h"
#include "mesh/utilisation_limit.h"
#include "mesh/warmup_limit.h"
#include "service_time.h"

/// Queue in front of a target: decides which requests run, wait or are refused.
///
/// Load pattern: for seconds, more work is offered than the target has slots,
/// and some targets never answer requests that they cannot queue. A request
/// waits only if its answer can still arrive while it has its full value.
/// Requests run in the order of their rank. Within one rank, onward calls go
/// before requests from callers, since work was already done for them; among
/// requests from callers, organisations take turns. Long requests would block
/// short onward calls for their whole duration, so slots are reserved for the
/// expected onward calls, and a few for requests from callers, so that no route
/// is starved.
namespace comfreylock::mesh {

/// A request offered to the target.
struct OfferedWork {
  WorkId work;
  std::string organisation;
  std::string route;
  uint32_t rank = 0;
  bool onward = false;     ///< Made by a running request.
  TimePoint useful_until;  ///< Until then the answer has its full value.
  TimePoint deadline;
};

/// @return the fraction of the remaining time that queueing and service
///     together may use.
double UsableTimeFraction(bool onward);

class TargetQueue {
 public:
  /// Requests to start and to refuse, each in order.
  struct Changes {
    std::vector<WorkId> start;
    std::vector<WorkId> refuse;
    /// Number of `refuse` that would have run on a warm target, or that waited
    /// too long on a cold one.
    uint32_t refused_while_cold = 0;
  };

  /// Sets how many requests the target runs at a time.
  void SetSlots(uint32_t slots) { slots_ = slots; }

  /// Discards the measured effect of utilisation on service times, since
  /// another target has replaced the measured one.
  void OnTargetReplaced() { utilisation_limit_.Reset(); }

  /// Limits starts while the target is cold. The default rules limit nothing.
  void SetWarmupRules(const WarmupLimitRules& rules) {
    warmup_limit_.SetRules(rules);
  }
  void SetColdUntil(TimePoint until) { warmup_limit_.SetColdUntil(until); }
  /// See `WarmupLimit::AssumeFullAt`.
  void AssumeStartsFullAt(TimePoint time) { warmup_limit_.AssumeFullAt(time); }
  const WarmupLimit& warmup_limit() const { return warmup_limit_; }

  /// Offers a request. @return changes, possibly of other requests too.
  Changes Offer(const OfferedWork& work, TimePoint now);

  /// Records the end of a started request.
  /// @param record_duration whether its duration is typical of the target and
  ///     enters the service times; false for failed and aborted requests.
  Changes Finish(WorkId work, bool record_duration, TimePoint now);

  /// Removes a waiting request. @return whether it was waiting.
  bool Remove(WorkId work);

  /// Refuses requests that have waited past their latest start, and starts
  /// others while slots are free.
  Changes Advance(TimePoint now);

  /// Refuses all waiting requests.
  Changes RefuseAll();

  uint32_t slots() const { return slots_; }
  /// @return the number of requests to run at a time, at most `slots()`; fewer
  ///     if the last slots lower the target's throughput, or if a cold target
  ///     cannot fill them at its rate of starts.
  uint32_t UsableSlots(TimePoint now) const;
  uint32_t in_flight() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t queued() const { return static_cast<uint32_t>(waiting_.size()); }

  /// @return how long one more request of this rank and kind would wait.
  std::chrono::microseconds ExpectedWait(uint32_t rank,
                                         bool onward,
                                         TimePoint now) const;

  /// @return expected service times of the routes with recent requests.
  std::vector<std::pair<std::string, std::chrono::microseconds>> RouteTimes(
      TimePoint now) const;

  /// @return mean service time at the target; 0 before the first request ended.
  std::chrono::microseconds mean_service_time() const;

 private:
  /// Requests from callers, and onward calls that running requests make.
  enum Kind : size_t { kFromCaller, kOnward, kKindCount };

  struct Running {
    std::string route;
    Kind kind = kFromCaller;
    TimePoint started_at;
    /// Requests at the target when it started, itself included.
    uint32_t running = 0;
  };

  /// The requests of one kind.
  struct KindState {
    FairQueue queue;
    std::array<uint32_t, kRankCount> waiting{};  ///< By rank.
    uint32_t running = 0;
    double mean_us = 0;   ///< Smoothed service time.
    double arrivals = 0;  ///< Decaying count of offered requests.
    TimePoint counted_at;
  };

  static Kind KindOf(const OfferedWork& work) {
    return work.onward ? kOnward : kFromCaller;
  }
  static double ArrivalsPerSecond(const KindState& state, TimePoint now);
  /// @return the number of requests to run at a time, whatever the rate of
  ///     starts.
  uint32_t RunnableSlots(TimePoint now) const {
    return utilisation_limit_.UsableSlots(slots_, now);
  }
  bool CanStartNow(TimePoint now) const {
    return warmup_limit_.NextStart(now) <= now;
  }
  /// @return how long one more request would wait for a slot.
  std::chrono::microseconds WaitForSlot(uint32_t rank,
                                        Kind kind,
                                        TimePoint now) const;
  /// @return how long one more request would wait for the limit of a cold
  ///     target.
  std::chrono::microseconds WaitForWarmup(uint32_t rank, TimePoint now) const;
  /// @return the number of requests of a kind that may run at a time.
  uint32_t SlotsFor(Kind kind, TimePoint now) const;
  bool HasFreeSlot(Kind kind, TimePoint now) const;
  /// @return the kind whose request starts next, or `kKindCount` if none can.
  Kind NextKind(TimePoint now) const;
  void MarkRunning(WorkId work,
                   const std::string& route,
                   Kind kind,
                   TimePoint now);
  void StartReady(Changes& changes, TimePoint now);
  void EraseWaiting(WorkId work);

  uint32_t slots_ = 0;
  std::array<KindState, kKindCount> kinds_;
  std::unordered_map<WorkId, OfferedWork> waiting_;
  std::unordered_map<WorkId, Running> running_;
  ServiceTime service_time_;
  UtilisationLimit utilisation_limit_;
  WarmupLimit warmup_limit_;
  /// End of the last request of each route.
  std::map<std::string, TimePoint> route_finished_at_;
  double mean_us_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_TARGET_QUEUE_H_
