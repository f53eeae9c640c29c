#include "comfreylock/quarantine.h"

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr TimePoint kStart(10s);
const std::string kCrashing(16, 'p');
const std::string kHarmless(16, 'i');

using InFlightRequest = std::vector<Quarantine::InFlightRequest>;

// Guards against a request that crashes more than two targets, and against
// other requests in flight that are quarantined with it.
TEST(QuarantineTest, SecondCrashQuarantinesOnlyUnclearedSuspect) {
  Quarantine quarantine("n1", 1);
  InFlightRequest first = {{kCrashing}, {kHarmless}, {kHarmless}};
  EXPECT_TRUE(quarantine.RecordCrash(first, kStart).empty());
  EXPECT_TRUE(quarantine.IsSuspect(kHarmless, kStart));
  quarantine.RecordCompletion(kHarmless, kStart + 1s);
  InFlightRequest second = {{kCrashing}, {kHarmless}};
  auto quarantined = quarantine.RecordCrash(second, kStart + 2s);
  EXPECT_EQ(quarantined, std::vector<std::string>{kCrashing});
  EXPECT_FALSE(quarantine.IsQuarantined(kHarmless, kStart + 2s));
  EXPECT_TRUE(quarantine.IsQuarantined(kCrashing, kStart + 9min));
  EXPECT_FALSE(quarantine.IsQuarantined(kCrashing, kStart + 13min));
}

// Guards against one crash that is counted twice because gossip repeats it, and
// against two crashes on different nodes that are counted as one.
TEST(QuarantineTest, GossipCountsEachCrashOnce) {
  Quarantine one("n1", 1);
  Quarantine two("n2", 1);
  one.RecordCrash(InFlightRequest{{kCrashing}}, kStart);
  EXPECT_TRUE(two.Merge(one.Export(kStart), kStart));
  EXPECT_FALSE(two.Merge(one.Export(kStart + 1s), kStart + 1s));
  EXPECT_FALSE(one.Merge(two.Export(kStart + 1s), kStart + 1s));
  EXPECT_TRUE(two.IsSuspect(kCrashing, kStart + 1s));
  EXPECT_FALSE(two.IsQuarantined(kCrashing, kStart + 1s));
  Quarantine three("n3", 1);
  three.RecordCrash(InFlightRequest{{kCrashing}}, kStart + 1s);
  EXPECT_TRUE(two.Merge(three.Export(kStart + 2s), kStart + 2s));
  EXPECT_TRUE(two.IsQuarantined(kCrashing, kStart + 2s));
  EXPECT_TRUE(one.Merge(two.Export(kStart + 3s), kStart + 3s));
  EXPECT_TRUE(one.IsQuarantined(kCrashing, kStart + 3s));
}

// Guards against a cleared request that becomes a suspect again by old gossip,
// and against a quarantine that repeated gossip extends indefinitely.
TEST(QuarantineTest, OldGossipNeitherSuspectsNorExtends) {
  Quarantine one("n1", 1);
  Quarantine two("n2", 1);
  one.RecordCrash(InFlightRequest{{kHarmless}, {kCrashing}}, kStart);
  auto old = one.Export(kStart);
  one.RecordCompletion(kHarmless, kStart + 1s);
  one.Merge(old, kStart + 2s);
  EXPECT_FALSE(one.IsSuspect(kHarmless, kStart + 2s));
  two.Merge(one.Export(kStart + 2s), kStart + 2s);
  EXPECT_FALSE(two.IsSuspect(kHarmless, kStart + 2s));
  one.RecordCrash(InFlightRequest{{kCrashing}}, kStart + 3s);
  for (TimePoint now = kStart + 3s; now < kStart + 12min; now += 1s) {
    two.Merge(one.Export(now), now + 500ms);
    one.Merge(two.Export(now + 500ms), now + 1s);
  }
  EXPECT_FALSE(one.IsQuarantined(kCrashing, kStart + 12min));
  EXPECT_FALSE(two.IsQuarantined(kCrashing, kStart + 12min));
}

// Guards against a suspect whose retry crashes a second target and that is not
// quarantined because that target's node had no gossip about the first crash.
TEST(QuarantineTest, RetryMarkedSuspectIsQuarantinedWithoutGossip) {
  Quarantine quarantine("n2", 1);
  EXPECT_EQ(
      quarantine.RecordCrash(InFlightRequest{{kCrashing, true}}, kStart).size(),
      1U);
  EXPECT_TRUE(quarantine.IsQuarantined(kCrashing, kStart));
}

// Guards against fingerprints that differ between attempts of one request, or
// that are equal for different organisations or bodies.
TEST(QuarantineTest, FingerprintIgnoresRequestId) {
  RequestSummary request;
  request.method = "POST";
  request.request_target = "/proofs?a=1";
  request.body_digest = "digest";
  request.request_id = "r1";
  std::string fingerprint = FingerprintOf("kamilla", request);
  request.request_id = "r2";
  EXPECT_EQ(FingerprintOf("kamilla", request), fingerprint);
  EXPECT_NE(FingerprintOf("menta", request), fingerprint);
  request.body_digest = "other";
  EXPECT_NE(FingerprintOf("kamilla", request), fingerprint);
}

}  // namespace
}  // namespace comfreylock
