#include "mesh/http_server.h"

#include <deque>
#include <optional>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http_io.h"
#include "mesh/socket_options.h"

namespace comfreylock::mesh {
namespace {

using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// Bytes read from a client at a time.
constexpr size_t kReadBytes = 16 * 1024;
/// Pipelined requests in progress on one connection; more wait unread.
constexpr size_t kMostPipelined = 16;
/// Interval at which time limits of connections are checked.
constexpr std::chrono::milliseconds kSweepInterval = 500ms;
/// Time that a client may leave an answer unread.
constexpr std::chrono::milliseconds kWriteTimeout = 20s;
/// Time for a client to close after an answer that ends the connection.
constexpr std::chrono::milliseconds kLinger = 1s;
/// Bytes of request bodies held at a time by one listener.
constexpr size_t kMostBodyBytes = 96 * 1024 * 1024;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    Wait(server_.handlers_.limits().idle_timeout);
  }

  void Start() { Read(); }

  void Respond(CallId call, HttpAnswer answer) {
    for (Slot& slot : slots_) {
      if (slot.call != call || slot.answered)
        continue;
      slot.answered = true;
      if (server_.closing_ || answer.close)
        slot.close = true;
      answer.close = slot.close;
      slot.bytes = Serialize(answer, slot.head_request);
      break;
    }
    FlushAnswers();
  }

  void CheckTime(Clock::time_point now) {
    if (now < limit_)
      return;
    if (!output_.empty() || writing_ || ending_) {
      Close();
      return;
    }
    bool partial = parser_ && buffer_started_;
    if (partial && slots_.empty()) {
      // The rest of the request did not come in time.
      RefuseAndEnd(kRequestTimeout);
      return;
    }
    if (slots_.empty())
      Close();
  }

  void Close() {
    if (closed_)
      return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    std::vector<CallId> gone;
    for (const Slot& slot : slots_) {
      if (slot.call && !slot.answered)
        gone.push_back(slot.call);
    }
    slots_.clear();
    ReleaseBody(held_);
    auto self = shared_from_this();
    server_.connections_.erase(this);
    for (CallId call : gone) {
      server_.calls_.erase(call);
      server_.handlers_.on_gone(call);
    }
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  /// A request and the answer that is due for it.
  struct Slot {
    CallId call;
    bool head_request = false;
    bool close = false;
    bool answered = false;
    size_t body_bytes = 0;
    std::string bytes;
  };

  void Wait(std::chrono::milliseconds time) { limit_ = Clock::now() + time; }

  void HoldBody(size_t bytes) {
    held_ += bytes;
    server_.body_bytes_ += bytes;
  }

  void ReleaseBody(size_t bytes) {
    held_ -= bytes;
    server_.body_bytes_ -= bytes;
  }

  void Read() {
    if (closed_ || reading_)
      return;
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [this, self = shared_from_this()](error_code error, size_t bytes) {
          reading_ = false;
          if (closed_)
            return;
          if (error) {
            Close();
            return;
          }
          if (ending_) {
            // What still comes is discarded, so that no reset destroys the
            // last answer.
            Read();
            return;
          }
          buffer_.commit(bytes);
          // Under load a request may be read after its client has left.
          if (HasEnded(socket_)) {
            Close();
            return;
          }
          Parse();
          // A client that sends far ahead is not read, but its close is seen
          // once the answers before are written.
          if (slots_.size() < kMostPipelined)
            Read();
        });
  }

  void Parse() {
    while (!closed_ && !ending_ && !last_request_ && buffer_.size() > 0 &&
           slots_.size() < kMostPipelined) {
      if (!parser_)
        StartParser();
      if (!ParseSome())
        return;
    }
  }

  void StartParser() {
    CallerLimits limits = server_.handlers_.limits();
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    fields_.clear();
    head_done_ = false;
    buffer_started_ = true;
    Wait(limits.header_timeout);
  }

  /// @return whether a whole request was taken from the buffer.
  bool ParseSome() {
    error_code error;
    size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more)
      error = {};
    if (!error && parser_->is_header_done() && !head_done_) {
      head_done_ = true;
      if (!TakeHead())
        return false;
      parser_->eager(true);
      if (!parser_->is_done()) {
        used = parser_->put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == http::error::need_more)
          error = {};
      }
    }
    if (error) {
      RefuseAndEnd(error == http::error::header_limit ||
                           error == http::error::buffer_overflow
                       ? kHeadTooLarge
                   : error == http::error::body_limit ? kPayloadTooLarge
                                                      : kBadRequest);
      return false;
    }
    if (!parser_->is_done()) {
      if (head_done_)
        Wait(server_.handlers_.limits().idle_timeout);
      return false;
    }
    TakeRequest();
    return true;
  }

  /// @return whether the head is acceptable.
  bool TakeHead() {
    const auto& head = parser_->get();
    if (!FramingFault(head.base()).empty()) {
      RefuseAndEnd(kBadRequest);
      return false;
    }
    for (const auto& field : head)
      fields_.emplace_back(field.name_string(), field.value());
    if (server_.body_bytes_ > kMostBodyBytes &&
        parser_->content_length_remaining().value_or(1) > 0) {
      RefuseAndEnd(kUnavailable);
      return false;
    }
    if (head.count(http::field::expect) && !parser_->is_done()) {
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Write();
    }
    return true;
  }

  void TakeRequest() {
    auto message = parser_->release();
    bool framed = message.count(http::field::content_length) > 0 ||
                  message.count(http::field::transfer_encoding) > 0;
    bool keep = message.keep_alive();
    parser_.reset();
    buffer_started_ = false;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = std::move(fields_);
    request.body = std::move(message.body());
    request.has_body = framed;
    Slot slot;
    slot.call = CallId{++server_.last_call_};
    slot.head_request = message.method() == http::verb::head;
    slot.close = !keep;
    slot.body_bytes = request.body.size();
    HoldBody(slot.body_bytes);
    last_request_ = !keep;
    CallId call = slot.call;
    slots_.push_back(std::move(slot));
    server_.calls_[call] = weak_from_this();
    limit_ = Clock::time_point::max();
    server_.handlers_.on_request(call, std::move(request));
  }

  /// Answers what cannot be taken as a request, and ends the connection.
  void RefuseAndEnd(int status) {
    parser_.reset();
    last_request_ = true;
    Slot slot;
    slot.answered = true;
    slot.close = true;
    HttpAnswer answer;
    answer.status = status;
    answer.close = true;
    slot.bytes = Serialize(answer, false);
    slots_.push_back(std::move(slot));
    FlushAnswers();
  }

  void FlushAnswers() {
    if (closed_)
      return;
    while (!slots_.empty() && slots_.front().answered && !ending_) {
      Slot& slot = slots_.front();
      output_ += slot.bytes;
      ending_ = slot.close;
      ReleaseBody(slot.body_bytes);
      server_.calls_.erase(slot.call);
      slots_.pop_front();
    }
    if (ending_) {
      // Requests behind an answer that ends the connection were not read.
      std::vector<CallId> gone;
      for (const Slot& slot : slots_) {
        if (slot.call && !slot.answered)
          gone.push_back(slot.call);
        ReleaseBody(slot.body_bytes);
      }
      slots_.clear();
      for (CallId call : gone) {
        server_.calls_.erase(call);
        server_.handlers_.on_gone(call);
      }
    }
    Write();
  }

  void Write() {
    if (writing_ || closed_)
      return;
    if (output_.empty()) {
      AfterWrite();
      return;
    }
    writing_ = true;
    sent_ = std::exchange(output_, {});
    Wait(kWriteTimeout);
    asio::async_write(
        socket_, asio::buffer(sent_),
        [this, self = shared_from_this()](error_code error, size_t /*bytes*/) {
          writing_ = false;
          if (closed_)
            return;
          if (error) {
            Close();
            return;
          }
          Write();
        });
  }

  void AfterWrite() {
    if (ending_ && !shut_down_) {
      shut_down_ = true;
      error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      Wait(kLinger);
      Read();
      return;
    }
    if (ending_)
      return;
    if (slots_.empty() && !parser_)
      Wait(server_.handlers_.limits().idle_timeout);
    else if (!slots_.empty())
      limit_ = Clock::time_point::max();
    // Requests that waited in the buffer for room.
    if (buffer_.size() > 0 && !parsing_again_) {
      parsing_again_ = true;
      Parse();
      parsing_again_ = false;
    }
    if (slots_.size() < kMostPipelined)
      Read();
  }

  HttpServer& server_;
  asio::ip::tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Fields fields_;
  std::deque<Slot> slots_;
  std::string output_;
  std::string sent_;
  Clock::time_point limit_;
  size_t held_ = 0;
  bool head_done_ = false;
  bool buffer_started_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool last_request_ = false;
  bool ending_ = false;
  bool shut_down_ = false;
  bool closed_ = false;
  bool parsing_again_ = false;
};

HttpServer::HttpServer(asio::io_context& context, Handlers handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      acceptor_(context),
      sweep_(context) {}

HttpServer::~HttpServer() = default;

void HttpServer::Listen(const std::string& address) {
  acceptor_ = ListenOn(context_, address);
  Accept();
  Sweep();
}

void HttpServer::Respond(CallId call, HttpAnswer answer) {
  auto found = calls_.find(call);
  if (found == calls_.end())
    return;
  if (auto connection = found->second.lock())
    connection->Respond(call, std::move(answer));
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error) {
      error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_[connection.get()] = connection;
      connection->Start();
    }
    Accept();
  });
}

void HttpServer::Sweep() {
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](error_code error) {
    if (error)
      return;
    auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> all;
    all.reserve(connections_.size());
    for (const auto& [key, connection] : connections_)
      all.push_back(connection);
    for (const auto& connection : all)
      connection->CheckTime(now);
    Sweep();
  });
}

}  // namespace comfreylock::mesh
