#include "comfreylock/bundle_head.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "signed_bundle.h"

namespace comfreylock {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;

constexpr char kBundle[] = R"({
  "key_salt": "00ff",
  "services": {"proofs": {"slots": 5}, "orders": {"slots": 7}},
  "organisations": {"kamilla": {"rate": 10, "burst": 5}},
  "routes": [
    {"name": "all", "path": "/", "service": "proofs"},
    {"name": "order", "path": "/orders", "service": "orders"}]
})";

std::string ChangedRate() {
  std::string text = kBundle;
  text.replace(text.find("\"rate\": 10"), 10, "\"rate\": 11");
  return text;
}

void AddAllParts(BundleIntake& intake, const SplitBundle& bundle) {
  for (const auto& [digest, content] : bundle.parts)
    intake.AddPart(digest, content);
}

// Guards against a change that writes and spreads the whole bundle.
TEST(BundleHeadTest, AChangeTouchesOnePart) {
  SplitBundle before = SplitBundleText(kBundle, "a");
  SplitBundle after = SplitBundleText(ChangedRate(), "b");
  size_t changed = 0;
  for (const auto& [name, digest] : after.head.parts)
    changed += before.head.parts[name] == digest ? 0 : 1;
  EXPECT_EQ(changed, 1u);
  Bundle joined = ParseBundle(JoinBundleText(after.head, after.parts), "b");
  EXPECT_EQ(joined.organisations["kamilla"].rate, 11);
  EXPECT_EQ(joined.routes.size(), 2u);
}

// Guards against a bundle that one person alone can put into force.
TEST(BundleHeadTest, NeedsTwoDifferentOperators) {
  TestOperators operators;
  BundleHead head = operators.Signed(kBundle, 1).head;
  EXPECT_THAT(SignatureErrors(head, operators.keys()), IsEmpty());
  BundleHead alone = head;
  alone.signatures.pop_back();
  EXPECT_THAT(SignatureErrors(alone, operators.keys()).at(0),
              HasSubstr("a second operator"));
  BundleHead twice = alone;
  twice.signatures.push_back(twice.signatures[0]);
  EXPECT_EQ(SignatureErrors(twice, operators.keys()).size(), 1u);
  // The same key under a second name is still one person.
  OperatorKeys aliases = {{"anna", operators.anna.public_key},
                          {"bela", operators.anna.public_key}};
  twice.signatures[1].signer = "bela";
  EXPECT_EQ(SignatureErrors(twice, aliases).size(), 1u);
  BundleHead altered = head;
  altered.version = 2;
  EXPECT_THAT(SignatureErrors(altered, operators.keys()).at(0),
              HasSubstr("\"anna\" is wrong"));
  BundleHead other_author = head;
  other_author.signatures.erase(other_author.signatures.begin());
  EXPECT_THAT(SignatureErrors(other_author, operators.keys()).at(0),
              HasSubstr("the author \"anna\" has not signed"));
}

// Guards against a fleet that goes back to an older bundle.
TEST(BundleHeadTest, OlderHeadIsNeverTaken) {
  TestOperators operators;
  BundleIntake intake(operators.keys());
  SplitBundle newer = operators.Signed(ChangedRate(), 4);
  EXPECT_TRUE(intake.Offer(FormatBundleHead(newer.head), "head"));
  EXPECT_FALSE(intake.Take());
  AddAllParts(intake, newer);
  EXPECT_EQ(intake.Take()->version, 4u);
  for (uint64_t version : {1, 3, 4}) {
    SplitBundle older = operators.Signed(kBundle, version);
    EXPECT_FALSE(intake.Offer(FormatBundleHead(older.head), "head"));
    AddAllParts(intake, older);
    EXPECT_FALSE(intake.Take());
  }
  EXPECT_EQ(intake.version(), 4u);
}

// Guards against a bundle in force with a part that is missing or altered.
TEST(BundleHeadTest, WaitsForEveryPart) {
  TestOperators operators;
  BundleIntake intake(operators.keys());
  SplitBundle bundle = operators.Signed(kBundle, 1);
  ASSERT_TRUE(intake.Offer(FormatBundleHead(bundle.head), "head"));
  auto last = *bundle.parts.rbegin();
  for (const auto& [digest, content] : bundle.parts)
    EXPECT_EQ(intake.AddPart(digest, content + " "), false);
  for (const auto& [digest, content] : bundle.parts) {
    if (digest != last.first) {
      EXPECT_TRUE(intake.AddPart(digest, content));
    }
  }
  EXPECT_FALSE(intake.Take());
  EXPECT_EQ(intake.Missing(), std::vector<std::string>{last.first});
  EXPECT_TRUE(intake.AddPart(last.first, last.second));
  EXPECT_TRUE(intake.Take());
  BundleParts parts = bundle.parts;
  parts.erase(last.first);
  try {
    JoinBundleText(bundle.head, parts);
    ADD_FAILURE() << "joined without a part";
  } catch (const InputError& error) {
    EXPECT_THAT(error.what(), HasSubstr("is missing; its digest is"));
  }
}

// Guards against errors that do not say where they are, or come one by one.
TEST(BundleHeadTest, BrokenHeadsNameLineOrField) {
  auto error_of = [](const std::string& text) -> std::string {
    try {
      ParseBundleHead(text, "head");
    } catch (const InputError& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_THAT(error_of("{\n\"version\": }"), HasSubstr("head:2:"));
  std::string error = error_of(
      R"({"version": 0, "parts": {"x": "7"}, "signatures": [7], "y": 1})");
  for (const char* part :
       {"version: is 0", "author: is missing", "parts.x: is no digest",
        "signatures[0]:", "y: is unknown"}) {
    EXPECT_THAT(error, HasSubstr(part));
  }
}

// Guards against a signed but invalid bundle that ends the one in force.
TEST(BundleHeadTest, InvalidBundleChangesNothing) {
  TestOperators operators;
  BundleIntake intake(operators.keys());
  SplitBundle good = operators.Signed(kBundle, 1);
  intake.Offer(FormatBundleHead(good.head), "head");
  AddAllParts(intake, good);
  ASSERT_TRUE(intake.Take());
  SplitBundle bad = operators.Signed(kBundle, 2);
  std::string content = R"([{"name": "r", "path": "x", "service": "none"}])";
  std::string digest = ToHex(Sha256(content));
  bad.head.parts["routes/0"] = digest;
  bad.parts[digest] = content;
  bad.head.signatures = {
      {"anna", Sign(SignedContent(bad.head), operators.anna)},
      {"bela", Sign(SignedContent(bad.head), operators.bela)}};
  ASSERT_TRUE(intake.Offer(FormatBundleHead(bad.head), "head"));
  AddAllParts(intake, bad);
  EXPECT_THROW(intake.Take(), InputError);
  EXPECT_EQ(intake.version(), 1u);
  EXPECT_FALSE(intake.Take());
}

}  // namespace
}  // namespace comfreylock
