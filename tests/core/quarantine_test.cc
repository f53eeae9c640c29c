#include "comfreylock/quarantine.h"

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr TimePoint kStart(10s);
const std::string kPoison(16, 'p');
const std::string kInnocent(16, 'i');

using InFlight = std::vector<Quarantine::InFlight>;

// Guards against a request that crashes more than two targets, and against
// innocents in flight that are quarantined with it.
TEST(QuarantineTest, SecondCrashConvictsOnlyThePoison) {
  Quarantine quarantine("n1", 1);
  InFlight first = {{kPoison}, {kInnocent}, {kInnocent}};
  EXPECT_TRUE(quarantine.RecordCrash(first, kStart).empty());
  EXPECT_TRUE(quarantine.IsSuspect(kInnocent, kStart));
  quarantine.RecordCompletion(kInnocent, kStart + 1s);
  InFlight second = {{kPoison}, {kInnocent}};
  auto convicted = quarantine.RecordCrash(second, kStart + 2s);
  EXPECT_EQ(convicted, std::vector<std::string>{kPoison});
  EXPECT_FALSE(quarantine.IsQuarantined(kInnocent, kStart + 2s));
  EXPECT_TRUE(quarantine.IsQuarantined(kPoison, kStart + 9min));
  EXPECT_FALSE(quarantine.IsQuarantined(kPoison, kStart + 13min));
}

// Guards against one crash that is counted twice through rumours, and against
// two crashes on different nodes that are taken for one.
TEST(QuarantineTest, RumoursCountEachCrashOnce) {
  Quarantine one("n1", 1);
  Quarantine two("n2", 1);
  one.RecordCrash(InFlight{{kPoison}}, kStart);
  EXPECT_TRUE(two.Merge(one.Export(kStart), kStart));
  EXPECT_FALSE(two.Merge(one.Export(kStart + 1s), kStart + 1s));
  EXPECT_FALSE(one.Merge(two.Export(kStart + 1s), kStart + 1s));
  EXPECT_TRUE(two.IsSuspect(kPoison, kStart + 1s));
  EXPECT_FALSE(two.IsQuarantined(kPoison, kStart + 1s));
  Quarantine three("n3", 1);
  three.RecordCrash(InFlight{{kPoison}}, kStart + 1s);
  EXPECT_TRUE(two.Merge(three.Export(kStart + 2s), kStart + 2s));
  EXPECT_TRUE(two.IsQuarantined(kPoison, kStart + 2s));
  EXPECT_TRUE(one.Merge(two.Export(kStart + 3s), kStart + 3s));
  EXPECT_TRUE(one.IsQuarantined(kPoison, kStart + 3s));
}

// Guards against a cleared request that becomes suspect again by an old
// rumour, and against a quarantine that rumours keep alive for ever.
TEST(QuarantineTest, OldRumoursNeitherAccuseNorProlong) {
  Quarantine one("n1", 1);
  Quarantine two("n2", 1);
  one.RecordCrash(InFlight{{kInnocent}, {kPoison}}, kStart);
  auto old = one.Export(kStart);
  one.RecordCompletion(kInnocent, kStart + 1s);
  one.Merge(old, kStart + 2s);
  EXPECT_FALSE(one.IsSuspect(kInnocent, kStart + 2s));
  two.Merge(one.Export(kStart + 2s), kStart + 2s);
  EXPECT_FALSE(two.IsSuspect(kInnocent, kStart + 2s));
  one.RecordCrash(InFlight{{kPoison}}, kStart + 3s);
  for (TimePoint now = kStart + 3s; now < kStart + 12min; now += 1s) {
    two.Merge(one.Export(now), now + 500ms);
    one.Merge(two.Export(now + 500ms), now + 1s);
  }
  EXPECT_FALSE(one.IsQuarantined(kPoison, kStart + 12min));
  EXPECT_FALSE(two.IsQuarantined(kPoison, kStart + 12min));
}

// Guards against a suspect's retry that crashes a second target whose node
// never heard of the first crash, and is then not quarantined.
TEST(QuarantineTest, MarkOfTheRetryConvictsWithoutRumour) {
  Quarantine quarantine("n2", 1);
  EXPECT_EQ(quarantine.RecordCrash(InFlight{{kPoison, true}}, kStart).size(),
            1U);
  EXPECT_TRUE(quarantine.IsQuarantined(kPoison, kStart));
}

// Guards against fingerprints that differ between sends of one request, or
// that mix up requests of different organisations or bodies.
TEST(QuarantineTest, FingerprintIsOfTheRequestAlone) {
  RequestSummary request;
  request.method = "POST";
  request.target = "/proofs?a=1";
  request.body_digest = "digest";
  request.request_id = "r1";
  std::string print = FingerprintOf("kamilla", request);
  request.request_id = "r2";
  EXPECT_EQ(FingerprintOf("kamilla", request), print);
  EXPECT_NE(FingerprintOf("menta", request), print);
  request.body_digest = "other";
  EXPECT_NE(FingerprintOf("kamilla", request), print);
}

}  // namespace
}  // namespace comfreylock
