#include <iostream>

#include "crypto.h"
#include "ctl.h"
#include "json_reader.h"

/// Subcommands that issue, withdraw and list callers' keys.
namespace comfreylock::ctl {
namespace {

constexpr size_t kKeySaltBytes = 16;
constexpr size_t kKeySecretBytes = 24;
/// Random bytes in a key's identifier.
constexpr size_t kKeyIdBytes = 4;

nlohmann::json CurrentBundle(Session& session) {
  auto head = session.bundles().ReadHead();
  if (!head)
    throw InputError("no bundle is in force; propose and roll one first");
  return ParseJson(session.bundles().ReadText(head->head), "bundle in force");
}

void Issue(Session& session) {
  const std::string& organisation = session.Argument(1, "ORGANISATION");
  nlohmann::json bundle = CurrentBundle(session);
  if (bundle.value("key_salt", "").empty())
    bundle["key_salt"] = ToHex(RandomBytes(kKeySaltBytes));
  std::string id = organisation + "-" + ToHex(RandomBytes(kKeyIdBytes));
  // An underscore marks the end of the identifier within a key, so the
  // identifier must not contain one.
  for (char& character : id)
    character = character == '_' ? '-' : character;
  std::string key = "cl_" + id + "_" + ToHex(RandomBytes(kKeySecretBytes));
  PresentedKey hashed = HashKey(key, bundle["key_salt"].get<std::string>());
  bundle["keys"].push_back(
      {{"id", id}, {"organisation", organisation}, {"hash", hashed.hash}});
  session.ProposeAndMaybeRoll(bundle.dump(), "bundle with key " + id);
  PrintLine("key " + id + " of " + organisation + ", shown only here:");
  std::cout << key << "\n";
}

void Withdraw(Session& session) {
  const std::string& id = session.Argument(1, "KEY-ID");
  nlohmann::json bundle = CurrentBundle(session);
  nlohmann::json remaining = nlohmann::json::array();
  const nlohmann::json keys = bundle.value("keys", nlohmann::json::array());
  for (const auto& key : keys) {
    if (key.value("id", "") != id)
      remaining.push_back(key);
  }
  if (remaining.size() == keys.size()) {
    throw InputError("key " + id +
                     " is not in the bundle in force; see key list");
  }
  bundle["keys"] = remaining;
  session.ProposeAndMaybeRoll(bundle.dump(), "bundle without key " + id);
}

void List(Session& session) {
  nlohmann::json list = nlohmann::json::array();
  const nlohmann::json keys =
      CurrentBundle(session).value("keys", nlohmann::json::array());
  for (const auto& key : keys) {
    std::string id = key.value("id", "");
    std::string organisation = key.value("organisation", "");
    list.push_back({{"id", id}, {"organisation", organisation}});
    if (!session.options().json)
      PrintLine(id + " of " + organisation);
  }
  if (session.options().json)
    std::cout << list.dump(2) << "\n";
}

}  // namespace

void Key(Session& session) {
  const std::string& action = session.Argument(0, "issue|withdraw|list");
  if (action == "issue")
    Issue(session);
  else if (action == "withdraw")
    Withdraw(session);
  else if (action == "list")
    List(session);
  else
    throw InputError("key " + action + ": allowed: issue, withdraw, list");
}

}  // namespace comfreylock::ctl
