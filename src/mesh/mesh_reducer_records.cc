#include <algorithm>
#include <utility>

#include "mesh/mesh_reducer.h"

/// Records in the store: of this node, of its target, and of other nodes.
namespace comfreylock::mesh {
namespace {

using std::chrono::milliseconds;

/// Key prefix of the nodes' records in the store.
constexpr std::string_view kNodesPrefix = "comfreylock/nodes/";
/// Lease of a node's record, and the interval at which it is renewed.
constexpr std::chrono::seconds kRecordTtl{9};
constexpr milliseconds kRenewInterval = 3000ms;
/// Delay before a failed call to the store is repeated.
constexpr milliseconds kStoreRetryDelay = 400ms;
constexpr milliseconds kStoreTimeout = 1500ms;
/// Time after its start for which a node reads the records of other nodes only
/// once its own is written.
constexpr milliseconds kOwnRecordWait = 1000ms;
/// Minimum time between two reads of all records. While the store keeps
/// discarding its history, each watch ends at once and requires another read.
constexpr milliseconds kMinMemberReadInterval = 2000ms;
/// Number of records read in one call.
constexpr int64_t kRecordsPerPage = 400;

std::string TargetKey(const NodeId& node) {
  return "comfreylock/targets/" + node;
}

std::string RecordKey(const NodeId& node) {
  return std::string(kNodesPrefix) + node;
}

}  // namespace

void MeshReducer::SendStoreRequest(StoreRequest request, StoreHandler handler) {
  StoreRequestId call{++last_id_};
  store_calls_[call] = std::move(handler);
  effects_.push_back(CallStore{call, std::move(request), kStoreTimeout});
}

void MeshReducer::Handle(const StoreReplied& event) {
  auto found = store_calls_.find(event.call);
  if (found == store_calls_.end())
    return;
  const auto* failure = std::get_if<StoreFailure>(&event.result);
  bool failed = failure != nullptr;
  if (failed != store_unreachable_) {
    store_unreachable_ = failed;
    LogLine(failed ? LogCode::kStoreFailed : LogCode::kStoreRecovered,
            {{"reason", failed ? failure->message : "answered"}});
  }
  StoreHandler handler = found->second;
  bool watch = event.call == member_reads_.watch;
  if (!watch || failed)
    store_calls_.erase(found);
  handler(event.result);
}

void MeshReducer::MaintainNodeRecord() {
  if (record_.request_pending || now_ < record_.next_request_at || stopping_)
    return;
  if (record_.lease == 0) {
    record_.request_pending = true;
    SendStoreRequest(
        StoreLeaseGrant{kRecordTtl}, [this](const StoreResult& result) {
          record_.request_pending = false;
          const auto* lease = std::get_if<StoreLeaseResult>(&result);
          record_.next_request_at =
              now_ + (lease ? milliseconds(0) : kStoreRetryDelay);
          if (lease)
            record_.lease = lease->lease;
          if (lease && !stopping_)
            WriteNodeRecord();
        });
    return;
  }
  if (!record_.written) {
    WriteNodeRecord();
    return;
  }
  record_.request_pending = true;
  SendStoreRequest(StoreLeaseKeepAlive{record_.lease},
                   [this](const StoreResult& result) {
                     record_.request_pending = false;
                     const auto* lease = std::get_if<StoreLeaseResult>(&result);
                     record_.next_request_at =
                         now_ + (lease ? kRenewInterval : kStoreRetryDelay);
                     if (lease && lease->ttl.count() == 0) {
                       record_.lease = 0;
                       record_.written = false;
                       record_.next_request_at = now_;
                     }
                   });
}

void MeshReducer::WriteNodeRecord() {
  wire::NodeRecord record;
  wire::Hello* hello = record.mutable_node();
  hello->set_node(identity_.node);
  hello->set_service(identity_.service);
  hello->set_zone(identity_.zone);
  hello->set_boot(identity_.incarnation);
  record.set_address(AddressForPeers(identity_));
  StoreTransaction transaction;
  transaction.puts.push_back(
      {RecordKey(identity_.node), record.SerializeAsString(), record_.lease});
  record_.request_pending = true;
  SendStoreRequest(std::move(transaction), [this](const StoreResult& result) {
    record_.request_pending = false;
    const auto* done = std::get_if<StoreTransactionResult>(&result);
    record_.written = done && done->succeeded;
    record_.next_request_at =
        now_ + (record_.written ? kRenewInterval : kStoreRetryDelay);
    // The lease has expired or an answer was lost. A new lease resolves both.
    if (!record_.written)
      record_.lease = 0;
    else
      RefreshMembers();
  });
}

void MeshReducer::WriteTargetRecord() {
  target_record_pending_ = false;
  wire::TargetRecord record;
  if (!target_.leaving) {
    const TargetReport& report = target_.report;
    record.set_id(report.id);
    record.set_service(report.service);
    record.set_address(report.address);
    record.set_slots(report.slots);
    record.set_sequence(report.sequence);
    record.set_born(report.started_at_ms);
  }
  StoreTransaction transaction;
  transaction.puts.push_back(
      {TargetKey(identity_.node), record.SerializeAsString(), 0});
  SendStoreRequest(std::move(transaction), [this](const StoreResult& result) {
    target_record_pending_ =
        !std::holds_alternative<StoreTransactionResult>(result);
  });
}

/// A target keeps running while its node restarts. Until it reports again, the
/// node uses the report that it recorded before the restart. If another target
/// has replaced it since, that one refuses requests that name the old target.
void MeshReducer::ReadTargetRecord() {
  target_record_read_ = true;
  SendStoreRequest(
      StoreRange{TargetKey(identity_.node), ""},
      [this](const StoreResult& result) {
        const auto* range = std::get_if<StoreRangeResult>(&result);
        wire::TargetRecord record;
        if (!range || range->entries.empty() || !target_.report.id.empty() ||
            !record.ParseFromString(range->entries.front().value) ||
            record.id().empty() ||
            record.address() != identity_.target_address) {
          return;
        }
        TargetReport report;
        report.id = record.id();
        report.service = record.service();
        report.address = record.address();
        report.slots = record.slots();
        report.sequence = record.sequence();
        report.started_at_ms = record.born();
        target_.report = report;
        target_.known = true;
        target_.reported_at = now_;
        queue_.SetSlots(report.slots);
        LogLine(LogCode::kTargetChanged, {{"target", report.id},
                                          {"service", report.service},
                                          {"state", "as_recorded"}});
        AdvertiseLoad();
      });
}

void MeshReducer::RefreshMembers() {
  if (member_reads_.reading || member_reads_.watch ||
      now_ < member_reads_.next_read_at)
    return;
  // Of two nodes that start at the same time, the one that writes its record
  // later reads the record of the other and opens a link to it. Neither depends
  // on the watch for that.
  if (!member_reads_.done && !record_.written &&
      now_ - started_at_ < kOwnRecordWait)
    return;
  member_reads_.next_read_at = now_ + kMinMemberReadInterval;
  member_reads_.last_key.clear();
  member_reads_.keys_read.clear();
  ReadMembers();
}

void MeshReducer::ReadMembers() {
  member_reads_.reading = true;
  std::string prefix(kNodesPrefix);
  std::string from =
      member_reads_.last_key.empty() ? prefix : member_reads_.last_key + '\0';
  SendStoreRequest(StoreRange{from, PrefixEnd(prefix), kRecordsPerPage},
                   [this](const StoreResult& result) {
                     member_reads_.reading = false;
                     const auto* range = std::get_if<StoreRangeResult>(&result);
                     if (!range) {
                       member_reads_.next_read_at = now_ + kStoreRetryDelay;
                       return;
                     }
                     // The pages are not read from one snapshot, so the watch
                     // begins at the revision of the first page.
                     if (member_reads_.last_key.empty())
                       member_reads_.revision = range->revision;
                     for (const StoreEntry& entry : range->entries) {
                       member_reads_.keys_read.insert(entry.key);
                       UpdateMember(entry);
                     }
                     if (range->more && !range->entries.empty()) {
                       member_reads_.last_key = range->entries.back().key;
                       ReadMembers();
                       return;
                     }
                     std::vector<std::string> missing_keys;
                     for (const auto& [node, member] : members_) {
                       if (member.has_record &&
                           !member_reads_.keys_read.contains(RecordKey(node)))
                         missing_keys.push_back(RecordKey(node));
                     }
                     for (const std::string& key : missing_keys)
                       OnRecordRemoved(key);
                     if (record_.written && !member_reads_.keys_read.contains(
                                                RecordKey(identity_.node)))
                       OnRecordRemoved(RecordKey(identity_.node));
                     member_reads_.done = true;
                     WatchMembers();
                   });
}

void MeshReducer::WatchMembers() {
  std::string prefix(kNodesPrefix);
  SendStoreRequest(
      StoreWatch{prefix, PrefixEnd(prefix), member_reads_.revision + 1},
      [this](const StoreResult& result) {
        const auto* changes = std::get_if<StoreWatchResult>(&result);
        if (!changes || changes->compacted_revision != 0) {
          // The watch failed or its revision was compacted: all records are
          // read again.
          store_calls_.erase(member_reads_.watch);
          member_reads_.watch = StoreRequestId();
          return;
        }
        for (const StoreChange& change : changes->changes) {
          if (change.deleted)
            OnRecordRemoved(change.entry.key);
          else
            UpdateMember(change.entry);
        }
      });
  member_reads_.watch = StoreRequestId{last_id_};
}

void MeshReducer::UpdateMember(const StoreEntry& entry) {
  wire::NodeRecord record;
  std::string_view key = entry.key;
  if (!key.starts_with(kNodesPrefix))
    return;
  NodeId node(key.substr(kNodesPrefix.size()));
  if (!record.ParseFromString(entry.value) || record.node().node() != node) {
    LogLine(LogCode::kReportIgnored,
            {{"target", std::string(key)}, {"reason", "unreadable_record"}});
    return;
  }
  if (node == identity_.node)
    return;
  auto [found, added] = members_.try_emplace(node);
  Member& member = found->second;
  // Set before the link is closed, because closing the link of a member without
  // a record removes the member.
  member.has_record = true;
  bool restarted = !added && member.record.node().boot() < record.node().boot();
  bool address_changed = !added && member.record.address() != record.address();
  // The link may already lead to the new incarnation.
  auto link = links_.find(member.link);
  bool link_is_current = link != links_.end() && link->second.open &&
                         link->second.incarnation >= record.node().boot();
  if (address_changed || (restarted && !link_is_current)) {
    if (member.link)
      CloseLinkOf(member.link);
    member.next_connect_at = now_;
    member.backoff = milliseconds(0);
  }
  member.record = record;
  target_selector_.SetNode(node, record.node().service(), record.node().zone());
  if (added) {
    LogLine(LogCode::kMemberChanged, {{"peer", node},
                                      {"state", "joined"},
                                      {"service", record.node().service()},
                                      {"zone", record.node().zone()}});
  }
  ConnectMembers();
}

void MeshReducer::OnRecordRemoved(const std::string& key) {
  NodeId node = key.substr(std::min(key.size(), kNodesPrefix.size()));
  if (node == identity_.node) {
    if (!stopping_) {
      record_.lease = 0;
      record_.written = false;
      record_.next_request_at = now_;
    }
    return;
  }
  auto found = members_.find(node);
  if (found == members_.end())
    return;
  found->second.has_record = false;
  auto link = links_.find(found->second.link);
  // The lease may have expired while the store was unreachable, so a node with
  // an open link stays a member.
  if (link == links_.end() || !link->second.open)
    RemoveMember(node);
}

void MeshReducer::RemoveMember(const NodeId& node) {
  auto found = members_.find(node);
  if (found == members_.end())
    return;
  LinkId link = found->second.link;
  members_.erase(found);
  target_selector_.RemoveNode(node);
  LogLine(LogCode::kMemberChanged, {{"peer", node}, {"state", "gone"}});
  if (link)
    CloseLinkOf(link);
}

}  // namespace comfreylock::mesh
