#include "http_io.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
/// Bytes read at a time while the head of a message is incomplete; most heads
/// are smaller.
constexpr size_t kHeadReadBytes = 4096;
/// Interim answers (1xx) to one request.
constexpr int kMaxInterimAnswers = 16;
/// Time for which a request's last write may still complete after the answer
/// has arrived.
constexpr std::chrono::milliseconds kWriteCompletionTimeout = 50ms;
/// Interval between checks whether the peer closed a connection with unread
/// bytes.
constexpr std::chrono::milliseconds kCloseCheckInterval = 100ms;
/// Bounds on the discarding of request bytes after an early answer.
constexpr std::chrono::milliseconds kLingerTimeout = 2s;
constexpr size_t kMaxLingerBytes = 8 << 20;

bool HasPeerClosed(asio::ip::tcp::socket& socket) {
  pollfd poll_state{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&poll_state, 1, 0) > 0 &&
         (poll_state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

/// @return the parser's error code for a violation.
error_code ErrorOf(HttpHeadScanner::Error violation) {
  using Error = HttpHeadScanner::Error;
  switch (violation) {
    case Error::kNone:
      return {};
    case Error::kBadStatus:
      return http::make_error_code(http::error::bad_status);
    case Error::kFoldedLine:
    case Error::kBadFieldName:
      return http::make_error_code(http::error::bad_field);
    case Error::kBadLineEnding:
      return http::make_error_code(http::error::bad_line_ending);
    case Error::kNulByte:
      break;
  }
  return http::make_error_code(http::error::bad_value);
}

}  // namespace

template <bool kIsRequest>
size_t PutHead(http::basic_parser<kIsRequest>& parser,
               HttpHeadScanner& scanner,
               asio::const_buffer bytes,
               error_code& error) {
  auto violation =
      scanner.Scan({static_cast<const char*>(bytes.data()), bytes.size()});
  if (violation != HttpHeadScanner::Error::kNone) {
    error = ErrorOf(violation);
    return 0;
  }
  size_t used = parser.put(bytes, error);
  scanner.Consume(used);
  // The parser and the scanner must agree where the head ends.
  if (!error && parser.is_header_done() && !scanner.IsHeadConsumed())
    error = http::make_error_code(http::error::bad_line_ending);
  return used;
}

template size_t PutHead<true>(http::basic_parser<true>&,
                              HttpHeadScanner&,
                              asio::const_buffer,
                              error_code&);
template size_t PutHead<false>(http::basic_parser<false>&,
                               HttpHeadScanner&,
                               asio::const_buffer,
                               error_code&);

template <bool kIsRequest>
asio::awaitable<error_code> ReadHead(beast::tcp_stream& stream,
                                     beast::flat_buffer& buffer,
                                     http::basic_parser<kIsRequest>& parser) {
  HttpHeadScanner scanner(kIsRequest ? HttpHeadScanner::MessageKind::kRequest
                                     : HttpHeadScanner::MessageKind::kResponse);
  // The parser stops after the head.
  parser.eager(false);
  error_code error;
  while (true) {
    if (buffer.size() > 0) {
      size_t used = PutHead(parser, scanner, buffer.data(), error);
      buffer.consume(used);
      if (error && error != http::error::need_more)
        co_return error;
      if (!error && parser.is_header_done())
        co_return error;
    }
    if (buffer.size() >= buffer.max_size())
      co_return http::make_error_code(http::error::buffer_overflow);
    size_t room = std::min(kHeadReadBytes, buffer.max_size() - buffer.size());
    size_t got = co_await stream.async_read_some(
        buffer.prepare(room), asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(got);
    if (error == asio::error::eof) {
      co_return http::make_error_code(parser.got_some()
                                          ? http::error::partial_message
                                          : http::error::end_of_stream);
    }
    if (error)
      co_return error;
  }
}

template asio::awaitable<error_code> ReadHead<true>(beast::tcp_stream&,
                                                    beast::flat_buffer&,
                                                    http::basic_parser<true>&);
template asio::awaitable<error_code> ReadHead<false>(
    beast::tcp_stream&,
    beast::flat_buffer&,
    http::basic_parser<false>&);

bool IsOrderlyEnd(int socket) {
  int pending_error = 0;
  socklen_t size = sizeof(pending_error);
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &pending_error, &size) == 0 &&
      pending_error != 0)
    return false;
  tcp_info info{};
  size = sizeof(info);
  return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
         size == 0 || info.tcpi_state != TCP_CLOSE;
}

asio::awaitable<std::string> BufferedBody::Read() {
  co_return std::exchange(data_, {});
}

asio::awaitable<std::string> PrefixedBody::Read() {
  if (!prefix_.empty())
    co_return std::exchange(prefix_, {});
  if (!rest_)
    co_return std::string();
  if (rest_read_)
    *rest_read_ = true;
  co_return co_await rest_->Read();
}

template <bool kIsRequest>
asio::awaitable<std::string> ParsedBody<kIsRequest>::Read() {
  std::string piece(kStreamChunkBytes, '\0');
  while (!parser_.is_done()) {
    if (piece_timeout_)
      stream_.expires_after(*piece_timeout_);
    auto& body = parser_.get().body();
    body.data = piece.data();
    body.size = piece.size();
    error_code error;
    co_await http::async_read_some(
        stream_, buffer_, parser_,
        asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer)
      throw system_error(error);
    size_t got = piece.size() - body.size;
    // Takes what has been received already, since a read and a piece for each
    // chunk would cost far more than a chunk of one byte.
    while (got > 0 && got < piece.size() && buffer_.size() > 0 &&
           !parser_.is_done()) {
      body.data = piece.data() + got;
      body.size = piece.size() - got;
      size_t used = parser_.put(buffer_.data(), error);
      buffer_.consume(used);
      got = piece.size() - body.size;
      if (error == http::error::need_more || (!error && used == 0))
        break;
      if (error && error != http::error::need_buffer)
        throw system_error(error);
    }
    received_ += got;
    // Only the end of the connection completes such a body.
    if (parser_.is_done() && parser_.need_eof() && end_check_ && !end_check_())
      throw system_error(http::make_error_code(http::error::partial_message));
    if (limit_ && received_ > *limit_)
      throw system_error(http::make_error_code(http::error::body_limit));
    if (got > 0) {
      piece.resize(got);
      co_return piece;
    }
  }
  co_return std::string();
}

template class ParsedBody<true>;
template class ParsedBody<false>;

asio::awaitable<std::string> ReadUpTo(BodyReader& body,
                                      size_t limit,
                                      bool& complete) {
  std::string data;
  complete = false;
  while (data.size() < limit) {
    std::string piece = co_await body.Read();
    if (piece.empty()) {
      complete = true;
      break;
    }
    data += piece;
  }
  co_return data;
}

template <bool kIsRequest>
MessageWriter<kIsRequest>::MessageWriter(
    beast::tcp_stream& stream,
    http::header<kIsRequest, http::fields> head,
    bool has_body)
    : stream_(stream), message_(std::move(head)), serializer_(message_) {
  message_.body().data = nullptr;
  message_.body().more = has_body;
}

template <bool kIsRequest>
asio::awaitable<void> MessageWriter<kIsRequest>::WriteHead() {
  if (piece_timeout_)
    stream_.expires_after(*piece_timeout_);
  co_await http::async_write_header(stream_, serializer_, asio::use_awaitable);
}

template <bool kIsRequest>
asio::awaitable<void> MessageWriter<kIsRequest>::WriteBody(BodyReader& body) {
  bool last = false;
  while (!last) {
    std::string piece;
    try {
      piece = co_await body.Read();
    } catch (const system_error& error) {
      throw BodyReadError(error.code());
    }
    last = piece.empty();
    message_.body().data = last ? nullptr : piece.data();
    message_.body().size = piece.size();
    message_.body().more = !last;
    if (piece_timeout_)
      stream_.expires_after(*piece_timeout_);
    error_code error;
    co_await http::async_write(
        stream_, serializer_, asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer)
      throw system_error(error);
  }
}

template class MessageWriter<true>;
template class MessageWriter<false>;

template <bool kIsRequest>
asio::awaitable<void> WriteMessage(
    beast::tcp_stream& stream,
    http::header<kIsRequest, http::fields> head,
    BodyReader* body,
    std::optional<std::chrono::milliseconds> piece_timeout) {
  MessageWriter<kIsRequest> writer(stream, std::move(head), body != nullptr);
  if (piece_timeout)
    writer.set_piece_timeout(*piece_timeout);
  // A message without body (answer to HEAD, 204) may carry a Content-Length, so
  // only its head is written.
  if (body)
    co_await writer.WriteBody(*body);
  else
    co_await writer.WriteHead();
}

template asio::awaitable<void> WriteMessage<true>(
    beast::tcp_stream&,
    RequestHead,
    BodyReader*,
    std::optional<std::chrono::milliseconds>);
template asio::awaitable<void> WriteMessage<false>(
    beast::tcp_stream&,
    ResponseHead,
    BodyReader*,
    std::optional<std::chrono::milliseconds>);

HttpClientConnection::HttpClientConnection(asio::any_io_executor executor,
                                           std::string address)
    : address_(std::move(address)), stream_(std::move(executor)) {}

asio::awaitable<void> HttpClientConnection::Connect(IoTimePoint deadline) {
  stream_.expires_at(deadline);
  co_await stream_.async_connect(ParseEndpoint(address_), asio::use_awaitable);
  stream_.socket().set_option(asio::ip::tcp::no_delay(true));
}

/// State shared by the sender and the receiver of one exchange.
struct HttpClientConnection::ExchangeState {
  explicit ExchangeState(asio::any_io_executor executor)
      : write_done(executor) {
    write_done.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer write_done;  ///< Cancelled when the sender has ended.
  bool sender_done = false;
  bool answered = false;
  ResponseHead head;
  std::exception_ptr failure;
  std::optional<BodyReadError> body_error;
};

asio::awaitable<ResponseHead> HttpClientConnection::RoundTrip(
    ClientRequest request) {
  using asio::experimental::awaitable_operators::operator||;
  stream_.expires_at(request.deadline);
  request_written_ = false;
  bool bodiless = request.head.method() == http::verb::head;
  MessageWriter<true> writer(stream_, std::move(request.head),
                             request.body != nullptr);
  if (!request.body) {
    co_await writer.WriteHead();
    request_written_ = true;
    co_return co_await ReceiveHead(bodiless, false);
  }
  if (request.await_continue) {
    co_await writer.WriteHead();
    ResponseHead head = co_await ReceiveHead(bodiless, true);
    if (head.result() != http::status::continue_)
      co_return head;
  }
  ExchangeState state(stream_.get_executor());
  co_await (SendBody(writer, *request.body, state) ||
            ReceiveAnswer(bodiless, state));
  if (state.body_error)
    throw *state.body_error;
  if (state.failure)
    std::rethrow_exception(state.failure);
  co_return state.head;
}

asio::awaitable<void> HttpClientConnection::SendBody(
    MessageWriter<true>& writer,
    BodyReader& body,
    ExchangeState& state) {
  try {
    co_await writer.WriteBody(body);
    request_written_ = true;
  } catch (const BodyReadError& read_error) {
    // After an answer or a receive failure, a failed read of the body is
    // ignored, because it may come from a cancellation.
    if (!state.answered && !state.failure) {
      state.body_error = read_error;
      Close();
    }
  } catch (const system_error&) {
    // The peer may have answered before it closed, so the receiver determines
    // the result.
  }
  state.sender_done = true;
  state.write_done.cancel();
  // The receiver ends the exchange and cancels this wait.
  asio::steady_timer never(stream_.get_executor(),
                           asio::steady_timer::time_point::max());
  error_code ignored;
  co_await never.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> HttpClientConnection::ReceiveAnswer(
    bool bodiless,
    ExchangeState& state) {
  try {
    state.head = co_await ReceiveHead(bodiless, false);
  } catch (const system_error&) {
    state.failure = std::current_exception();
    co_return;
  }
  state.answered = true;
  if (state.sender_done)
    co_return;
  state.write_done.expires_after(kWriteCompletionTimeout);
  error_code ignored;
  co_await state.write_done.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<ResponseHead> HttpClientConnection::ReceiveHead(
    bool bodiless,
    bool stop_at_100) {
  for (int interim = 0;; ++interim) {
    if (interim > kMaxInterimAnswers)
      throw system_error(http::make_error_code(http::error::bad_status));
    parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(boost::none);
    parser_->skip(bodiless);
    if (error_code error = co_await ReadHead(stream_, buffer_, *parser_))
      throw system_error(error);
    unsigned status = parser_->get().result_int();
    if (status == 101)
      throw system_error(http::make_error_code(http::error::bad_status));
    if (status / 100 != 1 || (stop_at_100 && status == 100))
      break;
  }
  auto body = std::make_unique<ParsedBody<false>>(stream_, buffer_, *parser_);
  body->set_end_check([this] {
    return request_written_ && IsOrderlyEnd(stream_.socket().native_handle());
  });
  body_ = std::move(body);
  co_return parser_->get().base();
}

std::optional<uint64_t> HttpClientConnection::content_length() const {
  auto length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

bool HttpClientConnection::IsReusable() {
  return !closed_ && request_written_ && parser_ && parser_->is_done() &&
         parser_->keep_alive() && buffer_.size() == 0 && IsIdleAndOpen();
}

bool HttpClientConnection::IsIdleAndOpen() {
  if (closed_)
    return false;
  char byte = 0;
  error_code error;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

void HttpClientConnection::Close() {
  closed_ = true;
  error_code ignored;
  stream_.socket().close(ignored);
}

HttpConnectionPool::HttpConnectionPool(asio::any_io_executor executor,
                                       std::chrono::milliseconds idle_timeout)
    : executor_(std::move(executor)), idle_timeout_(idle_timeout) {}

asio::awaitable<std::shared_ptr<HttpClientConnection>>
HttpConnectionPool::Acquire(const std::string& address,
                            IoTimePoint deadline,
                            bool new_connection) {
  auto& idle = idle_[address];
  auto oldest = std::chrono::steady_clock::now() - idle_timeout_;
  while (!new_connection && !idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle_since > oldest && connection->IsIdleAndOpen())
      co_return connection;
    connection->Close();
  }
  auto connection = std::make_shared<HttpClientConnection>(executor_, address);
  co_await connection->Connect(deadline);
  co_return connection;
}

void HttpConnectionPool::Release(
    std::shared_ptr<HttpClientConnection> connection) {
  auto& idle = idle_[connection->address()];
  if (!connection->IsReusable() ||
      idle.size() >= kMaxIdleConnectionsPerAddress) {
    connection->Close();
    return;
  }
  connection->idle_since = std::chrono::steady_clock::now();
  idle.push_back(std::move(connection));
}

asio::ip::tcp::endpoint ParseEndpoint(std::string_view address) {
  size_t colon = address.rfind(':');
  uint16_t port = 0;
  error_code error;
  asio::ip::address ip;
  bool valid = colon != std::string_view::npos;
  if (valid) {
    const char* end = address.data() + address.size();
    auto [rest, status] =
        std::from_chars(address.data() + colon + 1, end, port);
    valid = status == std::errc() && rest == end;
    ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
  }
  if (!valid || error) {
    throw InputError(
        "\"" + std::string(address) +
        "\" is not an address of the form IP:PORT, such as 127.0.0.1:8080");
  }
  return {ip, port};
}

void RemoveHopByHopFields(http::fields& fields) {
  std::vector<std::string> names = {"Connection",
                                    "Keep-Alive",
                                    "Proxy-Connection",
                                    "Proxy-Authorization",
                                    "Proxy-Authenticate",
                                    "TE",
                                    "Trailer",
                                    "Transfer-Encoding",
                                    "Upgrade",
                                    "Expect"};
  for (auto [it, end] = fields.equal_range(http::field::connection); it != end;
       ++it) {
    for (auto token : http::token_list(it->value()))
      names.emplace_back(token);
  }
  for (const auto& name : names)
    fields.erase(name);
}

void RemovePrivateFields(http::fields& fields) {
  fields.erase(http::field::authorization);
  std::vector<std::string> names;
  for (const auto& field : fields) {
    if (beast::iequals(field.name_string().substr(0, 12), "comfreylock-"))
      names.emplace_back(field.name_string());
  }
  for (const auto& name : names)
    fields.erase(name);
}

void SetFraming(http::fields& fields, std::optional<uint64_t> length) {
  fields.erase(http::field::transfer_encoding);
  fields.erase(http::field::content_length);
  if (length)
    fields.set(http::field::content_length, std::to_string(*length));
  else
    fields.set(http::field::transfer_encoding, "chunked");
}

std::string FramingError(const RequestHead& head) {
  size_t lengths = head.count(http::field::content_length);
  size_t codings = head.count(http::field::transfer_encoding);
  if (lengths > 0 && codings > 0)
    return "request has both Content-Length and Transfer-Encoding";
  if (lengths > 1)
    return "request has more than one Content-Length";
  if (lengths == 1) {
    std::string_view value = head[http::field::content_length];
    if (value.empty() || !std::ranges::all_of(value, [](char digit) {
          return digit >= '0' && digit <= '9';
        })) {
      return "Content-Length is not a number";
    }
  }
  if (codings > 1 ||
      (codings == 1 &&
       !beast::iequals(head[http::field::transfer_encoding], "chunked"))) {
    return "Transfer-Encoding must be chunked and appear only once";
  }
  if (codings == 1 && head.version() < 11)
    return "HTTP/1.0 does not support Transfer-Encoding";
  size_t hosts = head.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && head.version() >= 11))
    return "request must have exactly one Host field";
  return "";
}

asio::awaitable<bool> WaitForClose(beast::tcp_stream& stream,
                                   std::function<bool()> active) {
  error_code error;
  asio::steady_timer pause(stream.get_executor());
  while (true) {
    co_await stream.socket().async_wait(
        asio::socket_base::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    if (!active() || !stream.socket().is_open())
      co_return false;
    if (HasPeerClosed(stream.socket()))
      co_return true;
    // With unread bytes, wait_read returns at once; the pause avoids a busy
    // loop.
    pause.expires_after(kCloseCheckInterval);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!active())
      co_return false;
  }
}

asio::awaitable<void> LingeringClose(beast::tcp_stream& stream) {
  error_code error;
  stream.socket().shutdown(asio::socket_base::shutdown_send, error);
  stream.expires_after(kLingerTimeout);
  std::string discarded(kStreamChunkBytes, '\0');
  size_t total = 0;
  while (!error && total < kMaxLingerBytes) {
    total += co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
  stream.close();
}

void ResetConnection(beast::tcp_stream& stream) {
  error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream.close();
}

OperationTimeout::OperationTimeout(beast::tcp_stream& stream,
                                   std::chrono::milliseconds time)
    : timer_(stream.get_executor(), time) {
  // The destructor cannot cancel a handler that is already queued. The weak
  // pointer lets that handler detect that this object, and possibly the stream,
  // no longer exists.
  std::weak_ptr<bool> expired = expired_;
  timer_.async_wait([expired, &stream](const error_code& error) {
    auto flag = expired.lock();
    if (error || !flag)
      return;
    *flag = true;
    stream.cancel();
  });
}

}  // namespace comfreylock
