#include "comfreylock/fair_queue.h"

#include <algorithm>

namespace comfreylock {

FairQueue::FlowRank FairQueue::ByBacklog(Flow& flow) {
  return {static_cast<double>(flow.entries.size()) / flow.weight, flow.id,
          &flow};
}

void FairQueue::Link(Lane& lane, Flow& flow) {
  if (flow.entries.empty())
    return;
  lane.ready[flow.suspect].insert(ByStart(flow));
  lane.backlog.insert(ByBacklog(flow));
}

void FairQueue::Unlink(Lane& lane, Flow& flow) {
  if (flow.entries.empty())
    return;
  lane.ready[flow.suspect].erase(ByStart(flow));
  lane.backlog.erase(ByBacklog(flow));
}

void FairQueue::Push(const WorkItem& item, TimePoint now) {
  uint32_t importance = std::min(item.importance, kLanes - 1);
  Lane& lane = lanes_[importance];
  auto [found, added] =
      lane.flows.try_emplace({item.organisation, item.run_alone});
  Flow& flow = found->second;
  if (added) {
    flow.id = ++last_flow_;
    flow.suspect = item.run_alone;
  }
  Unlink(lane, flow);
  flow.weight = item.weight;
  if (flow.entries.empty())
    flow.start = std::max(lane.virtual_time, flow.finish);
  flow.entries.push_back({item, now, ++last_sequence_});
  Link(lane, flow);
  index_[item.work] = {importance, &flow, std::prev(flow.entries.end())};
  ages_[item.run_alone][last_sequence_] = item.work;
  deadlines_.insert({item.deadline, item.work});
}

const std::set<FairQueue::FlowRank>* FairQueue::ReadySet(const Lane& lane,
                                                         bool suspects) const {
  const auto& normal = lane.ready[0];
  const auto& alone = lane.ready[1];
  if (!suspects || alone.empty())
    return normal.empty() ? nullptr : &normal;
  if (normal.empty())
    return &alone;
  return *alone.begin() < *normal.begin() ? &alone : &normal;
}

bool FairQueue::HasReady(bool suspects) const {
  return std::ranges::any_of(lanes_, [&](const Lane& lane) {
    return ReadySet(lane, suspects) != nullptr;
  });
}

std::optional<WorkItem> FairQueue::Pop(bool suspects) {
  for (Lane& lane : lanes_) {
    const auto* ready = ReadySet(lane, suspects);
    if (!ready)
      continue;
    Flow& flow = *std::get<Flow*>(*ready->begin());
    Unlink(lane, flow);
    lane.virtual_time = std::max(lane.virtual_time, flow.start);
    flow.finish = flow.start + 1 / flow.weight;
    flow.start = flow.finish;
    lane.last_finish = std::max(lane.last_finish, flow.finish);
    Link(lane, flow);
    return Extract(flow.entries.front().item.work);
  }
  return std::nullopt;
}

WorkItem FairQueue::Extract(WorkId work) {
  auto found = index_.find(work);
  Place place = found->second;
  Lane& lane = lanes_[place.lane];
  Unlink(lane, *place.flow);
  WorkItem item = std::move(place.entry->item);
  ages_[place.flow->suspect].erase(place.entry->sequence);
  deadlines_.erase({item.deadline, work});
  place.flow->entries.erase(place.entry);
  index_.erase(found);
  Link(lane, *place.flow);
  EndBusyPeriod(lane);
  return item;
}

void FairQueue::EndBusyPeriod(Lane& lane) {
  if (!lane.backlog.empty())
    return;
  // Without a backlog nobody was held back, so that all shares start equal.
  lane.virtual_time = std::max(lane.virtual_time, lane.last_finish);
  lane.flows.clear();
}

bool FairQueue::Remove(WorkId work) {
  if (!index_.contains(work))
    return false;
  Extract(work);
  return true;
}

std::optional<WorkItem> FairQueue::EvictFor(const WorkItem& newcomer) {
  uint32_t importance = std::min(newcomer.importance, kLanes - 1);
  for (uint32_t i = kLanes; i-- > importance;) {
    Lane& lane = lanes_[i];
    if (lane.backlog.empty())
      continue;
    const auto& [backlog, id, flow] = *lane.backlog.rbegin();
    if (i == importance) {
      auto own = lane.flows.find({newcomer.organisation, newcomer.run_alone});
      double queued = own == lane.flows.end()
                          ? 0
                          : static_cast<double>(own->second.entries.size());
      if ((queued + 1) / newcomer.weight >= backlog)
        return std::nullopt;
    }
    return Extract(flow->entries.back().item.work);
  }
  return std::nullopt;
}

std::optional<WorkItem> FairQueue::PopWaitingSince(TimePoint oldest) {
  for (const auto& ages : ages_) {
    if (ages.empty())
      continue;
    WorkId work = ages.begin()->second;
    if (index_.at(work).entry->since <= oldest)
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
  if (ages_[0].empty())
    return std::chrono::microseconds(0);
  return now - index_.at(ages_[0].begin()->second).entry->since;
}

}  // namespace comfreylock
