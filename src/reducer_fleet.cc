#include <algorithm>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"

/// Store, members and shutdown.
namespace comfreylock {
namespace {

constexpr std::string_view kMembersPrefix = "/comfreylock/members/";
/// Pause between attempts to reach the store.
constexpr std::chrono::milliseconds kStoreRetry = 500ms;
/// Members that a rumour is sent on to when it is new.
constexpr size_t kRumourFanOut = 3;

}  // namespace

void Node::AskStore(StoreRequest request,
                    StoreHandler handler,
                    std::chrono::milliseconds timeout) {
  StoreCallId id{++last_store_call_};
  store_calls_[id] = std::move(handler);
  effects_.push_back(CallStore{id, std::move(request), timeout});
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
  auto handler = found->second;
  bool is_watch = std::holds_alternative<StoreWatchResult>(event.result);
  if (!is_watch)
    store_calls_.erase(found);
  handler(event.result);
}

void Node::StartStoreReads() {
  next_store_try_ = now_ + kStoreRetry;
  if (!announced_) {
    wire::Member record;
    record.set_node(identity_.node);
    record.set_service(identity_.service);
    record.set_zone(identity_.zone);
    record.set_peer_address(identity_.peer_address);
    record.set_control_address(identity_.control_address);
    record.set_incarnation(identity_.incarnation);
    std::string key =
        std::string(kMembersPrefix) + identity_.zone + "/" + identity_.node;
    AskStore(StoreTransaction{{}, {{key, record.SerializeAsString()}}, {}},
             &Node::OnAnnounced);
  }
  if (!watching_) {
    ReadBundle();
    std::string prefix(kMembersPrefix);
    AskStore(StoreRange{prefix, PrefixEnd(prefix)}, &Node::OnMembersRead);
    watching_ = true;
  }
}

void Node::OnAnnounced(StoreResult result) {
  announced_ = std::holds_alternative<StoreTransactionResult>(result);
}

void Node::OnMembersRead(StoreResult result) {
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range) {
    watching_ = false;
    return;
  }
  for (const auto& entry : range->entries)
    TakeMember(entry, false);
  std::string prefix(kMembersPrefix);
  AskStore(StoreWatch{prefix, PrefixEnd(prefix), range->revision + 1},
           &Node::OnMembersChanged);
}

void Node::OnMembersChanged(StoreResult result) {
  const auto* watch = std::get_if<StoreWatchResult>(&result);
  if (!watch) {
    watching_ = false;
    return;
  }
  for (const auto& change : watch->changes)
    TakeMember(change.entry, change.deleted);
}

void Node::TakeMember(const StoreEntry& entry, bool deleted) {
  NodeId node = entry.key.substr(entry.key.rfind('/') + 1);
  if (deleted) {
    members_.erase(node);
    router_.RemoveTarget(node);
    OnOwnerGone(node);
  } else {
    wire::Member member;
    if (!member.ParseFromString(entry.value))
      return;
    members_[node] = member;
    if (!member.service().empty()) {
      router_.SetTarget(
          {node, member.service(), member.zone(), member.peer_address()}, now_);
    }
  }
  for (auto& [partition, owned] : owned_) {
    if (owned->members_read)
      owned->rate.ChangeMember(node, !deleted);
  }
  effects_.push_back(Log{LogCode::kMemberChanged,
                         {{"node", node}, {"left", deleted ? "yes" : "no"}}});
}

void Node::On(const PeerMessageReceived& event) {
  if (event.message.has_rumours()) {
    for (const auto& owner : event.message.rumours().owners())
      LearnOwner(owner);
  }
  HandlePeerMessage(event.from, event.message);
}

void Node::PushRumours(const wire::Rumours& rumours, const NodeId& except) {
  std::vector<const wire::Member*> peers;
  for (const auto& [node, member] : members_) {
    if (node != identity_.node && node != except)
      peers.push_back(&member);
  }
  std::ranges::shuffle(peers, random_);
  peers.resize(std::min(peers.size(), kRumourFanOut));
  for (const wire::Member* peer : peers) {
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
  std::string key =
      std::string(kMembersPrefix) + identity_.zone + "/" + identity_.node;
  AskStore(StoreTransaction{{}, {}, {{key}}}, &Node::OnAnnounced);
  announced_ = true;
  ReleasePartitions();
  FinishDrain();
}

void Node::FinishDrain() {
  if (!draining_ || exited_ || !calls_.empty() || !works_.empty() ||
      ownership_.releasing) {
    return;
  }
  // Answers of once-only calls are lost with this node.
  if (claims_.busy() && now_ < drain_started_ + kDrainForClaims)
    return;
  exited_ = true;
  effects_.push_back(Log{LogCode::kNodeStopped, {}});
  effects_.push_back(Exit{});
}

}  // namespace comfreylock
