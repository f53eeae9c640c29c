#ifndef COMFREYLOCK_TYPES_H_
#define COMFREYLOCK_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

/// Basic types shared by all modules: time, handles, outcomes and reasons.
namespace comfreylock {

/// Clock that keeps counting while the process or host is suspended. The core
/// never reads it; every event carries the time.
struct NodeClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<NodeClock, duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = NodeClock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch. Used only for the age
/// of idempotency keys and records, never for leases.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Typed id; 0 is never a valid value.
template <typename Tag>
struct TypedId {
  uint64_t value = 0;
  auto operator<=>(const TypedId&) const = default;
  explicit operator bool() const { return value != 0; }
};

using CallId = TypedId<struct CallTag>;  ///< A call at its entry node.
using WorkId = TypedId<struct WorkTag>;  ///< A request at its target.
using StoreRequestId =
    TypedId<struct StoreRequestTag>;  ///< A request to the store.

/// Name of a node, unique in the fleet; taken from its settings.
using NodeId = std::string;

/// Whether a call ran at a target, as its caller is told in the answer.
enum class Outcome { kComplete, kNotRun, kUnknown };

/// @return the value of the `Comfreylock-Outcome` header.
std::string_view OutcomeName(Outcome outcome);

/// Why a call was refused. Names and statuses are part of the interface for
/// callers.
enum class Reason {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kKeyMissing,
  kKeyUnknown,
  kOrganisationNotAllowed,
  kUnknownParent,
  kNoRoute,
  kIdempotencyKeyMissing,
  kIdempotencyKeyInvalid,
  kIdempotencyKeyExpired,
  kBodyDiffers,
  kOutcomeUnknown,
  kOverRate,
  kRateShareUnavailable,
  kOverload,
  kDraining,
  kNoTarget,
  kStoreUnavailable,
  kClaimsFull,
  kAnswerNotKept,
  kQuarantined,
  kIsolated,
  kNoBundle,
  kBadAnswer,
  kTargetFailed,
  kDeadline,
  kCallerGone,
  kInternal,
  kReasonCount,
};

/// Name, HTTP status and title of a reason.
struct ReasonInfo {
  std::string_view name;   ///< As in the problem body, e.g. `over_rate`.
  int status;              ///< HTTP status.
  std::string_view title;  ///< One sentence for a reader.
  bool retry_after;        ///< Whether a later attempt may succeed.
};

/// @return name, status and title of `reason`.
const ReasonInfo& InfoOf(Reason reason);

/// @return the reason called `name`, or `kInternal` if there is none.
Reason ReasonFromName(std::string_view name);

/// Base of all errors that comfreylock throws.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Bad input: names the file, line or field, what was wrong, what is allowed.
class InputError : public Error {
 public:
  using Error::Error;
};

}  // namespace comfreylock

template <typename Tag>
struct std::hash<comfreylock::TypedId<Tag>> {
  size_t operator()(const comfreylock::TypedId<Tag>& id) const {
    return std::hash<uint64_t>()(id.value);
  }
};

#endif  // COMFREYLOCK_TYPES_H_
