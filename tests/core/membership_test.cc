#include "comfreylock/membership.h"

#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace comfreylock {
namespace {

std::string Name(int i) {
  return "node-" + std::to_string(1000 + i);
}

wire::Member RecordFor(int i) {
  wire::Member record;
  record.set_node(Name(i));
  record.set_service("label-proofs");
  record.set_zone("zone-" + std::to_string(i % 3));
  record.set_peer_address("10.200.100." + std::to_string(i % 250) + ":40001");
  record.set_control_address("10.200.100." + std::to_string(i % 250) + ":" +
                             std::to_string(40002 + i));
  record.set_incarnation(1'790'000'000'000 + i);
  return record;
}

/// Size on the wire, with the envelope and its MAC.
size_t EnvelopeBytes(const wire::Member& sender, const SendToPeer& send) {
  wire::PeerEnvelope envelope;
  envelope.set_version(1);
  envelope.set_sender(sender.node());
  envelope.set_incarnation(sender.incarnation());
  envelope.set_sender_control_address(sender.control_address());
  envelope.set_payload(send.message.SerializeAsString());
  envelope.set_mac(std::string(32, 'x'));
  return envelope.ByteSizeLong();
}

/// Highest number of bytes per second that one of `count` idle nodes sends.
size_t IdleBytesPerSecond(int count) {
  TimePoint now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Membership>> nodes;
  std::map<std::string, size_t> by_address;
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<Membership>(
        RecordFor(i), std::vector<std::string>{}, i + 1, now));
    nodes[i]->SetBundleVersion(12345);
    nodes[i]->OnStoreReached(now);
    by_address[RecordFor(i).control_address()] = i;
    for (int j = 0; j < count; ++j)
      nodes[i]->UpdateFromStore(RecordFor(j), now);
  }
  constexpr int kSeconds = 30;
  TimePoint measure_from = now + 20s;
  std::vector<size_t> bytes(count);
  std::vector<std::pair<size_t, PeerMessageReceived>> in_flight;
  for (TimePoint end = measure_from + std::chrono::seconds(kSeconds); now < end;
       now += 10ms) {
    auto due = std::exchange(in_flight, {});
    auto send_messages = [&](size_t from, MembershipChanges changes) {
      const wire::Member& self = nodes[from]->self();
      for (auto& send : changes.messages) {
        if (now >= measure_from)
          bytes[from] += EnvelopeBytes(self, send);
        in_flight.push_back({by_address.at(send.control_address),
                             {self.node(), self.control_address(),
                              self.incarnation(), std::move(send.message)}});
      }
    };
    for (auto& [to, message] : due)
      send_messages(to, nodes[to]->Receive(message, now));
    for (int i = 0; i < count; ++i)
      send_messages(i, nodes[i]->Advance(now));
  }
  return *std::ranges::max_element(bytes) / kSeconds;
}

// Guards against control traffic that grows with the fleet.
TEST(MembershipTest, IdleTrafficIsBounded) {
  for (int count : {12, 200}) {
    size_t rate = IdleBytesPerSecond(count);
    RecordProperty("bytes_per_second_" + std::to_string(count),
                   std::to_string(rate));
    std::cout << count << " members: " << rate << " bytes/s\n";
    EXPECT_LT(rate, 3000u) << count;
    EXPECT_GT(rate, 100u) << count;
  }
}

// Guards against messages that grow with the fleet, also in the full sync that
// a joining node receives.
TEST(MembershipTest, MessageSizeIsBounded) {
  TimePoint now{std::chrono::hours(1)};
  Membership node(RecordFor(0), {}, 1, now);
  size_t sent = 0;
  auto check_messages = [&](const MembershipChanges& changes) {
    for (const auto& send : changes.messages) {
      EXPECT_LT(EnvelopeBytes(node.self(), send), 32u * 1024);
      const wire::Rumours* rumours = Membership::FindGossip(send.message);
      sent += rumours ? rumours->members_size() : 0;
    }
  };
  for (int i = 1; i < 2000; ++i) {
    PeerMessageReceived update{Name(1), "10.0.0.1:1", 1, {}};
    *update.message.mutable_rumours()->add_members() = RecordFor(i);
    check_messages(node.Receive(update, now));
  }
  for (int i = 0; i < 100; ++i, now += 10ms)
    check_messages(node.Advance(now));
  sent = 0;
  PeerMessageReceived sync_request{Name(2), "10.0.0.2:1", 1, {}};
  sync_request.message.mutable_rumours()->set_full_sync_request(true);
  check_messages(node.Receive(sync_request, now));
  EXPECT_EQ(sent, 2000u);
}

class FleetTest : public ::testing::Test {
 protected:
  void Start(FleetSimulation& simulation, int count) {
    for (int i = 0; i < count; ++i)
      simulation.Add(Name(i));
    simulation.Run(3s);
  }

  wire::MemberStatus StatusAt(FleetSimulation& simulation,
                              int observer,
                              int member) {
    const auto& members =
        simulation.hosts[Name(observer)].node->membership().members();
    auto found = members.find(Name(member));
    return found == members.end() ? wire::MEMBER_DEAD
                                  : found->second.record.status();
  }
};

// Guards against live members declared dead when messages are lost_fraction,
// duplicated, late and out of order, and against a dead member that is not
// detected.
TEST_F(FleetTest, LiveMembersSurviveMessageFaults) {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FleetSimulation simulation(seed);
    simulation.lost_fraction = 0.15;
    simulation.duplicated_fraction = 0.2;
    simulation.max_delay = 120ms;
    Start(simulation, 5);
    for (int step = 0; step < 600; ++step) {
      simulation.Run(100ms);
      for (int i = 0; i < 5; ++i) {
        for (int j = 0; j < 5; ++j) {
          if (i == j)
            continue;
          ASSERT_LT(StatusAt(simulation, i, j), wire::MEMBER_LEAVING) << seed;
        }
      }
    }
    simulation.hosts[Name(4)].node.reset();
    simulation.Run(15s);
    for (int i = 0; i < 4; ++i)
      EXPECT_EQ(StatusAt(simulation, i, 4), wire::MEMBER_DEAD) << seed;
  }
}

// Guards against a paused member that stays dead after it resumes, counts as
// restarted, or declares the other members dead when it resumes.
TEST_F(FleetTest, PausedMemberRefutes) {
  FleetSimulation simulation(7);
  Start(simulation, 4);
  simulation.hosts[Name(0)].paused = true;
  simulation.Run(15s);
  EXPECT_EQ(StatusAt(simulation, 1, 0), wire::MEMBER_DEAD);
  simulation.hosts[Name(0)].queue.clear();
  simulation.hosts[Name(0)].paused = false;
  for (int step = 0; step < 50; ++step) {
    simulation.Run(100ms);
    for (int i = 1; i < 4; ++i)
      ASSERT_LT(StatusAt(simulation, 0, i), wire::MEMBER_LEAVING);
  }
  for (int i = 1; i < 4; ++i) {
    EXPECT_EQ(StatusAt(simulation, i, 0), wire::MEMBER_ALIVE);
    const auto& record = simulation.hosts[Name(i)]
                             .node->membership()
                             .members()
                             .at(Name(0))
                             .record;
    EXPECT_EQ(record.incarnation(), 1u);
    EXPECT_GT(record.refutation(), 0u);
  }
}

// Guards against nodes that cannot find each other while the store is
// unavailable.
TEST_F(FleetTest, SeedsConnectNodesWithoutStore) {
  FleetSimulation simulation(8);
  simulation.store_fault = [](const NodeId&, const StoreRequest&) {
    return StoreFault::kLoseRequest;
  };
  for (int i = 0; i < 5; ++i)
    simulation.Add(Name(i), {"c-" + Name(0), "c-" + Name(1)});
  simulation.Run(5s);
  for (int i = 0; i < 5; ++i) {
    for (int j = 0; j < 5; ++j) {
      if (i == j)
        continue;
      EXPECT_EQ(StatusAt(simulation, i, j), wire::MEMBER_ALIVE);
    }
  }
}

// Guards against calls that are sent to a leaving node because its update has
// not spread to all members within 200 ms, and against an exit before the
// update is sent.
TEST_F(FleetTest, LeaveSpreadsBeforeExit) {
  FleetSimulation simulation(9);
  Start(simulation, 5);
  simulation.Feed(Name(2), DrainRequested{});
  EXPECT_FALSE(simulation.hosts[Name(2)].exited);
  simulation.Run(200ms);
  for (int i : {0, 1, 3, 4})
    EXPECT_EQ(StatusAt(simulation, i, 2), wire::MEMBER_LEAVING);
  simulation.Run(300ms);
  EXPECT_TRUE(simulation.hosts[Name(2)].exited);
  EXPECT_FALSE(simulation.store.values.contains("/comfreylock/members/zone-a/" +
                                                Name(2)));
}

// Guards against a disconnected minority that continues to serve keyed routes,
// and against a fleet that stops serving because the store is unavailable.
TEST_F(FleetTest, OnlyDisconnectedMinorityIsIsolated) {
  FleetSimulation simulation(10);
  Start(simulation, 5);
  auto isolated = [&](int i) {
    return simulation.hosts[Name(i)].node->IsIsolatedFromFleet();
  };
  bool minority_only = false;
  auto in_minority = [](const NodeId& id) { return id <= Name(1); };
  simulation.store_fault = [&](const NodeId& id, const StoreRequest&) {
    return minority_only && !in_minority(id) ? StoreFault::kNone
                                             : StoreFault::kLoseRequest;
  };
  for (int step = 0; step < 600; ++step) {
    simulation.Run(1s);
    for (int i = 0; i < 5; ++i)
      ASSERT_FALSE(isolated(i)) << step;
  }
  minority_only = true;
  simulation.Run(20s);
  EXPECT_FALSE(isolated(0)) << "its peers reach the store";
  simulation.is_link_cut = [&](const NodeId& from, const NodeId& to) {
    return in_minority(from) != in_minority(to);
  };
  simulation.Run(40s);
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(isolated(i), i <= 1) << i;
}

// Guards against store watches and reads that grow with the fleet, and against
// records of dead members that are never removed or removed too early.
TEST_F(FleetTest, StoreCallsDoNotGrowWithMembers) {
  FleetSimulation simulation(11);
  size_t watches = 0;
  size_t cancelled = 0;
  size_t reads = 0;
  simulation.store_fault = [&](const NodeId&, const StoreRequest& request) {
    const auto* watch = std::get_if<StoreWatch>(&request);
    const auto* range = std::get_if<StoreRange>(&request);
    watches += watch != nullptr;
    cancelled += std::holds_alternative<StoreCancelWatch>(request);
    reads += range && range->key == "/comfreylock/members/";
    return StoreFault::kNone;
  };
  Start(simulation, 9);
  // Some nodes start a watch before they know the others, and cancel it.
  // Three watch the members and three the bundle's head.
  EXPECT_EQ(watches - cancelled, 6u);
  size_t early = watches;
  simulation.Run(60s);
  EXPECT_EQ(watches, early);
  EXPECT_LE(reads, 18u);
  std::string record = "/comfreylock/members/zone-a/" + Name(8);
  simulation.hosts[Name(8)].node.reset();
  simulation.Run(14min);
  EXPECT_TRUE(simulation.store.values.contains(record));
  simulation.Run(90s);
  EXPECT_FALSE(simulation.store.values.contains(record));
  EXPECT_TRUE(simulation.store.values.contains("/comfreylock/members/zone-a/" +
                                               Name(7)));
}

}  // namespace
}  // namespace comfreylock
