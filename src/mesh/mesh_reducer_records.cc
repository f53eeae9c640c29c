#include <algorithm>
#include <utility>

#include "mesh/frame_check.h"
#include "mesh/mesh_reducer.h"
#include "mesh/peer_input.h"

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
/// Minimum time between two reads of all records, and the time after which they
/// are read without a cause. Nodes that join open links to all members that
/// they read, so the reads serve to notice members that are gone.
constexpr milliseconds kMinMemberReadInterval = 5000ms;
constexpr milliseconds kMemberReadInterval = 30'000ms;
/// Time without a link to a member after which the records are read, and after
/// which a member without a record is removed.
constexpr milliseconds kUnreachableMemberDelay = 3000ms;
/// Number of records read in one call.
constexpr int64_t kRecordsPerPage = 400;
/// After a restore, each node writes its records after a random part of this
/// time. It is two renewal intervals: granting and writing then take no more
/// calls a second than the renewals do otherwise.
constexpr milliseconds kRewriteWindow = 6000ms;
/// A node without members that waits for them reads the records this often.
constexpr milliseconds kMemberWaitReadInterval = 1000ms;

std::string TargetKey(const NodeId& node) {
  return "comfreylock/targets/" + node;
}

/// Key that exists once the node has written its target's record in this era. A
/// write on condition that the marker of the next era is absent has no effect
/// after that.
std::string EraMarkerKey(const NodeId& node, uint64_t era) {
  return "comfreylock/eras/" + node + "/" + std::to_string(era);
}

std::string RecordKey(const NodeId& node) {
  return std::string(kNodesPrefix) + node;
}

}  // namespace

void MeshReducer::SendStoreRequest(StoreRequest request, StoreHandler handler) {
  StoreRequestId call{++last_id_};
  bool read = std::holds_alternative<StoreRange>(request);
  store_calls_[call] = {std::move(handler), store_era_, read};
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
  StoreCall call = std::move(found->second);
  store_calls_.erase(found);
  ObserveStoreEra(EraOf(event.result));
  call.handler(CheckEra(call, event.result));
}

void MeshReducer::ObserveStoreEra(uint64_t era) {
  if (era <= store_era_)
    return;
  uint64_t previous = std::exchange(store_era_, era);
  if (!era_known_at_)
    era_known_at_ = now_;
  if (previous == 0)
    return;
  ++store_restores_;
  LogLine(LogCode::kStoreEraChanged, {{"era", std::to_string(era)},
                                      {"previous", std::to_string(previous)}});
  OnStoreRestored();
}

void MeshReducer::OnStoreRestored() {
  // The id of the lost lease may be granted again to another node.
  record_.lease = 0;
  record_.written = false;
  record_.rewriting = true;
  record_.next_request_at = now_ + RandomRewriteDelay();
  target_record_.revision_known = false;
  target_record_.rewrite_at = now_ + RandomRewriteDelay();
  // Earlier, records of other nodes are missing. Spread over the interval of
  // the periodic reads, this read costs the store no more than those.
  std::uniform_int_distribution<int64_t> delay(0, kMemberReadInterval.count());
  member_reads_.next_read_at =
      now_ + kRewriteWindow + kRenewInterval + milliseconds(delay(random_));
  member_reads_.after_own_record = true;
  if (!member_reads_.done || AwaitsPeers()) {
    // A node that starts needs its members, and its wait for them begins only
    // now that the store answers.
    member_reads_.next_read_at = now_ + kMemberWaitReadInterval;
    era_known_at_ = now_;
  }
}

milliseconds MeshReducer::RandomRewriteDelay() {
  std::uniform_int_distribution<int64_t> delay(0, kRewriteWindow.count());
  return milliseconds(delay(random_));
}

StoreResult MeshReducer::CheckEra(const StoreCall& call,
                                  const StoreResult& result) const {
  uint64_t era = EraOf(result);
  bool unknown = era == 0 || store_era_ == 0;
  if (unknown || std::holds_alternative<StoreFailure>(result))
    return result;
  // A write may have been carried out before the restore and answered after it.
  bool current =
      era == store_era_ && (call.read || call.era == 0 || call.era == era);
  return current ? result : StoreFailure{"restored meanwhile", true, era};
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
          if (!lease && record_.rewriting) {
            // All nodes have to write again, so that retries are spread too.
            record_.next_request_at = now_ + RandomRewriteDelay();
            return;
          }
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
                     // The store was restored meanwhile.
                     if (record_.lease == 0)
                       return;
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
    // The store was restored meanwhile.
    if (record_.lease == 0)
      return;
    const auto* done = std::get_if<StoreTransactionResult>(&result);
    record_.written = done && done->succeeded;
    milliseconds retry_delay =
        record_.rewriting ? RandomRewriteDelay() : kStoreRetryDelay;
    record_.next_request_at =
        now_ + (record_.written ? kRenewInterval : retry_delay);
    // The lease has expired or an answer was lost. A new lease resolves both.
    if (!record_.written) {
      record_.lease = 0;
      return;
    }
    // After a restore, the read of the members has its own time.
    if (std::exchange(record_.rewriting, false))
      return;
    member_reads_.after_own_record = true;
    member_reads_.next_read_at = std::min(member_reads_.next_read_at, now_);
    RefreshMembers();
  });
}

void MeshReducer::MaintainTargetRecord() {
  if (target_record_.request_pending || now_ < target_record_.next_request_at)
    return;
  if (now_ < target_record_.rewrite_at && !HasUnwrittenLeave())
    return;
  if (!target_record_.revision_known)
    ReadTargetRecord();
  else if (target_record_.written < target_record_.change)
    WriteTargetRecord();
}

bool MeshReducer::HasUnwrittenLeave() const {
  return std::ranges::any_of(unanswered_reports_,
                             [this](const UnansweredReport& report) {
                               return report.change > target_record_.written;
                             });
}

std::string MeshReducer::TargetRecordValue() const {
  wire::TargetRecord record;
  const TargetReport& report = target_.report;
  if (!target_.leaving && !report.id.empty()) {
    record.set_id(report.id);
    record.set_service(report.service);
    record.set_address(report.address);
    record.set_slots(report.slots);
    record.set_sequence(report.sequence);
    record.set_born(report.started_at_ms);
  }
  for (const DepartedTarget& departed : departed_)
    SerializeDeparted(departed, *record.add_departed());
  return record.SerializeAsString();
}

/// The write names the revision that it replaces, so that an earlier write that
/// the store carries out late cannot undo it. The store may assign this
/// revision again after a restore, so that the write also needs the absence of
/// the marker that the first write of the next era puts.
void MeshReducer::WriteTargetRecord() {
  std::string key = TargetKey(identity_.node);
  StoreTransaction transaction;
  transaction.compares.push_back({key, target_record_.revision});
  transaction.puts.push_back({key, TargetRecordValue(), 0});
  uint64_t era = store_era_;
  if (era != 0) {
    transaction.compares.push_back({EraMarkerKey(identity_.node, era + 1), 0});
    if (target_record_.marked_era != era)
      transaction.puts.push_back({EraMarkerKey(identity_.node, era), "", 0});
  }
  target_record_.request_pending = true;
  uint64_t change = target_record_.change;
  SendStoreRequest(
      std::move(transaction), [this, change, era](const StoreResult& result) {
        target_record_.request_pending = false;
        const auto* done = std::get_if<StoreTransactionResult>(&result);
        const auto* failure = std::get_if<StoreFailure>(&result);
        if (!done || !done->succeeded) {
          target_record_.revision_known = failure && !failure->may_have_applied;
          target_record_.next_request_at =
              now_ + (failure ? kStoreRetryDelay : milliseconds(0));
          if (failure)
            PostponeRewrite();
          return;
        }
        target_record_.revision = done->revision;
        target_record_.written = change;
        target_record_.marked_era = era;
        target_record_.rewrite_at = TimePoint();
        AnswerWrittenReports();
        MaintainTargetRecord();
      });
}

void MeshReducer::ReadTargetRecord() {
  target_record_.request_pending = true;
  SendStoreRequest(
      StoreRange{TargetKey(identity_.node), ""},
      [this](const StoreResult& result) {
        target_record_.request_pending = false;
        if (const auto* range = std::get_if<StoreRangeResult>(&result)) {
          OnTargetRecordRead(*range);
          return;
        }
        target_record_.next_request_at = now_ + kStoreRetryDelay;
        PostponeRewrite();
      });
}

void MeshReducer::PostponeRewrite() {
  if (target_record_.rewrite_at != TimePoint())
    target_record_.rewrite_at = now_ + RandomRewriteDelay();
}

void MeshReducer::OnTargetRecordRead(const StoreRangeResult& range) {
  std::string value;
  target_record_.revision_known = true;
  target_record_.revision = 0;
  if (!range.entries.empty()) {
    value = range.entries.front().value;
    target_record_.revision = range.entries.front().mod_revision;
  }
  if (!target_record_.read) {
    wire::TargetRecord record;
    if (record.ParseFromString(value)) {
      ApplyTargetRecord(record);
    } else {
      LogLine(LogCode::kReportIgnored, {{"target", TargetKey(identity_.node)},
                                        {"reason", "unreadable_record"}});
    }
    target_record_.read = true;
    if (auto report = std::exchange(early_report_, std::nullopt))
      Handle(TargetReported{std::move(*report), CallId()});
  } else {
    // Another incarnation of this node may have written what this one does not
    // know.
    wire::TargetRecord record;
    std::vector<DepartedTarget> departed;
    if (record.ParseFromString(value)) {
      for (const wire::TargetRecord::Departed& row : record.departed())
        departed.push_back(ParseDeparted(row));
    }
    MergeDeparted(departed);
    if (value == TargetRecordValue()) {
      // The write whose answer was lost has taken effect.
      target_record_.written = target_record_.change;
      target_record_.rewrite_at = TimePoint();
      AnswerWrittenReports();
    } else if (target_record_.written == target_record_.change) {
      // The store has lost it.
      ++target_record_.change;
    }
  }
  MaintainTargetRecord();
}

/// A target keeps running while its node restarts. Until it reports again, the
/// node uses the report that it recorded before the restart. If another target
/// has replaced it since, that one refuses requests that name the old target.
void MeshReducer::ApplyTargetRecord(const wire::TargetRecord& record) {
  std::vector<DepartedTarget> later = std::exchange(departed_, {});
  for (const wire::TargetRecord::Departed& row : record.departed())
    departed_.push_back(ParseDeparted(row));
  for (DepartedTarget& departed : later) {
    // The leave came after the start of this node, hence after the record.
    if (departed.started_at_ms == 0 && departed.id == record.id())
      departed.started_at_ms = record.born();
    AddDeparted(std::move(departed));
  }
  if (!target_.report.id.empty())
    return;
  // Reports of targets that started earlier are late.
  for (const DepartedTarget& departed : departed_) {
    target_.report.started_at_ms =
        std::max(target_.report.started_at_ms, departed.started_at_ms);
  }
  if (record.id().empty() || record.address() != identity_.target_address)
    return;
  // A restored record may be older than what other nodes have told.
  const DepartedTarget* departed = FindDeparted(record.id());
  if (departed && record.born() <= departed->LastStart())
    return;
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
  // It may have been restarted while this node was not running.
  AssumeColdSince(now_);
  LogLine(LogCode::kTargetChanged, {{"target", report.id},
                                    {"service", report.service},
                                    {"state", "as_recorded"}});
  AdvertiseLoad();
}

void MeshReducer::RefreshMembers() {
  if (member_reads_.reading || now_ < member_reads_.next_read_at)
    return;
  // Of two nodes that start at the same time, the one that writes its record
  // later reads the record of the other and opens a link to it, so that both
  // know each other.
  if (!member_reads_.done && !record_.written &&
      now_ - started_at_ < kOwnRecordWait)
    return;
  bool waits_for_members = AwaitsPeers() && members_.empty();
  bool due = !member_reads_.done || waits_for_members ||
             member_reads_.after_own_record ||
             now_ >= member_reads_.done_at + kMemberReadInterval ||
             HasUnreachableMember();
  if (!due)
    return;
  // A first read, or one after the own record was written, must not be older
  // than that record.
  member_reads_.serializable =
      member_reads_.done && !member_reads_.after_own_record;
  member_reads_.after_own_record = false;
  member_reads_.next_read_at =
      now_ +
      (waits_for_members ? kMemberWaitReadInterval : kMinMemberReadInterval);
  member_reads_.last_key.clear();
  member_reads_.keys_read.clear();
  ReadMembers();
}

bool MeshReducer::HasUnreachableMember() const {
  return std::ranges::any_of(members_, [this](const auto& item) {
    const Member& member = item.second;
    auto link = links_.find(member.link);
    bool open = link != links_.end() && link->second.open;
    return !open && now_ - member.linked_at > kUnreachableMemberDelay;
  });
}

void MeshReducer::ReadMembers() {
  member_reads_.reading = true;
  uint64_t era = store_era_;
  std::string prefix(kNodesPrefix);
  std::string from =
      member_reads_.last_key.empty() ? prefix : member_reads_.last_key + '\0';
  SendStoreRequest(StoreRange{from, PrefixEnd(prefix), kRecordsPerPage,
                              member_reads_.serializable},
                   [this, era](const StoreResult& result) {
                     member_reads_.reading = false;
                     // The store was restored meanwhile: the records are read
                     // again later, since many are missing now.
                     if (era != 0 && era != store_era_)
                       return;
                     const auto* range = std::get_if<StoreRangeResult>(&result);
                     if (!range) {
                       if (member_reads_.serializable)
                         return;
                       member_reads_.after_own_record = record_.written;
                       member_reads_.next_read_at = now_ + kStoreRetryDelay;
                       return;
                     }
                     for (const StoreEntry& entry : range->entries) {
                       member_reads_.keys_read.insert(entry.key);
                       UpdateMember(entry);
                     }
                     if (range->more && !range->entries.empty()) {
                       member_reads_.last_key = range->entries.back().key;
                       ReadMembers();
                       return;
                     }
                     std::vector<NodeId> missing;
                     for (const auto& [node, member] : members_) {
                       if (!member_reads_.keys_read.contains(RecordKey(node)))
                         missing.push_back(node);
                     }
                     for (const NodeId& node : missing)
                       OnRecordMissing(node);
                     member_reads_.done = true;
                     member_reads_.done_at = now_;
                   });
}

void MeshReducer::UpdateMember(const StoreEntry& entry) {
  wire::NodeRecord record;
  std::string_view key = entry.key;
  if (!key.starts_with(kNodesPrefix))
    return;
  NodeId node(key.substr(kNodesPrefix.size()));
  auto error = InterpretInput([&] {
    if (!record.ParseFromString(entry.value))
      throw InputError("not a record");
    CheckNodeRecord(record, node);
  });
  if (error) {
    LogLine(LogCode::kReportIgnored, {{"target", std::string(key)},
                                      {"reason", "unreadable_record"},
                                      {"error", *error}});
    return;
  }
  if (node == identity_.node || IsRecordOfGoneMember(node, record))
    return;
  auto [found, added] = members_.try_emplace(node);
  found->second.has_record = true;
  if (added) {
    found->second.linked_at = now_;
    LogLine(LogCode::kMemberChanged, {{"peer", node},
                                      {"state", "joined"},
                                      {"service", record.node().service()},
                                      {"zone", record.node().zone()}});
  }
  ApplyNodeRecord(node, record);
  ConnectMembers();
}

void MeshReducer::ApplyNodeRecord(const NodeId& node,
                                  const wire::NodeRecord& record) {
  Member& member = members_.at(node);
  // A read may be older than a Hello of the node.
  if (record.node().boot() < member.record.node().boot())
    return;
  bool known = !member.record.address().empty();
  bool restarted = known && member.record.node().boot() < record.node().boot();
  bool address_changed = known && member.record.address() != record.address();
  // Without news the service stays that of the last load report, which may be
  // newer than the record.
  if (known && !restarted && !address_changed)
    return;
  member.record = record;
  target_selector_.SetNode(node, record.node().service(), record.node().zone());
  // The link may already lead to the new incarnation.
  auto link = links_.find(member.link);
  bool link_is_current = link != links_.end() && link->second.open &&
                         link->second.incarnation >= record.node().boot();
  if (!address_changed && (!restarted || link_is_current))
    return;
  member.next_connect_at = now_;
  member.backoff = milliseconds(0);
  // Taken from the member first, because closing the link of a member without a
  // record removes the member.
  if (LinkId old_link = std::exchange(member.link, LinkId())) {
    target_selector_.SetUnreachable(node);
    CloseLinkOf(old_link, LinkEnd::kReplaced);
  }
}

bool MeshReducer::IsRecordOfGoneMember(const NodeId& node,
                                       const wire::NodeRecord& record) {
  auto found = gone_members_.find(node);
  if (found == gone_members_.end())
    return false;
  const GoneMember& gone = found->second;
  uint64_t incarnation = record.node().boot();
  bool newer =
      incarnation > gone.incarnation ||
      (incarnation == gone.incarnation && record.address() != gone.address);
  if (newer)
    gone_members_.erase(found);
  return !newer;
}

void MeshReducer::OnRecordMissing(const NodeId& node) {
  Member& member = members_.at(node);
  member.has_record = false;
  // The lease may have expired while the store was unreachable, and the record
  // may be newer than the read, so a node that has an open link, or had one or
  // joined a short time ago, stays a member.
  auto link = links_.find(member.link);
  bool open = link != links_.end() && link->second.open;
  if (!open && now_ - member.linked_at > kUnreachableMemberDelay)
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
    CloseLinkOf(link, LinkEnd::kRefused);
}

}  // namespace comfreylock::mesh
