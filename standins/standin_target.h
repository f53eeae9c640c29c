#ifndef COMFREYLOCK_STANDINS_STANDIN_TARGET_H_
#define COMFREYLOCK_STANDINS_STANDIN_TARGET_H_

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "mini_http.h"

/// Stand-in for a target: an HTTP server with a fixed number of slots, a
/// service time, and faulty answers on request.
namespace comfreylock::standins {

struct TargetOptions {
  std::string name = "target";
  int slots = 50;         ///< Requests that run at a time.
  size_t max_queued = 0;  ///< Requests that may wait for a slot; 0: no limit.
  double service_ms = 2;  ///< Mean service time, milliseconds.
  bool exponential = false;  ///< Exponential instead of constant service times.
  uint64_t seed = 1;         ///< Seed of exponential service times.
  /// Time after the start during which service times fall linearly from ten
  /// times the normal ones.
  std::chrono::milliseconds cold_start{0};
  /// The process exits on a request whose path or body contains this word;
  /// empty: never.
  std::string crash_on;
  std::string onward;  ///< IP:PORT for onward calls; empty: none are made.
  std::string onward_path;
};

class StandinTarget {
 public:
  StandinTarget(asio::io_context& context, TargetOptions options);

  /// Serves one request, including `GET /standin/executions`,
  /// `GET /standin/summary` and `POST /standin/service?ms=N`. Other requests
  /// run in a slot; the query `fault=late|crossed|cut|double` selects a faulty
  /// answer: after 3 s, with another request's id and path, truncated, or sent
  /// twice.
  asio::awaitable<void> Handle(Exchange& exchange);

 private:
  using Clock = std::chrono::steady_clock;

  struct Execution {
    std::string request_id;
    std::string method;
    std::string path;
    std::string idempotency_key;
    bool saw_key = false;  ///< The request had an Authorization header.
    std::string body_sha256;
  };

  /// A timed wait that ends early when the client closes its connection or when
  /// the request is granted the slot that it waits for.
  struct Wait {
    explicit Wait(asio::io_context& context) : timer(context) {}
    asio::steady_timer timer;
    bool granted = false;
    bool client_gone = false;
    bool ended = false;  ///< Handlers may no longer access the connection.
  };

  /// Releases a slot at the end of its scope.
  struct SlotGuard {
    explicit SlotGuard(StandinTarget& target) : target(target) {}
    ~SlotGuard() { target.ReleaseSlot(); }
    SlotGuard(const SlotGuard&) = delete;
    SlotGuard& operator=(const SlotGuard&) = delete;
    StandinTarget& target;
  };

  asio::awaitable<void> Control(Exchange& exchange, const std::string& path);
  asio::awaitable<void> SetServiceTime(Exchange& exchange,
                                       const std::string& path);
  [[nodiscard]] nlohmann::json Executions() const;
  [[nodiscard]] nlohmann::json Summary() const;
  [[nodiscard]] bool IsCrashRequest(const Request& request) const;

  /// Waits for a slot until `deadline`.
  /// @return the finished wait; the caller has to release a granted slot.
  asio::awaitable<std::shared_ptr<Wait>> WaitForSlot(
      Exchange& exchange,
      Clock::time_point deadline);
  /// Waits until `end`, or until `wait` ends early.
  asio::awaitable<void> WaitUntil(Exchange& exchange,
                                  std::shared_ptr<Wait> wait,
                                  Clock::time_point end);
  /// Passes the slot to the request that has waited longest, if there is one.
  void ReleaseSlot();

  /// Runs a request that holds a slot.
  /// @param status set to the status of the onward call, if one is made.
  /// @return the answer, or nothing if the client closed its connection.
  asio::awaitable<std::optional<nlohmann::json>> Run(Exchange& exchange,
                                                     unsigned& status);
  asio::awaitable<void> Answer(Exchange& exchange,
                               unsigned status,
                               nlohmann::json answer,
                               std::string fault);
  asio::awaitable<unsigned> CallOnward(Exchange& exchange,
                                       nlohmann::json& answer);
  std::chrono::microseconds ServiceTime();
  const Execution& RecordExecution(const Request& request);

  asio::io_context& context_;
  TargetOptions options_;
  std::mt19937_64 random_;
  Clock::time_point started_at_ = Clock::now();
  int running_ = 0;
  std::list<std::shared_ptr<Wait>> waiting_;  ///< In order of arrival.
  uint64_t executions_ = 0;
  uint64_t shed_ = 0;
  uint64_t cancelled_ = 0;
  uint64_t expired_ = 0;
  uint64_t saw_key_ = 0;
  std::deque<Execution> recent_;
  std::unordered_map<std::string, uint64_t> runs_by_idempotency_key_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_STANDIN_TARGET_H_
