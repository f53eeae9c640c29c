#ifndef COMFREYLOCK_HTTP_EDGE_H_
#define COMFREYLOCK_HTTP_EDGE_H_

#include <chrono>
#include <memory>
#include <unordered_map>

#include "node_host.h"

/// Listeners for callers and for the target's onward calls, and the client
/// side of the connections to other nodes.
namespace comfreylock {

class HttpEdge {
 public:
  struct Limits {
    /// For the head, for the buffered part of a body, and for each further
    /// piece of a body.
    std::chrono::milliseconds header_timeout;
    /// Between requests, and for each piece of an answer.
    std::chrono::milliseconds idle_timeout;
  };

  HttpEdge(asio::io_context& context, NodeHost& host, Limits limits);
  ~HttpEdge();

  /// Starts to accept connections.
  /// @param onward the listener is for this host's own target.
  /// @return the bound address, for a port of 0.
  /// @throws boost::system::system_error if the address cannot be bound.
  asio::ip::tcp::endpoint Listen(const std::string& address, bool onward);

  /// Stops accepting; open connections are told to close after their answer.
  void StopAccepting();

  // Effects of the reducer.
  void Apply(const RefuseCall& effect);
  void Apply(const Dispatch& effect);
  void Apply(const DeliverAnswer& effect);
  void Apply(const ReplayAnswer& effect);
  void Apply(const CancelAttempt& effect);

 private:
  using error_code = boost::system::error_code;

  struct Connection;
  struct Attempt;
  struct PendingCall;
  using CallPointer = std::shared_ptr<PendingCall>;

  asio::awaitable<void> Accept(
      std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
      bool onward);
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection,
                              bool onward);
  asio::awaitable<bool> ServeOne(std::shared_ptr<Connection> connection,
                                 bool onward);
  asio::awaitable<error_code> ReadHead(Connection& connection,
                                       PendingCall& call);
  asio::awaitable<std::optional<Refusal>> ReadBeginning(PendingCall& call);
  asio::awaitable<bool> RefuseHere(CallPointer call, Refusal refusal);
  asio::awaitable<void> Decide(CallPointer call);
  asio::awaitable<void> Settle(CallPointer call);
  asio::awaitable<bool> Answer(CallPointer call);
  asio::awaitable<void> WriteAnswer(CallPointer call, bool keep);
  asio::awaitable<void> WatchCaller(CallPointer call);
  asio::awaitable<void> RunAttempt(CallPointer call, Dispatch dispatch);
  asio::awaitable<void> Exchange(CallPointer call,
                                 const Dispatch& dispatch,
                                 std::shared_ptr<Attempt> attempt,
                                 AttemptEnded& ended);
  /// @return status, end-to-end fields and body, as far as they are kept.
  static wire::StoredAnswer AnswerToKeep(const Attempt& attempt);
  RequestHead PeerRequest(const PendingCall& call, const Dispatch& dispatch);
  RequestSummary Summarise(const PendingCall& call) const;
  void Cancel(PendingCall& call, Attempt& attempt);
  CallPointer Find(CallId call);

  asio::io_context& context_;
  NodeHost& host_;
  Limits limits_;
  HttpPool pool_;
  bool stopping_ = false;
  std::vector<std::shared_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::unordered_map<CallId, CallPointer> calls_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_EDGE_H_
