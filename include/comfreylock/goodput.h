#ifndef COMFREYLOCK_GOODPUT_H_
#define COMFREYLOCK_GOODPUT_H_

#include <cstdint>
#include <map>
#include <string>

#include "comfreylock/types.h"

/// Calls of each organisation at this entry node, by how they ended.
namespace comfreylock {

/// Call counts of one organisation since the node started.
struct OrganisationGoodput {
  uint64_t served = 0;  ///< Answered in full, without a server error.
  std::map<Reason, uint64_t> unserved;  ///< All other calls.
  double weight = 1;

  /// @return the number of calls that ended, served or not.
  uint64_t offered() const;
};

/// Counts of all organisations; calls without a key are counted under "".
using GoodputSnapshot = std::map<std::string, OrganisationGoodput>;

class Goodput {
 public:
  void CountServed(const std::string& organisation, double weight);
  void CountUnserved(const std::string& organisation,
                     double weight,
                     Reason reason);

  GoodputSnapshot Snapshot() const { return counts_; }

 private:
  GoodputSnapshot counts_;
};

/// The organisation that was served the smallest fraction of its fair share.
struct WorstServed {
  std::string organisation;
  double served_fraction = 1;  ///< Served calls / fair share, at most 1.
};

/// @param earlier snapshot at the start of the period; empty for the period
///     since the node started.
/// @param later snapshot at its end.
/// @return the worst-served organisation. An organisation's fair share is its
///     part, by weight, of all calls served, or its offered calls if fewer.
WorstServed WorstServedBetween(const GoodputSnapshot& earlier,
                               const GoodputSnapshot& later);

}  // namespace comfreylock

#endif  // COMFREYLOCK_GOODPUT_H_
