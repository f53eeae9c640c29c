#include "mesh/target_queue.h"

#include <algorithm>
#include <map>
#include <optional>

#include <gtest/gtest.h>

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

OfferedWork Work(uint64_t id, uint32_t rank, bool onward, TimePoint now) {
  OfferedWork work;
  work.work = WorkId{id};
  work.organisation = onward ? "" : "org" + std::to_string(id % 2);
  work.route = onward ? "call" : "request";
  work.rank = rank;
  work.onward = onward;
  work.useful_until = now + (onward ? 700ms : 2500ms);
  work.deadline = now + 5s;
  return work;
}

/// Runs some requests of a kind to their end, so that the queue has their
/// service time.
void RunToMeasureServiceTime(TargetQueue& queue,
                             bool onward,
                             milliseconds time,
                             TimePoint& now) {
  for (uint64_t i = 0; i < 20; ++i) {
    auto started = queue.Offer(Work(900'000 + i, 0, onward, now), now);
    ASSERT_EQ(started.start.size(), 1u);
    now += time;
    queue.Finish(started.start.front(), true, now);
  }
}

// Some targets never answer requests that they cannot queue, so a request
// beyond the slots hangs until its deadline.
TEST(TargetQueueTest, RunningRequestsNeverExceedSlots) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(3);
  size_t started = 0;
  for (uint64_t i = 1; i <= 50; ++i)
    started += queue.Offer(Work(i, i % 3, i % 2 == 0, now), now).start.size();
  EXPECT_LE(started, 3u);
  EXPECT_EQ(queue.in_flight(), started);
}

TEST(TargetQueueTest, RefusesRequestsThatWouldStartTooLate) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(2);
  RunToMeasureServiceTime(queue, false, 1000ms, now);
  size_t waiting = 0;
  size_t refused = 0;
  for (uint64_t i = 1; i <= 20; ++i) {
    auto changes = queue.Offer(Work(i, 1, false, now), now);
    refused += changes.refuse.size();
    waiting = queue.queued();
  }
  // Each slot serves one request per second, and answers have their full value
  // for 2.5 s.
  EXPECT_LE(waiting, 4u);
  EXPECT_GE(refused, 14u);
}

// A node that has just started has no service times, while disconnected callers
// reconnect all at once.
TEST(TargetQueueTest, QueueIsBoundedBeforeFirstServiceTime) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(10);
  for (uint64_t i = 1; i <= 1000; ++i)
    queue.Offer(Work(i, 1, false, now), now);
  // At 150 ms each, ten slots serve 150 requests in the usable time of 2.25 s.
  EXPECT_LE(queue.queued(), 200u);
}

// A caller that cannot be served in time is refused at the latest start, not at
// its deadline.
TEST(TargetQueueTest, RefusesWaitingRequestAtLatestStart) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  RunToMeasureServiceTime(queue, false, 1000ms, now);
  ASSERT_EQ(queue.Offer(Work(1, 1, false, now), now).start.size(), 1u);
  ASSERT_EQ(queue.Offer(Work(2, 1, false, now), now).refuse.size(), 0u);
  auto changes = queue.Advance(now + 1600ms);
  ASSERT_EQ(changes.refuse.size(), 1u);
  EXPECT_EQ(changes.refuse.front(), WorkId{2});
}

// During a surge important onward calls keep overtaking less important ones.
// Guards against calls that wait until their deadline, whose requests then fail
// instead of being refused.
TEST(TargetQueueTest, RefusesOvertakenOnwardCallLongBeforeDeadline) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  RunToMeasureServiceTime(queue, true, 20ms, now);
  auto offer = [&](uint64_t id, uint32_t rank) {
    OfferedWork work = Work(id, rank, true, now);
    work.deadline = work.useful_until;
    return queue.Offer(work, now);
  };
  ASSERT_EQ(offer(1, 0).start.size(), 1u);
  ASSERT_TRUE(offer(2, 5).refuse.empty());
  uint64_t running = 1;
  TimePoint offered_at = now;
  std::optional<TimePoint> refused_at;
  for (uint64_t id = 3; now - offered_at < 700ms && !refused_at; ++id) {
    offer(id, 0);
    now += 20ms;
    auto changes = queue.Finish(WorkId{running}, true, now);
    ASSERT_EQ(changes.start.size(), 1u);
    running = changes.start.front().value;
    if (std::ranges::count(queue.Advance(now).refuse, WorkId{2}) == 1)
      refused_at = now;
  }
  ASSERT_TRUE(refused_at);
  // 0.3 of the 700 ms, the fraction that one onward call may use.
  EXPECT_LE(*refused_at - offered_at, 210ms);
}

TEST(TargetQueueTest, StartsMostImportantFirst) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  RunToMeasureServiceTime(queue, false, 10ms, now);
  queue.Offer(Work(1, 2, false, now), now);
  queue.Offer(Work(2, 2, false, now), now);
  queue.Offer(Work(3, 0, false, now), now);
  auto changes = queue.Finish(WorkId{1}, true, now + 10ms);
  ASSERT_EQ(changes.start.size(), 1u);
  EXPECT_EQ(changes.start.front(), WorkId{3});
}

// One organisation sends far more than the other: each gets half of the target
// while both have requests waiting.
TEST(TargetQueueTest, OrganisationsTakeTurns) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  RunToMeasureServiceTime(queue, false, 10ms, now);
  auto offer = [&](uint64_t id, const std::string& organisation) {
    OfferedWork work = Work(id, 1, false, now);
    work.organisation = organisation;
    return queue.Offer(work, now);
  };
  offer(1, "loud");
  for (uint64_t id = 2; id <= 20; ++id)
    offer(id, "loud");
  for (uint64_t id = 21; id <= 25; ++id)
    offer(id, "quiet");
  std::vector<WorkId> order;
  WorkId running{1};
  for (int i = 0; i < 10; ++i) {
    now += 10ms;
    auto changes = queue.Finish(running, true, now);
    ASSERT_EQ(changes.start.size(), 1u);
    running = changes.start.front();
    order.push_back(running);
  }
  auto quiet =
      std::ranges::count_if(order, [](WorkId id) { return id.value >= 21; });
  EXPECT_EQ(quiet, 5);
}

/// How much of a steady load a target served.
struct Replay {
  /// Fractions of the offered requests that ended.
  double onward_calls = 0;
  double caller_requests = 0;
};

/// Offers onward calls and requests from callers at fixed intervals (`_gap`)
/// and service times (`_time`) for 20 s.
Replay ReplayLoad(uint32_t slots,
                  milliseconds onward_gap,
                  milliseconds onward_time,
                  milliseconds caller_gap,
                  milliseconds caller_time) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(slots);
  std::map<uint64_t, TimePoint> ends;
  std::map<uint64_t, bool> is_onward;
  uint64_t last = 0;
  double offered[2] = {};
  double ended[2] = {};
  auto apply = [&](const TargetQueue::Changes& changes) {
    for (WorkId id : changes.start) {
      ends[id.value] = now + (is_onward[id.value] ? onward_time : caller_time);
    }
  };
  for (milliseconds t{0}; t < 20s; t += 1ms) {
    now += 1ms;
    std::vector<uint64_t> done;
    for (const auto& [id, end] : ends) {
      if (end <= now)
        done.push_back(id);
    }
    for (uint64_t id : done) {
      ends.erase(id);
      ++ended[is_onward[id]];
      apply(queue.Finish(WorkId{id}, true, now));
    }
    for (bool onward : {true, false}) {
      milliseconds gap = onward ? onward_gap : caller_gap;
      if (t.count() % gap.count() != 0)
        continue;
      ++last;
      is_onward[last] = onward;
      ++offered[onward];
      apply(queue.Offer(Work(last, 1, onward, now), now));
    }
    apply(queue.Advance(now));
  }
  return {ended[1] / offered[1], ended[0] / offered[0]};
}

// Guards against short onward calls that wait for long requests to end: with
// one target of a service left, the onward calls of all call chains failed.
TEST(TargetQueueTest, LongRequestsDoNotBlockShortOnwardCalls) {
  // Onward calls need 14 of 29 slots, requests from callers would need 70.
  Replay replay = ReplayLoad(29, 8ms, 110ms, 25ms, 1760ms);
  EXPECT_GE(replay.onward_calls, 0.9);
  EXPECT_GE(replay.caller_requests, 0.1);
}

// Guards against a route that is never served, since onward calls could fill
// all slots.
TEST(TargetQueueTest, OnwardCallsDoNotStarveCallerRequests) {
  Replay replay = ReplayLoad(20, 2ms, 110ms, 50ms, 400ms);
  EXPECT_GE(replay.caller_requests, 0.15);
  EXPECT_GE(replay.onward_calls, 0.2);
}

// Guards against a loss of throughput during an overload: a target that is
// slower by a third when nearly full must keep its last slots unused, even
// while requests wait.
TEST(TargetQueueTest, LeavesSlotsUnusedThatSlowDownTarget) {
  constexpr uint32_t kSlots = 40;
  constexpr uint32_t kFastSlots = 38;
  TargetQueue queue;
  queue.SetSlots(kSlots);
  TimePoint now(100s);
  std::multimap<TimePoint, uint64_t> ends;
  uint64_t last = 0;
  int served = 0;
  auto start = [&](const TargetQueue::Changes& changes) {
    for (WorkId work : changes.start) {
      bool slow = ends.size() >= kFastSlots;
      ends.emplace(now + (slow ? 130ms : 100ms) + (work.value % 9) * 5ms,
                   work.value);
    }
  };
  // Load below the capacity at first, then above it.
  for (auto [interval, time] : {std::pair(10ms, 3s), std::pair(1ms, 12s)}) {
    TimePoint end = now + time;
    served = 0;
    for (; now < end; now += interval) {
      while (!ends.empty() && ends.begin()->first <= now) {
        uint64_t done = ends.begin()->second;
        ends.erase(ends.begin());
        ++served;
        start(queue.Finish(WorkId{done}, true, now));
      }
      start(queue.Advance(now));
      start(queue.Offer(Work(++last, 1, false, now), now));
    }
  }
  // All slots serve 40 / 150 ms = 267 requests per second; 38 slots serve
  // 38 / 120 ms = 317.
  EXPECT_GE(served / 12.0, 0.93 * 317);
}

TEST(TargetQueueTest, RefuseAllEmptiesQueue) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  RunToMeasureServiceTime(queue, false, 10ms, now);
  for (uint64_t id = 1; id <= 4; ++id)
    queue.Offer(Work(id, 1, id == 4, now), now);
  EXPECT_EQ(queue.RefuseAll().refuse.size(), 3u);
  EXPECT_EQ(queue.queued(), 0u);
  EXPECT_FALSE(queue.Remove(WorkId{2}));
}

}  // namespace
}  // namespace comfreylock::mesh
