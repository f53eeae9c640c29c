#ifndef COMFREYLOCK_JSON_READER_H_
#define COMFREYLOCK_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfreylock/types.h"

/// Strict reader of JSON with comments: unknown fields and wrong types are
/// errors that name the field.
namespace comfreylock {

/// Deepest nesting of arrays and objects in a document.
inline constexpr int kMaxJsonDepth = 64;

/// @return the parsed document. Comments are allowed.
/// @throws InputError with line and column if `text` is not JSON, contains a
/// number that no double holds, or is nested deeper than `kMaxJsonDepth`.
nlohmann::json ParseJson(std::string_view text, std::string_view origin);

/// @return the parsed document, which another program wrote; comments are
/// errors.
/// @param what names the document in errors.
/// @throws InputError as `ParseJson`, without line and column.
nlohmann::json ParsePlainJson(std::string_view text, std::string_view what);

/// @param text such as `250ms`, `2s`, `5m` or `24h`.
/// @return the duration, or a negative one if `text` is not a duration.
std::chrono::milliseconds ParseDuration(std::string_view text);

/// Collects the errors of one document, so that all are reported at once.
class ErrorList {
 public:
  void Add(std::string message) { messages_.push_back(std::move(message)); }
  bool empty() const { return messages_.empty(); }
  const std::vector<std::string>& messages() const { return messages_; }

  /// @throws InputError with one line for each error.
  void ThrowIfNotEmpty() const;

 private:
  std::vector<std::string> messages_;
};

/// Reads the fields of one JSON object. `Finish` reports unknown fields.
class ObjectReader {
 public:
  /// @param path names the object in errors, such as `routes[2]`.
  /// @param errors receives the errors; must outlive the reader. A `value` that
  ///   is not an object is one error and is read as an empty object.
  ObjectReader(const nlohmann::json& value,
               std::string origin,
               std::string path,
               ErrorList& errors);

  bool Has(std::string_view field) const;

  /// Each overload leaves `out` unchanged if an optional field is absent.
  void Read(std::string_view field, std::string& out, bool required = false);
  void Read(std::string_view field, bool& out);
  void Read(std::string_view field,
            uint32_t& out,
            uint32_t lowest,
            uint32_t highest);
  void Read(std::string_view field,
            uint64_t& out,
            uint64_t lowest,
            uint64_t highest);
  void Read(std::string_view field, double& out, double lowest, double highest);
  void Read(std::string_view field,
            std::chrono::milliseconds& out,
            std::chrono::milliseconds lowest,
            std::chrono::milliseconds highest);
  void Read(std::string_view field, std::vector<std::string>& out);

  /// @return the value of the field, or null if it is absent.
  const nlohmann::json* Child(std::string_view field);

  /// @return the path of a field, for errors and nested readers.
  std::string PathOf(std::string_view field) const;

  /// Adds an error that names the field.
  void Fail(std::string_view field,
            std::string_view wrong,
            std::string_view allowed) const;

  /// Adds an error for each field that was not read.
  void Finish() const;

  const std::string& origin() const { return origin_; }

 private:
  const nlohmann::json* Find(std::string_view field);

  const nlohmann::json& value_;
  std::string origin_;
  std::string path_;
  ErrorList& errors_;
  std::set<std::string, std::less<>> read_fields_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_JSON_READER_H_
