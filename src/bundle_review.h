#ifndef COMFREYLOCK_BUNDLE_REVIEW_H_
#define COMFREYLOCK_BUNDLE_REVIEW_H_

#include <string>
#include <string_view>
#include <vector>

/// Readable differences between two bundles.
namespace comfreylock {

/// The changes between two bundles.
struct BundleReview {
  std::vector<std::string> differences;  ///< `+`, `-` or `~`, then the field.
  std::vector<std::string> effects;      ///< Changes of rates, slots and keys.
};

/// @param before JSON of the bundle in force; empty if there is none.
/// @param after JSON of the proposed bundle.
/// @throws InputError if one of them is not valid.
BundleReview ReviewBundles(std::string_view before, std::string_view after);

}  // namespace comfreylock

#endif  // COMFREYLOCK_BUNDLE_REVIEW_H_
