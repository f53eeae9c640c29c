#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "mesh/mesh_reducer.h"

/// Decisions about callers' requests at their entry node.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time until the deadline of a call whose caller sends no deadline.
constexpr milliseconds kDefaultCallTimeout = 10s;
/// Keys are rejected this long before `max_key_withdrawal_delay` has passed
/// since the last confirmation, to allow for timers that fire late.
constexpr milliseconds kWithdrawalMargin = 300ms;
/// Maximum age of the configuration for refusing an unknown key or route
/// permanently: an older configuration may lack one that was added since.
constexpr milliseconds kMaxAuthoritativeConfigAge = 3600ms;
/// Time for which a node serves with a configuration that is not the newest.
constexpr milliseconds kOutdatedConfigTimeout = 1000ms;
/// Maximum number of placements of one call. After that it is refused.
constexpr uint32_t kMaxPlacements = 6;
/// Bytes of its body that are sent to other nodes for one call, over all
/// placements: twice the default limit of a body, so that any may be placed
/// again once. Six times 64 MB take 16 s on a host's network link.
constexpr size_t kMaxSentBodyBytes = size_t{128} * 1024 * 1024;
/// Maximum wait for a token of a central bucket.
constexpr milliseconds kTokenWaitTimeout = 120ms;
/// Bounds of the Retry-After time of refused calls, before jitter.
constexpr milliseconds kMinRetryAfterDelay = 100ms;
constexpr milliseconds kMaxRetryAfterDelay = 2000ms;
/// Retry-After time if it is not known when the cause will end.
constexpr milliseconds kDefaultRetryAfterDelay = 500ms;
/// Base Retry-After time while a service further down is overloaded.
constexpr milliseconds kThrottledRetryAfterDelay = 500ms;
/// The answer must be sent this long before the caller's deadline.
constexpr milliseconds kAnswerMargin = 5ms;
/// Fraction of the remaining time by which an answer from this availability
/// zone may be slower than one from another zone before the other zone is used.
/// It is smaller for onward calls, because a request makes several of them in
/// sequence.
constexpr double kZoneToleranceFraction = 0.1;
constexpr double kOnwardZoneToleranceFraction = 0.03;
/// Time by which an answer from another availability zone must be faster when
/// the own zone is full: the way there and back, some milliseconds, and as much
/// again for the cost of the bytes.
constexpr milliseconds kZonePathCost = 10ms;
constexpr int kMinServerErrorStatus = 500;
/// Bytes that are kept of the reason that another node gives for a result.
constexpr size_t kMaxCauseBytes = 64;

}  // namespace

void MeshReducer::Handle(const RequestArrived& event) {
  Call call;
  call.id = event.call;
  call.forward = event.request.forward;
  call.arrived_at = now_;
  Reason reason = Classify(call, event.request);
  if (reason != Reason::kNone) {
    Refuse(call, reason, kDefaultRetryAfterDelay);
    return;
  }
  // Onward calls of this host's target are served for longer, because the
  // target still runs requests of other nodes. Callers of public routes send
  // requests that look the same.
  bool onward = call.forward->onward();
  bool accepted =
      AcceptsCallers() || (onward && IsOverBeforeExit(call.deadline));
  if (!accepted) {
    Refuse(call, Reason::kDraining, kMinRetryAfterDelay);
    return;
  }
  if (AcceptsCallers() && !(onward && FindParentWork(*call.forward)))
    last_call_at_ = now_;
  if (IsQuarantined(*call.forward)) {
    Refuse(call, Reason::kQuarantined, milliseconds(0));
    return;
  }
  if (!IsAdmittedByThrottle(call)) {
    // The smaller the admitted fraction, the longer until capacity is free.
    double admitted =
        call_throttle_.AdmittedFraction(call.service, call.forward->rank());
    auto base = std::chrono::duration_cast<microseconds>(
        kThrottledRetryAfterDelay * (1 + (1 - admitted) / (2 * admitted)));
    Refuse(call, Reason::kOverload, JitterRetryAfter(base));
    return;
  }
  if (!call.organisation.empty()) {
    const OrganisationLimits& limits =
        config_->organisations.find(call.organisation)->second;
    if (UsesCentralBucket(limits, FleetSize()) &&
        CanReach(RateAllocatorFor(limits.name))) {
      if (!rate_limiter_.TryAcquireCentralToken(limits.name, now_)) {
        QueueForToken(call);
        return;
      }
      Admit(std::move(call), true);
      return;
    }
    microseconds wait = rate_limiter_.TryAcquire(limits, FleetSize(), now_);
    if (wait.count() > 0) {
      Refuse(call, Reason::kOverRate, JitterRetryAfter(wait));
      return;
    }
    Admit(std::move(call), limits.rate > 0);
    return;
  }
  Admit(std::move(call), false);
}

void MeshReducer::Admit(Call call, bool holds_token) {
  call.holds_token = holds_token;
  retry_budget_.CountRequest(call.service, now_);
  const Work* parent = FindParentWork(*call.forward);
  if (parent && parent->forward->repeat()) {
    call.forward->set_repeat(true);
    retry_budget_.Charge(call.service, now_);
  }
  Call& stored = calls_[call.id] = std::move(call);
  call_deadlines_.insert({stored.deadline, stored.id});
  Place(stored);
}

Reason MeshReducer::Classify(Call& call, const CallerRequest& request) {
  if (!config_)
    return Reason::kNoBundle;
  // The store may reject this node's requests while other nodes have a newer
  // configuration.
  bool outdated = IsConfigOutdated();
  if (outdated && now_ - config_outdated_since_ > kOutdatedConfigTimeout)
    return Reason::kIsolated;
  bool authoritative =
      !outdated && now_ - config_confirmed_at_ < kMaxAuthoritativeConfigAge;
  wire::Forward& forward = *call.forward;
  const Route* route = config_->FindRoute(request.host, forward.path());
  if (!route)
    return authoritative ? Reason::kNoRoute : Reason::kIsolated;
  uint32_t rank = RankOf(std::nullopt, route->importance);
  if (!route->is_public) {
    if (!IsConfigFresh())
      return Reason::kIsolated;
    const OrganisationLimits* organisation =
        config_->FindOrganisation(request.key);
    if (!organisation && !authoritative)
      return Reason::kIsolated;
    if (!organisation)
      return request.key.empty() ? Reason::kKeyMissing : Reason::kKeyUnknown;
    call.organisation = organisation->name;
    rank = RankOf(organisation->importance, route->importance);
  }
  milliseconds remaining = request.deadline.value_or(kDefaultCallTimeout);
  if (route->timeout.count() > 0)
    remaining = std::min(remaining, route->timeout);
  call.deadline = now_ + remaining - std::min(kAnswerMargin, remaining);
  call.useful_until = std::min(call.deadline, now_ + route->latency_objective);
  call.service = ChooseService(*route);
  call.max_attempts = std::max(route->max_attempts, 1u);
  // Requests without a key are mostly onward calls. They inherit the rank of
  // the request that made them and stay useful until their deadline.
  if (route->is_public) {
    const Work* parent = FindParentWork(forward);
    rank = parent ? parent->forward->rank() : 0;
    call.useful_until = call.deadline;
  }
  forward.set_onward(route->is_public);
  forward.set_service(call.service);
  forward.set_organisation(call.organisation);
  forward.set_rank(rank);
  forward.set_idempotent(route->idempotent);
  forward.set_route(route->name);
  forward.set_caller_service(identity_.service);
  return Reason::kNone;
}

void MeshReducer::CountCompletedCall(const wire::Forward& forward) {
  if (const Work* parent = FindParentWork(forward))
    ++works_.at(parent->id).completed_calls;
}

const MeshReducer::Work* MeshReducer::FindParentWork(
    const wire::Forward& forward) const {
  // In practice the id of an onward call is the id of the request that made it,
  // followed by a dot and a suffix. With any other id the parent is unknown.
  const std::string& id = forward.request_id();
  size_t dot = id.rfind('.');
  if (dot == std::string::npos)
    return nullptr;
  auto running = running_requests_.find(id.substr(0, dot));
  if (running == running_requests_.end())
    return nullptr;
  auto work = works_.find(running->second);
  return work == works_.end() ? nullptr : &work->second;
}

/// Smooth weighted round robin, which keeps to the weights over short periods
/// too.
const std::string& MeshReducer::ChooseService(const Route& route) {
  if (route.services.size() == 1)
    return route.services.front().service;
  auto& credit = service_credits_[&route];
  if (credit.empty()) {
    // Random initial credits, so that not all nodes begin with the same
    // service.
    for (const auto& weighted : route.services) {
      credit.push_back(
          std::uniform_real_distribution<double>(0, weighted.weight)(random_));
    }
  }
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < route.services.size(); ++i) {
    credit[i] += route.services[i].weight;
    total += route.services[i].weight;
    if (credit[i] > credit[best])
      best = i;
  }
  credit[best] -= total;
  return route.services[best].service;
}

bool MeshReducer::IsConfigFresh() const {
  return config_ &&
         now_ - config_confirmed_at_ <
             identity_.bounds.max_key_withdrawal_delay - kWithdrawalMargin;
}

bool MeshReducer::IsQuarantined(const wire::Forward& forward) const {
  return quarantine_.size() > 0 &&
         quarantine_.IsQuarantined(FingerprintOfForward(forward), now_);
}

void MeshReducer::Place(Call& call) {
  bool onward = call.forward->onward();
  TargetSelector::Request request{call.service, call.forward->route(),
                                  call.forward->rank(), onward};
  request.zone_tolerance = ZoneTolerance(call, request);
  auto choice = target_selector_.Choose(request, call.tried_nodes, now_);
  size_t body_bytes = call.forward->body().size();
  bool too_large = call.sent_body_bytes > 0 &&
                   call.sent_body_bytes + body_bytes > kMaxSentBodyBytes;
  if (!choice || too_large || ++call.placement_count > kMaxPlacements) {
    bool has_target = target_selector_.HasServingTarget(call.service);
    Refuse(call, has_target ? Reason::kOverload : Reason::kNoTarget,
           JitterRetryAfter(kDefaultRetryAfterDelay));
    return;
  }
  call.expected_time = choice->wait + choice->service;
  auto useful = static_cast<double>((call.useful_until - now_).count());
  auto remaining = static_cast<double>((call.deadline - now_).count());
  auto wait = static_cast<double>(choice->wait.count());
  auto service = static_cast<double>(choice->service.count());
  bool too_late = choice->wait.count() > 0
                      ? wait + service > useful * UsableTimeFraction(onward)
                      : remaining <= 0;
  if (too_late) {
    Refuse(call, Reason::kOverload, JitterRetryAfter(choice->wait));
    return;
  }
  if (!CanAnswerBeforeExit(call.deadline, call.expected_time)) {
    Refuse(call, Reason::kDraining, kMinRetryAfterDelay);
    return;
  }
  SendTo(call, *choice);
}

microseconds MeshReducer::ZoneTolerance(
    const Call& call,
    const TargetSelector::Request& request) {
  auto tolerance = std::chrono::duration_cast<microseconds>(
      (call.useful_until - now_) *
      (request.onward ? kOnwardZoneToleranceFraction : kZoneToleranceFraction));
  if (!identity_.bounds.zone_spill)
    return tolerance;
  TargetSelector::ZoneLoads loads;
  if (zone_spill_.IsUpdateDue(call.service, now_))
    loads = target_selector_.LoadsByZone(request);
  ZoneSpill::Decision decision = zone_spill_.Decide(
      call.service, loads.own, loads.others, kZonePathCost, now_);
  auto reason = static_cast<size_t>(decision.reason);
  ++(decision.leaves ? requests_leaving_ : requests_kept_)[reason];
  return decision.leaves ? std::min<microseconds>(kZonePathCost, tolerance)
                         : tolerance;
}

void MeshReducer::SendTo(Call& call, const TargetSelector::Choice& choice) {
  auto ms_until = [this](TimePoint time) {
    return static_cast<uint32_t>(std::max<int64_t>(
        0, std::chrono::duration_cast<milliseconds>(time - now_).count()));
  };
  call.forward->set_remaining_ms(ms_until(call.deadline));
  call.forward->set_useful_ms(ms_until(call.useful_until));
  call.node = choice.node;
  call.stream = ++last_id_;
  target_selector_.OnRequestSent(choice.node, now_);
  if (choice.node == identity_.node) {
    call.link = LinkId();
    AcceptWork(Work{WorkId{call.stream}, LinkId(), call.stream, call.id,
                    call.forward});
    return;
  }
  auto member = members_.find(choice.node);
  call.link = member->second.link;
  call.sent_body_bytes += call.forward->body().size();
  Link& link = links_.at(call.link);
  link.calls[call.stream] = call.id;
  link.last_forward_at = now_;
  call.forward->set_stream(call.stream);
  call.forward->set_sent_us(
      static_cast<uint64_t>(now_.time_since_epoch().count()));
  effects_.push_back(SendForward{call.link, call.forward});
}

void MeshReducer::EndAttempt(Call& call) {
  target_selector_.OnRequestEnded(call.node);
  auto link = links_.find(call.link);
  if (link != links_.end())
    link->second.calls.erase(call.stream);
  call.stream = 0;
}

bool MeshReducer::CanRetry(const Call& call) const {
  return call.forward->idempotent() && call.run_count < call.max_attempts &&
         now_ < call.deadline && !requests_ended_ &&
         !IsQuarantined(*call.forward);
}

bool MeshReducer::AcquireRetry(const Call& call) {
  const Work* parent = FindParentWork(*call.forward);
  InvestedWork invested{call.forward->onward(),
                        parent ? parent->completed_calls : 0};
  return retry_budget_.TryAcquire(call.service, invested, call.forward->rank(),
                                  FleetSize(), now_);
}

void MeshReducer::OnOutcome(Call& call,
                            std::shared_ptr<wire::Outcome> outcome) {
  EndAttempt(call);
  call.tried_nodes.push_back(call.node);
  bool answered = outcome->kind() == wire::Outcome::ANSWERED;
  call.cause =
      answered ? std::string() : outcome->reason().substr(0, kMaxCauseBytes);
  switch (outcome->kind()) {
    case wire::Outcome::ANSWERED: {
      ++call.run_count;
      bool failed =
          static_cast<int>(outcome->status()) >= kMinServerErrorStatus;
      RecordOnwardCallResult(call, failed,
                             failed && outcome->calls_overloaded());
      // If the target's onward calls fail, those of another target would too.
      if (failed && !outcome->calls_failing() && CanRetry(call) &&
          AcquireRetry(call)) {
        call.may_have_run = true;
        break;
      }
      if (!failed)
        CountCompletedCall(*call.forward);
      CallId id = call.id;
      effects_.push_back(DeliverAnswer{id, std::move(outcome)});
      RemoveDeadline(call);
      calls_.erase(id);
      return;
    }
    case wire::Outcome::NOT_RUN:
      break;
    case wire::Outcome::SHED:
      // The request reached a target, so the next attempt counts as a retry. A
      // target that sheds a fraction of its requests may run this one next
      // time.
      if (!target_selector_.HasUntriedTarget(call.service, call.tried_nodes))
        call.tried_nodes.clear();
      call.shed = true;
      if (!AcquireRetry(call)) {
        Refuse(call, Reason::kOverload,
               JitterRetryAfter(kDefaultRetryAfterDelay));
        return;
      }
      break;
    default:
      ++call.run_count;
      call.may_have_run = true;
      if (!CanRetry(call) || !AcquireRetry(call)) {
        bool expired = now_ >= call.deadline || outcome->reason() == "deadline";
        Refuse(call, expired ? Reason::kDeadline : Reason::kTargetFailed,
               milliseconds(0));
        return;
      }
      break;
  }
  if (outcome->kind() != wire::Outcome::NOT_RUN)
    call.forward->set_repeat(true);
  LogLine(LogCode::kCallRetried,
          {{"request_id", call.forward->request_id()},
           {"organisation", call.organisation},
           {"peer", call.node},
           {"outcome", wire::Outcome::Kind_Name(outcome->kind())},
           {"reason", outcome->reason()}});
  Place(call);
}

void MeshReducer::Refuse(Call& call, Reason reason, milliseconds retry_after) {
  bool not_run = !call.may_have_run;
  if (calls_.contains(call.id)) {
    // Shedding by the target below its slots is a fault of that target: fewer
    // requests would not help, so it does not count as overload.
    bool overloaded = !call.shed && reason == Reason::kOverload;
    RecordOnwardCallResult(call, true, overloaded);
  }
  if (not_run && call.holds_token)
    rate_limiter_.ReturnToken(call.organisation);
  RefuseCall refuse{call.id, call.forward->request_id(), reason, not_run};
  if (not_run && InfoOf(reason).retry_after)
    refuse.retry_after = retry_after;
  effects_.push_back(std::move(refuse));
  LogLine(
      LogCode::kCallRefused,
      {{"request_id", call.forward->request_id()},
       {"organisation", call.organisation},
       {"route", call.forward->route()},
       {"service", call.service},
       {"reason", std::string(InfoOf(reason).name)},
       {"cause", call.cause},
       {"rank", std::to_string(call.forward->rank())},
       {"not_run", not_run ? "true" : "false"},
       {"peer", call.node},
       {"placements", std::to_string(call.tried_nodes.size())},
       {"held_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                      now_ - call.arrived_at)
                                      .count())},
       {"expected_us", std::to_string(call.expected_time.count())},
       {"useful_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        call.useful_until - now_)
                                        .count())},
       {"config", config_ ? std::to_string(config_->version) : "none"},
       {"config_age_ms", ConfigAgeText()}});
  if (calls_.contains(call.id)) {
    CallId id = call.id;
    RemoveDeadline(call);
    calls_.erase(id);
  }
}

bool MeshReducer::IsAdmittedByThrottle(const Call& call) {
  // Onward calls are always admitted: work was already done for their request.
  if (call.forward->onward())
    return true;
  uint32_t rank = call.forward->rank();
  call_throttle_.Update(call.service, rank,
                        target_selector_.CallFailureRatio(call.service, rank),
                        now_);
  return call_throttle_.Admits(
      call.service, rank,
      std::uniform_real_distribution<double>(0, 1)(random_));
}

void MeshReducer::RecordOnwardCallResult(const Call& call,
                                         bool failed,
                                         bool overloaded) {
  if (!call.forward->onward())
    return;
  call_failures_.Count(call.forward->rank(), overloaded, now_);
  if (failed)
    last_call_failure_at_ = now_;
  if (overloaded)
    last_call_overload_at_ = now_;
}

milliseconds MeshReducer::JitterRetryAfter(microseconds base) {
  auto delay = std::clamp(std::chrono::duration_cast<milliseconds>(base),
                          kMinRetryAfterDelay, kMaxRetryAfterDelay);
  std::uniform_real_distribution<double> jitter(0.75, 1.5);
  return milliseconds(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                           jitter(random_)));
}

void MeshReducer::QueueForToken(Call& call) {
  std::string organisation = call.organisation;
  token_waits_[organisation].emplace_back(now_, call.id);
  call_deadlines_.insert({call.deadline, call.id});
  calls_[call.id] = std::move(call);
  RequestTokens(organisation);
}

void MeshReducer::OnShares(const wire::Shares& shares) {
  rate_limiter_.Apply(shares, now_);
  for (const wire::Shares::Row& row : shares.rows()) {
    auto queue = token_waits_.find(row.organisation());
    if (queue == token_waits_.end() || row.per_second() > 0)
      continue;
    auto waiting = std::exchange(queue->second, {});
    token_waits_.erase(queue);
    for (const auto& [arrived_at, id] : waiting) {
      auto found = calls_.find(id);
      if (found == calls_.end())
        continue;
      if (!rate_limiter_.TryAcquireCentralToken(row.organisation(), now_)) {
        Refuse(found->second, Reason::kOverRate,
               JitterRetryAfter(kDefaultRetryAfterDelay));
        continue;
      }
      Call call = std::move(found->second);
      RemoveDeadline(call);
      calls_.erase(found);
      Admit(std::move(call), false);
    }
  }
}

void MeshReducer::ExpireTokenWaits() {
  for (auto& [organisation, waiting] : token_waits_) {
    while (!waiting.empty() &&
           now_ - waiting.front().first > kTokenWaitTimeout) {
      CallId id = waiting.front().second;
      waiting.pop_front();
      auto found = calls_.find(id);
      if (found != calls_.end())
        Refuse(found->second, Reason::kRateShareUnavailable,
               JitterRetryAfter(kDefaultRetryAfterDelay));
    }
  }
  std::erase_if(token_waits_,
                [](const auto& item) { return item.second.empty(); });
}

void MeshReducer::Handle(const CallerDisconnected& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  Call call = found->second;
  EndAttempt(found->second);
  RemoveDeadline(found->second);
  calls_.erase(found);
  SendCancel(call);
}

void MeshReducer::SendCancel(const Call& call) {
  if (call.stream == 0)
    return;
  if (!call.link) {
    CancelWork(WorkId{call.stream});
    return;
  }
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_cancel()->set_stream(call.stream);
  Send(call.link, std::move(frame));
}

void MeshReducer::AbandonCall(Call& call, Reason reason) {
  Call abandoned = call;
  EndAttempt(call);
  call.may_have_run = call.may_have_run || abandoned.stream != 0;
  Refuse(call, reason, milliseconds(0));
  SendCancel(abandoned);
}

void MeshReducer::ExpireCalls() {
  while (!call_deadlines_.empty() && call_deadlines_.begin()->first <= now_) {
    CallId id = call_deadlines_.begin()->second;
    call_deadlines_.erase(call_deadlines_.begin());
    auto found = calls_.find(id);
    if (found == calls_.end())
      continue;
    AbandonCall(found->second, Reason::kDeadline);
  }
}

void MeshReducer::RemoveDeadline(const Call& call) {
  call_deadlines_.erase({call.deadline, call.id});
}

}  // namespace comfreylock::mesh
