#include "observer.h"

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

std::string_view NameOf(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kAnswered:
      return "answered";
    case AttemptKind::kRefused:
      return "refused";
    case AttemptKind::kNotSent:
      return "not_sent";
    case AttemptKind::kBroken:
      return "broken";
    case AttemptKind::kTimedOut:
      return "timed_out";
    case AttemptKind::kMismatchedAnswer:
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
  Moment moment{event.wall_time, node};
  if (const auto* call = std::get_if<CallArrived>(&event.body))
    See(*call, event);
  else if (const auto* attempt = std::get_if<AttemptEnded>(&event.body))
    See(*attempt, moment);
  else if (const auto* work = std::get_if<WorkArrived>(&event.body))
    See(*work);
  else if (const auto* ended = std::get_if<WorkEnded>(&event.body))
    See(*ended, moment);
  for (const auto& effect : effects)
    SeeEffect(effect, moment);
  if (const auto* finished = std::get_if<CallFinished>(&event.body))
    See(*finished, event);
}

void Observer::See(const CallArrived& event, const Event& whole) {
  Call& call = calls_[event.call];
  call.request_id = event.request.request_id;
  call.arrived = whole.time;
}

void Observer::See(const AttemptEnded& event, const Moment& moment) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  Decide(moment, found->second.request_id, "attempt_ended",
         {{"attempt", std::to_string(event.attempt)},
          {"result", std::string(NameOf(event.kind))},
          {"status", std::to_string(event.status)},
          {"target_in_flight", std::to_string(event.report.in_flight())},
          {"target_queued", std::to_string(event.report.queued())},
          {"target_limit", std::to_string(event.report.limit())}});
}

void Observer::See(const CallFinished& event, const Event& whole) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  const Call& call = found->second;
  if (!call.refused && event.complete) {
    metrics_.RecordCall(call.organisation, call.importance,
                        whole.time - call.arrived);
  }
  calls_.erase(found);
}

void Observer::See(const WorkArrived& event) {
  works_[event.work] = event.context.request_id();
}

void Observer::See(const WorkEnded& event, const Moment& moment) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  Decide(moment, found->second, "work_ended",
         {{"result", std::string(NameOf(event.result))}});
  works_.erase(found);
}

void Observer::SeeEffect(const Effect& effect, const Moment& moment) {
  if (const auto* dispatch = std::get_if<Dispatch>(&effect)) {
    auto found = calls_.find(dispatch->call);
    if (found == calls_.end())
      return;
    found->second.organisation = dispatch->context.organisation();
    found->second.importance = dispatch->context.importance();
    Decide(moment, found->second.request_id, "dispatched",
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
    Decide(moment, found->second.request_id, "refused",
           {{"reason", std::string(InfoOf(refuse->refusal.reason).name)},
            {"outcome", std::string(OutcomeName(refuse->refusal.outcome))}});
  } else if (const auto* deliver = std::get_if<DeliverAnswer>(&effect)) {
    auto found = calls_.find(deliver->call);
    if (found != calls_.end()) {
      Decide(moment, found->second.request_id, "delivered",
             {{"attempt", std::to_string(deliver->attempt)}});
    }
  } else if (const auto* start = std::get_if<StartWork>(&effect)) {
    auto found = works_.find(start->work);
    if (found != works_.end())
      Decide(moment, found->second, "work_started", {});
  } else if (const auto* reject = std::get_if<RejectWork>(&effect)) {
    auto found = works_.find(reject->work);
    if (found == works_.end())
      return;
    Decide(moment, found->second, "work_rejected",
           {{"reason", std::string(InfoOf(reject->refusal.reason).name)}});
    works_.erase(found);
  }
}

void Observer::Decide(const Moment& moment,
                      const std::string& request_id,
                      std::string_view decision,
                      Figures figures) {
  NodeStatus status = moment.node.status();
  figures.emplace_back("in_flight", std::to_string(status.in_flight));
  figures.emplace_back("queued", std::to_string(status.queued));
  figures.emplace_back("limit", std::to_string(status.limit));
  figures.emplace_back("shed_level", std::to_string(status.shed_level));
  decisions_.Add({moment.time, request_id, decision, std::move(figures)});
}

}  // namespace comfreylock
