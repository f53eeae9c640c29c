#include <gtest/gtest.h>

#include "reducer_fixture.h"

/// Leaves of targets that older facts must not undo: reports that were kept,
/// delayed or replayed, and records that are read late.
namespace comfreylock::mesh {
namespace {

class DepartedTargetTest : public MeshReducerTest {
 protected:
  /// Starts the node anew, with a configuration but before its target's record
  /// is read.
  void StartBeforeRecordIsRead() {
    store_calls_.clear();
    node_ = std::make_unique<MeshReducer>(identity_, now_);
    Feed(ConfigRead{MakeConfig(5), now_});
    Feed(Tick{});
  }

  /// Answers the read of the target's record: there is none.
  void ReplyWithoutTargetRecord() {
    auto read = TakeTargetRecordCall();
    ASSERT_TRUE(read);
    Feed(StoreReplied{read->call, StoreRangeResult()});
  }

  /// Carries out the writes of the target's record.
  /// @return the answers to reports that they lead to.
  std::vector<ReplyToReport> WriteTargetRecord() {
    std::vector<ReplyToReport> replies;
    while (auto write = TakeTargetRecordCall()) {
      const auto& transaction = std::get<StoreTransaction>(write->request);
      EXPECT_TRUE(record_.ParseFromString(transaction.puts[0].value));
      auto confirmed = All<ReplyToReport>(Feed(StoreReplied{
          write->call, StoreTransactionResult{true, ++revision_}}));
      replies.insert(replies.end(), confirmed.begin(), confirmed.end());
    }
    return replies;
  }

  bool IsTargetUsed() { return !All<RunOnTarget>(SendCall("/read/1")).empty(); }

  wire::TargetRecord record_;  ///< As written last.
  int64_t revision_ = 10;
};

// Guards against a target that is used again after its confirmed leave, because
// a report that was kept until the record was read is applied after it
// (review/6).
TEST_F(DepartedTargetTest, KeptReportDoesNotUndoLeave) {
  StartBeforeRecordIsRead();
  Feed(TargetReported{MakeReport("i1", 7, 1)});
  EXPECT_TRUE(All<ReplyToReport>(Feed(LeaveOf("i1", CallId{1}))).empty());
  ReplyWithoutTargetRecord();
  auto replies = WriteTargetRecord();
  ASSERT_EQ(replies.size(), 1u);
  EXPECT_TRUE(replies[0].confirmed);
  EXPECT_EQ(record_.id(), "");
  EXPECT_FALSE(IsTargetUsed());
  Feed(TargetReported{MakeReport("i1", 7, 2)});
  EXPECT_FALSE(IsTargetUsed());
  // A later incarnation may have the same id.
  Feed(TargetReported{MakeReport("i1", 8, 1)});
  EXPECT_TRUE(IsTargetUsed());
}

// Guards against a delayed report of a target that left before this node heard
// of it, also after a restart of the node.
TEST_F(DepartedTargetTest, DelayedReportDoesNotUndoLeaveOfUnknownTarget) {
  Configure();
  TargetReported leave = LeaveOf("i1", CallId{1});
  leave.received_at_ms = 50;
  Feed(leave);
  EXPECT_EQ(WriteTargetRecord().size(), 1u);
  for (bool restarted : {false, true}) {
    if (restarted) {
      StartBeforeRecordIsRead();
      ReplyWithTargetRecord(record_, revision_);
    }
    Feed(TargetReported{MakeReport("i1", 40, 3)});
    EXPECT_FALSE(IsTargetUsed()) << restarted;
  }
  Feed(TargetReported{MakeReport("i1", 60, 1)});
  EXPECT_TRUE(IsTargetUsed());
}

// Targets repeat a leave until it is confirmed. Guards against a copy that
// takes a later incarnation with the same id for the one that left.
TEST_F(DepartedTargetTest, RepeatedLeaveCoversNoLaterIncarnation) {
  Configure();
  TargetReported leave = LeaveOf("i1", CallId{1});
  leave.received_at_ms = 50;
  Feed(leave);
  Advance(3s);
  leave.call = CallId{2};
  leave.received_at_ms = 3050;
  Feed(leave);
  EXPECT_EQ(WriteTargetRecord().size(), 1u);
  Feed(ConfigRead{MakeConfig(5), now_});
  Feed(TargetReported{MakeReport("i1", 2000, 1)});
  EXPECT_TRUE(IsTargetUsed());
}

// A leave without a start time says nothing about targets with other ids.
TEST_F(DepartedTargetTest, LeaveOfUnknownTargetConcernsItsIdOnly) {
  StartBeforeRecordIsRead();
  Feed(TargetReported{MakeReport("i2", 9, 1)});
  TargetReported leave = LeaveOf("i1", CallId{1});
  leave.received_at_ms = 50;
  Feed(leave);
  ReplyWithoutTargetRecord();
  EXPECT_EQ(WriteTargetRecord().size(), 1u);
  EXPECT_TRUE(IsTargetUsed());
  StartBeforeRecordIsRead();
  ReplyWithTargetRecord(record_, revision_);
  EXPECT_TRUE(IsTargetUsed());
}

// Guards against a record that is read after the leave of the target that it
// names, and that is older than the leave.
TEST_F(DepartedTargetTest, RecordReadLateDoesNotUndoLeave) {
  StartBeforeRecordIsRead();
  Feed(LeaveOf("i1", CallId{1}));
  wire::TargetRecord record;
  record.set_id("i1");
  record.set_service("shop");
  record.set_address("here:2");
  record.set_slots(4);
  record.set_born(7);
  ReplyWithTargetRecord(record, 3);
  EXPECT_EQ(WriteTargetRecord().size(), 1u);
  EXPECT_FALSE(IsTargetUsed());
  Feed(TargetReported{MakeReport("i1", 7, 30)});
  EXPECT_FALSE(IsTargetUsed());
}

// Guards against a copy of a leave without a start time that replaces the start
// time in the record, after which a delayed report passes as one of a later
// incarnation.
TEST_F(DepartedTargetTest, RepeatedLeaveKeepsRecordedStartTime) {
  StartBeforeRecordIsRead();
  Feed(LeaveOf("i1", CallId{1}));
  wire::TargetRecord record;
  record.add_departed()->set_id("i1");
  record.mutable_departed(0)->set_born(7);
  ReplyWithTargetRecord(record, 3);
  WriteTargetRecord();
  Feed(TargetReported{MakeReport("i1", 7, 30)});
  EXPECT_FALSE(IsTargetUsed());
}

// Guards against a delayed report of a previous target that takes the place of
// a newer report while the record is not read yet.
TEST_F(DepartedTargetTest, OlderReportDoesNotReplaceKeptReport) {
  StartBeforeRecordIsRead();
  Feed(TargetReported{MakeReport("i2", 9, 1)});
  Feed(TargetReported{MakeReport("i1", 7, 30)});
  ReplyWithoutTargetRecord();
  auto runs = All<RunOnTarget>(SendCall("/read/1"));
  ASSERT_EQ(runs.size(), 1u);
  EXPECT_EQ(runs[0].target_id, "i2");
}

// Guards against a leave that is confirmed because a newer target is known,
// while the store does not hold that target yet: after a restart, a delayed
// report of the one that left would be taken as new.
TEST_F(DepartedTargetTest, IgnoredLeaveWaitsForRecordOfNewerTarget) {
  Configure();
  Feed(TargetReported{MakeReport("i2", 9, 1)});
  TargetReported leave = LeaveOf("i1", CallId{1});
  leave.report.started_at_ms = 7;
  EXPECT_TRUE(All<ReplyToReport>(Feed(leave)).empty());
  EXPECT_EQ(WriteTargetRecord().size(), 1u);
  EXPECT_EQ(record_.id(), "i2");
}

}  // namespace
}  // namespace comfreylock::mesh
