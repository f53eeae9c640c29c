#ifndef COMFREYLOCK_MESH_MESH_RUNTIME_H_
#define COMFREYLOCK_MESH_MESH_RUNTIME_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mesh/http_client.h"
#include "mesh/http_server.h"
#include "mesh/line_log.h"
#include "mesh/link_hub.h"
#include "mesh/memory_budget.h"
#include "mesh/mesh_reducer.h"
#include "mesh/metrics.h"
#include "mesh/protocol.h"

/// The runtime of a mesh node: passes events to the reducer and carries out the
/// effects that it returns.
namespace comfreylock::mesh {

struct MeshRuntimeSettings {
  NodeIdentity identity;
  std::string caller_address;  ///< IP:PORT of the listener for callers.
  /// Memory that the process may use, bytes.
  size_t memory_bytes = MemoryBudget::kDefaultMemoryBytes;
  /// Descriptors that the process may have open.
  size_t max_descriptors = 4096;
};

class MeshRuntime {
 public:
  /// @param log, caller_protocol, target_protocol must outlive the runtime.
  MeshRuntime(asio::io_context& context,
              MeshRuntimeSettings settings,
              LineLog& log,
              const CallerProtocol& caller_protocol,
              const TargetProtocol& target_protocol);
  ~MeshRuntime();

  /// @param store carries out the reducer's calls to the store.
  void SetStore(StoreClient* store) { store_ = store; }

  /// Opens the listeners for callers and other nodes.
  /// @throws std::exception if an address cannot be bound.
  void Listen();

  using ConfigDecoder =
      std::function<std::shared_ptr<const FleetConfig>(const std::string&)>;

  /// @param decoder parses a configuration that another node sent; throws
  ///     `InputError` if it is invalid.
  void SetConfigDecoder(ConfigDecoder decoder) {
    config_decoder_ = std::move(decoder);
  }

  /// @param responder answers a `TargetReported` that has a call; see
  ///     `ReplyToReport`.
  void SetReportResponder(std::function<void(const ReplyToReport&)> responder) {
    report_responder_ = std::move(responder);
  }

  /// Passes an event to the reducer and carries out the effects. During another
  /// call of this method, the event is queued until that one has finished.
  void Feed(EventBody event);

  /// Applies the bounds and the service of changed settings.
  void Reconfigure(const NodeBounds& bounds, const std::string& service);

  void Log(LogCode code,
           std::vector<std::pair<std::string, std::string>> fields);

  NodeStatus status() const;

  /// @return the bound on what the process holds; valid as long as the runtime.
  MemoryBudget& budget() { return budget_; }

  /// @return the node's metrics in the text format of Prometheus.
  std::string MetricsText() const;

 private:
  /// A caller's request that is not yet answered.
  struct PendingCall {
    TimePoint received_at;
    std::shared_ptr<wire::Forward> forward;
  };

  void OnRequest(CallId call, HttpRequest request);
  /// Counts the answer to a call, which is no longer pending then.
  /// @return the names of the call's request.
  RequestNames CountAnswer(CallId call, const std::string& result);
  void OnAnswerCut(const CutAnswer& cut);
  void Reduce(EventBody event);
  void ScheduleWake();
  /// Logs the state of memory pressure when it changes.
  void UpdatePressure();

  void Apply(const DeliverAnswer& effect);
  void Apply(const RefuseCall& effect);
  void Apply(const OpenLink& effect) { links_.Apply(effect); }
  void Apply(const CloseLink& effect) { links_.Apply(effect); }
  void Apply(const SendFrame& effect) { links_.Apply(effect); }
  void Apply(const SendForward& effect) { links_.Apply(effect); }
  void Apply(const RunOnTarget& effect);
  void Apply(const AbortOnTarget& effect);
  void Apply(const ReplyToReport& effect);
  void Apply(const CallStore& effect);
  void Apply(const DecodeConfig& effect);
  void Apply(const WriteLogLine& effect);
  void Apply(const Exit& effect);
  /// Stops the event loop once all connections have delivered what was written
  /// to them. The last answers and results are written just before the exit,
  /// and the kernel discards what it holds of a connection that is reset.
  /// @param deadline time at which it stops in any case.
  /// @param earliest time before which it stops only if all connections closed.
  void StopWhenDelivered(TimePoint deadline, TimePoint earliest);

  asio::io_context& context_;
  MeshRuntimeSettings settings_;
  LineLog& log_;
  const CallerProtocol& caller_protocol_;
  const TargetProtocol& target_protocol_;
  StoreClient* store_ = nullptr;
  ConfigDecoder config_decoder_;
  std::function<void(const ReplyToReport&)> report_responder_;
  MemoryBudget budget_;  ///< Outlives all that charges it.
  std::unique_ptr<MeshReducer> reducer_;
  HttpServer caller_server_;
  HttpClient target_client_;
  LinkHub links_;
  Metrics metrics_;
  asio::steady_timer wake_timer_;
  TimePoint next_tick_at_;  ///< `TimePoint()` if no wake-up is scheduled.
  std::chrono::milliseconds event_loop_lag_{0};  ///< Delay of the last wake-up.
  std::deque<EventBody> events_;
  bool processing_events_ = false;
  bool closing_ = false;  ///< The reducer has ended; see `Exit`.
  bool listening_ = false;
  std::unordered_map<WorkId, HttpClient::ExchangeId> exchanges_;
  std::unordered_map<CallId, PendingCall> pending_calls_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_MESH_RUNTIME_H_
