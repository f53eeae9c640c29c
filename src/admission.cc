#include "comfreylock/admission.h"

#include <algorithm>

namespace comfreylock {

Admission::Admission(const ServiceRule& rule, TimePoint /*now*/) {
  Configure(rule);
}

void Admission::Configure(const ServiceRule& rule) {
  rule_ = rule;
  limit_ = rule.slots;
}

AdmissionChanges Admission::Offer(const WorkItem& item, TimePoint now) {
  AdmissionChanges changes;
  RejectExpired(now, changes);
  if (queue_.size() >= rule_.queue && running_.size() >= limit_) {
    changes.push_back(
        {item.work, AdmissionChange::Kind::kReject, Reason::kOverload});
    return changes;
  }
  queue_.push_back({item, now});
  StartWaiting(now, changes);
  return changes;
}

AdmissionChanges Admission::Finish(WorkId work,
                                   WorkResult /*result*/,
                                   TimePoint now) {
  AdmissionChanges changes;
  running_.erase(work);
  RejectExpired(now, changes);
  StartWaiting(now, changes);
  return changes;
}

AdmissionChanges Admission::Cancel(WorkId work, TimePoint /*now*/) {
  std::erase_if(queue_,
                [&](const Waiting& entry) { return entry.item.work == work; });
  return {};
}

AdmissionChanges Admission::Advance(TimePoint now) {
  AdmissionChanges changes;
  RejectExpired(now, changes);
  StartWaiting(now, changes);
  return changes;
}

void Admission::StartWaiting(TimePoint /*now*/, AdmissionChanges& changes) {
  while (!queue_.empty() && running_.size() < limit_) {
    auto next = std::ranges::min_element(
        queue_, {}, [](const Waiting& entry) { return entry.item.importance; });
    running_[next->item.work] = next->item;
    changes.push_back(
        {next->item.work, AdmissionChange::Kind::kStart, Reason::kNone});
    queue_.erase(next);
  }
}

void Admission::RejectExpired(TimePoint now, AdmissionChanges& changes) {
  std::erase_if(queue_, [&](const Waiting& entry) {
    bool late = now >= entry.item.deadline;
    bool waited_too_long = now - entry.since > rule_.queue_delay;
    if (!late && !waited_too_long)
      return false;
    changes.push_back({entry.item.work, AdmissionChange::Kind::kReject,
                       late ? Reason::kDeadline : Reason::kOverload});
    return true;
  });
}

}  // namespace comfreylock
