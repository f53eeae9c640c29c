#ifndef COMFREYLOCK_MESH_RETRY_BUDGET_H_
#define COMFREYLOCK_MESH_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"

/// Retry budget of this node for each service.
///
/// Load pattern: a service fails or breaks connections, and retries of its
/// requests would multiply down the call graph. Retries stay within a fixed
/// ratio of the requests in a sliding window, plus this node's part of a
/// fleet-wide slack. Requests whose onward calls fail early make fewer of them,
/// so the requests of an earlier window, up to one window ago, count instead if
/// there were more.
namespace comfreylock::mesh {

/// Fleet-wide limits of retries.
struct RetryBudgetLimits {
  double ratio = 0.2;  ///< Retries per request.
  double slack = 40;   ///< Retries beyond the ratio in a window.
  std::chrono::milliseconds window{10'000};

  bool operator==(const RetryBudgetLimits&) const = default;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetLimits limits) : limits_(limits) {}

  void SetLimits(RetryBudgetLimits limits) { limits_ = limits; }

  /// Counts a request for `service` that started at this node.
  void CountRequest(std::string_view service, TimePoint now);

  /// Charges an onward call of a retried request to the budget. Such calls are
  /// never refused for lack of budget.
  void Charge(std::string_view service, TimePoint now);

  /// Acquires one retry from the budget.
  /// @param rank of the request; 0 is the most important.
  /// @param nodes number of nodes that share the slack.
  /// @return false if the budget of the window is used up.
  bool TryAcquire(std::string_view service,
                  uint32_t rank,
                  size_t nodes,
                  TimePoint now);

 private:
  /// Number of slices of the window; counts expire slice by slice. The slices
  /// of the previous window are retained too.
  static constexpr size_t kWindowSlices = 10;
  static constexpr size_t kRetainedSlices = 2 * kWindowSlices;
  struct Counts {
    std::array<double, kRetainedSlices> requests{};
    std::array<double, kRetainedSlices> retries{};
    int64_t slice = 0;  ///< Newest slice, numbered from the clock's epoch.
  };

  /// @return the sum over the window that ends `slices_ago` slices before the
  /// newest.
  static double SumOver(const std::array<double, kRetainedSlices>& counts,
                        int64_t newest_slice,
                        size_t slices_ago);

  /// Clears the slices that have expired. @return the counts of the service.
  Counts& ExpireSlices(std::string_view service, TimePoint now);

  RetryBudgetLimits limits_;
  std::map<std::string, Counts, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RETRY_BUDGET_H_
