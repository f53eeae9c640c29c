#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "crypto.h"
#include "mesh/mesh_reducer.h"

/// Decisions about requests that are sent to this host's target.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time for which a target is not used after a connection to it failed, unless
/// it sends a report earlier.
constexpr milliseconds kTargetRetryDelay = 1000ms;
/// Number of report intervals without a report after which a target is no
/// longer used, if it does not answer requests either.
constexpr double kMaxMissedReports = 2.5;
/// The same number after which a target counts as cold: it may have been
/// restarted. A report that is only late arrives earlier.
constexpr double kMaxMissedReportsWhileWarm = 1.5;
/// Time without an answer after which a target that has missed its reports is
/// no longer used.
constexpr milliseconds kTargetAnswerTimeout = 1500ms;
/// Weight of a new result in the smoothed failure ratio.
constexpr double kFailureSmoothingFactor = 0.05;
/// Requests that ended without an answer within this time before a refused
/// connection are assumed to have been running when the target crashed.
constexpr milliseconds kCrashWindow = 1000ms;
/// Intervals at which a node sends its load: on busy links, and on others.
constexpr milliseconds kBusyLoadInterval = 200ms;
constexpr milliseconds kIdleLoadInterval = 1000ms;
/// Time after the last request for which a link counts as busy.
constexpr milliseconds kBusyLinkWindow = 3000ms;
constexpr int kMinServerErrorStatus = 500;
constexpr double kPermille = 1000;
/// Highest reported rate of starts, in thousandths per second.
constexpr double kMaxStartRate = 4e9;
/// A failure of the target within this time after a failed onward call is
/// attributed to that call.
constexpr milliseconds kCallFailureWindow = 1500ms;
/// Maximum number of departed targets whose ids are kept.
constexpr size_t kMaxDepartedTargets = 64;
/// Time within which a further leave without a start time is taken as a copy of
/// the first: targets repeat it for some seconds until it is confirmed.
constexpr std::chrono::seconds kRepeatedLeaveWindow{30};
/// Time for which the answer to a report waits for the store. A target takes an
/// answer after more than a second as no confirmation.
constexpr milliseconds kReportAnswerTimeout = 850ms;

/// Minimum time between two log lines about the limit of a cold target.
constexpr milliseconds kWarmupLogInterval = 1000ms;

/// @return whether `report` says more than `known`, which was received before.
bool IsNewer(const TargetReport& report, const TargetReport& known) {
  if (report.id != known.id)
    return report.started_at_ms == 0 ||
           report.started_at_ms >= known.started_at_ms;
  if (report.started_at_ms != known.started_at_ms)
    return report.started_at_ms > known.started_at_ms;
  return report.sequence > known.sequence || report.leaving;
}

/// Shortens a list of values by rank: its last value applies to all further
/// ranks, and an empty list means 0 for all.
void TrimTrailingRepeats(google::protobuf::RepeatedField<uint32_t>& values) {
  while (values.size() > 1 &&
         values[values.size() - 2] == values[values.size() - 1]) {
    values.RemoveLast();
  }
  if (values.size() == 1 && values[0] == 0)
    values.Clear();
}

}  // namespace

std::string MeshReducer::FingerprintOfForward(const wire::Forward& forward) {
  RequestSummary summary;
  summary.method = forward.method();
  summary.request_target = forward.path();
  summary.body_digest = Sha256(forward.body());
  return FingerprintOf(forward.organisation(), summary);
}

void MeshReducer::AcceptWork(Work work) {
  work.deadline = now_ + milliseconds(work.forward->remaining_ms());
  if (Reason reason = RejectionReason(work); reason != Reason::kNone) {
    ReplyWithoutAnswer(work, wire::Outcome::NOT_RUN, InfoOf(reason).name);
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

Reason MeshReducer::RejectionReason(const Work& work) const {
  if (!IsTargetServing() || work.forward->service() != target_.report.service)
    return Reason::kNoTarget;
  if (IsQuarantined(*work.forward))
    return Reason::kQuarantined;
  if (work.forward->remaining_ms() == 0)
    return Reason::kDeadline;
  if (!IsOverBeforeExit(work.deadline) &&
      !(AcceptsCallers() &&
        CanAnswerBeforeExit(work.deadline, ExpectedTime(*work.forward))))
    return Reason::kDraining;
  return Reason::kNone;
}

microseconds MeshReducer::ExpectedTime(const wire::Forward& forward) const {
  return queue_.ExpectedWait(forward.rank(), forward.onward(), now_) +
         queue_.mean_service_time();
}

void MeshReducer::Apply(const TargetQueue::Changes& changes,
                        std::string_view refusal_reason) {
  CountWarmupRefusals(changes.refused_while_cold);
  for (WorkId id : changes.refuse) {
    auto found = works_.find(id);
    if (found == works_.end())
      continue;
    Work work = found->second;
    EndWork(id);
    LogLine(LogCode::kWorkRejected,
            {{"request_id", work.forward->request_id()},
             {"organisation", work.forward->organisation()},
             {"reason", std::string(refusal_reason)},
             {"rank", std::to_string(work.forward->rank())},
             {"in_flight", std::to_string(queue_.in_flight())},
             {"slots", std::to_string(queue_.slots())},
             {"queued", std::to_string(queue_.queued())},
             {"mean_us", std::to_string(queue_.mean_service_time().count())},
             {"useful_ms", std::to_string(work.forward->useful_ms())}});
    ReplyWithoutAnswer(work, wire::Outcome::NOT_RUN, refusal_reason);
  }
  for (WorkId id : changes.start)
    StartWork(id);
}

void MeshReducer::StartWork(WorkId id) {
  auto found = works_.find(id);
  if (found == works_.end())
    return;
  found->second.started = true;
  effects_.push_back(RunOnTarget{id, target_.report.id, found->second.deadline,
                                 found->second.forward});
}

void MeshReducer::Handle(const TargetAnswered& event) {
  auto found = works_.find(event.work);
  if (found == works_.end())
    return;
  Work work = found->second;
  EndWork(event.work);
  const TargetResult& result = event.result;
  auto outcome = std::make_shared<wire::Outcome>();
  bool failed = result.kind != TargetResult::Kind::kAnswered ||
                result.status >= kMinServerErrorStatus;
  target_.failure_ratio +=
      kFailureSmoothingFactor * ((failed ? 1 : 0) - target_.failure_ratio);
  switch (result.kind) {
    case TargetResult::Kind::kAnswered:
      target_.last_answer_at = now_;
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
      target_.last_answer_at = now_;
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
  outcome->set_calls_failing(now_ - last_call_failure_at_ < kCallFailureWindow);
  outcome->set_calls_overloaded(now_ - last_call_overload_at_ <
                                kCallFailureWindow);
  OnTargetFailure(work, result);
  Apply(queue_.Finish(event.work, result.success, now_));
  Reply(work, std::move(outcome));
}

void MeshReducer::OnTargetFailure(const Work& work,
                                  const TargetResult& result) {
  if (result.kind == TargetResult::Kind::kOutcomeUnknown) {
    std::erase_if(interrupted_, [this](const InterruptedWork& interrupted) {
      return now_ - interrupted.time > kCrashWindow;
    });
    interrupted_.push_back({now_, FingerprintOfForward(*work.forward)});
  }
  bool wrong_target = result.kind == TargetResult::Kind::kWrongTarget;
  bool not_connected = result.kind == TargetResult::Kind::kNotSent;
  if (result.kind != TargetResult::Kind::kAnswered) {
    LogLine(
        LogCode::kAttemptFailed,
        {{"request_id", work.forward->request_id()},
         {"organisation", work.forward->organisation()},
         {"target", target_.report.id},
         {"reason", wrong_target                               ? "wrong_target"
                    : not_connected                            ? "not_connected"
                    : result.kind == TargetResult::Kind::kShed ? "target_shed"
                                                               : "broken"},
         {"error", result.error}});
  }
  if (wrong_target && target_.known) {
    target_.known = false;
    AssumeColdSince(now_);
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id}, {"state", "replaced"}});
    AdvertiseLoad();
    Apply(queue_.RefuseAll());
  }
  if (not_connected && now_ >= target_.unreachable_until) {
    target_.unreachable_until = now_ + kTargetRetryDelay;
    // If it can be reached again then, it was probably restarted.
    if (result.connection_refused)
      AssumeColdSince(target_.unreachable_until);
    if (result.connection_refused && !interrupted_.empty())
      RecordTargetCrash();
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id}, {"state", "unreachable"}});
    // Until it is known, requests are placed here, refused and placed again.
    AdvertiseLoad();
    Apply(queue_.RefuseAll());
  }
}

void MeshReducer::RecordTargetCrash() {
  std::vector<Quarantine::InFlightRequest> in_flight;
  for (const InterruptedWork& interrupted : std::exchange(interrupted_, {})) {
    if (now_ - interrupted.time <= kCrashWindow)
      in_flight.push_back({interrupted.fingerprint});
  }
  LogLine(LogCode::kTargetCrashed,
          {{"target", target_.report.id},
           {"in_flight", std::to_string(in_flight.size())}});
  for (const auto& fingerprint : quarantine_.RecordCrash(in_flight, now_)) {
    LogLine(LogCode::kRequestQuarantined,
            {{"fingerprint", ToHex(fingerprint)}});
  }
  SendQuarantine(LinkId());
}

void MeshReducer::Reply(const Work& work,
                        std::shared_ptr<wire::Outcome> outcome) {
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
  *outcome->mutable_load() = LocalLoad();
  AddEvacuations(link->second, *outcome->mutable_load());
  link->second.last_load_sent_at = now_;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_outcome() = std::move(*outcome);
  Send(work.link, std::move(frame));
}

void MeshReducer::ReplyWithoutAnswer(const Work& work,
                                     wire::Outcome::Kind kind,
                                     std::string_view reason) {
  auto outcome = std::make_shared<wire::Outcome>();
  outcome->set_kind(kind);
  outcome->set_reason(std::string(reason));
  Reply(work, std::move(outcome));
}

void MeshReducer::CancelWork(WorkId id) {
  auto found = works_.find(id);
  if (found == works_.end())
    return;
  Work work = found->second;
  EndWork(id);
  if (!work.started) {
    queue_.Remove(id);
    ReplyWithoutAnswer(work, wire::Outcome::NOT_RUN, "cancelled");
    return;
  }
  effects_.push_back(AbortOnTarget{id});
  ReplyWithoutAnswer(work, wire::Outcome::UNKNOWN, "cancelled");
  Apply(queue_.Finish(id, false, now_));
}

void MeshReducer::EndWork(WorkId id) {
  auto found = works_.find(id);
  auto link = links_.find(found->second.link);
  if (link != links_.end())
    link->second.works.erase(found->second.stream);
  auto request = running_requests_.find(found->second.forward->request_id());
  if (request != running_requests_.end() && request->second == id)
    running_requests_.erase(request);
  works_.erase(found);
}

bool MeshReducer::IsTargetServing() const {
  // A node that has just started may have missed an evacuation, so it first
  // reads the zones.
  if (FollowsEvacuations() && (evacuations_.revision == 0 ||
                               evacuations_.zones.contains(identity_.zone)))
    return false;
  return !AwaitsPeers() && target_.known && !target_.leaving &&
         now_ >= target_.unreachable_until && queue_.slots() > 0;
}

const WarmupRule* MeshReducer::FindWarmupRule() const {
  if (!config_)
    return nullptr;
  const std::string& service = target_.report.service.empty()
                                   ? identity_.service
                                   : target_.report.service;
  auto rule = config_->warmup_rules.find(service);
  return rule == config_->warmup_rules.end() ? nullptr : &rule->second;
}

void MeshReducer::AssumeColdSince(TimePoint time) {
  target_.may_be_cold_since =
      std::max(target_.may_be_cold_since.value_or(time), time);
  UpdateWarmupLimit();
}

void MeshReducer::UpdateWarmupLimit() {
  const WarmupRule* rule = FindWarmupRule();
  if (!rule) {
    queue_.SetWarmupRules({});
    return;
  }
  queue_.SetWarmupRules({rule->starts_per_second,
                         identity_.bounds.warmup_overage,
                         identity_.bounds.warmup_slack});
  TimePoint cold_until = target_.cold_until;
  if (target_.may_be_cold_since) {
    cold_until =
        std::max(cold_until, *target_.may_be_cold_since + rule->duration);
  }
  queue_.SetColdUntil(cold_until);
}

milliseconds MeshReducer::WarmupLeft(TimePoint now) const {
  TimePoint cold_until = FindWarmupRule() ? queue_.warmup_limit().cold_until()
                                          : target_.cold_until;
  return std::max(std::chrono::duration_cast<milliseconds>(cold_until - now),
                  milliseconds(0));
}

void MeshReducer::CountWarmupRefusals(uint32_t count) {
  warmup_refusals_ += count;
  if (warmup_refusals_ == logged_warmup_refusals_ || now_ < next_warmup_log_at_)
    return;
  LogLine(
      LogCode::kWarmupLimitReached,
      {{"target", target_.report.id},
       {"refused", std::to_string(warmup_refusals_ - logged_warmup_refusals_)},
       {"warmup_left_ms", std::to_string(WarmupLeft(now_).count())},
       {"queued", std::to_string(queue_.queued())}});
  logged_warmup_refusals_ = warmup_refusals_;
  next_warmup_log_at_ = now_ + kWarmupLogInterval;
}

bool MeshReducer::IsNewerReport(const TargetReport& report) const {
  const DepartedTarget* departed = FindDeparted(report.id);
  if (departed && report.started_at_ms <= departed->LastStart())
    return false;
  if (!target_.known)
    return report.started_at_ms >= target_.report.started_at_ms ||
           report.started_at_ms == 0;
  return IsNewer(report, target_.report);
}

const MeshReducer::DepartedTarget* MeshReducer::FindDeparted(
    const std::string& id) const {
  auto found = std::ranges::find(departed_, id, &DepartedTarget::id);
  return found == departed_.end() ? nullptr : &*found;
}

MeshReducer::DepartedTarget MeshReducer::ParseDeparted(
    const wire::TargetRecord::Departed& row) {
  return {row.id(), row.born(), row.left_at()};
}

void MeshReducer::SerializeDeparted(const DepartedTarget& departed,
                                    wire::TargetRecord::Departed& row) {
  row.set_id(departed.id);
  row.set_born(departed.started_at_ms);
  row.set_left_at(departed.left_at_ms);
}

void MeshReducer::AddDeparted(DepartedTarget departed) {
  if (const DepartedTarget* known = FindDeparted(departed.id)) {
    departed.started_at_ms =
        std::max(departed.started_at_ms, known->started_at_ms);
    departed.left_at_ms = std::max(departed.left_at_ms, known->left_at_ms);
    departed.received_at = std::max(departed.received_at, known->received_at);
    departed_.erase(departed_.begin() + (known - departed_.data()));
  }
  if (departed_.size() >= kMaxDepartedTargets)
    departed_.erase(departed_.begin());
  departed.change = ++target_record_.change;
  departed_.push_back(std::move(departed));
  // The keepers have to be sent this one too.
  informed_keepers_.clear();
  next_keeper_update_at_ = TimePoint();
}

void MeshReducer::KeepEarlyReport(const TargetReport& report) {
  if (!early_report_ || IsNewer(report, *early_report_))
    early_report_ = report;
}

uint64_t MeshReducer::FindStartTime(const std::string& id) const {
  uint64_t start = 0;
  if (id == target_.report.id)
    start = target_.report.started_at_ms;
  // A report that waits for the record was sent before the leave.
  if (early_report_ && id == early_report_->id)
    start = std::max(start, early_report_->started_at_ms);
  return start;
}

void MeshReducer::Handle(const TargetReported& event) {
  if (!target_record_.read && !event.report.leaving) {
    // Only the record tells whether this target has left before a restart of
    // this node.
    KeepEarlyReport(event.report);
    if (event.call)
      effects_.push_back(ReplyToReport{event.call});
    return;
  }
  TargetReport report = event.report;
  // A leave message may contain only the id.
  if (report.leaving && report.started_at_ms == 0)
    report.started_at_ms = FindStartTime(report.id);
  bool unknown_leave = report.leaving && report.started_at_ms == 0 &&
                       report.id != target_.report.id;
  const char* reason = unknown_leave
                           ? ApplyUnknownLeave(report.id, event.received_at_ms)
                           : ApplyReport(report);
  if (reason) {
    LogLine(LogCode::kReportIgnored,
            {{"target", report.id},
             {"reason", reason},
             {"sequence", std::to_string(report.sequence)},
             {"born", std::to_string(report.started_at_ms)}});
  }
  UpdateKeepers();
  AnswerWhenWritten(event);
}

const char* MeshReducer::ApplyReport(TargetReport report) {
  if (config_ && !report.leaving && !config_->services.contains(report.service))
    return "unknown_service";
  if (!report.address.empty() && report.address != identity_.target_address)
    return "other_address";
  if (!IsNewerReport(report))
    return "old";
  bool changed = !target_.known || report.id != target_.report.id ||
                 report.started_at_ms != target_.report.started_at_ms;
  if (report.leaving && report.id != target_.report.id && target_.known) {
    // Another target has left; the present one stays in use.
    AddDeparted({.id = report.id,
                 .started_at_ms = report.started_at_ms,
                 .received_at = now_});
    MaintainTargetRecord();
    return nullptr;
  }
  bool was_serving = IsTargetServing();
  bool was_leaving = target_.leaving && !changed;
  if (changed) {
    queue_.OnTargetReplaced();
    target_.failure_ratio = 0;
    target_.leaving = false;
  }
  TargetReport merged = report;
  if (report.leaving && !changed) {
    // A leave message has fewer fields than a report, so those of the last
    // report are kept.
    merged = target_.report;
    merged.leaving = true;
  }
  target_.report = std::move(merged);
  target_.known = true;
  target_.reported_at = now_;
  target_.missed_reports = false;
  target_.unreachable_until = TimePoint();
  if (!report.leaving || report.states_warmup)
    target_.cold_until = now_ + target_.report.warmup_remaining;
  if (report.states_warmup)
    target_.may_be_cold_since.reset();
  else if (changed)
    target_.may_be_cold_since = now_;
  UpdateWarmupLimit();
  if (target_.report.leaving) {
    target_.leaving = true;
    AddDeparted({.id = report.id,
                 .started_at_ms = target_.report.started_at_ms,
                 .received_at = now_});
  }
  if (!target_.leaving)
    queue_.SetSlots(target_.report.slots);
  if (changed || (target_.leaving && !was_leaving) ||
      was_serving != IsTargetServing()) {
    LogLine(LogCode::kTargetChanged,
            {{"target", target_.report.id},
             {"service", target_.report.service},
             {"state", target_.leaving ? "leaving" : "ready"},
             {"slots", std::to_string(target_.report.slots)},
             {"sequence", std::to_string(report.sequence)}});
  }
  if (target_.leaving)
    Apply(queue_.RefuseAll());
  if (changed)
    ++target_record_.change;
  MaintainTargetRecord();
  AdvertiseLoad();
  return nullptr;
}

/// Without the start time, a late report of the target cannot be told from one
/// of a later target with the same id, except by the time of the leave.
const char* MeshReducer::ApplyUnknownLeave(const std::string& id,
                                           uint64_t received_at_ms) {
  const DepartedTarget* departed = FindDeparted(id);
  if (departed && departed->received_at != TimePoint() &&
      now_ - departed->received_at < kRepeatedLeaveWindow)
    return "repeated";
  AddDeparted({.id = id, .left_at_ms = received_at_ms, .received_at = now_});
  MaintainTargetRecord();
  return nullptr;
}

void MeshReducer::AnswerWhenWritten(const TargetReported& event) {
  if (!event.call)
    return;
  // A leave that is ignored because a newer target is known needs the record of
  // that target, which a late report is compared with after a restart.
  uint64_t change = 0;
  if (event.report.leaving) {
    const DepartedTarget* departed = FindDeparted(event.report.id);
    change = departed ? departed->change : target_record_.change;
  }
  unanswered_reports_.push_back({event.call, change, now_});
  AnswerWrittenReports();
}

void MeshReducer::AnswerWrittenReports() {
  std::erase_if(unanswered_reports_, [this](const UnansweredReport& report) {
    bool written = report.change <= target_record_.written;
    bool late = now_ - report.since >= kReportAnswerTimeout;
    if (written || late)
      effects_.push_back(ReplyToReport{report.call, written});
    return written || late;
  });
}

void MeshReducer::CheckTargetSilence() {
  if (!target_.known || target_.leaving)
    return;
  if (!target_.missed_reports &&
      now_ - target_.reported_at >
          identity_.bounds.report_interval * kMaxMissedReportsWhileWarm) {
    target_.missed_reports = true;
    AssumeColdSince(now_);
  }
  auto max_silence = identity_.bounds.report_interval * kMaxMissedReports;
  bool overdue = now_ - target_.reported_at > max_silence;
  bool silent = now_ - target_.last_answer_at > kTargetAnswerTimeout;
  if (!overdue || !silent)
    return;
  target_.known = false;
  LogLine(LogCode::kTargetChanged,
          {{"target", target_.report.id},
           {"state", "silent"},
           {"in_flight", std::to_string(queue_.in_flight())}});
  AdvertiseLoad();
  Apply(queue_.RefuseAll());
}

void MeshReducer::AddExpectedWaits(bool onward, ValuesByRank& waits) const {
  for (uint32_t rank = 0; rank < kRankCount; ++rank) {
    waits.Add(
        static_cast<uint32_t>(queue_.ExpectedWait(rank, onward, now_).count()));
  }
  TrimTrailingRepeats(waits);
}

wire::Load MeshReducer::LocalLoad() const {
  wire::Load load;
  load.set_serving(IsTargetServing() && !reports_not_serving_);
  load.set_slots(queue_.UsableSlots(now_));
  load.set_in_flight(queue_.in_flight());
  load.set_queued(queue_.queued());
  AddExpectedWaits(true, *load.mutable_call_wait_us());
  AddExpectedWaits(false, *load.mutable_request_wait_us());
  for (uint32_t rank = 0; rank < kRankCount; ++rank)
    load.add_failed_calls_permille(call_failures_.FailurePermille(rank, now_));
  TrimTrailingRepeats(*load.mutable_failed_calls_permille());
  load.set_service_time_us(
      static_cast<uint32_t>(queue_.mean_service_time().count()));
  load.set_failure_permille(
      static_cast<uint32_t>(target_.failure_ratio * kPermille));
  load.set_service(target_.report.service);
  load.set_sent_us(static_cast<uint64_t>(now_.time_since_epoch().count()));
  if (config_) {
    load.set_config_version(config_->version);
    load.set_config_age_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(now_ - config_confirmed_at_)
            .count()));
  }
  for (const auto& [route, time] : queue_.RouteTimes(now_)) {
    wire::Load::RouteTime* row = load.add_route_times();
    row->set_route(route);
    row->set_time_us(static_cast<uint32_t>(time.count()));
  }
  load.set_warmup_left_ms(static_cast<uint32_t>(WarmupLeft(now_).count()));
  const WarmupLimit& limit = queue_.warmup_limit();
  if (limit.IsActive(now_)) {
    load.set_start_rate_milli(static_cast<uint32_t>(
        std::clamp(limit.starts_per_second() * kPermille, 1.0, kMaxStartRate)));
  }
  return load;
}

void MeshReducer::AdvertiseLoad() {
  wire::Load load = LocalLoad();
  if (!load.service().empty())
    target_selector_.SetNode(identity_.node, load.service(), identity_.zone);
  target_selector_.Update(identity_.node, load);
  bool changed =
      std::exchange(advertised_serving_, load.serving()) != load.serving();
  changed |= std::exchange(advertised_config_version_, load.config_version()) !=
             load.config_version();
  bool polls_config = PollsConfig();
  // Only the nodes that read the store send changed zones at once; if all nodes
  // did, a change would cause a load on each link of the fleet. The others pass
  // them on with their next load.
  changed |= std::exchange(evacuations_changed_, false) && polls_config;
  for (auto& [id, link] : links_) {
    if (!link.open || !link.accepted)
      continue;
    // The peer closes a link with requests in progress after a short silence.
    // A node that polls the store sends at the short interval too, because
    // other nodes need its confirmations of the configuration while they are
    // recent.
    bool busy = polls_config || !link.works.empty() ||
                now_ - link.last_forward_at < kBusyLinkWindow;
    auto interval = busy ? kBusyLoadInterval : kIdleLoadInterval;
    if (!changed && now_ - link.last_load_sent_at < interval)
      continue;
    link.last_load_sent_at = now_;
    auto frame = std::make_shared<wire::Frame>();
    *frame->mutable_load() = load;
    AddEvacuations(link, *frame->mutable_load());
    Send(id, std::move(frame));
  }
}

}  // namespace comfreylock::mesh
