#include "comfreylock/goodput.h"

#include <algorithm>

namespace comfreylock {

uint64_t OrganisationGoodput::offered() const {
  uint64_t sum = served;
  for (const auto& [reason, count] : unserved)
    sum += count;
  return sum;
}

void Goodput::CountServed(const std::string& organisation, double weight) {
  OrganisationGoodput& counts = counts_[organisation];
  counts.weight = weight;
  ++counts.served;
}

void Goodput::CountUnserved(const std::string& organisation,
                            double weight,
                            Reason reason) {
  OrganisationGoodput& counts = counts_[organisation];
  counts.weight = weight;
  ++counts.unserved[reason];
}

WorstServed WorstServedBetween(const GoodputSnapshot& earlier,
                               const GoodputSnapshot& later) {
  struct Period {
    double served = 0;
    double offered = 0;
    double weight = 0;
  };
  std::map<std::string, Period> periods;
  Period total;
  for (const auto& [name, counts] : later) {
    auto before = earlier.find(name);
    OrganisationGoodput none;
    const auto& start = before == earlier.end() ? none : before->second;
    Period period{static_cast<double>(counts.served - start.served),
                  static_cast<double>(counts.offered() - start.offered()),
                  counts.weight};
    if (period.offered == 0)
      continue;
    total.served += period.served;
    total.weight += period.weight;
    periods[name] = period;
  }
  WorstServed worst;
  for (const auto& [name, period] : periods) {
    double fair_share =
        std::min(period.offered, total.served * period.weight / total.weight);
    double served_fraction =
        fair_share > 0 ? std::min(1.0, period.served / fair_share) : 0;
    if (worst.organisation.empty() || served_fraction < worst.served_fraction)
      worst = {name, served_fraction};
  }
  return worst;
}

}  // namespace comfreylock
