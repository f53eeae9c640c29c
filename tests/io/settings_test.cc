#include "settings.h"

#include <gtest/gtest.h>

#include "comfreylock/types.h"
#include "ctl_settings.h"

namespace comfreylock {
namespace {

constexpr char kSettings[] = R"({
  // One node on loopback.
  "node": "proofs-0", "zone": "zone-a", "service": "proofs",
  "caller_address": "127.0.0.1:1001", "onward_address": "127.0.0.1:1002",
  "peer_address": "127.0.0.1:1003", "control_address": "127.0.0.1:1004",
  "operator_address": "127.0.0.1:1005", "target_address": "127.0.0.1:1006",
  "store_address": "127.0.0.1:1007",
  "fleet_secret_hex": "000102030405060708090a0b0c0d0e0f",
  "operator_token": "0123456789abcdef",
  "operators": {
    "anna":
      "1111111111111111111111111111111111111111111111111111111111111111",
    "bela":
      "2222222222222222222222222222222222222222222222222222222222222222"}
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

// Guards against a node that starts with invalid settings, and against errors
// that do not name the field.
TEST(SettingsTest, ErrorsNameField) {
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

// Guards against a parser that stops at the first error, and against one
// person who signs under two names.
TEST(SettingsTest, ReportsAllErrorsAtOnce) {
  std::string text = kSettings;
  text.replace(text.find("\"zone\""), 6, "\"area\"");
  text.replace(text.find("2222"), 64, std::string(64, '1'));
  std::string error;
  try {
    ParseNodeSettings(text, "node.json");
  } catch (const InputError& thrown) {
    error = thrown.what();
  }
  for (const char* part : {"node.json: zone: is missing", "area: is unknown",
                           "operators.bela: is the key of another operator"}) {
    EXPECT_NE(error.find(part), std::string::npos) << part << "\n" << error;
  }
}

// Guards against printed defaults that the parser rejects or that differ from
// its own.
TEST(SettingsTest, PrintedDefaultsMatchParser) {
  std::string text = DefaultSettingsText();
  std::string required = kSettings;
  // The printed defaults contain these two fields, so they are removed here.
  // Other fields do not depend on them.
  for (const char* field : {"\"service\": \"proofs\",",
                            "\"target_address\": \"127.0.0.1:1006\","}) {
    required.erase(required.find(field), std::string(field).size());
  }
  std::string merged = required.substr(0, required.rfind('}')) + "," +
                       text.substr(text.find('{') + 1);
  NodeSettings with = ParseNodeSettings(merged, "merged");
  NodeSettings without = ParseNodeSettings(required, "required");
  EXPECT_EQ(with.header_timeout, without.header_timeout);
  EXPECT_EQ(with.idle_timeout, without.idle_timeout);
  EXPECT_EQ(with.seeds, without.seeds);
  EXPECT_EQ(with.log_file, without.log_file);
}

// Guards against example settings that the parsers no longer accept.
TEST(SettingsTest, ExampleFilesParse) {
  std::string examples = std::string(COMFREYLOCK_SOURCE_DIR) + "/examples/";
  for (const char* deployment : {"herb", "ertis"}) {
    std::string node = examples + deployment + "/node.json";
    EXPECT_NO_THROW(ParseNodeSettings(ReadFile(node), node));
    std::string ctl = examples + deployment + "/ctl.json";
    EXPECT_NO_THROW(ParseCtlSettings(ReadFile(ctl), ctl));
  }
}

}  // namespace
}  // namespace comfreylock
