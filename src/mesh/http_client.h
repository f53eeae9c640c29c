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

/// An HTTP/1.1 client of one server: one request at a time on each connection,
/// connections are kept, and whole answers are read.
namespace comfreylock::mesh {

namespace asio = boost::asio;

/// How an exchange ended.
struct ExchangeResult {
  enum class Kind {
    kAnswered,
    kNotSent,  ///< No connection could be made.
    kBroken,   ///< The connection ended, or what came is no answer.
    kTimedOut,
  };
  Kind kind = Kind::kBroken;
  bool refused = false;  ///< Nothing listens at the address.
  HttpAnswer answer;
};

class HttpClient {
 public:
  using ExchangeId = uint64_t;
  using Callback = std::function<void(ExchangeResult)>;

  struct Options {
    std::chrono::milliseconds timeout{0};  ///< 0: none.
    bool head_request = false;
    /// Only on a connection that was used a moment ago or is new: an idle one
    /// may be closing, which leaves the request in doubt.
    bool fresh = false;
    /// @return whether an answer belongs to this request; others are skipped.
    std::function<bool(const HttpAnswer&)> is_mine;
  };

  struct Limits {
    std::chrono::milliseconds connect_timeout{400};
    std::chrono::milliseconds silence{1000};  ///< See `SetSocketOptions`.
    /// Idle time after which a connection is closed, unless the server's
    /// Keep-Alive field tells a shorter one.
    std::chrono::milliseconds idle{4000};
  };

  HttpClient(asio::io_context& context, std::string address, Limits limits);
  ~HttpClient();

  /// Starts an exchange. The callback is called once, later, unless the
  /// exchange is aborted.
  ExchangeId Send(const HttpRequest& request, Options options, Callback done);

  /// Closes the exchange's connection; its callback is not called.
  void Abort(ExchangeId exchange);

  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  void Forget(Connection* connection);

  asio::io_context& context_;
  std::string address_;
  Limits limits_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::vector<Connection*> idle_;
  std::unordered_map<ExchangeId, Connection*> exchanges_;
  ExchangeId last_exchange_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_CLIENT_H_
