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

/// Interval in which news is collected before it is sent on.
constexpr std::chrono::milliseconds kFlushInterval = 50ms;
/// Pause between requests for the whole member table.
constexpr std::chrono::milliseconds kSyncInterval = 1s;
/// A longer gap between two ticks means that this process was paused; what it
/// waited for may have arrived and proves nothing.
constexpr std::chrono::milliseconds kPauseGap = 500ms;
/// Limits of the isolation rule: the first lets the fleet ride out an outage
/// of the store, the second covers a minority that is cut off.
constexpr std::chrono::minutes kStoreAgeLimit = 15min;
constexpr std::chrono::seconds kStoreAgeSuspicious = 10s;
/// Probes relayed for others at a time.
constexpr size_t kMaxRelays = 1024;
/// Each piece of news is piggybacked this often times the logarithm of the
/// fleet's size.
constexpr uint32_t kPiggybackFactor = 3;

bool IsLive(const wire::Member& member) {
  return member.status() == wire::MEMBER_ALIVE ||
         member.status() == wire::MEMBER_SUSPECT;
}

bool IsNewer(const wire::Member& news, const wire::Member& known) {
  return std::tuple(news.incarnation(), news.refutation(),
                    static_cast<int>(news.status())) >
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
      started_(now),
      last_advance_(now) {
  std::erase(seeds_, self_.control_address());
  // Nodes that start together probe at different times.
  std::uniform_int_distribution<int64_t> spread(0, kProbeInterval.count());
  next_probe_ = now + std::chrono::milliseconds(spread(random_));
  next_sync_ = now;
}

MembershipChanges Membership::Advance(TimePoint now) {
  auto gap = now - last_advance_;
  last_advance_ = now;
  if (gap > kPauseGap) {
    probe_.reset();
    for (auto& [node, member] : members_)
      member.since += gap;
  }
  if (probe_ && !probe_->indirect && now - probe_->sent >= kDirectTimeout)
    SendIndirect(now);
  if (now >= next_probe_) {
    next_probe_ = now + kProbeInterval;
    EndProbe(now);
    EndSuspicions(now);
    StartProbe(now);
    std::erase_if(relays_, [now](const auto& relay) {
      return now - relay.second.sent > kProbeInterval;
    });
  }
  if (!synced_ && now >= next_sync_)
    AskForSync(now);
  if (now >= next_flush_ && !to_push_.empty())
    Flush(now);
  return Take();
}

MembershipChanges Membership::Receive(const PeerMessageReceived& event,
                                      TimePoint now) {
  if (event.from == self_.node())
    return Take();
  const wire::PeerMessage& message = event.message;
  if (const wire::Rumours* rumours = RumoursIn(message))
    LearnAll(*rumours, now);
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
      Fill(*ping.mutable_rumours(), kMaxPiggyback, now);
    }
  }
  return Take();
}

void Membership::OnPing(const PeerMessageReceived& event, TimePoint now) {
  wire::Ack& ack = *Send(event.from, event.control_address).mutable_ack();
  ack.set_nonce(event.message.ping().nonce());
  ack.set_node(self_.node());
  Fill(*ack.mutable_rumours(), kMaxPiggyback, now);
  // The sender may not know that it is taken for dead, after a pause.
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

MembershipChanges Membership::LearnFromStore(const wire::Member& record,
                                             TimePoint now) {
  // Nothing is sent on: who needs the record reads the store as well, or
  // hears of it from the member itself.
  if (record.node() != self_.node())
    Learn(record, now);
  return Take();
}

MembershipChanges Membership::LearnDeleted(const NodeId& node, TimePoint now) {
  auto found = members_.find(node);
  if (found != members_.end() && IsLive(found->second.record)) {
    wire::Member record = found->second.record;
    record.set_status(wire::MEMBER_LEAVING);
    if (Learn(record, now))
      Queue(node);
  }
  return Take();
}

MembershipChanges Membership::Leave(TimePoint now) {
  self_.set_status(wire::MEMBER_LEAVING);
  Queue(self_.node());
  Flush(now);
  return Take();
}

void Membership::SetOwner(const wire::PartitionOwner& owner) {
  owners_[owner.partition()] = owner;
  owner_news_[owner.partition()] =
      kPiggybackFactor * std::bit_width(members_.size() + 1);
}

void Membership::OnStoreReached(TimePoint now) {
  store_reached_ = std::max(store_reached_.value_or(now), now);
}

std::chrono::milliseconds Membership::StoreAge(TimePoint now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - store_reached_.value_or(started_));
}

bool Membership::Isolated(TimePoint now) const {
  auto age = StoreAge(now);
  return age > kStoreAgeLimit ||
         (age > kStoreAgeSuspicious && alive_ * 2 < known_);
}

bool Membership::HasZoneDuty(std::string_view duty, size_t count) const {
  uint64_t own = RendezvousScore(self_.node(), duty);
  size_t before = 0;
  for (const auto& [node, member] : members_) {
    before += member.record.zone() == self_.zone() &&
              member.record.status() == wire::MEMBER_ALIVE &&
              RendezvousScore(node, duty) > own;
  }
  return before < count;
}

bool Membership::IsRegistrar() const {
  return std::ranges::none_of(members_, [this](const auto& member) {
    return member.first < self_.node() &&
           member.second.record.zone() == self_.zone() &&
           member.second.record.status() == wire::MEMBER_ALIVE;
  });
}

const wire::Rumours* Membership::RumoursIn(const wire::PeerMessage& message) {
  if (message.has_rumours())
    return &message.rumours();
  if (message.has_ping() && message.ping().has_rumours())
    return &message.ping().rumours();
  if (message.has_ack() && message.ack().has_rumours())
    return &message.ack().rumours();
  return nullptr;
}

bool Membership::Learn(const wire::Member& record, TimePoint now) {
  if (record.node().empty() || record.control_address().empty())
    return false;
  if (record.node() == self_.node()) {
    Refute(record);
    return false;
  }
  auto [found, added] = members_.try_emplace(record.node());
  if (!added && !IsNewer(record, found->second.record))
    return false;
  bool was_known_gone = added && !IsLive(record);
  found->second = {record, now};
  // An unknown member that is gone is remembered, but is no news to others.
  if (!was_known_gone)
    changes_.members.push_back(record);
  CountMembers();
  return !was_known_gone;
}

void Membership::LearnAll(const wire::Rumours& rumours, TimePoint now) {
  synced_ = synced_ || rumours.full_sync_end();
  for (const auto& record : rumours.members()) {
    if (Learn(record, now))
      Queue(record.node());
  }
  if (rumours.store_age_ms() > 0)
    OnStoreReached(now - std::chrono::milliseconds(rumours.store_age_ms() - 1));
}

void Membership::Refute(const wire::Member& news) {
  if (self_.status() == wire::MEMBER_LEAVING ||
      news.incarnation() != self_.incarnation() ||
      news.status() == wire::MEMBER_ALIVE ||
      news.refutation() < self_.refutation()) {
    return;
  }
  self_.set_refutation(news.refutation() + 1);
  Queue(self_.node());
  // Tells the reducer, which may have to write its record again.
  changes_.members.push_back(news);
}

void Membership::Queue(const NodeId& node) {
  news_[node] = kPiggybackFactor * std::bit_width(members_.size() + 1);
  if (std::ranges::find(to_push_, node) == to_push_.end())
    to_push_.push_back(node);
}

void Membership::StartProbe(TimePoint now) {
  const wire::Member* target = nullptr;
  // Round robin over a shuffled list, so that each member is probed within a
  // bounded time.
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
  Fill(*ping.mutable_rumours(), kMaxPiggyback, now);
  // Makes this node known to a member that missed the news of its start.
  *ping.mutable_rumours()->add_members() = self_;
}

void Membership::SendIndirect(TimePoint /*now*/) {
  probe_->indirect = true;
  for (const wire::Member* member : PickLive(kFanOut, probe_->node)) {
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
  if (Learn(record, now))
    Queue(record.node());
}

void Membership::EndSuspicions(TimePoint now) {
  std::vector<wire::Member> dead;
  for (auto& [node, member] : members_) {
    if (member.record.status() == wire::MEMBER_SUSPECT &&
        now - member.since >= kSuspicionTime) {
      dead.push_back(member.record);
    }
  }
  for (auto& record : dead) {
    record.set_status(wire::MEMBER_DEAD);
    if (Learn(record, now))
      Queue(record.node());
  }
  size_t forgotten = std::erase_if(members_, [now](const auto& member) {
    return !IsLive(member.second.record) &&
           now - member.second.since > kForgetTime;
  });
  if (forgotten > 0)
    CountMembers();
}

void Membership::Flush(TimePoint now) {
  next_flush_ = now + kFlushInterval;
  size_t count = std::min(to_push_.size(), kMaxPush);
  wire::Rumours rumours;
  for (size_t i = 0; i < count; ++i) {
    auto found = members_.find(to_push_[i]);
    if (to_push_[i] == self_.node())
      *rumours.add_members() = self_;
    else if (found != members_.end())
      *rumours.add_members() = found->second.record;
  }
  to_push_.erase(to_push_.begin(),
                 to_push_.begin() + static_cast<std::ptrdiff_t>(count));
  Fill(rumours, 0, now);
  for (const wire::Member* member : PickLive(kFanOut, NodeId())) {
    *Send(member->node(), member->control_address()).mutable_rumours() =
        rumours;
  }
}

void Membership::AskForSync(TimePoint now) {
  next_sync_ = now + kSyncInterval;
  wire::Rumours rumours;
  *rumours.add_members() = self_;
  rumours.set_full_sync_request(true);
  Fill(rumours, 0, now);
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
    if (static_cast<size_t>(rumours.members_size()) < kMaxSync)
      continue;
    Fill(rumours, 0, now);
    *Send(event.from, event.control_address).mutable_rumours() = rumours;
    rumours.Clear();
  }
  rumours.set_full_sync_end(true);
  Fill(rumours, 0, now);
  *Send(event.from, event.control_address).mutable_rumours() = rumours;
}

void Membership::Fill(wire::Rumours& rumours,
                      size_t most_members,
                      TimePoint now) {
  rumours.set_bundle_version(bundle_version_);
  if (store_reached_) {
    constexpr int64_t kMost = std::numeric_limits<uint32_t>::max() - 1;
    int64_t age = std::clamp<int64_t>(StoreAge(now).count(), 0, kMost);
    rumours.set_store_age_ms(static_cast<uint32_t>(age + 1));
  }
  if (most_members == 0)
    return;
  // The least sent news comes first.
  std::vector<std::pair<uint32_t, NodeId>> order;
  for (const auto& [node, left] : news_)
    order.emplace_back(left, node);
  std::ranges::sort(order, std::greater());
  order.resize(std::min(order.size(), most_members));
  for (const auto& [left, node] : order) {
    auto found = members_.find(node);
    if (node == self_.node())
      *rumours.add_members() = self_;
    else if (found != members_.end())
      *rumours.add_members() = found->second.record;
    if (left <= 1)
      news_.erase(node);
    else
      news_[node] = left - 1;
  }
  size_t added = 0;
  for (auto it = owner_news_.begin();
       it != owner_news_.end() && added < most_members; ++added) {
    *rumours.add_owners() = owners_[it->first];
    it = --it->second == 0 ? owner_news_.erase(it) : std::next(it);
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
  alive_ = 0;
  known_ = 0;
  for (const auto& [node, member] : members_) {
    alive_ += member.record.status() == wire::MEMBER_ALIVE;
    known_ += member.record.status() != wire::MEMBER_LEAVING;
  }
}

MembershipChanges Membership::Take() {
  return std::exchange(changes_, {});
}

}  // namespace comfreylock
