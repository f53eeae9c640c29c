#include "comfreylock/shedding.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr std::chrono::milliseconds kDemandWindow = 500ms;
/// Demand over the fair share by this factor still counts as fair, so that
/// chance differences between equal organisations set no step.
constexpr double kFairTolerance = 1.2;
/// Requests in a window below which chance outweighs a difference of shares.
constexpr double kSmallestDemand = 8;
/// Steps for each doubling of the demand: step 7 is reached at 4 times the
/// fair share.
constexpr double kStepsPerDoubling = 3;

}  // namespace

uint32_t ShedPriority(uint32_t importance, uint32_t step) {
  return std::min(importance, kImportanceClasses - 1) * kShedSteps +
         std::min(step, kShedSteps - 1);
}

bool LevelRefuses(uint32_t level, uint32_t priority) {
  return priority + std::min(level, kMaxShedLevel) > kMaxShedLevel;
}

void ShareMeter::Add(const std::string& organisation,
                     double weight,
                     TimePoint now) {
  if (now - start_ >= 2 * kDemandWindow) {
    last_ = {};
    current_ = {};
    start_ = now;
  } else if (now - start_ >= kDemandWindow) {
    last_ = std::exchange(current_, {});
    start_ += kDemandWindow;
  }
  auto [found, added] = current_.organisations.try_emplace(organisation);
  if (added) {
    found->second.weight = weight;
    current_.weight += weight;
  }
  ++found->second.requests;
  ++current_.requests;
}

uint32_t ShareMeter::StepOf(const std::string& organisation,
                            TimePoint now) const {
  if (now - start_ >= 2 * kDemandWindow)
    return 0;
  auto found = last_.organisations.find(organisation);
  if (found == last_.organisations.end() ||
      found->second.requests < kSmallestDemand) {
    return 0;
  }
  double fair = last_.requests / last_.weight;
  double ratio = found->second.requests / found->second.weight / fair;
  if (ratio <= kFairTolerance)
    return 0;
  double step = 1 + std::floor(kStepsPerDoubling * std::log2(ratio));
  return static_cast<uint32_t>(std::min<double>(step, kShedSteps - 1));
}

void LevelController::Observe(std::chrono::microseconds oldest_wait,
                              TimePoint now) {
  // Each window that passed without an observation counts like its end; more
  // windows than there are levels change nothing.
  window_start_ =
      std::max(window_start_, now - (kMaxShedLevel + 1) * kShedWindow);
  while (now - window_start_ >= kShedWindow) {
    smallest_ = std::min(smallest_, oldest_wait);
    if (smallest_ > kShedDelay)
      level_ = std::min(level_ + 1, kMaxShedLevel);
    else if (level_ > 0)
      --level_;
    smallest_ = std::chrono::microseconds::max();
    window_start_ += kShedWindow;
  }
  smallest_ = std::min(smallest_, oldest_wait);
}

uint32_t ShedTable::Decayed(const Learnt& learnt, TimePoint now) {
  auto steps = static_cast<uint64_t>(
      std::max<int64_t>((now - learnt.time) / kShedDecay, 0));
  return learnt.level -
         static_cast<uint32_t>(std::min<uint64_t>(steps, learnt.level));
}

void ShedTable::Learn(const NodeId& node,
                      const std::string& service,
                      const wire::AnswerReport& report,
                      TimePoint now) {
  for (const auto& shed : report.shed()) {
    if (shed.service() == service)
      targets_[node] = {std::min(shed.level(), kMaxShedLevel), now};
    else
      LearnReported(shed.service(), shed.level(), now);
  }
}

void ShedTable::LearnReported(const std::string& service,
                              uint32_t level,
                              TimePoint now) {
  reported_[service] = {std::min(level, kMaxShedLevel), now};
}

void ShedTable::Forget(const NodeId& node) {
  targets_.erase(node);
}

uint32_t ShedTable::LevelOfTarget(const NodeId& node, TimePoint now) const {
  auto found = targets_.find(node);
  return found == targets_.end() ? 0 : Decayed(found->second, now);
}

uint32_t ShedTable::ReportedLevelOf(std::string_view service,
                                    TimePoint now) const {
  auto found = reported_.find(service);
  return found == reported_.end() ? 0 : Decayed(found->second, now);
}

bool ShedTable::Refuse(std::string_view service,
                       uint32_t level,
                       uint32_t priority,
                       TimePoint now) {
  if (!LevelRefuses(level, priority))
    return false;
  auto found = probes_.find(service);
  if (found == probes_.end())
    found = probes_.emplace(std::string(service), Probe{0, now}).first;
  Probe& probe = found->second;
  if (++probe.refused < kShedProbeInterval && now - probe.last < kShedProbeTime)
    return true;
  probe = {0, now};
  return false;
}

}  // namespace comfreylock
