#include "comfreylock/claims.h"

#include <algorithm>
#include <memory>
#include <random>

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr char kOwnerKey[] = "/comfreylock/owners/0";

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

/// Key-value store with revisions, like the platform's store.
class FakeStore {
 public:
  StoreResult Execute(const StoreRequest& request) {
    if (const auto* range = std::get_if<StoreRange>(&request))
      return Read(*range);
    const auto& write = std::get<StoreTransaction>(request);
    StoreTransactionResult result;
    for (const auto& compare : write.compares) {
      auto found = entries_.find(compare.key);
      int64_t revision =
          found == entries_.end() ? 0 : found->second.mod_revision;
      if (revision != compare.mod_revision)
        return result;
    }
    ++revision_;
    for (const auto& put : write.puts)
      entries_[put.key] = {put.key, put.value, 0, revision_};
    for (const auto& item : write.deletes)
      entries_.erase(item.key);
    result.succeeded = true;
    return result;
  }

  /// Writes a new owner record. @return its revision.
  int64_t TakeOver() {
    Execute(StoreTransaction{{}, {{kOwnerKey, "owner"}}, {}});
    return revision_;
  }

  size_t size() const { return entries_.size(); }

 private:
  StoreResult Read(const StoreRange& range) const {
    StoreRangeResult result;
    for (const auto& [key, entry] : entries_) {
      bool inside = range.range_end.empty()
                        ? key == range.key
                        : key >= range.key && key < range.range_end;
      if (!inside)
        continue;
      if (range.limit &&
          static_cast<int64_t>(result.entries.size()) == range.limit) {
        result.more = true;
        break;
      }
      result.entries.push_back(entry);
    }
    return result;
  }

  std::map<std::string, StoreEntry> entries_;
  int64_t revision_ = 0;
};

/// Simulates entry nodes that claim the same few keys at one partition while
/// messages and store answers are lost, duplicated and delayed and owners are
/// replaced.
class ClaimFleet {
 public:
  explicit ClaimFleet(uint64_t seed, ClaimPartition::Rules rules)
      : random_(seed), rules_(rules) {
    loss_ = 0.1 * static_cast<double>(Pick(0, 3));
    max_delay_ = Pick(0, 1) ? 30 : 1500;
    for (size_t i = 0; i < kEntries; ++i)
      entries_.push_back({std::make_unique<ClaimTracker>(1)});
    TakeOver();
  }

  void Run(int64_t ms) {
    for (int64_t end = now_ + ms; now_ < end; now_ += 10)
      Step();
  }

  std::map<std::string, int> runs;  ///< Dispatches that reached a target.
  /// Calls answered with Outcome::kNotRun that had started.
  int false_not_run = 0;
  int answered = 0;  ///< Calls answered from the log.
  int dispatched = 0;

 private:
  static constexpr size_t kEntries = 3;
  struct Entry {
    std::unique_ptr<ClaimTracker> tracker;
    uint64_t incarnation = 1;
  };
  struct Owner {
    std::unique_ptr<ClaimPartition> claims;
  };
  struct Message {
    int64_t due = 0;
    size_t entry = 0;
    size_t owner = 0;
    bool to_owner = false;
    wire::PeerMessage body;
  };
  struct StoreCall {
    int64_t due = 0;
    size_t owner = 0;
    StoreRequest request;
  };
  struct StoreAnswer {
    int64_t due = 0;
    size_t owner = 0;
    StoreResult result;
  };
  struct RunningCall {
    size_t entry = 0;
    std::string key;
    bool started = false;
    int64_t ends = 0;
  };

  int64_t Pick(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  void TakeOver() {
    int64_t revision = store_.TakeOver();
    owners_.push_back({std::make_unique<ClaimPartition>(
        0, static_cast<uint64_t>(revision), kOwnerKey, revision, rules_)});
  }

  void Send(Message message) {
    do {
      if (Chance(loss_))
        continue;
      message.due = now_ + Pick(1, max_delay_);
      messages_.push_back(message);
    } while (Chance(loss_));
  }

  void Step() {
    if (Chance(0.005))
      TakeOver();
    if (Chance(0.002))
      Restart(static_cast<size_t>(Pick(0, kEntries - 1)));
    if (Chance(0.1))
      StartCall();
    StepStore();
    DeliverMessages();
    for (size_t i = 0; i < owners_.size(); ++i) {
      if (auto request = owners_[i].claims->Advance(At(now_), Wall()))
        store_calls_.push_back({now_ + Pick(1, 300), i, *request});
    }
    for (size_t i = 0; i < kEntries; ++i) {
      ClaimTracker::Messages out;
      ApplyDecisions(i, entries_[i].tracker->Advance(At(now_), out));
      for (auto& item : out) {
        // Some requests still go to one of the former owners.
        size_t last = owners_.size() - 1;
        size_t owner =
            Chance(0.7)
                ? last
                : static_cast<size_t>(
                      Pick(std::max<int64_t>(0, static_cast<int64_t>(last) - 2),
                           static_cast<int64_t>(last)));
        Send({0, i, owner, true, item.message});
      }
    }
    EndCalls();
  }

  WallTime Wall() const { return WallTime(std::chrono::milliseconds(now_)); }

  void StartCall() {
    CallId call{++last_call_};
    size_t entry = static_cast<size_t>(Pick(0, kEntries - 1));
    std::string key = "key" + std::to_string(now_ / 2000 + Pick(0, 2));
    calls_[call] = {entry, key};
    entries_[entry].tracker->Start(call, 0, key, "digest", At(now_),
                                   At(now_ + Pick(100, 2000)));
  }

  void Restart(size_t entry) {
    uint64_t incarnation = ++entries_[entry].incarnation;
    entries_[entry].tracker = std::make_unique<ClaimTracker>(incarnation);
    std::erase_if(calls_,
                  [&](const auto& item) { return item.second.entry == entry; });
  }

  /// Injects faults: a write that takes effect before or after the owner gets a
  /// failure of unknown outcome, and a write that is refused.
  void StepStore() {
    std::vector<StoreCall> due;
    std::erase_if(store_calls_, [&](const StoreCall& call) {
      if (call.due > now_)
        return false;
      due.push_back(call);
      return true;
    });
    for (auto& call : due) {
      int64_t fault = Pick(0, 9);
      StoreResult result = StoreFailure{"lost", true};
      if (fault == 0)
        late_calls_.push_back({now_ + Pick(1, 1000), call.owner, call.request});
      else if (fault == 1)
        store_.Execute(call.request);
      else if (fault == 2)
        result = StoreFailure{"refused", false};
      else
        result = store_.Execute(call.request);
      store_answers_.push_back({now_ + Pick(1, 100), call.owner, result});
    }
    std::erase_if(late_calls_, [&](const StoreCall& call) {
      if (call.due > now_)
        return false;
      store_.Execute(call.request);
      return true;
    });
    std::erase_if(store_answers_, [&](const StoreAnswer& answer) {
      if (answer.due > now_)
        return false;
      Reply(answer.owner,
            owners_[answer.owner].claims->OnStoreAnswer(answer.result));
      return true;
    });
  }

  void Reply(size_t owner, const ClaimPartition::Replies& replies) {
    for (const auto& reply : replies)
      Send({0, std::stoul(reply.node), owner, false, reply.message});
  }

  void DeliverMessages() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      if (message.due > now_)
        return false;
      due.push_back(message);
      return true;
    });
    for (auto& message : due) {
      if (message.to_owner)
        DeliverToOwner(message);
      else
        DeliverToEntry(message);
    }
  }

  void DeliverToOwner(const Message& message) {
    ClaimPartition& claims = *owners_[message.owner].claims;
    std::string from = std::to_string(message.entry);
    const auto& body = message.body;
    if (body.has_claim_request())
      Reply(message.owner,
            claims.OnRequest(from, body.claim_request(), true, Wall()));
    else if (body.has_claim_result())
      Reply(message.owner, claims.OnResult(from, body.claim_result()));
    else
      Reply(message.owner, claims.OnReleased(from, body.claim_released()));
  }

  void DeliverToEntry(const Message& message) {
    ClaimTracker& tracker = *entries_[message.entry].tracker;
    const auto& body = message.body;
    if (body.has_claim_granted())
      ApplyDecisions(message.entry,
                     tracker.OnGranted(body.claim_granted(), At(now_)));
    else if (body.has_claim_refused())
      ApplyDecisions(message.entry,
                     tracker.OnRefused(body.claim_refused(), At(now_)));
    else if (body.has_not_owner())
      tracker.OnNotOwner(body.not_owner(), At(now_));
    else
      tracker.OnAcknowledged(body.claim_acknowledged(), At(now_));
  }

  void ApplyDecisions(size_t entry, const ClaimTracker::Decisions& decisions) {
    for (const auto& decision : decisions) {
      RunningCall& call = calls_.at(decision.call);
      if (!decision.dispatch) {
        answered += decision.answer ? 1 : 0;
        if (decision.answer && decision.answer->body() != call.key)
          ADD_FAILURE() << "replayed answer belongs to another key";
        if (decision.outcome == Outcome::kNotRun && call.started)
          ++false_not_run;
        calls_.erase(decision.call);
        continue;
      }
      ++dispatched;
      if (Chance(0.2)) {  // All targets refuse the call before it starts.
        entries_[entry].tracker->Release(decision.call, At(now_));
        calls_.erase(decision.call);
        continue;
      }
      call.started = true;
      call.ends = now_ + Pick(10, 500);
      ++runs[call.key];
    }
  }

  void EndCalls() {
    std::erase_if(calls_, [&](const auto& item) {
      const RunningCall& call = item.second;
      if (!call.started || call.ends > now_)
        return false;
      std::optional<wire::StoredAnswer> answer;
      if (call.ends % 4 != 0) {  // Otherwise the answer is lost.
        answer.emplace();
        answer->set_body(call.key);
      }
      entries_[call.entry].tracker->Report(item.first, answer, At(now_));
      return true;
    });
  }

  std::mt19937_64 random_;
  ClaimPartition::Rules rules_;
  FakeStore store_;
  std::vector<Entry> entries_;
  std::vector<Owner> owners_;
  std::vector<Message> messages_;
  std::vector<StoreCall> store_calls_;
  std::vector<StoreCall> late_calls_;
  std::vector<StoreAnswer> store_answers_;
  std::map<CallId, RunningCall> calls_;
  uint64_t last_call_ = 0;
  int64_t now_ = 1000;
  double loss_ = 0;
  int64_t max_delay_ = 30;
};

int MaxRuns(const ClaimFleet& fleet) {
  int max_runs = 0;
  for (const auto& [key, count] : fleet.runs)
    max_runs = std::max(max_runs, count);
  return max_runs;
}

// Guards against a once-only call that runs twice, or whose outcome is reported
// as not run although it started, under lost store answers, late writes, new
// owners, entry restarts, late and duplicate grants, and several entry nodes
// that claim one key.
TEST(ClaimsTest, KeyRunsAtMostOnceUnderFaults) {
  int dispatched = 0;
  int answered = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    ClaimFleet fleet(seed, {});
    fleet.Run(20000);
    EXPECT_LE(MaxRuns(fleet), 1) << "seed " << seed;
    EXPECT_EQ(fleet.false_not_run, 0) << "seed " << seed;
    dispatched += fleet.dispatched;
    answered += fleet.answered;
  }
  // A protocol that never grants or never replays would pass the checks above.
  EXPECT_GT(dispatched, 1000);
  EXPECT_GT(answered, 1000);
}

// Guards against a check that cannot detect a broken protocol: without the
// compares of a write, a key must run twice.
TEST(ClaimsTest, MissingCompareRunsKeyTwice) {
  int without_compare = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    ClaimFleet fleet(seed, {.compare = false});
    fleet.Run(20000);
    without_compare = std::max(without_compare, MaxRuns(fleet));
  }
  EXPECT_GT(without_compare, 1);
}

wire::ClaimRequest Request(uint64_t claim,
                           const std::string& key,
                           const std::string& digest) {
  wire::ClaimRequest request;
  request.set_claim(claim);
  request.set_key(key);
  request.set_body_digest(digest);
  request.set_incarnation(1);
  return request;
}

/// A partition whose log is loaded, on a store without faults.
struct LoadedPartition {
  FakeStore store;
  int64_t now = 0;
  WallTime wall{std::chrono::hours(480000)};
  std::unique_ptr<ClaimPartition> claims;

  LoadedPartition() { TakeOver(); }
  void TakeOver() {
    int64_t revision = store.TakeOver();
    claims = std::make_unique<ClaimPartition>(
        0, static_cast<uint64_t>(revision), kOwnerKey, revision,
        ClaimPartition::Rules{});
    Write();
  }
  ClaimPartition::Replies Write() {
    ClaimPartition::Replies all;
    for (int i = 0; i < 8; ++i) {
      now += 50;
      if (auto request = claims->Advance(At(now), wall))
        std::ranges::move(claims->OnStoreAnswer(store.Execute(*request)),
                          std::back_inserter(all));
    }
    return all;
  }
  std::string RefusalOf(const wire::ClaimRequest& request) {
    auto replies = claims->OnRequest("b", request, true, wall);
    return replies.empty() ? "" : replies[0].message.claim_refused().reason();
  }
};

// Guards against treating a call that reuses a key with another body as a
// resend.
TEST(ClaimsTest, ReusedKeyWithOtherBodyIsRefused) {
  LoadedPartition partition;
  partition.claims->OnRequest("a", Request(1, "key", "x"), true,
                              partition.wall);
  EXPECT_EQ(partition.RefusalOf(Request(1, "key", "y")), "body_differs");
  ASSERT_EQ(partition.Write().size(), 1u);
  EXPECT_EQ(partition.RefusalOf(Request(1, "key", "y")), "body_differs");
  EXPECT_EQ(partition.RefusalOf(Request(1, "key", "x")), "in_progress");
  partition.TakeOver();
  EXPECT_EQ(partition.RefusalOf(Request(1, "key", "x")), "outcome_unknown");
}

// Guards against keys that run again after their record was removed, and
// against a log whose batches are never deleted.
TEST(ClaimsTest, ExpiredTimestampedKeysAreRefusedAndDropped) {
  LoadedPartition partition;
  char key[64];
  auto ms = static_cast<unsigned long long>(
      partition.wall.time_since_epoch().count());
  std::snprintf(key, sizeof(key), "%08llx-%04llx-7000-8000-000000000000",
                ms >> 16, ms & 0xffff);
  EXPECT_EQ(TimeOfKey(OnceOnlyKey("o", "r", key)), partition.wall);
  partition.claims->OnRequest("a", Request(1, key, "x"), true, partition.wall);
  partition.Write();
  partition.wall += kMaxClaimKeyAge + std::chrono::minutes(1);
  partition.Write();
  EXPECT_EQ(partition.claims->size(), 1u);
  EXPECT_EQ(partition.RefusalOf(Request(2, key, "x")), "in_progress");
  partition.wall += kClaimRetentionMargin;
  partition.Write();
  EXPECT_EQ(partition.claims->size(), 0u);
  EXPECT_EQ(partition.RefusalOf(Request(2, key, "x")),
            "idempotency_key_expired");
  partition.claims->OnRequest("a", Request(3, "plain", "x"), true,
                              partition.wall);
  partition.Write();
  EXPECT_EQ(partition.store.size(), 2u);  // Owner key and the new batch.
}

// Guards against a new owner that reads only the first page of a longer log.
TEST(ClaimsTest, AllLogPagesAreReadAfterTakeover) {
  LoadedPartition partition;
  for (uint64_t i = 1; i <= 2 * kClaimBatchesPerPage + 1; ++i) {
    partition.claims->OnRequest("a", Request(i, std::to_string(i), "x"), true,
                                partition.wall);
    partition.Write();
  }
  partition.TakeOver();
  EXPECT_TRUE(partition.claims->IsLoaded());
  EXPECT_EQ(partition.claims->size(),
            static_cast<size_t>(2 * kClaimBatchesPerPage + 1));
}

}  // namespace
}  // namespace comfreylock
