#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "comfreylock/types.h"
#include "crypto.h"
#include "http_io.h"
#include "load_plan.h"
#include "load_report.h"
#include "settings.h"

ABSL_FLAG(std::string, plan, "", "JSON file that defines the request streams.");
ABSL_FLAG(std::string,
          orders,
          "",
          "File to which one JSON line is written for each send of a once-only "
          "request; empty: none.");

/// Open-loop load generator: each request starts at its scheduled time, whether
/// or not earlier requests have ended.
namespace comfreylock::standins {
namespace {

using Clock = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Pool of idle client connections by address.
class ConnectionPool {
 public:
  explicit ConnectionPool(asio::io_context& context) : context_(context) {}

  struct Connection {
    explicit Connection(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  /// Returns an idle connection, or opens one.
  /// @param deadline bounds the connect and the request that follows.
  /// @param is_new set to whether the connection was opened by this call.
  asio::awaitable<std::unique_ptr<Connection>> Acquire(
      const std::string& address,
      Clock::time_point deadline,
      bool& is_new) {
    auto& idle = idle_[address];
    is_new = idle.empty();
    if (!is_new) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      connection->stream.expires_at(deadline);
      co_return connection;
    }
    auto connection = std::make_unique<Connection>(context_);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(ParseEndpoint(address),
                                              asio::use_awaitable);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return connection;
  }

  void Release(const std::string& address,
               std::unique_ptr<Connection> connection) {
    idle_[address].push_back(std::move(connection));
  }

 private:
  asio::io_context& context_;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
};

class LoadGenerator {
 public:
  LoadGenerator(asio::io_context& context,
                LoadPlan plan,
                const std::string& orders_path)
      : context_(context),
        plan_(std::move(plan)),
        connection_pool_(context),
        random_(plan_.seed),
        started_at_(Clock::now()) {
    if (!orders_path.empty())
      orders_file_.open(orders_path);
    for (const auto& stream : plan_.streams)
      reports_.try_emplace(stream.name, plan_.bin);
  }

  void Start() {
    for (const auto& stream : plan_.streams)
      asio::co_spawn(context_, GenerateRequests(stream), asio::detached);
  }

  nlohmann::json Report() const {
    nlohmann::json report = {{"not_sent", not_sent_}};
    for (const auto& [name, stream] : reports_)
      report["streams"][name] = stream.ToJson();
    return report;
  }

 private:
  asio::awaitable<void> GenerateRequests(const LoadStream& stream) {
    std::mt19937_64 random(plan_.seed ^ std::hash<std::string>()(stream.name));
    std::exponential_distribution<double> interval(stream.rate);
    auto next_request_at = started_at_ + stream.from;
    auto end = started_at_ + stream.until;
    asio::steady_timer timer(context_);
    while (next_request_at < end) {
      timer.expires_at(next_request_at);
      co_await timer.async_wait(asio::use_awaitable);
      if (in_flight_ >= plan_.max_in_flight)
        ++not_sent_;
      else
        asio::co_spawn(context_, RunRequest(stream, next_request_at),
                       asio::detached);
      next_request_at += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(interval(random)));
    }
  }

  asio::awaitable<void> RunRequest(const LoadStream& stream,
                                   Clock::time_point scheduled) {
    ++in_flight_;
    LoadResult result;
    result.scheduled = SinceStart(scheduled);
    std::string idempotency_key =
        stream.once_only ? NewIdempotencyKey() : std::string();
    uint64_t request_number = ++last_request_number_;
    for (uint32_t sends = 0; sends <= stream.resends; ++sends) {
      for (uint32_t tries = 0; tries <= stream.retries; ++tries) {
        co_await Attempt(stream, request_number, idempotency_key, result);
        if (result.whole)
          break;
      }
      if (stream.once_only)
        RecordOrder(stream, idempotency_key, result);
    }
    result.ended = SinceStart(Clock::now());
    reports_.at(stream.name).Add(result);
    --in_flight_;
  }

  asio::awaitable<void> Attempt(const LoadStream& stream,
                                uint64_t request_number,
                                const std::string& idempotency_key,
                                LoadResult& result) {
    ++result.attempts;
    result.status = 0;
    result.outcome = "none";
    result.reason.clear();
    result.whole = false;
    const std::string& address = PickAddress(stream);
    Request request =
        MakeRequest(stream, request_number, idempotency_key, address);
    bool answered = false;
    try {
      bool is_new = false;
      auto connection = co_await connection_pool_.Acquire(
          address, Clock::now() + stream.timeout, is_new);
      co_await http::async_write(connection->stream, request,
                                 asio::use_awaitable);
      http::response_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      co_await http::async_read(connection->stream, connection->buffer, parser,
                                asio::use_awaitable);
      Response response = parser.release();
      answered = true;
      EvaluateResponse(stream, request, response, result);
      if (response.keep_alive())
        connection_pool_.Release(address, std::move(connection));
    } catch (const boost::system::system_error& error) {
      result.reason = answered ? "" : error.code().message();
      result.maybe_run = true;
    }
  }

  void EvaluateResponse(const LoadStream& stream,
                        const Request& request,
                        const Response& response,
                        LoadResult& result) {
    result.status = static_cast<int>(response.result_int());
    result.outcome = std::string(response["Comfreylock-Outcome"]);
    if (result.outcome != "not-run")
      result.maybe_run = true;
    auto body = nlohmann::json::parse(response.body(), nullptr, false);
    if (result.status / 100 != 2) {
      if (body.is_object())
        result.reason = body.value("reason", "");
      return;
    }
    bool correct = response["X-Request-Id"] == request["X-Request-Id"];
    if (stream.check_body) {
      correct = correct && body.is_object() &&
                body.value("path", "") == request.target() &&
                body.value("body_sha256", "") == ToHex(Sha256(request.body()));
    }
    result.whole = correct;
    result.wrong = result.wrong || !correct;
  }

  Request MakeRequest(const LoadStream& stream,
                      uint64_t request_number,
                      const std::string& idempotency_key,
                      const std::string& address) {
    std::string path = stream.path;
    size_t placeholder = path.find("{n}");
    if (placeholder != std::string::npos)
      path.replace(placeholder, 3, std::to_string(request_number));
    Request request(http::string_to_verb(stream.method), path, 11);
    request.set(http::field::host, address);
    request.set("X-Request-Id", stream.name + "-" +
                                    std::to_string(request_number) + "-" +
                                    std::to_string(++last_attempt_number_));
    request.set("X-Deadline-Ms", std::to_string(stream.timeout.count()));
    if (!stream.key.empty())
      request.set(http::field::authorization, "Bearer " + stream.key);
    if (!idempotency_key.empty())
      request.set("Idempotency-Key", idempotency_key);
    if (stream.body_bytes > 0 || stream.method != "GET") {
      request.body().assign(stream.body_bytes,
                            static_cast<char>('a' + request_number % 26));
      request.prepare_payload();
    }
    return request;
  }

  /// @return a time-ordered UUID (RFC 9562, version 7).
  std::string NewIdempotencyKey() {
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    std::string bytes;
    for (int shift = 40; shift >= 0; shift -= 8)
      bytes.push_back(static_cast<char>(now >> shift & 0xff));
    uint64_t random_bits[2] = {random_(), random_()};
    bytes.append(reinterpret_cast<const char*>(random_bits), 10);
    bytes[6] = static_cast<char>((bytes[6] & 0x0f) | 0x70);
    bytes[8] = static_cast<char>((bytes[8] & 0x3f) | 0x80);
    std::string hex = ToHex(bytes);
    return hex.substr(0, 8) + "-" + hex.substr(8, 4) + "-" + hex.substr(12, 4) +
           "-" + hex.substr(16, 4) + "-" + hex.substr(20);
  }

  const std::string& PickAddress(const LoadStream& stream) {
    return stream.callers[random_() % stream.callers.size()];
  }

  void RecordOrder(const LoadStream& stream,
                   const std::string& idempotency_key,
                   const LoadResult& result) {
    if (!orders_file_.is_open())
      return;
    orders_file_ << nlohmann::json({{"stream", stream.name},
                                    {"key", idempotency_key},
                                    {"status", result.status},
                                    {"outcome", result.outcome},
                                    {"reason", result.reason},
                                    {"maybe_run", result.maybe_run}})
                        .dump()
                 << "\n";
  }

  std::chrono::microseconds SinceStart(Clock::time_point time) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(time -
                                                                 started_at_);
  }

  asio::io_context& context_;
  LoadPlan plan_;
  ConnectionPool connection_pool_;
  std::mt19937_64 random_;
  Clock::time_point started_at_;
  std::ofstream orders_file_;
  std::map<std::string, StreamReport> reports_;
  uint64_t last_request_number_ = 0;
  uint64_t last_attempt_number_ = 0;
  uint64_t not_sent_ = 0;
  uint32_t in_flight_ = 0;
};

}  // namespace
}  // namespace comfreylock::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  try {
    std::string path = absl::GetFlag(FLAGS_plan);
    auto plan =
        comfreylock::standins::ParseLoadPlan(comfreylock::ReadFile(path), path);
    comfreylock::asio::io_context context(1);
    comfreylock::standins::LoadGenerator load(context, std::move(plan),
                                              absl::GetFlag(FLAGS_orders));
    load.Start();
    context.run();
    std::cout << load.Report().dump() << "\n";
  } catch (const comfreylock::InputError& error) {
    std::cerr << "load: " << error.what() << "\n";
    return 2;
  }
  return 0;
}
