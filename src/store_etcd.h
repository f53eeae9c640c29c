#ifndef COMFREYLOCK_STORE_ETCD_H_
#define COMFREYLOCK_STORE_ETCD_H_

#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "comfreylock/store.h"
#include "http_io.h"

/// Store client for the published etcd v3 JSON gateway.
namespace comfreylock {

class EtcdStore : public StoreClient {
 public:
  /// @param address IP:PORT of the gateway.
  /// @param callback receives every result, on the executor's thread.
  EtcdStore(asio::any_io_executor executor,
            std::string address,
            Callback callback);

  void Start(StoreCallId call,
             StoreRequest request,
             std::chrono::milliseconds timeout) override;

 private:
  asio::awaitable<StoreResult> Run(const StoreRequest& request,
                                   IoDeadline deadline);
  asio::awaitable<nlohmann::json> Post(std::string path,
                                       nlohmann::json body,
                                       IoDeadline deadline,
                                       bool& sent);
  asio::awaitable<void> RunWatch(StoreCallId call, StoreWatch watch);

  asio::any_io_executor executor_;
  std::string address_;
  Callback callback_;
  HttpPool pool_;
  std::map<StoreCallId, std::shared_ptr<HttpConnection>> watches_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_STORE_ETCD_H_
