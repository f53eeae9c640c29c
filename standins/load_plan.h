#ifndef COMFREYLOCK_STANDINS_LOAD_PLAN_H_
#define COMFREYLOCK_STANDINS_LOAD_PLAN_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

/// What the load tool sends, read from a JSON file with comments.
namespace comfreylock::standins {

/// Requests of one kind from one organisation.
struct LoadStream {
  std::string name;
  std::string key;  ///< Caller key; empty sends none.
  std::string method = "GET";
  std::string path;                  ///< `{n}` becomes a running number.
  std::vector<std::string> callers;  ///< IP:PORT; each request picks one.
  double rate = 10;                  ///< Requests per second.
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
  std::chrono::milliseconds timeout{2000};
  uint32_t retries = 0;  ///< Client retries, at once, after any failure.
  bool once_only = false;
  uint32_t resends = 0;  ///< Sends each order again, also after success.
  uint32_t body_bytes = 0;
  bool check_body = true;  ///< Compare the echoed path and digest.
};

struct LoadPlan {
  uint64_t seed = 1;
  std::chrono::milliseconds bin{200};  ///< Width of one time bin.
  uint32_t max_in_flight = 4000;
  std::vector<LoadStream> streams;
};

/// @throws InputError naming the field, what was wrong and what is allowed.
LoadPlan ParseLoadPlan(std::string_view text, std::string_view origin);

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_LOAD_PLAN_H_
