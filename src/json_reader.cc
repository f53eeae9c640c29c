#include "json_reader.h"

#include <charconv>
#include <utility>

namespace comfreylock {
namespace {

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string ListOf(const std::set<std::string, std::less<>>& names) {
  std::string list;
  for (const auto& name : names) {
    if (!list.empty())
      list += ", ";
    list += name;
  }
  return list;
}

const nlohmann::json& EmptyObject() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

nlohmann::json::parser_callback_t DepthCheck(std::string_view origin) {
  return [origin](int depth, auto /*event*/, auto& /*value*/) {
    if (depth > kMaxJsonDepth) {
      throw InputError(std::string(origin) + " is nested deeper than " +
                       std::to_string(kMaxJsonDepth) + " levels");
    }
    return true;
  };
}

template <typename T>
std::string RangeText(T lowest, T highest) {
  return std::to_string(lowest) + " to " + std::to_string(highest);
}

}  // namespace

nlohmann::json ParseJson(std::string_view text, std::string_view origin) {
  try {
    return nlohmann::json::parse(text, DepthCheck(origin), true, true);
  } catch (const nlohmann::json::out_of_range& error) {
    throw InputError(std::string(origin) + ": " + error.what());
  } catch (const nlohmann::json::parse_error& error) {
    size_t line = 1;
    size_t column = 1;
    for (size_t i = 0; i + 1 < error.byte && i < text.size(); ++i) {
      ++column;
      if (text[i] == '\n') {
        ++line;
        column = 1;
      }
    }
    throw InputError(std::string(origin) + ":" + std::to_string(line) + ":" +
                     std::to_string(column) +
                     ": not valid JSON (comments are allowed)");
  }
}

nlohmann::json ParsePlainJson(std::string_view text, std::string_view what) {
  nlohmann::json document =
      nlohmann::json::parse(text, DepthCheck(what), false);
  if (document.is_discarded())
    throw InputError(std::string(what) + " is not JSON");
  return document;
}

std::chrono::milliseconds ParseDuration(std::string_view text) {
  static constexpr std::pair<std::string_view, int64_t> kUnits[] = {
      {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
  constexpr int64_t kMaxNumber = 1'000'000'000;
  int64_t number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number < 0 || number > kMaxNumber)
    return std::chrono::milliseconds(-1);
  std::string_view unit = text.substr(end - text.data());
  for (const auto& [name, factor] : kUnits) {
    if (unit == name)
      return std::chrono::milliseconds(number * factor);
  }
  return std::chrono::milliseconds(-1);
}

void ErrorList::ThrowIfNotEmpty() const {
  if (messages_.empty())
    return;
  std::string text;
  for (const auto& message : messages_)
    text += (text.empty() ? "" : "\n") + message;
  throw InputError(text);
}

ObjectReader::ObjectReader(const nlohmann::json& value,
                           std::string origin,
                           std::string path,
                           ErrorList& errors)
    : value_(value.is_object() ? value : EmptyObject()),
      origin_(std::move(origin)),
      path_(std::move(path)),
      errors_(errors) {
  if (!value.is_object()) {
    errors_.Add(origin_ + ": " + (path_.empty() ? "document" : path_) +
                ": is not an object; allowed: an object in { }");
  }
}

bool ObjectReader::Has(std::string_view field) const {
  return value_.contains(field);
}

void ObjectReader::Read(std::string_view field,
                        std::string& out,
                        bool required) {
  const auto* found = Find(field);
  if (!found) {
    if (required)
      Fail(field, "is missing", "a string");
    return;
  }
  if (!found->is_string()) {
    Fail(field, "has the wrong type", "a string");
    return;
  }
  out = found->get<std::string>();
}

void ObjectReader::Read(std::string_view field, bool& out) {
  const auto* found = Find(field);
  if (!found)
    return;
  if (!found->is_boolean()) {
    Fail(field, "has the wrong type", "true or false");
    return;
  }
  out = found->get<bool>();
}

void ObjectReader::Read(std::string_view field,
                        uint32_t& out,
                        uint32_t lowest,
                        uint32_t highest) {
  uint64_t wide = out;
  Read(field, wide, static_cast<uint64_t>(lowest),
       static_cast<uint64_t>(highest));
  out = static_cast<uint32_t>(wide);
}

void ObjectReader::Read(std::string_view field,
                        uint64_t& out,
                        uint64_t lowest,
                        uint64_t highest) {
  const auto* found = Find(field);
  if (!found)
    return;
  std::string allowed = "a whole number from " + RangeText(lowest, highest);
  if (!found->is_number_unsigned()) {
    Fail(field, "has the wrong type", allowed);
    return;
  }
  auto number = found->get<uint64_t>();
  if (number < lowest || number > highest) {
    Fail(field, "is " + std::to_string(number), allowed);
    return;
  }
  out = number;
}

void ObjectReader::Read(std::string_view field,
                        double& out,
                        double lowest,
                        double highest) {
  const auto* found = Find(field);
  if (!found)
    return;
  std::string allowed = "a number from " + RangeText(lowest, highest);
  if (!found->is_number()) {
    Fail(field, "has the wrong type", allowed);
    return;
  }
  auto number = found->get<double>();
  if (!(number >= lowest && number <= highest)) {
    Fail(field, "is " + std::to_string(number), allowed);
    return;
  }
  out = number;
}

void ObjectReader::Read(std::string_view field,
                        std::chrono::milliseconds& out,
                        std::chrono::milliseconds lowest,
                        std::chrono::milliseconds highest) {
  const auto* found = Find(field);
  if (!found)
    return;
  std::string allowed = "a duration such as \"250ms\", \"2s\" or \"5m\" from " +
                        RangeText(lowest.count(), highest.count()) + " ms";
  if (!found->is_string()) {
    Fail(field, "has the wrong type", allowed);
    return;
  }
  auto duration = ParseDuration(found->get<std::string>());
  if (duration < lowest || duration > highest) {
    Fail(field, "is " + Quoted(found->get<std::string>()), allowed);
    return;
  }
  out = duration;
}

void ObjectReader::Read(std::string_view field, std::vector<std::string>& out) {
  const auto* found = Find(field);
  if (!found)
    return;
  if (!found->is_array()) {
    Fail(field, "has the wrong type", "a list of strings");
    return;
  }
  std::vector<std::string> list;
  for (const auto& item : *found) {
    if (!item.is_string()) {
      Fail(field, "has an item of the wrong type", "a list of strings");
      return;
    }
    list.push_back(item.get<std::string>());
  }
  out = std::move(list);
}

const nlohmann::json* ObjectReader::Child(std::string_view field) {
  return Find(field);
}

std::string ObjectReader::PathOf(std::string_view field) const {
  return path_.empty() ? std::string(field) : path_ + "." + std::string(field);
}

void ObjectReader::Fail(std::string_view field,
                        std::string_view wrong,
                        std::string_view allowed) const {
  errors_.Add(origin_ + ": " + PathOf(field) + ": " + std::string(wrong) +
              "; allowed: " + std::string(allowed));
}

void ObjectReader::Finish() const {
  for (const auto& [name, value] : value_.items()) {
    if (!read_fields_.contains(name))
      Fail(name, "is unknown", ListOf(read_fields_));
  }
}

const nlohmann::json* ObjectReader::Find(std::string_view field) {
  read_fields_.emplace(field);
  auto found = value_.find(field);
  return found == value_.end() ? nullptr : &*found;
}

}  // namespace comfreylock
