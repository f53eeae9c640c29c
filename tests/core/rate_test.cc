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

/// A fleet with one organisation, a network that loses, doubles, delays and
/// reorders messages, a store, and owners that follow one another.
class Fleet {
 public:
  struct Options {
    int nodes = 3;
    double loss = 0;
    int64_t longest_delay = 3;
    double double_share = 0;
    std::vector<double> arrivals;  ///< Calls per second at each node.
    RateAllocator::Rules rules;
  };

  Fleet(const Options& options, uint64_t seed)
      : options_(options), random_(seed) {
    for (int i = 0; i < options.nodes; ++i)
      nodes_.push_back({std::make_unique<RateLimiter>(1)});
    Takeover();
  }

  /// The former owner keeps running on what it knows.
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
    owner.confirmed = now;
    owners_.push_back(std::move(owner));
  }

  void Pause(int node, int64_t ms) { nodes_[node].paused_until = now + ms; }
  void PauseOwner(int64_t ms) { owners_.back().paused_until = now + ms; }
  void StoreAway(int64_t ms) { store_back_ = now + ms; }
  /// The owner lost its lease; a successor starts once it is surely frozen.
  void LoseOwner() {
    store_back_ = INT64_MAX;
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
      store_back_ = 0;
      Takeover();
    }
    auto& current = owners_.back();
    // A confirmation each second, as by the renewal of the lease.
    if (now >= store_back_ && now >= current.paused_until && now % 500 == 0)
      current.confirmed = now;
    DeliverMessages();
    for (size_t i = 0; i < nodes_.size(); ++i)
      StepNode(static_cast<int>(i));
    Check();
  }

  void Run(int64_t ms) {
    for (int64_t end = now + ms; now < end;)
      Step();
  }

  int64_t now = 1000;
  Share limit{60, 24};
  double worst_excess = 0;   ///< Admissions above the bound, in any window.
  double worst_overlap = 0;  ///< Usable shares above the limit.
  int admitted = 0;
  int refused = 0;
  Share usable(int node) {
    return nodes_[node].limiter->Usable(kOrganisation, At(now));
  }

 private:
  struct NodeState {
    std::unique_ptr<RateLimiter> limiter;
    uint64_t incarnation = 1;
    int64_t paused_until = 0;
  };
  struct Owner {
    std::unique_ptr<RateAllocator> allocator;
    int64_t confirmed = 0;
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
                        0, options_.longest_delay)(random_);
      messages_.push_back(message);
    } while (Chance(options_.double_share));
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
      OwnerCertainty certainty{now - owner.confirmed < 2000,
                               At(owner.confirmed)};
      auto grants = owner.allocator->OnRequest(
          std::to_string(message.node), message.request, certainty, At(now));
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
    for (auto& verdict : node.limiter->Advance(At(now), requests))
      Count(verdict.decision);
    for (auto& request : requests) {
      // Some nodes learn late of a new owner.
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
      // Largest surplus over all windows that end now: the level of a leaky
      // bucket that drains at the rate.
      Drain();
      level_ += 1;
      worst_excess = std::max(worst_excess, level_ - limit.burst);
    } else if (decision != RateLimiter::Decision::kWaiting) {
      ++refused;
    }
  }

  void Drain() {
    double passed = static_cast<double>(now - drained_) / 1000;
    level_ = std::max(level_ - limit.rate * passed, 0.0);
    drained_ = now;
  }

  void Check() {
    Share sum;
    for (int i = 0; i < options_.nodes; ++i) {
      sum.rate += usable(i).rate;
      sum.burst += usable(i).burst;
    }
    worst_overlap = std::max(
        {worst_overlap, sum.rate - limit.rate, sum.burst - limit.burst});
  }

  Options options_;
  std::mt19937_64 random_;
  std::vector<NodeState> nodes_;
  std::vector<Owner> owners_;
  std::vector<Message> messages_;
  uint64_t last_call_ = 0;
  int64_t store_back_ = 0;
  int64_t takeover_at_ = 0;
  int64_t drained_ = 0;
  double level_ = 0;
};

/// Runs a fleet of `seed` through random faults.
Fleet RunFaults(uint64_t seed, RateAllocator::Rules rules) {
  std::mt19937_64 random(seed);
  auto pick = [&](int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random);
  };
  Fleet::Options options;
  options.rules = rules;
  options.nodes = static_cast<int>(pick(2, 4));
  options.loss = 0.1 * static_cast<double>(pick(0, 4));
  options.double_share = 0.1 * static_cast<double>(pick(0, 3));
  options.longest_delay = pick(0, 1) ? 20 : 4000;
  for (int i = 0; i < options.nodes; ++i)
    options.arrivals.push_back(static_cast<double>(pick(0, 2) * pick(5, 150)));
  Fleet fleet(options, seed);
  int node = 0;
  for (int act = 0; act < 12; ++act) {
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
        fleet.StoreAway(pick(100, 12000));
        break;
      case 3:
        fleet.LoseOwner();
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

// Guards against admissions above rate and burst under lost, doubled, delayed
// and reordered messages, pauses, store outages, restarts and new owners.
TEST(RateTest, NoFaultLetsTheFleetExceedTheLimit) {
  int admitted = 0;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    Fleet fleet = RunFaults(seed, {});
    EXPECT_LE(fleet.worst_excess, kTolerance) << "seed " << seed;
    EXPECT_LE(fleet.worst_overlap, kTolerance) << "seed " << seed;
    admitted += fleet.admitted;
  }
  // A fleet that admits nothing would pass the bound.
  EXPECT_GT(admitted, 50000);
}

// Guards against a check that cannot find a broken protocol: each of the two
// rules is switched off in turn, and the check must see it.
TEST(RateTest, CheckFindsBrokenRules) {
  bool found_give_first = false;
  bool found_lock = false;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    found_give_first = found_give_first ||
                       RunFaults(seed, {.give_first = false}).worst_excess > 1;
    found_lock = found_lock ||
                 RunFaults(seed, {.lock_unreported = false}).worst_excess > 1;
  }
  EXPECT_TRUE(found_give_first);
  EXPECT_TRUE(found_lock);
}

// Guards against shares that do not follow demand, which would refuse calls
// of an organisation that stays within its rate.
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

// Guards against an outage of the store, or the death of the owner in it,
// that refuses calls within the rate.
TEST(RateTest, StoreOutageKeepsShares) {
  Fleet::Options options;
  options.arrivals = {15, 15, 15};
  Fleet fleet(options, 9);
  fleet.Run(5000);
  fleet.StoreAway(INT64_MAX / 2);
  fleet.Run(5000);
  fleet.PauseOwner(INT64_MAX / 2);
  fleet.admitted = fleet.refused = 0;
  fleet.Run(600000);
  EXPECT_GT(fleet.admitted, 25000);
  EXPECT_LE(fleet.refused, fleet.admitted / 100);
  fleet.Run(400000);  // The hold ends after 15 minutes.
  EXPECT_EQ(fleet.usable(0).rate, 0);
}

// Guards against a lowered rate that never takes effect because the nodes keep
// their shares. It counts once the decreases are reported.
TEST(RateTest, LoweredRateHoldsOnceReported) {
  Fleet::Options options;
  options.arrivals = {80, 80, 80};
  Fleet fleet(options, 11);
  fleet.Run(5000);
  fleet.limit = {20, 6};
  fleet.Run(2000);
  fleet.worst_overlap = 0;
  int before = fleet.admitted;
  fleet.Run(10000);
  EXPECT_LE(fleet.worst_overlap, kTolerance);
  EXPECT_LE(fleet.admitted - before, 20 * 10 + 6);
  EXPECT_GT(fleet.admitted - before, 180);
}

}  // namespace
}  // namespace comfreylock
