#include <algorithm>
#include <utility>

#include "mesh/node.h"

/// Other nodes: records in the store, links, rate shares and quarantine.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
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
/// Pauses between attempts to connect to a node.
constexpr milliseconds kFirstBackoff = 200ms;
constexpr milliseconds kLongestBackoff = 2000ms;
/// Silence after which a link is closed: with requests in progress, and
/// without. The other node tells its load five times a second, or once a
/// second.
constexpr milliseconds kBusySilence = 1300ms;
constexpr milliseconds kIdleSilence = 3500ms;
/// Requests that took longer to arrive are not run.
constexpr milliseconds kLongestDelay = 400ms;
/// A longer time between two wake-ups means that this process stood still.
constexpr milliseconds kStandstill = 400ms;
/// Interval at which demand is reported to the holders of rates.
constexpr milliseconds kDemandInterval = 200ms;
/// Nodes that ask the store for the configuration all the time: at least so
/// many, and one more for so many nodes.
constexpr size_t kLeastWatchers = 2;
constexpr size_t kNodesPerWatcher = 24;
/// Loads on a link after which the difference of two clocks is known.
constexpr uint32_t kLoadsForClock = 3;
/// Taken off a confirmation that another node passes on.
constexpr milliseconds kConfirmationMargin = 150ms;
/// Nodes for each holder of rates.
constexpr size_t kNodesPerHolder = 16;

/// FNV-1a, the same on all nodes.
uint64_t Hash(std::string_view text) {
  uint64_t hash = 14695981039346656037u;
  for (unsigned char letter : text) {
    hash ^= letter;
    hash *= 1099511628211u;
  }
  return hash;
}

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
  record.set_address(identity_.peer_address);
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
  if (restarted || moved) {
    if (member.link)
      CloseLinkOf(member.link);
    member.next_connect = now_;
    member.backoff = kFirstBackoff;
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

void Node::ConnectMembers() {
  if (stopped_)
    return;
  for (auto& [node, member] : members_) {
    if (member.link || now_ < member.next_connect)
      continue;
    member.link = LinkId{++last_id_};
    Link& link = links_[member.link];
    link.id = member.link;
    link.node = node;
    link.last_received = now_;
    effects_.push_back(OpenLink{member.link, member.record.address()});
  }
}

void Node::CloseSilentLinks() {
  if (now_ - last_pass_ > kStandstill) {
    for (auto& [id, link] : links_)
      link.last_received = now_;
  }
  std::vector<LinkId> silent;
  for (const auto& [id, link] : links_) {
    bool busy = !link.calls.empty();
    auto limit = busy ? kBusySilence : kIdleSilence;
    if (!link.accepted && link.open && now_ - link.last_received > limit)
      silent.push_back(id);
  }
  for (LinkId id : silent) {
    LogLine(LogCode::kLinkLost,
            {{"peer", links_.at(id).node}, {"reason", "silent"}});
    CloseLinkOf(id);
  }
}

void Node::CloseLinkOf(LinkId id) {
  effects_.push_back(CloseLink{id});
  On(LinkClosed{id});
}

void Node::On(const LinkOpened& event) {
  Link& link = links_[event.link];
  link.id = event.link;
  link.accepted = event.accepted;
  link.open = true;
  link.last_received = now_;
  if (event.accepted) {
    link.node = event.peer.node();
    // The other node learns at once what this target can take.
    link.last_load = now_;
    auto frame = std::make_shared<wire::Frame>();
    *frame->mutable_load() = OwnLoad();
    Send(event.link, std::move(frame));
    return;
  }
  auto member = members_.find(link.node);
  if (member == members_.end() || member->second.link != event.link ||
      event.peer.node() != link.node) {
    CloseLinkOf(event.link);
    return;
  }
  member->second.backoff = kFirstBackoff;
  LogLine(LogCode::kLinkOpened, {{"peer", link.node}});
}

void Node::On(const LinkClosed& event) {
  auto found = links_.find(event.link);
  if (found == links_.end())
    return;
  Link link = std::move(found->second);
  links_.erase(found);
  auto member = members_.find(link.node);
  if (!link.accepted && member != members_.end() &&
      member->second.link == link.id) {
    Member& state = member->second;
    state.link = LinkId();
    state.backoff = state.backoff.count() == 0
                        ? kFirstBackoff
                        : std::min(state.backoff * 2, kLongestBackoff);
    state.next_connect = now_ + state.backoff;
    placement_.SetUnreachable(link.node);
    if (link.open) {
      state.next_connect = now_;
      LogLine(LogCode::kLinkLost,
              {{"peer", link.node},
               {"reason", "closed"},
               {"calls", std::to_string(link.calls.size())}});
    }
    if (!state.recorded)
      RemoveMember(link.node);
  }
  for (const auto& [stream, id] : link.calls) {
    auto call = calls_.find(id);
    if (call == calls_.end() || call->second.stream != stream)
      continue;
    auto outcome = std::make_shared<wire::Outcome>();
    outcome->set_kind(link.open ? wire::Outcome::UNKNOWN
                                : wire::Outcome::NOT_RUN);
    outcome->set_reason("link_lost");
    OnOutcome(call->second, std::move(outcome));
  }
  for (const auto& [stream, id] : link.works)
    CancelWork(id);
}

void Node::On(const FrameReceived& event) {
  auto found = links_.find(event.link);
  if (found == links_.end())
    return;
  Link& link = found->second;
  link.last_received = now_;
  wire::Frame& frame = *event.frame;
  switch (frame.body_case()) {
    case wire::Frame::kLoad:
      LearnLoad(link, frame.load());
      return;
    case wire::Frame::kForward: {
      link.last_forward = now_;
      Work work{WorkId{++last_id_}, event.link, frame.forward().stream()};
      work.forward = std::shared_ptr<wire::Forward>(frame.release_forward());
      // Its caller may have left while it waited on a full link or at a node
      // without processor time.
      microseconds delay = DelayOf(link, work.forward->sent_us());
      if (delay > kLongestDelay) {
        ReplyWithout(work, wire::Outcome::NOT_RUN, "delayed");
        return;
      }
      auto left = milliseconds(work.forward->remaining_ms()) - delay;
      work.forward->set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(
          0, std::chrono::duration_cast<milliseconds>(left).count())));
      Accept(std::move(work));
      return;
    }
    case wire::Frame::kCancel: {
      auto work = link.works.find(frame.cancel().stream());
      if (work != link.works.end())
        CancelWork(work->second);
      return;
    }
    case wire::Frame::kOutcome: {
      link.last_forward = now_;
      if (frame.outcome().has_load())
        LearnLoad(link, frame.outcome().load());
      auto stream = link.calls.find(frame.outcome().stream());
      if (stream == link.calls.end())
        return;
      auto call = calls_.find(stream->second);
      if (call == calls_.end())
        return;
      OnOutcome(call->second,
                std::shared_ptr<wire::Outcome>(frame.release_outcome()));
      return;
    }
    case wire::Frame::kDemand:
      OnDemand(event.link, frame.demand());
      return;
    case wire::Frame::kShares:
      OnShares(frame.shares());
      return;
    case wire::Frame::kQuarantined:
      if (quarantine_.Merge(frame.quarantined().entries(), now_))
        TellQuarantine(event.link);
      return;
    default:
      return;
  }
}

void Node::LearnLoad(Link& link, const wire::Load& load) {
  auto member = members_.find(link.node);
  if (link.accepted || member == members_.end())
    return;
  if (!load.service().empty()) {
    placement_.SetNode(link.node, load.service(),
                       member->second.record.node().zone());
  }
  placement_.Learn(link.node, load, now_);
  // What another node knows of the configuration is as old as it says, and as
  // the message. The first ones may all have been delayed.
  microseconds delay = DelayOf(link, load.sent_us());
  bool was_outdated = ConfigOutdated();
  newest_version_ = std::max(newest_version_, load.config_version());
  if (ConfigOutdated() && !was_outdated)
    newer_since_ = now_;
  bool same = config_ && load.config_version() == config_->version;
  if (same && ++link.loads > kLoadsForClock) {
    TimePoint confirmed =
        now_ - milliseconds(load.config_age_ms()) - delay - kConfirmationMargin;
    config_confirmed_ = std::max(config_confirmed_, confirmed);
  }
}

bool Node::WatchesConfig() const {
  size_t watchers = kLeastWatchers + NodeCount() / kNodesPerWatcher;
  uint64_t own = Hash("watch/" + identity_.node);
  size_t before = 0;
  for (const auto& [node, member] : members_)
    before += Hash("watch/" + node) > own ? 1 : 0;
  return before < watchers;
}

microseconds Node::DelayOf(Link& link, uint64_t sent_us) const {
  int64_t offset =
      now_.time_since_epoch().count() - static_cast<int64_t>(sent_us);
  link.clock_offset_us =
      std::min(link.clock_offset_us.value_or(offset), offset);
  return microseconds(offset - *link.clock_offset_us);
}

NodeId Node::RateHolderFor(const std::string& organisation) const {
  size_t parts = 1 + NodeCount() / kNodesPerHolder;
  std::string part = std::to_string(Hash(organisation) % parts);
  NodeId best = identity_.node;
  uint64_t best_rank = Hash(part + "/" + best);
  for (const auto& [node, member] : members_) {
    uint64_t rank = Hash(part + "/" + node);
    if (rank > best_rank) {
      best = node;
      best_rank = rank;
    }
  }
  return best;
}

void Node::ReportDemand() {
  if (now_ < next_demand_ || !config_ || !reads_.done)
    return;
  next_demand_ = now_ + kDemandInterval;
  std::map<NodeId, wire::Demand> by_holder;
  wire::Demand demand_here = rate_share_.Demand(now_);
  for (wire::Demand::Row& row : *demand_here.mutable_rows()) {
    auto limits = config_->organisations.find(row.organisation());
    // Tokens of a common bucket are asked for one by one.
    if (limits == config_->organisations.end() ||
        TakesCommonTokens(limits->second, NodeCount())) {
      continue;
    }
    *by_holder[RateHolderFor(row.organisation())].add_rows() = std::move(row);
  }
  for (auto& [holder, demand] : by_holder)
    SendDemand(holder, std::move(demand));
}

bool Node::CanReach(const NodeId& node) const {
  if (node == identity_.node)
    return true;
  auto member = members_.find(node);
  if (member == members_.end())
    return false;
  auto link = links_.find(member->second.link);
  return link != links_.end() && link->second.open;
}

void Node::SendDemand(const NodeId& holder, wire::Demand demand) {
  if (holder == identity_.node) {
    OnShares(rate_holder_.OnDemand(identity_.node, demand, *config_,
                                   NodeCount(), now_));
    return;
  }
  auto member = members_.find(holder);
  if (member == members_.end() || !member->second.link)
    return;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_demand() = std::move(demand);
  Send(member->second.link, std::move(frame));
}

void Node::AskForTokens(const std::string& organisation) {
  wire::Demand demand;
  wire::Demand::Row* row = demand.add_rows();
  row->set_organisation(organisation);
  row->set_tokens(rate_share_.TokensWanted(
      organisation, token_waits_[organisation].size(), now_));
  SendDemand(RateHolderFor(organisation), std::move(demand));
}

void Node::OnDemand(LinkId link, const wire::Demand& demand) {
  if (!config_)
    return;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_shares() = rate_holder_.OnDemand(links_.at(link).node, demand,
                                                   *config_, NodeCount(), now_);
  Send(link, std::move(frame));
}

void Node::TellQuarantine(LinkId except) {
  auto frame = std::make_shared<wire::Frame>();
  for (auto& entry : quarantine_.Export(now_))
    *frame->mutable_quarantined()->add_entries() = std::move(entry);
  for (const auto& [id, link] : links_) {
    if (link.open && !link.accepted && id != except)
      Send(id, frame);
  }
}

void Node::Send(LinkId link, std::shared_ptr<wire::Frame> frame) {
  auto found = links_.find(link);
  if (found != links_.end() && found->second.open)
    effects_.push_back(SendFrame{link, std::move(frame)});
}

}  // namespace comfreylock::mesh
