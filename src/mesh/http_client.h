#ifndef COMFREYLOCK_MESH_HTTP_CLIENT_H_
#define COMFREYLOCK_MESH_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mesh/http_types.h"
#include "mesh/memory_budget.h"

/// An HTTP/1.1 client of one server. It sends one request at a time on each
/// connection, reuses connections, and reads answers completely.
namespace comfreylock::mesh {

namespace asio = boost::asio;

/// How an exchange ended.
struct ExchangeResult {
  enum class Kind {
    kAnswered,
    kNotSent,  ///< No connection could be made.
    kBroken,   ///< The connection ended early, or the answer is malformed.
    kTimedOut,
  };
  Kind kind = Kind::kBroken;
  bool refused = false;  ///< The server refused the connection (ECONNREFUSED).
  std::string error;     ///< What was wrong with the answer's bytes, if known.
  HttpAnswer answer;
};

class HttpClient {
 public:
  using ExchangeId = uint64_t;
  using Callback = std::function<void(ExchangeResult)>;

  struct Options {
    std::chrono::milliseconds timeout{0};  ///< 0: none.
    bool head_request = false;
    /// Uses only a new connection or one that was used recently: the server may
    /// be closing an idle one, and then it is unknown whether the request ran.
    bool require_recent_use = false;
    /// Uses a new connection. For a request that was sent before: on the
    /// earlier connection a second copy of the earlier answer may still arrive.
    bool require_new_connection = false;
    /// @param first whether the request is the first one on its connection, so
    ///     that no answer to an earlier request can arrive.
    /// @return how an answer relates to this request; unset: all are its own.
    std::function<AnswerMatch(const HttpAnswer&, bool first)> match;
  };

  struct Limits {
    std::chrono::milliseconds connect_timeout{400};
    /// See `SetSocketOptions`.
    std::chrono::milliseconds tcp_user_timeout{1000};
    /// Idle time after which a connection is closed. If the server's Keep-Alive
    /// field gives a shorter one, the connection is not reused after that time.
    std::chrono::milliseconds idle_timeout{4000};
    /// Limit of the answers that all connections are receiving. Beyond it the
    /// largest of them is given up.
    size_t max_buffered_bytes = 32 * 1024 * 1024 - 32 * 1024;
    /// Charged with the answers that are being received; null: none.
    MemoryBudget* budget = nullptr;
  };

  HttpClient(asio::io_context& context, std::string address, Limits limits);
  ~HttpClient();

  /// Starts an exchange. The callback is called once, never from within `Send`,
  /// and not at all if the exchange is aborted.
  ExchangeId Send(const HttpRequest& request, Options options, Callback done);

  /// Closes the connection of an exchange, whose callback is then not called.
  void Abort(ExchangeId exchange);

  size_t connections() const { return connections_.size(); }

  /// @return bytes received of the answers in progress.
  size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  class Connection;

  /// Gives up the largest answers in progress until the others are within the
  /// limit.
  void LimitBufferedBytes();
  void AddBufferedBytes(size_t bytes);
  void SubtractBufferedBytes(size_t bytes);
  void Remove(Connection* connection);

  asio::io_context& context_;
  std::string address_;
  Limits limits_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::vector<Connection*> idle_connections_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;
  ExchangeId last_exchange_ = 0;
  size_t buffered_bytes_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_CLIENT_H_
