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

void AddAllParts(BundleAssembler& assembler, const SplitBundle& bundle) {
  for (const auto& [digest, content] : bundle.parts)
    assembler.AddPart(digest, content);
}

// Guards against a small change that rewrites and resends the whole bundle.
TEST(BundleHeadTest, ChangeTouchesOnePart) {
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

// Guards against a bundle that a single operator can put in force.
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
  // The same key under a second name is still one operator.
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

// Guards against a fleet that returns to an older bundle.
TEST(BundleHeadTest, OlderHeadRejected) {
  TestOperators operators;
  BundleAssembler assembler(operators.keys());
  SplitBundle newer = operators.Signed(ChangedRate(), 4);
  EXPECT_TRUE(assembler.OfferHead(FormatBundleHead(newer.head), "head"));
  EXPECT_FALSE(assembler.Assemble());
  AddAllParts(assembler, newer);
  EXPECT_EQ(assembler.Assemble()->version, 4u);
  for (uint64_t version : {1, 3, 4}) {
    SplitBundle older = operators.Signed(kBundle, version);
    EXPECT_FALSE(assembler.OfferHead(FormatBundleHead(older.head), "head"));
    AddAllParts(assembler, older);
    EXPECT_FALSE(assembler.Assemble());
  }
  EXPECT_EQ(assembler.version(), 4u);
}

// Guards against putting a bundle in force while a part is missing or altered.
TEST(BundleHeadTest, WaitsForEveryPart) {
  TestOperators operators;
  BundleAssembler assembler(operators.keys());
  SplitBundle bundle = operators.Signed(kBundle, 1);
  ASSERT_TRUE(assembler.OfferHead(FormatBundleHead(bundle.head), "head"));
  auto last = *bundle.parts.rbegin();
  for (const auto& [digest, content] : bundle.parts)
    EXPECT_EQ(assembler.AddPart(digest, content + " "), false);
  for (const auto& [digest, content] : bundle.parts) {
    if (digest != last.first) {
      EXPECT_TRUE(assembler.AddPart(digest, content));
    }
  }
  EXPECT_FALSE(assembler.Assemble());
  EXPECT_EQ(assembler.MissingParts(), std::vector<std::string>{last.first});
  EXPECT_TRUE(assembler.AddPart(last.first, last.second));
  EXPECT_TRUE(assembler.Assemble());
  BundleParts parts = bundle.parts;
  parts.erase(last.first);
  try {
    JoinBundleText(bundle.head, parts);
    ADD_FAILURE() << "joined without a part";
  } catch (const InputError& error) {
    EXPECT_THAT(error.what(), HasSubstr("is missing; its digest is"));
  }
}

// Guards against errors without position or field, and against reporting only
// the first error.
TEST(BundleHeadTest, HeadErrorsNameLineOrField) {
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
       {"version: is 0", "author: is missing", "parts.x: is not a digest",
        "signatures[0]:", "y: is unknown"}) {
    EXPECT_THAT(error, HasSubstr(part));
  }
}

// Guards against a signed but invalid bundle that replaces the one in force.
TEST(BundleHeadTest, InvalidBundleKeepsVersionInForce) {
  TestOperators operators;
  BundleAssembler assembler(operators.keys());
  SplitBundle good = operators.Signed(kBundle, 1);
  assembler.OfferHead(FormatBundleHead(good.head), "head");
  AddAllParts(assembler, good);
  ASSERT_TRUE(assembler.Assemble());
  SplitBundle bad = operators.Signed(kBundle, 2);
  std::string content = R"([{"name": "r", "path": "x", "service": "none"}])";
  std::string digest = ToHex(Sha256(content));
  bad.head.parts["routes/0"] = digest;
  bad.parts[digest] = content;
  bad.head.signatures = {
      {"anna", Sign(SignedContent(bad.head), operators.anna)},
      {"bela", Sign(SignedContent(bad.head), operators.bela)}};
  ASSERT_TRUE(assembler.OfferHead(FormatBundleHead(bad.head), "head"));
  AddAllParts(assembler, bad);
  EXPECT_THROW(assembler.Assemble(), InputError);
  EXPECT_EQ(assembler.version(), 1u);
  EXPECT_FALSE(assembler.Assemble());
}

}  // namespace
}  // namespace comfreylock
