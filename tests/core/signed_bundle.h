#ifndef COMFREYLOCK_TESTS_CORE_SIGNED_BUNDLE_H_
#define COMFREYLOCK_TESTS_CORE_SIGNED_BUNDLE_H_

#include <string>
#include <string_view>

#include "comfreylock/bundle_head.h"
#include "crypto.h"

/// Signed bundles for tests.
namespace comfreylock {

/// Two operators with their keys, and bundles signed by both.
struct TestOperators {
  SigningKey anna = MakeSigningKey();
  SigningKey bela = MakeSigningKey();

  OperatorKeys keys() const {
    return {{"anna", anna.public_key}, {"bela", bela.public_key}};
  }

  /// @return head and parts of `text`, signed by both operators.
  SplitBundle Signed(std::string_view text, uint64_t version) const {
    SplitBundle split = SplitBundleText(text, "test bundle");
    split.head.version = version;
    split.head.author = "anna";
    std::string content = SignedContent(split.head);
    split.head.signatures = {{"anna", Sign(content, anna)},
                             {"bela", Sign(content, bela)}};
    return split;
  }
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_TESTS_CORE_SIGNED_BUNDLE_H_
