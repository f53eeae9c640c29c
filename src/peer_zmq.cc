#include "peer_zmq.h"

#include <memory>
#include <utility>

#include <boost/asio/post.hpp>

#include "crypto.h"

namespace comfreylock {
namespace {

constexpr uint32_t kEnvelopeVersion = 1;
/// Keeps envelopes apart from other data that is authenticated with the same
/// secret.
constexpr std::string_view kMacPurpose = "comfreylock peer envelope";
/// Messages queued for one peer that is slow or away.
constexpr int kSendQueue = 256;
/// Messages received and not yet handled by the reducer.
constexpr size_t kReceiveQueue = 4096;
/// Longest accepted message: a bundle part, which the store limits to 1 MiB,
/// and its envelope, bytes.
constexpr int64_t kMaxMessageBytes = (1 << 20) + (64 << 10);
/// Reconnection to a peer that is away, milliseconds.
constexpr int kReconnectMs = 100;
constexpr int kReconnectMaxMs = 2000;

void AppendNumber(std::string& text, uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8)
    text.push_back(static_cast<char>(number >> shift));
}

void AppendField(std::string& text, std::string_view field) {
  AppendNumber(text, field.size());
  text.append(field);
}

/// Every field has a fixed width or its length in front, so that no two
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
      pending_(std::make_shared<std::atomic<size_t>>(0)),
      stopped_(std::make_shared<std::atomic<bool>>(false)) {
  listener_.set(zmq::sockopt::linger, 0);
  listener_.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  try {
    listener_.bind("tcp://" + sender_.control_address);
  } catch (const zmq::error_t& error) {
    throw Error("control_address " + sender_.control_address +
                " cannot be bound: " + error.what());
  }
  receiver_ = std::thread([this] { Receive(); });
}

PeerZmq::~PeerZmq() {
  Stop();
}

void PeerZmq::Stop() {
  if (stopped_->exchange(true))
    return;
  // Wakes the receiving thread, whose socket then reports ETERM.
  context_.shutdown();
  receiver_.join();
  by_address_.clear();
  peers_.clear();
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
  auto found = by_address_.find(address);
  if (found != by_address_.end()) {
    peers_.splice(peers_.begin(), peers_, found->second);
    return peers_.front().socket;
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kSendQueue);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.connect("tcp://" + address);
  if (peers_.size() >= kMaxPeers) {
    by_address_.erase(peers_.back().address);
    peers_.pop_back();
  }
  peers_.push_front(Peer{address, std::move(socket)});
  by_address_[address] = peers_.begin();
  return peers_.front().socket;
}

void PeerZmq::Receive() {
  while (true) {
    try {
      ReceiveOne();
    } catch (const zmq::error_t& error) {
      // Signals, and SIGCONT after a pause, interrupt the call; only the
      // shutdown of the context ends the thread.
      if (error.num() == ETERM)
        break;
    }
  }
  listener_.close();
}

void PeerZmq::ReceiveOne() {
  // A message has the peer's routing id and the envelope.
  zmq::message_t part;
  if (!listener_.recv(part) || !part.more())
    return;
  zmq::message_t data;
  if (!listener_.recv(data))
    return;
  bool whole = !data.more();
  bool more = data.more();
  while (more && listener_.recv(part))
    more = part.more();
  if (whole)
    Take(data.to_string_view());
}

void PeerZmq::Take(std::string_view data) {
  auto received = OpenEnvelope(data, secret_);
  if (!received) {
    ++not_authentic_;
    return;
  }
  if (*pending_ >= kReceiveQueue) {
    ++receive_queue_full_;
    return;
  }
  ++received_;
  received_bytes_ += data.size();
  ++*pending_;
  boost::asio::post(executor_, [this, pending = pending_, stopped = stopped_,
                                message = std::move(*received)]() mutable {
    --*pending;
    if (!*stopped)
      callback_(std::move(message));
  });
}

}  // namespace comfreylock
