#include "mesh/http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// Bytes read from the server at a time.
constexpr size_t kReadBytes = 32 * 1024;
constexpr uint64_t kMaxAnswerBytes = 16 * 1024 * 1024;
constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
/// Received bytes that the parser may leave in the buffer because a line, such
/// as a chunk header, is not complete.
constexpr size_t kMaxUnparsedBytes = 128 * 1024;
/// Interim answers and answers to other requests that are discarded in one
/// exchange.
constexpr int kMaxDiscardedAnswers = 16;
/// Time since its last use within which a connection counts as recently used.
constexpr std::chrono::milliseconds kRecentUseWindow = 1500ms;
/// Time before the server's Keep-Alive timeout at which an idle connection is
/// no longer reused; at most half of that timeout.
constexpr std::chrono::milliseconds kKeepAliveMargin = 800ms;
/// Lower statuses are interim answers (100 to 199), which are skipped.
constexpr int kMinFinalStatus = 200;

/// @return the timeout of a Keep-Alive field, or nothing.
std::optional<std::chrono::milliseconds> KeepAliveTimeout(
    const Fields& fields) {
  auto value = FindField(fields, "keep-alive");
  if (!value)
    return std::nullopt;
  size_t at = value->find("timeout=");
  if (at == std::string_view::npos)
    return std::nullopt;
  int seconds = 0;
  const char* begin = value->data() + at + 8;
  auto [end, status] =
      std::from_chars(begin, value->data() + value->size(), seconds);
  if (status != std::errc() || seconds < 0)
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(HttpClient& client)
      : client_(client),
        socket_(client.context_),
        timer_(client.context_),
        idle_timeout_(client.limits_.idle_timeout) {}

  void Connect() {
    timer_.expires_after(client_.limits_.connect_timeout);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (!error && !connected_)
        Fail(ExchangeResult::Kind::kNotSent, false);
    });
    socket_.async_connect(ParseEndpoint(client_.address_),
                          [this, self = shared_from_this()](error_code error) {
                            if (closed_)
                              return;
                            if (error) {
                              Fail(ExchangeResult::Kind::kNotSent,
                                   error == asio::error::connection_refused);
                              return;
                            }
                            connected_ = true;
                            SetSocketOptions(socket_,
                                             client_.limits_.tcp_user_timeout);
                            SetTimer();
                            Write();
                            Read();
                          });
  }

  void StartExchange(ExchangeId exchange,
                     const HttpRequest& request,
                     Options options,
                     Callback done) {
    exchange_ = exchange;
    ++exchanges_started_;
    received_bytes_ = 0;
    discarded_answers_ = 0;
    options_ = std::move(options);
    done_ = std::move(done);
    output_ = SerializeHead(request);
    body_ = request.shared_body;
    if (!body_)
      output_ += request.body;
    written_ = false;
    StartParser();
    if (!connected_) {
      Connect();
      return;
    }
    SetTimer();
    Write();
  }

  bool IsUsable(bool require_recent_use) const {
    auto idle_time = Clock::now() - idle_since_;
    return !closed_ &&
           idle_time < (require_recent_use
                            ? std::min(idle_timeout_, kRecentUseWindow)
                            : idle_timeout_);
  }

  void Close() {
    if (std::exchange(closed_, true))
      return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    done_ = nullptr;
    ReleaseBufferedBytes();
    client_.Remove(this);
  }

  /// Gives up the exchange, whose answer has become too large.
  void AbandonAnswer() { Fail(ExchangeResult::Kind::kBroken, false); }

  ExchangeId exchange() const { return exchange_; }
  /// @return bytes received of the answer in progress.
  size_t received_bytes() const { return received_bytes_; }

 private:
  using Parser = http::response_parser<http::string_body>;

  void StartParser() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxAnswerBytes);
    parser_->skip(options_.head_request);
    head_scanner_.emplace(HttpHeadScanner::MessageKind::kResponse);
    header_done_ = false;
    fields_.clear();
  }

  /// Copies the fields of the head, to which the parser adds those of a trailer
  /// later.
  void OnHeaderParsed() {
    header_done_ = true;
    for (const auto& field : parser_->get())
      fields_.emplace_back(field.name_string(), field.value());
    // From here on, one call of the parser consumes as much as it can.
    parser_->eager(true);
  }

  void ReleaseBufferedBytes() {
    client_.SubtractBufferedBytes(std::exchange(received_bytes_, 0));
  }

  /// Starts the timeout of the exchange, or of the idle connection. The same
  /// timer also limits the time to connect.
  void SetTimer() {
    std::chrono::milliseconds time =
        exchange_ ? options_.timeout : client_.limits_.idle_timeout;
    if (exchange_ && time.count() == 0) {
      timer_.cancel();
      return;
    }
    timer_.expires_after(time);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (error || closed_)
        return;
      if (exchange_)
        Fail(ExchangeResult::Kind::kTimedOut, false);
      else
        Close();
    });
  }

  void Write() {
    std::array<asio::const_buffer, 2> buffers = {asio::buffer(output_)};
    if (body_)
      buffers[1] = asio::buffer(*body_);
    asio::async_write(socket_, buffers,
                      [this, body = body_, self = shared_from_this()](
                          error_code error, size_t /*bytes*/) {
                        // After a failed write the read ends as well. The
                        // result is left to the read, because the server may
                        // have answered before.
                        if (error)
                          return;
                        written_ = true;
                        body_.reset();
                      });
  }

  void Read() {
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [this, self = shared_from_this()](error_code error, size_t bytes) {
          if (closed_)
            return;
          buffer_.commit(bytes);
          auto input_error = InterpretInput([&] { OnRead(error, bytes); });
          if (input_error)
            Fail(ExchangeResult::Kind::kBroken, false, *input_error);
          else if (!error && !closed_)
            Read();
        });
  }

  void OnRead(error_code error, size_t bytes) {
    if (error) {
      OnReadError(error);
      return;
    }
    if (exchange_) {
      received_bytes_ += bytes;
      client_.AddBufferedBytes(bytes);
      client_.LimitBufferedBytes();
      if (closed_)
        return;
    }
    Parse();
  }

  void Parse() {
    if (!exchange_) {
      // The server sent bytes without a request.
      Close();
      return;
    }
    while (buffer_.size() > 0 && exchange_) {
      error_code error;
      size_t used = header_done_ ? parser_->put(buffer_.data(), error)
                                 : PutHead(*parser_, *head_scanner_,
                                           buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more) {
        if (buffer_.size() > kMaxUnparsedBytes)
          Fail(ExchangeResult::Kind::kBroken, false, "line too long");
        return;
      }
      if (error) {
        Fail(ExchangeResult::Kind::kBroken, false, error.message());
        return;
      }
      bool header_parsed = parser_->is_header_done() && !header_done_;
      if (header_parsed)
        OnHeaderParsed();
      if (parser_->is_done())
        OnAnswerParsed(false);
      else if (used == 0 && !header_parsed)
        return;
    }
    if (!exchange_ && buffer_.size() > 0)
      Close();
  }

  void OnReadError(error_code error) {
    if (!exchange_) {
      Close();
      return;
    }
    // An unwritten rest of the request, or a reset, leaves it in doubt whether
    // the body is complete. A reset can read as an end of stream after a write
    // has failed.
    if (error == asio::error::eof && parser_->is_header_done() &&
        parser_->need_eof() && written_ &&
        IsOrderlyEnd(socket_.native_handle())) {
      error_code ignored;
      parser_->put_eof(ignored);
      if (parser_->is_done()) {
        OnAnswerParsed(true);
        return;
      }
    }
    Fail(ExchangeResult::Kind::kBroken, false);
  }

  void OnAnswerParsed(bool connection_ended) {
    bool reusable = !connection_ended && parser_->keep_alive();
    auto message = parser_->release();
    HttpAnswer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.status_text = std::string(message.reason());
    answer.fields = std::move(fields_);
    answer.body = std::move(message.body());
    bool interim = answer.status < kMinFinalStatus;
    AnswerMatch match = AnswerMatch::kOwn;
    if (ContainsStatusLine(answer))
      match = AnswerMatch::kInvalid;
    else if (!interim && options_.match)
      match = options_.match(answer, exchanges_started_ == 1);
    if (match == AnswerMatch::kInvalid) {
      Fail(ExchangeResult::Kind::kBroken, false,
           "answer of no certain request");
      return;
    }
    bool matches = match == AnswerMatch::kOwn;
    if ((interim || !matches) && ++discarded_answers_ > kMaxDiscardedAnswers) {
      Fail(ExchangeResult::Kind::kBroken, false, "too many other answers");
      return;
    }
    if (interim) {
      StartParser();
      return;
    }
    if (!matches) {
      // The answer belongs to an earlier request.
      mismatched_answer_seen_ = true;
      if (connection_ended)
        Fail(ExchangeResult::Kind::kBroken, false);
      else
        StartParser();
      return;
    }
    if (auto time = KeepAliveTimeout(answer.fields)) {
      idle_timeout_ = std::min(client_.limits_.idle_timeout,
                               std::max(*time - kKeepAliveMargin, *time / 2));
    }
    ExchangeResult result;
    result.kind = ExchangeResult::Kind::kAnswered;
    result.answer = std::move(answer);
    Callback done = std::exchange(done_, nullptr);
    client_.exchanges_.erase(exchange_);
    exchange_ = 0;
    // May own the request and its body.
    options_.match = nullptr;
    ReleaseBufferedBytes();
    // If the answer came before the request was written completely, the rest of
    // the request would precede the next one, so the connection is closed.
    if (!reusable || mismatched_answer_seen_ || !written_ ||
        buffer_.size() > 0) {
      Close();
    } else {
      idle_since_ = Clock::now();
      client_.idle_connections_.push_back(this);
      SetTimer();
    }
    done(std::move(result));
  }

  /// @param error what was wrong with the server's bytes, if that is the cause.
  void Fail(ExchangeResult::Kind kind,
            bool refused,
            std::string error = std::string()) {
    Callback done = std::exchange(done_, nullptr);
    client_.exchanges_.erase(exchange_);
    exchange_ = 0;
    auto self = shared_from_this();
    Close();
    ExchangeResult result;
    result.kind = kind;
    result.refused = refused;
    result.error = std::move(error);
    if (done)
      done(std::move(result));
  }

  HttpClient& client_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<HttpHeadScanner> head_scanner_;
  ExchangeId exchange_ = 0;
  Options options_;
  Callback done_;
  std::string output_;
  /// Body of the request that is being written; null if it is in `output_`.
  std::shared_ptr<const std::string> body_;
  std::chrono::milliseconds idle_timeout_;
  Clock::time_point idle_since_;
  Fields fields_;  ///< Of the head of the answer in progress.
  bool header_done_ = false;
  uint64_t exchanges_started_ = 0;  ///< On this connection.
  size_t received_bytes_ = 0;       ///< Of the answer in progress.
  int discarded_answers_ = 0;       ///< In the exchange in progress.
  bool connected_ = false;
  bool written_ = false;
  bool mismatched_answer_seen_ = false;
  bool closed_ = false;
};

HttpClient::HttpClient(asio::io_context& context,
                       std::string address,
                       Limits limits)
    : context_(context), address_(std::move(address)), limits_(limits) {}

HttpClient::~HttpClient() {
  while (!connections_.empty()) {
    auto connection = connections_.begin()->second;
    connection->Close();
  }
}

HttpClient::ExchangeId HttpClient::Send(const HttpRequest& request,
                                        Options options,
                                        Callback done) {
  ExchangeId id = ++last_exchange_;
  std::shared_ptr<Connection> connection;
  // The connection used last is reused first, so that the others reach their
  // idle timeout.
  while (!idle_connections_.empty() && !connection &&
         !options.require_new_connection) {
    Connection* candidate = idle_connections_.back();
    if (!candidate->IsUsable(options.require_recent_use)) {
      // All others have been idle for longer.
      break;
    }
    idle_connections_.pop_back();
    connection = candidate->shared_from_this();
  }
  if (!connection) {
    connection = std::make_shared<Connection>(*this);
    connections_[connection.get()] = connection;
  }
  exchanges_[id] = connection.get();
  connection->StartExchange(id, request, std::move(options), std::move(done));
  return id;
}

void HttpClient::Abort(ExchangeId exchange) {
  auto found = exchanges_.find(exchange);
  if (found == exchanges_.end())
    return;
  auto connection = found->second->shared_from_this();
  connection->Close();
}

void HttpClient::AddBufferedBytes(size_t bytes) {
  buffered_bytes_ += bytes;
  if (limits_.budget)
    limits_.budget->Add(MemoryBudget::Kind::kTargetAnswers, bytes);
}

void HttpClient::SubtractBufferedBytes(size_t bytes) {
  buffered_bytes_ -= bytes;
  if (limits_.budget)
    limits_.budget->Subtract(MemoryBudget::Kind::kTargetAnswers, bytes);
}

void HttpClient::LimitBufferedBytes() {
  while (buffered_bytes_ > limits_.max_buffered_bytes) {
    auto largest = std::ranges::max_element(
        connections_, {},
        [](const auto& item) { return item.second->received_bytes(); });
    std::shared_ptr<Connection> connection = largest->second;
    connection->AbandonAnswer();
  }
}

void HttpClient::Remove(Connection* connection) {
  exchanges_.erase(connection->exchange());
  std::erase(idle_connections_, connection);
  connections_.erase(connection);
}

}  // namespace comfreylock::mesh
