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
#include "mesh/memory_budget.h"
#include "mesh/unwritten_answers.h"

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
    /// Called when the connection ends before an answer was written
    /// completely, and before `on_call_cancelled` when this node ends it
    /// before there was an answer. Must not call the server. Null: answers are
    /// not observed.
    std::function<void(const CutAnswer&)> on_answer_cut = nullptr;
  };

  /// Bounds of what the server holds.
  struct Bounds {
    /// Charged with requests and answers; must outlive the server. Null: the
    /// server has one of its own.
    MemoryBudget* budget = nullptr;
    /// Connections above which idle ones are closed, or else new ones.
    size_t max_connections = 4096;
  };

  HttpServer(asio::io_context& context, Handlers handlers);
  HttpServer(asio::io_context& context, Handlers handlers, Bounds bounds);
  ~HttpServer();

  /// @param address IP:PORT. @throws std::exception if it cannot be bound.
  void Listen(const std::string& address);

  /// From now on each answer closes its connection (`Connection: close`).
  void CloseAfterAnswers() { close_after_answers_ = true; }

  /// Stops listening and reading requests, and closes each connection once the
  /// client has received its answers. A request that has arrived only in part
  /// is refused as not run.
  void CloseWhenDelivered();

  /// @return whether a client has not yet received all that was written to it.
  bool HasUndelivered() const;

  /// Answers a request; does nothing if the client has disconnected.
  /// @param request names the request in `CutAnswer`.
  void Respond(CallId call, HttpAnswer answer, RequestNames request = {});

  /// Reports the answers that are not completely written as cut by the exit of
  /// the process. Called once, immediately before it.
  void ReportAnswersCutByExit();

  /// Makes room for `bytes` more: abandons the bodies and answers that have
  /// stalled, the one that has stalled longest first. For an answer,
  /// connections that have taken on much since their requests were admitted are
  /// closed too.
  /// @return whether the budget then admits them for `use`.
  bool MakeRoom(size_t bytes, MemoryBudget::Use use);

  size_t connections() const { return connections_.size(); }
  /// @return connections on which answers are still being written.
  size_t unfinished_writes() const { return unfinished_writes_; }

 private:
  class Connection;

  /// @param except not abandoned; the connection that needs the room.
  bool MakeRoom(size_t bytes, MemoryBudget::Use use, const Connection* except);
  /// Closes connections until there is room: those whose answers have stalled,
  /// then those that have taken on the most bytes since their requests were
  /// admitted.
  /// @param bytes of an answer that is not charged yet; 0: all are.
  /// @return whether the budget then admits them.
  bool MakeRoomForAnswer(size_t bytes);
  void Accept();
  void AcceptLater();
  /// Closes the connection that has been idle longest, or else the one whose
  /// request has stalled longest.
  /// @return false if there is none.
  bool CloseIdleConnection();
  void ScheduleTimeoutCheck();

  asio::io_context& context_;
  Handlers handlers_;
  MemoryBudget own_budget_;
  MemoryBudget& budget_;
  size_t max_connections_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timeout_check_timer_;
  asio::steady_timer accept_timer_;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
  std::unordered_map<CallId, std::weak_ptr<Connection>> calls_;
  uint64_t last_call_ = 0;
  size_t unfinished_writes_ = 0;
  /// Next time at which `MakeRoom` looks for stalled connections.
  std::chrono::steady_clock::time_point next_stall_search_;
  /// The same for `CloseIdleConnection`.
  std::chrono::steady_clock::time_point next_idle_search_;
  uint64_t refusals_ = 0;  ///< Spreads the values of `Retry-After`.
  bool close_after_answers_ = false;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_HTTP_SERVER_H_
