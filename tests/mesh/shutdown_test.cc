#include <gtest/gtest.h>

#include "reducer_fixture.h"

/// Requests that reach a node between SIGTERM and its exit: each gets an answer
/// before the process is killed, 6 s after the signal.
namespace comfreylock::mesh {
namespace {

class ShutdownTest : public MeshReducerTest {
 protected:
  ShutdownTest() { Configure(); }

  /// Starts a shutdown.
  /// @param slots of the target beside the node.
  void StopNode(uint32_t slots) {
    slots_ = slots;
    Report();
    wire::Hello hello;
    hello.set_node("there");
    Feed(LinkOpened{kLink, hello, true});
    Feed(ShutdownRequested{});
  }

  /// Starts a shutdown while another node serves as well.
  /// @return the link to that node.
  LinkId StopNodeBesideOther() {
    other_ = ConnectNode("there");
    StopNode(4);
    return other_;
  }

  void RemoveRouteTimeouts() {
    auto config = MakeConfig(6);
    for (Route& route : config->hosts["h"])
      route.timeout = 20s;
    Feed(ConfigRead{config, now_});
  }

  void Report() {
    TargetReport report = MakeReport("i1", 1, ++sequence_);
    report.slots = slots_;
    Feed(TargetReported{report});
  }

  /// Advances the time by steps up to `end` after the shutdown request.
  /// @return the effects of all steps.
  Effects AdvanceTo(milliseconds end) {
    Effects all;
    while (now_ < start_ + end) {
      Report();
      Feed(ConfigRead{nullptr, now_});
      if (other_)
        SendLoad(other_);
      std::ranges::move(Advance(100ms), std::back_inserter(all));
    }
    return all;
  }

  void EndWork(WorkId work) {
    TargetResult result;
    result.kind = TargetResult::Kind::kAnswered;
    result.success = true;
    result.status = 200;
    Feed(TargetAnswered{work, result});
  }

  static std::vector<wire::Outcome> Outcomes(const Effects& effects) {
    std::vector<wire::Outcome> outcomes;
    for (const SendFrame& sent : All<SendFrame>(effects)) {
      if (sent.frame->has_outcome())
        outcomes.push_back(sent.frame->outcome());
    }
    return outcomes;
  }

  static constexpr LinkId kLink{77};
  const TimePoint start_ = now_;
  LinkId other_;  ///< Link to another node, if there is one.
  uint32_t slots_ = 0;
  uint64_t sequence_ = 0;
};

// Guards against requests to public routes that are taken until the exit and
// then cut (review/8). They look like onward calls of the target.
TEST_F(ShutdownTest, RequestWithoutKeyIsTakenOnlyIfItEndsBeforeExit) {
  StopNodeBesideOther();
  AdvanceTo(4200ms);
  EXPECT_EQ(All<SendForward>(SendCall("/inner/1", "")).size(), 1u);
  auto refused = All<RefuseCall>(SendCall("/inner/2", "", "", 2000ms));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kDraining);
  EXPECT_TRUE(refused[0].not_run);
  AdvanceTo(4500ms);
  refused = All<RefuseCall>(SendCall("/inner/3", ""));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kDraining);
}

// An onward call of a request that the target runs is no sign that callers
// still send, and a request of a caller is.
TEST_F(ShutdownTest, CallersOfPublicRoutesPostponeExit) {
  StopNode(4);
  AdvanceTo(2000ms);
  for (const RunOnTarget& run : All<RunOnTarget>(SendCall("/inner/1", "")))
    EndWork(run.work);
  EXPECT_TRUE(All<Exit>(AdvanceTo(2600ms)).empty());
  EXPECT_EQ(All<Exit>(AdvanceTo(2800ms)).size(), 1u);
}

// Guards against requests of other nodes that are cut when this node exits.
TEST_F(ShutdownTest, RequestOfOtherNodeIsTakenOnlyIfItEndsBeforeExit) {
  StopNode(4);
  AdvanceTo(3000ms);
  Effects effects = Feed(FrameReceived{kLink, ForwardFrame(1, now_, 2000ms)});
  EXPECT_EQ(All<RunOnTarget>(effects).size(), 1u);
  effects = Feed(FrameReceived{kLink, ForwardFrame(2, now_, 3000ms)});
  EXPECT_TRUE(All<RunOnTarget>(effects).empty());
  auto outcomes = Outcomes(effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].kind(), wire::Outcome::NOT_RUN);
}

// Guards against a placement, here the second one of a request, on a target
// that is expected to answer only after the exit.
TEST_F(ShutdownTest, RequestIsNotPlacedWhereItWouldEndTooLate) {
  RemoveRouteTimeouts();
  LinkId link = StopNodeBesideOther();
  AdvanceTo(2600ms);
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_load()->set_serving(true);
  frame->mutable_load()->set_slots(10);
  frame->mutable_load()->set_service("shop");
  frame->mutable_load()->set_service_time_us(1'400'000);
  auto* row = frame->mutable_load()->add_route_times();
  row->set_route("order");
  row->set_time_us(1'400'000);
  Feed(FrameReceived{link, frame});
  TargetReported leave = LeaveOf("i1", CallId());
  Feed(leave);
  auto refused = All<RefuseCall>(SendCall("/order/1", "key", "", 9000ms));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kDraining);
  EXPECT_TRUE(refused[0].not_run);
}

// Guards against connections that end without an answer at the exit. What has
// not been started is refused as not run.
TEST_F(ShutdownTest, RemainingRequestsAreAnsweredBeforeExit) {
  StopNode(1);
  AdvanceTo(100ms);
  RemoveRouteTimeouts();
  auto run = All<RunOnTarget>(SendCall("/order/1", "key", "", 9000ms));
  ASSERT_EQ(run.size(), 1u);
  CallId running{calls_};
  ASSERT_TRUE(All<RefuseCall>(SendCall("/order/2", "key", "", 9000ms)).empty());
  CallId queued{calls_};
  Feed(FrameReceived{kLink, ForwardFrame(1, now_, 9000ms)});
  Effects effects = AdvanceTo(5500ms);
  EXPECT_EQ(All<Exit>(effects).size(), 1u);
  auto refused = All<RefuseCall>(effects);
  ASSERT_EQ(refused.size(), 2u);
  for (const RefuseCall& refusal : refused) {
    EXPECT_TRUE(refusal.call == running || refusal.call == queued);
    EXPECT_EQ(refusal.not_run, refusal.call == queued);
  }
  EXPECT_EQ(All<AbortOnTarget>(effects).size(), 1u);
  auto outcomes = Outcomes(effects);
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].kind(), wire::Outcome::NOT_RUN);
}

// Guards against work that is started late in the shutdown and aborted at its
// end, while the entry node, which is stopping too, answers in its place.
TEST_F(ShutdownTest, QueuedRequestThatMayEndAfterExitIsNotStartedLate) {
  StopNode(1);
  Feed(FrameReceived{kLink, ForwardFrame(1, now_, 9000ms)});
  Feed(FrameReceived{kLink, ForwardFrame(2, now_, 9000ms)});
  Feed(FrameReceived{kLink, ForwardFrame(3, now_, 5000ms)});
  EXPECT_TRUE(Outcomes(AdvanceTo(2600ms)).empty());
  auto outcomes = Outcomes(AdvanceTo(2900ms));
  ASSERT_EQ(outcomes.size(), 1u);
  EXPECT_EQ(outcomes[0].stream(), 2u);
  EXPECT_EQ(outcomes[0].kind(), wire::Outcome::NOT_RUN);
}

// The node that runs a request for a caller of this one says whether it has
// run; without its outcome the caller is told that it may have.
TEST_F(ShutdownTest, RequestAtOtherNodeIsAnsweredWithItsOutcome) {
  LinkId link = ConnectNode("there");
  RemoveRouteTimeouts();
  Feed(ShutdownRequested{});
  std::vector<uint64_t> streams;
  for (int i = 0; i < 2; ++i) {
    auto sent = All<SendForward>(SendCall("/order/1", "key", "", 9000ms));
    ASSERT_EQ(sent.size(), 1u);
    streams.push_back(sent[0].forward->stream());
  }
  Effects effects;
  while (now_ < start_ + 5300ms) {
    SendLoad(link);
    std::ranges::move(Advance(100ms), std::back_inserter(effects));
  }
  EXPECT_TRUE(All<RefuseCall>(effects).empty());
  auto frames = All<SendFrame>(effects);
  EXPECT_EQ(std::ranges::count_if(
                frames, [](const auto& i) { return i.frame->has_cancel(); }),
            2);
  auto refused =
      All<RefuseCall>(SendOutcome(link, streams[0], wire::Outcome::NOT_RUN));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_TRUE(refused[0].not_run);
  effects = AdvanceTo(5600ms);
  EXPECT_EQ(All<Exit>(effects).size(), 1u);
  refused = All<RefuseCall>(effects);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].not_run);
}

}  // namespace
}  // namespace comfreylock::mesh
