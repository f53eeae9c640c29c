#ifndef COMFREYLOCK_PARTITION_H_
#define COMFREYLOCK_PARTITION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"

/// Ownership of partitions: hash ranges of organisations and once-only keys,
/// each with one owner.
namespace comfreylock {

/// @param salt names the election, e.g. the key of a partition's owner record.
/// @return the score of a node; the nodes with the highest scores are elected
/// (rendezvous hashing).
uint64_t RendezvousScore(std::string_view node, std::string_view salt);

/// A partition's owner as read from the store or received by gossip.
struct PartitionOwner {
  NodeId node;
  uint64_t epoch = 0;  ///< Store revision of the takeover.
};

/// A partition that this node owns.
struct PartitionOwnership {
  uint64_t epoch = 0;
  /// `mod_revision` of the owner key; claim writes compare it.
  int64_t owner_revision = 0;
  /// Send time of the last lease grant or renewal, which confirms the
  /// ownership.
  TimePoint confirmed_at;
  /// No node owned the partition before, so no node holds a share of it.
  bool is_first_owner = false;
};

/// The owners of all partitions, each with the highest epoch seen, and the
/// partitions that this node owns.
class PartitionTable {
 public:
  /// How long a confirmation of ownership is valid. Afterwards the owner is
  /// frozen: it refuses new claims and does not reassign expired rate shares.
  /// Shorter than the lease, so that the owner freezes before a new owner can
  /// start.
  static constexpr std::chrono::milliseconds kConfirmationTtl{2000};

  /// @return the partition of `key`, one of `count`; the same on every node.
  static uint32_t PartitionOf(std::string_view key, uint32_t count);

  /// Updates the owner of a partition. @return whether its epoch is higher than
  /// the known one.
  bool Update(uint32_t partition, const PartitionOwner& owner);

  /// @return the owner with the highest epoch seen, or null.
  const PartitionOwner* OwnerOf(uint32_t partition) const;

  /// Records that this node owns the partition.
  void AddOwned(uint32_t partition, const PartitionOwnership& owned);

  /// Records a confirmation of the ownership by the store.
  /// @param sent when the request was sent.
  void Confirm(uint32_t partition, TimePoint sent);

  /// Records that this node released or lost the partition.
  void RemoveOwned(uint32_t partition);

  /// @return this node's ownership, or null. It ends when another owner with a
  /// higher epoch is recorded.
  const PartitionOwnership* FindOwned(uint32_t partition) const;

  /// @return whether this node owns the partition and the store confirmed it
  /// within `kConfirmationTtl`.
  bool IsConfirmed(uint32_t partition, TimePoint now) const;

  const std::map<uint32_t, PartitionOwner>& owners() const { return owners_; }
  const std::map<uint32_t, PartitionOwnership>& owned() const { return owned_; }

 private:
  std::map<uint32_t, PartitionOwner> owners_;
  std::map<uint32_t, PartitionOwnership> owned_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_PARTITION_H_
