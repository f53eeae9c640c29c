#include "http_problem.h"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

namespace comfreylock {

SimpleAnswer ProblemAnswer(const Refusal& refusal,
                           std::string_view request_id,
                           bool keep_alive) {
  const ReasonInfo& info = InfoOf(refusal.reason);
  nlohmann::json problem = {{"type", "about:blank"},
                            {"title", info.title},
                            {"status", info.status},
                            {"reason", info.name},
                            {"outcome", OutcomeName(refusal.outcome)},
                            {"request_id", request_id}};
  if (!refusal.detail.empty())
    problem["detail"] = refusal.detail;
  SimpleAnswer answer;
  answer.body = problem.dump();
  answer.head.version(11);
  answer.head.result(static_cast<unsigned>(info.status));
  answer.head.set(http::field::content_type, "application/problem+json");
  answer.head.set("Comfreylock-Outcome",
                  std::string(OutcomeName(refusal.outcome)));
  answer.head.set("X-Request-Id", std::string(request_id));
  if (refusal.retry_after.count() > 0) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    answer.head.set(http::field::retry_after, std::to_string(seconds.count()));
  }
  if (!keep_alive)
    answer.head.set(http::field::connection, "close");
  SetFraming(answer.head, answer.body.size());
  return answer;
}

asio::awaitable<void> WriteSimpleAnswer(
    beast::tcp_stream& stream,
    SimpleAnswer answer,
    bool bodiless,
    std::optional<std::chrono::milliseconds> timeout) {
  BufferedBody body(std::move(answer.body));
  co_await WriteMessage<false>(stream, std::move(answer.head),
                               bodiless ? nullptr : &body, timeout);
}

}  // namespace comfreylock
