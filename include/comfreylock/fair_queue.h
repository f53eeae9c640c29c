#ifndef COMFREYLOCK_FAIR_QUEUE_H_
#define COMFREYLOCK_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/types.h"

/// The queue of admission: strict priority by importance, then start-time fair
/// queueing over organisations. Every operation takes O(log n) in the number of
/// entries and organisations.
namespace comfreylock {

/// A request offered to admission.
struct WorkItem {
  WorkId work;
  std::string organisation;
  std::string route;        ///< Expected service times are kept for each route.
  uint32_t importance = 0;  ///< 0 is served first; the mesh passes its rank.
  double weight = 1;
  TimePoint deadline;
  bool is_suspect = false;  ///< Suspected of crashing targets; one at a time.
};

/// Waiting requests.
class FairQueue {
 public:
  /// Number of importances with a lane of their own; requests of greater
  /// importance values go into the last lane.
  static constexpr uint32_t kLaneCount = 12;

  /// @param item request that is not in the queue yet.
  void Push(const WorkItem& item, TimePoint now);

  /// Removes and returns the most important request; within one importance, the
  /// one whose organisation has the smallest start tag.
  /// @param suspects whether requests with `is_suspect` may be returned.
  std::optional<WorkItem> Pop(bool suspects);

  /// @return whether `Pop` would return a request.
  bool HasReady(bool suspects) const;

  /// @return whether `work` was queued.
  bool Remove(WorkId work);

  /// Makes room for `newcomer`: finds the least important lane with a backlog,
  /// in it the flow with the most entries / weight, and removes its newest
  /// request.
  /// @return the removed request, or nothing if `newcomer` itself is the one to
  ///     refuse.
  std::optional<WorkItem> EvictFor(const WorkItem& newcomer);

  /// Removes a request that was queued at `oldest` or before.
  /// @return the removed request, or nothing if there is none.
  std::optional<WorkItem> PopWaitingSince(TimePoint oldest);

  /// Removes a request whose deadline is at `now` or before.
  /// @return the removed request, or nothing if there is none.
  std::optional<WorkItem> PopPastDeadline(TimePoint now);

  /// @return the waiting time of the oldest request, apart from those with
  ///     `is_suspect`; 0 if there is none.
  std::chrono::microseconds OldestWait(TimePoint now) const;

  size_t size() const { return index_.size(); }

 private:
  struct Entry {
    WorkItem item;
    TimePoint queued_at;
    uint64_t sequence = 0;
  };

  /// The requests of one organisation in one importance, with those marked
  /// `is_suspect` in a flow of their own. Tags advance only for requests that
  /// `Pop` returns, so that refused ones do not count against the organisation.
  struct Flow {
    std::list<Entry> entries;
    double weight = 1;
    double start_tag = 0;
    double finish_tag = 0;
    uint64_t id = 0;
    bool suspect = false;
  };

  using FlowOrderKey = std::tuple<double, uint64_t, Flow*>;
  using FlowKey = std::pair<std::string, bool>;

  /// The requests of one importance.
  struct Lane {
    std::map<FlowKey, Flow> flows;
    std::array<std::set<FlowOrderKey>, 2> ready;  ///< By start tag; [suspect].
    std::set<FlowOrderKey> backlog;               ///< By entries / weight.
    double virtual_time = 0;
    double max_finish_tag = 0;
  };

  struct Position {
    uint32_t lane = 0;
    Flow* flow = nullptr;
    std::list<Entry>::iterator entry;
  };

  static FlowOrderKey StartTagKey(Flow& flow) {
    return {flow.start_tag, flow.id, &flow};
  }
  static FlowOrderKey BacklogKey(Flow& flow);
  static void AddToOrders(Lane& lane, Flow& flow);
  static void RemoveFromOrders(Lane& lane, Flow& flow);
  const std::set<FlowOrderKey>* ReadySet(const Lane& lane, bool suspects) const;
  WorkItem Extract(WorkId work);
  static void EndBusyPeriodIfIdle(Lane& lane);

  std::array<Lane, kLaneCount> lanes_;
  std::unordered_map<WorkId, Position> index_;
  /// Requests in the order of arrival, by sequence number; [suspect].
  std::array<std::map<uint64_t, WorkId>, 2> by_arrival_;
  std::set<std::pair<TimePoint, WorkId>> deadlines_;
  uint64_t last_sequence_ = 0;
  uint64_t last_flow_id_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_FAIR_QUEUE_H_
