#include "settings.h"

#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "comfreylock/config.h"
#include "crypto.h"
#include "http_io.h"
#include "json_reader.h"

namespace comfreylock {
namespace {

constexpr size_t kMinFleetSecretBytes = 16;
constexpr size_t kMinOperatorTokenLength = 16;
/// Each bundle is signed by its author and by another operator.
constexpr size_t kMinOperators = 2;

void CheckAddress(const ObjectReader& reader,
                  std::string_view field,
                  const std::string& address,
                  std::map<std::string, std::string>& fields_by_address) {
  // A missing address is reported by the reader.
  if (!reader.Has(field) && address.empty())
    return;
  try {
    ParseEndpoint(address);
  } catch (const InputError&) {
    reader.Fail(field, "is \"" + address + "\"",
                "IP:PORT such as 127.0.0.1:8080");
    return;
  }
  auto [existing, added] = fields_by_address.emplace(address, field);
  if (!added) {
    reader.Fail(field, "is the same address as " + existing->second,
                "a different address or port for each listener");
  }
}

/// Reads the public keys of the operators who sign bundles, and checks the
/// operator token. Keys must differ, because one person with the key of two
/// operators could sign twice.
void ReadOperators(ObjectReader& reader,
                   NodeSettings& settings,
                   ErrorList& errors) {
  settings.operators = ParseOperators(reader, "operators", errors);
  if (settings.operators.size() < kMinOperators) {
    reader.Fail("operators", "lists fewer than two operators",
                "at least two, as name: public key in hexadecimal");
  }
  if (settings.operator_token.size() < kMinOperatorTokenLength) {
    reader.Fail("operator_token", "is too short",
                "at least 16 characters, none of them a space");
  }
}

Policy ReadPolicy(ObjectReader& reader) {
  std::string name = "standard";
  reader.Read("policy", name);
  if (name == "naive")
    return Policy::kNaive;
  if (name != "standard")
    reader.Fail("policy", "is \"" + name + "\"", "\"standard\" or \"naive\"");
  return Policy::kStandard;
}

}  // namespace

OperatorKeys ParseOperators(ObjectReader& reader,
                            std::string_view field,
                            ErrorList& errors) {
  constexpr size_t kPublicKeyBytes = 32;
  OperatorKeys operators;
  const auto* child = reader.Child(field);
  if (!child)
    return operators;
  ObjectReader names(*child, reader.origin(), reader.PathOf(field), errors);
  if (!child->is_object())
    return operators;
  std::set<std::string> used_keys;
  for (const auto& [name, value] : child->items()) {
    std::string hex;
    names.Read(name, hex);
    std::string key = FromHex(hex);
    if (key.size() != kPublicKeyBytes) {
      names.Fail(name, "is not a public key", "64 hexadecimal digits");
      continue;
    }
    if (!used_keys.insert(key).second)
      names.Fail(name, "is the key of another operator",
                 "a different key for each");
    operators[name] = key;
  }
  return operators;
}

NodeSettings ParseNodeSettings(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  ErrorList errors;
  ObjectReader reader(document, std::string(origin), "", errors);
  NodeSettings settings;
  reader.Read("node", settings.node, true);
  reader.Read("zone", settings.zone, true);
  reader.Read("service", settings.service);
  reader.Read("caller_address", settings.caller_address, true);
  reader.Read("onward_address", settings.onward_address, true);
  reader.Read("peer_address", settings.peer_address, true);
  reader.Read("control_address", settings.control_address, true);
  reader.Read("operator_address", settings.operator_address, true);
  reader.Read("target_address", settings.target_address);
  reader.Read("store_address", settings.store_address, true);
  reader.Read("fleet_secret_hex", settings.fleet_secret_hex, true);
  reader.Read("seeds", settings.seeds);
  reader.Read("log_file", settings.log_file);
  reader.Read("operator_token", settings.operator_token, true);
  reader.Child("operators");
  settings.policy = ReadPolicy(reader);
  reader.Read("header_timeout", settings.header_timeout, 10ms, 10min);
  reader.Read("idle_timeout", settings.idle_timeout, 10ms, 1h);
  reader.Read("memory_mb", settings.memory_mb, 32, 1'000'000);
  reader.Read("max_descriptors", settings.max_descriptors, 256, 1'000'000);
  reader.Finish();
  if (settings.node.empty() || settings.node.find('/') != std::string::npos)
    reader.Fail("node", "is empty or contains a /", "a name without /");
  if (settings.zone.empty() || settings.zone.find('/') != std::string::npos)
    reader.Fail("zone", "is empty or contains a /", "a name without /");
  std::map<std::string, std::string> fields_by_address;
  CheckAddress(reader, "caller_address", settings.caller_address,
               fields_by_address);
  CheckAddress(reader, "onward_address", settings.onward_address,
               fields_by_address);
  CheckAddress(reader, "peer_address", settings.peer_address,
               fields_by_address);
  CheckAddress(reader, "control_address", settings.control_address,
               fields_by_address);
  CheckAddress(reader, "operator_address", settings.operator_address,
               fields_by_address);
  CheckAddress(reader, "store_address", settings.store_address,
               fields_by_address);
  if (!settings.service.empty() || !settings.target_address.empty()) {
    if (settings.service.empty())
      reader.Fail("service", "is missing", "the service of the target");
    CheckAddress(reader, "target_address", settings.target_address,
                 fields_by_address);
  }
  if (FromHex(settings.fleet_secret_hex).size() < kMinFleetSecretBytes) {
    reader.Fail("fleet_secret_hex", "is too short or not hexadecimal",
                "at least 32 hexadecimal digits");
  }
  ReadOperators(reader, settings, errors);
  errors.ThrowIfNotEmpty();
  return settings;
}

std::string DefaultSettingsText() {
  const NodeSettings defaults;
  auto milliseconds = [](std::chrono::milliseconds time) {
    return std::to_string(time.count()) + "ms";
  };
  nlohmann::ordered_json document = {
      {"service", defaults.service},
      {"target_address", defaults.target_address},
      {"seeds", defaults.seeds},
      {"log_file", defaults.log_file},
      {"header_timeout", milliseconds(defaults.header_timeout)},
      {"idle_timeout", milliseconds(defaults.idle_timeout)},
      {"memory_mb", defaults.memory_mb},
      {"max_descriptors", defaults.max_descriptors}};
  return document.dump(2) + "\n";
}

}  // namespace comfreylock
