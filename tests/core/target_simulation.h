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

/// One target behind `Admission`, in simulated time. The target runs requests
/// on a fixed number of workers, first come first served.
class TargetSimulation {
 public:
  struct Request {
    WorkItem item;
    TimePoint arrived;
  };

  TargetSimulation(Policy policy, ServiceRule rule, uint32_t workers)
      : admission_(MakeAdmission(policy, rule, TimePoint(1s))),
        free_at_(workers, TimePoint(1s)) {
    At(now_, [this] { TickOnce(); });
  }

  void At(TimePoint time, std::function<void()> action) {
    actions_.push({time, ++sequence_, std::move(action)});
  }

  /// Sends `rate` requests a second from `begin` to `end`, evenly spaced with
  /// random jitter.
  void Send(WorkItem prototype,
            double rate,
            TimePoint begin,
            TimePoint end,
            std::chrono::milliseconds deadline) {
    At(begin, [=, this] {
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
    Apply(admission_->Offer(item, now_));
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
  /// Time of each request in onward calls, beside the workers.
  std::chrono::microseconds downstream{0};
  /// Requests in flight above which the target answers 503 at once.
  uint32_t sheds_above = UINT32_MAX;
  std::function<void(const Request&)> on_whole = [](const Request&) {};
  std::function<void(const Request&, Reason)> on_refused = [](const Request&,
                                                              Reason) {};

  std::map<std::string, int> offered;
  std::map<std::string, int> whole;
  std::map<std::string, int> refused;
  int late = 0;  ///< Ran to the end after their deadline.

 private:
  struct Action {
    TimePoint time;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Action& other) const {
      return std::tie(other.time, other.sequence) < std::tie(time, sequence);
    }
  };

  void TickOnce() {
    Apply(admission_->Advance(now_));
    At(now_ + kTickInterval, [this] { TickOnce(); });
  }

  void Apply(const AdmissionChanges& changes) {
    for (const auto& change : changes) {
      Request request = requests_.at(change.work);
      requests_.erase(change.work);
      if (change.kind == AdmissionChange::Kind::kStart) {
        Run(request);
        continue;
      }
      ++refused[request.item.organisation];
      on_refused(request, change.reason);
    }
  }

  void Run(const Request& request) {
    if (admission_->in_flight() > sheds_above) {
      At(now_ + 1ms, [=, this] { End(request, WorkResult::kTargetShed); });
      return;
    }
    auto worker = std::ranges::min_element(free_at_);
    std::gamma_distribution<double> spread(4, 0.25);
    auto time = std::chrono::microseconds(static_cast<int64_t>(
        spread(random_) * static_cast<double>(service_time.count())));
    *worker = std::max(*worker, now_) + time;
    At(*worker + downstream,
       [=, this] { End(request, WorkResult::kCompleted); });
  }

  void End(const Request& request, WorkResult result) {
    if (result == WorkResult::kCompleted && now_ <= request.item.deadline) {
      ++whole[request.item.organisation];
      on_whole(request);
    } else {
      ++late;
    }
    Apply(admission_->Finish(request.item.work, result, now_, downstream));
  }

  std::unique_ptr<Admission> admission_;
  std::vector<TimePoint> free_at_;
  std::priority_queue<Action> actions_;
  std::map<WorkId, Request> requests_;
  std::mt19937_64 random_{7};
  TimePoint now_{1s};
  uint64_t sequence_ = 0;
  uint64_t last_work_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_TESTS_CORE_TARGET_SIMULATION_H_
