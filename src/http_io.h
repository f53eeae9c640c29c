#ifndef COMFREYLOCK_HTTP_IO_H_
#define COMFREYLOCK_HTTP_IO_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// The sender of a body failed: cut, malformed, too large or too slow.
class BodyCut : public boost::system::system_error {
 public:
  using system_error::system_error;
};

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

  /// @throws boost::system::system_error with `http::error::body_limit` once
  /// the body has grown over the limit, before the excess is returned.
  asio::awaitable<std::string> Read() override;

  /// @param limit largest accepted body, bytes.
  void set_limit(uint64_t limit) { limit_ = limit; }

  /// @param timeout longest wait for one piece; the connection is closed then.
  void set_piece_timeout(std::chrono::milliseconds timeout) {
    piece_timeout_ = timeout;
  }

 private:
  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  Parser& parser_;
  std::optional<uint64_t> limit_;
  std::optional<std::chrono::milliseconds> piece_timeout_;
  uint64_t received_ = 0;
};

/// Reads until the end or `limit` bytes.
/// @param whole set to true if the end was reached.
asio::awaitable<std::string> ReadUpTo(BodyReader& body,
                                      size_t limit,
                                      bool& whole);

/// Writes one message: the head, then the body piece by piece. The framing
/// fields of the head decide between Content-Length and chunked.
template <bool kIsRequest>
class MessageWriter {
 public:
  MessageWriter(beast::tcp_stream& stream,
                http::header<kIsRequest, http::fields> head,
                bool has_body);

  /// @param timeout longest time for writing one piece.
  void set_piece_timeout(std::chrono::milliseconds timeout) {
    piece_timeout_ = timeout;
  }

  asio::awaitable<void> WriteHead();

  /// Writes the head first unless it was written.
  /// @throws BodyCut if `body` failed; the end marker was not written then.
  asio::awaitable<void> WriteBody(BodyReader& body);

 private:
  beast::tcp_stream& stream_;
  http::message<kIsRequest, http::buffer_body> message_;
  http::serializer<kIsRequest, http::buffer_body> serializer_;
  std::optional<std::chrono::milliseconds> piece_timeout_;
};

/// Writes one message.
/// @param body may be null for a message without body.
/// @param piece_timeout longest time for writing one piece; if it is missing,
/// the expiry of `stream` holds.
template <bool kIsRequest>
asio::awaitable<void> WriteMessage(
    beast::tcp_stream& stream,
    http::header<kIsRequest, http::fields> head,
    BodyReader* body,
    std::optional<std::chrono::milliseconds> piece_timeout = {});

/// A request to be sent on a client connection.
struct ClientRequest {
  RequestHead head;
  BodyReader* body = nullptr;   ///< Null for a request without body.
  IoDeadline deadline;          ///< For the whole exchange.
  bool await_continue = false;  ///< Send the body only after a 100 answer.
};

/// One client connection; carries one exchange at a time.
class HttpConnection {
 public:
  HttpConnection(asio::any_io_executor executor, std::string address);

  /// @throws boost::system::system_error if no connection could be made.
  asio::awaitable<void> Connect(IoDeadline deadline);

  /// Sends a request and receives the head of the final answer; other 1xx
  /// answers are passed over. Reads while it writes, so that an answer that
  /// comes before the end of the body ends the sending.
  /// @throws BodyCut if the request's body failed.
  asio::awaitable<ResponseHead> RoundTrip(ClientRequest request);

  /// @return whether the whole request was written.
  bool request_written() const { return request_written_; }

  /// @return reader of the answer's body, valid until the next exchange.
  BodyReader& body() { return *body_; }

  /// @return length of the answer's body, if the answer declares it.
  std::optional<uint64_t> content_length() const;

  /// @return whether request and answer are whole, nothing follows the answer,
  /// and the peer keeps the connection open.
  bool Reusable();

  /// @return whether nothing arrived and the peer did not close.
  bool IdleAndOpen();

  void Close();

  const std::string& address() const { return address_; }
  IoDeadline idle_since;

 private:
  struct Progress;

  asio::awaitable<ResponseHead> ReceiveHead(bool bodiless, bool stop_at_100);
  asio::awaitable<void> SendBody(MessageWriter<true>& writer,
                                 BodyReader& body,
                                 Progress& progress);
  asio::awaitable<void> ReceiveAnswer(bool bodiless, Progress& progress);

  std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
  std::unique_ptr<BodyReader> body_;
  bool request_written_ = false;
  bool closed_ = false;
};

/// Keeps idle connections to several addresses for reuse.
class HttpPool {
 public:
  /// @param idle_limit how long an idle connection is kept.
  HttpPool(asio::any_io_executor executor,
           std::chrono::milliseconds idle_limit);

  /// @param fresh make a new connection: the peer may be closing an idle one
  /// at this moment, which would leave the request in doubt.
  /// @return a connection that is ready for an exchange.
  /// @throws boost::system::system_error if none could be made.
  asio::awaitable<std::shared_ptr<HttpConnection>>
  Acquire(const std::string& address, IoDeadline deadline, bool fresh = false);

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

/// Why a request head is refused.
/// @return empty if the head is acceptable, else what is wrong. Two servers
/// must never disagree about where a request ends.
std::string FramingFault(const RequestHead& head);

/// Waits until the peer closes, also behind bytes that were not read yet.
/// @param active polled; the wait ends once it is false.
/// @return whether the peer closed.
asio::awaitable<bool> WaitForClose(beast::tcp_stream& stream,
                                   std::function<bool()> active);

/// Ends a connection after an answer that did not wait for the whole request:
/// what still arrives is discarded for a while, because closing with unread
/// bytes resets the connection and may destroy the answer.
asio::awaitable<void> LingeringClose(beast::tcp_stream& stream);

/// Closes with a reset, so that a peer that waits for the end of the
/// connection does not take what it has as whole.
void ResetConnection(beast::tcp_stream& stream);

/// Cancels the operations of a stream after a time, without closing it.
class OperationTimeout {
 public:
  OperationTimeout(beast::tcp_stream& stream, std::chrono::milliseconds time);
  ~OperationTimeout() { timer_.cancel(); }
  OperationTimeout(const OperationTimeout&) = delete;
  OperationTimeout& operator=(const OperationTimeout&) = delete;

  bool expired() const { return *expired_; }

 private:
  asio::steady_timer timer_;
  std::shared_ptr<bool> expired_ = std::make_shared<bool>(false);
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_IO_H_
