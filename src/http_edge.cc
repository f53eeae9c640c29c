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
#include "peer_context.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

constexpr uint32_t kHeaderLimitBytes = 64 * 1024;
/// Time to connect to another node.
constexpr std::chrono::milliseconds kConnectTimeout = 500ms;
/// Idle connections to other nodes are closed after this time.
constexpr std::chrono::milliseconds kPeerIdleLimit = 20s;

std::string RequestIdOf(const RequestHead& head) {
  std::string id(head["X-Request-Id"]);
  bool valid = !id.empty() && id.size() <= kMaxTokenLength &&
               std::ranges::all_of(id, [](unsigned char letter) {
                 return letter > 0x20 && letter < 0x7f;
               });
  return valid ? id : ToHex(RandomBytes(16));
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
};

struct HttpEdge::PendingCall {
  explicit PendingCall(asio::io_context& context) : wake(context) {}

  CallId id;
  std::shared_ptr<Connection> connection;
  std::unique_ptr<http::request_parser<http::buffer_body>> parser;
  std::unique_ptr<ParsedBody<true>> rest;
  std::string request_id;
  std::string beginning;
  bool complete = false;
  bool onward = false;
  asio::steady_timer wake;
  std::map<uint32_t, std::shared_ptr<Attempt>> attempts;
  std::variant<std::monostate, RefuseCall, DeliverAnswer, ReplayAnswer>
      decision;

  bool is_head() const { return parser->get().method() == http::verb::head; }
  bool keep_alive() const { return parser->get().keep_alive(); }
};

wire::StoredAnswer HttpEdge::AnswerToKeep(const Attempt& attempt) {
  wire::StoredAnswer kept;
  kept.set_status(attempt.head.result_int());
  if (!attempt.whole || attempt.beginning.size() > kMaxKeptAnswerBytes) {
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

void HttpEdge::Listen(const std::string& address, bool onward) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(
      context_, ParseEndpoint(address), true);
  acceptors_.push_back(acceptor);
  asio::co_spawn(context_, Accept(acceptor, onward), asio::detached);
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
  try {
    while (co_await ServeOne(connection, onward)) {
    }
  } catch (const system_error&) {
    // The caller is gone or too slow; closing is all that is left.
  }
  error_code ignored;
  connection->stream.socket().shutdown(asio::socket_base::shutdown_both,
                                       ignored);
  connection->stream.close();
}

asio::awaitable<bool> HttpEdge::ServeOne(std::shared_ptr<Connection> connection,
                                         bool onward) {
  auto call = std::make_shared<PendingCall>(context_);
  call->id = CallId{host_.NextId()};
  call->connection = connection;
  call->onward = onward;
  call->parser = std::make_unique<http::request_parser<http::buffer_body>>();
  call->parser->header_limit(kHeaderLimitBytes);
  call->parser->body_limit(boost::none);
  auto& stream = connection->stream;
  stream.expires_after(limits_.idle_timeout);
  error_code error;
  co_await http::async_read_header(
      stream, connection->buffer, *call->parser,
      asio::redirect_error(asio::use_awaitable, error));
  if (error == http::error::end_of_stream ||
      (error &&
       error.category() !=
           http::make_error_code(http::error::bad_method).category())) {
    co_return false;
  }
  if (error) {
    co_await WriteSimple(
        stream,
        ProblemAnswer({Reason::kMalformed, Outcome::kNotRun, error.message()},
                      ToHex(RandomBytes(16)), false),
        false);
    co_return false;
  }
  call->request_id = RequestIdOf(call->parser->get());
  call->rest = std::make_unique<ParsedBody<true>>(stream, connection->buffer,
                                                  *call->parser);
  if (beast::iequals(call->parser->get()[http::field::expect],
                     "100-continue")) {
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    co_await http::async_write(stream, proceed, asio::use_awaitable);
  }
  stream.expires_after(limits_.header_timeout);
  call->beginning =
      co_await ReadUpTo(*call->rest, kBufferedBodyBytes, call->complete);
  stream.expires_never();
  co_await Decide(call);
  bool keep = false;
  error_code failed;
  try {
    keep = co_await Answer(call);
  } catch (const system_error& cut) {
    failed = cut.code();
  }
  calls_.erase(call->id);
  host_.Feed(CallFinished{call->id, !failed});
  co_return keep && !failed;
}

asio::awaitable<void> HttpEdge::Decide(CallPointer call) {
  calls_[call->id] = call;
  call->wake.expires_at(asio::steady_timer::time_point::max());
  host_.Feed(CallArrived{call->id, Summarise(*call)});
  asio::co_spawn(context_, WatchCaller(call), asio::detached);
  while (std::holds_alternative<std::monostate>(call->decision)) {
    error_code ignored;
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<bool> HttpEdge::Answer(CallPointer call) {
  auto& stream = call->connection->stream;
  bool keep = call->complete && call->keep_alive() && !stopping_;
  // Lets a slow reader take its answer, but not for ever.
  stream.expires_after(limits_.idle_timeout);
  if (const auto* refuse = std::get_if<RefuseCall>(&call->decision)) {
    co_await WriteSimple(stream,
                         ProblemAnswer(refuse->refusal, call->request_id, keep),
                         call->is_head());
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
    if (replay->answer.status() != 204 && replay->answer.status() != 304)
      SetFraming(answer.head, answer.body.size());
    co_await WriteSimple(stream, std::move(answer), call->is_head());
    co_return keep;
  }
  co_await WriteAnswer(call);
  co_return keep;
}

asio::awaitable<void> HttpEdge::WriteAnswer(CallPointer call) {
  auto attempt =
      call->attempts.at(std::get<DeliverAnswer>(call->decision).attempt);
  ResponseHead head = attempt->head;
  std::optional<uint64_t> length;
  if (attempt->whole)
    length = attempt->beginning.size();
  else if (head.count(http::field::content_length))
    length = std::stoull(std::string(head[http::field::content_length]));
  RemoveHopByHop(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set("X-Request-Id", call->request_id);
  head.set("Comfreylock-Outcome", "complete");
  if (stopping_)
    head.set(http::field::connection, "close");
  unsigned status = head.result_int();
  bool bodiless = call->is_head() || status == 204 || status == 304;
  if (!bodiless)
    SetFraming(head, length);
  PrefixedBody body(attempt->beginning,
                    attempt->whole ? nullptr : &attempt->connection->body());
  co_await WriteMessage<false>(call->connection->stream, std::move(head),
                               bodiless ? nullptr : &body);
  pool_.Release(attempt->connection);
}

asio::awaitable<void> HttpEdge::WatchCaller(CallPointer call) {
  bool closed = co_await WaitForClose(call->connection->stream);
  if (closed && calls_.contains(call->id))
    host_.Feed(CallerGone{call->id});
}

RequestSummary HttpEdge::Summarise(const PendingCall& call) const {
  const auto& request = call.parser->get();
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
  std::string_view deadline = request["X-Deadline-Ms"];
  int64_t milliseconds = 0;
  auto [end, status] = std::from_chars(
      deadline.data(), deadline.data() + deadline.size(), milliseconds);
  if (!deadline.empty() && status == std::errc() && milliseconds >= 0)
    summary.deadline = std::chrono::milliseconds(milliseconds);
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
  Attempt& attempt = *found->second;
  attempt.cancelled = true;
  if (attempt.delay)
    attempt.delay->cancel();
  if (attempt.connection)
    attempt.connection->Close();
}

void HttpEdge::Apply(const Dispatch& effect) {
  if (auto call = Find(effect.call))
    asio::co_spawn(context_, RunAttempt(call, effect), asio::detached);
}

asio::awaitable<void> HttpEdge::RunAttempt(CallPointer call,
                                           Dispatch dispatch) {
  auto attempt = std::make_shared<Attempt>();
  call->attempts[dispatch.attempt] = attempt;
  AttemptEnded ended;
  ended.call = dispatch.call;
  ended.attempt = dispatch.attempt;
  ended.kind = AttemptKind::kNotSent;
  auto start = std::chrono::steady_clock::now();
  try {
    co_await Exchange(call, dispatch, attempt, ended);
  } catch (const system_error& error) {
    if (error.code() == beast::error::timeout &&
        ended.kind != AttemptKind::kNotSent) {
      ended.kind = AttemptKind::kTimedOut;
    }
    if (attempt->connection)
      attempt->connection->Close();
  }
  ended.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  host_.Feed(std::move(ended));
}

asio::awaitable<void> HttpEdge::Exchange(CallPointer call,
                                         const Dispatch& dispatch,
                                         std::shared_ptr<Attempt> attempt,
                                         AttemptEnded& ended) {
  if (dispatch.delay.count() > 0) {
    attempt->delay =
        std::make_unique<asio::steady_timer>(context_, dispatch.delay);
    error_code ignored;
    co_await attempt->delay->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  IoDeadline deadline = host_.ToIoDeadline(dispatch.deadline);
  auto connect_until =
      std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout);
  attempt->connection = co_await pool_.Acquire(dispatch.address, connect_until);
  if (attempt->cancelled) {
    pool_.Release(attempt->connection);
    co_return;
  }
  PrefixedBody body(call->beginning,
                    call->complete ? nullptr : call->rest.get(),
                    &ended.body_left);
  bool sent = false;
  RequestHead head = PeerRequest(*call, dispatch);
  ended.kind = AttemptKind::kBroken;
  co_await attempt->connection->Send(std::move(head),
                                     HasBody(*call->parser) ? &body : nullptr,
                                     deadline, sent);
  attempt->head = co_await attempt->connection->ReceiveHead(call->is_head());
  ended.status = static_cast<int>(attempt->head.result_int());
  ended.report = ReadReport(attempt->head);
  attempt->beginning = co_await ReadUpTo(attempt->connection->body(),
                                         kBufferedBodyBytes, attempt->whole);
  if (ended.report.request_id() != call->request_id) {
    ended.kind = AttemptKind::kCrossed;
    attempt->connection->Close();
    co_return;
  }
  if (!ended.report.refusal_reason().empty()) {
    ended.kind = AttemptKind::kRefused;
    pool_.Release(attempt->connection);
    co_return;
  }
  ended.kind = AttemptKind::kAnswered;
  if (dispatch.keep_answer)
    ended.answer = AnswerToKeep(*attempt);
}

RequestHead HttpEdge::PeerRequest(const PendingCall& call,
                                  const Dispatch& dispatch) {
  RequestHead head = call.parser->get().base();
  RemoveHopByHop(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set("X-Request-Id", call.request_id);
  wire::CallContext context = dispatch.context;
  auto remaining =
      host_.ToIoDeadline(dispatch.deadline) - std::chrono::steady_clock::now();
  auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  context.set_remaining_ms(
      static_cast<uint32_t>(std::max<int64_t>(milliseconds, 0)));
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
