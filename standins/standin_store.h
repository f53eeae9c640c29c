#ifndef COMFREYLOCK_STANDINS_STANDIN_STORE_H_
#define COMFREYLOCK_STANDINS_STANDIN_STORE_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mini_http.h"

/// Stand-in for the platform's key-value service: an in-memory store with the
/// published etcd v3 JSON gateway API and fault injection.
namespace comfreylock::standins {

class StandinStore {
 public:
  explicit StandinStore(asio::io_context& context);

  /// Serves one request. Requests to `/standin/...` control the faults:
  /// - `POST /standin/outage?ms=N`: for N ms, closes connections on their
  ///   next request, and ends watches.
  /// - `POST /standin/hang?ms=N`: for N ms, sends no answers.
  ///   Leases are extended by the time of an outage or a hang.
  /// - `POST /standin/delay?ms=N`: carries out every request N ms later.
  /// - `POST /standin/lose-answers?count=N[&path=/v3/...]`: the next N
  ///   requests to the path (default: to all paths but /v3/kv/range) are
  ///   carried out, but their answers are not sent.
  /// - `POST /standin/limits?writes=N&reads=N`: answers 429 above N requests
  ///   per second; 0: no limit.
  /// - `POST /standin/compact`: discards the history before the present
  ///   revision.
  /// - `GET /standin/counters`: requests by path and by client address and
  ///   path, and injected faults by kind.
  asio::awaitable<void> Handle(Exchange& exchange);

 private:
  using Json = nlohmann::json;
  using Clock = std::chrono::steady_clock;

  struct Value {
    std::string data;
    int64_t create_revision = 0;
    int64_t mod_revision = 0;
    int64_t version = 0;
    int64_t lease = 0;
  };

  struct Change {
    int64_t revision = 0;
    std::string key;
    Value value;
    bool deleted = false;
  };

  struct Lease {
    std::chrono::seconds ttl{0};
    Clock::time_point expires_at;
  };

  /// Limit of requests per second.
  struct RequestLimit {
    int64_t max_requests = 0;  ///< 0: no limit.
    int64_t requests = 0;      ///< Requests in the present window.
    Clock::time_point window_start;
  };

  /// Counts a request.
  /// @return whether it exceeds the limit.
  bool CountAndCheckLimit(RequestLimit& limit);
  /// Counts an answer that is to be lost.
  /// @return whether the answer to a request to `path` is to be lost.
  bool ShouldLoseAnswer(const std::string& path);
  /// Starts an outage or a hang. Extends all leases by the time that it adds to
  /// the outages and hangs in progress.
  /// @param until `outage_until_` or `hang_until_`.
  void SetUnavailable(Clock::time_point& until, std::chrono::milliseconds time);
  void Compact();
  bool IsHanging() const;
  asio::awaitable<void> WaitWhileHanging();

  Json Range(const Json& body);
  Json Transaction(const Json& body);
  Json Grant(const Json& body);
  Json KeepAlive(const Json& body);
  Json Revoke(const Json& body);
  asio::awaitable<void> Watch(Exchange& exchange);
  asio::awaitable<void> Control(Exchange& exchange);
  asio::awaitable<void> Sleep(std::chrono::milliseconds time);

  Json Header() const;
  Json EntryJson(const std::string& key, const Value& value) const;
  void Put(const std::string& key, std::string data, int64_t lease);
  int64_t Delete(const std::string& key, const std::string& range_end);
  void ExpireLeases();
  bool IsInOutage() const;

  asio::io_context& context_;
  asio::steady_timer changed_;
  std::map<std::string, Value> values_;
  std::vector<Change> changes_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t last_lease_ = 1000;
  Clock::time_point outage_until_;
  Clock::time_point hang_until_;
  int64_t compact_revision_ = 0;
  RequestLimit write_limit_;
  RequestLimit read_limit_;
  std::string lose_answers_path_;
  std::chrono::milliseconds delay_{0};
  int answers_to_lose_ = 0;
  std::map<std::string, uint64_t> counters_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_STANDIN_STORE_H_
