#include <algorithm>
#include <utility>

#include "mesh/node.h"

/// Other nodes: links, what they tell, rate shares and quarantine.
namespace comfreylock::mesh {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

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
/// Pause between requests to other nodes for their configuration.
constexpr milliseconds kConfigAskInterval = 200ms;
/// Nodes for each holder of rates.
constexpr size_t kNodesPerHolder = 16;
/// Time for which a node that is not seen counts for shares of rates and
/// repeats: longer than most cuts between nodes.
constexpr std::chrono::seconds kFleetSizeKept{15};

/// FNV-1a, the same on all nodes.
uint64_t Hash(std::string_view text) {
  uint64_t hash = 14695981039346656037u;
  for (unsigned char letter : text) {
    hash ^= letter;
    hash *= 1099511628211u;
  }
  return hash;
}

}  // namespace

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
  link.boot = event.peer.boot();
  link.accepted = event.accepted;
  link.open = true;
  link.last_received = now_;
  if (event.accepted) {
    link.node = event.peer.node();
    LearnPeer(event.peer);
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
    case wire::Frame::kConfigWanted:
      OnConfigWanted(event.link, frame.config_wanted());
      return;
    case wire::Frame::kConfigText:
      if (!config_ || frame.config_text().version() > config_->version) {
        effects_.push_back(DecodeConfig{frame.config_text().text(), link.node});
      }
      return;
    case wire::Frame::kQuarantined:
      if (quarantine_.Merge(frame.quarantined().entries(), now_))
        TellQuarantine(event.link);
      return;
    default:
      return;
  }
}

void Node::LearnPeer(const wire::Hello& peer) {
  if (peer.address().empty() || peer.node() == identity_.node)
    return;
  auto known = members_.find(peer.node());
  if (known != members_.end()) {
    // It runs, so a link to it need not wait any longer.
    known->second.next_connect = now_;
    known->second.backoff = milliseconds(0);
    return;
  }
  Member& member = members_[peer.node()];
  *member.record.mutable_node() = peer;
  member.record.set_address(peer.address());
  placement_.SetNode(peer.node(), peer.service(), peer.zone());
  LogLine(LogCode::kMemberChanged, {{"peer", peer.node()},
                                    {"state", "linked"},
                                    {"service", peer.service()},
                                    {"zone", peer.zone()}});
}

void Node::AskForConfig(const Link& link) {
  if (now_ < next_config_ask_)
    return;
  next_config_ask_ = now_ + kConfigAskInterval;
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_config_wanted()->set_version(config_ ? config_->version : 0);
  Send(link.id, std::move(frame));
}

void Node::OnConfigWanted(LinkId link, const wire::ConfigWanted& wanted) {
  if (!config_ || config_->version <= wanted.version() ||
      config_->text.empty()) {
    return;
  }
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_config_text()->set_version(config_->version);
  frame->mutable_config_text()->set_text(config_->text);
  Send(link, std::move(frame));
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
  if (config_ && load.config_version() > config_->version)
    AskForConfig(link);
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

void Node::UpdateFleetSize() {
  if (NodeCount() < fleet_size_ && now_ - fleet_size_seen_ < kFleetSizeKept)
    return;
  fleet_size_ = NodeCount();
  fleet_size_seen_ = now_;
}

uint32_t Node::RateParts() const {
  return static_cast<uint32_t>(1 + FleetSize() / kNodesPerHolder);
}

uint32_t Node::RatePartOf(const std::string& organisation) const {
  return static_cast<uint32_t>(Hash(organisation) % RateParts());
}

NodeId Node::HolderOfPart(uint32_t part) const {
  std::string prefix = std::to_string(part) + "/";
  NodeId best = identity_.node;
  uint64_t best_rank = Hash(prefix + best);
  for (const auto& [node, member] : members_) {
    uint64_t rank = Hash(prefix + node);
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
  std::vector<wire::Demand> by_part(RateParts());
  wire::Demand demand_here = rate_share_.Demand(now_);
  for (wire::Demand::Row& row : *demand_here.mutable_rows()) {
    auto limits = config_->organisations.find(row.organisation());
    // Tokens of a common bucket are asked for one by one.
    if (limits == config_->organisations.end() ||
        TakesCommonTokens(limits->second, FleetSize())) {
      continue;
    }
    *by_part[RatePartOf(row.organisation())].add_rows() = std::move(row);
  }
  for (uint32_t part = 0; part < by_part.size(); ++part) {
    by_part[part].set_part(part);
    SendDemand(HolderOfPart(part), std::move(by_part[part]));
  }
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
                                   FleetSize(), now_));
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
  demand.set_part(RatePartOf(organisation));
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
                                                   *config_, FleetSize(), now_);
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
