#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>

#include "mesh/mesh_runtime.h"
#include "node_clock.h"
#include "platform/codec.h"
#include "platform/config_source.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "standin_platform.h"

/// Evacuations and warm-up at the adapter: keys of the store, fields of the
/// configuration and of the settings.
namespace comfreylock::platform {
namespace {

using namespace std::chrono_literals;
using platform_standins::PlatformStoreStandin;
using std::chrono::milliseconds;
using Zones = std::set<std::string>;

constexpr const char* kConfig = R"({"version": "r1",
  "services": [{"name": "shop", "warmup_s": 3, "warmup_per_s": 13},
               {"name": "desk", "warmup_s": 2},
               {"name": "till", "warmup_per_s": 0}]})";

TEST(WarmupConfigTest, ReadsTheRulesOfServicesWithALimit) {
  mesh::FleetConfig config = ParseConfig(kConfig);
  ASSERT_EQ(config.warmup_rules.size(), 1u);
  EXPECT_EQ(config.warmup_rules["shop"].duration, 3000ms);
  EXPECT_EQ(config.warmup_rules["shop"].starts_per_second, 13);
  EXPECT_THROW(ParseConfig(R"({"version": "r1",
      "services": [{"name": "shop", "warmup_per_s": -1}]})"),
               InputError);
  EXPECT_THROW(ParseConfig(R"({"version": "r1",
      "services": [{"name": "shop", "warmup_s": 1e300}]})"),
               InputError);
}

// A report without the field leaves the node to assume that a new target is
// cold.
TEST(WarmupConfigTest, ReportTellsWhetherItStatesTheWarmup) {
  std::string report = R"({"service": "shop", "address": "127.0.0.1:1",
      "zone": "a", "slots": 4, "state": "ready")";
  EXPECT_FALSE(ParseReport("i1", report + "}", false).states_warmup);
  mesh::TargetReport stated =
      ParseReport("i1", report + R"(, "warmup_left_ms": 0})", false);
  EXPECT_TRUE(stated.states_warmup);
  EXPECT_EQ(stated.warmup_remaining, 0ms);
}

TEST(WarmupConfigTest, ReadsTheBoundsOfTheSettings) {
  std::string settings = R"({"node": "n1", "service": "shop", "zone": "a",
    "target_address": "127.0.0.1:1", "caller_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3", "readiness_address": "127.0.0.1:4",
    "report_address": "127.0.0.1:5", "metrics_address": "127.0.0.1",
    "store_address": "127.0.0.1:6")";
  mesh::NodeBounds absent = ParseSettings(settings + "}", "test").bounds;
  EXPECT_EQ(absent.max_evacuation_delay, 0ms);
  EXPECT_EQ(absent.warmup_slack, 0);
  mesh::NodeBounds bounds =
      ParseSettings(settings + R"(, "bounds": {"warmup_overage": 1.5,
          "warmup_slack": 8, "evacuate_ms": 5000}})",
                    "test")
          .bounds;
  EXPECT_EQ(bounds.max_evacuation_delay, 5000ms);
  EXPECT_EQ(bounds.warmup_overage, 1.5);
  EXPECT_EQ(bounds.warmup_slack, 8);
}

/// A node's runtime with its source of the configuration, and a store.
class EvacuationSourceTest : public testing::Test {
 protected:
  static std::string Address(int offset) {
    // Below the kernel's range for outgoing connections, and apart from the
    // ports of the other tests.
    return "127.0.0.1:" + std::to_string(8'000 + getpid() % 400 * 10 + offset);
  }

  void Start(milliseconds max_evacuation_delay = 5000ms) {
    mesh::NodeIdentity identity;
    identity.node = "n1";
    identity.service = "shop";
    identity.zone = "a";
    identity.target_address = Address(1);
    identity.peer_address = Address(3);
    identity.bounds.max_evacuation_delay = max_evacuation_delay;
    runtime_ = std::make_unique<mesh::MeshRuntime>(
        context_, mesh::MeshRuntimeSettings{identity, Address(2)}, log_,
        caller_codec_, target_codec_);
    client_ = std::make_unique<KvStoreClient>(
        context_, Address(0), ReadNodeClock,
        [this](StoreRequestId call, StoreResult result) {
          runtime_->Feed(mesh::StoreReplied{call, std::move(result)});
        });
    source_ = std::make_unique<ConfigSource>(context_, *client_, *runtime_);
    runtime_->SetStore(client_.get());
    source_->Start();
    runtime_->Listen();
    RunFor(300ms);
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  Zones EvacuatedZones() const { return runtime_->status().evacuated_zones; }

  boost::asio::io_context context_;
  FILE* null_file_ = std::fopen("/dev/null", "w");
  mesh::LineLog log_{fileno(null_file_), "n1"};
  CallerCodec caller_codec_;
  TargetCodec target_codec_;
  PlatformStoreStandin store_{context_, Address(0)};
  std::unique_ptr<mesh::MeshRuntime> runtime_;
  std::unique_ptr<KvStoreClient> client_;
  std::unique_ptr<ConfigSource> source_;
};

// Guards against evacuations that nodes do not learn of, at their start or
// later, and against an end that they miss.
TEST_F(EvacuationSourceTest, FollowsTheKeysOfTheStore) {
  store_.Put("op/config", kConfig);
  store_.Put("op/evacuate/a", "{}");
  Start();
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  EXPECT_EQ(runtime_->status().config_version, 1u);
  store_.Put("op/evacuate/b", "{}");
  RunFor(100ms);
  EXPECT_EQ(EvacuatedZones(), (Zones{"a", "b"}));
  store_.Delete("op/evacuate/a");
  RunFor(100ms);
  EXPECT_EQ(EvacuatedZones(), Zones{"b"});
  store_.Delete("op/evacuate/b");
  RunFor(100ms);
  EXPECT_EQ(EvacuatedZones(), Zones{});
  // The same watch still reports configurations.
  store_.Put("op/config", R"({"version": "r2"})");
  RunFor(100ms);
  EXPECT_EQ(runtime_->status().config_version, 2u);
}

// Guards against a set that lacks the zones of a later page, and against keys
// that are no zones.
TEST_F(EvacuationSourceTest, ReadsAllPages) {
  store_.Put("op/config", kConfig);
  Zones zones;
  for (char zone = 'a'; zone < 'k'; ++zone) {
    store_.Put(std::string("op/evacuate/") + zone, "{}");
    zones.insert(std::string(1, zone));
  }
  store_.Put("op/evacuate/", "{}");
  store_.Put("op/other", "{}");
  Start();
  EXPECT_EQ(EvacuatedZones(), zones);
}

// Guards against a zone that stays evacuated because the removal of its key was
// compacted before it was seen.
TEST_F(EvacuationSourceTest, ReadsTheSetAgainAfterCompaction) {
  store_.Put("op/config", kConfig);
  store_.Put("op/evacuate/a", "{}");
  Start();
  store_.Delete("op/evacuate/a");
  store_.Put("op/evacuate/c", "{}");
  store_.Compact();
  RunFor(500ms);
  EXPECT_EQ(EvacuatedZones(), Zones{"c"});
}

// Guards against an evacuation that ends, or is taken for unknown, while the
// store is unavailable, and against many refused calls, which are charged.
TEST_F(EvacuationSourceTest, KeepsTheSetWhileTheStoreIsUnavailable) {
  store_.Put("op/config", kConfig);
  store_.Put("op/evacuate/a", "{}");
  Start();
  store_.SetFailure(503);
  uint64_t before = client_->calls();
  RunFor(3000ms);
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  EXPECT_LE(client_->calls() - before, 30u);
  store_.SetFailure(0);
  store_.Delete("op/evacuate/a");
  RunFor(1500ms);
  EXPECT_EQ(EvacuatedZones(), Zones{});
}

// Evacuations cost no additional calls: one read of both, one watch for both.
TEST_F(EvacuationSourceTest, CostsNoAdditionalCalls) {
  store_.Put("op/config", kConfig);
  Start(0ms);
  uint64_t without = client_->calls();
  EXPECT_EQ(EvacuatedZones(), Zones{});
  source_.reset();
  client_.reset();
  runtime_.reset();
  store_.Put("op/evacuate/a", "{}");
  Start();
  EXPECT_LE(client_->calls(), without + 1);
}

}  // namespace
}  // namespace comfreylock::platform
