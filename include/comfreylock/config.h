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

}  // namespace comfreylock

#endif  // COMFREYLOCK_CONFIG_H_
