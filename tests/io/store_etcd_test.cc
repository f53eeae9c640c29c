#include "store_etcd.h"

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "comfreylock/config.h"
#include "standin_store.h"

namespace comfreylock {
namespace {

using standins::StandinStore;

constexpr std::chrono::milliseconds kTestTimeout{20'000};

/// Runs a client and the stand-in store on one thread.
class StoreEtcdTest : public ::testing::Test {
 protected:
  StoreEtcdTest() : standin_(context_) {
    asio::ip::tcp::acceptor probe(context_,
                                  {asio::ip::address_v4::loopback(), 0});
    address_ = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
    probe.close();
    asio::co_spawn(context_,
                   standins::Serve(context_, address_,
                                   [this](standins::Exchange& exchange) {
                                     return standin_.Handle(exchange);
                                   }),
                   asio::detached);
    store_ = std::make_unique<EtcdStore>(
        context_.get_executor(), address_,
        [this](StoreRequestId call, StoreResult result) {
          results_[call].push_back(std::move(result));
        });
  }

  StoreRequestId Start(StoreRequest request,
                       std::chrono::milliseconds timeout = kTestTimeout) {
    StoreRequestId call{++last_call_};
    store_->Start(call, std::move(request), timeout);
    return call;
  }

  /// Waits for the next result of a call.
  StoreResult NextResult(StoreRequestId call) {
    while (results_[call].empty())
      context_.run_one();
    StoreResult result = results_[call].front();
    results_[call].erase(results_[call].begin());
    return result;
  }

  template <typename Result>
  Result Execute(StoreRequest request,
                 std::chrono::milliseconds timeout = kTestTimeout) {
    return std::get<Result>(NextResult(Start(std::move(request), timeout)));
  }

  void Put(const std::string& value, int64_t lease = 0) {
    Execute<StoreTransactionResult>(
        StoreTransaction{{}, {{"k", value, lease}}});
  }

  nlohmann::json CallStandin(const std::string& target) {
    std::string answer;
    bool done = false;
    asio::co_spawn(
        context_,
        [&]() -> asio::awaitable<void> {
          auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
          HttpClientConnection connection(context_.get_executor(), address_);
          co_await connection.Connect(deadline);
          RequestHead head;
          head.method(http::verb::post);
          head.target("/standin/" + target);
          head.version(11);
          head.set(http::field::host, address_);
          SetFraming(head, 0);
          ClientRequest request{std::move(head), nullptr, deadline};
          co_await connection.RoundTrip(std::move(request));
          bool complete = false;
          answer = co_await ReadUpTo(connection.body(), 1 << 20, complete);
          done = true;
        },
        asio::detached);
    while (!done)
      context_.run_one();
    return nlohmann::json::parse(answer);
  }

  /// @return values of the next `count` changes of a watch.
  std::vector<std::string> NextChanges(StoreRequestId watch, size_t count) {
    std::vector<std::string> values;
    while (values.size() < count) {
      StoreResult result = NextResult(watch);
      for (const auto& change : std::get<StoreWatchResult>(result).changes)
        values.push_back(change.entry.value);
    }
    return values;
  }

  asio::io_context context_{1};
  StandinStore standin_;
  std::string address_;
  std::unique_ptr<EtcdStore> store_;
  std::map<StoreRequestId, std::vector<StoreResult>> results_;
  uint64_t last_call_ = 0;
};

// Guards against changes that are missed or reported twice when the connection
// of a watch ends.
TEST_F(StoreEtcdTest, WatchResumesWithoutGap) {
  StoreRequestId watch = Start(StoreWatch{"k", "", 1});
  Put("1");
  EXPECT_EQ(NextChanges(watch, 1), std::vector<std::string>{"1"});
  Put("2");
  Put("3");
  CallStandin("outage?ms=300");
  while (std::holds_alternative<StoreFailure>(
      NextResult(Start(StoreTransaction{{}, {{"k", "4"}}})))) {
  }
  EXPECT_EQ(NextChanges(watch, 3), (std::vector<std::string>{"2", "3", "4"}));
  EXPECT_GE(store_->counters().watches, 2u);
  Start(StoreCancelWatch{watch});
  EXPECT_TRUE(std::holds_alternative<StoreFailure>(NextResult(watch)));
}

// Guards against a watch that starts at a compacted revision and silently
// skips changes.
TEST_F(StoreEtcdTest, WatchOfCompactedRevisionFails) {
  Put("1");
  Put("2");
  Put("3");
  CallStandin("compact");
  StoreRequestId watch = Start(StoreWatch{"k", "", 2});
  StoreResult result = NextResult(watch);
  while (std::holds_alternative<StoreWatchResult>(result))
    result = NextResult(watch);
  EXPECT_NE(std::get<StoreFailure>(result).message.find("has been compacted"),
            std::string::npos);
  auto range = Execute<StoreRangeResult>(StoreRange{"k"});
  watch = Start(StoreWatch{"k", "", range.revision + 1});
  Put("4");
  EXPECT_EQ(NextChanges(watch, 1), std::vector<std::string>{"4"});
}

// Guards against a call that never times out, and against a write whose answer
// was lost being reported as not applied.
TEST_F(StoreEtcdTest, TimeoutAndLostAnswerReportUncertainWrites) {
  CallStandin("hang?ms=60000");
  auto failure = Execute<StoreFailure>(StoreRange{"k"}, 50ms);
  EXPECT_FALSE(failure.may_have_applied);
  failure = Execute<StoreFailure>(StoreTransaction{{}, {{"k", "1"}}}, 50ms);
  EXPECT_TRUE(failure.may_have_applied);
  CallStandin("hang?ms=0");
  EXPECT_TRUE(Execute<StoreRangeResult>(StoreRange{"k"}).entries.empty());
  CallStandin("lose-answers?count=1&path=/v3/kv/txn");
  auto lease = Execute<StoreLeaseResult>(StoreLeaseGrant{5s});
  EXPECT_NE(lease.lease, 0);
  failure = Execute<StoreFailure>(StoreTransaction{{}, {{"k", "2"}}});
  EXPECT_TRUE(failure.may_have_applied);
  EXPECT_EQ(Execute<StoreRangeResult>(StoreRange{"k"}).entries[0].value, "2");
}

// Guards against a node that uses up the call rate that the store allows.
TEST_F(StoreEtcdTest, CallsBeyondBudgetFail) {
  constexpr int kCalls = 400;
  std::vector<StoreRequestId> calls;
  for (int i = 0; i < kCalls; ++i)
    calls.push_back(Start(StoreRange{"k"}));
  int refused = 0;
  for (StoreRequestId call : calls)
    refused += std::holds_alternative<StoreFailure>(NextResult(call));
  EXPECT_GT(refused, 0);
  EXPECT_EQ(store_->counters().reads, static_cast<uint64_t>(kCalls));
  EXPECT_EQ(store_->counters().over_budget, static_cast<uint64_t>(refused));
  EXPECT_NE(Execute<StoreLeaseResult>(StoreLeaseGrant{5s}).lease, 0);
}

// Guards against a stand-in that differs from the store: no rate limits, keys
// written with an expired lease, or leases that expire during an outage.
TEST_F(StoreEtcdTest, StandinEnforcesRatesAndLeases) {
  CallStandin("limits?writes=2&reads=100");
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    refused += std::holds_alternative<StoreFailure>(
        NextResult(Start(StoreTransaction{{}, {{"k", "1"}}})));
  }
  EXPECT_GT(refused, 0);
  CallStandin("limits?writes=0&reads=0");
  auto lease = Execute<StoreLeaseResult>(StoreLeaseGrant{3s});
  Put("leased", lease.lease);
  CallStandin("outage?ms=3300");
  while (std::holds_alternative<StoreFailure>(
      NextResult(Start(StoreRange{"k"})))) {
    asio::steady_timer pause(context_, 20ms);
    bool over = false;
    pause.async_wait([&](auto) { over = true; });
    while (!over)
      context_.run_one();
  }
  auto keep_alive = Execute<StoreLeaseResult>(StoreLeaseKeepAlive{lease.lease});
  EXPECT_EQ(keep_alive.ttl, 3s);
  Execute<StoreLeaseResult>(StoreLeaseRevoke{lease.lease});
  EXPECT_TRUE(Execute<StoreRangeResult>(StoreRange{"k"}).entries.empty());
  EXPECT_EQ(Execute<StoreLeaseResult>(StoreLeaseKeepAlive{lease.lease}).ttl,
            0s);
  auto failure = Execute<StoreFailure>(
      StoreTransaction{{}, {{"k", "orphan", lease.lease}}});
  EXPECT_TRUE(Execute<StoreRangeResult>(StoreRange{"k"}).entries.empty());
  auto counters = CallStandin("counters");
  EXPECT_GT(counters["over_limit"], 0);
  bool by_client = false;
  for (const auto& [name, count] : counters.items())
    by_client = by_client || name.ends_with(" /v3/kv/txn");
  EXPECT_TRUE(by_client);
}

}  // namespace
}  // namespace comfreylock
