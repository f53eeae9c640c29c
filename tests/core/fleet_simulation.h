#ifndef COMFREYLOCK_TESTS_CORE_FLEET_SIMULATION_H_
#define COMFREYLOCK_TESTS_CORE_FLEET_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "signed_bundle.h"

/// Simulation of a few reducers, an in-memory store and message faults on one
/// test clock.
namespace comfreylock {

constexpr char kFleetBundle[] = R"({"version": 1, "partitions": 4,
  "services": {"s": {"slots": 5}},
  "routes": [{"name": "all", "path": "/", "service": "s", "open": true}]})";

/// In-memory store with keys, revisions, leases and changes.
struct FakeStore {
  struct Lease {
    std::chrono::seconds ttl;
    TimePoint expires_at;
  };
  std::map<std::string, StoreEntry> values;
  std::map<int64_t, Lease> leases;
  std::vector<std::pair<int64_t, StoreChange>> changes;
  int64_t revision = 1;
  int64_t last_lease = 0;

  void Put(const StorePut& put) {
    StoreEntry& entry = values[put.key];
    if (entry.key.empty())
      entry.create_revision = revision;
    entry.key = put.key;
    entry.value = put.value;
    entry.lease = put.lease;
    entry.mod_revision = revision;
    changes.push_back({revision, {entry, false}});
  }
  void Delete(const std::string& key) {
    if (values.erase(key))
      changes.push_back({revision, {{key, "", 0, revision, 0}, true}});
  }
  void Expire(TimePoint now) {
    for (auto lease = leases.begin(); lease != leases.end();) {
      if (lease->second.expires_at > now) {
        ++lease;
        continue;
      }
      ++revision;
      for (auto it = values.begin(); it != values.end();) {
        auto entry = it++;
        if (entry->second.lease == lease->first)
          Delete(std::string(entry->first));
      }
      lease = leases.erase(lease);
    }
  }
  StoreResult Execute(const StoreRange& range) {
    StoreRangeResult result;
    result.revision = revision;
    for (const auto& [key, entry] : values) {
      if (key == range.key || (key > range.key && key < range.range_end))
        result.entries.push_back(entry);
    }
    return result;
  }
  StoreResult Execute(const StoreTransaction& transaction) {
    for (const auto& compare : transaction.compares) {
      auto found = values.find(compare.key);
      if (compare.mod_revision !=
          (found == values.end() ? 0 : found->second.mod_revision))
        return StoreTransactionResult{false, revision};
    }
    for (const auto& put : transaction.puts) {
      if (put.lease != 0 && !leases.contains(put.lease))
        return StoreFailure{"requested lease not found", true};
    }
    ++revision;
    for (const auto& put : transaction.puts)
      Put(put);
    for (const auto& removal : transaction.deletes)
      Delete(removal.key);
    return StoreTransactionResult{true, revision};
  }
  StoreResult Handle(const StoreRequest& request, TimePoint now) {
    Expire(now);
    if (const auto* range = std::get_if<StoreRange>(&request))
      return Execute(*range);
    if (const auto* transaction = std::get_if<StoreTransaction>(&request))
      return Execute(*transaction);
    if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
      leases[++last_lease] = {grant->ttl, now + grant->ttl};
      return StoreLeaseResult{last_lease, grant->ttl};
    }
    if (const auto* keep = std::get_if<StoreLeaseKeepAlive>(&request)) {
      auto found = leases.find(keep->lease);
      if (found == leases.end())
        return StoreLeaseResult{keep->lease, 0s};
      found->second.expires_at = now + found->second.ttl;
      return StoreLeaseResult{keep->lease, found->second.ttl};
    }
    if (const auto* revoke = std::get_if<StoreLeaseRevoke>(&request)) {
      auto found = leases.find(revoke->lease);
      if (found != leases.end())
        found->second.expires_at = now;
      Expire(now);
      return StoreLeaseResult{revoke->lease, 0s};
    }
    return StoreFailure{"not supported", false};
  }
};

enum class StoreFault { kNone, kLoseRequest, kLoseAnswer };

class FleetSimulation {
 public:
  TestOperators operators;
  explicit FleetSimulation(uint64_t seed) : random_(seed) {
    PutBundle(kFleetBundle, 1);
  }

  /// Puts a bundle, signed by both operators, into the store.
  void PutBundle(std::string_view text, uint64_t version) {
    SplitBundle bundle = operators.Signed(text, version);
    for (const auto& [digest, content] : bundle.parts)
      store.Put({std::string(kBundlePartPrefix) + digest, content, 0});
    store.Put({std::string(kBundleHeadKey), FormatBundleHead(bundle.head), 0});
  }

  void Add(const NodeId& id, std::vector<std::string> seeds = {}) {
    NodeIdentity identity{id, "s", "zone-a", "p-" + id, "c-" + id};
    identity.incarnation = ++incarnation_;
    identity.seed = incarnation_;
    identity.seed_addresses = std::move(seeds);
    identity.operators = operators.keys();
    Host& host = hosts[id];
    host.node = std::make_unique<NodeReducer>(identity, now);
    host.queue.clear();
    std::erase_if(watches_,
                  [&](const auto& watch) { return watch.node == id; });
  }

  /// Advances the clock and processes ticks and due events.
  void Run(std::chrono::milliseconds time) {
    for (TimePoint end = now + time; now < end; now += kTickInterval) {
      store.Expire(now);
      FireWatches();
      for (auto& [id, host] : hosts) {
        if (host.paused || !host.node)
          continue;
        auto due = std::exchange(host.queue, {});
        for (auto& [at, body] : due) {
          if (at <= now)
            Feed(id, std::move(body));
          else
            host.queue.emplace_back(at, std::move(body));
        }
        Feed(id, Tick{});
      }
    }
  }

  void Feed(const NodeId& id, EventBody body) {
    Host& host = hosts.at(id);
    for (auto& effect : host.node->Reduce({now, {}, std::move(body)})) {
      if (auto* call = std::get_if<CallStore>(&effect))
        SendStoreRequest(id, *call);
      else if (auto* send = std::get_if<SendToPeer>(&effect))
        Send(id, *send);
      else if (std::holds_alternative<Exit>(effect))
        host.exited = true;
      else
        host.effects.push_back(std::move(effect));
    }
  }

  struct Host {
    std::unique_ptr<NodeReducer> node;  ///< Null: the process was killed.
    bool paused = false;
    bool exited = false;
    std::vector<std::pair<TimePoint, EventBody>> queue;
    Effects effects;
  };

  /// @return how many nodes have a confirmed ownership of the partition.
  size_t ConfirmedOwners(uint32_t partition) const {
    size_t count = 0;
    for (const auto& [id, host] : hosts)
      count += host.node && host.node->partitions().IsConfirmed(partition, now);
    return count;
  }

  FakeStore store;
  TimePoint now{std::chrono::hours(1)};
  std::map<NodeId, Host> hosts;
  /// Returns the fault of each store request; may be empty.
  std::function<StoreFault(const NodeId&, const StoreRequest&)> store_fault;
  double lost_fraction = 0;  ///< Fraction of the peer messages that is lost.
  double duplicated_fraction = 0;  ///< Fraction of them that arrives twice.
  std::chrono::milliseconds max_delay{1};
  std::map<std::string, size_t> store_calls;  ///< Count of requests, by node.
  std::map<NodeId, size_t> bytes_sent;
  /// Returns whether messages from the first node to the second are dropped;
  /// may be empty.
  std::function<bool(const NodeId&, const NodeId&)> is_link_cut;

 private:
  struct Watch {
    NodeId node;
    StoreRequestId call;
    StoreWatch watch;
  };

  void SendStoreRequest(const NodeId& id, const CallStore& call) {
    ++store_calls[id];
    auto& queue = hosts.at(id).queue;
    auto fault =
        store_fault ? store_fault(id, call.request) : StoreFault::kNone;
    if (fault == StoreFault::kLoseRequest) {
      queue.emplace_back(now + call.timeout,
                         StoreAnswered{call.call, StoreFailure{"away", true}});
      return;
    }
    if (const auto* watch = std::get_if<StoreWatch>(&call.request)) {
      watches_.push_back({id, call.call, *watch});
      return;
    }
    if (const auto* cancel = std::get_if<StoreCancelWatch>(&call.request)) {
      std::erase_if(watches_, [&](const auto& watch) {
        return watch.node == id && watch.call == cancel->watch;
      });
      return;
    }
    StoreResult result = store.Handle(call.request, now);
    if (fault == StoreFault::kLoseAnswer)
      queue.emplace_back(now + call.timeout,
                         StoreAnswered{call.call, StoreFailure{"lost", true}});
    else
      queue.emplace_back(now + 2ms, StoreAnswered{call.call, result});
  }

  void FireWatches() {
    for (auto& [node, call, watch] : watches_) {
      StoreWatchResult result;
      for (const auto& [revision, change] : store.changes) {
        const std::string& key = change.entry.key;
        if (revision >= watch.start_revision &&
            (key == watch.key || (key > watch.key && key < watch.range_end)))
          result.changes.push_back(change);
      }
      watch.start_revision = store.revision + 1;
      if (!result.changes.empty())
        hosts.at(node).queue.emplace_back(now, StoreAnswered{call, result});
    }
  }

  void Send(const NodeId& from, const SendToPeer& send) {
    NodeId to = send.control_address.substr(2);
    bytes_sent[from] += send.message.ByteSizeLong();
    std::uniform_real_distribution<double> fraction(0, 1);
    if (!hosts.contains(to) || fraction(random_) < lost_fraction ||
        (is_link_cut && is_link_cut(from, to)))
      return;
    std::uniform_int_distribution<int64_t> delay(1, max_delay.count());
    int copies = fraction(random_) < duplicated_fraction ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      hosts.at(to).queue.emplace_back(
          now + std::chrono::milliseconds(delay(random_)),
          PeerMessageReceived{from, "c-" + from, 1, send.message});
    }
  }

  std::mt19937_64 random_;
  uint64_t incarnation_ = 0;
  std::vector<Watch> watches_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_TESTS_CORE_FLEET_SIMULATION_H_
