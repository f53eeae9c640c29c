#include <algorithm>
#include <utility>

#include "mesh/node.h"

/// Records in the store: this node's, its target's, and those of other nodes.
namespace comfreylock::mesh {
namespace {

using std::chrono::milliseconds;

/// Keys of the nodes' records in the store.
constexpr std::string_view kNodesPrefix = "comfreylock/nodes/";
/// Life of a record without renewal, and the interval of renewals.
constexpr std::chrono::seconds kRecordLife{9};
constexpr milliseconds kRenewInterval = 3000ms;
/// Pause after a failed call to the store.
constexpr milliseconds kStorePause = 400ms;
constexpr milliseconds kStoreTimeout = 1500ms;
/// Records read at a time.
constexpr int64_t kRecordsPage = 400;

std::string TargetKey(const NodeId& node) {
  return "comfreylock/targets/" + node;
}

std::string RecordKey(const NodeId& node) {
  return std::string(kNodesPrefix) + node;
}

}  // namespace

void Node::Ask(StoreRequest request, StoreHandler handler) {
  StoreCallId call{++last_id_};
  store_calls_[call] = std::move(handler);
  effects_.push_back(AskStore{call, std::move(request), kStoreTimeout});
}

void Node::On(const StoreReplied& event) {
  auto found = store_calls_.find(event.call);
  if (found == store_calls_.end())
    return;
  const auto* failure = std::get_if<StoreFailure>(&event.result);
  bool away = failure != nullptr;
  if (away != store_away_) {
    store_away_ = away;
    LogLine(away ? LogCode::kStoreFailed : LogCode::kStoreRecovered,
            {{"reason", away ? failure->message : "answered"}});
  }
  StoreHandler handler = found->second;
  bool watch = event.call == reads_.watch;
  if (!watch || away)
    store_calls_.erase(found);
  handler(event.result);
}

void Node::AdvanceRecord() {
  if (record_.asking || now_ < record_.next || stopping_)
    return;
  if (record_.lease == 0) {
    record_.asking = true;
    Ask(StoreLeaseGrant{kRecordLife}, [this](const StoreResult& result) {
      record_.asking = false;
      const auto* lease = std::get_if<StoreLeaseResult>(&result);
      record_.next = now_ + (lease ? milliseconds(0) : kStorePause);
      if (lease)
        record_.lease = lease->lease;
      if (lease && !stopping_)
        WriteRecord();
    });
    return;
  }
  if (!record_.written) {
    WriteRecord();
    return;
  }
  record_.asking = true;
  Ask(StoreLeaseKeepAlive{record_.lease}, [this](const StoreResult& result) {
    record_.asking = false;
    const auto* lease = std::get_if<StoreLeaseResult>(&result);
    record_.next = now_ + (lease ? kRenewInterval : kStorePause);
    if (lease && lease->ttl.count() == 0) {
      record_.lease = 0;
      record_.written = false;
      record_.next = now_;
    }
  });
}

void Node::WriteRecord() {
  wire::NodeRecord record;
  wire::Hello* hello = record.mutable_node();
  hello->set_node(identity_.node);
  hello->set_service(identity_.service);
  hello->set_zone(identity_.zone);
  hello->set_boot(identity_.boot);
  record.set_address(AddressForPeers(identity_));
  StoreTransaction transaction;
  transaction.puts.push_back(
      {RecordKey(identity_.node), record.SerializeAsString(), record_.lease});
  record_.asking = true;
  Ask(std::move(transaction), [this](const StoreResult& result) {
    record_.asking = false;
    const auto* done = std::get_if<StoreTransactionResult>(&result);
    record_.written = done && done->succeeded;
    record_.next = now_ + (record_.written ? kRenewInterval : kStorePause);
    // The lease has ended, or an answer was lost: a new lease is certain.
    if (!record_.written)
      record_.lease = 0;
  });
}

void Node::WriteTargetRecord() {
  target_record_due_ = false;
  wire::TargetRecord record;
  if (!target_.leaving) {
    const TargetReport& report = target_.report;
    record.set_id(report.id);
    record.set_service(report.service);
    record.set_address(report.address);
    record.set_slots(report.slots);
    record.set_sequence(report.sequence);
    record.set_born(report.born);
  }
  StoreTransaction transaction;
  transaction.puts.push_back(
      {TargetKey(identity_.node), record.SerializeAsString(), 0});
  Ask(std::move(transaction), [this](const StoreResult& result) {
    target_record_due_ =
        !std::holds_alternative<StoreTransactionResult>(result);
  });
}

/// A target goes on while its node restarts. Until its next report, the one
/// before the restart is used; a target that has replaced it refuses requests
/// that name the former.
void Node::ReadTargetRecord() {
  target_record_read_ = true;
  Ask(StoreRange{TargetKey(identity_.node), ""},
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
        report.born = record.born();
        target_.report = report;
        target_.known = true;
        target_.reported = now_;
        queue_.SetSlots(report.slots);
        LogLine(LogCode::kTargetChanged, {{"target", report.id},
                                          {"service", report.service},
                                          {"state", "as_recorded"}});
        TellLoad();
      });
}

void Node::AdvanceMembers() {
  if (reads_.reading || reads_.watch || now_ < reads_.next)
    return;
  reads_.after.clear();
  reads_.seen.clear();
  ReadMembers();
}

void Node::ReadMembers() {
  reads_.reading = true;
  std::string prefix(kNodesPrefix);
  std::string from = reads_.after.empty() ? prefix : reads_.after + '\0';
  Ask(StoreRange{from, PrefixEnd(prefix), kRecordsPage},
      [this](const StoreResult& result) {
        reads_.reading = false;
        const auto* range = std::get_if<StoreRangeResult>(&result);
        if (!range) {
          reads_.next = now_ + kStorePause;
          return;
        }
        // Pages are no snapshot: the watch begins at the first page.
        if (reads_.after.empty())
          reads_.revision = range->revision;
        for (const StoreEntry& entry : range->entries) {
          reads_.seen.insert(entry.key);
          LearnMember(entry);
        }
        if (range->more && !range->entries.empty()) {
          reads_.after = range->entries.back().key;
          ReadMembers();
          return;
        }
        std::vector<std::string> lapsed;
        for (const auto& [node, member] : members_) {
          if (member.recorded && !reads_.seen.contains(RecordKey(node)))
            lapsed.push_back(RecordKey(node));
        }
        for (const std::string& key : lapsed)
          ForgetRecord(key);
        if (record_.written && !reads_.seen.contains(RecordKey(identity_.node)))
          ForgetRecord(RecordKey(identity_.node));
        reads_.done = true;
        WatchMembers();
      });
}

void Node::WatchMembers() {
  std::string prefix(kNodesPrefix);
  Ask(StoreWatch{prefix, PrefixEnd(prefix), reads_.revision + 1},
      [this](const StoreResult& result) {
        const auto* changes = std::get_if<StoreWatchResult>(&result);
        if (!changes || changes->compacted_revision != 0) {
          // The history is gone: everything is read again.
          store_calls_.erase(reads_.watch);
          reads_.watch = StoreCallId();
          reads_.next = now_;
          return;
        }
        for (const StoreChange& change : changes->changes) {
          if (change.deleted)
            ForgetRecord(change.entry.key);
          else
            LearnMember(change.entry);
        }
      });
  reads_.watch = StoreCallId{last_id_};
}

void Node::LearnMember(const StoreEntry& entry) {
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
  // Before its link is closed: a member without record goes with its link.
  member.recorded = true;
  bool restarted = !added && member.record.node().boot() < record.node().boot();
  bool moved = !added && member.record.address() != record.address();
  // The link may lead to the new process already.
  auto link = links_.find(member.link);
  bool to_new = link != links_.end() && link->second.open &&
                link->second.boot >= record.node().boot();
  if (moved || (restarted && !to_new)) {
    if (member.link)
      CloseLinkOf(member.link);
    member.next_connect = now_;
    member.backoff = milliseconds(0);
  }
  member.record = record;
  placement_.SetNode(node, record.node().service(), record.node().zone());
  if (added) {
    LogLine(LogCode::kMemberChanged, {{"peer", node},
                                      {"state", "joined"},
                                      {"service", record.node().service()},
                                      {"zone", record.node().zone()}});
  }
  ConnectMembers();
}

void Node::ForgetRecord(const std::string& key) {
  NodeId node = key.substr(std::min(key.size(), kNodesPrefix.size()));
  if (node == identity_.node) {
    if (!stopping_) {
      record_.lease = 0;
      record_.written = false;
      record_.next = now_;
    }
    return;
  }
  auto found = members_.find(node);
  if (found == members_.end())
    return;
  found->second.recorded = false;
  auto link = links_.find(found->second.link);
  // Its lease may have ended while the store was away. The node itself is
  // asked.
  if (link == links_.end() || !link->second.open)
    RemoveMember(node);
}

void Node::RemoveMember(const NodeId& node) {
  auto found = members_.find(node);
  if (found == members_.end())
    return;
  LinkId link = found->second.link;
  members_.erase(found);
  placement_.RemoveNode(node);
  LogLine(LogCode::kMemberChanged, {{"peer", node}, {"state", "gone"}});
  if (link)
    CloseLinkOf(link);
}

}  // namespace comfreylock::mesh
