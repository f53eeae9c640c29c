#include "mesh/http_server.h"

#include <deque>
#include <optional>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http_io.h"
#include "mesh/peer_input.h"
#include "mesh/socket_options.h"

namespace comfreylock::mesh {
namespace {

using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

/// Bytes read from a client at a time.
constexpr size_t kReadBytes = 16 * 1024;
/// Received bytes that the parser may leave in the buffer, beyond the largest
/// header, because a line, such as a chunk header, is not complete.
constexpr size_t kMaxUnparsedBytes = 64 * 1024;
/// Pipelined requests in progress on one connection; further ones are not read
/// until one of these is answered.
constexpr size_t kMaxPipelinedRequests = 16;
/// Interval at which the timeouts of connections are checked.
constexpr std::chrono::milliseconds kTimeoutCheckInterval = 500ms;
/// Time within which a client must have read what is written to it.
constexpr std::chrono::milliseconds kWriteTimeout = 20s;
/// Time for a client to close the connection after its last answer.
constexpr std::chrono::milliseconds kCloseTimeout = 1s;
/// A server refuses further requests with a body while the bodies of requests
/// in progress exceed this size.
constexpr size_t kMaxBufferedBodyBytes = 96 * 1024 * 1024;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {
    SetTimeout(server_.handlers_.limits().idle_timeout);
  }

  void Start() { Read(); }

  void Respond(CallId call, HttpAnswer answer) {
    for (PendingAnswer& pending : pending_answers_) {
      if (pending.call != call || pending.answered)
        continue;
      pending.answered = true;
      if (server_.close_after_answers_ || answer.close)
        pending.close = true;
      answer.close = pending.close;
      pending.bytes = Serialize(answer, pending.head_request);
      break;
    }
    FlushAnswers();
  }

  void CheckTimeout(Clock::time_point now) {
    if (now < deadline_)
      return;
    if (!output_.empty() || writing_ || final_answer_queued_) {
      Close();
      return;
    }
    bool partial = parser_ && request_started_;
    if (partial && pending_answers_.empty()) {
      // The rest of the request did not arrive in time.
      RefuseAndClose(kRequestTimeout);
      return;
    }
    if (pending_answers_.empty())
      Close();
  }

  void Close() {
    if (closed_)
      return;
    closed_ = true;
    SetWriting(false);
    error_code ignored;
    socket_.close(ignored);
    std::vector<CallId> unanswered;
    for (const PendingAnswer& pending : pending_answers_) {
      if (pending.call && !pending.answered)
        unanswered.push_back(pending.call);
    }
    pending_answers_.clear();
    SubtractBodyBytes(buffered_body_bytes_);
    auto self = shared_from_this();
    server_.connections_.erase(this);
    for (CallId call : unanswered) {
      server_.calls_.erase(call);
      server_.handlers_.on_call_cancelled(call);
    }
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  /// A request in progress; holds its serialised answer once `answered` is set.
  struct PendingAnswer {
    CallId call;  ///< Unset if the request was refused while it was parsed.
    bool head_request = false;
    bool close = false;
    bool answered = false;
    size_t body_bytes = 0;
    std::string bytes;
  };

  void SetTimeout(std::chrono::milliseconds time) {
    deadline_ = Clock::now() + time;
  }

  void SetWriting(bool writing) {
    if (std::exchange(writing_, writing) == writing)
      return;
    server_.unfinished_writes_ += writing ? 1 : -1;
  }

  void AddBodyBytes(size_t bytes) {
    buffered_body_bytes_ += bytes;
    server_.body_bytes_ += bytes;
  }

  void SubtractBodyBytes(size_t bytes) {
    buffered_body_bytes_ -= bytes;
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
          if (final_answer_queued_) {
            // Further input is read and discarded: closing a socket with unread
            // input sends a reset, which can destroy the last answer.
            Read();
            return;
          }
          buffer_.commit(bytes);
          // Under load, a request may be read only after its client has
          // disconnected.
          if (IsClosedByPeer(socket_)) {
            Close();
            return;
          }
          ParseInput();
          // Reading stops while the pipeline is full. The client's close is
          // then noticed only after the pending answers are written.
          if (pending_answers_.size() < kMaxPipelinedRequests)
            Read();
        });
  }

  void ParseInput() {
    if (!InterpretInput([this] { Parse(); }) || closed_)
      return;
    // Without a parser, the request was complete and was delivered.
    if (parser_)
      RefuseAndClose(kBadRequest);
    else
      Close();
  }

  void Parse() {
    while (!closed_ && !final_answer_queued_ && !stop_parsing_ &&
           buffer_.size() > 0 &&
           pending_answers_.size() < kMaxPipelinedRequests) {
      if (!parser_)
        StartParser();
      if (!ParseRequest())
        return;
    }
  }

  void StartParser() {
    CallerLimits limits = server_.handlers_.limits();
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
    parser_->body_limit(limits.max_body_bytes);
    head_scanner_.emplace(HttpHeadScanner::MessageKind::kRequest);
    fields_.clear();
    header_done_ = false;
    request_started_ = true;
    SetTimeout(limits.header_timeout);
  }

  /// Parses the buffer up to the end of one request.
  /// @return whether the request was complete and was delivered.
  bool ParseRequest() {
    error_code error;
    size_t used =
        header_done_ ? parser_->put(buffer_.data(), error)
                     : PutHead(*parser_, *head_scanner_, buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more)
      error = {};
    if (!error && parser_->is_header_done() && !header_done_) {
      header_done_ = true;
      if (!ProcessHeader())
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
      RefuseAndClose(error == http::error::header_limit ||
                             error == http::error::buffer_overflow
                         ? kHeaderTooLarge
                     : error == http::error::body_limit ? kPayloadTooLarge
                                                        : kBadRequest);
      return false;
    }
    if (!parser_->is_done()) {
      CallerLimits limits = server_.handlers_.limits();
      if (buffer_.size() > limits.max_header_bytes + kMaxUnparsedBytes) {
        RefuseAndClose(kBadRequest);
        return false;
      }
      if (header_done_)
        SetTimeout(limits.idle_timeout);
      return false;
    }
    DeliverRequest();
    return true;
  }

  /// Checks the header, and sends 100 Continue if the client expects it.
  /// @return false if the request was refused.
  bool ProcessHeader() {
    const auto& head = parser_->get();
    if (!FramingError(head.base()).empty()) {
      RefuseAndClose(kBadRequest);
      return false;
    }
    for (const auto& field : head)
      fields_.emplace_back(field.name_string(), field.value());
    if (server_.body_bytes_ > kMaxBufferedBodyBytes &&
        parser_->content_length_remaining().value_or(1) > 0) {
      RefuseAndClose(kUnavailable);
      return false;
    }
    if (head.count(http::field::expect) && !parser_->is_done()) {
      output_ += "HTTP/1.1 100 Continue\r\n\r\n";
      Write();
    }
    return true;
  }

  void DeliverRequest() {
    auto message = parser_->release();
    bool framed = message.count(http::field::content_length) > 0 ||
                  message.count(http::field::transfer_encoding) > 0;
    bool reusable = message.keep_alive();
    parser_.reset();
    request_started_ = false;
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.request_target = std::string(message.target());
    request.fields = std::move(fields_);
    request.body = std::move(message.body());
    request.has_body = framed;
    PendingAnswer pending;
    pending.call = CallId{++server_.last_call_};
    pending.head_request = message.method() == http::verb::head;
    pending.close = !reusable;
    pending.body_bytes = request.body.size();
    AddBodyBytes(pending.body_bytes);
    stop_parsing_ = !reusable;
    CallId call = pending.call;
    pending_answers_.push_back(std::move(pending));
    server_.calls_[call] = weak_from_this();
    // No timeout applies while a request is in progress.
    deadline_ = Clock::time_point::max();
    server_.handlers_.on_request(call, std::move(request));
  }

  /// Answers a request that cannot be accepted, and closes the connection.
  void RefuseAndClose(int status) {
    parser_.reset();
    stop_parsing_ = true;
    PendingAnswer pending;
    pending.answered = true;
    pending.close = true;
    HttpAnswer answer;
    answer.status = status;
    answer.close = true;
    pending.bytes = Serialize(answer, false);
    pending_answers_.push_back(std::move(pending));
    FlushAnswers();
  }

  void FlushAnswers() {
    if (closed_)
      return;
    while (!pending_answers_.empty() && pending_answers_.front().answered &&
           !final_answer_queued_) {
      PendingAnswer& pending = pending_answers_.front();
      output_ += pending.bytes;
      final_answer_queued_ = pending.close;
      SubtractBodyBytes(pending.body_bytes);
      server_.calls_.erase(pending.call);
      pending_answers_.pop_front();
    }
    if (final_answer_queued_) {
      // Requests behind the answer that closes the connection get no answer.
      std::vector<CallId> unanswered;
      for (const PendingAnswer& pending : pending_answers_) {
        if (pending.call && !pending.answered)
          unanswered.push_back(pending.call);
        SubtractBodyBytes(pending.body_bytes);
      }
      pending_answers_.clear();
      for (CallId call : unanswered) {
        server_.calls_.erase(call);
        server_.handlers_.on_call_cancelled(call);
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
    SetWriting(true);
    sent_ = std::exchange(output_, {});
    SetTimeout(kWriteTimeout);
    asio::async_write(
        socket_, asio::buffer(sent_),
        [this, self = shared_from_this()](error_code error, size_t /*bytes*/) {
          if (closed_)
            return;
          SetWriting(false);
          if (error) {
            Close();
            return;
          }
          Write();
        });
  }

  void AfterWrite() {
    if (final_answer_queued_ && !send_side_closed_) {
      send_side_closed_ = true;
      error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      SetTimeout(kCloseTimeout);
      Read();
      return;
    }
    if (final_answer_queued_)
      return;
    if (pending_answers_.empty() && !parser_)
      SetTimeout(server_.handlers_.limits().idle_timeout);
    else if (!pending_answers_.empty())
      deadline_ = Clock::time_point::max();
    // Requests may remain in the buffer from when the pipeline was full.
    if (buffer_.size() > 0 && !resuming_parse_) {
      resuming_parse_ = true;
      ParseInput();
      resuming_parse_ = false;
    }
    if (pending_answers_.size() < kMaxPipelinedRequests)
      Read();
  }

  HttpServer& server_;
  asio::ip::tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<HttpHeadScanner> head_scanner_;
  Fields fields_;
  std::deque<PendingAnswer> pending_answers_;
  std::string output_;
  std::string sent_;
  Clock::time_point deadline_;
  size_t buffered_body_bytes_ = 0;
  bool header_done_ = false;
  bool request_started_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool stop_parsing_ = false;
  bool final_answer_queued_ = false;
  bool send_side_closed_ = false;
  bool closed_ = false;
  bool resuming_parse_ = false;  ///< Prevents recursion of `AfterWrite`.
};

HttpServer::HttpServer(asio::io_context& context, Handlers handlers)
    : context_(context),
      handlers_(std::move(handlers)),
      acceptor_(context),
      timeout_check_timer_(context) {}

HttpServer::~HttpServer() = default;

void HttpServer::Listen(const std::string& address) {
  acceptor_ = ListenOn(context_, address);
  Accept();
  ScheduleTimeoutCheck();
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

void HttpServer::ScheduleTimeoutCheck() {
  timeout_check_timer_.expires_after(kTimeoutCheckInterval);
  timeout_check_timer_.async_wait([this](error_code error) {
    if (error)
      return;
    auto now = Clock::now();
    std::vector<std::shared_ptr<Connection>> all;
    all.reserve(connections_.size());
    for (const auto& [key, connection] : connections_)
      all.push_back(connection);
    for (const auto& connection : all)
      connection->CheckTimeout(now);
    ScheduleTimeoutCheck();
  });
}

}  // namespace comfreylock::mesh
