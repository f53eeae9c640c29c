#include "comfreylock/rate.h"

#include <algorithm>
#include <cmath>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Tolerance for rounding errors of tokens, rates and bursts.
constexpr double kRoundingTolerance = 1e-9;

double Seconds(NodeClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// RateLimiter: admits calls at a node.

void RateLimiter::Refill(Bucket& bucket, TimePoint now) const {
  if (now >= bucket.valid_until) {
    bucket.share = {};
    bucket.tokens = 0;
  }
  double gained = bucket.share.rate * Seconds(now - bucket.refilled_at);
  bucket.tokens = std::min(bucket.tokens + gained, bucket.share.burst);
  bucket.refilled_at = now;
}

void RateLimiter::UpdateDemand(Bucket& bucket,
                               TimePoint now,
                               double arrivals) const {
  double elapsed = Seconds(now - bucket.demand_updated_at);
  bucket.demand_updated_at = now;
  bucket.fast_arrivals *= std::exp(-elapsed / Seconds(kFastDemandWindow));
  bucket.slow_arrivals *= std::exp(-elapsed / Seconds(kSlowDemandWindow));
  bucket.fast_arrivals += arrivals;
  bucket.slow_arrivals += arrivals;
  // The slow count smooths random variation, so that shares stay stable. If
  // the fast count deviates by more than random variation explains, the slow
  // count is set to it at once.
  double ratio = Seconds(kSlowDemandWindow) / Seconds(kFastDemandWindow);
  double expected = bucket.slow_arrivals / ratio;
  double max_deviation =
      kDemandChangeDeviations * std::sqrt(std::max(expected / 2, 1.0));
  if (std::abs(bucket.fast_arrivals - expected) > max_deviation)
    bucket.slow_arrivals = bucket.fast_arrivals * ratio;
}

double RateLimiter::Demand(const Bucket& bucket) const {
  double demand = bucket.slow_arrivals / Seconds(kSlowDemandWindow);
  return demand < kMinDemandPerSecond ? 0 : demand;
}

bool RateLimiter::TryConsumeToken(Bucket& bucket, TimePoint now) const {
  Refill(bucket, now);
  // Rounding errors of repeated refills must not delay a token that is due.
  // The tolerance adds up to far less than one request in any practical number
  // of calls.
  if (bucket.tokens < 1 - kRoundingTolerance)
    return false;
  bucket.tokens -= 1;
  return true;
}

RateLimiter::Decision RateLimiter::Admit(CallId call,
                                         const std::string& organisation,
                                         uint32_t partition,
                                         TimePoint now) {
  if (shares_returned_)
    return Decision::kUnavailable;
  auto [found, added] = buckets_.try_emplace(organisation);
  Bucket& bucket = found->second;
  if (added) {
    bucket.partition = partition;
    bucket.refilled_at = bucket.demand_updated_at = bucket.valid_until = now;
  }
  UpdateDemand(bucket, now, 1);
  if (bucket.waiting.empty() && TryConsumeToken(bucket, now))
    return Decision::kAdmitted;
  Partition& state = partitions_[partition];
  bool has_demand_grown =
      Demand(bucket) >
      bucket.reported_demand * kUrgentDemandGrowthRatio + kMinDemandPerSecond;
  state.urgent = state.urgent || has_demand_grown;
  if (bucket.waiting.size() < kMaxCallsWaitingForShare) {
    bucket.waiting.push_back({call, now + kMaxShareWait});
    return Decision::kWaiting;
  }
  return bucket.share.rate > 0 ? Decision::kOverRate : Decision::kUnavailable;
}

void RateLimiter::Cancel(CallId call) {
  for (auto& [name, bucket] : buckets_) {
    std::erase_if(bucket.waiting, [call](const WaitingCall& waiting) {
      return waiting.call == call;
    });
  }
}

void RateLimiter::UpdateEpoch(uint32_t partition, uint64_t epoch) {
  Partition& state = partitions_[partition];
  if (epoch <= state.epoch)
    return;
  state.epoch = epoch;
  state.acknowledged = false;
  state.urgent = true;
  state.sent_requests.clear();
  for (auto& [name, bucket] : buckets_) {
    if (bucket.partition == partition)
      bucket.sequence = 0;
  }
}

void RateLimiter::Apply(const wire::ShareGrant& grant, TimePoint now) {
  if (shares_returned_ || grant.incarnation() != incarnation_)
    return;
  UpdateEpoch(grant.partition(), grant.epoch());
  Partition& state = partitions_[grant.partition()];
  auto sent_request = state.sent_requests.find(grant.request());
  if (grant.epoch() != state.epoch || sent_request == state.sent_requests.end())
    return;
  state.acknowledged = true;
  TimePoint valid_until =
      sent_request->second + std::chrono::milliseconds(grant.validity_ms());
  if (now >= valid_until)
    return;
  for (const auto& granted : grant.shares()) {
    auto found = buckets_.find(granted.organisation());
    if (found == buckets_.end())
      continue;
    Bucket& bucket = found->second;
    if (granted.grant_sequence() <= bucket.sequence)
      continue;
    Refill(bucket, now);
    Share before = bucket.share;
    bucket.sequence = granted.grant_sequence();
    bucket.valid_until = valid_until;
    bucket.share = {granted.rate(), granted.burst()};
    double tokens = bucket.tokens + granted.tokens();
    bucket.tokens = std::min(tokens, bucket.share.burst);
    bucket.returned_total += tokens - bucket.tokens;
    // The owner grants the difference to others only once the decrease is
    // reported.
    if (granted.rate() < before.rate - kRoundingTolerance ||
        granted.burst() < before.burst - kRoundingTolerance) {
      state.urgent = true;
    }
  }
}

void RateLimiter::DecideWaitingCalls(Bucket& bucket,
                                     TimePoint now,
                                     CallDecisions& decisions) const {
  while (!bucket.waiting.empty() && TryConsumeToken(bucket, now)) {
    decisions.push_back({bucket.waiting.front().call, Decision::kAdmitted});
    bucket.waiting.pop_front();
  }
  Decision refusal =
      bucket.share.rate > 0 ? Decision::kOverRate : Decision::kUnavailable;
  while (!bucket.waiting.empty() &&
         now >= bucket.waiting.front().wait_deadline) {
    decisions.push_back({bucket.waiting.front().call, refusal});
    bucket.waiting.pop_front();
  }
}

bool RateLimiter::IsRequestDue(uint32_t partition,
                               const Partition& state,
                               TimePoint now) const {
  auto elapsed = now - state.last_sent_at;
  if (!state.sent_requests.empty() && elapsed < kMinShareRequestInterval)
    return false;
  if (state.urgent)
    return true;
  if (elapsed < kShareRequestInterval)
    return false;
  if (!state.acknowledged)
    return state.epoch != 0;
  return std::ranges::any_of(buckets_, [&](const auto& item) {
    const Bucket& bucket = item.second;
    return bucket.partition == partition &&
           (bucket.share.rate > 0 || bucket.reported_demand > 0 ||
            Demand(bucket) > 0);
  });
}

wire::ShareRequest RateLimiter::MakeRequest(uint32_t partition,
                                            Partition& state,
                                            TimePoint now) {
  wire::ShareRequest request;
  request.set_partition(partition);
  request.set_epoch(state.epoch);
  request.set_request(++last_request_);
  request.set_incarnation(incarnation_);
  for (auto& [name, bucket] : buckets_) {
    if (bucket.partition != partition)
      continue;
    Refill(bucket, now);
    UpdateDemand(bucket, now, 0);
    bucket.reported_demand = Demand(bucket);
    wire::HeldShare& held = *request.add_shares();
    held.set_organisation(name);
    held.set_rate(bucket.share.rate);
    held.set_burst(bucket.share.burst);
    held.set_demand(bucket.reported_demand);
    held.set_grant_sequence(bucket.sequence);
    held.set_returned_tokens(bucket.returned_total);
  }
  state.urgent = false;
  state.last_sent_at = now;
  state.sent_requests[last_request_] = now;
  while (state.sent_requests.size() > kMaxPendingShareRequests)
    state.sent_requests.erase(state.sent_requests.begin());
  return request;
}

RateLimiter::CallDecisions RateLimiter::Advance(TimePoint now,
                                                Requests& requests) {
  CallDecisions decisions;
  for (auto& [name, bucket] : buckets_)
    DecideWaitingCalls(bucket, now, decisions);
  if (shares_returned_)
    return decisions;
  for (auto& [partition, state] : partitions_) {
    if (IsRequestDue(partition, state, now))
      requests.push_back(MakeRequest(partition, state, now));
  }
  return decisions;
}

RateLimiter::Requests RateLimiter::ReturnAll(TimePoint now) {
  Requests requests;
  for (auto& [name, bucket] : buckets_) {
    Refill(bucket, now);
    bucket.returned_total += bucket.tokens;
    bucket.tokens = 0;
    bucket.share = {};
  }
  for (auto& [partition, state] : partitions_) {
    requests.push_back(MakeRequest(partition, state, now));
    requests.back().set_returning(true);
  }
  shares_returned_ = true;
  return requests;
}

Share RateLimiter::UsableShare(const std::string& organisation,
                               TimePoint now) const {
  auto found = buckets_.find(organisation);
  if (found == buckets_.end() || now >= found->second.valid_until)
    return {};
  return found->second.share;
}

// RateAllocator: divides the limits at the owner of a partition.

RateAllocator::RateAllocator(uint32_t partition,
                             uint64_t epoch,
                             bool is_first_owner,
                             TimePoint now,
                             LimitLookup limit_lookup,
                             Rules rules)
    : partition_(partition),
      epoch_(epoch),
      locked_(!is_first_owner && rules.lock_until_reported),
      first_ever_(is_first_owner),
      taken_over_at_(now),
      limit_lookup_(std::move(limit_lookup)),
      rules_(rules) {}

void RateAllocator::SetMembers(std::set<NodeId> members) {
  members_ = std::move(members);
  members_known_ = true;
}

void RateAllocator::ChangeMember(const NodeId& node, bool listed) {
  if (listed)
    members_.insert(node);
  else if (!locked_)
    members_.erase(node);
}

void RateAllocator::OnIncarnationEnded(const NodeId& node,
                                       uint64_t incarnation,
                                       TimePoint now) {
  Peer& peer = peers_[node];
  if (incarnation < peer.incarnation)
    return;
  // Delayed requests of the ended process are ignored: no request number
  // exceeds this one.
  peer = {incarnation, UINT64_MAX, true};
  for (auto& [name, state] : organisations_) {
    Refill(state, now);
    state.holders.erase(node);
  }
}

Share RateAllocator::CommittedOf(const Holder& holder) {
  Share sum;
  for (const auto& item : holder.outstanding) {
    sum.rate = std::max(sum.rate, item.share.rate);
    sum.burst = std::max(sum.burst, item.share.burst);
  }
  return sum;
}

Share RateAllocator::CommittedOf(const Organisation& organisation) {
  Share sum;
  for (const auto& [node, holder] : organisation.holders) {
    Share share = CommittedOf(holder);
    sum.rate += share.rate;
    sum.burst += share.burst;
  }
  return sum;
}

Share RateAllocator::Committed(const std::string& organisation) const {
  auto found = organisations_.find(organisation);
  return found == organisations_.end() ? Share{} : CommittedOf(found->second);
}

RateAllocator::Organisation& RateAllocator::FindOrAdd(const std::string& name,
                                                      TimePoint now) {
  auto [found, added] = organisations_.try_emplace(name);
  Organisation& state = found->second;
  Share limit = limit_lookup_(name);
  if (added) {
    state.limit = limit;
    state.refilled_at = now;
    // No node has admitted a call yet, so the bucket is full.
    if (first_ever_)
      state.unassigned_tokens = limit.burst;
  }
  // The bundle may have changed the limit at any time since the last refill,
  // so the smaller limit applies to that interval.
  state.limit = {std::min(limit.rate, state.limit.rate),
                 std::min(limit.burst, state.limit.burst)};
  Refill(state, now);
  state.limit = limit;
  return state;
}

Share RateAllocator::Capacity(const Organisation& state) const {
  Share limit = state.limit;
  if (locked_) {
    limit.rate = std::min(limit.rate, state.reported_shares.rate);
    limit.burst = std::min(limit.burst, state.reported_shares.burst);
  }
  return limit;
}

void RateAllocator::Refill(Organisation& state, TimePoint now) const {
  Share capacity = Capacity(state);
  Share used = CommittedOf(state);
  double gained = std::max(capacity.rate - used.rate, 0.0) *
                  Seconds(now - state.refilled_at);
  double room = std::max(capacity.burst - used.burst, 0.0);
  state.unassigned_tokens = std::min(state.unassigned_tokens + gained, room);
  state.refilled_at = now;
}

void RateAllocator::ApplyReport(const NodeId& node,
                                const wire::HeldShare& held,
                                ReportKind kind,
                                TimePoint now) {
  Organisation& state = FindOrAdd(held.organisation(), now);
  Holder& holder = state.holders[node];
  double before = CommittedOf(holder).burst;
  std::erase_if(holder.outstanding, [&](const Outstanding& item) {
    return item.sequence < held.grant_sequence();
  });
  Share share{held.rate(), held.burst()};
  if (!holder.outstanding.empty() &&
      holder.outstanding.front().sequence == held.grant_sequence()) {
    holder.outstanding.front().share = share;
  } else if (share.rate > 0 || share.burst > 0) {
    // A share granted by the former owner may be valid for up to
    // kMaxUnconfirmedShareTtl.
    holder.outstanding.push_front(
        {held.grant_sequence(), share, now + kMaxUnconfirmedShareTtl});
  }
  if (kind == ReportKind::kFirst) {
    state.reported_shares.rate += share.rate;
    state.reported_shares.burst += share.burst;
  }
  // A leaving node ignores grants from now on.
  if (kind == ReportKind::kReturning)
    holder.outstanding.clear();
  // Returned tokens are credited up to the burst that this report releases.
  // The first total that this owner sees is only the baseline, as the node may
  // have returned those tokens to a former owner.
  double released = std::max(before - CommittedOf(holder).burst, 0.0);
  double newly_returned = held.returned_tokens() - holder.returned_total;
  if (holder.returned_total_known)
    state.unassigned_tokens += std::clamp(newly_returned, 0.0, released);
  holder.returned_total = held.returned_tokens();
  holder.returned_total_known = true;
  holder.demand = kind == ReportKind::kReturning ? 0 : held.demand();
  holder.reported_at = now;
  if (holder.outstanding.empty() ||
      holder.outstanding.back().sequence == held.grant_sequence()) {
    holder.granted = share;
  }
  Refill(state, now);
}

void RateAllocator::ExpireShares(const OwnershipStatus& ownership,
                                 TimePoint now) {
  // Without a recent confirmation of the ownership, a new owner may already
  // have renewed these shares.
  if (!ownership.is_confirmed)
    return;
  for (auto& [name, state] : organisations_) {
    Refill(state, now);
    for (auto& [node, holder] : state.holders) {
      std::erase_if(holder.outstanding, [now](const Outstanding& item) {
        return now >= item.expires_at;
      });
      if (holder.outstanding.empty())
        holder.granted = {};
      if (now - holder.reported_at >= kShareTtl)
        holder.demand = 0;
    }
  }
}

void RateAllocator::MaybeUnlock(TimePoint now) {
  if (!locked_)
    return;
  bool all_reported =
      members_known_ &&
      std::ranges::all_of(members_, [this](const NodeId& node) {
        auto found = peers_.find(node);
        return found != peers_.end() && found->second.has_reported;
      });
  if (!all_reported && now < taken_over_at_ + kMaxUnconfirmedShareTtl)
    return;
  for (auto& [name, state] : organisations_)
    Refill(state, now);
  locked_ = false;
}

std::map<NodeId, Share> RateAllocator::DesiredShares(
    const Organisation& state) const {
  std::vector<std::pair<double, NodeId>> wanted;
  double sum = 0;
  for (const auto& [node, holder] : state.holders) {
    if (holder.demand <= 0)
      continue;
    wanted.emplace_back(holder.demand, node);
    sum += holder.demand;
  }
  Share limit = state.limit;
  // A bucket that holds less than one token admits nothing. If the burst is
  // smaller than the number of nodes with demand, those with the highest demand
  // get it.
  std::ranges::sort(wanted, std::greater<>());
  size_t max_holders = static_cast<size_t>(std::max(limit.burst, 0.0));
  while (wanted.size() > max_holders) {
    sum -= wanted.back().first;
    wanted.pop_back();
  }
  std::map<NodeId, Share> desired_shares;
  if (limit.rate <= 0)
    return desired_shares;
  double remaining = limit.rate;
  double spare_burst = limit.burst - static_cast<double>(wanted.size());
  double sqrt_sum = 0;
  bool scarce = sum > limit.rate;
  for (size_t i = wanted.size(); i-- > 0;) {
    const auto& [demand, node] = wanted[i];
    // If demand exceeds the rate, smallest demand first: each node gets its
    // demand, but at most an equal part of the remaining rate (max-min
    // fairness).
    double rate = scarce
                      ? std::min(demand, remaining / static_cast<double>(i + 1))
                      : limit.rate * demand / sum;
    remaining -= rate;
    sqrt_sum += std::sqrt(rate);
    desired_shares[node] = {rate, 1};
  }
  // Random variation of arrivals grows with the square root of the rate, so
  // the burst that absorbs it is divided in that proportion.
  for (auto& [node, desired] : desired_shares)
    desired.burst += spare_burst * std::sqrt(desired.rate) / sqrt_sum;
  return desired_shares;
}

std::chrono::milliseconds RateAllocator::GrantTtl(
    const OwnershipStatus& ownership,
    TimePoint now) const {
  if (ownership.is_confirmed)
    return kShareTtl;
  auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      ownership.confirmed_at + kMaxUnconfirmedShareTtl - now);
  return std::max(remaining, 0ms);
}

wire::ShareGrant& RateAllocator::GrantMessageFor(
    const NodeId& node,
    Grants& grants,
    const OwnershipStatus& ownership,
    TimePoint now) const {
  for (auto& grant : grants) {
    if (grant.node == node)
      return grant.message;
  }
  wire::ShareGrant& message = grants.emplace_back(Grant{node, {}}).message;
  const Peer& peer = peers_.at(node);
  message.set_partition(partition_);
  message.set_epoch(epoch_);
  message.set_request(peer.last_request);
  message.set_incarnation(peer.incarnation);
  message.set_validity_ms(
      static_cast<uint32_t>(GrantTtl(ownership, now).count()));
  return message;
}

void RateAllocator::GrantShare(const std::string& name,
                               Organisation& state,
                               const NodeId& node,
                               Share desired,
                               Grants& grants,
                               const OwnershipStatus& ownership,
                               TimePoint now) {
  Refill(state, now);
  Holder& holder = state.holders[node];
  Share capacity = Capacity(state);
  Share used = CommittedOf(state);
  Share own = CommittedOf(holder);
  if (!rules_.await_decrease_reports) {
    used = {};
    for (const auto& [other, item] : state.holders) {
      used.rate += item.granted.rate;
      used.burst += item.granted.burst;
    }
    own = holder.granted;
  }
  Share share{std::min(desired.rate,
                       own.rate + std::max(capacity.rate - used.rate, 0.0)),
              std::min(desired.burst,
                       own.burst + std::max(capacity.burst - used.burst, 0.0))};
  if (share.rate <= 0 || share.burst <= 0)
    share = {};
  wire::ShareGrant& message = GrantMessageFor(node, grants, ownership, now);
  auto ttl = std::chrono::milliseconds(message.validity_ms());
  if (ttl <= 0ms)
    return;
  double tokens = std::min(state.unassigned_tokens,
                           std::max(share.burst - holder.granted.burst, 0.0));
  state.unassigned_tokens -= tokens;
  wire::GrantedShare& granted = *message.add_shares();
  granted.set_organisation(name);
  granted.set_rate(share.rate);
  granted.set_burst(share.burst);
  granted.set_tokens(tokens);
  granted.set_grant_sequence(++sequence_);
  holder.granted = share;
  holder.outstanding.push_back(
      {sequence_, share, now + ttl + ttl / kShareMarginDivisor});
  Refill(state, now);
}

void RateAllocator::Rebalance(const std::string& name,
                              const NodeId& requester,
                              Grants& grants,
                              const OwnershipStatus& ownership,
                              TimePoint now) {
  Organisation& state = FindOrAdd(name, now);
  auto desired_shares = DesiredShares(state);
  GrantShare(name, state, requester, desired_shares[requester], grants,
             ownership, now);
  bool needs_rebalance =
      std::ranges::any_of(desired_shares, [&](const auto& item) {
        return state.holders[item.first].granted.rate <
               item.second.rate * (1 - kShareToleranceFraction);
      });
  const Share& limit = state.limit;
  Share used = CommittedOf(state);
  needs_rebalance = needs_rebalance ||
                    used.rate > limit.rate + kRoundingTolerance ||
                    used.burst > limit.burst + kRoundingTolerance;
  if (!needs_rebalance)
    return;
  // Decreases come first: once they are reported, the rate and burst that they
  // free can be granted to the other nodes.
  for (auto& [node, holder] : state.holders) {
    Share desired = desired_shares[node];
    if (node != requester && peers_.contains(node) &&
        holder.granted.rate > desired.rate * (1 + kShareToleranceFraction)) {
      GrantShare(name, state, node, desired, grants, ownership, now);
    }
  }
  for (auto& [node, desired] : desired_shares) {
    Share used_now = CommittedOf(state);
    double free = Capacity(state).rate - used_now.rate;
    double missing = desired.rate - state.holders[node].granted.rate;
    if (node != requester && missing > desired.rate * kShareToleranceFraction &&
        free > missing * kShareToleranceFraction) {
      GrantShare(name, state, node, desired, grants, ownership, now);
    }
  }
}

RateAllocator::Grants RateAllocator::OnRequest(
    const NodeId& node,
    const wire::ShareRequest& request,
    const OwnershipStatus& ownership,
    TimePoint now) {
  Grants grants;
  Peer& peer = peers_[node];
  if (request.incarnation() < peer.incarnation)
    return grants;
  if (request.incarnation() > peer.incarnation) {
    // The former incarnation has ended, so its shares are free.
    if (peer.incarnation != 0)
      OnIncarnationEnded(node, peer.incarnation, now);
    peer = {request.incarnation(), 0, false};
  }
  if (request.request() <= peer.last_request)
    return grants;
  peer.last_request = request.request();
  if (request.epoch() != epoch_) {
    // The node may still use grants of the former owner. This answer carries
    // the new epoch, and the node then sends a new report.
    GrantMessageFor(node, grants, {}, now).set_validity_ms(0);
    return grants;
  }
  ExpireShares(ownership, now);
  ReportKind kind = peer.has_reported ? ReportKind::kLater : ReportKind::kFirst;
  if (request.returning())
    kind = ReportKind::kReturning;
  peer.has_reported = true;
  for (const auto& held : request.shares())
    ApplyReport(node, held, kind, now);
  MaybeUnlock(now);
  GrantMessageFor(node, grants, ownership, now);
  if (!members_known_ || !members_.contains(node))
    return grants;
  for (const auto& held : request.shares())
    Rebalance(held.organisation(), node, grants, ownership, now);
  if (request.returning())
    std::erase_if(grants,
                  [&](const Grant& grant) { return grant.node == node; });
  return grants;
}

}  // namespace comfreylock
