#include "comfreylock/claims.h"

#include <algorithm>
#include <cstdio>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Reason of ClaimRefused on which the entry repeats its request.
constexpr std::string_view kInProgress = "in_progress";
constexpr size_t kUuidLength = 36;

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

bool IsRefusalReason(Reason reason) {
  return reason != Reason::kInternal && reason != Reason::kNone;
}

size_t SizeOf(const wire::ClaimRecord& record) {
  return record.ByteSizeLong() + kClaimRecordOverheadBytes;
}

}  // namespace

std::string OnceOnlyKey(std::string_view organisation,
                        std::string_view route,
                        std::string_view idempotency_key) {
  // Names contain no line breaks, so different triples give different keys.
  std::string key(organisation);
  key.append("\n").append(route).append("\n").append(idempotency_key);
  return key;
}

std::optional<WallTime> TimeOfKey(std::string_view key) {
  key = key.substr(key.rfind('\n') + 1);
  if (key.size() != kUuidLength || key[14] != '7')
    return std::nullopt;
  int64_t ms = 0;
  for (size_t i = 0; i < kUuidLength; ++i) {
    bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    int digit = HexDigit(key[i]);
    if (dash ? key[i] != '-' : digit < 0)
      return std::nullopt;
    if (i < 13 && !dash)
      ms = ms << 4 | digit;
  }
  return WallTime(std::chrono::milliseconds(ms));
}

// ClaimPartition: claim log at the owner of a partition.

ClaimPartition::ClaimPartition(uint32_t partition,
                               uint64_t epoch,
                               std::string owner_key,
                               int64_t owner_revision,
                               Rules rules)
    : partition_(partition),
      epoch_(epoch),
      owner_key_(std::move(owner_key)),
      owner_revision_(owner_revision),
      rules_(rules),
      load_from_(BatchKey(0)) {}

bool ClaimPartition::IsSameClaim(const wire::ClaimRecord& record,
                                 const NodeId& entry,
                                 uint64_t incarnation,
                                 uint64_t claim) {
  return record.entry_node() == entry && record.claim() == claim &&
         record.incarnation() == incarnation;
}

std::string ClaimPartition::BatchKey(uint64_t sequence) const {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(sequence));
  return "/comfreylock/claims/" + std::to_string(partition_) + "/" + digits;
}

ClaimPartition::Reply ClaimPartition::MakeGrant(const Record& record) const {
  Reply reply{record.data.entry_node(), {}};
  wire::ClaimGranted& granted = *reply.message.mutable_claim_granted();
  granted.set_claim(record.data.claim());
  granted.set_incarnation(record.data.incarnation());
  return reply;
}

ClaimPartition::Reply ClaimPartition::MakeResendReply(
    const NodeId& entry,
    const wire::ClaimRequest& request,
    const Record& record) const {
  Reply reply{entry, {}};
  wire::ClaimRefused& refused = *reply.message.mutable_claim_refused();
  refused.set_claim(request.claim());
  refused.set_incarnation(request.incarnation());
  Reason reason = Reason::kOutcomeUnknown;
  if (record.data.body_digest() != request.body_digest()) {
    reason = Reason::kBodyDiffers;
  } else if (record.state == State::kDone && record.data.has_answer()) {
    *refused.mutable_answer() = record.data.answer();
    reason = record.data.answer().body_omitted() ? Reason::kAnswerNotKept
                                                 : Reason::kNone;
  } else if (record.state != State::kDone && record.claimed_here) {
    refused.set_reason(std::string(kInProgress));
    return reply;
  }
  refused.set_reason(std::string(InfoOf(reason).name));
  return reply;
}

ClaimPartition::Replies ClaimPartition::OnRequest(
    const NodeId& entry,
    const wire::ClaimRequest& request,
    bool ownership_confirmed,
    WallTime wall) {
  // Not answered until the log is read; the entry repeats the request.
  if (phase_ == Phase::kLoading || phase_ == Phase::kLost)
    return {};
  Reply refusal{entry, {}};
  wire::ClaimRefused& refused = *refusal.message.mutable_claim_refused();
  refused.set_claim(request.claim());
  refused.set_incarnation(request.incarnation());
  auto refuse = [&](Reason reason) {
    refused.set_reason(std::string(InfoOf(reason).name));
    return Replies{refusal};
  };
  auto found = index_.find(request.key());
  if (found != index_.end()) {
    const Record& record = found->second;
    if (!IsSameClaim(record.data, entry, request.incarnation(),
                     request.claim()))
      return {MakeResendReply(entry, request, record)};
    if (record.state == State::kClaimed)
      return {MakeGrant(record)};
    return {};
  }
  auto time = TimeOfKey(request.key());
  if (time && wall - *time > kMaxClaimKeyAge)
    return refuse(Reason::kIdempotencyKeyExpired);
  if (!ownership_confirmed)
    return refuse(Reason::kStoreUnavailable);
  if (index_bytes_ >= kMaxClaimIndexBytes)
    return refuse(Reason::kClaimsFull);
  wire::ClaimRecord record;
  record.set_key(request.key());
  record.set_claim(request.claim());
  record.set_incarnation(request.incarnation());
  record.set_entry_node(entry);
  record.set_body_digest(request.body_digest());
  record.set_created_ms(static_cast<uint64_t>(wall.time_since_epoch().count()));
  index_[request.key()].data = record;
  index_bytes_ += SizeOf(record);
  queue_.push_back(std::move(record));
  return {};
}

ClaimPartition::Replies ClaimPartition::OnResult(
    const NodeId& entry,
    const wire::ClaimResult& result) {
  if (phase_ == Phase::kLoading || phase_ == Phase::kLost)
    return {};
  auto found = index_.find(result.key());
  bool known = found != index_.end() &&
               IsSameClaim(found->second.data, entry, result.incarnation(),
                           result.claim());
  if (known && found->second.state == State::kClaimed) {
    wire::ClaimRecord record = found->second.data;
    if (result.has_answer())
      *record.mutable_answer() = result.answer();
    else
      record.set_outcome_unknown(true);
    found->second.state = State::kClosing;
    queue_.push_back(std::move(record));
    return {};
  }
  if (known && found->second.state != State::kDone)
    return {};
  Reply reply{entry, {}};
  auto& acknowledged = *reply.message.mutable_claim_acknowledged();
  acknowledged.set_claim(result.claim());
  acknowledged.set_incarnation(result.incarnation());
  return {reply};
}

ClaimPartition::Replies ClaimPartition::OnReleased(
    const NodeId& entry,
    const wire::ClaimReleased& released) {
  if (phase_ == Phase::kLoading || phase_ == Phase::kLost)
    return {};
  auto found = index_.find(released.key());
  bool known = found != index_.end() &&
               IsSameClaim(found->second.data, entry, released.incarnation(),
                           released.claim());
  if (known && found->second.state == State::kClaimed) {
    wire::ClaimRecord record = found->second.data;
    record.set_released(true);
    found->second.state = State::kClosing;
    queue_.push_back(std::move(record));
  }
  // Not acknowledged until the release is in the log; the entry repeats it.
  if (known && found->second.state != State::kDone)
    return {};
  Reply reply{entry, {}};
  auto& acknowledged = *reply.message.mutable_claim_acknowledged();
  acknowledged.set_claim(released.claim());
  acknowledged.set_incarnation(released.incarnation());
  return {reply};
}

void ClaimPartition::IndexRecord(const wire::ClaimRecord& record,
                                 bool claimed_here) {
  auto found = index_.find(record.key());
  if (found != index_.end()) {
    index_bytes_ -= SizeOf(found->second.data);
    if (record.released()) {
      index_.erase(found);
      return;
    }
  }
  if (record.released())
    return;
  Record& indexed = index_[record.key()];
  indexed.data = record;
  indexed.claimed_here = claimed_here;
  bool done = record.has_answer() || record.outcome_unknown();
  indexed.state = done ? State::kDone : State::kClaimed;
  index_bytes_ += SizeOf(record);
  if (auto time = TimeOfKey(record.key()))
    key_expiry_.emplace(*time + kMaxClaimKeyAge + kClaimRetentionMargin,
                        record.key());
}

void ClaimPartition::RecordBatchExpiry(
    uint64_t sequence,
    const std::vector<wire::ClaimRecord>& records) {
  WallTime end{};
  for (const auto& record : records) {
    auto time = TimeOfKey(record.key());
    if (!time)
      return;
    end = std::max(end, *time + kMaxClaimKeyAge + kClaimRetentionMargin);
  }
  batch_expiry_.emplace(end, sequence);
}

void ClaimPartition::Load(const StoreRangeResult& range) {
  for (const auto& entry : range.entries) {
    std::string digits = entry.key.substr(entry.key.rfind('/') + 1);
    uint64_t sequence = std::stoull(digits, nullptr, 16);
    next_sequence_ = std::max(next_sequence_, sequence + 1);
    wire::ClaimBatch batch;
    // No claim may be granted before the whole log is read, so reading
    // resumes at this batch.
    if (!batch.ParseFromString(entry.value))
      return;
    std::vector<wire::ClaimRecord> records(batch.records().begin(),
                                           batch.records().end());
    for (const auto& record : records)
      IndexRecord(record, false);
    RecordBatchExpiry(sequence, records);
    load_from_ = BatchKey(sequence + 1);
  }
  if (!range.more)
    phase_ = Phase::kIdle;
}

void ClaimPartition::ExpireRecords(WallTime wall) {
  while (!key_expiry_.empty() && key_expiry_.begin()->first < wall) {
    auto found = index_.find(key_expiry_.begin()->second);
    if (found != index_.end() && found->second.state != State::kClosing &&
        found->second.state != State::kQueued) {
      index_bytes_ -= SizeOf(found->second.data);
      index_.erase(found);
    }
    key_expiry_.erase(key_expiry_.begin());
  }
}

void ClaimPartition::MakeBatch(WallTime wall) {
  batch_ = {next_sequence_++, "", {}, {}};
  wire::ClaimBatch batch;
  batch.set_epoch(epoch_);
  batch.set_sequence(batch_.sequence);
  size_t bytes = 0;
  while (!queue_.empty()) {
    bytes += SizeOf(queue_.front());
    if (bytes > kMaxClaimBatchBytes && !batch_.records.empty())
      break;
    *batch.add_records() = queue_.front();
    batch_.records.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  batch_.value = batch.SerializeAsString();
  for (const auto& [end, sequence] : batch_expiry_) {
    if (end >= wall || batch_.deleted.size() == kMaxClaimBatchesPerDelete)
      break;
    batch_.deleted.push_back(sequence);
  }
}

StoreTransaction ClaimPartition::MakeWrite() const {
  StoreTransaction write;
  // The second compare fails if the batch is in the store already, because an
  // earlier answer was lost.
  if (rules_.compare) {
    write.compares = {{owner_key_, owner_revision_},
                      {BatchKey(batch_.sequence), 0}};
  }
  write.puts.push_back({BatchKey(batch_.sequence), batch_.value});
  for (uint64_t sequence : batch_.deleted)
    write.deletes.push_back({BatchKey(sequence)});
  return write;
}

std::optional<StoreRequest> ClaimPartition::Advance(TimePoint now,
                                                    WallTime wall) {
  if (store_request_pending_ || phase_ == Phase::kLost ||
      now < next_request_at_)
    return std::nullopt;
  if (phase_ == Phase::kIdle) {
    ExpireRecords(wall);
    if (queue_.empty())
      return std::nullopt;
    MakeBatch(wall);
    phase_ = Phase::kWriting;
  }
  store_request_pending_ = true;
  next_request_at_ = now + kClaimWriteInterval;
  if (phase_ == Phase::kLoading) {
    // The first page starts at the log's lowest sequence number.
    return StoreRange{
        load_from_,
        PrefixEnd("/comfreylock/claims/" + std::to_string(partition_) + "/"),
        kClaimBatchesPerPage};
  }
  if (phase_ == Phase::kWriting)
    return MakeWrite();
  phase_ = Phase::kReadingBack;
  return StoreRange{BatchKey(batch_.sequence)};
}

ClaimPartition::Replies ClaimPartition::FinishBatch() {
  Replies replies;
  for (const auto& record : batch_.records) {
    bool closing =
        record.released() || record.has_answer() || record.outcome_unknown();
    IndexRecord(record, true);
    if (!closing) {
      replies.push_back(MakeGrant(index_.at(record.key())));
      continue;
    }
    Reply reply{record.entry_node(), {}};
    auto& acknowledged = *reply.message.mutable_claim_acknowledged();
    acknowledged.set_claim(record.claim());
    acknowledged.set_incarnation(record.incarnation());
    replies.push_back(std::move(reply));
  }
  RecordBatchExpiry(batch_.sequence, batch_.records);
  std::erase_if(batch_expiry_, [this](const auto& item) {
    return std::ranges::find(batch_.deleted, item.second) !=
           batch_.deleted.end();
  });
  phase_ = Phase::kIdle;
  return replies;
}

ClaimPartition::Replies ClaimPartition::MarkLost() {
  phase_ = Phase::kLost;
  Replies replies;
  for (const auto& [key, record] : index_) {
    if (record.state != State::kQueued)
      continue;
    Reply reply{record.data.entry_node(), {}};
    wire::NotOwner& not_owner = *reply.message.mutable_not_owner();
    not_owner.set_partition(partition_);
    not_owner.set_claim(record.data.claim());
    not_owner.set_incarnation(record.data.incarnation());
    replies.push_back(std::move(reply));
  }
  return replies;
}

ClaimPartition::Replies ClaimPartition::OnStoreAnswer(
    const StoreResult& result) {
  store_request_pending_ = false;
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (phase_ == Phase::kLoading) {
    if (range)
      Load(*range);
    return {};
  }
  if (phase_ == Phase::kWriting) {
    const auto* written = std::get_if<StoreTransactionResult>(&result);
    if (written && written->succeeded)
      return FinishBatch();
    const auto* failure = std::get_if<StoreFailure>(&result);
    if (failure && !failure->may_have_applied)
      return {};  // Not written: the same batch is written again.
    // Another node is the owner, or the batch was written by a request whose
    // answer was lost. Reading the batch back distinguishes the two.
    phase_ = Phase::kWriteUncertain;
    compares_failed_ = written != nullptr;
    return {};
  }
  if (phase_ != Phase::kReadingBack)
    return {};
  phase_ = Phase::kWriteUncertain;
  if (!range)
    return {};
  if (!range->entries.empty())
    return range->entries[0].value == batch_.value ? FinishBatch() : MarkLost();
  if (compares_failed_)
    return MarkLost();
  // The lost request may still reach the store, so only the same batch may be
  // written under this sequence number.
  phase_ = Phase::kWriting;
  return {};
}

// ClaimTracker: claims of an entry node.

void ClaimTracker::Start(CallId call,
                         uint32_t partition,
                         const std::string& key,
                         const std::string& body_digest,
                         TimePoint now,
                         TimePoint deadline) {
  uint64_t id = ++last_claim_;
  Claim& claim = claims_[id];
  claim.call = call;
  claim.partition = partition;
  claim.key = key;
  claim.body_digest = body_digest;
  claim.deadline = deadline;
  claim.next_send_at = now;
  by_call_[call] = id;
}

ClaimTracker::Claim* ClaimTracker::Find(uint64_t claim, uint64_t incarnation) {
  auto found = claims_.find(claim);
  if (incarnation != incarnation_ || found == claims_.end())
    return nullptr;
  return &found->second;
}

ClaimTracker::Claim* ClaimTracker::FindByCall(CallId call) {
  auto found = by_call_.find(call);
  return found == by_call_.end() ? nullptr : &claims_.at(found->second);
}

void ClaimTracker::Close(Claim& claim, State state, TimePoint now) {
  by_call_.erase(claim.call);
  claim.state = state;
  claim.next_send_at = now;
  claim.keep_until = now + kReleasedClaimRetention;
}

ClaimTracker::Decisions ClaimTracker::OnGranted(
    const wire::ClaimGranted& granted,
    TimePoint now) {
  Claim* claim = Find(granted.claim(), granted.incarnation());
  if (!claim)
    return {};
  if (claim->state == State::kReleasing)
    claim->next_send_at = now;
  if (claim->state != State::kRequesting)
    return {};
  if (now >= claim->deadline) {
    CallId call = claim->call;
    Close(*claim, State::kReleasing, now);
    return {{call, false, {}, Reason::kDeadline, Outcome::kNotRun}};
  }
  claim->state = State::kDispatched;
  return {{claim->call, true, {}, Reason::kNone, Outcome::kUnknown}};
}

ClaimTracker::Decisions ClaimTracker::OnRefused(
    const wire::ClaimRefused& refused,
    TimePoint now) {
  Claim* claim = Find(refused.claim(), refused.incarnation());
  if (!claim || claim->state != State::kRequesting)
    return {};
  if (refused.reason() == kInProgress) {
    claim->claimed_elsewhere = true;
    return {};
  }
  Decision decision{claim->call, false, {}, Reason::kNone, Outcome::kNotRun};
  // A former owner may have logged this claim, so it is released.
  Close(*claim, State::kReleasing, now);
  Reason reason = ReasonFromName(refused.reason());
  if (refused.has_answer() && !refused.answer().body_omitted()) {
    decision.answer = refused.answer();
    return {decision};
  }
  decision.reason = IsRefusalReason(reason) ? reason : Reason::kOutcomeUnknown;
  if (decision.reason == Reason::kAnswerNotKept)
    decision.outcome = Outcome::kComplete;
  if (decision.reason == Reason::kOutcomeUnknown ||
      decision.reason == Reason::kIdempotencyKeyExpired) {
    decision.outcome = Outcome::kUnknown;
  }
  return {decision};
}

void ClaimTracker::OnAcknowledged(const wire::ClaimAcknowledged& acknowledged,
                                  TimePoint now) {
  Claim* claim = Find(acknowledged.claim(), acknowledged.incarnation());
  if (!claim)
    return;
  if (claim->state == State::kReporting)
    claims_.erase(acknowledged.claim());
  // The claim is retained without resending its release, as a delayed request
  // may still be granted after the release.
  else if (claim->state == State::kReleasing)
    claim->next_send_at = now + kReleasedClaimRetention;
}

void ClaimTracker::OnNotOwner(const wire::NotOwner& not_owner, TimePoint now) {
  Claim* claim = Find(not_owner.claim(), not_owner.incarnation());
  if (claim && claim->state != State::kDispatched)
    claim->next_send_at =
        std::max(now, claim->next_send_at - kClaimRepeatInterval / 2);
}

void ClaimTracker::Release(CallId call, TimePoint now) {
  if (Claim* claim = FindByCall(call))
    Close(*claim, State::kReleasing, now);
}

void ClaimTracker::Report(CallId call,
                          const std::optional<wire::StoredAnswer>& answer,
                          TimePoint now) {
  Claim* claim = FindByCall(call);
  if (!claim || claim->state != State::kDispatched)
    return;
  claim->answer = answer;
  Close(*claim, State::kReporting, now);
}

wire::PeerMessage ClaimTracker::MessageFor(uint64_t id,
                                           const Claim& claim) const {
  wire::PeerMessage message;
  auto fill = [&](auto& body) {
    body.set_partition(claim.partition);
    body.set_claim(id);
    body.set_key(claim.key);
    body.set_incarnation(incarnation_);
  };
  if (claim.state == State::kRequesting) {
    wire::ClaimRequest& request = *message.mutable_claim_request();
    fill(request);
    request.set_body_digest(claim.body_digest);
  } else if (claim.state == State::kReporting) {
    wire::ClaimResult& result = *message.mutable_claim_result();
    fill(result);
    if (claim.answer)
      *result.mutable_answer() = *claim.answer;
  } else {
    fill(*message.mutable_claim_released());
  }
  return message;
}

ClaimTracker::Decisions ClaimTracker::Advance(TimePoint now,
                                              Messages& messages) {
  Decisions decisions;
  for (auto item = claims_.begin(); item != claims_.end();) {
    auto& [id, claim] = *item;
    if (claim.state == State::kReleasing && now >= claim.keep_until) {
      item = claims_.erase(item);
      continue;
    }
    if (claim.state == State::kRequesting && now >= claim.deadline) {
      Decision decision{claim.call, false, {}, Reason::kStoreUnavailable};
      if (claim.claimed_elsewhere) {
        decision.reason = Reason::kOutcomeUnknown;
        decision.outcome = Outcome::kUnknown;
      }
      decisions.push_back(decision);
      Close(claim, State::kReleasing, now);
    }
    if (claim.state != State::kDispatched && now >= claim.next_send_at) {
      messages.push_back({claim.partition, MessageFor(id, claim)});
      claim.next_send_at = now + kClaimRepeatInterval;
    }
    ++item;
  }
  return decisions;
}

bool ClaimTracker::HasUnacknowledgedResults() const {
  return std::ranges::any_of(claims_, [](const auto& item) {
    return item.second.state == State::kReporting;
  });
}

}  // namespace comfreylock
