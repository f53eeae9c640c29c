#include <algorithm>
#include <charconv>
#include <optional>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "crypto.h"

/// Ownership of partitions. Each node attaches its owner keys `owners/<p>` to
/// one store lease; `owner-history/<p>` shows whether a partition ever had an
/// owner.
namespace comfreylock {
namespace {

/// Common prefix of both kinds of keys, so that one read returns them all.
constexpr std::string_view kOwnershipPrefix = "/comfreylock/owner";
constexpr std::string_view kOwnersPrefix = "/comfreylock/owners/";
constexpr std::string_view kHistoryPrefix = "/comfreylock/owner-history/";

/// Longer than `PartitionTable::kConfirmationTtl`, so that an owner's
/// confirmation has expired, by its own clock, before the store deletes its
/// key.
constexpr std::chrono::seconds kLeaseTtl = 3s;
constexpr std::chrono::milliseconds kRenewInterval = 1s;
/// Timeout of a renewal, and the delay after a failed one. Two requests, the
/// second sent 1.5 s after the last confirmation, fit before the
/// confirmation expires after 2 s.
constexpr std::chrono::milliseconds kRenewTimeout = 400ms;
constexpr std::chrono::milliseconds kRenewRetryDelay = 100ms;
/// How often the preferred owner checks whether the key of an owner that is not
/// alive has been deleted.
constexpr std::chrono::milliseconds kTakeoverCheckInterval = 500ms;
/// How often the preferred owner checks the key of an owner that is alive,
/// since its lease may have expired.
constexpr std::chrono::milliseconds kLiveOwnerCheckInterval = 5s;
/// Longest delay between two reads of the owner keys. The delay doubles up to
/// this on nodes that are not the preferred owner; they read only while they
/// know no owner.
constexpr std::chrono::milliseconds kMaxReadDelay = 30s;
/// Delay of the first read after the start, so that members are known by then
/// and one node does not acquire all partitions of a fleet that starts.
constexpr std::chrono::milliseconds kFirstReadDelay = 500ms;

std::string HistoryKey(uint32_t partition) {
  return std::string(kHistoryPrefix) + std::to_string(partition);
}

std::optional<uint32_t> PartitionIn(std::string_view key,
                                    std::string_view prefix,
                                    uint32_t count) {
  if (!key.starts_with(prefix))
    return std::nullopt;
  uint32_t number = 0;
  key.remove_prefix(prefix.size());
  auto [end, error] =
      std::from_chars(key.data(), key.data() + key.size(), number);
  if (error != std::errc() || end != key.data() + key.size() || number >= count)
    return std::nullopt;
  return number;
}

}  // namespace

std::string NodeReducer::OwnerKey(uint32_t partition) {
  return std::string(kOwnersPrefix) + std::to_string(partition);
}

void NodeReducer::AdvancePartitions() {
  if (!bundle_ || ownership_.released)
    return;
  if (ownership_.lease != 0 && !ownership_.renewing &&
      now_ >= ownership_.next_renewal_at) {
    RenewLease();
  }
  if (ownership_.next_read_at == TimePoint())
    ownership_.next_read_at = now_ + kFirstReadDelay;
  if (ownership_.reading || now_ < ownership_.next_read_at)
    return;
  std::chrono::milliseconds delay = kMaxReadDelay;
  bool read_needed = false;
  for (uint32_t p = 0; p < bundle_->partitions; ++p) {
    const PartitionOwner* owner = partitions_.OwnerOf(p);
    if (partitions_.FindOwned(p))
      continue;
    if (IsPreferredOwnerOf(p)) {
      read_needed = true;
      bool alive = owner && owner->node != identity_.node &&
                   CanOwnPartitions(owner->node);
      delay = std::min(
          delay, alive ? kLiveOwnerCheckInterval : kTakeoverCheckInterval);
    } else if (!owner) {
      read_needed = true;
      delay = std::min(delay, std::max(ownership_.read_delay, kRenewInterval));
    }
  }
  if (!read_needed) {
    ownership_.next_read_at = now_ + kTakeoverCheckInterval;
    return;
  }
  ownership_.read_delay = std::min(delay * 2, kMaxReadDelay);
  // Jitter, so that nodes that start together do not read together.
  std::uniform_int_distribution<int64_t> jitter(delay.count() * 3 / 4,
                                                delay.count() * 5 / 4);
  ownership_.next_read_at = now_ + std::chrono::milliseconds(jitter(random_));
  ReadOwners();
}

void NodeReducer::RequestLease() {
  if (ownership_.requesting_lease || ownership_.lease != 0)
    return;
  ownership_.requesting_lease = true;
  TimePoint sent_at = now_;
  // A lease whose answer was lost has no keys and expires on its own.
  SendStoreRequest(
      StoreLeaseGrant{kLeaseTtl}, [this, sent_at](const StoreResult& result) {
        ownership_.requesting_lease = false;
        const auto* granted = std::get_if<StoreLeaseResult>(&result);
        if (!granted || granted->ttl < kLeaseTtl || ownership_.released)
          return;
        ownership_.lease = granted->lease;
        ownership_.confirmed_at = sent_at;
        ownership_.next_renewal_at = sent_at + kRenewInterval;
        ReadOwners();
      });
}

void NodeReducer::RenewLease() {
  ownership_.renewing = true;
  ownership_.next_renewal_at = now_ + kRenewInterval;
  TimePoint sent_at = now_;
  int64_t lease = ownership_.lease;
  SendStoreRequest(
      StoreLeaseKeepAlive{lease},
      [this, sent_at, lease](const StoreResult& result) {
        ownership_.renewing = false;
        if (ownership_.lease != lease)
          return;
        const auto* renewed = std::get_if<StoreLeaseResult>(&result);
        if (!renewed) {
          // The state of the lease is unknown. Renewals go on; without a
          // success, the confirmation of the ownership expires.
          ownership_.next_renewal_at = now_ + kRenewRetryDelay;
          return;
        }
        if (renewed->ttl.count() <= 0) {
          OnLeaseLost();
          return;
        }
        // Only the owner deletes its keys, so they exist as long as the lease.
        ownership_.confirmed_at = std::max(ownership_.confirmed_at, sent_at);
        for (const auto& [partition, ownership] : std::map(partitions_.owned()))
          partitions_.Confirm(partition, sent_at);
      },
      kRenewTimeout);
}

void NodeReducer::OnLeaseLost() {
  ownership_.lease = 0;
  ownership_.acquiring.clear();
  ownership_.next_read_at = now_;
  for (const auto& [partition, ownership] : std::map(partitions_.owned())) {
    partitions_.RemoveOwned(partition);
    effects_.push_back(Log{LogCode::kPartitionLost,
                           {{"partition", std::to_string(partition)},
                            {"epoch", std::to_string(ownership.epoch)}}});
  }
}

void NodeReducer::ReadOwners() {
  if (ownership_.reading)
    return;
  ownership_.reading = true;
  std::string prefix(kOwnershipPrefix);
  SendStoreRequest(
      StoreRange{prefix, PrefixEnd(prefix)}, [this](const StoreResult& result) {
        ownership_.reading = false;
        if (const auto* range = std::get_if<StoreRangeResult>(&result))
          OnOwnersRead(*range);
      });
}

void NodeReducer::OnOwnersRead(const StoreRangeResult& range) {
  if (!bundle_ || ownership_.released)
    return;
  std::map<uint32_t, const StoreEntry*> owners;
  std::map<uint32_t, const StoreEntry*> history;
  for (const auto& entry : range.entries) {
    if (auto p = PartitionIn(entry.key, kOwnersPrefix, bundle_->partitions))
      owners[*p] = &entry;
    if (auto p = PartitionIn(entry.key, kHistoryPrefix, bundle_->partitions))
      history[*p] = &entry;
  }
  for (uint32_t p = 0; p < bundle_->partitions; ++p) {
    auto past = history.find(p);
    auto found = owners.find(p);
    if (found == owners.end()) {
      if (IsPreferredOwnerOf(p) && !partitions_.FindOwned(p))
        AcquirePartition(
            p, past == history.end() ? 0 : past->second->mod_revision);
      continue;
    }
    const StoreEntry& entry = *found->second;
    wire::PartitionOwner record;
    if (!record.ParseFromString(entry.value))
      continue;
    if (ownership_.lease != 0 && entry.lease == ownership_.lease) {
      // This also finds a write whose answer was lost. The first owner ever
      // created the history key in the same write.
      bool is_first_owner = past != history.end() &&
                            past->second->create_revision == entry.mod_revision;
      RecordOwnPartition(p, entry.mod_revision, is_first_owner);
      continue;
    }
    UpdateOwner(p, {record.node(), static_cast<uint64_t>(entry.mod_revision)});
  }
}

void NodeReducer::AcquirePartition(uint32_t partition,
                                   int64_t history_revision) {
  if (ownership_.lease == 0) {
    RequestLease();
    return;
  }
  if (!ownership_.acquiring.insert(partition).second)
    return;
  wire::PartitionOwner record;
  record.set_partition(partition);
  record.set_node(identity_.node);
  std::string value = record.SerializeAsString();
  StoreTransaction acquire;
  acquire.compares = {{OwnerKey(partition), 0},
                      {HistoryKey(partition), history_revision}};
  acquire.puts = {{OwnerKey(partition), value, ownership_.lease},
                  {HistoryKey(partition), value}};
  int64_t lease = ownership_.lease;
  SendStoreRequest(std::move(acquire), [this, partition, history_revision,
                                        lease](const StoreResult& result) {
    ownership_.acquiring.erase(partition);
    if (ownership_.lease != lease || ownership_.released)
      return;
    const auto* acquired = std::get_if<StoreTransactionResult>(&result);
    if (acquired && acquired->succeeded) {
      RecordOwnPartition(partition, acquired->revision, history_revision == 0);
      return;
    }
    // Another node was first, or the answer was lost; the read shows which.
    ReadOwners();
  });
}

void NodeReducer::RecordOwnPartition(uint32_t partition,
                                     int64_t revision,
                                     bool is_first_owner) {
  auto epoch = static_cast<uint64_t>(revision);
  const PartitionOwner* known = partitions_.OwnerOf(partition);
  if (partitions_.FindOwned(partition) || (known && known->epoch > epoch))
    return;
  // The key exists as long as the lease, so only a renewal of the lease counts
  // as confirmation, not the write of the key.
  partitions_.AddOwned(
      partition, {epoch, revision, ownership_.confirmed_at, is_first_owner});
  UpdateOwner(partition, {identity_.node, epoch});
  effects_.push_back(Log{LogCode::kPartitionTaken,
                         {{"partition", std::to_string(partition)},
                          {"epoch", std::to_string(epoch)},
                          {"first_ever", is_first_owner ? "yes" : "no"}}});
}

void NodeReducer::ReleasePartitions() {
  if (ownership_.released)
    return;
  ownership_.released = true;
  for (const auto& [partition, ownership] : std::map(partitions_.owned()))
    partitions_.RemoveOwned(partition);
  if (ownership_.lease == 0)
    return;
  // Deletes the owner keys; an acquisition that is still under way fails
  // without its lease. If the answer is lost, the lease expires on its own.
  ownership_.releasing = true;
  SendStoreRequest(StoreLeaseRevoke{ownership_.lease},
                   [this](const StoreResult&) {
                     ownership_.releasing = false;
                     FinishDrain();
                   });
  ownership_.lease = 0;
}

void NodeReducer::OnOwnerUnavailable(const NodeId& node) {
  for (const auto& [partition, owner] : partitions_.owners()) {
    if (owner.node == node)
      ownership_.next_read_at = now_;
  }
}

bool NodeReducer::CanOwnPartitions(const NodeId& node) const {
  auto found = members_.find(node);
  return found != members_.end() &&
         found->second.status() == wire::MEMBER_ALIVE;
}

bool NodeReducer::IsPreferredOwnerOf(uint32_t partition) const {
  std::string salt = OwnerKey(partition);
  uint64_t own = RendezvousScore(identity_.node, salt);
  return std::ranges::none_of(members_, [&](const auto& member) {
    return member.first != identity_.node && CanOwnPartitions(member.first) &&
           RendezvousScore(member.first, salt) > own;
  });
}

void NodeReducer::UpdateOwner(uint32_t partition, const PartitionOwner& owner) {
  bool is_owned = partitions_.FindOwned(partition) != nullptr;
  if (!partitions_.Update(partition, owner))
    return;
  if (is_owned && !partitions_.FindOwned(partition)) {
    effects_.push_back(Log{
        LogCode::kPartitionLost,
        {{"partition", std::to_string(partition)}, {"successor", owner.node}}});
  }
  wire::Rumours gossip;
  wire::PartitionOwner& update = *gossip.add_owners();
  update.set_partition(partition);
  update.set_node(owner.node);
  update.set_epoch(owner.epoch);
  membership_.SetOwner(update);
  PushGossip(gossip, owner.node);
}

void NodeReducer::UpdateOwner(const wire::PartitionOwner& owner) {
  if (bundle_ && owner.partition() >= bundle_->partitions)
    return;
  UpdateOwner(owner.partition(), {owner.node(), owner.epoch()});
}

}  // namespace comfreylock
