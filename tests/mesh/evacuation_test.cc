#include "mesh/mesh_reducer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

#include "mesh/frame_check.h"

/// Evacuation of a zone: the decisions of one reducer, event by event.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Zones = std::set<std::string>;

class EvacuationTest : public testing::Test {
 protected:
  EvacuationTest() {
    identity_.node = "here";
    identity_.service = "shop";
    identity_.zone = "a";
    identity_.peer_address = "127.0.0.1:1";
    identity_.target_address = "127.0.0.1:2";
    identity_.bounds.max_evacuation_delay = 5000ms;
  }

  /// Starts the node and answers the read of its target's record.
  void Start() {
    node_ = std::make_unique<MeshReducer>(identity_, now_);
    auto config = std::make_shared<FleetConfig>();
    config->version = 5;
    Route read{"read", "/read/", {{"shop", 1}}, true, true};
    read.timeout = 2000ms;
    config->hosts["h"] = {read};
    config->services = {"shop"};
    Feed(ConfigRead{config, now_});
    for (const auto& call : All<CallStore>(Feed(Tick{}))) {
      const auto* range = std::get_if<StoreRange>(&call.request);
      if (range && range->key.starts_with("comfreylock/targets/"))
        Feed(StoreReplied{call.call, StoreRangeResult()});
    }
  }

  void StartWithTarget(uint32_t slots = 4) {
    Start();
    Feed(EvacuationsRead{0, 10, {}});
    Report(slots);
  }

  Effects Feed(EventBody event) {
    return node_->Reduce({now_, std::move(event)});
  }

  Effects Advance(milliseconds time) {
    now_ += time;
    return Feed(Tick{});
  }

  template <typename T>
  static std::vector<T> All(const Effects& effects) {
    std::vector<T> found;
    for (const Effect& effect : effects) {
      if (const T* item = std::get_if<T>(&effect))
        found.push_back(*item);
    }
    return found;
  }

  void Report(uint32_t slots = 4) {
    TargetReport report;
    report.id = "i1";
    report.service = "shop";
    report.address = "127.0.0.1:2";
    report.slots = slots;
    report.started_at_ms = 1;
    report.sequence = ++sequence_;
    Feed(TargetReported{report, CallId()});
  }

  Effects SendCall() {
    RequestArrived event;
    event.call = CallId{++calls_};
    event.request.host = "h";
    event.request.deadline = 1000ms;
    event.request.forward = std::make_shared<wire::Forward>();
    event.request.forward->set_request_id("r" + std::to_string(calls_));
    event.request.forward->set_path("/read/1");
    return Feed(std::move(event));
  }

  /// Opens a link from another node.
  Effects Accept(LinkId link) {
    wire::Hello hello;
    hello.set_node("caller");
    hello.set_zone("b");
    return Feed(LinkOpened{link, hello, true});
  }

  Effects SendForwardFrom(LinkId link, uint64_t stream) {
    auto frame = std::make_shared<wire::Frame>();
    wire::Forward* forward = frame->mutable_forward();
    forward->set_stream(stream);
    forward->set_service("shop");
    forward->set_request_id("f" + std::to_string(stream));
    forward->set_remaining_ms(1000);
    forward->set_useful_ms(1000);
    return Feed(FrameReceived{link, frame});
  }

  /// Connects this node to another one in `zone`, which serves the service.
  LinkId Connect(const std::string& name, const std::string& zone) {
    wire::Hello hello;
    hello.set_node(name);
    hello.set_service("shop");
    hello.set_zone(zone);
    hello.set_boot(1);
    hello.set_address("127.0.0." + std::to_string(++nodes_) + ":1");
    Feed(LinkOpened{LinkId{1000 + nodes_}, hello, true});
    LinkId link = All<OpenLink>(Advance(10ms)).at(0).link;
    Feed(LinkOpened{link, hello, false});
    wire::Load load;
    SendLoad(link, load);
    return link;
  }

  Effects SendLoad(LinkId link, wire::Load load) {
    load.set_serving(true);
    load.set_slots(10);
    load.set_service("shop");
    auto frame = std::make_shared<wire::Frame>();
    *frame->mutable_load() = std::move(load);
    return Feed(FrameReceived{link, frame});
  }

  static wire::Load LoadWith(uint64_t era,
                             uint64_t revision,
                             const Zones& zones) {
    wire::Load load;
    wire::Evacuations* evacuations = load.mutable_evacuations();
    evacuations->set_era(era);
    evacuations->set_revision(revision);
    evacuations->set_has_zones(true);
    for (const std::string& zone : zones)
      evacuations->add_zones(zone);
    return load;
  }

  /// @return the loads sent on a link.
  static std::vector<wire::Load> LoadsOn(LinkId link, const Effects& effects) {
    std::vector<wire::Load> loads;
    for (const SendFrame& send : All<SendFrame>(effects)) {
      if (send.link == link && send.frame->has_load())
        loads.push_back(send.frame->load());
    }
    return loads;
  }

  static std::vector<wire::Outcome> Outcomes(const Effects& effects) {
    std::vector<wire::Outcome> outcomes;
    for (const SendFrame& send : All<SendFrame>(effects)) {
      if (send.frame->has_outcome())
        outcomes.push_back(send.frame->outcome());
    }
    return outcomes;
  }

  static TargetResult Answered() {
    TargetResult result;
    result.kind = TargetResult::Kind::kAnswered;
    result.success = true;
    result.status = 200;
    return result;
  }

  Zones EvacuatedZones() const { return node_->StatusAt(now_).evacuated_zones; }

  NodeIdentity identity_;
  std::unique_ptr<MeshReducer> node_;
  TimePoint now_{100s};
  uint64_t calls_ = 0;
  uint64_t sequence_ = 0;
  uint64_t nodes_ = 1;
};

// Guards against requests that reach a target of an evacuated zone: from this
// node's own callers and from other nodes.
TEST_F(EvacuationTest, TargetOfEvacuatedZoneGetsNoNewRequests) {
  StartWithTarget();
  LinkId link{50};
  Accept(link);
  ASSERT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
  auto loads = LoadsOn(link, Feed(EvacuationsRead{0, 20, {"a"}}));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_FALSE(loads[0].serving());
  Effects own = SendCall();
  EXPECT_TRUE(All<RunOnTarget>(own).empty());
  ASSERT_EQ(All<RefuseCall>(own).size(), 1u);
  EXPECT_EQ(All<RefuseCall>(own)[0].reason, Reason::kNoTarget);
  EXPECT_TRUE(All<RefuseCall>(own)[0].not_run);
  EXPECT_GT(All<RefuseCall>(own)[0].retry_after, 0ms);
  Effects forwarded = SendForwardFrom(link, 1);
  EXPECT_TRUE(All<RunOnTarget>(forwarded).empty());
  ASSERT_EQ(Outcomes(forwarded).size(), 1u);
  EXPECT_EQ(Outcomes(forwarded)[0].kind(), wire::Outcome::NOT_RUN);
  // The end of the evacuation returns the target to service.
  loads = LoadsOn(link, Feed(EvacuationsRead{0, 30, {}}));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_TRUE(loads[0].serving());
  EXPECT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
}

// Guards against an evacuation that cuts running requests, or that starts those
// that waited before it.
TEST_F(EvacuationTest, RunningRequestsFinishAndQueuedOnesAreRefused) {
  StartWithTarget(1);
  LinkId link{50};
  Accept(link);
  auto running = All<RunOnTarget>(SendForwardFrom(link, 1));
  ASSERT_EQ(running.size(), 1u);
  ASSERT_TRUE(All<RunOnTarget>(SendForwardFrom(link, 2)).empty());
  Effects effects = Feed(EvacuationsRead{0, 20, {"a"}});
  EXPECT_TRUE(All<AbortOnTarget>(effects).empty());
  ASSERT_EQ(Outcomes(effects).size(), 1u);
  EXPECT_EQ(Outcomes(effects)[0].stream(), 2u);
  EXPECT_EQ(Outcomes(effects)[0].kind(), wire::Outcome::NOT_RUN);
  effects = Feed(TargetAnswered{running[0].work, Answered()});
  EXPECT_TRUE(All<RunOnTarget>(effects).empty());
  ASSERT_EQ(Outcomes(effects).size(), 1u);
  EXPECT_EQ(Outcomes(effects)[0].kind(), wire::Outcome::ANSWERED);
}

// Guards against targets that get requests until their node's next load report
// arrives.
TEST_F(EvacuationTest, EntryNodeSkipsTargetsOfEvacuatedZones) {
  Start();
  Feed(EvacuationsRead{0, 10, {}});
  LinkId in_b = Connect("b1", "b");
  LinkId in_c = Connect("c1", "c");
  Feed(EvacuationsRead{0, 20, {"b"}});
  for (int i = 0; i < 20; ++i) {
    auto sent = All<SendForward>(SendCall());
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].link, in_c);
  }
  // A load report that was sent before the evacuation changes nothing.
  SendLoad(in_b, wire::Load());
  EXPECT_EQ(All<SendForward>(SendCall()).at(0).link, in_c);
  Feed(EvacuationsRead{0, 21, {"b", "c"}});
  auto refused = All<RefuseCall>(SendCall());
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].reason, Reason::kNoTarget);
  EXPECT_TRUE(refused[0].not_run);
  EXPECT_GT(refused[0].retry_after, 0ms);
}

// Guards against late news that undo newer ones, and against an end of an
// evacuation that is not passed on because its set is empty.
TEST_F(EvacuationTest, SetOfHigherEraAndRevisionWins) {
  StartWithTarget();
  LinkId link = Connect("b1", "b");
  SendLoad(link, LoadWith(0, 20, {"a"}));
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  SendLoad(link, LoadWith(0, 15, {}));
  Feed(EvacuationsRead{0, 12, {"b"}});
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  SendLoad(link, LoadWith(0, 30, {}));
  EXPECT_EQ(EvacuatedZones(), Zones{});
  EXPECT_EQ(
      All<RunOnTarget>(SendCall()).size() + All<SendForward>(SendCall()).size(),
      1u);
  // The store was restored to an older state, in which its revisions go back.
  SendLoad(link, LoadWith(1, 8, {"b"}));
  EXPECT_EQ(EvacuatedZones(), Zones{"b"});
  SendLoad(link, LoadWith(0, 40, {}));
  EXPECT_EQ(EvacuatedZones(), Zones{"b"});
}

// Guards against a load report without the set, as nodes send while it is
// unchanged and as earlier releases send it, that ends an evacuation.
TEST_F(EvacuationTest, LoadWithoutSetChangesNothing) {
  StartWithTarget();
  LinkId link = Connect("b1", "b");
  SendLoad(link, LoadWith(0, 20, {"a"}));
  SendLoad(link, wire::Load());
  wire::Load load;
  load.mutable_evacuations()->set_revision(25);
  SendLoad(link, load);
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  EXPECT_EQ(node_->StatusAt(now_).evacuations_revision, 20u);
}

// Guards against a set that reaches only the nodes that read the store, and
// against loads that carry the set over and over.
TEST_F(EvacuationTest, SetIsPassedOnOncePerLink) {
  StartWithTarget();
  LinkId first{50};
  auto loads = LoadsOn(first, Accept(first));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_TRUE(loads[0].evacuations().has_zones());
  EXPECT_EQ(loads[0].evacuations().revision(), 10u);
  loads = LoadsOn(first, Feed(EvacuationsRead{2, 20, {"b"}}));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads[0].evacuations().era(), 2u);
  EXPECT_EQ(loads[0].evacuations().revision(), 20u);
  ASSERT_EQ(loads[0].evacuations().zones_size(), 1);
  EXPECT_EQ(loads[0].evacuations().zones(0), "b");
  loads = LoadsOn(first, Advance(1500ms));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_EQ(loads[0].evacuations().revision(), 20u);
  EXPECT_FALSE(loads[0].evacuations().has_zones());
  LinkId second{51};
  loads = LoadsOn(second, Accept(second));
  ASSERT_EQ(loads.size(), 1u);
  EXPECT_TRUE(loads[0].evacuations().has_zones());
}

// Guards against a node that restarts during an evacuation and serves its
// target until it learns of it.
TEST_F(EvacuationTest, StartingNodeServesOnlyOnceTheSetIsKnown) {
  Start();
  Report();
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
  Feed(EvacuationsRead{0, 10, {"a"}});
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
  Start();
  Report();
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
  Feed(EvacuationsRead{0, 10, {"b"}});
  EXPECT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
}

// Guards against an evacuation that ends because nobody reaches the store.
TEST_F(EvacuationTest, WithoutNewsTheLastSetIsKept) {
  StartWithTarget();
  Feed(EvacuationsRead{0, 20, {"a"}});
  for (int i = 0; i < 60; ++i) {
    Advance(500ms);
    Report();
  }
  EXPECT_EQ(EvacuatedZones(), Zones{"a"});
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
}

// Without the bound in the settings, nodes neither wait for a set nor use one.
TEST_F(EvacuationTest, DisabledWithoutBound) {
  identity_.bounds.max_evacuation_delay = 0ms;
  Start();
  Report();
  EXPECT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
  Feed(EvacuationsRead{0, 20, {"a"}});
  EXPECT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
  EXPECT_EQ(EvacuatedZones(), Zones{});
}

// Guards against a node that serves without knowing the zones after its
// settings enabled evacuations, and against one that keeps them afterwards.
TEST_F(EvacuationTest, ChangedSettingsEnableAndDisable) {
  NodeBounds enabled = identity_.bounds;
  identity_.bounds.max_evacuation_delay = 0ms;
  Start();
  Report();
  node_->Reconfigure(enabled, "shop");
  EXPECT_TRUE(node_->StatusAt(now_).follows_evacuations);
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
  Feed(EvacuationsRead{0, 20, {"a"}});
  EXPECT_TRUE(All<RunOnTarget>(SendCall()).empty());
  node_->Reconfigure(identity_.bounds, "shop");
  Advance(10ms);
  EXPECT_EQ(All<RunOnTarget>(SendCall()).size(), 1u);
}

// Guards against a faulty peer whose set would hide all later ones.
TEST(EvacuationFrameTest, RevisionThatNoStoreReachesIsRejected) {
  wire::Frame frame;
  frame.mutable_load()->mutable_evacuations()->set_revision(1u << 30);
  EXPECT_NO_THROW(CheckFrame(frame));
  frame.mutable_load()->mutable_evacuations()->set_revision(
      std::numeric_limits<uint64_t>::max());
  EXPECT_THROW(CheckFrame(frame), InputError);
  wire::Frame outcome;
  outcome.mutable_outcome()->set_kind(wire::Outcome::NOT_RUN);
  *outcome.mutable_outcome()->mutable_load() = frame.load();
  EXPECT_THROW(CheckFrame(outcome), InputError);
}

// An operator sees from the log when a zone was evacuated and by which
// revision.
TEST_F(EvacuationTest, LogsZonesThatEnterAndLeave) {
  StartWithTarget();
  auto lines = All<WriteLogLine>(Feed(EvacuationsRead{0, 20, {"a", "b"}}));
  EXPECT_EQ(std::ranges::count(lines, LogCode::kEvacuationEntered,
                               &WriteLogLine::code),
            2);
  lines = All<WriteLogLine>(Feed(EvacuationsRead{0, 21, {"a", "b"}}));
  EXPECT_TRUE(lines.empty());
  lines = All<WriteLogLine>(Feed(EvacuationsRead{0, 30, {"b"}}));
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0].code, LogCode::kEvacuationLeft);
  EXPECT_EQ(lines[0].fields[0],
            std::pair(std::string("zone"), std::string("a")));
}

}  // namespace
}  // namespace comfreylock::mesh
