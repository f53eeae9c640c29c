#include <gtest/gtest.h>

#include <unistd.h>

#include "mesh/mesh_runtime.h"
#include "node_clock.h"
#include "platform/codec.h"
#include "platform/config_source.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "standin_platform.h"

/// Complete nodes on loopback with stand-ins of the platform.
namespace comfreylock::platform {
namespace {

using namespace std::chrono_literals;
using platform_standins::PlatformStoreStandin;
using platform_standins::PlatformTargetStandin;
using std::chrono::milliseconds;

/// @return an address whose port is below the kernel's range for outgoing
/// connections and usually differs between concurrent test processes.
/// @param offset 0 for the store; for host N, 5 * N + 1 for its target, + 2 for
/// callers, + 3 for peers, and + 4 for target reports.
std::string Address(int offset) {
  return "127.0.0.1:" + std::to_string(20'000 + getpid() % 400 * 30 + offset);
}

std::string ConfigText(const std::string& version, const std::string& keys) {
  return R"({"version": ")" + version + R"(",
    "services": [{"name": "shop"}],
    "tenants": [{"name": "acme", "api_keys": [)" +
         keys + R"(],
                 "rate_per_s": 0}],
    "virtual_hosts": [{"host": "h", "paths": [
      {"name": "read", "prefix": "/read/", "route_type": "idempotent",
       "timeout_ms": 2000, "target_latency_ms": 500, "priority": 2,
       "max_attempts": 2, "service": "shop"},
      {"name": "order", "prefix": "/order/", "route_type": "non_idempotent",
       "timeout_ms": 2000, "target_latency_ms": 500, "priority": 0,
       "max_attempts": 2, "service": "shop"}]}]})";
}

/// A host that runs a node and its target, and a client of the node.
class Host {
 public:
  Host(boost::asio::io_context& context,
       int number,
       milliseconds withdrawal_delay)
      : log_(OpenDevNull(), "n" + std::to_string(number)),
        runtime_(context,
                 SettingsOf(number, withdrawal_delay),
                 log_,
                 caller_codec_,
                 target_codec_),
        store_(context,
               Address(0),
               ReadNodeClock,
               [this](StoreRequestId call, StoreResult result) {
                 runtime_.Feed(mesh::StoreReplied{call, std::move(result)});
               }),
        config_source_(context, store_, runtime_),
        report_server_(context,
                       {[this](CallId call, mesh::HttpRequest request) {
                          ReplyToReport(call, request);
                        },
                        [](CallId) {}, [] { return mesh::CallerLimits(); }}),
        target_(context,
                "i-" + std::to_string(number),
                "shop",
                Address(number * 5 + 1),
                Address(number * 5 + 4)),
        client_(context, Address(number * 5 + 2), {}) {
    runtime_.SetStore(&store_);
    runtime_.SetReportResponder([this](const mesh::ReplyToReport& answer) {
      report_server_.Respond(
          answer.call,
          mesh::HttpAnswer{.status = answer.confirmed ? 200 : 503});
    });
    report_server_.Listen(Address(number * 5 + 4));
    config_source_.Start();
    runtime_.Listen();
  }

  mesh::MeshRuntime& runtime() { return runtime_; }
  PlatformTargetStandin& target() { return target_; }
  mesh::HttpClient& client() { return client_; }

 private:
  static int OpenDevNull();

  static mesh::MeshRuntimeSettings SettingsOf(int number,
                                              milliseconds withdrawal_delay) {
    mesh::NodeIdentity identity;
    identity.node = "n" + std::to_string(number);
    identity.service = "shop";
    identity.zone = "a";
    identity.target_address = Address(number * 5 + 1);
    identity.peer_address = Address(number * 5 + 3);
    identity.incarnation = static_cast<uint64_t>(number);
    identity.bounds.max_key_withdrawal_delay = withdrawal_delay;
    return {identity, Address(number * 5 + 2)};
  }

  void ReplyToReport(CallId call, const mesh::HttpRequest& request) {
    bool leave = request.request_target.find("Deregister") != std::string::npos;
    std::string id =
        request.request_target.substr(request.request_target.rfind('/') + 1);
    runtime_.Feed(
        mesh::TargetReported{ParseReport(id, request.body, leave), call});
  }

  mesh::LineLog log_;
  CallerCodec caller_codec_;
  TargetCodec target_codec_;
  mesh::MeshRuntime runtime_;
  KvStoreClient store_;
  ConfigSource config_source_;
  mesh::HttpServer report_server_;
  PlatformTargetStandin target_;
  mesh::HttpClient client_;
};

int Host::OpenDevNull() {
  static FILE* null_file = std::fopen("/dev/null", "w");
  return fileno(null_file);
}

class PlatformTest : public testing::Test {
 protected:
  void Start(int hosts, milliseconds withdrawal_delay = 5000ms) {
    store_ = std::make_unique<PlatformStoreStandin>(context_, Address(0));
    store_->Put("op/config", ConfigText("r1", "\"k1\""));
    StartHosts(hosts, withdrawal_delay);
  }

  void StartHosts(int hosts, milliseconds withdrawal_delay) {
    for (int i = 1; i <= hosts; ++i)
      hosts_.push_back(std::make_unique<Host>(context_, i, withdrawal_delay));
    // Waits until each node is ready, knows the slots of its target, and is
    // connected to all other nodes.
    for (int i = 0; i < 100; ++i) {
      RunFor(50ms);
      bool ready = std::ranges::all_of(hosts_, [this](const auto& host) {
        auto status = host->runtime().status();
        return status.ready && status.slots > 0 &&
               status.links >= 2 * (hosts_.size() - 1);
      });
      if (ready)
        break;
    }
    RunFor(300ms);
  }

  /// Starts hosts on a store that reports its era, which is 1.
  void StartInEra(int hosts, milliseconds withdrawal_delay = 5000ms) {
    store_ = std::make_unique<PlatformStoreStandin>(context_, Address(0));
    store_->SetEra(1);
    store_->Put("op/config", ConfigText("r1", "\"k1\""));
    StartHosts(hosts, withdrawal_delay);
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  mesh::HttpAnswer Call(size_t host,
                        const std::string& path,
                        const std::string& key = "k1",
                        const std::string& method = "GET",
                        const std::string& body = "") {
    mesh::HttpRequest request{method, path};
    last_id_ = "req" + std::to_string(++count_);
    request.fields = {{"Host", "h"},
                      {"X-Comfreylock-Request-Id", last_id_},
                      {"X-Comfreylock-Request-Deadline", "3000"}};
    if (!key.empty())
      request.fields.emplace_back("X-Comfreylock-Credential", key);
    request.body = body;
    request.has_body = method == "POST";
    std::optional<mesh::HttpAnswer> answer;
    hosts_.at(host)->client().Send(
        request, {.timeout = 4s}, [&answer](mesh::ExchangeResult result) {
          answer = std::move(result.answer);
          if (result.kind != mesh::ExchangeResult::Kind::kAnswered)
            answer->status = 0;
        });
    for (int i = 0; i < 500 && !answer; ++i)
      RunFor(10ms);
    return answer.value_or(mesh::HttpAnswer{.status = -1});
  }

  int RunCount(const std::string& id) const {
    int runs = 0;
    for (const auto& host : hosts_) {
      auto found = host->target().runs().find(id);
      runs += found == host->target().runs().end() ? 0 : found->second;
    }
    return runs;
  }

  boost::asio::io_context context_;
  std::unique_ptr<PlatformStoreStandin> store_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::string last_id_;
  int count_ = 0;
};

TEST_F(PlatformTest, ServesRequestsOfAllKinds) {
  Start(2);
  for (size_t host : {0, 1}) {
    mesh::HttpAnswer read = Call(host, "/read/1");
    EXPECT_EQ(read.status, 200);
    EXPECT_EQ(read.body, "answer to " + last_id_ + " of 0");
    EXPECT_TRUE(mesh::FindField(read.fields, "X-Comfreylock-Server-Signature"));
    mesh::HttpAnswer order =
        Call(host, "/order/1", "k1", "POST", std::string(100'000, 'x'));
    EXPECT_EQ(order.status, 200);
    EXPECT_EQ(order.body, "answer to " + last_id_ + " of 100000");
    EXPECT_EQ(RunCount(last_id_), 1);
  }
  EXPECT_EQ(Call(0, "/none/1").status, 404);
  EXPECT_EQ(Call(0, "/read/1", "").status, 401);
  EXPECT_EQ(Call(0, "/read/1", "k9").status, 401);
}

// A withdrawn key must be refused on all nodes soon after the change.
TEST_F(PlatformTest, ConfigChangeAppliesOnAllNodesQuickly) {
  Start(2);
  EXPECT_EQ(Call(0, "/read/1", "k1").status, 200);
  store_->Put("op/config", ConfigText("r3", "\"k2\""));
  RunFor(200ms);
  for (size_t host : {0, 1}) {
    EXPECT_EQ(Call(host, "/read/1", "k1").status, 401);
    EXPECT_EQ(Call(host, "/read/1", "k2").status, 200);
  }
  // An invalid or an older configuration is ignored.
  store_->Put("op/config", "{");
  store_->Put("op/config", ConfigText("r2", "\"k1\""));
  RunFor(200ms);
  EXPECT_EQ(Call(0, "/read/1", "k2").status, 200);
}

// A node that cannot confirm its configuration does not know which keys have
// been withdrawn, so it must refuse all keys.
TEST_F(PlatformTest, RefusesKeysWhenConfigIsUnconfirmed) {
  Start(1, 3000ms);
  EXPECT_EQ(Call(0, "/read/1").status, 200);
  store_->SetFailure(503);
  RunFor(3500ms);
  EXPECT_EQ(Call(0, "/read/1").status, 503);
  EXPECT_EQ(RunCount(last_id_), 0);
  EXPECT_FALSE(hosts_[0]->runtime().status().ready);
  store_->SetFailure(0);
  RunFor(2500ms);
  EXPECT_EQ(Call(0, "/read/1").status, 200);
}

// After a compaction the store can no longer list the changes since the last
// poll; the node must read the configuration again.
// Guards against nodes that poll the store many times a second until the
// operator writes the first configuration.
TEST_F(PlatformTest, WaitsForFirstConfigWithFewReads) {
  store_ = std::make_unique<PlatformStoreStandin>(context_, Address(0));
  hosts_.push_back(std::make_unique<Host>(context_, 1, 5000ms));
  RunFor(3000ms);
  // The configuration's key, the target's record, the members' records, and two
  // waiting polls.
  EXPECT_LE(store_->reads(), 6);
  store_->Put("op/config", ConfigText("r1", "\"k1\""));
  RunFor(500ms);
  EXPECT_EQ(hosts_.front()->runtime().status().config_version, 1u);
}

// Guards against a value in the store, written by another program, that ends
// the nodes that read it, or that hides the other values from them.
TEST_F(PlatformTest, UnreadableStoreValuesAreIgnored) {
  Start(2);
  std::string nested(20'000, '[');
  for (const std::string& value :
       {nested, nested + std::string(20'000, ']'),
        std::string("\xff\xfe\x00", 3),
        std::string(R"({"version": "r99999999999999999999999"})"),
        std::string(
            R"({"version": "r9", "limits": {"idle_timeout_ms": 1e99}})"),
        std::string(R"({"version": "r9", "limits": [[[]]]})"),
        std::string(R"({"version": "r9", "virtual_hosts": {"host": 1}})")}) {
    store_->Put("op/config", value);
    store_->Put("comfreylock/nodes/n9", value);
    store_->Put("comfreylock/targets/n1", value);
    RunFor(100ms);
    EXPECT_EQ(Call(0, "/read/1").status, 200);
  }
  // A node that starts reads them all at once.
  store_->Put("op/config", ConfigText("r11", "\"k1\""));
  hosts_.push_back(std::make_unique<Host>(context_, 3, 5000ms));
  RunFor(1500ms);
  EXPECT_TRUE(hosts_.back()->runtime().status().ready);
  EXPECT_EQ(Call(2, "/read/1").status, 200);
}

TEST_F(PlatformTest, ReadsConfigAgainAfterCompaction) {
  Start(2);
  store_->Compact();
  store_->Put("op/config", ConfigText("r5", "\"k5\""));
  RunFor(500ms);
  EXPECT_EQ(Call(0, "/read/1", "k5").status, 200);
  EXPECT_EQ(Call(1, "/read/1", "k1").status, 401);
}

// If the answer to a write is lost, the node does not know whether its record
// was written. It must register in either case.
TEST_F(PlatformTest, RegistersAfterLostWriteAnswer) {
  store_ = std::make_unique<PlatformStoreStandin>(context_, Address(0));
  store_->Put("op/config", ConfigText("r1", "\"k1\""));
  store_->LoseAnswers(1);
  hosts_.push_back(std::make_unique<Host>(context_, 1, 5000ms));
  RunFor(4s);
  EXPECT_NE(store_->Get("comfreylock/nodes/n1"), "");
  EXPECT_EQ(Call(0, "/read/1").status, 200);
}

// A leave without a body must take effect at once at the node beside the
// target, and a late report must not undo it.
TEST_F(PlatformTest, LeavingTargetGetsNoMoreRequests) {
  Start(2);
  hosts_[0]->target().Deregister();
  RunFor(100ms);
  size_t before = hosts_[0]->target().runs().size();
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(Call(static_cast<size_t>(i % 2), "/read/1").status, 200);
  EXPECT_EQ(hosts_[0]->target().runs().size(), before);
  // A late report of the same target process does not undo the leave.
  hosts_[0]->target().Report();
  RunFor(100ms);
  for (int i = 0; i < 4; ++i)
    Call(0, "/read/1");
  EXPECT_EQ(hosts_[0]->target().runs().size(), before);
}

// Guards against a confirmed leave that nobody knows after a restart.
TEST_F(PlatformTest, LeaveIsConfirmedOnlyWhileItCanBeWritten) {
  Start(2);
  int confirmed = 0;
  hosts_[0]->target().SetObserver(
      [&](const std::string& event, const mesh::HttpRequest&) {
        confirmed += event == "left" ? 1 : 0;
      });
  store_->SetFailure(503);
  hosts_[0]->target().Deregister();
  RunFor(1200ms);
  EXPECT_EQ(confirmed, 0);
  store_->SetFailure(0);
  hosts_[0]->target().Deregister();
  RunFor(800ms);
  EXPECT_EQ(confirmed, 1);
  mesh::wire::TargetRecord record;
  ASSERT_TRUE(record.ParseFromString(store_->Get("comfreylock/targets/n1")));
  EXPECT_EQ(record.id(), "");
  ASSERT_EQ(record.departed_size(), 1);
  EXPECT_EQ(record.departed(0).id(), "i-1");
}

TEST_F(PlatformTest, ShedRequestGoesToAnotherTarget) {
  Start(2);
  hosts_[0]->target().SetBehaviour({.sheds = true});
  int served = 0;
  for (int i = 0; i < 4; ++i)
    served += Call(0, "/order/1", "k1", "POST", "x").status == 200 ? 1 : 0;
  EXPECT_GE(served, 3);
}

// A request that failed after it ran must neither be answered as not run nor be
// retried.
TEST_F(PlatformTest, FailedOrderIsNotRetried) {
  Start(2);
  for (auto& host : hosts_)
    host->target().SetBehaviour({.omits_signature = true});
  mesh::HttpAnswer answer = Call(0, "/order/1", "k1", "POST", "x");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(RunCount(last_id_), 1);
  for (auto& host : hosts_)
    host->target().SetBehaviour({.fails = true});
  EXPECT_EQ(Call(0, "/order/1", "k1", "POST", "x").status, 500);
  EXPECT_EQ(RunCount(last_id_), 1);
}

TEST_F(PlatformTest, GracefulShutdownServesUntilCallersLeave) {
  Start(2);
  hosts_[0]->runtime().Feed(mesh::ShutdownRequested{});
  EXPECT_FALSE(hosts_[0]->runtime().status().ready);
  mesh::HttpAnswer answer = Call(0, "/read/1");
  EXPECT_EQ(answer.status, 200);
  RunFor(100ms);
  EXPECT_EQ(store_->Get("comfreylock/nodes/n1"), "");
}

// Guards against a revision that is compared with one of another era because a
// response does not tell its era.
TEST_F(PlatformTest, EveryResponseOfTheStoreTellsItsEra) {
  store_ = std::make_unique<PlatformStoreStandin>(context_, Address(0));
  store_->SetEra(7);
  KvStoreClient client(context_, Address(0), ReadNodeClock,
                       [](StoreRequestId, StoreResult) {});
  auto execute = [&](StoreRequest request) {
    std::optional<StoreResult> result;
    client.Call(std::move(request), 1000ms,
                [&](StoreResult found) { result = std::move(found); });
    for (int i = 0; i < 200 && !result; ++i)
      RunFor(10ms);
    return result.value_or(StoreFailure{"no result"});
  };
  StoreTransaction refused;
  refused.compares.push_back({"k", 99});
  StoreWatch watch;
  watch.key = "k";
  watch.start_revision = 1000;
  watch.progress_interval = 50ms;
  watch.once = true;
  for (const StoreRequest& request : std::vector<StoreRequest>{
           StoreRange{"k"}, StoreRange{"k", PrefixEnd("k")}, StoreTransaction{},
           refused, StoreLeaseGrant{}, StoreLeaseKeepAlive{99}, watch}) {
    StoreResult result = execute(request);
    EXPECT_FALSE(std::holds_alternative<StoreFailure>(result));
    EXPECT_EQ(EraOf(result), 7u) << request.index();
  }
  store_->SetFailure(503);
  StoreResult result = execute(StoreRange{"k"});
  ASSERT_TRUE(std::holds_alternative<StoreFailure>(result));
  EXPECT_EQ(EraOf(result), 7u);
  store_->SetFailure(0);
  store_->SetEra(0);
  EXPECT_EQ(EraOf(execute(StoreRange{"k"})), 0u);
}

// Guards against a node that ignores what the operator writes after a restore,
// since the store assigns revisions again that the node has already seen.
TEST_F(PlatformTest, ConfigOfNewEraAppliesAtReassignedRevision) {
  StartInEra(2);
  store_->SaveCopy();
  for (int i = 2; i <= 6; ++i)
    store_->Put("op/config", ConfigText("r" + std::to_string(i), "\"k1\""));
  RunFor(300ms);
  ASSERT_EQ(hosts_[0]->runtime().status().config_version, 6u);
  store_->RestoreCopy(200ms);
  RunFor(250ms);
  // The operator withdraws the key, at a revision below that of version 6.
  store_->Put("op/config", ConfigText("r7", "\"k2\""));
  RunFor(1500ms);
  for (size_t host : {0, 1}) {
    EXPECT_EQ(hosts_[host]->runtime().status().config_version, 7u);
    EXPECT_EQ(Call(host, "/read/1", "k1").status, 401);
    EXPECT_EQ(Call(host, "/read/1", "k2").status, 200);
  }
}

// Guards against keys that an older copy of the configuration confirms, and
// against a return to that copy.
TEST_F(PlatformTest, RestoredOlderConfigConfirmsNoKeys) {
  StartInEra(2, 3000ms);
  store_->SaveCopy();
  store_->Put("op/config", ConfigText("r2", "\"k2\""));
  RunFor(300ms);
  store_->RestoreCopy(100ms);
  RunFor(3500ms);
  for (size_t host : {0, 1}) {
    EXPECT_EQ(hosts_[host]->runtime().status().config_version, 2u);
    EXPECT_EQ(Call(host, "/read/1", "k1").status, 503);
    EXPECT_EQ(Call(host, "/read/1", "k2").status, 503);
  }
  store_->Put("op/config", ConfigText("r2", "\"k2\""));
  RunFor(1500ms);
  for (size_t host : {0, 1}) {
    EXPECT_EQ(Call(host, "/read/1", "k2").status, 200);
    EXPECT_EQ(Call(host, "/read/1", "k1").status, 401);
  }
}

// Guards against an older configuration that a node takes from the restored
// store when it starts.
TEST_F(PlatformTest, NodeStartedAfterRestoreTakesConfigOfOtherNodes) {
  StartInEra(2);
  store_->SaveCopy();
  store_->Put("op/config", ConfigText("r2", "\"k2\""));
  RunFor(300ms);
  hosts_[1].reset();
  hosts_.pop_back();
  store_->RestoreCopy(100ms);
  RunFor(150ms);
  hosts_.push_back(std::make_unique<Host>(context_, 2, 5000ms));
  for (int i = 0; i < 60; ++i) {
    RunFor(50ms);
    EXPECT_NE(hosts_[1]->runtime().status().config_version, 1u);
  }
  EXPECT_EQ(hosts_[1]->runtime().status().config_version, 2u);
  EXPECT_NE(Call(1, "/read/1", "k1").status, 200);
}

// Guards against records and leaves that stay lost after a restore.
TEST_F(PlatformTest, RecordsAndLeavesReturnAfterRestore) {
  StartInEra(2);
  store_->SaveCopy();
  hosts_[0]->target().Deregister();
  RunFor(300ms);
  store_->RestoreCopy(300ms);
  RunFor(9500ms);
  EXPECT_NE(store_->Get("comfreylock/nodes/n1"), "");
  EXPECT_NE(store_->Get("comfreylock/nodes/n2"), "");
  mesh::wire::TargetRecord record;
  ASSERT_TRUE(record.ParseFromString(store_->Get("comfreylock/targets/n1")));
  EXPECT_EQ(record.id(), "");
  ASSERT_EQ(record.departed_size(), 1);
  EXPECT_EQ(record.departed(0).id(), "i-1");
  EXPECT_NE(hosts_[0]->runtime().MetricsText().find("comfreylock_store_era 2"),
            std::string::npos);
  EXPECT_NE(hosts_[0]->runtime().MetricsText().find(
                "comfreylock_store_restores_total 1"),
            std::string::npos);
}

}  // namespace
}  // namespace comfreylock::platform
