#include "fleet_model.h"

#include <algorithm>

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kLinkDelay = 1000us;
constexpr milliseconds kTimeStep = 10ms;
constexpr int kOk = 200;
constexpr int kServerError = 500;

std::string NodeName(size_t node) {
  return "node" + std::to_string(node);
}

constexpr const char* kAddressPrefix = "127.0.0.1:";

/// The port is the node's index plus 1.
std::string NodeAddress(size_t node) {
  return kAddressPrefix + std::to_string(node + 1);
}

size_t NodeOfAddress(const std::string& address) {
  return std::stoul(address.substr(std::string(kAddressPrefix).size())) - 1;
}

}  // namespace

FleetModel::FleetModel(std::vector<ModelRoute> routes,
                       std::vector<ModelTarget> targets,
                       ModelOptions options)
    : routes_(std::move(routes)) {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->warmup_rules = options.warmup_rules;
  for (const ModelRoute& from : routes_) {
    Route route;
    route.name = from.name;
    route.prefix = "/" + from.name + "/";
    route.services = {{from.service, 1}};
    route.idempotent = from.idempotent;
    route.is_public = from.is_public;
    route.importance = from.importance;
    route.max_attempts = 2;
    route.timeout = from.timeout;
    route.latency_objective = from.latency;
    config->hosts["h"].push_back(route);
    config->services.insert(from.service);
  }
  // All callers' requests belong to one organisation, so that their ranks
  // differ only by the importance of the route.
  config->organisations["acme"] = {"acme", 1};
  config->keys["key"] = "acme";
  config->SortRoutes();
  for (size_t i = 0; i < targets.size(); ++i) {
    auto state = std::make_unique<State>();
    state->target = targets[i];
    NodeIdentity identity;
    identity.node = NodeName(i);
    identity.service = targets[i].service;
    identity.zone = targets[i].zone;
    identity.peer_address = NodeAddress(i);
    identity.target_address = "target" + std::to_string(i);
    identity.seed = i + 1;
    identity.bounds = options.bounds;
    state->node = std::make_unique<MeshReducer>(identity, now_);
    states_.push_back(std::move(state));
  }
  for (size_t i = 0; i < states_.size(); ++i) {
    TargetReport report;
    report.id = "target" + std::to_string(i);
    report.service = targets[i].service;
    report.address = report.id;
    report.slots = targets[i].slots;
    report.sequence = 1;
    report.started_at_ms = 1;
    HandleEvent(i, ConfigRead{config, now_});
    HandleEvent(i, EvacuationsRead{0, store_revision_, {}});
    HandleEvent(i, TargetReported{report});
    HandleEvent(i, Tick{});
  }
  Run(500ms);
}

void FleetModel::Offer(const std::string& route, double per_second) {
  offered_loads_.push_back({route, per_second, 0});
}

void FleetModel::Leave(size_t target) {
  TargetReport report;
  report.id = "target" + std::to_string(target);
  report.leaving = true;
  HandleEvent(target, TargetReported{report});
}

void FleetModel::Report(size_t target, milliseconds warmup_left) {
  State& state = *states_[target];
  TargetReport report;
  report.id = "target" + std::to_string(target);
  report.service = state.target.service;
  report.address = report.id;
  report.slots = state.target.slots;
  report.sequence = ++state.sequence;
  report.started_at_ms = 1;
  report.states_warmup = true;
  report.warmup_remaining = warmup_left;
  HandleEvent(target, TargetReported{report});
}

void FleetModel::Evacuate(std::set<std::string> zones) {
  HandleEvent(0, EvacuationsRead{0, ++store_revision_, std::move(zones)});
}

void FleetModel::Run(milliseconds time) {
  TimePoint end = now_ + time;
  while (now_ < end) {
    TimePoint next = std::min(end, now_ + kTimeStep);
    while (!scheduled_.empty() && scheduled_.top().time <= next) {
      ScheduledAction scheduled = scheduled_.top();
      scheduled_.pop();
      now_ = std::max(now_, scheduled.time);
      scheduled.action();
    }
    now_ = next;
    for (size_t i = 0; i < states_.size(); ++i) {
      HandleEvent(i, ConfigRead{nullptr, now_});
      HandleEvent(i, Tick{});
    }
    for (OfferedLoad& load : offered_loads_) {
      load.pending += load.per_second * 0.01;
      for (; load.pending >= 1; load.pending -= 1) {
        // Spreads the requests of a step over its 10 ms.
        microseconds delay(
            std::uniform_int_distribution<int>(0, 9999)(random_));
        size_t node = next_node_++ % states_.size();
        std::string route = load.route;
        Schedule(delay, [this, route, node] {
          Send(route, node, "r" + std::to_string(++last_id_), 5000ms, nullptr);
        });
      }
    }
  }
}

void FleetModel::Schedule(microseconds delay, std::function<void()> action) {
  scheduled_.push({now_ + delay, ++order_, std::move(action)});
}

void FleetModel::HandleEvent(size_t node, EventBody event) {
  Effects effects = states_[node]->node->Reduce({now_, std::move(event)});
  for (Effect& effect : effects)
    Apply(node, effect);
}

const ModelRoute& FleetModel::RouteByName(const std::string& name) const {
  return *std::ranges::find(routes_, name, &ModelRoute::name);
}

void FleetModel::Send(const std::string& route,
                      size_t node,
                      const std::string& id,
                      milliseconds deadline,
                      std::function<void(bool ok)> done) {
  RequestArrived event;
  event.call = CallId{++last_id_};
  event.request.host = "h";
  event.request.key = RouteByName(route).is_public ? "" : "key";
  event.request.deadline = deadline;
  event.request.forward = std::make_shared<wire::Forward>();
  event.request.forward->set_request_id(id);
  event.request.forward->set_method("GET");
  event.request.forward->set_path("/" + route + "/x");
  if (!done)
    ++results_[route].sent;
  callers_[{node, event.call.value}] = {route, now_, std::move(done)};
  HandleEvent(node, std::move(event));
}

void FleetModel::Apply(size_t node, Effect& effect) {
  if (auto* store_call = std::get_if<CallStore>(&effect)) {
    // A range request returns a record of each node.
    StoreRequestId call = store_call->call;
    StoreResult result = StoreTransactionResult{true, 1};
    if (auto* range = std::get_if<StoreRange>(&store_call->request)) {
      StoreRangeResult found;
      for (size_t i = 0; i < states_.size() && !range->range_end.empty(); ++i) {
        wire::NodeRecord record;
        record.mutable_node()->set_node(NodeName(i));
        record.mutable_node()->set_service(states_[i]->target.service);
        record.mutable_node()->set_zone(states_[i]->target.zone);
        record.set_address(NodeAddress(i));
        found.entries.push_back(
            {"comfreylock/nodes/" + NodeName(i), record.SerializeAsString()});
      }
      result = found;
    } else if (!std::holds_alternative<StoreTransaction>(store_call->request)) {
      result = StoreLeaseResult{1, 9s};
    }
    Schedule(kLinkDelay, [this, node, call, result] {
      HandleEvent(node, StoreReplied{call, result});
    });
  } else if (auto* open = std::get_if<OpenLink>(&effect)) {
    size_t peer = NodeOfAddress(open->address);
    uint64_t accepted = (uint64_t{1} << 63) | ++last_id_;
    links_[{node, open->link.value}] = {peer, accepted};
    links_[{peer, accepted}] = {node, open->link.value};
    LinkId link = open->link;
    Schedule(kLinkDelay, [this, node, peer, link, accepted] {
      wire::Hello here;
      here.set_node(NodeName(node));
      wire::Hello there;
      there.set_node(NodeName(peer));
      HandleEvent(peer, LinkOpened{LinkId{accepted}, here, true});
      HandleEvent(node, LinkOpened{link, there, false});
    });
  } else if (auto* frame = std::get_if<SendFrame>(&effect)) {
    auto [peer, link] = links_.at({node, frame->link.value});
    auto copy = std::make_shared<wire::Frame>(*frame->frame);
    Schedule(kLinkDelay, [this, peer, link, copy] {
      HandleEvent(peer, FrameReceived{LinkId{link}, copy});
    });
  } else if (auto* forward = std::get_if<SendForward>(&effect)) {
    auto [peer, link] = links_.at({node, forward->link.value});
    auto copy = std::make_shared<wire::Frame>();
    *copy->mutable_forward() = *forward->forward;
    Schedule(kLinkDelay, [this, peer, link, copy] {
      HandleEvent(peer, FrameReceived{LinkId{link}, copy});
    });
  } else if (auto* run = std::get_if<RunOnTarget>(&effect)) {
    StartRun(node, *run);
  } else if (auto* abort = std::get_if<AbortOnTarget>(&effect)) {
    auto found = runs_.find({node, abort->work.value});
    if (found != runs_.end()) {
      found->second->cancelled = true;
      --states_[node]->running;
      runs_.erase(found);
    }
  } else if (auto* answer = std::get_if<DeliverAnswer>(&effect)) {
    auto caller = callers_.extract({node, answer->call.value}).mapped();
    bool ok = answer->answer->status() == kOk;
    if (caller.done) {
      Schedule(0us, [caller, ok] { caller.done(ok); });
      return;
    }
    ModelResult& result = results_[caller.route];
    if (!ok)
      ++result.failed;
    else if (now_ - caller.sent_at <= RouteByName(caller.route).latency)
      ++result.in_time;
    else
      ++result.late;
  } else if (auto* refuse = std::get_if<RefuseCall>(&effect)) {
    auto caller = callers_.extract({node, refuse->call.value}).mapped();
    if (caller.done) {
      Schedule(0us, [caller] { caller.done(false); });
      return;
    }
    ModelResult& result = results_[caller.route];
    ++(refuse->not_run ? result.refused : result.failed);
    if (refuse->not_run) {
      result.max_refusal_delay = std::max(
          result.max_refusal_delay,
          std::chrono::duration_cast<milliseconds>(now_ - caller.sent_at));
    }
  }
}

void FleetModel::StartRun(size_t node, const RunOnTarget& run) {
  State& state = *states_[node];
  const std::string& id = run.forward->request_id();
  if (std::uniform_real_distribution<double>(0, 1)(random_) < state.shed) {
    WorkId work = run.work;
    Schedule(kLinkDelay, [this, node, work] {
      TargetResult result;
      result.kind = TargetResult::Kind::kShed;
      HandleEvent(node, TargetAnswered{work, result});
    });
    return;
  }
  if (++run_counts_[id] > 1 && !run.forward->idempotent())
    ++repeated_runs_;
  ++state.running;
  starts_.push_back({now_, node});
  max_excess_running_ =
      std::max(max_excess_running_,
               state.running - static_cast<int>(state.target.slots));
  auto record = std::make_shared<ModelRun>(ModelRun{node});
  runs_[{node, run.work.value}] = record;
  const ModelRoute& route = RouteByName(run.forward->route());
  double spread = std::uniform_real_distribution<double>(0.6, 1.4)(random_);
  microseconds service_time(static_cast<int64_t>(
      spread * 1000.0 * static_cast<double>(route.service_time.count()) /
      state.target.speed));
  auto forward = run.forward;
  WorkId id_of_work = run.work;
  TimePoint deadline = run.deadline;
  Schedule(service_time, [this, node, id_of_work, forward, deadline, record] {
    if (record->cancelled)
      return;
    MakeCalls(node, forward, deadline, 0,
              [this, node, id_of_work, record](bool ok) {
                if (!record->cancelled)
                  EndRun(node, id_of_work, ok ? kOk : kServerError);
              });
  });
}

void FleetModel::MakeCalls(size_t node,
                           std::shared_ptr<wire::Forward> request,
                           TimePoint deadline,
                           size_t next,
                           std::function<void(bool ok)> done) {
  const ModelRoute& route = RouteByName(request->route());
  if (next == route.calls.size()) {
    done(true);
    return;
  }
  auto remaining = std::chrono::duration_cast<milliseconds>(deadline - now_);
  Send(route.calls[next], node,
       request->request_id() + "." + std::to_string(++last_id_),
       std::max(remaining, 1ms),
       [this, node, request, deadline, next, done](bool ok) {
         if (ok)
           MakeCalls(node, request, deadline, next + 1, done);
         else
           done(false);
       });
}

void FleetModel::EndRun(size_t node, WorkId work, int status) {
  runs_.erase({node, work.value});
  --states_[node]->running;
  TargetResult result;
  result.kind = TargetResult::Kind::kAnswered;
  result.success = status == kOk;
  result.status = status;
  HandleEvent(node, TargetAnswered{work, result});
}

}  // namespace comfreylock::mesh
