#ifndef COMFREYLOCK_STANDINS_LOAD_REPORT_H_
#define COMFREYLOCK_STANDINS_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// Results of the load generator.
namespace comfreylock::standins {

/// Result of one request, as observed by the caller.
struct LoadResult {
  std::chrono::microseconds scheduled{0};  ///< Since the start of the run.
  std::chrono::microseconds ended{0};      ///< Since the start of the run.
  int status = 0;                          ///< 0: no answer.
  std::string outcome;    ///< Comfreylock-Outcome of the last attempt.
  std::string reason;     ///< From the problem document, or the I/O error.
  bool whole = false;     ///< The last attempt got the correct 2xx answer.
  bool wrong = false;     ///< Any attempt got a 2xx answer with wrong content.
  uint32_t attempts = 0;  ///< HTTP requests sent, with retries and resends.
  /// An attempt had no answer, or an outcome other than not-run.
  bool maybe_run = false;
};

/// Counts and latencies of one stream. Latency is measured from the scheduled
/// time, so that it includes delays caused by a stalled system.
class StreamReport {
 public:
  explicit StreamReport(std::chrono::milliseconds bin) : bin_(bin) {}

  void Add(const LoadResult& result);

  nlohmann::json ToJson() const;

 private:
  /// Counts of one time bin.
  struct Bin {
    uint64_t scheduled = 0;
    uint64_t whole = 0;
    uint64_t refused = 0;   ///< Ended, but not `whole`, for any cause.
    uint64_t admitted = 0;  ///< Requests with `maybe_run`.
  };

  Bin& BinAt(std::chrono::microseconds time);
  double Quantile(double fraction) const;

  std::chrono::milliseconds bin_;
  uint64_t requests_ = 0;
  uint64_t attempts_ = 0;
  uint64_t whole_ = 0;
  uint64_t wrong_ = 0;
  /// Number of requests by status, outcome and reason.
  std::map<std::string, uint64_t> endings_;
  std::vector<Bin> bins_;
  std::vector<uint32_t> latencies_us_;
};

}  // namespace comfreylock::standins

#endif  // COMFREYLOCK_STANDINS_LOAD_REPORT_H_
