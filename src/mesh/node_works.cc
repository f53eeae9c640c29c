#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "crypto.h"
#include "mesh/node.h"

/// Decisions about requests at this host's target.
namespace comfreylock::mesh {
namespace {

using std::chrono::milliseconds;

/// Time without use after a connection to the target was refused, unless the
/// target reports before.
constexpr milliseconds kDownPause = 1000ms;
/// Reports that a target may miss before it is taken for gone, if it does not
/// answer requests either.
constexpr double kMissedReports = 2.5;
/// Silence of a target with running requests that counts together with missed
/// reports.
constexpr milliseconds kTargetSilence = 1500ms;
/// Weight of a new result in the share of failures.
constexpr double kFailureGain = 0.05;
/// Requests that broke within this time before a refused connection were
/// running when the target ended.
constexpr milliseconds kCrashWindow = 1000ms;
/// Intervals at which a node tells its load: on links with requests, and on
/// others.
constexpr milliseconds kBusyLoadInterval = 200ms;
constexpr milliseconds kIdleLoadInterval = 1000ms;
/// Time after the last request for which a link counts as busy.
constexpr milliseconds kBusyTime = 3000ms;
constexpr int kServerError = 500;
constexpr double kPermille = 1000;
/// Time for which a failed call of the target explains its own failures.
constexpr milliseconds kCallFailureTime = 1500ms;
/// Ids of targets that have left which are remembered.
constexpr size_t kGoneTargetsKept = 64;

/// Shortens figures by rank, of which the last one counts for all further
/// ranks, and none means 0.
void DropRepeatedEnd(google::protobuf::RepeatedField<uint32_t>& values) {
  while (values.size() > 1 &&
         values[values.size() - 2] == values[values.size() - 1]) {
    values.RemoveLast();
  }
  if (values.size() == 1 && values[0] == 0)
    values.Clear();
}

}  // namespace

std::string Node::FingerprintOfForward(const wire::Forward& forward) {
  RequestSummary summary;
  summary.method = forward.method();
  summary.target = forward.path();
  summary.body_digest = Sha256(forward.body());
  return FingerprintOf(forward.organisation(), summary);
}

void Node::Accept(Work work) {
  work.deadline = now_ + milliseconds(work.forward->remaining_ms());
  if (Reason reason = WhyNotAccepted(work); reason != Reason::kNone) {
    ReplyWithout(work, wire::Outcome::NOT_RUN, InfoOf(reason).name);
    return;
  }
  OfferedWork offered;
  offered.work = work.id;
  offered.organisation = work.forward->organisation();
  offered.route = work.forward->route();
  offered.rank = work.forward->rank();
  offered.onward = work.forward->onward();
  offered.useful_until = now_ + milliseconds(work.forward->useful_ms());
  offered.deadline = work.deadline;
  auto link = links_.find(work.link);
  if (link != links_.end())
    link->second.works[work.stream] = work.id;
  running_requests_[work.forward->request_id()] = work.id;
  works_[work.id] = std::move(work);
  Apply(queue_.Offer(offered, now_));
}

Reason Node::WhyNotAccepted(const Work& work) const {
  if (!TargetServes() || work.forward->service() != target_.report.service)
    return Reason::kNoTarget;
  if (IsQuarantined(*work.forward))
    return Reason::kQuarantined;
  return work.forward->remaining_ms() == 0 ? Reason::kDeadline : Reason::kNone;
}

void Node::Apply(const TargetQueue::Changes& changes) {
  for (WorkId id : changes.refuse) {
    auto found = works_.find(id);
    if (found == works_.end())
      continue;
    Work work = found->second;
    EndWork(id);
    LogLine(LogCode::kWorkRejected,
            {{"request_id", work.forward->request_id()},
             {"organisation", work.forward->organisation()},
             {"reason", "overload"},
             {"rank", std::to_string(work.forward->rank())},
             {"in_flight", std::to_string(queue_.in_flight())},
             {"slots", std::to_string(queue_.slots())},
             {"queued", std::to_string(queue_.queued())},
             {"mean_us", std::to_string(queue_.mean_service_time().count())},
             {"useful_ms", std::to_string(work.forward->useful_ms())}});
    ReplyWithout(work, wire::Outcome::NOT_RUN, "overload");
  }
  for (WorkId id : changes.start)
    Start(id);
}

void Node::Start(WorkId id) {
  auto found = works_.find(id);
  if (found == works_.end())
    return;
  found->second.started = true;
  effects_.push_back(RunOnTarget{id, target_.report.id, found->second.deadline,
                                 found->second.forward});
}

void Node::On(const TargetAnswered& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  Work work = found->second;
  EndWork(event.work);
  const TargetResult& result = event.result;
  auto outcome = std::make_shared<wire::Outcome>();
  bool failed = result.kind != TargetResult::Kind::kAnswered ||
                result.status >= kServerError;
  target_.failures += kFailureGain * ((failed ? 1 : 0) - target_.failures);
  switch (result.kind) {
    case TargetResult::Kind::kAnswered:
      target_.last_answer = now_;
      outcome->set_kind(wire::Outcome::ANSWERED);
      outcome->set_status(static_cast<uint32_t>(result.status));
      outcome->set_status_text(result.status_text);
      for (const auto& [name, value] : result.fields) {
        wire::Field* field = outcome->add_fields();
        field->set_name(name);
        field->set_value(value);
      }
      outcome->set_body(result.body);
      if (result.success && quarantine_.size() > 0) {
        quarantine_.RecordCompletion(FingerprintOfForward(*work.forward), now_);
      }
      break;
    case TargetResult::Kind::kShed:
    case TargetResult::Kind::kWrongTarget:
      target_.last_answer = now_;
      outcome->set_kind(wire::Outcome::SHED);
      outcome->set_reason("target_shed");
      break;
    case TargetResult::Kind::kNotSent:
      outcome->set_kind(wire::Outcome::NOT_RUN);
      outcome->set_reason("not_connected");
      break;
    default:
      outcome->set_kind(wire::Outcome::UNKNOWN);
      outcome->set_reason("broken");
      break;
  }
  outcome->set_calls_failing(now_ - last_call_failure_ < kCallFailureTime);
  outcome->set_calls_overloaded(now_ - last_call_overload_ < kCallFailureTime);
  OnTargetFailure(work, result);
  Apply(queue_.Finish(event.work, result.success, now_));
  Reply(work, std::move(outcome));
}

void Node::OnTargetFailure(const Work& work, const TargetResult& result) {
  if (result.kind == TargetResult::Kind::kBroken) {
    std::erase_if(broken_, [this](const BrokenWork& broken) {
      return now_ - broken.time > kCrashWindow;
    });
    broken_.push_back({now_, FingerprintOfForward(*work.forward)});
  }
  bool wrong = result.kind == TargetResult::Kind::kWrongTarget;
  bool down = result.kind == TargetResult::Kind::kNotSent;
  if (result.kind != TargetResult::Kind::kAnswered) {
    LogLine(
        LogCode::kAttemptFailed,
        {{"request_id", work.forward->request_id()},
         {"organisation", work.forward->organisation()},
         {"target", target_.report.id},
         {"reason", wrong                                      ? "wrong_target"
                    : down                                     ? "not_connected"
                    : result.kind == TargetResult::Kind::kShed ? "target_shed"
                                                               : "broken"}});
  }
  if (wrong && target_.known) {
    target_.known = false;
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id}, {"state", "replaced"}});
    Apply(queue_.Clear());
  }
  if (down && now_ >= target_.down_until) {
    target_.down_until = now_ + kDownPause;
    if (result.connection_refused && !broken_.empty())
      TargetDown();
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id}, {"state", "unreachable"}});
    Apply(queue_.Clear());
  }
}

void Node::TargetDown() {
  std::vector<Quarantine::InFlight> in_flight;
  for (const BrokenWork& broken : std::exchange(broken_, {})) {
    if (now_ - broken.time <= kCrashWindow)
      in_flight.push_back({broken.fingerprint});
  }
  LogLine(LogCode::kTargetCrashed,
          {{"target", target_.report.id},
           {"in_flight", std::to_string(in_flight.size())}});
  for (const auto& fingerprint : quarantine_.RecordCrash(in_flight, now_)) {
    LogLine(LogCode::kRequestQuarantined,
            {{"fingerprint", ToHex(fingerprint)}});
  }
  TellQuarantine(LinkId());
}

void Node::Reply(const Work& work, std::shared_ptr<wire::Outcome> outcome) {
  if (!work.link) {
    auto call = calls_.find(work.call);
    if (call != calls_.end() && call->second.stream == work.stream)
      OnOutcome(call->second, std::move(outcome));
    return;
  }
  auto link = links_.find(work.link);
  if (link == links_.end())
    return;
  outcome->set_stream(work.stream);
  *outcome->mutable_load() = OwnLoad();
  link->second.last_load = now_;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_outcome() = std::move(*outcome);
  Send(work.link, std::move(frame));
}

void Node::ReplyWithout(const Work& work,
                        wire::Outcome::Kind kind,
                        std::string_view reason) {
  auto outcome = std::make_shared<wire::Outcome>();
  outcome->set_kind(kind);
  outcome->set_reason(std::string(reason));
  Reply(work, std::move(outcome));
}

void Node::CancelWork(WorkId id) {
  auto found = works_.find(id);
  if (found == works_.end())
    return;
  Work work = found->second;
  EndWork(id);
  if (!work.started) {
    queue_.Remove(id);
    ReplyWithout(work, wire::Outcome::NOT_RUN, "cancelled");
    return;
  }
  effects_.push_back(AbortOnTarget{id});
  ReplyWithout(work, wire::Outcome::UNKNOWN, "cancelled");
  Apply(queue_.Finish(id, false, now_));
}

void Node::EndWork(WorkId id) {
  auto found = works_.find(id);
  auto link = links_.find(found->second.link);
  if (link != links_.end())
    link->second.works.erase(found->second.stream);
  auto request = running_requests_.find(found->second.forward->request_id());
  if (request != running_requests_.end() && request->second == id)
    running_requests_.erase(request);
  works_.erase(found);
}

bool Node::TargetServes() const {
  return target_.known && !target_.leaving && now_ >= target_.down_until &&
         queue_.slots() > 0;
}

bool Node::IsNewerReport(const TargetReport& report) const {
  auto gone = target_.gone.find(report.id);
  if (gone != target_.gone.end() && report.born <= gone->second)
    return false;
  if (!target_.known)
    return report.born >= target_.report.born || report.born == 0;
  if (report.id != target_.report.id)
    return report.born == 0 || report.born >= target_.report.born;
  if (report.born != target_.report.born)
    return report.born > target_.report.born;
  return report.sequence > target_.report.sequence || report.leaving;
}

void Node::On(const TargetReported& event) {
  TargetReport report = event.report;
  // A leave may tell nothing but the id.
  if (report.leaving && report.born == 0 && report.id == target_.report.id)
    report.born = target_.report.born;
  bool known_service =
      !config_ || report.leaving || config_->services.contains(report.service);
  bool own =
      report.address.empty() || report.address == identity_.target_address;
  if (!known_service || !own || !IsNewerReport(report)) {
    LogLine(LogCode::kReportIgnored,
            {{"target", report.id},
             {"reason", !known_service ? "unknown_service"
                        : !own         ? "other_address"
                                       : "old"},
             {"sequence", std::to_string(report.sequence)},
             {"born", std::to_string(report.born)}});
    return;
  }
  bool changed = !target_.known || report.id != target_.report.id ||
                 report.born != target_.report.born;
  if (report.leaving && report.id != target_.report.id && target_.known) {
    // Another target that has left; the present one goes on.
    target_.gone[report.id] = report.born;
    return;
  }
  bool was_serving = TargetServes();
  bool was_leaving = target_.leaving && !changed;
  if (changed) {
    queue_.ForgetTarget();
    target_.failures = 0;
    target_.leaving = false;
  }
  TargetReport merged = report;
  if (report.leaving && !changed) {
    // A leave tells less than a report.
    merged = target_.report;
    merged.leaving = true;
  }
  target_.report = std::move(merged);
  target_.known = true;
  target_.reported = now_;
  target_.down_until = TimePoint();
  if (target_.report.leaving) {
    target_.leaving = true;
    target_.gone[report.id] = target_.report.born;
    if (target_.gone.size() > kGoneTargetsKept)
      target_.gone.erase(target_.gone.begin());
  }
  if (!target_.leaving)
    queue_.SetSlots(target_.report.slots);
  if (changed || (target_.leaving && !was_leaving) ||
      was_serving != TargetServes()) {
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id},
             {"service", target_.report.service},
             {"state", target_.leaving ? "leaving" : "ready"},
             {"slots", std::to_string(target_.report.slots)},
             {"sequence", std::to_string(report.sequence)}});
  }
  if (target_.leaving)
    Apply(queue_.Clear());
  if (changed || target_.leaving != was_leaving)
    WriteTargetRecord();
  TellLoad();
}

void Node::AdvanceTarget() {
  if (!target_.known || target_.leaving)
    return;
  auto allowed = identity_.bounds.report_interval * kMissedReports;
  bool overdue = now_ - target_.reported > allowed;
  bool silent = now_ - target_.last_answer > kTargetSilence;
  if (!overdue || !silent)
    return;
  target_.known = false;
  LogLine(LogCode::kTargetChanged,
          {{"target", target_.report.id},
           {"state", "silent"},
           {"in_flight", std::to_string(queue_.in_flight())}});
  Apply(queue_.Clear());
}

void Node::AddWaits(bool onward, ByRank& waits) const {
  for (uint32_t rank = 0; rank < kRanks; ++rank) {
    waits.Add(
        static_cast<uint32_t>(queue_.ExpectedWait(rank, onward, now_).count()));
  }
  DropRepeatedEnd(waits);
}

wire::Load Node::OwnLoad() const {
  wire::Load load;
  load.set_serving(TargetServes() && !refuses_work_);
  load.set_slots(queue_.Limit(now_));
  load.set_in_flight(queue_.in_flight());
  load.set_queued(queue_.queued());
  AddWaits(true, *load.mutable_call_wait_us());
  AddWaits(false, *load.mutable_request_wait_us());
  for (uint32_t rank = 0; rank < kRanks; ++rank)
    load.add_failed_calls_permille(call_failures_.Permille(rank, now_));
  DropRepeatedEnd(*load.mutable_failed_calls_permille());
  load.set_service_time_us(
      static_cast<uint32_t>(queue_.mean_service_time().count()));
  load.set_failure_permille(
      static_cast<uint32_t>(target_.failures * kPermille));
  load.set_service(target_.report.service);
  load.set_sent_us(static_cast<uint64_t>(now_.time_since_epoch().count()));
  if (config_) {
    load.set_config_version(config_->version);
    load.set_config_age_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(now_ - config_confirmed_)
            .count()));
  }
  for (const auto& [route, time] : queue_.RouteTimes(now_)) {
    wire::Load::RouteTime* row = load.add_route_times();
    row->set_route(route);
    row->set_time_us(static_cast<uint32_t>(time.count()));
  }
  auto since =
      std::chrono::duration_cast<milliseconds>(now_ - target_.reported);
  if (target_.report.warmup_left > since) {
    load.set_warmup_left_ms(
        static_cast<uint32_t>((target_.report.warmup_left - since).count()));
  }
  return load;
}

void Node::TellLoad() {
  wire::Load load = OwnLoad();
  if (!load.service().empty())
    placement_.SetNode(identity_.node, load.service(), identity_.zone);
  placement_.Learn(identity_.node, load, now_);
  bool changed = std::exchange(told_serving_, load.serving()) != load.serving();
  changed |= std::exchange(told_version_, load.config_version()) !=
             load.config_version();
  bool watcher = WatchesConfig();
  for (auto& [id, link] : links_) {
    if (!link.open || !link.accepted)
      continue;
    // What a watcher knows of the configuration must not grow old on its way.
    bool busy = watcher || now_ - link.last_forward < kBusyTime;
    auto interval = busy ? kBusyLoadInterval : kIdleLoadInterval;
    if (!changed && now_ - link.last_load < interval)
      continue;
    link.last_load = now_;
    auto frame = std::make_shared<wire::Frame>();
    *frame->mutable_load() = load;
    Send(id, std::move(frame));
  }
}

}  // namespace comfreylock::mesh
