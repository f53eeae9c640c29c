#include "settings.h"

#include <fstream>
#include <map>
#include <sstream>

#include "comfreylock/config.h"
#include "crypto.h"
#include "http_io.h"
#include "json_reader.h"

namespace comfreylock {
namespace {

constexpr size_t kShortestSecretBytes = 16;

void CheckAddress(const ObjectReader& reader,
                  std::string_view field,
                  const std::string& address,
                  std::map<std::string, std::string>& listeners) {
  try {
    ParseEndpoint(address);
  } catch (const InputError&) {
    reader.Fail(field, "is \"" + address + "\"",
                "IP:PORT such as 127.0.0.1:8080");
  }
  auto [taken, added] = listeners.emplace(address, field);
  if (!added) {
    reader.Fail(field, "is the same address as " + taken->second,
                "a different address or port for each listener");
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

NodeSettings ParseNodeSettings(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  ObjectReader reader(document, std::string(origin), "");
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
  settings.policy = ReadPolicy(reader);
  reader.Read("header_timeout", settings.header_timeout, 10ms, 10min);
  reader.Read("idle_timeout", settings.idle_timeout, 10ms, 1h);
  reader.Finish();
  if (settings.node.empty() || settings.node.find('/') != std::string::npos)
    reader.Fail("node", "is empty or holds a /", "a name without /");
  if (settings.zone.empty() || settings.zone.find('/') != std::string::npos)
    reader.Fail("zone", "is empty or holds a /", "a name without /");
  std::map<std::string, std::string> listeners;
  CheckAddress(reader, "caller_address", settings.caller_address, listeners);
  CheckAddress(reader, "onward_address", settings.onward_address, listeners);
  CheckAddress(reader, "peer_address", settings.peer_address, listeners);
  CheckAddress(reader, "control_address", settings.control_address, listeners);
  CheckAddress(reader, "operator_address", settings.operator_address,
               listeners);
  CheckAddress(reader, "store_address", settings.store_address, listeners);
  if (!settings.service.empty() || !settings.target_address.empty()) {
    if (settings.service.empty())
      reader.Fail("service", "is missing", "the service of the target");
    CheckAddress(reader, "target_address", settings.target_address, listeners);
  }
  if (FromHex(settings.fleet_secret_hex).size() < kShortestSecretBytes) {
    reader.Fail("fleet_secret_hex", "is too short or not hexadecimal",
                "at least 32 hexadecimal digits");
  }
  return settings;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    throw InputError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace comfreylock
