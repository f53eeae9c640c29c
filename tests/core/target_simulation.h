#ifndef COMFREYLOCK_TESTS_CORE_TARGET_SIMULATION_H_
#define COMFREYLOCK_TESTS_CORE_TARGET_SIMULATION_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "comfreylock/admission.h"
#include "comfreylock/config.h"

namespace comfreylock {

/// Simulates one target behind `Admission`. The target runs requests on a fixed
/// number of workers in the order in which they were started.
class TargetSimulation {
 public:
  struct Request {
    WorkItem item;
    TimePoint arrived_at;
  };

  TargetSimulation(Policy policy, ServiceRule rule, uint32_t workers)
      : admission_(MakeAdmission(policy, rule, TimePoint(1s))),
        worker_free_at_(workers, TimePoint(1s)) {
    Schedule(now_, [this] { Tick(); });
  }

  /// Schedules `action`.
  void Schedule(TimePoint time, std::function<void()> action) {
    actions_.push({time, ++sequence_, std::move(action)});
  }

  /// Sends requests from `begin` to `end` as a Poisson process with `rate` per
  /// second. Each has a deadline of its arrival plus `deadline`.
  void Send(WorkItem prototype,
            double rate,
            TimePoint begin,
            TimePoint end,
            std::chrono::milliseconds deadline) {
    Schedule(begin, [=, this] {
      WorkItem item = prototype;
      item.work = WorkId{++last_work_};
      item.deadline = now_ + deadline;
      Offer(item);
      std::exponential_distribution<double> gap(rate);
      auto next = now_ + std::chrono::microseconds(
                             1 + static_cast<int64_t>(gap(random_) * 1e6));
      if (next < end)
        Send(prototype, rate, next, end, deadline);
    });
  }

  void Offer(const WorkItem& item) {
    requests_[item.work] = {item, now_};
    ++offered[item.organisation];
    ApplyDecisions(admission_->Offer(item, now_));
  }

  void RunUntil(TimePoint end) {
    while (!actions_.empty() && actions_.top().time <= end) {
      auto action = actions_.top().action;
      now_ = actions_.top().time;
      actions_.pop();
      action();
    }
    now_ = end;
  }

  TimePoint now() const { return now_; }
  Admission& admission() { return *admission_; }

  /// Mean time that a worker spends on a request.
  std::chrono::microseconds service_time{10'000};
  /// Time that each request spends in onward calls, without holding a worker.
  std::chrono::microseconds downstream_time{0};
  /// Requests in flight above which the target answers 503 after 1 ms.
  uint32_t max_in_flight = UINT32_MAX;
  std::function<void(const Request&)> on_served_in_time = [](const Request&) {};
  std::function<void(const Request&, Reason)> on_refused = [](const Request&,
                                                              Reason) {};

  // Numbers of requests by organisation.
  std::map<std::string, int> offered;
  std::map<std::string, int> served_in_time;
  std::map<std::string, int> refused;
  int late = 0;  ///< Completed after their deadline, or shed by the target.

 private:
  struct Action {
    TimePoint time;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Action& other) const {
      return std::tie(other.time, other.sequence) < std::tie(time, sequence);
    }
  };

  void Tick() {
    ApplyDecisions(admission_->Advance(now_));
    Schedule(now_ + kTickInterval, [this] { Tick(); });
  }

  void ApplyDecisions(const AdmissionDecisions& decisions) {
    for (const auto& decision : decisions) {
      Request request = requests_.at(decision.work);
      requests_.erase(decision.work);
      if (decision.kind == AdmissionDecision::Kind::kStart) {
        Run(request);
        continue;
      }
      ++refused[request.item.organisation];
      on_refused(request, decision.reason);
    }
  }

  void Run(const Request& request) {
    if (admission_->in_flight() > max_in_flight) {
      Schedule(now_ + 1ms,
               [=, this] { End(request, WorkResult::kTargetShed); });
      return;
    }
    auto worker = std::ranges::min_element(worker_free_at_);
    std::gamma_distribution<double> spread(4, 0.25);
    auto time = std::chrono::microseconds(static_cast<int64_t>(
        spread(random_) * static_cast<double>(service_time.count())));
    *worker = std::max(*worker, now_) + time;
    Schedule(*worker + downstream_time,
             [=, this] { End(request, WorkResult::kCompleted); });
  }

  void End(const Request& request, WorkResult result) {
    if (result == WorkResult::kCompleted && now_ <= request.item.deadline) {
      ++served_in_time[request.item.organisation];
      on_served_in_time(request);
    } else {
      ++late;
    }
    ApplyDecisions(
        admission_->Finish(request.item.work, result, now_, downstream_time));
  }

  std::unique_ptr<Admission> admission_;
  std::vector<TimePoint> worker_free_at_;
  std::priority_queue<Action> actions_;
  std::map<WorkId, Request> requests_;
  std::mt19937_64 random_{7};
  TimePoint now_{1s};
  uint64_t sequence_ = 0;
  uint64_t last_work_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_TESTS_CORE_TARGET_SIMULATION_H_
