#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"

/// Decisions about calls at their entry node.
namespace comfreylock {
namespace {

constexpr int kMinServerErrorStatus = 500;
constexpr int kServiceUnavailable = 503;
/// A request that has crashed this many targets is not retried.
constexpr uint32_t kMaxCrashesPerRequest = 2;

/// Features of a policy at the entry node.
struct EntryFeatures {
  /// Requests that crash targets are quarantined.
  bool quarantines_requests = true;
  /// Calls are refused early while too many end overloaded.
  bool throttles_calls = true;
};

const EntryFeatures& FeaturesOf(Policy policy) {
  static constexpr EntryFeatures kStandardFeatures;
  static constexpr EntryFeatures kNaiveFeatures{.quarantines_requests = false,
                                                .throttles_calls = false};
  return policy == Policy::kNaive ? kNaiveFeatures : kStandardFeatures;
}

}  // namespace

void NodeReducer::Handle(const CallArrived& event) {
  Call call;
  call.id = event.call;
  call.request = event.request;
  Reason reason = event.request.onward ? ClassifyOnward(call) : Classify(call);
  if (reason == Reason::kNone)
    reason = EarlyRefusal(call);
  if (reason != Reason::kNone) {
    Refuse(call, reason, Outcome::kNotRun);
    return;
  }
  Call& stored = calls_[event.call] = std::move(call);
  retry_->CountFirstAttempt(stored.service);
  auto parent = works_.find(stored.parent);
  if (parent != works_.end()) {
    Work& work = parent->second;
    stored.budget = retry_->OnwardBudget(work.budget);
    if (work.onward_calls.empty())
      work.onward_started_at = now_;
    work.onward_calls.insert(stored.id);
  }
  AdmitCall(stored);
}

Reason NodeReducer::Classify(Call& call) {
  if (draining_)
    return Reason::kDraining;
  if (!bundle_)
    return Reason::kNoBundle;
  const RouteRule* route =
      bundle_->FindRoute(call.request.method, call.request.request_target);
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
  call.budget = retry_->EntryBudget(route->retries);
  auto remaining = std::min(call.request.deadline.value_or(route->deadline),
                            route->deadline_cap);
  call.deadline = now_ + remaining;
  return Reason::kNone;
}

Reason NodeReducer::Authenticate(Call& call, const RouteRule& route) {
  if (!call.request.key)
    return route.open ? Reason::kNone : Reason::kKeyMissing;
  if (!route.open && IsIsolatedFromFleet())
    return Reason::kIsolated;
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

Reason NodeReducer::ClassifyOnward(Call& call) {
  if (!bundle_)
    return Reason::kNoBundle;
  auto parent = work_by_request_.find(call.request.request_id);
  if (parent == work_by_request_.end())
    return Reason::kUnknownParent;
  Work& work = works_.at(parent->second);
  const wire::CallContext& context = work.context;
  const RouteRule* route =
      bundle_->FindRoute(call.request.method, call.request.request_target);
  if (!route)
    return Reason::kNoRoute;
  if (context.depth() + 1 >= kMaxCallDepth)
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
  return Reason::kNone;
}

Reason NodeReducer::EarlyRefusal(Call& call) {
  auto [demand, added] = demand_by_service_.try_emplace(call.service, now_);
  demand->second.Add(call.organisation, WeightOf(call.organisation), now_);
  if (FeaturesOf(identity_.policy).quarantines_requests)
    call.fingerprint = FingerprintOf(call.organisation, call.request);
  if (quarantine_.IsQuarantined(call.fingerprint, now_))
    return Reason::kQuarantined;
  call.suspect = quarantine_.IsSuspect(call.fingerprint, now_);
  return IsShed(call) ? Reason::kOverload : Reason::kNone;
}

bool NodeReducer::IsShed(const Call& call) {
  uint32_t step = demand_by_service_.find(call.service)
                      ->second.ShedStepOf(call.organisation, now_);
  uint32_t priority = ShedPriority(call.importance, step);
  uint32_t level = ShedLevelOf(call.service);
  auto rule = bundle_->services.find(call.service);
  for (const auto& called : rule->second.calls)
    level = std::max(level, shed_table_.ReportedLevelOf(called, now_));
  if (shed_table_.ShouldRefuse(call.service, level, priority, now_))
    return true;
  // Onward calls are admitted, since their parent has already used resources.
  if (call.request.onward || !FeaturesOf(identity_.policy).throttles_calls)
    return false;
  double random = std::uniform_real_distribution<double>(0, 1)(random_);
  return !throttle_.Admit(call.service, call.importance, random, now_);
}

void NodeReducer::CountForThrottle(const Call& call, bool overloaded) {
  if (!call.request.onward && !call.abandoned)
    throttle_.OnCallEnded(call.service, call.importance, overloaded, now_);
}

uint32_t NodeReducer::ShedLevelOf(std::string_view service) const {
  auto targets = router_.UsedTargets(service);
  std::optional<uint32_t> smallest;
  for (const auto& node : targets) {
    if (router_.IsEjected(node, now_))
      continue;
    uint32_t level = shed_table_.LevelOfTarget(node, now_);
    smallest = std::min(smallest.value_or(level), level);
  }
  // A node that does not call the service itself has only the levels that
  // other services report for it.
  return std::max(smallest.value_or(0),
                  shed_table_.ReportedLevelOf(service, now_));
}

double NodeReducer::WeightOf(const std::string& organisation) const {
  auto rule = bundle_->organisations.find(organisation);
  return rule == bundle_->organisations.end() ? 1 : rule->second.weight;
}

void NodeReducer::DispatchCall(Call& call, std::chrono::milliseconds delay) {
  if (now_ + delay >= call.deadline) {
    Refuse(call, Reason::kDeadline,
           call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  if (!IsKeyInForce(call)) {
    Refuse(call, Reason::kKeyUnknown,
           call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  const TargetInfo* target =
      router_.Choose(call.service, call.tried_nodes, now_);
  if (!target) {
    Refuse(call, Reason::kNoTarget,
           call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
    return;
  }
  ++call.attempt;
  call.node = target->node;
  call.tried_nodes.push_back(target->node);
  router_.OnAttemptDispatched(target->node, now_);
  Dispatch dispatch{call.id, call.attempt, target->node, target->address};
  dispatch.deadline = call.deadline;
  dispatch.delay = delay;
  dispatch.report_answer = call.once_only;
  wire::CallContext& context = dispatch.context;
  context.set_request_id(call.request.request_id);
  context.set_organisation(call.organisation);
  context.set_importance(call.importance);
  context.set_depth(call.depth);
  context.set_retries_left(call.budget.remaining());
  context.set_fingerprint(call.fingerprint);
  context.set_suspect(call.suspect);
  context.set_route(call.route);
  context.set_service(call.service);
  context.set_bundle_version(bundle_->version);
  context.set_once_only(call.once_only);
  context.set_key_id(call.key_id);
  effects_.push_back(std::move(dispatch));
}

void NodeReducer::Handle(const AttemptEnded& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end() || found->second.attempt != event.attempt)
    return;
  Call& call = found->second;
  RecordAttempt(call, event);
  bool answered = event.kind == AttemptResult::kAnswered;
  call.status = answered ? event.status : 0;
  bool overloaded = answered && event.status == kServiceUnavailable;
  if (answered && !(overloaded && retry_->RetriesOverload())) {
    RecordAnswer(call, event);
    CountForThrottle(call, overloaded);
    effects_.push_back(DeliverAnswer{call.id, call.attempt});
    return;
  }
  bool may_have_run =
      event.kind != AttemptResult::kNotSent &&
      (event.kind != AttemptResult::kRefused || event.report.started());
  call.may_have_run = call.may_have_run || may_have_run;
  if (CanRetry(call, event) &&
      (UseFreeReroute(call, event) ||
       retry_->AcquireRetry(call.service, call.budget)))
    Retry(call);
  else if (answered)
    effects_.push_back(DeliverAnswer{call.id, call.attempt});
  else
    FailCall(call, event);
}

void NodeReducer::RecordAttempt(Call& call, const AttemptEnded& event) {
  if (call.abandoned) {
    router_.OnAttemptAbandoned(call.node);
    return;
  }
  bool reported = event.kind == AttemptResult::kAnswered ||
                  event.kind == AttemptResult::kRefused;
  router_.OnAttemptEnded(call.node, event.kind,
                         reported ? &event.report : nullptr, event.latency,
                         now_);
  if (!reported) {
    // Without a report it is unknown how many retries were spent downstream. A
    // service that calls others may have spent all of them, and the budget of
    // the chain must never be exceeded.
    auto rule = bundle_->services.find(call.service);
    bool may_have_spent = event.kind != AttemptResult::kNotSent &&
                          rule != bundle_->services.end() &&
                          !rule->second.calls.empty();
    if (may_have_spent)
      call.budget = ChainBudget();
    return;
  }
  shed_table_.Update(call.node, call.service, event.report, now_);
  call.budget.Deduct(event.report.retries_spent());
  if (event.report.crash_suspected())
    OnCrashSuspected(call);
  auto parent = works_.find(call.parent);
  bool overload =
      event.report.downstream_overload() || event.status == kServiceUnavailable;
  if (parent != works_.end() && overload)
    parent->second.downstream_overload = true;
}

void NodeReducer::OnCrashSuspected(Call& call) {
  ++call.crashes;
  quarantine_.RecordSuspectedCrash(call.fingerprint, call.suspect, now_);
  call.suspect = true;
}

void NodeReducer::Retry(Call& call) {
  effects_.push_back(Log{LogCode::kCallRetried,
                         {{"request_id", call.request.request_id},
                          {"organisation", call.organisation},
                          {"node", call.node}}});
  DispatchCall(call, retry_->Backoff(call.attempt, random_));
}

bool NodeReducer::UseFreeReroute(Call& call, const AttemptEnded& event) const {
  bool without_target =
      event.kind == AttemptResult::kRefused && !event.report.started() &&
      event.report.refusal_reason() == InfoOf(Reason::kNoTarget).name;
  if (event.kind != AttemptResult::kNotSent && !without_target)
    return false;
  return call.reroutes++ < kMaxFreeReroutes;
}

bool NodeReducer::CanRetry(const Call& call, const AttemptEnded& event) const {
  if (call.abandoned || event.body_sent ||
      call.crashes >= kMaxCrashesPerRequest)
    return false;
  if (quarantine_.IsQuarantined(call.fingerprint, now_))
    return false;
  if (call.once_only && call.may_have_run)
    return false;
  if (event.report.downstream_overload() && !retry_->RetriesOverload())
    return false;
  return event.kind != AttemptResult::kTimedOut;
}

void NodeReducer::FailCall(Call& call, const AttemptEnded& event) {
  Reason reason = Reason::kTargetFailed;
  if (event.kind == AttemptResult::kRefused)
    reason = ReasonFromName(event.report.refusal_reason());
  if (event.kind == AttemptResult::kTimedOut)
    reason = Reason::kDeadline;
  if (event.kind == AttemptResult::kMismatchedAnswer)
    reason = Reason::kBadAnswer;
  if (event.kind == AttemptResult::kNotSent)
    reason = Reason::kNoTarget;
  CountForThrottle(call,
                   reason == Reason::kOverload || reason == Reason::kDeadline);
  Refuse(call, reason,
         call.may_have_run ? Outcome::kUnknown : Outcome::kNotRun);
}

void NodeReducer::Refuse(Call& call, Reason reason, Outcome outcome) {
  if (std::exchange(call.refused, true))
    return;
  CloseClaim(call);
  auto parent = works_.find(call.parent);
  if (reason == Reason::kOverload && parent != works_.end())
    parent->second.downstream_overload = true;
  if (!call.request.onward) {
    double weight = bundle_ ? WeightOf(call.organisation) : 1;
    goodput_.CountUnserved(call.organisation, weight, reason);
  }
  std::chrono::milliseconds retry_after{0};
  if (InfoOf(reason).retry_after)
    retry_after = JitteredRetryAfter(random_);
  effects_.push_back(
      RefuseCall{call.id, Refusal{reason, outcome, "", retry_after}});
  effects_.push_back(Log{LogCode::kCallRefused,
                         {{"request_id", call.request.request_id},
                          {"organisation", call.organisation},
                          {"reason", std::string(InfoOf(reason).name)}}});
}

void NodeReducer::Handle(const CallerDisconnected& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  Abandon(found->second);
}

void NodeReducer::Abandon(Call& call) {
  if (call.abandoned)
    return;
  call.abandoned = true;
  if (call.attempt == 0) {
    // The call still waits for a rate share or a claim.
    rate_limiter_.Cancel(call.id);
    Refuse(call, Reason::kCallerGone, Outcome::kNotRun);
    return;
  }
  effects_.push_back(CancelAttempt{call.id, call.attempt});
}

void NodeReducer::RecordGoodput(const Call& call, bool complete) {
  if (call.refused || call.request.onward)
    return;
  double weight = WeightOf(call.organisation);
  if (complete && call.status < kMinServerErrorStatus)
    goodput_.CountServed(call.organisation, weight);
  else
    goodput_.CountUnserved(
        call.organisation, weight,
        complete ? Reason::kTargetFailed : Reason::kCallerGone);
}

void NodeReducer::Handle(const CallFinished& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  const Call& call = found->second;
  RecordGoodput(call, event.complete);
  auto parent = works_.find(call.parent);
  if (parent != works_.end()) {
    Work& work = parent->second;
    retry_->Return(work.budget, call.budget);
    work.onward_calls.erase(call.id);
    if (work.onward_calls.empty())
      work.downstream_time += now_ - work.onward_started_at;
  }
  calls_.erase(found);
  FinishDrain();
}

}  // namespace comfreylock
