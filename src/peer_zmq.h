#ifndef COMFREYLOCK_PEER_ZMQ_H_
#define COMFREYLOCK_PEER_ZMQ_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <zmq.hpp>

#include "comfreylock/effects.h"
#include "comfreylock/events.h"

/// Control messages between nodes over ZeroMQ, authenticated with the fleet's
/// secret. Messages may be lost; all of them can be sent again.
namespace comfreylock {

/// Identity of this node in the envelopes that it sends.
struct PeerSender {
  NodeId node;
  uint64_t incarnation = 0;
  std::string control_address;  ///< IP:PORT to bind; peers reply to it.
};

/// @return the serialized and authenticated envelope around `message`.
std::string SealEnvelope(const PeerSender& sender,
                         const wire::PeerMessage& message,
                         std::string_view secret);

/// @return the message, or nothing if it is malformed or not authentic.
std::optional<PeerMessageReceived> OpenEnvelope(std::string_view data,
                                                std::string_view secret);

/// Sends to and receives from the control listeners of other nodes.
class PeerZmq {
 public:
  using Callback = std::function<void(PeerMessageReceived)>;

  /// Maximum number of sockets open for sending; the least recently used is
  /// closed.
  static constexpr size_t kMaxSendSockets = 64;

  /// Messages since start: sent, received, and dropped by cause.
  struct Counters {
    uint64_t sent = 0;
    uint64_t sent_bytes = 0;
    uint64_t received = 0;
    uint64_t received_bytes = 0;
    uint64_t send_queue_full = 0;
    uint64_t receive_queue_full = 0;
    uint64_t not_authentic = 0;
  };

  /// Binds the listener and starts the receiving thread.
  /// @param callback receives messages on the executor's thread.
  /// @throws Error if the address cannot be bound.
  PeerZmq(boost::asio::any_io_executor executor,
          PeerSender sender,
          std::string secret,
          Callback callback);
  ~PeerZmq();
  PeerZmq(const PeerZmq&) = delete;
  PeerZmq& operator=(const PeerZmq&) = delete;

  /// Sends without blocking; drops the message if the peer's queue is full.
  /// Must be called on the executor's thread.
  void Send(const SendToPeer& effect);

  /// Ends the receiving thread; no callback runs afterwards.
  void Stop();

  Counters counters() const;

 private:
  struct SendSocket {
    std::string address;
    zmq::socket_t socket;
  };

  void RunReceiver();
  void ReceiveMessage();
  void HandleEnvelope(std::string_view data);
  zmq::socket_t& SocketFor(const std::string& address);

  boost::asio::any_io_executor executor_;
  PeerSender sender_;
  std::string secret_;
  Callback callback_;
  zmq::context_t context_;
  zmq::socket_t listener_;
  std::list<SendSocket> send_sockets_;  ///< Most recently used first.
  std::unordered_map<std::string, std::list<SendSocket>::iterator>
      sockets_by_address_;
  /// Shared with posted handlers that may run after this object's destruction.
  std::shared_ptr<std::atomic<size_t>> pending_receives_;
  std::shared_ptr<std::atomic<bool>> stopped_;
  uint64_t sent_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t send_queue_full_ = 0;
  std::atomic<uint64_t> received_{0};
  std::atomic<uint64_t> received_bytes_{0};
  std::atomic<uint64_t> receive_queue_full_{0};
  std::atomic<uint64_t> not_authentic_{0};
  std::thread receiver_thread_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_PEER_ZMQ_H_
