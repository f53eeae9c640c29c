#include <algorithm>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "store_keys.h"

/// Rate shares: tokens for calls from outside, and the allocators of the
/// partitions that this node owns.
namespace comfreylock {
namespace {

/// Pause between attempts to read the member list after a takeover.
constexpr std::chrono::milliseconds kMemberReadRetry = 500ms;

}  // namespace

// The one place that decides whether a call needs a token and a claim.
void Node::AdmitCall(Call& call) {
  if (identity_.policy == Policy::kNaive) {
    AdmitNaively(call);
    return;
  }
  // The chain's entry has taken the token of onward calls, and open routes
  // without a key have no organisation.
  if (call.parent || call.organisation.empty()) {
    ClaimCall(call);
    return;
  }
  uint32_t partition =
      PartitionTable::PartitionOf(call.organisation, bundle_->partitions);
  OnRateVerdict(call, rate_.Admit(call.id, call.organisation, partition, now_));
}

// The baseline: every node admits the whole rate by itself, and nothing keeps
// a once-only request from running again.
void Node::AdmitNaively(Call& call) {
  auto rule = bundle_->organisations.find(call.organisation);
  if (!call.parent && rule != bundle_->organisations.end()) {
    NaiveBucket& bucket = naive_buckets_[call.organisation];
    if (!bucket.Take(rule->second.rate, rule->second.burst, now_)) {
      Refuse(call, Reason::kOverRate, Outcome::kNotRun);
      return;
    }
  }
  DispatchCall(call, 0ms);
}

bool Node::NaiveBucket::Take(double rate, double burst, TimePoint now) {
  if (filled == TimePoint())
    tokens = burst;
  std::chrono::duration<double> passed = now - filled;
  tokens = std::min(burst, tokens + rate * passed.count());
  filled = now;
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

void Node::OnRateVerdict(Call& call, RateLimiter::Decision decision) {
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

Node::OwnedPartition* Node::Owned(uint32_t partition) {
  const HeldPartition* held = partitions_.Held(partition);
  auto found = owned_.find(partition);
  if (!held || found == owned_.end() || found->second->epoch != held->epoch)
    return nullptr;
  return found->second.get();
}

void Node::SyncOwned() {
  std::erase_if(owned_,
                [this](const auto& item) { return !Owned(item.first); });
  for (const auto& [partition, held] : partitions_.held()) {
    if (owned_.contains(partition))
      continue;
    auto limits = [this](const std::string& organisation) {
      auto rule = bundle_->organisations.find(organisation);
      return rule == bundle_->organisations.end()
                 ? Share{}
                 : Share{rule->second.rate, rule->second.burst};
    };
    owned_[partition] = std::make_unique<OwnedPartition>(OwnedPartition{
        held.epoch,
        RateAllocator(partition, held.epoch, held.first_ever, now_, limits, {}),
        ClaimPartition(partition, held.epoch, OwnerKey(partition),
                       held.owner_revision, {})});
  }
}

void Node::ReadMembersFor(uint32_t partition, OwnedPartition& owned) {
  // Nodes of the list may hold shares, so it must be newer than the takeover.
  owned.next_member_read = now_ + kMemberReadRetry;
  std::string prefix(kMembersPrefix);
  AskStore(StoreRange{prefix, PrefixEnd(prefix)},
           [this, partition, epoch = owned.epoch](const StoreResult& result) {
             const auto* range = std::get_if<StoreRangeResult>(&result);
             OwnedPartition* current = Owned(partition);
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

void Node::EndShares(const NodeId& node, uint64_t incarnation) {
  for (auto& [partition, owned] : owned_)
    owned->rate.NodeEnded(node, incarnation, now_);
}

void Node::AdvanceRate() {
  if (!bundle_)
    return;
  SyncOwned();
  for (auto& [partition, owned] : owned_) {
    if (!owned->members_read && now_ >= owned->next_member_read)
      ReadMembersFor(partition, *owned);
  }
  for (const auto& [partition, owner] : partitions_.owners())
    rate_.LearnEpoch(partition, owner.epoch);
  RateLimiter::Requests requests;
  for (const auto& verdict : rate_.Advance(now_, requests)) {
    auto found = calls_.find(verdict.call);
    if (found != calls_.end())
      OnRateVerdict(found->second, verdict.decision);
  }
  SendShareRequests(requests);
}

void Node::SendShareRequests(const RateLimiter::Requests& requests) {
  for (const auto& request : requests) {
    wire::PeerMessage message;
    *message.mutable_share_request() = request;
    SendToOwner(request.partition(), std::move(message));
  }
}

void Node::OnShareRequest(const NodeId& from,
                          const wire::PeerMessage& message) {
  const wire::ShareRequest& request = message.share_request();
  OwnedPartition* owned = Owned(request.partition());
  if (!owned) {
    SendNotOwner(from, request.partition(), 0, request.incarnation());
    return;
  }
  // A node that joined after the list was read.
  if (owned->members_read && !owned->rate.IsListed(from) &&
      now_ >= owned->next_member_read) {
    ReadMembersFor(request.partition(), *owned);
  }
  OwnerCertainty certainty{partitions_.Certain(request.partition(), now_),
                           partitions_.Held(request.partition())->confirmed};
  for (auto& grant : owned->rate.OnRequest(from, request, certainty, now_)) {
    wire::PeerMessage answer;
    *answer.mutable_share_grant() = std::move(grant.message);
    SendToNode(grant.node, std::move(answer));
  }
}

void Node::OnShareGrant(const NodeId& from, const wire::PeerMessage& message) {
  const wire::ShareGrant& grant = message.share_grant();
  wire::PartitionOwner owner;
  owner.set_partition(grant.partition());
  owner.set_node(from);
  owner.set_epoch(grant.epoch());
  LearnOwner(owner);
  rate_.Apply(grant, now_);
}

void Node::SendToNode(const NodeId& node, wire::PeerMessage message) {
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

void Node::SendToOwner(uint32_t partition, wire::PeerMessage message) {
  // Without a known owner the message is repeated later.
  if (const PartitionOwner* owner = partitions_.OwnerOf(partition))
    SendToNode(NodeId(owner->node), std::move(message));
}

void Node::SendNotOwner(const NodeId& to,
                        uint32_t partition,
                        uint64_t claim,
                        uint64_t incarnation) {
  const PartitionOwner* owner = partitions_.OwnerOf(partition);
  // A node that owns the partition but has not set it up yet stays silent.
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

void Node::OnNotOwner(const NodeId& /*from*/,
                      const wire::PeerMessage& message) {
  if (message.not_owner().has_owner())
    LearnOwner(message.not_owner().owner());
  claims_.OnNotOwner(message.not_owner(), now_);
}

void Node::HandlePeerMessage(const NodeId& from,
                             const wire::PeerMessage& message) {
  using Body = wire::PeerMessage::BodyCase;
  using Handler = void (Node::*)(const NodeId&, const wire::PeerMessage&);
  static const std::map<Body, Handler> kHandlers = {
      {Body::kShareRequest, &Node::OnShareRequest},
      {Body::kShareGrant, &Node::OnShareGrant},
      {Body::kNotOwner, &Node::OnNotOwner},
      {Body::kClaimRequest, &Node::OnClaimRequest},
      {Body::kClaimResult, &Node::OnClaimResult},
      {Body::kClaimReleased, &Node::OnClaimReleased},
      {Body::kClaimGranted, &Node::OnClaimGranted},
      {Body::kClaimRefused, &Node::OnClaimRefused},
      {Body::kClaimAcknowledged, &Node::OnClaimAcknowledged},
  };
  auto handler = kHandlers.find(message.body_case());
  if (handler != kHandlers.end())
    (this->*handler->second)(from, message);
}

}  // namespace comfreylock
