#ifndef COMFREYLOCK_CTL_BUNDLE_H_
#define COMFREYLOCK_CTL_BUNDLE_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/bundle_head.h"
#include "comfreylock/store.h"
#include "crypto.h"

/// Lets operators change bundles: proposals, sign-offs and rolls.
namespace comfreylock {

/// The change was refused because of a concurrent change or because a required
/// signature is missing or invalid.
class RefusedError : public Error {
 public:
  using Error::Error;
};

/// An operator and its signing key.
struct Signer {
  std::string name;
  SigningKey key;
};

/// @param text of an operator's key file.
/// @throws InputError naming the line or field that is wrong.
Signer ParseSigner(std::string_view text, std::string_view origin);

/// @return text of a new key file.
std::string FormatSigner(const Signer& signer);

/// A bundle head and its revision in the store.
struct StoredHead {
  BundleHead head;
  int64_t mod_revision = 0;
};

/// Reads and writes bundles in the store.
class BundleRepository {
 public:
  using ExecuteRequest = std::function<StoreResult(const StoreRequest&)>;

  /// @param execute carries out one store request.
  /// @param operators whose signatures are valid.
  BundleRepository(ExecuteRequest execute, OperatorKeys operators);

  /// @return the head in force, or nothing if no bundle was rolled yet.
  std::optional<StoredHead> ReadHead();

  /// @return the complete bundle of `head` as JSON.
  std::string ReadText(const BundleHead& head);

  /// Writes a proposal, and those of its parts that the store does not have.
  /// @return the proposal's id.
  std::string Propose(std::string_view text,
                      std::string_view origin,
                      const Signer& author);

  /// @throws InputError if there is no such proposal.
  StoredHead ReadProposal(const std::string& id);

  /// @return ids of all proposals.
  std::vector<std::string> ListProposals();

  /// Adds the signature of an operator other than the author.
  void SignOff(const std::string& id, const Signer& signer);

  /// Puts a proposal into force if the head is still the one it replaces.
  /// @return the version now in force.
  /// @throws RefusedError naming the version in force if another roll came
  ///   first.
  uint64_t Roll(const std::string& id);

  /// @return all heads that were in force, oldest first.
  std::vector<BundleHead> History();

 private:
  StoreRangeResult Read(const std::string& key, const std::string& end = "");
  bool Write(const StoreTransaction& transaction);
  void WriteParts(const BundleParts& parts);
  [[noreturn]] void ThrowSuperseded(const BundleHead& proposal);

  ExecuteRequest execute_;
  OperatorKeys operators_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_CTL_BUNDLE_H_
