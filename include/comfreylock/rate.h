#ifndef COMFREYLOCK_RATE_H_
#define COMFREYLOCK_RATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreylock/types.h"
#include "generated/comfreylock.pb.h"

/// Fleet-wide rate limits. Each node admits calls within its share of an
/// organisation's rate and burst (RateLimiter); the owner of the organisation's
/// partition divides rate and burst into shares (RateAllocator). For each
/// organisation, the sum of the shares that nodes may use never exceeds rate
/// and burst. A lowered limit applies once all nodes have reported their
/// decreases.
namespace comfreylock {

/// A part of an organisation's rate and burst.
struct Share {
  double rate = 0;   ///< Requests per second.
  double burst = 0;  ///< Requests.
};

/// Admits calls within the shares that this node holds, and requests shares
/// from the owners of the partitions.
class RateLimiter {
 public:
  enum class Decision {
    kAdmitted,
    kWaiting,      ///< Advance returns the decision later.
    kOverRate,     ///< The share has no token left.
    kUnavailable,  ///< The node holds no valid share.
  };
  struct CallDecision {
    CallId call;
    Decision decision = Decision::kUnavailable;
  };
  using CallDecisions = std::vector<CallDecision>;
  using Requests = std::vector<wire::ShareRequest>;

  /// @param incarnation of this node; grants for another are ignored.
  explicit RateLimiter(uint64_t incarnation) : incarnation_(incarnation) {}

  /// Consumes a token, or queues the call until a token is available or
  /// kMaxShareWait has passed.
  Decision Admit(CallId call,
                 const std::string& organisation,
                 uint32_t partition,
                 TimePoint now);

  /// Removes a waiting call.
  void Cancel(CallId call);

  /// Records the epoch of a partition's owner; grants of lower epochs are
  /// ignored from then on.
  void UpdateEpoch(uint32_t partition, uint64_t epoch);

  /// Applies a grant if it is newer than the last one applied and has not
  /// expired.
  void Apply(const wire::ShareGrant& grant, TimePoint now);

  /// Decides on waiting calls, and appends the share requests that are due.
  /// @return the decisions; calls without one continue to wait.
  CallDecisions Advance(TimePoint now, Requests& requests);

  /// Releases all shares; afterwards no call is admitted.
  /// @return the requests that return the shares to their owners.
  Requests ReturnAll(TimePoint now);

  /// @return the share that is usable now.
  Share UsableShare(const std::string& organisation, TimePoint now) const;

 private:
  struct WaitingCall {
    CallId call;
    TimePoint wait_deadline;
  };
  struct Bucket {
    uint32_t partition = 0;
    Share share;
    double tokens = 0;
    double returned_total = 0;  ///< Tokens removed by decreases and returns.
    TimePoint refilled_at;
    TimePoint valid_until;
    uint64_t sequence = 0;     ///< Of the last grant applied in this epoch.
    double fast_arrivals = 0;  ///< Arrival counts, decaying exponentially.
    double slow_arrivals = 0;
    TimePoint demand_updated_at;
    double reported_demand = 0;
    std::deque<WaitingCall> waiting;
  };
  struct Partition {
    uint64_t epoch = 0;
    bool acknowledged = false;  ///< The owner of `epoch` has answered.
    bool urgent = false;
    TimePoint last_sent_at;
    /// Send times by request number. Grants that answer other requests are
    /// ignored.
    std::map<uint64_t, TimePoint> sent_requests;
  };

  void Refill(Bucket& bucket, TimePoint now) const;
  void UpdateDemand(Bucket& bucket, TimePoint now, double arrivals) const;
  double Demand(const Bucket& bucket) const;
  bool TryConsumeToken(Bucket& bucket, TimePoint now) const;
  void DecideWaitingCalls(Bucket& bucket,
                          TimePoint now,
                          CallDecisions& decisions) const;
  bool IsRequestDue(uint32_t partition,
                    const Partition& state,
                    TimePoint now) const;
  wire::ShareRequest MakeRequest(uint32_t partition,
                                 Partition& state,
                                 TimePoint now);

  uint64_t incarnation_;
  uint64_t last_request_ = 0;
  bool shares_returned_ = false;
  std::map<std::string, Bucket> buckets_;
  std::map<uint32_t, Partition> partitions_;
};

/// The store's confirmation of a node's ownership of a partition.
struct OwnershipStatus {
  bool is_confirmed = false;  ///< See PartitionTable::IsConfirmed.
  TimePoint confirmed_at;     ///< Send time of the last confirming request.
};

/// Divides the limits of a partition's organisations into shares, at the
/// partition's owner.
class RateAllocator {
 public:
  struct Grant {
    NodeId node;
    wire::ShareGrant message;
  };
  using Grants = std::vector<Grant>;
  /// @return rate and burst of an organisation; zero if it is not configured.
  using LimitLookup = std::function<Share(const std::string& organisation)>;

  /// Safety rules. A test disables each of them to prove that it detects the
  /// fault that the rule prevents.
  struct Rules {
    /// Grant the rate and burst that a decrease frees only once the node has
    /// reported the decrease.
    bool await_decrease_reports = true;
    /// After a takeover, grant no more than the sum of the reported shares
    /// until all nodes have reported or kMaxUnconfirmedShareTtl has passed.
    bool lock_until_reported = true;
  };

  /// @param is_first_owner no node owned the partition before, so no node holds
  /// a share.
  RateAllocator(uint32_t partition,
                uint64_t epoch,
                bool is_first_owner,
                TimePoint now,
                LimitLookup limit_lookup,
                Rules rules);

  /// Sets the store's member list, read after the takeover. Other nodes are
  /// granted no share.
  void SetMembers(std::set<NodeId> members);

  /// @return whether the node is in the member list.
  bool IsListed(const NodeId& node) const { return members_.contains(node); }

  /// Applies a later change of the member list. While the allocator is locked,
  /// removed nodes stay in the list, as they may still hold unreported shares.
  void ChangeMember(const NodeId& node, bool listed);

  /// Discards the shares of a node whose incarnation and all earlier ones have
  /// ended.
  void OnIncarnationEnded(const NodeId& node,
                          uint64_t incarnation,
                          TimePoint now);

  /// Handles a share request.
  /// @return the answer, and changed shares of other nodes.
  Grants OnRequest(const NodeId& node,
                   const wire::ShareRequest& request,
                   const OwnershipStatus& ownership,
                   TimePoint now);

  uint64_t epoch() const { return epoch_; }
  /// @return whether shares from before the takeover may still be unreported.
  bool locked() const { return locked_; }

  /// @return the sum of the shares that nodes may be using.
  Share Committed(const std::string& organisation) const;

 private:
  /// A granted share that the node may be using.
  struct Outstanding {
    uint64_t sequence = 0;
    Share share;
    TimePoint expires_at;
  };
  struct Holder {
    std::deque<Outstanding> outstanding;
    Share granted;  ///< In the last grant.
    double demand = 0;
    double returned_total = 0;  ///< As last reported.
    bool returned_total_known = false;
    TimePoint reported_at;
  };
  struct Organisation {
    Share limit;
    std::map<NodeId, Holder> holders;
    /// Sum of the shares in the first reports of all nodes; the limit while the
    /// allocator is locked.
    Share reported_shares;
    double unassigned_tokens = 0;  ///< Tokens that belong to no node's share.
    TimePoint refilled_at;
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t last_request = 0;  ///< Its number.
    bool has_reported = false;  ///< To this owner.
  };

  /// kFirst: the node's first report to this owner; kReturning: the node
  /// leaves.
  enum class ReportKind { kFirst, kLater, kReturning };

  static Share CommittedOf(const Holder& holder);
  static Share CommittedOf(const Organisation& organisation);
  Organisation& FindOrAdd(const std::string& name, TimePoint now);
  Share Capacity(const Organisation& state) const;
  void Refill(Organisation& state, TimePoint now) const;
  void ApplyReport(const NodeId& node,
                   const wire::HeldShare& held,
                   ReportKind kind,
                   TimePoint now);
  void ExpireShares(const OwnershipStatus& ownership, TimePoint now);
  void MaybeUnlock(TimePoint now);
  std::map<NodeId, Share> DesiredShares(const Organisation& state) const;
  void GrantShare(const std::string& name,
                  Organisation& state,
                  const NodeId& node,
                  Share desired,
                  Grants& grants,
                  const OwnershipStatus& ownership,
                  TimePoint now);
  void Rebalance(const std::string& name,
                 const NodeId& requester,
                 Grants& grants,
                 const OwnershipStatus& ownership,
                 TimePoint now);
  wire::ShareGrant& GrantMessageFor(const NodeId& node,
                                    Grants& grants,
                                    const OwnershipStatus& ownership,
                                    TimePoint now) const;
  std::chrono::milliseconds GrantTtl(const OwnershipStatus& ownership,
                                     TimePoint now) const;

  uint32_t partition_;
  uint64_t epoch_;
  bool locked_;
  bool first_ever_;
  TimePoint taken_over_at_;
  LimitLookup limit_lookup_;
  Rules rules_;
  uint64_t sequence_ = 0;
  bool members_known_ = false;
  std::set<NodeId> members_;
  std::map<NodeId, Peer> peers_;
  std::map<std::string, Organisation> organisations_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_RATE_H_
