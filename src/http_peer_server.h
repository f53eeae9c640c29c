#ifndef COMFREYLOCK_HTTP_PEER_SERVER_H_
#define COMFREYLOCK_HTTP_PEER_SERVER_H_

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

#include "node_services.h"

/// Listener for requests from other nodes, and HTTP client of this host's
/// target.
namespace comfreylock {

class HttpPeerServer {
 public:
  /// @param target_address IP:PORT of the target; empty if there is none.
  HttpPeerServer(asio::io_context& context,
                 NodeServices& node,
                 std::string target_address);
  ~HttpPeerServer();

  /// @return the bound address; with port 0, the system chooses the port.
  /// @throws boost::system::system_error if the address cannot be bound.
  asio::ip::tcp::endpoint Listen(const std::string& address);

  // Effects of the reducer.
  void Apply(const StartWork& effect);
  void Apply(const RejectWork& effect);
  void Apply(const AbortWork& effect);

 private:
  struct Connection;
  struct PendingWork;
  using WorkPointer = std::shared_ptr<PendingWork>;

  asio::awaitable<void> Accept(asio::ip::tcp::acceptor& acceptor);
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection);
  asio::awaitable<bool> ServeRequest(std::shared_ptr<Connection> connection);
  asio::awaitable<bool> WriteRejection(WorkPointer work);
  asio::awaitable<bool> RunOnTarget(WorkPointer work);
  asio::awaitable<void> ExchangeWithTarget(WorkPointer work,
                                           WorkResult& result);
  asio::awaitable<bool> ForwardAnswer(WorkPointer work);
  asio::awaitable<bool> WriteFailure(WorkPointer work,
                                     WorkResult result,
                                     bool target_refuses_connections);
  asio::awaitable<bool> TargetRefusesConnections();
  asio::awaitable<void> WatchEntryNode(WorkPointer work);
  RequestHead TargetRequest(const PendingWork& work) const;
  WorkPointer Find(WorkId work);

  asio::io_context& context_;
  NodeServices& node_;
  std::string target_address_;
  HttpConnectionPool pool_;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::unordered_map<WorkId, WorkPointer> works_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_PEER_SERVER_H_
