#include "metrics.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

namespace comfreylock {
namespace {

namespace accumulators = boost::accumulators;
namespace histogram = boost::histogram;

using Summary = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::mean,
                        accumulators::tag::sum,
                        accumulators::tag::p_square_quantile>>;

/// Maximum number of organisations with series of their own. Together with the
/// importance classes this bounds the number of series.
constexpr size_t kMaxNamedOrganisations = 64;
constexpr char kOtherOrganisationsName[] = "other";
constexpr double kLatencyQuantile = 0.99;
/// Below this many calls the estimate of the quantile is meaningless.
constexpr uint64_t kMinCallsForQuantile = 100;

/// Upper bounds of the latency buckets, seconds.
const std::vector<double>& BucketBounds() {
  static const std::vector<double> kBounds = {
      0,   0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
      0.1, 0.25,   0.5,   1,      2.5,   5,    10};
  return kBounds;
}

auto MakeBuckets() {
  return histogram::make_histogram(histogram::axis::variable<>(BucketBounds()));
}

/// Quotes and escapes a label's value as the Prometheus text format requires.
std::string QuoteLabelValue(const std::string& value) {
  std::string quoted = "\"";
  for (char character : value) {
    if (character == '"' || character == '\\')
      quoted += '\\';
    if (character == '\n')
      quoted += "\\n";
    else
      quoted += character;
  }
  return quoted + "\"";
}

void WriteHeader(std::ostream& out,
                 std::string_view name,
                 std::string_view type,
                 std::string_view help) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type
      << "\n";
}

void WriteGauge(std::ostream& out,
                std::string_view name,
                std::string_view help,
                uint64_t value) {
  WriteHeader(out, name, "gauge", help);
  out << name << " " << value << "\n";
}

}  // namespace

struct Metrics::Series {
  Summary summary{accumulators::quantile_probability = kLatencyQuantile};
  decltype(MakeBuckets()) buckets = MakeBuckets();
  uint64_t count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

std::string Metrics::NameInMetrics(const std::string& organisation) {
  if (named_organisations_.contains(organisation))
    return organisation;
  if (named_organisations_.size() >= kMaxNamedOrganisations)
    return kOtherOrganisationsName;
  named_organisations_[organisation] = 1;
  return organisation;
}

void Metrics::RecordCall(const std::string& organisation,
                         uint32_t importance,
                         std::chrono::microseconds latency) {
  auto& series = series_[{NameInMetrics(organisation), importance}];
  if (!series)
    series = std::make_unique<Series>();
  double seconds = std::chrono::duration<double>(latency).count();
  series->summary(seconds);
  series->buckets(seconds);
  ++series->count;
}

void Metrics::RecordRefusal(const std::string& organisation, Reason reason) {
  ++refusals_[{NameInMetrics(organisation), reason}];
}

std::string Metrics::FormatMetrics(const NodeStatus& status) const {
  std::ostringstream out;
  WriteGauge(out, "comfreylock_bundle_version", "Bundle in force.",
             status.bundle_version);
  WriteGauge(out, "comfreylock_in_flight", "Requests at the target.",
             status.in_flight);
  WriteGauge(out, "comfreylock_queued", "Requests waiting for the target.",
             status.queued);
  WriteGauge(out, "comfreylock_limit", "Requests the target may run at a time.",
             status.limit);
  WriteGauge(out, "comfreylock_shed_level", "Shed level of the target.",
             status.shed_level);
  WriteGauge(out, "comfreylock_members", "Members known.", status.members);
  WriteGauge(out, "comfreylock_calls", "Calls in progress at this entry.",
             status.calls);
  WriteGauge(out, "comfreylock_draining", "1 during a graceful shutdown.",
             status.draining ? 1 : 0);
  WriteGauge(out, "comfreylock_store_reached", "1 if the store answered last.",
             status.store_reached ? 1 : 0);
  WriteHeader(out, "comfreylock_refusals_total", "counter", "Refused calls.");
  for (const auto& [key, count] : refusals_) {
    out << "comfreylock_refusals_total{organisation="
        << QuoteLabelValue(key.first) << ",reason=\"" << InfoOf(key.second).name
        << "\"} " << count << "\n";
  }
  constexpr std::string_view kCalls = "comfreylock_call_seconds";
  WriteHeader(out, kCalls, "histogram",
              "Time from arrival to the whole answer.");
  for (const auto& [key, series] : series_) {
    std::string labels = "{organisation=" + QuoteLabelValue(key.first) +
                         ",importance=\"" + std::to_string(key.second) + "\"";
    // Values below the first bound are in the underflow bin, at index -1.
    double cumulative = series->buckets.at(-1);
    for (size_t i = 1; i < BucketBounds().size(); ++i) {
      cumulative += series->buckets.at(static_cast<int>(i) - 1);
      out << kCalls << "_bucket" << labels << ",le=\"" << BucketBounds()[i]
          << "\"} " << static_cast<uint64_t>(cumulative) << "\n";
    }
    out << kCalls << "_bucket" << labels << ",le=\"+Inf\"} " << series->count
        << "\n"
        << kCalls << "_sum" << labels << "} "
        << accumulators::sum(series->summary) << "\n"
        << kCalls << "_count" << labels << "} " << series->count << "\n";
  }
  WriteHeader(out, "comfreylock_call_seconds_mean", "gauge", "Mean latency.");
  for (const auto& [key, series] : series_) {
    out << "comfreylock_call_seconds_mean{organisation="
        << QuoteLabelValue(key.first) << ",importance=\"" << key.second
        << "\"} " << accumulators::mean(series->summary) << "\n";
  }
  WriteHeader(out, "comfreylock_call_seconds_p99", "gauge",
              "Estimated 99th percentile of the latency.");
  for (const auto& [key, series] : series_) {
    if (series->count < kMinCallsForQuantile)
      continue;
    out << "comfreylock_call_seconds_p99{organisation="
        << QuoteLabelValue(key.first) << ",importance=\"" << key.second
        << "\"} " << accumulators::p_square_quantile(series->summary) << "\n";
  }
  return out.str();
}

}  // namespace comfreylock
