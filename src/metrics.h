#ifndef COMFREYLOCK_METRICS_H_
#define COMFREYLOCK_METRICS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "comfreylock/reducer.h"

/// Latencies and refusals for each organisation and importance class, in the
/// Prometheus text format.
namespace comfreylock {

class Metrics {
 public:
  Metrics();
  ~Metrics();

  /// @param latency from the arrival of a call to the end of its answer.
  void RecordCall(const std::string& organisation,
                  uint32_t importance,
                  std::chrono::microseconds latency);

  void RecordRefusal(const std::string& organisation, Reason reason);

  /// @return all metrics, and the values in `status` as gauges.
  std::string FormatMetrics(const NodeStatus& status) const;

 private:
  struct Series;

  /// @return `organisation`, or `other` if too many organisations have series
  /// of their own already.
  std::string NameInMetrics(const std::string& organisation);

  std::map<std::string, int> named_organisations_;
  std::map<std::pair<std::string, uint32_t>, std::unique_ptr<Series>> series_;
  std::map<std::pair<std::string, Reason>, uint64_t> refusals_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_METRICS_H_
