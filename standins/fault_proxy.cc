#include "fault_proxy.h"

#include <algorithm>
#include <array>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

namespace comfreylock::standins {
namespace {

constexpr size_t kReadBufferBytes = 16 * 1024;
/// Bytes buffered for each direction of a connection before reading pauses.
constexpr size_t kMaxBufferedBytes = 1024 * 1024;
/// Writes per second into which a rate-limited transfer is divided.
constexpr uint64_t kWritesPerSecond = 20;
/// Upper bound of delay and jitter, one hour.
constexpr uint64_t kMaxDelayMs = 3'600'000;

uint64_t ParseNumber(const std::string& name,
                     const nlohmann::json& value,
                     uint64_t max = UINT64_MAX) {
  if (!value.is_number_unsigned() || value.get<uint64_t>() > max) {
    throw std::invalid_argument(name + ": not a whole number from 0 to " +
                                std::to_string(max));
  }
  return value.get<uint64_t>();
}

bool ParseFlag(const std::string& name, const nlohmann::json& value) {
  if (!value.is_boolean())
    throw std::invalid_argument(name + ": not true or false");
  return value.get<bool>();
}

std::string ParseLossDirection(const std::string& name,
                               const nlohmann::json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : "invalid";
  if (!text.empty() && text != "to_client" && text != "to_upstream") {
    throw std::invalid_argument(name +
                                ": not \"to_client\", \"to_upstream\" or \"\"");
  }
  return text;
}

void ParseField(const std::string& name,
                const nlohmann::json& value,
                Faults& faults) {
  if (name == "delay_ms") {
    faults.delay =
        std::chrono::milliseconds(ParseNumber(name, value, kMaxDelayMs));
  } else if (name == "jitter_ms") {
    faults.jitter =
        std::chrono::milliseconds(ParseNumber(name, value, kMaxDelayMs));
  } else if (name == "seed") {
    faults.seed = ParseNumber(name, value);
  } else if (name == "bytes_per_s") {
    faults.bytes_per_s = ParseNumber(name, value);
  } else if (name == "cut_after_bytes") {
    faults.cut_after_bytes = ParseNumber(name, value);
  } else if (name == "withhold_answers") {
    faults.withhold_answers = ParseFlag(name, value);
  } else if (name == "one_way_loss") {
    faults.one_way_loss = ParseLossDirection(name, value);
  } else if (name == "refuse") {
    faults.refuse = ParseFlag(name, value);
  } else {
    throw std::invalid_argument(name + ": unknown field");
  }
}

}  // namespace

Faults ParseFaults(const std::string& text) {
  auto object = nlohmann::json::parse(text, nullptr, false);
  if (!object.is_object())
    throw std::invalid_argument("body: not a JSON object");
  Faults faults;
  for (const auto& [name, value] : object.items())
    ParseField(name, value, faults);
  return faults;
}

/// One direction of a connection.
struct FaultProxy::Stream {
  struct Chunk {
    std::string data;  ///< Empty: the sender closed this direction.
    Clock::time_point due;
  };

  Stream(asio::io_context& context,
         asio::ip::tcp::socket& source,
         asio::ip::tcp::socket& sink,
         bool to_client)
      : source(source),
        sink(sink),
        to_client(to_client),
        read_wakeup(context),
        write_wakeup(context) {}

  asio::ip::tcp::socket& source;
  asio::ip::tcp::socket& sink;
  bool to_client;
  /// Cancelled when buffered bytes are written.
  asio::steady_timer read_wakeup;
  /// Cancelled on new chunks and on new faults.
  asio::steady_timer write_wakeup;
  std::deque<Chunk> chunks;
  size_t buffered_bytes = 0;
  bool has_lost_bytes = false;  ///< Some bytes were discarded.
};

struct FaultProxy::Connection {
  Connection(asio::io_context& context, asio::ip::tcp::socket socket)
      : client(std::move(socket)),
        upstream(context),
        to_upstream(context, client, upstream, false),
        to_client(context, upstream, client, true) {}

  asio::ip::tcp::socket client;
  asio::ip::tcp::socket upstream;
  Stream to_upstream;
  Stream to_client;
  /// Bytes sent to the client that count towards `cut_after_bytes`.
  uint64_t bytes_towards_cut = 0;
  int ended_streams = 0;  ///< Directions whose end was relayed.
  bool closed = false;
};

namespace {

asio::awaitable<void> WaitFor(asio::steady_timer& timer,
                              std::chrono::steady_clock::time_point end) {
  boost::system::error_code ignored;
  timer.expires_at(end);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

FaultProxy::FaultProxy(asio::io_context& context,
                       asio::ip::tcp::endpoint upstream)
    : context_(context), upstream_(std::move(upstream)) {}

asio::awaitable<void> FaultProxy::Listen(std::string address) {
  asio::ip::tcp::acceptor acceptor(context_, ParseEndpoint(address), true);
  while (true) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error)
      continue;
    if (faults_.refuse) {
      ++counters_.refused;
      socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
      continue;
    }
    ++counters_.connections;
    auto connection = std::make_shared<Connection>(context_, std::move(socket));
    connections_.insert(connection);
    asio::co_spawn(context_, Relay(connection), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Relay(ConnectionPtr connection) {
  boost::system::error_code error;
  co_await connection->upstream.async_connect(
      upstream_, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    ++counters_.connect_failures;
    Close(*connection, true);
    co_return;
  }
  connection->client.set_option(asio::ip::tcp::no_delay(true), error);
  connection->upstream.set_option(asio::ip::tcp::no_delay(true), error);
  for (Stream* stream : {&connection->to_upstream, &connection->to_client}) {
    asio::co_spawn(context_, Read(connection, *stream), asio::detached);
    asio::co_spawn(context_, Write(connection, *stream), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Read(ConnectionPtr connection,
                                       Stream& stream) {
  std::array<char, kReadBufferBytes> buffer;
  Clock::time_point last_due = Clock::time_point::min();
  while (!connection->closed) {
    boost::system::error_code error;
    size_t size = co_await stream.source.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (connection->closed)
      co_return;
    if (error && error != asio::error::eof) {
      Close(*connection, true);
      co_return;
    }
    // Jitter must not reorder the bytes of a stream.
    last_due = std::max(last_due, Clock::now() + NextDelay());
    stream.chunks.push_back({std::string(buffer.data(), size), last_due});
    stream.buffered_bytes += size;
    stream.write_wakeup.cancel();
    if (error)
      co_return;
    while (stream.buffered_bytes >= kMaxBufferedBytes && !connection->closed)
      co_await WaitFor(stream.read_wakeup, Clock::time_point::max());
  }
}

asio::awaitable<void> FaultProxy::Write(ConnectionPtr connection,
                                        Stream& stream) {
  while (!connection->closed) {
    if (stream.chunks.empty() || ShouldWithhold(stream)) {
      co_await WaitFor(stream.write_wakeup, Clock::time_point::max());
      continue;
    }
    if (Clock::now() < stream.chunks.front().due) {
      co_await WaitFor(stream.write_wakeup, stream.chunks.front().due);
      continue;
    }
    std::string data = std::move(stream.chunks.front().data);
    stream.chunks.pop_front();
    if (ShouldDiscard(stream)) {
      stream.has_lost_bytes = true;
      counters_.bytes_lost += data.size();
    } else if (data.empty()) {
      boost::system::error_code ignored;
      stream.sink.shutdown(asio::socket_base::shutdown_send, ignored);
      if (++connection->ended_streams == 2)
        Close(*connection, false);
      co_return;
    } else {
      co_await WriteChunk(connection, stream, data);
    }
    stream.buffered_bytes -= data.size();
    stream.read_wakeup.cancel();
  }
}

asio::awaitable<void> FaultProxy::WriteChunk(ConnectionPtr connection,
                                             Stream& stream,
                                             std::string_view data) {
  while (!data.empty() && !connection->closed) {
    if (ShouldWithhold(stream)) {
      co_await WaitFor(stream.write_wakeup, Clock::time_point::max());
      continue;
    }
    if (ShouldDiscard(stream)) {
      stream.has_lost_bytes = true;
      counters_.bytes_lost += data.size();
      co_return;
    }
    uint64_t rate = faults_.bytes_per_s;
    uint64_t size = data.size();
    if (rate > 0)
      size = std::min(size, std::max<uint64_t>(1, rate / kWritesPerSecond));
    uint64_t cut_after = stream.to_client ? faults_.cut_after_bytes : 0;
    uint64_t& counted_bytes = connection->bytes_towards_cut;
    if (cut_after > 0)
      size = std::min(size, cut_after - std::min(cut_after, counted_bytes));
    boost::system::error_code error;
    co_await asio::async_write(
        stream.sink, asio::buffer(data.data(), size),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Close(*connection, true);
      co_return;
    }
    data.remove_prefix(size);
    (stream.to_client ? counters_.bytes_to_client
                      : counters_.bytes_to_upstream) += size;
    if (stream.to_client)
      counted_bytes += size;
    if (cut_after > 0 && counted_bytes >= cut_after) {
      ++counters_.resets;
      Close(*connection, true);
      co_return;
    }
    if (rate > 0) {
      auto end =
          Clock::now() + std::chrono::microseconds(size * 1'000'000 / rate);
      while (Clock::now() < end && faults_.bytes_per_s == rate &&
             !connection->closed) {
        co_await WaitFor(stream.write_wakeup, end);
      }
    }
  }
}

bool FaultProxy::ShouldDiscard(const Stream& stream) const {
  return faults_.one_way_loss ==
         (stream.to_client ? "to_client" : "to_upstream");
}

bool FaultProxy::ShouldWithhold(const Stream& stream) const {
  return stream.to_client && faults_.withhold_answers;
}

FaultProxy::Clock::duration FaultProxy::NextDelay() {
  auto delay = faults_.delay;
  if (faults_.jitter.count() > 0) {
    std::uniform_int_distribution<int64_t> jitter(0, faults_.jitter.count());
    delay += std::chrono::milliseconds(jitter(random_));
  }
  return delay;
}

void FaultProxy::SetFaults(Faults faults) {
  faults_ = std::move(faults);
  random_.seed(faults_.seed);
  std::vector<ConnectionPtr> connections(connections_.begin(),
                                         connections_.end());
  for (const ConnectionPtr& connection : connections) {
    connection->bytes_towards_cut = 0;
    bool has_gap = false;
    for (Stream* stream : {&connection->to_upstream, &connection->to_client}) {
      has_gap = has_gap || (stream->has_lost_bytes && !ShouldDiscard(*stream));
      stream->write_wakeup.cancel();
    }
    if (has_gap) {
      ++counters_.resets;
      Close(*connection, true);
    }
  }
}

void FaultProxy::Close(Connection& connection, bool reset) {
  if (connection.closed)
    return;
  connection.closed = true;
  boost::system::error_code ignored;
  for (auto* socket : {&connection.client, &connection.upstream}) {
    if (reset)
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  for (Stream* stream : {&connection.to_upstream, &connection.to_client}) {
    stream->read_wakeup.cancel();
    stream->write_wakeup.cancel();
  }
  std::erase_if(connections_, [&connection](const ConnectionPtr& entry) {
    return entry.get() == &connection;
  });
}

nlohmann::json FaultProxy::Status() const {
  return {{"faults",
           {{"delay_ms", faults_.delay.count()},
            {"jitter_ms", faults_.jitter.count()},
            {"seed", faults_.seed},
            {"bytes_per_s", faults_.bytes_per_s},
            {"cut_after_bytes", faults_.cut_after_bytes},
            {"withhold_answers", faults_.withhold_answers},
            {"one_way_loss", faults_.one_way_loss},
            {"refuse", faults_.refuse}}},
          {"counters",
           {{"connections", counters_.connections},
            {"open", connections_.size()},
            {"refused", counters_.refused},
            {"connect_failures", counters_.connect_failures},
            {"resets", counters_.resets},
            {"bytes_to_client", counters_.bytes_to_client},
            {"bytes_to_upstream", counters_.bytes_to_upstream},
            {"bytes_lost", counters_.bytes_lost}}}};
}

asio::awaitable<void> FaultProxy::HandleControl(Exchange& exchange) {
  auto method = exchange.request.method();
  if (exchange.request.target() != "/faults") {
    co_await Reply(exchange, 404, R"({"error": "unknown control path"})");
    co_return;
  }
  if (method != http::verb::get && method != http::verb::post) {
    co_await Reply(exchange, 405, R"({"error": "use GET or POST"})");
    co_return;
  }
  std::string problem;
  try {
    if (method == http::verb::post)
      SetFaults(ParseFaults(exchange.request.body()));
  } catch (const std::invalid_argument& error) {
    problem = error.what();
  }
  nlohmann::json answer = Status();
  if (!problem.empty()) {
    answer = nlohmann::json::object();
    answer["error"] = problem;
  }
  co_await Reply(exchange, problem.empty() ? 200 : 400, answer.dump());
}

}  // namespace comfreylock::standins
