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

/// Stand-in for the platform's key-value service: the published etcd v3 JSON
/// gateway shape, in memory, with faults on request.
namespace comfreylock::standins {

class StandinStore {
 public:
  explicit StandinStore(asio::io_context& context);

  /// Serves one request, including `/standin/...` for tests:
  /// - `POST /standin/outage?ms=N`: closes every connection that is used.
  /// - `POST /standin/hang?ms=N`: leaves every request without answer.
  ///   Leases do not run during an outage of either kind.
  /// - `POST /standin/delay?ms=N`: delays every answer.
  /// - `POST /standin/lose-answers?count=N[&path=/v3/...]`: carries out the
  ///   next N calls (writes, or those of the path) without an answer.
  /// - `POST /standin/limits?writes=N&reads=N`: answers 429 above N calls in
  ///   a second; 0: no limit.
  /// - `POST /standin/compact`: forgets the history before this revision.
  /// - `GET /standin/counters`: calls by path and by `client path`.
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
    Clock::time_point expires;
  };

  /// Calls counted in the present second.
  struct Limit {
    int64_t most = 0;
    int64_t used = 0;
    Clock::time_point since;
  };

  bool OverLimit(Limit& limit);
  bool LosesAnswer(const std::string& path);
  void SetAway(Clock::time_point& until, std::chrono::milliseconds time);
  void Compact();
  bool Hanging() const;
  asio::awaitable<void> WaitWhileHanging();

  Json Range(const Json& body);
  Json Transaction(const Json& body);
  Json Grant(const Json& body);
  Json KeepAlive(const Json& body);
  Json Revoke(const Json& body);
  asio::awaitable<void> Watch(Exchange& exchange);
  asio::awaitable<void> Control(Exchange& exchange);
  asio::awaitable<void> Pause(std::chrono::milliseconds time);

  Json Header() const;
  Json EntryJson(const std::string& key, const Value& value) const;
  void Put(const std::string& key, std::string data, int64_t lease);
  int64_t Delete(const std::string& key, const std::string& range_end);
  void ExpireLeases();
  bool Away() const;

  asio::io_context& context_;
  asio::steady_timer changed_;
  std::map<std::string, Value> values_;
  std::vector<Change> changes_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t last_lease_ = 1000;
  Clock::time_point away_until_;
  Clock::time_point hang_until_;
  int64_t compacted_ = 0;
  Limit writes_;
  Limit reads_;
  std::string lose_path_;
  std::chrono::milliseconds delay_{0};
  int lose_answers_ = 0;
  std::map<std::string, uint64_t> counters_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_STANDIN_STORE_H_
