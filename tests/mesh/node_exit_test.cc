#include <gtest/gtest.h>

#include <unistd.h>

#include <memory>
#include <string>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "http_io.h"
#include "mesh/http_server.h"
#include "mesh/link_hub.h"
#include "mesh/socket_options.h"

/// The end of a node's connections, over real sockets: what was handed to a
/// connection before its node exits arrives.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;

wire::Frame ResultFrame(uint64_t stream, size_t body_bytes) {
  wire::Frame frame;
  frame.mutable_outcome()->set_stream(stream);
  frame.mutable_outcome()->set_kind(wire::Outcome::ANSWERED);
  frame.mutable_outcome()->set_status(200);
  frame.mutable_outcome()->set_body(std::string(body_bytes, 'x'));
  return frame;
}

std::string BytesOf(const wire::Frame& frame) {
  std::string content = frame.SerializeAsString();
  std::string bytes;
  for (int shift : {24, 16, 8, 0})
    bytes += static_cast<char>(content.size() >> shift & 0xff);
  return bytes + content;
}

/// A hub whose link leads to a socket of the test.
class LinkEndTest : public testing::Test {
 protected:
  LinkEndTest()
      : acceptor_(ListenOn(context_, "127.0.0.1:0")), peer_(context_) {
    hub_ = std::make_unique<LinkHub>(
        context_, wire::Hello(),
        [this](EventBody event) {
          if (auto* received = std::get_if<FrameReceived>(&event);
              received && received->frame->has_outcome())
            ++results_;
          lost_ |= std::holds_alternative<LinkClosed>(event);
        },
        LinkHub::Bounds{budget_,
                        [](size_t, MemoryBudget::Use) { return true; }});
    hub_->Apply(OpenLink{
        LinkId{1},
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())});
    acceptor_.accept(peer_);
    wire::Frame hello;
    hello.mutable_hello()->set_node("other");
    asio::write(peer_, asio::buffer(BytesOf(hello)));
    Run();
  }

  void Run() {
    context_.restart();
    context_.run_for(200ms);
  }

  asio::io_context context_;
  MemoryBudget budget_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket peer_;
  std::unique_ptr<LinkHub> hub_;
  int results_ = 0;
  bool lost_ = false;
};

// A node sends results and exits with unread input, which resets the link, and
// this node writes to the link before it has read the results. Guards against
// results that are discarded because the write fails.
TEST_F(LinkEndTest, ResultsBehindAFailedWriteAreRead) {
  // More than one read takes, less than the kernel delivers at once.
  constexpr int kResults = 3;
  for (int i = 0; i < kResults; ++i) {
    auto stream = static_cast<uint64_t>(i);
    asio::write(peer_, asio::buffer(BytesOf(ResultFrame(stream, 12'000))));
  }
  // The kernel passes the bytes on before the reset. The Hello is unread.
  std::this_thread::sleep_for(100ms);
  peer_.close();
  auto load = std::make_shared<wire::Frame>();
  load->mutable_load()->set_slots(1);
  hub_->Apply(SendFrame{LinkId{1}, load});
  Run();
  EXPECT_EQ(results_, kResults);
  EXPECT_TRUE(lost_);
}

// Guards against a node that ends between the moment at which it hands a result
// to a link and the turn of the event loop in which that is written.
TEST_F(LinkEndTest, ResultIsDeliveredBeforeTheLinkCloses) {
  auto result = std::make_shared<wire::Frame>(ResultFrame(7, 30'000));
  hub_->Apply(SendFrame{LinkId{1}, result});
  EXPECT_TRUE(hub_->HasUndelivered());
  hub_->CloseWhenDelivered();
  EXPECT_EQ(hub_->links(), 1u);
  // Would reset the link if it stayed unread.
  wire::Frame load;
  load.mutable_load()->set_slots(1);
  asio::write(peer_, asio::buffer(BytesOf(load)));
  Run();
  EXPECT_FALSE(hub_->HasUndelivered());
  std::string received;
  error_code error;
  asio::read(peer_, asio::dynamic_buffer(received), error);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_TRUE(received.ends_with(BytesOf(*result)));
  peer_.close();
  Run();
  EXPECT_EQ(hub_->links(), 0u);
}

/// A server whose answers have a body of 1 MB, and a client with a small
/// receive buffer, so that the kernel of the server holds most of an answer.
class CallerEndTest : public testing::Test {
 protected:
  static constexpr size_t kBodyBytes = size_t{1024} * 1024;

  CallerEndTest()
      : server_(context_,
                {[this](CallId call, HttpRequest) {
                   HttpAnswer answer;
                   answer.body = std::string(kBodyBytes, 'a');
                   server_.Respond(call, std::move(answer));
                 },
                 [](CallId) {}, [] { return CallerLimits(); }}),
        client_(context_) {
    std::string address =
        "127.0.0.1:" + std::to_string(28'000 + getpid() % 900);
    server_.Listen(address);
    client_.open(asio::ip::tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    client_.connect(ParseEndpoint(address));
  }

  void Run(std::chrono::milliseconds time) {
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
  HttpServer server_;
  asio::ip::tcp::socket client_;
};

// Guards against input that arrives during the exit and resets the connection,
// which discards what the kernel holds of the answer.
TEST_F(CallerEndTest, AnswerIsDeliveredBeforeTheConnectionCloses) {
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Run(100ms);
  EXPECT_EQ(server_.unfinished_writes(), 0u);
  EXPECT_TRUE(server_.HasUndelivered());
  server_.CloseWhenDelivered();
  Run(2500ms);
  Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  Run(100ms);
  EXPECT_EQ(server_.connections(), 1u);
  EXPECT_GT(ReceiveAll().size(), kBodyBytes);
  client_.close();
  Run(100ms);
  EXPECT_EQ(server_.connections(), 0u);
}

// The same for a connection that ends with its answer while the node runs on.
TEST_F(CallerEndTest, SlowReaderReceivesTheLastAnswerOfItsConnection) {
  Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Run(2500ms);
  Send("x");
  Run(100ms);
  EXPECT_GT(ReceiveAll().size(), kBodyBytes);
}

// Guards against a request that is cut off although its client could have been
// told that it has not run.
TEST_F(CallerEndTest, IncompleteRequestIsRefusedWhenTheNodeExits) {
  Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab");
  Run(100ms);
  server_.CloseWhenDelivered();
  Send("cde");
  std::string answer = ReceiveAll();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
}

}  // namespace
}  // namespace comfreylock::mesh
