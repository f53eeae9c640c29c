#include "mesh/retry_allowance.h"

#include <algorithm>

#include "mesh/rank.h"

namespace comfreylock::mesh {
namespace {

/// Part of the bound that is used. The rest is for calls of repeated requests,
/// which are charged but not held back.
constexpr double kUsedPart = 0.6;

/// Part of the repeats that requests of routes of each importance may use.
constexpr std::array<double, kRouteImportances> kPartOf = {1.0, 0.6, 0.35};

}  // namespace

RetryAllowance::Counts& RetryAllowance::Roll(std::string_view service,
                                             TimePoint now) {
  auto found = services_.find(service);
  if (found == services_.end())
    found = services_.emplace(std::string(service), Counts()).first;
  Counts& counts = found->second;
  auto length = std::chrono::duration_cast<TimePoint::duration>(bound_.window) /
                static_cast<int64_t>(kParts);
  int64_t part = now.time_since_epoch() / length;
  int64_t passed =
      std::min<int64_t>(part - counts.part, static_cast<int64_t>(kKeptParts));
  for (int64_t i = 1; i <= passed; ++i) {
    auto index = static_cast<size_t>((counts.part + i) % kKeptParts);
    counts.requests[index] = 0;
    counts.repeats[index] = 0;
  }
  if (passed == static_cast<int64_t>(kKeptParts)) {
    counts.requests.fill(0);
    counts.repeats.fill(0);
  }
  counts.part = part;
  return counts;
}

double RetryAllowance::SumOver(const std::array<double, kKeptParts>& counts,
                               int64_t newest,
                               size_t ago) {
  double sum = 0;
  for (size_t i = 0; i < kParts; ++i) {
    int64_t part = newest - static_cast<int64_t>(ago + i);
    sum += counts[static_cast<size_t>(part + 2 * kKeptParts) % kKeptParts];
  }
  return sum;
}

void RetryAllowance::CountRequest(std::string_view service, TimePoint now) {
  Counts& counts = Roll(service, now);
  counts.requests[static_cast<size_t>(counts.part % kKeptParts)] += 1;
}

void RetryAllowance::Charge(std::string_view service, TimePoint now) {
  Counts& counts = Roll(service, now);
  counts.repeats[static_cast<size_t>(counts.part % kKeptParts)] += 1;
}

bool RetryAllowance::Take(std::string_view service,
                          uint32_t rank,
                          size_t nodes,
                          TimePoint now) {
  Counts& counts = Roll(service, now);
  double requests = 0;
  for (size_t ago : {size_t{0}, kParts / 2, kParts})
    requests = std::max(requests, SumOver(counts.requests, counts.part, ago));
  double repeats = SumOver(counts.repeats, counts.part, 0);
  double slack = bound_.slack / static_cast<double>(std::max<size_t>(nodes, 1));
  double part = kPartOf[rank % kRouteImportances];
  if (repeats + 1 > kUsedPart * part * (bound_.ratio * requests + slack))
    return false;
  counts.repeats[static_cast<size_t>(counts.part % kKeptParts)] += 1;
  return true;
}

}  // namespace comfreylock::mesh
