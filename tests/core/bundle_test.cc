#include "comfreylock/bundle.h"

#include <gtest/gtest.h>

namespace comfreylock {
namespace {

constexpr char kBundle[] = R"({
  // A small bundle.
  "version": 3,
  "key_salt": "00ff",
  "services": {"proofs": {"slots": 5}},
  "organisations": {"kamilla": {"rate": 10, "burst": 5}},
  "routes": [
    {"name": "all", "path": "/", "service": "proofs"},
    {"name": "read", "path": "/proofs", "methods": ["GET"],
     "service": "proofs", "deadline": "250ms"}]
})";

std::string ErrorOf(const std::string& text) {
  try {
    ParseBundle(text, "bundle.json");
  } catch (const InputError& error) {
    return error.what();
  }
  return "";
}

// Guards against a route with a shorter path being chosen over a more specific
// one.
TEST(BundleTest, LongestPathWins) {
  Bundle bundle = ParseBundle(kBundle, "bundle.json");
  EXPECT_EQ(bundle.FindRoute("GET", "/proofs/7?x=1")->name, "read");
  EXPECT_EQ(bundle.FindRoute("POST", "/proofs")->name, "all");
  EXPECT_EQ(bundle.FindRoute("GET", "/proofsx")->name, "all");
  EXPECT_EQ(bundle.FindRoute("HEAD", "/proofs")->name, "read");
}

// Guards against errors without the position or field.
TEST(BundleTest, ErrorsNameLineOrField) {
  EXPECT_NE(ErrorOf("{\n \"version\": }").find("bundle.json:2:"),
            std::string::npos);
  EXPECT_NE(ErrorOf(R"({"colour": 1})").find("colour: is unknown"),
            std::string::npos);
  std::string text = kBundle;
  text.replace(text.find("250ms"), 5, "soon!");
  EXPECT_NE(ErrorOf(text).find("routes[1].deadline"), std::string::npos);
  text = kBundle;
  text.replace(text.find("\"proofs\", \"deadline"), 8, "\"other\"");
  EXPECT_NE(ErrorOf(text).find("routes[1].service"), std::string::npos);
}

// Guards against accepting a key whose identifier is known but whose secret is
// wrong.
TEST(BundleTest, KeyNeedsWholeSecret) {
  Bundle bundle;
  PresentedKey key = HashKey("cl_k1_secret", "00ff");
  bundle.keys["k1"] = {"k1", "kamilla", key.hash};
  EXPECT_NE(bundle.FindKey(key), nullptr);
  EXPECT_EQ(bundle.FindKey(HashKey("cl_k1_secreT", "00ff")), nullptr);
  EXPECT_EQ(bundle.FindKey(HashKey("cl_k2_secret", "00ff")), nullptr);
  EXPECT_TRUE(HashKey("secret", "00ff").id.empty());
}

}  // namespace
}  // namespace comfreylock
