#include "mesh/link_hub.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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

}  // namespace

class LinkHub::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LinkHub& hub, LinkId id, asio::ip::tcp::socket socket)
      : hub_(hub), id_(id), socket_(std::move(socket)), timer_(hub.context_) {}

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
    size_t size = frame.ByteSizeLong();
    size_t at = output_.size();
    output_.resize(at + kLengthPrefixBytes + size);
    auto* bytes = reinterpret_cast<uint8_t*>(output_.data() + at);
    for (size_t i = 0; i < kLengthPrefixBytes; ++i)
      bytes[i] =
          static_cast<uint8_t>(size >> (8 * (kLengthPrefixBytes - 1 - i)));
    frame.SerializeWithCachedSizesToArray(bytes + kLengthPrefixBytes);
    if (output_.size() > kMaxUnsentBytes) {
      FailLater();
      return;
    }
    ScheduleFlush();
  }

  void Close() {
    if (std::exchange(closed_, true))
      return;
    SetWriting(false);
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    hub_.links_.erase(id_);
  }

 private:
  void StartHandshakeTimer() {
    timer_.expires_after(kHandshakeTimeout);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (!error && !hello_received_)
        Fail();
    });
  }

  void StartHandshake() {
    SetSocketOptions(socket_, kPeerTcpUserTimeout);
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

  void Flush() {
    if (closed_ || writing_ || output_.empty())
      return;
    SetWriting(true);
    sent_ = std::exchange(output_, {});
    hub_.sent_bytes_ += sent_.size();
    asio::async_write(
        socket_, asio::buffer(sent_),
        [this, self = shared_from_this()](error_code error, size_t /*bytes*/) {
          if (closed_)
            return;
          SetWriting(false);
          if (error)
            Fail();
          else
            Flush();
        });
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
          input_.resize(at + bytes);
          hub_.received_bytes_ += bytes;
          if (InterpretInput([this] { ParseFrames(); }))
            Fail();
          if (!closed_)
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
      if (input_.size() - at - kLengthPrefixBytes < size)
        break;
      auto frame = std::make_shared<wire::Frame>();
      if (!frame->ParseFromArray(input_.data() + at + kLengthPrefixBytes,
                                 static_cast<int>(size)))
        throw InputError("frame cannot be parsed");
      CheckFrame(*frame);
      at += kLengthPrefixBytes + size;
      HandleFrame(std::move(frame));
    }
    input_.erase(0, at);
  }

  void HandleFrame(std::shared_ptr<wire::Frame> frame) {
    if (hello_received_) {
      hub_.event_sink_(FrameReceived{id_, std::move(frame)});
      return;
    }
    if (!frame->has_hello()) {
      Fail();
      return;
    }
    hello_received_ = true;
    timer_.cancel();
    bool accepted = (id_.value & kAcceptedLinkBit) != 0;
    hub_.event_sink_(LinkOpened{id_, frame->hello(), accepted});
  }

  LinkHub& hub_;
  LinkId id_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string input_;
  std::string output_;
  std::string sent_;
  bool connected_ = false;
  bool hello_received_ = false;
  bool writing_ = false;
  bool flush_scheduled_ = false;
  bool closed_ = false;
};

LinkHub::LinkHub(asio::io_context& context,
                 wire::Hello hello,
                 EventSink event_sink)
    : context_(context),
      hello_(std::move(hello)),
      event_sink_(std::move(event_sink)),
      acceptor_(context) {}

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
        if (error == asio::error::operation_aborted)
          return;
        if (!error) {
          LinkId id{kAcceptedLinkBit | ++last_accepted_};
          auto connection =
              std::make_shared<Connection>(*this, id, std::move(socket));
          links_[id] = connection;
          connection->StartAccepted();
        }
        Accept();
      });
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
  auto connection = Find(effect.link);
  if (!connection)
    return;
  // The frame refers to the request without owning it, which saves a copy of
  // the body.
  wire::Frame frame;
  frame.unsafe_arena_set_allocated_forward(effect.forward.get());
  connection->Send(frame);
  frame.unsafe_arena_release_forward();
}

}  // namespace comfreylock::mesh
