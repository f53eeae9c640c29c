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

/// An HTTP/1.1 server that reads complete requests, also pipelined ones, and
/// sends the answers in the order of the requests.
namespace comfreylock::mesh {

namespace asio = boost::asio;

class HttpServer {
 public:
  struct Handlers {
    /// Called with a complete request; the handler calls `Respond` for it at
    /// once or later.
    std::function<void(CallId, HttpRequest)> on_request;
    /// Called when the connection closes before the request was answered;
    /// `Respond` has no effect on the call from then on.
    std::function<void(CallId)> on_call_cancelled;
    /// @return limits for the next request.
    std::function<CallerLimits()> limits;
  };

  HttpServer(asio::io_context& context, Handlers handlers);
  ~HttpServer();

  /// @param address IP:PORT. @throws std::exception if it cannot be bound.
  void Listen(const std::string& address);

  /// From now on each answer closes its connection (`Connection: close`).
  void CloseAfterAnswers() { close_after_answers_ = true; }

  /// Answers a request; does nothing if the client has disconnected.
  void Respond(CallId call, HttpAnswer answer);

  size_t connections() const { return connections_.size(); }
  /// @return connections on which answers are still being written.
  size_t unfinished_writes() const { return unfinished_writes_; }
  /// @return total size of the bodies of requests in progress.
  size_t body_bytes() const { return body_bytes_; }

 private:
  class Connection;

  void Accept();
  void ScheduleTimeoutCheck();

  asio::io_context& context_;
  Handlers handlers_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timeout_check_timer_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unordered_map<CallId, std::weak_ptr<Connection>> calls_;
  uint64_t last_call_ = 0;
  size_t body_bytes_ = 0;
  size_t unfinished_writes_ = 0;
  bool close_after_answers_ = false;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_SERVER_H_
