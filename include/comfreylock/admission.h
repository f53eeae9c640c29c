#ifndef COMFREYLOCK_ADMISSION_H_
#define COMFREYLOCK_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "comfreylock/bundle.h"
#include "comfreylock/events.h"
#include "comfreylock/fair_queue.h"
#include "comfreylock/policy.h"
#include "comfreylock/types.h"

/// Admission beside the target: which requests run now, wait, or are refused.
namespace comfreylock {

/// The decision to start or refuse one request. Each offered request gets
/// exactly one, unless it is cancelled while it waits.
struct AdmissionDecision {
  enum class Kind { kStart, kReject };
  WorkId work;
  Kind kind = Kind::kStart;
  Reason reason = Reason::kNone;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

/// Decides which requests run on this host's target.
class Admission {
 public:
  virtual ~Admission() = default;

  /// Applies new limits from a bundle; running requests are not affected.
  virtual void Configure(const ServiceRule& rule) = 0;

  /// Starts, queues or refuses a request.
  /// @return decisions, possibly about other requests too.
  virtual AdmissionDecisions Offer(const WorkItem& item, TimePoint now) = 0;

  /// Records the end of a started request.
  /// @param downstream_time time that the target spent on onward calls. It does
  /// not
  ///     count as the target's own latency, so that a slow downstream service
  ///     does not lower this target's limit.
  /// @return decisions about other requests.
  virtual AdmissionDecisions Finish(
      WorkId work,
      WorkResult result,
      TimePoint now,
      std::chrono::microseconds downstream_time) = 0;

  /// Removes a queued request. A started one stays until `Finish`.
  virtual AdmissionDecisions Cancel(WorkId work, TimePoint now) = 0;

  /// Refuses requests that waited too long or passed their deadline, and starts
  /// waiting requests up to the limit at `now`.
  virtual AdmissionDecisions Advance(TimePoint now) = 0;

  virtual uint32_t in_flight() const = 0;
  virtual uint32_t queued() const = 0;
  virtual uint32_t limit() const = 0;

  /// @return the current shed level, 0 (none) to 31; see shedding.h.
  virtual uint32_t shed_level() const = 0;
};

/// @param rule limits of the target's service.
/// @param now start time of the target, from which its limit ramps up.
std::unique_ptr<Admission> MakeAdmission(Policy policy,
                                         const ServiceRule& rule,
                                         TimePoint now);

}  // namespace comfreylock

#endif  // COMFREYLOCK_ADMISSION_H_
