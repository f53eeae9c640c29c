#include "mesh/organisation_rate.h"

#include <algorithm>
#include <cmath>

namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

/// Fraction of the rate that is divided evenly, so that a node without demand
/// can admit the first requests of an organisation at once.
constexpr double kEvenRateFraction = 0.2;
/// Fraction of its even share that a node uses without a valid share from the
/// allocator, which may have allocated the rest to other nodes.
constexpr double kFallbackShareFraction = 0.7;
/// Smallest burst of a node, since requests of a few callers arrive in bursts.
constexpr double kMinNodeBurst = 3;
/// Rate per node below which tokens come from a central bucket, in requests per
/// second.
constexpr double kMinSharePerSecond = 2.5;
/// Time ahead for which central tokens are requested, and time until unused
/// ones expire.
constexpr std::chrono::milliseconds kTokenRequestWindow{200};
constexpr std::chrono::milliseconds kTokenTtl{1000};
/// Demand below this counts as none, in requests per second.
constexpr double kMinDemandPerSecond = 0.05;

}  // namespace

bool UsesCentralBucket(const OrganisationLimits& limits, size_t nodes) {
  return limits.rate > 0 &&
         limits.rate < kMinSharePerSecond * static_cast<double>(nodes);
}

bool OrganisationRateLimiter::TryAcquireCentralToken(
    const std::string& organisation,
    TimePoint now) {
  Bucket& bucket = buckets_[organisation];
  Decay(bucket, now);
  bucket.arrivals += 1;
  if (now >= bucket.central_tokens_until)
    bucket.central_tokens = 0;
  if (bucket.central_tokens == 0)
    return false;
  --bucket.central_tokens;
  return true;
}

uint32_t OrganisationRateLimiter::TokensWanted(const std::string& organisation,
                                               size_t waiting,
                                               TimePoint now) {
  Bucket& bucket = buckets_[organisation];
  Decay(bucket, now);
  Seconds window = kDemandWindow;
  Seconds ahead = kTokenRequestWindow;
  double expected = bucket.arrivals / window.count() * ahead.count();
  return static_cast<uint32_t>(waiting + static_cast<size_t>(expected));
}

void OrganisationRateLimiter::Decay(Bucket& bucket, TimePoint now) {
  Seconds passed = now - bucket.counted_at;
  Seconds window = kDemandWindow;
  bucket.arrivals *= std::exp(-passed.count() / window.count());
  bucket.counted_at = now;
}

void OrganisationRateLimiter::Refill(Bucket& bucket, TimePoint now) {
  Seconds passed = now - bucket.refilled_at;
  bucket.refilled_at = now;
  bucket.tokens =
      std::min(bucket.burst, bucket.tokens + bucket.rate * passed.count());
}

microseconds OrganisationRateLimiter::TryAcquire(
    const OrganisationLimits& limits,
    size_t nodes,
    TimePoint now) {
  if (limits.rate <= 0)
    return microseconds(0);
  Bucket& bucket = buckets_[limits.name];
  Decay(bucket, now);
  bucket.arrivals += 1;
  if (now >= bucket.valid_until) {
    double fraction = kFallbackShareFraction /
                      static_cast<double>(std::max<size_t>(nodes, 1));
    bucket.rate = limits.rate * fraction;
    double burst = limits.burst * fraction;
    bucket.burst = std::max(burst, std::min(kMinNodeBurst, 1 + burst));
    if (!bucket.initialised)
      bucket.tokens = bucket.burst;
  }
  bucket.initialised = true;
  Refill(bucket, now);
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return microseconds(0);
  }
  Seconds wait((1 - bucket.tokens) /
               std::max(bucket.rate, kMinDemandPerSecond));
  return std::max(microseconds(1),
                  std::chrono::duration_cast<microseconds>(wait));
}

void OrganisationRateLimiter::ReturnToken(const std::string& organisation) {
  auto found = buckets_.find(organisation);
  if (found != buckets_.end())
    found->second.tokens =
        std::min(found->second.burst, found->second.tokens + 1);
}

void OrganisationRateLimiter::Apply(const wire::Shares& shares, TimePoint now) {
  for (const wire::Shares::Row& row : shares.rows()) {
    auto found = buckets_.find(row.organisation());
    if (found == buckets_.end())
      continue;
    Bucket& bucket = found->second;
    if (row.tokens() > 0) {
      bucket.central_tokens += row.tokens();
      bucket.central_tokens_until = now + kTokenTtl;
    }
    if (row.per_second() <= 0)
      continue;
    Refill(bucket, now);
    bucket.rate = row.per_second();
    bucket.burst = row.burst();
    bucket.tokens = std::min(bucket.tokens, bucket.burst);
    bucket.valid_until = now + kShareTtl;
  }
}

wire::Demand OrganisationRateLimiter::Demand(TimePoint now) {
  wire::Demand demand;
  Seconds window = kDemandWindow;
  for (auto& [organisation, bucket] : buckets_) {
    Decay(bucket, now);
    double per_second = bucket.arrivals / window.count();
    if (per_second < kMinDemandPerSecond)
      continue;
    wire::Demand::Row* row = demand.add_rows();
    row->set_organisation(organisation);
    row->set_per_second(static_cast<float>(per_second));
  }
  return demand;
}

double OrganisationRateAllocator::RecordReporter(const NodeId& node,
                                                 uint32_t partition,
                                                 size_t nodes,
                                                 TimePoint now) {
  auto& reporters = reporters_[partition];
  reporters[node] = now;
  std::erase_if(reporters, [now](const auto& item) {
    return now - item.second > kDemandTtl;
  });
  return std::min(1.0, static_cast<double>(reporters.size()) /
                           static_cast<double>(std::max<size_t>(nodes, 1)));
}

uint32_t OrganisationRateAllocator::GrantTokens(
    const OrganisationLimits& limits,
    uint32_t wanted,
    double reporting_fraction,
    TimePoint now) {
  auto [found, added] = central_buckets_.try_emplace(limits.name);
  CentralBucket& bucket = found->second;
  // A new allocator does not know what its predecessor has granted, so its
  // bucket starts half full.
  if (added)
    bucket = {limits.burst / 2, now};
  Seconds passed = now - bucket.refilled_at;
  bucket.refilled_at = now;
  bucket.tokens = std::min(
      std::max(limits.burst, 1.0),
      bucket.tokens + limits.rate * reporting_fraction * passed.count());
  auto granted = std::min(wanted, static_cast<uint32_t>(bucket.tokens));
  bucket.tokens -= granted;
  return granted;
}

wire::Shares OrganisationRateAllocator::OnDemand(const NodeId& node,
                                                 const wire::Demand& demand,
                                                 const FleetConfig& config,
                                                 size_t nodes,
                                                 TimePoint now) {
  wire::Shares shares;
  shares.set_config_version(config.version);
  double node_count = static_cast<double>(std::max<size_t>(nodes, 1));
  double reporting_fraction = RecordReporter(node, demand.part(), nodes, now);
  for (const wire::Demand::Row& row : demand.rows()) {
    auto limits = config.organisations.find(row.organisation());
    if (limits == config.organisations.end() || limits->second.rate <= 0)
      continue;
    if (UsesCentralBucket(limits->second, nodes)) {
      wire::Shares::Row* granted = shares.add_rows();
      granted->set_organisation(row.organisation());
      granted->set_tokens(
          GrantTokens(limits->second, row.tokens(), reporting_fraction, now));
      continue;
    }
    auto& reports = demand_[row.organisation()];
    std::erase_if(reports, [now](const auto& item) {
      return now - item.second.reported_at > kDemandTtl;
    });
    reports[node] = {row.per_second(), now};
    double total = 0;
    for (const auto& [name, reported] : reports)
      total += reported.per_second;
    double fraction =
        kEvenRateFraction / node_count +
        (1 - kEvenRateFraction) * row.per_second() / std::max(total, 1e-9);
    wire::Shares::Row* share = shares.add_rows();
    share->set_organisation(row.organisation());
    share->set_per_second(static_cast<float>(limits->second.rate * fraction *
                                             reporting_fraction));
    share->set_burst(static_cast<float>(
        std::max(limits->second.burst * fraction, kMinNodeBurst)));
  }
  return shares;
}

}  // namespace comfreylock::mesh
