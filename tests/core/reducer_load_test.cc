#include <gtest/gtest.h>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "signed_bundle.h"

namespace comfreylock {
namespace {

constexpr char kBundle[] = R"({
  "key_salt": "00ff",
  "services": {"proofs": {}},
  "routes": [{"name": "all", "path": "/", "service": "proofs",
              "open": true, "retries": 3}]
})";

/// The reducer of an entry node without a target; its membership has three
/// nodes beside targets of `proofs`.
class ReducerLoadTest : public testing::Test {
 protected:
  ReducerLoadTest()
      : bundle_(operators_.Signed(kBundle, 1)), reducer_(Identity(), now_) {
    AnswerReads(Feed(Tick{}));
  }

  /// Answers reads of the store and the reads that follow from these answers.
  void AnswerReads(const Effects& effects) {
    for (const auto& effect : effects) {
      const auto* store_call = std::get_if<CallStore>(&effect);
      const auto* range =
          store_call ? std::get_if<StoreRange>(&store_call->request) : nullptr;
      if (range)
        AnswerReads(Feed(StoreAnswered{store_call->call, Answer(*range)}));
    }
  }

  NodeIdentity Identity() const {
    NodeIdentity identity;
    identity.node = "entry";
    identity.zone = "a";
    identity.operators = operators_.keys();
    return identity;
  }

  StoreRangeResult Answer(const StoreRange& range) const {
    StoreRangeResult result;
    StoreEntry entry;
    entry.key = range.key;
    if (range.key == kBundleHeadKey) {
      entry.value = FormatBundleHead(bundle_.head);
      result.entries.push_back(entry);
      return result;
    }
    if (range.key.starts_with(kBundlePartPrefix)) {
      entry.value =
          bundle_.parts.at(range.key.substr(kBundlePartPrefix.size()));
      result.entries.push_back(entry);
      return result;
    }
    if (range.key.find("members") == std::string::npos)
      return result;
    for (std::string name : {"n1", "n2", "n3"}) {
      wire::Member member;
      member.set_node(name);
      member.set_service("proofs");
      member.set_zone("a");
      member.set_peer_address(name + ":2");
      member.set_control_address(name + ":1");
      member.set_incarnation(1);
      entry.key = range.key + "a/" + name;
      entry.value = member.SerializeAsString();
      result.entries.push_back(entry);
    }
    return result;
  }

  Effects Feed(EventBody body) {
    now_ += 1ms;
    return reducer_.Reduce(Event{now_, WallTime(), std::move(body)});
  }

  Effects Call(uint64_t id) {
    RequestSummary request;
    request.method = "GET";
    request.request_target = "/proofs/7";
    request.request_id = "r" + std::to_string(id);
    return Feed(CallArrived{CallId{id}, request});
  }

  template <typename T>
  static const T* Find(const Effects& effects) {
    for (const auto& effect : effects) {
      if (const T* found = std::get_if<T>(&effect))
        return found;
    }
    return nullptr;
  }

  TimePoint now_{100s};
  TestOperators operators_;
  SplitBundle bundle_;
  NodeReducer reducer_;
};

// Guards against a retry after the caller has closed its connection.
TEST_F(ReducerLoadTest, AbandonedCallNotRetried) {
  ASSERT_NE(Find<Dispatch>(Call(1)), nullptr);
  EXPECT_NE(Find<CancelAttempt>(Feed(CallerDisconnected{CallId{1}})), nullptr);
  Effects effects = Feed(AttemptEnded{CallId{1}, 1, AttemptResult::kBroken});
  EXPECT_EQ(Find<Dispatch>(effects), nullptr);
  EXPECT_NE(Find<RefuseCall>(effects), nullptr);
}

// Guards against a request that crashes a third target, by a retry or when its
// caller sends it again.
TEST_F(ReducerLoadTest, RequestQuarantinedAfterTwoCrashes) {
  AttemptEnded crash{CallId{1}, 1, AttemptResult::kRefused};
  crash.report.set_started(true);
  crash.report.set_crash_suspected(true);
  ASSERT_NE(Find<Dispatch>(Call(1)), nullptr);
  Effects effects = Feed(crash);
  const auto* retry = Find<Dispatch>(effects);
  ASSERT_NE(retry, nullptr);
  EXPECT_TRUE(retry->context.suspect());
  crash.attempt = 2;
  EXPECT_EQ(Find<Dispatch>(Feed(crash)), nullptr);
  effects = Call(2);
  const auto* refusal = Find<RefuseCall>(effects);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->refusal.reason, Reason::kQuarantined);
  EXPECT_EQ(refusal->refusal.outcome, Outcome::kNotRun);
}

// Guards against calls that an entry node sends although all targets would shed
// them: the shed level from their answers must refuse the call at the entry.
TEST_F(ReducerLoadTest, ShedLevelRefusesCallsAtEntry) {
  for (uint64_t id = 1; id < 40; ++id) {
    if (!Find<Dispatch>(Call(id)))
      continue;
    AttemptEnded ended{CallId{id}, 1, AttemptResult::kAnswered, 200};
    auto* shed = ended.report.add_shed();
    shed->set_service("proofs");
    shed->set_level(20);
    Feed(ended);
  }
  Effects effects = Call(40);
  const auto* refusal = Find<RefuseCall>(effects);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->refusal.reason, Reason::kOverload);
}

}  // namespace
}  // namespace comfreylock
