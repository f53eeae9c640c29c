#ifndef COMFREYLOCK_BUNDLE_H_
#define COMFREYLOCK_BUNDLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/types.h"

/// The bundle: the configuration set by operators, one versioned document.
namespace comfreylock {

/// How requests that match a method and path are handled.
struct RouteRule {
  std::string name;
  std::vector<std::string> methods;  ///< Empty: every method.
  std::string path;                  ///< Prefix, matched at `/` boundaries.
  std::string service;
  uint32_t importance = 2;  ///< 0 is the most important.
  bool open = false;        ///< Served without a key.
  bool once_only = false;   ///< A request must never run twice.
  uint32_t retries = 1;     ///< Retry budget of the whole call chain.
  std::chrono::milliseconds deadline{2000};  ///< Used if the caller sets none.
  /// Upper bound of the deadline that a caller sets.
  std::chrono::milliseconds deadline_cap{10000};
  uint64_t max_body = 1 << 20;             ///< Bytes.
  std::vector<std::string> organisations;  ///< Empty: all.
};

/// Limits of one service's targets.
struct ServiceRule {
  std::string name;
  uint32_t slots = 50;         ///< Requests at a time on one target.
  uint32_t connections = 400;  ///< Connections to one target.
  uint32_t queue = 200;        ///< Requests waiting at one target.
  std::chrono::milliseconds queue_delay{100};  ///< Longest wait in the queue.
  std::chrono::milliseconds ramp{2000};        ///< Warm-up after a start.
  std::vector<std::string> calls;  ///< Services that its targets call.
};

/// Limits and weight of one organisation.
struct OrganisationRule {
  std::string name;
  double rate = 100;   ///< Requests per second, over all nodes.
  double burst = 100;  ///< Requests, over all nodes.
  double weight = 1;   ///< Relative weight in the division of capacity.
};

/// A caller's key, stored as a keyed hash.
struct KeyRule {
  std::string id;
  std::string organisation;
  std::string hash;  ///< Hexadecimal HMAC-SHA-256 of the key.
};

/// A key sent by a caller. It is hashed before it enters the reducer, so that
/// recorded events contain no keys.
struct PresentedKey {
  std::string id;
  std::string hash;
};

/// A validated bundle.
struct Bundle {
  uint64_t version = 0;
  uint32_t partitions = 4;  ///< Constant for the life of a fleet.
  std::string key_salt;     ///< Hexadecimal.
  std::vector<RouteRule> routes;
  std::map<std::string, ServiceRule, std::less<>> services;
  std::map<std::string, OrganisationRule, std::less<>> organisations;
  std::map<std::string, KeyRule, std::less<>> keys;

  /// @param method request method, upper case.
  /// @param target request target; the query is ignored.
  /// @return the route with the longest matching path, or null.
  const RouteRule* FindRoute(std::string_view method,
                             std::string_view target) const;

  /// Compares in constant time.
  /// @return the key's rule, or null if it is unknown or withdrawn.
  const KeyRule* FindKey(const PresentedKey& key) const;
};

/// @param text JSON with comments.
/// @param origin file or store key named in errors.
/// @return the validated bundle.
/// @throws InputError naming the field, what was wrong and what is allowed.
Bundle ParseBundle(std::string_view text, std::string_view origin);

/// @param key the key as the caller sends it, `cl_<id>_<secret>`.
/// @param salt the bundle's salt, hexadecimal.
/// @return identifier and hash; the identifier is empty for a malformed key.
PresentedKey HashKey(std::string_view key, std::string_view salt);

}  // namespace comfreylock

#endif  // COMFREYLOCK_BUNDLE_H_
