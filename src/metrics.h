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

  /// @return all metrics and the figures of `status`.
  std::string Text(const NodeStatus& status) const;

 private:
  struct Series;

  /// @return `organisation`, or a common name once there are too many.
  std::string BoundedName(const std::string& organisation);

  std::map<std::string, int> organisations_;
  std::map<std::pair<std::string, uint32_t>, std::unique_ptr<Series>> series_;
  std::map<std::pair<std::string, Reason>, uint64_t> refusals_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_METRICS_H_
