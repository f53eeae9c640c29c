#include "comfreylock/rate.h"

#include <algorithm>
#include <memory>
#include <random>

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

const std::string kOrganisation = "kamilla";
constexpr double kTolerance = 1e-6;

TimePoint At(int64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

/// Simulates a fleet with one organisation, a network that loses, duplicates,
/// delays and reorders messages, a store, and successive owners.
class Fleet {
 public:
  struct Options {
    int nodes = 3;
    double loss = 0;
    int64_t max_delay = 3;
    double duplication = 0;
    std::vector<double> arrivals;  ///< Calls per second at each node.
    RateAllocator::Rules rules;
  };

  Fleet(const Options& options, uint64_t seed)
      : options_(options), random_(seed) {
    for (int i = 0; i < options.nodes; ++i)
      nodes_.push_back({std::make_unique<RateLimiter>(1)});
    Takeover();
  }

  /// Starts a new owner. The former owner keeps running with its state.
  void Takeover() {
    auto limits = [this](const std::string&) { return limit; };
    Owner owner;
    owner.allocator =
        std::make_unique<RateAllocator>(0, owners_.size() + 1, owners_.empty(),
                                        At(now), limits, options_.rules);
    std::set<NodeId> members;
    for (int i = 0; i < options_.nodes; ++i)
      members.insert(std::to_string(i));
    owner.allocator->SetMembers(members);
    owner.confirmed_at = now;
    owners_.push_back(std::move(owner));
  }

  void Pause(int node, int64_t ms) { nodes_[node].paused_until = now + ms; }
  void PauseOwner(int64_t ms) { owners_.back().paused_until = now + ms; }
  void StopStore(int64_t ms) { store_available_at_ = now + ms; }
  /// The owner loses its lease; a new owner starts when the lease has expired
  /// and the former owner is frozen.
  void LoseOwnerLease() {
    store_available_at_ = INT64_MAX;
    takeover_at_ = now + 3000;
  }
  void Restart(int node) {
    ++nodes_[node].incarnation;
    nodes_[node].limiter =
        std::make_unique<RateLimiter>(nodes_[node].incarnation);
  }

  void Step() {
    ++now;
    if (now == takeover_at_) {
      store_available_at_ = 0;
      Takeover();
    }
    auto& current = owners_.back();
    // Renewal of the lease, every 500 ms.
    if (now >= store_available_at_ && now >= current.paused_until &&
        now % 500 == 0)
      current.confirmed_at = now;
    DeliverMessages();
    for (size_t i = 0; i < nodes_.size(); ++i)
      StepNode(static_cast<int>(i));
    UpdateOverlap();
  }

  void Run(int64_t ms) {
    for (int64_t end = now + ms; now < end;)
      Step();
  }

  int64_t now = 1000;
  Share limit{60, 24};
  double max_excess = 0;   ///< Admissions above the limit, in any window.
  double max_overlap = 0;  ///< Usable shares above the limit.
  int admitted = 0;
  int refused = 0;
  Share usable(int node) {
    return nodes_[node].limiter->UsableShare(kOrganisation, At(now));
  }

 private:
  struct NodeState {
    std::unique_ptr<RateLimiter> limiter;
    uint64_t incarnation = 1;
    int64_t paused_until = 0;
  };
  struct Owner {
    std::unique_ptr<RateAllocator> allocator;
    int64_t confirmed_at = 0;
    int64_t paused_until = 0;
  };
  struct Message {
    int64_t due = 0;
    size_t owner = 0;
    int node = 0;
    wire::ShareRequest request;
    wire::ShareGrant grant;
    bool to_owner = false;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }

  void Send(Message message) {
    do {
      if (Chance(options_.loss))
        continue;
      message.due = now + 1 +
                    std::uniform_int_distribution<int64_t>(
                        0, options_.max_delay)(random_);
      messages_.push_back(message);
    } while (Chance(options_.duplication));
  }

  void DeliverMessages() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      int64_t paused = message.to_owner ? owners_[message.owner].paused_until
                                        : nodes_[message.node].paused_until;
      if (message.due > now || paused > now)
        return false;
      due.push_back(message);
      return true;
    });
    for (auto& message : due) {
      if (!message.to_owner) {
        nodes_[message.node].limiter->Apply(message.grant, At(now));
        continue;
      }
      Owner& owner = owners_[message.owner];
      OwnershipStatus ownership{now - owner.confirmed_at < 2000,
                                At(owner.confirmed_at)};
      auto grants = owner.allocator->OnRequest(
          std::to_string(message.node), message.request, ownership, At(now));
      for (auto& grant : grants) {
        Send({0, 0, std::stoi(grant.node), {}, grant.message, false});
      }
    }
  }

  void StepNode(int index) {
    NodeState& node = nodes_[index];
    if (now < node.paused_until)
      return;
    if (Chance(options_.arrivals[index] / 1000)) {
      auto decision =
          node.limiter->Admit(CallId{++last_call_}, kOrganisation, 0, At(now));
      Count(decision);
    }
    if (now % 10 != 0)
      return;
    RateLimiter::Requests requests;
    for (auto& call_decision : node.limiter->Advance(At(now), requests))
      Count(call_decision.decision);
    for (auto& request : requests) {
      // Half of the requests go to the owner of the node's epoch, as some nodes
      // notice a new owner late.
      size_t owner = owners_.size() - 1;
      if (request.epoch() < owners_.size() && request.epoch() > 0 &&
          Chance(0.5)) {
        owner = request.epoch() - 1;
      }
      Send({0, owner, index, request, {}, true});
    }
  }

  void Count(RateLimiter::Decision decision) {
    if (decision == RateLimiter::Decision::kAdmitted) {
      ++admitted;
      // The level of a leaky bucket that drains at the rate is the largest
      // surplus over all windows that end now.
      Drain();
      level_ += 1;
      max_excess = std::max(max_excess, level_ - limit.burst);
    } else if (decision != RateLimiter::Decision::kWaiting) {
      ++refused;
    }
  }

  void Drain() {
    double passed = static_cast<double>(now - drained_at_) / 1000;
    level_ = std::max(level_ - limit.rate * passed, 0.0);
    drained_at_ = now;
  }

  void UpdateOverlap() {
    Share sum;
    for (int i = 0; i < options_.nodes; ++i) {
      sum.rate += usable(i).rate;
      sum.burst += usable(i).burst;
    }
    max_overlap =
        std::max({max_overlap, sum.rate - limit.rate, sum.burst - limit.burst});
  }

  Options options_;
  std::mt19937_64 random_;
  std::vector<NodeState> nodes_;
  std::vector<Owner> owners_;
  std::vector<Message> messages_;
  uint64_t last_call_ = 0;
  int64_t store_available_at_ = 0;
  int64_t takeover_at_ = 0;
  int64_t drained_at_ = 0;
  double level_ = 0;
};

/// Runs a fleet with random faults generated from `seed`.
Fleet RunFaults(uint64_t seed, RateAllocator::Rules rules) {
  std::mt19937_64 random(seed);
  auto pick = [&](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  Fleet::Options options;
  options.rules = rules;
  options.nodes = static_cast<int>(pick(2, 4));
  options.loss = 0.1 * static_cast<double>(pick(0, 4));
  options.duplication = 0.1 * static_cast<double>(pick(0, 3));
  options.max_delay = pick(0, 1) ? 20 : 4000;
  for (int i = 0; i < options.nodes; ++i)
    options.arrivals.push_back(static_cast<double>(pick(0, 2) * pick(5, 150)));
  Fleet fleet(options, seed);
  int node = 0;
  for (int step = 0; step < 12; ++step) {
    fleet.Run(pick(100, 4000));
    node = static_cast<int>(pick(0, options.nodes - 1));
    switch (pick(0, 5)) {
      case 0:
        fleet.Pause(node, pick(10, 12000));
        break;
      case 1:
        fleet.PauseOwner(pick(10, 12000));
        break;
      case 2:
        fleet.StopStore(pick(100, 12000));
        break;
      case 3:
        fleet.LoseOwnerLease();
        break;
      case 4:
        fleet.Restart(node);
        break;
      default:
        break;
    }
  }
  return fleet;
}

// Guards against admissions above rate and burst under lost, duplicated,
// delayed and reordered messages, pauses, store outages, restarts and new
// owners.
TEST(RateTest, AdmissionsStayWithinLimitUnderFaults) {
  int admitted = 0;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    Fleet fleet = RunFaults(seed, {});
    EXPECT_LE(fleet.max_excess, kTolerance) << "seed " << seed;
    EXPECT_LE(fleet.max_overlap, kTolerance) << "seed " << seed;
    admitted += fleet.admitted;
  }
  // A fleet that admits nothing would pass the checks above.
  EXPECT_GT(admitted, 50000);
}

// Guards against a check that cannot detect a broken protocol: with either of
// the two safety rules disabled, the check must fail.
TEST(RateTest, DisabledRuleExceedsLimit) {
  bool found_unreported_decrease = false;
  bool found_missing_lock = false;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    found_unreported_decrease =
        found_unreported_decrease ||
        RunFaults(seed, {.await_decrease_reports = false}).max_excess > 1;
    found_missing_lock =
        found_missing_lock ||
        RunFaults(seed, {.lock_until_reported = false}).max_excess > 1;
  }
  EXPECT_TRUE(found_unreported_decrease);
  EXPECT_TRUE(found_missing_lock);
}

// Guards against shares that do not follow demand, so that calls of an
// organisation within its rate are refused.
TEST(RateTest, SharesFollowDemand) {
  Fleet::Options options;
  options.nodes = 4;
  options.arrivals = {35, 2, 8, 0};
  Fleet fleet(options, 7);
  fleet.Run(5000);
  fleet.admitted = fleet.refused = 0;
  fleet.Run(60000);
  EXPECT_GT(fleet.admitted, 2400);
  EXPECT_LE(fleet.refused, fleet.admitted / 100);
  EXPECT_EQ(fleet.usable(3).rate, 0);
}

// Guards against refusals of calls within the rate while the store is
// unavailable, also if the owner stops meanwhile.
TEST(RateTest, StoreOutageKeepsShares) {
  Fleet::Options options;
  options.arrivals = {15, 15, 15};
  Fleet fleet(options, 9);
  fleet.Run(5000);
  fleet.StopStore(INT64_MAX / 2);
  fleet.Run(5000);
  fleet.PauseOwner(INT64_MAX / 2);
  fleet.admitted = fleet.refused = 0;
  fleet.Run(600000);
  EXPECT_GT(fleet.admitted, 25000);
  EXPECT_LE(fleet.refused, fleet.admitted / 100);
  // Shares expire after kMaxUnconfirmedShareTtl, 15 minutes.
  fleet.Run(400000);
  EXPECT_EQ(fleet.usable(0).rate, 0);
}

// Guards against a lowered rate that never applies because the nodes keep their
// shares. It applies once the decreases are reported.
TEST(RateTest, LoweredRateAppliesOnceReported) {
  Fleet::Options options;
  options.arrivals = {80, 80, 80};
  Fleet fleet(options, 11);
  fleet.Run(5000);
  fleet.limit = {20, 6};
  fleet.Run(2000);
  fleet.max_overlap = 0;
  int before = fleet.admitted;
  fleet.Run(10000);
  EXPECT_LE(fleet.max_overlap, kTolerance);
  EXPECT_LE(fleet.admitted - before, 20 * 10 + 6);
  EXPECT_GT(fleet.admitted - before, 180);
}

}  // namespace
}  // namespace comfreylock
