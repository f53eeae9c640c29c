#ifndef COMFREYLOCK_STORE_ETCD_H_
#define COMFREYLOCK_STORE_ETCD_H_

#include <map>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "comfreylock/store.h"
#include "http_io.h"

/// Store client for the published etcd v3 JSON gateway.
namespace comfreylock {

class EtcdStore : public StoreClient {
 public:
  /// Calls requested since start, including those over budget.
  struct Counters {
    uint64_t reads = 0;
    uint64_t transactions = 0;
    uint64_t lease_calls = 0;
    uint64_t watches = 0;  ///< Including reconnections.
    uint64_t failures = 0;
    uint64_t over_budget = 0;  ///< Failed without contacting the store.
  };

  /// @param address IP:PORT of the gateway.
  /// @param callback receives every result, on the executor's thread.
  EtcdStore(asio::any_io_executor executor,
            std::string address,
            Callback callback);

  void Start(StoreRequestId call,
             StoreRequest request,
             std::chrono::milliseconds timeout) override;

  const Counters& counters() const { return counters_; }

 private:
  /// Token bucket that limits one kind of store calls of this node.
  struct CallBudget {
    double calls_per_second;
    double burst;  ///< Maximum of `tokens`.
    double tokens;
    IoTimePoint refilled_at;
  };
  struct OpenWatch {
    std::shared_ptr<HttpClientConnection> connection;
    bool cancelled = false;
  };

  bool TryAcquire(CallBudget& budget);
  bool TryAdmit(const StoreRequest& request);
  asio::awaitable<void> WatchOnce(StoreRequestId call,
                                  StoreWatch& watch,
                                  OpenWatch& open);

  asio::awaitable<StoreResult> Run(const StoreRequest& request,
                                   IoTimePoint deadline);
  asio::awaitable<nlohmann::json> Post(std::string path,
                                       nlohmann::json body,
                                       IoTimePoint deadline,
                                       bool& sent);
  asio::awaitable<void> RunWatch(StoreRequestId call, StoreWatch watch);

  asio::any_io_executor executor_;
  std::string address_;
  Callback callback_;
  HttpConnectionPool pool_;
  std::map<StoreRequestId, std::shared_ptr<OpenWatch>> watches_;
  CallBudget read_budget_;
  CallBudget transaction_budget_;
  Counters counters_;
  std::mt19937_64 random_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_STORE_ETCD_H_
