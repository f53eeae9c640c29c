#include "load_report.h"

#include <algorithm>

namespace comfreylock::standins {

void StreamReport::Add(const LoadResult& result) {
  ++requests_;
  attempts_ += result.attempts;
  ++BinAt(result.scheduled).scheduled;
  if (result.maybe_run)
    ++BinAt(result.ended).admitted;
  std::string ending = std::to_string(result.status) + " " + result.outcome;
  if (!result.reason.empty())
    ending += " " + result.reason;
  ++endings_[ending];
  if (result.wrong)
    ++wrong_;
  if (!result.whole) {
    ++BinAt(result.ended).refused;
    return;
  }
  ++whole_;
  ++BinAt(result.ended).whole;
  latencies_us_.push_back(
      static_cast<uint32_t>((result.ended - result.scheduled).count()));
}

nlohmann::json StreamReport::ToJson() const {
  nlohmann::json bins = nlohmann::json::array();
  for (const auto& bin : bins_)
    bins.push_back({bin.scheduled, bin.whole, bin.refused, bin.admitted});
  return {{"requests", requests_},
          {"attempts", attempts_},
          {"whole", whole_},
          {"wrong", wrong_},
          {"endings", endings_},
          {"p50_ms", Quantile(0.50)},
          {"p99_ms", Quantile(0.99)},
          {"p999_ms", Quantile(0.999)},
          {"bin_ms", bin_.count()},
          {"bins_scheduled_whole_refused_admitted", bins}};
}

StreamReport::Bin& StreamReport::BinAt(std::chrono::microseconds time) {
  auto index = static_cast<size_t>(
      time / std::chrono::duration_cast<std::chrono::microseconds>(bin_));
  if (index >= bins_.size())
    bins_.resize(index + 1);
  return bins_[index];
}

double StreamReport::Quantile(double fraction) const {
  if (latencies_us_.empty())
    return 0;
  std::vector<uint32_t> sorted = latencies_us_;
  auto index =
      static_cast<size_t>(fraction * static_cast<double>(sorted.size()));
  index = std::min(index, sorted.size() - 1);
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return sorted[index] / kMicrosecondsPerMillisecond;
}

}  // namespace comfreylock::standins
