#include <algorithm>
#include <iterator>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "store_keys.h"

/// Store requests, membership and shutdown.
namespace comfreylock {
namespace {

/// Interval of attempts to register in the store and to read or watch the
/// bundle head.
constexpr std::chrono::milliseconds kStoreRetryInterval = 500ms;
/// Retries of a failed read before its handler gets the failure.
constexpr uint32_t kMaxReadRetries = 2;
/// Maximum delay before the first retry of a read; it doubles with each retry.
constexpr std::chrono::milliseconds kInitialReadRetryDelay = 100ms;
/// Nodes of each zone that watch the member list and the bundle head in the
/// store.
constexpr size_t kWatchersPerZone = 3;
constexpr std::string_view kWatcherElection = "watch members";
/// Interval at which the node with the lowest id in its zone removes the old
/// member records of the zone.
constexpr std::chrono::milliseconds kMemberCleanupInterval = 10s;
/// How long the record of a leaving node is kept, so that the node can delete
/// it itself.
constexpr std::chrono::milliseconds kLeavingRecordRetention = 10s;
/// How long the record of a dead node is kept: the longest validity of a rate
/// share, since the record shows that the node may still hold one.
constexpr std::chrono::milliseconds kDeadRecordRetention = 15min;
/// Time between the end of the last request and the exit, in which the sockets
/// send what is queued: answers, and the gossip that this node is leaving.
constexpr std::chrono::milliseconds kExitDelay = 250ms;

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

StoreRequestId NodeReducer::SendStoreRequest(
    StoreRequest request,
    StoreHandler handler,
    std::chrono::milliseconds timeout) {
  StoreRequestId id{++last_store_request_};
  PendingStoreRequest& pending = pending_store_requests_[id];
  pending.handler = std::move(handler);
  pending.timeout = timeout;
  if (const auto* range = std::get_if<StoreRange>(&request))
    pending.read = *range;
  effects_.push_back(CallStore{id, std::move(request), timeout});
  return id;
}

void NodeReducer::SendStoreRequest(StoreRequest request,
                                   void (NodeReducer::*handler)(StoreResult)) {
  SendStoreRequest(
      std::move(request),
      [this, handler](const StoreResult& result) { (this->*handler)(result); });
}

void NodeReducer::Handle(const StoreAnswered& event) {
  auto found = pending_store_requests_.find(event.call);
  if (found == pending_store_requests_.end())
    return;
  store_reached_ = !std::holds_alternative<StoreFailure>(event.result);
  PendingStoreRequest pending = found->second;
  bool is_watch = std::holds_alternative<StoreWatchResult>(event.result);
  if (!is_watch)
    pending_store_requests_.erase(found);
  if (!std::holds_alternative<StoreFailure>(event.result)) {
    membership_.OnStoreReached(now_);
  } else if (pending.read && pending.retry_count < kMaxReadRetries) {
    // Full jitter, so that nodes do not retry their reads at the same time.
    std::uniform_int_distribution<int64_t> jitter(
        0, (kInitialReadRetryDelay * (1 << pending.retry_count)).count());
    pending.next_try_at = now_ + std::chrono::milliseconds(jitter(random_));
    ++pending.retry_count;
    failed_reads_.push_back(std::move(pending));
    return;
  }
  pending.handler(event.result);
}

void NodeReducer::RetryFailedReads() {
  auto due = std::stable_partition(
      failed_reads_.begin(), failed_reads_.end(),
      [this](const auto& pending) { return pending.next_try_at > now_; });
  for (auto it = due; it != failed_reads_.end(); ++it) {
    StoreRequestId id{++last_store_request_};
    effects_.push_back(CallStore{id, *it->read, it->timeout});
    pending_store_requests_[id] = std::move(*it);
  }
  failed_reads_.erase(due, failed_reads_.end());
}

void NodeReducer::StartStoreReads() {
  next_store_try_at_ = now_ + kStoreRetryInterval;
  if (!registered_ && !registering_ && !draining_)
    RegisterMember();
  bool watcher = IsStoreWatcher();
  if (!watching_head_ && (watcher || !head_read_)) {
    ReadBundle();
    watching_head_ = true;
  }
  if (!watcher && bundle_watch_) {
    pending_store_requests_.erase(bundle_watch_);
    SendStoreRequest(StoreCancelWatch{bundle_watch_},
                     [](const StoreResult&) {});
    bundle_watch_ = {};
    watching_head_ = false;
  }
}

bool NodeReducer::IsElectedWatcher() const {
  return membership_.IsElectedInZone(kWatcherElection, kWatchersPerZone);
}

void NodeReducer::RegisterMember() {
  registering_ = true;
  const wire::Member& record = membership_.self();
  std::string value = record.SerializeAsString();
  SendStoreRequest(StoreTransaction{{}, {{RecordKey(record), value}}, {}},
                   [this](const StoreResult& result) {
                     registering_ = false;
                     registered_ =
                         std::holds_alternative<StoreTransactionResult>(result);
                   });
}

void NodeReducer::AdvanceMembers() {
  membership_.SetBundleVersion(bundle_ ? bundle_->version : 0);
  Apply(membership_.Advance(now_));
  if (now_ >= member_reads_.next_check_at) {
    std::uniform_int_distribution<int64_t> jitter(500, 1500);
    member_reads_.next_check_at =
        now_ + std::chrono::milliseconds(jitter(random_));
    bool watcher = !draining_ && membership_.IsElectedInZone(kWatcherElection,
                                                             kWatchersPerZone);
    bool watching = static_cast<bool>(member_reads_.watch);
    if (!member_reads_.reading &&
        (!member_reads_.has_read || (watcher && !watching))) {
      ReadMembers();
    }
    if (!watcher && watching) {
      pending_store_requests_.erase(member_reads_.watch);
      SendStoreRequest(StoreCancelWatch{member_reads_.watch},
                       [](const StoreResult&) {});
      member_reads_.watch = {};
    }
  }
  if (now_ >= member_reads_.next_cleanup_at) {
    member_reads_.next_cleanup_at = now_ + kMemberCleanupInterval;
    if (!draining_ && membership_.HasLowestIdInZone())
      RemoveOldRecords();
  }
}

void NodeReducer::ReadMembers() {
  member_reads_.reading = true;
  std::string prefix(kMembersPrefix);
  SendStoreRequest(
      StoreRange{prefix, PrefixEnd(prefix)},
      [this](const StoreResult& result) { OnMembersRead(result); });
}

void NodeReducer::OnMembersRead(const StoreResult& result) {
  member_reads_.reading = false;
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range)
    return;
  member_reads_.has_read = true;
  // Handles records that were deleted while this node was not watching.
  auto previously_stored = std::exchange(member_reads_.stored, {});
  for (const auto& entry : range->entries) {
    UpdateMemberFromStore(entry, false);
    member_reads_.stored.insert(entry.key.substr(entry.key.rfind('/') + 1));
  }
  for (const auto& node : previously_stored) {
    if (!member_reads_.stored.contains(node))
      Apply(membership_.OnRecordDeleted(node, now_));
  }
  if (draining_ ||
      !membership_.IsElectedInZone(kWatcherElection, kWatchersPerZone))
    return;
  std::string prefix(kMembersPrefix);
  member_reads_.watch = SendStoreRequest(
      StoreWatch{prefix, PrefixEnd(prefix), range->revision + 1},
      [this](const StoreResult& changes) { OnMembersChanged(changes); });
}

void NodeReducer::OnMembersChanged(const StoreResult& result) {
  const auto* watch = std::get_if<StoreWatchResult>(&result);
  if (!watch) {
    // AdvanceMembers reads the list again, and watches it from that revision.
    member_reads_.watch = {};
    return;
  }
  for (const auto& change : watch->changes)
    UpdateMemberFromStore(change.entry, change.deleted);
}

void NodeReducer::UpdateMemberFromStore(const StoreEntry& entry, bool deleted) {
  NodeId node = entry.key.substr(entry.key.rfind('/') + 1);
  if (deleted) {
    Apply(membership_.OnRecordDeleted(node, now_));
    return;
  }
  wire::Member member;
  if (member.ParseFromString(entry.value) && member.node() == node)
    Apply(membership_.UpdateFromStore(member, now_));
}

void NodeReducer::Apply(MembershipChanges changes) {
  for (auto& message : changes.messages)
    effects_.push_back(std::move(message));
  for (const auto& member : changes.members)
    ApplyMember(member);
}

void NodeReducer::ApplyMember(const wire::Member& member) {
  bool left_or_dead = member.status() == wire::MEMBER_LEAVING ||
                      member.status() == wire::MEMBER_DEAD;
  if (member.node() == identity_.node) {
    // Other nodes regarded this node as leaving or dead and may have deleted
    // its record.
    registered_ = registered_ && !left_or_dead;
    return;
  }
  if (left_or_dead) {
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
    OnOwnerUnavailable(member.node());
  // A leaving node admits no more calls; a dead one may be alive but cut off.
  if (member.status() == wire::MEMBER_LEAVING)
    ReclaimShares(member.node(), member.incarnation());
  effects_.push_back(
      Log{LogCode::kMemberChanged,
          {{"node", member.node()},
           {"status", std::string(StatusName(member.status()))}}});
}

void NodeReducer::RemoveOldRecords() {
  for (const auto& [node, member] : membership_.members()) {
    const wire::Member& record = member.record;
    if (record.zone() != identity_.zone)
      continue;
    auto age = now_ - member.status_since;
    bool leaving_expired = record.status() == wire::MEMBER_LEAVING &&
                           age > kLeavingRecordRetention;
    bool dead_expired =
        record.status() == wire::MEMBER_DEAD && age > kDeadRecordRetention;
    if (!leaving_expired && !dead_expired)
      continue;
    uint64_t& removed = member_reads_.removed[node];
    if (removed < record.incarnation())
      RemoveRecord(record);
  }
  std::erase_if(member_reads_.removed, [this](const auto& entry) {
    return !membership_.members().contains(entry.first);
  });
}

void NodeReducer::RemoveRecord(const wire::Member& member) {
  SendStoreRequest(
      StoreRange{RecordKey(member)}, [this, member](const StoreResult& result) {
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
        // The compare protects the record of a node that has restarted
        // meanwhile.
        std::string key = RecordKey(member);
        SendStoreRequest(
            StoreTransaction{
                {{key, range->entries[0].mod_revision}}, {}, {{key}}},
            [](const StoreResult&) {});
      });
}

void NodeReducer::Handle(const PeerMessageReceived& event) {
  Apply(membership_.Receive(event, now_));
  if (const wire::Rumours* gossip = Membership::FindGossip(event.message)) {
    for (const auto& owner : gossip->owners())
      UpdateOwner(owner);
    if (quarantine_.Merge(gossip->quarantine(), now_))
      PushQuarantine(event.from);
    OnBundleVersionAdvertised(*gossip, event);
  }
  using Body = wire::PeerMessage;
  using Handler = void (NodeReducer::*)(const PeerMessageReceived&);
  static constexpr std::pair<Body::BodyCase, Handler> kHandlers[] = {
      {Body::kBundleHead, &NodeReducer::OnBundleHead},
      {Body::kBundlePartRequest, &NodeReducer::OnBundlePartRequest},
      {Body::kBundlePart, &NodeReducer::OnBundlePart},
  };
  for (const auto& [body, handler] : kHandlers) {
    if (body == event.message.body_case())
      (this->*handler)(event);
  }
  HandlePeerMessage(event.from, event.message);
}

void NodeReducer::PushQuarantine(const NodeId& except) {
  wire::Rumours gossip;
  for (auto& entry : quarantine_.Export(now_))
    *gossip.add_quarantine() = std::move(entry);
  PushGossip(std::move(gossip), except);
}

void NodeReducer::PushGossip(wire::Rumours gossip, const NodeId& except) {
  membership_.FillGossip(gossip, 0, now_);
  std::vector<const wire::Member*> peers;
  for (const auto& [node, member] : members_) {
    if (node != except)
      peers.push_back(&member);
  }
  std::vector<const wire::Member*> picked;
  std::ranges::sample(peers, std::back_inserter(picked),
                      Membership::kGossipFanout, random_);
  for (const wire::Member* peer : picked) {
    SendToPeer send{peer->node(), peer->control_address(), {}};
    *send.message.mutable_rumours() = gossip;
    effects_.push_back(std::move(send));
  }
}

void NodeReducer::Handle(const DrainRequested& /*event*/) {
  if (draining_)
    return;
  draining_ = true;
  drain_started_at_ = now_;
  SendShareRequests(rate_limiter_.ReturnAll(now_));
  effects_.push_back(Log{LogCode::kNodeDraining, {}});
  Apply(membership_.Leave(now_));
  router_.RemoveTarget(identity_.node);
  SendStoreRequest(StoreTransaction{{}, {}, {{RecordKey(membership_.self())}}},
                   [](const StoreResult&) {});
  ReleasePartitions();
  FinishDrain();
}

void NodeReducer::FinishDrain() {
  if (!draining_ || exited_)
    return;
  if (exit_at_ == TimePoint() || !calls_.empty() || !works_.empty() ||
      ownership_.releasing) {
    exit_at_ = now_ + kExitDelay;
    return;
  }
  // Results of once-only calls that are not recorded yet would be lost.
  bool results_pending = claim_tracker_.HasUnacknowledgedResults() &&
                         now_ < drain_started_at_ + kClaimDrainTimeout;
  if (now_ < exit_at_ || results_pending)
    return;
  exited_ = true;
  effects_.push_back(Log{LogCode::kNodeStopped, {}});
  effects_.push_back(Exit{});
}

}  // namespace comfreylock
