#include "http_operator_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "comfreylock/config.h"
#include "crypto.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

/// Limit of the head and of the body, bytes; operators' requests need no body.
constexpr uint32_t kMaxRequestBytes = 8 * 1024;
/// Time for one exchange, from the wait for the request to the end of the
/// answer.
constexpr std::chrono::milliseconds kExchangeTimeout = 10s;
constexpr char kJsonContentType[] = "application/json";
constexpr char kMetricsContentType[] = "text/plain; version=0.0.4";

/// @return whether reading a head failed because of its bytes.
bool IsMalformed(const error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_field).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

}  // namespace

HttpOperatorServer::HttpOperatorServer(asio::io_context& context,
                                       Callbacks callbacks,
                                       std::string token)
    : context_(context),
      callbacks_(std::move(callbacks)),
      token_(std::move(token)) {}

void HttpOperatorServer::Listen(const std::string& address) {
  asio::ip::tcp::acceptor acceptor(context_, ParseEndpoint(address), true);
  asio::co_spawn(context_, Accept(std::move(acceptor)), asio::detached);
}

asio::awaitable<void> HttpOperatorServer::Accept(
    asio::ip::tcp::acceptor acceptor) {
  while (true) {
    error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // Accepting fails while the process has no free file descriptor; the
      // pause avoids a busy loop.
      asio::steady_timer pause(context_, 10ms);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpOperatorServer::Serve(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  bool keep_open = true;
  try {
    while (keep_open) {
      http::request_parser<http::string_body> parser;
      parser.header_limit(kMaxRequestBytes);
      parser.body_limit(kMaxRequestBytes);
      stream.expires_after(kExchangeTimeout);
      error_code error = co_await ReadHead(stream, buffer, parser);
      if (IsMalformed(error)) {
        Response refusal(http::status::bad_request, 11);
        refusal.keep_alive(false);
        refusal.prepare_payload();
        co_await http::async_write(stream, refusal, asio::use_awaitable);
        break;
      }
      if (error)
        throw system_error(error);
      co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
      const Request& request = parser.get();
      bool drain = false;
      Response response = MakeResponse(request, drain);
      response.keep_alive(request.keep_alive() && !drain);
      response.prepare_payload();
      keep_open = response.keep_alive();
      co_await http::async_write(stream, response, asio::use_awaitable);
      // The node may exit as soon as draining starts, so the answer is sent
      // first.
      if (drain)
        callbacks_.drain();
    }
  } catch (const system_error&) {
    // The operator disconnected, was too slow or did not send valid HTTP, so
    // the connection is closed.
  }
  error_code ignored;
  stream.socket().shutdown(asio::socket_base::shutdown_both, ignored);
}

HttpOperatorServer::Response HttpOperatorServer::MakeResponse(
    const Request& request,
    bool& drain) {
  Response response(http::status::ok, 11);
  response.set(http::field::content_type, kJsonContentType);
  std::string_view target = request.target();
  std::string_view path = target.substr(0, target.find('?'));
  bool is_get = request.method() == http::verb::get;
  if (!IsAuthorised(request)) {
    response.result(http::status::unauthorized);
    response.set(http::field::www_authenticate, "Bearer");
    response.body() = R"({"error":"the operator token is missing or wrong"})";
  } else if (path == "/status" && is_get) {
    response.body() = callbacks_.status();
  } else if (path == "/metrics" && is_get) {
    response.set(http::field::content_type, kMetricsContentType);
    response.body() = callbacks_.metrics();
  } else if (path == "/explain" && is_get) {
    response.body() = callbacks_.explain(QueryParameter(target, "request_id"));
  } else if (path == "/drain" && request.method() == http::verb::post) {
    drain = true;
    response.body() = R"({"draining":true})";
  } else {
    response.result(http::status::not_found);
    response.body() =
        R"({"error":"unknown path or method; allowed: GET /status, GET /metrics, )"
        R"(GET /explain?request_id=, POST /drain"})";
  }
  return response;
}

bool HttpOperatorServer::IsAuthorised(const Request& request) const {
  constexpr std::string_view kBearerPrefix = "Bearer ";
  std::string_view credentials = request[http::field::authorization];
  return credentials.starts_with(kBearerPrefix) &&
         EqualConstantTime(credentials.substr(kBearerPrefix.size()), token_);
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  size_t question = target.find('?');
  std::string_view query =
      question == std::string_view::npos ? "" : target.substr(question + 1);
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name)
      continue;
    std::string_view value = pair.substr(equals + 1);
    std::string decoded;
    for (size_t i = 0; i < value.size(); ++i) {
      std::string byte =
          value[i] == '%' ? FromHex(value.substr(i + 1, 2)) : std::string();
      if (byte.size() == 1) {
        decoded += byte;
        i += 2;
      } else {
        decoded += value[i];
      }
    }
    return decoded;
  }
  return "";
}

}  // namespace comfreylock
