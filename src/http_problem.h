#ifndef COMFREYLOCK_HTTP_PROBLEM_H_
#define COMFREYLOCK_HTTP_PROBLEM_H_

#include <string>
#include <string_view>

#include "comfreylock/effects.h"
#include "http_io.h"

/// Refusals as HTTP answers with a problem body (RFC 9457).
namespace comfreylock {

/// A whole small answer.
struct SimpleAnswer {
  ResponseHead head;
  std::string body;
};

/// @return the answer that tells a caller of `refusal`.
SimpleAnswer ProblemAnswer(const Refusal& refusal,
                           std::string_view request_id,
                           bool keep_alive);

/// Writes a small answer.
/// @param bodiless the request was a HEAD.
/// @param timeout longest time for writing it.
asio::awaitable<void> WriteSimple(
    beast::tcp_stream& stream,
    SimpleAnswer answer,
    bool bodiless,
    std::optional<std::chrono::milliseconds> timeout = {});

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_PROBLEM_H_
