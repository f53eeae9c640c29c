#ifndef COMFREYLOCK_ADMISSION_H_
#define COMFREYLOCK_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreylock/bundle.h"
#include "comfreylock/events.h"
#include "comfreylock/types.h"

/// Admission beside the target: which requests run now, wait, or are refused.
namespace comfreylock {

/// A request offered to admission.
struct WorkItem {
  WorkId work;
  std::string organisation;
  uint32_t importance = 0;
  double weight = 1;
  TimePoint deadline;
  bool run_alone = false;  ///< Suspected of crashing targets.
};

/// A decision about one request.
struct AdmissionChange {
  enum class Kind { kStart, kReject };
  WorkId work;
  Kind kind = Kind::kStart;
  Reason reason = Reason::kNone;
};

using AdmissionChanges = std::vector<AdmissionChange>;

/// Decides which requests run on this host's target.
class Admission {
 public:
  /// @param rule limits of the target's service.
  /// @param now time at which the target is taken to have started.
  Admission(const ServiceRule& rule, TimePoint now);

  /// Takes new limits from a bundle; running requests are left alone.
  void Configure(const ServiceRule& rule);

  /// Offers a request. @return decisions, possibly about other requests too.
  AdmissionChanges Offer(const WorkItem& item, TimePoint now);

  /// Tells that a started request ended. @return decisions about others.
  AdmissionChanges Finish(WorkId work, WorkResult result, TimePoint now);

  /// Removes a queued request. A started one stays until `Finish`.
  AdmissionChanges Cancel(WorkId work, TimePoint now);

  /// Lets time pass: refuses what waited too long.
  AdmissionChanges Advance(TimePoint now);

  uint32_t in_flight() const { return static_cast<uint32_t>(running_.size()); }
  uint32_t queued() const { return static_cast<uint32_t>(queue_.size()); }
  uint32_t limit() const { return limit_; }

  /// @return what is shed at present; 0 means nothing.
  uint32_t shed_level() const { return 0; }

 private:
  struct Waiting {
    WorkItem item;
    TimePoint since;
  };

  void StartWaiting(TimePoint now, AdmissionChanges& changes);
  void RejectExpired(TimePoint now, AdmissionChanges& changes);

  ServiceRule rule_;
  uint32_t limit_ = 1;
  std::unordered_map<WorkId, WorkItem> running_;
  std::deque<Waiting> queue_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_ADMISSION_H_
