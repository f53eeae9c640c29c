#include "mesh/link_hub.h"

#include <algorithm>
#include <array>
#include <deque>
#include <unordered_map>

#include <google/protobuf/io/coded_stream.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "http_io.h"
#include "mesh/frame_check.h"
#include "mesh/peer_input.h"
#include "mesh/socket_options.h"

namespace comfreylock::mesh {
namespace {

using boost::system::error_code;
using namespace std::chrono_literals;

constexpr size_t kLengthPrefixBytes = 4;
/// First byte of a frame with a request: field 3 with a length.
constexpr char kForwardTag = wire::Frame::kForwardFieldNumber << 3 | 2;
/// Large enough for a request with a body of the maximum size.
constexpr size_t kMaxFrameBytes = 80 * 1024 * 1024;
/// Bytes read at a time. The buffer is zeroed before each read, so a larger one
/// costs time.
constexpr size_t kReadBytes = 16 * 1024;
/// Bytes waiting to be sent above which a link is closed.
constexpr size_t kMaxUnsentBytes = 48 * 1024 * 1024;
/// Time to connect and to receive the other node's Hello.
constexpr std::chrono::milliseconds kHandshakeTimeout = 1000ms;
/// Set in the ids that this class assigns to accepted links, so that they
/// differ from the ids that the reducer assigns to the links it opens.
constexpr uint64_t kAcceptedLinkBit = uint64_t{1} << 63;
/// Larger bodies of requests are sent in parts of this size. A part takes 2.6
/// ms at 200 Mbit/s, for which other frames wait.
constexpr size_t kPartBytes = 64 * 1024;
/// Size of a buffer of received bytes above which it is not kept for later.
constexpr size_t kMaxKeptBufferBytes = 256 * 1024;
/// Bytes that the kernel may hold of a link without having sent them. Its
/// default lets megabytes of a body queue ahead of other frames.
constexpr size_t kMaxKernelUnsentBytes = 128 * 1024;
/// Memory of a request besides its serialised form: objects of the reducer.
constexpr size_t kFrameOverheadBytes = 1024;
/// Delay after a failed accept, which otherwise fails again at once while no
/// descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay = 50ms;

/// A received frame and the charge for it.
struct ChargedFrame {
  wire::Frame frame;
  MemoryCharge charge;
};

void AppendLengthPrefix(std::string& bytes, size_t size) {
  for (size_t i = 0; i < kLengthPrefixBytes; ++i)
    bytes += static_cast<char>(size >> (8 * (kLengthPrefixBytes - 1 - i)));
}

void AppendVarint(std::string& bytes, uint64_t value) {
  std::array<uint8_t, 10> buffer{};
  uint8_t* end = google::protobuf::io::CodedOutputStream::WriteVarint64ToArray(
      value, buffer.data());
  bytes.append(reinterpret_cast<const char*>(buffer.data()),
               static_cast<size_t>(end - buffer.data()));
}

/// @return the tag of a length-delimited field in the encoding of protobuf.
constexpr uint64_t TagOf(int field) {
  constexpr uint64_t kLengthDelimited = 2;
  return static_cast<uint64_t>(field) << 3 | kLengthDelimited;
}

/// @return the bytes of a frame with a BodyPart up to its data, which the
///     caller writes after them, so that they need not be copied.
std::string PartHead(uint64_t stream, size_t data_bytes) {
  std::string part;
  AppendVarint(part, uint64_t{wire::BodyPart::kStreamFieldNumber} << 3);
  AppendVarint(part, stream);
  AppendVarint(part, TagOf(wire::BodyPart::kDataFieldNumber));
  AppendVarint(part, data_bytes);
  std::string frame;
  AppendVarint(frame, TagOf(wire::Frame::kBodyPartFieldNumber));
  AppendVarint(frame, part.size() + data_bytes);
  frame += part;
  std::string bytes;
  AppendLengthPrefix(bytes, frame.size() + data_bytes);
  return bytes + frame;
}

}  // namespace

class LinkHub::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LinkHub& hub, LinkId id, asio::ip::tcp::socket socket)
      : hub_(hub),
        id_(id),
        socket_(std::move(socket)),
        timer_(hub.context_),
        input_charge_(hub.budget_, MemoryBudget::Kind::kLinkInput),
        output_charge_(hub.budget_, MemoryBudget::Kind::kLinkOutput) {}

  void Open(const std::string& address) {
    asio::ip::tcp::endpoint endpoint;
    if (InterpretInput([&] { endpoint = ParseEndpoint(address); })) {
      FailLater();
      return;
    }
    StartHandshakeTimer();
    socket_.async_connect(endpoint,
                          [this, self = shared_from_this()](error_code error) {
                            if (closed_)
                              return;
                            if (error)
                              Fail();
                            else
                              StartHandshake();
                          });
  }

  void StartAccepted() {
    StartHandshakeTimer();
    StartHandshake();
  }

  void Send(const wire::Frame& frame) {
    if (closed_)
      return;
    if (frame.has_cancel())
      RemoveOutgoingBody(frame.cancel().stream());
    if (frame.has_outcome() && frame.outcome().body().size() > kPartBytes &&
        !hub_.admission_(frame.outcome().body().size(),
                         MemoryBudget::Use::kAnswer)) {
      // The answer cannot be held until the other node reads it, and the target
      // has run the request.
      hub_.budget_.CountRefusal();
      wire::Frame unknown;
      unknown.mutable_outcome()->set_stream(frame.outcome().stream());
      unknown.mutable_outcome()->set_kind(wire::Outcome::UNKNOWN);
      unknown.mutable_outcome()->set_reason("memory");
      *unknown.mutable_outcome()->mutable_load() = frame.outcome().load();
      Append(unknown);
      return;
    }
    Append(frame);
  }

  /// Sends a request, a large body in parts if the peer accepts them.
  void SendForward(const std::shared_ptr<wire::Forward>& forward) {
    // The frame refers to the request without owning it, which saves a copy of
    // the body.
    wire::Frame frame;
    frame.unsafe_arena_set_allocated_forward(forward.get());
    size_t size = forward->body().size();
    if (!peer_accepts_parts_ || size <= kPartBytes) {
      Send(frame);
      frame.unsafe_arena_release_forward();
      return;
    }
    // The body is taken out for as long as the head is serialised. Its bytes
    // stay where they are.
    std::string body;
    forward->mutable_body()->swap(body);
    forward->set_body_size(size);
    Send(frame);
    forward->clear_body_size();
    forward->mutable_body()->swap(body);
    frame.unsafe_arena_release_forward();
    if (write_failed_)
      return;
    outgoing_.push_back({forward->stream(), forward, 0});
    ScheduleFlush();
  }

  /// See `LinkHub::CloseWhenDelivered`.
  void CloseWhenDelivered() {
    if (!connected_) {
      Close();
      return;
    }
    closing_ = true;
    ScheduleFlush();
  }

  bool HasUndelivered() {
    return flush_scheduled_ || writing_ || !output_.empty() ||
           UnacknowledgedBytes(socket_) > 0;
  }

  void Close() {
    if (std::exchange(closed_, true))
      return;
    SetWriting(false);
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    outgoing_.clear();
    incoming_.clear();
    input_charge_.Resize(0);
    output_charge_.Resize(0);
    if (IsAccepted())
      --hub_.accepted_;
    hub_.links_.erase(id_);
  }

  bool IsAccepted() const { return (id_.value & kAcceptedLinkBit) != 0; }
  bool hello_received() const { return hello_received_; }

 private:
  /// A request whose body is being sent in parts.
  struct OutgoingBody {
    uint64_t stream = 0;
    std::shared_ptr<const wire::Forward> forward;
    size_t sent = 0;  ///< Bytes of the body.
  };

  /// A request whose body is being received in parts.
  struct IncomingRequest {
    std::shared_ptr<ChargedFrame> frame;
    std::chrono::steady_clock::time_point started_at;
  };

  void Append(const wire::Frame& frame) {
    if (write_failed_ || closing_)
      return;
    size_t size = frame.ByteSizeLong();
    AppendLengthPrefix(output_, size);
    size_t at = output_.size();
    output_.resize(at + size);
    frame.SerializeWithCachedSizesToArray(
        reinterpret_cast<uint8_t*>(output_.data() + at));
    UpdateOutputCharge();
    if (output_.size() > kMaxUnsentBytes) {
      FailLater();
      return;
    }
    ScheduleFlush();
  }

  void UpdateOutputCharge() {
    if (!closed_)
      output_charge_.Resize(output_.size() + sent_.size());
  }

  void RemoveOutgoingBody(uint64_t stream) {
    std::erase_if(outgoing_, [stream](const OutgoingBody& body) {
      return body.stream == stream;
    });
  }

  void StartHandshakeTimer() {
    timer_.expires_after(kHandshakeTimeout);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (!error && !hello_received_)
        Fail();
    });
  }

  void StartHandshake() {
    SetSocketOptions(socket_, kPeerTcpUserTimeout);
    LimitUnsentBytes(socket_, kMaxKernelUnsentBytes);
    wire::Frame frame;
    *frame.mutable_hello() = hub_.hello_;
    connected_ = true;
    Send(frame);
    Read();
  }

  /// Fails in a later turn of the event loop, because no event may be raised
  /// while an effect is applied.
  void FailLater() {
    asio::post(hub_.context_, [this, self = shared_from_this()] { Fail(); });
  }

  void Fail() {
    if (closed_)
      return;
    auto self = shared_from_this();
    Close();
    hub_.event_sink_(LinkClosed{id_});
  }

  void SetWriting(bool writing) {
    if (std::exchange(writing_, writing) == writing)
      return;
    hub_.unfinished_writes_ += writing ? 1 : -1;
  }

  /// Frames that are sent in one turn of the event loop share one write.
  void ScheduleFlush() {
    if (flush_scheduled_ || writing_ || !connected_)
      return;
    flush_scheduled_ = true;
    asio::post(hub_.context_, [this, self = shared_from_this()] {
      flush_scheduled_ = false;
      Flush();
    });
  }

  /// Writes the waiting frames, or else the next part of a body.
  void Flush() {
    if (closed_ || writing_)
      return;
    if (output_.empty() && outgoing_.empty()) {
      if (closing_) {
        // The peer closes the link once it has read everything.
        error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      }
      return;
    }
    std::array<asio::const_buffer, 2> buffers;
    std::shared_ptr<const wire::Forward> body_owner;
    if (!output_.empty()) {
      sent_ = std::exchange(output_, {});
    } else {
      OutgoingBody next = std::move(outgoing_.front());
      outgoing_.pop_front();
      const std::string& body = next.forward->body();
      size_t size = std::min(kPartBytes, body.size() - next.sent);
      sent_ = PartHead(next.stream, size);
      buffers[1] = asio::buffer(body.data() + next.sent, size);
      body_owner = next.forward;
      next.sent += size;
      // Bodies take turns, so that a large one does not delay the others.
      if (next.sent < body.size())
        outgoing_.push_back(std::move(next));
    }
    buffers[0] = asio::buffer(sent_);
    SetWriting(true);
    hub_.sent_bytes_ += asio::buffer_size(buffers);
    asio::async_write(socket_, buffers,
                      [this, body_owner, self = shared_from_this()](
                          error_code error, size_t /*bytes*/) {
                        if (closed_)
                          return;
                        SetWriting(false);
                        sent_.clear();
                        if (sent_.capacity() > kMaxKeptBufferBytes)
                          sent_.shrink_to_fit();
                        UpdateOutputCharge();
                        if (error)
                          StopWriting();
                        else
                          Flush();
                      });
  }

  /// After a failed write the read ends as well, once it has returned what the
  /// peer sent before: results may be among it.
  void StopWriting() {
    write_failed_ = true;
    outgoing_.clear();
    output_.clear();
    UpdateOutputCharge();
  }

  void Read() {
    size_t at = input_.size();
    input_.resize(at + kReadBytes);
    socket_.async_read_some(
        asio::buffer(input_.data() + at, kReadBytes),
        [this, at, self = shared_from_this()](error_code error, size_t bytes) {
          if (closed_)
            return;
          if (error) {
            Fail();
            return;
          }
          hub_.received_bytes_ += bytes;
          if (closing_) {
            input_.clear();
            Read();
            return;
          }
          input_.resize(at + bytes);
          if (InterpretInput([this] { ParseFrames(); }))
            Fail();
          if (closed_)
            return;
          if (input_.empty() && input_.capacity() > kMaxKeptBufferBytes)
            input_.shrink_to_fit();
          input_charge_.Resize(std::max(input_.size(), begun_frame_bytes_));
          Read();
        });
  }

  void ParseFrames() {
    size_t at = 0;
    while (!closed_ && input_.size() - at >= kLengthPrefixBytes) {
      size_t size = 0;
      for (size_t i = 0; i < kLengthPrefixBytes; ++i)
        size = size << 8 | static_cast<uint8_t>(input_[at + i]);
      if (size > kMaxFrameBytes) {
        Fail();
        return;
      }
      if (input_.size() - at - kLengthPrefixBytes < size) {
        // Requests come in large frames only from nodes that do not send parts.
        // An answer must not fail, and with it the link, because uploads fill
        // the memory that large bodies may use.
        if (size > kMaxKeptBufferBytes && begun_frame_bytes_ == 0 &&
            input_.size() - at > kLengthPrefixBytes) {
          auto use = input_[at + kLengthPrefixBytes] == kForwardTag
                         ? MemoryBudget::Use::kLargeBody
                         : MemoryBudget::Use::kAnswer;
          if (!hub_.admission_(size, use))
            throw InputError("no memory for a frame");
          // Charged at once: frames that begin together each find the room that
          // the others have not filled yet.
          begun_frame_bytes_ = size + kLengthPrefixBytes;
          input_charge_.Resize(begun_frame_bytes_);
          input_.erase(0, std::exchange(at, 0));
          input_.reserve(size + kLengthPrefixBytes + kReadBytes);
        }
        break;
      }
      auto charged = std::make_shared<ChargedFrame>();
      std::shared_ptr<wire::Frame> frame(charged, &charged->frame);
      if (!frame->ParseFromArray(input_.data() + at + kLengthPrefixBytes,
                                 static_cast<int>(size)))
        throw InputError("frame cannot be parsed");
      CheckFrame(*frame);
      begun_frame_bytes_ = 0;
      at += kLengthPrefixBytes + size;
      HandleFrame(std::move(charged), size);
    }
    input_.erase(0, at);
  }

  /// @param size serialised size of the frame, bytes.
  void HandleFrame(std::shared_ptr<ChargedFrame> charged, size_t size) {
    wire::Frame& frame = charged->frame;
    if (!hello_received_) {
      if (!frame.has_hello()) {
        Fail();
        return;
      }
      hello_received_ = true;
      peer_accepts_parts_ = frame.hello().body_parts();
      timer_.cancel();
      hub_.event_sink_(LinkOpened{id_, frame.hello(), IsAccepted()});
      return;
    }
    switch (frame.body_case()) {
      case wire::Frame::kForward:
        if (!HoldRequest(charged, size))
          return;
        break;
      case wire::Frame::kBodyPart:
        AddPart(frame.body_part());
        return;
      case wire::Frame::kCancel:
        // The request has not reached the target if its body is incomplete.
        if (incoming_.erase(frame.cancel().stream()) > 0) {
          RejectRequest(frame.cancel().stream(), "cancelled");
          return;
        }
        break;
      case wire::Frame::kOutcome:
        RemoveOutgoingBody(frame.outcome().stream());
        break;
      default:
        break;
    }
    PassOn(charged);
  }

  void PassOn(const std::shared_ptr<ChargedFrame>& charged) {
    hub_.event_sink_(FrameReceived{
        id_, std::shared_ptr<wire::Frame>(charged, &charged->frame)});
  }

  /// Charges a request, or rejects it if there is no room.
  /// @return whether it is complete and can be passed on.
  bool HoldRequest(const std::shared_ptr<ChargedFrame>& charged, size_t size) {
    wire::Forward& forward = *charged->frame.mutable_forward();
    size_t body_size =
        std::max<size_t>(forward.body().size(), forward.body_size());
    if (forward.body_size() > kMaxFrameBytes)
      throw InputError("forward.body_size is out of range");
    size += kFrameOverheadBytes + forward.body_size();
    auto use = body_size == 0 ? MemoryBudget::Use::kNoBody
               : body_size <= MemoryBudget::kSmallBodyBytes
                   ? MemoryBudget::Use::kSmallBody
                   : MemoryBudget::Use::kLargeBody;
    if (!hub_.admission_(size, use)) {
      hub_.budget_.CountRefusal();
      RejectRequest(forward.stream(), "memory");
      return false;
    }
    charged->charge =
        MemoryCharge(hub_.budget_, MemoryBudget::Kind::kLinkInput);
    charged->charge.Resize(size);
    if (forward.body_size() == 0)
      return true;
    forward.clear_body();
    forward.mutable_body()->reserve(forward.body_size());
    incoming_[forward.stream()] = {charged, std::chrono::steady_clock::now()};
    return false;
  }

  void AddPart(const wire::BodyPart& part) {
    auto found = incoming_.find(part.stream());
    // The parts of a rejected request arrive until the peer has read that.
    if (found == incoming_.end())
      return;
    std::shared_ptr<ChargedFrame> charged = found->second.frame;
    wire::Forward& forward = *charged->frame.mutable_forward();
    if (part.data().size() > forward.body_size() - forward.body().size())
      throw InputError("body part is too long");
    forward.mutable_body()->append(part.data());
    if (forward.body().size() < forward.body_size())
      return;
    // The time for the parts counts against the deadline, and not as a delay of
    // the head in transit.
    auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - found->second.started_at);
    incoming_.erase(found);
    forward.clear_body_size();
    forward.set_sent_us(forward.sent_us() +
                        static_cast<uint64_t>(elapsed.count()));
    auto elapsed_ms = static_cast<uint32_t>(elapsed / 1ms);
    forward.set_remaining_ms(forward.remaining_ms() -
                             std::min(forward.remaining_ms(), elapsed_ms));
    forward.set_useful_ms(forward.useful_ms() -
                          std::min(forward.useful_ms(), elapsed_ms));
    PassOn(charged);
  }

  /// Answers a request that this node does not run.
  void RejectRequest(uint64_t stream, const char* reason) {
    wire::Frame frame;
    frame.mutable_outcome()->set_stream(stream);
    frame.mutable_outcome()->set_kind(wire::Outcome::NOT_RUN);
    frame.mutable_outcome()->set_reason(reason);
    Append(frame);
  }

  LinkHub& hub_;
  LinkId id_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string input_;
  /// Size of the large frame that `input_` begins with; 0: there is none.
  size_t begun_frame_bytes_ = 0;
  std::string output_;
  std::string sent_;
  MemoryCharge input_charge_;
  MemoryCharge output_charge_;
  std::deque<OutgoingBody> outgoing_;
  std::unordered_map<uint64_t, IncomingRequest> incoming_;  ///< By stream.
  bool connected_ = false;
  bool hello_received_ = false;
  bool peer_accepts_parts_ = false;
  bool writing_ = false;
  bool write_failed_ = false;
  bool closing_ = false;
  bool flush_scheduled_ = false;
  bool closed_ = false;
};

LinkHub::LinkHub(asio::io_context& context,
                 wire::Hello hello,
                 EventSink event_sink,
                 Bounds bounds)
    : context_(context),
      hello_(std::move(hello)),
      event_sink_(std::move(event_sink)),
      budget_(bounds.budget),
      admission_(std::move(bounds.admission)),
      max_accepted_(bounds.max_accepted),
      acceptor_(context),
      accept_timer_(context) {}

LinkHub::~LinkHub() {
  while (!links_.empty()) {
    auto connection = links_.begin()->second;
    connection->Close();
  }
}

void LinkHub::Listen(const std::string& address) {
  acceptor_ = ListenOn(context_, address);
  Accept();
}

void LinkHub::Accept() {
  acceptor_.async_accept(
      [this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
          return;
        if (!error) {
          if (accepted_ >= max_accepted_ && !CloseUngreetedLink()) {
            // `socket` is closed when it goes out of scope.
            Accept();
            return;
          }
          ++accepted_;
          LinkId id{kAcceptedLinkBit | ++last_accepted_};
          auto connection =
              std::make_shared<Connection>(*this, id, std::move(socket));
          links_[id] = connection;
          connection->StartAccepted();
          Accept();
          return;
        }
        accept_timer_.expires_after(kAcceptRetryDelay);
        accept_timer_.async_wait([this](error_code wait_error) {
          if (!wait_error)
            Accept();
        });
      });
}

void LinkHub::CloseWhenDelivered() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  // Closing a link removes it from the map.
  auto links = links_;
  for (const auto& [id, connection] : links)
    connection->CloseWhenDelivered();
}

bool LinkHub::HasUndelivered() const {
  return std::ranges::any_of(
      links_, [](const auto& item) { return item.second->HasUndelivered(); });
}

bool LinkHub::CloseUngreetedLink() {
  // Ids of accepted links rise, and their order is that of the map.
  auto oldest = std::ranges::find_if(links_, [](const auto& item) {
    return item.second->IsAccepted() && !item.second->hello_received();
  });
  if (oldest == links_.end())
    return false;
  std::shared_ptr<Connection> link = oldest->second;
  link->Close();
  return true;
}

std::shared_ptr<LinkHub::Connection> LinkHub::Find(LinkId link) {
  auto found = links_.find(link);
  return found == links_.end() ? nullptr : found->second;
}

void LinkHub::Apply(const OpenLink& effect) {
  auto connection = std::make_shared<Connection>(
      *this, effect.link, asio::ip::tcp::socket(context_));
  links_[effect.link] = connection;
  connection->Open(effect.address);
}

void LinkHub::Apply(const CloseLink& effect) {
  if (auto connection = Find(effect.link))
    connection->Close();
}

void LinkHub::Apply(const SendFrame& effect) {
  if (auto connection = Find(effect.link))
    connection->Send(*effect.frame);
}

void LinkHub::Apply(const SendForward& effect) {
  if (auto connection = Find(effect.link))
    connection->SendForward(effect.forward);
}

}  // namespace comfreylock::mesh
