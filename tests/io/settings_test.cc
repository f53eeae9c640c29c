#include "settings.h"

#include <gtest/gtest.h>

#include "comfreylock/types.h"

namespace comfreylock {
namespace {

constexpr char kSettings[] = R"({
  // One node on loopback.
  "node": "proofs-0", "zone": "zone-a", "service": "proofs",
  "caller_address": "127.0.0.1:1001", "onward_address": "127.0.0.1:1002",
  "peer_address": "127.0.0.1:1003", "control_address": "127.0.0.1:1004",
  "operator_address": "127.0.0.1:1005", "target_address": "127.0.0.1:1006",
  "store_address": "127.0.0.1:1007",
  "fleet_secret_hex": "000102030405060708090a0b0c0d0e0f"
})";

std::string ErrorWith(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  try {
    ParseNodeSettings(text, "node.json");
  } catch (const InputError& error) {
    return error.what();
  }
  return "";
}

// Guards against a start with settings that cannot work.
TEST(SettingsTest, ErrorsNameTheField) {
  EXPECT_EQ(ParseNodeSettings(kSettings, "node.json").node, "proofs-0");
  EXPECT_NE(ErrorWith("\"zone\": \"zone-a\",", "").find("zone: is missing"),
            std::string::npos);
  EXPECT_NE(ErrorWith("1002", "1001").find("onward_address: is the same"),
            std::string::npos);
  EXPECT_NE(ErrorWith("\"zone\"", "\"area\"").find("zone"), std::string::npos);
  EXPECT_NE(ErrorWith("\"zone\"", "\"policy\": \"x\", \"zone\"")
                .find("policy: is \"x\""),
            std::string::npos);
  EXPECT_NE(ErrorWith("\"zone-a\"", "7").find("zone: has the wrong type"),
            std::string::npos);
}

}  // namespace
}  // namespace comfreylock
