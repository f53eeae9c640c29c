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

/// Fleet-wide rate and burst: the shares that a node holds and the allocator
/// at the owner of a partition. For each organisation, the sum of the shares
/// that nodes may use never exceeds rate and burst. A lowered rate counts once
/// all nodes have reported their decreases.
namespace comfreylock {

/// A part of an organisation's rate and burst.
struct Share {
  double rate = 0;   ///< Requests per second.
  double burst = 0;  ///< Requests.
};

/// A node's shares: admits calls and asks owners for what it needs.
class RateLimiter {
 public:
  enum class Decision {
    kAdmitted,
    kWaiting,      ///< Reported later by Advance.
    kOverRate,     ///< The share is used up.
    kUnavailable,  ///< There is no valid share.
  };
  struct Verdict {
    CallId call;
    Decision decision = Decision::kUnavailable;
  };
  using Verdicts = std::vector<Verdict>;
  using Requests = std::vector<wire::ShareRequest>;

  /// @param incarnation of this node; grants for another are ignored.
  explicit RateLimiter(uint64_t incarnation) : incarnation_(incarnation) {}

  /// Takes a token, or lets the call wait for one.
  Decision Admit(CallId call,
                 const std::string& organisation,
                 uint32_t partition,
                 TimePoint now);

  /// Forgets a waiting call.
  void Cancel(CallId call);

  /// Learns of an owner; grants of lower epochs are ignored from now on.
  void LearnEpoch(uint32_t partition, uint64_t epoch);

  /// Applies a grant if it is newer than what is held and still valid.
  void Apply(const wire::ShareGrant& grant, TimePoint now);

  /// Decides about waiting calls, and appends the requests that are due.
  Verdicts Advance(TimePoint now, Requests& requests);

  /// Gives up all shares. @return the requests that return them.
  Requests ReturnAll(TimePoint now);

  /// @return the share that is usable now.
  Share Usable(const std::string& organisation, TimePoint now) const;

 private:
  struct Waiting {
    CallId call;
    TimePoint until;
  };
  struct Bucket {
    uint32_t partition = 0;
    Share share;
    double tokens = 0;
    double returned = 0;  ///< Tokens cut by decreases, in total.
    TimePoint refilled;
    TimePoint valid_until;
    uint64_t sequence = 0;  ///< Of the last grant applied in this epoch.
    double fast = 0;        ///< Decaying counts of arrivals.
    double slow = 0;
    TimePoint counted;
    double reported_demand = 0;
    std::deque<Waiting> waiting;
  };
  struct Partition {
    uint64_t epoch = 0;
    bool acknowledged = false;  ///< The owner of `epoch` has answered.
    bool urgent = false;
    TimePoint last_sent;
    std::map<uint64_t, TimePoint> sent;  ///< Requests that may be answered.
  };

  void Refill(Bucket& bucket, TimePoint now) const;
  void CountDemand(Bucket& bucket, TimePoint now, double arrivals) const;
  double Demand(const Bucket& bucket) const;
  bool TakeToken(Bucket& bucket, TimePoint now) const;
  void ServeWaiting(Bucket& bucket, TimePoint now, Verdicts& verdicts) const;
  bool Due(uint32_t partition, const Partition& state, TimePoint now) const;
  wire::ShareRequest MakeRequest(uint32_t partition,
                                 Partition& state,
                                 TimePoint now);

  uint64_t incarnation_;
  uint64_t last_request_ = 0;
  bool returned_ = false;
  std::map<std::string, Bucket> buckets_;
  std::map<uint32_t, Partition> partitions_;
};

/// How certain an owner is of its ownership.
struct OwnerCertainty {
  bool certain = false;  ///< See PartitionTable::Certain.
  TimePoint confirmed;   ///< Start of the last confirming request.
};

/// Hands out the shares of one partition at its owner.
class RateAllocator {
 public:
  struct Grant {
    NodeId node;
    wire::ShareGrant message;
  };
  using Grants = std::vector<Grant>;
  /// @return rate and burst of an organisation; zero if there is none.
  using Limits = std::function<Share(const std::string& organisation)>;

  /// Rules that a test can switch off to show that its check finds the fault.
  struct Rules {
    bool give_first = true;  ///< Decreases count only once reported.
    bool lock_unreported = true;
  };

  /// @param first_ever no node owned the partition before.
  RateAllocator(uint32_t partition,
                uint64_t epoch,
                bool first_ever,
                TimePoint now,
                Limits limits,
                Rules rules);

  /// Sets the store's member list, read after the takeover. Nodes outside it
  /// get no share.
  void SetMembers(std::set<NodeId> members);

  /// @return whether the node is in the list.
  bool IsListed(const NodeId& node) const { return members_.contains(node); }

  /// Follows a later change of the list. While shares are locked, nodes that
  /// left the list still count as unreported.
  void ChangeMember(const NodeId& node, bool listed);

  /// Tells that this incarnation of a node and all earlier ones have ended.
  void NodeEnded(const NodeId& node, uint64_t incarnation, TimePoint now);

  /// Takes a request. @return the answer, and changes pushed to other nodes.
  Grants OnRequest(const NodeId& node,
                   const wire::ShareRequest& request,
                   const OwnerCertainty& certainty,
                   TimePoint now);

  uint64_t epoch() const { return epoch_; }
  bool locked() const { return locked_; }

  /// @return the sum of shares that nodes may be using.
  Share Committed(const std::string& organisation) const;

 private:
  /// A share that the node may be using.
  struct Outstanding {
    uint64_t sequence = 0;
    Share share;
    TimePoint expires;
  };
  struct Holder {
    std::deque<Outstanding> outstanding;
    Share granted;  ///< In the last grant.
    double demand = 0;
    double returned = 0;  ///< Last total reported.
    bool returned_known = false;
    TimePoint heard;
  };
  struct Organisation {
    Share limit;
    std::map<NodeId, Holder> holders;
    Share accounted;     ///< Sum of first reports, while locked.
    double reserve = 0;  ///< Tokens for shares that nobody holds.
    TimePoint refilled;
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t request = 0;
    bool reported = false;
  };

  enum class ReportKind { kFirst, kLater, kReturning };

  static Share CommittedOf(const Holder& holder);
  static Share CommittedOf(const Organisation& organisation);
  Organisation& Find(const std::string& name, TimePoint now);
  Share Capacity(const Organisation& state) const;
  void Refill(Organisation& state, TimePoint now) const;
  void TakeReport(const NodeId& node,
                  const wire::HeldShare& held,
                  ReportKind kind,
                  TimePoint now);
  void Lapse(const OwnerCertainty& certainty, TimePoint now);
  void Unlock(TimePoint now);
  std::map<NodeId, Share> Targets(const Organisation& state) const;
  void Offer(const std::string& name,
             Organisation& state,
             const NodeId& node,
             Share target,
             Grants& grants,
             const OwnerCertainty& certainty,
             TimePoint now);
  void Rebalance(const std::string& name,
                 const NodeId& asking,
                 Grants& grants,
                 const OwnerCertainty& certainty,
                 TimePoint now);
  wire::ShareGrant& GrantTo(const NodeId& node,
                            Grants& grants,
                            const OwnerCertainty& certainty,
                            TimePoint now) const;
  std::chrono::milliseconds Validity(const OwnerCertainty& certainty,
                                     TimePoint now) const;

  uint32_t partition_;
  uint64_t epoch_;
  bool locked_;
  bool first_ever_;
  TimePoint taken_;
  Limits limits_;
  Rules rules_;
  uint64_t sequence_ = 0;
  bool members_known_ = false;
  std::set<NodeId> members_;
  std::map<NodeId, Peer> peers_;
  std::map<std::string, Organisation> organisations_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_RATE_H_
