#include <algorithm>
#include <utility>

#include "mesh/mesh_reducer.h"
#include "mesh/node_score.h"

/// What other nodes know of a node that starts: a newer configuration, and the
/// departed targets beside it. Guards against a store that was restored to an
/// older state; see docs/design/store-era.md.
namespace comfreylock::mesh {
namespace {

using std::chrono::milliseconds;

/// Number of nodes that keep the departed targets of a node, and whose loads a
/// starting node waits for. A leave is lost only if all of them restart
/// together with the node in the seconds between a restore and the rewriting.
constexpr size_t kKeeperCount = 3;
/// Longest wait of a starting node for the loads of members that it knows.
/// Links take up to 700 ms to open, and a node without processor time up to a
/// second more to respond.
constexpr milliseconds kPeerWait = 2000ms;
/// The same while no member is known. After a restore, nodes notice it at their
/// next renewal (3 s) and write their records within 6 s.
constexpr milliseconds kUnknownPeersWait = 10'000ms;
/// Interval at which the keepers are chosen again, since that looks at all
/// members. A new keeper gets the departed targets this much later.
constexpr milliseconds kKeeperUpdateInterval = 1000ms;
/// Largest number of nodes whose departed targets are kept, 0.3 MB. Each node
/// has `kKeeperCount` keepers, so that one node keeps those of 3 on average.
constexpr size_t kMaxKeptNodes = 64;
/// Departed targets that are kept for one node, as many as it keeps itself.
constexpr size_t kMaxDepartedOfNode = 64;

}  // namespace

std::vector<NodeId> MeshReducer::KeepersOfDeparted(bool reachable) const {
  std::vector<std::pair<uint64_t, NodeId>> best;
  std::string prefix = "departed/" + identity_.node + "/";
  for (const auto& [node, member] : members_) {
    if (reachable && !CanReach(node))
      continue;
    best.emplace_back(NodeScore(prefix + node), node);
    std::ranges::sort(best, std::greater());
    if (best.size() > kKeeperCount)
      best.pop_back();
  }
  std::vector<NodeId> keepers;
  for (auto& [score, node] : best)
    keepers.push_back(std::move(node));
  return keepers;
}

void MeshReducer::UpdatePeerWait() {
  if (peers_heard_ || !era_known_at_)
    return;
  if (!members_.empty() && !first_member_at_)
    first_member_at_ = now_;
  if (first_member_at_) {
    // A node that was cut off may have missed what the others know, so that all
    // keepers are waited for.
    bool heard = member_reads_.done &&
                 std::ranges::all_of(KeepersOfDeparted(false),
                                     [this](const NodeId& node) {
                                       return members_.at(node).sent_load;
                                     });
    const FleetConfig* known = config_ ? config_.get() : held_config_.get();
    bool newer_expected = newest_config_version_ > (known ? known->version : 0);
    peers_heard_ = (heard && !newer_expected && !members_.empty()) ||
                   now_ - *first_member_at_ >= kPeerWait;
  }
  if (now_ - *era_known_at_ >= kUnknownPeersWait)
    peers_heard_ = true;
  if (!peers_heard_)
    return;
  if (auto config = std::exchange(held_config_, nullptr); config && !config_)
    Handle(
        ConfigRead{std::move(config), held_config_confirmed_at_, store_era_});
  AdvertiseLoad();
}

void MeshReducer::UpdateKeepers() {
  if (store_era_ == 0 || departed_.empty() || now_ < next_keeper_update_at_)
    return;
  next_keeper_update_at_ = now_ + kKeeperUpdateInterval;
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_targets_left()->set_node(identity_.node);
  for (const DepartedTarget& departed : departed_)
    SerializeDeparted(departed, *frame->mutable_targets_left()->add_departed());
  std::set<LinkId> informed;
  for (const NodeId& node : KeepersOfDeparted(true)) {
    LinkId link = members_.at(node).link;
    informed.insert(link);
    if (!informed_keepers_.contains(link))
      Send(link, frame);
  }
  informed_keepers_ = std::move(informed);
}

void MeshReducer::ReturnDeparted(const Link& link) {
  auto found = departed_of_nodes_.find(link.node);
  if (found == departed_of_nodes_.end())
    return;
  auto frame = std::make_shared<wire::Frame>();
  frame->mutable_targets_left()->set_node(link.node);
  for (const DepartedTarget& departed : found->second)
    SerializeDeparted(departed, *frame->mutable_targets_left()->add_departed());
  Send(link.id, std::move(frame));
}

void MeshReducer::OnTargetsLeft(const Link& link,
                                const wire::TargetsLeft& left) {
  std::vector<DepartedTarget> departed;
  for (const wire::TargetRecord::Departed& row : left.departed())
    departed.push_back(ParseDeparted(row));
  if (left.node() == identity_.node) {
    MergeDeparted(departed);
    MaintainTargetRecord();
    return;
  }
  if (left.node() != link.node)
    return;
  if (!departed_of_nodes_.contains(link.node) &&
      departed_of_nodes_.size() >= kMaxKeptNodes) {
    auto gone = std::ranges::find_if(departed_of_nodes_, [this](const auto& i) {
      return !members_.contains(i.first);
    });
    departed_of_nodes_.erase(
        gone == departed_of_nodes_.end() ? departed_of_nodes_.begin() : gone);
  }
  // A node that has just restarted may not know yet what it told before.
  std::vector<DepartedTarget>& kept = departed_of_nodes_[link.node];
  for (DepartedTarget& entry : departed) {
    std::erase_if(kept, [&entry](const DepartedTarget& old) {
      return old.id == entry.id && old.LastStart() <= entry.LastStart();
    });
    if (std::ranges::find(kept, entry.id, &DepartedTarget::id) == kept.end())
      kept.push_back(std::move(entry));
  }
  if (kept.size() > kMaxDepartedOfNode) {
    kept.erase(kept.begin(),
               kept.end() - static_cast<std::ptrdiff_t>(kMaxDepartedOfNode));
  }
}

void MeshReducer::MergeDeparted(const std::vector<DepartedTarget>& others) {
  bool was_leaving = target_.leaving;
  for (const DepartedTarget& other : others) {
    const DepartedTarget* known = FindDeparted(other.id);
    if (known && known->LastStart() >= other.LastStart())
      continue;
    AddDeparted(other);
    TargetReport& report = target_.report;
    // Reports of targets that started earlier are late.
    if (report.id.empty())
      report.started_at_ms =
          std::max(report.started_at_ms, other.started_at_ms);
    if (report.id == other.id && report.started_at_ms <= other.LastStart())
      target_.leaving = true;
  }
  if (target_.leaving == was_leaving)
    return;
  LogLine(LogCode::kTargetChanged, {{"target", target_.report.id},
                                    {"service", target_.report.service},
                                    {"state", "left_before"}});
  AdvertiseLoad();
  Apply(queue_.RefuseAll());
}

}  // namespace comfreylock::mesh
