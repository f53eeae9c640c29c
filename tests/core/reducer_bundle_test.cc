#include <algorithm>
#include <deque>
#include <utility>

#include <gtest/gtest.h>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"
#include "signed_bundle.h"

namespace comfreylock {
namespace {

constexpr char kBundle[] = R"({
  "key_salt": "00ff",
  "services": {"proofs": {"slots": 1}},
  "organisations": {"kamilla": {"rate": 10, "burst": 5}},
  "routes": [{"name": "all", "path": "/", "service": "proofs"}],
  "keys": [{"id": "k1", "organisation": "kamilla", "hash":
    "0000000000000000000000000000000000000000000000000000000000000000"}]
})";

std::string WithoutKeys() {
  std::string text = kBundle;
  size_t start = text.find("\"keys\"");
  return text.replace(start, text.rfind(']') - start, "\"keys\": [");
}

/// Several nodes on one clock. Messages between them arrive in order; the
/// first `messages_to_drop_` are dropped. Tests answer the store requests.
class NodeGroup : public testing::Test {
 protected:
  NodeReducer& Add(const NodeId& name) {
    NodeIdentity identity;
    identity.node = name;
    identity.service = "proofs";
    identity.zone = "a";
    identity.control_address = name + ":1";
    identity.seed = nodes_.size() + 1;
    identity.operators = operators_.keys();
    nodes_[name] = std::make_unique<NodeReducer>(identity, now_);
    return *nodes_[name];
  }

  void Feed(const NodeId& name, EventBody body) {
    for (auto& effect :
         nodes_.at(name)->Reduce(Event{now_, {}, std::move(body)})) {
      if (auto* send = std::get_if<SendToPeer>(&effect)) {
        if (messages_to_drop_ > 0)
          --messages_to_drop_;
        else
          messages_.emplace_back(name, *send);
      }
      effects_[name].push_back(std::move(effect));
    }
  }

  void DeliverAll() {
    while (!messages_.empty()) {
      auto [from, send] = messages_.front();
      messages_.pop_front();
      // Addresses are `<node>:1`; seeds are known by address only.
      NodeId to =
          send.control_address.substr(0, send.control_address.find(':'));
      Feed(to, PeerMessageReceived{from, from + ":1", 1, send.message});
    }
  }

  void RunFor(std::chrono::milliseconds time) {
    for (auto end = now_ + time; now_ < end; now_ += kTickInterval) {
      for (const auto& [name, node] : nodes_)
        Feed(name, Tick{});
      DeliverAll();
    }
  }

  /// Answers the newest range request for `key` at `name`.
  void AnswerRange(const NodeId& name,
                   const std::string& key,
                   std::vector<StoreEntry> entries) {
    StoreRequestId call;
    for (const auto& effect : effects_[name]) {
      const auto* call_store = std::get_if<CallStore>(&effect);
      const auto* range =
          call_store ? std::get_if<StoreRange>(&call_store->request) : nullptr;
      if (range && range->key == key)
        call = call_store->call;
    }
    ASSERT_TRUE(call) << key;
    Feed(name, StoreAnswered{call, StoreRangeResult{entries, 1, false}});
  }

  /// Answers the reads of the bundle head and of all parts at `name`.
  void AnswerBundleReads(const NodeId& name, const SplitBundle& bundle) {
    std::string head(kBundleHeadKey);
    AnswerRange(name, head, {{head, FormatBundleHead(bundle.head)}});
    for (const auto& [digest, content] : bundle.parts) {
      std::string key = std::string(kBundlePartPrefix) + digest;
      AnswerRange(name, key, {{key, content}});
    }
  }

  void AnswerMemberReads() {
    std::string prefix = "/comfreylock/members/";
    std::vector<StoreEntry> entries;
    for (const auto& [name, node] : nodes_) {
      wire::Member member;
      member.set_node(name);
      member.set_service("proofs");
      member.set_zone("a");
      member.set_peer_address(name + ":2");
      member.set_control_address(name + ":1");
      member.set_incarnation(1);
      entries.push_back({prefix + "a/" + name, member.SerializeAsString()});
    }
    for (const auto& [name, node] : nodes_) {
      Feed(name, Tick{});
      AnswerRange(name, prefix, entries);
    }
  }

  /// Reports `owner` to `name` as the owner of all partitions, and answers the
  /// share requests of `name`.
  void GrantShares(const NodeId& name, const NodeId& owner) {
    wire::PeerMessage message;
    for (uint32_t partition = 0; partition < 4; ++partition) {
      auto* update = message.mutable_rumours()->add_owners();
      update->set_partition(partition);
      update->set_node(owner);
      update->set_epoch(5);
    }
    Feed(name, PeerMessageReceived{owner, owner + ":1", 1, message});
    effects_[name].clear();
    now_ += 50ms;
    Feed(name, Tick{});
    Effects effects = std::exchange(effects_[name], {});
    for (const auto& effect : effects) {
      const auto* send = std::get_if<SendToPeer>(&effect);
      if (!send || !send->message.has_share_request())
        continue;
      const auto& request = send->message.share_request();
      wire::PeerMessage answer;
      auto* grant = answer.mutable_share_grant();
      grant->set_partition(request.partition());
      grant->set_epoch(5);
      grant->set_request(request.request());
      grant->set_validity_ms(6000);
      grant->set_incarnation(request.incarnation());
      for (const auto& held : request.shares()) {
        auto* share = grant->add_shares();
        share->set_organisation(held.organisation());
        share->set_rate(10);
        share->set_burst(5);
        share->set_tokens(5);
        share->set_grant_sequence(held.grant_sequence() + 1);
      }
      Feed(name, PeerMessageReceived{owner, owner + ":1", 1, answer});
    }
    now_ += kTickInterval;
    Feed(name, Tick{});
  }

  uint64_t VersionAt(const NodeId& name) {
    return nodes_.at(name)->status().bundle_version;
  }

  TestOperators operators_;
  TimePoint now_{1s};
  std::map<NodeId, std::unique_ptr<NodeReducer>> nodes_;
  std::map<NodeId, Effects> effects_;
  std::deque<std::pair<NodeId, SendToPeer>> messages_;
  int messages_to_drop_ = 0;
};

using ReducerBundleTest = NodeGroup;

// Guards against nodes that keep an old version when only one of them can read
// the store and the first messages are lost.
TEST_F(ReducerBundleTest, BundleSpreadsBetweenPeers) {
  for (int i = 0; i < 8; ++i)
    Add("node-" + std::to_string(i));
  AnswerMemberReads();
  messages_to_drop_ = 6;
  AnswerBundleReads("node-0", operators_.Signed(kBundle, 1));
  EXPECT_EQ(VersionAt("node-0"), 1u);
  RunFor(3s);
  for (const auto& [name, node] : nodes_)
    EXPECT_EQ(VersionAt(name), 1u) << name;
}

// Guards against a peer putting a bundle in force that lacks a signature.
TEST_F(ReducerBundleTest, UnsignedBundleFromPeerRejected) {
  Add("node-0");
  Add("node-1");
  SplitBundle bundle = operators_.Signed(kBundle, 1);
  bundle.head.signatures.pop_back();
  wire::PeerMessage message;
  message.mutable_bundle_head()->set_version(1);
  message.mutable_bundle_head()->set_document(FormatBundleHead(bundle.head));
  Feed("node-0", PeerMessageReceived{"node-1", "node-1:1", 1, message});
  for (const auto& [digest, content] : bundle.parts) {
    message.mutable_bundle_part()->set_digest(digest);
    message.mutable_bundle_part()->set_content(content);
    Feed("node-0", PeerMessageReceived{"node-1", "node-1:1", 1, message});
  }
  EXPECT_EQ(VersionAt("node-0"), 0u);
}

// Guards against starting a queued request whose key was withdrawn, and against
// aborting a running one.
TEST_F(ReducerBundleTest, WithdrawnKeyStopsQueuedWorkOnly) {
  NodeReducer& node = Add("node-0");
  Feed("node-0", Tick{});
  AnswerBundleReads("node-0", operators_.Signed(kBundle, 1));
  for (uint64_t id : {1, 2}) {
    WorkArrived work{WorkId{id}, {}};
    work.context.set_request_id("r" + std::to_string(id));
    work.context.set_service("proofs");
    work.context.set_organisation("kamilla");
    work.context.set_key_id("k1");
    work.context.set_remaining_ms(60'000);
    Feed("node-0", work);
  }
  ASSERT_EQ(node.status().in_flight, 1u);
  ASSERT_EQ(node.status().queued, 1u);
  SplitBundle next = operators_.Signed(WithoutKeys(), 2);
  wire::PeerMessage message;
  message.mutable_bundle_head()->set_version(2);
  message.mutable_bundle_head()->set_document(FormatBundleHead(next.head));
  Feed("node-0", PeerMessageReceived{"node-1", "node-1:1", 1, message});
  EXPECT_EQ(VersionAt("node-0"), 2u);
  std::vector<std::pair<WorkId, Reason>> rejected;
  for (const auto& effect : effects_["node-0"]) {
    if (const auto* reject = std::get_if<RejectWork>(&effect))
      rejected.emplace_back(reject->work, reject->refusal.reason);
  }
  ASSERT_EQ(rejected.size(), 1u);
  EXPECT_EQ(rejected[0], std::pair(WorkId{2}, Reason::kKeyUnknown));
  EXPECT_EQ(node.status().in_flight, 1u);
  EXPECT_EQ(node.status().queued, 0u);
}

// Guards against sending a retry after the key of the call was withdrawn.
TEST_F(ReducerBundleTest, WithdrawnKeyStopsRetries) {
  Add("node-0");
  Add("node-1");
  AnswerMemberReads();
  AnswerBundleReads("node-0", operators_.Signed(kBundle, 1));
  CallArrived call{CallId{7}, {}};
  call.request.method = "GET";
  call.request.request_target = "/x";
  call.request.key = PresentedKey{"k1", std::string(64, '0')};
  Feed("node-0", call);
  GrantShares("node-0", "node-1");
  ASSERT_TRUE(std::ranges::any_of(effects_["node-0"], [](const auto& effect) {
    return std::holds_alternative<Dispatch>(effect);
  }));
  std::string head(kBundleHeadKey);
  SplitBundle next = operators_.Signed(WithoutKeys(), 2);
  wire::PeerMessage message;
  message.mutable_bundle_head()->set_version(2);
  message.mutable_bundle_head()->set_document(FormatBundleHead(next.head));
  Feed("node-0", PeerMessageReceived{"node-1", "node-1:1", 1, message});
  AttemptEnded ended{CallId{7}, 1, AttemptResult::kNotSent};
  effects_["node-0"].clear();
  Feed("node-0", ended);
  const RefuseCall* refused = nullptr;
  for (const auto& effect : effects_["node-0"]) {
    EXPECT_FALSE(std::holds_alternative<Dispatch>(effect));
    if (const auto* refuse = std::get_if<RefuseCall>(&effect))
      refused = refuse;
  }
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->refusal.reason, Reason::kKeyUnknown);
  EXPECT_EQ(refused->refusal.outcome, Outcome::kNotRun);
}

}  // namespace
}  // namespace comfreylock
