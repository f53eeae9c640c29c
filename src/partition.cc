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
  auto ownership = owned_.find(partition);
  if (ownership != owned_.end() && ownership->second.epoch < owner.epoch)
    owned_.erase(ownership);
  return true;
}

const PartitionOwner* PartitionTable::OwnerOf(uint32_t partition) const {
  auto found = owners_.find(partition);
  return found == owners_.end() ? nullptr : &found->second;
}

void PartitionTable::AddOwned(uint32_t partition,
                              const PartitionOwnership& ownership) {
  owned_[partition] = ownership;
}

void PartitionTable::Confirm(uint32_t partition, TimePoint sent) {
  auto found = owned_.find(partition);
  if (found != owned_.end())
    found->second.confirmed_at = std::max(found->second.confirmed_at, sent);
}

void PartitionTable::RemoveOwned(uint32_t partition) {
  owned_.erase(partition);
}

const PartitionOwnership* PartitionTable::FindOwned(uint32_t partition) const {
  auto found = owned_.find(partition);
  return found == owned_.end() ? nullptr : &found->second;
}

bool PartitionTable::IsConfirmed(uint32_t partition, TimePoint now) const {
  const PartitionOwnership* ownership = FindOwned(partition);
  return ownership && now - ownership->confirmed_at < kConfirmationTtl;
}

}  // namespace comfreylock
