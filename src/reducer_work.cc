#include "comfreylock/reducer.h"

/// Decisions about requests at this host's target.
namespace comfreylock {

void Node::On(const WorkArrived& event) {
  Work work;
  work.context = event.context;
  work.retries_left = event.context.retries_left();
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
  if (work_by_request_.contains(event.context.request_id())) {
    // Onward calls are matched by request id, so ids must be unique here.
    Reject(event.work, Reason::kOverload);
    return;
  }
  WorkItem item;
  item.work = event.work;
  item.organisation = event.context.organisation();
  item.route = event.context.route();
  item.importance = event.context.importance();
  item.run_alone = event.context.suspect();
  auto rule = bundle_->organisations.find(item.organisation);
  if (rule != bundle_->organisations.end())
    item.weight = rule->second.weight;
  item.deadline = work.deadline;
  Apply(admission_->Offer(item, now_));
}

void Node::Apply(const AdmissionChanges& changes) {
  for (const auto& change : changes) {
    if (change.kind == AdmissionChange::Kind::kReject) {
      Reject(change.work, change.reason);
      continue;
    }
    auto found = works_.find(change.work);
    if (found == works_.end())
      continue;
    Work& work = found->second;
    work.started = true;
    work_by_request_[work.context.request_id()] = change.work;
    effects_.push_back(StartWork{change.work, work.deadline});
  }
}

void Node::Reject(WorkId id, Reason reason) {
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

wire::AnswerReport Node::Report(const Work& work) const {
  wire::AnswerReport report;
  report.set_request_id(work.context.request_id());
  report.set_started(work.started);
  report.set_retries_spent(work.context.retries_left() - work.retries_left);
  if (admission_) {
    report.set_in_flight(admission_->in_flight());
    report.set_queued(admission_->queued());
    report.set_limit(admission_->limit());
  }
  return report;
}

wire::AnswerReport Node::ReportFor(WorkId id) const {
  auto found = works_.find(id);
  return found == works_.end() ? wire::AnswerReport() : Report(found->second);
}

void Node::On(const WorkEnded& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  if (event.target_gone) {
    effects_.push_back(
        Log{LogCode::kTargetCrashed,
            {{"request_id", found->second.context.request_id()},
             {"organisation", found->second.context.organisation()}}});
  }
  auto downstream = DownstreamTime(found->second);
  work_by_request_.erase(found->second.context.request_id());
  works_.erase(found);
  Apply(admission_->Finish(event.work, event.result, now_, downstream));
  FinishDrain();
}

std::chrono::microseconds Node::DownstreamTime(const Work& work) const {
  auto time = work.downstream;
  if (work.onward_calls > 0)
    time += now_ - work.onward_since;
  return time;
}

void Node::On(const WorkCancelled& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  if (found->second.started) {
    effects_.push_back(AbortWork{event.work});
    return;
  }
  works_.erase(found);
  Apply(admission_->Cancel(event.work, now_));
  FinishDrain();
}

}  // namespace comfreylock
