#ifndef COMFREYLOCK_LOG_EVENT_H_
#define COMFREYLOCK_LOG_EVENT_H_

#include <span>
#include <string>
#include <string_view>

/// Numbered log events. The catalogue is docs/log-events.md.
namespace comfreylock {

/// Numbers are never reused. 1xx node, 2xx calls, 3xx work, 4xx store,
/// 5xx peers and membership, 6xx bundle, 7xx rate and claims.
enum class LogCode {
  kNodeStarted = 100,
  kNodeDraining = 101,
  kNodeStopped = 102,
  kSettingsInvalid = 103,
  kSettingsReloaded = 104,
  kLinesDropped = 105,
  kMemoryPressureEntered = 106,
  kMemoryPressureLeft = 107,
  kRequestsEnded = 108,
  kCallRefused = 200,
  kCallRetried = 201,
  kAttemptFailed = 202,
  kAnswerCut = 203,
  kWorkRejected = 300,
  kTargetCrashed = 301,
  kRequestQuarantined = 302,
  kTargetChanged = 303,
  kReportIgnored = 304,
  kWarmupLimitReached = 305,
  kStoreFailed = 400,
  kStoreRecovered = 401,
  kStoreEraChanged = 402,
  kMemberChanged = 500,
  kLinkOpened = 501,
  kLinkLost = 502,
  kEvacuationEntered = 503,
  kEvacuationLeft = 504,
  kPartitionTaken = 510,
  kPartitionLost = 511,
  kBundleInForce = 600,
  kBundleRejected = 601,
  kConfigInForce = 602,
  kConfigRejected = 603,
  kConfigUnconfirmed = 604,
  kConfigConfirmed = 605,
};

enum class LogLevel { kInfo, kWarning, kError };

/// One entry of the catalogue.
struct LogEventInfo {
  LogCode code;
  LogLevel level;
  std::string_view name;
  std::string_view meaning;
};

/// @return all events, ordered by number.
std::span<const LogEventInfo> LogCatalogue();

/// @return the text of docs/log-events.md.
std::string LogCatalogueMarkdown();

/// @return the catalogue entry of `code`.
const LogEventInfo& InfoOf(LogCode code);

}  // namespace comfreylock

#endif  // COMFREYLOCK_LOG_EVENT_H_
