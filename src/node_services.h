#ifndef COMFREYLOCK_NODE_SERVICES_H_
#define COMFREYLOCK_NODE_SERVICES_H_

#include <string>
#include <string_view>

#include "comfreylock/effects.h"
#include "comfreylock/events.h"
#include "http_io.h"

/// Interface through which the HTTP listeners use the runtime of their node.
namespace comfreylock {

class NodeServices {
 public:
  virtual ~NodeServices() = default;

  /// Passes an event to the reducer and carries out the effects that it
  /// returns. Must not be called while an effect is carried out.
  virtual void Feed(EventBody event) = 0;

  /// @return the report for an answer to `work`.
  virtual wire::AnswerReport ReportFor(WorkId work) const = 0;

  /// Called before the body is read; the decision itself follows from the event
  /// CallArrived.
  /// @return whether the reducer will refuse this request regardless of its
  /// body.
  virtual bool IsRefusedByHead(const RequestSummary& request) const = 0;

  /// @return maximum body size of the request's route, bytes.
  virtual uint64_t MaxBodyBytes(std::string_view method,
                                std::string_view target) const = 0;

  /// @return salt of the bundle in force, hexadecimal.
  virtual std::string KeySalt() const = 0;

  /// @return HMAC-SHA256 of `data` with the fleet's secret as key.
  virtual std::string ComputeMac(std::string_view data) const = 0;

  /// Converts a deadline of the reducer to the clock of Asio's timers.
  virtual IoTimePoint ToIoTimePoint(TimePoint time) const = 0;

  /// @return an identifier that is unique in this process.
  virtual uint64_t NextId() = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_NODE_SERVICES_H_
