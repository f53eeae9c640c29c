#ifndef COMFREYLOCK_MESH_HTTP_SERVER_H_
#define COMFREYLOCK_MESH_HTTP_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mesh/http_types.h"

/// An HTTP/1.1 listener that reads whole requests, also pipelined ones, and
/// answers them in their order.
namespace comfreylock::mesh {

namespace asio = boost::asio;

class HttpServer {
 public:
  struct Handlers {
    /// A whole request; `Respond` is called for it now or later.
    std::function<void(CallId, HttpRequest)> on_request;
    /// The client left before the answer; `Respond` has no effect any more.
    std::function<void(CallId)> on_gone;
    /// @return limits for the next request.
    std::function<CallerLimits()> limits;
  };

  HttpServer(asio::io_context& context, Handlers handlers);
  ~HttpServer();

  /// @param address IP:PORT. @throws std::exception if it cannot be bound.
  void Listen(const std::string& address);

  /// Each further answer tells that the connection ends.
  void CloseAfterAnswers() { closing_ = true; }

  /// Answers a request; nothing happens if the client has left.
  void Respond(CallId call, HttpAnswer answer);

  size_t connections() const { return connections_.size(); }
  size_t body_bytes() const { return body_bytes_; }

 private:
  class Connection;

  void Accept();
  void Sweep();

  asio::io_context& context_;
  Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unordered_map<CallId, std::weak_ptr<Connection>> calls_;
  uint64_t last_call_ = 0;
  size_t body_bytes_ = 0;
  bool closing_ = false;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_SERVER_H_
