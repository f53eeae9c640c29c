#ifndef COMFREYLOCK_HTTP_ENTRY_SERVER_H_
#define COMFREYLOCK_HTTP_ENTRY_SERVER_H_

#include <chrono>
#include <memory>
#include <unordered_map>

#include "mesh/memory_budget.h"
#include "node_services.h"

/// Listeners for callers and for the target's onward calls, and the client
/// side of the connections to other nodes.
namespace comfreylock {

class HttpEntryServer {
 public:
  struct Limits {
    /// Time limit for the head, for the buffered prefix of a body, and for each
    /// further piece of the body.
    std::chrono::milliseconds header_timeout;
    /// Time limit between requests, and for writing each piece of an answer.
    std::chrono::milliseconds idle_timeout;
    /// Memory that the process may use, bytes.
    size_t memory_bytes = mesh::MemoryBudget::kDefaultMemoryBytes;
    /// Descriptors that the process may have open.
    size_t max_descriptors = 4096;
  };

  HttpEntryServer(asio::io_context& context, NodeServices& node, Limits limits);
  ~HttpEntryServer();

  /// Starts to accept connections.
  /// @param onward whether the listener serves onward calls of this host's
  /// target.
  /// @return the bound address; with port 0, the system chooses the port.
  /// @throws boost::system::system_error if the address cannot be bound.
  asio::ip::tcp::endpoint Listen(const std::string& address, bool onward);

  /// Stops accepting connections. Answers written from now on carry
  /// `Connection: close`, and their connections are closed.
  void StopAccepting();

  /// @return the metrics of connections and memory, in Prometheus text format.
  std::string MetricsText() const;

  // Effects of the reducer.
  void Apply(const RefuseCall& effect);
  void Apply(const Dispatch& effect);
  void Apply(const DeliverAnswer& effect);
  void Apply(const ReplayAnswer& effect);
  void Apply(const CancelAttempt& effect);

 private:
  using error_code = boost::system::error_code;

  struct Connection;
  struct Held;
  struct Attempt;
  struct PendingCall;
  using CallPointer = std::shared_ptr<PendingCall>;

  asio::awaitable<void> Accept(
      std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
      bool onward);
  asio::awaitable<void> Serve(std::shared_ptr<Connection> connection,
                              bool onward);
  asio::awaitable<bool> ServeRequest(std::shared_ptr<Connection> connection,
                                     bool onward);
  asio::awaitable<error_code> ReadHead(Connection& connection,
                                       PendingCall& call);
  asio::awaitable<std::optional<Refusal>> ReadBodyPrefix(PendingCall& call);
  /// Closes the connection that has been idle longest, or else the one whose
  /// request has been incomplete longest.
  /// @return false if there is none.
  bool CloseIdleConnection();
  /// Charges a call with its head and with what is read of its body before the
  /// decision.
  /// @return false if there is no room.
  bool Charge(PendingCall& call);
  /// Gives up the body whose start has taken longest, if that is long enough.
  void AbandonSlowestBody();
  /// Logs the state of memory pressure when it changes.
  void UpdatePressure();
  /// Refuses a call without passing it to the reducer.
  asio::awaitable<bool> RefuseLocally(CallPointer call, Refusal refusal);
  /// Passes a call to the reducer and waits for its decision.
  asio::awaitable<void> AwaitDecision(CallPointer call);
  asio::awaitable<void> EndOtherAttempts(CallPointer call);
  asio::awaitable<bool> SendAnswer(CallPointer call);
  asio::awaitable<void> ForwardAnswer(CallPointer call, bool keep_open);
  asio::awaitable<void> WatchCaller(CallPointer call);
  asio::awaitable<void> RunAttempt(CallPointer call, Dispatch dispatch);
  asio::awaitable<void> ExchangeWithPeer(CallPointer call,
                                         const Dispatch& dispatch,
                                         std::shared_ptr<Attempt> attempt,
                                         AttemptEnded& ended);
  /// @return the answer to store for an idempotency key: the status, and the
  /// end-to-end fields and the body unless the body is incomplete or too large.
  static wire::StoredAnswer MakeStoredAnswer(const Attempt& attempt);
  RequestHead PeerRequest(const PendingCall& call, const Dispatch& dispatch);
  RequestSummary Summarise(const PendingCall& call) const;
  void Cancel(PendingCall& call, Attempt& attempt);
  CallPointer Find(CallId call);

  asio::io_context& context_;
  NodeServices& node_;
  Limits limits_;
  size_t max_connections_;
  /// Shared with the connections, which may outlive the server.
  std::shared_ptr<Held> held_;
  uint64_t memory_refusals_ = 0;  ///< Spreads the values of `Retry-After`.
  HttpConnectionPool pool_;
  bool stopping_ = false;
  std::vector<std::shared_ptr<asio::ip::tcp::acceptor>> acceptors_;
  std::unordered_map<CallId, CallPointer> calls_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_ENTRY_SERVER_H_
