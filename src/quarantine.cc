#include "comfreylock/quarantine.h"

#include <algorithm>
#include <cstring>

#include "comfreylock/config.h"
#include "crypto.h"

namespace comfreylock {
namespace {

constexpr size_t kFingerprintBytes = 16;
/// Weight of a crash with one request in flight.
constexpr uint32_t kMaxCrashWeightMilli = 1000;
constexpr size_t kCrashesToQuarantine = 2;

/// Appends `field` with its length, so that different field lists give
/// different texts.
void Append(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

/// Inserts values up to `kMaxCrashesPerFingerprint`. @return whether any was
/// new.
bool InsertBounded(std::set<uint64_t>& set,
                   const google::protobuf::RepeatedField<uint64_t>& values) {
  size_t before = set.size();
  for (uint64_t value : values) {
    if (set.size() < kMaxCrashesPerFingerprint)
      set.insert(value);
  }
  return set.size() != before;
}

}  // namespace

std::string FingerprintOf(const std::string& organisation,
                          const RequestSummary& request) {
  std::string text;
  Append(text, organisation);
  Append(text, request.method);
  Append(text, request.request_target);
  Append(text, request.body_digest);
  if (request.body_digest.empty()) {
    // A streamed body has no digest. Its size and the idempotency key
    // distinguish uploads to the same path.
    Append(text, std::to_string(request.body_size.value_or(0)));
    Append(text, request.idempotency_key);
  }
  return Sha256(text).substr(0, kFingerprintBytes);
}

Quarantine::Quarantine(const NodeId& node, uint64_t incarnation) {
  std::string digest = Sha256(node + "/" + std::to_string(incarnation));
  std::memcpy(&crash_id_base_, digest.data(), sizeof(crash_id_base_));
}

std::vector<std::string> Quarantine::RecordCrash(
    std::span<const InFlightRequest> in_flight,
    TimePoint now) {
  uint64_t crash = crash_id_base_ + ++crash_count_;
  std::vector<std::string> newly_quarantined;
  for (const auto& request : in_flight) {
    Entry& entry = FindOrCreate(request.fingerprint, now);
    bool suspect = request.suspect || entry.crash_unidentified ||
                   UnclearedCrashCount(entry) > 0;
    // Two requests with one fingerprint count as one crash.
    if (!entry.crashes.insert(crash).second)
      continue;
    entry.expires_at = now + kQuarantineTtl;
    entry.weight_milli = std::max(
        entry.weight_milli,
        kMaxCrashWeightMilli / static_cast<uint32_t>(in_flight.size()));
    if (suspect && !entry.quarantined) {
      StartQuarantine(entry, now);
      newly_quarantined.push_back(request.fingerprint);
    }
  }
  return newly_quarantined;
}

void Quarantine::RecordSuspectedCrash(const std::string& fingerprint,
                                      bool suspect,
                                      TimePoint now) {
  if (fingerprint.empty())
    return;
  Entry& entry = FindOrCreate(fingerprint, now);
  entry.crash_unidentified = true;
  if (suspect && !entry.quarantined)
    StartQuarantine(entry, now);
}

void Quarantine::RecordCompletion(const std::string& fingerprint,
                                  TimePoint now) {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || now >= found->second.expires_at)
    return;
  found->second.cleared = found->second.crashes;
  found->second.crash_unidentified = false;
}

bool Quarantine::IsSuspect(const std::string& fingerprint,
                           TimePoint now) const {
  const Entry* entry = Find(fingerprint, now);
  return entry &&
         (entry->crash_unidentified || UnclearedCrashCount(*entry) > 0);
}

bool Quarantine::IsQuarantined(const std::string& fingerprint,
                               TimePoint now) const {
  const Entry* entry = Find(fingerprint, now);
  return entry && entry->quarantined;
}

std::vector<wire::QuarantineEntry> Quarantine::Export(TimePoint now) const {
  std::vector<wire::QuarantineEntry> exported;
  for (const auto& [fingerprint, entry] : entries_) {
    if (now >= entry.expires_at ||
        (entry.crashes.empty() && !entry.quarantined))
      continue;
    wire::QuarantineEntry& out = exported.emplace_back();
    out.set_fingerprint(fingerprint);
    out.set_crash_weight_milli(entry.weight_milli);
    out.set_crashes(static_cast<uint32_t>(UnclearedCrashCount(entry)));
    out.set_quarantined(entry.quarantined);
    auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(entry.expires_at - now);
    out.set_remaining_ms(static_cast<uint32_t>(remaining.count()));
    out.mutable_crash_ids()->Add(entry.crashes.begin(), entry.crashes.end());
    out.mutable_cleared_crash_ids()->Add(entry.cleared.begin(),
                                         entry.cleared.end());
  }
  return exported;
}

bool Quarantine::MergeOne(const wire::QuarantineEntry& entry, TimePoint now) {
  if (entry.fingerprint().size() != kFingerprintBytes ||
      entry.remaining_ms() == 0) {
    return false;
  }
  auto remaining = std::min<std::chrono::milliseconds>(
      std::chrono::milliseconds(entry.remaining_ms()), kQuarantineTtl);
  bool known = Find(entry.fingerprint(), now) != nullptr;
  // Entries expire at slightly different times on different nodes. An entry
  // that has expired here is restored only by a new crash; otherwise gossip
  // would renew it indefinitely.
  auto existing = entries_.find(entry.fingerprint());
  if (!known && existing != entries_.end() &&
      std::ranges::all_of(entry.crash_ids(), [&](uint64_t crash) {
        return existing->second.crashes.contains(crash);
      })) {
    return false;
  }
  Entry& local = FindOrCreate(entry.fingerprint(), now);
  // Only the first report sets the expiry; each repeated one would extend it by
  // the delay of its message.
  if (!known)
    local.expires_at = now + remaining;
  bool changed = InsertBounded(local.crashes, entry.crash_ids());
  changed = InsertBounded(local.cleared, entry.cleared_crash_ids()) || changed;
  local.weight_milli = std::max(local.weight_milli, entry.crash_weight_milli());
  if (!local.crashes.empty())
    local.crash_unidentified = false;
  bool should_quarantine =
      entry.quarantined() || UnclearedCrashCount(local) >= kCrashesToQuarantine;
  if (!should_quarantine || local.quarantined)
    return changed;
  local.quarantined = true;
  local.expires_at = now + remaining;
  return true;
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now >= item.second.expires_at + kQuarantineTtl;
  });
}

Quarantine::Entry& Quarantine::FindOrCreate(const std::string& fingerprint,
                                            TimePoint now) {
  auto found = entries_.find(fingerprint);
  if (found != entries_.end() && now < found->second.expires_at)
    return found->second;
  if (found == entries_.end() && entries_.size() >= kMaxQuarantineEntries) {
    Expire(now);
    if (entries_.size() >= kMaxQuarantineEntries) {
      entries_.erase(std::ranges::min_element(
          entries_, {},
          [](const auto& item) { return item.second.expires_at; }));
    }
  }
  Entry& entry = entries_[fingerprint];
  entry = Entry();
  entry.expires_at = now + kQuarantineTtl;
  return entry;
}

const Quarantine::Entry* Quarantine::Find(const std::string& fingerprint,
                                          TimePoint now) const {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || now >= found->second.expires_at)
    return nullptr;
  return &found->second;
}

size_t Quarantine::UnclearedCrashCount(const Entry& entry) {
  return static_cast<size_t>(std::ranges::count_if(
      entry.crashes,
      [&](uint64_t crash) { return !entry.cleared.contains(crash); }));
}

void Quarantine::StartQuarantine(Entry& entry, TimePoint now) {
  entry.quarantined = true;
  entry.expires_at = now + kQuarantineTtl;
}

}  // namespace comfreylock
