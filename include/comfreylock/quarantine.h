#ifndef COMFREYLOCK_QUARANTINE_H_
#define COMFREYLOCK_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "comfreylock/events.h"
#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Quarantine of requests that crash targets.
///
/// A request that was in flight when a target crashed is a suspect. A target
/// runs at most one suspect at a time. A suspect that completes is cleared; one
/// that is in flight at another crash is quarantined: calls with its
/// fingerprint are refused. Each crash has an identifier, so that gossip about
/// it counts once, however often and in whatever order it arrives.
namespace comfreylock {

/// @param organisation organisation whose key came with the request.
/// @return a hash of organisation, method, path with query, and body.
std::string FingerprintOf(const std::string& organisation,
                          const RequestSummary& request);

class Quarantine {
 public:
  /// A request that was in flight at a target when it crashed.
  struct InFlightRequest {
    std::string fingerprint;
    bool suspect = false;  ///< It was sent as a suspect.
  };

  /// @param node id of the own node, from which crash identifiers are derived.
  /// @param incarnation own incarnation, used in the same way.
  Quarantine(const NodeId& node, uint64_t incarnation);

  /// Records one crash of this host's target.
  /// @param in_flight all requests that it was running.
  /// @return the fingerprints that are newly quarantined.
  std::vector<std::string> RecordCrash(
      std::span<const InFlightRequest> in_flight,
      TimePoint now);

  /// Marks a request as suspect because a target appears to have crashed during
  /// an attempt of this entry node. The mark applies until gossip about the
  /// crash arrives.
  /// @param suspect whether the attempt was sent as a suspect already; the
  ///     request is then quarantined.
  void RecordSuspectedCrash(const std::string& fingerprint,
                            bool suspect,
                            TimePoint now);

  /// Clears a suspect that completed.
  void RecordCompletion(const std::string& fingerprint, TimePoint now);

  bool IsSuspect(const std::string& fingerprint, TimePoint now) const;
  bool IsQuarantined(const std::string& fingerprint, TimePoint now) const;

  /// @return the crashes and quarantined requests, for gossip to other nodes.
  std::vector<wire::QuarantineEntry> Export(TimePoint now) const;

  /// Merges entries that another node exported.
  /// @return whether anything changed and should be gossiped further.
  template <typename Entries>
  bool Merge(const Entries& entries, TimePoint now) {
    bool changed = false;
    for (const wire::QuarantineEntry& entry : entries)
      changed = MergeOne(entry, now) || changed;
    return changed;
  }

  /// Removes entries that expired at least `kQuarantineTtl` ago.
  void Expire(TimePoint now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::set<uint64_t> crashes;
    /// Crashes that the request did not cause, as it completed afterwards.
    std::set<uint64_t> cleared;
    /// 1000 / requests in flight at the crash; the maximum over all crashes.
    uint32_t weight_milli = 0;
    bool crash_unidentified = false;  ///< Suspect; crash identifier unknown.
    bool quarantined = false;
    TimePoint expires_at;
  };

  /// @return the entry, a new one if there is none or it has expired.
  Entry& FindOrCreate(const std::string& fingerprint, TimePoint now);
  const Entry* Find(const std::string& fingerprint, TimePoint now) const;
  bool MergeOne(const wire::QuarantineEntry& entry, TimePoint now);
  static size_t UnclearedCrashCount(const Entry& entry);
  static void StartQuarantine(Entry& entry, TimePoint now);

  uint64_t crash_id_base_;
  uint64_t crash_count_ = 0;
  std::map<std::string, Entry> entries_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_QUARANTINE_H_
