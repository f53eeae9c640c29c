#include "comfreylock/shedding.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr std::chrono::milliseconds kDemandWindow = 500ms;
/// Ratio of demand to fair share up to which the step is 0, so that random
/// differences between equal organisations have no effect.
constexpr double kMaxFairDemandRatio = 1.2;
/// An organisation with fewer requests in a window gets step 0, since random
/// variation outweighs a difference in demand.
constexpr double kMinRequestsForStep = 8;
/// Steps for each doubling of the demand, so that step 7 is reached at 4 times
/// the fair share.
constexpr double kStepsPerDoubling = 3;

}  // namespace

uint32_t ShedPriority(uint32_t importance, uint32_t step) {
  return std::min(importance, kImportanceClassCount - 1) *
             kShedStepsPerImportance +
         std::min(step, kShedStepsPerImportance - 1);
}

bool LevelRefuses(uint32_t level, uint32_t priority) {
  return priority + std::min(level, kMaxShedLevel) > kMaxShedLevel;
}

void DemandMeter::Add(const std::string& organisation,
                      double weight,
                      TimePoint now) {
  if (now - current_start_ >= 2 * kDemandWindow) {
    previous_ = {};
    current_ = {};
    current_start_ = now;
  } else if (now - current_start_ >= kDemandWindow) {
    previous_ = std::exchange(current_, {});
    current_start_ += kDemandWindow;
  }
  auto [found, added] = current_.organisations.try_emplace(organisation);
  if (added) {
    found->second.weight = weight;
    current_.weight += weight;
  }
  ++found->second.requests;
  ++current_.requests;
}

uint32_t DemandMeter::ShedStepOf(const std::string& organisation,
                                 TimePoint now) const {
  if (now - current_start_ >= 2 * kDemandWindow)
    return 0;
  auto found = previous_.organisations.find(organisation);
  if (found == previous_.organisations.end() ||
      found->second.requests < kMinRequestsForStep) {
    return 0;
  }
  double fair_demand = previous_.requests / previous_.weight;
  double ratio = found->second.requests / found->second.weight / fair_demand;
  if (ratio <= kMaxFairDemandRatio)
    return 0;
  double step = 1 + std::floor(kStepsPerDoubling * std::log2(ratio));
  return static_cast<uint32_t>(
      std::min<double>(step, kShedStepsPerImportance - 1));
}

void LevelController::Observe(std::chrono::microseconds oldest_wait,
                              TimePoint now) {
  // A window without an observation uses the current one. After more windows
  // than there are levels the level no longer changes, so earlier windows are
  // skipped.
  window_start_ =
      std::max(window_start_, now - (kMaxShedLevel + 1) * kShedWindow);
  while (now - window_start_ >= kShedWindow) {
    min_wait_ = std::min(min_wait_, oldest_wait);
    if (min_wait_ > kShedQueueDelay)
      level_ = std::min(level_ + 1, kMaxShedLevel);
    else if (level_ > 0)
      --level_;
    min_wait_ = std::chrono::microseconds::max();
    window_start_ += kShedWindow;
  }
  min_wait_ = std::min(min_wait_, oldest_wait);
}

uint32_t ShedLevelTable::DecayedLevel(const ReportedLevel& reported,
                                      TimePoint now) {
  auto steps = static_cast<uint64_t>(std::max<int64_t>(
      (now - reported.reported_at) / kShedLevelDecayInterval, 0));
  return reported.level -
         static_cast<uint32_t>(std::min<uint64_t>(steps, reported.level));
}

void ShedLevelTable::Update(const NodeId& node,
                            const std::string& service,
                            const wire::AnswerReport& report,
                            TimePoint now) {
  for (const auto& shed : report.shed()) {
    if (shed.service() == service)
      target_levels_[node] = {std::min(shed.level(), kMaxShedLevel), now};
    else
      UpdateServiceLevel(shed.service(), shed.level(), now);
  }
}

void ShedLevelTable::UpdateServiceLevel(const std::string& service,
                                        uint32_t level,
                                        TimePoint now) {
  service_levels_[service] = {std::min(level, kMaxShedLevel), now};
}

void ShedLevelTable::Remove(const NodeId& node) {
  target_levels_.erase(node);
}

uint32_t ShedLevelTable::LevelOfTarget(const NodeId& node,
                                       TimePoint now) const {
  auto found = target_levels_.find(node);
  return found == target_levels_.end() ? 0 : DecayedLevel(found->second, now);
}

uint32_t ShedLevelTable::ReportedLevelOf(std::string_view service,
                                         TimePoint now) const {
  auto found = service_levels_.find(service);
  return found == service_levels_.end() ? 0 : DecayedLevel(found->second, now);
}

bool ShedLevelTable::ShouldRefuse(std::string_view service,
                                  uint32_t level,
                                  uint32_t priority,
                                  TimePoint now) {
  if (!LevelRefuses(level, priority))
    return false;
  auto found = probes_.find(service);
  if (found == probes_.end())
    found = probes_.emplace(std::string(service), ProbeState{0, now}).first;
  ProbeState& probe = found->second;
  if (++probe.refused_since_probe < kRefusalsPerShedProbe &&
      now - probe.last_probe_at < kMaxShedProbeInterval)
    return true;
  probe = {0, now};
  return false;
}

}  // namespace comfreylock
