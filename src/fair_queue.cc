#include "comfreylock/fair_queue.h"

#include <algorithm>

namespace comfreylock {

FairQueue::FlowOrderKey FairQueue::BacklogKey(Flow& flow) {
  return {static_cast<double>(flow.entries.size()) / flow.weight, flow.id,
          &flow};
}

void FairQueue::AddToOrderedSets(Lane& lane, Flow& flow) {
  if (flow.entries.empty())
    return;
  lane.ready[flow.holds_suspects].insert(StartTagKey(flow));
  lane.backlog.insert(BacklogKey(flow));
}

void FairQueue::RemoveFromOrderedSets(Lane& lane, Flow& flow) {
  if (flow.entries.empty())
    return;
  lane.ready[flow.holds_suspects].erase(StartTagKey(flow));
  lane.backlog.erase(BacklogKey(flow));
}

void FairQueue::Push(const WorkItem& item, TimePoint now) {
  uint32_t importance = std::min(item.importance, kLaneCount - 1);
  Lane& lane = lanes_[importance];
  auto [found, added] =
      lane.flows.try_emplace({item.organisation, item.is_suspect});
  Flow& flow = found->second;
  if (added) {
    flow.id = ++last_flow_id_;
    flow.holds_suspects = item.is_suspect;
  }
  RemoveFromOrderedSets(lane, flow);
  flow.weight = item.weight;
  if (flow.entries.empty())
    flow.start_tag = std::max(lane.virtual_time, flow.finish_tag);
  flow.entries.push_back({item, now, ++last_sequence_});
  AddToOrderedSets(lane, flow);
  index_[item.work] = {importance, &flow, std::prev(flow.entries.end())};
  by_arrival_[item.is_suspect][last_sequence_] = item.work;
  deadlines_.insert({item.deadline, item.work});
}

const std::set<FairQueue::FlowOrderKey>* FairQueue::ReadySet(
    const Lane& lane,
    bool include_suspects) const {
  const auto& normal = lane.ready[0];
  const auto& suspect_flows = lane.ready[1];
  if (!include_suspects || suspect_flows.empty())
    return normal.empty() ? nullptr : &normal;
  if (normal.empty())
    return &suspect_flows;
  return *suspect_flows.begin() < *normal.begin() ? &suspect_flows : &normal;
}

bool FairQueue::HasReady(bool include_suspects) const {
  return std::ranges::any_of(lanes_, [&](const Lane& lane) {
    return ReadySet(lane, include_suspects) != nullptr;
  });
}

std::optional<WorkItem> FairQueue::Pop(bool include_suspects) {
  for (Lane& lane : lanes_) {
    const auto* ready = ReadySet(lane, include_suspects);
    if (!ready)
      continue;
    Flow& flow = *std::get<Flow*>(*ready->begin());
    RemoveFromOrderedSets(lane, flow);
    lane.virtual_time = std::max(lane.virtual_time, flow.start_tag);
    flow.finish_tag = flow.start_tag + 1 / flow.weight;
    flow.start_tag = flow.finish_tag;
    lane.max_finish_tag = std::max(lane.max_finish_tag, flow.finish_tag);
    AddToOrderedSets(lane, flow);
    return Extract(flow.entries.front().item.work);
  }
  return std::nullopt;
}

WorkItem FairQueue::Extract(WorkId work) {
  auto found = index_.find(work);
  Position position = found->second;
  Lane& lane = lanes_[position.lane];
  RemoveFromOrderedSets(lane, *position.flow);
  WorkItem item = std::move(position.entry->item);
  by_arrival_[position.flow->holds_suspects].erase(position.entry->sequence);
  deadlines_.erase({item.deadline, work});
  position.flow->entries.erase(position.entry);
  index_.erase(found);
  AddToOrderedSets(lane, *position.flow);
  EndBusyPeriodIfIdle(lane);
  return item;
}

void FairQueue::EndBusyPeriodIfIdle(Lane& lane) {
  if (!lane.backlog.empty())
    return;
  // No request waits in this lane, so earlier service no longer counts and all
  // flows restart with equal tags.
  lane.virtual_time = std::max(lane.virtual_time, lane.max_finish_tag);
  lane.flows.clear();
}

bool FairQueue::Remove(WorkId work) {
  if (!index_.contains(work))
    return false;
  Extract(work);
  return true;
}

std::optional<WorkItem> FairQueue::EvictFor(const WorkItem& newcomer) {
  uint32_t importance = std::min(newcomer.importance, kLaneCount - 1);
  for (uint32_t i = kLaneCount; i-- > importance;) {
    Lane& lane = lanes_[i];
    if (lane.backlog.empty())
      continue;
    const auto& [backlog, id, flow] = *lane.backlog.rbegin();
    if (i == importance) {
      auto own_flow =
          lane.flows.find({newcomer.organisation, newcomer.is_suspect});
      double queued =
          own_flow == lane.flows.end()
              ? 0
              : static_cast<double>(own_flow->second.entries.size());
      if ((queued + 1) / newcomer.weight >= backlog)
        return std::nullopt;
    }
    return Extract(flow->entries.back().item.work);
  }
  return std::nullopt;
}

std::optional<WorkItem> FairQueue::PopWaitingSince(TimePoint queued_until) {
  for (const auto& arrivals : by_arrival_) {
    if (arrivals.empty())
      continue;
    WorkId work = arrivals.begin()->second;
    if (index_.at(work).entry->queued_at <= queued_until)
      return Extract(work);
  }
  return std::nullopt;
}

std::optional<WorkItem> FairQueue::PopPastDeadline(TimePoint now) {
  if (deadlines_.empty() || deadlines_.begin()->first > now)
    return std::nullopt;
  return Extract(deadlines_.begin()->second);
}

std::chrono::microseconds FairQueue::OldestWait(TimePoint now) const {
  if (by_arrival_[0].empty())
    return std::chrono::microseconds(0);
  return now - index_.at(by_arrival_[0].begin()->second).entry->queued_at;
}

}  // namespace comfreylock
