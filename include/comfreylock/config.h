#ifndef COMFREYLOCK_CONFIG_H_
#define COMFREYLOCK_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Fixed limits of comfreylock with their units. What operators can change is
/// in the bundle or in the settings.
namespace comfreylock {

using namespace std::chrono_literals;

// HTTP.
/// Bytes of a body held before it is streamed; smaller bodies can be retried.
inline constexpr size_t kMaxBufferedBodyBytes = 256 * 1024;
/// Bytes read from a socket at a time while streaming.
inline constexpr size_t kStreamChunkBytes = 64 * 1024;
/// Idle keep-alive connections kept for each peer or target.
inline constexpr size_t kMaxIdleConnectionsPerAddress = 64;
/// Depth of a call chain beyond which calls are refused.
inline constexpr uint32_t kMaxCallDepth = 16;
/// Longest accepted Idempotency-Key and X-Request-Id, characters.
inline constexpr size_t kMaxHeaderTokenLength = 128;

/// Separates a request id from the number that is appended to it if another
/// request with the same id runs on the host.
inline constexpr char kRequestIdSeparator = '~';

// Reducer.
/// Interval of Tick events.
inline constexpr std::chrono::milliseconds kTickInterval = 10ms;
/// Number of importance classes; 0 is the most important.
inline constexpr uint32_t kImportanceClassCount = 4;

// Admission and shedding.
/// Bounds of the number of answers after which the concurrency limit of a
/// target is adjusted: twice the limit, clamped to these bounds. The lower one
/// is small since a target with few slots gives few answers, and a wrong
/// decrease must be corrected within a second.
inline constexpr uint32_t kMaxLimitWindowSamples = 32;
inline constexpr uint32_t kMinLimitWindowSamples = 8;
/// Steps of shed priority within one importance.
inline constexpr uint32_t kShedStepsPerImportance = 8;
/// Highest shed level; priority 0 is never refused by level.
inline constexpr uint32_t kMaxShedLevel =
    kImportanceClassCount * kShedStepsPerImportance - 1;
/// Window over which the queueing delay is measured.
inline constexpr std::chrono::milliseconds kShedWindow = 100ms;
/// Standing queueing delay above which the shed level rises.
inline constexpr std::chrono::milliseconds kShedQueueDelay = 5ms;
/// Time without a new report after which a reported level falls by one step.
inline constexpr std::chrono::seconds kShedLevelDecayInterval = 1s;
/// One of this many refused calls is sent as a probe, since the report that
/// comes with its answer updates the level.
inline constexpr uint32_t kRefusalsPerShedProbe = 50;
/// Longest time between two probes while calls are refused.
inline constexpr std::chrono::milliseconds kMaxShedProbeInterval = 500ms;
/// Downstream services whose levels a report carries.
inline constexpr size_t kMaxReportedServices = 8;

// Throttle at the entry.
/// Window over which the overloaded fraction of ended calls is measured.
inline constexpr std::chrono::milliseconds kThrottleWindow = 100ms;
/// Windows without ended calls after which throttling stops.
inline constexpr int kThrottleExpiryWindows = 20;
/// Overloaded fraction up to which the admitted fraction does not fall, since
/// it may be due to chance.
inline constexpr double kMaxOverloadedFraction = 0.02;
/// The admitted fraction is multiplied by 1 minus this times the overloaded
/// fraction.
inline constexpr double kThrottleDecreaseFactor = 0.5;
/// Lower bound of the admitted fraction.
inline constexpr double kMinAdmittedFraction = 0.02;
/// Increase of the admitted fraction in the first window without overload. It
/// doubles with each further window, up to the maximum.
inline constexpr double kInitialThrottleIncrease = 0.005;
inline constexpr double kMaxThrottleIncrease = 0.25;

// Routing.
/// Attempts of a call that are repeated without using its retry budget, as they
/// reached no target and so caused no load there.
inline constexpr uint32_t kMaxFreeReroutes = 2;
/// Targets of one service that a node sends to.
inline constexpr size_t kMaxTargetsPerService = 20;
/// Of the targets of a service that a node sends to, at least this many are in
/// other zones, as far as available.
inline constexpr size_t kMinRemoteTargetsPerService = 5;
/// Load, as a fraction of the limit, above which traffic goes to other zones.
inline constexpr double kZoneSpillLoadFraction = 0.8;
/// Age above which a target's report counts less.
inline constexpr std::chrono::seconds kReportFreshnessWindow = 1s;
/// Time over which the traffic of a new target rises to that of the others.
inline constexpr std::chrono::seconds kTargetRampWindow = 2s;
/// Consecutive broken attempts after which a target is ejected.
inline constexpr uint32_t kFailuresToEject = 5;
/// Duration of the first ejection of a target; it doubles with each further one
/// up to the maximum.
inline constexpr std::chrono::seconds kMinEjectionTime = 1s;
inline constexpr std::chrono::seconds kMaxEjectionTime = 30s;

// Rate shares.
/// How long a share is valid without renewal.
inline constexpr std::chrono::milliseconds kShareTtl = 6s;
/// The owner counts a share as granted for longer than the node may use it, by
/// 1/8 of the validity, since their clocks may run at different speeds.
inline constexpr int kShareMarginDivisor = 8;
/// Longest validity that an owner may grant while the store does not confirm
/// its ownership, counted from the last confirmation. A new owner waits as long
/// for nodes that have not reported the shares they hold.
inline constexpr std::chrono::milliseconds kMaxUnconfirmedShareTtl = 15min;
/// Interval of regular share requests.
inline constexpr std::chrono::milliseconds kShareRequestInterval = 1s;
/// Minimum interval of urgent share requests.
inline constexpr std::chrono::milliseconds kMinShareRequestInterval = 20ms;
/// Sent share requests whose grants are still accepted.
inline constexpr size_t kMaxPendingShareRequests = 512;
/// Longest time that a call waits for a share.
inline constexpr std::chrono::milliseconds kMaxShareWait = 100ms;
/// Calls of one organisation that wait for a share at a time.
inline constexpr size_t kMaxCallsWaitingForShare = 256;
/// Time constants of two decaying counts of calls. The slow count is the demand
/// estimate; it is set from the fast one if they differ by more than this many
/// standard deviations.
inline constexpr std::chrono::milliseconds kFastDemandWindow = 500ms;
inline constexpr std::chrono::milliseconds kSlowDemandWindow = 5s;
inline constexpr double kDemandChangeDeviations = 3.5;
/// Demand below this counts as none, requests per second.
inline constexpr double kMinDemandPerSecond = 0.01;
/// Growth of demand since the last report that makes a share request urgent.
inline constexpr double kUrgentDemandGrowthRatio = 1.25;
/// Relative difference from the target share that is not corrected at once.
inline constexpr double kShareToleranceFraction = 0.1;

// Operators.
/// Decisions kept for `explain`; about 400 bytes each.
inline constexpr size_t kMaxRecordedDecisions = 8192;

// Log.
/// Log lines with the same event number and reason written in each interval.
inline constexpr uint32_t kMaxLogLinesPerInterval = 50;
inline constexpr std::chrono::milliseconds kLogInterval = 1s;

// Bundle.
/// Members to which a newer version is advertised at once.
inline constexpr size_t kBundleFanOut = 4;
/// Interval at which the version in force is advertised to one member, in case
/// an earlier message was lost.
inline constexpr std::chrono::milliseconds kBundleAdvertisementInterval = 1s;
/// Delay before parts that did not arrive are requested again.
inline constexpr std::chrono::milliseconds kBundlePartRetryInterval = 500ms;

// Retries.
/// Upper bound of the first retry's back-off; the lower bound is 0.
inline constexpr std::chrono::milliseconds kInitialBackoff = 25ms;
inline constexpr std::chrono::milliseconds kMaxBackoff = 1000ms;
/// Range of the random retry hint that a refused caller gets.
inline constexpr std::chrono::milliseconds kMinRetryAfter = 1000ms;
inline constexpr std::chrono::milliseconds kMaxRetryAfter = 5000ms;

// Quarantine.
/// Time for which a request that crashes targets is refused.
inline constexpr std::chrono::minutes kQuarantineTtl = 10min;
/// Fingerprints that a node stores, about 200 bytes each.
inline constexpr size_t kMaxQuarantineEntries = 4096;
/// Crashes stored for one fingerprint.
inline constexpr size_t kMaxCrashesPerFingerprint = 16;

// Claims.
/// Longest time that a draining node waits until the results of its once-only
/// calls are recorded.
inline constexpr std::chrono::milliseconds kClaimDrainTimeout = 5s;
/// Minimum interval of store requests for the claim log of one partition.
inline constexpr std::chrono::milliseconds kClaimWriteInterval = 50ms;
/// Interval at which an entry node resends a claim request, result or release.
inline constexpr std::chrono::milliseconds kClaimRepeatInterval = 100ms;
/// How long a released claim is kept, so that a late grant is released again.
inline constexpr std::chrono::milliseconds kReleasedClaimRetention = 60s;
/// Age at which idempotency keys that contain their time are refused.
inline constexpr std::chrono::milliseconds kMaxClaimKeyAge = 24h;
/// Records are kept longer by this margin, as the wall clocks of owners may
/// differ.
inline constexpr std::chrono::milliseconds kClaimRetentionMargin = 1h;
/// Bytes of one batch; the store holds values up to a megabyte.
inline constexpr size_t kMaxClaimBatchBytes = 512 * 1024;
/// Batches read at a time, so that a page has at most 16 MiB.
inline constexpr int64_t kClaimBatchesPerPage = 32;
/// Old batches that one write deletes.
inline constexpr size_t kMaxClaimBatchesPerDelete = 16;
/// Bytes of all records in one partition's index, beyond which new claims are
/// refused; four partitions at one node stay within the node's 256 MB.
inline constexpr size_t kMaxClaimIndexBytes = size_t{48} << 20;
/// Memory of an index entry beyond its content, bytes.
inline constexpr size_t kClaimRecordOverheadBytes = 200;
/// Longest answer body that is stored for resends of the request, bytes.
inline constexpr size_t kMaxStoredAnswerBytes = 64 * 1024;

}  // namespace comfreylock

#endif  // COMFREYLOCK_CONFIG_H_
