#include "http_entry_server.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_set>
#include <utility>
#include <variant>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "comfreylock/config.h"
#include "crypto.h"
#include "http_problem.h"
#include "log_writer.h"
#include "node_clock.h"
#include "peer_context.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

constexpr uint32_t kMaxHeaderBytes = 64 * 1024;
/// Maximum size of the read that waits for the next request, bytes.
constexpr size_t kHeadReadBytes = 4096;
/// Timeout for connecting to another node.
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;
/// Idle connections to other nodes are not reused after this time.
constexpr std::chrono::milliseconds kPeerIdleTimeout = 20s;

/// Kernel's receive buffer of a caller's connection, which counts as memory of
/// this process.
constexpr int kReceiveBufferBytes = 64 * 1024;
/// Size of one piece of a body, which may exceed the buffered prefix.
constexpr size_t kPieceBytes = 64 * 1024;
/// Memory of a call besides its fields and body, and of each field. The head is
/// held twice, by the parser and by the call.
constexpr size_t kCallOverheadBytes = 4096;
constexpr size_t kFieldOverheadBytes = 160;
/// Time to read the start of a body after which it may be abandoned if its
/// memory is needed.
constexpr std::chrono::milliseconds kSlowBodyTime = 1s;
/// `Retry-After` of requests refused for want of memory: 1 or 2 s, in turn, so
/// that the clients do not return together.
constexpr uint64_t kRetryAfterValues = 2;

bool IsValidIdentifier(std::string_view value) {
  return !value.empty() && value.size() <= kMaxHeaderTokenLength &&
         std::ranges::all_of(value, [](unsigned char letter) {
           return letter > 0x20 && letter < 0x7f;
         });
}

/// @return a time of at most one day, or nothing if `text` is not a
/// non-negative number.
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  int64_t value = 0;
  auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr int64_t kMaxDeadlineMs = 86'400'000;  // One day.
  if (status != std::errc() || end != text.data() + text.size() || value < 0 ||
      text.starts_with('-')) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(value, kMaxDeadlineMs));
}

/// Checks the framing fields and the fields that the node itself evaluates.
/// @return the refusal if a field is invalid, or nothing.
std::optional<Refusal> FindHeadError(const RequestHead& head) {
  auto malformed = [](std::string detail) {
    return Refusal{Reason::kMalformed, Outcome::kNotRun, std::move(detail)};
  };
  std::string framing = FramingError(head);
  if (!framing.empty())
    return malformed(framing);
  for (const char* name :
       {"Authorization", "Idempotency-Key", "X-Request-Id", "X-Deadline-Ms"}) {
    if (head.count(name) > 1)
      return malformed(std::string("request has more than one ") + name);
  }
  if (head.method() == http::verb::connect)
    return malformed("CONNECT is not supported");
  if (head.count("X-Request-Id") && !IsValidIdentifier(head["X-Request-Id"]))
    return malformed(
        "X-Request-Id must have 1 to 128 visible ASCII characters");
  if (head.count("X-Deadline-Ms") && !ParseMilliseconds(head["X-Deadline-Ms"]))
    return malformed(
        "X-Deadline-Ms must be a non-negative number of milliseconds");
  if (head.count("Idempotency-Key") &&
      !IsValidIdentifier(head["Idempotency-Key"]))
    return Refusal{Reason::kIdempotencyKeyInvalid, Outcome::kNotRun};
  return std::nullopt;
}

Reason ReasonOfReadError(const error_code& error) {
  if (error == http::error::body_limit)
    return Reason::kBodyTooLarge;
  if (error == beast::error::timeout)
    return Reason::kRequestTimeout;
  bool truncated = error == http::error::partial_message ||
                   error == http::error::end_of_stream;
  if (!truncated &&
      error.category() ==
          http::make_error_code(http::error::bad_chunk).category()) {
    return Reason::kMalformed;
  }
  return Reason::kCallerGone;
}

/// @return whether an answer with this status never has a body.
bool IsBodiless(unsigned status) {
  return status == 204 || status == 304;
}

/// Sets the Connection field, which states whether the connection stays open.
void SetConnectionField(ResponseHead& answer,
                        const RequestHead& request,
                        bool keep_open) {
  if (!keep_open)
    answer.set(http::field::connection, "close");
  else if (request.version() < 11)
    answer.set(http::field::connection, "keep-alive");
}

wire::StoredAnswer StoredAnswerOf(ResponseHead head, const std::string& body) {
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.erase(http::field::content_length);
  head.erase("X-Request-Id");
  wire::StoredAnswer answer;
  answer.set_status(head.result_int());
  for (const auto& field : head) {
    answer.add_header_names(std::string(field.name_string()));
    answer.add_header_values(std::string(field.value()));
  }
  answer.set_body(body);
  return answer;
}

bool HasBody(const http::request_parser<http::buffer_body>& parser) {
  return parser.chunked() || parser.content_length().value_or(0) > 0;
}

}  // namespace

struct HttpEntryServer::Held {
  explicit Held(size_t memory_bytes) : budget(memory_bytes) {}
  mesh::MemoryBudget budget;
  std::unordered_set<Connection*> connections;
};

struct HttpEntryServer::Connection {
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<Held> all)
      : stream(std::move(socket)), held(std::move(all)) {
    held->connections.insert(this);
  }
  ~Connection() { held->connections.erase(this); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxInputBufferBytes};
  std::shared_ptr<Held> held;
  /// Set while the connection waits for the next request.
  std::optional<IoTimePoint> idle_since;
  /// Set while the start of a body is read.
  std::optional<IoTimePoint> reading_since;
  bool abandoned = false;  ///< The body was given up for its memory.
};

struct HttpEntryServer::Attempt {
  std::shared_ptr<HttpClientConnection> connection;
  std::unique_ptr<asio::steady_timer> delay;
  ResponseHead head;
  mesh::MemoryCharge charge;     ///< For `body_prefix`.
  std::string body_prefix;       ///< The first bytes of the body, or all of it.
  bool answer_complete = false;  ///< `body_prefix` is the complete body.
  bool cancelled = false;
  bool running = true;
};

struct HttpEntryServer::PendingCall {
  explicit PendingCall(asio::io_context& context) : wake(context) {
    wake.expires_at(asio::steady_timer::time_point::max());
  }

  CallId id;
  std::shared_ptr<Connection> connection;
  mesh::MemoryCharge charge;  ///< For the head and the start of the body.
  std::unique_ptr<http::request_parser<http::buffer_body>> parser;
  /// Copied before the body is read, because the parser adds trailer fields to
  /// its own head.
  RequestHead head;
  std::unique_ptr<ParsedBody<true>> body_reader;
  std::string request_id;
  std::string body_prefix;
  bool body_complete = false;  ///< `body_prefix` is the complete body.
  bool onward = false;
  asio::steady_timer wake;  ///< Cancelled to resume the waiting coroutine.
  std::map<uint32_t, std::shared_ptr<Attempt>> attempts;
  int running_attempts = 0;             ///< Attempts that may read the body.
  Reason body_failure = Reason::kNone;  ///< Found while streaming the body.
  std::variant<std::monostate, RefuseCall, DeliverAnswer, ReplayAnswer>
      decision;

  bool is_head() const { return head.method() == http::verb::head; }
  bool keep_alive() const { return parser->keep_alive(); }
};

wire::StoredAnswer HttpEntryServer::MakeStoredAnswer(const Attempt& attempt) {
  wire::StoredAnswer stored;
  stored.set_status(attempt.head.result_int());
  if (!attempt.answer_complete ||
      attempt.body_prefix.size() > kMaxStoredAnswerBytes) {
    stored.set_body_omitted(true);
    return stored;
  }
  ResponseHead head = attempt.head;
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.erase(http::field::date);
  head.erase(http::field::connection);
  // Both are set again whenever the stored answer is sent.
  head.erase(http::field::content_length);
  head.erase("X-Request-Id");
  for (const auto& field : head) {
    stored.add_header_names(std::string(field.name_string()));
    stored.add_header_values(std::string(field.value()));
  }
  stored.set_body(attempt.body_prefix);
  return stored;
}

HttpEntryServer::HttpEntryServer(asio::io_context& context,
                                 NodeServices& node,
                                 Limits limits)
    : context_(context),
      node_(node),
      limits_(limits),
      max_connections_(mesh::MaxCallerDescriptors(limits.max_descriptors)),
      held_(std::make_shared<Held>(limits.memory_bytes)),
      pool_(context.get_executor(), kPeerIdleTimeout) {}

HttpEntryServer::~HttpEntryServer() = default;

bool HttpEntryServer::CloseIdleConnection() {
  auto slow_before = std::chrono::steady_clock::now() - kSlowBodyTime;
  Connection* idle = nullptr;
  Connection* slow = nullptr;
  for (Connection* connection : held_->connections) {
    if (connection->idle_since &&
        (!idle || *connection->idle_since < *idle->idle_since))
      idle = connection;
    if (connection->reading_since && *connection->reading_since < slow_before &&
        (!slow || *connection->reading_since < *slow->reading_since))
      slow = connection;
  }
  Connection* closed = idle ? idle : slow;
  if (!closed)
    return false;
  // Its pending read ends with an error, after which it is destroyed.
  closed->idle_since.reset();
  closed->reading_since.reset();
  closed->stream.close();
  return true;
}

bool HttpEntryServer::Charge(PendingCall& call) {
  size_t bytes = kCallOverheadBytes;
  for (const auto& field : call.head) {
    bytes += 2 * (field.name_string().size() + field.value().size()) +
             kFieldOverheadBytes;
  }
  auto use = mesh::MemoryBudget::Use::kNoBody;
  if (!call.body_complete) {
    uint64_t length =
        call.parser->content_length().value_or(kMaxBufferedBodyBytes);
    size_t prefix = std::min<uint64_t>(length, kMaxBufferedBodyBytes);
    use = prefix > mesh::MemoryBudget::kSmallBodyBytes
              ? mesh::MemoryBudget::Use::kLargeBody
              : mesh::MemoryBudget::Use::kSmallBody;
    bytes += prefix + kPieceBytes;
  }
  if (!held_->budget.Admits(bytes, use)) {
    AbandonSlowestBody();
    held_->budget.CountRefusal();
    return false;
  }
  call.charge =
      mesh::MemoryCharge(held_->budget, mesh::MemoryBudget::Kind::kRequests);
  call.charge.Resize(bytes);
  return true;
}

void HttpEntryServer::AbandonSlowestBody() {
  Connection* slowest = nullptr;
  for (Connection* connection : held_->connections) {
    if (connection->reading_since &&
        (!slowest || *connection->reading_since < *slowest->reading_since))
      slowest = connection;
  }
  if (!slowest || std::chrono::steady_clock::now() - *slowest->reading_since <
                      kSlowBodyTime)
    return;
  slowest->abandoned = true;
  slowest->reading_since.reset();
  held_->budget.CountAbandoned();
  slowest->stream.cancel();
}

void HttpEntryServer::UpdatePressure() {
  auto changed = held_->budget.UpdatePressure(ReadNodeClock());
  if (!changed)
    return;
  WriteLog(Log{
      *changed ? LogCode::kMemoryPressureEntered : LogCode::kMemoryPressureLeft,
      {{"held_bytes", std::to_string(held_->budget.held())},
       {"limit_bytes", std::to_string(held_->budget.limit())},
       {"connections", std::to_string(held_->connections.size())}}});
}

std::string HttpEntryServer::MetricsText() const {
  const mesh::MemoryBudget& budget = held_->budget;
  std::string text;
  auto add = [&text](const std::string& name, uint64_t value) {
    text += "comfreylock_" + name + " " + std::to_string(value) + "\n";
  };
  add("caller_connections", held_->connections.size());
  for (auto kind : {mesh::MemoryBudget::Kind::kRequests,
                    mesh::MemoryBudget::Kind::kTargetAnswers}) {
    add("held_bytes{kind=\"" + std::string(mesh::MemoryBudget::NameOf(kind)) +
            "\"}",
        budget.held(kind));
  }
  add("held_bytes_limit", budget.limit());
  add("memory_pressure", budget.under_pressure() ? 1 : 0);
  add("memory_refusals_total", budget.refusals());
  add("memory_abandoned_total", budget.abandoned());
  return text;
}

asio::ip::tcp::endpoint HttpEntryServer::Listen(const std::string& address,
                                                bool onward) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
      context_, ParseEndpoint(address), true);
  // Accepted sockets inherit the size.
  acceptor->set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptors_.push_back(acceptor);
  asio::co_spawn(context_, Accept(acceptor, onward), asio::detached);
  return acceptor->local_endpoint();
}

void HttpEntryServer::StopAccepting() {
  stopping_ = true;
  for (auto& acceptor : acceptors_) {
    error_code ignored;
    acceptor->close(ignored);
  }
}

asio::awaitable<void> HttpEntryServer::Accept(
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
    bool onward) {
  while (acceptor->is_open()) {
    error_code error;
    auto socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // Accepting fails while the process has no free file descriptor; the
      // pause avoids a busy loop.
      CloseIdleConnection();
      asio::steady_timer pause(context_, 10ms);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    // Without an idle connection to close, the new one is closed when `socket`
    // goes out of scope.
    size_t limit = std::min(max_connections_, held_->budget.MaxConnections());
    if (held_->connections.size() >= limit && !CloseIdleConnection())
      continue;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket), held_);
    asio::co_spawn(context_, Serve(connection, onward), asio::detached);
  }
}

asio::awaitable<void> HttpEntryServer::Serve(
    std::shared_ptr<Connection> connection,
    bool onward) {
  bool failed = false;
  try {
    while (co_await ServeRequest(connection, onward)) {
    }
  } catch (const system_error&) {
    // The caller disconnected or was too slow, so the connection is closed.
    failed = true;
  }
  if (failed)
    connection->stream.close();
  else
    co_await LingeringClose(connection->stream);
}

asio::awaitable<error_code> HttpEntryServer::ReadHead(Connection& connection,
                                                      PendingCall& call) {
  auto& stream = connection.stream;
  auto& buffer = connection.buffer;
  error_code error;
  if (buffer.size() == 0) {
    stream.expires_after(limits_.idle_timeout);
    connection.idle_since = std::chrono::steady_clock::now();
    size_t got = co_await stream.async_read_some(
        buffer.prepare(kHeadReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
    connection.idle_since.reset();
    connection.reading_since = std::chrono::steady_clock::now();
    buffer.commit(got);
    if (error)
      throw system_error(error);
  }
  stream.expires_never();
  OperationTimeout timeout(stream, limits_.header_timeout);
  error = co_await comfreylock::ReadHead(stream, buffer, *call.parser);
  connection.reading_since.reset();
  if (timeout.expired())
    error = make_error_code(beast::error::timeout);
  co_return error;
}

asio::awaitable<bool> HttpEntryServer::ServeRequest(
    std::shared_ptr<Connection> connection,
    bool onward) {
  auto call = std::make_shared<PendingCall>(context_);
  call->id = CallId{node_.NextId()};
  call->connection = connection;
  call->onward = onward;
  call->request_id = ToHex(RandomBytes(16));
  call->parser = std::make_unique<http::request_parser<http::buffer_body>>();
  call->parser->header_limit(kMaxHeaderBytes);
  call->parser->body_limit(boost::none);
  error_code error = co_await ReadHead(*connection, *call);
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    co_return false;
  }
  if (error) {
    Reason reason = ReasonOfReadError(error);
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow) {
      reason = Reason::kHeaderTooLarge;
    }
    if (reason == Reason::kCallerGone)
      throw system_error(error);
    Refusal refusal{reason, Outcome::kNotRun, error.message()};
    co_return co_await RefuseLocally(call, refusal);
  }
  call->head = call->parser->get().base();
  if (auto head_error = FindHeadError(call->head))
    co_return co_await RefuseLocally(call, *head_error);
  if (call->head.count("X-Request-Id"))
    call->request_id = std::string(call->head["X-Request-Id"]);
  uint64_t limit =
      node_.MaxBodyBytes(call->head.method_string(), call->head.target());
  call->body_reader = std::make_unique<ParsedBody<true>>(
      connection->stream, connection->buffer, *call->parser);
  call->body_reader->set_limit(limit);
  call->body_complete = !HasBody(*call->parser);
  UpdatePressure();
  if (!Charge(*call)) {
    Refusal refusal{Reason::kOverload, Outcome::kNotRun, "no memory"};
    refusal.retry_after =
        std::chrono::seconds(1 + memory_refusals_++ % kRetryAfterValues);
    UpdatePressure();
    co_return co_await RefuseLocally(call, refusal);
  }
  if (!node_.IsRefusedByHead(Summarise(*call))) {
    if (auto refusal = co_await ReadBodyPrefix(*call))
      co_return co_await RefuseLocally(call, *refusal);
  } else if (onward && call->parser->content_length().value_or(0) > limit) {
    Refusal refusal{Reason::kBodyTooLarge, Outcome::kNotRun};
    co_return co_await RefuseLocally(call, refusal);
  }
  co_await AwaitDecision(call);
  bool keep_open = false;
  error_code failure;
  bool reset = false;
  try {
    keep_open = co_await SendAnswer(call);
  } catch (const BodyReadError& exception) {
    failure = exception.code();
    reset = true;
  } catch (const system_error& exception) {
    failure = exception.code();
  }
  co_await EndOtherAttempts(call);
  for (auto& [number, attempt] : call->attempts) {
    if (attempt->connection && (failure || !attempt->answer_complete))
      attempt->connection->Close();
  }
  calls_.erase(call->id);
  node_.Feed(CallFinished{call->id, !failure});
  if (reset)
    ResetConnection(connection->stream);
  if (failure)
    throw system_error(failure);
  co_return keep_open;
}

asio::awaitable<std::optional<Refusal>> HttpEntryServer::ReadBodyPrefix(
    PendingCall& call) {
  if (call.body_complete)
    co_return std::nullopt;
  auto& stream = call.connection->stream;
  if (call.head.version() >= 11 &&
      beast::iequals(call.head[http::field::expect], "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    stream.expires_after(limits_.header_timeout);
    co_await http::async_write(stream, proceed, asio::use_awaitable);
  }
  stream.expires_never();
  OperationTimeout timeout(stream, limits_.header_timeout);
  error_code error;
  call.connection->reading_since = std::chrono::steady_clock::now();
  try {
    call.body_prefix = co_await ReadUpTo(
        *call.body_reader, kMaxBufferedBodyBytes, call.body_complete);
  } catch (const system_error& exception) {
    error = exception.code();
  }
  call.connection->reading_since.reset();
  if (timeout.expired() || std::exchange(call.connection->abandoned, false))
    error = make_error_code(beast::error::timeout);
  if (!error)
    co_return std::nullopt;
  Reason reason = ReasonOfReadError(error);
  if (reason == Reason::kCallerGone)
    throw system_error(error);
  co_return Refusal{reason, Outcome::kNotRun, error.message()};
}

asio::awaitable<bool> HttpEntryServer::RefuseLocally(CallPointer call,
                                                     Refusal refusal) {
  WriteLog(Log{LogCode::kCallRefused,
               {{"request_id", call->request_id},
                {"organisation", ""},
                {"reason", std::string(InfoOf(refusal.reason).name)}}});
  co_await WriteSimpleAnswer(call->connection->stream,
                             ProblemAnswer(refusal, call->request_id, false),
                             call->is_head(), limits_.idle_timeout);
  co_return false;
}

asio::awaitable<void> HttpEntryServer::AwaitDecision(CallPointer call) {
  calls_[call->id] = call;
  if (!call->body_complete)
    call->body_reader->set_piece_timeout(limits_.header_timeout);
  node_.Feed(CallArrived{call->id, Summarise(*call)});
  asio::co_spawn(context_, WatchCaller(call), asio::detached);
  while (std::holds_alternative<std::monostate>(call->decision)) {
    error_code ignored;
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// Cancels all attempts except the delivered one and waits until no attempt
/// reads the call's body any more: concurrent reads from one connection would
/// corrupt the parsing of its requests.
asio::awaitable<void> HttpEntryServer::EndOtherAttempts(CallPointer call) {
  const auto* deliver = std::get_if<DeliverAnswer>(&call->decision);
  for (auto& [number, attempt] : call->attempts) {
    if (!deliver || deliver->attempt != number)
      Cancel(*call, *attempt);
  }
  while (call->running_attempts > 0) {
    error_code ignored;
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> HttpEntryServer::SendAnswer(CallPointer call) {
  co_await EndOtherAttempts(call);
  if (call->body_failure == Reason::kCallerGone)
    throw system_error(asio::error::eof);
  auto& stream = call->connection->stream;
  bool keep_open = call->parser->is_done() && call->keep_alive() && !stopping_;
  if (const auto* refuse = std::get_if<RefuseCall>(&call->decision)) {
    Refusal refusal = refuse->refusal;
    if (call->body_failure != Reason::kNone)
      refusal.reason = call->body_failure;
    SimpleAnswer answer = ProblemAnswer(refusal, call->request_id, keep_open);
    SetConnectionField(answer.head, call->head, keep_open);
    co_await WriteSimpleAnswer(stream, std::move(answer), call->is_head(),
                               limits_.idle_timeout);
    co_return keep_open;
  }
  if (const auto* replay = std::get_if<ReplayAnswer>(&call->decision)) {
    SimpleAnswer answer;
    answer.head.version(11);
    answer.head.result(replay->answer.status());
    for (int i = 0; i < replay->answer.header_names_size(); ++i) {
      answer.head.insert(replay->answer.header_names(i),
                         replay->answer.header_values(i));
    }
    answer.body = replay->answer.body();
    answer.head.set("Comfreylock-Outcome", "complete");
    answer.head.set("X-Request-Id", call->request_id);
    bool bodiless_status = IsBodiless(replay->answer.status());
    if (!bodiless_status)
      SetFraming(answer.head, answer.body.size());
    SetConnectionField(answer.head, call->head, keep_open);
    co_await WriteSimpleAnswer(stream, std::move(answer),
                               bodiless_status || call->is_head(),
                               limits_.idle_timeout);
    co_return keep_open;
  }
  auto attempt =
      call->attempts.at(std::get<DeliverAnswer>(call->decision).attempt);
  // HTTP/1.0 has no chunked coding, so a body of unknown length is ended by
  // closing the connection.
  bool ends_with_close = call->head.version() < 11 &&
                         !attempt->answer_complete &&
                         !attempt->connection->content_length();
  keep_open = keep_open && !ends_with_close;
  co_await ForwardAnswer(call, keep_open);
  co_return keep_open;
}

asio::awaitable<void> HttpEntryServer::ForwardAnswer(CallPointer call,
                                                     bool keep_open) {
  auto attempt =
      call->attempts.at(std::get<DeliverAnswer>(call->decision).attempt);
  ResponseHead head = attempt->head;
  std::optional<uint64_t> length = attempt->connection->content_length();
  if (attempt->answer_complete)
    length = attempt->body_prefix.size();
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set("X-Request-Id", call->request_id);
  head.set("Comfreylock-Outcome", "complete");
  bool bodiless_status = IsBodiless(head.result_int());
  bool bodiless = call->is_head() || bodiless_status;
  if (!bodiless) {
    SetFraming(head, length);
    if (!length && call->head.version() < 11)
      head.erase(http::field::transfer_encoding);
  }
  SetConnectionField(head, call->head, keep_open);
  PrefixedBody body(attempt->body_prefix, attempt->answer_complete
                                              ? nullptr
                                              : &attempt->connection->body());
  co_await WriteMessage<false>(call->connection->stream, std::move(head),
                               bodiless ? nullptr : &body,
                               limits_.idle_timeout);
  pool_.Release(attempt->connection);
}

asio::awaitable<void> HttpEntryServer::WatchCaller(CallPointer call) {
  std::function<bool()> active = [this, call] {
    return calls_.contains(call->id);
  };
  bool closed = co_await WaitForClose(call->connection->stream, active);
  if (closed)
    node_.Feed(CallerDisconnected{call->id});
}

RequestSummary HttpEntryServer::Summarise(const PendingCall& call) const {
  const RequestHead& request = call.head;
  RequestSummary summary;
  summary.method = std::string(request.method_string());
  summary.request_target = std::string(request.target());
  summary.request_id = call.request_id;
  summary.idempotency_key = std::string(request["Idempotency-Key"]);
  summary.onward = call.onward;
  summary.body_complete = call.body_complete;
  if (call.body_complete) {
    summary.body_size = call.body_prefix.size();
    summary.body_digest = Sha256(call.body_prefix);
  } else if (call.parser->content_length()) {
    summary.body_size = *call.parser->content_length();
  }
  std::string_view credentials = request[http::field::authorization];
  constexpr std::string_view kBearerPrefix = "Bearer ";
  if (credentials.size() > kBearerPrefix.size() &&
      beast::iequals(credentials.substr(0, kBearerPrefix.size()),
                     kBearerPrefix)) {
    summary.key =
        HashKey(credentials.substr(kBearerPrefix.size()), node_.KeySalt());
  }
  summary.deadline = ParseMilliseconds(request["X-Deadline-Ms"]);
  return summary;
}

HttpEntryServer::CallPointer HttpEntryServer::Find(CallId call) {
  auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : found->second;
}

void HttpEntryServer::Apply(const RefuseCall& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEntryServer::Apply(const DeliverAnswer& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEntryServer::Apply(const ReplayAnswer& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEntryServer::Apply(const CancelAttempt& effect) {
  auto call = Find(effect.call);
  if (!call)
    return;
  auto found = call->attempts.find(effect.attempt);
  if (found == call->attempts.end())
    return;
  Cancel(*call, *found->second);
}

void HttpEntryServer::Cancel(PendingCall& call, Attempt& attempt) {
  attempt.cancelled = true;
  if (attempt.delay)
    attempt.delay->cancel();
  if (!attempt.connection || !attempt.running)
    return;
  attempt.connection->Close();
  // The attempt may be waiting for more of the caller's body; this cancels its
  // read.
  if (!call.body_complete)
    call.connection->stream.cancel();
}

void HttpEntryServer::Apply(const Dispatch& effect) {
  auto call = Find(effect.call);
  if (!call)
    return;
  // Registered before the coroutine starts, so that a CancelAttempt that
  // arrives earlier finds the attempt.
  call->attempts[effect.attempt] = std::make_shared<Attempt>();
  ++call->running_attempts;
  asio::co_spawn(context_, RunAttempt(call, effect), asio::detached);
}

asio::awaitable<void> HttpEntryServer::RunAttempt(CallPointer call,
                                                  Dispatch dispatch) {
  auto attempt = call->attempts.at(dispatch.attempt);
  AttemptEnded ended;
  ended.call = dispatch.call;
  ended.attempt = dispatch.attempt;
  ended.kind = AttemptResult::kNotSent;
  auto start = std::chrono::steady_clock::now();
  try {
    co_await ExchangeWithPeer(call, dispatch, attempt, ended);
  } catch (const BodyReadError& exception) {
    call->body_failure = ReasonOfReadError(exception.code());
  } catch (const system_error& error) {
    if (error.code() == beast::error::timeout &&
        ended.kind != AttemptResult::kNotSent) {
      ended.kind = AttemptResult::kTimedOut;
    }
  }
  if (attempt->connection && ended.kind != AttemptResult::kAnswered &&
      ended.kind != AttemptResult::kRefused) {
    attempt->connection->Close();
  }
  ended.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  attempt->running = false;
  --call->running_attempts;
  call->wake.cancel();
  node_.Feed(std::move(ended));
}

asio::awaitable<void> HttpEntryServer::ExchangeWithPeer(
    CallPointer call,
    const Dispatch& dispatch,
    std::shared_ptr<Attempt> attempt,
    AttemptEnded& ended) {
  if (dispatch.delay.count() > 0 && !attempt->cancelled) {
    attempt->delay =
        std::make_unique<asio::steady_timer>(context_, dispatch.delay);
    error_code ignored;
    co_await attempt->delay->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (attempt->cancelled)
    co_return;
  IoTimePoint deadline = node_.ToIoTimePoint(dispatch.deadline);
  auto connect_deadline =
      std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout);
  bool new_connection = dispatch.context.once_only() || !call->body_complete;
  auto connection = co_await pool_.Acquire(dispatch.address, connect_deadline,
                                           new_connection);
  if (attempt->cancelled) {
    connection->Close();
    co_return;
  }
  attempt->connection = connection;
  PrefixedBody body(call->body_prefix,
                    call->body_complete ? nullptr : call->body_reader.get(),
                    &ended.body_sent);
  ClientRequest request{PeerRequest(*call, dispatch)};
  if (HasBody(*call->parser))
    request.body = &body;
  request.deadline = deadline;
  // For a streamed body, 100 Continue is awaited before any byte of it is sent,
  // so that a rejection by the target's node can still be retried.
  request.await_continue = !call->body_complete;
  if (request.await_continue)
    request.head.set(http::field::expect, "100-continue");
  ended.kind = AttemptResult::kBroken;
  attempt->head = co_await connection->RoundTrip(std::move(request));
  ended.status = static_cast<int>(attempt->head.result_int());
  ended.report = ReadReport(attempt->head);
  if (ended.report.request_id() != call->request_id) {
    ended.kind = AttemptResult::kMismatchedAnswer;
    co_return;
  }
  attempt->body_prefix = co_await ReadUpTo(
      connection->body(), kMaxBufferedBodyBytes, attempt->answer_complete);
  attempt->charge = mesh::MemoryCharge(
      held_->budget, mesh::MemoryBudget::Kind::kTargetAnswers);
  attempt->charge.Resize(attempt->body_prefix.size());
  if (!ended.report.refusal_reason().empty()) {
    ended.kind = AttemptResult::kRefused;
    pool_.Release(connection);
    co_return;
  }
  if (dispatch.report_answer && attempt->answer_complete)
    ended.answer = StoredAnswerOf(attempt->head, attempt->body_prefix);
  ended.kind = AttemptResult::kAnswered;
  if (dispatch.report_answer)
    ended.answer = MakeStoredAnswer(*attempt);
}

RequestHead HttpEntryServer::PeerRequest(const PendingCall& call,
                                         const Dispatch& dispatch) {
  RequestHead head = call.head;
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.version(11);
  // HTTP/1.0 callers may omit Host.
  if (!head.count(http::field::host))
    head.set(http::field::host, dispatch.address);
  head.set("X-Request-Id", call.request_id);
  wire::CallContext context = dispatch.context;
  context.set_remaining_ms(
      static_cast<uint32_t>(TimeLeft(node_, dispatch.deadline).count()));
  SetContext(head, context, node_);
  if (call.body_complete) {
    if (HasBody(*call.parser) || head.count(http::field::content_length))
      SetFraming(head, call.body_prefix.size());
  } else {
    auto length = call.parser->content_length();
    SetFraming(head, length ? std::optional<uint64_t>(*length) : std::nullopt);
  }
  return head;
}

}  // namespace comfreylock
