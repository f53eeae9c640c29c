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

/// The queue of admission: by importance, then start-time fair queueing over
/// organisations. Every operation takes O(log n) in entries and organisations.
namespace comfreylock {

/// A request offered to admission.
struct WorkItem {
  WorkId work;
  std::string organisation;
  std::string route;  ///< Expected service times are kept for each route.
  uint32_t importance = 0;
  double weight = 1;
  TimePoint deadline;
  bool run_alone = false;  ///< Suspected of crashing targets.
};

/// Waiting requests.
class FairQueue {
 public:
  /// Importances that are told apart; greater ones count as the last.
  static constexpr uint32_t kLanes = 12;

  /// @param item request that is not in the queue yet.
  void Push(const WorkItem& item, TimePoint now);

  /// Takes the most important request; within one importance, the one whose
  /// organisation has the smallest start tag.
  /// @param suspects whether requests that must run alone may be taken.
  std::optional<WorkItem> Pop(bool suspects);

  /// @return whether `Pop` would return a request.
  bool HasReady(bool suspects) const;

  /// @return whether `work` was queued.
  bool Remove(WorkId work);

  /// Makes room for `newcomer` by removing the least important, most
  /// over-share entry.
  /// @return the removed request, or nothing if the newcomer ranks lowest.
  std::optional<WorkItem> EvictFor(const WorkItem& newcomer);

  /// @return a removed request that has waited since `oldest` or before.
  std::optional<WorkItem> PopWaitingSince(TimePoint oldest);

  /// @return a removed request whose deadline is at `now` or before.
  std::optional<WorkItem> PopPastDeadline(TimePoint now);

  /// @return how long the oldest request has waited that need not run alone;
  ///     0 if there is none.
  std::chrono::microseconds OldestWait(TimePoint now) const;

  size_t size() const { return index_.size(); }

 private:
  struct Entry {
    WorkItem item;
    TimePoint since;
    uint64_t sequence = 0;
  };

  /// The requests of one organisation in one importance. Tags advance only for
  /// requests that are taken, so that refused ones do not use up the share.
  struct Flow {
    std::list<Entry> entries;
    double weight = 1;
    double start = 0;
    double finish = 0;
    uint64_t id = 0;
    bool suspect = false;
  };

  using FlowRank = std::tuple<double, uint64_t, Flow*>;
  using FlowKey = std::pair<std::string, bool>;

  /// The requests of one importance.
  struct Lane {
    std::map<FlowKey, Flow> flows;
    std::array<std::set<FlowRank>, 2> ready;  ///< By start tag; [suspect].
    std::set<FlowRank> backlog;               ///< By entries over weight.
    double virtual_time = 0;
    double last_finish = 0;
  };

  struct Place {
    uint32_t lane = 0;
    Flow* flow = nullptr;
    std::list<Entry>::iterator entry;
  };

  static FlowRank ByStart(Flow& flow) { return {flow.start, flow.id, &flow}; }
  static FlowRank ByBacklog(Flow& flow);
  static void Link(Lane& lane, Flow& flow);
  static void Unlink(Lane& lane, Flow& flow);
  const std::set<FlowRank>* ReadySet(const Lane& lane, bool suspects) const;
  WorkItem Extract(WorkId work);
  static void EndBusyPeriod(Lane& lane);

  std::array<Lane, kLanes> lanes_;
  std::unordered_map<WorkId, Place> index_;
  /// Requests by age; [suspect].
  std::array<std::map<uint64_t, WorkId>, 2> ages_;
  std::set<std::pair<TimePoint, WorkId>> deadlines_;
  uint64_t last_sequence_ = 0;
  uint64_t last_flow_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_FAIR_QUEUE_H_
