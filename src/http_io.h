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
#include "http_message_rules.h"

/// HTTP/1.1 building blocks on Boost.Beast: streamed bodies, reusable client
/// connections, and header rules shared by all listeners.
namespace comfreylock {

/// Received bytes of one connection that may wait to be parsed. A peer that
/// exceeds them, for instance with an endless chunk header, is disconnected.
/// The parser throws for a trailer field of 64 kB, so no such field may fit.
inline constexpr size_t kMaxInputBufferBytes = 64 * 1024;

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;
using IoTimePoint = std::chrono::steady_clock::time_point;

/// Reading a body from its sender failed: the body is truncated, malformed, too
/// large or too slow.
class BodyReadError : public boost::system::system_error {
 public:
  using system_error::system_error;
};

/// Reads a body piece by piece.
class BodyReader {
 public:
  virtual ~BodyReader() = default;

  /// @return the next piece, or an empty string after the last one.
  /// @throws boost::system::system_error if the body was not received
  /// completely.
  virtual asio::awaitable<std::string> Read() = 0;
};

/// Feeds the head of a message to its parser, after the bytes have been checked
/// by the rules for HTTP messages.
/// @param bytes all received bytes that the parser has not consumed.
/// @param error set to the error of the parser, or to `bad_status`,
///     `bad_field`, `bad_value`, `bad_line_ending` if the head violates a rule.
/// @return the number of bytes that the parser has consumed.
template <bool kIsRequest>
size_t PutHead(http::basic_parser<kIsRequest>& parser,
               HttpHeadScanner& scanner,
               asio::const_buffer bytes,
               boost::system::error_code& error);

/// Reads the head of a message like `http::async_read_header`, and checks its
/// bytes by the rules for HTTP messages.
/// @return the error of the stream, the parser or `PutHead`; also
/// `http::error::end_of_stream` if the connection ended before the first byte.
template <bool kIsRequest>
asio::awaitable<boost::system::error_code> ReadHead(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    http::basic_parser<kIsRequest>& parser);

/// Tells, after an end of stream was read, whether the peer closed the
/// connection in order. A failed write clears the pending error of a socket, so
/// that a reset then reads as an end of stream; the connection's state shows it
/// nevertheless.
/// @param socket descriptor of the connection.
/// @return false if the socket has a pending error or its state is "closed"
/// instead of "close-wait". True if the system does not give the state.
bool IsOrderlyEnd(int socket);

/// A body that is completely in memory.
class BufferedBody : public BodyReader {
 public:
  explicit BufferedBody(std::string data) : data_(std::move(data)) {}
  asio::awaitable<std::string> Read() override;

 private:
  std::string data_;
};

/// A buffered prefix followed by the bytes of another reader.
class PrefixedBody : public BodyReader {
 public:
  /// @param rest may be null if `prefix` is the complete body; not owned.
  /// @param rest_read set to true before the first read from `rest`; may be
  /// null.
  PrefixedBody(std::string prefix, BodyReader* rest, bool* rest_read = nullptr)
      : prefix_(std::move(prefix)), rest_(rest), rest_read_(rest_read) {}
  asio::awaitable<std::string> Read() override;

 private:
  std::string prefix_;
  BodyReader* rest_;
  bool* rest_read_;
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
  /// the body exceeds the limit; bytes beyond the limit are not returned.
  asio::awaitable<std::string> Read() override;

  /// @param limit largest accepted body, bytes.
  void set_limit(uint64_t limit) { limit_ = limit; }

  /// @param timeout maximum wait for one piece; the connection is closed after
  /// it.
  void set_piece_timeout(std::chrono::milliseconds timeout) {
    piece_timeout_ = timeout;
  }

  /// @param check called when the end of the connection ends the body; if it
  /// returns false, `Read` throws `http::error::partial_message`.
  void set_end_check(std::function<bool()> check) {
    end_check_ = std::move(check);
  }

 private:
  beast::tcp_stream& stream_;
  beast::flat_buffer& buffer_;
  Parser& parser_;
  std::function<bool()> end_check_;
  std::optional<uint64_t> limit_;
  std::optional<std::chrono::milliseconds> piece_timeout_;
  uint64_t received_ = 0;
};

/// Reads until the end of the body, or until at least `limit` bytes were read.
/// @param complete set to whether the end was reached.
asio::awaitable<std::string> ReadUpTo(BodyReader& body,
                                      size_t limit,
                                      bool& complete);

/// Writes one message: the head, then the body piece by piece. The framing
/// fields of the head select Content-Length or chunked coding.
template <bool kIsRequest>
class MessageWriter {
 public:
  MessageWriter(beast::tcp_stream& stream,
                http::header<kIsRequest, http::fields> head,
                bool has_body);

  /// @param timeout maximum time for writing one piece.
  void set_piece_timeout(std::chrono::milliseconds timeout) {
    piece_timeout_ = timeout;
  }

  asio::awaitable<void> WriteHead();

  /// Writes the head first if it has not been written.
  /// @throws BodyReadError if reading `body` failed; the end marker of the body
  /// is not written in that case.
  asio::awaitable<void> WriteBody(BodyReader& body);

 private:
  beast::tcp_stream& stream_;
  http::message<kIsRequest, http::buffer_body> message_;
  http::serializer<kIsRequest, http::buffer_body> serializer_;
  std::optional<std::chrono::milliseconds> piece_timeout_;
};

/// Writes one message.
/// @param body may be null for a message without body.
/// @param piece_timeout maximum time for writing one piece; without it, the
/// expiry already set on `stream` applies.
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
  IoTimePoint deadline;         ///< For the complete exchange.
  bool await_continue = false;  ///< Send the body only after 100 Continue.
};

/// One client connection; carries one exchange at a time.
class HttpClientConnection {
 public:
  HttpClientConnection(asio::any_io_executor executor, std::string address);

  /// @throws boost::system::system_error if no connection could be made.
  asio::awaitable<void> Connect(IoTimePoint deadline);

  /// Sends a request and receives the head of the final answer. Interim (1xx)
  /// answers are skipped, except that 101 is an error. Reads while it writes,
  /// so that an answer that arrives before the end of the request's body ends
  /// the sending.
  /// @throws BodyReadError if reading the request's body failed.
  asio::awaitable<ResponseHead> RoundTrip(ClientRequest request);

  /// @return whether the request was written completely.
  bool request_written() const { return request_written_; }

  /// @return reader of the answer's body, valid until the next exchange. A body
  /// that is delimited by the end of the connection is complete only if the
  /// request was written completely and the peer closed in order.
  BodyReader& body() { return *body_; }

  /// @return length of the answer's body, if the answer declares it.
  std::optional<uint64_t> content_length() const;

  /// @return whether request and answer are complete, no bytes follow the
  /// answer, and the peer keeps the connection open.
  bool IsReusable();

  /// @return whether the connection is open at both ends and has no unread
  /// bytes.
  bool IsIdleAndOpen();

  void Close();

  const std::string& address() const { return address_; }
  IoTimePoint idle_since;

 private:
  struct ExchangeState;

  asio::awaitable<ResponseHead> ReceiveHead(bool bodiless, bool stop_at_100);
  asio::awaitable<void> SendBody(MessageWriter<true>& writer,
                                 BodyReader& body,
                                 ExchangeState& state);
  asio::awaitable<void> ReceiveAnswer(bool bodiless, ExchangeState& state);

  std::string address_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxInputBufferBytes};
  std::unique_ptr<http::response_parser<http::buffer_body>> parser_;
  std::unique_ptr<BodyReader> body_;
  bool request_written_ = false;
  bool closed_ = false;
};

/// Keeps idle connections for reuse, by address.
class HttpConnectionPool {
 public:
  /// @param idle_timeout idle connections are not reused after this time.
  HttpConnectionPool(asio::any_io_executor executor,
                     std::chrono::milliseconds idle_timeout);

  /// @param new_connection open a new connection instead of reusing an idle
  /// one: the peer may be closing the idle one at this moment, and the outcome
  /// of the request would then be unknown.
  /// @return a connection that is ready for an exchange.
  /// @throws boost::system::system_error if none could be made.
  asio::awaitable<std::shared_ptr<HttpClientConnection>> Acquire(
      const std::string& address,
      IoTimePoint deadline,
      bool new_connection = false);

  /// Returns a connection to the pool after an exchange; closes it if it is not
  /// reusable.
  void Release(std::shared_ptr<HttpClientConnection> connection);

 private:
  asio::any_io_executor executor_;
  std::chrono::milliseconds idle_timeout_;
  std::map<std::string, std::vector<std::shared_ptr<HttpClientConnection>>>
      idle_;
};

/// @param address IP:PORT. @throws InputError if it is not.
asio::ip::tcp::endpoint ParseEndpoint(std::string_view address);

/// Removes the hop-by-hop fields: those that apply to one connection only.
void RemoveHopByHopFields(http::fields& fields);

/// Removes Authorization and all Comfreylock-* fields.
void RemovePrivateFields(http::fields& fields);

/// Sets Content-Length, or chunked coding when the length is unknown.
void SetFraming(http::fields& fields, std::optional<uint64_t> length);

/// Checks the framing fields of a request head. Two servers that disagree about
/// where a request ends would allow request smuggling.
/// @return empty if the head is acceptable, else the error.
std::string FramingError(const RequestHead& head);

/// Waits until the peer closes, also if there are unread bytes.
/// @param active polled; the wait ends once it returns false.
/// @return whether the peer closed.
asio::awaitable<bool> WaitForClose(beast::tcp_stream& stream,
                                   std::function<bool()> active);

/// Closes a connection after an answer that may have been sent before the
/// request was read completely. Bytes that still arrive are discarded for a
/// limited time, because closing with unread bytes resets the connection, and
/// the reset may destroy the answer before the peer has read it.
asio::awaitable<void> LingeringClose(beast::tcp_stream& stream);

/// Closes with a reset, so that a peer for which the end of the connection ends
/// the body does not treat a truncated body as complete.
void ResetConnection(beast::tcp_stream& stream);

/// Cancels the pending operations of a stream after `time`, without closing it.
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
