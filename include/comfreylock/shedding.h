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

/// Shed levels: measured beside the target, learnt and applied at the entry.
///
/// A shed priority from 0 (kept longest) to 31 is importance x 8 + a step from
/// 0 to 7 for how far the organisation is above its fair share. A level L from
/// 0 to 31 refuses the priorities from 32 - L up.
namespace comfreylock {

/// @return the shed priority, 0 to 31.
uint32_t ShedPriority(uint32_t importance, uint32_t step);

/// @return whether `level` refuses `priority`.
bool LevelRefuses(uint32_t level, uint32_t priority);

/// Compares each organisation's demand with its fair share, over the last
/// whole window. Every operation takes O(1).
class ShareMeter {
 public:
  explicit ShareMeter(TimePoint now) : start_(now) {}

  /// Counts one request.
  void Add(const std::string& organisation, double weight, TimePoint now);

  /// @return 0 at or below the fair share, up to 7 far above it.
  uint32_t StepOf(const std::string& organisation, TimePoint now) const;

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
  Window last_;
  TimePoint start_;
};

/// Raises and lowers the shed level of one target by its queueing delay.
class LevelController {
 public:
  explicit LevelController(TimePoint now) : window_start_(now) {}

  /// @param oldest_wait how long the oldest request has waited.
  void Observe(std::chrono::microseconds oldest_wait, TimePoint now);

  uint32_t level() const { return level_; }

 private:
  TimePoint window_start_;
  std::chrono::microseconds smallest_ = std::chrono::microseconds::max();
  uint32_t level_ = 0;
};

/// What the services shed, as learnt from answers.
class ShedTable {
 public:
  /// Learns from an answer of `node`, a target of `service`. Levels of other
  /// services in the report are kept for these services.
  void Learn(const NodeId& node,
             const std::string& service,
             const wire::AnswerReport& report,
             TimePoint now);

  /// Forgets a target that left.
  void Forget(const NodeId& node);

  /// @return the last level of a target; 0 without news.
  uint32_t LevelOfTarget(const NodeId& node, TimePoint now) const;

  /// @return the level of `service` as reported by other services' targets.
  uint32_t ReportedLevelOf(std::string_view service, TimePoint now) const;

  /// Decides about a call at its entry.
  /// @param level level of the service: the smallest over the targets that the
  ///     router may choose, or the reported one of a service further down.
  /// @return whether to refuse. One call in `kShedProbeInterval` is let
  ///     through, and one each `kShedProbeTime`, so that services with few
  ///     calls also learn when the level has fallen.
  bool Refuse(std::string_view service,
              uint32_t level,
              uint32_t priority,
              TimePoint now);

 private:
  struct Learnt {
    uint32_t level = 0;
    TimePoint time;
  };

  struct Probe {
    uint32_t refused = 0;
    TimePoint last;
  };

  static uint32_t Decayed(const Learnt& learnt, TimePoint now);
  void LearnReported(const std::string& service, uint32_t level, TimePoint now);

  std::unordered_map<NodeId, Learnt> targets_;
  std::map<std::string, Learnt, std::less<>> reported_;
  std::map<std::string, Probe, std::less<>> probes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_SHEDDING_H_
