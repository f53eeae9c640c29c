#include "mesh/target_queue.h"

#include <algorithm>
#include <map>

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

/// Runs one request of a kind to its end, so that the queue knows its time.
void Teach(TargetQueue& queue, bool onward, milliseconds time, TimePoint& now) {
  for (uint64_t i = 0; i < 20; ++i) {
    auto started = queue.Offer(Work(900'000 + i, 0, onward, now), now);
    ASSERT_EQ(started.start.size(), 1u);
    now += time;
    queue.Finish(started.start.front(), true, now);
  }
}

// Some targets never answer what they cannot queue, so one request too many
// hangs until its deadline.
TEST(TargetQueueTest, NeverStartsMoreThanTheSlots) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(3);
  size_t started = 0;
  for (uint64_t i = 1; i <= 50; ++i)
    started += queue.Offer(Work(i, i % 3, i % 2 == 0, now), now).start.size();
  EXPECT_LE(started, 3u);
  EXPECT_EQ(queue.in_flight(), started);
}

TEST(TargetQueueTest, RefusesWhatWouldStartTooLate) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(2);
  Teach(queue, false, 1000ms, now);
  size_t waiting = 0;
  size_t refused = 0;
  for (uint64_t i = 1; i <= 20; ++i) {
    auto changes = queue.Offer(Work(i, 1, false, now), now);
    refused += changes.refuse.size();
    waiting = queue.queued();
  }
  // Each slot serves one a second, and answers have their worth for 2.5 s.
  EXPECT_LE(waiting, 4u);
  EXPECT_GE(refused, 14u);
}

// A node that has just started knows no service times, while callers that were
// cut off come back all at once.
TEST(TargetQueueTest, DoesNotLetEverythingWaitBeforeTheFirstAnswer) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(10);
  for (uint64_t i = 1; i <= 1000; ++i)
    queue.Offer(Work(i, 1, false, now), now);
  // Ten slots that take 150 ms each serve 150 in the time that counts.
  EXPECT_LE(queue.queued(), 200u);
}

// A caller that cannot be served in time learns it at the latest start, not at
// its deadline.
TEST(TargetQueueTest, RefusesAWaitingRequestAtItsLatestStart) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  Teach(queue, false, 1000ms, now);
  ASSERT_EQ(queue.Offer(Work(1, 1, false, now), now).start.size(), 1u);
  ASSERT_EQ(queue.Offer(Work(2, 1, false, now), now).refuse.size(), 0u);
  auto changes = queue.Advance(now + 1600ms);
  ASSERT_EQ(changes.refuse.size(), 1u);
  EXPECT_EQ(changes.refuse.front(), WorkId{2});
}

TEST(TargetQueueTest, StartsTheMostImportantFirst) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  Teach(queue, false, 10ms, now);
  queue.Offer(Work(1, 2, false, now), now);
  queue.Offer(Work(2, 2, false, now), now);
  queue.Offer(Work(3, 0, false, now), now);
  auto changes = queue.Finish(WorkId{1}, true, now + 10ms);
  ASSERT_EQ(changes.start.size(), 1u);
  EXPECT_EQ(changes.start.front(), WorkId{3});
}

// One organisation sends far more than the other: both get half of the target.
TEST(TargetQueueTest, OrganisationsTakeTurns) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  Teach(queue, false, 10ms, now);
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

/// What a target with a number of slots serves of a steady load, within times.
struct Replay {
  double calls = 0;     ///< Part of the offered calls that ended.
  double requests = 0;  ///< Part of the offered requests that ended.
};

Replay ReplayLoad(uint32_t slots,
                  milliseconds call_gap,
                  milliseconds call_time,
                  milliseconds request_gap,
                  milliseconds request_time) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(slots);
  std::map<uint64_t, TimePoint> ends;
  std::map<uint64_t, bool> kinds;
  uint64_t last = 0;
  double offered[2] = {};
  double ended[2] = {};
  auto apply = [&](const TargetQueue::Changes& changes) {
    for (WorkId id : changes.start) {
      ends[id.value] = now + (kinds[id.value] ? call_time : request_time);
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
      ++ended[kinds[id]];
      apply(queue.Finish(WorkId{id}, true, now));
    }
    for (bool onward : {true, false}) {
      milliseconds gap = onward ? call_gap : request_gap;
      if (t.count() % gap.count() != 0)
        continue;
      ++last;
      kinds[last] = onward;
      ++offered[onward];
      apply(queue.Offer(Work(last, 1, onward, now), now));
    }
    apply(queue.Advance(now));
  }
  return {ended[1] / offered[1], ended[0] / offered[0]};
}

// Guards against short calls that wait for the end of long requests: with one
// target of a service left, the calls of all chains failed.
TEST(TargetQueueTest, LongRequestsDoNotBlockShortCalls) {
  // Calls need 14 of 29 slots, requests would take 70.
  Replay replay = ReplayLoad(29, 8ms, 110ms, 25ms, 1760ms);
  EXPECT_GE(replay.calls, 0.9);
  EXPECT_GE(replay.requests, 0.1);
}

// Guards against a route that gets nothing while calls would fill all slots.
TEST(TargetQueueTest, CallsDoNotStarveRequests) {
  Replay replay = ReplayLoad(20, 2ms, 110ms, 50ms, 400ms);
  EXPECT_GE(replay.requests, 0.15);
  EXPECT_GE(replay.calls, 0.2);
}

// A target that is slower by a third when nearly full: the last slots must not
// be used while work waits. Guards against a loss of throughput at the very
// time at which it is short.
TEST(TargetQueueTest, LeavesSlotsUnusedThatSlowTheTargetDown) {
  constexpr uint32_t kSlots = 40;
  constexpr uint32_t kFast = 38;
  TargetQueue queue;
  queue.SetSlots(kSlots);
  TimePoint now(100s);
  std::multimap<TimePoint, uint64_t> ends;
  uint64_t last = 0;
  int served = 0;
  auto start = [&](const TargetQueue::Changes& changes) {
    for (WorkId work : changes.start) {
      bool slow = ends.size() >= kFast;
      ends.emplace(now + (slow ? 130ms : 100ms) + (work.value % 9) * 5ms,
                   work.value);
    }
  };
  // Calm at first, then more than the target can do.
  for (auto [pause, time] : {std::pair(10ms, 3s), std::pair(1ms, 12s)}) {
    TimePoint end = now + time;
    served = 0;
    for (; now < end; now += pause) {
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
  // With all slots 40 / 150 ms, with 38 of them 38 / 120 ms: 317 a second.
  EXPECT_GE(served / 12.0, 0.93 * 317);
}

TEST(TargetQueueTest, ClearRefusesAllThatWait) {
  TargetQueue queue;
  TimePoint now(1s);
  queue.SetSlots(1);
  Teach(queue, false, 10ms, now);
  for (uint64_t id = 1; id <= 4; ++id)
    queue.Offer(Work(id, 1, id == 4, now), now);
  EXPECT_EQ(queue.Clear().refuse.size(), 3u);
  EXPECT_EQ(queue.queued(), 0u);
  EXPECT_FALSE(queue.Remove(WorkId{2}));
}

}  // namespace
}  // namespace comfreylock::mesh
