#include "comfreylock/partition.h"

#include <algorithm>

#include "crypto.h"

namespace comfreylock {

uint64_t RendezvousScore(std::string_view node, std::string_view salt) {
  std::string text(salt);
  text.push_back('\0');
  text.append(node);
  return ShortHash(text);
}

uint32_t PartitionTable::PartitionOf(std::string_view key, uint32_t count) {
  std::string digest = Sha256(key);
  uint64_t number = 0;
  for (size_t i = 0; i < sizeof(number); ++i)
    number = number << 8 | static_cast<unsigned char>(digest[i]);
  return static_cast<uint32_t>(number % std::max<uint32_t>(count, 1));
}

bool PartitionTable::Update(uint32_t partition, const PartitionOwner& owner) {
  PartitionOwner& known = owners_[partition];
  if (owner.epoch <= known.epoch)
    return false;
  known = owner;
  auto held = held_.find(partition);
  if (held != held_.end() && held->second.epoch < owner.epoch)
    held_.erase(held);
  return true;
}

const PartitionOwner* PartitionTable::OwnerOf(uint32_t partition) const {
  auto found = owners_.find(partition);
  return found == owners_.end() ? nullptr : &found->second;
}

void PartitionTable::Hold(uint32_t partition, const HeldPartition& held) {
  held_[partition] = held;
}

void PartitionTable::Confirm(uint32_t partition, TimePoint sent) {
  auto found = held_.find(partition);
  if (found != held_.end())
    found->second.confirmed_at = std::max(found->second.confirmed_at, sent);
}

void PartitionTable::Drop(uint32_t partition) {
  held_.erase(partition);
}

const HeldPartition* PartitionTable::Held(uint32_t partition) const {
  auto found = held_.find(partition);
  return found == held_.end() ? nullptr : &found->second;
}

bool PartitionTable::IsConfirmed(uint32_t partition, TimePoint now) const {
  const HeldPartition* held = Held(partition);
  return held && now - held->confirmed_at < kConfirmationTtl;
}

}  // namespace comfreylock
