#include "standin_target.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include "crypto.h"

namespace comfreylock::standins {
namespace {

/// Executions retained for GET /standin/executions; older ones are discarded.
constexpr size_t kMaxRecordedExecutions = 100'000;
/// Exit status after a request that matches `crash_on`.
constexpr int kCrashExitStatus = 3;
/// Service time at the beginning of a cold start, as a multiple of the normal
/// one.
constexpr double kInitialColdStartFactor = 10;
/// Delay of an answer with the fault "late".
constexpr std::chrono::seconds kLateAnswerDelay{3};
/// Request id and path in an answer with the fault "crossed", which is an
/// answer to another request.
constexpr const char* kOtherRequestId = "another-request";
constexpr const char* kOtherPath = "/another/path";
/// Upper bound of X-Deadline-Ms and of service times that are set over HTTP,
/// one day. Larger values could overflow the time points computed from them.
constexpr int64_t kMaxDeadlineMs = 86'400'000;
/// Bounds an onward call from the connect to the end of the answer.
constexpr std::chrono::seconds kOnwardCallTimeout{30};

/// @return whether the client has closed its connection.
bool IsClosedByClient(beast::tcp_stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error && error != asio::error::would_block;
}

/// @return the deadline from X-Deadline-Ms; a missing or malformed header sets
/// none.
std::chrono::steady_clock::time_point ParseDeadline(const Request& request) {
  std::string_view text = request["X-Deadline-Ms"];
  int64_t milliseconds = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    return std::chrono::steady_clock::time_point::max();
  return std::chrono::steady_clock::now() +
         std::chrono::milliseconds(std::min(milliseconds, kMaxDeadlineMs));
}

bool IsKnownFault(const std::string& fault) {
  return fault.empty() || fault == "late" || fault == "crossed" ||
         fault == "cut" || fault == "double";
}

/// @return a serialised HTTP/1.1 answer.
std::string AnswerText(unsigned status,
                       const std::string& request_id,
                       const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) +
                     " Answer\r\nContent-Type: application/json\r\n";
  if (!request_id.empty())
    text += "X-Request-Id: " + request_id + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

StandinTarget::StandinTarget(asio::io_context& context, TargetOptions options)
    : context_(context), options_(std::move(options)), random_(options_.seed) {}

asio::awaitable<void> StandinTarget::Handle(Exchange& exchange) {
  std::string path(exchange.request.target());
  if (path.starts_with("/standin/")) {
    co_await Control(exchange, path);
    co_return;
  }
  if (IsCrashRequest(exchange.request))
    ::_exit(kCrashExitStatus);
  std::string fault = QueryValue(path, "fault");
  if (!IsKnownFault(fault)) {
    co_await Reply(exchange, 400,
                   R"({"error": "fault is late, crossed, cut or double"})");
    co_return;
  }
  bool is_queue_full = running_ >= options_.slots && options_.max_queued > 0 &&
                       waiting_.size() >= options_.max_queued;
  if (is_queue_full) {
    ++shed_;
    co_await Reply(exchange, 503, R"({"error": "queue full"})");
    co_return;
  }
  auto deadline = ParseDeadline(exchange.request);
  auto wait = co_await WaitForSlot(exchange, deadline);
  std::optional<SlotGuard> slot;
  if (wait->granted)
    slot.emplace(*this);
  if (wait->client_gone) {
    ++cancelled_;
    exchange.keep_alive = false;
    co_return;
  }
  if (!slot || Clock::now() >= deadline) {
    ++expired_;
    slot.reset();
    co_await Reply(exchange, 504, R"({"error": "deadline passed"})");
    co_return;
  }
  unsigned status = 200;
  auto answer = co_await Run(exchange, status);
  slot.reset();
  if (!answer) {
    ++cancelled_;
    exchange.keep_alive = false;
    co_return;
  }
  co_await Answer(exchange, status, std::move(*answer), std::move(fault));
}

bool StandinTarget::IsCrashRequest(const Request& request) const {
  if (options_.crash_on.empty())
    return false;
  return request.target().find(options_.crash_on) != std::string_view::npos ||
         request.body().find(options_.crash_on) != std::string::npos;
}

asio::awaitable<std::shared_ptr<StandinTarget::Wait>>
StandinTarget::WaitForSlot(Exchange& exchange, Clock::time_point deadline) {
  auto wait = std::make_shared<Wait>(context_);
  if (running_ < options_.slots) {
    ++running_;
    wait->granted = true;
    co_return wait;
  }
  auto position = waiting_.insert(waiting_.end(), wait);
  co_await WaitUntil(exchange, wait, deadline);
  if (!wait->granted)
    waiting_.erase(position);
  // The client may have closed in the same iteration of the event loop in which
  // the slot was granted.
  if (!wait->client_gone)
    wait->client_gone = IsClosedByClient(exchange.stream);
  co_return wait;
}

asio::awaitable<void> StandinTarget::WaitUntil(Exchange& exchange,
                                               std::shared_ptr<Wait> wait,
                                               Clock::time_point end) {
  auto& stream = exchange.stream;
  stream.socket().async_wait(
      asio::socket_base::wait_read,
      [wait, &stream](boost::system::error_code error) {
        if (error || wait->ended || !IsClosedByClient(stream))
          return;
        wait->client_gone = true;
        wait->timer.cancel();
      });
  wait->timer.expires_at(end);
  boost::system::error_code ignored;
  co_await wait->timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  wait->ended = true;
  stream.socket().cancel(ignored);
}

void StandinTarget::ReleaseSlot() {
  if (waiting_.empty()) {
    --running_;
    return;
  }
  auto next = std::move(waiting_.front());
  waiting_.pop_front();
  next->granted = true;
  next->timer.cancel();
}

asio::awaitable<std::optional<nlohmann::json>> StandinTarget::Run(
    Exchange& exchange,
    unsigned& status) {
  const Execution& execution = RecordExecution(exchange.request);
  nlohmann::json answer = {{"target", options_.name},
                           {"path", execution.path},
                           {"execution", executions_},
                           {"body_bytes", exchange.request.body().size()},
                           {"body_sha256", execution.body_sha256}};
  auto wait = std::make_shared<Wait>(context_);
  co_await WaitUntil(exchange, wait, Clock::now() + ServiceTime());
  if (wait->client_gone)
    co_return std::nullopt;
  if (!options_.onward.empty())
    status = co_await CallOnward(exchange, answer);
  co_return answer;
}

asio::awaitable<void> StandinTarget::Answer(Exchange& exchange,
                                            unsigned status,
                                            nlohmann::json answer,
                                            std::string fault) {
  if (fault == "late") {
    asio::steady_timer timer(context_, kLateAnswerDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (fault.empty() || fault == "late") {
    co_await Reply(exchange, status, answer.dump());
    co_return;
  }
  std::string request_id(exchange.request["X-Request-Id"]);
  if (fault == "crossed") {
    request_id = kOtherRequestId;
    answer["path"] = kOtherPath;
  }
  std::string body = answer.dump();
  std::string text = AnswerText(status, request_id, body);
  if (fault == "cut") {
    text.resize(text.size() - body.size() / 2);
    exchange.keep_alive = false;
  }
  if (fault == "double")
    text += text;
  co_await asio::async_write(exchange.stream, asio::buffer(text),
                             asio::use_awaitable);
}

asio::awaitable<void> StandinTarget::Control(Exchange& exchange,
                                             const std::string& path) {
  std::string resource = path.substr(0, path.find('?'));
  if (resource == "/standin/executions")
    co_await Reply(exchange, 200, Executions().dump());
  else if (resource == "/standin/summary")
    co_await Reply(exchange, 200, Summary().dump());
  else if (resource == "/standin/service")
    co_await SetServiceTime(exchange, path);
  else
    co_await Reply(exchange, 404, R"({"error": "unknown control path"})");
}

asio::awaitable<void> StandinTarget::SetServiceTime(Exchange& exchange,
                                                    const std::string& path) {
  std::string text = QueryValue(path, "ms");
  double value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  bool valid = error == std::errc() && end == text.data() + text.size() &&
               value >= 0 && value <= kMaxDeadlineMs;
  if (exchange.request.method() != http::verb::post) {
    co_await Reply(exchange, 405, R"({"error": "use POST"})");
  } else if (!valid) {
    co_await Reply(exchange, 400,
                   R"({"error": "ms is a number from 0 to 86400000"})");
  } else {
    options_.service_ms = value;
    nlohmann::json answer = {{"service_ms", value}};
    co_await Reply(exchange, 200, answer.dump());
  }
}

nlohmann::json StandinTarget::Executions() const {
  nlohmann::json list = nlohmann::json::array();
  for (const Execution& execution : recent_) {
    list.push_back({{"request_id", execution.request_id},
                    {"method", execution.method},
                    {"path", execution.path},
                    {"idempotency_key", execution.idempotency_key},
                    {"saw_key", execution.saw_key},
                    {"body_sha256", execution.body_sha256}});
  }
  return list;
}

nlohmann::json StandinTarget::Summary() const {
  return {{"executions", executions_},
          {"runs_by_idempotency_key", runs_by_idempotency_key_},
          {"saw_key", saw_key_},
          {"shed", shed_},
          {"cancelled", cancelled_},
          {"expired", expired_},
          {"running", running_},
          {"waiting", waiting_.size()}};
}

const StandinTarget::Execution& StandinTarget::RecordExecution(
    const Request& request) {
  Execution execution;
  execution.request_id = std::string(request["X-Request-Id"]);
  execution.method = std::string(request.method_string());
  execution.path = std::string(request.target());
  execution.idempotency_key = std::string(request["Idempotency-Key"]);
  execution.saw_key = request.count(http::field::authorization) > 0;
  execution.body_sha256 = ToHex(Sha256(request.body()));
  ++executions_;
  if (execution.saw_key)
    ++saw_key_;
  if (!execution.idempotency_key.empty())
    ++runs_by_idempotency_key_[execution.idempotency_key];
  recent_.push_back(std::move(execution));
  if (recent_.size() > kMaxRecordedExecutions)
    recent_.pop_front();
  return recent_.back();
}

std::chrono::microseconds StandinTarget::ServiceTime() {
  double time = options_.service_ms * 1000;
  if (options_.exponential && time > 0)
    time = std::exponential_distribution<double>(1 / time)(random_);
  auto age = Clock::now() - started_at_;
  if (age < options_.cold_start) {
    double progress = std::chrono::duration<double>(age) /
                      std::chrono::duration<double>(options_.cold_start);
    time *= kInitialColdStartFactor - (kInitialColdStartFactor - 1) * progress;
  }
  return std::chrono::microseconds(static_cast<int64_t>(time));
}

asio::awaitable<unsigned> StandinTarget::CallOnward(Exchange& exchange,
                                                    nlohmann::json& answer) {
  beast::tcp_stream stream(context_);
  stream.expires_after(kOnwardCallTimeout);
  co_await stream.async_connect(ParseEndpoint(options_.onward),
                                asio::use_awaitable);
  http::request<http::empty_body> request(http::verb::get, options_.onward_path,
                                          11);
  request.set(http::field::host, options_.onward);
  request.set("X-Request-Id", std::string(exchange.request["X-Request-Id"]));
  co_await http::async_write(stream, request, asio::use_awaitable);
  beast::flat_buffer buffer;
  Response response;
  co_await http::async_read(stream, buffer, response, asio::use_awaitable);
  answer["onward_status"] = response.result_int();
  answer["onward"] = nlohmann::json::parse(response.body(), nullptr, false);
  co_return response.result_int();
}

}  // namespace comfreylock::standins
