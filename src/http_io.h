#ifndef COMFREYLOCK_HTTP_IO_H_
#define COMFREYLOCK_HTTP_IO_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "comfreylock/types.h"

/// HTTP/1.1 building blocks on Boost.Beast: streamed bodies, client
/// connections with reuse, and header rules shared by all listeners.
namespace comfreylock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;
using IoDeadline = std::chrono::steady_clock::time_point;

/// Reads a body piece by piece.
class BodyReader {
 public:
  virtual ~BodyReader() = default;

  /// @return the next piece, or an empty string after the last one.
  /// @throws boost::system::system_error if the body was cut.
  virtual asio::awaitable<std::string> Read() = 0;
};

/// A body that is in memory as a whole.
class BufferedBody : public BodyReader {
 public:
  explicit BufferedBody(std::string data) : data_(std::move(data)) {}
  asio::awaitable<std::string> Read() override;

 private:
  std::string data_;
};

/// A buffered beginning followed by the rest of another reader.
class PrefixedBody : public BodyReader {
 public:
  /// @param rest may be null if `prefix` is the whole body; not owned.
  /// @param taken set to true once a byte of `rest` was read; may be null.
  PrefixedBody(std::string prefix, BodyReader* rest, bool* taken = nullptr)
      : prefix_(std::move(prefix)), rest_(rest), taken_(taken) {}
  asio::awaitable<std::string> Read() override;

 private:
  std::string prefix_;
  BodyReader* rest_;
  bool* taken_;
};

/// Body of a message that is being parsed from a connection.
template <bool kIsRequest>
class ParsedBody : public BodyReader {
 public:
  using Parser = http::parser<kIsRequest, http::buffer_body>;

  ParsedBody(beast::tcp_stream& stream,
             beast::flat_buffer& buffer,
             Parser& parser)
      : stream_(stream), buffer_(buffer), parser_(parser) {}

  asio::awaitable<std::string> Read() override;

 private:
  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  Parser& parser_;
};

/// Reads until the end or `limit` bytes.
/// @param whole set to true if the end was reached.
asio::awaitable<std::string> ReadUpTo(BodyReader& body,
                                      size_t limit,
                                      bool& whole);

/// Writes one message: the head, then the body piece by piece. The framing
/// fields of `head` decide between Content-Length and chunked.
/// @param body may be null for a message without body.
template <bool kIsRequest>
asio::awaitable<void> WriteMessage(beast::tcp_stream& stream,
                                   http::header<kIsRequest, http::fields> head,
                                   BodyReader* body);

/// One client connection; carries one exchange at a time.
class HttpConnection {
 public:
  HttpConnection(asio::any_io_executor executor, std::string address);

  /// @throws boost::system::system_error if no connection could be made.
  asio::awaitable<void> Connect(IoDeadline deadline);

  /// Sends a request.
  /// @param sent set to true before the first byte is written.
  asio::awaitable<void> Send(RequestHead head,
                             BodyReader* body,
                             IoDeadline deadline,
                             bool& sent);

  /// Receives the head of the final answer; 1xx answers are passed over.
  /// @param bodiless the request was a HEAD.
  asio::awaitable<ResponseHead> ReceiveHead(bool bodiless);

  /// @return reader of the answer's body, valid until the next exchange.
  BodyReader& body() { return *body_; }

  /// @return whether the whole answer was read and the peer keeps the
  /// connection open.
  bool Reusable() const;

  /// @return whether nothing arrived and the peer did not close.
  bool IdleAndOpen();

  void Close();

  const std::string& address() const { return address_; }
  IoDeadline idle_since;

 private:
  std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
  std::unique_ptr<BodyReader> body_;
  bool closed_ = false;
};

/// Keeps idle connections to several addresses for reuse.
class HttpPool {
 public:
  /// @param idle_limit how long an idle connection is kept.
  HttpPool(asio::any_io_executor executor,
           std::chrono::milliseconds idle_limit);

  /// @return a connection that is ready for an exchange.
  /// @throws boost::system::system_error if none could be made.
  asio::awaitable<std::shared_ptr<HttpConnection>> Acquire(
      const std::string& address,
      IoDeadline deadline);

  /// Takes a connection back after an exchange; closes it if not reusable.
  void Release(std::shared_ptr<HttpConnection> connection);

 private:
  asio::any_io_executor executor_;
  std::chrono::milliseconds idle_limit_;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
};

/// @param address IP:PORT. @throws InputError if it is not.
asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

/// Removes fields that are for one connection only.
void RemoveHopByHop(http::fields& fields);

/// Removes Authorization and all Comfreylock-* fields.
void RemovePrivateFields(http::fields& fields);

/// Sets Content-Length, or chunked coding when the length is unknown.
void SetFraming(http::fields& fields, std::optional<uint64_t> length);

/// Waits until the peer closes or sends something.
/// @return whether the peer closed.
asio::awaitable<bool> WaitForClose(beast::tcp_stream& stream);

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_IO_H_
