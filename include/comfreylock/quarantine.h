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

/// Requests that crash targets: suspects and quarantine.
///
/// Crashes have identifiers, so that rumours of one crash count once however
/// often and in whatever order they arrive.
namespace comfreylock {

/// @param organisation organisation whose key came with the request.
/// @return hash of organisation, method, path with query, and body.
std::string FingerprintOf(const std::string& organisation,
                          const RequestSummary& request);

class Quarantine {
 public:
  /// A request at a target that crashed.
  struct InFlight {
    std::string fingerprint;
    bool suspect = false;  ///< It was sent as a suspect.
  };

  /// @param node own id, part of the crash identifiers.
  /// @param incarnation own incarnation, likewise.
  Quarantine(const NodeId& node, uint64_t incarnation);

  /// Takes one crash of this host's target.
  /// @param in_flight all requests that it was running.
  /// @return the fingerprints that are quarantined because of it.
  std::vector<std::string> RecordCrash(std::span<const InFlight> in_flight,
                                       TimePoint now);

  /// Notes that a target crashed under an attempt of this entry, until the
  /// rumour of the crash arrives.
  /// @param suspect the attempt was sent as a suspect already, which convicts.
  void RecordReported(const std::string& fingerprint,
                      bool suspect,
                      TimePoint now);

  /// Clears a suspect that ran to its end.
  void RecordCompletion(const std::string& fingerprint, TimePoint now);

  bool IsSuspect(const std::string& fingerprint, TimePoint now) const;
  bool IsQuarantined(const std::string& fingerprint, TimePoint now) const;

  /// @return what other nodes should know.
  std::vector<wire::QuarantineEntry> Export(TimePoint now) const;

  /// Takes in what another node exported.
  /// @return whether something was new, so that it is worth passing on.
  template <typename Entries>
  bool Merge(const Entries& entries, TimePoint now) {
    bool changed = false;
    for (const wire::QuarantineEntry& entry : entries)
      changed = MergeOne(entry, now) || changed;
    return changed;
  }

  /// Forgets what is over.
  void Expire(TimePoint now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::set<uint64_t> crashes;
    std::set<uint64_t> cleared;  ///< Crashes that the request did not cause.
    uint32_t weight_milli = 0;   ///< 1000 over the requests in flight.
    bool reported = false;       ///< Suspect without a crash identifier.
    bool quarantined = false;
    TimePoint until;
  };

  Entry& EntryOf(const std::string& fingerprint, TimePoint now);
  const Entry* Find(const std::string& fingerprint, TimePoint now) const;
  bool MergeOne(const wire::QuarantineEntry& entry, TimePoint now);
  static size_t OpenCrashes(const Entry& entry);
  static void Convict(Entry& entry, TimePoint now);

  uint64_t crash_base_;
  uint64_t last_crash_ = 0;
  std::map<std::string, Entry> entries_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_QUARANTINE_H_
