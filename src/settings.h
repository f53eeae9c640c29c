#ifndef COMFREYLOCK_SETTINGS_H_
#define COMFREYLOCK_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/bundle_head.h"
#include "comfreylock/policy.h"
#include "json_reader.h"
#include "read_file.h"

/// Settings of one node, read from a JSON file with comments.
namespace comfreylock {

/// All addresses are IP:PORT.
struct NodeSettings {
  std::string node;  ///< Unique in the fleet.
  std::string zone;
  std::string service;  ///< Empty if the node has no target.
  std::string caller_address;
  std::string onward_address;
  std::string peer_address;
  std::string control_address;
  std::string operator_address;
  std::string target_address;
  std::string store_address;
  std::string fleet_secret_hex;  ///< Authenticates nodes to each other.
  /// Control addresses to request members from while no live peer is known.
  std::vector<std::string> seeds;
  std::string log_file;        ///< Empty: standard error.
  OperatorKeys operators;      ///< Signers of bundles; at least two.
  std::string operator_token;  ///< Bearer token of the operator listener.
  Policy policy = Policy::kStandard;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};
  uint64_t memory_mb = 160;         ///< Memory that the process may use, MB.
  uint64_t max_descriptors = 4096;  ///< That the process may have open.
};

/// @param text JSON with comments.
/// @param origin file name for error messages.
/// @throws InputError naming the field, what was wrong and what is allowed.
NodeSettings ParseNodeSettings(std::string_view text, std::string_view origin);

/// Reads an object that maps operator names to hexadecimal public keys.
/// @return the raw public keys; errors are added to `errors`.
OperatorKeys ParseOperators(ObjectReader& reader,
                            std::string_view field,
                            ErrorList& errors);

/// @return the optional fields except `policy`, with their default values, as
/// JSON.
std::string DefaultSettingsText();

}  // namespace comfreylock

#endif  // COMFREYLOCK_SETTINGS_H_
