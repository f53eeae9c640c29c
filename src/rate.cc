#include "comfreylock/rate.h"

#include <algorithm>
#include <cmath>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

constexpr double kEpsilon = 1e-9;

double Seconds(NodeClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// Node side.

void RateLimiter::Refill(Bucket& bucket, TimePoint now) const {
  if (now >= bucket.valid_until) {
    bucket.share = {};
    bucket.tokens = 0;
  }
  double gained = bucket.share.rate * Seconds(now - bucket.refilled);
  bucket.tokens = std::min(bucket.tokens + gained, bucket.share.burst);
  bucket.refilled = now;
}

void RateLimiter::CountDemand(Bucket& bucket,
                              TimePoint now,
                              double arrivals) const {
  double passed = Seconds(now - bucket.counted);
  bucket.counted = now;
  bucket.fast *= std::exp(-passed / Seconds(kDemandFast));
  bucket.slow *= std::exp(-passed / Seconds(kDemandSlow));
  bucket.fast += arrivals;
  bucket.slow += arrivals;
  // The slow count is steady, so that shares do not swing with chance. A
  // change that chance does not explain takes effect at once.
  double ratio = Seconds(kDemandSlow) / Seconds(kDemandFast);
  double expected = bucket.slow / ratio;
  double chance = kDemandDeviations * std::sqrt(std::max(expected / 2, 1.0));
  if (std::abs(bucket.fast - expected) > chance)
    bucket.slow = bucket.fast * ratio;
}

double RateLimiter::Demand(const Bucket& bucket) const {
  double demand = bucket.slow / Seconds(kDemandSlow);
  return demand < kLeastDemand ? 0 : demand;
}

bool RateLimiter::TakeToken(Bucket& bucket, TimePoint now) const {
  Refill(bucket, now);
  // The rounding of repeated refills must not delay a token that is due; the
  // tolerance is far below one request in any practical number of calls.
  if (bucket.tokens < 1 - kEpsilon)
    return false;
  bucket.tokens -= 1;
  return true;
}

RateLimiter::Decision RateLimiter::Admit(CallId call,
                                         const std::string& organisation,
                                         uint32_t partition,
                                         TimePoint now) {
  if (returned_)
    return Decision::kUnavailable;
  auto [found, added] = buckets_.try_emplace(organisation);
  Bucket& bucket = found->second;
  if (added) {
    bucket.partition = partition;
    bucket.refilled = bucket.counted = bucket.valid_until = now;
  }
  CountDemand(bucket, now, 1);
  if (bucket.waiting.empty() && TakeToken(bucket, now))
    return Decision::kAdmitted;
  Partition& state = partitions_[partition];
  bool short_of_share =
      Demand(bucket) > bucket.reported_demand * kDemandGrowth + kLeastDemand;
  state.urgent = state.urgent || short_of_share;
  if (bucket.waiting.size() < kMaxWaitingForShare) {
    bucket.waiting.push_back({call, now + kShareWait});
    return Decision::kWaiting;
  }
  return bucket.share.rate > 0 ? Decision::kOverRate : Decision::kUnavailable;
}

void RateLimiter::Cancel(CallId call) {
  for (auto& [name, bucket] : buckets_) {
    std::erase_if(bucket.waiting, [call](const Waiting& waiting) {
      return waiting.call == call;
    });
  }
}

void RateLimiter::LearnEpoch(uint32_t partition, uint64_t epoch) {
  Partition& state = partitions_[partition];
  if (epoch <= state.epoch)
    return;
  state.epoch = epoch;
  state.acknowledged = false;
  state.urgent = true;
  state.sent.clear();
  for (auto& [name, bucket] : buckets_) {
    if (bucket.partition == partition)
      bucket.sequence = 0;
  }
}

void RateLimiter::Apply(const wire::ShareGrant& grant, TimePoint now) {
  if (returned_ || grant.incarnation() != incarnation_)
    return;
  LearnEpoch(grant.partition(), grant.epoch());
  Partition& state = partitions_[grant.partition()];
  auto sent = state.sent.find(grant.request());
  if (grant.epoch() != state.epoch || sent == state.sent.end())
    return;
  state.acknowledged = true;
  TimePoint valid_until =
      sent->second + std::chrono::milliseconds(grant.validity_ms());
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
    bucket.returned += tokens - bucket.tokens;
    // The owner can give a decrease to others only once it is reported.
    if (granted.rate() < before.rate - kEpsilon ||
        granted.burst() < before.burst - kEpsilon) {
      state.urgent = true;
    }
  }
}

void RateLimiter::ServeWaiting(Bucket& bucket,
                               TimePoint now,
                               Verdicts& verdicts) const {
  while (!bucket.waiting.empty() && TakeToken(bucket, now)) {
    verdicts.push_back({bucket.waiting.front().call, Decision::kAdmitted});
    bucket.waiting.pop_front();
  }
  Decision refusal =
      bucket.share.rate > 0 ? Decision::kOverRate : Decision::kUnavailable;
  while (!bucket.waiting.empty() && now >= bucket.waiting.front().until) {
    verdicts.push_back({bucket.waiting.front().call, refusal});
    bucket.waiting.pop_front();
  }
}

bool RateLimiter::Due(uint32_t partition,
                      const Partition& state,
                      TimePoint now) const {
  auto passed = now - state.last_sent;
  if (!state.sent.empty() && passed < kShareRequestLeast)
    return false;
  if (state.urgent)
    return true;
  if (passed < kShareRequestInterval)
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
    CountDemand(bucket, now, 0);
    bucket.reported_demand = Demand(bucket);
    wire::HeldShare& held = *request.add_shares();
    held.set_organisation(name);
    held.set_rate(bucket.share.rate);
    held.set_burst(bucket.share.burst);
    held.set_demand(bucket.reported_demand);
    held.set_grant_sequence(bucket.sequence);
    held.set_returned_tokens(bucket.returned);
  }
  state.urgent = false;
  state.last_sent = now;
  state.sent[last_request_] = now;
  while (state.sent.size() > kShareRequestsKept)
    state.sent.erase(state.sent.begin());
  return request;
}

RateLimiter::Verdicts RateLimiter::Advance(TimePoint now, Requests& requests) {
  Verdicts verdicts;
  for (auto& [name, bucket] : buckets_)
    ServeWaiting(bucket, now, verdicts);
  if (returned_)
    return verdicts;
  for (auto& [partition, state] : partitions_) {
    if (Due(partition, state, now))
      requests.push_back(MakeRequest(partition, state, now));
  }
  return verdicts;
}

RateLimiter::Requests RateLimiter::ReturnAll(TimePoint now) {
  Requests requests;
  for (auto& [name, bucket] : buckets_) {
    Refill(bucket, now);
    bucket.returned += bucket.tokens;
    bucket.tokens = 0;
    bucket.share = {};
  }
  for (auto& [partition, state] : partitions_) {
    requests.push_back(MakeRequest(partition, state, now));
    requests.back().set_returning(true);
  }
  returned_ = true;
  return requests;
}

Share RateLimiter::Usable(const std::string& organisation,
                          TimePoint now) const {
  auto found = buckets_.find(organisation);
  if (found == buckets_.end() || now >= found->second.valid_until)
    return {};
  return found->second.share;
}

// Owner side.

RateAllocator::RateAllocator(uint32_t partition,
                             uint64_t epoch,
                             bool first_ever,
                             TimePoint now,
                             Limits limits,
                             Rules rules)
    : partition_(partition),
      epoch_(epoch),
      locked_(!first_ever && rules.lock_unreported),
      first_ever_(first_ever),
      taken_(now),
      limits_(std::move(limits)),
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

void RateAllocator::NodeEnded(const NodeId& node,
                              uint64_t incarnation,
                              TimePoint now) {
  Peer& peer = peers_[node];
  if (incarnation < peer.incarnation)
    return;
  // Requests of the ended process that are still on their way are ignored.
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

RateAllocator::Organisation& RateAllocator::Find(const std::string& name,
                                                 TimePoint now) {
  auto [found, added] = organisations_.try_emplace(name);
  Organisation& state = found->second;
  Share limit = limits_(name);
  if (added) {
    state.limit = limit;
    state.refilled = now;
    // Nothing was ever admitted, so the whole burst is there.
    if (first_ever_)
      state.reserve = limit.burst;
  }
  // The bundle may have changed at any time since the last refill, so that
  // interval counts with the smaller limit.
  state.limit = {std::min(limit.rate, state.limit.rate),
                 std::min(limit.burst, state.limit.burst)};
  Refill(state, now);
  state.limit = limit;
  return state;
}

Share RateAllocator::Capacity(const Organisation& state) const {
  Share limit = state.limit;
  if (locked_) {
    limit.rate = std::min(limit.rate, state.accounted.rate);
    limit.burst = std::min(limit.burst, state.accounted.burst);
  }
  return limit;
}

void RateAllocator::Refill(Organisation& state, TimePoint now) const {
  Share capacity = Capacity(state);
  Share used = CommittedOf(state);
  double gained =
      std::max(capacity.rate - used.rate, 0.0) * Seconds(now - state.refilled);
  double room = std::max(capacity.burst - used.burst, 0.0);
  state.reserve = std::min(state.reserve + gained, room);
  state.refilled = now;
}

void RateAllocator::TakeReport(const NodeId& node,
                               const wire::HeldShare& held,
                               ReportKind kind,
                               TimePoint now) {
  Organisation& state = Find(held.organisation(), now);
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
    // A share of the former owner may be valid for as long as the hold.
    holder.outstanding.push_front(
        {held.grant_sequence(), share, now + kShareHold});
  }
  if (kind == ReportKind::kFirst) {
    state.accounted.rate += share.rate;
    state.accounted.burst += share.burst;
  }
  // A leaving node applies no grant any more.
  if (kind == ReportKind::kReturning)
    holder.outstanding.clear();
  // Returned tokens go with the burst that this report sets free. A total
  // that was earned under another owner or entry is only the starting point.
  double released = std::max(before - CommittedOf(holder).burst, 0.0);
  double returned = held.returned_tokens() - holder.returned;
  if (holder.returned_known)
    state.reserve += std::clamp(returned, 0.0, released);
  holder.returned = held.returned_tokens();
  holder.returned_known = true;
  holder.demand = kind == ReportKind::kReturning ? 0 : held.demand();
  holder.heard = now;
  if (holder.outstanding.empty() ||
      holder.outstanding.back().sequence == held.grant_sequence()) {
    holder.granted = share;
  }
  Refill(state, now);
}

void RateAllocator::Lapse(const OwnerCertainty& certainty, TimePoint now) {
  // Without certainty a successor may have confirmed the share to its node.
  if (!certainty.certain)
    return;
  for (auto& [name, state] : organisations_) {
    Refill(state, now);
    for (auto& [node, holder] : state.holders) {
      std::erase_if(holder.outstanding, [now](const Outstanding& item) {
        return now >= item.expires;
      });
      if (holder.outstanding.empty())
        holder.granted = {};
      if (now - holder.heard >= kShareValidity)
        holder.demand = 0;
    }
  }
}

void RateAllocator::Unlock(TimePoint now) {
  if (!locked_)
    return;
  bool all = members_known_ &&
             std::ranges::all_of(members_, [this](const NodeId& node) {
               auto found = peers_.find(node);
               return found != peers_.end() && found->second.reported;
             });
  if (!all && now < taken_ + kShareHold)
    return;
  for (auto& [name, state] : organisations_)
    Refill(state, now);
  locked_ = false;
}

std::map<NodeId, Share> RateAllocator::Targets(
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
  // A bucket below one token admits nothing, so a small burst goes to the
  // nodes with most demand.
  std::ranges::sort(wanted, std::greater<>());
  size_t most = static_cast<size_t>(std::max(limit.burst, 0.0));
  while (wanted.size() > most) {
    sum -= wanted.back().first;
    wanted.pop_back();
  }
  std::map<NodeId, Share> targets;
  if (limit.rate <= 0)
    return targets;
  double left = limit.rate;
  double spare_burst = limit.burst - static_cast<double>(wanted.size());
  double roots = 0;
  bool scarce = sum > limit.rate;
  for (size_t i = wanted.size(); i-- > 0;) {
    const auto& [demand, node] = wanted[i];
    // Smallest demand first: each gets at most an equal part of the rest.
    double rate = scarce ? std::min(demand, left / static_cast<double>(i + 1))
                         : limit.rate * demand / sum;
    left -= rate;
    roots += std::sqrt(rate);
    targets[node] = {rate, 1};
  }
  // Chance swings grow with the square root of the rate, so the burst that
  // absorbs them is spread that way.
  for (auto& [node, target] : targets)
    target.burst += spare_burst * std::sqrt(target.rate) / roots;
  return targets;
}

std::chrono::milliseconds RateAllocator::Validity(
    const OwnerCertainty& certainty,
    TimePoint now) const {
  if (certainty.certain)
    return kShareValidity;
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      certainty.confirmed + kShareHold - now);
  return std::max(left, 0ms);
}

wire::ShareGrant& RateAllocator::GrantTo(const NodeId& node,
                                         Grants& grants,
                                         const OwnerCertainty& certainty,
                                         TimePoint now) const {
  for (auto& grant : grants) {
    if (grant.node == node)
      return grant.message;
  }
  wire::ShareGrant& message = grants.emplace_back(Grant{node, {}}).message;
  const Peer& peer = peers_.at(node);
  message.set_partition(partition_);
  message.set_epoch(epoch_);
  message.set_request(peer.request);
  message.set_incarnation(peer.incarnation);
  message.set_validity_ms(
      static_cast<uint32_t>(Validity(certainty, now).count()));
  return message;
}

void RateAllocator::Offer(const std::string& name,
                          Organisation& state,
                          const NodeId& node,
                          Share target,
                          Grants& grants,
                          const OwnerCertainty& certainty,
                          TimePoint now) {
  Refill(state, now);
  Holder& holder = state.holders[node];
  Share capacity = Capacity(state);
  Share used = CommittedOf(state);
  Share own = CommittedOf(holder);
  if (!rules_.give_first) {
    used = {};
    for (const auto& [other, item] : state.holders) {
      used.rate += item.granted.rate;
      used.burst += item.granted.burst;
    }
    own = holder.granted;
  }
  Share share{std::min(target.rate,
                       own.rate + std::max(capacity.rate - used.rate, 0.0)),
              std::min(target.burst,
                       own.burst + std::max(capacity.burst - used.burst, 0.0))};
  if (share.rate <= 0 || share.burst <= 0)
    share = {};
  wire::ShareGrant& message = GrantTo(node, grants, certainty, now);
  auto validity = std::chrono::milliseconds(message.validity_ms());
  if (validity <= 0ms)
    return;
  double tokens = std::min(state.reserve,
                           std::max(share.burst - holder.granted.burst, 0.0));
  state.reserve -= tokens;
  wire::GrantedShare& granted = *message.add_shares();
  granted.set_organisation(name);
  granted.set_rate(share.rate);
  granted.set_burst(share.burst);
  granted.set_tokens(tokens);
  granted.set_grant_sequence(++sequence_);
  holder.granted = share;
  holder.outstanding.push_back(
      {sequence_, share, now + validity + validity / kShareMarginDivisor});
  Refill(state, now);
}

void RateAllocator::Rebalance(const std::string& name,
                              const NodeId& asking,
                              Grants& grants,
                              const OwnerCertainty& certainty,
                              TimePoint now) {
  Organisation& state = Find(name, now);
  auto targets = Targets(state);
  Offer(name, state, asking, targets[asking], grants, certainty, now);
  bool anyone_short = std::ranges::any_of(targets, [&](const auto& item) {
    return state.holders[item.first].granted.rate <
           item.second.rate * (1 - kShareSlack);
  });
  const Share& limit = state.limit;
  Share used = CommittedOf(state);
  anyone_short = anyone_short || used.rate > limit.rate + kEpsilon ||
                 used.burst > limit.burst + kEpsilon;
  if (!anyone_short)
    return;
  // Decreases first: what they free in a later report goes to the others.
  for (auto& [node, holder] : state.holders) {
    Share target = targets[node];
    if (node != asking && peers_.contains(node) &&
        holder.granted.rate > target.rate * (1 + kShareSlack)) {
      Offer(name, state, node, target, grants, certainty, now);
    }
  }
  for (auto& [node, target] : targets) {
    Share used_now = CommittedOf(state);
    double free = Capacity(state).rate - used_now.rate;
    double missing = target.rate - state.holders[node].granted.rate;
    if (node != asking && missing > target.rate * kShareSlack &&
        free > missing * kShareSlack) {
      Offer(name, state, node, target, grants, certainty, now);
    }
  }
}

RateAllocator::Grants RateAllocator::OnRequest(
    const NodeId& node,
    const wire::ShareRequest& request,
    const OwnerCertainty& certainty,
    TimePoint now) {
  Grants grants;
  Peer& peer = peers_[node];
  if (request.incarnation() < peer.incarnation)
    return grants;
  if (request.incarnation() > peer.incarnation) {
    // The former process has ended, and its shares with it.
    if (peer.incarnation != 0)
      NodeEnded(node, peer.incarnation, now);
    peer = {request.incarnation(), 0, false};
  }
  if (request.request() <= peer.request)
    return grants;
  peer.request = request.request();
  if (request.epoch() != epoch_) {
    // The node may still obey the former owner. It learns the epoch from this
    // answer and reports again.
    GrantTo(node, grants, {}, now).set_validity_ms(0);
    return grants;
  }
  Lapse(certainty, now);
  ReportKind kind = peer.reported ? ReportKind::kLater : ReportKind::kFirst;
  if (request.returning())
    kind = ReportKind::kReturning;
  peer.reported = true;
  for (const auto& held : request.shares())
    TakeReport(node, held, kind, now);
  Unlock(now);
  GrantTo(node, grants, certainty, now);
  if (!members_known_ || !members_.contains(node))
    return grants;
  for (const auto& held : request.shares())
    Rebalance(held.organisation(), node, grants, certainty, now);
  if (request.returning())
    std::erase_if(grants,
                  [&](const Grant& grant) { return grant.node == node; });
  return grants;
}

}  // namespace comfreylock
