#ifndef COMFREYLOCK_CTL_STORE_H_
#define COMFREYLOCK_CTL_STORE_H_

#include <string>

#include <boost/asio/io_context.hpp>

#include "store_etcd.h"

/// Blocking access to the store for command-line programs.
namespace comfreylock {

class CtlStore {
 public:
  explicit CtlStore(std::string address);

  /// @return the result, or a `StoreFailure` after 5 s.
  StoreResult Execute(const StoreRequest& request);

 private:
  asio::io_context context_{1};
  std::optional<StoreResult> result_;
  EtcdStore store_;
  uint64_t last_call_ = 0;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CTL_STORE_H_
