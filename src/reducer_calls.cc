#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"

/// Decisions about calls at their entry node.
namespace comfreylock {

void Node::On(const CallArrived& event) {
  Call call;
  call.id = event.call;
  call.request = event.request;
  Reason reason = event.request.onward ? ClassifyOnward(call) : Classify(call);
  if (reason != Reason::kNone) {
    Refuse(call, reason, Outcome::kNotRun);
    return;
  }
  Call& stored = calls_[event.call] = std::move(call);
  AdmitCall(stored);
}

Reason Node::Classify(Call& call) {
  if (draining_)
    return Reason::kDraining;
  if (!bundle_)
    return Reason::kNoBundle;
  const RouteRule* route =
      bundle_->FindRoute(call.request.method, call.request.target);
  if (!route)
    return Reason::kNoRoute;
  Reason reason = Authenticate(call, *route);
  if (reason != Reason::kNone)
    return reason;
  if (call.request.body_size.value_or(0) > route->max_body)
    return Reason::kBodyTooLarge;
  if (route->once_only && call.request.idempotency_key.empty())
    return Reason::kIdempotencyKeyMissing;
  call.route = route->name;
  call.service = route->service;
  call.importance = route->importance;
  call.once_only = route->once_only;
  call.retries_left = route->retries;
  auto remaining = std::min(call.request.deadline.value_or(route->deadline),
                            route->deadline_cap);
  call.deadline = now_ + remaining;
  return Reason::kNone;
}

Reason Node::Authenticate(Call& call, const RouteRule& route) {
  if (!call.request.key)
    return route.open ? Reason::kNone : Reason::kKeyMissing;
  const KeyRule* key = bundle_->FindKey(*call.request.key);
  if (!key)
    return Reason::kKeyUnknown;
  if (!route.organisations.empty() &&
      std::ranges::find(route.organisations, key->organisation) ==
          route.organisations.end()) {
    return Reason::kOrganisationNotAllowed;
  }
  call.organisation = key->organisation;
  call.key_id = key->id;
  return Reason::kNone;
}

Reason Node::ClassifyOnward(Call& call) {
  if (!bundle_)
    return Reason::kNoBundle;
  auto parent = work_by_request_.find(call.request.request_id);
  if (parent == work_by_request_.end())
    return Reason::kUnknownParent;
  Work& work = works_.at(parent->second);
  const wire::CallContext& context = work.context;
  const RouteRule* route =
      bundle_->FindRoute(call.request.method, call.request.target);
  if (!route)
    return Reason::kNoRoute;
  if (context.depth() + 1 >= kMaxDepth)
    return Reason::kOverload;
  if (route->once_only && call.request.idempotency_key.empty())
    return Reason::kIdempotencyKeyMissing;
  call.parent = parent->second;
  call.route = route->name;
  call.service = route->service;
  call.organisation = context.organisation();
  call.key_id = context.key_id();
  call.importance = context.importance();
  call.depth = context.depth() + 1;
  call.once_only = route->once_only;
  call.deadline = work.deadline;
  // Half of what is left, rounded up, is lent to this call; what it does not
  // spend comes back when it ends. Calls side by side thus share one budget.
  call.retries_left = (work.retries_left + 1) / 2;
  work.retries_left -= call.retries_left;
  return Reason::kNone;
}

void Node::DispatchCall(Call& call, std::chrono::milliseconds delay) {
  if (now_ + delay >= call.deadline) {
    Refuse(call, Reason::kDeadline,
           call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  const TargetInfo* target = router_.Choose(call.service, call.tried, now_);
  if (!target) {
    Refuse(call, Reason::kNoTarget,
           call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  ++call.attempt;
  call.node = target->node;
  call.tried.push_back(target->node);
  router_.OnDispatched(target->node, now_);
  Dispatch dispatch{call.id, call.attempt, target->node, target->address};
  dispatch.deadline = call.deadline;
  dispatch.delay = delay;
  dispatch.keep_answer = call.once_only;
  wire::CallContext& context = dispatch.context;
  context.set_request_id(call.request.request_id);
  context.set_organisation(call.organisation);
  context.set_importance(call.importance);
  context.set_depth(call.depth);
  context.set_retries_left(call.retries_left);
  context.set_route(call.route);
  context.set_service(call.service);
  context.set_bundle_version(bundle_->version);
  context.set_once_only(call.once_only);
  context.set_key_id(call.key_id);
  effects_.push_back(std::move(dispatch));
}

void Node::On(const AttemptEnded& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end() || found->second.attempt != event.attempt)
    return;
  Call& call = found->second;
  router_.OnEnded(call.node, event.kind, &event.report, event.latency, now_);
  uint32_t spent = std::min(event.report.retries_spent(), call.retries_left);
  call.retries_left -= spent;
  if (event.kind == AttemptKind::kAnswered) {
    RecordAnswer(call, event);
    effects_.push_back(DeliverAnswer{call.id, call.attempt});
    return;
  }
  bool ran = event.kind != AttemptKind::kNotSent &&
             (event.kind != AttemptKind::kRefused || event.report.started());
  call.may_have_run = call.may_have_run || ran;
  if (MayRetry(call, event)) {
    --call.retries_left;
    effects_.push_back(Log{LogCode::kCallRetried,
                           {{"request_id", call.request.request_id},
                            {"organisation", call.organisation},
                            {"node", call.node}}});
    DispatchCall(call, 0ms);
    return;
  }
  FailCall(call, event);
}

bool Node::MayRetry(const Call& call, const AttemptEnded& event) const {
  if (call.retries_left == 0 || event.body_left)
    return false;
  if (call.once_only && call.may_have_run)
    return false;
  if (event.report.downstream_overload())
    return false;
  return event.kind != AttemptKind::kTimedOut;
}

void Node::FailCall(Call& call, const AttemptEnded& event) {
  Reason reason = Reason::kTargetFailed;
  if (event.kind == AttemptKind::kRefused)
    reason = ReasonFromName(event.report.refusal_reason());
  if (event.kind == AttemptKind::kTimedOut)
    reason = Reason::kDeadline;
  if (event.kind == AttemptKind::kCrossed)
    reason = Reason::kBadAnswer;
  if (event.kind == AttemptKind::kNotSent)
    reason = Reason::kNoTarget;
  Refuse(call, reason,
         call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
}

void Node::Refuse(Call& call, Reason reason, Outcome outcome) {
  if (std::exchange(call.refused, true))
    return;
  EndClaim(call);
  std::chrono::milliseconds retry_after{0};
  if (InfoOf(reason).retry_after) {
    // Spread over some seconds so that refused callers do not return at once.
    std::uniform_int_distribution<int> spread(1000, 5000);
    retry_after = std::chrono::milliseconds(spread(random_));
  }
  effects_.push_back(
      RefuseCall{call.id, Refusal{reason, outcome, "", retry_after}});
  effects_.push_back(Log{LogCode::kCallRefused,
                         {{"request_id", call.request.request_id},
                          {"organisation", call.organisation},
                          {"reason", std::string(InfoOf(reason).name)}}});
}

void Node::On(const CallerGone& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  if (call.attempt == 0) {
    // Still waits for a share or a claim.
    rate_.Cancel(call.id);
    Refuse(call, Reason::kCallerGone, Outcome::kNotRun);
    return;
  }
  effects_.push_back(CancelAttempt{event.call, call.attempt});
}

void Node::On(const CallFinished& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  const Call& call = found->second;
  auto parent = works_.find(call.parent);
  if (parent != works_.end())
    parent->second.retries_left += call.retries_left;
  calls_.erase(found);
  FinishDrain();
}

}  // namespace comfreylock
