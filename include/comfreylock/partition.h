#ifndef COMFREYLOCK_PARTITION_H_
#define COMFREYLOCK_PARTITION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"

/// Which node owns each partition of organisations and once-only keys.
namespace comfreylock {

/// @return the score of a node for a choice named `salt`; the nodes with the
/// highest scores are chosen (rendezvous hashing).
uint64_t RendezvousScore(std::string_view node, std::string_view salt);

/// A partition's owner as learnt from the store or from rumours.
struct PartitionOwner {
  NodeId node;
  uint64_t epoch = 0;  ///< Store revision at which the owner took it.
};

/// A partition that this node owns.
struct HeldPartition {
  uint64_t epoch = 0;
  /// `mod_revision` of the owner key; claim writes compare it.
  int64_t owner_revision = 0;
  /// When the request was sent by which the store last confirmed ownership.
  TimePoint confirmed;
  /// No node owned the partition before, so no share can be out.
  bool first_ever = false;
};

/// Knows all owners; keeps for each partition the highest epoch seen.
class PartitionTable {
 public:
  /// An owner is certain this long after its last confirmation; afterwards it
  /// freezes. Shorter than the lease, so that it freezes before a successor.
  static constexpr std::chrono::milliseconds kCertainTime{2000};

  /// @return the partition of `key` among `count`, the same on every node.
  static uint32_t PartitionOf(std::string_view key, uint32_t count);

  /// Learns of an owner. @return whether it is newer than what was known.
  bool Learn(uint32_t partition, const PartitionOwner& owner);

  /// @return the owner with the highest epoch seen, or null.
  const PartitionOwner* OwnerOf(uint32_t partition) const;

  /// Records that this node owns the partition.
  void Hold(uint32_t partition, const HeldPartition& held);

  /// Records that the store confirmed the ownership by a request sent then.
  void Confirm(uint32_t partition, TimePoint sent);

  /// Records that this node gave up or lost the partition.
  void Drop(uint32_t partition);

  /// @return this node's ownership, or null. A higher epoch seen elsewhere
  /// ends it.
  const HeldPartition* Held(uint32_t partition) const;

  /// @return whether the ownership was confirmed within `kCertainTime`.
  bool Certain(uint32_t partition, TimePoint now) const;

  const std::map<uint32_t, PartitionOwner>& owners() const { return owners_; }
  const std::map<uint32_t, HeldPartition>& held() const { return held_; }

 private:
  std::map<uint32_t, PartitionOwner> owners_;
  std::map<uint32_t, HeldPartition> held_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_PARTITION_H_
