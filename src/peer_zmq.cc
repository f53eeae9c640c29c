#include "peer_zmq.h"

#include <memory>
#include <utility>

#include <boost/asio/post.hpp>

#include "crypto.h"

namespace comfreylock {
namespace {

constexpr uint32_t kEnvelopeVersion = 1;
/// Distinguishes the MACs of envelopes from those of other data under the same
/// secret.
constexpr std::string_view kMacPurpose = "comfreylock peer envelope";
/// Maximum number of messages queued for a peer that is slow or unreachable.
constexpr int kMaxQueuedSends = 256;
/// Maximum number of messages received but not yet handled by the reducer.
constexpr size_t kMaxPendingReceives = 4096;
/// Largest accepted message, bytes: a bundle part, which the store limits to
/// 1 MiB, and its envelope.
constexpr int64_t kMaxMessageBytes = (1 << 20) + (64 << 10);
/// Intervals between attempts to reconnect to an unreachable peer.
constexpr int kMinReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;

void AppendNumber(std::string& text, uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8)
    text.push_back(static_cast<char>(number >> shift));
}

void AppendField(std::string& text, std::string_view field) {
  AppendNumber(text, field.size());
  text.append(field);
}

/// Every field has a fixed width or is preceded by its length, so that no two
/// different envelopes have the same encoding.
std::string MacOf(const wire::PeerEnvelope& envelope, std::string_view secret) {
  std::string text;
  AppendField(text, kMacPurpose);
  AppendNumber(text, envelope.version());
  AppendField(text, envelope.sender());
  AppendNumber(text, envelope.incarnation());
  AppendField(text, envelope.sender_control_address());
  AppendField(text, envelope.payload());
  return HmacSha256(secret, text);
}

}  // namespace

std::string SealEnvelope(const PeerSender& sender,
                         const wire::PeerMessage& message,
                         std::string_view secret) {
  wire::PeerEnvelope envelope;
  envelope.set_version(kEnvelopeVersion);
  envelope.set_sender(sender.node);
  envelope.set_incarnation(sender.incarnation);
  envelope.set_sender_control_address(sender.control_address);
  envelope.set_payload(message.SerializeAsString());
  envelope.set_mac(MacOf(envelope, secret));
  return envelope.SerializeAsString();
}

std::optional<PeerMessageReceived> OpenEnvelope(std::string_view data,
                                                std::string_view secret) {
  wire::PeerEnvelope envelope;
  if (!envelope.ParseFromArray(data.data(), static_cast<int>(data.size())) ||
      !EqualConstantTime(envelope.mac(), MacOf(envelope, secret))) {
    return std::nullopt;
  }
  PeerMessageReceived received;
  received.from = envelope.sender();
  received.incarnation = envelope.incarnation();
  received.control_address = envelope.sender_control_address();
  if (!received.message.ParseFromString(envelope.payload()))
    return std::nullopt;
  return received;
}

PeerZmq::PeerZmq(boost::asio::any_io_executor executor,
                 PeerSender sender,
                 std::string secret,
                 Callback callback)
    : executor_(std::move(executor)),
      sender_(std::move(sender)),
      secret_(std::move(secret)),
      callback_(std::move(callback)),
      context_(1),
      listener_(context_, zmq::socket_type::router),
      pending_receives_(std::make_shared<std::atomic<size_t>>(0)),
      stopped_(std::make_shared<std::atomic<bool>>(false)) {
  listener_.set(zmq::sockopt::linger, 0);
  listener_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  try {
    listener_.bind("tcp://" + sender_.control_address);
  } catch (const zmq::error_t& error) {
    throw Error("control_address " + sender_.control_address +
                " cannot be bound: " + error.what());
  }
  receiver_thread_ = std::thread([this] { RunReceiver(); });
}

PeerZmq::~PeerZmq() {
  Stop();
}

void PeerZmq::Stop() {
  if (stopped_->exchange(true))
    return;
  // Wakes the receiving thread, whose socket then reports ETERM.
  context_.shutdown();
  receiver_thread_.join();
  sockets_by_address_.clear();
  send_sockets_.clear();
}

void PeerZmq::Send(const SendToPeer& effect) {
  if (*stopped_)
    return;
  std::string data = SealEnvelope(sender_, effect.message, secret_);
  try {
    zmq::socket_t& socket = SocketFor(effect.control_address);
    if (socket.send(zmq::buffer(data), zmq::send_flags::dontwait)) {
      ++sent_;
      sent_bytes_ += data.size();
    } else {
      ++send_queue_full_;
    }
  } catch (const zmq::error_t&) {
    // The address is malformed, or the process is out of sockets.
    ++send_queue_full_;
  }
}

PeerZmq::Counters PeerZmq::counters() const {
  Counters counters;
  counters.sent = sent_;
  counters.sent_bytes = sent_bytes_;
  counters.received = received_;
  counters.received_bytes = received_bytes_;
  counters.send_queue_full = send_queue_full_;
  counters.receive_queue_full = receive_queue_full_;
  counters.not_authentic = not_authentic_;
  return counters;
}

zmq::socket_t& PeerZmq::SocketFor(const std::string& address) {
  auto found = sockets_by_address_.find(address);
  if (found != sockets_by_address_.end()) {
    send_sockets_.splice(send_sockets_.begin(), send_sockets_, found->second);
    return send_sockets_.front().socket;
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kMaxQueuedSends);
  socket.set(zmq::sockopt::reconnect_ivl, kMinReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
  socket.connect("tcp://" + address);
  if (send_sockets_.size() >= kMaxSendSockets) {
    sockets_by_address_.erase(send_sockets_.back().address);
    send_sockets_.pop_back();
  }
  send_sockets_.push_front(SendSocket{address, std::move(socket)});
  sockets_by_address_[address] = send_sockets_.begin();
  return send_sockets_.front().socket;
}

void PeerZmq::RunReceiver() {
  while (true) {
    try {
      ReceiveMessage();
    } catch (const zmq::error_t& error) {
      // Signals, and SIGCONT after a pause, interrupt the call; only the
      // shutdown of the context ends the thread.
      if (error.num() == ETERM)
        break;
    }
  }
  listener_.close();
}

void PeerZmq::ReceiveMessage() {
  // A message has two parts: the peer's routing id and the envelope.
  zmq::message_t part;
  if (!listener_.recv(part) || !part.more())
    return;
  zmq::message_t data;
  if (!listener_.recv(data))
    return;
  bool is_last_part = !data.more();
  bool more = data.more();
  while (more && listener_.recv(part))
    more = part.more();
  if (is_last_part)
    HandleEnvelope(data.to_string_view());
}

void PeerZmq::HandleEnvelope(std::string_view data) {
  auto received = OpenEnvelope(data, secret_);
  if (!received) {
    ++not_authentic_;
    return;
  }
  if (*pending_receives_ >= kMaxPendingReceives) {
    ++receive_queue_full_;
    return;
  }
  ++received_;
  received_bytes_ += data.size();
  ++*pending_receives_;
  boost::asio::post(executor_, [this, pending_receives = pending_receives_,
                                stopped = stopped_,
                                message = std::move(*received)]() mutable {
    --*pending_receives;
    if (!*stopped)
      callback_(std::move(message));
  });
}

}  // namespace comfreylock
