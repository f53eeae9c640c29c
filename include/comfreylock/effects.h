#ifndef COMFREYLOCK_EFFECTS_H_
#define COMFREYLOCK_EFFECTS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "comfreylock/log_event.h"
#include "comfreylock/store.h"
#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Outputs of the reducer, which the runtime carries out.
namespace comfreylock {

/// A refusal as callers and entry nodes see it.
struct Refusal {
  Reason reason = Reason::kInternal;
  Outcome outcome = Outcome::kUnknown;
  std::string detail;                        ///< May be empty.
  std::chrono::milliseconds retry_after{0};  ///< 0: no hint.
};

/// Answers the caller with a problem body.
struct RefuseCall {
  CallId call;
  Refusal refusal;
};

/// Sends the request to the node beside a target.
struct Dispatch {
  CallId call;
  uint32_t attempt = 0;
  NodeId node;
  std::string address;  ///< IP:PORT of the node's peer listener.
  wire::CallContext context;
  TimePoint deadline;
  std::chrono::milliseconds delay{0};  ///< Back-off before sending.
  bool report_answer = false;          ///< Report the answer in AttemptEnded.
};

/// Passes the attempt's answer on to the caller.
struct DeliverAnswer {
  CallId call;
  uint32_t attempt = 0;
};

/// Answers the caller with a recorded answer.
struct ReplayAnswer {
  CallId call;
  wire::StoredAnswer answer;
};

/// Cancels an attempt that is still running.
struct CancelAttempt {
  CallId call;
  uint32_t attempt = 0;
};

/// Sends the request to this host's target.
struct StartWork {
  WorkId work;
  TimePoint deadline;
  /// Request id sent to the target. Unique among the requests that run on
  /// this host, since onward calls are matched to their parent by it.
  std::string request_id;
};

/// Refuses the request and sends the refusal to the entry node.
struct RejectWork {
  WorkId work;
  Refusal refusal;
  wire::AnswerReport report;
};

/// Closes the connection to the target that carries this request.
struct AbortWork {
  WorkId work;
};

struct SendToPeer {
  NodeId node;
  std::string control_address;
  wire::PeerMessage message;
};

struct CallStore {
  StoreRequestId call;
  StoreRequest request;
  std::chrono::milliseconds timeout{1000};
};

/// Writes a numbered event to the log.
struct Log {
  LogCode code;
  std::vector<std::pair<std::string, std::string>> fields;
};

/// The node has nothing left to do and may exit.
struct Exit {};

using Effect = std::variant<RefuseCall,
                            Dispatch,
                            DeliverAnswer,
                            ReplayAnswer,
                            CancelAttempt,
                            StartWork,
                            RejectWork,
                            AbortWork,
                            SendToPeer,
                            CallStore,
                            Log,
                            Exit>;

using Effects = std::vector<Effect>;

}  // namespace comfreylock

#endif  // COMFREYLOCK_EFFECTS_H_
