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
#include "mesh/fullness_limit.h"
#include "mesh/rank.h"
#include "service_time.h"

/// The queue beside a target: which requests run, wait, or are refused.
///
/// Load pattern: offered work beyond the target's slots for seconds, with some
/// targets that never answer what they cannot queue. A request waits only if it
/// can still be answered while its answer has its full worth. The most
/// important request runs first; within one importance organisations take
/// turns, and calls that running requests make go before others, since work was
/// done for them already. Long requests would block short calls for their whole
/// duration, so slots are kept for the calls that are expected, and a few for
/// others, so that no route is starved.
namespace comfreylock::mesh {

/// A request offered to the target.
struct OfferedWork {
  WorkId work;
  std::string organisation;
  std::string route;
  uint32_t rank = 0;
  bool onward = false;     ///< A call that a running request makes.
  TimePoint useful_until;  ///< The answer has its full worth until then.
  TimePoint deadline;
};

/// @return the part of the time left that wait and service may take together.
double UsableTime(bool onward);

class TargetQueue {
 public:
  /// Decisions about requests, in order.
  struct Changes {
    std::vector<WorkId> start;
    std::vector<WorkId> refuse;
  };

  /// Sets how many requests the target runs at a time.
  void SetSlots(uint32_t slots) { slots_ = slots; }

  /// Forgets how the target's times depend on its load; another has replaced
  /// it.
  void ForgetTarget() { fullness_.Reset(); }

  /// Offers a request. @return decisions, possibly about other requests too.
  Changes Offer(const OfferedWork& work, TimePoint now);

  /// Tells that a started request ended.
  /// @param learn whether its duration says something about the target.
  Changes Finish(WorkId work, bool learn, TimePoint now);

  /// Removes a waiting request. @return whether it was waiting.
  bool Remove(WorkId work);

  /// Refuses what has waited too long, and starts what fits.
  Changes Advance(TimePoint now);

  /// Refuses everything that waits.
  Changes Clear();

  uint32_t slots() const { return slots_; }
  /// @return the slots that are worth using, at most `slots()`.
  uint32_t Limit(TimePoint now) const { return fullness_.Limit(slots_, now); }
  uint32_t in_flight() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t queued() const { return static_cast<uint32_t>(waiting_.size()); }

  /// @return how long a further request of this kind would wait.
  std::chrono::microseconds ExpectedWait(uint32_t rank,
                                         bool onward,
                                         TimePoint now) const;

  /// @return expected times of the routes that ran of late.
  std::vector<std::pair<std::string, std::chrono::microseconds>> RouteTimes(
      TimePoint now) const;

  /// @return mean time of a request at the target; 0 before the first.
  std::chrono::microseconds mean_service_time() const;

 private:
  /// Calls that running requests make, and all others.
  enum Kind : size_t { kRequest, kCall, kKinds };

  struct Running {
    std::string route;
    Kind kind = kRequest;
    TimePoint since;
    uint32_t running = 0;  ///< When it began, itself included.
  };

  /// The requests of one kind.
  struct KindState {
    FairQueue queue;
    std::array<uint32_t, kRanks> waiting{};
    uint32_t running = 0;
    double mean_us = 0;   ///< Smoothed time at the target.
    double arrivals = 0;  ///< Decaying count of offers.
    TimePoint counted;
  };

  static Kind KindOf(const OfferedWork& work) {
    return work.onward ? kCall : kRequest;
  }
  static double ArrivalsPerSecond(const KindState& state, TimePoint now);
  /// @return how many requests of a kind may run at a time.
  uint32_t SlotsFor(Kind kind, TimePoint now) const;
  bool HasRoom(Kind kind, TimePoint now) const;
  /// @return the kind whose request starts next, or `kKinds`.
  Kind NextKind(TimePoint now) const;
  void Begin(WorkId work, const std::string& route, Kind kind, TimePoint now);
  void StartReady(Changes& changes, TimePoint now);
  void Forget(WorkId work);

  uint32_t slots_ = 0;
  std::array<KindState, kKinds> kinds_;
  std::unordered_map<WorkId, OfferedWork> waiting_;
  std::unordered_map<WorkId, Running> running_;
  ServiceTime service_time_;
  FullnessLimit fullness_;
  std::map<std::string, TimePoint> routes_;  ///< When each ran last.
  double mean_us_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_TARGET_QUEUE_H_
