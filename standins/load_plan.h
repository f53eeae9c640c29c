#ifndef COMFREYLOCK_STANDINS_LOAD_PLAN_H_
#define COMFREYLOCK_STANDINS_LOAD_PLAN_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// Request streams of the load generator, read from a JSON file with comments.
namespace comfreylock::standins {

/// Requests of one kind from one organisation.
struct LoadStream {
  std::string name;
  std::string key;  ///< Key of the organisation; empty: none is sent.
  std::string method = "GET";
  std::string path;  ///< `{n}` is replaced by the request number.
  /// IP:PORT of the listeners to send to; each attempt picks one at random.
  std::vector<std::string> callers;
  double rate = 10;                    ///< Requests per second.
  std::chrono::milliseconds from{0};   ///< Since the start of the run.
  std::chrono::milliseconds until{0};  ///< Since the start of the run.
  std::chrono::milliseconds timeout{2000};
  uint32_t retries = 0;    ///< Immediate retries after any failure.
  bool once_only = false;  ///< Requests have an Idempotency-Key header.
  uint32_t resends = 0;  ///< Further sends of each request, also after success.
  uint32_t body_bytes = 0;
  bool check_body = true;  ///< Compare the echoed path and body digest.
};

struct LoadPlan {
  uint64_t seed = 1;
  std::chrono::milliseconds bin{200};  ///< Width of a time bin of the report.
  uint32_t max_in_flight = 4000;       ///< Further requests are not sent.
  std::vector<LoadStream> streams;
};

/// @throws InputError naming the field, the error and the allowed values.
LoadPlan ParseLoadPlan(std::string_view text, std::string_view origin);

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_LOAD_PLAN_H_
