#include "comfreylock/admission.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

#include "comfreylock/concurrency_limit.h"
#include "comfreylock/shedding.h"
#include "service_time.h"

namespace comfreylock {
namespace {

void Refuse(AdmissionDecisions& decisions, WorkId work, Reason reason) {
  decisions.push_back({work, AdmissionDecision::Kind::kReject, reason});
}

void Start(AdmissionDecisions& decisions, WorkId work) {
  decisions.push_back({work, AdmissionDecision::Kind::kStart, Reason::kNone});
}

/// Admission with an adaptive concurrency limit, a fair queue and a shed level.
class AdaptiveAdmission : public Admission {
 public:
  AdaptiveAdmission(const ServiceRule& rule, TimePoint now)
      : rule_(rule),
        concurrency_limit_(rule.slots, rule.ramp, now),
        limit_(concurrency_limit_.Value(now)),
        demand_(now),
        level_controller_(now) {}

  void Configure(const ServiceRule& rule) override {
    rule_ = rule;
    concurrency_limit_.Configure(rule.slots, rule.ramp);
    limit_ = std::min(limit_, rule.slots);
  }

  AdmissionDecisions Offer(const WorkItem& item, TimePoint now) override;
  AdmissionDecisions Finish(WorkId work,
                            WorkResult result,
                            TimePoint now,
                            std::chrono::microseconds downstream_time) override;
  AdmissionDecisions Cancel(WorkId work, TimePoint now) override;
  AdmissionDecisions Advance(TimePoint now) override;

  uint32_t in_flight() const override {
    return static_cast<uint32_t>(running_.size());
  }
  uint32_t queued() const override {
    return static_cast<uint32_t>(queue_.size());
  }
  uint32_t limit() const override { return limit_; }
  uint32_t shed_level() const override { return level_controller_.level(); }

 private:
  struct Running {
    std::string route;
    TimePoint started_at;
    bool is_suspect = false;
  };

  /// @return the reason to refuse `item` at once, or `kNone`.
  Reason ImmediateRefusal(const WorkItem& item, TimePoint now) const;
  bool CanStartNow(const WorkItem& item) const;
  bool MeetsDeadline(const WorkItem& item, TimePoint now) const;
  void Enqueue(const WorkItem& item,
               TimePoint now,
               AdmissionDecisions& decisions);
  void StartQueued(TimePoint now, AdmissionDecisions& decisions);
  void RefuseOverdue(TimePoint now, AdmissionDecisions& decisions);
  void RecordResult(const Running& running,
                    WorkResult result,
                    TimePoint now,
                    std::chrono::microseconds downstream_time);
  AdmissionDecisions Reevaluate(TimePoint now, AdmissionDecisions decisions);

  ServiceRule rule_;
  ConcurrencyLimit concurrency_limit_;
  uint32_t limit_;
  ServiceTime service_time_;
  DemandMeter demand_;
  LevelController level_controller_;
  FairQueue queue_;
  std::unordered_map<WorkId, Running> running_;
  uint32_t running_suspects_ = 0;
};

AdmissionDecisions AdaptiveAdmission::Offer(const WorkItem& item,
                                            TimePoint now) {
  AdmissionDecisions decisions;
  RefuseOverdue(now, decisions);
  StartQueued(now, decisions);
  demand_.Add(item.organisation, item.weight, now);
  Reason reason = ImmediateRefusal(item, now);
  if (reason == Reason::kNone)
    Enqueue(item, now, decisions);
  else
    Refuse(decisions, item.work, reason);
  return Reevaluate(now, std::move(decisions));
}

Reason AdaptiveAdmission::ImmediateRefusal(const WorkItem& item,
                                           TimePoint now) const {
  if (!MeetsDeadline(item, now))
    return Reason::kDeadline;
  if (CanStartNow(item))
    return Reason::kNone;
  // The level applies only to requests that would wait. Otherwise free slots
  // would stay unused.
  uint32_t step = demand_.ShedStepOf(item.organisation, now);
  bool refused = LevelRefuses(level_controller_.level(),
                              ShedPriority(item.importance, step));
  return refused ? Reason::kOverload : Reason::kNone;
}

bool AdaptiveAdmission::CanStartNow(const WorkItem& item) const {
  return running_.size() < limit_ && !queue_.HasReady(running_suspects_ == 0) &&
         !(item.is_suspect && running_suspects_ > 0);
}

bool AdaptiveAdmission::MeetsDeadline(const WorkItem& item,
                                      TimePoint now) const {
  return now + service_time_.Expected(item.route, now) < item.deadline;
}

void AdaptiveAdmission::Enqueue(const WorkItem& item,
                                TimePoint now,
                                AdmissionDecisions& decisions) {
  if (queue_.size() >= rule_.queue && !CanStartNow(item)) {
    auto evicted = queue_.EvictFor(item);
    if (!evicted) {
      Refuse(decisions, item.work, Reason::kOverload);
      return;
    }
    Refuse(decisions, evicted->work, Reason::kOverload);
  }
  queue_.Push(item, now);
}

AdmissionDecisions AdaptiveAdmission::Finish(
    WorkId work,
    WorkResult result,
    TimePoint now,
    std::chrono::microseconds downstream_time) {
  auto found = running_.find(work);
  if (found != running_.end()) {
    RecordResult(found->second, result, now, downstream_time);
    if (found->second.is_suspect)
      --running_suspects_;
    running_.erase(found);
  }
  return Reevaluate(now, {});
}

void AdaptiveAdmission::RecordResult(
    const Running& running,
    WorkResult result,
    TimePoint now,
    std::chrono::microseconds downstream_time) {
  auto latency = now - running.started_at;
  bool ran =
      result == WorkResult::kCompleted || result == WorkResult::kTimedOut;
  bool shed = result == WorkResult::kTargetShed;
  if (ran)
    service_time_.Record(running.route, latency, now);
  if (ran || shed) {
    auto own_latency =
        std::max(latency - downstream_time, std::chrono::microseconds(0));
    concurrency_limit_.Record(own_latency, shed, in_flight(), now);
  }
}

AdmissionDecisions AdaptiveAdmission::Cancel(WorkId work, TimePoint now) {
  queue_.Remove(work);
  return Reevaluate(now, {});
}

AdmissionDecisions AdaptiveAdmission::Advance(TimePoint now) {
  return Reevaluate(now, {});
}

AdmissionDecisions AdaptiveAdmission::Reevaluate(TimePoint now,
                                                 AdmissionDecisions decisions) {
  limit_ = concurrency_limit_.Value(now);
  RefuseOverdue(now, decisions);
  StartQueued(now, decisions);
  level_controller_.Observe(queue_.OldestWait(now), now);
  return decisions;
}

void AdaptiveAdmission::StartQueued(TimePoint now,
                                    AdmissionDecisions& decisions) {
  while (running_.size() < limit_) {
    auto item = queue_.Pop(running_suspects_ == 0);
    if (!item)
      return;
    if (!MeetsDeadline(*item, now)) {
      Refuse(decisions, item->work, Reason::kDeadline);
      continue;
    }
    if (item->is_suspect)
      ++running_suspects_;
    running_[item->work] = {item->route, now, item->is_suspect};
    Start(decisions, item->work);
  }
}

void AdaptiveAdmission::RefuseOverdue(TimePoint now,
                                      AdmissionDecisions& decisions) {
  while (auto item = queue_.PopPastDeadline(now))
    Refuse(decisions, item->work, Reason::kDeadline);
  while (auto item = queue_.PopWaitingSince(now - rule_.queue_delay))
    Refuse(decisions, item->work, Reason::kOverload);
}

/// Baseline for measurements: fixed limit, first-in-first-out queue, no bound
/// on the queueing delay.
class FixedAdmission : public Admission {
 public:
  explicit FixedAdmission(const ServiceRule& rule) : rule_(rule) {}

  void Configure(const ServiceRule& rule) override { rule_ = rule; }

  AdmissionDecisions Offer(const WorkItem& item, TimePoint /*now*/) override {
    AdmissionDecisions decisions;
    if (running_ < rule_.slots)
      StartOne(item.work, decisions);
    else if (queue_.size() < rule_.queue)
      queue_.push_back(item.work);
    else
      Refuse(decisions, item.work, Reason::kOverload);
    return decisions;
  }

  AdmissionDecisions Finish(
      WorkId /*work*/,
      WorkResult /*result*/,
      TimePoint /*now*/,
      std::chrono::microseconds /*downstream_time*/) override {
    AdmissionDecisions decisions;
    if (running_ > 0)
      --running_;
    while (running_ < rule_.slots && !queue_.empty()) {
      StartOne(queue_.front(), decisions);
      queue_.pop_front();
    }
    return decisions;
  }

  AdmissionDecisions Cancel(WorkId work, TimePoint /*now*/) override {
    std::erase(queue_, work);
    return {};
  }

  AdmissionDecisions Advance(TimePoint /*now*/) override { return {}; }

  uint32_t in_flight() const override { return running_; }
  uint32_t queued() const override {
    return static_cast<uint32_t>(queue_.size());
  }
  uint32_t limit() const override { return rule_.slots; }
  uint32_t shed_level() const override { return 0; }

 private:
  void StartOne(WorkId work, AdmissionDecisions& decisions) {
    ++running_;
    Start(decisions, work);
  }

  ServiceRule rule_;
  uint32_t running_ = 0;
  std::deque<WorkId> queue_;
};

}  // namespace

std::unique_ptr<Admission> MakeAdmission(Policy policy,
                                         const ServiceRule& rule,
                                         TimePoint now) {
  if (policy == Policy::kNaive)
    return std::make_unique<FixedAdmission>(rule);
  return std::make_unique<AdaptiveAdmission>(rule, now);
}

}  // namespace comfreylock
