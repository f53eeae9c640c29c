#include "comfreylock/bundle.h"

#include <algorithm>

#include "comfreylock/config.h"
#include "crypto.h"
#include "json_reader.h"

namespace comfreylock {
namespace {

constexpr uint64_t kMaxBodyBytes = uint64_t{1} << 36;
/// Upper bound of slots, connections and queue length of a target.
constexpr uint32_t kMaxTargetLimit = 100'000;
constexpr uint32_t kMaxPartitions = 1024;
constexpr uint32_t kMaxRetries = 3;
/// Upper bound of rates, requests per second, and of bursts, requests.
constexpr double kMaxRate = 1e9;

std::string Indexed(std::string_view name, size_t index) {
  return std::string(name) + "[" + std::to_string(index) + "]";
}

RouteRule ParseRoute(const nlohmann::json& value,
                     const std::string& origin,
                     const std::string& path,
                     ErrorList& errors) {
  ObjectReader reader(value, origin, path, errors);
  RouteRule rule;
  reader.Read("name", rule.name, true);
  reader.Read("methods", rule.methods);
  reader.Read("path", rule.path, true);
  reader.Read("service", rule.service, true);
  reader.Read("importance", rule.importance, 0, kImportanceClassCount - 1);
  reader.Read("open", rule.open);
  reader.Read("once_only", rule.once_only);
  reader.Read("retries", rule.retries, 0, kMaxRetries);
  reader.Read("deadline", rule.deadline, 1ms, 1h);
  reader.Read("deadline_cap", rule.deadline_cap, 1ms, 1h);
  reader.Read("max_body", rule.max_body, 0, kMaxBodyBytes);
  reader.Read("organisations", rule.organisations);
  reader.Finish();
  if (rule.path.empty() || rule.path.front() != '/')
    reader.Fail("path", "does not start with /", "a path such as \"/proofs\"");
  if (rule.deadline > rule.deadline_cap)
    reader.Fail("deadline", "exceeds deadline_cap", "at most deadline_cap");
  if (rule.open && rule.once_only) {
    reader.Fail("open", "is true on a once-only route",
                "false, since once-only routes need a key");
  }
  return rule;
}

ServiceRule ParseService(const nlohmann::json& value,
                         const std::string& name,
                         const std::string& origin,
                         ErrorList& errors) {
  ObjectReader reader(value, origin, "services." + name, errors);
  ServiceRule rule;
  rule.name = name;
  reader.Read("slots", rule.slots, 1, kMaxTargetLimit);
  reader.Read("connections", rule.connections, 1, kMaxTargetLimit);
  reader.Read("queue", rule.queue, 0, kMaxTargetLimit);
  reader.Read("queue_delay", rule.queue_delay, 1ms, 60s);
  reader.Read("ramp", rule.ramp, 0ms, 10min);
  reader.Read("calls", rule.calls);
  reader.Finish();
  return rule;
}

OrganisationRule ParseOrganisation(const nlohmann::json& value,
                                   const std::string& name,
                                   const std::string& origin,
                                   ErrorList& errors) {
  ObjectReader reader(value, origin, "organisations." + name, errors);
  OrganisationRule rule;
  rule.name = name;
  reader.Read("rate", rule.rate, 0, kMaxRate);
  reader.Read("burst", rule.burst, 1, kMaxRate);
  reader.Read("weight", rule.weight, 0.01, 1000);
  reader.Finish();
  return rule;
}

KeyRule ParseKey(const nlohmann::json& value,
                 const std::string& origin,
                 const std::string& path,
                 ErrorList& errors) {
  constexpr size_t kHashDigits = 64;
  ObjectReader reader(value, origin, path, errors);
  KeyRule rule;
  reader.Read("id", rule.id, true);
  reader.Read("organisation", rule.organisation, true);
  reader.Read("hash", rule.hash, true);
  reader.Finish();
  if (rule.hash.size() != kHashDigits)
    reader.Fail("hash", "has the wrong length", "64 hexadecimal digits");
  return rule;
}

const nlohmann::json& ListChild(ObjectReader& reader, std::string_view field) {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  const auto* child = reader.Child(field);
  if (!child)
    return kEmpty;
  if (!child->is_array()) {
    reader.Fail(field, "has the wrong type", "a list");
    return kEmpty;
  }
  return *child;
}

const nlohmann::json& ObjectChild(ObjectReader& reader,
                                  std::string_view field) {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  const auto* child = reader.Child(field);
  if (!child)
    return kEmpty;
  if (!child->is_object()) {
    reader.Fail(field, "has the wrong type", "an object");
    return kEmpty;
  }
  return *child;
}

void CheckReferences(const Bundle& bundle, const ObjectReader& reader) {
  for (size_t i = 0; i < bundle.routes.size(); ++i) {
    const RouteRule& route = bundle.routes[i];
    std::string path = Indexed("routes", i);
    if (!bundle.services.contains(route.service)) {
      reader.Fail(path + ".service", "is \"" + route.service + "\"",
                  "a name listed under services");
    }
    for (const auto& name : route.organisations) {
      if (!bundle.organisations.contains(name)) {
        reader.Fail(path + ".organisations", "has \"" + name + "\"",
                    "names listed under organisations");
      }
    }
    for (size_t j = 0; j < i; ++j) {
      if (bundle.routes[j].name == route.name)
        reader.Fail(path + ".name", "is a duplicate",
                    "a unique name for each route");
    }
  }
  for (const auto& [name, service] : bundle.services) {
    for (const auto& called : service.calls) {
      if (!bundle.services.contains(called)) {
        reader.Fail("services." + name + ".calls", "has \"" + called + "\"",
                    "names listed under services");
      }
    }
  }
  for (const auto& [id, key] : bundle.keys) {
    if (!bundle.organisations.contains(key.organisation)) {
      reader.Fail("keys", "key " + id + " is for \"" + key.organisation + "\"",
                  "names listed under organisations");
    }
  }
}

bool PathMatches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix))
    return false;
  return prefix.back() == '/' || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

bool MethodMatches(const RouteRule& rule, std::string_view method) {
  if (rule.methods.empty())
    return true;
  // HEAD is allowed wherever GET is.
  std::string_view wanted = method == "HEAD" ? "GET" : method;
  return std::ranges::find(rule.methods, wanted) != rule.methods.end() ||
         std::ranges::find(rule.methods, method) != rule.methods.end();
}

}  // namespace

const RouteRule* Bundle::FindRoute(std::string_view method,
                                   std::string_view target) const {
  std::string_view path = target.substr(0, target.find('?'));
  const RouteRule* best = nullptr;
  for (const auto& route : routes) {
    if (!PathMatches(route.path, path) || !MethodMatches(route, method))
      continue;
    if (!best || route.path.size() > best->path.size())
      best = &route;
  }
  return best;
}

const KeyRule* Bundle::FindKey(const PresentedKey& key) const {
  auto found = keys.find(key.id);
  if (found == keys.end())
    return nullptr;
  if (!EqualConstantTime(found->second.hash, key.hash))
    return nullptr;
  return &found->second;
}

Bundle ParseBundle(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  std::string name(origin);
  ErrorList errors;
  ObjectReader reader(document, name, "", errors);
  Bundle bundle;
  reader.Read("version", bundle.version, 0,
              std::numeric_limits<uint64_t>::max());
  reader.Read("partitions", bundle.partitions, 1, kMaxPartitions);
  reader.Read("key_salt", bundle.key_salt);
  for (const auto& [key, value] : ObjectChild(reader, "services").items())
    bundle.services[key] = ParseService(value, key, name, errors);
  for (const auto& [key, value] : ObjectChild(reader, "organisations").items())
    bundle.organisations[key] = ParseOrganisation(value, key, name, errors);
  const auto& routes = ListChild(reader, "routes");
  for (size_t i = 0; i < routes.size(); ++i)
    bundle.routes.push_back(
        ParseRoute(routes[i], name, Indexed("routes", i), errors));
  const auto& keys = ListChild(reader, "keys");
  for (size_t i = 0; i < keys.size(); ++i) {
    KeyRule key = ParseKey(keys[i], name, Indexed("keys", i), errors);
    if (bundle.keys.contains(key.id))
      reader.Fail(Indexed("keys", i) + ".id", "is a duplicate", "unique ids");
    bundle.keys[key.id] = key;
  }
  reader.Finish();
  CheckReferences(bundle, reader);
  errors.ThrowIfNotEmpty();
  return bundle;
}

PresentedKey HashKey(std::string_view key, std::string_view salt) {
  constexpr std::string_view kPrefix = "cl_";
  if (!key.starts_with(kPrefix))
    return {};
  std::string_view rest = key.substr(kPrefix.size());
  size_t separator = rest.find('_');
  if (separator == std::string_view::npos || separator == 0)
    return {};
  return {std::string(rest.substr(0, separator)),
          ToHex(HmacSha256(FromHex(salt), key))};
}

}  // namespace comfreylock
