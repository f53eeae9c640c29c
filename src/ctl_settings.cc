#include "ctl_settings.h"

#include "http_io.h"
#include "json_reader.h"
#include "settings.h"

namespace comfreylock {
namespace {

void CheckAddress(const ObjectReader& reader,
                  std::string_view field,
                  const std::string& address) {
  try {
    ParseEndpoint(address);
  } catch (const InputError&) {
    reader.Fail(field, "is \"" + address + "\"",
                "IP:PORT such as 127.0.0.1:8080");
  }
}

}  // namespace

CtlSettings ParseCtlSettings(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  ErrorList errors;
  ObjectReader reader(document, std::string(origin), "", errors);
  CtlSettings settings;
  reader.Read("store_address", settings.store_address, true);
  reader.Read("operator_token", settings.operator_token);
  reader.Read("nodes", settings.nodes);
  settings.operators = ParseOperators(reader, "operators", errors);
  reader.Finish();
  if (!settings.store_address.empty())
    CheckAddress(reader, "store_address", settings.store_address);
  for (size_t i = 0; i < settings.nodes.size(); ++i) {
    CheckAddress(reader, "nodes[" + std::to_string(i) + "]", settings.nodes[i]);
  }
  errors.ThrowIfNotEmpty();
  return settings;
}

}  // namespace comfreylock
