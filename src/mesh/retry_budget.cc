#include "mesh/retry_budget.h"

#include <algorithm>

#include "mesh/rank.h"

namespace comfreylock::mesh {
namespace {

/// Fraction of the budget that `TryAcquire` grants. The rest is for onward
/// calls of retried requests, which are charged but never refused.
constexpr double kGrantableFraction = 0.6;

/// Fraction of the retries that requests may use, by the importance of their
/// route.
constexpr std::array<double, kRouteImportanceCount> kRetryFractionByImportance =
    {1.0, 0.6, 0.35};

}  // namespace

RetryBudget::Counts& RetryBudget::ExpireSlices(std::string_view service,
                                               TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    found = services_.emplace(std::string(service), Counts()).first;
  Counts& counts = found->second;
  auto slice_length =
      std::chrono::duration_cast<TimePoint::duration>(limits_.window) /
      static_cast<int64_t>(kWindowSlices);
  int64_t slice = now.time_since_epoch() / slice_length;
  int64_t passed = std::min<int64_t>(slice - counts.slice,
                                     static_cast<int64_t>(kRetainedSlices));
  for (int64_t i = 1; i <= passed; ++i) {
    auto index = static_cast<size_t>((counts.slice + i) % kRetainedSlices);
    counts.requests[index] = 0;
    counts.retries[index] = 0;
  }
  if (passed == static_cast<int64_t>(kRetainedSlices)) {
    counts.requests.fill(0);
    counts.retries.fill(0);
  }
  counts.slice = slice;
  return counts;
}

double RetryBudget::SumOver(const std::array<double, kRetainedSlices>& counts,
                            int64_t newest_slice,
                            size_t slices_ago) {
  double sum = 0;
  for (size_t i = 0; i < kWindowSlices; ++i) {
    int64_t slice = newest_slice - static_cast<int64_t>(slices_ago + i);
    sum += counts[static_cast<size_t>(slice + 2 * kRetainedSlices) %
                  kRetainedSlices];
  }
  return sum;
}

void RetryBudget::CountRequest(std::string_view service, TimePoint now) {
  Counts& counts = ExpireSlices(service, now);
  counts.requests[static_cast<size_t>(counts.slice % kRetainedSlices)] += 1;
}

void RetryBudget::Charge(std::string_view service, TimePoint now) {
  Counts& counts = ExpireSlices(service, now);
  counts.retries[static_cast<size_t>(counts.slice % kRetainedSlices)] += 1;
}

bool RetryBudget::TryAcquire(std::string_view service,
                             uint32_t rank,
                             size_t nodes,
                             TimePoint now) {
  Counts& counts = ExpireSlices(service, now);
  double requests = 0;
  for (size_t slices_ago : {size_t{0}, kWindowSlices / 2, kWindowSlices})
    requests =
        std::max(requests, SumOver(counts.requests, counts.slice, slices_ago));
  double retries = SumOver(counts.retries, counts.slice, 0);
  double slack =
      limits_.slack / static_cast<double>(std::max<size_t>(nodes, 1));
  double fraction = kRetryFractionByImportance[rank % kRouteImportanceCount];
  if (retries + 1 >
      kGrantableFraction * fraction * (limits_.ratio * requests + slack))
    return false;
  counts.retries[static_cast<size_t>(counts.slice % kRetainedSlices)] += 1;
  return true;
}

}  // namespace comfreylock::mesh
