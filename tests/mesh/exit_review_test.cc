#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "http_io.h"
#include "mesh/http_server.h"
#include "mesh/link_hub.h"
#include "mesh/socket_options.h"
#include "reducer_fixture.h"

/// Further ways in which a connection ends although something that a node is
/// responsible for has not been delivered.
namespace comfreylock::mesh {
namespace {

using namespace std::string_literals;
using boost::system::error_code;

class BusyLinkTest : public MeshReducerTest {
 protected:
  BusyLinkTest() { Configure(); }

  /// Opens links to so many nodes that this one does not poll the store; the
  /// nodes that do send their loads at the short interval on all links.
  void ConnectNodes() {
    std::vector<std::pair<std::string, uint64_t>> nodes;
    for (int i = 0; i < 24; ++i)
      nodes.emplace_back("node" + std::to_string(i), 1);
    Feed(Tick{});
    AnswerStore(nodes);
    CollectOpenLinks(Advance(100ms));
    for (const OpenLink& open : opened_links_) {
      wire::Hello hello;
      hello.set_node(NameOf(open.address));
      Feed(LinkOpened{open.link, hello, false});
    }
    KeepInTouch();
  }

  /// The target and the other nodes send what they send regularly.
  void KeepInTouch() {
    for (const OpenLink& open : opened_links_)
      SendLoad(open.link);
    Feed(TargetReported{MakeReport("i1", 1, ++reports_)});
  }

  /// Lets time pass.
  /// @return the longest time between two frames that are sent on a link.
  milliseconds LongestSilence(LinkId link, milliseconds time) {
    auto end = now_ + time;
    auto last = now_;
    auto longest = milliseconds(0);
    while (now_ < end) {
      for (const SendFrame& sent : All<SendFrame>(Advance(100ms))) {
        if (sent.link != link)
          continue;
        longest = std::max(
            longest, std::chrono::duration_cast<milliseconds>(now_ - last));
        last = now_;
      }
      KeepInTouch();
    }
    return longest;
  }

  uint64_t reports_ = 0;
};

// The other node closes a link with requests in progress after 1.3 s of
// silence, which ends the requests at the target. Guards against loads that
// become rare while a long request runs, because the link counts as busy here
// only for 3 s after its last request or result: then a delay of 0.2 s is
// enough to lose the answer.
TEST_F(BusyLinkTest, LoadsStayFrequentWhileARequestOfTheLinkRuns) {
  ConnectNodes();
  ASSERT_FALSE(node_->StatusAt(now_).polls_config);
  LinkId link{77};
  wire::Hello hello;
  hello.set_node("node1");
  Feed(LinkOpened{link, hello, true});
  auto run = All<RunOnTarget>(
      Feed(FrameReceived{link, ForwardFrame(1, now_, 9000ms)}));
  ASSERT_EQ(run.size(), 1u);
  EXPECT_LE(LongestSilence(link, 2500ms), 300ms);
  EXPECT_LE(LongestSilence(link, 4000ms), 300ms);
}

/// A hub whose link leads to a socket of the test.
class LinkExitTest : public testing::Test {
 protected:
  LinkExitTest()
      : acceptor_(ListenOn(context_, "127.0.0.1:0")), peer_(context_) {
    wire::Hello hello;
    hello.set_node("here");
    hello.set_body_parts(true);
    hub_ = std::make_unique<LinkHub>(
        context_, hello, [](const EventBody&) {},
        LinkHub::Bounds{budget_,
                        [](size_t, MemoryBudget::Use) { return true; }});
    hub_->Apply(OpenLink{
        LinkId{1},
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())});
    acceptor_.accept(peer_);
    wire::Frame frame;
    frame.mutable_hello()->set_node("other");
    Write(frame);
    Run();
  }

  void Run() {
    context_.restart();
    context_.run_for(200ms);
  }

  void Write(const wire::Frame& frame) {
    std::string content = frame.SerializeAsString();
    std::string bytes;
    for (int shift : {24, 16, 8, 0})
      bytes += static_cast<char>(content.size() >> shift & 0xff);
    asio::write(peer_, asio::buffer(bytes + content));
  }

  static wire::Frame RequestFrame(uint64_t stream) {
    wire::Frame frame;
    frame.mutable_forward()->set_stream(stream);
    frame.mutable_forward()->set_method("POST");
    frame.mutable_forward()->set_path("/order/1");
    return frame;
  }

  /// @return the frames up to the end of the link.
  std::vector<wire::Frame> ReadFrames() {
    std::string bytes;
    error_code error;
    asio::read(peer_, asio::dynamic_buffer(bytes), error);
    std::vector<wire::Frame> frames;
    for (size_t at = 0; bytes.size() - at >= 4;) {
      size_t size = 0;
      for (size_t i = 0; i < 4; ++i)
        size = size << 8 | static_cast<uint8_t>(bytes[at + i]);
      frames.emplace_back().ParseFromArray(bytes.data() + at + 4,
                                           static_cast<int>(size));
      at += 4 + size;
    }
    return frames;
  }

  asio::io_context context_;
  MemoryBudget budget_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket peer_;
  std::unique_ptr<LinkHub> hub_;
};

// Guards against a request that certainly has not run and is answered 502 as
// unknown: a part of its body has arrived when this node closes the link.
TEST_F(LinkExitTest, RequestWithIncompleteBodyIsRejectedAsNotRun) {
  wire::Frame head = RequestFrame(7);
  head.mutable_forward()->set_body_size(200'000);
  Write(head);
  wire::Frame part;
  part.mutable_body_part()->set_stream(7);
  part.mutable_body_part()->set_data(std::string(64 * 1024, 'b'));
  Write(part);
  Run();
  hub_->CloseWhenDelivered();
  Run();
  int rejected = 0;
  for (const wire::Frame& frame : ReadFrames()) {
    if (frame.has_outcome() && frame.outcome().stream() == 7 &&
        frame.outcome().kind() == wire::Outcome::NOT_RUN)
      ++rejected;
  }
  EXPECT_EQ(rejected, 1);
}

// The same for a request that has arrived completely, and is read only after
// the node has begun to exit.
TEST_F(LinkExitTest, RequestThatCrossesTheCloseIsRejectedAsNotRun) {
  Write(RequestFrame(8));
  hub_->CloseWhenDelivered();
  Run();
  int rejected = 0;
  for (const wire::Frame& frame : ReadFrames()) {
    if (frame.has_outcome() && frame.outcome().stream() == 8 &&
        frame.outcome().kind() == wire::Outcome::NOT_RUN)
      ++rejected;
  }
  EXPECT_EQ(rejected, 1);
}

/// A server that admits `max_connections`, and a client that reads slowly.
class CallerExitTest : public testing::Test {
 protected:
  static constexpr size_t kBodyBytes = size_t{1024} * 1024;

  explicit CallerExitTest(size_t max_connections = 1)
      : server_(context_,
                {[this](CallId call, HttpRequest) {
                   ++requests_;
                   HttpAnswer answer;
                   answer.body = std::string(kBodyBytes, 'a');
                   server_.Respond(call, std::move(answer));
                 },
                 [](CallId) {}, [this] { return limits_; }},
                {nullptr, max_connections}),
        client_(context_),
        address_("127.0.0.1:" + std::to_string(27'000 + getpid() % 900)) {
    server_.Listen(address_);
    client_.open(asio::ip::tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    client_.connect(ParseEndpoint(address_));
  }

  void Run(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  void Send(const std::string& bytes) {
    asio::write(client_, asio::buffer(bytes));
  }

  std::string ReceiveAll() {
    std::string received;
    bool ended = false;
    asio::async_read(client_, asio::dynamic_buffer(received),
                     [&](error_code, size_t) { ended = true; });
    for (int i = 0; i < 300 && !ended; ++i)
      Run(10ms);
    EXPECT_TRUE(ended);
    return received;
  }

  asio::io_context context_;
  CallerLimits limits_;
  int requests_ = 0;
  HttpServer server_;
  asio::ip::tcp::socket client_;
  std::string address_;
};

// Guards against a connection that is closed as idle to admit another while the
// kernel holds most of its answer: a further request of its client resets it.
TEST_F(CallerExitTest, ConnectionWithUnreceivedAnswerIsNotClosedAsIdle) {
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Run(100ms);
  ASSERT_EQ(server_.unfinished_writes(), 0u);
  ASSERT_TRUE(server_.HasUndelivered());
  asio::ip::tcp::socket other(context_);
  other.connect(ParseEndpoint(address_));
  Run(100ms);
  Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Run(100ms);
  EXPECT_GT(ReceiveAll().size(), kBodyBytes);
}

// The same at the end of the time for which a connection may be idle.
TEST_F(CallerExitTest, ConnectionWithUnreceivedAnswerHasNoIdleTimeout) {
  limits_.idle_timeout = 300ms;
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Run(1200ms);
  Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Run(100ms);
  EXPECT_GT(ReceiveAll().size(), kBodyBytes);
}

// Guards against a request that has arrived completely, but was not read yet
// when the node exits, and gets no answer, although a request that has arrived
// in part is refused as not run.
TEST_F(CallerExitTest, UnreadRequestIsRefusedWhenTheNodeExits) {
  Run(100ms);
  ASSERT_EQ(server_.connections(), 1u);
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  server_.CloseWhenDelivered();
  std::string answer = ReceiveAll();
  EXPECT_EQ(requests_, 0);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
}

class AcceptExitTest : public CallerExitTest {
 protected:
  AcceptExitTest() : CallerExitTest(100) {}
};

// A connection has been accepted, and the turn of the event loop for it comes
// after the node has begun to exit. Guards against a request that is read then:
// the node does not answer any more, and its client waits until the process has
// ended, which slow readers delay by seconds.
TEST_F(AcceptExitTest, ConnectionAcceptedBeforeTheCloseIsNotServed) {
  asio::ip::tcp::socket other(context_);
  other.connect(ParseEndpoint(address_));
  while (server_.connections() == 0)
    context_.run_one();
  server_.CloseWhenDelivered();
  error_code error;
  asio::write(other, asio::buffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n"s), error);
  Run(300ms);
  EXPECT_EQ(requests_, 0);
}

}  // namespace
}  // namespace comfreylock::mesh
