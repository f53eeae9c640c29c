#ifndef COMFREYLOCK_PEER_CONTEXT_H_
#define COMFREYLOCK_PEER_CONTEXT_H_

#include <chrono>
#include <optional>

#include "node_services.h"

/// The header fields that nodes add to requests and answers between them.
namespace comfreylock {

/// Adds the authenticated context of a call to a request between nodes.
void SetContext(http::fields& fields,
                const wire::CallContext& context,
                const NodeServices& node);

/// @return the context, or nothing if it is missing or not authentic.
std::optional<wire::CallContext> ReadContext(const http::fields& fields,
                                             const NodeServices& node);

/// Adds the report to an answer between nodes.
void SetReport(http::fields& fields, const wire::AnswerReport& report);

/// @return the report; empty if there is none.
wire::AnswerReport ReadReport(const http::fields& fields);

/// @return the time left until `deadline`, at least 0.
std::chrono::milliseconds TimeLeft(const NodeServices& node,
                                   TimePoint deadline);

}  // namespace comfreylock

#endif  // COMFREYLOCK_PEER_CONTEXT_H_
