#ifndef COMFREYLOCK_STANDINS_MINI_HTTP_H_
#define COMFREYLOCK_STANDINS_MINI_HTTP_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http_io.h"

/// Minimal HTTP server for the stand-ins. It shares no code with the node's
/// listeners, so that a bug in those is not masked by the same bug here.
namespace comfreylock::standins {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// One request on a server connection, passed to the handler.
struct Exchange {
  beast::tcp_stream& stream;
  Request request;
  bool keep_alive = true;  ///< Cleared by handlers to close the connection.
};

using Handler = std::function<asio::awaitable<void>(Exchange&)>;

inline constexpr uint64_t kMaxRequestBodyBytes = uint64_t{256} << 20;

/// Sends an answer with Content-Length; the body is omitted if the request is
/// HEAD.
inline asio::awaitable<void> Reply(Exchange& exchange,
                                   unsigned status,
                                   std::string body,
                                   std::string type = "application/json") {
  Response response(static_cast<http::status>(status), 11);
  response.set(http::field::content_type, type);
  std::string id(exchange.request["X-Request-Id"]);
  if (!id.empty())
    response.set("X-Request-Id", id);
  response.body() = std::move(body);
  response.prepare_payload();
  if (exchange.request.method() == http::verb::head) {
    http::response_serializer<http::string_body> serializer(response);
    co_await http::async_write_header(exchange.stream, serializer,
                                      asio::use_awaitable);
    co_return;
  }
  co_await http::async_write(exchange.stream, response, asio::use_awaitable);
}

inline asio::awaitable<void> ServeConnection(asio::ip::tcp::socket socket,
                                             Handler handler) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  try {
    bool open = true;
    while (open) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxRequestBodyBytes);
      co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
      Exchange exchange{stream, parser.release()};
      co_await handler(exchange);
      open = exchange.keep_alive && exchange.request.keep_alive();
    }
  } catch (const std::exception&) {
    // The client closed the connection, or reading or sending failed.
  }
  stream.close();
}

inline asio::awaitable<void> Serve(asio::io_context& context,
                                   std::string address,
                                   Handler handler) {
  asio::ip::tcp::acceptor acceptor(context, ParseEndpoint(address), true);
  while (true) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
      continue;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    asio::co_spawn(context, ServeConnection(std::move(socket), handler),
                   asio::detached);
  }
}

/// @return the value of a query parameter, or an empty string.
inline std::string QueryValue(std::string_view request_target,
                              std::string_view name) {
  size_t query = request_target.find('?');
  while (query != std::string_view::npos) {
    std::string_view rest = request_target.substr(query + 1);
    std::string_view pair = rest.substr(0, rest.find('&'));
    size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos)
      return std::string(pair.substr(equals + 1));
    size_t next = rest.find('&');
    query = next == std::string_view::npos ? next : query + 1 + next;
  }
  return {};
}

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_MINI_HTTP_H_
