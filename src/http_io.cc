#include "http_io.h"

#include <charconv>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

constexpr uint32_t kHeaderLimitBytes = 64 * 1024;

}  // namespace

asio::awaitable<std::string> BufferedBody::Read() {
  co_return std::exchange(data_, {});
}

asio::awaitable<std::string> PrefixedBody::Read() {
  if (!prefix_.empty())
    co_return std::exchange(prefix_, {});
  if (!rest_)
    co_return std::string();
  if (taken_)
    *taken_ = true;
  co_return co_await rest_->Read();
}

template <bool kIsRequest>
asio::awaitable<std::string> ParsedBody<kIsRequest>::Read() {
  std::string piece(kStreamChunkBytes, '\0');
  while (!parser_.is_done()) {
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
                                      bool& whole) {
  std::string data;
  whole = false;
  while (data.size() < limit) {
    std::string piece = co_await body.Read();
    if (piece.empty()) {
      whole = true;
      break;
    }
    data += piece;
  }
  co_return data;
}

template <bool kIsRequest>
asio::awaitable<void> WriteMessage(beast::tcp_stream& stream,
                                   http::header<kIsRequest, http::fields> head,
                                   BodyReader* body) {
  http::message<kIsRequest, http::buffer_body> message(std::move(head));
  message.body().data = nullptr;
  message.body().more = body != nullptr;
  http::serializer<kIsRequest, http::buffer_body> serializer(message);
  error_code error;
  if (!body) {
    // Bodiless messages (HEAD, 204) may carry a Content-Length.
    co_await http::async_write_header(stream, serializer, asio::use_awaitable);
    co_return;
  }
  std::string piece = co_await body->Read();
  while (true) {
    bool last = piece.empty();
    message.body().data = last ? nullptr : piece.data();
    message.body().size = piece.size();
    message.body().more = !last;
    co_await http::async_write(
        stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer)
      throw system_error(error);
    if (last)
      break;
    piece = co_await body->Read();
  }
}

template asio::awaitable<void> WriteMessage<true>(beast::tcp_stream&,
                                                  RequestHead,
                                                  BodyReader*);
template asio::awaitable<void> WriteMessage<false>(beast::tcp_stream&,
                                                   ResponseHead,
                                                   BodyReader*);

HttpConnection::HttpConnection(asio::any_io_executor executor,
                               std::string address)
    : address_(std::move(address)), stream_(std::move(executor)) {}

asio::awaitable<void> HttpConnection::Connect(IoDeadline deadline) {
  stream_.expires_at(deadline);
  co_await stream_.async_connect(ParseEndpoint(address_), asio::use_awaitable);
  stream_.socket().set_option(asio::ip::tcp::no_delay(true));
}

asio::awaitable<void> HttpConnection::Send(RequestHead head,
                                           BodyReader* body,
                                           IoDeadline deadline,
                                           bool& sent) {
  stream_.expires_at(deadline);
  sent = true;
  co_await WriteMessage<true>(stream_, std::move(head), body);
}

asio::awaitable<ResponseHead> HttpConnection::ReceiveHead(bool bodiless) {
  while (true) {
    parser_ = std::make_unique<http::response_parser<http::buffer_body>>();
    parser_->header_limit(kHeaderLimitBytes);
    parser_->body_limit(boost::none);
    parser_->skip(bodiless);
    co_await http::async_read_header(stream_, buffer_, *parser_,
                                     asio::use_awaitable);
    if (parser_->get().result_int() / 100 != 1)
      break;
  }
  body_ = std::make_unique<ParsedBody<false>>(stream_, buffer_, *parser_);
  co_return parser_->get().base();
}

bool HttpConnection::Reusable() const {
  return !closed_ && parser_ && parser_->is_done() && parser_->keep_alive() &&
         buffer_.size() == 0;
}

bool HttpConnection::IdleAndOpen() {
  if (closed_)
    return false;
  char byte = 0;
  error_code error;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

void HttpConnection::Close() {
  closed_ = true;
  error_code ignored;
  stream_.socket().close(ignored);
}

HttpPool::HttpPool(asio::any_io_executor executor,
                   std::chrono::milliseconds idle_limit)
    : executor_(std::move(executor)), idle_limit_(idle_limit) {}

asio::awaitable<std::shared_ptr<HttpConnection>> HttpPool::Acquire(
    const std::string& address,
    IoDeadline deadline) {
  auto& idle = idle_[address];
  auto oldest = std::chrono::steady_clock::now() - idle_limit_;
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->idle_since > oldest && connection->IdleAndOpen())
      co_return connection;
    connection->Close();
  }
  auto connection = std::make_shared<HttpConnection>(executor_, address);
  co_await connection->Connect(deadline);
  co_return connection;
}

void HttpPool::Release(std::shared_ptr<HttpConnection> connection) {
  auto& idle = idle_[connection->address()];
  if (!connection->Reusable() || idle.size() >= kIdleConnectionsPerAddress) {
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
    throw InputError("\"" + std::string(address) +
                     "\" is not an IP:PORT such as 127.0.0.1:8080");
  }
  return {ip, port};
}

void RemoveHopByHop(http::fields& fields) {
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

asio::awaitable<bool> WaitForClose(beast::tcp_stream& stream) {
  error_code error;
  co_await stream.socket().async_wait(
      asio::socket_base::wait_read,
      asio::redirect_error(asio::use_awaitable, error));
  if (error)
    co_return false;
  char byte = 0;
  stream.socket().non_blocking(true, error);
  size_t got = stream.socket().receive(asio::buffer(&byte, 1),
                                       asio::socket_base::message_peek, error);
  co_return (!error && got == 0) || error == asio::error::eof ||
      error == asio::error::connection_reset;
}

}  // namespace comfreylock
