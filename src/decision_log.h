#ifndef COMFREYLOCK_DECISION_LOG_H_
#define COMFREYLOCK_DECISION_LOG_H_

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreylock/types.h"

/// The latest decisions about requests, for `explain`.
namespace comfreylock {

struct Decision {
  WallTime time{};
  std::string request_id;
  std::string_view decision;  ///< A literal, such as `dispatched`.
  std::vector<std::pair<std::string_view, std::string>> figures;
};

/// A bounded ring; the oldest decisions are dropped first.
class DecisionLog {
 public:
  /// @param capacity decisions kept.
  explicit DecisionLog(size_t capacity) : capacity_(capacity) {}

  void Add(Decision decision);

  /// @return decisions about one request, oldest first.
  std::vector<Decision> About(std::string_view request_id) const;

 private:
  size_t capacity_;
  std::deque<Decision> decisions_;
};

/// @return UTC time such as `2026-05-01T10:00:00.123Z`.
std::string FormatWallTime(WallTime time);

}  // namespace comfreylock

#endif  // COMFREYLOCK_DECISION_LOG_H_
