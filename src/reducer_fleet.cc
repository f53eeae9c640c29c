#include <algorithm>
#include <iterator>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "store_keys.h"

/// Store, members and shutdown.
namespace comfreylock {
namespace {

/// Pause between attempts to reach the store.
constexpr std::chrono::milliseconds kStoreRetry = 500ms;
/// How often a read that failed is repeated before its asker is told, and the
/// longest pause before the first repetition; the pause doubles.
constexpr uint32_t kReadRepeats = 2;
constexpr std::chrono::milliseconds kReadPause = 100ms;
/// Nodes of each zone that watch the store's member list.
constexpr size_t kWatchers = 3;
constexpr std::string_view kWatchDuty = "watch members";
constexpr std::chrono::milliseconds kRegistrarInterval = 10s;
/// A node that left has this long to delete its record itself.
constexpr std::chrono::milliseconds kLeaveTime = 10s;
/// The longest hold of a rate share: the record of a dead node shows until
/// then that it may still hold one.
constexpr std::chrono::milliseconds kDeadTime = 15min;
/// Time between the end of the last request and the exit, in which the
/// sockets send what is queued: answers and the rumour of the leave.
constexpr std::chrono::milliseconds kExitGrace = 250ms;

std::string RecordKey(const wire::Member& member) {
  return std::string(kMembersPrefix) + member.zone() + "/" + member.node();
}

std::string_view StatusName(wire::MemberStatus status) {
  switch (status) {
    case wire::MEMBER_ALIVE:
      return "alive";
    case wire::MEMBER_SUSPECT:
      return "suspect";
    case wire::MEMBER_LEAVING:
      return "leaving";
    case wire::MEMBER_DEAD:
      return "dead";
    default:
      return "unknown";
  }
}

}  // namespace

StoreCallId Node::AskStore(StoreRequest request,
                           StoreHandler handler,
                           std::chrono::milliseconds timeout) {
  StoreCallId id{++last_store_call_};
  StoreAsk& ask = store_calls_[id];
  ask.handler = std::move(handler);
  ask.timeout = timeout;
  if (const auto* range = std::get_if<StoreRange>(&request))
    ask.read = *range;
  effects_.push_back(CallStore{id, std::move(request), timeout});
  return id;
}

void Node::AskStore(StoreRequest request, void (Node::*handler)(StoreResult)) {
  AskStore(std::move(request), [this, handler](const StoreResult& result) {
    (this->*handler)(result);
  });
}

void Node::On(const StoreAnswered& event) {
  auto found = store_calls_.find(event.call);
  if (found == store_calls_.end())
    return;
  store_reached_ = !std::holds_alternative<StoreFailure>(event.result);
  StoreAsk ask = found->second;
  bool is_watch = std::holds_alternative<StoreWatchResult>(event.result);
  if (!is_watch)
    store_calls_.erase(found);
  if (!std::holds_alternative<StoreFailure>(event.result)) {
    membership_.OnStoreReached(now_);
  } else if (ask.read && ask.tries < kReadRepeats) {
    // Full jitter, so that nodes do not repeat their reads together.
    std::uniform_int_distribution<int64_t> spread(
        0, (kReadPause * (1 << ask.tries)).count());
    ask.next = now_ + std::chrono::milliseconds(spread(random_));
    ++ask.tries;
    store_repeats_.push_back(std::move(ask));
    return;
  }
  ask.handler(event.result);
}

void Node::RepeatReads() {
  auto due = std::stable_partition(
      store_repeats_.begin(), store_repeats_.end(),
      [this](const auto& ask) { return ask.next > now_; });
  for (auto it = due; it != store_repeats_.end(); ++it) {
    StoreCallId id{++last_store_call_};
    effects_.push_back(CallStore{id, *it->read, it->timeout});
    store_calls_[id] = std::move(*it);
  }
  store_repeats_.erase(due, store_repeats_.end());
}

void Node::StartStoreReads() {
  next_store_try_ = now_ + kStoreRetry;
  if (!announced_ && !announcing_ && !draining_)
    Announce();
  bool watcher = IsStoreWatcher();
  if (!watching_ && (watcher || !bundle_read_)) {
    ReadBundle();
    watching_ = true;
  }
  if (!watcher && bundle_watch_) {
    store_calls_.erase(bundle_watch_);
    AskStore(StoreCancelWatch{bundle_watch_}, [](const StoreResult&) {});
    bundle_watch_ = {};
    watching_ = false;
  }
}

bool Node::HasWatchDuty() const {
  return membership_.HasZoneDuty(kWatchDuty, kWatchers);
}

void Node::Announce() {
  announcing_ = true;
  const wire::Member& record = membership_.self();
  std::string value = record.SerializeAsString();
  AskStore(StoreTransaction{{}, {{RecordKey(record), value}}, {}},
           [this](const StoreResult& result) {
             announcing_ = false;
             announced_ =
                 std::holds_alternative<StoreTransactionResult>(result);
           });
}

void Node::AdvanceMembers() {
  membership_.SetBundleVersion(bundle_ ? bundle_->version : 0);
  Apply(membership_.Advance(now_));
  if (now_ >= member_reads_.next_check) {
    std::uniform_int_distribution<int64_t> spread(500, 1500);
    member_reads_.next_check =
        now_ + std::chrono::milliseconds(spread(random_));
    bool watcher = !draining_ && membership_.HasZoneDuty(kWatchDuty, kWatchers);
    bool watching = static_cast<bool>(member_reads_.watch);
    if (!member_reads_.reading &&
        (!member_reads_.done || (watcher && !watching))) {
      ReadMembers();
    }
    if (!watcher && watching) {
      store_calls_.erase(member_reads_.watch);
      AskStore(StoreCancelWatch{member_reads_.watch},
               [](const StoreResult&) {});
      member_reads_.watch = {};
    }
  }
  if (now_ >= member_reads_.next_registrar) {
    member_reads_.next_registrar = now_ + kRegistrarInterval;
    if (!draining_ && membership_.IsRegistrar())
      RemoveOldRecords();
  }
}

void Node::ReadMembers() {
  member_reads_.reading = true;
  std::string prefix(kMembersPrefix);
  AskStore(StoreRange{prefix, PrefixEnd(prefix)},
           [this](const StoreResult& result) { OnMembersRead(result); });
}

void Node::OnMembersRead(const StoreResult& result) {
  member_reads_.reading = false;
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range)
    return;
  member_reads_.done = true;
  // Records that were deleted while nobody watched here.
  auto before = std::exchange(member_reads_.stored, {});
  for (const auto& entry : range->entries) {
    TakeMember(entry, false);
    member_reads_.stored.insert(entry.key.substr(entry.key.rfind('/') + 1));
  }
  for (const auto& node : before) {
    if (!member_reads_.stored.contains(node))
      Apply(membership_.LearnDeleted(node, now_));
  }
  if (draining_ || !membership_.HasZoneDuty(kWatchDuty, kWatchers))
    return;
  std::string prefix(kMembersPrefix);
  member_reads_.watch = AskStore(
      StoreWatch{prefix, PrefixEnd(prefix), range->revision + 1},
      [this](const StoreResult& changes) { OnMembersChanged(changes); });
}

void Node::OnMembersChanged(const StoreResult& result) {
  const auto* watch = std::get_if<StoreWatchResult>(&result);
  if (!watch) {
    // The list is read again, and watched from there.
    member_reads_.watch = {};
    return;
  }
  for (const auto& change : watch->changes)
    TakeMember(change.entry, change.deleted);
}

void Node::TakeMember(const StoreEntry& entry, bool deleted) {
  NodeId node = entry.key.substr(entry.key.rfind('/') + 1);
  if (deleted) {
    Apply(membership_.LearnDeleted(node, now_));
    return;
  }
  wire::Member member;
  if (member.ParseFromString(entry.value) && member.node() == node)
    Apply(membership_.LearnFromStore(member, now_));
}

void Node::Apply(MembershipChanges changes) {
  for (auto& message : changes.messages)
    effects_.push_back(std::move(message));
  for (const auto& member : changes.members)
    ApplyMember(member);
}

void Node::ApplyMember(const wire::Member& member) {
  bool gone = member.status() == wire::MEMBER_LEAVING ||
              member.status() == wire::MEMBER_DEAD;
  if (member.node() == identity_.node) {
    // Others took this node for gone, so its record may have been deleted.
    announced_ = announced_ && !gone;
    return;
  }
  if (gone) {
    members_.erase(member.node());
    router_.RemoveTarget(member.node());
  } else {
    members_[member.node()] = member;
    if (!member.service().empty()) {
      router_.SetTarget({member.node(), member.service(), member.zone(),
                         member.peer_address()},
                        now_);
    }
  }
  if (member.status() != wire::MEMBER_ALIVE)
    OnOwnerGone(member.node());
  // A leaving node admits nothing any more; a dead one may only be cut off.
  if (member.status() == wire::MEMBER_LEAVING)
    EndShares(member.node(), member.incarnation());
  effects_.push_back(
      Log{LogCode::kMemberChanged,
          {{"node", member.node()},
           {"status", std::string(StatusName(member.status()))}}});
}

void Node::RemoveOldRecords() {
  for (const auto& [node, member] : membership_.members()) {
    const wire::Member& record = member.record;
    if (record.zone() != identity_.zone)
      continue;
    auto age = now_ - member.since;
    bool left = record.status() == wire::MEMBER_LEAVING && age > kLeaveTime;
    bool dead = record.status() == wire::MEMBER_DEAD && age > kDeadTime;
    if (!left && !dead)
      continue;
    uint64_t& removed = member_reads_.removed[node];
    if (removed < record.incarnation())
      RemoveRecord(record);
  }
  std::erase_if(member_reads_.removed, [this](const auto& entry) {
    return !membership_.members().contains(entry.first);
  });
}

void Node::RemoveRecord(const wire::Member& member) {
  AskStore(StoreRange{RecordKey(member)}, [this,
                                           member](const StoreResult& result) {
    const auto* range = std::get_if<StoreRangeResult>(&result);
    if (!range)
      return;
    wire::Member stored;
    if (range->entries.empty() ||
        !stored.ParseFromString(range->entries[0].value) ||
        stored.incarnation() > member.incarnation()) {
      member_reads_.removed[member.node()] = member.incarnation();
      return;
    }
    // The compare keeps the record of a node that starts again meanwhile.
    std::string key = RecordKey(member);
    AskStore(
        StoreTransaction{{{key, range->entries[0].mod_revision}}, {}, {{key}}},
        [](const StoreResult&) {});
  });
}

void Node::On(const PeerMessageReceived& event) {
  Apply(membership_.Receive(event, now_));
  if (const wire::Rumours* rumours = Membership::RumoursIn(event.message)) {
    for (const auto& owner : rumours->owners())
      LearnOwner(owner);
    if (quarantine_.Merge(rumours->quarantine(), now_))
      PushQuarantine(event.from);
    OnBundleVersion(*rumours, event);
  }
  using Body = wire::PeerMessage;
  using Handler = void (Node::*)(const PeerMessageReceived&);
  static constexpr std::pair<Body::BodyCase, Handler> kHandlers[] = {
      {Body::kBundleHead, &Node::OnBundleHead},
      {Body::kBundlePartRequest, &Node::OnBundlePartRequest},
      {Body::kBundlePart, &Node::OnBundlePart},
  };
  for (const auto& [body, handler] : kHandlers) {
    if (body == event.message.body_case())
      (this->*handler)(event);
  }
  HandlePeerMessage(event.from, event.message);
}

void Node::PushQuarantine(const NodeId& except) {
  wire::Rumours rumours;
  for (auto& entry : quarantine_.Export(now_))
    *rumours.add_quarantine() = std::move(entry);
  PushRumours(std::move(rumours), except);
}

void Node::PushRumours(wire::Rumours rumours, const NodeId& except) {
  membership_.Fill(rumours, 0, now_);
  std::vector<const wire::Member*> peers;
  for (const auto& [node, member] : members_) {
    if (node != except)
      peers.push_back(&member);
  }
  std::vector<const wire::Member*> picked;
  std::ranges::sample(peers, std::back_inserter(picked), Membership::kFanOut,
                      random_);
  for (const wire::Member* peer : picked) {
    SendToPeer send{peer->node(), peer->control_address(), {}};
    *send.message.mutable_rumours() = rumours;
    effects_.push_back(std::move(send));
  }
}

void Node::On(const DrainRequested& /*event*/) {
  if (draining_)
    return;
  draining_ = true;
  drain_started_ = now_;
  SendShareRequests(rate_.ReturnAll(now_));
  effects_.push_back(Log{LogCode::kNodeDraining, {}});
  Apply(membership_.Leave(now_));
  router_.RemoveTarget(identity_.node);
  AskStore(StoreTransaction{{}, {}, {{RecordKey(membership_.self())}}},
           [](const StoreResult&) {});
  ReleasePartitions();
  FinishDrain();
}

void Node::FinishDrain() {
  if (!draining_ || exited_)
    return;
  if (exit_at_ == TimePoint() || !calls_.empty() || !works_.empty() ||
      ownership_.releasing) {
    exit_at_ = now_ + kExitGrace;
    return;
  }
  // Answers of once-only calls are lost with this node.
  bool results_out = claims_.busy() && now_ < drain_started_ + kDrainForClaims;
  if (now_ < exit_at_ || results_out)
    return;
  exited_ = true;
  effects_.push_back(Log{LogCode::kNodeStopped, {}});
  effects_.push_back(Exit{});
}

}  // namespace comfreylock
