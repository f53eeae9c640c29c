#ifndef COMFREYLOCK_MESH_METRICS_H_
#define COMFREYLOCK_MESH_METRICS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "mesh/mesh_reducer.h"

/// Counters and latency histograms of callers' requests, for Prometheus.
namespace comfreylock::mesh {

class Metrics {
 public:
  /// Counts a request that was answered.
  /// @param result HTTP status of the answer, or the reason of a refusal.
  void CountAnswer(const std::string& route,
                   const std::string& organisation,
                   const std::string& result,
                   std::chrono::microseconds latency);

  /// @param status written as gauges.
  /// @return all metrics in the text format of Prometheus.
  std::string FormatPrometheus(const NodeStatus& status) const;

 private:
  /// Upper bounds of the latency buckets.
  static constexpr std::array<int, 12> kBucketBoundsMs = {
      5, 10, 25, 50, 100, 250, 500, 1000, 1500, 2500, 5000, 10000};
  /// Maximum number of label values that have their own histogram; all further
  /// ones are counted as `other`.
  static constexpr size_t kMaxSeries = 512;

  struct Histogram {
    /// Cumulative: answers within each bound of `kBucketBoundsMs`.
    std::array<uint64_t, kBucketBoundsMs.size()> counts{};
    uint64_t total = 0;
    double sum_ms = 0;
  };
  using Histograms = std::map<std::string, Histogram>;

  static Histogram& FindOrAddSeries(Histograms& histograms,
                                    const std::string& name);
  static void Record(Histogram& histogram, double milliseconds);
  static void AppendHistograms(std::string& text,
                               const Histograms& histograms,
                               const std::string& name,
                               const std::string& label);

  std::map<std::string, uint64_t> answers_;  ///< By result.
  Histograms by_route_;
  Histograms by_organisation_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_METRICS_H_
