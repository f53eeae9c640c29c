#ifndef COMFREYLOCK_HTTP_OPERATOR_SERVER_H_
#define COMFREYLOCK_HTTP_OPERATOR_SERVER_H_

#include <functional>
#include <string>

#include "http_io.h"

/// Listener for operators: status, metrics, explanations and drain.
namespace comfreylock {

class HttpOperatorServer {
 public:
  /// Functions of the node that the listener calls.
  struct Callbacks {
    std::function<std::string()> status;   ///< JSON object.
    std::function<std::string()> metrics;  ///< Prometheus text format.
    /// JSON list of the decisions about a request id.
    std::function<std::string(const std::string&)> explain;
    std::function<void()> drain;
  };

  /// @param token bearer token that every request must carry.
  HttpOperatorServer(asio::io_context& context,
                     Callbacks callbacks,
                     std::string token);

  /// @throws boost::system::system_error if the address cannot be bound.
  void Listen(const std::string& address);

 private:
  using Request = http::request<http::string_body>;
  using Response = http::response<http::string_body>;

  asio::awaitable<void> Accept(asio::ip::tcp::acceptor acceptor);
  asio::awaitable<void> Serve(asio::ip::tcp::socket socket);
  Response MakeResponse(const Request& request, bool& drain);
  bool IsAuthorised(const Request& request) const;

  asio::io_context& context_;
  Callbacks callbacks_;
  std::string token_;
};

/// @return the value of one query parameter, percent-decoded; empty if absent.
std::string QueryParameter(std::string_view target, std::string_view name);

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_OPERATOR_SERVER_H_
