#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <vector>

#include "comfreylock/admission.h"
#include "comfreylock/config.h"
#include "comfreylock/routing.h"

/// Measures the time of single decisions for several fleet sizes.
namespace comfreylock {
namespace {

constexpr TimePoint kStart(100s);

/// Chooses a target and records the load report of its answer. Argument: number
/// of known targets, all of one service in four zones.
void RouteOne(benchmark::State& state) {
  Router router({"node", "zone-0", 1});
  for (int64_t i = 0; i < state.range(0); ++i) {
    router.SetTarget({"target-" + std::to_string(i), "proofs",
                      "zone-" + std::to_string(i % 4), "127.0.0.1:1"},
                     kStart);
  }
  wire::AnswerReport report;
  report.set_in_flight(10);
  report.set_limit(50);
  TimePoint now = kStart + 10s;
  for (auto _ : state) {
    now += 10us;
    const TargetInfo* target = router.Choose("proofs", {}, now);
    router.OnAttemptDispatched(target->node, now);
    router.OnAttemptEnded(target->node, AttemptResult::kAnswered, &report, 5ms,
                          now);
  }
}
BENCHMARK(RouteOne)->Arg(10)->Arg(1000)->Arg(20000);

/// Removes a target and adds it again. Argument: number of known targets.
void ChangeTarget(benchmark::State& state) {
  Router router({"node", "zone-0", 1});
  TargetInfo target;
  for (int64_t i = 0; i < state.range(0); ++i) {
    target = {"target-" + std::to_string(i), "proofs",
              "zone-" + std::to_string(i % 4), "127.0.0.1:1"};
    router.SetTarget(target, kStart);
  }
  for (auto _ : state) {
    router.RemoveTarget(target.node);
    router.SetTarget(target, kStart);
  }
}
BENCHMARK(ChangeTarget)->Arg(10)->Arg(1000)->Arg(20000);

/// Offers one request and finishes another while the queue is full. Argument:
/// number of organisations.
void AdmitOne(benchmark::State& state) {
  ServiceRule rule;
  rule.slots = 50;
  rule.queue = 2000;
  rule.queue_delay = 60s;
  rule.ramp = 0ms;
  auto admission = MakeAdmission(Policy::kStandard, rule, kStart);
  std::vector<std::string> names;
  for (int64_t i = 0; i < state.range(0); ++i)
    names.push_back("organisation-" + std::to_string(i));
  TimePoint now = kStart;
  std::deque<WorkId> running;
  uint64_t last_work = 0;
  auto record_started = [&](const AdmissionDecisions& changes) {
    for (const auto& change : changes) {
      if (change.kind == AdmissionDecision::Kind::kStart)
        running.push_back(change.work);
    }
  };
  auto offer = [&] {
    WorkItem item;
    item.work = WorkId{++last_work};
    item.organisation = names[last_work % names.size()];
    item.route = "route";
    item.importance = 2;
    item.deadline = now + 60s;
    record_started(admission->Offer(item, now));
  };
  for (int i = 0; i < 3000; ++i)
    offer();
  for (auto _ : state) {
    now += 10us;
    offer();
    WorkId work = running.front();
    running.pop_front();
    record_started(admission->Finish(work, WorkResult::kCompleted, now, 0us));
  }
}
BENCHMARK(AdmitOne)->Arg(8)->Arg(1000);

}  // namespace
}  // namespace comfreylock

BENCHMARK_MAIN();
