#include "mesh/mesh_reducer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>

/// Links of several reducers while nodes leave for good, and other nodes take
/// over their addresses.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr uint64_t kAcceptedLinkBit = uint64_t{1} << 63;
constexpr milliseconds kLinkDelay = 1ms;
constexpr milliseconds kTimeStep = 10ms;
constexpr std::chrono::seconds kRecordTtl{9};
constexpr milliseconds kReportInterval = 1500ms;
constexpr uint32_t kSlots = 10;

/// What one node did since the counters were last reset.
struct Traffic {
  int links_opened = 0;
  int frames = 0;
  size_t bytes = 0;
  int forwards = 0;
  int configs = 0;
  int log_lines = 0;
};

/// Real reducers whose links lead to the node that listens at an address at the
/// time, on one virtual clock, and a store whose reads may be old.
class ReusedAddressTest : public testing::Test {
 protected:
  struct Node {
    NodeIdentity identity;
    std::unique_ptr<MeshReducer> reducer;
    bool running = true;
    std::vector<OpenLink> opened;
    std::map<std::string, int> lost_reasons;
    std::map<std::string, int> retry_reasons;
    bool target_refuses = false;  ///< Nothing listens at the target's address.
    std::vector<RefuseCall> refused;
    std::vector<DeliverAnswer> answered;
    Traffic traffic;
  };
  /// A node and the id by which it knows a link.
  using End = std::pair<Node*, uint64_t>;
  struct Action {
    TimePoint time;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Action& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct Record {
    std::string node;
    std::string value;
    TimePoint from;
    TimePoint until;
  };

  /// Starts a node that listens at `address`; another one that was there has
  /// left before.
  Node& Start(const std::string& name,
              const std::string& address,
              uint64_t incarnation = 1) {
    auto node = std::make_unique<Node>();
    node->identity.node = name;
    node->identity.service = "shop";
    node->identity.zone = "a";
    node->identity.peer_address = address;
    node->identity.target_address = "127.0.0.1:9";
    node->identity.incarnation = incarnation;
    node->identity.seed = nodes_.size() + 1;
    node->reducer = std::make_unique<MeshReducer>(node->identity, now_);
    nodes_.push_back(std::move(node));
    Node& started = *nodes_.back();
    listeners_[address] = &started;
    WriteRecord(started);
    Feed(started, ConfigRead{config_, now_});
    Feed(started, Tick{});
    Report(started, kSlots);
    return started;
  }

  void Report(Node& node, uint32_t slots) {
    TargetReport report;
    report.id = "target-" + node.identity.node;
    report.service = "shop";
    report.address = node.identity.target_address;
    report.slots = slots;
    report.sequence = ++sequence_;
    report.started_at_ms = 1;
    Feed(node, TargetReported{report});
  }

  void WriteRecord(const Node& node) {
    wire::NodeRecord record;
    record.mutable_node()->set_node(node.identity.node);
    record.mutable_node()->set_service("shop");
    record.mutable_node()->set_zone("a");
    record.mutable_node()->set_boot(node.identity.incarnation);
    record.set_address(node.identity.peer_address);
    for (Record& earlier : records_) {
      if (earlier.node == node.identity.node)
        earlier.until = std::min(earlier.until, now_);
    }
    records_.push_back({node.identity.node, record.SerializeAsString(), now_,
                        TimePoint::max()});
  }

  /// Ends a connection of which neither side has decided to end it.
  void BreakLink(End end) {
    CloseEnd(end);
    Schedule([this, end] { Feed(*end.first, LinkClosed{LinkId{end.second}}); });
  }

  /// The host is lost: its connections end, and its record expires later.
  void Lose(Node& node) {
    node.running = false;
    if (listeners_[node.identity.peer_address] == &node)
      listeners_.erase(node.identity.peer_address);
    for (Record& record : records_) {
      if (record.node == node.identity.node)
        record.until = std::min(record.until, now_ + kRecordTtl);
    }
    CloseLinksOf(node);
  }

  void CloseLinksOf(const Node& node) {
    auto links = ends_;
    for (const auto& [end, other] : links) {
      if (end.first == &node)
        BreakLink(end);
    }
  }

  /// Ends a connection; the other side is told a moment later.
  void CloseEnd(End end) {
    auto found = ends_.find(end);
    if (found == ends_.end())
      return;
    End other = found->second;
    ends_.erase(found);
    ends_.erase(other);
    Schedule([this, other] {
      Feed(*other.first, LinkClosed{LinkId{other.second}});
    });
  }

  void Schedule(std::function<void()> action) {
    actions_.push({now_ + kLinkDelay, ++order_, std::move(action)});
  }

  /// Carries out what is due within a few link delays, without a tick.
  void RunPendingActions() {
    TimePoint end = now_ + 4 * kLinkDelay;
    while (!actions_.empty() && actions_.top().time <= end) {
      Action action = actions_.top();
      actions_.pop();
      now_ = std::max(now_, action.time);
      action.action();
    }
  }

  void Run(milliseconds time) {
    TimePoint end = now_ + time;
    while (now_ < end) {
      TimePoint next = now_ + kTimeStep;
      while (!actions_.empty() && actions_.top().time <= next) {
        Action action = actions_.top();
        actions_.pop();
        now_ = std::max(now_, action.time);
        action.action();
      }
      now_ = next;
      bool report_due = now_ >= next_report_at_;
      if (report_due)
        next_report_at_ = now_ + kReportInterval;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (report_due)
          Report(*nodes_[i], kSlots);
        Feed(*nodes_[i], ConfigRead{nullptr, now_});
        Feed(*nodes_[i], Tick{});
      }
    }
  }

  void Feed(Node& node, EventBody event) {
    if (!node.running)
      return;
    for (Effect& effect : node.reducer->Reduce({now_, std::move(event)}))
      Apply(node, effect);
  }

  static wire::Hello HelloOf(const Node& node) {
    wire::Hello hello;
    hello.set_node(node.identity.node);
    hello.set_service("shop");
    hello.set_zone("a");
    hello.set_boot(node.identity.incarnation);
    hello.set_address(node.identity.peer_address);
    return hello;
  }

  void CountFrame(Node& node, const wire::Frame& frame) {
    ++node.traffic.frames;
    node.traffic.bytes += frame.ByteSizeLong();
    node.traffic.configs += frame.has_config_text() ? 1 : 0;
  }

  void Open(Node& node, const OpenLink& open) {
    node.opened.push_back(open);
    ++node.traffic.links_opened;
    Schedule([this, &node, open] {
      auto listener = listeners_.find(open.address);
      if (!node.running)
        return;
      if (listener == listeners_.end() || cut_) {
        Feed(node, LinkClosed{open.link});
        return;
      }
      Node& peer = *listener->second;
      End end{&node, open.link.value};
      End accepted{&peer, kAcceptedLinkBit | ++last_accepted_};
      ends_[end] = accepted;
      ends_[accepted] = end;
      wire::Frame hello;
      *hello.mutable_hello() = HelloOf(node);
      CountFrame(node, hello);
      Feed(peer, LinkOpened{LinkId{accepted.second}, hello.hello(), true});
      *hello.mutable_hello() = HelloOf(peer);
      CountFrame(peer, hello);
      Feed(node, LinkOpened{open.link, hello.hello(), false});
      if (closes_at_once_ == &peer)
        BreakLink(accepted);
    });
  }

  void SendOn(End end, std::shared_ptr<wire::Frame> frame) {
    CountFrame(*end.first, *frame);
    auto found = ends_.find(end);
    if (found == ends_.end())
      return;
    End other = found->second;
    Schedule([this, other, frame] {
      if (ends_.contains(other))
        Feed(*other.first, FrameReceived{LinkId{other.second}, frame});
    });
  }

  void Apply(Node& node, Effect& effect) {
    if (const auto* store_call = std::get_if<CallStore>(&effect)) {
      AnswerStore(node, *store_call);
    } else if (const auto* open = std::get_if<OpenLink>(&effect)) {
      Open(node, *open);
    } else if (const auto* close = std::get_if<CloseLink>(&effect)) {
      CloseEnd({&node, close->link.value});
    } else if (const auto* send = std::get_if<SendFrame>(&effect)) {
      SendOn({&node, send->link.value},
             std::make_shared<wire::Frame>(*send->frame));
    } else if (const auto* forward = std::get_if<SendForward>(&effect)) {
      ++node.traffic.forwards;
      auto frame = std::make_shared<wire::Frame>();
      *frame->mutable_forward() = *forward->forward;
      SendOn({&node, forward->link.value}, frame);
    } else if (const auto* run = std::get_if<RunOnTarget>(&effect)) {
      TargetAnswered answer{run->work, {}};
      answer.result.kind = TargetResult::Kind::kAnswered;
      answer.result.success = true;
      answer.result.status = 200;
      if (node.target_refuses) {
        answer.result = TargetResult();
        answer.result.kind = TargetResult::Kind::kNotSent;
        answer.result.connection_refused = true;
      }
      Schedule([this, &node, answer] { Feed(node, answer); });
    } else if (const auto* refuse = std::get_if<RefuseCall>(&effect)) {
      node.refused.push_back(*refuse);
    } else if (const auto* deliver = std::get_if<DeliverAnswer>(&effect)) {
      node.answered.push_back(*deliver);
    } else if (const auto* line = std::get_if<WriteLogLine>(&effect)) {
      ++node.traffic.log_lines;
      for (const auto& [key, value] : line->fields) {
        if (line->code == LogCode::kLinkLost && key == "reason")
          ++node.lost_reasons[value];
        if (line->code == LogCode::kCallRetried && key == "reason")
          ++node.retry_reasons[value];
      }
    }
  }

  /// Serializable reads return the records of `read_age_` ago.
  void AnswerStore(Node& node, const CallStore& store_call) {
    StoreResult result = StoreTransactionResult{true, 1};
    if (const auto* range = std::get_if<StoreRange>(&store_call.request)) {
      StoreRangeResult found;
      TimePoint at = range->serializable ? now_ - read_age_ : now_;
      for (const Record& record : records_) {
        if (!range->range_end.empty() && record.from <= at && at < record.until)
          found.entries.push_back(
              {"comfreylock/nodes/" + record.node, record.value});
      }
      result = found;
    } else if (!std::holds_alternative<StoreTransaction>(store_call.request)) {
      result = StoreLeaseResult{1, kRecordTtl};
    }
    StoreRequestId call = store_call.call;
    Schedule([this, &node, call, result] {
      Feed(node, StoreReplied{call, result});
    });
  }

  void SendCall(Node& node, std::string body = "") {
    RequestArrived event;
    event.call = CallId{++calls_};
    event.request.host = "h";
    event.request.key = "key";
    event.request.deadline = 1000ms;
    event.request.forward = std::make_shared<wire::Forward>();
    event.request.forward->set_request_id("r" + std::to_string(calls_));
    event.request.forward->set_method("GET");
    event.request.forward->set_path("/read/1");
    event.request.forward->set_body(std::move(body));
    Feed(node, std::move(event));
  }

  static std::shared_ptr<FleetConfig> MakeConfig(uint64_t version) {
    auto config = std::make_shared<FleetConfig>();
    config->version = version;
    Route read{"read", "/read/", {{"shop", 1}}, true};
    read.max_attempts = 2;
    read.timeout = 2000ms;
    config->hosts["h"] = {read};
    config->services = {"shop"};
    config->organisations["acme"] = {"acme"};
    config->keys["key"] = "acme";
    return config;
  }

  void ResetTraffic() {
    for (auto& node : nodes_)
      node->traffic = Traffic();
  }

  /// @return whether `node` has an open link of its own to `peer`.
  bool IsLinked(Node& node, Node& peer) const {
    return std::ranges::any_of(node.opened, [&](const OpenLink& open) {
      auto end = ends_.find({&node, open.link.value});
      return end != ends_.end() && end->second.first == &peer;
    });
  }

  TimePoint now_{100s};
  std::shared_ptr<FleetConfig> config_ = MakeConfig(5);
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, Node*> listeners_;
  std::vector<Record> records_;
  std::map<End, End> ends_;
  std::priority_queue<Action> actions_;
  TimePoint next_report_at_;
  milliseconds read_age_{0};
  bool cut_ = false;  ///< No connection can be made.
  /// Closes each link that it accepts.
  const Node* closes_at_once_ = nullptr;
  uint64_t order_ = 0;
  uint64_t last_accepted_ = 0;
  uint64_t sequence_ = 0;
  uint64_t calls_ = 0;
};

constexpr const char* kAddressA = "127.0.0.1:1";
constexpr const char* kAddressB = "127.0.0.1:2";
constexpr const char* kAddressC = "127.0.0.1:3";

// A node leaves for good and another one takes its address. Guards against
// links that are opened and lost again on every tick by each node that knew the
// one that left, with a Hello and a load report each time, and against the
// member staying for good.
TEST_F(ReusedAddressTest, LinkTrafficStaysBounded) {
  Node& opener = Start("opener", kAddressA);
  Node& gone = Start("gone", kAddressB);
  Run(5s);
  Lose(gone);
  Run(500ms);
  Node& heir = Start("heir", kAddressB);
  Run(1s);
  ResetTraffic();
  constexpr int kSeconds = 20;
  Run(kSeconds * 1s);
  // Loads five times a second on the one link that the other node opened, and
  // demand as often.
  constexpr int kMaxFrames = kSeconds * 15;
  constexpr size_t kMaxFrameBytes = 100;
  for (const Node* node : {&opener, &heir}) {
    EXPECT_LE(node->traffic.links_opened, 1) << node->identity.node;
    EXPECT_LE(node->traffic.frames, kMaxFrames) << node->identity.node;
    EXPECT_LE(node->traffic.bytes, kMaxFrames * kMaxFrameBytes);
    EXPECT_LE(node->traffic.log_lines, 3) << node->identity.node;
    EXPECT_EQ(node->reducer->StatusAt(now_).members, 1u);
  }
  EXPECT_TRUE(IsLinked(opener, heir));
  EXPECT_TRUE(IsLinked(heir, opener));
  EXPECT_EQ(opener.lost_reasons["closed"], 1);
  EXPECT_EQ(opener.lost_reasons["wrong_peer"], 1);
  // The new node reads the record of the one that left, which has its address.
  EXPECT_EQ(heir.lost_reasons["wrong_peer"], 1);
  NodeStatus status = opener.reducer->StatusAt(now_);
  EXPECT_EQ(status.links_lost.at(static_cast<size_t>(LinkEnd::kWrongPeer)), 1u);
  EXPECT_EQ(status.links_opened, 2u);
}

// Serializable reads of the records may be some seconds old. Guards against a
// node that is gone being added again by each of them.
TEST_F(ReusedAddressTest, OldReadDoesNotBringNodeBack) {
  Node& opener = Start("opener", kAddressA);
  Node& gone = Start("gone", kAddressB);
  // Unreachable, so that the records are read again every few seconds.
  Node& other = Start("other", kAddressC);
  Run(5s);
  read_age_ = 8000ms;
  Lose(gone);
  listeners_.erase(kAddressC);
  CloseLinksOf(other);
  Start("heir", kAddressB);
  Run(1s);
  ResetTraffic();
  opener.opened.clear();
  Run(25s);
  auto opens = std::ranges::count(opener.opened, kAddressB, &OpenLink::address);
  EXPECT_LE(opens, 1);
}

// Guards against a node that stays unknown after another one has used its
// address for a time.
TEST_F(ReusedAddressTest, NodeThatReturnsIsLinkedAgain) {
  Node& opener = Start("opener", kAddressA);
  Node& gone = Start("node", kAddressB);
  Run(5s);
  Lose(gone);
  Node& heir = Start("heir", kAddressB);
  Run(2s);
  Node& elsewhere = Start("node", kAddressC, 2);
  Run(300ms);
  EXPECT_TRUE(IsLinked(opener, elsewhere));
  Lose(elsewhere);
  Lose(heir);
  Run(1s);
  Node& back = Start("node", kAddressB, 3);
  Run(300ms);
  EXPECT_TRUE(IsLinked(opener, back));
  EXPECT_TRUE(IsLinked(back, opener));
}

// Two nodes use one address for a moment, and the earlier one keeps running and
// links to this one. Guards against a node that stays unknown although its
// Hello says that it runs.
TEST_F(ReusedAddressTest, HelloOfRemovedNodeAddsItAgain) {
  Node& opener = Start("opener", kAddressA);
  Node& node = Start("node", kAddressB);
  Run(5s);
  Node& other = Start("other", kAddressB);
  CloseLinksOf(node);
  Run(1s);
  EXPECT_EQ(opener.lost_reasons["wrong_peer"], 1);
  Lose(other);
  listeners_[kAddressB] = &node;
  CloseLinksOf(node);
  Run(2500ms);
  EXPECT_TRUE(IsLinked(opener, node));
  EXPECT_TRUE(IsLinked(node, opener));
}

// Rolling restart: the node comes back at its address within a second.
TEST_F(ReusedAddressTest, RestartedNodeIsLinkedAtOnce) {
  Node& opener = Start("opener", kAddressA);
  Node& first = Start("node", kAddressB);
  Run(5s);
  Lose(first);
  Run(1s);
  Node& second = Start("node", kAddressB, 2);
  Run(300ms);
  EXPECT_TRUE(IsLinked(opener, second));
  EXPECT_TRUE(IsLinked(second, opener));
  // Connections were refused several times, which is logged once.
  EXPECT_EQ(opener.lost_reasons["refused"], 1);
  EXPECT_EQ(opener.lost_reasons["closed"], 1);
  NodeStatus status = opener.reducer->StatusAt(now_);
  EXPECT_GE(status.links_lost.at(static_cast<size_t>(LinkEnd::kRefused)), 2u);
}

// All connections fail for some seconds, and both nodes keep running. Each of
// them tries again at least every 2 s.
TEST_F(ReusedAddressTest, NodesAreLinkedAgainAfterNetworkCut) {
  Node& opener = Start("opener", kAddressA);
  Node& peer = Start("peer", kAddressB);
  Run(5s);
  cut_ = true;
  CloseLinksOf(peer);
  Run(6s);
  cut_ = false;
  Run(2200ms);
  EXPECT_TRUE(IsLinked(opener, peer));
  EXPECT_TRUE(IsLinked(peer, opener));
}

// A process accepts links, names itself correctly and closes them. Guards
// against a delay between attempts that each such link resets.
TEST_F(ReusedAddressTest, LinksThatEndAtOnceAreOpenedLessOften) {
  Node& opener = Start("opener", kAddressA);
  Node& peer = Start("peer", kAddressB);
  Run(5s);
  closes_at_once_ = &peer;
  CloseLinksOf(peer);
  Run(5s);
  ResetTraffic();
  Run(20s);
  EXPECT_LE(opener.traffic.links_opened, 12);
  EXPECT_LE(peer.traffic.links_opened, 12);
  closes_at_once_ = nullptr;
  Run(2200ms);
  EXPECT_TRUE(IsLinked(opener, peer));
}

// Requests arrive while the only other target's host is lost and its address
// is reused. Each is answered, or refused as not run, after few placements.
TEST_F(ReusedAddressTest, RequestsArePlacedFewTimes) {
  Node& opener = Start("opener", kAddressA);
  Node& gone = Start("gone", kAddressB);
  Run(5s);
  opener.refused.clear();
  opener.answered.clear();
  ResetTraffic();
  uint64_t first = calls_;
  for (int i = 0; i < 100; ++i) {
    if (i == 20)
      Lose(gone);
    if (i == 40)
      Start("heir", kAddressB);
    for (int j = 0; j < 5; ++j)
      SendCall(opener);
    Run(50ms);
  }
  Run(1s);
  EXPECT_EQ(opener.refused.size() + opener.answered.size(), calls_ - first);
  EXPECT_GE(opener.answered.size(), (calls_ - first) * 9 / 10);
  EXPECT_LE(opener.traffic.forwards, 2 * static_cast<int>(calls_ - first));
  for (const RefuseCall& refuse : opener.refused)
    EXPECT_TRUE(refuse.not_run) << refuse.request_id;
}

// Guards against an earlier release's node that opens a link to this address
// every 50 ms, and costs this one a load report each time.
TEST_F(ReusedAddressTest, FrequentLinksOfOneNodeCostFewReports) {
  Node& node = Start("node", kAddressB);
  Run(1s);
  wire::Hello hello;
  hello.set_node("earlier");
  hello.set_address(kAddressC);
  ResetTraffic();
  for (int i = 0; i < 200; ++i) {
    LinkId link{kAcceptedLinkBit | ++last_accepted_};
    Feed(node, LinkOpened{link, hello, true});
    Feed(node, LinkClosed{link});
    Run(50ms);
  }
  EXPECT_LE(node.traffic.frames, 55);
}

// Many nodes ask for a large configuration at once, again and again. Guards
// against a queue of copies of it that grows with their number.
TEST_F(ReusedAddressTest, ConfigsHandedOnAreBounded) {
  constexpr size_t kConfigBytes = 300'000;
  constexpr int kPeers = 200;
  constexpr size_t kMaxBytesPerSecond = 5'000'000;
  auto config = MakeConfig(6);
  config->text = std::string(kConfigBytes, 'x');
  config_ = config;
  Node& node = Start("node", kAddressA);
  std::vector<LinkId> links;
  for (int i = 0; i < kPeers; ++i) {
    LinkId link{kAcceptedLinkBit | ++last_accepted_};
    wire::Hello hello;
    hello.set_node("peer" + std::to_string(i));
    Feed(node, LinkOpened{link, hello, true});
    links.push_back(link);
  }
  ResetTraffic();
  for (int i = 0; i < 10; ++i) {
    for (LinkId link : links) {
      auto wanted = std::make_shared<wire::Frame>();
      wanted->mutable_config_wanted()->set_version(5);
      Feed(node, FrameReceived{link, wanted});
    }
    Run(100ms);
  }
  EXPECT_GE(node.traffic.configs, 5);
  EXPECT_LE(node.traffic.configs * kConfigBytes, kMaxBytesPerSecond);
}

// A request with a large body is refused as not run by each target. Guards
// against sending it to six nodes, which takes longer than any deadline. A
// small one is still placed six times.
TEST_F(ReusedAddressTest, LargeBodyIsPlacedFewTimes) {
  Node& opener = Start("opener", kAddressA);
  for (int i = 2; i <= 8; ++i)
    Start("peer" + std::to_string(i), "127.0.0.1:" + std::to_string(i));
  Run(5s);
  ResetTraffic();
  for (auto& node : nodes_)
    node->target_refuses = true;
  SendCall(opener, std::string(50'000'000, 'x'));
  Run(100ms);
  EXPECT_GE(opener.traffic.forwards, 1);
  EXPECT_LE(opener.traffic.forwards, 2);
  ASSERT_EQ(opener.refused.size(), 1u);
  EXPECT_TRUE(opener.refused[0].not_run);
  // The targets are tried again after 1 s.
  Run(3s);
  ResetTraffic();
  SendCall(opener, "small");
  Run(100ms);
  EXPECT_GE(opener.traffic.forwards, 5);
  EXPECT_LE(opener.traffic.forwards, 6);
}

// The target of the entry node refuses connections. Guards against requests
// that are still placed there until the next tick, refused at once and placed
// again.
TEST_F(ReusedAddressTest, UnreachableTargetGetsNoFurtherPlacements) {
  Node& opener = Start("opener", kAddressA);
  Start("peer", kAddressB);
  Run(5s);
  opener.target_refuses = true;
  for (int i = 0; i < 40; ++i)
    SendCall(opener);
  RunPendingActions();
  EXPECT_GE(opener.retry_reasons["not_connected"], 1);
  opener.retry_reasons.clear();
  for (int i = 0; i < 40; ++i)
    SendCall(opener);
  EXPECT_EQ(opener.retry_reasons["no_target"], 0);
}

}  // namespace
}  // namespace comfreylock::mesh
