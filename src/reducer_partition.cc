#include <algorithm>
#include <charconv>
#include <optional>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "crypto.h"

/// Ownership of partitions: the owner keys `owners/<p>` hang on one store
/// lease for each node, and `owner-history/<p>` shows whether a partition ever
/// had an owner.
namespace comfreylock {
namespace {

/// Common prefix of both kinds of keys, so that one read returns them all.
constexpr std::string_view kOwnerPrefix = "/comfreylock/owner";
constexpr std::string_view kOwnersPrefix = "/comfreylock/owners/";
constexpr std::string_view kHistoryPrefix = "/comfreylock/owner-history/";

/// Longer than `PartitionTable::kCertainTime`: an owner freezes by its own
/// clock before the store lets its key go.
constexpr std::chrono::seconds kLeaseTtl = 3s;
constexpr std::chrono::milliseconds kRenewInterval = 1s;
/// Timeout of a renewal and the pause after it: two requests, the second sent
/// 1.5 s after the last confirmation, fit before the owner freezes at 2 s.
constexpr std::chrono::milliseconds kRenewTimeout = 400ms;
constexpr std::chrono::milliseconds kRenewRetry = 100ms;
/// A preferred owner looks this often whether the key of an owner that is not
/// alive is gone.
constexpr std::chrono::milliseconds kTakeOverInterval = 500ms;
/// And this often while the owner is alive, since its lease may have lapsed.
constexpr std::chrono::milliseconds kWatchInterval = 5s;
/// Others read only while they know no owner; the pause doubles up to this.
constexpr std::chrono::milliseconds kLongestReadPause = 30s;
/// First read after the start, so that members are known by then and one node
/// does not take all partitions of a fleet that starts.
constexpr std::chrono::milliseconds kFirstRead = 500ms;

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

std::string Node::OwnerKey(uint32_t partition) {
  return std::string(kOwnersPrefix) + std::to_string(partition);
}

void Node::AdvancePartitions() {
  if (!bundle_ || ownership_.released)
    return;
  if (ownership_.lease != 0 && !ownership_.renewing &&
      now_ >= ownership_.next_renewal) {
    RenewLease();
  }
  if (ownership_.next_read == TimePoint())
    ownership_.next_read = now_ + kFirstRead;
  if (ownership_.reading || now_ < ownership_.next_read)
    return;
  std::chrono::milliseconds pause = kLongestReadPause;
  bool wanted = false;
  for (uint32_t p = 0; p < bundle_->partitions; ++p) {
    const PartitionOwner* owner = partitions_.OwnerOf(p);
    if (partitions_.Held(p))
      continue;
    if (PreferredOwnerOf(p)) {
      wanted = true;
      bool alive = owner && owner->node != identity_.node &&
                   MayOwnPartitions(owner->node);
      pause = std::min(pause, alive ? kWatchInterval : kTakeOverInterval);
    } else if (!owner) {
      wanted = true;
      pause = std::min(pause, std::max(ownership_.read_pause, kRenewInterval));
    }
  }
  if (!wanted) {
    ownership_.next_read = now_ + kTakeOverInterval;
    return;
  }
  ownership_.read_pause = std::min(pause * 2, kLongestReadPause);
  // Spread, so that nodes that start together do not read together.
  std::uniform_int_distribution<int64_t> spread(pause.count() * 3 / 4,
                                                pause.count() * 5 / 4);
  ownership_.next_read = now_ + std::chrono::milliseconds(spread(random_));
  ReadOwners();
}

void Node::AskLease() {
  if (ownership_.asking_lease || ownership_.lease != 0)
    return;
  ownership_.asking_lease = true;
  TimePoint sent = now_;
  // A lease whose answer was lost has no keys and expires by itself.
  AskStore(StoreLeaseGrant{kLeaseTtl}, [this, sent](const StoreResult& result) {
    ownership_.asking_lease = false;
    const auto* granted = std::get_if<StoreLeaseResult>(&result);
    if (!granted || granted->ttl < kLeaseTtl || ownership_.released)
      return;
    ownership_.lease = granted->lease;
    ownership_.confirmed = sent;
    ownership_.next_renewal = sent + kRenewInterval;
    ReadOwners();
  });
}

void Node::RenewLease() {
  ownership_.renewing = true;
  ownership_.next_renewal = now_ + kRenewInterval;
  TimePoint sent = now_;
  int64_t lease = ownership_.lease;
  AskStore(
      StoreLeaseKeepAlive{lease},
      [this, sent, lease](const StoreResult& result) {
        ownership_.renewing = false;
        if (ownership_.lease != lease)
          return;
        const auto* renewed = std::get_if<StoreLeaseResult>(&result);
        if (!renewed) {
          // Nothing is known of the lease. The owner is frozen once its last
          // confirmation is too old, and keeps asking.
          ownership_.next_renewal = now_ + kRenewRetry;
          return;
        }
        if (renewed->ttl.count() <= 0) {
          OnLeaseLost();
          return;
        }
        // Only the owner deletes its keys, so they live as long as the lease.
        ownership_.confirmed = std::max(ownership_.confirmed, sent);
        for (const auto& [partition, held] : std::map(partitions_.held()))
          partitions_.Confirm(partition, sent);
      },
      kRenewTimeout);
}

void Node::OnLeaseLost() {
  ownership_.lease = 0;
  ownership_.taking.clear();
  ownership_.next_read = now_;
  for (const auto& [partition, held] : std::map(partitions_.held())) {
    partitions_.Drop(partition);
    effects_.push_back(Log{LogCode::kPartitionLost,
                           {{"partition", std::to_string(partition)},
                            {"epoch", std::to_string(held.epoch)}}});
  }
}

void Node::ReadOwners() {
  if (ownership_.reading)
    return;
  ownership_.reading = true;
  std::string prefix(kOwnerPrefix);
  AskStore(StoreRange{prefix, PrefixEnd(prefix)},
           [this](const StoreResult& result) {
             ownership_.reading = false;
             if (const auto* range = std::get_if<StoreRangeResult>(&result))
               OnOwnersRead(*range);
           });
}

void Node::OnOwnersRead(const StoreRangeResult& range) {
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
      if (PreferredOwnerOf(p) && !partitions_.Held(p))
        TakePartition(p,
                      past == history.end() ? 0 : past->second->mod_revision);
      continue;
    }
    const StoreEntry& entry = *found->second;
    wire::PartitionOwner record;
    if (!record.ParseFromString(entry.value))
      continue;
    if (ownership_.lease != 0 && entry.lease == ownership_.lease) {
      // Also the way in which a write is found whose answer was lost. The
      // first owner ever created the history key in the same write.
      bool first_ever = past != history.end() &&
                        past->second->create_revision == entry.mod_revision;
      HoldPartition(p, entry.mod_revision, first_ever);
      continue;
    }
    LearnOwner(p, {record.node(), static_cast<uint64_t>(entry.mod_revision)});
  }
}

void Node::TakePartition(uint32_t partition, int64_t history_revision) {
  if (ownership_.lease == 0) {
    AskLease();
    return;
  }
  if (!ownership_.taking.insert(partition).second)
    return;
  wire::PartitionOwner record;
  record.set_partition(partition);
  record.set_node(identity_.node);
  std::string value = record.SerializeAsString();
  StoreTransaction take;
  take.compares = {{OwnerKey(partition), 0},
                   {HistoryKey(partition), history_revision}};
  take.puts = {{OwnerKey(partition), value, ownership_.lease},
               {HistoryKey(partition), value}};
  int64_t lease = ownership_.lease;
  AskStore(std::move(take), [this, partition, history_revision,
                             lease](const StoreResult& result) {
    ownership_.taking.erase(partition);
    if (ownership_.lease != lease || ownership_.released)
      return;
    const auto* taken = std::get_if<StoreTransactionResult>(&result);
    if (taken && taken->succeeded) {
      HoldPartition(partition, taken->revision, history_revision == 0);
      return;
    }
    // Another node was first, or the answer was lost: the store tells.
    ReadOwners();
  });
}

void Node::HoldPartition(uint32_t partition,
                         int64_t revision,
                         bool first_ever) {
  auto epoch = static_cast<uint64_t>(revision);
  const PartitionOwner* known = partitions_.OwnerOf(partition);
  if (partitions_.Held(partition) || (known && known->epoch > epoch))
    return;
  // The lease, not the write of the key, limits how long the key lives, so
  // only the renewal of the lease counts as confirmation.
  partitions_.Hold(partition,
                   {epoch, revision, ownership_.confirmed, first_ever});
  LearnOwner(partition, {identity_.node, epoch});
  effects_.push_back(Log{LogCode::kPartitionTaken,
                         {{"partition", std::to_string(partition)},
                          {"epoch", std::to_string(epoch)},
                          {"first_ever", first_ever ? "yes" : "no"}}});
}

void Node::ReleasePartitions() {
  if (ownership_.released)
    return;
  ownership_.released = true;
  for (const auto& [partition, held] : std::map(partitions_.held()))
    partitions_.Drop(partition);
  if (ownership_.lease == 0)
    return;
  // Deletes the owner keys; a take that is still under way fails without its
  // lease. If the answer is lost, the lease expires by itself.
  ownership_.releasing = true;
  AskStore(StoreLeaseRevoke{ownership_.lease}, [this](const StoreResult&) {
    ownership_.releasing = false;
    FinishDrain();
  });
  ownership_.lease = 0;
}

void Node::OnOwnerGone(const NodeId& node) {
  for (const auto& [partition, owner] : partitions_.owners()) {
    if (owner.node == node)
      ownership_.next_read = now_;
  }
}

bool Node::MayOwnPartitions(const NodeId& node) const {
  auto found = members_.find(node);
  return found != members_.end() &&
         found->second.status() == wire::MEMBER_ALIVE;
}

bool Node::PreferredOwnerOf(uint32_t partition) const {
  std::string salt = OwnerKey(partition);
  uint64_t own = RendezvousScore(identity_.node, salt);
  return std::ranges::none_of(members_, [&](const auto& member) {
    return member.first != identity_.node && MayOwnPartitions(member.first) &&
           RendezvousScore(member.first, salt) > own;
  });
}

void Node::LearnOwner(uint32_t partition, const PartitionOwner& owner) {
  bool held = partitions_.Held(partition) != nullptr;
  if (!partitions_.Learn(partition, owner))
    return;
  if (held && !partitions_.Held(partition)) {
    effects_.push_back(Log{
        LogCode::kPartitionLost,
        {{"partition", std::to_string(partition)}, {"successor", owner.node}}});
  }
  wire::Rumours rumours;
  wire::PartitionOwner& news = *rumours.add_owners();
  news.set_partition(partition);
  news.set_node(owner.node);
  news.set_epoch(owner.epoch);
  membership_.SetOwner(news);
  PushRumours(rumours, owner.node);
}

void Node::LearnOwner(const wire::PartitionOwner& owner) {
  if (bundle_ && owner.partition() >= bundle_->partitions)
    return;
  LearnOwner(owner.partition(), {owner.node(), owner.epoch()});
}

}  // namespace comfreylock
