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

/// Membership of the fleet and failure detection: SWIM-style probes, suspicion
/// with refutation, and gossip.
namespace comfreylock {

/// A member as this node knows it.
struct MemberState {
  wire::Member record;
  /// Time of the last status change, shifted by pauses of this process.
  TimePoint status_since;
};

/// Messages to send and member changes that result from an event.
struct MembershipChanges {
  std::vector<SendToPeer> messages;
  std::vector<wire::Member> members;  ///< New or with another status.
};

/// The member table of one node. Updates about a member are ordered by its
/// incarnation (a new one at each start of the process), then by its refutation
/// number, then by status. Refutations have a number of their own, so that a
/// refutation is not mistaken for a restart.
class Membership {
 public:
  static constexpr std::chrono::milliseconds kProbeInterval{1000};
  /// A probe that is not answered within this time is repeated indirectly,
  /// through other members.
  static constexpr std::chrono::milliseconds kDirectProbeTimeout{300};
  /// A suspected member that does not refute within this time is dead.
  static constexpr std::chrono::milliseconds kSuspicionTimeout{3000};
  /// Number of members that relay an indirect probe, and of members to which an
  /// update is pushed.
  static constexpr size_t kGossipFanout = 3;
  /// Maximum numbers of member records in one ping or ack, in one push, and in
  /// one message of a full sync. A record has about 120 bytes.
  static constexpr size_t kMaxPiggybackedMembers = 6;
  static constexpr size_t kMaxPushedMembers = 20;
  static constexpr size_t kMaxSyncMembers = 100;
  /// Retention of the records of dead and departed members, so that a late
  /// update does not restore them: the longest validity of a share plus one
  /// minute.
  static constexpr std::chrono::minutes kInactiveMemberRetention{16};

  /// @param self this node's record.
  /// @param seeds control addresses of peers to contact first.
  /// @param seed of the random number generator.
  Membership(wire::Member self,
             std::vector<std::string> seeds,
             uint64_t seed,
             TimePoint now);

  /// Sends probes and updates that are due, and ends suspicions.
  MembershipChanges Advance(TimePoint now);

  /// Handles a message from another node. In messages to other modules only
  /// the gossip is read.
  MembershipChanges Receive(const PeerMessageReceived& event, TimePoint now);

  /// Updates a member from its record in the store.
  MembershipChanges UpdateFromStore(const wire::Member& record, TimePoint now);

  /// Marks `node` as leaving, as its record was deleted from the store.
  MembershipChanges OnRecordDeleted(const NodeId& node, TimePoint now);

  /// Notifies other members that this node leaves.
  MembershipChanges Leave(TimePoint now);

  /// Adds a partition's owner to the gossip that is sent.
  void SetOwner(const wire::PartitionOwner& owner);

  /// Sets the bundle version that is sent with all gossip.
  void SetBundleVersion(uint64_t version) { bundle_version_ = version; }

  /// Records that this node reached the store.
  void OnStoreReached(TimePoint now);

  /// @return the time elapsed after the last contact with the store, by this
  /// node or reported by gossip; after the start if there was none.
  std::chrono::milliseconds StoreContactAge(TimePoint now) const;

  /// @return whether this node may be disconnected from the fleet: no contact
  /// with the store was made or reported for 15 min, or none for 10 s while
  /// fewer than half of the members are alive.
  bool IsIsolated(TimePoint now) const;

  /// @return whether this node is one of the `count` nodes elected for `role`
  /// in its zone, by rendezvous hashing over the alive members.
  bool IsElectedInZone(std::string_view role, size_t count) const;

  /// @return whether this node has the lowest id of its zone's alive members.
  bool HasLowestIdInZone() const;

  /// Adds the store contact age, the bundle version and pending updates: up to
  /// `max_members` of members and as many of owners.
  void FillGossip(wire::Rumours& rumours, size_t max_members, TimePoint now);

  const wire::Member& self() const { return self_; }
  const std::map<NodeId, MemberState>& members() const { return members_; }

  /// @return the gossip in a message, or null.
  static const wire::Rumours* FindGossip(const wire::PeerMessage& message);

 private:
  struct Probe {
    NodeId node;
    uint64_t nonce = 0;
    TimePoint sent_at;
    bool indirect = false;
  };
  struct Relay {
    std::string address;  ///< Of the node that requested the probe.
    NodeId node;
    uint64_t nonce = 0;
    TimePoint sent_at;
  };

  bool UpdateMember(const wire::Member& record, TimePoint now);
  void ApplyUpdates(const wire::Rumours& rumours, TimePoint now);
  void Refute(const wire::Member& update);
  void QueueUpdate(const NodeId& node);
  void StartProbe(TimePoint now);
  void EndProbe(TimePoint now);
  void SendIndirectProbes(TimePoint now);
  /// Declares suspects dead after `kSuspicionTimeout`, and removes records
  /// whose retention has ended.
  void EndSuspicions(TimePoint now);
  void PushUpdates(TimePoint now);
  void RequestSync(TimePoint now);
  void SendSync(const PeerMessageReceived& event, TimePoint now);
  void OnPing(const PeerMessageReceived& event, TimePoint now);
  void OnAck(const wire::Ack& ack, TimePoint now);
  std::vector<const wire::Member*> PickLive(size_t count, const NodeId& except);
  wire::PeerMessage& Send(const NodeId& node, const std::string& address);
  void CountMembers();
  MembershipChanges ExtractChanges();

  wire::Member self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  TimePoint started_at_;
  TimePoint last_advance_at_;
  std::map<NodeId, MemberState> members_;  ///< Without this node.
  std::map<uint32_t, wire::PartitionOwner> owners_;
  /// Updates still to be piggybacked, with the remaining number of sends.
  std::map<NodeId, uint32_t> pending_updates_;
  std::map<uint32_t, uint32_t> pending_owner_updates_;
  std::vector<NodeId> push_queue_;
  std::vector<NodeId> probe_order_;
  std::optional<Probe> probe_;
  TimePoint next_probe_at_;
  TimePoint next_push_at_;
  TimePoint next_sync_at_;
  bool synced_ = false;
  std::map<uint64_t, Relay> relays_;
  uint64_t bundle_version_ = 0;
  std::optional<TimePoint> store_reached_at_;
  size_t alive_count_ = 0;
  size_t non_leaving_count_ = 0;  ///< Including the dead ones.
  MembershipChanges changes_;
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_MEMBERSHIP_H_
