#ifndef COMFREYLOCK_BUNDLE_HEAD_H_
#define COMFREYLOCK_BUNDLE_HEAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/bundle.h"

/// The bundle as it is stored and passed between nodes: a signed head that
/// names parts by their digests, and the parts.
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

/// What operators sign, with their signatures.
struct BundleHead {
  uint64_t version = 0;
  std::map<std::string, std::string> parts;  ///< Digest of each part by name.
  std::string author;
  std::vector<BundleSignature> signatures;
};

/// A bundle cut into parts; the head is not signed yet.
struct SplitBundle {
  BundleHead head;
  BundleParts parts;
};

/// Cuts a bundle into parts: `limits`, and `services`, `organisations`,
/// `routes` (by service) and `keys` (by organisation) in buckets, so that a
/// change costs about its own size.
/// @param text the whole bundle, JSON with comments; its version is ignored.
/// @throws InputError if `text` is not a valid bundle.
SplitBundle SplitBundleText(std::string_view text, std::string_view origin);

/// @return the whole bundle as JSON, with the head's version.
/// @throws InputError naming every part that is missing, altered or no JSON.
std::string JoinBundleText(const BundleHead& head, const BundleParts& parts);

/// @return the bytes that signatures cover: version, parts and author.
std::string SignedContent(const BundleHead& head);

/// @return the head as stored, JSON.
std::string FormatBundleHead(const BundleHead& head);

/// @throws InputError naming each line or field that is wrong.
BundleHead ParseBundleHead(std::string_view text, std::string_view origin);

/// Checks that the author and at least one other operator signed the head,
/// and that no signature is wrong or of an unknown operator.
/// @return what is wrong, one entry for each error; empty if all is right.
std::vector<std::string> SignatureErrors(const BundleHead& head,
                                         const OperatorKeys& operators);

/// Takes newer heads, collects their parts and puts whole bundles into force.
/// Heads that are not newer than the one in force are never taken.
class BundleIntake {
 public:
  explicit BundleIntake(OperatorKeys operators);

  /// Offers a head, from the store or from a peer.
  /// @return whether it is newer than all before and its parts are wanted.
  /// @throws InputError if the head is malformed or its signatures are wrong.
  bool Offer(std::string_view document, std::string_view origin);

  /// @return digests of the parts still needed; empty without a candidate.
  std::vector<std::string> Missing() const;

  /// Takes a part that is needed; others are ignored.
  /// @return whether the part was needed and has this digest.
  bool AddPart(const std::string& digest, std::string content);

  /// Assembles and checks the candidate as a whole once no part is missing.
  /// @return the bundle now in force, or nothing if parts are missing.
  /// @throws InputError naming every error; the candidate is dropped for good.
  std::optional<Bundle> Take();

  /// @return version in force; 0 before the first.
  uint64_t version() const { return version_; }

  /// @return highest version offered so far, in force or not.
  uint64_t newest() const { return newest_; }

  /// @return the head in force as stored.
  const std::string& document() const { return document_; }

  /// @return content of a part in force or under collection, or null.
  const std::string* Part(const std::string& digest) const;

 private:
  OperatorKeys operators_;
  BundleParts parts_;
  uint64_t version_ = 0;
  uint64_t newest_ = 0;
  std::string document_;
  std::optional<BundleHead> candidate_;
  std::string candidate_document_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_BUNDLE_HEAD_H_
