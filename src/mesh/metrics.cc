#include "mesh/metrics.h"

namespace comfreylock::mesh {
namespace {

/// @return a label with its value, escaped as Prometheus requires: names of the
///     configuration and of other nodes may contain any byte.
std::string Label(const std::string& name, const std::string& value) {
  std::string text = name + "=\"";
  for (char letter : value) {
    if (letter == '\n') {
      text += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"')
      text += '\\';
    text += letter;
  }
  return text + '"';
}

}  // namespace

Metrics::Histogram& Metrics::FindOrAddSeries(Histograms& histograms,
                                             const std::string& name) {
  auto found = histograms.find(name);
  if (found != histograms.end())
    return found->second;
  return histograms[histograms.size() < kMaxSeries ? name : "other"];
}

void Metrics::Record(Histogram& histogram, double milliseconds) {
  ++histogram.total;
  histogram.sum_ms += milliseconds;
  for (size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
    if (milliseconds <= kBucketBoundsMs[i])
      ++histogram.counts[i];
  }
}

void Metrics::CountAnswer(const std::string& route,
                          const std::string& organisation,
                          const std::string& result,
                          std::chrono::microseconds latency) {
  ++answers_[result];
  double ms = std::chrono::duration<double, std::milli>(latency).count();
  Record(FindOrAddSeries(by_route_, route), ms);
  Record(FindOrAddSeries(by_organisation_, organisation), ms);
}

void Metrics::AppendHistograms(std::string& text,
                               const Histograms& histograms,
                               const std::string& name,
                               const std::string& label) {
  for (const auto& [value, histogram] : histograms) {
    std::string labels = Label(label, value);
    for (size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
      text += name + "_bucket{" + labels + ",le=\"" +
              std::to_string(kBucketBoundsMs[i]) + "\"} " +
              std::to_string(histogram.counts[i]) + "\n";
    }
    text += name + "_bucket{" + labels + ",le=\"+Inf\"} " +
            std::to_string(histogram.total) + "\n";
    text += name + "_sum{" + labels + "} " + std::to_string(histogram.sum_ms) +
            "\n";
    text += name + "_count{" + labels + "} " + std::to_string(histogram.total) +
            "\n";
  }
}

std::string Metrics::FormatPrometheus(const NodeStatus& status) const {
  std::string text;
  auto gauge = [&text](const std::string& name, uint64_t value) {
    text += "comfreylock_" + name + " " + std::to_string(value) + "\n";
  };
  gauge("config_version", status.config_version);
  gauge("config_age_ms", static_cast<uint64_t>(status.config_age.count()));
  gauge("ready", status.ready ? 1 : 0);
  gauge("stopping", status.stopping ? 1 : 0);
  gauge("calls", status.calls);
  gauge("members", status.members);
  gauge("links", status.links);
  gauge("members_gone", status.gone_members);
  gauge("links_opened_total", status.links_opened);
  gauge("links_accepted_total", status.links_accepted);
  for (size_t i = 0; i < status.links_lost.size(); ++i) {
    text += "comfreylock_links_lost_total{reason=\"" +
            std::string(NameOf(static_cast<LinkEnd>(i))) + "\"} " +
            std::to_string(status.links_lost[i]) + "\n";
  }
  gauge("configs_sent_total", status.configs_sent);
  gauge("configs_withheld_total", status.configs_withheld);
  gauge("store_era", status.store_era);
  gauge("store_restores_total", status.store_restores);
  gauge("target_slots", status.slots);
  gauge("target_in_flight", status.in_flight);
  gauge("target_queued", status.queued);
  gauge("evacuated_zones", status.evacuated_zones.size());
  gauge("evacuations_revision", status.evacuations_revision);
  gauge("target_serving", status.target_serving ? 1 : 0);
  gauge("target_warmup_left_ms",
        static_cast<uint64_t>(status.warmup_left.count()));
  gauge("warmup_refusals_total", status.warmup_refusals);
  for (size_t i = 0; i < status.failed_calls_permille.size(); ++i) {
    text += "comfreylock_failed_calls_permille{rank=\"" + std::to_string(i) +
            "\"} " + std::to_string(status.failed_calls_permille[i]) + "\n";
  }
  for (size_t i = 0; i < status.requests_kept.size(); ++i) {
    std::string reason(SpillReasonName(static_cast<SpillReason>(i)));
    for (const auto& [way, counts] :
         {std::pair("kept", &status.requests_kept),
          std::pair("left", &status.requests_leaving)}) {
      if ((*counts)[i] > 0) {
        text += std::string("comfreylock_zone_requests_total{zone=\"") + way +
                "\",reason=\"" + reason + "\"} " +
                std::to_string((*counts)[i]) + "\n";
      }
    }
  }
  for (size_t i = 0; i < kRetryClassCount; ++i) {
    auto counter = [&](const char* result, uint64_t count) {
      if (count == 0)
        return;
      text += "comfreylock_retries_total{class=\"" + std::to_string(i) +
              "\",result=\"" + result + "\"} " + std::to_string(count) + "\n";
    };
    counter("granted", status.retries.granted[i]);
    counter("denied", status.retries.denied[i]);
  }
  for (const auto& [result, count] : answers_) {
    text += "comfreylock_answers_total{" + Label("result", result) + "} " +
            std::to_string(count) + "\n";
  }
  AppendHistograms(text, by_route_, "comfreylock_route_latency_ms", "route");
  AppendHistograms(text, by_organisation_,
                   "comfreylock_organisation_latency_ms", "organisation");
  return text;
}

}  // namespace comfreylock::mesh
