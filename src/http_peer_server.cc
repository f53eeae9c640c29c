#include "http_peer_server.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "comfreylock/config.h"
#include "http_problem.h"
#include "peer_context.h"

namespace comfreylock {
namespace {

using boost::system::error_code;
using boost::system::system_error;

/// Exceeds the entry node's limit of 64 KiB for callers' heads, because the
/// entry node adds fields of its own.
constexpr uint32_t kMaxHeaderBytes = 80 * 1024;
/// Idle connections to the target are not reused after this time. Common
/// servers close theirs after 5 s; the outcome of a request sent at that moment
/// would be unknown.
constexpr std::chrono::milliseconds kTargetIdleTimeout = 2s;
/// Entry nodes do not reuse connections that were idle for 20 s, so this longer
/// timeout never closes a connection that is about to be reused.
constexpr std::chrono::milliseconds kEntryNodeIdleTimeout = 60s;
/// Timeout for connecting to the target on the same host.
constexpr std::chrono::milliseconds kConnectTimeout = 1s;
/// Timeout of the connection that checks whether the target still accepts
/// connections after one has broken.
constexpr std::chrono::milliseconds kProbeTimeout = 200ms;
/// Timeout for reading one piece of a body from an entry node, and for writing
/// one piece. The entry node stops reading from a slow caller earlier, after
/// its own shorter timeout.
constexpr std::chrono::milliseconds kPieceTimeout = 90s;
/// Timeout for reading one piece of a rejected request's body.
constexpr std::chrono::milliseconds kRejectedBodyTimeout = 1s;

Reason ReasonOf(WorkResult result) {
  switch (result) {
    case WorkResult::kTimedOut:
      return Reason::kDeadline;
    case WorkResult::kBadAnswer:
      return Reason::kBadAnswer;
    case WorkResult::kNotConnected:
      return Reason::kNoTarget;
    case WorkResult::kCancelled:
      return Reason::kCallerGone;
    default:
      return Reason::kTargetFailed;
  }
}

}  // namespace

struct HttpPeerServer::Connection {
  explicit Connection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxInputBufferBytes};
};

struct HttpPeerServer::PendingWork {
  explicit PendingWork(asio::io_context& context) : wake(context) {}

  WorkId id;
  wire::CallContext context;
  std::shared_ptr<Connection> connection;
  http::request_parser<http::buffer_body> parser;
  /// Copied before the body is read, because the parser adds trailer fields to
  /// its own head.
  RequestHead head;
  std::unique_ptr<ParsedBody<true>> body;
  asio::steady_timer wake;  ///< Cancelled to resume the waiting coroutine.
  std::optional<StartWork> start;
  std::optional<RejectWork> reject;
  bool cancelled = false;
  std::shared_ptr<HttpClientConnection> target;
  ResponseHead answer;
  std::string answer_prefix;     ///< The first bytes of the body, or all of it.
  bool answer_complete = false;  ///< `answer_prefix` is the complete body.

  bool has_body() const {
    return parser.chunked() || parser.content_length().value_or(0) > 0;
  }
  bool is_head() const { return head.method() == http::verb::head; }
  bool awaits_continue() const {
    return beast::iequals(head[http::field::expect], "100-continue");
  }
};

HttpPeerServer::HttpPeerServer(asio::io_context& context,
                               NodeServices& node,
                               std::string target_address)
    : context_(context),
      node_(node),
      target_address_(std::move(target_address)),
      pool_(context.get_executor(), kTargetIdleTimeout) {}

HttpPeerServer::~HttpPeerServer() = default;

asio::ip::tcp::endpoint HttpPeerServer::Listen(const std::string& address) {
  acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(
      context_, ParseEndpoint(address), true);
  asio::co_spawn(context_, Accept(*acceptor_), asio::detached);
  return acceptor_->local_endpoint();
}

asio::awaitable<void> HttpPeerServer::Accept(
    asio::ip::tcp::acceptor& acceptor) {
  while (acceptor.is_open()) {
    error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // Accepting fails while the process has no free file descriptor; the
      // pause avoids a busy loop.
      asio::steady_timer pause(context_, 10ms);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(context_, Serve(connection), asio::detached);
  }
}

asio::awaitable<void> HttpPeerServer::Serve(
    std::shared_ptr<Connection> connection) {
  bool failed = false;
  try {
    while (co_await ServeRequest(connection)) {
    }
  } catch (const system_error&) {
    // The connection to the entry node failed; the entry node detects by itself
    // that its attempt failed.
    failed = true;
  }
  if (failed)
    connection->stream.close();
  else
    co_await LingeringClose(connection->stream);
}

asio::awaitable<bool> HttpPeerServer::ServeRequest(
    std::shared_ptr<Connection> connection) {
  auto work = std::make_shared<PendingWork>(context_);
  work->id = WorkId{node_.NextId()};
  work->connection = connection;
  work->parser.header_limit(kMaxHeaderBytes);
  work->parser.body_limit(boost::none);
  auto& stream = connection->stream;
  stream.expires_after(kEntryNodeIdleTimeout);
  if (error_code error =
          co_await ReadHead(stream, connection->buffer, work->parser))
    throw system_error(error);
  stream.expires_never();
  work->head = work->parser.get().base();
  auto context = ReadContext(work->head, node_);
  if (!context || !FramingError(work->head).empty())
    co_return false;
  work->context = *context;
  work->body = std::make_unique<ParsedBody<true>>(stream, connection->buffer,
                                                  work->parser);
  work->body->set_piece_timeout(kPieceTimeout);
  works_[work->id] = work;
  work->wake.expires_at(asio::steady_timer::time_point::max());
  node_.Feed(WorkArrived{work->id, work->context});
  asio::co_spawn(context_, WatchEntryNode(work), asio::detached);
  while (!work->start && !work->reject && !work->cancelled) {
    error_code ignored;
    co_await work->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  bool keep_open = false;
  error_code failure;
  try {
    if (work->reject)
      keep_open = co_await WriteRejection(work);
    else if (work->start)
      keep_open = co_await RunOnTarget(work);
  } catch (const system_error& error) {
    failure = error.code();
  }
  works_.erase(work->id);
  if (failure)
    throw system_error(failure);
  co_return keep_open;
}

asio::awaitable<bool> HttpPeerServer::WriteRejection(WorkPointer work) {
  // A small body is read, so that the connection can be reused.
  bool request_read = !work->has_body();
  if (!request_read && !work->awaits_continue()) {
    work->body->set_piece_timeout(kRejectedBodyTimeout);
    co_await ReadUpTo(*work->body, kMaxBufferedBodyBytes, request_read);
  }
  SimpleAnswer answer = ProblemAnswer(work->reject->refusal,
                                      work->context.request_id(), request_read);
  SetReport(answer.head, work->reject->report);
  co_await WriteSimpleAnswer(work->connection->stream, std::move(answer),
                             work->is_head(), kPieceTimeout);
  co_return request_read;
}

asio::awaitable<bool> HttpPeerServer::RunOnTarget(WorkPointer work) {
  WorkResult result = WorkResult::kNotConnected;
  try {
    co_await ExchangeWithTarget(work, result);
  } catch (const BodyReadError&) {
    // The body from the entry node ended early. The connection to the target
    // was closed before the end of the body, so the target sees it as
    // incomplete.
    result = WorkResult::kCancelled;
  } catch (const system_error& error) {
    if (work->cancelled)
      result = WorkResult::kCancelled;
    else if (error.code() == beast::error::timeout &&
             result != WorkResult::kNotConnected)
      result = WorkResult::kTimedOut;
  }
  if (result == WorkResult::kCompleted || result == WorkResult::kTargetShed)
    co_return co_await ForwardAnswer(work);
  if (work->target)
    work->target->Close();
  bool refuses_connections = false;
  if (result == WorkResult::kBroken) {
    refuses_connections = co_await TargetRefusesConnections();
    if (!refuses_connections)
      result = WorkResult::kBadAnswer;
  }
  bool keep_open = false;
  error_code failure;
  try {
    keep_open = co_await WriteFailure(work, result, refuses_connections);
  } catch (const system_error& error) {
    failure = error.code();
  }
  node_.Feed(WorkEnded{work->id, result, refuses_connections});
  co_return keep_open && !failure;
}

asio::awaitable<void> HttpPeerServer::ExchangeWithTarget(WorkPointer work,
                                                         WorkResult& result) {
  IoTimePoint deadline = node_.ToIoTimePoint(work->start->deadline);
  auto connect_deadline =
      std::min(deadline, std::chrono::steady_clock::now() + kConnectTimeout);
  bool streamed = work->awaits_continue();
  bool new_connection = work->context.once_only() || streamed;
  auto target =
      co_await pool_.Acquire(target_address_, connect_deadline, new_connection);
  if (work->cancelled) {
    target->Close();
    result = WorkResult::kCancelled;
    co_return;
  }
  work->target = target;
  if (streamed) {
    auto& stream = work->connection->stream;
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    stream.expires_after(kPieceTimeout);
    co_await http::async_write(stream, proceed, asio::use_awaitable);
  }
  ClientRequest request{TargetRequest(*work)};
  request.body = work->has_body() ? work->body.get() : nullptr;
  request.deadline = deadline;
  result = WorkResult::kBroken;
  work->answer = co_await target->RoundTrip(std::move(request));
  auto [echo, echo_end] = work->answer.equal_range("X-Request-Id");
  bool mismatched = std::any_of(echo, echo_end, [&](const auto& field) {
    return field.value() != work->start->request_id;
  });
  unsigned status = work->answer.result_int();
  // A success status before the end of the upload would acknowledge an
  // incomplete upload.
  bool premature = !target->request_written() && status < 300;
  if (mismatched || premature) {
    result = WorkResult::kBadAnswer;
    co_return;
  }
  work->answer_prefix = co_await ReadUpTo(target->body(), kMaxBufferedBodyBytes,
                                          work->answer_complete);
  result = status == 503 || status == 429 ? WorkResult::kTargetShed
                                          : WorkResult::kCompleted;
}

asio::awaitable<bool> HttpPeerServer::ForwardAnswer(WorkPointer work) {
  ResponseHead head = work->answer;
  std::optional<uint64_t> length = work->target->content_length();
  if (work->answer_complete)
    length = work->answer_prefix.size();
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set("X-Request-Id", work->context.request_id());
  wire::AnswerReport report = node_.ReportFor(work->id);
  report.set_started(true);
  SetReport(head, report);
  unsigned status = head.result_int();
  bool bodiless = work->is_head() || status == 204 || status == 304;
  if (!bodiless)
    SetFraming(head, length);
  bool keep_open = work->parser.is_done();
  if (!keep_open)
    head.set(http::field::connection, "close");
  WorkResult result = status == 503 || status == 429 ? WorkResult::kTargetShed
                                                     : WorkResult::kCompleted;
  if (work->answer_complete) {
    pool_.Release(work->target);
    node_.Feed(WorkEnded{work->id, result});
  }
  PrefixedBody body(work->answer_prefix,
                    work->answer_complete ? nullptr : &work->target->body());
  error_code failure;
  try {
    co_await WriteMessage<false>(work->connection->stream, std::move(head),
                                 bodiless ? nullptr : &body, kPieceTimeout);
  } catch (const BodyReadError& read_error) {
    failure = read_error.code();
    result = failure == beast::error::timeout ? WorkResult::kTimedOut
                                              : WorkResult::kBadAnswer;
  } catch (const system_error& error) {
    failure = error.code();
    result = WorkResult::kCancelled;
  }
  if (failure && work->cancelled)
    result = WorkResult::kCancelled;
  if (!work->answer_complete) {
    if (failure)
      work->target->Close();
    else
      pool_.Release(work->target);
    node_.Feed(WorkEnded{work->id, result});
  }
  // The exception closes the connection before the answer's end marker is
  // written, so the entry node sees an incomplete answer.
  if (failure)
    throw system_error(failure);
  co_return keep_open;
}

asio::awaitable<bool> HttpPeerServer::WriteFailure(
    WorkPointer work,
    WorkResult result,
    bool target_refuses_connections) {
  bool not_run = result == WorkResult::kNotConnected;
  Refusal refusal{ReasonOf(result),
                  not_run ? Outcome::kNotRun : Outcome::kUnknown};
  bool request_read = work->parser.is_done();
  SimpleAnswer answer =
      ProblemAnswer(refusal, work->context.request_id(), request_read);
  wire::AnswerReport report = node_.ReportFor(work->id);
  report.set_started(!not_run);
  report.set_crash_suspected(target_refuses_connections);
  report.set_refusal_reason(std::string(InfoOf(refusal.reason).name));
  SetReport(answer.head, report);
  co_await WriteSimpleAnswer(work->connection->stream, std::move(answer),
                             work->is_head(), kPieceTimeout);
  co_return request_read;
}

asio::awaitable<bool> HttpPeerServer::TargetRefusesConnections() {
  HttpClientConnection probe(context_.get_executor(), target_address_);
  bool refused = false;
  try {
    co_await probe.Connect(std::chrono::steady_clock::now() + kProbeTimeout);
  } catch (const system_error& error) {
    refused = error.code() == asio::error::connection_refused;
  }
  probe.Close();
  co_return refused;
}

asio::awaitable<void> HttpPeerServer::WatchEntryNode(WorkPointer work) {
  std::function<bool()> active = [this, work] {
    return works_.contains(work->id);
  };
  bool closed = co_await WaitForClose(work->connection->stream, active);
  if (closed) {
    work->cancelled = true;
    node_.Feed(WorkCancelled{work->id});
    work->wake.cancel();
  }
}

RequestHead HttpPeerServer::TargetRequest(const PendingWork& work) const {
  RequestHead head = work.head;
  std::optional<uint64_t> length;
  if (work.parser.content_length())
    length = *work.parser.content_length();
  bool framed =
      head.count(http::field::content_length) > 0 || work.parser.chunked();
  RemoveHopByHopFields(head);
  RemovePrivateFields(head);
  head.version(11);
  head.set(http::field::host, target_address_);
  head.set("X-Request-Id", work.start->request_id);
  head.set("X-Deadline-Ms",
           std::to_string(TimeLeft(node_, work.start->deadline).count()));
  if (framed)
    SetFraming(head, length);
  return head;
}

HttpPeerServer::WorkPointer HttpPeerServer::Find(WorkId work) {
  auto found = works_.find(work);
  return found == works_.end() ? nullptr : found->second;
}

void HttpPeerServer::Apply(const StartWork& effect) {
  if (auto work = Find(effect.work)) {
    work->start = effect;
    work->wake.cancel();
  }
}

void HttpPeerServer::Apply(const RejectWork& effect) {
  if (auto work = Find(effect.work)) {
    work->reject = effect;
    work->wake.cancel();
  }
}

void HttpPeerServer::Apply(const AbortWork& effect) {
  if (auto work = Find(effect.work)) {
    work->cancelled = true;
    if (work->target)
      work->target->Close();
    work->wake.cancel();
  }
}

}  // namespace comfreylock
