#ifndef COMFREYLOCK_GOODPUT_H_
#define COMFREYLOCK_GOODPUT_H_

#include <cstdint>
#include <map>
#include <string>

#include "comfreylock/types.h"

/// Whole answers and refusals of each organisation at this entry.
namespace comfreylock {

/// Counts of one organisation since the node started.
struct OrganisationGoodput {
  uint64_t whole = 0;
  std::map<Reason, uint64_t> refused;
  double weight = 1;

  /// @return all calls that ended.
  uint64_t offered() const;
};

/// Counts of all organisations; calls without a key are under "".
using GoodputSnapshot = std::map<std::string, OrganisationGoodput>;

class Goodput {
 public:
  void CountWhole(const std::string& organisation, double weight);
  void CountRefused(const std::string& organisation,
                    double weight,
                    Reason reason);

  GoodputSnapshot Snapshot() const { return counts_; }

 private:
  GoodputSnapshot counts_;
};

/// The organisation that got the smallest part of its fair share.
struct WorstServed {
  std::string organisation;
  double share = 1;  ///< Of its fair share, at most 1.
};

/// @param earlier snapshot at the begin of the period; empty for the start.
/// @param later snapshot at its end.
/// @return the worst-served organisation. An organisation's fair share is its
///     part by weight of all whole answers, or what it asked for if less.
WorstServed WorstServedBetween(const GoodputSnapshot& earlier,
                               const GoodputSnapshot& later);

}  // namespace comfreylock

#endif  // COMFREYLOCK_GOODPUT_H_
