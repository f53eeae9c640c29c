#include <algorithm>

#include "comfreylock/config.h"
#include "comfreylock/reducer.h"

/// The bundle in force: reads heads and parts from the store and from peers,
/// and puts newer versions in force.
namespace comfreylock {

bool NodeReducer::IsStoreWatcher() const {
  return !draining_ && IsElectedWatcher();
}

void NodeReducer::ReadBundle() {
  SendStoreRequest(StoreRange{std::string(kBundleHeadKey)},
                   &NodeReducer::OnBundleRead);
}

void NodeReducer::OnBundleRead(StoreResult result) {
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range) {
    watching_head_ = false;
    return;
  }
  for (const auto& entry : range->entries)
    OfferBundleHead(entry.value, entry.key, now_);
  head_read_ = true;
  if (!IsStoreWatcher()) {
    watching_head_ = false;
    return;
  }
  bundle_watch_ = SendStoreRequest(
      StoreWatch{std::string(kBundleHeadKey), "", range->revision + 1},
      [this](const StoreResult& changes) { OnBundleChanged(changes); });
}

void NodeReducer::OnBundleChanged(StoreResult result) {
  const auto* watch = std::get_if<StoreWatchResult>(&result);
  if (!watch) {
    bundle_watch_ = {};
    watching_head_ = false;
    return;
  }
  for (const auto& change : watch->changes) {
    if (!change.deleted)
      OfferBundleHead(change.entry.value, change.entry.key, now_);
  }
}

void NodeReducer::OnBundlePartRead(StoreResult result) {
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range)
    return;
  for (const auto& entry : range->entries) {
    bundle_assembler_.AddPart(entry.key.substr(entry.key.rfind('/') + 1),
                              entry.value);
  }
  AssembleBundle();
}

void NodeReducer::OfferBundleHead(std::string_view document,
                                  std::string_view origin,
                                  TimePoint next_part_read_at) {
  try {
    if (!bundle_assembler_.OfferHead(document, origin))
      return;
  } catch (const InputError& error) {
    effects_.push_back(
        Log{LogCode::kBundleRejected, {{"error", error.what()}}});
    return;
  }
  next_part_read_at_ = next_part_read_at;
  AssembleBundle();
  AdvanceBundle();
}

void NodeReducer::AssembleBundle() {
  try {
    auto bundle = bundle_assembler_.Assemble();
    if (bundle)
      ApplyBundle(std::move(*bundle));
  } catch (const InputError& error) {
    effects_.push_back(
        Log{LogCode::kBundleRejected, {{"error", error.what()}}});
  }
}

void NodeReducer::ApplyBundle(Bundle bundle) {
  bundle_ = std::make_shared<const Bundle>(std::move(bundle));
  effects_.push_back(Log{LogCode::kBundleInForce,
                         {{"version", std::to_string(bundle_->version)}}});
  AdvertiseBundleVersion(kBundleFanOut);
  RefuseWithdrawnKeys();
  auto rule = bundle_->services.find(identity_.service);
  if (rule == bundle_->services.end())
    return;
  if (admission_)
    admission_->Configure(rule->second);
  else
    admission_ = MakeAdmission(identity_.policy, rule->second, now_);
}

void NodeReducer::AdvanceBundle() {
  if (now_ >= next_part_read_at_ && (IsStoreWatcher() || !bundle_)) {
    for (const auto& digest : bundle_assembler_.MissingParts()) {
      SendStoreRequest(StoreRange{std::string(kBundlePartPrefix) + digest},
                       &NodeReducer::OnBundlePartRead);
      next_part_read_at_ = now_ + kBundlePartRetryInterval;
    }
  }
  if (now_ >= next_bundle_advertisement_at_) {
    next_bundle_advertisement_at_ = now_ + kBundleAdvertisementInterval;
    AdvertiseBundleVersion(1);
  }
}

void NodeReducer::AdvertiseBundleVersion(size_t peers) {
  std::vector<const wire::Member*> others;
  for (const auto& [node, member] : members_) {
    if (node != identity_.node && !member.control_address().empty())
      others.push_back(&member);
  }
  std::vector<const wire::Member*> chosen;
  std::ranges::sample(others, std::back_inserter(chosen),
                      static_cast<std::ptrdiff_t>(peers), random_);
  for (const auto* member : chosen) {
    wire::PeerMessage message;
    message.mutable_rumours()->set_bundle_version(bundle_assembler_.version());
    effects_.push_back(
        SendToPeer{member->node(), member->control_address(), message});
  }
}

void NodeReducer::RequestBundleParts(const NodeId& node,
                                     const std::string& address) {
  wire::PeerMessage message;
  auto* request = message.mutable_bundle_part_request();
  request->set_known_version(bundle_assembler_.newest_version());
  for (const auto& digest : bundle_assembler_.MissingParts())
    request->add_digests(digest);
  effects_.push_back(SendToPeer{node, address, message});
}

void NodeReducer::OnBundleVersionAdvertised(const wire::Rumours& gossip,
                                            const PeerMessageReceived& event) {
  uint64_t version = gossip.bundle_version();
  if (version > bundle_assembler_.version()) {
    // Several members advertise a new version at about the same time; only
    // one of them gets a request. A version that was rejected is not requested
    // again.
    bool known = version <= bundle_assembler_.newest_version();
    if ((known && bundle_assembler_.MissingParts().empty()) ||
        (version <= requested_version_ && now_ < next_part_request_at_)) {
      return;
    }
    requested_version_ = version;
    next_part_request_at_ = now_ + kBundlePartRetryInterval;
    RequestBundleParts(event.from, event.control_address);
    return;
  }
  if (version == bundle_assembler_.version())
    return;
  wire::PeerMessage message;
  message.mutable_rumours()->set_bundle_version(bundle_assembler_.version());
  effects_.push_back(SendToPeer{event.from, event.control_address, message});
}

void NodeReducer::OnBundleHead(const PeerMessageReceived& event) {
  const auto& head = event.message.bundle_head();
  if (head.version() <= bundle_assembler_.newest_version())
    return;
  // The sender also sends the parts; the store is read only if they do not
  // arrive.
  OfferBundleHead(head.document(), "bundle head from node " + event.from,
                  now_ + kBundlePartRetryInterval);
  if (!bundle_assembler_.MissingParts().empty())
    RequestBundleParts(event.from, event.control_address);
}

void NodeReducer::OnBundlePartRequest(const PeerMessageReceived& event) {
  const auto& request = event.message.bundle_part_request();
  for (const auto& digest : request.digests()) {
    const std::string* content = bundle_assembler_.FindPart(digest);
    if (!content)
      continue;
    wire::PeerMessage message;
    message.mutable_bundle_part()->set_digest(digest);
    message.mutable_bundle_part()->set_content(*content);
    effects_.push_back(SendToPeer{event.from, event.control_address, message});
  }
  // A peer whose newest head is older also needs the head in force here.
  if (request.known_version() >= bundle_assembler_.version())
    return;
  wire::PeerMessage message;
  message.mutable_bundle_head()->set_version(bundle_assembler_.version());
  message.mutable_bundle_head()->set_document(bundle_assembler_.document());
  effects_.push_back(SendToPeer{event.from, event.control_address, message});
}

void NodeReducer::OnBundlePart(const PeerMessageReceived& event) {
  const auto& part = event.message.bundle_part();
  if (bundle_assembler_.AddPart(part.digest(), part.content()))
    AssembleBundle();
}

bool NodeReducer::IsKeyInForce(const Call& call) const {
  if (call.key_id.empty())
    return true;
  auto key = bundle_->keys.find(call.key_id);
  if (key == bundle_->keys.end() ||
      key->second.organisation != call.organisation) {
    return false;
  }
  // Onward calls have the identifier of their parent's key, but not the key.
  return !call.request.key || bundle_->FindKey(*call.request.key);
}

void NodeReducer::RefuseWithdrawnKeys() {
  for (auto& [id, call] : calls_) {
    if (call.attempt > 0 || call.key_refused || IsKeyInForce(call))
      continue;
    call.key_refused = true;
    Refuse(call, Reason::kKeyUnknown, Outcome::kNotRun);
  }
  std::vector<WorkId> withdrawn;
  for (const auto& [id, work] : works_) {
    const std::string& key = work.context.key_id();
    if (!work.started && !key.empty() && !bundle_->keys.contains(key))
      withdrawn.push_back(id);
  }
  for (WorkId id : withdrawn) {
    AdmissionDecisions changes = admission_->Cancel(id, now_);
    Reject(id, Reason::kKeyUnknown);
    Apply(changes);
  }
}

}  // namespace comfreylock
