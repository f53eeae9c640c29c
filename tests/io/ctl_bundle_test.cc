#include "ctl_bundle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "../core/signed_bundle.h"

namespace comfreylock {
namespace {

using testing::HasSubstr;

constexpr char kBundle[] = R"({
  "services": {"proofs": {"slots": 5}},
  "organisations": {"kamilla": {"rate": 10, "burst": 5}},
  "routes": [{"name": "all", "path": "/", "service": "proofs"}]
})";

/// An in-memory store with compare-and-swap that can lose the answer to a
/// write.
class FakeStore {
 public:
  StoreResult operator()(const StoreRequest& request) {
    if (const auto* range = std::get_if<StoreRange>(&request))
      return Read(*range);
    return Write(std::get<StoreTransaction>(request));
  }

  bool lose_next_answer = false;

 private:
  StoreResult Read(const StoreRange& range) {
    StoreRangeResult result;
    for (const auto& [key, entry] : entries_) {
      bool in_range = range.range_end.empty()
                          ? key == range.key
                          : key >= range.key && key < range.range_end;
      if (in_range)
        result.entries.push_back(entry);
    }
    return result;
  }

  StoreResult Write(const StoreTransaction& transaction) {
    for (const auto& compare : transaction.compares) {
      auto found = entries_.find(compare.key);
      int64_t actual = found == entries_.end() ? 0 : found->second.mod_revision;
      if (actual != compare.mod_revision)
        return StoreTransactionResult{false, revision_};
    }
    ++revision_;
    for (const auto& put : transaction.puts)
      entries_[put.key] = {put.key, put.value, revision_, revision_, 0};
    for (const auto& deletion : transaction.deletes)
      entries_.erase(deletion.key);
    if (std::exchange(lose_next_answer, false))
      return StoreFailure{"the answer was lost", true};
    return StoreTransactionResult{true, revision_};
  }

  int64_t revision_ = 0;
  std::map<std::string, StoreEntry> entries_;
};

class CtlBundleTest : public testing::Test {
 protected:
  std::string RefusalOf(const std::function<void()>& action) {
    try {
      action();
    } catch (const RefusedError& error) {
      return error.what();
    }
    return "";
  }

  FakeStore store_;
  TestOperators operators_;
  Signer anna_{"anna", operators_.anna};
  Signer bela_{"bela", operators_.bela};
  BundleRepository bundles_{std::ref(store_), operators_.keys()};
};

// Guards against a roll that silently overwrites another operator's roll.
TEST_F(CtlBundleTest, SupersededRollNamesWinner) {
  std::string first = bundles_.Propose(kBundle, "file", anna_);
  std::string second = bundles_.Propose(
      std::string("{\"partitions\": 8, ") + (kBundle + 1), "file", bela_);
  bundles_.SignOff(first, bela_);
  bundles_.SignOff(second, anna_);
  EXPECT_EQ(bundles_.Roll(second), 1u);
  std::string error = RefusalOf([&] { bundles_.Roll(first); });
  EXPECT_THAT(error, HasSubstr("version 1 by bela, signed off by anna"));
  EXPECT_EQ(bundles_.ReadHead()->head.author, "bela");
  EXPECT_EQ(bundles_.History().size(), 1u);
}

// Guards against a roll that no second operator signed: not signed off, signed
// off by the author, or by someone who is not an operator.
TEST_F(CtlBundleTest, RollRequiresSecondOperator) {
  std::string id = bundles_.Propose(kBundle, "file", anna_);
  EXPECT_THAT(RefusalOf([&] { bundles_.Roll(id); }),
              HasSubstr("a second operator has not signed"));
  EXPECT_THAT(RefusalOf([&] { bundles_.SignOff(id, anna_); }),
              HasSubstr("other than the author"));
  Signer stranger{"cili", MakeSigningKey()};
  EXPECT_THAT(RefusalOf([&] { bundles_.SignOff(id, stranger); }),
              HasSubstr("\"cili\" is no operator"));
  EXPECT_FALSE(bundles_.ReadHead());
}

// Guards against a roll that took effect but is reported as failed because the
// store's answer was lost.
TEST_F(CtlBundleTest, LostRollAnswerIsVerifiedByRead) {
  std::string id = bundles_.Propose(kBundle, "file", anna_);
  bundles_.SignOff(id, bela_);
  store_.lose_next_answer = true;
  EXPECT_EQ(bundles_.Roll(id), 1u);
  EXPECT_EQ(bundles_.ReadHead()->head.version, 1u);
}

// Guards against a proposal that every node would reject.
TEST_F(CtlBundleTest, InvalidBundleIsRejected) {
  EXPECT_THROW(bundles_.Propose("{\"routes\": 7}", "file", anna_), InputError);
  EXPECT_TRUE(bundles_.ListProposals().empty());
}

}  // namespace
}  // namespace comfreylock
