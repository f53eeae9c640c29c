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
  /// `POST /standin/outage?ms=N`, `POST /standin/delay?ms=N`,
  /// `POST /standin/lose-answers?count=N` and `GET /standin/counters`.
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
  std::chrono::milliseconds delay_{0};
  int lose_answers_ = 0;
  std::map<std::string, uint64_t> counters_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_STANDIN_STORE_H_
