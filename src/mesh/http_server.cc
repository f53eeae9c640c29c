#include "mesh/http_server.h"

#include <algorithm>
#include <cstdio>
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
/// Bytes of answers that a client has not read above which no further request
/// is read from its connection.
constexpr size_t kMaxUnreadAnswerBytes = 256 * 1024;
/// Interval at which the timeouts of connections are checked.
constexpr std::chrono::milliseconds kTimeoutCheckInterval = 500ms;
/// Time within which a client must have read what is written to it.
constexpr std::chrono::milliseconds kWriteTimeout = 20s;
/// Time for a client to close the connection after its last answer.
constexpr std::chrono::milliseconds kCloseTimeout = 1s;
/// Kernel's receive buffer of a connection, which counts as memory of this
/// process. Above the product of 200 Mbit/s and a round trip of 2 ms.
constexpr size_t kReceiveBufferBytes = 64 * 1024;
/// Memory of a connection besides its buffers.
constexpr size_t kConnectionOverheadBytes = 2 * 1024;
/// Memory of a request besides its fields and body.
constexpr size_t kRequestOverheadBytes = 1024;
constexpr size_t kFieldOverheadBytes = 80;
/// Steps in which room for a chunked body is charged.
constexpr size_t kChargeStepBytes = 64 * 1024;
/// Size of a chunked body from which its string grows by `kBodyGrowthFactor`.
/// Unused capacity is no resident memory, and each step copies the body.
constexpr size_t kMinGrownBodyBytes = 128 * 1024;
constexpr size_t kBodyGrowthFactor = 4;
/// Time without progress after which a body or an answer counts as stalled. It
/// is abandoned then if its memory is needed.
constexpr std::chrono::milliseconds kStallTime = 700ms;
/// Bytes of a body or an answer that count as progress, so that single bytes do
/// not.
constexpr size_t kProgressBytes = 4 * 1024;
/// Interval between two searches for stalled or idle connections that found
/// none. A search visits all connections.
constexpr std::chrono::milliseconds kSearchInterval = 20ms;
/// Unread answers of a connection above which they count as stalled when they
/// make no progress.
constexpr size_t kLargeAnswerBytes = 64 * 1024;
/// Bytes that a connection has taken on after the admission of its requests up
/// to which it is not closed to stay within the limit. All connections together
/// hold no more than what is not counted.
constexpr size_t kMinClosedBytes = 8 * 1024;
/// Size of a written answer above which its memory is released at once.
constexpr size_t kMaxKeptOutputBytes = 64 * 1024;
/// `Retry-After` of requests that are refused for want of memory, spread over
/// [0.5 s, 1.5 s) so that the clients do not return together.
constexpr uint64_t kMinRetryAfterMs = 500;
constexpr uint64_t kRetryAfterSpreadMs = 1000;
/// Delay after a failed accept, which otherwise fails again at once while no
/// descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay = 50ms;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, asio::ip::tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        reading_charge_(server.budget_, MemoryBudget::Kind::kReading),
        answer_charge_(server.budget_, MemoryBudget::Kind::kAnswers),
        buffer_charge_(server.budget_, MemoryBudget::Kind::kConnections),
        unread_charge_(server.budget_, MemoryBudget::Kind::kConnections) {
    SetTimeout(server_.handlers_.limits().idle_timeout);
  }

  void Start() { Read(); }

  void Respond(CallId call, HttpAnswer answer, RequestNames request) {
    for (PendingAnswer& pending : pending_answers_) {
      if (pending.call != call || pending.answered)
        continue;
      pending.answered = true;
      pending.request = std::move(request);
      if (server_.close_after_answers_ || answer.close)
        pending.close = true;
      answer.close = pending.close;
      pending.bytes = Serialize(answer, pending.head_request);
      UpdateAnswerCharge();
      // The kernel takes a smaller answer at once as a rule.
      if (pending.bytes.size() > kLargeAnswerBytes)
        server_.MakeRoomForAnswer(0);
      break;
    }
    FlushAnswers();
    server_.MakeRoomForAnswer(0);
  }

  /// See `HttpServer::CloseWhenDelivered`.
  void CloseWhenDelivered() {
    if (closed_ || final_answer_queued_)
      return;
    stop_parsing_ = true;
    if (parser_) {
      RefuseUnread();
    } else if (pending_answers_.empty()) {
      final_answer_queued_ = true;
      Write();
    } else {
      pending_answers_.back().close = true;
      FlushAnswers();
    }
    // Input that stays unread would reset the connection when it is closed, and
    // discard the answers that the client has not received.
    Read();
  }

  bool HasUndelivered() {
    return writing_ || !output_.empty() || UnacknowledgedBytes(socket_) > 0;
  }

  /// @return bytes that the connection has taken on since its requests were
  ///     admitted: answers that the client has not read, and room for requests
  ///     that this node has not read.
  size_t unadmitted_bytes() const {
    return answer_charge_.bytes() + unread_charge_.bytes();
  }

  /// @return since when the connection has held memory without progress, or
  ///     nothing if it holds none or waits for this node.
  std::optional<Clock::time_point> StalledSince() const {
    if (closed_ || final_answer_queued_)
      return std::nullopt;
    if (HoldsManyAnswers())
      return write_progress_at_;
    if (parser_ && header_done_ && reading_charge_.bytes() > 0)
      return progress_at_;
    return std::nullopt;
  }

  /// Gives up the body or the answer that has stalled.
  void AbandonStalled() {
    server_.budget_.CountAbandoned();
    if (HoldsManyAnswers())
      Close(CutReason::kStalled);
    else
      RefuseAndClose(kRequestTimeout);
  }

  /// @return whether the client has sent bytes that this process has not read
  ///     yet, so that the delay is its own.
  bool HasUnreadInput() const {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }

  /// @return since when an incomplete request has made no progress while no
  ///     other one of the connection is in progress, or nothing.
  std::optional<Clock::time_point> IncompleteSince() const {
    if (closed_ || !parser_ || !pending_answers_.empty())
      return std::nullopt;
    return progress_at_;
  }

  bool IsIdle() const {
    return !closed_ && !parser_ && pending_answers_.empty() && !writing_ &&
           !final_answer_queued_;
  }
  Clock::time_point deadline() const { return deadline_; }

  void CheckTimeout(Clock::time_point now) {
    if (now < deadline_)
      return;
    // The client has not received all of the last answer.
    if (send_side_closed_ && now < delivery_deadline_ &&
        UnacknowledgedBytes(socket_) > 0)
      return;
    if (!output_.empty() || writing_ || final_answer_queued_) {
      Close(CutReason::kWriteTimeout);
      return;
    }
    bool partial = parser_ && request_started_;
    if (partial && pending_answers_.empty()) {
      // The rest of the request did not arrive in time.
      RefuseAndClose(kRequestTimeout);
      return;
    }
    if (pending_answers_.empty())
      Close(CutReason::kWriteTimeout);
  }

  /// @param reason told about the answers that are not completely written.
  void Close(CutReason reason) {
    if (closed_)
      return;
    closed_ = true;
    ReportPending(reason);
    // The end of a write in progress tells how much of it was written.
    cut_reason_ = reason;
    if (!writing_)
      ReportUnwritten(reason);
    SetWriting(false);
    error_code ignored;
    socket_.close(ignored);
    std::vector<CallId> unanswered;
    for (const PendingAnswer& pending : pending_answers_) {
      if (pending.call && !pending.answered)
        unanswered.push_back(pending.call);
      else
        server_.calls_.erase(pending.call);
    }
    pending_answers_.clear();
    reading_charge_.Resize(0);
    answer_charge_.Resize(0);
    buffer_charge_.Resize(0);
    unread_charge_.Resize(0);
    parser_.reset();
    auto self = shared_from_this();
    server_.connections_.erase(this);
    for (CallId call : unanswered) {
      server_.calls_.erase(call);
      server_.handlers_.on_call_cancelled(call);
    }
  }

  /// Reports the answers that are neither written nor being written, and the
  /// requests that this node leaves without an answer.
  void ReportPending(CutReason reason) {
    if (!server_.handlers_.on_answer_cut)
      return;
    for (const PendingAnswer& pending : pending_answers_) {
      // A caller that leaves before there is an answer is ordinary.
      if (!pending.call ||
          (!pending.answered && reason == CutReason::kClosedByCaller))
        continue;
      size_t bytes = pending.bytes.size();
      server_.handlers_.on_answer_cut(
          {pending.call, pending.request, bytes, bytes, reason});
    }
  }

  /// Reports the answers that are not completely written.
  void ReportUnwritten(CutReason reason) {
    for (const CutAnswer& cut : unwritten_.Take(reason))
      server_.handlers_.on_answer_cut(cut);
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  /// A request in progress; holds its serialised answer once `answered` is set.
  struct PendingAnswer {
    CallId call;  ///< Unset if the request was refused while it was parsed.
    bool head_request = false;
    bool close = false;
    bool answered = false;
    MemoryCharge charge;  ///< For the request.
    std::string bytes;
    RequestNames request;
  };

  bool HoldsManyAnswers() const {
    return writing_ && answer_charge_.bytes() > kLargeAnswerBytes;
  }

  void SetTimeout(std::chrono::milliseconds time) {
    deadline_ = Clock::now() + time;
  }

  void SetWriting(bool writing) {
    if (std::exchange(writing_, writing) == writing)
      return;
    server_.unfinished_writes_ += writing ? 1 : -1;
  }

  /// Charges the answers that are not yet read by the client.
  void UpdateAnswerCharge() {
    if (closed_)
      return;
    size_t bytes = output_.size() + sent_.size() + unwritten_.held_bytes();
    for (const PendingAnswer& pending : pending_answers_)
      bytes += pending.bytes.size();
    answer_charge_.Resize(bytes);
  }

  /// Charges the request that is being read with `bytes` in total.
  /// @return false if there is no room for them.
  bool ChargeReading(size_t bytes, MemoryBudget::Use use) {
    if (bytes <= reading_charge_.bytes())
      return true;
    if (!server_.MakeRoom(bytes - reading_charge_.bytes(), use, this))
      return false;
    // Another connection that was closed for its memory may have led to an
    // answer on this one, and that to its end.
    if (closed_ || !parser_)
      return false;
    reading_charge_.Resize(bytes);
    return true;
  }

  /// Charges a chunked body with what the received bytes can add to it.
  bool ChargeChunkedBody() {
    std::string& body = parser_->get().body();
    size_t size = body.size() + buffer_.size();
    if (size > MemoryBudget::kSmallBodyBytes) {
      size =
          (size + kChargeStepBytes - 1) / kChargeStepBytes * kChargeStepBytes;
    }
    if (!ChargeReading(head_bytes_ + size, size > MemoryBudget::kSmallBodyBytes
                                               ? MemoryBudget::Use::kLargeBody
                                               : MemoryBudget::Use::kSmallBody))
      return false;
    if (size > kMinGrownBodyBytes && body.capacity() < size)
      body.reserve(size * kBodyGrowthFactor);
    return true;
  }

  void RecordProgress() {
    size_t size = parser_->get().body().size();
    if (size < progress_bytes_ + kProgressBytes)
      return;
    progress_bytes_ = size;
    progress_at_ = Clock::now();
  }

  void Read() {
    if (closed_ || reading_)
      return;
    reading_ = true;
    unread_charge_.Resize(0);
    auto room = buffer_.prepare(kReadBytes);
    buffer_charge_.Resize(kConnectionOverheadBytes + buffer_.capacity());
    socket_.async_read_some(room, [this, self = shared_from_this()](
                                      error_code error, size_t bytes) {
      reading_ = false;
      if (closed_)
        return;
      if (error) {
        Close(CutReason::kClosedByCaller);
        return;
      }
      if (final_answer_queued_) {
        // Further input is read and discarded: closing a socket with unread
        // input sends a reset, which can destroy the last answer.
        Read();
        return;
      }
      // Under load, a request may be read only after its client has
      // disconnected.
      if (IsClosedByPeer(socket_)) {
        Close(CutReason::kClosedByCaller);
        return;
      }
      if (stop_parsing_) {
        // No request follows, so that what the client still sends must not
        // be kept.
        buffer_.clear();
        Read();
        return;
      }
      buffer_.commit(bytes);
      ParseInput();
      // Reading stops while the pipeline is full. The client's close is
      // then noticed only after the pending answers are written.
      if (AcceptsRequests())
        Read();
      else
        Pause();
    });
  }

  /// Counts what the kernel may receive until this node reads again.
  void Pause() {
    if (closed_ || reading_)
      return;
    unread_charge_.Resize(kReceiveBufferBytes);
    server_.MakeRoomForAnswer(0);
  }

  /// @return whether further requests are read: not while the client leaves
  ///     many requests or much of their answers waiting. `AfterWrite` resumes.
  ///     A request that was begun is read to its end, since its client may read
  ///     the earlier answers only after it has sent all of it.
  bool AcceptsRequests() const {
    return pending_answers_.size() < kMaxPipelinedRequests &&
           (parser_ ||
            output_.size() + sent_.size() + unwritten_.held_bytes() <=
                kMaxUnreadAnswerBytes);
  }

  void ParseInput() {
    if (!InterpretInput([this] { Parse(); }) || closed_)
      return;
    // Without a parser, the request was complete and was delivered.
    if (parser_)
      RefuseAndClose(kBadRequest);
    else
      Close(CutReason::kInternalError);
  }

  void Parse() {
    while (!closed_ && !final_answer_queued_ && !stop_parsing_ &&
           buffer_.size() > 0 && AcceptsRequests()) {
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
    progress_at_ = Clock::now();
    SetTimeout(limits.header_timeout);
  }

  /// Parses the buffer up to the end of one request.
  /// @return whether the request was complete and was delivered.
  bool ParseRequest() {
    error_code error;
    if (header_done_ && parser_->chunked() && !ChargeChunkedBody()) {
      RefuseForMemory();
      return false;
    }
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
        if (parser_->chunked() && !ChargeChunkedBody()) {
          RefuseForMemory();
          return false;
        }
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
      if (header_done_) {
        RecordProgress();
        SetTimeout(limits.idle_timeout);
      }
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
    head_bytes_ = kRequestOverheadBytes;
    for (const auto& field : head) {
      fields_.emplace_back(field.name_string(), field.value());
      head_bytes_ += fields_.back().first.size() +
                     fields_.back().second.size() + kFieldOverheadBytes;
    }
    progress_bytes_ = 0;
    progress_at_ = Clock::now();
    // A body with a length is charged completely before it is read, so that it
    // can be finished once it was begun.
    size_t length = parser_->content_length_remaining().value_or(0);
    auto use = length > MemoryBudget::kSmallBodyBytes
                   ? MemoryBudget::Use::kLargeBody
               : length > 0 ? MemoryBudget::Use::kSmallBody
                            : MemoryBudget::Use::kNoBody;
    if (!ChargeReading(head_bytes_ + length, use)) {
      RefuseForMemory();
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
    reading_charge_.Resize(0);
    pending.charge =
        MemoryCharge(server_.budget_, MemoryBudget::Kind::kRequests);
    pending.charge.Resize(head_bytes_ + request.body.size());
    stop_parsing_ = !reusable;
    CallId call = pending.call;
    pending_answers_.push_back(std::move(pending));
    server_.calls_[call] = weak_from_this();
    // No timeout applies while a request is in progress, except that of an
    // earlier answer that is being written.
    if (!writing_)
      deadline_ = Clock::time_point::max();
    server_.handlers_.on_request(call, std::move(request));
  }

  /// Refuses a request for which there is no memory.
  void RefuseForMemory() {
    server_.budget_.CountRefusal();
    RefuseUnread();
  }

  /// Refuses a request that was not read completely, and hence has not run.
  void RefuseUnread() {
    // 619 and the spread have no common factor, so that all values occur.
    uint64_t retry_after =
        kMinRetryAfterMs + ++server_.refusals_ * 619 % kRetryAfterSpreadMs;
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f",
                  static_cast<double>(retry_after) / 1000);
    RefuseAndClose(kUnavailable, {{"Retry-After", text}});
  }

  /// Answers a request that cannot be accepted, and closes the connection.
  void RefuseAndClose(int status, Fields fields = {}) {
    parser_.reset();
    reading_charge_.Resize(0);
    stop_parsing_ = true;
    PendingAnswer pending;
    pending.answered = true;
    pending.close = true;
    HttpAnswer answer;
    answer.status = status;
    answer.fields = std::move(fields);
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
      size_t size = pending.bytes.size();
      if (output_.empty())
        output_ = std::move(pending.bytes);
      else
        output_ += pending.bytes;
      if (pending.call && server_.handlers_.on_answer_cut) {
        unwritten_.Add(pending.call, std::move(pending.request), size,
                       sent_.size() + output_.size());
      }
      final_answer_queued_ = pending.close;
      server_.calls_.erase(pending.call);
      pending_answers_.pop_front();
    }
    if (final_answer_queued_) {
      // Requests behind the answer that closes the connection get no answer.
      ReportPending(CutReason::kLastAnswer);
      std::vector<CallId> unanswered;
      for (const PendingAnswer& pending : pending_answers_) {
        if (pending.call && !pending.answered)
          unanswered.push_back(pending.call);
      }
      pending_answers_.clear();
      for (CallId call : unanswered) {
        server_.calls_.erase(call);
        server_.handlers_.on_call_cancelled(call);
      }
    }
    UpdateAnswerCharge();
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
    write_progress_at_ = Clock::now();
    write_progress_bytes_ = 0;
    SetTimeout(kWriteTimeout);
    asio::async_write(
        socket_, asio::buffer(sent_),
        [this](error_code error, size_t bytes) {
          unwritten_.SetProgress(bytes);
          if (bytes >= write_progress_bytes_ + kProgressBytes) {
            write_progress_bytes_ = bytes;
            write_progress_at_ = Clock::now();
          }
          return asio::transfer_all()(error, bytes);
        },
        [this, self = shared_from_this()](error_code error, size_t bytes) {
          unwritten_.SetProgress(bytes);
          if (closed_) {
            ReportUnwritten(cut_reason_);
            return;
          }
          SetWriting(false);
          if (error) {
            Close(CutReason::kClosedByCaller);
            return;
          }
          unwritten_.EndWrite();
          sent_.clear();
          if (sent_.capacity() > kMaxKeptOutputBytes)
            sent_.shrink_to_fit();
          UpdateAnswerCharge();
          Write();
        });
  }

  void AfterWrite() {
    if (final_answer_queued_ && !send_side_closed_) {
      send_side_closed_ = true;
      error_code ignored;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      SetTimeout(kCloseTimeout);
      delivery_deadline_ = Clock::now() + kWriteTimeout;
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
  UnwrittenAnswers unwritten_;
  CutReason cut_reason_ = CutReason::kClosedByCaller;  ///< Set by `Close`.
  Clock::time_point deadline_;
  /// End of the time for receiving the last answer, once it was written.
  Clock::time_point delivery_deadline_;
  MemoryCharge reading_charge_;  ///< For the request that is being read.
  MemoryCharge answer_charge_;
  MemoryCharge buffer_charge_;  ///< For `buffer_` and the object.
  /// For the kernel's receive buffer while this node does not read.
  MemoryCharge unread_charge_;
  size_t head_bytes_ = 0;            ///< Memory of the head of the request.
  size_t progress_bytes_ = 0;        ///< Size of the body at `progress_at_`.
  Clock::time_point progress_at_;    ///< When the body last made progress.
  size_t write_progress_bytes_ = 0;  ///< Of `sent_` at `write_progress_at_`.
  /// When the answers that are being written last made progress.
  Clock::time_point write_progress_at_;
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
    : HttpServer(context, std::move(handlers), Bounds()) {}

HttpServer::HttpServer(asio::io_context& context,
                       Handlers handlers,
                       Bounds bounds)
    : context_(context),
      handlers_(std::move(handlers)),
      budget_(bounds.budget ? *bounds.budget : own_budget_),
      max_connections_(bounds.max_connections),
      acceptor_(context),
      timeout_check_timer_(context),
      accept_timer_(context) {}

HttpServer::~HttpServer() = default;

void HttpServer::Listen(const std::string& address) {
  acceptor_ = ListenOn(context_, address, kReceiveBufferBytes);
  Accept();
  ScheduleTimeoutCheck();
}

void HttpServer::Respond(CallId call, HttpAnswer answer, RequestNames request) {
  auto found = calls_.find(call);
  if (found == calls_.end())
    return;
  if (auto connection = found->second.lock())
    connection->Respond(call, std::move(answer), std::move(request));
}

void HttpServer::ReportAnswersCutByExit() {
  for (const auto& [key, connection] : connections_) {
    connection->ReportPending(CutReason::kShutdown);
    connection->ReportUnwritten(CutReason::kShutdown);
  }
}

void HttpServer::CloseWhenDelivered() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  // Closing a connection removes it from the map.
  auto connections = connections_;
  for (const auto& [key, connection] : connections)
    connection->CloseWhenDelivered();
}

bool HttpServer::HasUndelivered() const {
  return std::ranges::any_of(connections_, [](const auto& item) {
    return item.second->HasUndelivered();
  });
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](error_code error,
                                asio::ip::tcp::socket socket) {
    // The accept may have succeeded before the listener was closed.
    if (error == asio::error::operation_aborted || !acceptor_.is_open())
      return;
    if (error) {
      CloseIdleConnection();
      AcceptLater();
      return;
    }
    // Without an idle connection to close, the new one is closed when `socket`
    // goes out of scope. Its client has not sent a request that was read.
    if (connections_.size() < max_connections_ || CloseIdleConnection()) {
      error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_[connection.get()] = connection;
      connection->Start();
    }
    Accept();
  });
}

void HttpServer::AcceptLater() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this](error_code error) {
    if (!error)
      Accept();
  });
}

bool HttpServer::CloseIdleConnection() {
  auto now = Clock::now();
  if (now < next_idle_search_)
    return false;
  std::shared_ptr<Connection> idle;
  std::shared_ptr<Connection> stalled;
  for (const auto& [key, connection] : connections_) {
    // All idle connections have the same timeout.
    if (connection->IsIdle() &&
        (!idle || connection->deadline() < idle->deadline()))
      idle = connection;
    auto since = connection->IncompleteSince();
    if (since && now - *since >= kStallTime &&
        (!stalled || *since < *stalled->IncompleteSince()))
      stalled = connection;
  }
  if (!idle && stalled && stalled->HasUnreadInput())
    stalled = nullptr;
  auto closed = idle ? idle : stalled;
  if (!closed) {
    next_idle_search_ = now + kSearchInterval;
    return false;
  }
  closed->Close(CutReason::kStalled);
  return true;
}

bool HttpServer::MakeRoom(size_t bytes, MemoryBudget::Use use) {
  return use == MemoryBudget::Use::kAnswer ? MakeRoomForAnswer(bytes)
                                           : MakeRoom(bytes, use, nullptr);
}

bool HttpServer::MakeRoom(size_t bytes,
                          MemoryBudget::Use use,
                          const Connection* except) {
  if (budget_.Admits(bytes, use))
    return true;
  auto now = Clock::now();
  if (now < next_stall_search_ || bytes > budget_.LimitOf(use))
    return false;
  std::vector<std::pair<Clock::time_point, std::shared_ptr<Connection>>>
      stalled;
  for (const auto& [key, connection] : connections_) {
    auto since = connection->StalledSince();
    if (key != except && since && now - *since >= kStallTime)
      stalled.emplace_back(*since, connection);
  }
  std::ranges::sort(stalled);
  for (const auto& [since, connection] : stalled) {
    if (connection->HasUnreadInput())
      continue;
    connection->AbandonStalled();
    if (budget_.Admits(bytes, use))
      return true;
  }
  next_stall_search_ = now + kSearchInterval;
  return false;
}

bool HttpServer::MakeRoomForAnswer(size_t bytes) {
  // Requests were admitted within the limit; what exceeds it are answers, whose
  // size is known only when they arrive, and what the kernel receives while
  // connections are not read. Requests that have run get no other answer.
  if (bytes > budget_.limit())
    return false;
  while (!MakeRoom(bytes, MemoryBudget::Use::kAnswer, nullptr)) {
    auto largest = std::ranges::max_element(
        connections_, {},
        [](const auto& item) { return item.second->unadmitted_bytes(); });
    if (largest == connections_.end() ||
        largest->second->unadmitted_bytes() < kMinClosedBytes)
      return false;
    std::shared_ptr<Connection> connection = largest->second;
    budget_.CountAbandoned();
    connection->Close(CutReason::kMemory);
  }
  return true;
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
