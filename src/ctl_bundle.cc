#include "ctl_bundle.h"

#include <iomanip>
#include <sstream>

#include "json_reader.h"

namespace comfreylock {
namespace {

/// Number of hexadecimal digits of the content's digest in a proposal's id.
constexpr size_t kProposalIdDigestDigits = 8;
/// Versions in history keys are padded with zeros so that keys sort by version.
constexpr int kVersionDigits = 20;

std::string HistoryKey(uint64_t version) {
  std::ostringstream key;
  key << kBundleHistoryPrefix << std::setw(kVersionDigits) << std::setfill('0')
      << version;
  return key.str();
}

std::string ProposalKey(const std::string& id) {
  return std::string(kBundleProposalPrefix) + id;
}

void AddSignature(BundleHead& head, const Signer& signer) {
  head.signatures.push_back(
      {signer.name, Sign(SignedContent(head), signer.key)});
}

std::string ApproversOf(const BundleHead& head) {
  std::string approvers;
  for (const auto& signature : head.signatures) {
    if (signature.signer != head.author)
      approvers += (approvers.empty() ? "" : ", ") + signature.signer;
  }
  return approvers;
}

}  // namespace

Signer ParseSigner(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  ErrorList errors;
  ObjectReader reader(document, std::string(origin), "", errors);
  Signer signer;
  std::string public_hex;
  std::string secret_hex;
  reader.Read("operator", signer.name, true);
  reader.Read("public_key", public_hex, true);
  reader.Read("secret_key", secret_hex, true);
  reader.Finish();
  signer.key = {FromHex(public_hex), FromHex(secret_hex)};
  constexpr size_t kPublicKeyBytes = 32;
  constexpr size_t kSecretKeyBytes = 64;
  if (signer.key.public_key.size() != kPublicKeyBytes)
    reader.Fail("public_key", "is not a public key", "64 hexadecimal digits");
  if (signer.key.secret_key.size() != kSecretKeyBytes)
    reader.Fail("secret_key", "is not a signing key", "128 hexadecimal digits");
  errors.ThrowIfNotEmpty();
  return signer;
}

std::string FormatSigner(const Signer& signer) {
  nlohmann::json document = {{"operator", signer.name},
                             {"public_key", ToHex(signer.key.public_key)},
                             {"secret_key", ToHex(signer.key.secret_key)}};
  return document.dump(2) + "\n";
}

BundleRepository::BundleRepository(ExecuteRequest execute,
                                   OperatorKeys operators)
    : execute_(std::move(execute)), operators_(std::move(operators)) {}

StoreRangeResult BundleRepository::Read(const std::string& key,
                                        const std::string& end) {
  StoreResult result = execute_(StoreRange{key, end});
  if (const auto* range = std::get_if<StoreRangeResult>(&result))
    return *range;
  throw Error("the store cannot be read: " +
              std::get<StoreFailure>(result).message);
}

bool BundleRepository::Write(const StoreTransaction& transaction) {
  StoreResult result = execute_(transaction);
  if (const auto* written = std::get_if<StoreTransactionResult>(&result))
    return written->succeeded;
  const auto& failure = std::get<StoreFailure>(result);
  // The write may have taken effect although its answer was lost, so the
  // values are read back.
  if (failure.may_have_applied) {
    bool all_written = true;
    for (const auto& put : transaction.puts) {
      auto entries = Read(put.key).entries;
      all_written =
          all_written && !entries.empty() && entries[0].value == put.value;
    }
    if (all_written)
      return true;
  }
  throw Error("the store cannot be written: " + failure.message);
}

std::optional<StoredHead> BundleRepository::ReadHead() {
  auto entries = Read(std::string(kBundleHeadKey)).entries;
  if (entries.empty())
    return std::nullopt;
  return StoredHead{ParseBundleHead(entries[0].value, entries[0].key),
                    entries[0].mod_revision};
}

std::string BundleRepository::ReadText(const BundleHead& head) {
  BundleParts parts;
  for (const auto& [name, digest] : head.parts) {
    auto entries = Read(std::string(kBundlePartPrefix) + digest).entries;
    if (!entries.empty())
      parts[digest] = entries[0].value;
  }
  return JoinBundleText(head, parts);
}

void BundleRepository::WriteParts(const BundleParts& parts) {
  for (const auto& [digest, content] : parts) {
    std::string key = std::string(kBundlePartPrefix) + digest;
    // The key holds the digest of the content, so a part that exists already
    // has the same content, and a failed compare is ignored.
    Write(StoreTransaction{{{key, 0}}, {{key, content}}, {}});
  }
}

std::string BundleRepository::Propose(std::string_view text,
                                      std::string_view origin,
                                      const Signer& author) {
  SplitBundle split = SplitBundleText(text, origin);
  auto current = ReadHead();
  split.head.version = current ? current->head.version + 1 : 1;
  split.head.author = author.name;
  AddSignature(split.head, author);
  if (!operators_.contains(author.name)) {
    throw InputError("operator \"" + author.name +
                     "\" is unknown; allowed: the operators in the settings");
  }
  if (current) {
    for (const auto& [name, digest] : current->head.parts)
      split.parts.erase(digest);
  }
  WriteParts(split.parts);
  std::string id = std::to_string(split.head.version) + "-" +
                   ToHex(Sha256(SignedContent(split.head)))
                       .substr(0, kProposalIdDigestDigits);
  std::string key = ProposalKey(id);
  Write(
      StoreTransaction{{{key, 0}}, {{key, FormatBundleHead(split.head)}}, {}});
  return id;
}

StoredHead BundleRepository::ReadProposal(const std::string& id) {
  auto entries = Read(ProposalKey(id)).entries;
  if (entries.empty()) {
    std::string existing_ids;
    for (const auto& name : ListProposals())
      existing_ids += (existing_ids.empty() ? "" : ", ") + name;
    throw InputError(
        "proposal " + id + " is unknown; allowed: " +
        (existing_ids.empty() ? "none, there are no proposals" : existing_ids));
  }
  return {ParseBundleHead(entries[0].value, entries[0].key),
          entries[0].mod_revision};
}

std::vector<std::string> BundleRepository::ListProposals() {
  std::string prefix(kBundleProposalPrefix);
  std::vector<std::string> ids;
  for (const auto& entry : Read(prefix, PrefixEnd(prefix)).entries)
    ids.push_back(entry.key.substr(prefix.size()));
  return ids;
}

void BundleRepository::SignOff(const std::string& id, const Signer& signer) {
  StoredHead proposal = ReadProposal(id);
  if (signer.name == proposal.head.author) {
    throw RefusedError("proposal " + id + " was made by " + signer.name +
                       "; an operator other than the author signs it off");
  }
  // Checked before signing, because nodes reject an invalid bundle.
  ParseBundle(ReadText(proposal.head), "proposal " + id);
  AddSignature(proposal.head, signer);
  auto errors = SignatureErrors(proposal.head, operators_);
  if (!errors.empty())
    throw RefusedError("proposal " + id + ": " + errors.front());
  std::string key = ProposalKey(id);
  if (!Write(StoreTransaction{{{key, proposal.mod_revision}},
                              {{key, FormatBundleHead(proposal.head)}},
                              {}})) {
    throw RefusedError("proposal " + id +
                       " was changed concurrently; review it again");
  }
}

uint64_t BundleRepository::Roll(const std::string& id) {
  BundleHead head = ReadProposal(id).head;
  auto errors = SignatureErrors(head, operators_);
  if (!errors.empty())
    throw RefusedError("proposal " + id + ": " + errors.front());
  ParseBundle(ReadText(head), "proposal " + id);
  auto current = ReadHead();
  uint64_t current_version = current ? current->head.version : 0;
  if (head.version != current_version + 1)
    ThrowSuperseded(head);
  std::string document = FormatBundleHead(head);
  StoreTransaction transaction;
  transaction.compares = {
      {std::string(kBundleHeadKey), current ? current->mod_revision : 0}};
  transaction.puts = {{std::string(kBundleHeadKey), document},
                      {HistoryKey(head.version), document}};
  transaction.deletes = {{ProposalKey(id)}};
  if (!Write(transaction))
    ThrowSuperseded(head);
  return head.version;
}

void BundleRepository::ThrowSuperseded(const BundleHead& proposal) {
  auto winner = ReadHead();
  if (!winner) {
    throw RefusedError(
        "version " + std::to_string(proposal.version) +
        " replaces a bundle head that was deleted; propose again");
  }
  throw RefusedError("version " + std::to_string(proposal.version) +
                     " is not rolled: version " +
                     std::to_string(winner->head.version) + " by " +
                     winner->head.author + ", signed off by " +
                     ApproversOf(winner->head) +
                     ", is in force; propose the change again on top of it");
}

std::vector<BundleHead> BundleRepository::History() {
  std::string prefix(kBundleHistoryPrefix);
  std::vector<BundleHead> heads;
  for (const auto& entry : Read(prefix, PrefixEnd(prefix)).entries)
    heads.push_back(ParseBundleHead(entry.value, entry.key));
  return heads;
}

}  // namespace comfreylock
