#include "mesh/mesh_runtime.h"

#include <algorithm>

#include "comfreylock/config.h"
#include "mesh/peer_input.h"
#include "mesh/socket_options.h"
#include "node_clock.h"

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Largest size of the answers that the target is sending, and the fraction of
/// the memory limit that they may have at most.
constexpr size_t kMaxTargetAnswerBytes = size_t{31} * 1024 * 1024;
constexpr size_t kTargetAnswerFraction = 4;

/// Short timeouts, since the target is on the same host.
HttpClient::Limits TargetLimits(MemoryBudget& budget) {
  return {.connect_timeout = 300ms,
          .tcp_user_timeout = kTargetTcpUserTimeout,
          .idle_timeout = 4000ms,
          .max_buffered_bytes = std::min(
              kMaxTargetAnswerBytes, budget.limit() / kTargetAnswerFraction),
          .budget = &budget};
}

size_t MaxCallerConnections(const MeshRuntimeSettings& settings,
                            const MemoryBudget& budget) {
  return std::min(MaxCallerDescriptors(settings.max_descriptors),
                  budget.MaxConnections());
}

/// Time for which a process that exits leaves its connections to the peers to
/// close, after they have received everything.
constexpr milliseconds kMinCloseTime = 100ms;
/// Interval at which a process that exits checks what was delivered.
constexpr milliseconds kCloseCheckInterval = 10ms;
/// Delay of a wake-up above which new requests are refused.
constexpr milliseconds kMaxEventLoopLag = 250ms;
/// Time after which callers of requests refused for this reason should retry.
constexpr milliseconds kLagRetryAfter = 800ms;

RequestNames NamesOf(const wire::Forward& forward) {
  return {forward.request_id(), forward.organisation(), forward.route()};
}

wire::Hello MakeHello(const NodeIdentity& identity) {
  wire::Hello hello;
  hello.set_node(identity.node);
  hello.set_service(identity.service);
  hello.set_zone(identity.zone);
  hello.set_boot(identity.incarnation);
  hello.set_address(AddressForPeers(identity));
  hello.set_body_parts(true);
  return hello;
}

}  // namespace

MeshRuntime::MeshRuntime(asio::io_context& context,
                         MeshRuntimeSettings settings,
                         LineLog& log,
                         const CallerProtocol& caller_protocol,
                         const TargetProtocol& target_protocol)
    : context_(context),
      settings_(std::move(settings)),
      log_(log),
      caller_protocol_(caller_protocol),
      target_protocol_(target_protocol),
      budget_(settings_.memory_bytes),
      reducer_(
          std::make_unique<MeshReducer>(settings_.identity, ReadNodeClock())),
      caller_server_(context,
                     {[this](CallId call, HttpRequest request) {
                        OnRequest(call, std::move(request));
                      },
                      [this](CallId call) {
                        pending_calls_.erase(call);
                        Feed(CallerDisconnected{call});
                      },
                      [this] {
                        const FleetConfig* config = reducer_->config();
                        return config ? config->limits : CallerLimits();
                      },
                      [this](const CutAnswer& cut) { OnAnswerCut(cut); }},
                     {&budget_, MaxCallerConnections(settings_, budget_)}),
      target_client_(context,
                     settings_.identity.target_address,
                     TargetLimits(budget_)),
      links_(context,
             MakeHello(settings_.identity),
             [this](EventBody event) { Feed(std::move(event)); },
             {budget_,
              [this](size_t bytes, MemoryBudget::Use use) {
                return caller_server_.MakeRoom(bytes, use);
              },
              MaxAcceptedLinkDescriptors(settings_.max_descriptors)}),
      wake_timer_(context) {}

MeshRuntime::~MeshRuntime() = default;

void MeshRuntime::Listen() {
  caller_server_.Listen(settings_.caller_address);
  links_.Listen(settings_.identity.peer_address);
  Log(LogCode::kNodeStarted,
      {{"service", settings_.identity.service},
       {"zone", settings_.identity.zone},
       {"boot", std::to_string(settings_.identity.incarnation)}});
  listening_ = true;
  Feed(Tick{});
}

void MeshRuntime::OnRequest(CallId call, HttpRequest request) {
  if (event_loop_lag_ > kMaxEventLoopLag) {
    // There is too little processor time for all requests, so those in progress
    // have precedence.
    RefuseCall refusal{call, "", Reason::kOverload};
    refusal.retry_after = kLagRetryAfter;
    caller_server_.Respond(call, caller_protocol_.Encode(refusal));
    return;
  }
  auto decoded = caller_protocol_.Decode(std::move(request));
  if (!decoded) {
    RefuseCall refusal{call, "", Reason::kMalformed};
    caller_server_.Respond(call, caller_protocol_.Encode(refusal));
    return;
  }
  pending_calls_[call] = {ReadNodeClock(), decoded->forward};
  Feed(RequestArrived{call, std::move(*decoded)});
}

void MeshRuntime::Feed(EventBody event) {
  if (closing_) {
    // The target reports again until it gets a confirmation.
    if (auto* report = std::get_if<TargetReported>(&event);
        report && report->call && report_responder_)
      report_responder_(ReplyToReport{report->call, false});
    return;
  }
  events_.push_back(std::move(event));
  if (processing_events_)
    return;
  processing_events_ = true;
  // If an event cannot be handled, the exception ends the connection that it
  // came from. The remaining events are handled with the next one.
  auto end_processing = [this](bool*) { processing_events_ = false; };
  std::unique_ptr<bool, decltype(end_processing)> guard(&processing_events_,
                                                        end_processing);
  while (!events_.empty()) {
    EventBody next = std::move(events_.front());
    events_.pop_front();
    Reduce(std::move(next));
  }
  guard.reset();
  ScheduleWake();
}

void MeshRuntime::Reduce(EventBody event) {
  for (auto& effect :
       reducer_->Reduce(Event{ReadNodeClock(), std::move(event)}))
    std::visit([this](const auto& body) { Apply(body); }, effect);
}

void MeshRuntime::ScheduleWake() {
  if (!listening_ || closing_)
    return;
  TimePoint due = reducer_->NextTickTime();
  if (next_tick_at_ <= due && next_tick_at_ != TimePoint())
    return;
  next_tick_at_ = due;
  wake_timer_.expires_after(
      std::max(due - ReadNodeClock(), TimePoint::duration(0)));
  wake_timer_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    event_loop_lag_ = std::chrono::duration_cast<milliseconds>(ReadNodeClock() -
                                                               next_tick_at_);
    next_tick_at_ = TimePoint();
    Feed(Tick{caller_server_.unfinished_writes() + links_.unfinished_writes()});
    UpdatePressure();
    log_.Flush();
  });
}

void MeshRuntime::UpdatePressure() {
  auto changed = budget_.UpdatePressure(ReadNodeClock());
  if (!changed)
    return;
  Log(*changed ? LogCode::kMemoryPressureEntered : LogCode::kMemoryPressureLeft,
      {{"held_bytes", std::to_string(budget_.held())},
       {"limit_bytes", std::to_string(budget_.limit())},
       {"refused", std::to_string(budget_.refusals())},
       {"abandoned", std::to_string(budget_.abandoned())},
       {"connections", std::to_string(caller_server_.connections())}});
}

void MeshRuntime::Reconfigure(const NodeBounds& bounds,
                              const std::string& service) {
  reducer_->Reconfigure(bounds, service);
}

void MeshRuntime::Log(LogCode code,
                      std::vector<std::pair<std::string, std::string>> fields) {
  log_.Write(code, fields);
}

NodeStatus MeshRuntime::status() const {
  return reducer_->StatusAt(ReadNodeClock());
}

std::string MeshRuntime::MetricsText() const {
  std::string text = metrics_.FormatPrometheus(status());
  auto counter = [&text](const std::string& name, uint64_t value) {
    text += "comfreylock_" + name + " " + std::to_string(value) + "\n";
  };
  counter("caller_connections", caller_server_.connections());
  counter("target_connections", target_client_.connections());
  counter("peer_sent_bytes", links_.sent_bytes());
  counter("peer_received_bytes", links_.received_bytes());
  counter("log_lines_dropped", log_.dropped());
  for (size_t i = 0; i < MemoryBudget::kKindCount; ++i) {
    auto kind = static_cast<MemoryBudget::Kind>(i);
    counter(
        "held_bytes{kind=\"" + std::string(MemoryBudget::NameOf(kind)) + "\"}",
        budget_.held(kind));
  }
  counter("held_bytes_limit", budget_.limit());
  counter("memory_pressure", budget_.under_pressure() ? 1 : 0);
  counter("memory_refusals_total", budget_.refusals());
  counter("memory_abandoned_total", budget_.abandoned());
  return text;
}

RequestNames MeshRuntime::CountAnswer(CallId call, const std::string& result) {
  auto found = pending_calls_.find(call);
  if (found == pending_calls_.end())
    return {};
  const wire::Forward& forward = *found->second.forward;
  metrics_.CountAnswer(forward.route(), forward.organisation(), result,
                       ReadNodeClock() - found->second.received_at);
  RequestNames request = NamesOf(forward);
  pending_calls_.erase(found);
  return request;
}

void MeshRuntime::OnAnswerCut(const CutAnswer& cut) {
  auto pending = pending_calls_.find(cut.call);
  RequestNames request = pending == pending_calls_.end()
                             ? cut.request
                             : NamesOf(*pending->second.forward);
  Log(LogCode::kAnswerCut,
      {{"request_id", std::move(request.request_id)},
       {"organisation", std::move(request.organisation)},
       {"route", std::move(request.route)},
       {"reason", std::string(NameOf(cut.reason))},
       {"bytes", std::to_string(cut.bytes)},
       {"unwritten_bytes", std::to_string(cut.unwritten_bytes)}});
}

void MeshRuntime::Apply(const DeliverAnswer& effect) {
  RequestNames request =
      CountAnswer(effect.call, std::to_string(effect.answer->status()));
  caller_server_.Respond(effect.call, caller_protocol_.Encode(effect),
                         std::move(request));
}

void MeshRuntime::Apply(const RefuseCall& effect) {
  RequestNames request =
      CountAnswer(effect.call, std::string(InfoOf(effect.reason).name));
  caller_server_.Respond(effect.call, caller_protocol_.Encode(effect),
                         std::move(request));
}

void MeshRuntime::Apply(const RunOnTarget& effect) {
  auto remaining = std::chrono::duration_cast<milliseconds>(effect.deadline -
                                                            ReadNodeClock());
  HttpClient::Options options;
  options.head_request = effect.forward->method() == "HEAD";
  options.require_recent_use = !effect.forward->idempotent();
  options.require_new_connection = effect.forward->repeat();
  auto forward = effect.forward;
  options.match = [this, forward](const HttpAnswer& answer, bool first) {
    return target_protocol_.Match(answer, *forward, first);
  };
  WorkId work = effect.work;
  auto done = [this, work, forward](ExchangeResult exchange) {
    exchanges_.erase(work);
    TargetResult result;
    if (exchange.kind == ExchangeResult::Kind::kAnswered) {
      result = target_protocol_.Decode(std::move(exchange.answer), *forward);
    } else if (exchange.kind == ExchangeResult::Kind::kNotSent) {
      result.kind = TargetResult::Kind::kNotSent;
      result.connection_refused = exchange.refused;
    } else {
      result.error = std::move(exchange.error);
    }
    Feed(TargetAnswered{work, std::move(result)});
  };
  exchanges_[work] = target_client_.Send(
      target_protocol_.Encode(effect, std::max(remaining, 1ms)),
      std::move(options), std::move(done));
}

void MeshRuntime::Apply(const AbortOnTarget& effect) {
  auto found = exchanges_.find(effect.work);
  if (found == exchanges_.end())
    return;
  target_client_.Abort(found->second);
  exchanges_.erase(found);
}

void MeshRuntime::Apply(const ReplyToReport& effect) {
  if (report_responder_)
    report_responder_(effect);
}

void MeshRuntime::Apply(const CallStore& effect) {
  if (store_)
    store_->Start(effect.call, effect.request, effect.timeout);
}

void MeshRuntime::Apply(const DecodeConfig& effect) {
  if (!config_decoder_)
    return;
  std::shared_ptr<const FleetConfig> config;
  auto error = InterpretInput([&] { config = config_decoder_(effect.text); });
  if (error) {
    Log(LogCode::kConfigRejected, {{"peer", effect.from}, {"error", *error}});
    return;
  }
  // The store may have a newer configuration than the peer, so the time of
  // confirmation is left unset.
  Feed(ConfigRead{std::move(config), TimePoint()});
}

void MeshRuntime::Apply(const WriteLogLine& effect) {
  log_.Write(effect.code, effect.fields);
}

void MeshRuntime::Apply(const Exit& effect) {
  closing_ = true;
  wake_timer_.cancel();
  caller_server_.CloseWhenDelivered();
  links_.CloseWhenDelivered();
  StopWhenDelivered(effect.deadline, ReadNodeClock() + kMinCloseTime);
}

void MeshRuntime::StopWhenDelivered(TimePoint deadline, TimePoint earliest) {
  TimePoint now = ReadNodeClock();
  bool closed = caller_server_.connections() == 0 && links_.links() == 0;
  bool delivered = now >= earliest && !caller_server_.HasUndelivered() &&
                   !links_.HasUndelivered();
  bool ends = closed || delivered || now >= deadline;
  if (ends)
    caller_server_.ReportAnswersCutByExit();
  log_.Flush();
  if (ends) {
    context_.stop();
    return;
  }
  wake_timer_.expires_after(kCloseCheckInterval);
  wake_timer_.async_wait(
      [this, deadline, earliest](boost::system::error_code error) {
        if (!error)
          StopWhenDelivered(deadline, earliest);
      });
}

}  // namespace comfreylock::mesh
