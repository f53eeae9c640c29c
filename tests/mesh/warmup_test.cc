#include "mesh/warmup_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "mesh/mesh_reducer.h"
#include "mesh/target_queue.h"
#include "mesh/target_selector.h"

/// Cold targets: the limit of their starts, the queue and the selection of
/// targets that take it into account, and how a node knows that its target is
/// cold.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr WarmupLimitRules kRules{13, 1.5, 8};
/// 13 x 1.5 + 8, rounded down.
constexpr size_t kBound = 27;

/// @return the largest number of times in a window of one second.
size_t MostInOneSecond(std::vector<TimePoint> times) {
  std::ranges::sort(times);
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= 1s)
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// @return the starts that the limit admits under permanent demand.
std::vector<TimePoint> StartsUnderLoad(WarmupLimit& limit,
                                       TimePoint from,
                                       TimePoint until) {
  std::vector<TimePoint> starts;
  for (TimePoint now = from; now < until; now += 1ms) {
    while (limit.NextStart(now) <= now && starts.size() < 10'000) {
      limit.RecordStart(now);
      starts.push_back(now);
      if (!limit.IsActive(now))
        break;
    }
  }
  return starts;
}

// Guards against more requests than the target counts as its bound when their
// way to it takes a different time for each.
TEST(WarmupLimitTest, BoundHoldsForDelayedArrivals) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    WarmupLimit limit;
    // The bound is at the steady rate, so that the window alone decides.
    limit.SetRules({13, 1, 0});
    limit.SetColdUntil(TimePoint(60s));
    auto starts = StartsUnderLoad(limit, TimePoint(10s), TimePoint(20s));
    std::mt19937_64 random(seed);
    for (TimePoint& start : starts)
      start += microseconds(random() % 150'000);
    EXPECT_LE(MostInOneSecond(starts), 13u);
    EXPECT_GE(starts.size(), 100u);
  }
}

// The target crashes at a rate well above the steady one, so the bound's slack
// is not a rate to run at.
TEST(WarmupLimitTest, AimsAtTheSteadyRate) {
  WarmupLimit limit;
  limit.SetRules(kRules);
  limit.SetColdUntil(TimePoint(60s));
  auto starts = StartsUnderLoad(limit, TimePoint(10s), TimePoint(20s));
  EXPECT_EQ(limit.bound(), kBound);
  EXPECT_LE(MostInOneSecond(starts), 17u);
  EXPECT_LE(starts.size(), 135u);
  EXPECT_GE(starts.size(), 128u);
}

// Guards against a bound that is exceeded because a warm target, which got many
// requests, turns cold within the same second.
TEST(WarmupLimitTest, StartsBeforeTheWarmupCount) {
  WarmupLimit limit;
  limit.SetRules(kRules);
  TimePoint now(10s);
  for (size_t i = 0; i < 100; ++i)
    limit.RecordStart(now);
  limit.SetColdUntil(now + 10s);
  EXPECT_GE(limit.NextStart(now), now + 1s);
  EXPECT_LE(limit.NextStart(now), now + 1200ms);
}

// What an earlier process of the node has started within the last second is not
// known.
TEST(WarmupLimitTest, StartsAsIfFull) {
  WarmupLimit limit;
  limit.SetRules(kRules);
  limit.AssumeFullAt(TimePoint(10s));
  EXPECT_LE(limit.NextStart(TimePoint(10s)), TimePoint(10s));
  limit.SetColdUntil(TimePoint(13s));
  EXPECT_GE(limit.NextStart(TimePoint(10s)), TimePoint(11s));
  EXPECT_LE(limit.NextStart(TimePoint(11500ms)), TimePoint(11500ms));
}

TEST(WarmupLimitTest, NoLimitWithoutRateOrWhenWarm) {
  WarmupLimit limit;
  limit.SetColdUntil(TimePoint(60s));
  TimePoint now(10s);
  for (int i = 0; i < 1000; ++i) {
    ASSERT_LE(limit.NextStart(now), now);
    limit.RecordStart(now);
  }
  EXPECT_EQ(limit.ExpectedWait(100, now), 0us);
  limit.SetRules(kRules);
  now = TimePoint(61s);
  for (int i = 0; i < 1000; ++i) {
    ASSERT_LE(limit.NextStart(now), now);
    limit.RecordStart(now);
  }
}

// A wrong expectation makes entry nodes send a cold target more than it can
// take, or nothing.
TEST(WarmupLimitTest, ExpectedWaitMatchesTheStarts) {
  WarmupLimit limit;
  limit.SetRules(kRules);
  limit.SetColdUntil(TimePoint(60s));
  TimePoint now(10s);
  for (uint32_t ahead = 0; ahead < 20; ++ahead) {
    WarmupLimit copy = limit;
    TimePoint start = now;
    for (uint32_t i = 0; i <= ahead; ++i) {
      start = std::max(start, copy.NextStart(start));
      copy.RecordStart(start);
    }
    EXPECT_NEAR(static_cast<double>((start - now).count()),
                static_cast<double>(limit.ExpectedWait(ahead, now).count()),
                1000);
  }
}

OfferedWork Work(uint64_t id, milliseconds useful, TimePoint now) {
  OfferedWork work;
  work.work = WorkId{id};
  work.organisation = "org";
  work.route = "read";
  work.useful_until = now + useful;
  work.deadline = now + 2 * useful;
  return work;
}

// Guards against a queue that starts a burst of waiting requests on a cold
// target, or that keeps requests whose turn would come too late.
TEST(WarmupQueueTest, StartsAtTheSteadyRateAndRefusesTheRest) {
  TargetQueue queue;
  queue.SetSlots(50);
  queue.SetWarmupRules(kRules);
  TimePoint now(10s);
  queue.SetColdUntil(now + 3s);
  std::vector<TimePoint> starts;
  size_t refused = 0;
  uint32_t refused_while_cold = 0;
  auto apply = [&](const TargetQueue::Changes& changes) {
    for (WorkId id : changes.start) {
      starts.push_back(now);
      queue.Finish(id, true, now);
    }
    refused += changes.refuse.size();
    refused_while_cold += changes.refused_while_cold;
  };
  uint64_t offered = 0;
  for (; now < TimePoint(13s); now += 10ms) {
    apply(queue.Offer(Work(++offered, 500ms, now), now));
    apply(queue.Advance(now));
  }
  EXPECT_LE(MostInOneSecond(starts), 17u);
  EXPECT_GE(starts.size(), 39u);
  EXPECT_GT(refused_while_cold, 0u);
  EXPECT_EQ(refused, refused_while_cold);
  EXPECT_EQ(starts.size() + refused + queue.queued(), offered);
  // Warm: all waiting requests may start.
  now = TimePoint(13s);
  apply(queue.Advance(now));
  EXPECT_EQ(queue.queued(), 0u);
}

TEST(WarmupQueueTest, ReportsWhatAColdTargetCanTake) {
  TargetQueue queue;
  queue.SetSlots(50);
  queue.SetWarmupRules(kRules);
  TimePoint now(10s);
  EXPECT_EQ(queue.UsableSlots(now), 50u);
  queue.SetColdUntil(now + 3s);
  // 13 a second of an assumed 150 ms each.
  EXPECT_EQ(queue.UsableSlots(now), 2u);
  EXPECT_EQ(queue.ExpectedWait(0, false, now), 0us);
  for (uint64_t i = 1; i <= 10; ++i)
    queue.Offer(Work(i, 5000ms, now), now);
  // Three of ten have started at once; the others follow every 77 ms.
  EXPECT_EQ(queue.in_flight(), 3u);
  EXPECT_GE(queue.ExpectedWait(0, false, now), 500ms);
  EXPECT_LE(queue.ExpectedWait(0, false, now), 650ms);
}

// Guards against a zone's whole load that returns at once to targets that are
// cold together: between two load reports an entry node may send each of them
// only what the target can start.
TEST(WarmupSelectorTest, ColdTargetsGetTheirRateOnly) {
  TargetSelector selector("a", 1);
  wire::Load warm;
  warm.set_serving(true);
  warm.set_slots(100);
  warm.set_service_time_us(20'000);
  wire::Load cold = warm;
  cold.set_warmup_left_ms(3000);
  cold.set_start_rate_milli(13'000);
  selector.SetNode("cold", "shop", "a");
  selector.SetNode("warm", "shop", "b");
  selector.Update("cold", cold);
  selector.Update("warm", warm);
  TargetSelector::Request request{"shop", "read"};
  request.zone_tolerance = 50ms;
  auto sent_to_cold = [&] {
    int sent = 0;
    TimePoint now(10s);
    for (int i = 0; i < 100; ++i) {
      auto choice = selector.Choose(request, {}, now);
      selector.OnRequestSent(choice->node, now);
      sent += choice->node == "cold" ? 1 : 0;
    }
    return sent;
  };
  EXPECT_LE(sent_to_cold(), 3);
  // Towards the end of the warm-up it gets more.
  selector.Update("cold", cold);
  selector.Update("warm", warm);
  cold.set_warmup_left_ms(100);
  selector.Update("cold", cold);
  EXPECT_GE(sent_to_cold(), 1);
  selector.Update("warm", warm);
  cold.clear_warmup_left_ms();
  cold.clear_start_rate_milli();
  selector.Update("cold", cold);
  EXPECT_GE(sent_to_cold(), 50);
}

class WarmupTest : public testing::Test {
 protected:
  WarmupTest() {
    identity_.node = "here";
    identity_.service = "shop";
    identity_.zone = "a";
    identity_.peer_address = "127.0.0.1:1";
    identity_.target_address = "127.0.0.1:2";
    identity_.bounds.warmup_overage = kRules.overage;
    identity_.bounds.warmup_slack = kRules.slack;
  }

  void Start(bool with_rule = true) {
    node_ = std::make_unique<MeshReducer>(identity_, now_);
    auto config = std::make_shared<FleetConfig>();
    config->version = 5;
    Route read{"read", "/read/", {{"shop", 1}}, true, true};
    read.timeout = 2000ms;
    config->hosts["h"] = {read};
    config->services = {"shop"};
    if (with_rule)
      config->warmup_rules["shop"] = {3000ms, kRules.starts_per_second};
    Feed(ConfigRead{config, now_});
    for (const Effect& effect : Feed(Tick{})) {
      const auto* call = std::get_if<CallStore>(&effect);
      const auto* range =
          call ? std::get_if<StoreRange>(&call->request) : nullptr;
      if (range && range->key.starts_with("comfreylock/targets/"))
        Feed(StoreReplied{call->call, StoreRangeResult()});
    }
  }

  /// Starts the node and waits until its starts of the last second are known.
  void StartLongAgo(bool with_rule = true) {
    Start(with_rule);
    now_ += 2s;
    Feed(Tick{});
  }

  Effects Feed(EventBody event) {
    return node_->Reduce({now_, std::move(event)});
  }

  void Report(std::optional<milliseconds> warmup_left,
              const std::string& id = "i1") {
    TargetReport report;
    report.id = id;
    report.service = "shop";
    report.address = "127.0.0.1:2";
    report.slots = 100;
    report.started_at_ms = 1;
    report.sequence = ++sequence_;
    report.states_warmup = warmup_left.has_value();
    report.warmup_remaining = warmup_left.value_or(0ms);
    Feed(TargetReported{report, CallId()});
  }

  Effects SendCall() {
    RequestArrived event;
    event.call = CallId{++calls_};
    event.request.host = "h";
    event.request.deadline = 600ms;
    event.request.forward = std::make_shared<wire::Forward>();
    event.request.forward->set_request_id("r" + std::to_string(calls_));
    event.request.forward->set_path("/read/1");
    return Feed(std::move(event));
  }

  /// Sends a request from another node, which does not know the load.
  Effects SendForward() {
    if (calls_ == 0) {
      wire::Hello hello;
      hello.set_node("caller");
      Feed(LinkOpened{kLink, hello, true});
    }
    auto frame = std::make_shared<wire::Frame>();
    wire::Forward* forward = frame->mutable_forward();
    forward->set_stream(++calls_);
    forward->set_service("shop");
    forward->set_request_id("f" + std::to_string(calls_));
    forward->set_remaining_ms(600);
    forward->set_useful_ms(600);
    forward->set_sent_us(
        static_cast<uint64_t>(now_.time_since_epoch().count()));
    return Feed(FrameReceived{kLink, frame});
  }

  /// Answers requests that run on the target, and counts them and refusals.
  void Serve(const Effects& effects) {
    for (const Effect& effect : effects) {
      if (const auto* run = std::get_if<RunOnTarget>(&effect)) {
        starts_.push_back(now_);
        TargetResult result;
        result.kind = TargetResult::Kind::kAnswered;
        result.success = true;
        result.status = 200;
        Serve(Feed(TargetAnswered{run->work, result}));
      }
      if (const auto* refusal = std::get_if<RefuseCall>(&effect)) {
        ++refused_;
        EXPECT_TRUE(refusal->not_run);
        EXPECT_EQ(refusal->reason, Reason::kOverload);
        EXPECT_GT(refusal->retry_after, 0ms);
      }
      const auto* send = std::get_if<SendFrame>(&effect);
      if (send && send->frame->has_outcome() &&
          send->frame->outcome().kind() != wire::Outcome::ANSWERED) {
        ++refused_;
        EXPECT_EQ(send->frame->outcome().kind(), wire::Outcome::NOT_RUN);
      }
      if (const auto* line = std::get_if<WriteLogLine>(&effect))
        limit_lines_ += line->code == LogCode::kWarmupLimitReached ? 1 : 0;
    }
  }

  /// Sends 100 requests a second.
  void RunLoad(milliseconds time) {
    for (TimePoint end = now_ + time; now_ < end; now_ += 10ms) {
      Serve(SendCall());
      Serve(Feed(Tick{}));
    }
  }

  /// @return the number of requests that start in a second of load.
  size_t StartsInOneSecond() {
    starts_.clear();
    RunLoad(1000ms);
    return starts_.size();
  }

  static constexpr LinkId kLink{50};
  NodeIdentity identity_;
  std::unique_ptr<MeshReducer> node_;
  TimePoint now_{100s};
  uint64_t calls_ = 0;
  uint64_t sequence_ = 0;
  std::vector<TimePoint> starts_;
  size_t refused_ = 0;
  size_t limit_lines_ = 0;
};

TEST_F(WarmupTest, ColdTargetGetsItsRateAndTheRestIsRefused) {
  StartLongAgo();
  Report(3000ms);
  for (TimePoint end = now_ + 2900ms; now_ < end; now_ += 10ms) {
    Serve(SendForward());
    Serve(Feed(Tick{}));
  }
  EXPECT_LE(MostInOneSecond(starts_), 17u);
  EXPECT_GE(starts_.size(), 37u);
  EXPECT_GT(refused_, 100u);
  EXPECT_LE(limit_lines_, 4u);
  EXPECT_GE(limit_lines_, 2u);
  EXPECT_GT(node_->StatusAt(now_).warmup_refusals, 0u);
  EXPECT_GT(node_->StatusAt(now_).warmup_left, 0ms);
  now_ += 200ms;
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
  EXPECT_EQ(node_->StatusAt(now_).warmup_left, 0ms);
}

// Guards against a target that was warm and received many requests, and turns
// cold by a report of the same start.
TEST_F(WarmupTest, TargetThatBecomesColdAgainIsLimited) {
  StartLongAgo();
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
  Report(3000ms);
  // The last 27 starts on the warm target were made within 270 ms, so that the
  // window is full for 880 ms more.
  EXPECT_LE(StartsInOneSecond(), 4u);
  EXPECT_LE(StartsInOneSecond(), 17u);
}

TEST_F(WarmupTest, NewTargetIsColdUntilAReportSaysOtherwise) {
  StartLongAgo();
  Report(std::nullopt);
  EXPECT_LE(StartsInOneSecond(), 17u);
  Report(std::nullopt);
  EXPECT_LE(StartsInOneSecond(), 17u);
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
  Report(std::nullopt, "i2");
  EXPECT_LE(StartsInOneSecond(), 17u);
}

TEST_F(WarmupTest, TargetIsColdAfterRefusedConnection) {
  StartLongAgo();
  Report(0ms);
  for (const Effect& effect : SendCall()) {
    const auto* run = std::get_if<RunOnTarget>(&effect);
    if (!run)
      continue;
    TargetResult result;
    result.kind = TargetResult::Kind::kNotSent;
    result.connection_refused = true;
    Feed(TargetAnswered{run->work, result});
  }
  // It is not used for a second.
  now_ += 1100ms;
  Feed(Tick{});
  EXPECT_LE(StartsInOneSecond(), 17u);
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
}

TEST_F(WarmupTest, TargetIsColdAfterMissedReports) {
  StartLongAgo();
  Report(0ms);
  RunLoad(2000ms);
  EXPECT_GE(starts_.size(), 200u);
  RunLoad(1500ms);
  EXPECT_LE(StartsInOneSecond(), 17u);
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
}

TEST_F(WarmupTest, TargetIsColdAfterAnEvacuationOfItsZone) {
  identity_.bounds.max_evacuation_delay = 5000ms;
  StartLongAgo();
  Feed(EvacuationsRead{0, 10, {"a"}});
  Report(0ms);
  now_ += 100ms;
  Feed(EvacuationsRead{0, 11, {}});
  EXPECT_LE(StartsInOneSecond(), 17u);
  Report(0ms);
  EXPECT_GE(StartsInOneSecond(), 100u);
}

// Guards against a node that restarts and sends the target what its earlier
// process has already sent in the same second.
TEST_F(WarmupTest, RestartedNodeStartsWithAFullWindow) {
  Start();
  Report(3000ms);
  EXPECT_EQ(StartsInOneSecond(), 0u);
  EXPECT_GT(StartsInOneSecond(), 5u);
}

// The entry nodes send a cold target only what its node's load says.
TEST_F(WarmupTest, LoadTellsTheRateAndTheWait) {
  StartLongAgo();
  Report(2000ms);
  for (int i = 0; i < 8; ++i)
    Serve(SendForward());
  wire::Hello hello;
  hello.set_node("other");
  for (const Effect& effect : Feed(LinkOpened{LinkId{51}, hello, true})) {
    const auto* send = std::get_if<SendFrame>(&effect);
    if (!send)
      continue;
    const wire::Load& load = send->frame->load();
    EXPECT_EQ(load.start_rate_milli(), 13'000u);
    EXPECT_EQ(load.warmup_left_ms(), 2000u);
    ASSERT_GT(load.request_wait_us_size(), 0);
    EXPECT_GT(load.request_wait_us(0), 50'000u);
    EXPECT_LE(load.slots(), 2u);
    return;
  }
  FAIL() << "no load was sent";
}

// A service without a rate in the configuration is served as before.
TEST_F(WarmupTest, NothingChangesWithoutARule) {
  StartLongAgo(false);
  Report(3000ms);
  EXPECT_EQ(StartsInOneSecond(), 100u);
  EXPECT_EQ(refused_, 0u);
  EXPECT_EQ(node_->StatusAt(now_).warmup_refusals, 0u);
}

}  // namespace
}  // namespace comfreylock::mesh
