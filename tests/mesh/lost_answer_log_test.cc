#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "reducer_fixture.h"

/// What the log lines of the nodes tell about an answer that was lost.
namespace comfreylock::mesh {
namespace {

class LostAnswerLogTest : public MeshReducerTest {
 protected:
  LostAnswerLogTest() { Configure(); }

  /// @return the fields of the lines with this code, one entry for each line.
  static std::vector<std::map<std::string, std::string>> Lines(
      const Effects& effects,
      LogCode code) {
    std::vector<std::map<std::string, std::string>> lines;
    for (const WriteLogLine& line : All<WriteLogLine>(effects)) {
      if (line.code == code)
        lines.emplace_back(line.fields.begin(), line.fields.end());
    }
    return lines;
  }

  /// Sends a request that is not tried again to another node.
  /// @return its stream on `link`.
  uint64_t SendOrder() {
    auto sent = All<SendForward>(SendCall("/order/1"));
    return sent.empty() ? 0 : sent[0].forward->stream();
  }

  /// Opens a link as another node does, and receives a request on it.
  Effects TakeRequestOfOther(uint64_t stream) {
    if (stream == 1) {
      wire::Hello hello;
      hello.set_node("there");
      Feed(LinkOpened{kAccepted, hello, true});
    }
    Feed(TargetReported{MakeReport("i1", 1, 1)});
    return Feed(FrameReceived{kAccepted, ForwardFrame(stream, now_)});
  }

  static constexpr LinkId kAccepted{77};
};

// Guards against a lost link that cannot be told from a target that broke off:
// both are refused as target_failed.
TEST_F(LostAnswerLogTest, RefusalNamesTheLastResultWithoutAnswer) {
  LinkId link = ConnectNode("there");
  for (const char* reason : {"broken", "cancelled", "memory"}) {
    uint64_t stream = SendOrder();
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_outcome()->set_stream(stream);
    frame->mutable_outcome()->set_kind(wire::Outcome::UNKNOWN);
    frame->mutable_outcome()->set_reason(reason);
    auto lines = Lines(Feed(FrameReceived{link, frame}), LogCode::kCallRefused);
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0]["reason"], "target_failed");
    EXPECT_EQ(lines[0]["cause"], reason);
  }
  SendOrder();
  auto lines = Lines(Feed(LinkClosed{link}), LogCode::kCallRefused);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["reason"], "target_failed");
  EXPECT_EQ(lines[0]["cause"], "link_lost");
}

// Guards against a cause that names the result of an earlier attempt although
// the last one was answered, and against one where nothing was tried.
TEST_F(LostAnswerLogTest, RefusalWithoutSuchAResultHasNoCause) {
  auto lines = Lines(SendCall("/order/1"), LogCode::kCallRefused);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["reason"], "no_target");
  ASSERT_TRUE(lines[0].contains("cause"));
  EXPECT_EQ(lines[0]["cause"], "");
  LinkId link = ConnectNode("there");
  auto sent = All<SendForward>(SendCall("/read/1"));
  ASSERT_EQ(sent.size(), 1u);
  // The only target fails, so that there is none for the second attempt.
  lines = Lines(SendOutcome(link, sent[0].forward->stream(),
                            wire::Outcome::ANSWERED, 500),
                LogCode::kCallRefused);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["cause"], "");
}

// Guards against works that end with a link of another node without a line at
// the node that ran them, and against a line for each idle link that ends.
TEST_F(LostAnswerLogTest, AcceptedLinkWithWorksIsLoggedWhenLost) {
  ASSERT_EQ(All<RunOnTarget>(TakeRequestOfOther(1)).size(), 1u);
  ASSERT_EQ(All<RunOnTarget>(TakeRequestOfOther(2)).size(), 1u);
  Effects effects = Feed(LinkClosed{kAccepted});
  EXPECT_EQ(All<AbortOnTarget>(effects).size(), 2u);
  auto lines = Lines(effects, LogCode::kLinkLost);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["peer"], "there");
  EXPECT_EQ(lines[0]["reason"], "closed");
  EXPECT_EQ(lines[0]["accepted"], "true");
  EXPECT_EQ(lines[0]["calls"], "0");
  EXPECT_EQ(lines[0]["works"], "2");
  wire::Hello hello;
  hello.set_node("there");
  Feed(LinkOpened{kAccepted, hello, true});
  EXPECT_TRUE(Lines(Feed(LinkClosed{kAccepted}), LogCode::kLinkLost).empty());
}

// Guards against a link of this node whose line does not tell it from one that
// the other node opened, and against losing its number of calls.
TEST_F(LostAnswerLogTest, OpenedLinkIsLoggedWithItsCalls) {
  LinkId link = ConnectNode("there");
  SendOrder();
  auto lines = Lines(Feed(LinkClosed{link}), LogCode::kLinkLost);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["accepted"], "false");
  EXPECT_EQ(lines[0]["calls"], "1");
  EXPECT_EQ(lines[0]["works"], "0");
}

// Guards against an exit that does not tell what it cuts: a request that other
// nodes wait for, and answers that callers have not read.
TEST_F(LostAnswerLogTest, ExitTellsWhatIsUnfinished) {
  LinkId link = ConnectNode("there");
  auto config = MakeConfig(6);
  for (Route& route : config->hosts["h"])
    route.timeout = 20s;
  Feed(ConfigRead{config, now_});
  Feed(ShutdownRequested{});
  auto since = now_;
  ASSERT_EQ(All<SendForward>(SendCall("/order/1", "key", "", 9000ms)).size(),
            1u);
  std::vector<std::map<std::string, std::string>> lines;
  while (lines.empty() && now_ < since + 10s) {
    now_ += 100ms;
    SendLoad(link);
    lines = Lines(Feed(Tick{3}), LogCode::kNodeStopped);
  }
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0]["calls"], "1");
  EXPECT_EQ(lines[0]["works"], "0");
  EXPECT_EQ(lines[0]["unfinished_writes"], "3");
  EXPECT_EQ(lines[0]["draining_ms"], std::to_string((now_ - since) / 1ms));
}

}  // namespace
}  // namespace comfreylock::mesh
