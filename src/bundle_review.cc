#include "bundle_review.h"

#include <map>
#include <sstream>

#include "comfreylock/bundle.h"
#include "json_reader.h"

namespace comfreylock {
namespace {

using nlohmann::json;

/// Converts a list to an object keyed by the field `name`, so that a moved item
/// does not count as a difference.
json NamedItems(const json& list, const char* name) {
  json named = json::object();
  for (const auto& item : list)
    named[item.value(name, "")] = item;
  return named;
}

json ComparableDocument(std::string_view text) {
  if (text.empty())
    return json::object();
  json document = ParseJson(text, "bundle");
  document.erase("version");
  document["routes"] =
      NamedItems(document.value("routes", json::array()), "name");
  document["keys"] = NamedItems(document.value("keys", json::array()), "id");
  return document;
}

void AddDifferences(const std::string& path,
                    const json& before,
                    const json& after,
                    std::vector<std::string>& lines) {
  if (before == after)
    return;
  if (!before.is_object() || !after.is_object()) {
    lines.push_back("~ " + path + ": " + before.dump() + " -> " + after.dump());
    return;
  }
  std::string prefix = path.empty() ? "" : path + ".";
  for (const auto& [name, value] : before.items()) {
    if (after.contains(name))
      AddDifferences(prefix + name, value, after[name], lines);
    else
      lines.push_back("- " + prefix + name + ": " + value.dump());
  }
  for (const auto& [name, value] : after.items()) {
    if (!before.contains(name))
      lines.push_back("+ " + prefix + name + ": " + value.dump());
  }
}

std::string FormatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

void AddChange(const std::string& label,
               double before,
               double after,
               std::vector<std::string>& lines) {
  if (before != after)
    lines.push_back(label + ": " + FormatNumber(before) + " -> " +
                    FormatNumber(after));
}

void AddRateEffects(const Bundle& before,
                    const Bundle& after,
                    std::vector<std::string>& lines) {
  double total_before = 0;
  double total_after = 0;
  OrganisationRule absent;
  absent.rate = absent.burst = 0;
  std::map<std::string, std::pair<OrganisationRule, OrganisationRule>> all;
  for (const auto& [name, rule] : before.organisations) {
    all[name] = {rule, absent};
    total_before += rule.rate;
  }
  for (const auto& [name, rule] : after.organisations) {
    auto entry = all.try_emplace(name, absent, absent).first;
    entry->second.second = rule;
    total_after += rule.rate;
  }
  for (const auto& [name, rules] : all) {
    AddChange("rate of " + name + ", requests/s", rules.first.rate,
              rules.second.rate, lines);
    AddChange("burst of " + name + ", requests", rules.first.burst,
              rules.second.burst, lines);
  }
  AddChange("sum of all rates, requests/s", total_before, total_after, lines);
}

void AddSlotEffects(const Bundle& before,
                    const Bundle& after,
                    std::vector<std::string>& lines) {
  std::map<std::string, std::pair<double, double>> slots;
  for (const auto& [name, rule] : before.services)
    slots[name].first = rule.slots;
  for (const auto& [name, rule] : after.services)
    slots[name].second = rule.slots;
  for (const auto& [name, change] : slots) {
    AddChange("slots of each target of " + name, change.first, change.second,
              lines);
  }
}

void AddKeyEffects(const Bundle& before,
                   const Bundle& after,
                   std::vector<std::string>& lines) {
  for (const auto& [id, key] : before.keys) {
    if (!after.keys.contains(id))
      lines.push_back("key " + id + " of " + key.organisation + " withdrawn");
  }
  for (const auto& [id, key] : after.keys) {
    auto current = before.keys.find(id);
    if (current == before.keys.end())
      lines.push_back("key " + id + " of " + key.organisation + " issued");
    else if (current->second.hash != key.hash)
      lines.push_back("key " + id + " of " + key.organisation + " replaced");
  }
  if (!before.keys.empty() && before.key_salt != after.key_salt)
    lines.push_back("key_salt changed: every key stops working");
}

}  // namespace

BundleReview ReviewBundles(std::string_view before, std::string_view after) {
  BundleReview review;
  AddDifferences("", ComparableDocument(before), ComparableDocument(after),
                 review.differences);
  Bundle current = before.empty() ? Bundle() : ParseBundle(before, "in force");
  Bundle proposed = ParseBundle(after, "proposal");
  AddRateEffects(current, proposed, review.effects);
  AddSlotEffects(current, proposed, review.effects);
  AddKeyEffects(current, proposed, review.effects);
  if (!before.empty() && current.partitions != proposed.partitions) {
    review.effects.push_back(
        "partitions changed: they are constant for the life of a fleet");
  }
  return review;
}

}  // namespace comfreylock
