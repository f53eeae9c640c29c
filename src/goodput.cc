#include "comfreylock/goodput.h"

#include <algorithm>

namespace comfreylock {

uint64_t OrganisationGoodput::offered() const {
  uint64_t sum = whole;
  for (const auto& [reason, count] : refused)
    sum += count;
  return sum;
}

void Goodput::CountWhole(const std::string& organisation, double weight) {
  OrganisationGoodput& counts = counts_[organisation];
  counts.weight = weight;
  ++counts.whole;
}

void Goodput::CountRefused(const std::string& organisation,
                           double weight,
                           Reason reason) {
  OrganisationGoodput& counts = counts_[organisation];
  counts.weight = weight;
  ++counts.refused[reason];
}

WorstServed WorstServedBetween(const GoodputSnapshot& earlier,
                               const GoodputSnapshot& later) {
  struct Period {
    double whole = 0;
    double offered = 0;
    double weight = 0;
  };
  std::map<std::string, Period> periods;
  Period all;
  for (const auto& [name, counts] : later) {
    auto before = earlier.find(name);
    OrganisationGoodput none;
    const auto& start = before == earlier.end() ? none : before->second;
    Period period{static_cast<double>(counts.whole - start.whole),
                  static_cast<double>(counts.offered() - start.offered()),
                  counts.weight};
    if (period.offered == 0)
      continue;
    all.whole += period.whole;
    all.weight += period.weight;
    periods[name] = period;
  }
  WorstServed worst;
  for (const auto& [name, period] : periods) {
    double fair =
        std::min(period.offered, all.whole * period.weight / all.weight);
    double share = fair > 0 ? std::min(1.0, period.whole / fair) : 0;
    if (worst.organisation.empty() || share < worst.share)
      worst = {name, share};
  }
  return worst;
}

}  // namespace comfreylock
