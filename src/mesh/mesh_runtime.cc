#include "mesh/mesh_runtime.h"

#include <algorithm>

#include "comfreylock/config.h"
#include "mesh/socket_options.h"
#include "node_clock.h"

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// The target is on the same host.
constexpr HttpClient::Limits kTargetLimits{.connect_timeout = 300ms,
                                           .silence = kTargetSilenceLimit,
                                           .idle = 4000ms};

/// Lateness of a wake-up above which new requests are refused, and their hint.
constexpr milliseconds kMostLag = 250ms;
constexpr milliseconds kLagHint = 800ms;

wire::Hello HelloOf(const NodeIdentity& identity) {
  wire::Hello hello;
  hello.set_node(identity.node);
  hello.set_service(identity.service);
  hello.set_zone(identity.zone);
  hello.set_boot(identity.incarnation);
  hello.set_address(AddressForPeers(identity));
  return hello;
}

}  // namespace

MeshRuntime::MeshRuntime(asio::io_context& context,
                         MeshRuntimeSettings settings,
                         LineLog& log,
                         const CallerProtocol& callers,
                         const TargetProtocol& targets)
    : context_(context),
      settings_(std::move(settings)),
      log_(log),
      caller_protocol_(callers),
      target_protocol_(targets),
      node_(std::make_unique<MeshReducer>(settings_.identity, ReadNodeClock())),
      callers_(context,
               {[this](CallId call, HttpRequest request) {
                  OnRequest(call, std::move(request));
                },
                [this](CallId call) {
                  pending_.erase(call);
                  Feed(CallerDisconnected{call});
                },
                [this] {
                  const FleetConfig* config = node_->config();
                  return config ? config->limits : CallerLimits();
                }}),
      target_(context, settings_.identity.target_address, kTargetLimits),
      links_(context,
             HelloOf(settings_.identity),
             [this](EventBody event) { Feed(std::move(event)); }),
      wake_(context) {}

MeshRuntime::~MeshRuntime() = default;

void MeshRuntime::Listen() {
  callers_.Listen(settings_.caller_address);
  links_.Listen(settings_.identity.peer_address);
  Log(LogCode::kNodeStarted,
      {{"service", settings_.identity.service},
       {"zone", settings_.identity.zone},
       {"boot", std::to_string(settings_.identity.incarnation)}});
  listening_ = true;
  Feed(Tick{});
}

void MeshRuntime::OnRequest(CallId call, HttpRequest request) {
  if (lag_ > kMostLag) {
    // Without processor time for all, requests that are in progress end first.
    RefuseCall refusal{call, "", Reason::kOverload};
    refusal.retry_after = kLagHint;
    callers_.Respond(call, caller_protocol_.Encode(refusal));
    return;
  }
  auto decoded = caller_protocol_.Decode(std::move(request));
  if (!decoded) {
    RefuseCall refusal{call, "", Reason::kMalformed};
    callers_.Respond(call, caller_protocol_.Encode(refusal));
    return;
  }
  pending_[call] = {ReadNodeClock(), decoded->forward};
  Feed(RequestArrived{call, std::move(*decoded)});
}

void MeshRuntime::Feed(EventBody event) {
  events_.push_back(std::move(event));
  if (feeding_)
    return;
  feeding_ = true;
  while (!events_.empty()) {
    EventBody next = std::move(events_.front());
    events_.pop_front();
    Reduce(std::move(next));
  }
  feeding_ = false;
  ScheduleWake();
}

void MeshRuntime::Reduce(EventBody event) {
  for (auto& effect : node_->Reduce(Event{ReadNodeClock(), std::move(event)}))
    std::visit([this](const auto& body) { Apply(body); }, effect);
}

void MeshRuntime::ScheduleWake() {
  if (!listening_)
    return;
  TimePoint due = node_->NextWake();
  if (wake_at_ <= due && wake_at_ != TimePoint())
    return;
  wake_at_ = due;
  wake_.expires_after(std::max(due - ReadNodeClock(), TimePoint::duration(0)));
  wake_.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    lag_ = std::chrono::duration_cast<milliseconds>(ReadNodeClock() - wake_at_);
    wake_at_ = TimePoint();
    Feed(Tick{});
    log_.Flush();
  });
}

void MeshRuntime::Reconfigure(const NodeBounds& bounds,
                              const std::string& service) {
  node_->Reconfigure(bounds, service);
}

void MeshRuntime::Log(LogCode code,
                      std::vector<std::pair<std::string, std::string>> fields) {
  log_.Write(code, fields);
}

NodeStatus MeshRuntime::status() const {
  return node_->StatusAt(ReadNodeClock());
}

std::string MeshRuntime::MetricsText() const {
  std::string text = metrics_.Text(status());
  auto counter = [&text](const std::string& name, uint64_t value) {
    text += "comfreylock_" + name + " " + std::to_string(value) + "\n";
  };
  counter("caller_connections", callers_.connections());
  counter("target_connections", target_.connections());
  counter("peer_sent_bytes", links_.sent_bytes());
  counter("peer_received_bytes", links_.received_bytes());
  counter("log_lines_dropped", log_.dropped());
  return text;
}

void MeshRuntime::CountAnswer(CallId call, const std::string& result) {
  auto found = pending_.find(call);
  if (found == pending_.end())
    return;
  const wire::Forward& forward = *found->second.forward;
  metrics_.CountAnswer(forward.route(), forward.organisation(), result,
                       ReadNodeClock() - found->second.since);
  pending_.erase(found);
}

void MeshRuntime::Apply(const DeliverAnswer& effect) {
  CountAnswer(effect.call, std::to_string(effect.answer->status()));
  callers_.Respond(effect.call, caller_protocol_.Encode(effect));
}

void MeshRuntime::Apply(const RefuseCall& effect) {
  CountAnswer(effect.call, std::string(InfoOf(effect.reason).name));
  callers_.Respond(effect.call, caller_protocol_.Encode(effect));
}

void MeshRuntime::Apply(const RunOnTarget& effect) {
  auto left = std::chrono::duration_cast<milliseconds>(effect.deadline -
                                                       ReadNodeClock());
  HttpClient::Options options;
  options.head_request = effect.forward->method() == "HEAD";
  options.fresh = !effect.forward->idempotent();
  auto forward = effect.forward;
  options.is_mine = [this, forward](const HttpAnswer& answer) {
    return target_protocol_.IsAnswerTo(answer, *forward);
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
    }
    Feed(TargetAnswered{work, std::move(result)});
  };
  exchanges_[work] =
      target_.Send(target_protocol_.Encode(effect, std::max(left, 1ms)),
                   std::move(options), std::move(done));
}

void MeshRuntime::Apply(const AbortOnTarget& effect) {
  auto found = exchanges_.find(effect.work);
  if (found == exchanges_.end())
    return;
  target_.Abort(found->second);
  exchanges_.erase(found);
}

void MeshRuntime::Apply(const CallStore& effect) {
  if (store_)
    store_->Start(effect.call, effect.request, effect.timeout);
}

void MeshRuntime::Apply(const DecodeConfig& effect) {
  if (!config_decoder_)
    return;
  try {
    // It is no proof that there is no newer one.
    Feed(ConfigRead{config_decoder_(effect.text), TimePoint()});
  } catch (const InputError& error) {
    Log(LogCode::kConfigRejected,
        {{"peer", effect.from}, {"error", error.what()}});
  }
}

void MeshRuntime::Apply(const WriteLogLine& effect) {
  log_.Write(effect.code, effect.fields);
}

void MeshRuntime::Apply(const Exit& /*effect*/) {
  log_.Flush();
  context_.stop();
}

}  // namespace comfreylock::mesh
