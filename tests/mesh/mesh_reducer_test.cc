#include "mesh/mesh_reducer.h"

#include "mesh/frame_check.h"
#include "reducer_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>

/// Decisions of a single mesh reducer, event by event.
namespace comfreylock::mesh {
namespace {

TEST_F(MeshReducerTest, RequestBeforeFirstConfigRefusedAsNotRun) {
  auto refused = All<RefuseCall>(SendCall("/read/1"));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kNoBundle);
  EXPECT_TRUE(refused[0].not_run);
}

TEST_F(MeshReducerTest,
       UnknownKeyOrRouteRefusedPermanentlyOnlyWithFreshConfig) {
  Configure();
  EXPECT_EQ(All<RefuseCall>(SendCall("/none/1"))[0].reason, Reason::kNoRoute);
  EXPECT_EQ(All<RefuseCall>(SendCall("/read/1", "x"))[0].reason,
            Reason::kKeyUnknown);
  Advance(4s);
  EXPECT_EQ(All<RefuseCall>(SendCall("/none/1"))[0].reason, Reason::kIsolated);
  EXPECT_EQ(All<RefuseCall>(SendCall("/read/1", "x"))[0].reason,
            Reason::kIsolated);
}

// Guards against accepting a key that was withdrawn while the store was
// unreachable.
TEST_F(MeshReducerTest, KeysRejectedAfterWithdrawalBound) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1")).size(), 1u);
  Advance(4800ms);
  Feed(TargetReported{MakeReport("i1", 1, 2)});
  auto refused = All<RefuseCall>(SendCall("/read/1"));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kIsolated);
  EXPECT_TRUE(All<RefuseCall>(SendCall("/inner/1", "")).empty());
}

TEST_F(MeshReducerTest, OlderConfigIgnored) {
  Configure();
  auto older = MakeConfig(4);
  older->keys.clear();
  Feed(ConfigRead{older, now_});
  EXPECT_EQ(node_->config()->version, 5u);
}

TEST_F(MeshReducerTest, RequestNamesReportedTarget) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  auto run = All<RunOnTarget>(SendCall("/read/1"));
  ASSERT_EQ(run.size(), 1u);
  EXPECT_EQ(run[0].target_id, "i1");
}

// Guards against work for a target that has confirmed that it leaves. The leave
// message contains only the id, and reports of the same incarnation can arrive
// after it.
TEST_F(MeshReducerTest, LeaveOverridesLaterReportOfSameIncarnation) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 7, 1)});
  TargetReport leave;
  leave.id = "i1";
  leave.leaving = true;
  Feed(TargetReported{leave});
  EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty());
  Feed(TargetReported{MakeReport("i1", 7, 2)});
  EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty());
  // A new incarnation may have the same id.
  Feed(TargetReported{MakeReport("i1", 8, 1)});
  EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1")).size(), 1u);
}

TEST_F(MeshReducerTest, LateReportOfPreviousTargetIgnored) {
  Configure();
  Feed(TargetReported{MakeReport("i2", 9, 1)});
  Feed(TargetReported{MakeReport("i1", 7, 30)});
  EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1"))[0].target_id, "i2");
  TargetReport other = MakeReport("i3", 10, 1);
  other.service = "unknown";
  Feed(TargetReported{other});
  other = MakeReport("i4", 10, 1);
  other.address = "elsewhere:2";
  Feed(TargetReported{other});
  EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1"))[0].target_id, "i2");
}

TEST_F(MeshReducerTest, ReplacedTargetUnusedUntilNewReport) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  auto run = All<RunOnTarget>(SendCall("/read/1"));
  TargetResult result;
  result.kind = TargetResult::Kind::kWrongTarget;
  auto refused = All<RefuseCall>(Feed(TargetAnswered{run[0].work, result}));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_TRUE(refused[0].not_run);
  EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty());
}

TEST_F(MeshReducerTest, OnlyIdempotentRequestRetriedAfterUnknownOutcome) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  ConnectNode("there");
  for (const char* path : {"/order/1", "/read/1"}) {
    // Either target may be chosen; both fail with an unknown outcome.
    Effects effects = SendCall(path);
    auto run = All<RunOnTarget>(effects);
    auto sent = All<SendForward>(effects);
    ASSERT_EQ(run.size() + sent.size(), 1u);
    Effects after;
    if (!run.empty()) {
      after = Feed(TargetAnswered{run[0].work, TargetResult{}});
    } else {
      after = SendOutcome(sent[0].link, sent[0].forward->stream(),
                          wire::Outcome::UNKNOWN);
    }
    bool retried =
        !All<RunOnTarget>(after).empty() || !All<SendForward>(after).empty();
    EXPECT_EQ(retried, path == std::string("/read/1")) << path;
    if (!retried) {
      EXPECT_FALSE(All<RefuseCall>(after).at(0).not_run);
    }
  }
}

TEST_F(MeshReducerTest, RefusedPlacementRetriedOnOtherNode) {
  Configure();
  LinkId link = ConnectNode("there");
  auto sent = All<SendForward>(SendCall("/order/1"));
  ASSERT_EQ(sent.size(), 1u);
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  Effects after =
      SendOutcome(link, sent[0].forward->stream(), wire::Outcome::NOT_RUN);
  EXPECT_EQ(All<RunOnTarget>(after).size(), 1u);
}

TEST_F(MeshReducerTest, LostLinkLeavesOutcomeUnknown) {
  Configure();
  LinkId link = ConnectNode("there");
  ASSERT_EQ(All<SendForward>(SendCall("/order/1")).size(), 1u);
  auto refused = All<RefuseCall>(Feed(LinkClosed{link}));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_FALSE(refused[0].not_run);
}

// At the deadline the caller is answered at once and the target's node is sent
// a cancellation.
TEST_F(MeshReducerTest, TimeoutAnswersCallerAndCancelsWork) {
  Configure();
  LinkId link = ConnectNode("there");
  ASSERT_EQ(All<SendForward>(SendCall("/order/1")).size(), 1u);
  SendLoad(link);
  Effects effects = Advance(1001ms);
  auto refused = All<RefuseCall>(effects);
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kDeadline);
  EXPECT_FALSE(refused[0].not_run);
  auto frames = All<SendFrame>(effects);
  EXPECT_TRUE(std::ranges::any_of(
      frames, [](const SendFrame& sent) { return sent.frame->has_cancel(); }));
}

TEST_F(MeshReducerTest, CallerDisconnectAbortsWork) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  auto run = All<RunOnTarget>(SendCall("/read/1"));
  ASSERT_EQ(run.size(), 1u);
  auto aborted = All<AbortOnTarget>(Feed(CallerDisconnected{CallId{calls_}}));
  ASSERT_EQ(aborted.size(), 1u);
  EXPECT_EQ(aborted[0].work, run[0].work);
}

// Guards against work for callers that disconnected while their request was
// delayed on a full link or at a node without processor time.
TEST_F(MeshReducerTest, RequestDelayedInTransitNotRun) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  wire::Hello hello;
  hello.set_node("there");
  Feed(LinkOpened{LinkId{77}, hello, true});
  // The clocks of two hosts differ.
  TimePoint remote_now = now_ - 70s;
  auto prompt = All<RunOnTarget>(
      Feed(FrameReceived{LinkId{77}, ForwardFrame(1, remote_now)}));
  EXPECT_EQ(prompt.size(), 1u);
  now_ += 900ms;
  Effects effects =
      Feed(FrameReceived{LinkId{77}, ForwardFrame(2, remote_now + 100ms)});
  EXPECT_TRUE(All<RunOnTarget>(effects).empty());
  auto frames = All<SendFrame>(effects);
  ASSERT_EQ(frames.size(), 1u);
  EXPECT_EQ(frames[0].frame->outcome().kind(), wire::Outcome::NOT_RUN);
}

TEST_F(MeshReducerTest, CancelledRequestAlwaysAnswered) {
  Configure();
  TargetReport report = MakeReport("i1", 1, 1);
  report.slots = 1;
  Feed(TargetReported{report});
  wire::Hello hello;
  hello.set_node("there");
  Feed(LinkOpened{LinkId{77}, hello, true});
  Feed(FrameReceived{LinkId{77}, ForwardFrame(1, now_)});
  Feed(FrameReceived{LinkId{77}, ForwardFrame(2, now_)});
  auto cancel = [this](uint64_t stream) {
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_cancel()->set_stream(stream);
    return All<SendFrame>(Feed(FrameReceived{LinkId{77}, frame}));
  };
  // The queued request has not run; the running one may have.
  EXPECT_EQ(cancel(2).at(0).frame->outcome().kind(), wire::Outcome::NOT_RUN);
  EXPECT_EQ(cancel(1).at(0).frame->outcome().kind(), wire::Outcome::UNKNOWN);
}

// Guards against a segmentation fault (scenario ertis-etch, trouble-3, seed
// 433144827232): a member whose record had expired was removed with its old
// link while its new record was being read.
TEST_F(MeshReducerTest, RestartAfterRecordExpiryKeepsMember) {
  Configure();
  ConnectNode("there");
  Advance(31s);
  AnswerStore({});
  EXPECT_EQ(node_->StatusAt(now_).members, 1u);
  opened_links_.clear();
  Advance(31s);
  AnswerStore({{"there", 2}});
  ASSERT_EQ(opened_links_.size(), 1u);
  EXPECT_EQ(opened_links_[0].address, AddressOf("there"));
  EXPECT_EQ(node_->StatusAt(now_).members, 1u);
}

// All nodes start at once. Guards against two nodes that each read the records
// before the other has written its own, and never learn of each other.
TEST_F(MeshReducerTest, ReadsMembersAfterWritingOwnRecord) {
  auto reads_members = [this] {
    return std::ranges::any_of(store_calls_, [](const CallStore& store_call) {
      const auto* range = std::get_if<StoreRange>(&store_call.request);
      return range && !range->range_end.empty();
    });
  };
  Feed(Tick{});
  EXPECT_FALSE(reads_members());
  // The store does not answer: the records are read without the own one.
  Advance(900ms);
  EXPECT_FALSE(reads_members());
  Advance(200ms);
  EXPECT_TRUE(reads_members());
  store_calls_.clear();
  node_ = std::make_unique<MeshReducer>(identity_, now_);
  ConnectNode("there");
  EXPECT_EQ(node_->StatusAt(now_).members, 1u);
}

// Guards against stores that each of n nodes reads n times while n nodes
// restart, and against members that stay after their host was lost.
TEST_F(MeshReducerTest, UnreachableMemberCausesFewReadsUntilItIsRemoved) {
  LinkId link = ConnectNode("there");
  Feed(LinkClosed{link});
  int reads = 0;
  auto run = [&](milliseconds time,
                 const std::vector<std::pair<std::string, uint64_t>>& nodes) {
    for (milliseconds passed{0}; passed < time; passed += 100ms) {
      Advance(100ms);
      for (const CallStore& store_call : store_calls_) {
        const auto* range = std::get_if<StoreRange>(&store_call.request);
        reads += range ? 1 : 0;
        EXPECT_TRUE(!range || range->serializable);
      }
      AnswerStore(nodes);
      for (const OpenLink& open : std::exchange(opened_links_, {}))
        CollectOpenLinks(Feed(LinkClosed{open.link}));
    }
  };
  run(3s, {{"there", 1}});
  EXPECT_EQ(reads, 0);
  run(9s, {{"there", 1}});
  EXPECT_GE(reads, 1);
  EXPECT_LE(reads, 2);
  EXPECT_EQ(node_->StatusAt(now_).members, 1u);
  run(5s, {});
  EXPECT_EQ(node_->StatusAt(now_).members, 0u);
}

// The target beside a node was replaced by one of another service, and the
// node's record is older. Guards against a target that is not used for some
// time after each read of the records.
TEST_F(MeshReducerTest, ReadOfRecordsKeepsServiceOfLoadReport) {
  recorded_service_ = "annex";
  LinkId link = ConnectNode("there");
  Advance(31s);
  Configure();
  SendLoad(link);
  ASSERT_EQ(All<SendForward>(SendCall("/read/1")).size(), 1u);
  AnswerStore({{"there", 1}});
  EXPECT_EQ(All<SendForward>(SendCall("/read/2")).size(), 1u);
}

// A node stops, and stays a member until the records are read again. Guards
// against duties that no node performs meanwhile: keys are refused without
// confirmations of the configuration, and rates are not divided.
TEST_F(MeshReducerTest, UnreachableMembersHaveNoDuties) {
  Configure();
  std::vector<std::pair<std::string, uint64_t>> nodes;
  for (int i = 0; i < 40; ++i)
    nodes.emplace_back("node-" + std::to_string(i), 1);
  Feed(Tick{});
  AnswerStore(nodes);
  std::vector<OpenLink> links = std::exchange(opened_links_, {});
  ASSERT_EQ(links.size(), 40u);
  EXPECT_TRUE(node_->StatusAt(now_).polls_config);
  for (const OpenLink& open : links) {
    wire::Hello hello;
    hello.set_node(NameOf(open.address));
    Feed(LinkOpened{open.link, hello, false});
  }
  EXPECT_FALSE(node_->StatusAt(now_).polls_config);
  for (const OpenLink& open : links)
    Feed(LinkClosed{open.link});
  EXPECT_TRUE(node_->StatusAt(now_).polls_config);
  EXPECT_EQ(node_->StatusAt(now_).members, 40u);
}

// An entry of another writer among the records, or what another program says on
// a link. Guards against members that no link can reach: they would count in
// the division of rates, and cause reads of the records again and again.
TEST_F(MeshReducerTest, RecordWithoutUsableAddressAddsNoMember) {
  Feed(Tick{});
  std::vector<StoreEntry> entries = MakeRecords({{"there", 1}});
  for (const char* address :
       {"", "x", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:x",
        "127.0.0.1:-1", "127.0.0.1:18446744073709551617", "0.0.0.0:80",
        "host:80", ":80", "[::1:80"}) {
    wire::NodeRecord record;
    record.mutable_node()->set_node("odd");
    record.set_address(address);
    entries.push_back({"comfreylock/nodes/odd", record.SerializeAsString()});
    wire::Hello hello;
    hello.set_node("odd");
    hello.set_address(address);
    wire::Frame frame;
    *frame.mutable_hello() = hello;
    if (*address)
      EXPECT_THROW(CheckFrame(frame), InputError) << address;
  }
  entries.push_back({"comfreylock/nodes/odd", std::string(3000, '\x0a')});
  entries.push_back(
      {"comfreylock/nodes/", wire::NodeRecord().SerializeAsString()});
  for (int i = 0; i < 20 && node_->StatusAt(now_).members == 0; ++i) {
    for (const CallStore& store_call : std::exchange(store_calls_, {})) {
      StoreResult result = StoreLeaseResult{1, 9s};
      if (std::holds_alternative<StoreTransaction>(store_call.request))
        result = StoreTransactionResult{true, 1};
      if (const auto* range = std::get_if<StoreRange>(&store_call.request)) {
        StoreRangeResult found;
        if (!range->range_end.empty())
          found.entries = entries;
        result = found;
      }
      CollectOpenLinks(Feed(StoreReplied{store_call.call, result}));
    }
    CollectOpenLinks(Advance(100ms));
  }
  EXPECT_EQ(node_->StatusAt(now_).members, 1u);
  ASSERT_EQ(opened_links_.size(), 1u);
  EXPECT_EQ(opened_links_[0].address, AddressOf("there"));
}

// Guards against a node that has just joined and is forgotten until the next
// read, because a read that is some seconds old lacks its record.
TEST_F(MeshReducerTest, OldReadKeepsNodeThatJustJoined) {
  ConnectNode("there");
  Advance(31s);
  wire::Hello hello;
  hello.set_node("new");
  hello.set_address(AddressOf("new"));
  Feed(LinkOpened{LinkId{uint64_t{1} << 63}, hello, true});
  AnswerStore({{"there", 1}});
  EXPECT_EQ(node_->StatusAt(now_).members, 2u);
}

// A node is replaced at another address and opens a link before its new record
// is seen.
TEST_F(MeshReducerTest, HelloReplacesAddressOfEarlierIncarnation) {
  LinkId link = ConnectNode("there");
  Feed(LinkClosed{link});
  wire::Hello hello;
  hello.set_node("there");
  hello.set_boot(2);
  hello.set_address(AddressOf("elsewhere"));
  opened_links_.clear();
  Feed(LinkOpened{LinkId{uint64_t{1} << 63}, hello, true});
  CollectOpenLinks(Advance(0ms));
  ASSERT_EQ(opened_links_.size(), 1u);
  EXPECT_EQ(opened_links_.front().address, AddressOf("elsewhere"));
}

// Guards against lost requests (scenario gyfck-mesh, trouble-3, check LOST):
// the record of a restarted node arrived after the link to the new incarnation
// was open, and the link was closed with the requests on it.
TEST_F(MeshReducerTest, LateRecordKeepsLinkToNewIncarnation) {
  ConnectNode("there");
  Advance(29s);
  Configure();
  Feed(LinkClosed{opened_links_.back().link});
  auto reopened = All<OpenLink>(Advance(1ms));
  ASSERT_EQ(reopened.size(), 1u);
  wire::Hello hello;
  hello.set_node("there");
  hello.set_boot(2);
  Feed(LinkOpened{reopened[0].link, hello, false});
  SendLoad(reopened[0].link);
  Advance(500ms);
  auto placed = All<SendForward>(SendCall("/read/1"));
  ASSERT_EQ(placed.size(), 1u);
  Effects effects = Advance(600ms);
  for (const Effect& effect : AnswerStore({{"there", 2}}))
    effects.push_back(effect);
  EXPECT_TRUE(All<CloseLink>(effects).empty());
  EXPECT_TRUE(All<RefuseCall>(effects).empty());
  // The record of a newer incarnation closes the link to the older one.
  Advance(31s);
  EXPECT_EQ(All<CloseLink>(AnswerStore({{"there", 3}})).size(), 1u);
}

TEST_F(MeshReducerTest, RestartedNodeUsesRecordedTarget) {
  Feed(ConfigRead{MakeConfig(5), now_});
  Feed(Tick{});
  wire::TargetRecord record;
  record.set_id("i1");
  record.set_service("shop");
  record.set_address("here:2");
  record.set_slots(4);
  ReplyWithTargetRecord(record, 3);
  EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1")).size(), 1u);
}

// Guards against a target that has left and is used again after a restart of
// its node, because a report from before the leave arrives late.
TEST_F(MeshReducerTest, RestartedNodeIgnoresLateReportOfDepartedTarget) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 7, 1)});
  Feed(LeaveOf("i1", CallId{1}));
  wire::TargetRecord record;
  for (int i = 0; i < 10; ++i) {
    auto write = TakeTargetRecordCall();
    if (!write)
      break;
    auto transaction = std::get<StoreTransaction>(write->request);
    ASSERT_TRUE(record.ParseFromString(transaction.puts[0].value));
    Feed(StoreReplied{write->call, StoreTransactionResult{true, 5 + i}});
  }
  // A release that does not know the departed targets must find no target.
  EXPECT_EQ(record.id(), "");
  // The report may arrive before the record was read, or after it.
  for (bool early : {true, false}) {
    store_calls_.clear();
    node_ = std::make_unique<MeshReducer>(identity_, now_);
    Feed(ConfigRead{MakeConfig(5), now_});
    Feed(Tick{});
    if (early)
      Feed(TargetReported{MakeReport("i1", 7, 30)});
    EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty());
    ReplyWithTargetRecord(record, 9);
    if (!early)
      Feed(TargetReported{MakeReport("i1", 7, 30)});
    EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty()) << early;
    // Nor is a target used that started before the one that left.
    Feed(TargetReported{MakeReport("i0", 6, 1)});
    EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty()) << early;
    Feed(TargetReported{MakeReport("i1", 8, 1)});
    EXPECT_EQ(All<RunOnTarget>(SendCall("/read/1")).size(), 1u) << early;
  }
}

// Guards against a confirmed leave that is lost with the process: the store
// must hold it before it is confirmed.
TEST_F(MeshReducerTest, LeaveIsConfirmedOnceWritten) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 7, 1)});
  auto first = TakeTargetRecordCall();
  ASSERT_TRUE(first);
  Feed(StoreReplied{first->call, StoreTransactionResult{true, 5}});
  EXPECT_TRUE(All<ReplyToReport>(Feed(LeaveOf("i1", CallId{1}))).empty());
  // The leave applies at once, and is confirmed when it is written.
  EXPECT_TRUE(All<RunOnTarget>(SendCall("/read/1")).empty());
  auto write = TakeTargetRecordCall();
  ASSERT_TRUE(write);
  Feed(StoreReplied{write->call, StoreFailure{"status 503", false}});
  auto late = All<ReplyToReport>(Advance(900ms));
  ASSERT_EQ(late.size(), 1u);
  EXPECT_FALSE(late[0].confirmed);
  // The target reports it again.
  EXPECT_TRUE(All<ReplyToReport>(Feed(LeaveOf("i1", CallId{2}))).empty());
  write = TakeTargetRecordCall();
  ASSERT_TRUE(write);
  auto confirmed = All<ReplyToReport>(
      Feed(StoreReplied{write->call, StoreTransactionResult{true, 6}}));
  ASSERT_EQ(confirmed.size(), 1u);
  EXPECT_EQ(confirmed[0].call, CallId{2});
  EXPECT_TRUE(confirmed[0].confirmed);
  // A further copy is confirmed at once, as are ordinary reports.
  EXPECT_EQ(All<ReplyToReport>(Feed(LeaveOf("i1", CallId{3}))).size(), 1u);
  EXPECT_EQ(All<ReplyToReport>(
                Feed(TargetReported{MakeReport("i2", 8, 1), CallId{4}}))
                .size(),
            1u);
}

// A leave that arrives before the record was read, and one of another target,
// are written before they are confirmed as well.
TEST_F(MeshReducerTest, EveryLeaveIsWrittenBeforeItIsConfirmed) {
  Feed(ConfigRead{MakeConfig(5), now_});
  Feed(Tick{});
  EXPECT_TRUE(All<ReplyToReport>(Feed(LeaveOf("i1", CallId{1}))).empty());
  wire::TargetRecord record;
  record.set_id("i2");
  record.set_service("shop");
  record.set_address("here:2");
  record.set_slots(4);
  record.set_born(3);
  ReplyWithTargetRecord(record, 3);
  for (CallId call : {CallId{1}, CallId{2}}) {
    auto write = TakeTargetRecordCall();
    ASSERT_TRUE(write);
    EXPECT_EQ(
        All<ReplyToReport>(
            Feed(StoreReplied{write->call, StoreTransactionResult{true, 4}}))
            .size(),
        1u);
    Feed(TargetReported{MakeReport("i3", 9, 1)});
    auto next = TakeTargetRecordCall();
    if (next)
      Feed(StoreReplied{next->call, StoreTransactionResult{true, 5}});
    if (call == CallId{1}) {
      TargetReported leave = LeaveOf("i4", CallId{2});
      leave.report.started_at_ms = 12;
      EXPECT_TRUE(All<ReplyToReport>(Feed(leave)).empty());
    }
  }
}

// A write without an answer may be carried out seconds later. Guards against
// one that then undoes the record of a leave.
TEST_F(MeshReducerTest, LateWriteCannotUndoRecordOfLeave) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 7, 1)});
  auto lost = TakeTargetRecordCall();
  ASSERT_TRUE(lost);
  auto compares = std::get<StoreTransaction>(lost->request).compares;
  ASSERT_EQ(compares.size(), 1u);
  EXPECT_EQ(compares[0].mod_revision, 0);
  Feed(StoreReplied{lost->call, StoreFailure{"no answer", true}});
  Feed(LeaveOf("i1", CallId{1}));
  Advance(500ms);
  // The outcome is unknown, so that the revision is read first.
  auto read = TakeTargetRecordCall();
  ASSERT_TRUE(read);
  ASSERT_TRUE(std::holds_alternative<StoreRange>(read->request));
  Feed(StoreReplied{read->call, StoreRangeResult()});
  auto write = TakeTargetRecordCall();
  ASSERT_TRUE(write);
  // Both writes need an absent key, so only one of them can take effect.
  auto transaction = std::get<StoreTransaction>(write->request);
  EXPECT_EQ(transaction.compares.at(0).mod_revision, 0);
  // The lost write took effect first: it is read again and replaced.
  EXPECT_TRUE(
      All<ReplyToReport>(
          Feed(StoreReplied{write->call, StoreTransactionResult{false, 8}}))
          .empty());
  Advance(100ms);
  wire::TargetRecord earlier;
  earlier.set_id("i1");
  ReplyWithTargetRecord(earlier, 8);
  write = TakeTargetRecordCall();
  ASSERT_TRUE(write);
  transaction = std::get<StoreTransaction>(write->request);
  EXPECT_EQ(transaction.compares.at(0).mod_revision, 8);
  EXPECT_EQ(
      All<ReplyToReport>(
          Feed(StoreReplied{write->call, StoreTransactionResult{true, 9}}))
          .size(),
      1u);
}

// Only a few nodes poll the store; the others rely on their confirmations.
// Guards against treating a delayed confirmation as recent.
TEST_F(MeshReducerTest, PeerConfirmationCountsWithItsAge) {
  Configure();
  LinkId link = ConnectNode("there");
  auto send_load = [&](milliseconds age, milliseconds sent_before) {
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_load()->set_config_version(5);
    frame->mutable_load()->set_config_age_ms(
        static_cast<uint32_t>(age.count()));
    frame->mutable_load()->set_sent_us(
        static_cast<uint64_t>((now_ - sent_before).time_since_epoch().count()));
    Feed(FrameReceived{link, frame});
  };
  for (int i = 0; i < 8; ++i) {
    now_ += 1s;
    send_load(100ms, 0ms);
  }
  EXPECT_LE(node_->StatusAt(now_).config_age, 300ms);
  now_ += 4s;
  send_load(100ms, 3900ms);
  EXPECT_GE(node_->StatusAt(now_).config_age, 3900ms);
}

// Guards against permanent refusal of a new key by a node that the store
// rejects and that still has an old configuration (scenario ertis-etch,
// trouble-1, seed 766131314865, check CONFIG).
TEST_F(MeshReducerTest, OutdatedConfigRefusesNothingPermanently) {
  Configure();
  LinkId link = ConnectNode("there");
  EXPECT_EQ(All<RefuseCall>(SendCall("/read/1", "new"))[0].reason,
            Reason::kKeyUnknown);
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_load()->set_config_version(6);
  frame->mutable_load()->set_serving(true);
  frame->mutable_load()->set_slots(10);
  frame->mutable_load()->set_service("shop");
  Feed(FrameReceived{link, frame});
  EXPECT_EQ(All<RefuseCall>(SendCall("/read/1", "new"))[0].reason,
            Reason::kIsolated);
  EXPECT_EQ(All<SendForward>(SendCall("/read/1")).size(), 1u);
  // A version that was replaced more than 1 s ago does not serve routes without
  // a key either.
  now_ += 1100ms;
  EXPECT_EQ(All<RefuseCall>(SendCall("/inner/1", ""))[0].reason,
            Reason::kIsolated);
  Feed(ConfigRead{MakeConfig(6), now_});
  EXPECT_TRUE(All<RefuseCall>(SendCall("/inner/1", "")).empty());
}

// A traffic split keeps to its weights over short periods too.
TEST_F(MeshReducerTest, TrafficSplitKeepsWeights) {
  auto config = MakeConfig(6);
  config->services = {"shop", "other"};
  config->hosts["h"][0].services = {{"shop", 90}, {"other", 10}};
  Feed(ConfigRead{config, now_});
  int other = 0;
  for (int i = 0; i < 200; ++i) {
    auto lines = All<WriteLogLine>(SendCall("/read/1"));
    for (const auto& [name, value] : lines.at(0).fields)
      other += name == "service" && value == "other" ? 1 : 0;
  }
  EXPECT_NEAR(other, 20, 2);
}

// Guards against refusals by a node that the store rejects while its peers have
// the newer configuration, and against every node reading a change from the
// store.
TEST_F(MeshReducerTest, NewerConfigFetchedFromPeer) {
  Configure();
  LinkId link = ConnectNode("peer");
  auto frame = std::make_shared<wire::Frame>();
  wire::Load* load = frame->mutable_load();
  load->set_service("shop");
  load->set_serving(true);
  load->set_slots(4);
  load->set_config_version(9);
  Effects effects = Feed(FrameReceived{link, frame});
  auto sent = All<SendFrame>(effects);
  ASSERT_FALSE(sent.empty());
  ASSERT_TRUE(sent.back().frame->has_config_wanted());
  EXPECT_EQ(sent.back().frame->config_wanted().version(), 5u);
  EXPECT_FALSE(node_->StatusAt(now_).config_outdated);
  auto answer = std::make_shared<wire::Frame>();
  answer->mutable_config_text()->set_version(9);
  answer->mutable_config_text()->set_text("nine");
  auto decode = All<DecodeConfig>(Feed(FrameReceived{link, answer}));
  ASSERT_EQ(decode.size(), 1u);
  EXPECT_EQ(decode[0].text, "nine");
  // If no peer answers in time, the configuration is read from the store.
  EXPECT_TRUE(node_->StatusAt(now_ + 400ms).config_outdated);
  Feed(ConfigRead{MakeConfig(9), TimePoint()});
  EXPECT_FALSE(node_->StatusAt(now_ + 400ms).config_outdated);
  EXPECT_EQ(node_->config()->version, 9u);
  // An older version that arrives late is not decoded.
  answer = std::make_shared<wire::Frame>();
  answer->mutable_config_text()->set_version(7);
  EXPECT_TRUE(All<DecodeConfig>(Feed(FrameReceived{link, answer})).empty());
}

TEST_F(MeshReducerTest, SendsConfigToPeer) {
  auto config = MakeConfig(5);
  config->text = "five";
  Feed(ConfigRead{config, now_});
  wire::Hello peer;
  peer.set_node("other");
  peer.set_service("shop");
  peer.set_address(AddressOf("other"));
  LinkId link{(uint64_t{1} << 63) | 1};
  // A node that opens a link becomes a member before its record is read.
  Feed(LinkOpened{link, peer, true});
  auto opened = All<OpenLink>(Advance(100ms));
  ASSERT_EQ(opened.size(), 1u);
  EXPECT_EQ(opened[0].address, AddressOf("other"));
  auto wanted = std::make_shared<wire::Frame>();
  wanted->mutable_config_wanted()->set_version(4);
  auto sent = All<SendFrame>(Feed(FrameReceived{link, wanted}));
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].frame->config_text().text(), "five");
  wanted = std::make_shared<wire::Frame>();
  wanted->mutable_config_wanted()->set_version(5);
  EXPECT_TRUE(All<SendFrame>(Feed(FrameReceived{link, wanted})).empty());
}

TEST_F(MeshReducerTest, OnwardCallInheritsRank) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  auto parent = All<RunOnTarget>(SendCall("/read/1", "key", "root"));
  ASSERT_EQ(parent.size(), 1u);
  auto child = All<RunOnTarget>(SendCall("/inner/1", "", "root.1"));
  ASSERT_EQ(child.size(), 1u);
  EXPECT_EQ(child[0].forward->rank(), parent[0].forward->rank());
  EXPECT_TRUE(child[0].forward->onward());
}

// Guards against answers that are cut off because the node exits while callers
// still read them. The process is killed at the end of the shutdown time, so
// the node exits shortly before it in any case.
TEST_F(MeshReducerTest, StoppingNodeWaitsForUnfinishedWrites) {
  Configure();
  Feed(ShutdownRequested{});
  int exits = 0;
  for (milliseconds passed = 0ms; passed < 5500ms; passed += 100ms) {
    now_ += 100ms;
    exits += static_cast<int>(All<Exit>(Feed(Tick{1})).size());
  }
  EXPECT_EQ(exits, 0);
  now_ += 100ms;
  EXPECT_EQ(All<Exit>(Feed(Tick{1})).size(), 1u);
  node_ = std::make_unique<MeshReducer>(identity_, now_);
  Configure();
  Feed(ShutdownRequested{});
  now_ += 3000ms;
  EXPECT_TRUE(All<Exit>(Feed(Tick{1})).empty());
  now_ += 100ms;
  EXPECT_EQ(All<Exit>(Feed(Tick{0})).size(), 1u);
}

TEST_F(MeshReducerTest, StoppingNodeExitsWhenCallersIdle) {
  Configure();
  Feed(ShutdownRequested{});
  EXPECT_FALSE(node_->StatusAt(now_).ready);
  EXPECT_TRUE(All<Exit>(Advance(1000ms)).empty());
  SendCall("/read/1");
  EXPECT_TRUE(All<Exit>(Advance(600ms)).empty());
  EXPECT_EQ(All<Exit>(Advance(600ms)).size(), 1u);
}

// Guards against lost capacity when the last two targets of a service stop one
// after the other: the first rejected all work 1.5 s after its signal but
// served its callers for 2.4 s more (scenario ertis-etch, trouble-2).
TEST_F(MeshReducerTest, StoppingNodeAcceptsWorkWhileCallersSend) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  Feed(ShutdownRequested{});
  auto served = [this] {
    auto runs = All<RunOnTarget>(SendCall("/read/1"));
    for (const RunOnTarget& run : runs) {
      TargetResult result;
      result.kind = TargetResult::Kind::kAnswered;
      result.success = true;
      result.status = 200;
      Feed(TargetAnswered{run.work, result});
    }
    return runs.size() == 1;
  };
  // A busy node receives callers' requests every few milliseconds.
  for (milliseconds since = 100ms; since <= 2700ms; since += 100ms) {
    EXPECT_TRUE(All<Exit>(Advance(100ms)).empty());
    EXPECT_TRUE(served()) << since.count();
  }
  // Requests that are refused do not delay the exit.
  milliseconds stopped_after(2700);
  while (All<Exit>(Advance(100ms)).empty() && stopped_after < 6000ms) {
    stopped_after += 100ms;
    EXPECT_FALSE(served());
  }
  EXPECT_LE(stopped_after, 3500ms);
}

// The target still runs requests of other nodes, which would fail if its onward
// calls were refused.
TEST_F(MeshReducerTest, StoppingNodeServesOnwardCalls) {
  Configure();
  Feed(TargetReported{MakeReport("i1", 1, 1)});
  Feed(ShutdownRequested{});
  now_ += 3s;
  EXPECT_EQ(All<RefuseCall>(SendCall("/read/1"))[0].reason, Reason::kDraining);
  EXPECT_EQ(All<RunOnTarget>(SendCall("/inner/1", "")).size(), 1u);
}

}  // namespace
}  // namespace comfreylock::mesh
