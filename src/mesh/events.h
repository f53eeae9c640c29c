#ifndef COMFREYLOCK_MESH_EVENTS_H_
#define COMFREYLOCK_MESH_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "comfreylock/log_event.h"
#include "comfreylock/store.h"
#include "comfreylock/types.h"
#include "generated/mesh.pb.h"
#include "mesh/fleet_config.h"

/// Events that the reducer of a mesh node receives, and effects that it returns
/// for the runtime to carry out.
namespace comfreylock::mesh {

/// A connection between two nodes.
using LinkId = TypedId<struct LinkTag>;

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A decoded request from a caller.
struct CallerRequest {
  std::string host;  ///< Lower case, without port.
  std::string key;   ///< Empty if the caller sent none.
  std::optional<std::chrono::milliseconds> deadline;
  /// Has the request id, method, path, fields and body. The reducer fills in
  /// the rest.
  std::shared_ptr<wire::Forward> forward;
};

// Events.

struct RequestArrived {
  CallId call;
  CallerRequest request;
};

/// The caller closed its connection before it received the answer.
struct CallerDisconnected {
  CallId call;
};

/// A connection to another node is open and the peer's Hello was received.
struct LinkOpened {
  LinkId link;
  wire::Hello peer;
  bool accepted = false;  ///< The peer opened it.
};

/// A connection closed, or could not be opened.
struct LinkClosed {
  LinkId link;
};

struct FrameReceived {
  LinkId link;
  std::shared_ptr<wire::Frame> frame;
};

/// Result of a request that was sent to the target.
struct TargetResult {
  enum class Kind {
    kAnswered,     ///< The target sent a complete answer.
    kShed,         ///< The target states that it has not run the request.
    kWrongTarget,  ///< Another target has the address; not run.
    kNotSent,      ///< No connection; not run.
    /// Connection lost, timeout or invalid answer; may have run.
    kOutcomeUnknown,
    kCancelled,
  };
  Kind kind = Kind::kOutcomeUnknown;
  bool connection_refused = false;  ///< Nothing listens at the address.
  bool success = false;             ///< Status 2xx.
  std::string error;  ///< What was wrong with an invalid answer, if known.
  int status = 0;
  std::string status_text;
  Fields fields;
  std::string body;
};

struct TargetAnswered {
  WorkId work;
  TargetResult result;
};

/// Report that the target beside this node sends about itself.
struct TargetReport {
  std::string id;
  std::string service;
  std::string address;  ///< IP:PORT
  std::string zone;
  uint32_t slots = 0;
  bool leaving = false;
  std::chrono::milliseconds warmup_remaining{0};
  bool states_warmup = false;  ///< False: `warmup_remaining` is unknown.
  uint64_t sequence = 0;  ///< Increases with each report of one incarnation.
  /// Start time of the target, milliseconds; 0 if unknown.
  uint64_t started_at_ms = 0;
};

struct TargetReported {
  TargetReport report;
  /// Answered with `ReplyToReport`; 0 if nobody waits for an answer.
  CallId call;
  /// Time of arrival by the clock of `TargetReport::started_at_ms`; 0: unknown.
  uint64_t received_at_ms = 0;
};

/// The operators' configuration was read from the store, or was received from
/// another node and decoded.
struct ConfigRead {
  std::shared_ptr<const FleetConfig> config;  ///< Null: unchanged.
  TimePoint confirmed_at;  ///< When it was known to be the newest.
  /// Of the store that it was read from; 0 if the store reports none, or if
  /// another node sent the configuration.
  uint64_t store_era = 0;
};

/// The evacuated zones were read from the store.
struct EvacuationsRead {
  uint64_t era = 0;       ///< Restore counter of the store; 0: unknown.
  uint64_t revision = 0;  ///< Revision of the store at which `zones` held.
  std::set<std::string> zones;
};

struct StoreReplied {
  StoreRequestId call;
  StoreResult result;
};

/// Timer event: drives time-outs and periodic work.
struct Tick {
  /// Connections to callers and nodes to which an answer is still being
  /// written.
  size_t unfinished_writes = 0;
};

struct ShutdownRequested {};

using EventBody = std::variant<RequestArrived,
                               CallerDisconnected,
                               LinkOpened,
                               LinkClosed,
                               FrameReceived,
                               TargetAnswered,
                               TargetReported,
                               ConfigRead,
                               EvacuationsRead,
                               StoreReplied,
                               Tick,
                               ShutdownRequested>;

struct Event {
  TimePoint time;
  EventBody body;
};

// Effects.

/// Sends the target's answer to the caller.
struct DeliverAnswer {
  CallId call;
  std::shared_ptr<wire::Outcome> answer;
};

/// Refuses a caller's request, or reports to the caller that it failed.
struct RefuseCall {
  CallId call;
  std::string request_id;
  Reason reason = Reason::kInternal;
  bool not_run = true;  ///< No target has run the request or will run it.
  std::chrono::milliseconds retry_after{0};  ///< 0: not sent.
};

struct OpenLink {
  LinkId link;
  std::string address;
};

struct CloseLink {
  LinkId link;
};

struct SendFrame {
  LinkId link;
  std::shared_ptr<wire::Frame> frame;
};

/// Sends a request to another node.
struct SendForward {
  LinkId link;
  std::shared_ptr<wire::Forward> forward;
};

/// Sends a request to this host's target.
struct RunOnTarget {
  WorkId work;
  std::string target_id;
  TimePoint deadline;
  std::shared_ptr<wire::Forward> forward;
};

/// Aborts a request that runs on the target.
struct AbortOnTarget {
  WorkId work;
};

/// Answers a report of the target.
struct ReplyToReport {
  CallId call;
  /// False: what the target announced could not be written to the store in
  /// time, so that it has to report it again.
  bool confirmed = true;
};

/// Sends a request to the store. The result comes back as `StoreReplied`.
struct CallStore {
  StoreRequestId call;
  StoreRequest request;
  std::chrono::milliseconds timeout{0};
};

/// Decodes a configuration that another node sent, and returns it to the
/// reducer as `ConfigRead`.
struct DecodeConfig {
  std::string text;
  NodeId from;
};

/// Writes one line to the log.
struct WriteLogLine {
  LogCode code;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// Ends the process: shutdown is complete or its time is used up. What was
/// handed to connections before is delivered first.
struct Exit {
  TimePoint deadline;  ///< Time for that; the process is killed shortly after.
};

using Effect = std::variant<DeliverAnswer,
                            RefuseCall,
                            OpenLink,
                            CloseLink,
                            SendFrame,
                            SendForward,
                            RunOnTarget,
                            AbortOnTarget,
                            ReplyToReport,
                            CallStore,
                            DecodeConfig,
                            WriteLogLine,
                            Exit>;

using Effects = std::vector<Effect>;

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_EVENTS_H_
