#include "comfreylock/reducer.h"
#include "comfreylock/config.h"

#include <utility>

namespace comfreylock {
namespace {

wire::Member MemberRecordOf(const NodeIdentity& identity) {
  wire::Member record;
  record.set_node(identity.node);
  record.set_service(identity.service);
  record.set_zone(identity.zone);
  record.set_peer_address(identity.peer_address);
  record.set_control_address(identity.control_address);
  record.set_incarnation(identity.incarnation);
  return record;
}

}  // namespace

NodeReducer::NodeReducer(NodeIdentity identity, TimePoint now)
    : identity_(std::move(identity)),
      random_(identity_.seed),
      now_(now),
      bundle_assembler_(identity_.operators),
      next_bundle_advertisement_at_(now),
      next_part_read_at_(now),
      next_part_request_at_(now),
      router_(
          {identity_.node, identity_.zone, identity_.seed, identity_.policy}),
      retry_(MakeRetryPolicy(identity_.policy)),
      quarantine_(identity_.node, identity_.incarnation),
      membership_(MemberRecordOf(identity_),
                  identity_.seed_addresses,
                  identity_.seed,
                  now),
      rate_limiter_(identity_.incarnation),
      claim_tracker_(identity_.incarnation),
      next_store_try_at_(now) {
  if (!identity_.service.empty()) {
    router_.SetTarget({identity_.node, identity_.service, identity_.zone,
                       identity_.peer_address},
                      now);
  }
}

NodeReducer::~NodeReducer() = default;

Effects NodeReducer::Reduce(const Event& event) {
  now_ = event.time;
  wall_now_ = event.wall_time;
  effects_.clear();
  std::visit([this](const auto& body) { Handle(body); }, event.body);
  return std::exchange(effects_, {});
}

NodeStatus NodeReducer::status() const {
  NodeStatus status;
  status.bundle_version = bundle_ ? bundle_->version : 0;
  if (admission_) {
    status.in_flight = admission_->in_flight();
    status.queued = admission_->queued();
    status.limit = admission_->limit();
    status.shed_level = admission_->shed_level();
  }
  status.members = members_.size() + 1;  // Includes this node.
  status.calls = calls_.size();
  status.draining = draining_;
  status.store_reached = store_reached_;
  return status;
}

void NodeReducer::Handle(const Tick& /*event*/) {
  if (now_ >= next_store_try_at_)
    StartStoreReads();
  RetryFailedReads();
  AdvanceMembers();
  AdvancePartitions();
  AdvanceBundle();
  AdvanceRate();
  AdvanceClaims();
  if (admission_)
    Apply(admission_->Advance(now_));
  for (auto& [id, call] : calls_) {
    // The runtime ends attempts at their deadline. If that event is lost, the
    // attempt is cancelled here.
    if (now_ > call.deadline + 1s)
      effects_.push_back(CancelAttempt{id, call.attempt});
  }
  quarantine_.Expire(now_);
  FinishDrain();
}

}  // namespace comfreylock
