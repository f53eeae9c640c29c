#include "store_etcd.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "comfreylock/config.h"
#include "crypto.h"

namespace comfreylock {
namespace {

using nlohmann::json;

/// Idle connections to the store are not reused after this time.
constexpr std::chrono::milliseconds kIdleConnectionTimeout = 30s;
/// Largest accepted answer of the store, bytes.
constexpr size_t kMaxAnswerBytes = 64 << 20;

/// Store call budgets of one node. Transactions: the owner of 4 partitions
/// writes each of them at most once in 50 ms. Reads are rare; the burst covers
/// the parts of a large bundle.
constexpr double kReadsPerSecond = 20;
constexpr double kReadBurst = 200;
constexpr double kTransactionsPerSecond = 100;
constexpr double kTransactionBurst = 200;
/// Delay before a watch that ended is opened again; it doubles up to the
/// maximum and is jittered.
constexpr std::chrono::milliseconds kMinWatchRetryDelay = 100ms;
constexpr std::chrono::milliseconds kMaxWatchRetryDelay = 2s;

/// The revisions from which a watch would resume have been compacted.
class CompactedError : public Error {
 public:
  using Error::Error;
};

/// The gateway writes 64-bit numbers as strings.
/// @return 0 if the field is missing or not a number.
int64_t NumberOf(const json& object, const char* field) {
  auto found = object.find(field);
  if (found == object.end())
    return 0;
  if (found->is_number_integer())
    return found->get<int64_t>();
  if (!found->is_string())
    return 0;
  const auto& text = found->get_ref<const std::string&>();
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

StoreEntry EntryOf(const json& value) {
  StoreEntry entry;
  entry.key = FromBase64(value.value("key", ""));
  entry.value = FromBase64(value.value("value", ""));
  entry.create_revision = NumberOf(value, "create_revision");
  entry.mod_revision = NumberOf(value, "mod_revision");
  entry.lease = NumberOf(value, "lease");
  return entry;
}

int64_t RevisionOf(const json& answer) {
  auto header = answer.find("header");
  return header == answer.end() ? 0 : NumberOf(*header, "revision");
}

json RangeBody(const StoreRange& range) {
  json body = {{"key", ToBase64(range.key)}};
  if (!range.range_end.empty())
    body["range_end"] = ToBase64(range.range_end);
  if (range.limit > 0)
    body["limit"] = std::to_string(range.limit);
  if (range.serializable)
    body["serializable"] = true;
  return body;
}

json TransactionBody(const StoreTransaction& transaction) {
  json compares = json::array();
  for (const auto& compare : transaction.compares) {
    compares.push_back(
        {{"key", ToBase64(compare.key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(compare.mod_revision)}});
  }
  json operations = json::array();
  for (const auto& put : transaction.puts) {
    json body = {{"key", ToBase64(put.key)}, {"value", ToBase64(put.value)}};
    if (put.lease != 0)
      body["lease"] = std::to_string(put.lease);
    operations.push_back({{"request_put", body}});
  }
  for (const auto& deletion : transaction.deletes) {
    json body = {{"key", ToBase64(deletion.key)}};
    if (!deletion.range_end.empty())
      body["range_end"] = ToBase64(deletion.range_end);
    operations.push_back({{"request_delete_range", body}});
  }
  return {{"compare", compares}, {"success", operations}};
}

StoreRangeResult RangeResultOf(const json& answer) {
  StoreRangeResult result;
  result.revision = RevisionOf(answer);
  result.more = answer.value("more", false);
  for (const auto& value : answer.value("kvs", json::array()))
    result.entries.push_back(EntryOf(value));
  return result;
}

StoreWatchResult WatchResultOf(const json& answer) {
  StoreWatchResult result;
  result.revision = RevisionOf(answer);
  result.compacted_revision = NumberOf(answer, "compact_revision");
  for (const auto& event : answer.value("events", json::array())) {
    StoreChange change;
    change.deleted = event.value("type", "PUT") == "DELETE";
    change.entry = EntryOf(event.value("kv", json::object()));
    result.changes.push_back(std::move(change));
  }
  return result;
}

bool IsWrite(const StoreRequest& request) {
  return !std::holds_alternative<StoreRange>(request);
}

IoTimePoint DeadlineAfter(std::chrono::milliseconds timeout) {
  return std::chrono::steady_clock::now() + timeout;
}

RequestHead PostHead(const std::string& path,
                     const std::string& host,
                     size_t length) {
  RequestHead head;
  head.method(http::verb::post);
  head.target(path);
  head.version(11);
  head.set(http::field::host, host);
  head.set(http::field::content_type, "application/json");
  SetFraming(head, length);
  return head;
}

}  // namespace

EtcdStore::EtcdStore(asio::any_io_executor executor,
                     std::string address,
                     Callback callback)
    : executor_(executor),
      address_(std::move(address)),
      callback_(std::move(callback)),
      pool_(executor, kIdleConnectionTimeout),
      read_budget_{kReadsPerSecond, kReadBurst, kReadBurst,
                   std::chrono::steady_clock::now()},
      transaction_budget_{kTransactionsPerSecond, kTransactionBurst,
                          kTransactionBurst, std::chrono::steady_clock::now()},
      random_(std::random_device()()) {}

bool EtcdStore::TryAcquire(CallBudget& budget) {
  auto now = std::chrono::steady_clock::now();
  std::chrono::duration<double> elapsed = now - budget.refilled_at;
  budget.refilled_at = now;
  budget.tokens = std::min(
      budget.burst, budget.tokens + elapsed.count() * budget.calls_per_second);
  if (budget.tokens < 1) {
    ++counters_.over_budget;
    return false;
  }
  budget.tokens -= 1;
  return true;
}

bool EtcdStore::TryAdmit(const StoreRequest& request) {
  if (std::holds_alternative<StoreRange>(request)) {
    ++counters_.reads;
    return TryAcquire(read_budget_);
  }
  if (std::holds_alternative<StoreTransaction>(request)) {
    ++counters_.transactions;
    return TryAcquire(transaction_budget_);
  }
  // Lease calls are not limited: a node has one lease, and renewing it must not
  // fail because of other calls.
  ++counters_.lease_calls;
  return true;
}

void EtcdStore::Start(StoreRequestId call,
                      StoreRequest request,
                      std::chrono::milliseconds timeout) {
  if (const auto* cancel = std::get_if<StoreCancelWatch>(&request)) {
    auto found = watches_.find(cancel->watch);
    if (found != watches_.end()) {
      found->second->cancelled = true;
      if (found->second->connection)
        found->second->connection->Close();
    }
    return;
  }
  if (const auto* watch = std::get_if<StoreWatch>(&request)) {
    asio::co_spawn(executor_, RunWatch(call, *watch), asio::detached);
    return;
  }
  asio::co_spawn(
      executor_,
      [this, call, request = std::move(request),
       timeout]() -> asio::awaitable<void> {
        StoreResult result =
            StoreFailure{"the node's budget of store calls is used up"};
        if (TryAdmit(request))
          result = co_await Run(request, DeadlineAfter(timeout));
        if (std::holds_alternative<StoreFailure>(result))
          ++counters_.failures;
        callback_(call, std::move(result));
      },
      asio::detached);
}

asio::awaitable<StoreResult> EtcdStore::Run(const StoreRequest& request,
                                            IoTimePoint deadline) {
  bool sent = false;
  try {
    if (const auto* range = std::get_if<StoreRange>(&request)) {
      co_return RangeResultOf(
          co_await Post("/v3/kv/range", RangeBody(*range), deadline, sent));
    }
    if (const auto* transaction = std::get_if<StoreTransaction>(&request)) {
      json answer = co_await Post("/v3/kv/txn", TransactionBody(*transaction),
                                  deadline, sent);
      co_return StoreTransactionResult{answer.value("succeeded", false),
                                       RevisionOf(answer)};
    }
    std::string path = "/v3/lease/grant";
    json body = json::object();
    if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
      body["TTL"] = std::to_string(grant->ttl.count());
    } else if (const auto* keep_alive =
                   std::get_if<StoreLeaseKeepAlive>(&request)) {
      path = "/v3/lease/keepalive";
      body["ID"] = std::to_string(keep_alive->lease);
    } else {
      path = "/v3/lease/revoke";
      body["ID"] = std::to_string(std::get<StoreLeaseRevoke>(request).lease);
    }
    json answer = co_await Post(path, body, deadline, sent);
    // Keep-alive is a streaming call, whose answers the gateway wraps.
    if (answer.contains("result"))
      answer = answer["result"];
    co_return StoreLeaseResult{NumberOf(answer, "ID"),
                               std::chrono::seconds(NumberOf(answer, "TTL"))};
  } catch (const std::exception& error) {
    co_return StoreFailure{error.what(), sent && IsWrite(request)};
  }
}

asio::awaitable<json> EtcdStore::Post(std::string path,
                                      json body,
                                      IoTimePoint deadline,
                                      bool& sent) {
  std::string text = body.dump();
  auto connection = co_await pool_.Acquire(address_, deadline);
  BufferedBody content(text);
  sent = true;
  ClientRequest request{PostHead(path, address_, text.size()), &content,
                        deadline};
  ResponseHead head = co_await connection->RoundTrip(std::move(request));
  bool complete = false;
  std::string answer =
      co_await ReadUpTo(connection->body(), kMaxAnswerBytes, complete);
  pool_.Release(connection);
  if (!complete || head.result() != http::status::ok) {
    throw Error("the store's answer is an error or exceeds 64 MiB: status " +
                std::to_string(head.result_int()) + " to " + path);
  }
  co_return json::parse(answer);
}

asio::awaitable<void> EtcdStore::RunWatch(StoreRequestId call,
                                          StoreWatch watch) {
  auto open = std::make_shared<OpenWatch>();
  watches_[call] = open;
  StoreFailure failure{"the watch was cancelled", false};
  asio::steady_timer timer(executor_);
  std::chrono::milliseconds retry_delay = kMinWatchRetryDelay;
  while (!open->cancelled) {
    int64_t previous_revision = watch.start_revision;
    try {
      co_await WatchOnce(call, watch, *open);
    } catch (const CompactedError& error) {
      failure.message = error.what();
      break;
    } catch (const std::exception&) {
      // The connection ended; the watch resumes after the last change received.
    }
    if (open->cancelled)
      break;
    if (watch.start_revision != previous_revision)
      retry_delay = kMinWatchRetryDelay;
    std::uniform_int_distribution<int64_t> jittered_ms(retry_delay.count() / 2,
                                                       retry_delay.count());
    timer.expires_after(std::chrono::milliseconds(jittered_ms(random_)));
    co_await timer.async_wait(asio::use_awaitable);
    retry_delay = std::min(retry_delay * 2, kMaxWatchRetryDelay);
  }
  watches_.erase(call);
  callback_(call, failure);
}

asio::awaitable<void> EtcdStore::WatchOnce(StoreRequestId call,
                                           StoreWatch& watch,
                                           OpenWatch& open) {
  ++counters_.watches;
  // A watch may be needed for days; it is reopened when its connection reaches
  // this deadline. TCP detects a store that is unreachable.
  IoTimePoint deadline = DeadlineAfter(24h);
  open.connection = std::make_shared<HttpClientConnection>(executor_, address_);
  auto connection = open.connection;
  co_await connection->Connect(DeadlineAfter(2s));
  json create = {{"key", ToBase64(watch.key)},
                 {"start_revision", std::to_string(watch.start_revision)}};
  if (!watch.range_end.empty())
    create["range_end"] = ToBase64(watch.range_end);
  std::string text = json({{"create_request", create}}).dump();
  BufferedBody content(text);
  ClientRequest request{PostHead("/v3/watch", address_, text.size()), &content,
                        deadline};
  co_await connection->RoundTrip(std::move(request));
  std::string received;
  while (!open.cancelled) {
    std::string chunk = co_await connection->body().Read();
    if (chunk.empty())
      co_return;
    received += chunk;
    size_t end = 0;
    while ((end = received.find('\n')) != std::string::npos) {
      json message = json::parse(received.substr(0, end));
      received.erase(0, end + 1);
      auto found = message.find("result");
      if (found == message.end())
        throw Error("the watch failed: " + message.dump());
      StoreWatchResult result = WatchResultOf(*found);
      if (result.compacted_revision != 0) {
        throw CompactedError("the history before revision " +
                             std::to_string(result.compacted_revision) +
                             " has been compacted");
      }
      // The revision in the header may be ahead of the changes sent so far, so
      // the watch resumes after the last change.
      for (const auto& change : result.changes) {
        watch.start_revision =
            std::max(watch.start_revision, change.entry.mod_revision + 1);
      }
      if (!open.cancelled)
        callback_(call, std::move(result));
    }
  }
}

}  // namespace comfreylock
