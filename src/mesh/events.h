#ifndef COMFREYLOCK_MESH_EVENTS_H_
#define COMFREYLOCK_MESH_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfreylock/log_event.h"
#include "comfreylock/store.h"
#include "comfreylock/types.h"
#include "generated/mesh.pb.h"
#include "mesh/fleet_config.h"

/// What the reducer of a mesh node is told, and what it asks the shell to do.
namespace comfreylock::mesh {

/// A connection between two nodes.
using LinkId = Handle<struct LinkTag>;

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A caller's request, decoded.
struct CallerRequest {
  std::string host;  ///< Lower case, without port.
  std::string key;   ///< Empty if the caller sent none.
  std::optional<std::chrono::milliseconds> deadline;
  /// Request id, method, path, fields and body; the rest is filled in by the
  /// reducer.
  std::shared_ptr<wire::Forward> forward;
};

// Events.

struct RequestArrived {
  CallId call;
  CallerRequest request;
};

/// The caller closed its connection before the answer.
struct CallerLeft {
  CallId call;
};

/// A connection to another node was made or accepted, after its Hello.
struct LinkOpened {
  LinkId link;
  wire::Hello peer;
  bool accepted = false;  ///< The other node made it.
};

/// A connection ended, or could not be made.
struct LinkClosed {
  LinkId link;
};

struct FrameReceived {
  LinkId link;
  std::shared_ptr<wire::Frame> frame;
};

/// How the target dealt with a request.
struct TargetResult {
  enum class Kind {
    kAnswered,     ///< A whole answer of the target.
    kShed,         ///< The target says that it has not run the request.
    kWrongTarget,  ///< Another target has the address; it has not run.
    kNotSent,      ///< No connection could be made.
    kBroken,       ///< Cut, silent, or not an answer; it may have run.
    kCancelled,
  };
  Kind kind = Kind::kBroken;
  bool connection_refused = false;  ///< Nothing listens at the address.
  bool success = false;             ///< Status 2xx.
  int status = 0;
  std::string status_text;
  Fields fields;
  std::string body;
};

struct TargetAnswered {
  WorkId work;
  TargetResult result;
};

/// What the target beside this node says of itself.
struct TargetReport {
  std::string id;
  std::string service;
  std::string address;  ///< IP:PORT
  std::string zone;
  uint32_t slots = 0;
  bool leaving = false;
  std::chrono::milliseconds warmup_left{0};
  uint64_t sequence = 0;  ///< Rises with each report of one start.
  uint64_t born = 0;      ///< Start time, milliseconds; 0 if not told.
};

struct TargetReported {
  TargetReport report;
};

/// The operators' configuration was read from the store.
struct ConfigRead {
  std::shared_ptr<const FleetConfig> config;  ///< Null: as before.
  TimePoint confirmed;  ///< It was the newest at this time.
};

struct StoreReplied {
  StoreCallId call;
  StoreResult result;
};

struct TimePassed {};

struct ShutdownRequested {};

using EventBody = std::variant<RequestArrived,
                               CallerLeft,
                               LinkOpened,
                               LinkClosed,
                               FrameReceived,
                               TargetAnswered,
                               TargetReported,
                               ConfigRead,
                               StoreReplied,
                               TimePassed,
                               ShutdownRequested>;

struct Event {
  TimePoint time;
  EventBody body;
};

// Effects.

/// Passes the target's answer on to the caller.
struct DeliverAnswer {
  CallId call;
  std::shared_ptr<wire::Outcome> answer;
};

/// Answers the caller without the target.
struct RefuseCaller {
  CallId call;
  std::string request_id;
  Reason reason = Reason::kInternal;
  bool not_run = true;  ///< No target has run the request or ever will.
  std::chrono::milliseconds retry_after{0};  ///< 0: no hint.
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

/// Breaks off a request at the target.
struct AbortOnTarget {
  WorkId work;
};

struct AskStore {
  StoreCallId call;
  StoreRequest request;
  std::chrono::milliseconds timeout{0};
};

/// Another node handed on a configuration: decodes it and feeds it back.
struct DecodeConfig {
  std::string text;
  NodeId from;
};

struct WriteLine {
  LogCode code;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// The node has nothing left to do.
struct Stop {};

using Effect = std::variant<DeliverAnswer,
                            RefuseCaller,
                            OpenLink,
                            CloseLink,
                            SendFrame,
                            SendForward,
                            RunOnTarget,
                            AbortOnTarget,
                            AskStore,
                            DecodeConfig,
                            WriteLine,
                            Stop>;

using Effects = std::vector<Effect>;

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_EVENTS_H_
