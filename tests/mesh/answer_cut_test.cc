#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "http_io.h"
#include "mesh/http_server.h"
#include "mesh/mesh_runtime.h"
#include "mesh/socket_options.h"
#include "node_clock.h"

/// What is told of answers that callers do not get completely.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

/// Larger than what the socket buffers of both sides hold.
constexpr size_t kUnreadBytes = 24 * 1024 * 1024;
const char kGet[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// @return IP:PORT that was free a moment ago.
std::string FreeAddress(asio::io_context& context) {
  auto probe = ListenOn(context, "127.0.0.1:0");
  return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

// Guards against an answer that counts as cut, or as written, because of the
// bytes of another one on its connection.
TEST(UnwrittenAnswersTest, CountsTheBytesOfEachAnswer) {
  UnwrittenAnswers answers;
  answers.Add(CallId{1}, {"a"}, 100, 100);
  answers.Add(CallId{2}, {"b"}, 50, 150);
  answers.SetProgress(150);
  answers.EndWrite();
  EXPECT_EQ(answers.held_bytes(), 0u);
  // 25 bytes that belong to no answer are written first.
  answers.Add(CallId{3}, {"c"}, 100, 125);
  answers.Add(CallId{4}, {"d"}, 50, 175);
  answers.SetProgress(125);
  answers.SetProgress(135);
  auto cut = answers.Take(CutReason::kStalled);
  ASSERT_EQ(cut.size(), 1u);
  EXPECT_EQ(cut[0].call, CallId{4});
  EXPECT_EQ(cut[0].request.request_id, "d");
  EXPECT_EQ(cut[0].bytes, 50u);
  EXPECT_EQ(cut[0].unwritten_bytes, 40u);
  EXPECT_EQ(cut[0].reason, CutReason::kStalled);
  EXPECT_TRUE(answers.Take(CutReason::kStalled).empty());
}

// Guards against memory of long request ids that is not counted, and against
// memory that is counted after the answers were written.
TEST(UnwrittenAnswersTest, CountsItsMemory) {
  UnwrittenAnswers answers;
  answers.Add(CallId{1}, {std::string(5000, 'i'), "o", "r"}, 10, 10);
  answers.Add(CallId{2}, {std::string(7000, 'i'), "o", "r"}, 10, 20);
  EXPECT_GE(answers.held_bytes(), 12'000u);
  answers.SetProgress(10);
  answers.EndWrite();
  EXPECT_GE(answers.held_bytes(), 7000u);
  EXPECT_LT(answers.held_bytes(), 12'000u);
  answers.SetProgress(10);
  answers.EndWrite();
  EXPECT_EQ(answers.held_bytes(), 0u);
}

/// A server whose answers the test sends, and clients that read little.
class AnswerCutTest : public testing::Test {
 protected:
  void SetUp() override { server_.Listen(address_); }

  void Run(std::chrono::milliseconds time = 50ms) {
    context_.restart();
    context_.run_for(time);
  }

  /// Runs until `condition` holds, for some seconds at most.
  template <typename Condition>
  void RunUntil(Condition condition) {
    for (int i = 0; i < 500 && !condition(); ++i)
      Run(10ms);
    EXPECT_TRUE(condition());
  }

  void AwaitCut(size_t count) {
    RunUntil([&] { return cut_.size() >= count; });
  }

  /// Sends requests that the server has got when this returns.
  std::unique_ptr<Tcp::socket> Send(int count) {
    std::string bytes;
    for (int i = 0; i < count; ++i)
      bytes += kGet;
    auto socket = std::make_unique<Tcp::socket>(context_);
    socket->connect(ParseEndpoint(address_));
    asio::write(*socket, asio::buffer(bytes));
    size_t expected = requests_.size() + static_cast<size_t>(count);
    RunUntil([&] { return requests_.size() == expected; });
    return socket;
  }

  void Respond(CallId call, size_t bytes, bool close = false) {
    HttpAnswer answer;
    answer.body.assign(bytes, 'a');
    answer.close = close;
    server_.Respond(call, std::move(answer),
                    {"id" + std::to_string(call.value), "acme", "order"});
    Run();
  }

  asio::io_context context_;
  MemoryBudget budget_{size_t{64} * 1024 * 1024};  ///< Limit 32 MB.
  std::vector<CallId> requests_;
  std::vector<CallId> cancelled_;
  std::vector<CutAnswer> cut_;
  HttpServer server_{
      context_,
      {[this](CallId call, HttpRequest) { requests_.push_back(call); },
       [this](CallId call) { cancelled_.push_back(call); },
       [] { return CallerLimits(); },
       [this](const CutAnswer& cut) { cut_.push_back(cut); }},
      {&budget_, 8}};
  std::string address_ = FreeAddress(context_);
};

// Guards against an answer that a caller got in part without a line about it.
TEST_F(AnswerCutTest, CallerThatClosesWithinAnswerIsReported) {
  auto socket = Send(1);
  ASSERT_EQ(requests_.size(), 1u);
  Respond(requests_[0], kUnreadBytes);
  EXPECT_TRUE(cut_.empty());
  socket->close();
  AwaitCut(1);
  ASSERT_EQ(cut_.size(), 1u);
  EXPECT_EQ(cut_[0].call, requests_[0]);
  EXPECT_EQ(cut_[0].request.request_id, "id1");
  EXPECT_EQ(cut_[0].request.organisation, "acme");
  EXPECT_EQ(cut_[0].request.route, "order");
  EXPECT_EQ(cut_[0].reason, CutReason::kClosedByCaller);
  EXPECT_GT(cut_[0].bytes, kUnreadBytes);
  EXPECT_GT(cut_[0].unwritten_bytes, 0u);
  // What the kernel had taken counts as written.
  EXPECT_LT(cut_[0].unwritten_bytes, kUnreadBytes);
  EXPECT_TRUE(cancelled_.empty());
}

// Guards against lines about answers that were written completely, and about
// callers that leave before there is an answer: the log would be full of them.
TEST_F(AnswerCutTest, OrdinaryEndsAreNotReported) {
  auto reader = Send(2);
  ASSERT_EQ(requests_.size(), 2u);
  Respond(requests_[0], 1000);
  Respond(requests_[1], 1000);
  std::array<char, 512> part{};
  reader->read_some(asio::buffer(part));
  reader->close();
  RunUntil([&] { return server_.connections() == 0; });
  auto leaver = Send(1);
  leaver->close();
  RunUntil([&] { return server_.connections() == 0; });
  EXPECT_EQ(cancelled_, std::vector<CallId>{requests_.at(2)});
  Respond(requests_[2], 1000);
  EXPECT_TRUE(cut_.empty());
}

// Guards against answers that wait behind another one, or behind a request
// without an answer, and are lost with it unseen.
TEST_F(AnswerCutTest, AnswersThatWaitAreReportedToo) {
  auto socket = Send(4);
  ASSERT_EQ(requests_.size(), 4u);
  Respond(requests_[0], kUnreadBytes);
  Respond(requests_[1], 500);
  Respond(requests_[3], 700);
  socket->close();
  AwaitCut(3);
  ASSERT_EQ(cut_.size(), 3u);
  // The one that waits for another request is known at once, the others at the
  // end of the write.
  EXPECT_EQ(cut_[0].call, requests_[3]);
  EXPECT_GT(cut_[0].unwritten_bytes, 700u);
  EXPECT_EQ(cut_[1].call, requests_[0]);
  EXPECT_EQ(cut_[2].call, requests_[1]);
  EXPECT_GT(cut_[2].bytes, 500u);
  EXPECT_EQ(cut_[2].unwritten_bytes, cut_[2].bytes);
  EXPECT_EQ(cancelled_, std::vector<CallId>{requests_[2]});
}

// Guards against an answer that this node gives up for its memory, and against
// requests that it leaves without one, which look as if the caller had left.
TEST_F(AnswerCutTest, AnswerAbandonedForMemoryIsReported) {
  auto socket = Send(2);
  ASSERT_EQ(requests_.size(), 2u);
  Respond(requests_[0], kUnreadBytes);
  Run(800ms);
  server_.MakeRoom(budget_.limit(), MemoryBudget::Use::kNoBody);
  AwaitCut(2);
  ASSERT_EQ(cut_.size(), 2u);
  EXPECT_EQ(cut_[0].call, requests_[1]);
  EXPECT_EQ(cut_[0].bytes, 0u);
  EXPECT_EQ(cut_[0].reason, CutReason::kStalled);
  EXPECT_EQ(cut_[1].call, requests_[0]);
  EXPECT_GT(cut_[1].unwritten_bytes, 0u);
  EXPECT_EQ(cut_[1].reason, CutReason::kStalled);
  EXPECT_EQ(cancelled_, std::vector<CallId>{requests_[1]});
}

// Guards against an answer that is larger than the memory and is lost unseen
// although its request has run.
TEST_F(AnswerCutTest, AnswerWithoutMemoryIsReported) {
  auto socket = Send(1);
  ASSERT_EQ(requests_.size(), 1u);
  Respond(requests_[0], budget_.limit() + 1);
  ASSERT_EQ(cut_.size(), 1u);
  EXPECT_EQ(cut_[0].reason, CutReason::kMemory);
  EXPECT_EQ(cut_[0].request.request_id, "id1");
  EXPECT_EQ(cut_[0].unwritten_bytes, cut_[0].bytes);
}

// Guards against an answer behind the last one of its connection that is
// discarded unseen.
TEST_F(AnswerCutTest, AnswerBehindTheLastOneIsReported) {
  auto socket = Send(2);
  ASSERT_EQ(requests_.size(), 2u);
  Respond(requests_[1], 500);
  Respond(requests_[0], 500, true);
  ASSERT_EQ(cut_.size(), 1u);
  EXPECT_EQ(cut_[0].call, requests_[1]);
  EXPECT_EQ(cut_[0].reason, CutReason::kLastAnswer);
}

// Guards against answers that the exit of the process cuts unseen, and against
// lines about those that were written before it.
TEST_F(AnswerCutTest, AnswersCutByExitAreReported) {
  auto read = Send(1);
  Respond(requests_.at(0), 500);
  auto unread = Send(1);
  Respond(requests_.at(1), kUnreadBytes);
  server_.ReportAnswersCutByExit();
  ASSERT_EQ(cut_.size(), 1u);
  EXPECT_EQ(cut_[0].call, requests_[1]);
  EXPECT_EQ(cut_[0].reason, CutReason::kShutdown);
  EXPECT_GT(cut_[0].unwritten_bytes, 0u);
  EXPECT_LT(cut_[0].unwritten_bytes, kUnreadBytes);
}

// Guards against small answers with long request ids that fill the memory on a
// connection whose client does not read: their names count as unread bytes.
// They are not kept for the life of a connection whose answers are read.
TEST_F(AnswerCutTest, NamesOfUnreadAnswersAreCharged) {
  auto reader = Send(1);
  Respond(requests_.at(0), 500);
  RunUntil([&] { return budget_.held(MemoryBudget::Kind::kAnswers) == 0; });
  requests_.clear();
  auto socket = Send(2);
  ASSERT_EQ(requests_.size(), 2u);
  Respond(requests_[0], kUnreadBytes);
  size_t held = budget_.held(MemoryBudget::Kind::kAnswers);
  server_.Respond(requests_[1], {}, {std::string(300'000, 'i'), "", ""});
  EXPECT_GE(budget_.held(MemoryBudget::Kind::kAnswers), held + 300'000);
  socket->close();
  RunUntil([&] { return budget_.held(MemoryBudget::Kind::kAnswers) == 0; });
}

/// Requests of the protocol are named by their path; refusals are large.
class LargeRefusals : public CallerProtocol {
 public:
  std::optional<CallerRequest> Decode(HttpRequest request) const override {
    CallerRequest decoded;
    decoded.host = "h";
    decoded.key = "key";
    decoded.forward = std::make_shared<wire::Forward>();
    decoded.forward->set_request_id("id-1");
    decoded.forward->set_method(request.method);
    decoded.forward->set_path(request.request_target);
    return decoded;
  }
  HttpAnswer Encode(const DeliverAnswer& /*answer*/) const override {
    return {};
  }
  HttpAnswer Encode(const RefuseCall& /*refusal*/) const override {
    HttpAnswer answer;
    answer.body.assign(kUnreadBytes, 'a');
    return answer;
  }
};

class NoTargets : public TargetProtocol {
 public:
  HttpRequest Encode(const RunOnTarget& /*run*/,
                     std::chrono::milliseconds /*remaining*/) const override {
    return {};
  }
  AnswerMatch Match(const HttpAnswer& /*answer*/,
                    const wire::Forward& /*request*/,
                    bool /*first*/) const override {
    return AnswerMatch::kInvalid;
  }
  TargetResult Decode(HttpAnswer /*answer*/,
                      const wire::Forward& /*request*/) const override {
    return {};
  }
};

// Guards against a line from which the request and the reason cannot be told.
TEST(AnswerCutLineTest, NamesTheRequest) {
  std::array<int, 2> pipe{};
  ASSERT_EQ(::pipe2(pipe.data(), O_NONBLOCK), 0);
  asio::io_context context;
  LineLog log(pipe[1], "n1");
  LargeRefusals caller_protocol;
  NoTargets target_protocol;
  MeshRuntimeSettings settings;
  settings.identity.node = "n1";
  settings.identity.service = "shop";
  settings.identity.peer_address = FreeAddress(context);
  settings.identity.target_address = FreeAddress(context);
  settings.caller_address = FreeAddress(context);
  MeshRuntime runtime(context, settings, log, caller_protocol, target_protocol);
  runtime.Listen();
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->hosts["h"] = {{"order", "/order/", {{"shop", 1}}, false}};
  config->services = {"shop"};
  config->organisations["acme"] = {"acme"};
  config->keys["key"] = "acme";
  runtime.Feed(ConfigRead{config, ReadNodeClock()});
  Tcp::socket socket(context);
  socket.connect(ParseEndpoint(settings.caller_address));
  asio::write(
      socket,
      asio::buffer(std::string("GET /order/1 HTTP/1.1\r\nHost: h\r\n\r\n")));
  std::string text;
  size_t at = std::string::npos;
  // The answer arrives, and then the close of the caller.
  bool closed = false;
  for (int i = 0; i < 500 && at == std::string::npos; ++i) {
    context.restart();
    context.run_for(10ms);
    if (!closed && socket.available() > 0) {
      socket.close();
      closed = true;
    }
    log.Flush();
    std::array<char, 8192> bytes{};
    ssize_t got = ::read(pipe[0], bytes.data(), bytes.size());
    text.append(bytes.data(), got > 0 ? static_cast<size_t>(got) : 0);
    at = text.find("WARN 203 answer_cut ");
  }
  ASSERT_NE(at, std::string::npos) << text;
  std::string line = text.substr(at, text.find('\n', at) - at);
  EXPECT_TRUE(line.starts_with(
      "WARN 203 answer_cut node=n1 request_id=id-1 organisation=acme "
      "route=order reason=closed_by_caller bytes="))
      << line;
  EXPECT_NE(line.find(" unwritten_bytes="), std::string::npos) << line;
  ::close(pipe[0]);
  ::close(pipe[1]);
}

}  // namespace
}  // namespace comfreylock::mesh
