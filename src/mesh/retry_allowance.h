#ifndef COMFREYLOCK_MESH_RETRY_ALLOWANCE_H_
#define COMFREYLOCK_MESH_RETRY_ALLOWANCE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "comfreylock/types.h"

/// This node's part of the repeats that each service may get.
///
/// Load pattern: a service fails or breaks connections, and repeats of its
/// requests would multiply down the call graph. Repeats stay a fixed share of
/// the requests of the window, plus a part of a fleet-wide slack. Requests
/// whose calls fail early make fewer calls, so that the requests of the window
/// before count where they were more.
namespace comfreylock::mesh {

/// Fleet-wide bound of repeats.
struct RetryBound {
  double ratio = 0.2;  ///< Repeats for each request.
  double slack = 40;   ///< Repeats beyond the ratio in a window.
  std::chrono::milliseconds window{10'000};

  bool operator==(const RetryBound&) const = default;
};

class RetryAllowance {
 public:
  explicit RetryAllowance(RetryBound bound) : bound_(bound) {}

  void SetBound(RetryBound bound) { bound_ = bound; }

  /// Counts a request for `service` that began at this node.
  void CountRequest(std::string_view service, TimePoint now);

  /// Counts a repeat that is not asked for: a call of a repeated request.
  void Charge(std::string_view service, TimePoint now);

  /// Takes one repeat.
  /// @param rank of the request; 0 is the most important.
  /// @param nodes number of nodes that share the slack.
  /// @return false if the window's repeats are used up.
  bool Take(std::string_view service,
            uint32_t rank,
            size_t nodes,
            TimePoint now);

 private:
  /// Parts of the window; counts leave it part by part. Those of the window
  /// before are kept too.
  static constexpr size_t kParts = 10;
  static constexpr size_t kKeptParts = 2 * kParts;
  struct Counts {
    std::array<double, kKeptParts> requests{};
    std::array<double, kKeptParts> repeats{};
    int64_t part = 0;  ///< Number of the newest part since the clock's start.
  };

  /// @return the sum over the window that ends `ago` parts before the newest.
  static double SumOver(const std::array<double, kKeptParts>& counts,
                        int64_t newest,
                        size_t ago);

  Counts& Roll(std::string_view service, TimePoint now);

  RetryBound bound_;
  std::map<std::string, Counts, std::less<>> services_;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_RETRY_ALLOWANCE_H_
