#include "mesh/rate_share.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

/// Part of the rate that is divided evenly, so that a node without demand can
/// serve the first requests of an organisation at once.
constexpr double kEvenPart = 0.2;
/// Part of its even share that a node uses without news from the holder, which
/// may have given the rest to others.
constexpr double kFallbackPart = 0.7;
/// Smallest burst of a node: requests of a few callers come in clumps.
constexpr double kLeastBurst = 3;
/// Rate for each node below which tokens come from a common bucket, requests
/// per second.
constexpr double kLeastShare = 2.5;
/// Time for which tokens are asked for ahead, and for which they hold.
constexpr std::chrono::milliseconds kTokensAhead{200};
constexpr std::chrono::milliseconds kTokensHold{1000};
/// Demand below this counts as none, requests per second.
constexpr double kLeastDemand = 0.05;

}  // namespace

bool TakesCommonTokens(const OrganisationLimits& limits, size_t nodes) {
  return limits.rate > 0 &&
         limits.rate < kLeastShare * static_cast<double>(nodes);
}

bool RateShare::TakeCommon(const std::string& organisation, TimePoint now) {
  Bucket& bucket = buckets_[organisation];
  Decay(bucket, now);
  bucket.arrivals += 1;
  if (now >= bucket.common_until)
    bucket.common = 0;
  if (bucket.common == 0)
    return false;
  --bucket.common;
  return true;
}

uint32_t RateShare::TokensWanted(const std::string& organisation,
                                 size_t waiting,
                                 TimePoint now) {
  Bucket& bucket = buckets_[organisation];
  Decay(bucket, now);
  Seconds window = kDemandWindow;
  Seconds ahead = kTokensAhead;
  double expected = bucket.arrivals / window.count() * ahead.count();
  return static_cast<uint32_t>(waiting + static_cast<size_t>(expected));
}

void RateShare::Decay(Bucket& bucket, TimePoint now) {
  Seconds passed = now - bucket.counted;
  Seconds window = kDemandWindow;
  bucket.arrivals *= std::exp(-passed.count() / window.count());
  bucket.counted = now;
}

void RateShare::Refill(Bucket& bucket, TimePoint now) {
  Seconds passed = now - bucket.filled;
  bucket.filled = now;
  bucket.tokens =
      std::min(bucket.burst, bucket.tokens + bucket.rate * passed.count());
}

microseconds RateShare::Take(const OrganisationLimits& limits,
                             size_t nodes,
                             TimePoint now) {
  if (limits.rate <= 0)
    return microseconds(0);
  Bucket& bucket = buckets_[limits.name];
  Decay(bucket, now);
  bucket.arrivals += 1;
  if (now >= bucket.valid_until) {
    double part =
        kFallbackPart / static_cast<double>(std::max<size_t>(nodes, 1));
    bucket.rate = limits.rate * part;
    double burst = limits.burst * part;
    bucket.burst = std::max(burst, std::min(kLeastBurst, 1 + burst));
    if (!bucket.started)
      bucket.tokens = bucket.burst;
  }
  bucket.started = true;
  Refill(bucket, now);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return microseconds(0);
  }
  Seconds wait((1 - bucket.tokens) / std::max(bucket.rate, kLeastDemand));
  return std::max(microseconds(1),
                  std::chrono::duration_cast<microseconds>(wait));
}

void RateShare::GiveBack(const std::string& organisation) {
  auto found = buckets_.find(organisation);
  if (found != buckets_.end())
    found->second.tokens =
        std::min(found->second.burst, found->second.tokens + 1);
}

void RateShare::Apply(const wire::Shares& shares, TimePoint now) {
  for (const wire::Shares::Row& row : shares.rows()) {
    auto found = buckets_.find(row.organisation());
    if (found == buckets_.end())
      continue;
    Bucket& bucket = found->second;
    if (row.tokens() > 0) {
      bucket.common += row.tokens();
      bucket.common_until = now + kTokensHold;
    }
    if (row.per_second() <= 0)
      continue;
    Refill(bucket, now);
    bucket.rate = row.per_second();
    bucket.burst = row.burst();
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    bucket.valid_until = now + kValidity;
  }
}

wire::Demand RateShare::Demand(TimePoint now) {
  wire::Demand demand;
  Seconds window = kDemandWindow;
  for (auto& [organisation, bucket] : buckets_) {
    Decay(bucket, now);
    double per_second = bucket.arrivals / window.count();
    if (per_second < kLeastDemand)
      continue;
    wire::Demand::Row* row = demand.add_rows();
    row->set_organisation(organisation);
    row->set_per_second(static_cast<float>(per_second));
  }
  return demand;
}

double RateHolder::PartHeld(const NodeId& node,
                            uint32_t part,
                            size_t nodes,
                            TimePoint now) {
  auto& reporters = reporters_[part];
  reporters[node] = now;
  std::erase_if(reporters, [now](const auto& item) {
    return now - item.second > kDemandKept;
  });
  return std::min(1.0, static_cast<double>(reporters.size()) /
                           static_cast<double>(std::max<size_t>(nodes, 1)));
}

uint32_t RateHolder::TakeTokens(const OrganisationLimits& limits,
                                uint32_t wanted,
                                double held,
                                TimePoint now) {
  auto [found, added] = common_.try_emplace(limits.name);
  CommonBucket& bucket = found->second;
  // A new holder does not know what the one before has given.
  if (added)
    bucket = {limits.burst / 2, now};
  Seconds passed = now - bucket.filled;
  bucket.filled = now;
  bucket.tokens = std::min(std::max(limits.burst, 1.0),
                           bucket.tokens + limits.rate * held * passed.count());
  auto given = std::min(wanted, static_cast<uint32_t>(bucket.tokens));
  bucket.tokens -= given;
  return given;
}

wire::Shares RateHolder::OnDemand(const NodeId& node,
                                  const wire::Demand& demand,
                                  const FleetConfig& config,
                                  size_t nodes,
                                  TimePoint now) {
  wire::Shares shares;
  shares.set_config_version(config.version);
  double count = static_cast<double>(std::max<size_t>(nodes, 1));
  double held = PartHeld(node, demand.part(), nodes, now);
  for (const wire::Demand::Row& row : demand.rows()) {
    auto limits = config.organisations.find(row.organisation());
    if (limits == config.organisations.end() || limits->second.rate <= 0)
      continue;
    if (TakesCommonTokens(limits->second, nodes)) {
      wire::Shares::Row* given = shares.add_rows();
      given->set_organisation(row.organisation());
      given->set_tokens(TakeTokens(limits->second, row.tokens(), held, now));
      continue;
    }
    auto& reports = demand_[row.organisation()];
    std::erase_if(reports, [now](const auto& item) {
      return now - item.second.time > kDemandKept;
    });
    reports[node] = {row.per_second(), now};
    double total = 0;
    for (const auto& [name, reported] : reports)
      total += reported.per_second;
    double part = kEvenPart / count +
                  (1 - kEvenPart) * row.per_second() / std::max(total, 1e-9);
    wire::Shares::Row* share = shares.add_rows();
    share->set_organisation(row.organisation());
    share->set_per_second(
        static_cast<float>(limits->second.rate * part * held));
    share->set_burst(
        static_cast<float>(std::max(limits->second.burst * part, kLeastBurst)));
  }
  return shares;
}

}  // namespace comfreylock::mesh
