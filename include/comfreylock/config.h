#ifndef COMFREYLOCK_CONFIG_H_
#define COMFREYLOCK_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every fixed limit of comfreylock, each with its unit. What operators change
/// stands in the bundle or in the settings instead.
namespace comfreylock {

using namespace std::chrono_literals;

// HTTP.
/// Bytes of a body held before it is streamed; smaller bodies can be retried.
inline constexpr size_t kBufferedBodyBytes = 256 * 1024;
/// Bytes read from a socket at a time while streaming.
inline constexpr size_t kStreamChunkBytes = 64 * 1024;
/// Idle keep-alive connections kept for each peer or target.
inline constexpr size_t kIdleConnectionsPerAddress = 64;
/// Depth of a call chain beyond which calls are refused.
inline constexpr uint32_t kMaxDepth = 16;
/// Longest accepted Idempotency-Key and X-Request-Id, characters.
inline constexpr size_t kMaxTokenLength = 128;

// Reducer.
/// Interval of Tick events.
inline constexpr std::chrono::milliseconds kTickInterval = 10ms;
/// Number of importance classes; 0 is the most important.
inline constexpr uint32_t kImportanceClasses = 4;

// Rate shares.
/// How long a share is valid without renewal.
inline constexpr std::chrono::milliseconds kShareValidity = 6s;
/// The owner waits longer than the node by 1/8, in case their clocks run at
/// different speeds.
inline constexpr int kShareMarginDivisor = 8;
/// Longest validity that an owner without confirmation may grant, counted from
/// its last confirmation; also how long a new owner waits for missing reports.
inline constexpr std::chrono::milliseconds kShareHold = 15min;
/// Interval of share requests, and the least interval of urgent ones.
inline constexpr std::chrono::milliseconds kShareRequestInterval = 1s;
inline constexpr std::chrono::milliseconds kShareRequestLeast = 20ms;
/// Requests whose grants are still accepted.
inline constexpr size_t kShareRequestsKept = 512;
/// Longest wait of a call for a share, and calls that wait per organisation.
inline constexpr std::chrono::milliseconds kShareWait = 100ms;
inline constexpr size_t kMaxWaitingForShare = 256;
/// Time constants of the demand estimate. The slow count is the estimate; it
/// follows the fast one when they differ by this many standard deviations.
inline constexpr std::chrono::milliseconds kDemandFast = 500ms;
inline constexpr std::chrono::milliseconds kDemandSlow = 5s;
inline constexpr double kDemandDeviations = 3.5;
/// Demand below this counts as none, requests per second.
inline constexpr double kLeastDemand = 0.01;
/// Growth of demand after which a node asks at once.
inline constexpr double kDemandGrowth = 1.25;
/// Difference from the wanted share that is not corrected at once.
inline constexpr double kShareSlack = 0.1;

// Claims.
/// Longest wait of a leaving node until the results of its calls are recorded.
inline constexpr std::chrono::milliseconds kDrainForClaims = 5s;
/// Least interval of store requests for one partition's log.
inline constexpr std::chrono::milliseconds kClaimWriteInterval = 50ms;
/// Interval at which an entry repeats a request, result or release.
inline constexpr std::chrono::milliseconds kClaimRepeat = 100ms;
/// How long a released claim is remembered to release late grants again.
inline constexpr std::chrono::milliseconds kClaimKeptClosed = 60s;
/// Age at which keys that carry their time are refused.
inline constexpr std::chrono::milliseconds kClaimWindow = 24h;
/// Records are kept longer by this, as the wall clocks of owners may differ.
inline constexpr std::chrono::milliseconds kClaimMargin = 1h;
/// Bytes of one batch; the store holds values up to a megabyte.
inline constexpr size_t kMaxClaimBatchBytes = 512 * 1024;
/// Batches read at a time; a page holds at most 16 MiB.
inline constexpr int64_t kClaimPageBatches = 32;
/// Old batches that one write deletes.
inline constexpr size_t kClaimBatchesDeletedAtOnce = 16;
/// Bytes of all records in one partition's index, beyond which new claims are
/// refused; four partitions at one node stay within its 256 MB.
inline constexpr size_t kMaxClaimIndexBytes = size_t{48} << 20;
/// Memory of an index entry beyond its content, bytes.
inline constexpr size_t kClaimRecordOverheadBytes = 200;
/// Longest answer body that is kept for resends, bytes.
inline constexpr size_t kMaxKeptAnswerBytes = 64 * 1024;

}  // namespace comfreylock

#endif  // COMFREYLOCK_CONFIG_H_
