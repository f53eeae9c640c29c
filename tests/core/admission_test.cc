#include "comfreylock/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

#include "target_simulation.h"

namespace comfreylock {
namespace {

/// 10 workers with a service time of 10 ms serve 1,000 requests per second.
constexpr uint32_t kWorkers = 10;
constexpr double kCapacity = 1000;

ServiceRule Rule() {
  ServiceRule rule;
  rule.slots = 50;
  rule.queue = 200;
  rule.queue_delay = 100ms;
  rule.ramp = 0ms;
  return rule;
}

WorkItem Item(const std::string& organisation, uint32_t importance = 2) {
  WorkItem item;
  item.organisation = organisation;
  item.route = "route";
  item.importance = importance;
  return item;
}

TimePoint AtSecond(double seconds) {
  return TimePoint(1s) +
         std::chrono::microseconds(static_cast<int64_t>(seconds * 1e6));
}

/// @return requests of all organisations that were served in time from `begin`
/// to `end`, in seconds.
int GoodputBetween(TargetSimulation& target, double begin, double end) {
  auto sum = [&] {
    int total = 0;
    for (const auto& [name, count] : target.served_in_time)
      total += count;
    return total;
  };
  target.RunUntil(AtSecond(begin));
  int before = sum();
  target.RunUntil(AtSecond(end));
  return sum() - before;
}

// Guards against goodput that collapses in a surge of 5 times the capacity
// because refused callers resend after 50 ms, and against refusals or a shed
// level that last longer than 2 s after the surge.
TEST(AdmissionTest, GoodputHoldsDuringSurgeAndRecovers) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.Send(Item("kamilla"), 0.6 * kCapacity, AtSecond(0), AtSecond(30),
              500ms);
  target.Send(Item("menta"), 4.4 * kCapacity, AtSecond(5), AtSecond(15), 500ms);
  uint64_t resent = uint64_t{1} << 40;
  target.on_refused = [&](const TargetSimulation::Request& request, Reason) {
    WorkItem item = request.item;
    if (item.organisation != "menta" || target.now() > item.deadline)
      return;
    item.work = WorkId{++resent};
    target.Schedule(target.now() + 50ms,
                    [&target, item] { target.Offer(item); });
  };
  int surge = GoodputBetween(target, 6, 15);
  EXPECT_GE(surge, 0.95 * kCapacity * 9);
  target.RunUntil(AtSecond(17));
  int refused = target.refused["kamilla"];
  int after = GoodputBetween(target, 17, 27);
  EXPECT_GE(after, 0.55 * kCapacity * 10);
  EXPECT_EQ(target.refused["kamilla"], refused);
  EXPECT_EQ(target.admission().shed_level(), 0U);
  EXPECT_LE(target.late, 0.01 * surge);
}

// Guards against a limit that falls to 1 after a few very fast answers, because
// every later answer is slow compared with them.
TEST(AdmissionTest, FastAnswersKeepLimit) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.Send(Item("kamilla"), 1.5 * kCapacity, AtSecond(0), AtSecond(20),
              500ms);
  for (int i = 0; i < 10; ++i) {
    target.Schedule(AtSecond(i), [&] { target.service_time = 100us; });
    target.Schedule(AtSecond(i + 0.005), [&] { target.service_time = 10ms; });
  }
  EXPECT_GE(GoodputBetween(target, 2, 20), 0.95 * kCapacity * 18);
  EXPECT_GE(target.admission().limit(), kWorkers);
}

// Guards against a limit that is lowered because a downstream service becomes
// 10 times slower, although this target's own latency is unchanged.
TEST(AdmissionTest, SlowDownstreamServiceKeepsLimit) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.downstream_time = 10ms;
  target.Send(Item("kamilla"), 0.3 * kCapacity, AtSecond(0), AtSecond(20),
              900ms);
  target.Schedule(AtSecond(5), [&] { target.downstream_time = 100ms; });
  EXPECT_GE(GoodputBetween(target, 6, 20), 0.95 * 0.3 * kCapacity * 14);
  EXPECT_GE(target.admission().limit(), 40U);
}

// Guards against a limit that keeps falling while the target itself is 10 times
// slower, and against one that stays low after the target has recovered.
TEST(AdmissionTest, LimitRecoversFromSlowTarget) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.Send(Item("kamilla"), 1.2 * kCapacity, AtSecond(0), AtSecond(30),
              800ms);
  target.Schedule(AtSecond(5), [&] { target.service_time = 100ms; });
  target.Schedule(AtSecond(15), [&] { target.service_time = 10ms; });
  EXPECT_GE(GoodputBetween(target, 7, 15), 0.9 * kCapacity / 10 * 8);
  EXPECT_GE(GoodputBetween(target, 17, 30), 0.95 * kCapacity * 13);
}

// Guards against an organisation at 5 times its fair share that reduces the
// goodput of the others.
TEST(AdmissionTest, FloodLeavesFairShareToOthers) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  for (std::string name : {"a", "b", "c", "d", "e", "f", "g"})
    target.Send(Item(name), kCapacity / 8, AtSecond(0), AtSecond(20), 500ms);
  target.Send(Item("flood"), 5 * kCapacity / 8, AtSecond(5), AtSecond(20),
              500ms);
  target.RunUntil(AtSecond(20));
  for (std::string name : {"a", "b", "c", "d", "e", "f", "g"})
    EXPECT_GE(target.served_in_time[name], 0.95 * target.offered[name]) << name;
  EXPECT_GE(target.served_in_time["flood"], 0.9 * kCapacity / 8 * 15);
}

// Guards against important requests that are shed before unimportant ones, and
// against unimportant ones that are still refused once there is capacity again.
TEST(AdmissionTest, ImportantRequestsShedLast) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.Send(Item("a", 0), 0.5 * kCapacity, AtSecond(0), AtSecond(30), 500ms);
  target.Send(Item("b", 3), 3 * kCapacity, AtSecond(0), AtSecond(10), 500ms);
  target.Send(Item("c", 3), 0.3 * kCapacity, AtSecond(12), AtSecond(30), 500ms);
  target.RunUntil(AtSecond(30));
  EXPECT_EQ(target.refused["a"], 0);
  EXPECT_GE(target.served_in_time["b"], 0.4 * kCapacity * 10);
  EXPECT_EQ(target.refused["c"], 0);
}

// Guards against a newly started target whose limit does not ramp up but is the
// number of its slots at once.
TEST(AdmissionTest, ColdTargetLimitRampsUp) {
  ServiceRule rule = Rule();
  rule.ramp = 2000ms;
  auto admission = MakeAdmission(Policy::kStandard, rule, TimePoint(1s));
  EXPECT_EQ(admission->limit(), 5U);
  admission->Advance(TimePoint(2s));
  EXPECT_NEAR(admission->limit(), 27, 1);
  admission->Advance(TimePoint(3s));
  EXPECT_EQ(admission->limit(), 50U);
}

// Guards against a limit that ignores the target's own 503 answers.
TEST(AdmissionTest, TargetSheddingLowersLimit) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.max_in_flight = 20;
  target.Send(Item("kamilla"), 3 * kCapacity, AtSecond(0), AtSecond(10), 500ms);
  int goodput = GoodputBetween(target, 2, 10);
  EXPECT_GE(goodput, 0.95 * kCapacity * 8);
  EXPECT_LE(target.admission().limit(), 25U);
}

// Guards against requests that are started although their deadline is shorter
// than the expected service time.
TEST(AdmissionTest, UnreachableDeadlinesNotStarted) {
  TargetSimulation target(Policy::kStandard, Rule(), kWorkers);
  target.Send(Item("kamilla"), 0.5 * kCapacity, AtSecond(0), AtSecond(5),
              500ms);
  target.Send(Item("menta"), 10, AtSecond(2), AtSecond(5), 3ms);
  target.RunUntil(AtSecond(5));
  EXPECT_EQ(target.served_in_time["kamilla"] + target.refused["kamilla"] +
                static_cast<int>(target.admission().in_flight()),
            target.offered["kamilla"]);
  EXPECT_EQ(target.refused["menta"], target.offered["menta"]);
}

/// Applies random operations to an admission and checks its decisions against
/// the sets of requests that wait and run.
class AdmissionModel {
 public:
  explicit AdmissionModel(uint32_t slots) {
    ServiceRule rule = Rule();
    rule.slots = slots;
    rule.queue = 6;
    admission_ = MakeAdmission(Policy::kStandard, rule, now_);
  }

  void RunAction(int action, uint32_t importance, bool is_suspect) {
    now_ += 1ms;
    switch (action) {
      case 0:
      case 1:
      case 2:
        Offer(importance, is_suspect);
        break;
      case 3:
        if (!running_.empty())
          Finish(running_.begin()->first);
        break;
      case 4:
        if (!waiting_.empty()) {
          WorkId work = waiting_.begin()->first;
          waiting_.erase(work);
          ApplyDecisions(admission_->Cancel(work, now_));
        }
        break;
      default:
        now_ += 30ms;
        ApplyDecisions(admission_->Advance(now_));
    }
    RC_ASSERT(admission_->queued() == waiting_.size());
    RC_ASSERT(admission_->in_flight() == running_.size());
    RC_ASSERT(waiting_.size() <= 6U);
  }

  /// Ends all requests and checks that each got exactly one decision.
  void Drain() {
    while (!running_.empty())
      Finish(running_.begin()->first);
    now_ += 1s;
    ApplyDecisions(admission_->Advance(now_));
    RC_ASSERT(waiting_.empty());
  }

 private:
  void Offer(uint32_t importance, bool is_suspect) {
    WorkItem item = Item(std::string(1, static_cast<char>('a' + last_ % 3)));
    item.work = WorkId{++last_};
    item.importance = importance;
    item.is_suspect = is_suspect;
    item.deadline = now_ + 10s;
    waiting_[item.work] = item;
    ApplyDecisions(admission_->Offer(item, now_));
  }

  void Finish(WorkId work) {
    running_.erase(work);
    ApplyDecisions(admission_->Finish(work, WorkResult::kCompleted, now_, 0us));
  }

  void ApplyDecisions(const AdmissionDecisions& decisions) {
    for (const auto& decision : decisions) {
      RC_ASSERT(waiting_.contains(decision.work));
      WorkItem item = waiting_.at(decision.work);
      waiting_.erase(decision.work);
      if (decision.kind != AdmissionDecision::Kind::kStart)
        continue;
      running_[decision.work] = item;
      RC_ASSERT(running_.size() <= admission_->limit());
      CheckOrder(item);
    }
  }

  void CheckOrder(const WorkItem& started) {
    int suspects = 0;
    for (const auto& [work, item] : running_)
      suspects += item.is_suspect;
    RC_ASSERT(suspects <= 1);
    for (const auto& [work, item] : waiting_) {
      RC_ASSERT(item.is_suspect || item.importance >= started.importance);
    }
  }

  TimePoint now_{1s};
  std::unique_ptr<Admission> admission_;
  std::map<WorkId, WorkItem> waiting_;
  std::map<WorkId, WorkItem> running_;
  uint64_t last_ = 0;
};

// Guards against more requests in flight than the limit, two suspects at a
// time, a start ahead of a more important request, and lost or repeated
// decisions.
TEST(AdmissionTest, EachRequestGetsOneDecisionInOrder) {
  EXPECT_TRUE(rc::check([] {
    AdmissionModel model(*rc::gen::inRange(1, 5));
    using Action = std::tuple<int, uint32_t, bool>;
    auto actions = *rc::gen::container<std::vector<Action>>(rc::gen::tuple(
        rc::gen::inRange(0, 6), rc::gen::inRange<uint32_t>(0, 4),
        rc::gen::map(rc::gen::inRange(0, 5), [](int n) { return n == 0; })));
    for (const auto& [action, importance, is_suspect] : actions)
      model.RunAction(action, importance, is_suspect);
    model.Drain();
  }));
}

// Guards against an organisation that is served more than its part by weight
// while others wait, also if queued requests are cancelled.
TEST(AdmissionTest, BackloggedOrganisationsServedByWeight) {
  EXPECT_TRUE(rc::check([] {
    auto weights =
        *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(1, 5));
    auto seed = *rc::gen::inRange<uint64_t>(0, 1000);
    std::mt19937_64 random(seed);
    FairQueue queue;
    uint64_t last = 0;
    std::vector<double> served(weights.size());
    std::vector<std::vector<WorkId>> queued(weights.size());
    for (int step = 0; step < 400; ++step) {
      for (size_t i = 0; i < weights.size(); ++i) {
        while (queued[i].size() < 5) {
          WorkItem item = Item(std::string(1, static_cast<char>('a' + i)));
          item.weight = weights[i];
          item.work = WorkId{++last};
          queued[i].push_back(item.work);
          queue.Push(item, TimePoint(1s));
        }
      }
      size_t cancelled = random() % weights.size();
      RC_ASSERT(queue.Remove(queued[cancelled].back()));
      queued[cancelled].pop_back();
      auto item = queue.Pop(true);
      auto organisation = static_cast<size_t>(item->organisation[0] - 'a');
      served[organisation] += 1.0 / weights[organisation];
      std::erase(queued[organisation], item->work);
    }
    // With start-time fair queueing, the service of two organisations, divided
    // by their weights, differs by at most one request of each.
    auto [min_served, max_served] = std::ranges::minmax(served);
    RC_ASSERT(max_served - min_served <= 2.0 + 1e-9);
  }));
}

}  // namespace
}  // namespace comfreylock
