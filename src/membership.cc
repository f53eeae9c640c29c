#include "comfreylock/membership.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>
#include <utility>

#include "comfreylock/config.h"
#include "comfreylock/partition.h"

namespace comfreylock {
namespace {

/// Minimum interval of pushes; updates are collected in between.
constexpr std::chrono::milliseconds kPushInterval = 50ms;
/// Interval of requests for the whole member table.
constexpr std::chrono::milliseconds kSyncInterval = 1s;
/// A longer gap between two ticks means that this process was paused. Answers
/// may have arrived meanwhile, so a timeout that expired in the gap does not
/// count against a member.
constexpr std::chrono::milliseconds kPauseThreshold = 500ms;
/// Store contact ages at which this node counts as isolated: the first lets the
/// fleet continue through an outage of the store; the second applies to a
/// disconnected minority.
constexpr std::chrono::minutes kIsolationStoreAge = 15min;
constexpr std::chrono::seconds kMinorityIsolationStoreAge = 10s;
/// Maximum number of pending probes that are relayed for other nodes.
constexpr size_t kMaxRelays = 1024;
/// An update is piggybacked on a number of messages that is this factor times
/// the binary logarithm of the fleet's size.
constexpr uint32_t kRetransmitFactor = 3;

bool IsLive(const wire::Member& member) {
  return member.status() == wire::MEMBER_ALIVE ||
         member.status() == wire::MEMBER_SUSPECT;
}

bool IsNewer(const wire::Member& update, const wire::Member& known) {
  return std::tuple(update.incarnation(), update.refutation(),
                    static_cast<int>(update.status())) >
         std::tuple(known.incarnation(), known.refutation(),
                    static_cast<int>(known.status()));
}

}  // namespace

Membership::Membership(wire::Member self,
                       std::vector<std::string> seeds,
                       uint64_t seed,
                       TimePoint now)
    : self_(std::move(self)),
      seeds_(std::move(seeds)),
      random_(seed),
      started_at_(now),
      last_advance_at_(now) {
  std::erase(seeds_, self_.control_address());
  // Spreads the probes of nodes that start together.
  std::uniform_int_distribution<int64_t> spread(0, kProbeInterval.count());
  next_probe_at_ = now + std::chrono::milliseconds(spread(random_));
  next_sync_at_ = now;
}

MembershipChanges Membership::Advance(TimePoint now) {
  auto gap = now - last_advance_at_;
  last_advance_at_ = now;
  if (gap > kPauseThreshold) {
    probe_.reset();
    for (auto& [node, member] : members_)
      member.status_since += gap;
  }
  if (probe_ && !probe_->indirect &&
      now - probe_->sent_at >= kDirectProbeTimeout)
    SendIndirectProbes(now);
  if (now >= next_probe_at_) {
    next_probe_at_ = now + kProbeInterval;
    EndProbe(now);
    EndSuspicions(now);
    StartProbe(now);
    std::erase_if(relays_, [now](const auto& relay) {
      return now - relay.second.sent_at > kProbeInterval;
    });
  }
  if (!synced_ && now >= next_sync_at_)
    RequestSync(now);
  if (now >= next_push_at_ && !push_queue_.empty())
    PushUpdates(now);
  return ExtractChanges();
}

MembershipChanges Membership::Receive(const PeerMessageReceived& event,
                                      TimePoint now) {
  if (event.from == self_.node())
    return ExtractChanges();
  const wire::PeerMessage& message = event.message;
  if (const wire::Rumours* rumours = FindGossip(message))
    ApplyUpdates(*rumours, now);
  if (message.has_ping()) {
    OnPing(event, now);
  } else if (message.has_ack()) {
    OnAck(message.ack(), now);
  } else if (message.has_rumours() && message.rumours().full_sync_request()) {
    SendSync(event, now);
  } else if (message.has_ping_request() && relays_.size() < kMaxRelays) {
    auto target = members_.find(message.ping_request().target_node());
    if (target != members_.end()) {
      uint64_t nonce = random_();
      relays_[nonce] = {event.control_address, target->first,
                        message.ping_request().nonce(), now};
      wire::Ping& ping =
          *Send(target->first, target->second.record.control_address())
               .mutable_ping();
      ping.set_nonce(nonce);
      ping.set_on_behalf_of(event.from);
      FillGossip(*ping.mutable_rumours(), kMaxPiggybackedMembers, now);
    }
  }
  return ExtractChanges();
}

void Membership::OnPing(const PeerMessageReceived& event, TimePoint now) {
  wire::Ack& ack = *Send(event.from, event.control_address).mutable_ack();
  ack.set_nonce(event.message.ping().nonce());
  ack.set_node(self_.node());
  FillGossip(*ack.mutable_rumours(), kMaxPiggybackedMembers, now);
  // After a pause, the sender may not know that others consider it suspect or
  // dead. It refutes once it receives its record.
  auto known = members_.find(event.from);
  if (known != members_.end() &&
      known->second.record.status() != wire::MEMBER_ALIVE) {
    *ack.mutable_rumours()->add_members() = known->second.record;
  }
}

void Membership::OnAck(const wire::Ack& ack, TimePoint /*now*/) {
  auto relay = relays_.find(ack.nonce());
  if (relay != relays_.end() && relay->second.node == ack.node()) {
    wire::Ack& answer = *Send(NodeId(), relay->second.address).mutable_ack();
    answer.set_nonce(relay->second.nonce);
    answer.set_node(ack.node());
    relays_.erase(relay);
    return;
  }
  if (probe_ && probe_->nonce == ack.nonce() && probe_->node == ack.node())
    probe_.reset();
}

MembershipChanges Membership::UpdateFromStore(const wire::Member& record,
                                              TimePoint now) {
  // Not gossiped: other nodes read the record from the store as well, or
  // receive it from the member itself.
  if (record.node() != self_.node())
    UpdateMember(record, now);
  return ExtractChanges();
}

MembershipChanges Membership::OnRecordDeleted(const NodeId& node,
                                              TimePoint now) {
  auto found = members_.find(node);
  if (found != members_.end() && IsLive(found->second.record)) {
    wire::Member record = found->second.record;
    record.set_status(wire::MEMBER_LEAVING);
    if (UpdateMember(record, now))
      QueueUpdate(node);
  }
  return ExtractChanges();
}

MembershipChanges Membership::Leave(TimePoint now) {
  self_.set_status(wire::MEMBER_LEAVING);
  QueueUpdate(self_.node());
  PushUpdates(now);
  return ExtractChanges();
}

void Membership::SetOwner(const wire::PartitionOwner& owner) {
  owners_[owner.partition()] = owner;
  pending_owner_updates_[owner.partition()] =
      kRetransmitFactor * std::bit_width(members_.size() + 1);
}

void Membership::OnStoreReached(TimePoint now) {
  store_reached_at_ = std::max(store_reached_at_.value_or(now), now);
}

std::chrono::milliseconds Membership::StoreContactAge(TimePoint now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - store_reached_at_.value_or(started_at_));
}

bool Membership::IsIsolated(TimePoint now) const {
  auto age = StoreContactAge(now);
  return age > kIsolationStoreAge || (age > kMinorityIsolationStoreAge &&
                                      alive_count_ * 2 < non_leaving_count_);
}

bool Membership::IsElectedInZone(std::string_view role, size_t count) const {
  uint64_t own = RendezvousScore(self_.node(), role);
  size_t higher_ranked = 0;
  for (const auto& [node, member] : members_) {
    higher_ranked += member.record.zone() == self_.zone() &&
                     member.record.status() == wire::MEMBER_ALIVE &&
                     RendezvousScore(node, role) > own;
  }
  return higher_ranked < count;
}

bool Membership::HasLowestIdInZone() const {
  return std::ranges::none_of(members_, [this](const auto& member) {
    return member.first < self_.node() &&
           member.second.record.zone() == self_.zone() &&
           member.second.record.status() == wire::MEMBER_ALIVE;
  });
}

const wire::Rumours* Membership::FindGossip(const wire::PeerMessage& message) {
  if (message.has_rumours())
    return &message.rumours();
  if (message.has_ping() && message.ping().has_rumours())
    return &message.ping().rumours();
  if (message.has_ack() && message.ack().has_rumours())
    return &message.ack().rumours();
  return nullptr;
}

bool Membership::UpdateMember(const wire::Member& record, TimePoint now) {
  if (record.node().empty() || record.control_address().empty())
    return false;
  if (record.node() == self_.node()) {
    Refute(record);
    return false;
  }
  auto [found, added] = members_.try_emplace(record.node());
  if (!added && !IsNewer(record, found->second.record))
    return false;
  bool is_unknown_inactive = added && !IsLive(record);
  found->second = {record, now};
  // The record of a member that was unknown and has left or died is kept, but
  // is not reported.
  if (!is_unknown_inactive)
    changes_.members.push_back(record);
  CountMembers();
  return !is_unknown_inactive;
}

void Membership::ApplyUpdates(const wire::Rumours& rumours, TimePoint now) {
  synced_ = synced_ || rumours.full_sync_end();
  for (const auto& record : rumours.members()) {
    if (UpdateMember(record, now))
      QueueUpdate(record.node());
  }
  if (rumours.store_age_ms() > 0)
    OnStoreReached(now - std::chrono::milliseconds(rumours.store_age_ms() - 1));
}

void Membership::Refute(const wire::Member& update) {
  if (self_.status() == wire::MEMBER_LEAVING ||
      update.incarnation() != self_.incarnation() ||
      update.status() == wire::MEMBER_ALIVE ||
      update.refutation() < self_.refutation()) {
    return;
  }
  self_.set_refutation(update.refutation() + 1);
  QueueUpdate(self_.node());
  // Notifies the reducer, which may have to write this node's record again.
  changes_.members.push_back(update);
}

void Membership::QueueUpdate(const NodeId& node) {
  pending_updates_[node] =
      kRetransmitFactor * std::bit_width(members_.size() + 1);
  if (std::ranges::find(push_queue_, node) == push_queue_.end())
    push_queue_.push_back(node);
}

void Membership::StartProbe(TimePoint now) {
  const wire::Member* target = nullptr;
  // Round robin over a shuffled list bounds the time until each member is
  // probed.
  for (int round = 0; round < 2 && !target; ++round) {
    while (!probe_order_.empty() && !target) {
      auto found = members_.find(probe_order_.back());
      probe_order_.pop_back();
      if (found != members_.end() && IsLive(found->second.record))
        target = &found->second.record;
    }
    if (target || round == 1)
      break;
    for (const auto& [node, member] : members_)
      probe_order_.push_back(node);
    std::ranges::shuffle(probe_order_, random_);
  }
  if (!target)
    return;
  probe_ = Probe{target->node(), random_(), now};
  wire::Ping& ping =
      *Send(target->node(), target->control_address()).mutable_ping();
  ping.set_nonce(probe_->nonce);
  FillGossip(*ping.mutable_rumours(), kMaxPiggybackedMembers, now);
  // Introduces this node to a member that missed its join.
  *ping.mutable_rumours()->add_members() = self_;
}

void Membership::SendIndirectProbes(TimePoint /*now*/) {
  probe_->indirect = true;
  for (const wire::Member* member : PickLive(kGossipFanout, probe_->node)) {
    wire::PingRequest& request =
        *Send(member->node(), member->control_address()).mutable_ping_request();
    request.set_nonce(probe_->nonce);
    request.set_target_node(probe_->node);
  }
}

void Membership::EndProbe(TimePoint now) {
  if (!probe_)
    return;
  auto found = members_.find(probe_->node);
  probe_.reset();
  if (found == members_.end() ||
      found->second.record.status() != wire::MEMBER_ALIVE) {
    return;
  }
  wire::Member record = found->second.record;
  record.set_status(wire::MEMBER_SUSPECT);
  if (UpdateMember(record, now))
    QueueUpdate(record.node());
}

void Membership::EndSuspicions(TimePoint now) {
  std::vector<wire::Member> dead;
  for (auto& [node, member] : members_) {
    if (member.record.status() == wire::MEMBER_SUSPECT &&
        now - member.status_since >= kSuspicionTimeout) {
      dead.push_back(member.record);
    }
  }
  for (auto& record : dead) {
    record.set_status(wire::MEMBER_DEAD);
    if (UpdateMember(record, now))
      QueueUpdate(record.node());
  }
  size_t erased = std::erase_if(members_, [now](const auto& member) {
    return !IsLive(member.second.record) &&
           now - member.second.status_since > kInactiveMemberRetention;
  });
  if (erased > 0)
    CountMembers();
}

void Membership::PushUpdates(TimePoint now) {
  next_push_at_ = now + kPushInterval;
  size_t count = std::min(push_queue_.size(), kMaxPushedMembers);
  wire::Rumours rumours;
  for (size_t i = 0; i < count; ++i) {
    auto found = members_.find(push_queue_[i]);
    if (push_queue_[i] == self_.node())
      *rumours.add_members() = self_;
    else if (found != members_.end())
      *rumours.add_members() = found->second.record;
  }
  push_queue_.erase(push_queue_.begin(),
                    push_queue_.begin() + static_cast<std::ptrdiff_t>(count));
  FillGossip(rumours, 0, now);
  for (const wire::Member* member : PickLive(kGossipFanout, NodeId())) {
    *Send(member->node(), member->control_address()).mutable_rumours() =
        rumours;
  }
}

void Membership::RequestSync(TimePoint now) {
  next_sync_at_ = now + kSyncInterval;
  wire::Rumours rumours;
  *rumours.add_members() = self_;
  rumours.set_full_sync_request(true);
  FillGossip(rumours, 0, now);
  auto live = PickLive(1, NodeId());
  if (!live.empty()) {
    *Send(live[0]->node(), live[0]->control_address()).mutable_rumours() =
        rumours;
  } else if (!seeds_.empty()) {
    std::uniform_int_distribution<size_t> pick(0, seeds_.size() - 1);
    *Send(NodeId(), seeds_[pick(random_)]).mutable_rumours() = rumours;
  }
}

void Membership::SendSync(const PeerMessageReceived& event, TimePoint now) {
  wire::Rumours rumours;
  *rumours.add_members() = self_;
  for (const auto& [partition, owner] : owners_)
    *rumours.add_owners() = owner;
  for (const auto& [node, member] : members_) {
    *rumours.add_members() = member.record;
    if (static_cast<size_t>(rumours.members_size()) < kMaxSyncMembers)
      continue;
    FillGossip(rumours, 0, now);
    *Send(event.from, event.control_address).mutable_rumours() = rumours;
    rumours.Clear();
  }
  rumours.set_full_sync_end(true);
  FillGossip(rumours, 0, now);
  *Send(event.from, event.control_address).mutable_rumours() = rumours;
}

void Membership::FillGossip(wire::Rumours& rumours,
                            size_t max_members,
                            TimePoint now) {
  rumours.set_bundle_version(bundle_version_);
  if (store_reached_at_) {
    constexpr int64_t kMaxStoreAgeMs = std::numeric_limits<uint32_t>::max() - 1;
    int64_t age =
        std::clamp<int64_t>(StoreContactAge(now).count(), 0, kMaxStoreAgeMs);
    // One more than the age, as zero means that the age is unknown.
    rumours.set_store_age_ms(static_cast<uint32_t>(age + 1));
  }
  if (max_members == 0)
    return;
  // Updates sent the fewest times come first.
  std::vector<std::pair<uint32_t, NodeId>> order;
  for (const auto& [node, remaining_sends] : pending_updates_)
    order.emplace_back(remaining_sends, node);
  std::ranges::sort(order, std::greater());
  order.resize(std::min(order.size(), max_members));
  for (const auto& [remaining_sends, node] : order) {
    auto found = members_.find(node);
    if (node == self_.node())
      *rumours.add_members() = self_;
    else if (found != members_.end())
      *rumours.add_members() = found->second.record;
    if (remaining_sends <= 1)
      pending_updates_.erase(node);
    else
      pending_updates_[node] = remaining_sends - 1;
  }
  size_t added = 0;
  for (auto it = pending_owner_updates_.begin();
       it != pending_owner_updates_.end() && added < max_members; ++added) {
    *rumours.add_owners() = owners_[it->first];
    it = --it->second == 0 ? pending_owner_updates_.erase(it) : std::next(it);
  }
}

std::vector<const wire::Member*> Membership::PickLive(size_t count,
                                                      const NodeId& except) {
  std::vector<const wire::Member*> live;
  for (const auto& [node, member] : members_) {
    if (node != except && IsLive(member.record))
      live.push_back(&member.record);
  }
  std::vector<const wire::Member*> picked;
  std::ranges::sample(live, std::back_inserter(picked),
                      static_cast<std::ptrdiff_t>(count), random_);
  return picked;
}

wire::PeerMessage& Membership::Send(const NodeId& node,
                                    const std::string& address) {
  changes_.messages.push_back(SendToPeer{node, address, {}});
  return changes_.messages.back().message;
}

void Membership::CountMembers() {
  alive_count_ = 0;
  non_leaving_count_ = 0;
  for (const auto& [node, member] : members_) {
    alive_count_ += member.record.status() == wire::MEMBER_ALIVE;
    non_leaving_count_ += member.record.status() != wire::MEMBER_LEAVING;
  }
}

MembershipChanges Membership::ExtractChanges() {
  return std::exchange(changes_, {});
}

}  // namespace comfreylock
