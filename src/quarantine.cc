#include "comfreylock/quarantine.h"

#include <algorithm>
#include <cstring>

#include "comfreylock/config.h"
#include "crypto.h"

namespace comfreylock {
namespace {

constexpr size_t kFingerprintBytes = 16;
constexpr uint32_t kWholeWeight = 1000;
constexpr size_t kConvictingCrashes = 2;

/// Appends with the length, so that no two field lists give the same text.
void Append(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

bool AddAll(std::set<uint64_t>& set,
            const google::protobuf::RepeatedField<uint64_t>& values) {
  size_t before = set.size();
  for (uint64_t value : values) {
    if (set.size() < kCrashesPerFingerprint)
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
  Append(text, request.target);
  Append(text, request.body_digest);
  if (request.body_digest.empty()) {
    // A streamed body has no digest. Its size and the idempotency key keep
    // uploads to one path apart.
    Append(text, std::to_string(request.body_size.value_or(0)));
    Append(text, request.idempotency_key);
  }
  return Sha256(text).substr(0, kFingerprintBytes);
}

Quarantine::Quarantine(const NodeId& node, uint64_t incarnation) {
  std::string digest = Sha256(node + "/" + std::to_string(incarnation));
  std::memcpy(&crash_base_, digest.data(), sizeof(crash_base_));
}

std::vector<std::string> Quarantine::RecordCrash(
    std::span<const InFlight> in_flight,
    TimePoint now) {
  uint64_t crash = crash_base_ + ++last_crash_;
  std::vector<std::string> convicted;
  for (const auto& request : in_flight) {
    Entry& entry = EntryOf(request.fingerprint, now);
    bool suspect = request.suspect || entry.reported || OpenCrashes(entry) > 0;
    // A fingerprint that was in flight twice crashed the target once.
    if (!entry.crashes.insert(crash).second)
      continue;
    entry.until = now + kQuarantineTime;
    entry.weight_milli =
        std::max(entry.weight_milli,
                 kWholeWeight / static_cast<uint32_t>(in_flight.size()));
    if (suspect && !entry.quarantined) {
      Convict(entry, now);
      convicted.push_back(request.fingerprint);
    }
  }
  return convicted;
}

void Quarantine::RecordReported(const std::string& fingerprint,
                                bool suspect,
                                TimePoint now) {
  if (fingerprint.empty())
    return;
  Entry& entry = EntryOf(fingerprint, now);
  entry.reported = true;
  if (suspect && !entry.quarantined)
    Convict(entry, now);
}

void Quarantine::RecordCompletion(const std::string& fingerprint,
                                  TimePoint now) {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || now >= found->second.until)
    return;
  found->second.cleared = found->second.crashes;
  found->second.reported = false;
}

bool Quarantine::IsSuspect(const std::string& fingerprint,
                           TimePoint now) const {
  const Entry* entry = Find(fingerprint, now);
  return entry && (entry->reported || OpenCrashes(*entry) > 0);
}

bool Quarantine::IsQuarantined(const std::string& fingerprint,
                               TimePoint now) const {
  const Entry* entry = Find(fingerprint, now);
  return entry && entry->quarantined;
}

std::vector<wire::QuarantineEntry> Quarantine::Export(TimePoint now) const {
  std::vector<wire::QuarantineEntry> exported;
  for (const auto& [fingerprint, entry] : entries_) {
    if (now >= entry.until || (entry.crashes.empty() && !entry.quarantined))
      continue;
    wire::QuarantineEntry& out = exported.emplace_back();
    out.set_fingerprint(fingerprint);
    out.set_crash_weight_milli(entry.weight_milli);
    out.set_crashes(static_cast<uint32_t>(OpenCrashes(entry)));
    out.set_quarantined(entry.quarantined);
    auto remaining =
        std::chrono::ceil<std::chrono::milliseconds>(entry.until - now);
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
      std::chrono::milliseconds(entry.remaining_ms()), kQuarantineTime);
  bool known = Find(entry.fingerprint(), now) != nullptr;
  // Nodes forget at slightly different times. An entry that is over here comes
  // back only with a new crash, or rumours would keep it alive for ever.
  auto over = entries_.find(entry.fingerprint());
  if (!known && over != entries_.end() &&
      std::ranges::all_of(entry.crash_ids(), [&](uint64_t crash) {
        return over->second.crashes.contains(crash);
      })) {
    return false;
  }
  Entry& own = EntryOf(entry.fingerprint(), now);
  // Only a first report sets the end; repeated ones would move it by the time
  // that each message takes.
  if (!known)
    own.until = now + remaining;
  bool changed = AddAll(own.crashes, entry.crash_ids());
  changed = AddAll(own.cleared, entry.cleared_crash_ids()) || changed;
  own.weight_milli = std::max(own.weight_milli, entry.crash_weight_milli());
  if (!own.crashes.empty())
    own.reported = false;
  bool convicted =
      entry.quarantined() || OpenCrashes(own) >= kConvictingCrashes;
  if (!convicted || own.quarantined)
    return changed;
  own.quarantined = true;
  own.until = now + remaining;
  return true;
}

void Quarantine::Expire(TimePoint now) {
  std::erase_if(entries_, [&](const auto& item) {
    return now >= item.second.until + kQuarantineTime;
  });
}

Quarantine::Entry& Quarantine::EntryOf(const std::string& fingerprint,
                                       TimePoint now) {
  auto found = entries_.find(fingerprint);
  if (found != entries_.end() && now < found->second.until)
    return found->second;
  if (found == entries_.end() && entries_.size() >= kMaxQuarantineEntries) {
    Expire(now);
    if (entries_.size() >= kMaxQuarantineEntries) {
      entries_.erase(std::ranges::min_element(
          entries_, {}, [](const auto& item) { return item.second.until; }));
    }
  }
  Entry& entry = entries_[fingerprint];
  entry = Entry();
  entry.until = now + kQuarantineTime;
  return entry;
}

const Quarantine::Entry* Quarantine::Find(const std::string& fingerprint,
                                          TimePoint now) const {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end() || now >= found->second.until)
    return nullptr;
  return &found->second;
}

size_t Quarantine::OpenCrashes(const Entry& entry) {
  return static_cast<size_t>(std::ranges::count_if(
      entry.crashes,
      [&](uint64_t crash) { return !entry.cleared.contains(crash); }));
}

void Quarantine::Convict(Entry& entry, TimePoint now) {
  entry.quarantined = true;
  entry.until = now + kQuarantineTime;
}

}  // namespace comfreylock
