#ifndef COMFREYLOCK_EVENTS_H_
#define COMFREYLOCK_EVENTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfreylock/bundle.h"
#include "comfreylock/store.h"
#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Inputs of the reducer.
namespace comfreylock {

/// The parts of a caller's request that the reducer needs for its decisions.
struct RequestSummary {
  std::string method;
  std::string request_target;
  std::optional<PresentedKey> key;
  std::string idempotency_key;
  std::string request_id;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<uint64_t> body_size;  ///< Unknown for chunked bodies.
  bool body_complete = false;         ///< The whole body is buffered.
  std::string body_digest;  ///< SHA-256, when the whole body is buffered.
  bool onward = false;      ///< Came from this host's own target.
};

/// A caller's request arrived at this node.
struct CallArrived {
  CallId call;
  RequestSummary request;
};

/// How an attempt ended.
enum class AttemptResult {
  kAnswered,  ///< A complete answer, or the head of a streamed one.
  kRefused,   ///< The target's node refused it; see the report.
  kNotSent,   ///< Nothing of the request left this node.
  kBroken,    ///< The connection broke after the request was sent.
  kTimedOut,
  kMismatchedAnswer,  ///< The answer was for another request.
};

/// An attempt to reach a target's node ended.
struct AttemptEnded {
  CallId call;
  uint32_t attempt = 0;
  AttemptResult kind = AttemptResult::kBroken;
  int status = 0;             ///< HTTP status of an answer.
  wire::AnswerReport report;  ///< Empty unless the node answered.
  std::chrono::microseconds latency{0};
  bool body_sent = false;                    ///< Streamed body bytes were sent.
  std::optional<wire::StoredAnswer> answer;  ///< For once-only routes.
};

/// The caller closed its connection.
struct CallerDisconnected {
  CallId call;
};

/// The call is over. `complete`: the complete answer was sent to the caller.
struct CallFinished {
  CallId call;
  bool complete = false;
};

/// Another node asks this node to run a request on its target.
struct WorkArrived {
  WorkId work;
  wire::CallContext context;
};

/// How a request at the target ended.
enum class WorkResult {
  kCompleted,     ///< A complete answer.
  kTargetShed,    ///< The target answered 503 or 429.
  kNotConnected,  ///< Nothing was sent to the target.
  kBroken,        ///< The connection broke after the request was sent.
  kBadAnswer,     ///< Truncated or mismatched; the target still accepts
                  ///< connections.
  kTimedOut,
  kCancelled,
};

struct WorkEnded {
  WorkId work;
  WorkResult result = WorkResult::kBroken;
  /// A new connection to the target was refused.
  bool target_refuses_connections = false;
};

/// The entry node closed the connection.
struct WorkCancelled {
  WorkId work;
};

/// An authenticated control message.
struct PeerMessageReceived {
  NodeId from;
  std::string control_address;
  uint64_t incarnation = 0;
  wire::PeerMessage message;
};

/// A store request succeeded or failed, or a watch reported changes.
struct StoreAnswered {
  StoreRequestId call;
  StoreResult result;
};

/// Sent every `kTickInterval`.
struct Tick {};

/// Graceful shutdown was requested.
struct DrainRequested {};

using EventBody = std::variant<CallArrived,
                               AttemptEnded,
                               CallerDisconnected,
                               CallFinished,
                               WorkArrived,
                               WorkEnded,
                               WorkCancelled,
                               PeerMessageReceived,
                               StoreAnswered,
                               Tick,
                               DrainRequested>;

/// An event and when it happened.
struct Event {
  TimePoint time;
  WallTime wall_time;
  EventBody body;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_EVENTS_H_
