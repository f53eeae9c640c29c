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

/// Queue of requests that wait for admission: strict priority by importance,
/// then start-time fair queueing over organisations. Every operation takes
/// O(log n) in the number of entries and organisations.
namespace comfreylock {

/// A request offered to admission.
struct WorkItem {
  WorkId work;
  std::string organisation;
  std::string route;  ///< Expected service times are kept for each route.
  /// 0 is served first. mesh::TargetQueue passes the rank.
  uint32_t importance = 0;
  double weight = 1;
  TimePoint deadline;
  bool is_suspect = false;  ///< Suspected of crashing targets; one at a time.
};

/// Waiting requests.
class FairQueue {
 public:
  /// Number of lanes, one for each importance value. Larger values share the
  /// last lane.
  static constexpr uint32_t kLaneCount = 12;

  /// @param item request that is not in the queue yet.
  void Push(const WorkItem& item, TimePoint now);

  /// Removes and returns the most important request. Within one importance,
  /// this is the request of the flow with the smallest start tag.
  /// @param include_suspects whether requests with `is_suspect` may be
  ///     returned.
  std::optional<WorkItem> Pop(bool include_suspects);

  /// @return whether `Pop` would return a request.
  bool HasReady(bool include_suspects) const;

  /// @return whether `work` was queued.
  bool Remove(WorkId work);

  /// Makes room for `newcomer` by removing the newest request of the flow with
  /// the most entries / weight in the least important lane that has a backlog.
  /// @return the removed request, or nothing if `newcomer` is to be refused
  ///     instead.
  std::optional<WorkItem> EvictFor(const WorkItem& newcomer);

  /// Removes a request that was queued at `queued_until` or before.
  /// @return the removed request, or nothing if there is none.
  std::optional<WorkItem> PopWaitingSince(TimePoint queued_until);

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
    bool holds_suspects = false;
  };

  using FlowOrderKey = std::tuple<double, uint64_t, Flow*>;
  using FlowKey = std::pair<std::string, bool>;

  /// The requests of one importance.
  struct Lane {
    std::map<FlowKey, Flow> flows;
    /// Ordered by start tag. Index 1 holds the suspect flows.
    std::array<std::set<FlowOrderKey>, 2> ready;
    std::set<FlowOrderKey> backlog;  ///< By entries / weight.
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
  static void AddToOrderedSets(Lane& lane, Flow& flow);
  static void RemoveFromOrderedSets(Lane& lane, Flow& flow);
  const std::set<FlowOrderKey>* ReadySet(const Lane& lane,
                                         bool include_suspects) const;
  WorkItem Extract(WorkId work);
  static void EndBusyPeriodIfIdle(Lane& lane);

  std::array<Lane, kLaneCount> lanes_;
  std::unordered_map<WorkId, Position> index_;
  /// Requests by sequence number, in order of arrival. Index 1 holds the
  /// suspects.
  std::array<std::map<uint64_t, WorkId>, 2> by_arrival_;
  std::set<std::pair<TimePoint, WorkId>> deadlines_;
  uint64_t last_sequence_ = 0;
  uint64_t last_flow_id_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_FAIR_QUEUE_H_
