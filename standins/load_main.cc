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

ABSL_FLAG(std::string, plan, "", "JSON file that says what to send.");
ABSL_FLAG(std::string, orders, "", "File that gets one line for each order.");

/// Open-loop load generator: requests start at their scheduled times whatever
/// happens to earlier ones.
namespace comfreylock::standins {
namespace {

using Clock = std::chrono::steady_clock;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Client connections by address.
class Connections {
 public:
  explicit Connections(asio::io_context& context) : context_(context) {}

  struct Connection {
    explicit Connection(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
  };

  /// @param fresh set to whether the connection was made for this request.
  asio::awaitable<std::unique_ptr<Connection>> Take(const std::string& address,
                                                    Clock::time_point until,
                                                    bool& fresh) {
    auto& idle = idle_[address];
    fresh = idle.empty();
    if (!fresh) {
      auto connection = std::move(idle.back());
      idle.pop_back();
      connection->stream.expires_at(until);
      co_return connection;
    }
    auto connection = std::make_unique<Connection>(context_);
    connection->stream.expires_at(until);
    co_await connection->stream.async_connect(ParseEndpoint(address),
                                              asio::use_awaitable);
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
    co_return connection;
  }

  void Return(const std::string& address,
              std::unique_ptr<Connection> connection) {
    idle_[address].push_back(std::move(connection));
  }

 private:
  asio::io_context& context_;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
};

class Load {
 public:
  Load(asio::io_context& context, LoadPlan plan, const std::string& orders)
      : context_(context),
        plan_(std::move(plan)),
        connections_(context),
        random_(plan_.seed),
        start_(Clock::now()) {
    if (!orders.empty())
      orders_.open(orders);
    for (const auto& stream : plan_.streams)
      reports_.try_emplace(stream.name, plan_.bin);
  }

  void Start() {
    for (const auto& stream : plan_.streams)
      asio::co_spawn(context_, Generate(stream), asio::detached);
  }

  nlohmann::json Report() const {
    nlohmann::json report = {{"not_sent", not_sent_}};
    for (const auto& [name, stream] : reports_)
      report["streams"][name] = stream.ToJson();
    return report;
  }

 private:
  asio::awaitable<void> Generate(const LoadStream& stream) {
    std::mt19937_64 random(plan_.seed ^ std::hash<std::string>()(stream.name));
    std::exponential_distribution<double> gap(stream.rate);
    auto next = start_ + stream.from;
    auto end = start_ + stream.until;
    asio::steady_timer timer(context_);
    while (next < end) {
      timer.expires_at(next);
      co_await timer.async_wait(asio::use_awaitable);
      if (in_flight_ >= plan_.max_in_flight)
        ++not_sent_;
      else
        asio::co_spawn(context_, RunOne(stream, next), asio::detached);
      next += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(gap(random)));
    }
  }

  asio::awaitable<void> RunOne(const LoadStream& stream,
                               Clock::time_point scheduled) {
    ++in_flight_;
    LoadResult result;
    result.scheduled = Since(scheduled);
    std::string order = stream.once_only ? OrderKey() : std::string();
    uint64_t number = ++last_number_;
    for (uint32_t sends = 0; sends <= stream.resends; ++sends) {
      for (uint32_t tries = 0; tries <= stream.retries; ++tries) {
        co_await Attempt(stream, number, order, result);
        if (result.whole)
          break;
      }
      if (stream.once_only)
        RecordOrder(stream, order, result);
    }
    result.ended = Since(Clock::now());
    reports_.at(stream.name).Add(result);
    --in_flight_;
  }

  asio::awaitable<void> Attempt(const LoadStream& stream,
                                uint64_t number,
                                const std::string& order,
                                LoadResult& result) {
    ++result.attempts;
    result.status = 0;
    result.outcome = "none";
    result.reason.clear();
    result.whole = false;
    const std::string& address = PickCaller(stream);
    Request request = MakeRequest(stream, number, order, address);
    bool answered = false;
    try {
      bool fresh = false;
      auto connection = co_await connections_.Take(
          address, Clock::now() + stream.timeout, fresh);
      co_await http::async_write(connection->stream, request,
                                 asio::use_awaitable);
      http::response_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      co_await http::async_read(connection->stream, connection->buffer, parser,
                                asio::use_awaitable);
      Response response = parser.release();
      answered = true;
      Judge(stream, request, response, result);
      if (response.keep_alive())
        connections_.Return(address, std::move(connection));
    } catch (const boost::system::system_error& error) {
      result.reason = answered ? "" : error.code().message();
      result.maybe_run = true;
    }
  }

  void Judge(const LoadStream& stream,
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
    bool right = response["X-Request-Id"] == request["X-Request-Id"];
    if (stream.check_body) {
      right = right && body.is_object() &&
              body.value("path", "") == request.target() &&
              body.value("body_sha256", "") == ToHex(Sha256(request.body()));
    }
    result.whole = right;
    result.wrong = result.wrong || !right;
  }

  Request MakeRequest(const LoadStream& stream,
                      uint64_t number,
                      const std::string& order,
                      const std::string& address) {
    std::string path = stream.path;
    size_t place = path.find("{n}");
    if (place != std::string::npos)
      path.replace(place, 3, std::to_string(number));
    Request request(http::string_to_verb(stream.method), path, 11);
    request.set(http::field::host, address);
    request.set("X-Request-Id", stream.name + "-" + std::to_string(number) +
                                    "-" + std::to_string(++last_attempt_));
    request.set("X-Deadline-Ms", std::to_string(stream.timeout.count()));
    if (!stream.key.empty())
      request.set(http::field::authorization, "Bearer " + stream.key);
    if (!order.empty())
      request.set("Idempotency-Key", order);
    if (stream.body_bytes > 0 || stream.method != "GET") {
      request.body().assign(stream.body_bytes,
                            static_cast<char>('a' + number % 26));
      request.prepare_payload();
    }
    return request;
  }

  /// @return a time-ordered UUID (RFC 9562, version 7).
  std::string OrderKey() {
    auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    std::string bytes;
    for (int shift = 40; shift >= 0; shift -= 8)
      bytes.push_back(static_cast<char>(now >> shift & 0xff));
    uint64_t tail[2] = {random_(), random_()};
    bytes.append(reinterpret_cast<const char*>(tail), 10);
    bytes[6] = static_cast<char>((bytes[6] & 0x0f) | 0x70);
    bytes[8] = static_cast<char>((bytes[8] & 0x3f) | 0x80);
    std::string hex = ToHex(bytes);
    return hex.substr(0, 8) + "-" + hex.substr(8, 4) + "-" + hex.substr(12, 4) +
           "-" + hex.substr(16, 4) + "-" + hex.substr(20);
  }

  const std::string& PickCaller(const LoadStream& stream) {
    return stream.callers[random_() % stream.callers.size()];
  }

  void RecordOrder(const LoadStream& stream,
                   const std::string& order,
                   const LoadResult& result) {
    if (!orders_.is_open())
      return;
    orders_ << nlohmann::json({{"stream", stream.name},
                               {"key", order},
                               {"status", result.status},
                               {"outcome", result.outcome},
                               {"reason", result.reason},
                               {"maybe_run", result.maybe_run}})
                   .dump()
            << "\n";
  }

  std::chrono::microseconds Since(Clock::time_point time) const {
    return std::chrono::duration_cast<std::chrono::microseconds>(time - start_);
  }

  asio::io_context& context_;
  LoadPlan plan_;
  Connections connections_;
  std::mt19937_64 random_;
  Clock::time_point start_;
  std::ofstream orders_;
  std::map<std::string, StreamReport> reports_;
  uint64_t last_number_ = 0;
  uint64_t last_attempt_ = 0;
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
    comfreylock::standins::Load load(context, std::move(plan),
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
