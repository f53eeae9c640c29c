#ifndef COMFREYLOCK_OBSERVER_H_
#define COMFREYLOCK_OBSERVER_H_

#include <string>
#include <unordered_map>

#include "comfreylock/reducer.h"
#include "decision_log.h"
#include "metrics.h"

/// Watches events and effects of a node and keeps metrics and decisions.
namespace comfreylock {

class Observer {
 public:
  Observer();

  /// @param node after it has taken `event`.
  void Observe(const Event& event,
               const Effects& effects,
               const NodeReducer& node);

  const DecisionLog& decisions() const { return decisions_; }
  const Metrics& metrics() const { return metrics_; }

 private:
  struct Call {
    std::string request_id;
    std::string organisation;
    uint32_t importance = 0;
    TimePoint arrived;
    bool refused = false;
  };

  /// What one decision is about.
  struct Moment {
    WallTime time;
    const NodeReducer& node;
  };

  using Figures = std::vector<std::pair<std::string_view, std::string>>;

  void See(const CallArrived& event, const Event& whole);
  void See(const AttemptEnded& event, const Moment& moment);
  void See(const CallFinished& event, const Event& whole);
  void See(const WorkArrived& event);
  void See(const WorkEnded& event, const Moment& moment);
  void SeeEffect(const Effect& effect, const Moment& moment);
  void Decide(const Moment& moment,
              const std::string& request_id,
              std::string_view decision,
              Figures figures);

  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<WorkId, std::string> works_;
  DecisionLog decisions_;
  Metrics metrics_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_OBSERVER_H_
