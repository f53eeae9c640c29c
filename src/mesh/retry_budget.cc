#include "mesh/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace comfreylock::mesh {
namespace {

/// Fraction of the budget that `TryAcquire` grants. The rest is for onward
/// calls of retried requests, which are charged but never refused.
constexpr double kGrantableFraction = 0.6;

/// Fraction of the retries that requests from callers may use, by the
/// importance of their route. Onward calls share the budget by class alone,
/// since work was already done for each of them.
constexpr std::array<double, kRouteImportanceCount> kRetryFractionByImportance =
    {1.0, 0.6, 0.35};

/// Time constant of the demand of a class.
constexpr std::chrono::seconds kDemandWindow{1};
/// Time over which the rest of the budget is divided among the classes. Shorter
/// than the window, so that most of the budget is used in an overload of some
/// seconds.
constexpr std::chrono::seconds kSpendHorizon{4};

}  // namespace

size_t RetryClassOf(const InvestedWork& invested, uint32_t rank) {
  size_t calls =
      invested.onward
          ? std::min(invested.completed_calls, kMaxCompletedCalls) + 1
          : 0;
  size_t importance = rank % kRouteImportanceCount;
  calls += kCallsPerImportance * (kRouteImportanceCount - 1 - importance);
  return kRetryClassCount - 1 - calls;
}

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

void RetryBudget::CountDemand(Counts& counts,
                              size_t retry_class,
                              TimePoint now) {
  std::chrono::duration<double> passed = now - counts.demand_updated_at;
  std::chrono::duration<double> window = kDemandWindow;
  double decay = std::exp(-passed.count() / window.count());
  for (double& demand : counts.demand)
    demand *= decay;
  counts.demand[retry_class] += 1;
  counts.demand_updated_at = now;
}

bool RetryBudget::HasShare(Counts& counts,
                           size_t retry_class,
                           double remaining) {
  auto own = counts.demand.begin() + static_cast<std::ptrdiff_t>(retry_class);
  double first = std::accumulate(counts.demand.begin(), own, 0.0);
  double available = remaining *
                     std::chrono::duration<double>(kDemandWindow).count() /
                     std::chrono::duration<double>(kSpendHorizon).count();
  // The class that comes first is limited by the budget alone.
  if (first < 1 || first + *own <= available)
    return true;
  double& credit = counts.credit[retry_class];
  credit += std::max(0.0, available - first) / *own;
  if (credit < 1)
    return false;
  credit -= 1;
  return true;
}

bool RetryBudget::Grant(std::string_view service,
                        const InvestedWork& invested,
                        uint32_t rank,
                        size_t nodes,
                        TimePoint now) {
  size_t retry_class = RetryClassOf(invested, rank);
  Counts& counts = ExpireSlices(service, now);
  CountDemand(counts, retry_class, now);
  double requests = 0;
  for (size_t slices_ago : {size_t{0}, kWindowSlices / 2, kWindowSlices})
    requests =
        std::max(requests, SumOver(counts.requests, counts.slice, slices_ago));
  double retries = SumOver(counts.retries, counts.slice, 0);
  double slack =
      limits_.slack / static_cast<double>(std::max<size_t>(nodes, 1));
  double grantable = kGrantableFraction * (limits_.ratio * requests + slack);
  double fraction =
      invested.onward
          ? 1.0
          : kRetryFractionByImportance[rank % kRouteImportanceCount];
  if (retries + 1 > fraction * grantable ||
      !HasShare(counts, retry_class, grantable - retries)) {
    return false;
  }
  counts.retries[static_cast<size_t>(counts.slice % kRetainedSlices)] += 1;
  return true;
}

bool RetryBudget::TryAcquire(std::string_view service,
                             const InvestedWork& invested,
                             uint32_t rank,
                             size_t nodes,
                             TimePoint now) {
  bool granted = Grant(service, invested, rank, nodes, now);
  auto& counts = granted ? retry_counts_.granted : retry_counts_.denied;
  ++counts[RetryClassOf(invested, rank)];
  return granted;
}

}  // namespace comfreylock::mesh
