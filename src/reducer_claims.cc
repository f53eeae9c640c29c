#include "comfreylock/config.h"
#include "comfreylock/reducer.h"

/// Once-only routes: claims of calls at their entry node, and the claim logs of
/// the partitions that this node owns.
namespace comfreylock {

void NodeReducer::ClaimCall(Call& call) {
  if (!call.once_only) {
    DispatchCall(call, 0ms);
    return;
  }
  if (call.request.idempotency_key.size() > kMaxHeaderTokenLength) {
    Refuse(call, Reason::kIdempotencyKeyInvalid, Outcome::kNotRun);
    return;
  }
  std::string key =
      OnceOnlyKey(call.organisation, call.route, call.request.idempotency_key);
  // A streamed body has no digest; its length is used instead.
  std::string digest =
      call.request.method + " " + call.request.request_target + "\n";
  digest += call.request.body_complete
                ? call.request.body_digest
                : std::to_string(call.request.body_size.value_or(0));
  uint32_t partition = PartitionTable::PartitionOf(key, bundle_->partitions);
  claim_tracker_.Start(call.id, partition, key, digest, now_, call.deadline);
  SendClaimMessages();
}

void NodeReducer::CloseClaim(const Call& call) {
  if (!call.once_only)
    return;
  if (call.may_have_run)
    claim_tracker_.Report(call.id, std::nullopt, now_);
  else
    claim_tracker_.Release(call.id, now_);
}

void NodeReducer::RecordAnswer(const Call& call, const AttemptEnded& event) {
  if (!call.once_only)
    return;
  wire::StoredAnswer answer;
  if (event.answer) {
    answer = *event.answer;
  } else {
    answer.set_status(static_cast<uint32_t>(event.status));
    answer.set_body_omitted(true);
  }
  claim_tracker_.Report(call.id, answer, now_);
}

void NodeReducer::Apply(const ClaimTracker::Decisions& decisions) {
  for (const auto& decision : decisions) {
    auto found = calls_.find(decision.call);
    if (found == calls_.end()) {
      // The caller disconnected before the grant; nothing was dispatched.
      claim_tracker_.Release(decision.call, now_);
      continue;
    }
    Call& call = found->second;
    if (decision.dispatch)
      DispatchCall(call, 0ms);
    else if (decision.answer)
      effects_.push_back(ReplayAnswer{call.id, *decision.answer});
    else
      Refuse(call, decision.reason, decision.outcome);
  }
}

void NodeReducer::SendClaimMessages() {
  ClaimTracker::Messages messages;
  auto decisions = claim_tracker_.Advance(now_, messages);
  for (auto& item : messages)
    SendToOwner(item.partition, std::move(item.message));
  Apply(decisions);
}

void NodeReducer::AdvanceClaims() {
  if (!bundle_)
    return;
  SendClaimMessages();
  for (auto& [partition, owned] : owned_partitions_) {
    auto request = owned->claims.Advance(now_, wall_now_);
    if (!request)
      continue;
    SendStoreRequest(
        std::move(*request), [this, partition = partition,
                              epoch = owned->epoch](const StoreResult& result) {
          OwnedPartition* current = FindOwnedPartition(partition);
          if (current && current->epoch == epoch)
            SendClaimReplies(current->claims.OnStoreAnswer(result));
        });
  }
}

void NodeReducer::SendClaimReplies(ClaimPartition::Replies replies) {
  for (auto& reply : replies)
    SendToNode(reply.node, std::move(reply.message));
}

void NodeReducer::OnClaimRequest(const NodeId& from,
                                 const wire::PeerMessage& message) {
  const wire::ClaimRequest& request = message.claim_request();
  if (OwnedPartition* owned = FindOwnedPartition(request.partition())) {
    bool is_confirmed = partitions_.IsConfirmed(request.partition(), now_);
    SendClaimReplies(
        owned->claims.OnRequest(from, request, is_confirmed, wall_now_));
    return;
  }
  SendNotOwner(from, request.partition(), request.claim(),
               request.incarnation());
}

void NodeReducer::OnClaimResult(const NodeId& from,
                                const wire::PeerMessage& message) {
  const wire::ClaimResult& result = message.claim_result();
  if (OwnedPartition* owned = FindOwnedPartition(result.partition())) {
    SendClaimReplies(owned->claims.OnResult(from, result));
    return;
  }
  SendNotOwner(from, result.partition(), result.claim(), result.incarnation());
}

void NodeReducer::OnClaimReleased(const NodeId& from,
                                  const wire::PeerMessage& message) {
  const wire::ClaimReleased& released = message.claim_released();
  if (OwnedPartition* owned = FindOwnedPartition(released.partition())) {
    SendClaimReplies(owned->claims.OnReleased(from, released));
    return;
  }
  SendNotOwner(from, released.partition(), released.claim(),
               released.incarnation());
}

void NodeReducer::OnClaimGranted(const NodeId& /*from*/,
                                 const wire::PeerMessage& message) {
  Apply(claim_tracker_.OnGranted(message.claim_granted(), now_));
}

void NodeReducer::OnClaimRefused(const NodeId& /*from*/,
                                 const wire::PeerMessage& message) {
  Apply(claim_tracker_.OnRefused(message.claim_refused(), now_));
}

void NodeReducer::OnClaimAcknowledged(const NodeId& /*from*/,
                                      const wire::PeerMessage& message) {
  claim_tracker_.OnAcknowledged(message.claim_acknowledged(), now_);
}

}  // namespace comfreylock
