#ifndef COMFREYLOCK_NODE_RUNTIME_H_
#define COMFREYLOCK_NODE_RUNTIME_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "comfreylock/reducer.h"
#include "http_entry_server.h"
#include "http_operator_server.h"
#include "http_peer_server.h"
#include "observer.h"
#include "peer_zmq.h"
#include "settings.h"
#include "store_etcd.h"

/// Runs one node: passes events to the reducer and carries out its effects.
namespace comfreylock {

class NodeRuntime : public NodeServices {
 public:
  explicit NodeRuntime(NodeSettings settings);
  ~NodeRuntime() override;

  /// Serves until a graceful shutdown has finished.
  void Run();

  // NodeServices:
  void Feed(EventBody event) override;
  wire::AnswerReport ReportFor(WorkId work) const override;
  bool IsRefusedByHead(const RequestSummary& request) const override;
  uint64_t MaxBodyBytes(std::string_view method,
                        std::string_view target) const override;
  std::string KeySalt() const override;
  std::string ComputeMac(std::string_view data) const override;
  IoTimePoint ToIoTimePoint(TimePoint time) const override;
  uint64_t NextId() override;

 private:
  NodeRuntime(NodeSettings settings, const NodeIdentity& identity);

  void Apply(const RefuseCall& effect);
  void Apply(const Dispatch& effect);
  void Apply(const DeliverAnswer& effect);
  void Apply(const ReplayAnswer& effect);
  void Apply(const CancelAttempt& effect);
  void Apply(const StartWork& effect);
  void Apply(const RejectWork& effect);
  void Apply(const AbortWork& effect);
  void Apply(const SendToPeer& effect);
  void Apply(const CallStore& effect);
  void Apply(const Log& effect);
  void Apply(const Exit& effect);

  HttpOperatorServer::Callbacks OperatorCallbacks();
  std::string StatusJson() const;
  std::string ExplainJson(const std::string& request_id) const;

  asio::awaitable<void> RunTicks();
  asio::awaitable<void> HandleSignals();

  NodeSettings settings_;
  std::string fleet_secret_;
  asio::io_context context_{1};
  asio::signal_set signals_;
  std::unique_ptr<NodeReducer> reducer_;
  HttpEntryServer entry_server_;
  HttpPeerServer peer_server_;
  EtcdStore store_;
  PeerZmq control_;
  HttpOperatorServer operator_server_;
  Observer observer_;
  uint64_t last_id_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_NODE_RUNTIME_H_
