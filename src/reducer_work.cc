#include <algorithm>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "crypto.h"

/// Decisions about requests at this host's target.
namespace comfreylock {

void NodeReducer::Handle(const WorkArrived& event) {
  Work work;
  work.context = event.context;
  work.budget = ChainBudget(event.context.retries_left());
  work.deadline =
      now_ + std::chrono::milliseconds(event.context.remaining_ms());
  works_[event.work] = work;
  if (!admission_ || event.context.service() != identity_.service) {
    Reject(event.work, Reason::kNoTarget);
    return;
  }
  if (draining_) {
    Reject(event.work, Reason::kDraining);
    return;
  }
  const std::string& fingerprint = event.context.fingerprint();
  if (quarantine_.IsQuarantined(fingerprint, now_)) {
    Reject(event.work, Reason::kQuarantined);
    return;
  }
  WorkItem item;
  item.work = event.work;
  item.organisation = event.context.organisation();
  item.route = event.context.route();
  item.importance = event.context.importance();
  item.is_suspect =
      event.context.suspect() || quarantine_.IsSuspect(fingerprint, now_);
  item.weight = WeightOf(item.organisation);
  item.deadline = work.deadline;
  Apply(admission_->Offer(item, now_));
}

void NodeReducer::Apply(const AdmissionDecisions& changes) {
  for (const auto& change : changes) {
    if (change.kind == AdmissionDecision::Kind::kReject) {
      Reject(change.work, change.reason);
      continue;
    }
    auto found = works_.find(change.work);
    if (found == works_.end())
      continue;
    Work& work = found->second;
    work.started = true;
    // Callers choose their request ids, and two of them may choose the same.
    // Unless the ids are made unique, onward calls of one request would run for
    // the organisation of the other.
    work.target_request_id = work.context.request_id();
    while (work_by_request_.contains(work.target_request_id)) {
      work.target_request_id +=
          kRequestIdSeparator + std::to_string(change.work.value);
    }
    work_by_request_[work.target_request_id] = change.work;
    effects_.push_back(
        StartWork{change.work, work.deadline, work.target_request_id});
  }
}

void NodeReducer::Reject(WorkId id, Reason reason) {
  auto found = works_.find(id);
  if (found == works_.end())
    return;
  const Work& work = found->second;
  RejectWork reject{id, Refusal{reason, Outcome::kNotRun}, Report(work)};
  reject.report.set_refusal_reason(std::string(InfoOf(reason).name));
  effects_.push_back(Log{LogCode::kWorkRejected,
                         {{"request_id", work.context.request_id()},
                          {"organisation", work.context.organisation()},
                          {"reason", std::string(InfoOf(reason).name)}}});
  effects_.push_back(std::move(reject));
  works_.erase(found);
}

wire::AnswerReport NodeReducer::Report(const Work& work) const {
  wire::AnswerReport report;
  report.set_request_id(work.context.request_id());
  report.set_started(work.started);
  report.set_retries_spent(
      work.context.retries_left() -
      std::min(work.context.retries_left(), work.budget.remaining()));
  report.set_downstream_overload(work.downstream_overload);
  if (admission_) {
    report.set_in_flight(admission_->in_flight());
    report.set_queued(admission_->queued());
    report.set_limit(admission_->limit());
    AddShedLevels(report);
  }
  return report;
}

void NodeReducer::AddShedLevels(wire::AnswerReport& report) const {
  auto add = [&report](const std::string& service, uint32_t level) {
    auto* shed = report.add_shed();
    shed->set_service(service);
    shed->set_level(level);
  };
  add(identity_.service, admission_->shed_level());
  // Visits the services that this one calls, breadth first. Levels of 0 are
  // reported too, so that a level falls as fast as it rises.
  std::vector<std::string> services = {identity_.service};
  for (size_t i = 0; i < services.size(); ++i) {
    auto rule = bundle_->services.find(services[i]);
    if (rule == bundle_->services.end())
      continue;
    for (const auto& called : rule->second.calls) {
      if (services.size() > kMaxReportedServices ||
          std::ranges::find(services, called) != services.end()) {
        continue;
      }
      services.push_back(called);
      add(called, ShedLevelOf(called));
    }
  }
}

wire::AnswerReport NodeReducer::ReportFor(WorkId id) const {
  auto found = works_.find(id);
  return found == works_.end() ? wire::AnswerReport() : Report(found->second);
}

void NodeReducer::Handle(const WorkEnded& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  Work& work = found->second;
  if (event.target_refuses_connections && !work.crash_recorded)
    RecordCrash();
  WorkResult result = event.result;
  if (result == WorkResult::kCompleted)
    quarantine_.RecordCompletion(work.context.fingerprint(), now_);
  // A 503 or 429 caused by a downstream overload does not show that this target
  // is overloaded.
  if (result == WorkResult::kTargetShed && work.downstream_overload)
    result = WorkResult::kCompleted;
  auto downstream_time = DownstreamTime(work);
  // A target that answered may intentionally leave calls running.
  bool answered =
      result == WorkResult::kCompleted || result == WorkResult::kTargetShed;
  if (!answered)
    CancelOnwardCalls(work);
  if (!work.target_request_id.empty())
    work_by_request_.erase(work.target_request_id);
  works_.erase(found);
  Apply(admission_->Finish(event.work, result, now_, downstream_time));
  FinishDrain();
}

void NodeReducer::RecordCrash() {
  std::vector<Quarantine::InFlightRequest> in_flight;
  for (auto& [id, work] : works_) {
    if (!work.started || work.crash_recorded)
      continue;
    work.crash_recorded = true;
    effects_.push_back(Log{LogCode::kTargetCrashed,
                           {{"request_id", work.context.request_id()},
                            {"organisation", work.context.organisation()}}});
    if (!work.context.fingerprint().empty()) {
      in_flight.push_back({work.context.fingerprint(), work.context.suspect()});
    }
  }
  for (const auto& fingerprint : quarantine_.RecordCrash(in_flight, now_)) {
    effects_.push_back(Log{LogCode::kRequestQuarantined,
                           {{"fingerprint", ToHex(fingerprint)}}});
  }
  PushQuarantine(identity_.node);
}

void NodeReducer::CancelOnwardCalls(const Work& work) {
  for (CallId id : work.onward_calls) {
    auto call = calls_.find(id);
    if (call != calls_.end())
      Abandon(call->second);
  }
}

std::chrono::microseconds NodeReducer::DownstreamTime(const Work& work) const {
  auto time = work.downstream_time;
  if (!work.onward_calls.empty())
    time += now_ - work.onward_started_at;
  return time;
}

void NodeReducer::Handle(const WorkCancelled& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  if (found->second.started) {
    CancelOnwardCalls(found->second);
    effects_.push_back(AbortWork{event.work});
    return;
  }
  works_.erase(found);
  Apply(admission_->Cancel(event.work, now_));
  FinishDrain();
}

}  // namespace comfreylock
