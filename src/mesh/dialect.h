#ifndef COMFREYLOCK_MESH_DIALECT_H_
#define COMFREYLOCK_MESH_DIALECT_H_

#include <chrono>
#include <optional>

#include "mesh/events.h"
#include "mesh/http_types.h"

/// How callers and targets spell what the reducer needs to know.
namespace comfreylock::mesh {

/// Requests of callers, and answers to them.
class CallerDialect {
 public:
  virtual ~CallerDialect() = default;

  /// @return the decoded request, or nothing if it is malformed.
  virtual std::optional<CallerRequest> Decode(HttpRequest request) const = 0;

  /// @return the target's answer as the caller gets it.
  virtual HttpAnswer Encode(const DeliverAnswer& answer) const = 0;

  /// @return a refusal as the caller gets it.
  virtual HttpAnswer Encode(const RefuseCaller& refusal) const = 0;
};

/// Requests to targets, and their answers.
class TargetDialect {
 public:
  virtual ~TargetDialect() = default;

  /// @param left time until the request's deadline.
  virtual HttpRequest Encode(const RunOnTarget& run,
                             std::chrono::milliseconds left) const = 0;

  /// @return whether `answer` is the one to this request.
  virtual bool IsAnswerTo(const HttpAnswer& answer,
                          const wire::Forward& request) const = 0;

  /// @return what an answer of the target says of the request.
  virtual TargetResult Decode(HttpAnswer answer,
                              const wire::Forward& request) const = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_DIALECT_H_
