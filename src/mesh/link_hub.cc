#include "mesh/link_hub.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "http_io.h"
#include "mesh/socket_options.h"

namespace comfreylock::mesh {
namespace {

using boost::system::error_code;
using namespace std::chrono_literals;

constexpr size_t kLengthBytes = 4;
/// Largest frame: a request body at its limit, and the rest of the request.
constexpr size_t kMostFrameBytes = 80 * 1024 * 1024;
/// Read at a time; the space is cleared before, so more costs time.
constexpr size_t kReadBytes = 16 * 1024;
/// Unsent bytes after which a link counts as dead.
constexpr size_t kMostUnsentBytes = 48 * 1024 * 1024;
/// Time to connect and to get the other node's Hello.
constexpr std::chrono::milliseconds kOpenTimeout = 1000ms;
/// Set in the ids of accepted links, which the hub gives, so that they differ
/// from those that the reducer gives.
constexpr uint64_t kAcceptedMark = uint64_t{1} << 63;

}  // namespace

class LinkHub::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(LinkHub& hub, LinkId id, asio::ip::tcp::socket socket)
      : hub_(hub), id_(id), socket_(std::move(socket)), timer_(hub.context_) {}

  void Open(const std::string& address) {
    StartTimer();
    socket_.async_connect(ParseEndpoint(address),
                          [this, self = shared_from_this()](error_code error) {
                            if (closed_)
                              return;
                            if (error)
                              Fail();
                            else
                              Start();
                          });
  }

  void StartAccepted() {
    StartTimer();
    Start();
  }

  void Send(const wire::Frame& frame) {
    if (closed_)
      return;
    size_t size = frame.ByteSizeLong();
    size_t at = output_.size();
    output_.resize(at + kLengthBytes + size);
    auto* bytes = reinterpret_cast<uint8_t*>(output_.data() + at);
    for (size_t i = 0; i < kLengthBytes; ++i)
      bytes[i] = static_cast<uint8_t>(size >> (8 * (kLengthBytes - 1 - i)));
    frame.SerializeWithCachedSizesToArray(bytes + kLengthBytes);
    if (output_.size() > kMostUnsentBytes) {
      // The effect may not feed an event at once.
      asio::post(hub_.context_, [this, self = shared_from_this()] { Fail(); });
      return;
    }
    ScheduleFlush();
  }

  void Close() {
    if (std::exchange(closed_, true))
      return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    hub_.links_.erase(id_);
  }

 private:
  void StartTimer() {
    timer_.expires_after(kOpenTimeout);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (!error && !opened_)
        Fail();
    });
  }

  void Start() {
    SetSocketOptions(socket_, kPeerSilence);
    wire::Frame frame;
    *frame.mutable_hello() = hub_.hello_;
    connected_ = true;
    Send(frame);
    Read();
  }

  void Fail() {
    if (closed_)
      return;
    auto self = shared_from_this();
    Close();
    hub_.feed_(LinkClosed{id_});
  }

  /// Frames of one turn of the event loop go out in one write.
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
    writing_ = true;
    sent_ = std::exchange(output_, {});
    hub_.sent_bytes_ += sent_.size();
    asio::async_write(
        socket_, asio::buffer(sent_),
        [this, self = shared_from_this()](error_code error, size_t /*bytes*/) {
          writing_ = false;
          if (closed_)
            return;
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
          TakeFrames();
          if (!closed_)
            Read();
        });
  }

  void TakeFrames() {
    size_t at = 0;
    while (!closed_ && input_.size() - at >= kLengthBytes) {
      size_t size = 0;
      for (size_t i = 0; i < kLengthBytes; ++i)
        size = size << 8 | static_cast<uint8_t>(input_[at + i]);
      if (size > kMostFrameBytes) {
        Fail();
        return;
      }
      if (input_.size() - at - kLengthBytes < size)
        break;
      auto frame = std::make_shared<wire::Frame>();
      if (!frame->ParseFromArray(input_.data() + at + kLengthBytes,
                                 static_cast<int>(size))) {
        Fail();
        return;
      }
      at += kLengthBytes + size;
      TakeFrame(std::move(frame));
    }
    input_.erase(0, at);
  }

  void TakeFrame(std::shared_ptr<wire::Frame> frame) {
    if (opened_) {
      hub_.feed_(FrameReceived{id_, std::move(frame)});
      return;
    }
    if (!frame->has_hello()) {
      Fail();
      return;
    }
    opened_ = true;
    timer_.cancel();
    bool accepted = (id_.value & kAcceptedMark) != 0;
    hub_.feed_(LinkOpened{id_, frame->hello(), accepted});
  }

  LinkHub& hub_;
  LinkId id_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string input_;
  std::string output_;
  std::string sent_;
  bool connected_ = false;
  bool opened_ = false;
  bool writing_ = false;
  bool flush_scheduled_ = false;
  bool closed_ = false;
};

LinkHub::LinkHub(asio::io_context& context, wire::Hello hello, Feed feed)
    : context_(context),
      hello_(std::move(hello)),
      feed_(std::move(feed)),
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
          LinkId id{kAcceptedMark | ++last_accepted_};
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
  // The request is lent to the frame, so that its body is not copied.
  wire::Frame frame;
  frame.unsafe_arena_set_allocated_forward(effect.forward.get());
  connection->Send(frame);
  frame.unsafe_arena_release_forward();
}

}  // namespace comfreylock::mesh
