#include "node_runtime.h"

#include <algorithm>
#include <csignal>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "comfreylock/config.h"
#include "crypto.h"
#include "log_writer.h"
#include "node_clock.h"

namespace comfreylock {
namespace {

WallTime ReadWallClock() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

NodeIdentity IdentityOf(const NodeSettings& settings) {
  NodeIdentity identity;
  identity.node = settings.node;
  identity.service = settings.service;
  identity.zone = settings.zone;
  identity.peer_address = settings.peer_address;
  identity.control_address = settings.control_address;
  identity.seed_addresses = settings.seeds;
  identity.operators = settings.operators;
  identity.policy = settings.policy;
  identity.incarnation =
      static_cast<uint64_t>(ReadWallClock().time_since_epoch().count());
  identity.seed =
      std::hash<std::string>()(settings.node) ^ identity.incarnation;
  return identity;
}

}  // namespace

NodeRuntime::NodeRuntime(NodeSettings settings)
    : NodeRuntime(settings, IdentityOf(settings)) {}

NodeRuntime::NodeRuntime(NodeSettings settings, const NodeIdentity& identity)
    : settings_(std::move(settings)),
      fleet_secret_(FromHex(settings_.fleet_secret_hex)),
      signals_(context_, SIGTERM, SIGINT),
      reducer_(std::make_unique<NodeReducer>(identity, ReadNodeClock())),
      entry_server_(context_,
                    *this,
                    {settings_.header_timeout, settings_.idle_timeout,
                     settings_.memory_mb << 20, settings_.max_descriptors}),
      peer_server_(context_, *this, settings_.target_address),
      store_(context_.get_executor(),
             settings_.store_address,
             [this](StoreRequestId call, StoreResult result) {
               Feed(StoreAnswered{call, std::move(result)});
             }),
      control_(
          context_.get_executor(),
          {identity.node, identity.incarnation, identity.control_address},
          fleet_secret_,
          [this](PeerMessageReceived message) { Feed(std::move(message)); }),
      operator_server_(context_,
                       OperatorCallbacks(),
                       settings_.operator_token) {}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::Run() {
  entry_server_.Listen(settings_.caller_address, false);
  entry_server_.Listen(settings_.onward_address, true);
  peer_server_.Listen(settings_.peer_address);
  operator_server_.Listen(settings_.operator_address);
  asio::co_spawn(context_, RunTicks(), asio::detached);
  asio::co_spawn(context_, HandleSignals(), asio::detached);
  WriteLog(Log{LogCode::kNodeStarted,
               {{"node", settings_.node}, {"service", settings_.service}}});
  context_.run();
}

HttpOperatorServer::Callbacks NodeRuntime::OperatorCallbacks() {
  return {[this] { return StatusJson(); },
          [this] {
            return observer_.metrics().FormatMetrics(reducer_->status()) +
                   entry_server_.MetricsText();
          },
          [this](const std::string& id) { return ExplainJson(id); },
          [this] { Feed(DrainRequested{}); }};
}

std::string NodeRuntime::StatusJson() const {
  NodeStatus status = reducer_->status();
  PeerZmq::Counters control = control_.counters();
  const EtcdStore::Counters& store = store_.counters();
  nlohmann::json document = {
      {"node", settings_.node},
      {"zone", settings_.zone},
      {"service", settings_.service},
      {"bundle_version", status.bundle_version},
      {"members", status.members},
      {"calls", status.calls},
      {"in_flight", status.in_flight},
      {"queued", status.queued},
      {"limit", status.limit},
      {"shed_level", status.shed_level},
      {"draining", status.draining},
      {"store", status.store_reached ? "reached" : "away"},
      {"control",
       {{"sent", control.sent},
        {"sent_bytes", control.sent_bytes},
        {"received", control.received},
        {"received_bytes", control.received_bytes},
        {"dropped", control.send_queue_full + control.receive_queue_full},
        {"not_authentic", control.not_authentic}}},
      {"store_calls",
       {{"reads", store.reads},
        {"transactions", store.transactions},
        {"lease_calls", store.lease_calls},
        {"watches", store.watches},
        {"failures", store.failures},
        {"over_budget", store.over_budget}}}};
  return document.dump();
}

std::string NodeRuntime::ExplainJson(const std::string& request_id) const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& decision : observer_.decisions().FindByRequest(request_id)) {
    nlohmann::json figures = nlohmann::json::object();
    for (const auto& [name, value] : decision.figures)
      figures[std::string(name)] = value;
    list.push_back({{"time", FormatWallTime(decision.time)},
                    {"node", settings_.node},
                    {"decision", decision.decision},
                    {"figures", figures}});
  }
  return list.dump();
}

void NodeRuntime::Feed(EventBody body) {
  Event event{ReadNodeClock(), ReadWallClock(), std::move(body)};
  Effects effects = reducer_->Reduce(event);
  observer_.Observe(event, effects, *reducer_);
  for (const auto& effect : effects)
    std::visit([this](const auto& body) { Apply(body); }, effect);
}

wire::AnswerReport NodeRuntime::ReportFor(WorkId work) const {
  return reducer_->ReportFor(work);
}

bool NodeRuntime::IsRefusedByHead(const RequestSummary& request) const {
  const Bundle* bundle = reducer_->bundle();
  if (!bundle)
    return true;
  const RouteRule* route =
      bundle->FindRoute(request.method, request.request_target);
  if (!route || request.body_size.value_or(0) > route->max_body ||
      (route->once_only && request.idempotency_key.empty())) {
    return true;
  }
  if (request.onward)
    return false;
  if (!request.key)
    return !route->open;
  const KeyRule* key = bundle->FindKey(*request.key);
  return !key || (!route->organisations.empty() &&
                  std::ranges::find(route->organisations, key->organisation) ==
                      route->organisations.end());
}

uint64_t NodeRuntime::MaxBodyBytes(std::string_view method,
                                   std::string_view target) const {
  const Bundle* bundle = reducer_->bundle();
  const RouteRule* route = bundle ? bundle->FindRoute(method, target) : nullptr;
  return route ? route->max_body : 0;
}

std::string NodeRuntime::KeySalt() const {
  const Bundle* bundle = reducer_->bundle();
  return bundle ? bundle->key_salt : std::string();
}

std::string NodeRuntime::ComputeMac(std::string_view data) const {
  return HmacSha256(fleet_secret_, data);
}

IoTimePoint NodeRuntime::ToIoTimePoint(TimePoint time) const {
  return std::chrono::steady_clock::now() + (time - ReadNodeClock());
}

uint64_t NodeRuntime::NextId() {
  return ++last_id_;
}

void NodeRuntime::Apply(const RefuseCall& effect) {
  entry_server_.Apply(effect);
}

void NodeRuntime::Apply(const Dispatch& effect) {
  entry_server_.Apply(effect);
}

void NodeRuntime::Apply(const DeliverAnswer& effect) {
  entry_server_.Apply(effect);
}

void NodeRuntime::Apply(const ReplayAnswer& effect) {
  entry_server_.Apply(effect);
}

void NodeRuntime::Apply(const CancelAttempt& effect) {
  entry_server_.Apply(effect);
}

void NodeRuntime::Apply(const StartWork& effect) {
  peer_server_.Apply(effect);
}

void NodeRuntime::Apply(const RejectWork& effect) {
  peer_server_.Apply(effect);
}

void NodeRuntime::Apply(const AbortWork& effect) {
  peer_server_.Apply(effect);
}

void NodeRuntime::Apply(const SendToPeer& effect) {
  control_.Send(effect);
}

void NodeRuntime::Apply(const CallStore& effect) {
  store_.Start(effect.call, effect.request, effect.timeout);
}

void NodeRuntime::Apply(const Log& effect) {
  WriteLog(effect);
}

void NodeRuntime::Apply(const Exit& /*effect*/) {
  entry_server_.StopAccepting();
  WriteSuppressedLineCounts();
  context_.stop();
}

asio::awaitable<void> NodeRuntime::RunTicks() {
  asio::steady_timer timer(context_);
  while (true) {
    timer.expires_after(kTickInterval);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    Feed(Tick{});
    WriteSuppressedLineCounts();
  }
}

asio::awaitable<void> NodeRuntime::HandleSignals() {
  while (true) {
    boost::system::error_code ignored;
    co_await signals_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    Feed(DrainRequested{});
  }
}

}  // namespace comfreylock
