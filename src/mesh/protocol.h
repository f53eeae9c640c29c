#ifndef COMFREYLOCK_MESH_PROTOCOL_H_
#define COMFREYLOCK_MESH_PROTOCOL_H_

#include <chrono>
#include <optional>

#include "mesh/events.h"
#include "mesh/http_types.h"

/// Interfaces that convert between HTTP messages and the reducer's types.
namespace comfreylock::mesh {

/// Decodes requests of callers and encodes the answers to them.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  /// @return the decoded request, or nothing if it is malformed.
  virtual std::optional<CallerRequest> Decode(HttpRequest request) const = 0;

  /// @return the HTTP answer for a target's answer.
  virtual HttpAnswer Encode(const DeliverAnswer& answer) const = 0;

  /// @return the HTTP answer for a refusal.
  virtual HttpAnswer Encode(const RefuseCall& refusal) const = 0;
};

/// Encodes requests to targets and decodes their answers.
class TargetProtocol {
 public:
  virtual ~TargetProtocol() = default;

  /// @param remaining time until the request's deadline.
  virtual HttpRequest Encode(const RunOnTarget& run,
                             std::chrono::milliseconds remaining) const = 0;

  /// @param first whether the request is the first one on its connection.
  /// @return how `answer` relates to this request.
  virtual AnswerMatch Match(const HttpAnswer& answer,
                            const wire::Forward& request,
                            bool first) const = 0;

  /// @return the result of the request according to the target's answer.
  virtual TargetResult Decode(HttpAnswer answer,
                              const wire::Forward& request) const = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_PROTOCOL_H_
