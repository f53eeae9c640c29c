#include "mesh/memory_budget.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "http_io.h"
#include "mesh/http_server.h"
#include "mesh/link_hub.h"

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using Kind = MemoryBudget::Kind;
using Use = MemoryBudget::Use;

constexpr size_t kMb = size_t{1024} * 1024;

TimePoint At(std::chrono::milliseconds time) {
  return TimePoint(std::chrono::seconds(1) + time);
}

// Guards against a host of the smallest size that refuses a body of the default
// maximum size although it holds nothing else.
TEST(MemoryBudgetTest, SmallestHostAdmitsOneBodyOfTheMaximumSize) {
  MemoryBudget budget(160 * kMb);
  EXPECT_TRUE(budget.Admits(64 * kMb + 20 * 1024, Use::kLargeBody));
  EXPECT_LE(budget.limit(), 128 * kMb);
}

// Guards against small hosts whose limit leaves no memory for the program, and
// against an overflow for sizes below the uncounted memory.
TEST(MemoryBudgetTest, LimitLeavesMemoryForTheProgram) {
  EXPECT_EQ(MemoryBudget(256 * kMb).limit(), 224 * kMb);
  EXPECT_EQ(MemoryBudget(64 * kMb).limit(), 32 * kMb);
  EXPECT_EQ(MemoryBudget(16 * kMb).limit(), 8 * kMb);
  EXPECT_EQ(MemoryBudget(0).limit(), 0u);
}

// Guards against large bodies that take the room of small ones, and small ones
// that take that of requests without a body. Replays the load: 60 bodies of
// 16 MB, then many small ones.
TEST(MemoryBudgetTest, LargeBodiesLeaveRoomForOtherRequests) {
  MemoryBudget budget(260 * kMb);
  std::vector<MemoryCharge> charges;
  auto fill = [&](size_t bytes, Use use, int count) {
    int admitted = 0;
    for (int i = 0; i < count && budget.Admits(bytes, use); ++i, ++admitted)
      charges.emplace_back(budget, Kind::kReading).Resize(bytes);
    return admitted;
  };
  EXPECT_EQ(fill(16 * kMb, Use::kLargeBody, 60), 10);
  EXPECT_LE(budget.held(), budget.LimitOf(Use::kLargeBody));
  EXPECT_GT(fill(64 * 1024, Use::kSmallBody, 100'000), 400);
  EXPECT_FALSE(budget.Admits(64 * 1024, Use::kSmallBody));
  EXPECT_GT(fill(16 * 1024, Use::kNoBody, 100'000), 1000);
  EXPECT_LE(budget.held(), budget.limit());
  charges.clear();
  EXPECT_EQ(budget.held(), 0u);
}

// Guards against bytes that are counted twice or never released when a charge
// is moved, for instance with the request that it belongs to.
TEST(MemoryBudgetTest, ChargeIsReleasedOnce) {
  MemoryBudget budget;
  {
    MemoryCharge charge(budget, Kind::kRequests);
    charge.Resize(100);
    charge.Resize(40);
    MemoryCharge moved = std::move(charge);
    EXPECT_EQ(budget.held(Kind::kRequests), 40u);
    MemoryCharge other(budget, Kind::kAnswers);
    other.Resize(7);
    other = std::move(moved);
    EXPECT_EQ(budget.held(Kind::kAnswers), 0u);
    EXPECT_EQ(budget.held(), 40u);
  }
  EXPECT_EQ(budget.held(), 0u);
}

// Guards against two log lines for each wave of a load that lies near the
// limit.
TEST(MemoryBudgetTest, PressureIsLeftAfterACalmPeriod) {
  MemoryBudget budget(160 * kMb);
  EXPECT_EQ(budget.UpdatePressure(At(0ms)), std::nullopt);
  budget.Add(Kind::kReading, 90 * kMb);
  EXPECT_EQ(budget.UpdatePressure(At(100ms)), true);
  EXPECT_EQ(budget.UpdatePressure(At(200ms)), std::nullopt);
  budget.Subtract(Kind::kReading, 90 * kMb);
  EXPECT_EQ(budget.UpdatePressure(At(1000ms)), std::nullopt);
  budget.CountRefusal();
  EXPECT_EQ(budget.UpdatePressure(At(1500ms)), std::nullopt);
  EXPECT_EQ(budget.UpdatePressure(At(3400ms)), std::nullopt);
  EXPECT_TRUE(budget.under_pressure());
  EXPECT_EQ(budget.UpdatePressure(At(3600ms)), false);
  EXPECT_FALSE(budget.under_pressure());
}

// Guards against callers' connections that take the descriptors of links, the
// store and the target.
TEST(MemoryBudgetTest, CallersLeaveDescriptorsForOthers) {
  EXPECT_EQ(MaxCallerDescriptors(4100), 1950u);
  EXPECT_EQ(MaxCallerDescriptors(300), 50u);
  EXPECT_EQ(MaxCallerDescriptors(0), 16u);
}

// Guards against links of strangers that take the descriptors of callers, the
// store and the target.
TEST(MemoryBudgetTest, AcceptedLinksLeaveDescriptorsForOthers) {
  EXPECT_EQ(MaxAcceptedLinkDescriptors(4100), 975u);
  EXPECT_EQ(MaxAcceptedLinkDescriptors(300), 25u);
  EXPECT_EQ(MaxAcceptedLinkDescriptors(0), 16u);
}

/// A server with little memory, and clients with unfinished requests.
class ServerWithLittleMemoryTest : public testing::Test {
 protected:
  void SetUp() override { server_.Listen(address_); }

  asio::ip::tcp::socket& Send(const std::string& bytes) {
    sockets_.push_back(std::make_unique<asio::ip::tcp::socket>(context_));
    sockets_.back()->connect(ParseEndpoint(address_));
    asio::write(*sockets_.back(), asio::buffer(bytes));
    context_.run_for(50ms);
    context_.restart();
    return *sockets_.back();
  }

  /// @return the received bytes.
  std::string Receive(asio::ip::tcp::socket& socket) {
    socket.non_blocking(true);
    context_.run_for(50ms);
    context_.restart();
    std::string text(4096, '\0');
    error_code error;
    text.resize(socket.read_some(asio::buffer(text), error));
    return text;
  }

  static std::string Upload(size_t length, size_t sent) {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
  }

  asio::io_context context_;
  MemoryBudget budget_{8 * kMb};  ///< Limit 4 MB, large bodies 3 MB.
  int delivered_ = 0;
  HttpServer server_{context_,
                     {[this](CallId call, HttpRequest) {
                        ++delivered_;
                        server_.Respond(call, HttpAnswer());
                      },
                      [](CallId) {}, [] { return CallerLimits(); }},
                     {&budget_, 8}};
  std::string address_ = "127.0.0.1:" + std::to_string(26'000 + getpid() % 900);
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets_;
};

// Guards against unfinished bodies that fill the memory, and against a refusal
// of requests without a body while they do.
TEST_F(ServerWithLittleMemoryTest, RefusesLargeBodiesAndServesOthers) {
  Send(Upload(2 * kMb, 1000));
  EXPECT_GE(budget_.held(Kind::kReading), 2 * kMb);
  std::string refusal = Receive(Send(Upload(2 * kMb, 1000)));
  EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
  EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
  EXPECT_EQ(delivered_, 0);
  EXPECT_TRUE(Receive(Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
                  .starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(Receive(Send(Upload(1000, 1000))).starts_with("HTTP/1.1 200"));
}

// Guards against a deadlock in which bodies that will never end keep the room
// for all others. The one that has stalled longest is abandoned.
TEST_F(ServerWithLittleMemoryTest, AbandonsTheBodyThatHasStalledLongest) {
  auto& first = Send(Upload(kMb, 1000));
  auto& second = Send(Upload(kMb, 1000));
  context_.run_for(800ms);
  context_.restart();
  auto& third = Send(Upload(3 * kMb / 2, 3 * kMb / 2));
  EXPECT_TRUE(Receive(third).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(Receive(first).starts_with("HTTP/1.1 408"));
  EXPECT_EQ(Receive(second), "");
  EXPECT_EQ(budget_.abandoned(), 1u);
}

// Guards against chunked bodies, whose length is not announced, that grow past
// the limit one by one.
TEST_F(ServerWithLittleMemoryTest, RefusesAChunkedBodyThatGrowsTooLarge) {
  std::string head =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string chunks;
  for (size_t i = 0; i < 4 * kMb / 65'536; ++i)
    chunks += "10000\r\n" + std::string(65'536, 'x') + "\r\n";
  sockets_.push_back(std::make_unique<asio::ip::tcp::socket>(context_));
  sockets_.back()->connect(ParseEndpoint(address_));
  std::string bytes = head + chunks;
  asio::async_write(*sockets_.back(), asio::buffer(bytes),
                    [](error_code, size_t) {});
  context_.run_for(300ms);
  context_.restart();
  EXPECT_TRUE(Receive(*sockets_.back()).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(budget_.held(Kind::kReading), 0u);
  EXPECT_EQ(delivered_, 0);
}

// Guards against clients that keep more connections open than the process has
// descriptors for: idle ones are closed for new ones.
TEST_F(ServerWithLittleMemoryTest, ClosesIdleConnectionsForNewOnes) {
  for (int i = 0; i < 20; ++i)
    Send("");
  EXPECT_LE(server_.connections(), 8u);
  EXPECT_TRUE(Receive(Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
                  .starts_with("HTTP/1.1 200"));
}

/// Two hubs and the events of the second one.
class LinkBodyTest : public testing::Test {
 protected:
  void Connect(bool accepts_parts) {
    wire::Hello hello;
    hello.set_node("n");
    hello.set_body_parts(accepts_parts);
    auto admit = [this](size_t bytes, Use use) {
      return budget_.Admits(bytes, use);
    };
    receiver_ = std::make_unique<LinkHub>(
        context_, hello,
        [this](EventBody event) {
          if (auto* received = std::get_if<FrameReceived>(&event))
            received_.push_back(*received);
          lost_ |= std::holds_alternative<LinkClosed>(event);
        },
        LinkHub::Bounds{budget_, admit});
    std::string address =
        "127.0.0.1:" + std::to_string(25'000 + getpid() % 900);
    receiver_->Listen(address);
    sender_ = std::make_unique<LinkHub>(
        context_, hello,
        [this](EventBody event) {
          if (auto* received = std::get_if<FrameReceived>(&event))
            answers_.push_back(*received);
          lost_ |= std::holds_alternative<LinkClosed>(event);
        },
        LinkHub::Bounds{sender_budget_, [](size_t, Use) { return true; }});
    sender_->Apply(OpenLink{LinkId{1}, address});
    Run();
  }

  void Run() {
    context_.run_for(300ms);
    context_.restart();
  }

  void SendBody(uint64_t stream, const std::string& body) {
    auto forward = std::make_shared<wire::Forward>();
    forward->set_stream(stream);
    forward->set_method("POST");
    forward->set_path("/upload");
    forward->set_remaining_ms(10'000);
    forward->set_body(body);
    sender_->Apply(SendForward{LinkId{1}, forward});
    EXPECT_EQ(forward->body(), body);
    EXPECT_EQ(forward->body_size(), 0u);
  }

  asio::io_context context_;
  MemoryBudget budget_{64 * kMb};  ///< Limit 32 MB, large bodies 24 MB.
  MemoryBudget sender_budget_;
  std::vector<FrameReceived> received_;
  std::vector<FrameReceived> answers_;
  bool lost_ = false;
  std::unique_ptr<LinkHub> sender_;
  std::unique_ptr<LinkHub> receiver_;
};

std::string Pattern(size_t size) {
  std::string text(size, '\0');
  for (size_t i = 0; i < size; ++i)
    text[i] = static_cast<char>(i * 31 >> 3);
  return text;
}

// Guards against a body that is changed on its way in parts, and against a
// charge that ends before the request does.
TEST_F(LinkBodyTest, LargeBodyArrivesCompleteAndCharged) {
  Connect(true);
  std::string body = Pattern(5 * kMb + 17);
  SendBody(7, body);
  Run();
  ASSERT_EQ(received_.size(), 1u);
  EXPECT_EQ(received_[0].frame->forward().body(), body);
  EXPECT_EQ(received_[0].frame->forward().body_size(), 0u);
  EXPECT_GE(budget_.held(Kind::kLinkInput), body.size());
  received_.clear();
  EXPECT_LT(budget_.held(Kind::kLinkInput), kMb);
  EXPECT_FALSE(lost_);
}

// Guards against a large body that holds up other frames of its link, such as
// loads, whose absence ends the link.
TEST_F(LinkBodyTest, OtherFramesPassALargeBody) {
  Connect(true);
  SendBody(7, Pattern(20 * kMb));
  context_.run_one();
  SendBody(8, "small");
  Run();
  ASSERT_EQ(received_.size(), 2u);
  EXPECT_EQ(received_[0].frame->forward().stream(), 8u);
  EXPECT_EQ(received_[1].frame->forward().stream(), 7u);
}

// Guards against a part sent to a node of an earlier release, which ignores it
// and runs the request without its body.
TEST_F(LinkBodyTest, EarlierReleaseGetsTheBodyInOneFrame) {
  Connect(false);
  std::string body = Pattern(kMb);
  SendBody(7, body);
  Run();
  ASSERT_EQ(received_.size(), 1u);
  EXPECT_EQ(received_[0].frame->forward().body(), body);
}

// Guards against requests from other nodes that exceed the memory. They are
// rejected as not run, and the link stays.
TEST_F(LinkBodyTest, RequestWithoutRoomIsRejectedAsNotRun) {
  Connect(true);
  SendBody(7, Pattern(20 * kMb));
  SendBody(8, Pattern(20 * kMb));
  Run();
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].frame->outcome().stream(), 8u);
  EXPECT_EQ(answers_[0].frame->outcome().kind(), wire::Outcome::NOT_RUN);
  ASSERT_EQ(received_.size(), 1u);
  EXPECT_EQ(received_[0].frame->forward().stream(), 7u);
  EXPECT_FALSE(lost_);
}

// Guards against a cancelled request whose unfinished body stays in memory, or
// that is left without an outcome.
TEST_F(LinkBodyTest, CancelledBodyIsReleasedAndAnswered) {
  Connect(true);
  SendBody(7, Pattern(20 * kMb));
  for (int i = 0; i < 20; ++i)
    context_.run_one();
  EXPECT_GE(budget_.held(Kind::kLinkInput), 20 * kMb);
  auto cancel = std::make_shared<wire::Frame>();
  cancel->mutable_cancel()->set_stream(7);
  sender_->Apply(SendFrame{LinkId{1}, cancel});
  Run();
  EXPECT_TRUE(received_.empty());
  ASSERT_EQ(answers_.size(), 1u);
  EXPECT_EQ(answers_[0].frame->outcome().kind(), wire::Outcome::NOT_RUN);
  EXPECT_LT(budget_.held(Kind::kLinkInput), kMb);
}

/// A server whose answers arrive later, as those of a target do.
class ServerWithLateAnswersTest : public testing::Test {
 protected:
  void SetUp() override { server_.Listen(address_); }

  /// Connects a client that does not read, and sends requests.
  void SendRequests(int count) {
    auto& socket = sockets_.emplace_back(context_);
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(ParseEndpoint(address_));
    std::string bytes;
    for (int i = 0; i < count; ++i)
      bytes += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    asio::write(socket, asio::buffer(bytes));
    Run(50ms);
  }

  void Run(std::chrono::milliseconds time) {
    context_.run_for(time);
    context_.restart();
  }

  /// @param bytes size of the answer.
  void Respond(CallId call, size_t bytes) {
    HttpAnswer answer;
    answer.body.assign(bytes, 'x');
    server_.Respond(call, std::move(answer));
  }

  asio::io_context context_;
  MemoryBudget budget_{8 * kMb};  ///< Limit 4 MB.
  std::vector<CallId> calls_;
  HttpServer server_{
      context_,
      {[this](CallId call, HttpRequest) { calls_.push_back(call); },
       [](CallId) {}, [] { return CallerLimits(); }},
      {&budget_, 64}};
  std::string address_ = "127.0.0.1:" + std::to_string(28'000 + getpid() % 900);
  std::deque<asio::ip::tcp::socket> sockets_;
};

// Guards against answers that exceed the memory although their requests were
// admitted while there was room. Replays the load: clients that send 16
// requests each before any is answered, and read none of the answers.
TEST_F(ServerWithLateAnswersTest, AnswersThatAreNotReadStayWithinTheLimit) {
  for (int i = 0; i < 20; ++i)
    SendRequests(16);
  ASSERT_EQ(calls_.size(), 320u);
  size_t most = 0;
  for (CallId call : calls_) {
    Respond(call, 60'000);
    most = std::max(most, budget_.held());
  }
  EXPECT_LE(most, budget_.limit() + 64 * 1024);
  EXPECT_LE(budget_.held(), budget_.limit());
  EXPECT_GT(budget_.abandoned(), 0u);
  EXPECT_GT(server_.connections(), 0u);
}

// Guards against the loss of an ordinary answer while others fill the memory.
TEST_F(ServerWithLateAnswersTest, ClosesTheConnectionWithMostUnreadAnswers) {
  for (int i = 0; i < 8; ++i)
    SendRequests(16);
  SendRequests(1);
  ASSERT_EQ(calls_.size(), 129u);
  for (size_t i = 0; i < 128; ++i)
    Respond(calls_[i], 60'000);
  Respond(calls_[128], 4'000);
  Run(50ms);
  char bytes[8192];
  ssize_t got =
      recv(sockets_.back().native_handle(), bytes, sizeof(bytes), MSG_DONTWAIT);
  EXPECT_GT(got, 0);
  EXPECT_TRUE(
      std::string(bytes, static_cast<size_t>(got)).starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace comfreylock::mesh
