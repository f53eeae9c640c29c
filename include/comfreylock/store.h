#ifndef COMFREYLOCK_STORE_H_
#define COMFREYLOCK_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "comfreylock/types.h"

/// The platform's key-value service: requests and results as data, and the
/// interface that carries them out.
namespace comfreylock {

/// A value with its revisions.
struct StoreEntry {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t lease = 0;
};

/// Reads one key, or all keys from `key` up to `range_end` (exclusive).
struct StoreRange {
  std::string key;
  std::string range_end;  ///< Empty: just `key`.
  int64_t limit = 0;      ///< 0: no limit.
  /// The result may be some seconds old, which costs the store less.
  bool serializable = false;
};

/// Condition: the key was last modified at this revision; 0: it is absent.
struct StoreCompare {
  std::string key;
  int64_t mod_revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  int64_t lease = 0;
};

struct StoreDelete {
  std::string key;
  std::string range_end;  ///< Empty: just `key`.
};

/// Writes everything if all compares hold, otherwise nothing.
struct StoreTransaction {
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  std::vector<StoreDelete> deletes;
};

struct StoreLeaseGrant {
  std::chrono::seconds ttl{5};
};

struct StoreLeaseKeepAlive {
  int64_t lease = 0;
};

struct StoreLeaseRevoke {
  int64_t lease = 0;
};

/// Reports changes of a key or range, starting at a revision. If the connection
/// ends, the client resumes the watch without missing a change. The watch fails
/// only if it is cancelled or if the store has compacted revisions it needs;
/// then read again, and watch from the revision after that read.
struct StoreWatch {
  std::string key;
  std::string range_end;
  int64_t start_revision = 0;
  /// If set, a result is reported at least this often, also without changes.
  std::chrono::milliseconds progress_interval{0};
  /// The watch ends after its first result, which may have no changes or be a
  /// failure.
  bool once = false;
};

struct StoreCancelWatch {
  StoreRequestId watch;
};

using StoreRequest = std::variant<StoreRange,
                                  StoreTransaction,
                                  StoreLeaseGrant,
                                  StoreLeaseKeepAlive,
                                  StoreLeaseRevoke,
                                  StoreWatch,
                                  StoreCancelWatch>;

/// A store that is restored from a copy assigns revisions and leases again, and
/// its era rises. Revisions and leases of different eras are unrelated.
struct StoreRangeResult {
  std::vector<StoreEntry> entries;
  int64_t revision = 0;
  bool more = false;
  uint64_t era = 0;  ///< Of the store; 0: it reports none.
};

struct StoreTransactionResult {
  bool succeeded = false;
  int64_t revision = 0;
  uint64_t era = 0;  ///< Of the store; 0: it reports none.
};

struct StoreLeaseResult {
  int64_t lease = 0;
  std::chrono::seconds ttl{0};  ///< 0: the lease has expired.
  uint64_t era = 0;             ///< Of the store; 0: it reports none.
};

struct StoreChange {
  StoreEntry entry;
  bool deleted = false;
};

struct StoreWatchResult {
  std::vector<StoreChange> changes;
  int64_t revision = 0;
  int64_t compacted_revision = 0;  ///< Not 0: re-read, then watch again.
  /// The result contains every change made before this time. Not set by stores
  /// whose watches do not report it.
  TimePoint complete_until;
  uint64_t era = 0;  ///< Of the store; 0: it reports none.
};

/// The request failed. `may_have_applied`: a write may still have taken effect.
struct StoreFailure {
  std::string message;
  bool may_have_applied = false;
  uint64_t era = 0;  ///< 0 also if the store has not responded.
};

using StoreResult = std::variant<StoreRangeResult,
                                 StoreTransactionResult,
                                 StoreLeaseResult,
                                 StoreWatchResult,
                                 StoreFailure>;

/// @return the era of the store that gave the result; 0 if none is known.
inline uint64_t EraOf(const StoreResult& result) {
  return std::visit([](const auto& body) { return body.era; }, result);
}

/// Carries out store requests. One implementation for each kind of service.
class StoreClient {
 public:
  using Callback = std::function<void(StoreRequestId, StoreResult)>;

  virtual ~StoreClient() = default;

  /// Starts a request; the callback is called later on the same thread, once,
  /// and for watches once for each change until it fails or is cancelled.
  /// @param call identifies the request in results.
  /// @param timeout after which the request fails; not used for watches.
  virtual void Start(StoreRequestId call,
                     StoreRequest request,
                     std::chrono::milliseconds timeout) = 0;
};

/// @return the end of the range of all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace comfreylock

#endif  // COMFREYLOCK_STORE_H_
