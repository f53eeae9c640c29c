#ifndef COMFREYLOCK_DECISION_LOG_H_
#define COMFREYLOCK_DECISION_LOG_H_

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreylock/types.h"

/// The latest decisions about requests, for the subcommand `explain`.
namespace comfreylock {

struct Decision {
  WallTime time{};
  std::string request_id;
  std::string_view decision;  ///< A string literal, such as `dispatched`.
  std::vector<std::pair<std::string_view, std::string>> figures;
};

/// Keeps a bounded number of decisions and drops the oldest first.
class DecisionLog {
 public:
  /// @param capacity maximum number of decisions.
  explicit DecisionLog(size_t capacity) : capacity_(capacity) {}

  void Add(Decision decision);

  /// @return decisions about one request, oldest first.
  std::vector<Decision> FindByRequest(std::string_view request_id) const;

 private:
  size_t capacity_;
  std::deque<Decision> decisions_;
};

/// @return UTC time such as `2026-05-01T10:00:00.123Z`.
std::string FormatWallTime(WallTime time);

}  // namespace comfreylock

#endif  // COMFREYLOCK_DECISION_LOG_H_
