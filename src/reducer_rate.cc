#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "store_keys.h"

/// Rate shares: tokens for calls from outside the fleet, and the allocators of
/// the partitions that this node owns.
namespace comfreylock {
namespace {

/// Interval of attempts to read the member list after a takeover.
constexpr std::chrono::milliseconds kMemberReadRetryInterval = 500ms;

}  // namespace

// The only place that decides whether a call needs a rate token. Except under
// the policy kNaive, ClaimCall then decides whether it needs a claim.
void NodeReducer::AdmitCall(Call& call) {
  if (identity_.policy == Policy::kNaive) {
    AdmitNaively(call);
    return;
  }
  // The token of an onward call was used by the first call of its chain. Calls
  // without a key, on open routes, have no organisation.
  if (call.parent || call.organisation.empty()) {
    ClaimCall(call);
    return;
  }
  uint32_t partition =
      PartitionTable::PartitionOf(call.organisation, bundle_->partitions);
  OnRateDecision(
      call, rate_limiter_.Admit(call.id, call.organisation, partition, now_));
}

// Policy kNaive, the baseline for comparisons: each node admits the full rate
// on its own, and a once-only request may run more than once.
void NodeReducer::AdmitNaively(Call& call) {
  auto rule = bundle_->organisations.find(call.organisation);
  if (!call.parent && rule != bundle_->organisations.end()) {
    NaiveBucket& bucket = naive_buckets_[call.organisation];
    if (!bucket.TryConsume(rule->second.rate, rule->second.burst, now_)) {
      Refuse(call, Reason::kOverRate, Outcome::kNotRun);
      return;
    }
  }
  DispatchCall(call, 0ms);
}

bool NodeReducer::NaiveBucket::TryConsume(double rate,
                                          double burst,
                                          TimePoint now) {
  if (refilled_at == TimePoint())
    tokens = burst;
  std::chrono::duration<double> passed = now - refilled_at;
  tokens = std::min(burst, tokens + rate * passed.count());
  refilled_at = now;
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

void NodeReducer::OnRateDecision(Call& call, RateLimiter::Decision decision) {
  switch (decision) {
    case RateLimiter::Decision::kAdmitted:
      ClaimCall(call);
      return;
    case RateLimiter::Decision::kWaiting:
      return;
    case RateLimiter::Decision::kOverRate:
      Refuse(call, Reason::kOverRate, Outcome::kNotRun);
      return;
    case RateLimiter::Decision::kUnavailable:
      Refuse(call, Reason::kRateShareUnavailable, Outcome::kNotRun);
      return;
  }
}

NodeReducer::OwnedPartition* NodeReducer::FindOwnedPartition(
    uint32_t partition) {
  const PartitionOwnership* ownership = partitions_.FindOwned(partition);
  auto found = owned_partitions_.find(partition);
  if (!ownership || found == owned_partitions_.end() ||
      found->second->epoch != ownership->epoch)
    return nullptr;
  return found->second.get();
}

void NodeReducer::SyncOwnedPartitions() {
  std::erase_if(owned_partitions_, [this](const auto& item) {
    return !FindOwnedPartition(item.first);
  });
  for (const auto& [partition, ownership] : partitions_.owned()) {
    if (owned_partitions_.contains(partition))
      continue;
    auto limits = [this](const std::string& organisation) {
      auto rule = bundle_->organisations.find(organisation);
      return rule == bundle_->organisations.end()
                 ? Share{}
                 : Share{rule->second.rate, rule->second.burst};
    };
    owned_partitions_[partition] =
        std::make_unique<OwnedPartition>(OwnedPartition{
            ownership.epoch,
            RateAllocator(partition, ownership.epoch, ownership.is_first_owner,
                          now_, limits, {}),
            ClaimPartition(partition, ownership.epoch, OwnerKey(partition),
                           ownership.owner_revision, {})});
  }
}

void NodeReducer::ReadMembersFor(uint32_t partition, OwnedPartition& owned) {
  // All nodes on the list may hold shares, so the list must be read after the
  // takeover.
  owned.next_member_read_at = now_ + kMemberReadRetryInterval;
  std::string prefix(kMembersPrefix);
  SendStoreRequest(
      StoreRange{prefix, PrefixEnd(prefix)},
      [this, partition, epoch = owned.epoch](const StoreResult& result) {
        const auto* range = std::get_if<StoreRangeResult>(&result);
        OwnedPartition* current = FindOwnedPartition(partition);
        if (!range || !current || current->epoch != epoch)
          return;
        std::set<NodeId> members;
        for (const auto& entry : range->entries)
          members.insert(entry.key.substr(entry.key.rfind('/') + 1));
        if (!std::exchange(current->members_read, true)) {
          current->rate.SetMembers(std::move(members));
          return;
        }
        for (const auto& node : members)
          current->rate.ChangeMember(node, true);
      });
}

void NodeReducer::ReclaimShares(const NodeId& node, uint64_t incarnation) {
  for (auto& [partition, owned] : owned_partitions_)
    owned->rate.OnIncarnationEnded(node, incarnation, now_);
}

void NodeReducer::AdvanceRate() {
  if (!bundle_)
    return;
  SyncOwnedPartitions();
  for (auto& [partition, owned] : owned_partitions_) {
    if (!owned->members_read && now_ >= owned->next_member_read_at)
      ReadMembersFor(partition, *owned);
  }
  for (const auto& [partition, owner] : partitions_.owners())
    rate_limiter_.UpdateEpoch(partition, owner.epoch);
  RateLimiter::Requests requests;
  for (const auto& decided : rate_limiter_.Advance(now_, requests)) {
    auto found = calls_.find(decided.call);
    if (found != calls_.end())
      OnRateDecision(found->second, decided.decision);
  }
  SendShareRequests(requests);
}

void NodeReducer::SendShareRequests(const RateLimiter::Requests& requests) {
  for (const auto& request : requests) {
    wire::PeerMessage message;
    *message.mutable_share_request() = request;
    SendToOwner(request.partition(), std::move(message));
  }
}

void NodeReducer::OnShareRequest(const NodeId& from,
                                 const wire::PeerMessage& message) {
  const wire::ShareRequest& request = message.share_request();
  OwnedPartition* owned = FindOwnedPartition(request.partition());
  if (!owned) {
    SendNotOwner(from, request.partition(), 0, request.incarnation());
    return;
  }
  // The node joined after the list was read.
  if (owned->members_read && !owned->rate.IsListed(from) &&
      now_ >= owned->next_member_read_at) {
    ReadMembersFor(request.partition(), *owned);
  }
  OwnershipStatus ownership{
      partitions_.IsConfirmed(request.partition(), now_),
      partitions_.FindOwned(request.partition())->confirmed_at};
  for (auto& grant : owned->rate.OnRequest(from, request, ownership, now_)) {
    wire::PeerMessage answer;
    *answer.mutable_share_grant() = std::move(grant.message);
    SendToNode(grant.node, std::move(answer));
  }
}

void NodeReducer::OnShareGrant(const NodeId& from,
                               const wire::PeerMessage& message) {
  const wire::ShareGrant& grant = message.share_grant();
  wire::PartitionOwner owner;
  owner.set_partition(grant.partition());
  owner.set_node(from);
  owner.set_epoch(grant.epoch());
  UpdateOwner(owner);
  rate_limiter_.Apply(grant, now_);
}

void NodeReducer::SendToNode(const NodeId& node, wire::PeerMessage message) {
  if (node == identity_.node) {
    HandlePeerMessage(node, message);
    return;
  }
  auto member = members_.find(node);
  if (member == members_.end())
    return;
  effects_.push_back(
      SendToPeer{node, member->second.control_address(), std::move(message)});
}

void NodeReducer::SendToOwner(uint32_t partition, wire::PeerMessage message) {
  // Without a known owner the message is dropped; its sender repeats it later.
  if (const PartitionOwner* owner = partitions_.OwnerOf(partition))
    SendToNode(NodeId(owner->node), std::move(message));
}

void NodeReducer::SendNotOwner(const NodeId& to,
                               uint32_t partition,
                               uint64_t claim,
                               uint64_t incarnation) {
  const PartitionOwner* owner = partitions_.OwnerOf(partition);
  // A node that owns the partition but has no state for it yet does not answer.
  if (!owner || owner->node == identity_.node)
    return;
  wire::PeerMessage message;
  wire::NotOwner& not_owner = *message.mutable_not_owner();
  not_owner.set_partition(partition);
  not_owner.set_claim(claim);
  not_owner.set_incarnation(incarnation);
  not_owner.mutable_owner()->set_partition(partition);
  not_owner.mutable_owner()->set_node(owner->node);
  not_owner.mutable_owner()->set_epoch(owner->epoch);
  SendToNode(to, std::move(message));
}

void NodeReducer::OnNotOwner(const NodeId& /*from*/,
                             const wire::PeerMessage& message) {
  if (message.not_owner().has_owner())
    UpdateOwner(message.not_owner().owner());
  claim_tracker_.OnNotOwner(message.not_owner(), now_);
}

void NodeReducer::HandlePeerMessage(const NodeId& from,
                                    const wire::PeerMessage& message) {
  using Body = wire::PeerMessage::BodyCase;
  using Handler =
      void (NodeReducer::*)(const NodeId&, const wire::PeerMessage&);
  static const std::map<Body, Handler> kHandlers = {
      {Body::kShareRequest, &NodeReducer::OnShareRequest},
      {Body::kShareGrant, &NodeReducer::OnShareGrant},
      {Body::kNotOwner, &NodeReducer::OnNotOwner},
      {Body::kClaimRequest, &NodeReducer::OnClaimRequest},
      {Body::kClaimResult, &NodeReducer::OnClaimResult},
      {Body::kClaimReleased, &NodeReducer::OnClaimReleased},
      {Body::kClaimGranted, &NodeReducer::OnClaimGranted},
      {Body::kClaimRefused, &NodeReducer::OnClaimRefused},
      {Body::kClaimAcknowledged, &NodeReducer::OnClaimAcknowledged},
  };
  auto handler = kHandlers.find(message.body_case());
  if (handler != kHandlers.end())
    (this->*handler->second)(from, message);
}

}  // namespace comfreylock
