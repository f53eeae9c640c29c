#ifndef COMFREYLOCK_NODE_HOST_H_
#define COMFREYLOCK_NODE_HOST_H_

#include <string>
#include <string_view>

#include "comfreylock/effects.h"
#include "comfreylock/events.h"
#include "http_io.h"

/// What the listeners need from the process they run in.
namespace comfreylock {

class NodeHost {
 public:
  virtual ~NodeHost() = default;

  /// Hands an event to the reducer and carries out its effects. Must not be
  /// called from within an effect.
  virtual void Feed(EventBody event) = 0;

  /// @return the report for an answer to `work`.
  virtual wire::AnswerReport ReportFor(WorkId work) const = 0;

  /// Answers before the body is read; the reducer decides afterwards.
  /// @return whether the reducer refuses such a request whatever its body is.
  virtual bool RefusedByHead(const RequestSummary& request) const = 0;

  /// @return largest body that the request's route accepts, bytes.
  virtual uint64_t BodyLimit(std::string_view method,
                             std::string_view target) const = 0;

  /// @return salt of the bundle in force, hexadecimal.
  virtual std::string KeySalt() const = 0;

  /// @return HMAC of `data` under the fleet's secret.
  virtual std::string Authenticate(std::string_view data) const = 0;

  /// Converts a deadline of the reducer to the clock of Asio's timers.
  virtual IoDeadline ToIoDeadline(TimePoint time) const = 0;

  /// @return an identifier that is unique in this process.
  virtual uint64_t NextId() = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_NODE_HOST_H_
