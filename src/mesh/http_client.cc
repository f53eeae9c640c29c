#include "mesh/http_client.h"

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
#include "mesh/socket_options.h"

namespace comfreylock::mesh {
namespace {

using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr size_t kReadBytes = 32 * 1024;
constexpr uint64_t kMostAnswerBytes = 64 * 1024 * 1024;
constexpr uint32_t kMostHeadBytes = 64 * 1024;
/// Time since its last use within which a connection counts as fresh.
constexpr std::chrono::milliseconds kFreshTime = 1500ms;
/// Margin before the time at which the server closes an idle connection.
constexpr std::chrono::milliseconds kIdleMargin = 800ms;
constexpr int kFirstFinalStatus = 200;

/// @return the idle time that a Keep-Alive field gives.
std::optional<std::chrono::milliseconds> KeepAliveTime(const Fields& fields) {
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
        idle_limit_(client.limits_.idle) {}

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
                            SetSocketOptions(socket_, client_.limits_.silence);
                            SetTimer();
                            Write();
                            Read();
                          });
  }

  void Take(ExchangeId exchange,
            std::string bytes,
            Options options,
            Callback done) {
    exchange_ = exchange;
    options_ = std::move(options);
    done_ = std::move(done);
    output_ = std::move(bytes);
    written_ = false;
    StartParser();
    if (!connected_) {
      Connect();
      return;
    }
    SetTimer();
    Write();
  }

  bool Usable(bool fresh) const {
    auto idle = Clock::now() - idle_since_;
    return !closed_ &&
           idle < (fresh ? std::min(idle_limit_, kFreshTime) : idle_limit_);
  }

  void Close() {
    if (std::exchange(closed_, true))
      return;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    done_ = nullptr;
    client_.Forget(this);
  }

  ExchangeId exchange() const { return exchange_; }

 private:
  using Parser = http::response_parser<http::string_body>;

  void StartParser() {
    parser_.emplace();
    parser_->header_limit(kMostHeadBytes);
    parser_->body_limit(kMostAnswerBytes);
    parser_->eager(true);
    parser_->skip(options_.head_request);
  }

  /// One timer serves connecting, the exchange and idleness.
  void SetTimer() {
    std::chrono::milliseconds time =
        exchange_ ? options_.timeout : client_.limits_.idle;
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
    asio::async_write(
        socket_, asio::buffer(output_),
        [this, self = shared_from_this()](error_code error, size_t /*bytes*/) {
          // A failed write shows in the read as well, which may
          // still find an answer.
          if (!error)
            written_ = true;
        });
  }

  void Read() {
    socket_.async_read_some(
        buffer_.prepare(kReadBytes),
        [this, self = shared_from_this()](error_code error, size_t bytes) {
          if (closed_)
            return;
          buffer_.commit(bytes);
          if (error) {
            OnEnd(error);
            return;
          }
          Parse();
          if (!closed_)
            Read();
        });
  }

  void Parse() {
    if (!exchange_) {
      // Bytes that belong to no request.
      Close();
      return;
    }
    while (buffer_.size() > 0 && exchange_) {
      error_code error;
      size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more)
        return;
      if (error) {
        Fail(ExchangeResult::Kind::kBroken, false);
        return;
      }
      if (parser_->is_done())
        TakeAnswer(false);
      else if (used == 0)
        return;
    }
    if (!exchange_ && buffer_.size() > 0)
      Close();
  }

  void OnEnd(error_code error) {
    if (!exchange_) {
      Close();
      return;
    }
    if (error == asio::error::eof && parser_->is_header_done() &&
        parser_->need_eof()) {
      error_code ignored;
      parser_->put_eof(ignored);
      if (parser_->is_done()) {
        TakeAnswer(true);
        return;
      }
    }
    Fail(ExchangeResult::Kind::kBroken, false);
  }

  void TakeAnswer(bool ended) {
    bool keep = !ended && parser_->keep_alive();
    auto message = parser_->release();
    HttpAnswer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.status_text = std::string(message.reason());
    for (const auto& field : message)
      answer.fields.emplace_back(field.name_string(), field.value());
    answer.body = std::move(message.body());
    if (answer.status < kFirstFinalStatus) {
      StartParser();
      return;
    }
    if (options_.is_mine && !options_.is_mine(answer)) {
      // A late answer to an earlier request.
      crossed_ = true;
      if (ended)
        Fail(ExchangeResult::Kind::kBroken, false);
      else
        StartParser();
      return;
    }
    if (auto time = KeepAliveTime(answer.fields)) {
      idle_limit_ = std::min(client_.limits_.idle,
                             std::max(*time - kIdleMargin, *time / 2));
    }
    ExchangeResult result;
    result.kind = ExchangeResult::Kind::kAnswered;
    result.answer = std::move(answer);
    Callback done = std::exchange(done_, nullptr);
    client_.exchanges_.erase(exchange_);
    exchange_ = 0;
    // An answer before the end of the request leaves the rest in the way.
    if (!keep || crossed_ || !written_ || buffer_.size() > 0) {
      Close();
    } else {
      idle_since_ = Clock::now();
      client_.idle_.push_back(this);
      SetTimer();
    }
    done(std::move(result));
  }

  void Fail(ExchangeResult::Kind kind, bool refused) {
    Callback done = std::exchange(done_, nullptr);
    client_.exchanges_.erase(exchange_);
    exchange_ = 0;
    auto self = shared_from_this();
    Close();
    ExchangeResult result;
    result.kind = kind;
    result.refused = refused;
    if (done)
      done(std::move(result));
  }

  HttpClient& client_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  ExchangeId exchange_ = 0;
  Options options_;
  Callback done_;
  std::string output_;
  std::chrono::milliseconds idle_limit_;
  Clock::time_point idle_since_;
  bool connected_ = false;
  bool written_ = false;
  bool crossed_ = false;
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
  // The last one used first, so that the others can go.
  while (!idle_.empty() && !connection) {
    Connection* candidate = idle_.back();
    if (!candidate->Usable(options.fresh)) {
      // All before it were idle for longer.
      break;
    }
    idle_.pop_back();
    connection = candidate->shared_from_this();
  }
  if (!connection) {
    connection = std::make_shared<Connection>(*this);
    connections_[connection.get()] = connection;
  }
  exchanges_[id] = connection.get();
  connection->Take(id, Serialize(request), std::move(options), std::move(done));
  return id;
}

void HttpClient::Abort(ExchangeId exchange) {
  auto found = exchanges_.find(exchange);
  if (found == exchanges_.end())
    return;
  auto connection = found->second->shared_from_this();
  connection->Close();
}

void HttpClient::Forget(Connection* connection) {
  exchanges_.erase(connection->exchange());
  std::erase(idle_, connection);
  connections_.erase(connection);
}

}  // namespace comfreylock::mesh
