#include "comfreylock/reducer.h"
#include "comfreylock/config.h"

#include <utility>

namespace comfreylock {

Node::Node(NodeIdentity identity, TimePoint now)
    : identity_(std::move(identity)),
      random_(identity_.seed),
      now_(now),
      router_(identity_.zone, identity_.seed),
      rate_(identity_.incarnation),
      claims_(identity_.incarnation),
      next_store_try_(now) {}

Node::~Node() = default;

Effects Node::Reduce(const Event& event) {
  now_ = event.time;
  wall_now_ = event.wall_time;
  effects_.clear();
  std::visit([this](const auto& body) { On(body); }, event.body);
  return std::exchange(effects_, {});
}

NodeStatus Node::status() const {
  NodeStatus status;
  status.bundle_version = bundle_ ? bundle_->version : 0;
  if (admission_) {
    status.in_flight = admission_->in_flight();
    status.queued = admission_->queued();
    status.limit = admission_->limit();
  }
  status.members = members_.size();
  status.calls = calls_.size();
  status.draining = draining_;
  return status;
}

void Node::On(const Tick& /*event*/) {
  if (now_ >= next_store_try_)
    StartStoreReads();
  AdvancePartitions();
  AdvanceRate();
  AdvanceClaims();
  if (admission_)
    Apply(admission_->Advance(now_));
  for (auto& [id, call] : calls_) {
    // The shell ends attempts at their deadline; this covers lost reports.
    if (now_ > call.deadline + 1s)
      effects_.push_back(CancelAttempt{id, call.attempt});
  }
  FinishDrain();
}

}  // namespace comfreylock
