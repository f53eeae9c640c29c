#ifndef COMFREYLOCK_SHEDDING_H_
#define COMFREYLOCK_SHEDDING_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreylock/bundle.h"
#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Shed levels are computed at the node beside the target, reported with
/// answers, and applied at the target's node and at the entry nodes.
///
/// A request's shed priority is importance x 8 + step, 0 (shed last) to 31. The
/// step, 0 to 7, grows with the organisation's demand above its fair share. A
/// level L from 0 to 31 refuses the priorities from 32 - L up.
namespace comfreylock {

/// @return the shed priority, 0 to 31.
uint32_t ShedPriority(uint32_t importance, uint32_t step);

bool LevelRefuses(uint32_t level, uint32_t priority);

/// Compares each organisation's demand with its fair share, over the last
/// completed window. Every operation takes O(1).
class DemandMeter {
 public:
  explicit DemandMeter(TimePoint now) : current_start_(now) {}

  /// Counts one request.
  void Add(const std::string& organisation, double weight, TimePoint now);

  /// @return the step of the shed priority: 0 at or below the fair share, up to
  ///     7 for 4 times the fair share or more.
  uint32_t ShedStepOf(const std::string& organisation, TimePoint now) const;

 private:
  struct Demand {
    double requests = 0;
    double weight = 1;
  };

  struct Window {
    std::unordered_map<std::string, Demand> organisations;
    double requests = 0;
    double weight = 0;
  };

  Window current_;
  Window previous_;
  TimePoint current_start_;
};

/// Adjusts the shed level of one target to its queueing delay. The level rises
/// by one after a window in which the delay stayed above `kShedQueueDelay`, and
/// falls by one after any other window.
class LevelController {
 public:
  explicit LevelController(TimePoint now) : window_start_(now) {}

  /// @param oldest_wait how long the oldest request has waited.
  void Observe(std::chrono::microseconds oldest_wait, TimePoint now);

  uint32_t level() const { return level_; }

 private:
  TimePoint window_start_;
  std::chrono::microseconds min_wait_ = std::chrono::microseconds::max();
  uint32_t level_ = 0;
};

/// Shed levels of targets and services, from the reports in answers.
class ShedLevelTable {
 public:
  /// Records the levels that `node`, a target of `service`, reported: the one
  /// of `service` for this target, each other one for its service.
  void Update(const NodeId& node,
              const std::string& service,
              const wire::AnswerReport& report,
              TimePoint now);

  /// Removes a target that left.
  void Remove(const NodeId& node);

  /// @return the last reported level of a target, one lower for each
  ///     `kShedLevelDecayInterval` since the report; 0 without a report.
  uint32_t LevelOfTarget(const NodeId& node, TimePoint now) const;

  /// @return the level of `service` that other services' targets reported, with
  ///     the same decay.
  uint32_t ReportedLevelOf(std::string_view service, TimePoint now) const;

  /// Decides whether to refuse a call at its entry node.
  /// @param level level of the service: the smallest over the targets that the
  ///     router may choose, or the reported one of a downstream service.
  /// @return whether to refuse. Of the calls that the level refuses, one in
  ///     `kRefusalsPerShedProbe` is admitted as a probe. A call is also
  ///     admitted once `kMaxShedProbeInterval` has passed since the last probe,
  ///     so that a lower level is noticed for services with few calls.
  bool ShouldRefuse(std::string_view service,
                    uint32_t level,
                    uint32_t priority,
                    TimePoint now);

 private:
  struct ReportedLevel {
    uint32_t level = 0;
    TimePoint reported_at;
  };

  struct ProbeState {
    uint32_t refused_since_probe = 0;
    TimePoint last_probe_at;
  };

  static uint32_t DecayedLevel(const ReportedLevel& reported, TimePoint now);
  void UpdateServiceLevel(const std::string& service,
                          uint32_t level,
                          TimePoint now);

  std::unordered_map<NodeId, ReportedLevel> target_levels_;
  std::map<std::string, ReportedLevel, std::less<>> service_levels_;
  std::map<std::string, ProbeState, std::less<>> probes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_SHEDDING_H_
