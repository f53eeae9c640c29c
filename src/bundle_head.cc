#include "comfreylock/bundle_head.h"

#include <set>

#include "crypto.h"
#include "json_reader.h"

namespace comfreylock {
namespace {

using nlohmann::json;

/// Prefix of the signed content, so that a signature made with an operator's
/// key for another purpose is not valid for a head.
constexpr std::string_view kSignatureContext = "comfreylock bundle head 1\n";
constexpr size_t kDigestDigits = 64;
constexpr size_t kSignatureBytes = 64;
/// Sections that are objects keyed by name, and sections that are lists, with
/// the field that determines the bucket of an item.
constexpr std::string_view kObjectSections[] = {"services", "organisations"};
constexpr std::pair<std::string_view, std::string_view> kListSections[] = {
    {"routes", "service"},
    {"keys", "organisation"}};
constexpr std::string_view kLimitsPart = "limits";

/// @return the name of the part that holds the item: section and bucket. With
/// 16 buckets for each section, head and parts are about equally large at 1,500
/// services, which minimises what a change writes and sends.
std::string PartNameOf(std::string_view section, std::string_view name) {
  return std::string(section) + "/" + ToHex(Sha256(name)).substr(0, 1);
}

std::map<std::string, json> SplitDocument(const json& document) {
  std::map<std::string, json> parts;
  json limits = document;
  limits.erase("version");
  for (auto section : kObjectSections) {
    const json items = document.value(section, json::object());
    for (const auto& [name, value] : items.items())
      parts[PartNameOf(section, name)][name] = value;
    limits.erase(std::string(section));
  }
  for (const auto& [section, field] : kListSections) {
    const json items = document.value(section, json::array());
    for (const auto& item : items) {
      std::string name = item.at(std::string(field)).get<std::string>();
      parts[PartNameOf(section, name)].push_back(item);
    }
    limits.erase(std::string(section));
  }
  parts[std::string(kLimitsPart)] = limits;
  return parts;
}

void MergePart(const std::string& name, const json& part, json& document) {
  std::string section = name.substr(0, name.find('/'));
  if (part.is_array()) {
    for (const auto& item : part)
      document[section].push_back(item);
    return;
  }
  json& destination = name == kLimitsPart ? document : document[section];
  for (const auto& [key, value] : part.items())
    destination[key] = value;
}

/// @return the error if the part is unknown or has the wrong JSON type, else an
/// empty string.
std::string ShapeError(const std::string& name, const json& part) {
  std::string section = name.substr(0, name.find('/'));
  for (auto known : kObjectSections) {
    if (section == known)
      return part.is_object() ? "" : "is not an object";
  }
  for (const auto& [known, field] : kListSections) {
    if (section == known)
      return part.is_array() ? "" : "is not a list";
  }
  if (name != kLimitsPart)
    return "is unknown";
  return part.is_object() ? "" : "is not an object";
}

BundleSignature ParseSignature(const json& value,
                               const std::string& origin,
                               const std::string& path,
                               ErrorList& errors) {
  ObjectReader reader(value, origin, path, errors);
  BundleSignature signature;
  std::string hex;
  reader.Read("operator", signature.signer, true);
  reader.Read("signature", hex, true);
  reader.Finish();
  signature.signature = FromHex(hex);
  if (signature.signature.size() != kSignatureBytes)
    reader.Fail("signature", "is not a signature", "128 hexadecimal digits");
  return signature;
}

void ParseParts(const json& value,
                const ObjectReader& reader,
                BundleHead& head) {
  if (!value.is_object() || value.empty()) {
    reader.Fail("parts", "is not an object or is empty",
                "part names with digests");
    return;
  }
  for (const auto& [name, digest] : value.items()) {
    bool valid = digest.is_string() &&
                 digest.get_ref<const std::string&>().size() == kDigestDigits &&
                 !FromHex(digest.get_ref<const std::string&>()).empty();
    if (!valid) {
      reader.Fail("parts." + name, "is not a digest", "64 hexadecimal digits");
      continue;
    }
    head.parts[name] = digest.get<std::string>();
  }
}

}  // namespace

SplitBundle SplitBundleText(std::string_view text, std::string_view origin) {
  ParseBundle(text, origin);
  SplitBundle split;
  for (const auto& [name, content] : SplitDocument(ParseJson(text, origin))) {
    std::string bytes = content.dump();
    std::string digest = ToHex(Sha256(bytes));
    split.head.parts[name] = digest;
    split.parts[digest] = std::move(bytes);
  }
  return split;
}

std::string JoinBundleText(const BundleHead& head, const BundleParts& parts) {
  ErrorList errors;
  json document = json::object();
  for (const auto& [name, digest] : head.parts) {
    std::string origin =
        "bundle version " + std::to_string(head.version) + ", part " + name;
    auto found = parts.find(digest);
    if (found == parts.end()) {
      errors.Add(origin + ": is missing; its digest is " + digest);
      continue;
    }
    if (ToHex(Sha256(found->second)) != digest) {
      errors.Add(origin + ": content does not match its digest " + digest);
      continue;
    }
    try {
      json part = ParseJson(found->second, origin);
      std::string wrong = ShapeError(name, part);
      if (wrong.empty())
        MergePart(name, part, document);
      else
        errors.Add(origin + ": " + wrong);
    } catch (const InputError& error) {
      errors.Add(error.what());
    }
  }
  errors.ThrowIfNotEmpty();
  document["version"] = head.version;
  return document.dump();
}

std::string SignedContent(const BundleHead& head) {
  // Objects of nlohmann::json are ordered by key, so the text is canonical.
  json content = {{"version", head.version},
                  {"parts", head.parts},
                  {"author", head.author}};
  return std::string(kSignatureContext) + content.dump();
}

std::string FormatBundleHead(const BundleHead& head) {
  json signatures = json::array();
  for (const auto& signature : head.signatures) {
    signatures.push_back({{"operator", signature.signer},
                          {"signature", ToHex(signature.signature)}});
  }
  json document = {{"version", head.version},
                   {"parts", head.parts},
                   {"author", head.author},
                   {"signatures", signatures}};
  return document.dump();
}

BundleHead ParseBundleHead(std::string_view text, std::string_view origin) {
  json document = ParseJson(text, origin);
  ErrorList errors;
  std::string name(origin);
  ObjectReader reader(document, name, "", errors);
  BundleHead head;
  reader.Read("version", head.version, 1, std::numeric_limits<uint64_t>::max());
  if (!reader.Has("version"))
    reader.Fail("version", "is missing", "a whole number from 1");
  reader.Read("author", head.author, true);
  const json* parts = reader.Child("parts");
  ParseParts(parts ? *parts : json(), reader, head);
  const json* signatures = reader.Child("signatures");
  if (!signatures || !signatures->is_array()) {
    reader.Fail("signatures", "is missing or not a list",
                "a list of signatures");
  } else {
    for (size_t i = 0; i < signatures->size(); ++i) {
      head.signatures.push_back(
          ParseSignature((*signatures)[i], name,
                         "signatures[" + std::to_string(i) + "]", errors));
    }
  }
  reader.Finish();
  errors.ThrowIfNotEmpty();
  return head;
}

std::vector<std::string> SignatureErrors(const BundleHead& head,
                                         const OperatorKeys& operators) {
  std::vector<std::string> errors;
  std::string content = SignedContent(head);
  // Signers are identified by key, so that one key under two names counts once.
  std::set<std::string> keys;
  std::string author_key;
  for (const auto& signature : head.signatures) {
    auto known = operators.find(signature.signer);
    if (known == operators.end()) {
      errors.push_back("signatures: \"" + signature.signer +
                       "\" is no operator of the settings");
      continue;
    }
    if (!VerifySignature(content, signature.signature, known->second)) {
      errors.push_back("signatures: the signature of \"" + signature.signer +
                       "\" is wrong");
      continue;
    }
    keys.insert(known->second);
    if (signature.signer == head.author)
      author_key = known->second;
  }
  if (author_key.empty())
    errors.push_back("signatures: the author \"" + head.author +
                     "\" has not signed");
  if (keys.size() < 2)
    errors.push_back("signatures: a second operator has not signed");
  return errors;
}

BundleAssembler::BundleAssembler(OperatorKeys operators)
    : operators_(std::move(operators)) {}

bool BundleAssembler::OfferHead(std::string_view document,
                                std::string_view origin) {
  BundleHead head = ParseBundleHead(document, origin);
  if (head.version <= newest_version_)
    return false;
  ErrorList errors;
  for (const auto& error : SignatureErrors(head, operators_))
    errors.Add(std::string(origin) + ": " + error);
  errors.ThrowIfNotEmpty();
  newest_version_ = head.version;
  candidate_ = std::move(head);
  candidate_document_ = document;
  return true;
}

std::vector<std::string> BundleAssembler::MissingParts() const {
  std::set<std::string> digests;
  if (candidate_) {
    for (const auto& [name, digest] : candidate_->parts) {
      if (!parts_.contains(digest))
        digests.insert(digest);
    }
  }
  return {digests.begin(), digests.end()};
}

bool BundleAssembler::AddPart(const std::string& digest, std::string content) {
  if (!candidate_ || parts_.contains(digest))
    return false;
  bool wanted = false;
  for (const auto& [name, wanted_digest] : candidate_->parts)
    wanted = wanted || wanted_digest == digest;
  if (!wanted || ToHex(Sha256(content)) != digest)
    return false;
  parts_[digest] = std::move(content);
  return true;
}

std::optional<Bundle> BundleAssembler::Assemble() {
  if (!candidate_ || !MissingParts().empty())
    return std::nullopt;
  BundleHead head = std::move(*candidate_);
  candidate_.reset();
  Bundle bundle = ParseBundle(JoinBundleText(head, parts_),
                              "bundle version " + std::to_string(head.version));
  version_ = head.version;
  document_ = std::move(candidate_document_);
  BundleParts kept;
  for (const auto& [name, digest] : head.parts)
    kept[digest] = parts_.at(digest);
  parts_ = std::move(kept);
  return bundle;
}

const std::string* BundleAssembler::FindPart(const std::string& digest) const {
  auto found = parts_.find(digest);
  return found == parts_.end() ? nullptr : &found->second;
}

}  // namespace comfreylock
