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

/// Joins a request id and a number where the id is taken on a host already.
inline constexpr char kRequestIdMark = '~';

// Reducer.
/// Interval of Tick events.
inline constexpr std::chrono::milliseconds kTickInterval = 10ms;
/// Number of importance classes; 0 is the most important.
inline constexpr uint32_t kImportanceClasses = 4;

// Admission and shedding.
/// Answers needed before the limit of a target is judged: twice the limit
/// within these bounds. A target with few slots gives few answers, and a wrong
/// decrease must be noticed within a second.
inline constexpr uint32_t kLimitWindowSamples = 32;
inline constexpr uint32_t kLeastLimitWindowSamples = 8;
/// Steps of shed priority within one importance.
inline constexpr uint32_t kShedSteps = 8;
/// Highest shed level; priority 0 is never refused by level.
inline constexpr uint32_t kMaxShedLevel = kImportanceClasses * kShedSteps - 1;
/// Window over which the queueing delay is judged.
inline constexpr std::chrono::milliseconds kShedWindow = 100ms;
/// Standing queueing delay above which the shed level rises.
inline constexpr std::chrono::milliseconds kShedDelay = 5ms;
/// Time without news after which a learnt level falls by one step.
inline constexpr std::chrono::seconds kShedDecay = 1s;
/// One in so many refused calls is let through to keep the level fresh.
inline constexpr uint32_t kShedProbeInterval = 50;
/// Longest time between such calls while calls are refused.
inline constexpr std::chrono::milliseconds kShedProbeTime = 500ms;
/// Services further down whose levels a report carries.
inline constexpr size_t kReportedServices = 8;

// Throttle at the entry.
/// Window over which the overloaded share of ended calls is judged.
inline constexpr std::chrono::milliseconds kThrottleWindow = 100ms;
/// Windows without news after which nothing is throttled any more.
inline constexpr int kThrottleMemory = 20;
/// Overloaded share that is taken for chance.
inline constexpr double kThrottleTolerance = 0.02;
/// Part of the overloaded share by which the admitted share falls.
inline constexpr double kThrottleGain = 0.5;
inline constexpr double kThrottleLeastShare = 0.02;
/// Rise of the admitted share in the first window without overload.
inline constexpr double kThrottleFirstStep = 0.005;
inline constexpr double kThrottleLargestStep = 0.25;

// Routing.
/// Attempts that reached no target and are made again without a retry of the
/// budget, since no target worked for them.
inline constexpr uint32_t kFreeReroutes = 2;
/// Targets of one service that a node sends to.
inline constexpr size_t kTargetsPerService = 20;
/// Of these, at least so many are in other zones if there are any.
inline constexpr size_t kRemoteTargetsPerService = 5;
/// Share of the limit above which traffic spills to other zones.
inline constexpr double kSpillLoad = 0.8;
/// Age above which a target's report counts less.
inline constexpr std::chrono::seconds kReportFresh = 1s;
/// Time over which a new target gets its full part of the traffic.
inline constexpr std::chrono::seconds kRouteRamp = 2s;
/// Consecutive broken attempts after which a target is ejected.
inline constexpr uint32_t kEjectAfter = 5;
inline constexpr std::chrono::seconds kShortestEjection = 1s;
inline constexpr std::chrono::seconds kLongestEjection = 30s;
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
// Operators.
/// Decisions kept for `explain`; about 400 bytes each.
inline constexpr size_t kDecisionsKept = 8192;

// Log.
/// Lines of one number and reason written in each interval.
inline constexpr uint32_t kLogLinesPerKind = 50;
inline constexpr std::chrono::milliseconds kLogInterval = 1s;

// Bundle.
/// Members that are told at once of a newer version.
inline constexpr size_t kBundleFanOut = 4;
/// Interval at which one member is told the version in force; closes gaps.
inline constexpr std::chrono::milliseconds kBundleTellInterval = 1s;
/// Pause before parts that did not arrive are asked for again.
inline constexpr std::chrono::milliseconds kBundlePartRetry = 500ms;

// Retries.
/// Upper end of the first retry's back-off, which is drawn from 0.
inline constexpr std::chrono::milliseconds kShortestBackoff = 25ms;
inline constexpr std::chrono::milliseconds kLongestBackoff = 1000ms;
/// Range over which hints to refused callers are spread.
inline constexpr std::chrono::milliseconds kShortestRetryAfter = 1000ms;
inline constexpr std::chrono::milliseconds kLongestRetryAfter = 5000ms;

// Quarantine.
/// Time for which a request that crashes targets is refused.
inline constexpr std::chrono::minutes kQuarantineTime = 10min;
/// Fingerprints that a node remembers, about 200 bytes each.
inline constexpr size_t kMaxQuarantineEntries = 4096;
/// Crashes remembered for one fingerprint.
inline constexpr size_t kCrashesPerFingerprint = 16;

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
