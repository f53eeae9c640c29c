#ifndef COMFREYLOCK_BUNDLE_HEAD_H_
#define COMFREYLOCK_BUNDLE_HEAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/bundle.h"

/// The bundle as it is stored and sent between nodes: a signed head that lists
/// the parts with their digests, and the parts.
namespace comfreylock {

inline constexpr std::string_view kBundleHeadKey = "/comfreylock/bundle/head";
inline constexpr std::string_view kBundlePartPrefix =
    "/comfreylock/bundle/part/";
inline constexpr std::string_view kBundleProposalPrefix =
    "/comfreylock/bundle/proposal/";
inline constexpr std::string_view kBundleHistoryPrefix =
    "/comfreylock/bundle/history/";

/// Operators by name, with their raw Ed25519 public keys.
using OperatorKeys = std::map<std::string, std::string>;

/// Contents of parts by digest (SHA-256, hexadecimal).
using BundleParts = std::map<std::string, std::string>;

struct BundleSignature {
  std::string signer;
  std::string signature;  ///< Raw, 64 bytes.
};

/// Version, part digests and author of a bundle, which operators sign, with
/// their signatures.
struct BundleHead {
  uint64_t version = 0;
  std::map<std::string, std::string> parts;  ///< Digest of each part by name.
  std::string author;
  std::vector<BundleSignature> signatures;
};

/// A bundle split into parts; the head is not signed yet.
struct SplitBundle {
  BundleHead head;
  BundleParts parts;
};

/// Splits a bundle into parts: `limits`, and buckets of `services`,
/// `organisations`, `routes` (by service) and `keys` (by organisation). A
/// change thus rewrites and sends only the parts that it affects.
/// @param text the whole bundle, JSON with comments; its version is ignored.
/// @throws InputError if `text` is not a valid bundle.
SplitBundle SplitBundleText(std::string_view text, std::string_view origin);

/// @return the whole bundle as JSON, with the head's version.
/// @throws InputError naming every part that is missing, altered or not JSON.
std::string JoinBundleText(const BundleHead& head, const BundleParts& parts);

/// @return the bytes that signatures cover: version, parts and author.
std::string SignedContent(const BundleHead& head);

/// @return the head as stored, JSON.
std::string FormatBundleHead(const BundleHead& head);

/// @throws InputError naming each line or field that is wrong.
BundleHead ParseBundleHead(std::string_view text, std::string_view origin);

/// Checks that the author and at least one other operator signed the head, and
/// that no signature is invalid or by an unknown operator.
/// @return one message for each error; empty if there is none.
std::vector<std::string> SignatureErrors(const BundleHead& head,
                                         const OperatorKeys& operators);

/// Accepts newer heads, collects their parts and assembles the bundles. A head
/// is accepted only if its version is higher than all accepted before.
class BundleAssembler {
 public:
  explicit BundleAssembler(OperatorKeys operators);

  /// Verifies a head from the store or a peer, and makes it the candidate.
  /// @return whether its version is higher than all accepted before; then its
  /// parts are needed.
  /// @throws InputError if the head is malformed or its signatures are wrong.
  bool OfferHead(std::string_view document, std::string_view origin);

  /// @return digests of the parts still needed; empty without a candidate.
  std::vector<std::string> MissingParts() const;

  /// Adds a part if it is needed, and ignores it otherwise.
  /// @return whether the part was needed and its content has this digest.
  bool AddPart(const std::string& digest, std::string content);

  /// Assembles and validates the candidate once no part is missing.
  /// @return the bundle now in force, or nothing if parts are missing.
  /// @throws InputError naming every error; the candidate is discarded and its
  /// version is not accepted again.
  std::optional<Bundle> Assemble();

  /// @return version in force; 0 if there is none yet.
  uint64_t version() const { return version_; }

  /// @return highest version accepted so far, in force or not.
  uint64_t newest_version() const { return newest_version_; }

  /// @return the head in force as stored.
  const std::string& document() const { return document_; }

  /// @return content of a part in force or of the candidate, or null.
  const std::string* FindPart(const std::string& digest) const;

 private:
  OperatorKeys operators_;
  BundleParts parts_;
  uint64_t version_ = 0;
  uint64_t newest_version_ = 0;
  std::string document_;
  std::optional<BundleHead> candidate_;
  std::string candidate_document_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_BUNDLE_HEAD_H_
