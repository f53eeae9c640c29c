#include <gtest/gtest.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "http_io.h"
#include "mesh/http_client.h"
#include "mesh/socket_options.h"
#include "platform/codec.h"
#include "platform/store_client.h"

/// What a target's node makes of answers that are broken off, or that arrive
/// once more on a connection that is in use again; over real sockets.
namespace comfreylock::platform {
namespace {

using namespace std::chrono_literals;
using boost::system::error_code;
using Kind = mesh::TargetResult::Kind;

/// Answers the requests of each connection with the given bytes in turn, and
/// then closes the connection.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(boost::asio::io_context& context)
      : context_(context), acceptor_(mesh::ListenOn(context, "127.0.0.1:0")) {
    Accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void SetAnswers(std::vector<std::string> answers) {
    answers_ = std::move(answers);
  }

 private:
  struct Session {
    explicit Session(boost::asio::io_context& context) : socket(context) {}
    boost::asio::ip::tcp::socket socket;
    std::string request;
    std::string answer;
    size_t next = 0;
  };

  void Accept() {
    auto session = std::make_shared<Session>(context_);
    acceptor_.async_accept(session->socket, [this, session](error_code error) {
      if (error)
        return;
      Serve(session);
      Accept();
    });
  }
  void Serve(std::shared_ptr<Session> session) {
    session->request.clear();
    boost::asio::async_read_until(
        session->socket, boost::asio::dynamic_buffer(session->request),
        "\r\n\r\n", [this, session](error_code error, size_t /*bytes*/) {
          if (error || session->next >= answers_.size())
            return;
          session->answer = answers_[session->next++];
          boost::asio::async_write(
              session->socket, boost::asio::buffer(session->answer),
              [this, session](error_code failed, size_t /*bytes*/) {
                bool last = session->next >= answers_.size();
                if (!failed && !last)
                  Serve(session);
              });
        });
  }

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::string> answers_;
};

class AnswerTest : public testing::Test {
 protected:
  AnswerTest() : target_(context_) { Reconnect(); }

  /// Further requests use new connections.
  void Reconnect() {
    client_ = std::make_unique<mesh::HttpClient>(context_, target_.address(),
                                                 mesh::HttpClient::Limits());
  }

  /// Sends a request as a node does.
  /// @return what the node makes of the answer.
  mesh::TargetResult Send(const std::string& id) {
    auto forward = std::make_shared<mesh::wire::Forward>();
    forward->set_request_id(id);
    forward->set_method("GET");
    forward->set_path("/");
    mesh::HttpClient::Options options;
    options.timeout = 300ms;
    options.match = [&](const mesh::HttpAnswer& answer, bool first) {
      return codec_.Match(answer, *forward, first);
    };
    std::optional<mesh::TargetResult> result;
    client_->Send(
        codec_.Encode({WorkId{1}, "i-1", TimePoint(), forward}, 1000ms),
        options, [&](mesh::ExchangeResult exchange) {
          result = mesh::TargetResult();
          if (exchange.kind == mesh::ExchangeResult::Kind::kAnswered)
            result = codec_.Decode(std::move(exchange.answer), *forward);
        });
    auto end = std::chrono::steady_clock::now() + 2s;
    while (!result && std::chrono::steady_clock::now() < end) {
      context_.restart();
      context_.run_one_for(10ms);
    }
    EXPECT_TRUE(result) << id;
    return result.value_or(mesh::TargetResult());
  }

  boost::asio::io_context context_;
  ScriptedTarget target_;
  std::unique_ptr<mesh::HttpClient> client_;
  TargetCodec codec_;
};

std::string Head(const std::string& id, const std::string& framing) {
  return "HTTP/1.1 200 OK\r\nX-Comfreylock-Request-Id: " + id +
         "\r\nX-Comfreylock-Server-Signature: s." + id + "\r\n" + framing +
         "\r\n\r\n";
}

std::string Whole(const std::string& id) {
  return Head(id, "Content-Length: 6") + "of-" + id + "!";
}

/// Refusals of an earlier request, as a target may repeat them.
std::vector<std::string> Refusals(const std::string& id) {
  std::string fields = "X-Comfreylock-Not-Executed: 1\r\n";
  std::string end = "Content-Length: 0\r\n\r\n";
  std::string named = "X-Comfreylock-Request-Id: " + id + "\r\n";
  return {"HTTP/1.1 503 Busy\r\n" + named + fields + end,
          "HTTP/1.1 503 Busy\r\n" + fields + end,
          "HTTP/1.1 429 Busy\r\n" + fields + end,
          "HTTP/1.1 421 Misdirected\r\n" + named + end,
          "HTTP/1.1 421 Misdirected\r\n" + end};
}

// Guards against 'not run' for a request that an upstream has run: a refusal of
// an earlier request arrives once more where the answer to the next is due.
TEST_F(AnswerTest, LateRefusalIsNotTheAnswerToTheNextRequest) {
  for (const std::string& refusal : Refusals("r1")) {
    for (const std::string& after : {Whole("r2"), std::string()}) {
      target_.SetAnswers({refusal, refusal + after});
      Kind first = Send("r1").kind;
      EXPECT_TRUE(first == Kind::kShed || first == Kind::kWrongTarget);
      mesh::TargetResult second = Send("r2");
      EXPECT_TRUE(second.kind == Kind::kOutcomeUnknown ||
                  (second.kind == Kind::kAnswered && second.body == "of-r2!"))
          << refusal;
      Reconnect();
    }
  }
}

// Guards against a success that is made up from part of a head: the target
// breaks off its answer within the head and closes the connection.
TEST_F(AnswerTest, HeadCutAtAnyByteIsNoAnswer) {
  for (const char* framing : {"Content-Length: 6", "Transfer-Encoding: chunked",
                              "Connection: close", "Content-Length: 0"}) {
    std::string head = Head("r2", framing);
    for (size_t cut = 0; cut < head.size(); ++cut) {
      target_.SetAnswers({Whole("r1"), head.substr(0, cut)});
      EXPECT_EQ(Send("r1").kind, Kind::kAnswered);
      EXPECT_EQ(Send("r2").kind, Kind::kOutcomeUnknown)
          << framing << ", cut at " << cut;
    }
  }
}

// Guards against a head that consists of parts of two answers: the target
// breaks off its answer within the head, and the answer to an earlier request
// follows once more. The caller would get another request's body, or 'not run'
// for a request that has run.
TEST_F(AnswerTest, CutHeadAndLateAnswerAreNoAnswer) {
  std::vector<std::string> late = Refusals("r1");
  late.push_back(Whole("r1"));
  late.emplace_back("HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nbad");
  std::string head = Head("r2", "X-Last: 1\r\nContent-Length: 6");
  for (const std::string& copy : late) {
    for (size_t cut = 1; cut < head.size() - 1; ++cut) {
      target_.SetAnswers({Whole("r1"), head.substr(0, cut) + copy});
      EXPECT_EQ(Send("r1").kind, Kind::kAnswered);
      EXPECT_EQ(Send("r2").kind, Kind::kOutcomeUnknown)
          << "cut at " << cut << ", then " << copy;
    }
  }
}

// Guards against an unreadable answer of the store that counts as proof that
// the configuration is unchanged, and against a list that one entry hides.
TEST(StoreAnswerTest, UnreadableEntryIsAnErrorOfThatEntry) {
  boost::asio::io_context context;
  ScriptedTarget server(context);
  KvStoreClient store(
      context, server.address(), [] { return TimePoint(); },
      [](StoreRequestId, StoreResult) {});
  auto call = [&](const StoreRequest& request, const std::string& body) {
    server.SetAnswers({"HTTP/1.1 200 OK\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body});
    std::optional<StoreResult> result;
    store.Call(request, 1000ms,
               [&](StoreResult read) { result = std::move(read); });
    for (int i = 0; i < 300 && !result; ++i) {
      context.restart();
      context.run_for(10ms);
    }
    return result.value_or(StoreFailure{"no result"});
  };
  StoreWatch watch;
  watch.key = "k";
  watch.once = true;
  for (const char* entry :
       {R"({"key": "k", "value": "YQ==", "revision": "1"})",
        R"({"key": "k", "value": "YQ==", "revision": 1e30})",
        R"({"key": "k", "value": "YQ==", "revision": -1})",
        R"({"key": "k", "value": 1, "revision": 1})", R"({"key": []})"}) {
    std::string text = entry;
    EXPECT_TRUE(
        std::holds_alternative<StoreFailure>(call(StoreRange{"k", ""}, text)))
        << entry;
    EXPECT_TRUE(std::holds_alternative<StoreFailure>(
        call(watch, R"({"as_of": 2, "events": [)" + text + "]}")))
        << entry;
    StoreResult list =
        call(StoreRange{"a", "b"},
             R"({"as_of": 2, "items": [)" + text +
                 R"(, {"key": "ok", "value": "YQ==", "revision": 2}]})");
    const auto* range = std::get_if<StoreRangeResult>(&list);
    ASSERT_TRUE(range) << entry;
    ASSERT_EQ(range->entries.size(), 2u);
    EXPECT_EQ(range->entries[0].value, "") << entry;
    EXPECT_EQ(range->entries[1].value, "a") << entry;
  }
}

// Guards against wrong bytes in a trailer that count as fields of the answer.
TEST_F(AnswerTest, TrailerFieldsAreNotFieldsOfTheAnswer) {
  target_.SetAnswers({Head("r1", "Transfer-Encoding: chunked") +
                      "2\r\nok\r\n0\r\nX-Comfreylock-Not-Executed: 1\r\n"
                      "X-Comfreylock-Request-Id: r0\r\n\r\n"});
  mesh::TargetResult result = Send("r1");
  EXPECT_EQ(result.kind, Kind::kAnswered);
  EXPECT_EQ(result.body, "ok");
}

// Guards against a success that is passed on although its head violates the
// rules for HTTP messages, and against a line that a target adds to its
// signature by folding.
TEST_F(AnswerTest, MalformedHeadIsNoAnswer) {
  std::vector<std::string> heads;
  for (const char* line :
       {" folded", "\tfolded", " folded: x", "X Y: z", "X\x01Y: z", "X : z"})
    heads.push_back(Head("r1", std::string(line) + "\r\nContent-Length: 6"));
  for (const char* status : {"000", "099", "600", "42", "1000"}) {
    std::string head = Head("r1", "Content-Length: 6");
    heads.push_back(head.replace(head.find("200"), 3, status));
  }
  for (const std::string& head : heads) {
    target_.SetAnswers({head + "of-r1!", ""});
    auto start = std::chrono::steady_clock::now();
    mesh::TargetResult result = Send("r1");
    EXPECT_EQ(result.kind, Kind::kOutcomeUnknown) << head;
    EXPECT_EQ(result.body, "") << head;
    // Less than the timeout of the exchange.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 250ms) << head;
    Reconnect();
  }
}

}  // namespace
}  // namespace comfreylock::platform
