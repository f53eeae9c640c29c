#ifndef COMFREYLOCK_MESH_RETRY_BUDGET_H_
#define COMFREYLOCK_MESH_RETRY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"
#include "mesh/rank.h"

/// Retry budget of this node for each service.
///
/// Load pattern: a service fails or breaks connections, and retries of its
/// requests would multiply down the call graph. Retries stay within a fixed
/// ratio of the requests in a sliding window, plus this node's part of a
/// fleet-wide slack. Requests whose onward calls fail early make fewer of them,
/// so the requests of an earlier window, up to one window ago, count instead if
/// there were more.
///
/// Load pattern: a service at the end of the call graph sheds most of its
/// requests for seconds, and a caller's request needs several calls to it in
/// sequence. A retry of a first call is wasted if a later call fails, so the
/// budget goes first to calls of requests that have already completed others.
namespace comfreylock::mesh {

/// Fleet-wide limits of retries.
struct RetryBudgetLimits {
  double ratio = 0.2;  ///< Retries per request.
  double slack = 40;   ///< Retries beyond the ratio in a window.
  std::chrono::milliseconds window{10'000};

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Number of completed calls that is told apart; more count the same.
inline constexpr uint32_t kMaxCompletedCalls = 3;

/// Work that would be lost if a request is not retried.
struct InvestedWork {
  bool onward = false;  ///< Made by a running request.
  /// Calls of that request that have completed.
  uint32_t completed_calls = 0;
};

/// Completed calls that count as much as one step of a route's importance.
inline constexpr uint32_t kCallsPerImportance = 2;

/// Classes of retries, in the order in which the budget is given to them. A
/// class is a number of completed calls plus the calls that the route's
/// importance counts for. A request from a caller counts as one call less than
/// an onward call without completed calls before it.
inline constexpr size_t kRetryClassCount =
    kMaxCompletedCalls + 2 +
    static_cast<size_t>(kCallsPerImportance) * (kRouteImportanceCount - 1);

/// @return the class of a retry; classes with lower numbers come first.
size_t RetryClassOf(const InvestedWork& invested, uint32_t rank);

/// Number of retries by class since the start of the node.
struct RetryCounts {
  std::array<uint64_t, kRetryClassCount> granted{};
  std::array<uint64_t, kRetryClassCount> denied{};
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
  /// @return false if the budget of the window is used up, or if what is left
  ///     of it is needed for the present demand of classes that come first.
  bool TryAcquire(std::string_view service,
                  const InvestedWork& invested,
                  uint32_t rank,
                  size_t nodes,
                  TimePoint now);

  const RetryCounts& counts() const { return retry_counts_; }

 private:
  /// Number of slices of the window; counts expire slice by slice. The slices
  /// of the previous window are retained too.
  static constexpr size_t kWindowSlices = 10;
  static constexpr size_t kRetainedSlices = 2 * kWindowSlices;
  struct Counts {
    std::array<double, kRetainedSlices> requests{};
    std::array<double, kRetainedSlices> retries{};
    int64_t slice = 0;  ///< Newest slice, numbered from the clock's epoch.
    /// Decaying count of the retries that each class wanted.
    std::array<double, kRetryClassCount> demand{};
    TimePoint demand_updated_at;
    /// Sum of the fractions of retries that a class has not been granted yet.
    std::array<double, kRetryClassCount> credit{};
  };

  /// @return the sum over the window that ends `slices_ago` slices before the
  /// newest.
  static double SumOver(const std::array<double, kRetainedSlices>& counts,
                        int64_t newest_slice,
                        size_t slices_ago);

  /// Clears the slices that have expired. @return the counts of the service.
  Counts& ExpireSlices(std::string_view service, TimePoint now);
  /// Counts a wanted retry.
  static void CountDemand(Counts& counts, size_t retry_class, TimePoint now);
  /// @param remaining retries that may still be granted in this window.
  /// @return whether the classes that come first leave enough of the budget.
  static bool HasShare(Counts& counts, size_t retry_class, double remaining);
  bool Grant(std::string_view service,
             const InvestedWork& invested,
             uint32_t rank,
             size_t nodes,
             TimePoint now);

  RetryBudgetLimits limits_;
  RetryCounts retry_counts_;
  std::map<std::string, Counts, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RETRY_BUDGET_H_
