#include "http_edge.h"

#include <algorithm>
#include <charconv>
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
#include "peer_context.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

constexpr uint32_t kHeaderLimitBytes = 64 * 1024;
/// Bytes read at a time while waiting for the next head.
constexpr size_t kHeadReadBytes = 4096;
/// Time to connect to another node.
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;
/// Idle connections to other nodes are closed after this time.
constexpr std::chrono::milliseconds kPeerIdleLimit = 20s;

bool IsToken(std::string_view value) {
  return !value.empty() && value.size() <= kMaxTokenLength &&
         std::ranges::all_of(value, [](unsigned char letter) {
           return letter > 0x20 && letter < 0x7f;
         });
}

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  int64_t value = 0;
  auto [end, status] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  constexpr int64_t kLongest = 86'400'000;  // One day.
  if (status != std::errc() || end != text.data() + text.size() || value < 0 ||
      text.starts_with('-')) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min(value, kLongest));
}

/// Checks the fields whose values the node acts upon.
/// @return what is wrong, or nothing.
std::optional<Refusal> HeadFault(const RequestHead& head) {
  auto malformed = [](std::string detail) {
    return Refusal{Reason::kMalformed, Outcome::kNotRun, std::move(detail)};
  };
  std::string framing = FramingFault(head);
  if (!framing.empty())
    return malformed(framing);
  for (const char* name :
       {"Authorization", "Idempotency-Key", "X-Request-Id", "X-Deadline-Ms"}) {
    if (head.count(name) > 1)
      return malformed(std::string("more than one ") + name);
  }
  if (head.method() == http::verb::connect)
    return malformed("CONNECT is not supported");
  if (head.count("X-Request-Id") && !IsToken(head["X-Request-Id"]))
    return malformed("X-Request-Id has 1 to 128 visible ASCII characters");
  if (head.count("X-Deadline-Ms") && !ParseMilliseconds(head["X-Deadline-Ms"]))
    return malformed("X-Deadline-Ms is a number of milliseconds");
  if (head.count("Idempotency-Key") && !IsToken(head["Idempotency-Key"]))
    return Refusal{Reason::kIdempotencyKeyInvalid, Outcome::kNotRun};
  return std::nullopt;
}

Reason ReasonOfBodyError(const error_code& error) {
  if (error == http::error::body_limit)
    return Reason::kBodyTooLarge;
  if (error == beast::error::timeout)
    return Reason::kRequestTimeout;
  bool cut = error == http::error::partial_message ||
             error == http::error::end_of_stream;
  if (!cut && error.category() ==
                  http::make_error_code(http::error::bad_chunk).category()) {
    return Reason::kMalformed;
  }
  return Reason::kCallerGone;
}

/// @return whether an answer with this status never has a body.
bool IsBodiless(unsigned status) {
  return status == 204 || status == 304;
}

/// Tells the caller whether the connection stays open.
void SetConnection(ResponseHead& answer,
                   const RequestHead& request,
                   bool keep) {
  if (!keep)
    answer.set(http::field::connection, "close");
  else if (request.version() < 11)
    answer.set(http::field::connection, "keep-alive");
}

wire::StoredAnswer StoredAnswerOf(ResponseHead head, const std::string& body) {
  RemoveHopByHop(head);
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

struct HttpEdge::Connection {
  explicit Connection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

struct HttpEdge::Attempt {
  std::shared_ptr<HttpConnection> connection;
  std::unique_ptr<asio::steady_timer> delay;
  ResponseHead head;
  std::string beginning;  ///< The whole body, or its first bytes.
  bool whole = false;
  bool cancelled = false;
  bool running = true;
};

struct HttpEdge::PendingCall {
  explicit PendingCall(asio::io_context& context) : wake(context) {
    wake.expires_at(asio::steady_timer::time_point::max());
  }

  CallId id;
  std::shared_ptr<Connection> connection;
  std::unique_ptr<http::request_parser<http::buffer_body>> parser;
  /// Copied before the body is read: the parser adds trailer fields to its own.
  RequestHead head;
  std::unique_ptr<ParsedBody<true>> rest;
  std::string request_id;
  std::string beginning;
  bool complete = false;  ///< `beginning` is the whole body.
  bool onward = false;
  asio::steady_timer wake;
  std::map<uint32_t, std::shared_ptr<Attempt>> attempts;
  int running = 0;  ///< Attempts that may use this call's body.
  Reason body_failure = Reason::kNone;  ///< Found while streaming the body.
  std::variant<std::monostate, RefuseCall, DeliverAnswer, ReplayAnswer>
      decision;

  bool is_head() const { return head.method() == http::verb::head; }
  bool keep_alive() const { return parser->keep_alive(); }
};

wire::StoredAnswer HttpEdge::AnswerToKeep(const Attempt& attempt) {
  wire::StoredAnswer kept;
  kept.set_status(attempt.head.result_int());
  if (!attempt.whole || attempt.beginning.size() > kMaxStoredAnswerBytes) {
    kept.set_body_omitted(true);
    return kept;
  }
  ResponseHead head = attempt.head;
  RemoveHopByHop(head);
  RemovePrivateFields(head);
  head.erase(http::field::date);
  head.erase(http::field::connection);
  // Both are set anew for each resend.
  head.erase(http::field::content_length);
  head.erase("X-Request-Id");
  for (const auto& field : head) {
    kept.add_header_names(std::string(field.name_string()));
    kept.add_header_values(std::string(field.value()));
  }
  kept.set_body(attempt.beginning);
  return kept;
}

HttpEdge::HttpEdge(asio::io_context& context, NodeHost& host, Limits limits)
    : context_(context),
      host_(host),
      limits_(limits),
      pool_(context.get_executor(), kPeerIdleLimit) {}

HttpEdge::~HttpEdge() = default;

asio::ip::tcp::endpoint HttpEdge::Listen(const std::string& address,
                                         bool onward) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
      context_, ParseEndpoint(address), true);
  acceptors_.push_back(acceptor);
  asio::co_spawn(context_, Accept(acceptor, onward), asio::detached);
  return acceptor->local_endpoint();
}

void HttpEdge::StopAccepting() {
  stopping_ = true;
  for (auto& acceptor : acceptors_) {
    error_code ignored;
    acceptor->close(ignored);
  }
}

asio::awaitable<void> HttpEdge::Accept(
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
    bool onward) {
  while (acceptor->is_open()) {
    error_code error;
    auto socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // Out of descriptors: wait, so that the loop does not spin.
      asio::steady_timer pause(context_, 10ms);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(context_, Serve(connection, onward), asio::detached);
  }
}

asio::awaitable<void> HttpEdge::Serve(std::shared_ptr<Connection> connection,
                                      bool onward) {
  bool failed = false;
  try {
    while (co_await ServeOne(connection, onward)) {
    }
  } catch (const system_error&) {
    // The caller is gone or too slow; closing is all that is left.
    failed = true;
  }
  if (failed)
    connection->stream.close();
  else
    co_await LingeringClose(connection->stream);
}

asio::awaitable<error_code> HttpEdge::ReadHead(Connection& connection,
                                               PendingCall& call) {
  auto& stream = connection.stream;
  auto& buffer = connection.buffer;
  error_code error;
  if (buffer.size() == 0) {
    stream.expires_after(limits_.idle_timeout);
    size_t got = co_await stream.async_read_some(
        buffer.prepare(kHeadReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(got);
    if (error)
      throw system_error(error);
  }
  stream.expires_never();
  OperationTimeout timeout(stream, limits_.header_timeout);
  co_await http::async_read_header(
      stream, buffer, *call.parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (timeout.expired())
    error = make_error_code(beast::error::timeout);
  co_return error;
}

asio::awaitable<bool> HttpEdge::ServeOne(std::shared_ptr<Connection> connection,
                                         bool onward) {
  auto call = std::make_shared<PendingCall>(context_);
  call->id = CallId{host_.NextId()};
  call->connection = connection;
  call->onward = onward;
  call->request_id = ToHex(RandomBytes(16));
  call->parser = std::make_unique<http::request_parser<http::buffer_body>>();
  call->parser->header_limit(kHeaderLimitBytes);
  call->parser->body_limit(boost::none);
  error_code error = co_await ReadHead(*connection, *call);
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message) {
    co_return false;
  }
  if (error) {
    Reason reason = ReasonOfBodyError(error);
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow) {
      reason = Reason::kHeaderTooLarge;
    }
    if (reason == Reason::kCallerGone)
      throw system_error(error);
    Refusal refusal{reason, Outcome::kNotRun, error.message()};
    co_return co_await RefuseHere(call, refusal);
  }
  call->head = call->parser->get().base();
  if (auto fault = HeadFault(call->head))
    co_return co_await RefuseHere(call, *fault);
  if (call->head.count("X-Request-Id"))
    call->request_id = std::string(call->head["X-Request-Id"]);
  uint64_t limit =
      host_.BodyLimit(call->head.method_string(), call->head.target());
  call->rest = std::make_unique<ParsedBody<true>>(
      connection->stream, connection->buffer, *call->parser);
  call->rest->set_limit(limit);
  call->complete = !HasBody(*call->parser);
  if (!host_.RefusedByHead(Summarise(*call))) {
    if (auto refusal = co_await ReadBeginning(*call))
      co_return co_await RefuseHere(call, *refusal);
  } else if (onward && call->parser->content_length().value_or(0) > limit) {
    Refusal refusal{Reason::kBodyTooLarge, Outcome::kNotRun};
    co_return co_await RefuseHere(call, refusal);
  }
  co_await Decide(call);
  bool keep = false;
  error_code failed;
  bool reset = false;
  try {
    keep = co_await Answer(call);
  } catch (const BodyCut& cut) {
    failed = cut.code();
    reset = true;
  } catch (const system_error& cut) {
    failed = cut.code();
  }
  co_await Settle(call);
  for (auto& [number, attempt] : call->attempts) {
    if (attempt->connection && (failed || !attempt->whole))
      attempt->connection->Close();
  }
  calls_.erase(call->id);
  host_.Feed(CallFinished{call->id, !failed});
  if (reset)
    ResetConnection(connection->stream);
  if (failed)
    throw system_error(failed);
  co_return keep;
}

asio::awaitable<std::optional<Refusal>> HttpEdge::ReadBeginning(
    PendingCall& call) {
  if (call.complete)
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
  try {
    call.beginning =
        co_await ReadUpTo(*call.rest, kBufferedBodyBytes, call.complete);
  } catch (const system_error& cut) {
    error = cut.code();
  }
  if (timeout.expired())
    error = make_error_code(beast::error::timeout);
  if (!error)
    co_return std::nullopt;
  Reason reason = ReasonOfBodyError(error);
  if (reason == Reason::kCallerGone)
    throw system_error(error);
  co_return Refusal{reason, Outcome::kNotRun, error.message()};
}

asio::awaitable<bool> HttpEdge::RefuseHere(CallPointer call, Refusal refusal) {
  WriteLog(Log{LogCode::kCallRefused,
               {{"request_id", call->request_id},
                {"organisation", ""},
                {"reason", std::string(InfoOf(refusal.reason).name)}}});
  co_await WriteSimple(call->connection->stream,
                       ProblemAnswer(refusal, call->request_id, false),
                       call->is_head(), limits_.idle_timeout);
  co_return false;
}

asio::awaitable<void> HttpEdge::Decide(CallPointer call) {
  calls_[call->id] = call;
  if (!call->complete)
    call->rest->set_piece_timeout(limits_.header_timeout);
  host_.Feed(CallArrived{call->id, Summarise(*call)});
  asio::co_spawn(context_, WatchCaller(call), asio::detached);
  while (std::holds_alternative<std::monostate>(call->decision)) {
    error_code ignored;
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

/// Ends all attempts but the delivered one and waits until none uses the
/// call's body: two readers of one connection would mix up its requests.
asio::awaitable<void> HttpEdge::Settle(CallPointer call) {
  const auto* deliver = std::get_if<DeliverAnswer>(&call->decision);
  for (auto& [number, attempt] : call->attempts) {
    if (!deliver || deliver->attempt != number)
      Cancel(*call, *attempt);
  }
  while (call->running > 0) {
    error_code ignored;
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> HttpEdge::Answer(CallPointer call) {
  co_await Settle(call);
  if (call->body_failure == Reason::kCallerGone)
    throw system_error(asio::error::eof);
  auto& stream = call->connection->stream;
  bool keep = call->parser->is_done() && call->keep_alive() && !stopping_;
  if (const auto* refuse = std::get_if<RefuseCall>(&call->decision)) {
    Refusal refusal = refuse->refusal;
    if (call->body_failure != Reason::kNone)
      refusal.reason = call->body_failure;
    SimpleAnswer answer = ProblemAnswer(refusal, call->request_id, keep);
    SetConnection(answer.head, call->head, keep);
    co_await WriteSimple(stream, std::move(answer), call->is_head(),
                         limits_.idle_timeout);
    co_return keep;
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
    bool empty = IsBodiless(replay->answer.status());
    if (!empty)
      SetFraming(answer.head, answer.body.size());
    SetConnection(answer.head, call->head, keep);
    co_await WriteSimple(stream, std::move(answer), empty || call->is_head(),
                         limits_.idle_timeout);
    co_return keep;
  }
  auto attempt =
      call->attempts.at(std::get<DeliverAnswer>(call->decision).attempt);
  // Without chunked coding, only the end of the connection ends such a body.
  bool ends_with_close = call->head.version() < 11 && !attempt->whole &&
                         !attempt->connection->content_length();
  keep = keep && !ends_with_close;
  co_await WriteAnswer(call, keep);
  co_return keep;
}

asio::awaitable<void> HttpEdge::WriteAnswer(CallPointer call, bool keep) {
  auto attempt =
      call->attempts.at(std::get<DeliverAnswer>(call->decision).attempt);
  ResponseHead head = attempt->head;
  std::optional<uint64_t> length = attempt->connection->content_length();
  if (attempt->whole)
    length = attempt->beginning.size();
  RemoveHopByHop(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set("X-Request-Id", call->request_id);
  head.set("Comfreylock-Outcome", "complete");
  bool empty = IsBodiless(head.result_int());
  bool bodiless = call->is_head() || empty;
  if (!bodiless) {
    SetFraming(head, length);
    if (!length && call->head.version() < 11)
      head.erase(http::field::transfer_encoding);
  }
  SetConnection(head, call->head, keep);
  PrefixedBody body(attempt->beginning,
                    attempt->whole ? nullptr : &attempt->connection->body());
  co_await WriteMessage<false>(call->connection->stream, std::move(head),
                               bodiless ? nullptr : &body,
                               limits_.idle_timeout);
  pool_.Release(attempt->connection);
}

asio::awaitable<void> HttpEdge::WatchCaller(CallPointer call) {
  std::function<bool()> active = [this, call] {
    return calls_.contains(call->id);
  };
  bool closed = co_await WaitForClose(call->connection->stream, active);
  if (closed)
    host_.Feed(CallerDisconnected{call->id});
}

RequestSummary HttpEdge::Summarise(const PendingCall& call) const {
  const RequestHead& request = call.head;
  RequestSummary summary;
  summary.method = std::string(request.method_string());
  summary.target = std::string(request.target());
  summary.request_id = call.request_id;
  summary.idempotency_key = std::string(request["Idempotency-Key"]);
  summary.onward = call.onward;
  summary.body_complete = call.complete;
  if (call.complete) {
    summary.body_size = call.beginning.size();
    summary.body_digest = Sha256(call.beginning);
  } else if (call.parser->content_length()) {
    summary.body_size = *call.parser->content_length();
  }
  std::string_view credentials = request[http::field::authorization];
  constexpr std::string_view kScheme = "Bearer ";
  if (credentials.size() > kScheme.size() &&
      beast::iequals(credentials.substr(0, kScheme.size()), kScheme)) {
    summary.key = HashKey(credentials.substr(kScheme.size()), host_.KeySalt());
  }
  summary.deadline = ParseMilliseconds(request["X-Deadline-Ms"]);
  return summary;
}

HttpEdge::CallPointer HttpEdge::Find(CallId call) {
  auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : found->second;
}

void HttpEdge::Apply(const RefuseCall& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEdge::Apply(const DeliverAnswer& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEdge::Apply(const ReplayAnswer& effect) {
  if (auto call = Find(effect.call)) {
    call->decision = effect;
    call->wake.cancel();
  }
}

void HttpEdge::Apply(const CancelAttempt& effect) {
  auto call = Find(effect.call);
  if (!call)
    return;
  auto found = call->attempts.find(effect.attempt);
  if (found == call->attempts.end())
    return;
  Cancel(*call, *found->second);
}

void HttpEdge::Cancel(PendingCall& call, Attempt& attempt) {
  attempt.cancelled = true;
  if (attempt.delay)
    attempt.delay->cancel();
  if (!attempt.connection || !attempt.running)
    return;
  attempt.connection->Close();
  // The attempt may be waiting for more of the caller's body.
  if (!call.complete)
    call.connection->stream.cancel();
}

void HttpEdge::Apply(const Dispatch& effect) {
  auto call = Find(effect.call);
  if (!call)
    return;
  // Registered at once, so that a cancellation that comes first finds it.
  call->attempts[effect.attempt] = std::make_shared<Attempt>();
  ++call->running;
  asio::co_spawn(context_, RunAttempt(call, effect), asio::detached);
}

asio::awaitable<void> HttpEdge::RunAttempt(CallPointer call,
                                           Dispatch dispatch) {
  auto attempt = call->attempts.at(dispatch.attempt);
  AttemptEnded ended;
  ended.call = dispatch.call;
  ended.attempt = dispatch.attempt;
  ended.kind = AttemptKind::kNotSent;
  auto start = std::chrono::steady_clock::now();
  try {
    co_await Exchange(call, dispatch, attempt, ended);
  } catch (const BodyCut& cut) {
    call->body_failure = ReasonOfBodyError(cut.code());
  } catch (const system_error& error) {
    if (error.code() == beast::error::timeout &&
        ended.kind != AttemptKind::kNotSent) {
      ended.kind = AttemptKind::kTimedOut;
    }
  }
  if (attempt->connection && ended.kind != AttemptKind::kAnswered &&
      ended.kind != AttemptKind::kRefused) {
    attempt->connection->Close();
  }
  ended.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  attempt->running = false;
  --call->running;
  call->wake.cancel();
  host_.Feed(std::move(ended));
}

asio::awaitable<void> HttpEdge::Exchange(CallPointer call,
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
  IoDeadline deadline = host_.ToIoDeadline(dispatch.deadline);
  auto connect_until =
      std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout);
  bool fresh = dispatch.context.once_only() || !call->complete;
  auto connection =
      co_await pool_.Acquire(dispatch.address, connect_until, fresh);
  if (attempt->cancelled) {
    connection->Close();
    co_return;
  }
  attempt->connection = connection;
  PrefixedBody body(call->beginning,
                    call->complete ? nullptr : call->rest.get(),
                    &ended.body_sent);
  ClientRequest request{PeerRequest(*call, dispatch)};
  if (HasBody(*call->parser))
    request.body = &body;
  request.deadline = deadline;
  // A rejection then comes before any byte left, so it can be retried.
  request.await_continue = !call->complete;
  if (request.await_continue)
    request.head.set(http::field::expect, "100-continue");
  ended.kind = AttemptKind::kBroken;
  attempt->head = co_await connection->RoundTrip(std::move(request));
  ended.status = static_cast<int>(attempt->head.result_int());
  ended.report = ReadReport(attempt->head);
  if (ended.report.request_id() != call->request_id) {
    ended.kind = AttemptKind::kMismatchedAnswer;
    co_return;
  }
  attempt->beginning =
      co_await ReadUpTo(connection->body(), kBufferedBodyBytes, attempt->whole);
  if (!ended.report.refusal_reason().empty()) {
    ended.kind = AttemptKind::kRefused;
    pool_.Release(connection);
    co_return;
  }
  if (dispatch.report_answer && attempt->whole)
    ended.answer = StoredAnswerOf(attempt->head, attempt->beginning);
  ended.kind = AttemptKind::kAnswered;
  if (dispatch.report_answer)
    ended.answer = AnswerToKeep(*attempt);
}

RequestHead HttpEdge::PeerRequest(const PendingCall& call,
                                  const Dispatch& dispatch) {
  RequestHead head = call.head;
  RemoveHopByHop(head);
  RemovePrivateFields(head);
  head.version(11);
  // HTTP/1.0 callers may send none.
  if (!head.count(http::field::host))
    head.set(http::field::host, dispatch.address);
  head.set("X-Request-Id", call.request_id);
  wire::CallContext context = dispatch.context;
  context.set_remaining_ms(
      static_cast<uint32_t>(TimeLeft(host_, dispatch.deadline).count()));
  SetContext(head, context, host_);
  if (call.complete) {
    if (HasBody(*call.parser) || head.count(http::field::content_length))
      SetFraming(head, call.beginning.size());
  } else {
    auto length = call.parser->content_length();
    SetFraming(head, length ? std::optional<uint64_t>(*length) : std::nullopt);
  }
  return head;
}

}  // namespace comfreylock
