#include "observer.h"

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

std::string_view NameOf(AttemptResult kind) {
  switch (kind) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kMismatchedAnswer:
      return "crossed";
  }
  return "unknown";
}

std::string_view NameOf(WorkResult result) {
  switch (result) {
    case WorkResult::kCompleted:
      return "completed";
    case WorkResult::kTargetShed:
      return "target_shed";
    case WorkResult::kNotConnected:
      return "not_connected";
    case WorkResult::kBroken:
      return "broken";
    case WorkResult::kBadAnswer:
      return "bad_answer";
    case WorkResult::kTimedOut:
      return "timed_out";
    case WorkResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

Observer::Observer() : decisions_(kMaxRecordedDecisions) {}

void Observer::Observe(const Event& event,
                       const Effects& effects,
                       const NodeReducer& node) {
  DecisionContext decision_context{event.wall_time, node};
  if (const auto* call = std::get_if<CallArrived>(&event.body))
    Handle(*call, event);
  else if (const auto* attempt = std::get_if<AttemptEnded>(&event.body))
    Handle(*attempt, decision_context);
  else if (const auto* work = std::get_if<WorkArrived>(&event.body))
    Handle(*work);
  else if (const auto* ended = std::get_if<WorkEnded>(&event.body))
    Handle(*ended, decision_context);
  for (const auto& effect : effects)
    HandleEffect(effect, decision_context);
  if (const auto* finished = std::get_if<CallFinished>(&event.body))
    Handle(*finished, event);
}

void Observer::Handle(const CallArrived& event, const Event& full_event) {
  CallInfo& call = calls_[event.call];
  call.request_id = event.request.request_id;
  call.arrived_at = full_event.time;
}

void Observer::Handle(const AttemptEnded& event,
                      const DecisionContext& decision_context) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  RecordDecision(
      decision_context, found->second.request_id, "attempt_ended",
      {{"attempt", std::to_string(event.attempt)},
       {"result", std::string(NameOf(event.kind))},
       {"status", std::to_string(event.status)},
       {"target_in_flight", std::to_string(event.report.in_flight())},
       {"target_queued", std::to_string(event.report.queued())},
       {"target_limit", std::to_string(event.report.limit())}});
}

void Observer::Handle(const CallFinished& event, const Event& full_event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  const CallInfo& call = found->second;
  if (!call.refused && event.complete) {
    metrics_.RecordCall(call.organisation, call.importance,
                        full_event.time - call.arrived_at);
  }
  calls_.erase(found);
}

void Observer::Handle(const WorkArrived& event) {
  request_ids_by_work_[event.work] = event.context.request_id();
}

void Observer::Handle(const WorkEnded& event,
                      const DecisionContext& decision_context) {
  auto found = request_ids_by_work_.find(event.work);
  if (found == request_ids_by_work_.end())
    return;
  RecordDecision(decision_context, found->second, "work_ended",
                 {{"result", std::string(NameOf(event.result))}});
  request_ids_by_work_.erase(found);
}

void Observer::HandleEffect(const Effect& effect,
                            const DecisionContext& decision_context) {
  if (const auto* dispatch = std::get_if<Dispatch>(&effect)) {
    auto found = calls_.find(dispatch->call);
    if (found == calls_.end())
      return;
    found->second.organisation = dispatch->context.organisation();
    found->second.importance = dispatch->context.importance();
    RecordDecision(
        decision_context, found->second.request_id, "dispatched",
        {{"attempt", std::to_string(dispatch->attempt)},
         {"to", dispatch->node},
         {"route", dispatch->context.route()},
         {"organisation", dispatch->context.organisation()},
         {"importance", std::to_string(dispatch->context.importance())},
         {"retries_left", std::to_string(dispatch->context.retries_left())},
         {"delay_ms", std::to_string(dispatch->delay.count())},
         {"bundle", std::to_string(dispatch->context.bundle_version())}});
  } else if (const auto* refuse = std::get_if<RefuseCall>(&effect)) {
    auto found = calls_.find(refuse->call);
    if (found == calls_.end())
      return;
    found->second.refused = true;
    metrics_.RecordRefusal(found->second.organisation, refuse->refusal.reason);
    RecordDecision(
        decision_context, found->second.request_id, "refused",
        {{"reason", std::string(InfoOf(refuse->refusal.reason).name)},
         {"outcome", std::string(OutcomeName(refuse->refusal.outcome))}});
  } else if (const auto* deliver = std::get_if<DeliverAnswer>(&effect)) {
    auto found = calls_.find(deliver->call);
    if (found != calls_.end()) {
      RecordDecision(decision_context, found->second.request_id, "delivered",
                     {{"attempt", std::to_string(deliver->attempt)}});
    }
  } else if (const auto* start = std::get_if<StartWork>(&effect)) {
    auto found = request_ids_by_work_.find(start->work);
    if (found != request_ids_by_work_.end())
      RecordDecision(decision_context, found->second, "work_started", {});
  } else if (const auto* reject = std::get_if<RejectWork>(&effect)) {
    auto found = request_ids_by_work_.find(reject->work);
    if (found == request_ids_by_work_.end())
      return;
    RecordDecision(
        decision_context, found->second, "work_rejected",
        {{"reason", std::string(InfoOf(reject->refusal.reason).name)}});
    request_ids_by_work_.erase(found);
  }
}

void Observer::RecordDecision(const DecisionContext& decision_context,
                              const std::string& request_id,
                              std::string_view decision,
                              Figures figures) {
  NodeStatus status = decision_context.node.status();
  figures.emplace_back("in_flight", std::to_string(status.in_flight));
  figures.emplace_back("queued", std::to_string(status.queued));
  figures.emplace_back("limit", std::to_string(status.limit));
  figures.emplace_back("shed_level", std::to_string(status.shed_level));
  decisions_.Add(
      {decision_context.time, request_id, decision, std::move(figures)});
}

}  // namespace comfreylock
