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

/// A decision about one request. Each offered request gets exactly one, unless
/// it is cancelled while it waits.
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
  virtual ~Admission() = default;

  /// Takes new limits from a bundle; running requests are left alone.
  virtual void Configure(const ServiceRule& rule) = 0;

  /// Offers a request. @return decisions, possibly about other requests too.
  virtual AdmissionChanges Offer(const WorkItem& item, TimePoint now) = 0;

  /// Tells that a started request ended.
  /// @param downstream time that the target spent on onward calls. It is no
  ///     part of the target's own latency, so that a slow service further down
  ///     does not lower this target's limit.
  /// @return decisions about others.
  virtual AdmissionChanges Finish(WorkId work,
                                  WorkResult result,
                                  TimePoint now,
                                  std::chrono::microseconds downstream) = 0;

  /// Removes a queued request. A started one stays until `Finish`.
  virtual AdmissionChanges Cancel(WorkId work, TimePoint now) = 0;

  /// Lets time pass: refuses what waited too long.
  virtual AdmissionChanges Advance(TimePoint now) = 0;

  virtual uint32_t in_flight() const = 0;
  virtual uint32_t queued() const = 0;
  virtual uint32_t limit() const = 0;

  /// @return what is shed at present, 0 (nothing) to 31; see shedding.h.
  virtual uint32_t shed_level() const = 0;
};

/// @param rule limits of the target's service.
/// @param now time at which the target is taken to have started.
std::unique_ptr<Admission> MakeAdmission(Policy policy,
                                         const ServiceRule& rule,
                                         TimePoint now);

}  // namespace comfreylock

#endif  // COMFREYLOCK_ADMISSION_H_
