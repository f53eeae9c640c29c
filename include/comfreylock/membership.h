#ifndef COMFREYLOCK_MEMBERSHIP_H_
#define COMFREYLOCK_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "comfreylock/effects.h"
#include "comfreylock/events.h"
#include "comfreylock/types.h"

/// Which nodes are in the fleet and which of them live: SWIM-style probes,
/// suspicion with refutation, and rumours.
namespace comfreylock {

/// A member as this node knows it.
struct MemberState {
  wire::Member record;
  TimePoint since;  ///< When the status was learnt.
};

/// What follows from an event.
struct MembershipChanges {
  std::vector<SendToPeer> messages;
  std::vector<wire::Member> members;  ///< New or with another status.
};

/// The member table of one node. News about a member is ordered by its
/// incarnation (one for each start of the process), then by its refutation
/// number, then by status; so a refutation is never taken for a restart.
class Membership {
 public:
  /// Interval of probes.
  static constexpr std::chrono::milliseconds kProbeInterval{1000};
  /// A probe without answer is repeated through others after this time.
  static constexpr std::chrono::milliseconds kDirectTimeout{300};
  /// A suspected member that does not refute is dead after this time.
  static constexpr std::chrono::milliseconds kSuspicionTime{3000};
  /// Members through which an indirect probe goes, and members that news is
  /// sent on to.
  static constexpr size_t kFanOut = 3;
  /// Members in one message; about 120 bytes each.
  static constexpr size_t kMaxPiggyback = 6;
  static constexpr size_t kMaxPush = 20;
  static constexpr size_t kMaxSync = 100;
  /// Dead and departed members are remembered this long, so that late news
  /// does not bring them back: the longest hold of a share and a minute.
  static constexpr std::chrono::minutes kForgetTime{16};

  /// @param self this node's record.
  /// @param seeds control addresses of first peers.
  Membership(wire::Member self,
             std::vector<std::string> seeds,
             uint64_t seed,
             TimePoint now);

  /// Probes, ends suspicions, and sends on what was learnt.
  MembershipChanges Advance(TimePoint now);

  /// Takes a message from another node; bodies of other modules are ignored,
  /// but for the rumours in them.
  MembershipChanges Receive(const PeerMessageReceived& event, TimePoint now);

  /// Learns of a record in the store.
  MembershipChanges LearnFromStore(const wire::Member& record, TimePoint now);

  /// Learns that the record of `node` was deleted from the store.
  MembershipChanges LearnDeleted(const NodeId& node, TimePoint now);

  /// Tells others that this node leaves.
  MembershipChanges Leave(TimePoint now);

  /// Adds an owner to the rumours that are sent.
  void SetOwner(const wire::PartitionOwner& owner);

  /// Sets the bundle version that is sent with every rumour.
  void SetBundleVersion(uint64_t version) { bundle_version_ = version; }

  /// Records that this node reached the store.
  void OnStoreReached(TimePoint now);

  /// @return the time since this node, or anyone it heard of, reached the
  /// store; counted from the start if nobody did.
  std::chrono::milliseconds StoreAge(TimePoint now) const;

  /// @return whether this node may be cut off: nobody it hears of reached the
  /// store for 15 min, or for 10 s and fewer than half of the members answer.
  bool Isolated(TimePoint now) const;

  /// @return whether this node is among the `count` first of its zone for a
  /// duty, by rendezvous hash over live members.
  bool HasZoneDuty(std::string_view duty, size_t count) const;

  /// @return whether this node has the lowest id of its zone's live members.
  bool IsRegistrar() const;

  /// Adds news, store age and bundle version to rumours.
  void Fill(wire::Rumours& rumours, size_t most_members, TimePoint now);

  const wire::Member& self() const { return self_; }
  const std::map<NodeId, MemberState>& members() const { return members_; }

  /// @return the rumours in a message, or null.
  static const wire::Rumours* RumoursIn(const wire::PeerMessage& message);

 private:
  struct Probe {
    NodeId node;
    uint64_t nonce = 0;
    TimePoint sent;
    bool indirect = false;
  };
  struct Relay {
    std::string address;  ///< Of the node that asked for the probe.
    NodeId node;
    uint64_t nonce = 0;
    TimePoint sent;
  };

  bool Learn(const wire::Member& record, TimePoint now);
  void LearnAll(const wire::Rumours& rumours, TimePoint now);
  void Refute(const wire::Member& news);
  void Queue(const NodeId& node);
  void StartProbe(TimePoint now);
  void EndProbe(TimePoint now);
  void SendIndirect(TimePoint now);
  void EndSuspicions(TimePoint now);
  void Flush(TimePoint now);
  void AskForSync(TimePoint now);
  void SendSync(const PeerMessageReceived& event, TimePoint now);
  void OnPing(const PeerMessageReceived& event, TimePoint now);
  void OnAck(const wire::Ack& ack, TimePoint now);
  std::vector<const wire::Member*> PickLive(size_t count, const NodeId& except);
  wire::PeerMessage& Send(const NodeId& node, const std::string& address);
  void CountMembers();
  MembershipChanges Take();

  wire::Member self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  TimePoint started_;
  TimePoint last_advance_;
  std::map<NodeId, MemberState> members_;  ///< Without this node.
  std::map<uint32_t, wire::PartitionOwner> owners_;
  /// News still to be piggybacked, with the number of times left.
  std::map<NodeId, uint32_t> news_;
  std::map<uint32_t, uint32_t> owner_news_;
  std::vector<NodeId> to_push_;
  std::vector<NodeId> probe_order_;
  std::optional<Probe> probe_;
  TimePoint next_probe_;
  TimePoint next_flush_;
  TimePoint next_sync_;
  bool synced_ = false;
  std::map<uint64_t, Relay> relays_;
  uint64_t bundle_version_ = 0;
  std::optional<TimePoint> store_reached_;
  size_t alive_ = 0;
  size_t known_ = 0;
  MembershipChanges changes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_MEMBERSHIP_H_
