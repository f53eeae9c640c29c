#ifndef COMFREYLOCK_OBSERVER_H_
#define COMFREYLOCK_OBSERVER_H_

#include <string>
#include <unordered_map>

#include "comfreylock/reducer.h"
#include "decision_log.h"
#include "metrics.h"

/// Records metrics and decisions from the events and effects of a node.
namespace comfreylock {

class Observer {
 public:
  Observer();

  /// @param node the reducer after it has handled `event`.
  void Observe(const Event& event,
               const Effects& effects,
               const NodeReducer& node);

  const DecisionLog& decisions() const { return decisions_; }
  const Metrics& metrics() const { return metrics_; }

 private:
  struct CallInfo {
    std::string request_id;
    std::string organisation;
    uint32_t importance = 0;
    TimePoint arrived_at;
    bool refused = false;
  };

  /// When a decision was made, and the node whose load is recorded with it.
  struct DecisionContext {
    WallTime time;
    const NodeReducer& node;
  };

  using Figures = std::vector<std::pair<std::string_view, std::string>>;

  void Handle(const CallArrived& event, const Event& full_event);
  void Handle(const AttemptEnded& event,
              const DecisionContext& decision_context);
  void Handle(const CallFinished& event, const Event& full_event);
  void Handle(const WorkArrived& event);
  void Handle(const WorkEnded& event, const DecisionContext& decision_context);
  void HandleEffect(const Effect& effect,
                    const DecisionContext& decision_context);
  void RecordDecision(const DecisionContext& decision_context,
                      const std::string& request_id,
                      std::string_view decision,
                      Figures figures);

  std::unordered_map<CallId, CallInfo> calls_;
  std::unordered_map<WorkId, std::string> request_ids_by_work_;
  DecisionLog decisions_;
  Metrics metrics_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_OBSERVER_H_
