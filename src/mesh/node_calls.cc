#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "mesh/node.h"

/// Decisions about callers' requests at the node where they arrive.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Deadline of a caller that gives none.
constexpr milliseconds kDefaultDeadline = 10s;
/// Time before the withdrawal bound at which keys are no longer trusted, for
/// timers that fire late.
constexpr milliseconds kWithdrawalMargin = 300ms;
/// A node that has not heard from the store for this time does not refuse a key
/// or route for good: it may have missed one that was added.
constexpr milliseconds kDefiniteAge = 3600ms;
/// Time for which a node goes on with a configuration that is not the newest.
constexpr milliseconds kOutdatedTime = 1000ms;
/// Placements of one request after which it is refused to the caller.
constexpr uint32_t kMostPlacements = 6;
/// Longest wait for a token of a common bucket.
constexpr milliseconds kTokenWait = 120ms;
/// Bounds of the hint to refused callers.
constexpr milliseconds kShortestHint = 100ms;
constexpr milliseconds kLongestHint = 2000ms;
/// Hint while nothing is known of when the cause ends.
constexpr milliseconds kUnknownHint = 500ms;
/// Hint while a service further down cannot carry more.
constexpr milliseconds kThrottledHint = 500ms;
/// Time before the deadline at which the answer must be on its way.
constexpr milliseconds kAnswerMargin = 5ms;
/// Part of the time left that an answer from another availability zone may take
/// longer; smaller for calls, of which a request makes several in a row.
constexpr double kZoneTolerance = 0.1;
constexpr double kOnwardZoneTolerance = 0.03;
constexpr int kServerError = 500;

}  // namespace

void Node::On(const RequestArrived& event) {
  Call call;
  call.id = event.call;
  call.forward = event.request.forward;
  call.arrived = now_;
  Reason reason = Classify(call, event.request);
  if (reason != Reason::kNone) {
    Refuse(call, reason, kUnknownHint);
    return;
  }
  // The target's own calls go on as long as it works for others.
  bool onward = call.forward->onward();
  if (!onward && !TakesCallers()) {
    Refuse(call, Reason::kDraining, kShortestHint);
    return;
  }
  if (!onward)
    last_call_ = now_;
  if (IsQuarantined(*call.forward)) {
    Refuse(call, Reason::kQuarantined, milliseconds(0));
    return;
  }
  if (!AdmittedByThrottle(call)) {
    // The smaller the admitted part, the longer until there is room.
    double admitted =
        call_throttle_.AdmittedPart(call.service, call.forward->rank());
    auto hint = std::chrono::duration_cast<microseconds>(
        kThrottledHint * (1 + (1 - admitted) / (2 * admitted)));
    Refuse(call, Reason::kOverload, SpreadRetryAfter(hint));
    return;
  }
  if (!call.organisation.empty()) {
    const OrganisationLimits& limits =
        config_->organisations.find(call.organisation)->second;
    if (TakesCommonTokens(limits, FleetSize()) &&
        CanReach(RateHolderFor(limits.name))) {
      if (!rate_share_.TakeCommon(limits.name, now_)) {
        WaitForToken(call);
        return;
      }
      Admit(std::move(call), true);
      return;
    }
    microseconds wait = rate_share_.Take(limits, FleetSize(), now_);
    if (wait.count() > 0) {
      Refuse(call, Reason::kOverRate, SpreadRetryAfter(wait));
      return;
    }
    Admit(std::move(call), limits.rate > 0);
    return;
  }
  Admit(std::move(call), false);
}

void Node::Admit(Call call, bool took_token) {
  call.took_token = took_token;
  retries_.CountRequest(call.service, now_);
  const Work* parent = ParentOf(*call.forward);
  if (parent && parent->forward->repeat()) {
    call.forward->set_repeat(true);
    retries_.Charge(call.service, now_);
  }
  Call& stored = calls_[call.id] = std::move(call);
  call_deadlines_.insert({stored.deadline, stored.id});
  Place(stored);
}

Reason Node::Classify(Call& call, const CallerRequest& request) {
  if (!config_)
    return Reason::kNoBundle;
  // The store may turn this node away while others have a newer one.
  bool outdated = ConfigOutdated();
  if (outdated && now_ - newer_since_ > kOutdatedTime)
    return Reason::kIsolated;
  bool definite = !outdated && now_ - config_confirmed_ < kDefiniteAge;
  wire::Forward& forward = *call.forward;
  const Route* route = config_->FindRoute(request.host, forward.path());
  if (!route)
    return definite ? Reason::kNoRoute : Reason::kIsolated;
  uint32_t rank = RankOf(std::nullopt, route->importance);
  if (!route->open) {
    if (!ConfigFresh())
      return Reason::kIsolated;
    const OrganisationLimits* organisation =
        config_->FindOrganisation(request.key);
    if (!organisation && !definite)
      return Reason::kIsolated;
    if (!organisation)
      return request.key.empty() ? Reason::kKeyMissing : Reason::kKeyUnknown;
    call.organisation = organisation->name;
    rank = RankOf(organisation->importance, route->importance);
  }
  milliseconds left = request.deadline.value_or(kDefaultDeadline);
  if (route->timeout.count() > 0)
    left = std::min(left, route->timeout);
  call.deadline = now_ + left - std::min(kAnswerMargin, left);
  call.useful_until = std::min(call.deadline, now_ + route->target_latency);
  call.service = PickService(*route);
  call.max_attempts = std::max(route->max_attempts, 1u);
  // Requests without a key are mostly calls that running requests make. They
  // are as important as those, and useful to the end.
  if (route->open) {
    const Work* parent = ParentOf(forward);
    rank = parent ? parent->forward->rank() : 0;
    call.useful_until = call.deadline;
  }
  forward.set_onward(route->open);
  forward.set_service(call.service);
  forward.set_organisation(call.organisation);
  forward.set_rank(rank);
  forward.set_idempotent(route->idempotent);
  forward.set_route(route->name);
  forward.set_caller_service(identity_.service);
  return Reason::kNone;
}

const Node::Work* Node::ParentOf(const wire::Forward& forward) const {
  // Ids of calls are seen to begin with the id of the request that makes them.
  // Where they do not, the call has no known parent.
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

/// Smooth weighted round robin: shares are kept over short times too.
const std::string& Node::PickService(const Route& route) {
  if (route.services.size() == 1)
    return route.services.front().service;
  auto& credit = split_credit_[&route];
  if (credit.empty()) {
    // A random start, so that nodes do not all begin with the same part.
    for (const auto& part : route.services) {
      credit.push_back(
          std::uniform_real_distribution<double>(0, part.weight)(random_));
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

bool Node::ConfigFresh() const {
  return config_ && now_ - config_confirmed_ <
                        identity_.bounds.key_withdrawal - kWithdrawalMargin;
}

bool Node::IsQuarantined(const wire::Forward& forward) const {
  return quarantine_.size() > 0 &&
         quarantine_.IsQuarantined(FingerprintOfForward(forward), now_);
}

void Node::Place(Call& call) {
  bool onward = call.forward->onward();
  Placement::Request request{call.service, call.forward->route(),
                             call.forward->rank(), onward};
  request.zone_tolerance = std::chrono::duration_cast<microseconds>(
      (call.useful_until - now_) *
      (onward ? kOnwardZoneTolerance : kZoneTolerance));
  auto choice = placement_.Choose(request, call.tried);
  if (!choice || ++call.placements > kMostPlacements) {
    bool any = placement_.Serves(call.service);
    Refuse(call, any ? Reason::kOverload : Reason::kNoTarget,
           SpreadRetryAfter(kUnknownHint));
    return;
  }
  call.expected = choice->wait + choice->service;
  auto useful = static_cast<double>((call.useful_until - now_).count());
  auto left = static_cast<double>((call.deadline - now_).count());
  auto wait = static_cast<double>(choice->wait.count());
  auto service = static_cast<double>(choice->service.count());
  bool too_late = choice->wait.count() > 0
                      ? wait + service > useful * UsableTime(onward)
                      : left <= 0;
  if (too_late) {
    Refuse(call, Reason::kOverload, SpreadRetryAfter(choice->wait));
    return;
  }
  SendTo(call, *choice);
}

void Node::SendTo(Call& call, const Placement::Choice& choice) {
  auto ms_until = [this](TimePoint time) {
    return static_cast<uint32_t>(std::max<int64_t>(
        0, std::chrono::duration_cast<milliseconds>(time - now_).count()));
  };
  call.forward->set_remaining_ms(ms_until(call.deadline));
  call.forward->set_useful_ms(ms_until(call.useful_until));
  call.node = choice.node;
  call.stream = ++last_id_;
  placement_.OnSent(choice.node);
  if (choice.node == identity_.node) {
    call.link = LinkId();
    Accept(Work{WorkId{call.stream}, LinkId(), call.stream, call.id,
                call.forward});
    return;
  }
  auto member = members_.find(choice.node);
  call.link = member->second.link;
  Link& link = links_.at(call.link);
  link.calls[call.stream] = call.id;
  link.last_forward = now_;
  call.forward->set_stream(call.stream);
  call.forward->set_sent_us(
      static_cast<uint64_t>(now_.time_since_epoch().count()));
  effects_.push_back(SendForward{call.link, call.forward});
}

void Node::Detach(Call& call) {
  placement_.OnEnded(call.node);
  auto link = links_.find(call.link);
  if (link != links_.end())
    link->second.calls.erase(call.stream);
  call.stream = 0;
}

bool Node::MayRepeat(const Call& call) const {
  return call.forward->idempotent() && call.runs < call.max_attempts &&
         now_ < call.deadline && !IsQuarantined(*call.forward);
}

void Node::OnOutcome(Call& call, std::shared_ptr<wire::Outcome> outcome) {
  Detach(call);
  call.tried.push_back(call.node);
  switch (outcome->kind()) {
    case wire::Outcome::ANSWERED: {
      ++call.runs;
      bool failed = static_cast<int>(outcome->status()) >= kServerError;
      CountOnwardEnd(call, failed, failed && outcome->calls_overloaded());
      // If its calls fail, so would those of another target.
      if (failed && !outcome->calls_failing() && MayRepeat(call) &&
          retries_.Take(call.service, call.forward->rank(), FleetSize(),
                        now_)) {
        call.may_have_run = true;
        break;
      }
      CallId id = call.id;
      effects_.push_back(DeliverAnswer{id, std::move(outcome)});
      EndCall(call);
      calls_.erase(id);
      return;
    }
    case wire::Outcome::NOT_RUN:
      break;
    case wire::Outcome::SHED:
      // The request has reached a target, so a further one counts as a repeat.
      // A target that sheds a part may take the request the next time.
      if (!placement_.HasOther(call.service, call.tried))
        call.tried.clear();
      call.shed = true;
      if (!retries_.Take(call.service, call.forward->rank(), FleetSize(),
                         now_)) {
        Refuse(call, Reason::kOverload, SpreadRetryAfter(kUnknownHint));
        return;
      }
      break;
    default:
      ++call.runs;
      call.may_have_run = true;
      if (!MayRepeat(call) || !retries_.Take(call.service, call.forward->rank(),
                                             FleetSize(), now_)) {
        bool late = now_ >= call.deadline || outcome->reason() == "deadline";
        Refuse(call, late ? Reason::kDeadline : Reason::kTargetFailed,
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

void Node::Refuse(Call& call, Reason reason, milliseconds retry_after) {
  bool not_run = !call.may_have_run;
  if (calls_.contains(call.id)) {
    // A target that sheds below its slots is at fault itself: fewer requests
    // would not help.
    bool overloaded = !call.shed && reason == Reason::kOverload;
    CountOnwardEnd(call, true, overloaded);
  }
  if (not_run && call.took_token)
    rate_share_.GiveBack(call.organisation);
  RefuseCaller refuse{call.id, call.forward->request_id(), reason, not_run};
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
       {"rank", std::to_string(call.forward->rank())},
       {"not_run", not_run ? "true" : "false"},
       {"peer", call.node},
       {"placements", std::to_string(call.tried.size())},
       {"held_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                      now_ - call.arrived)
                                      .count())},
       {"expected_us", std::to_string(call.expected.count())},
       {"useful_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        call.useful_until - now_)
                                        .count())},
       {"config", config_ ? std::to_string(config_->version) : "none"},
       {"config_age_ms", ConfigAge()}});
  if (calls_.contains(call.id)) {
    CallId id = call.id;
    EndCall(call);
    calls_.erase(id);
  }
}

bool Node::AdmittedByThrottle(const Call& call) {
  // Work was done for onward calls already.
  if (call.forward->onward())
    return true;
  uint32_t rank = call.forward->rank();
  call_throttle_.Learn(call.service, rank,
                       placement_.FailedCalls(call.service, rank), now_);
  return call_throttle_.Admits(
      call.service, rank,
      std::uniform_real_distribution<double>(0, 1)(random_));
}

void Node::CountOnwardEnd(const Call& call, bool failed, bool overloaded) {
  if (!call.forward->onward())
    return;
  call_failures_.Count(call.forward->rank(), overloaded, now_);
  if (failed)
    last_call_failure_ = now_;
  if (overloaded)
    last_call_overload_ = now_;
}

milliseconds Node::SpreadRetryAfter(microseconds base) {
  auto hint = std::clamp(std::chrono::duration_cast<milliseconds>(base),
                         kShortestHint, kLongestHint);
  std::uniform_real_distribution<double> spread(0.75, 1.5);
  return milliseconds(static_cast<int64_t>(static_cast<double>(hint.count()) *
                                           spread(random_)));
}

void Node::WaitForToken(Call& call) {
  std::string organisation = call.organisation;
  token_waits_[organisation].emplace_back(now_, call.id);
  call_deadlines_.insert({call.deadline, call.id});
  calls_[call.id] = std::move(call);
  AskForTokens(organisation);
}

void Node::OnShares(const wire::Shares& shares) {
  rate_share_.Apply(shares, now_);
  for (const wire::Shares::Row& row : shares.rows()) {
    auto waits = token_waits_.find(row.organisation());
    if (waits == token_waits_.end() || row.per_second() > 0)
      continue;
    auto waiting = std::exchange(waits->second, {});
    token_waits_.erase(waits);
    for (const auto& [since, id] : waiting) {
      auto found = calls_.find(id);
      if (found == calls_.end())
        continue;
      if (!rate_share_.TakeCommon(row.organisation(), now_)) {
        Refuse(found->second, Reason::kOverRate,
               SpreadRetryAfter(kUnknownHint));
        continue;
      }
      Call call = std::move(found->second);
      EndCall(call);
      calls_.erase(found);
      Admit(std::move(call), false);
    }
  }
}

void Node::ExpireTokenWaits() {
  for (auto& [organisation, waiting] : token_waits_) {
    while (!waiting.empty() && now_ - waiting.front().first > kTokenWait) {
      CallId id = waiting.front().second;
      waiting.pop_front();
      auto found = calls_.find(id);
      if (found != calls_.end())
        Refuse(found->second, Reason::kRateShareUnavailable,
               SpreadRetryAfter(kUnknownHint));
    }
  }
  std::erase_if(token_waits_,
                [](const auto& item) { return item.second.empty(); });
}

void Node::On(const CallerLeft& event) {
  auto found = calls_.find(event.call);
  if (found == calls_.end())
    return;
  Call call = found->second;
  Detach(found->second);
  EndCall(found->second);
  calls_.erase(found);
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

void Node::ExpireCalls() {
  while (!call_deadlines_.empty() && call_deadlines_.begin()->first <= now_) {
    CallId id = call_deadlines_.begin()->second;
    call_deadlines_.erase(call_deadlines_.begin());
    auto found = calls_.find(id);
    if (found == calls_.end())
      continue;
    Call& call = found->second;
    LinkId link = call.link;
    uint64_t stream = call.stream;
    Detach(call);
    call.may_have_run = call.may_have_run || stream != 0;
    Refuse(call, Reason::kDeadline, milliseconds(0));
    if (stream == 0)
      continue;
    if (!link) {
      CancelWork(WorkId{stream});
      continue;
    }
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_cancel()->set_stream(stream);
    Send(link, std::move(frame));
  }
}

void Node::EndCall(const Call& call) {
  call_deadlines_.erase({call.deadline, call.id});
}

}  // namespace comfreylock::mesh
