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
     "The node exits; tells what is unfinished then and how long after the "
     "shutdown request."},
    {LogCode::kSettingsInvalid, LogLevel::kError, "settings_invalid",
     "The settings file was refused; the node did not start."},
    {LogCode::kSettingsReloaded, LogLevel::kInfo, "settings_reloaded",
     "The settings file was read again."},
    {LogCode::kLinesDropped, LogLevel::kWarning, "lines_dropped",
     "Log lines were dropped because the log's volume is bounded."},
    {LogCode::kMemoryPressureEntered, LogLevel::kWarning,
     "memory_pressure_entered",
     "The bytes held are near their limit; large bodies are refused, and those "
     "that have stalled are abandoned."},
    {LogCode::kMemoryPressureLeft, LogLevel::kInfo, "memory_pressure_left",
     "The bytes held are well below their limit again."},
    {LogCode::kRequestsEnded, LogLevel::kWarning, "requests_ended",
     "A stopping node ended the requests that remained shortly before its "
     "exit."},
    {LogCode::kCallRefused, LogLevel::kInfo, "call_refused",
     "A caller's request was refused; cause is the reason of its last result "
     "without an answer."},
    {LogCode::kCallRetried, LogLevel::kInfo, "call_retried",
     "A request is tried again on another target."},
    {LogCode::kAttemptFailed, LogLevel::kWarning, "attempt_failed",
     "An attempt to reach a target's node failed."},
    {LogCode::kAnswerCut, LogLevel::kWarning, "answer_cut",
     "The connection of a caller ended before the answer was written to it "
     "completely, or this node ended it before there was an answer."},
    {LogCode::kWorkRejected, LogLevel::kInfo, "work_rejected",
     "Admission refused a request before it was started."},
    {LogCode::kTargetCrashed, LogLevel::kWarning, "target_crashed",
     "The target broke connections and accepts no new ones."},
    {LogCode::kRequestQuarantined, LogLevel::kWarning, "request_quarantined",
     "A request that crashed targets is refused for a while."},
    {LogCode::kTargetChanged, LogLevel::kInfo, "target_changed",
     "The target beside this node started, stopped, leaves or is gone."},
    {LogCode::kReportIgnored, LogLevel::kWarning, "report_ignored",
     "A target's report could not be read, is old, or names another target."},
    {LogCode::kWarmupLimitReached, LogLevel::kWarning, "warmup_limit_reached",
     "Requests were refused because the target is cold; at most one line a "
     "second."},
    {LogCode::kStoreFailed, LogLevel::kWarning, "store_failed",
     "The store cannot be reached."},
    {LogCode::kStoreRecovered, LogLevel::kInfo, "store_recovered",
     "The store can be reached again."},
    {LogCode::kStoreEraChanged, LogLevel::kWarning, "store_era_changed",
     "The store was restored to an older state; the node writes its records "
     "again."},
    {LogCode::kMemberChanged, LogLevel::kInfo, "member_changed",
     "A member joined, left, is suspected or dead."},
    {LogCode::kLinkOpened, LogLevel::kInfo, "link_opened",
     "A connection to another node was made."},
    {LogCode::kLinkLost, LogLevel::kWarning, "link_lost",
     "A connection to another node ended (closed, silent, replaced), could not "
     "be made (refused) or led to another node (wrong_peer). One that the "
     "other "
     "node opened is logged if works are cancelled because of it."},
    {LogCode::kEvacuationEntered, LogLevel::kWarning, "evacuation_entered",
     "The operator evacuates a zone: its targets get no new requests."},
    {LogCode::kEvacuationLeft, LogLevel::kInfo, "evacuation_left",
     "The evacuation of a zone ended: its targets are used again."},
    {LogCode::kPartitionTaken, LogLevel::kInfo, "partition_taken",
     "This node owns a partition of organisations and once-only keys."},
    {LogCode::kPartitionLost, LogLevel::kWarning, "partition_lost",
     "The store or a successor ended this node's ownership of a partition."},
    {LogCode::kBundleInForce, LogLevel::kInfo, "bundle_in_force",
     "A newer bundle is in force on this node."},
    {LogCode::kBundleRejected, LogLevel::kError, "bundle_rejected",
     "A bundle was refused; the one before stays in force."},
    {LogCode::kConfigInForce, LogLevel::kInfo, "config_in_force",
     "A newer configuration is in force on this node."},
    {LogCode::kConfigRejected, LogLevel::kError, "config_rejected",
     "A configuration could not be read; the one before stays in force."},
    {LogCode::kConfigUnconfirmed, LogLevel::kWarning, "config_unconfirmed",
     "Nobody confirmed for too long that the configuration is the newest; "
     "requests with keys are refused."},
    {LogCode::kConfigConfirmed, LogLevel::kInfo, "config_confirmed",
     "The configuration is known to be the newest again."},
};

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

}  // namespace

std::span<const LogEventInfo> LogCatalogue() {
  return kCatalogue;
}

std::string LogCatalogueMarkdown() {
  std::string text =
      "# Log events\n\n"
      "Each line is `time level number name field=value ...`. Numbers are "
      "never reused.\nRepeats of one number and reason are counted: "
      "`number name repeated=COUNT`.\n\n"
      "This page is printed by `comfreylock-node --print-log-events`.\n\n"
      "| number | level | name | meaning |\n|---|---|---|---|\n";
  for (const auto& info : kCatalogue) {
    text += "| " + std::to_string(static_cast<int>(info.code)) + " | " +
            std::string(NameOf(info.level)) + " | " + std::string(info.name) +
            " | " + std::string(info.meaning) + " |\n";
  }
  return text;
}

const LogEventInfo& InfoOf(LogCode code) {
  const auto* found = std::ranges::find(kCatalogue, code, &LogEventInfo::code);
  if (found == std::end(kCatalogue))
    throw std::logic_error("log event is not in the catalogue");
  return *found;
}

}  // namespace comfreylock
