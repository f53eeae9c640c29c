#ifndef COMFREYLOCK_STANDINS_LOAD_REPORT_H_
#define COMFREYLOCK_STANDINS_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// What the load tool saw.
namespace comfreylock::standins {

/// How one request ended, as its caller saw it.
struct LoadResult {
  std::chrono::microseconds scheduled{0};  ///< Since the start of the run.
  std::chrono::microseconds ended{0};
  int status = 0;          ///< 0: no answer.
  std::string outcome;     ///< Value of Comfreylock-Outcome.
  std::string reason;      ///< Of the problem body.
  bool whole = false;      ///< A 2xx answer with the right content.
  bool wrong = false;      ///< A 2xx answer with wrong content.
  uint32_t attempts = 0;   ///< Requests that this caller sent.
  bool maybe_run = false;  ///< Any attempt was answered other than not-run.
};

/// Counts and latencies of one stream. Latency counts from the scheduled
/// time, so that a stalled system cannot hide its delays.
class StreamReport {
 public:
  explicit StreamReport(std::chrono::milliseconds bin) : bin_(bin) {}

  void Add(const LoadResult& result);

  nlohmann::json ToJson() const;

 private:
  struct Bin {
    uint64_t scheduled = 0;
    uint64_t whole = 0;
    uint64_t refused = 0;
    uint64_t admitted = 0;
  };

  Bin& BinAt(std::chrono::microseconds time);
  double Quantile(double share) const;

  std::chrono::milliseconds bin_;
  uint64_t requests_ = 0;
  uint64_t attempts_ = 0;
  uint64_t whole_ = 0;
  uint64_t wrong_ = 0;
  std::map<std::string, uint64_t> endings_;
  std::vector<Bin> bins_;
  std::vector<uint32_t> latencies_us_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_LOAD_REPORT_H_
