#ifndef COMFREYLOCK_HTTP_PROBLEM_H_
#define COMFREYLOCK_HTTP_PROBLEM_H_

#include <string>
#include <string_view>

#include "comfreylock/effects.h"
#include "http_io.h"

/// Refusals as HTTP answers with a problem body (RFC 9457).
namespace comfreylock {

/// An answer with its complete body in memory.
struct SimpleAnswer {
  ResponseHead head;
  std::string body;
};

/// @return the answer that reports `refusal` to a caller.
SimpleAnswer ProblemAnswer(const Refusal& refusal,
                           std::string_view request_id,
                           bool keep_alive);

/// @param bodiless omit the body: the request was a HEAD, or the status allows
/// none.
/// @param timeout maximum time for writing the head, and for each piece of the
/// body; without it, the expiry already set on `stream` applies.
asio::awaitable<void> WriteSimpleAnswer(
    beast::tcp_stream& stream,
    SimpleAnswer answer,
    bool bodiless,
    std::optional<std::chrono::milliseconds> timeout = {});

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_PROBLEM_H_
