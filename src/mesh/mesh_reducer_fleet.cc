#include <algorithm>
#include <utility>

#include "mesh/mesh_reducer.h"
#include "mesh/node_score.h"

/// Other nodes: links, load reports, configuration, rate shares and quarantine.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Bounds of the delay between attempts to connect to a node.
constexpr milliseconds kInitialBackoffDelay = 200ms;
constexpr milliseconds kMaxBackoffDelay = 2000ms;
/// A link that was open for less time does not count as a success: the delay
/// before the next attempt grows as after a refused connection. Without this, a
/// peer that accepts and closes is connected to on every tick.
constexpr milliseconds kMinStableLinkTime = 1000ms;
/// Minimum time between two resets of the delay by a Hello of the same
/// incarnation of a node, so that a node that opens link after link does not
/// cause as many links back.
constexpr milliseconds kMinBackoffResetInterval = kMaxBackoffDelay;
/// Minimum time between two loads that are sent to a node because it has opened
/// a link; later ones wait until the load is due on the link.
constexpr milliseconds kMinGreetingInterval = 200ms;
static_assert(kMinGreetingInterval <= kMinBackoffResetInterval);
/// Time for which the record of a node at whose address another one answers is
/// ignored. It exceeds the lease of a record (9 s) and the age of a
/// serializable read (some seconds), so that a record that is still there
/// afterwards belongs to a node that renews its lease.
constexpr std::chrono::seconds kGoneMemberRetention{30};
/// A link with requests in progress (busy) or without (idle) is closed if
/// nothing was received on it for this time. The peer sends its load five times
/// a second on busy links and once a second on others.
constexpr milliseconds kBusyLinkTimeout = 1300ms;
constexpr milliseconds kIdleLinkTimeout = 3500ms;
/// Requests that were delayed longer in transit are not run.
constexpr milliseconds kMaxTransitDelay = 400ms;
/// A longer time between two `Tick` events means that this process was not
/// running, so links on which nothing was received meanwhile are kept.
constexpr milliseconds kMaxTickDelay = 400ms;
/// Interval at which demand is reported to the rate allocators.
constexpr milliseconds kDemandReportInterval = 200ms;
/// Number of nodes that poll the store for the configuration: a minimum, plus
/// one for each `kNodesPerConfigPoller` nodes.
constexpr size_t kMinConfigPollers = 2;
constexpr size_t kNodesPerConfigPoller = 24;
/// Number of loads received on a link after which its clock offset is reliable.
constexpr uint32_t kMinLoadsForClockOffset = 3;
/// Subtracted from the time of a confirmation that another node reports.
constexpr milliseconds kConfirmationMargin = 150ms;
/// Minimum time between requests to other nodes for their configuration.
constexpr milliseconds kConfigRequestInterval = 200ms;
/// Configurations handed on in one `kConfigRequestInterval`, in number and
/// bytes: 5 MB/s are a fifth of a host's network link. The other nodes that
/// have the configuration serve the rest, so that it reaches 20,000 nodes in
/// three intervals. One is always allowed, whatever its size.
constexpr uint32_t kMaxConfigsPerInterval = 64;
constexpr size_t kMaxConfigBytesPerInterval = 1'000'000;
/// Number of nodes for each further rate allocator.
constexpr size_t kNodesPerAllocator = 16;
/// Time for which a lost node still counts when rates and retries are divided:
/// longer than most network partitions between nodes.
constexpr std::chrono::seconds kFleetSizeRetention{15};

}  // namespace

std::string_view NameOf(LinkEnd end) {
  switch (end) {
    case LinkEnd::kSilent:
      return "silent";
    case LinkEnd::kClosed:
      return "closed";
    case LinkEnd::kWrongPeer:
      return "wrong_peer";
    case LinkEnd::kRefused:
      return "refused";
    case LinkEnd::kReplaced:
      return "replaced";
  }
  return "";
}

void MeshReducer::ConnectMembers() {
  if (stopped_)
    return;
  std::erase_if(gone_members_, [this](const auto& item) {
    return now_ - item.second.since >= kGoneMemberRetention;
  });
  std::erase_if(greetings_, [this](const auto& item) {
    const Greeting& greeting = item.second;
    return now_ - std::max(greeting.load_sent_at, greeting.backoff_reset_at) >=
           kMinBackoffResetInterval;
  });
  for (auto& [node, member] : members_) {
    if (member.link || now_ < member.next_connect_at)
      continue;
    member.link = LinkId{++last_id_};
    Link& link = links_[member.link];
    link.id = member.link;
    link.node = node;
    link.last_received_at = now_;
    effects_.push_back(OpenLink{member.link, member.record.address()});
  }
}

void MeshReducer::CloseSilentLinks() {
  if (now_ - last_tick_at_ > kMaxTickDelay) {
    for (auto& [id, link] : links_)
      link.last_received_at = now_;
  }
  std::vector<LinkId> silent;
  for (const auto& [id, link] : links_) {
    bool busy = !link.calls.empty();
    auto limit = busy ? kBusyLinkTimeout : kIdleLinkTimeout;
    if (!link.accepted && link.open && now_ - link.last_received_at > limit)
      silent.push_back(id);
  }
  for (LinkId id : silent)
    CloseLinkOf(id, LinkEnd::kSilent);
}

void MeshReducer::CloseLinkOf(LinkId id, LinkEnd end) {
  effects_.push_back(CloseLink{id});
  OnLinkEnded(id, end);
}

void MeshReducer::Handle(const LinkOpened& event) {
  if (!event.accepted && !links_.contains(event.link)) {
    effects_.push_back(CloseLink{event.link});
    return;
  }
  Link& link = links_[event.link];
  link.id = event.link;
  link.incarnation = event.peer.boot();
  link.accepted = event.accepted;
  link.last_received_at = now_;
  link.opened_at = now_;
  if (event.accepted) {
    link.open = true;
    link.node = event.peer.node();
    ++links_accepted_;
    AddPeer(event.peer);
    // Before the load, which ends the peer's wait for what others know.
    ReturnDeparted(link);
    Greeting& greeting = greetings_[link.node];
    if (now_ - greeting.load_sent_at < kMinGreetingInterval) {
      link.last_load_sent_at = greeting.load_sent_at;
      return;
    }
    greeting.load_sent_at = now_;
    link.last_load_sent_at = now_;
    // Sends the load at once, so that the peer knows the target's capacity.
    auto frame = std::make_shared<wire::Frame>();
    *frame->mutable_load() = LocalLoad();
    AddEvacuations(link, *frame->mutable_load());
    Send(event.link, std::move(frame));
    return;
  }
  auto member = members_.find(link.node);
  if (member == members_.end() || member->second.link != event.link) {
    CloseLinkOf(event.link, LinkEnd::kReplaced);
    return;
  }
  if (event.peer.node() != link.node) {
    OnWrongPeer(event.link, event.peer);
    return;
  }
  link.open = true;
  member->second.refusal_logged = false;
  ++links_opened_;
  LogLine(LogCode::kLinkOpened, {{"peer", link.node}});
}

/// The store's record of the former member may exist for some seconds more, and
/// reads of it for longer, so it is remembered which record to ignore.
void MeshReducer::OnWrongPeer(LinkId id, const wire::Hello& peer) {
  NodeId node = links_.at(id).node;
  const wire::NodeRecord& record = members_.at(node).record;
  gone_members_[node] = {record.node().boot(), record.address(), now_};
  CloseLinkOf(id, LinkEnd::kWrongPeer);
  RemoveMember(node);
  AddPeer(peer);
}

void MeshReducer::Handle(const LinkClosed& event) {
  auto link = links_.find(event.link);
  if (link == links_.end())
    return;
  OnLinkEnded(event.link,
              link->second.open ? LinkEnd::kClosed : LinkEnd::kRefused);
}

void MeshReducer::OnLinkEnded(LinkId id, LinkEnd end) {
  auto found = links_.find(id);
  if (found == links_.end())
    return;
  Link link = std::move(found->second);
  links_.erase(found);
  auto member = members_.find(link.node);
  bool current = !link.accepted && member != members_.end() &&
                 member->second.link == link.id;
  bool log = end != LinkEnd::kRefused;
  if (current) {
    Member& state = member->second;
    state.link = LinkId();
    bool stable = link.open && now_ - link.opened_at >= kMinStableLinkTime;
    if (stable)
      state.backoff = kInitialBackoffDelay;
    state.backoff = state.backoff.count() == 0
                        ? kInitialBackoffDelay
                        : std::min(state.backoff * 2, kMaxBackoffDelay);
    state.next_connect_at = stable ? now_ : now_ + state.backoff;
    target_selector_.SetUnreachable(link.node);
    if (link.open)
      state.linked_at = now_;
    // A node that does not answer is logged once, not at every attempt.
    log = log || !std::exchange(state.refusal_logged, true);
  }
  if (link.accepted)
    log = !link.works.empty();
  else
    ++links_lost_[static_cast<size_t>(end)];
  if (log) {
    LogLine(LogCode::kLinkLost, {{"peer", link.node},
                                 {"reason", std::string(NameOf(end))},
                                 {"accepted", link.accepted ? "true" : "false"},
                                 {"calls", std::to_string(link.calls.size())},
                                 {"works", std::to_string(link.works.size())}});
  }
  if (current && !member->second.has_record)
    RemoveMember(link.node);
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

void MeshReducer::Handle(const FrameReceived& event) {
  auto found = links_.find(event.link);
  if (found == links_.end())
    return;
  Link& link = found->second;
  link.last_received_at = now_;
  wire::Frame& frame = *event.frame;
  switch (frame.body_case()) {
    case wire::Frame::kLoad:
      UpdateLoad(link, frame.load());
      return;
    case wire::Frame::kForward: {
      link.last_forward_at = now_;
      Work work{WorkId{++last_id_}, event.link, frame.forward().stream()};
      // Shares the ownership of the frame, which carries the charge for it.
      work.forward =
          std::shared_ptr<wire::Forward>(event.frame, frame.mutable_forward());
      // The caller may have disconnected while the request was delayed on a
      // full link or at a node without processor time.
      microseconds delay = MeasureTransitDelay(link, work.forward->sent_us());
      if (delay > kMaxTransitDelay) {
        ReplyWithoutAnswer(work, wire::Outcome::NOT_RUN, "delayed");
        return;
      }
      auto remaining = milliseconds(work.forward->remaining_ms()) - delay;
      work.forward->set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(
          0, std::chrono::duration_cast<milliseconds>(remaining).count())));
      AcceptWork(std::move(work));
      return;
    }
    case wire::Frame::kCancel: {
      auto work = link.works.find(frame.cancel().stream());
      if (work != link.works.end())
        CancelWork(work->second);
      return;
    }
    case wire::Frame::kOutcome: {
      link.last_forward_at = now_;
      if (frame.outcome().has_load())
        UpdateLoad(link, frame.outcome().load());
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
    case wire::Frame::kConfigWanted:
      OnConfigWanted(event.link, frame.config_wanted());
      return;
    case wire::Frame::kConfigText:
      if (!config_ || frame.config_text().version() > config_->version) {
        effects_.push_back(DecodeConfig{frame.config_text().text(), link.node});
      }
      return;
    case wire::Frame::kTargetsLeft:
      OnTargetsLeft(link, frame.targets_left());
      return;
    case wire::Frame::kQuarantined:
      if (quarantine_.Merge(frame.quarantined().entries(), now_))
        SendQuarantine(event.link);
      return;
    default:
      return;
  }
}

void MeshReducer::AddPeer(const wire::Hello& peer) {
  if (peer.address().empty() || peer.node() == identity_.node)
    return;
  wire::NodeRecord record;
  *record.mutable_node() = peer;
  record.set_address(peer.address());
  Greeting& greeting = greetings_[peer.node()];
  // The node is running. If another one answered at its address shortly before,
  // that is tried again only after a delay.
  if (auto gone = gone_members_.extract(peer.node())) {
    greeting.incarnation =
        std::max(greeting.incarnation, gone.mapped().incarnation);
    greeting.backoff_reset_at =
        std::max(greeting.backoff_reset_at, gone.mapped().since);
  }
  bool restarted = peer.boot() > greeting.incarnation;
  greeting.incarnation = std::max(greeting.incarnation, peer.boot());
  bool due =
      restarted || now_ - greeting.backoff_reset_at >= kMinBackoffResetInterval;
  auto [found, added] = members_.try_emplace(peer.node());
  Member& member = found->second;
  member.linked_at = now_;
  if (due) {
    greeting.backoff_reset_at = now_;
    member.next_connect_at = now_;
    member.backoff = milliseconds(0);
  } else if (added) {
    // Was removed meanwhile, as a member without a record is when it refuses a
    // connection.
    member.next_connect_at =
        greeting.backoff_reset_at + kMinBackoffResetInterval;
  }
  ApplyNodeRecord(peer.node(), record);
  if (!added)
    return;
  LogLine(LogCode::kMemberChanged, {{"peer", peer.node()},
                                    {"state", "linked"},
                                    {"service", peer.service()},
                                    {"zone", peer.zone()}});
}

void MeshReducer::RequestConfig(const Link& link) {
  if (now_ < next_config_request_at_)
    return;
  next_config_request_at_ = now_ + kConfigRequestInterval;
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_config_wanted()->set_version(config_ ? config_->version : 0);
  Send(link.id, std::move(frame));
}

void MeshReducer::OnConfigWanted(LinkId link,
                                 const wire::ConfigWanted& wanted) {
  if (!config_ || config_->version <= wanted.version() ||
      config_->text.empty()) {
    return;
  }
  if (!TakeConfigAllowance())
    return;
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_config_text()->set_version(config_->version);
  frame->mutable_config_text()->set_text(config_->text);
  Send(link, std::move(frame));
}

bool MeshReducer::TakeConfigAllowance() {
  ConfigsSent& sent = configs_sent_;
  if (now_ - sent.since >= kConfigRequestInterval) {
    sent.since = now_;
    sent.count = 0;
    sent.bytes = 0;
  }
  size_t bytes = sent.bytes + config_->text.size();
  if (sent.count > 0 && (sent.count >= kMaxConfigsPerInterval ||
                         bytes > kMaxConfigBytesPerInterval)) {
    ++sent.withheld;
    return false;
  }
  ++sent.count;
  sent.bytes = bytes;
  ++sent.total;
  return true;
}

void MeshReducer::UpdateLoad(Link& link, const wire::Load& load) {
  auto member = members_.find(link.node);
  if (link.accepted || member == members_.end())
    return;
  if (!load.service().empty()) {
    target_selector_.SetNode(link.node, load.service(),
                             member->second.record.node().zone());
  }
  target_selector_.Update(link.node, load);
  member->second.sent_load = true;
  if (load.evacuations().has_zones()) {
    const wire::Evacuations& news = load.evacuations();
    ApplyEvacuations({news.era(),
                      news.revision(),
                      {news.zones().begin(), news.zones().end()}});
  }
  // The age of the peer's confirmation is the age that it reports plus the
  // transit delay. The first messages on a link may all have been delayed, so
  // they do not count as confirmations.
  microseconds delay = MeasureTransitDelay(link, load.sent_us());
  bool was_outdated = IsConfigOutdated();
  newest_config_version_ =
      std::max(newest_config_version_, load.config_version());
  if (IsConfigOutdated() && !was_outdated)
    config_outdated_since_ = now_;
  const FleetConfig* known = config_ ? config_.get() : held_config_.get();
  uint64_t known_version = known ? known->version : 0;
  bool can_request = known || store_era_ != 0;
  if (can_request && load.config_version() > known_version)
    RequestConfig(link);
  bool same_version = config_ && load.config_version() == config_->version;
  if (same_version && ++link.loads_received > kMinLoadsForClockOffset) {
    TimePoint confirmed =
        now_ - milliseconds(load.config_age_ms()) - delay - kConfirmationMargin;
    config_confirmed_at_ = std::max(config_confirmed_at_, confirmed);
  }
}

void MeshReducer::ApplyEvacuations(Evacuations evacuations) {
  if (!FollowsEvacuations() ||
      std::pair(evacuations.era, evacuations.revision) <=
          std::pair(evacuations_.era, evacuations_.revision))
    return;
  Evacuations previous = std::exchange(evacuations_, std::move(evacuations));
  if (previous.zones == evacuations_.zones && previous.revision != 0)
    return;
  auto log_zones = [this](LogCode code, const std::set<std::string>& zones,
                          const std::set<std::string>& except) {
    for (const std::string& zone : zones) {
      if (!except.contains(zone))
        LogLine(code, {{"zone", zone},
                       {"revision", std::to_string(evacuations_.revision)},
                       {"era", std::to_string(evacuations_.era)}});
    }
  };
  log_zones(LogCode::kEvacuationEntered, evacuations_.zones, previous.zones);
  log_zones(LogCode::kEvacuationLeft, previous.zones, evacuations_.zones);
  target_selector_.SetEvacuatedZones(evacuations_.zones);
  evacuations_changed_ = true;
  bool evacuated = evacuations_.zones.contains(identity_.zone);
  // The targets of the zone may have become cold while it was evacuated.
  if (!evacuated && previous.zones.contains(identity_.zone))
    AssumeColdSince(now_);
  AdvertiseLoad();
  // After the load is updated, so that the refused requests are not placed here
  // again.
  if (evacuated)
    Apply(queue_.RefuseAll(), "evacuated");
}

void MeshReducer::AddEvacuations(Link& link, wire::Load& load) const {
  if (evacuations_.revision == 0)
    return;
  wire::Evacuations* news = load.mutable_evacuations();
  news->set_era(evacuations_.era);
  news->set_revision(evacuations_.revision);
  std::pair version(evacuations_.era, evacuations_.revision);
  if (std::exchange(link.evacuations_sent, version) == version)
    return;
  news->set_has_zones(true);
  for (const std::string& zone : evacuations_.zones)
    news->add_zones(zone);
}

bool MeshReducer::PollsConfig() const {
  size_t pollers = kMinConfigPollers + NodeCount() / kNodesPerConfigPoller;
  uint64_t own_score = NodeScore("watch/" + identity_.node);
  size_t nodes_with_higher_score = 0;
  for (const auto& [node, member] : members_) {
    if (CanReach(node))
      nodes_with_higher_score += NodeScore("watch/" + node) > own_score ? 1 : 0;
  }
  return nodes_with_higher_score < pollers;
}

microseconds MeshReducer::MeasureTransitDelay(Link& link,
                                              uint64_t sent_us) const {
  int64_t offset =
      now_.time_since_epoch().count() - static_cast<int64_t>(sent_us);
  link.clock_offset_us =
      std::min(link.clock_offset_us.value_or(offset), offset);
  return microseconds(offset - *link.clock_offset_us);
}

void MeshReducer::UpdateFleetSize() {
  if (NodeCount() < fleet_size_ &&
      now_ - fleet_size_seen_at_ < kFleetSizeRetention)
    return;
  fleet_size_ = NodeCount();
  fleet_size_seen_at_ = now_;
}

uint32_t MeshReducer::RatePartitionCount() const {
  return static_cast<uint32_t>(1 + FleetSize() / kNodesPerAllocator);
}

uint32_t MeshReducer::RatePartitionOf(const std::string& organisation) const {
  return static_cast<uint32_t>(NodeScore(organisation) % RatePartitionCount());
}

NodeId MeshReducer::AllocatorOfPartition(uint32_t partition) const {
  std::string prefix = std::to_string(partition) + "/";
  NodeId best = identity_.node;
  uint64_t best_score = NodeScore(prefix + best);
  for (const auto& [node, member] : members_) {
    uint64_t score = NodeScore(prefix + node);
    if (score > best_score && CanReach(node)) {
      best = node;
      best_score = score;
    }
  }
  return best;
}

void MeshReducer::ReportDemand() {
  if (now_ < next_demand_report_at_ || !config_ || !member_reads_.done)
    return;
  next_demand_report_at_ = now_ + kDemandReportInterval;
  std::vector<wire::Demand> by_partition(RatePartitionCount());
  wire::Demand local_demand = rate_limiter_.Demand(now_);
  for (wire::Demand::Row& row : *local_demand.mutable_rows()) {
    auto limits = config_->organisations.find(row.organisation());
    // Tokens of a central bucket are requested when a call needs one.
    if (limits == config_->organisations.end() ||
        UsesCentralBucket(limits->second, FleetSize())) {
      continue;
    }
    *by_partition[RatePartitionOf(row.organisation())].add_rows() =
        std::move(row);
  }
  for (uint32_t partition = 0; partition < by_partition.size(); ++partition) {
    by_partition[partition].set_part(partition);
    SendDemand(AllocatorOfPartition(partition),
               std::move(by_partition[partition]));
  }
}

bool MeshReducer::CanReach(const NodeId& node) const {
  if (node == identity_.node)
    return true;
  auto member = members_.find(node);
  if (member == members_.end())
    return false;
  auto link = links_.find(member->second.link);
  return link != links_.end() && link->second.open;
}

void MeshReducer::SendDemand(const NodeId& allocator, wire::Demand demand) {
  if (allocator == identity_.node) {
    OnShares(rate_allocator_.OnDemand(identity_.node, demand, *config_,
                                      FleetSize(), now_));
    return;
  }
  auto member = members_.find(allocator);
  if (member == members_.end() || !member->second.link)
    return;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_demand() = std::move(demand);
  Send(member->second.link, std::move(frame));
}

void MeshReducer::RequestTokens(const std::string& organisation) {
  wire::Demand demand;
  demand.set_part(RatePartitionOf(organisation));
  wire::Demand::Row* row = demand.add_rows();
  row->set_organisation(organisation);
  row->set_tokens(rate_limiter_.TokensWanted(
      organisation, token_waits_[organisation].size(), now_));
  SendDemand(RateAllocatorFor(organisation), std::move(demand));
}

void MeshReducer::OnDemand(LinkId link, const wire::Demand& demand) {
  if (!config_)
    return;
  auto frame = std::make_shared<wire::Frame>();
  *frame->mutable_shares() = rate_allocator_.OnDemand(
      links_.at(link).node, demand, *config_, FleetSize(), now_);
  Send(link, std::move(frame));
}

void MeshReducer::SendQuarantine(LinkId except) {
  auto frame = std::make_shared<wire::Frame>();
  for (auto& entry : quarantine_.Export(now_))
    *frame->mutable_quarantined()->add_entries() = std::move(entry);
  for (const auto& [id, link] : links_) {
    if (link.open && !link.accepted && id != except)
      Send(id, frame);
  }
}

void MeshReducer::Send(LinkId link, std::shared_ptr<wire::Frame> frame) {
  auto found = links_.find(link);
  if (found != links_.end() && found->second.open)
    effects_.push_back(SendFrame{link, std::move(frame)});
}

}  // namespace comfreylock::mesh
