#ifndef COMFREYLOCK_MESH_METRICS_H_
#define COMFREYLOCK_MESH_METRICS_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "mesh/mesh_reducer.h"

/// Counters and latency histograms of callers' requests, as text for scraping.
namespace comfreylock::mesh {

class Metrics {
 public:
  /// Counts a request that was answered.
  /// @param result status class or reason of the answer.
  void CountAnswer(const std::string& route,
                   const std::string& organisation,
                   const std::string& result,
                   std::chrono::microseconds latency);

  /// @return everything in the text format of Prometheus.
  std::string Text(const NodeStatus& status) const;

 private:
  /// Upper ends of the latency buckets, milliseconds.
  static constexpr std::array<int, 12> kBuckets = {
      5, 10, 25, 50, 100, 250, 500, 1000, 1500, 2500, 5000, 10000};
  /// Label sets kept of each kind; further ones are counted as `other`.
  static constexpr size_t kMostSeries = 512;

  struct Histogram {
    std::array<uint64_t, kBuckets.size()> counts{};
    uint64_t total = 0;
    double sum_ms = 0;
  };
  using Histograms = std::map<std::string, Histogram>;

  static Histogram& SeriesOf(Histograms& histograms, const std::string& name);
  static void Add(Histogram& histogram, double milliseconds);
  static void Print(std::string& text,
                    const Histograms& histograms,
                    const std::string& name,
                    const std::string& label);

  std::map<std::string, uint64_t> answers_;  ///< By result.
  Histograms by_route_;
  Histograms by_organisation_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_METRICS_H_
