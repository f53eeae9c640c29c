#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <stdexcept>

#include "http_io.h"
#include "mesh/frame_check.h"
#include "mesh/http_client.h"
#include "mesh/http_server.h"
#include "mesh/link_hub.h"
#include "mesh/peer_input.h"
#include "mesh/socket_options.h"

/// Bytes from outside that cannot be accepted, over real sockets. Each must end
/// in an error for its sender; an exception that leaves the event loop fails
/// the test, as it would end the process.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using std::chrono::milliseconds;

std::string Address(int offset) {
  return "127.0.0.1:" + std::to_string(27'000 + getpid() % 300 * 3 + offset);
}

LinkHub::Admission AdmissionOf(MemoryBudget& budget) {
  return [&budget](size_t bytes, MemoryBudget::Use use) {
    return budget.Admits(bytes, use);
  };
}

/// Bytes that make a parser throw instead of reporting an error code.
std::vector<std::string> LargeTrailers() {
  return {std::string(70'000, 'x') + ": x\r\n\r\n",
          "X: " + std::string(70'000, 'x') + "\r\n\r\n",
          "X: y\r\n" + std::string(100'000, 'x') + ": x\r\n\r\n"};
}

/// Answers each request of each connection with the same bytes.
class FixedServer {
 public:
  FixedServer(asio::io_context& context, std::string answer)
      : context_(context),
        acceptor_(ListenOn(context, "127.0.0.1:0")),
        answer_(std::move(answer)) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void SetAnswer(std::string answer) { answer_ = std::move(answer); }

 private:
  void Accept() {
    auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
    acceptor_.async_accept(*socket, [this, socket](error_code error) {
      if (error)
        return;
      Serve(socket);
      Accept();
    });
  }
  void Serve(std::shared_ptr<asio::ip::tcp::socket> socket) {
    auto request = std::make_shared<std::string>();
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*request), "\r\n\r\n",
        [this, socket, request](error_code error, size_t /*bytes*/) {
          if (error)
            return;
          auto answer = std::make_shared<std::string>(answer_);
          asio::async_write(*socket, asio::buffer(*answer),
                            [this, socket, answer](error_code failed, size_t) {
                              if (!failed)
                                Serve(socket);
                            });
        });
  }

  asio::io_context& context_;
  asio::ip::tcp::acceptor acceptor_;
  std::string answer_;
};

HttpRequest GetRequest() {
  HttpRequest request;
  request.method = "GET";
  request.request_target = "/";
  request.fields.emplace_back("Host", "h");
  return request;
}

ExchangeResult Exchange(asio::io_context& context, HttpClient& client) {
  std::optional<ExchangeResult> result;
  client.Send(GetRequest(), {},
              [&](ExchangeResult ended) { result = std::move(ended); });
  for (int i = 0; i < 300 && !result; ++i) {
    context.restart();
    context.run_for(10ms);
  }
  return result.value_or(
      ExchangeResult{.kind = ExchangeResult::Kind::kTimedOut});
}

// Guards against a target whose wrong bytes behind the last chunk of an answer
// end the node, and with it the requests of all callers.
TEST(PeerInputTest, LargeTrailerOfAnswerBreaksExchange) {
  for (const std::string& trailer : LargeTrailers()) {
    asio::io_context context;
    FixedServer server(context,
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "2\r\nok\r\n0\r\n" +
                           trailer);
    HttpClient client(context, server.address(), {});
    EXPECT_EQ(Exchange(context, client).kind, ExchangeResult::Kind::kBroken);
    EXPECT_EQ(client.connections(), 0u);
    EXPECT_EQ(client.buffered_bytes(), 0u);
    server.SetAnswer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(Exchange(context, client).kind, ExchangeResult::Kind::kAnswered);
  }
}

// The same for an answer whose decoder throws after the exchange has ended.
TEST(PeerInputTest, ErrorOfAnswerHandlerEndsConnection) {
  asio::io_context context;
  FixedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  HttpClient client(context, server.address(), {});
  int answers = 0;
  client.Send(GetRequest(), {}, [&](ExchangeResult) {
    ++answers;
    throw std::length_error("answer");
  });
  context.run_for(100ms);
  EXPECT_EQ(answers, 1);
  EXPECT_EQ(client.connections(), 0u);
}

/// @return what the server at `address` answers until it closes.
std::string SendRaw(asio::io_context& context,
                    const std::string& address,
                    const std::string& bytes) {
  asio::ip::tcp::socket socket(context);
  socket.connect(ParseEndpoint(address));
  asio::async_write(socket, asio::buffer(bytes), [](error_code, size_t) {});
  std::string answer;
  bool closed = false;
  asio::async_read(socket, asio::dynamic_buffer(answer),
                   [&](error_code, size_t) { closed = true; });
  for (int i = 0; i < 300 && !closed; ++i) {
    context.restart();
    context.run_for(10ms);
  }
  EXPECT_TRUE(closed);
  return answer;
}

// Guards against a caller that ends the node with the trailer of a request, or
// with a request that a handler cannot decode.
TEST(PeerInputTest, UnacceptableRequestEndsItsConnectionOnly) {
  asio::io_context context;
  int delivered = 0;
  int cancelled = 0;
  HttpServer* self = nullptr;
  HttpServer server(
      context, {[&](CallId call, HttpRequest request) {
                  ++delivered;
                  if (request.request_target == "/throw")
                    throw std::length_error("request");
                  self->Respond(call, {});
                },
                [&](CallId) { ++cancelled; }, [] { return CallerLimits(); }});
  self = &server;
  server.Listen(Address(0));
  for (const std::string& trailer : LargeTrailers()) {
    std::string answer =
        SendRaw(context, Address(0),
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                "chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                    trailer);
    EXPECT_EQ(answer.substr(0, 10), "HTTP/1.1 4");
  }
  EXPECT_EQ(delivered, 0);
  EXPECT_EQ(
      SendRaw(context, Address(0), "GET /throw HTTP/1.1\r\nHost: h\r\n\r\n"),
      "");
  EXPECT_EQ(cancelled, 1);
  EXPECT_EQ(SendRaw(context, Address(0),
                    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .substr(0, 12),
            "HTTP/1.1 200");
}

// An answer counts as unfinished until its last byte was written, or its reader
// has gone. Guards against a node that exits between the two.
TEST(HttpServerTest, UnfinishedWritesLastUntilSlowReaderHasRead) {
  asio::io_context context;
  HttpServer* self = nullptr;
  HttpServer server(context, {[&](CallId call, HttpRequest) {
                                HttpAnswer answer;
                                answer.body =
                                    std::string(16 * 1024 * 1024, 'a');
                                self->Respond(call, std::move(answer));
                              },
                              [](CallId) {}, [] { return CallerLimits(); }});
  self = &server;
  server.Listen(Address(0));
  for (bool reads : {true, false}) {
    asio::ip::tcp::socket socket(context);
    socket.connect(ParseEndpoint(Address(0)));
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    context.restart();
    context.run_for(200ms);
    EXPECT_EQ(server.unfinished_writes(), 1u);
    std::string answer;
    bool read = !reads;
    if (reads) {
      asio::async_read(socket, asio::dynamic_buffer(answer),
                       asio::transfer_exactly(16 * 1024 * 1024),
                       [&](error_code, size_t) { read = true; });
    } else {
      socket.close();
    }
    // The read refers to `answer`, so it must have ended before the next round.
    for (int i = 0; i < 300 && (server.unfinished_writes() > 0 || !read); ++i) {
      context.restart();
      context.run_for(10ms);
    }
    ASSERT_TRUE(read);
    EXPECT_EQ(server.unfinished_writes(), 0u) << reads;
  }
}

/// @return the bytes of a frame with its length prefix.
std::string FrameBytes(const std::string& content) {
  std::string bytes;
  for (int shift : {24, 16, 8, 0})
    bytes += static_cast<char>(content.size() >> shift & 0xff);
  return bytes + content;
}

std::string FrameBytes(const wire::Frame& frame) {
  return FrameBytes(frame.SerializeAsString());
}

wire::Frame HelloFrame() {
  wire::Frame frame;
  frame.mutable_hello()->set_node("other");
  return frame;
}

/// Frames that no node sends.
std::vector<std::string> UnacceptableFrames() {
  constexpr float kNotANumber = std::numeric_limits<float>::quiet_NaN();
  std::vector<std::string> all = {FrameBytes(std::string("\xff\xff\xff")),
                                  FrameBytes(std::string(5000, '\x0a')),
                                  std::string(64, '\xff')};
  wire::Frame demand;
  demand.mutable_demand()->add_rows()->set_per_second(kNotANumber);
  wire::Frame share;
  share.mutable_shares()->add_rows()->set_burst(-1);
  wire::Frame load;
  load.mutable_load()->set_sent_us(std::numeric_limits<uint64_t>::max());
  wire::Frame outcome;
  outcome.mutable_outcome()->set_status(0);
  for (const wire::Frame& frame : {demand, share, load, outcome})
    all.push_back(FrameBytes(frame));
  return all;
}

// Guards against another node, or another program that connects to the port,
// whose frames end this node or reach its decisions.
TEST(PeerInputTest, UnacceptableFrameClosesItsLinkOnly) {
  asio::io_context context;
  int opened = 0;
  int closed = 0;
  int frames = 0;
  MemoryBudget budget;
  auto sink = [&](EventBody event) {
    opened += std::holds_alternative<LinkOpened>(event) ? 1 : 0;
    closed += std::holds_alternative<LinkClosed>(event) ? 1 : 0;
    frames += std::holds_alternative<FrameReceived>(event) ? 1 : 0;
  };
  LinkHub hub(context, wire::Hello(), sink, {budget, AdmissionOf(budget)});
  hub.Listen(Address(1));
  std::vector<std::string> all = UnacceptableFrames();
  for (const std::string& frame : all)
    SendRaw(context, Address(1), FrameBytes(HelloFrame()) + frame);
  EXPECT_EQ(opened, static_cast<int>(all.size()));
  EXPECT_EQ(closed, static_cast<int>(all.size()));
  EXPECT_EQ(frames, 0);
}

// Guards against a header that is not UTF-8 and closes the link between two
// nodes, with all requests in progress on it.
TEST(PeerInputTest, BytesOfCallersAndTargetsPassLinksUnchanged) {
  std::string bytes = "caf\xe9 \xff";
  wire::Frame request;
  request.mutable_forward()->set_request_id(bytes);
  request.mutable_forward()->set_method(bytes);
  request.mutable_forward()->set_path("/" + bytes);
  wire::Field* field = request.mutable_forward()->add_fields();
  field->set_name(bytes);
  field->set_value(bytes);
  wire::Frame answer;
  answer.mutable_outcome()->set_status(200);
  answer.mutable_outcome()->set_status_text(bytes);
  *answer.mutable_outcome()->add_fields() = *field;
  for (const wire::Frame& frame : {request, answer}) {
    wire::Frame received;
    EXPECT_TRUE(received.ParseFromString(frame.SerializeAsString()));
    EXPECT_EQ(received.SerializeAsString(), frame.SerializeAsString());
  }
}

// Guards against an exception of the handler of a frame.
TEST(PeerInputTest, ErrorOfFrameHandlerClosesItsLinkOnly) {
  asio::io_context context;
  int closed = 0;
  MemoryBudget budget;
  auto sink = [&](EventBody event) {
    if (std::holds_alternative<FrameReceived>(event))
      throw std::out_of_range("frame");
    closed += std::holds_alternative<LinkClosed>(event) ? 1 : 0;
  };
  LinkHub hub(context, wire::Hello(), sink, {budget, AdmissionOf(budget)});
  hub.Listen(Address(2));
  wire::Frame load;
  load.mutable_load()->set_slots(1);
  SendRaw(context, Address(2), FrameBytes(HelloFrame()) + FrameBytes(load));
  EXPECT_EQ(closed, 1);
}

// Guards against connections that take the descriptors of a node, and against
// the loss of a link to another node for one of them.
TEST(PeerInputTest, LinkWithoutHelloIsClosedForNewOne) {
  asio::io_context context;
  MemoryBudget budget;
  int opened = 0;
  int closed = 0;
  auto sink = [&](EventBody event) {
    opened += std::holds_alternative<LinkOpened>(event) ? 1 : 0;
    closed += std::holds_alternative<LinkClosed>(event) ? 1 : 0;
  };
  LinkHub hub(context, wire::Hello(), sink, {budget, AdmissionOf(budget), 2});
  hub.Listen(Address(3));
  auto connect = [&](const std::string& bytes) {
    asio::ip::tcp::socket client(context);
    client.connect(ParseEndpoint(Address(3)));
    asio::write(client, asio::buffer(bytes));
    context.run_for(50ms);
    return client;
  };
  auto is_closed = [](asio::ip::tcp::socket& client) {
    char bytes[4096];
    ssize_t got = 0;
    do {
      got = recv(client.native_handle(), bytes, sizeof(bytes), MSG_DONTWAIT);
    } while (got > 0);
    return got == 0 || errno != EAGAIN;
  };
  std::string hello = FrameBytes(HelloFrame());
  auto peer = connect(hello);
  auto silent = connect("");
  auto second_peer = connect(hello);
  auto late = connect(hello);
  EXPECT_EQ(opened, 2);
  EXPECT_EQ(closed, 0);
  EXPECT_FALSE(is_closed(peer));
  EXPECT_TRUE(is_closed(silent));
  EXPECT_FALSE(is_closed(second_peer));
  EXPECT_TRUE(is_closed(late));
}

// Guards against an address that ends the node when it opens a link to it.
TEST(PeerInputTest, LinkToUnusableAddressIsReportedAsClosed) {
  for (const char* address :
       {"", "x", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
        "host:1", ":1", "127.0.0.1:99999999999999999999", "127.0.0.1:0",
        "0.0.0.0:0"}) {
    asio::io_context context;
    std::vector<uint64_t> closed;
    MemoryBudget budget;
    auto sink = [&](EventBody event) {
      if (const auto* link = std::get_if<LinkClosed>(&event))
        closed.push_back(link->link.value);
    };
    LinkHub hub(context, wire::Hello(), sink, {budget, AdmissionOf(budget)});
    hub.Apply(OpenLink{LinkId{7}, address});
    EXPECT_TRUE(closed.empty()) << address;
    context.run_for(1500ms);
    EXPECT_EQ(closed, std::vector<uint64_t>{7}) << address;
  }
}

TEST(InterpretInputTest, ReturnsErrorOfAnyException) {
  EXPECT_EQ(InterpretInput([] {}), std::nullopt);
  EXPECT_EQ(InterpretInput([] { throw std::length_error("too large"); }),
            "too large");
  EXPECT_EQ(InterpretInput([] { throw InputError("no number"); }), "no number");
}

}  // namespace
}  // namespace comfreylock::mesh
