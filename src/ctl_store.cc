#include "ctl_store.h"

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr std::chrono::milliseconds kStoreTimeout = 5s;

}  // namespace

CtlStore::CtlStore(std::string address)
    : store_(context_.get_executor(),
             std::move(address),
             [this](StoreRequestId /*call*/, StoreResult result) {
               result_ = std::move(result);
             }) {}

StoreResult CtlStore::Execute(const StoreRequest& request) {
  result_.reset();
  store_.Start(StoreRequestId{++last_call_}, request, kStoreTimeout);
  context_.restart();
  while (!result_ && context_.run_one() > 0) {
  }
  return result_.value_or(StoreFailure{"the store did not answer", true});
}

}  // namespace comfreylock
