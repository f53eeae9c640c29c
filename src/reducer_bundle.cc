#include "comfreylock/reducer.h"

/// The bundle in force: reading, checking and taking newer versions.
namespace comfreylock {
namespace {

constexpr std::string_view kBundleKey = "/comfreylock/bundle/head";

}  // namespace

void Node::ReadBundle() {
  AskStore(StoreRange{std::string(kBundleKey)}, &Node::OnBundleRead);
}

void Node::OnBundleRead(StoreResult result) {
  const auto* range = std::get_if<StoreRangeResult>(&result);
  if (!range) {
    watching_ = false;
    return;
  }
  for (const auto& entry : range->entries)
    TakeBundle(entry);
  AskStore(StoreWatch{std::string(kBundleKey), "", range->revision + 1},
           &Node::OnBundleChanged);
}

void Node::OnBundleChanged(StoreResult result) {
  const auto* watch = std::get_if<StoreWatchResult>(&result);
  if (!watch) {
    watching_ = false;
    return;
  }
  for (const auto& change : watch->changes) {
    if (!change.deleted)
      TakeBundle(change.entry);
  }
}

void Node::TakeBundle(const StoreEntry& entry) {
  try {
    auto parsed =
        std::make_shared<const Bundle>(ParseBundle(entry.value, entry.key));
    if (bundle_ && parsed->version <= bundle_->version)
      return;
    bundle_ = std::move(parsed);
  } catch (const InputError& error) {
    effects_.push_back(
        Log{LogCode::kBundleRejected, {{"error", error.what()}}});
    return;
  }
  effects_.push_back(Log{LogCode::kBundleInForce,
                         {{"version", std::to_string(bundle_->version)}}});
  auto rule = bundle_->services.find(identity_.service);
  if (rule == bundle_->services.end())
    return;
  if (admission_)
    admission_->Configure(rule->second);
  else
    admission_ = MakeAdmission(identity_.policy, rule->second, now_);
}

}  // namespace comfreylock
