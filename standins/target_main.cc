#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "crypto.h"
#include "mini_http.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "IP:PORT to listen on.");
ABSL_FLAG(std::string, name, "target", "Name in answers.");
ABSL_FLAG(int, slots, 50, "Requests that run at a time; others wait.");
ABSL_FLAG(int, service_ms, 2, "Time one request takes, milliseconds.");
ABSL_FLAG(std::string,
          onward,
          "",
          "IP:PORT for onward calls; empty makes none.");
ABSL_FLAG(std::string, onward_path, "", "Path of the onward call.");

namespace comfreylock::standins {
namespace {

/// A target that counts its executions and makes onward calls.
class Target {
 public:
  explicit Target(asio::io_context& context) : context_(context) {}

  asio::awaitable<void> Handle(Exchange& exchange) {
    std::string path(exchange.request.target());
    if (path.starts_with("/standin/executions")) {
      co_await Reply(exchange, 200, executions_.dump());
      co_return;
    }
    while (running_ >= absl::GetFlag(FLAGS_slots))
      co_await Pause(std::chrono::milliseconds(1));
    ++running_;
    Record(exchange.request);
    co_await Pause(std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms)));
    unsigned status = 200;
    nlohmann::json answer = {
        {"target", absl::GetFlag(FLAGS_name)},
        {"path", path},
        {"execution", executions_.size()},
        {"body_bytes", exchange.request.body().size()},
        {"body_sha256", ToHex(Sha256(exchange.request.body()))}};
    if (!absl::GetFlag(FLAGS_onward).empty())
      status = co_await CallOnward(exchange, answer);
    --running_;
    co_await Reply(exchange, status, answer.dump());
  }

 private:
  void Record(const Request& request) {
    executions_.push_back(
        {{"request_id", std::string(request["X-Request-Id"])},
         {"method", std::string(request.method_string())},
         {"path", std::string(request.target())},
         {"idempotency_key", std::string(request["Idempotency-Key"])},
         {"saw_key", request.count(http::field::authorization) > 0},
         {"body_sha256", ToHex(Sha256(request.body()))}});
  }

  asio::awaitable<unsigned> CallOnward(Exchange& exchange,
                                       nlohmann::json& answer) {
    beast::tcp_stream stream(context_);
    stream.expires_after(std::chrono::seconds(30));
    co_await stream.async_connect(ParseEndpoint(absl::GetFlag(FLAGS_onward)),
                                  asio::use_awaitable);
    http::request<http::empty_body> request(
        http::verb::get, absl::GetFlag(FLAGS_onward_path), 11);
    request.set(http::field::host, absl::GetFlag(FLAGS_onward));
    request.set("X-Request-Id", std::string(exchange.request["X-Request-Id"]));
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    Response response;
    co_await http::async_read(stream, buffer, response, asio::use_awaitable);
    answer["onward_status"] = response.result_int();
    answer["onward"] = nlohmann::json::parse(response.body(), nullptr, false);
    co_return response.result_int();
  }

  asio::awaitable<void> Pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  asio::io_context& context_;
  int running_ = 0;
  nlohmann::json executions_ = nlohmann::json::array();
};

}  // namespace
}  // namespace comfreylock::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  namespace standins = comfreylock::standins;
  comfreylock::asio::io_context context(1);
  standins::Target target(context);
  comfreylock::asio::co_spawn(
      context,
      standins::Serve(context, absl::GetFlag(FLAGS_address),
                      [&target](standins::Exchange& exchange) {
                        return target.Handle(exchange);
                      }),
      comfreylock::asio::detached);
  context.run();
  return 0;
}
