#include "comfreylock/log_event.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace comfreylock {
namespace {

constexpr LogEventInfo kCatalogue[] = {
    {LogCode::kNodeStarted, LogLevel::kInfo, "node_started",
     "The node listens and takes part in the fleet."},
    {LogCode::kNodeDraining, LogLevel::kInfo, "node_draining",
     "Graceful shutdown began; no new calls are taken."},
    {LogCode::kNodeStopped, LogLevel::kInfo, "node_stopped",
     "All requests in flight ended and the node exits."},
    {LogCode::kSettingsInvalid, LogLevel::kError, "settings_invalid",
     "The settings file was refused; the node did not start."},
    {LogCode::kCallRefused, LogLevel::kInfo, "call_refused",
     "A caller's request was refused."},
    {LogCode::kCallRetried, LogLevel::kInfo, "call_retried",
     "A request is tried again on another target."},
    {LogCode::kAttemptFailed, LogLevel::kWarning, "attempt_failed",
     "An attempt to reach a target's node failed."},
    {LogCode::kWorkRejected, LogLevel::kInfo, "work_rejected",
     "Admission refused a request before it was started."},
    {LogCode::kTargetCrashed, LogLevel::kWarning, "target_crashed",
     "The target broke connections and accepts no new ones."},
    {LogCode::kRequestQuarantined, LogLevel::kWarning, "request_quarantined",
     "A request that crashed targets is refused for a while."},
    {LogCode::kStoreFailed, LogLevel::kWarning, "store_failed",
     "The store cannot be reached."},
    {LogCode::kStoreRecovered, LogLevel::kInfo, "store_recovered",
     "The store can be reached again."},
    {LogCode::kMemberChanged, LogLevel::kInfo, "member_changed",
     "A member joined, left, is suspected or dead."},
    {LogCode::kPartitionTaken, LogLevel::kInfo, "partition_taken",
     "This node owns a partition of organisations and once-only keys."},
    {LogCode::kPartitionLost, LogLevel::kWarning, "partition_lost",
     "The store or a successor ended this node's ownership of a partition."},
    {LogCode::kBundleInForce, LogLevel::kInfo, "bundle_in_force",
     "A newer bundle is in force on this node."},
    {LogCode::kBundleRejected, LogLevel::kError, "bundle_rejected",
     "A bundle was refused; the one before stays in force."},
};

}  // namespace

std::span<const LogEventInfo> LogCatalogue() {
  return kCatalogue;
}

const LogEventInfo& InfoOf(LogCode code) {
  const auto* found = std::ranges::find(kCatalogue, code, &LogEventInfo::code);
  if (found == std::end(kCatalogue))
    throw std::logic_error("log event is not in the catalogue");
  return *found;
}

}  // namespace comfreylock
