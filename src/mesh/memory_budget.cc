#include "mesh/memory_budget.h"

#include <algorithm>

namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;

/// Memory that is not counted: the program, the configuration, routing state,
/// overhead of the allocator, and short-lived copies of an answer (16 MB).
constexpr size_t kUncountedBytes = size_t{32} * 1024 * 1024;
/// Shares of the limit, in eighths. On the smallest host (160 MB) large bodies
/// may take 96 MB, which is enough for one of 64 MB.
constexpr size_t kLargeBodyEighths = 6;
constexpr size_t kSmallBodyEighths = 7;
/// Fraction of the limit that connections of callers may use.
constexpr size_t kConnectionFraction = 4;
/// Use of the room for large bodies, in percent, at which the state of pressure
/// is entered, and below which it may be left.
constexpr size_t kEnterPercent = 90;
constexpr size_t kLeavePercent = 60;
/// Time below `kLeavePercent` and without a refusal after which the state is
/// left, so that a wave of clients gives two log lines and not many.
constexpr std::chrono::milliseconds kCalmPeriod = 2000ms;
/// Descriptors reserved for files, listeners, the store and the target's
/// reports.
constexpr size_t kReservedDescriptors = 200;
/// Of the remaining descriptors, links and connections to the target have the
/// other half.
constexpr size_t kCallerDescriptorFraction = 2;
constexpr size_t kMinCallerDescriptors = 16;
/// The same for links that other nodes opened. The links that this node opens
/// and the connections to the target have the last quarter.
constexpr size_t kAcceptedLinkDescriptorFraction = 4;
constexpr size_t kMinAcceptedLinkDescriptors = 16;

/// @return an even share of the descriptors that are not reserved.
size_t ShareOfDescriptors(size_t max_descriptors, size_t fraction, size_t min) {
  size_t left =
      max_descriptors - std::min(kReservedDescriptors, max_descriptors);
  return std::max(left / fraction, min);
}

}  // namespace

MemoryBudget::MemoryBudget(size_t memory_bytes)
    : limit_(memory_bytes - std::min(kUncountedBytes, memory_bytes / 2)) {}

size_t MemoryBudget::LimitOf(Use use) const {
  switch (use) {
    case Use::kLargeBody:
      return limit_ / 8 * kLargeBodyEighths;
    case Use::kSmallBody:
      return limit_ / 8 * kSmallBodyEighths;
    case Use::kNoBody:
    case Use::kAnswer:
      return limit_;
  }
  return limit_;
}

size_t MemoryBudget::MaxConnections() const {
  return std::max<size_t>(limit_ / kConnectionFraction / kConnectionBytes, 1);
}

bool MemoryBudget::Admits(size_t bytes, Use use) const {
  size_t limit = LimitOf(use);
  return held_ <= limit && bytes <= limit - held_;
}

void MemoryBudget::Add(Kind kind, size_t bytes) {
  held_ += bytes;
  held_by_kind_[static_cast<size_t>(kind)] += bytes;
}

void MemoryBudget::Subtract(Kind kind, size_t bytes) {
  held_ -= bytes;
  held_by_kind_[static_cast<size_t>(kind)] -= bytes;
}

std::optional<bool> MemoryBudget::UpdatePressure(TimePoint now) {
  size_t room = LimitOf(Use::kLargeBody);
  uint64_t events = refusals_ + abandoned_;
  bool given_up = std::exchange(seen_events_, events) != events;
  size_t percent = under_pressure_ ? kLeavePercent : kEnterPercent;
  if (given_up || held_ > room / 100 * percent) {
    last_pressed_at_ = now;
    if (!std::exchange(under_pressure_, true))
      return true;
    return std::nullopt;
  }
  if (!under_pressure_ || now - last_pressed_at_ < kCalmPeriod)
    return std::nullopt;
  under_pressure_ = false;
  return false;
}

std::string_view MemoryBudget::NameOf(Kind kind) {
  switch (kind) {
    case Kind::kReading:
      return "reading";
    case Kind::kRequests:
      return "requests";
    case Kind::kAnswers:
      return "answers";
    case Kind::kLinkInput:
      return "link_input";
    case Kind::kLinkOutput:
      return "link_output";
    case Kind::kTargetAnswers:
      return "target_answers";
    case Kind::kConnections:
      return "connections";
  }
  return "unknown";
}

size_t MaxCallerDescriptors(size_t max_descriptors) {
  return ShareOfDescriptors(max_descriptors, kCallerDescriptorFraction,
                            kMinCallerDescriptors);
}

size_t MaxAcceptedLinkDescriptors(size_t max_descriptors) {
  return ShareOfDescriptors(max_descriptors, kAcceptedLinkDescriptorFraction,
                            kMinAcceptedLinkDescriptors);
}

}  // namespace comfreylock::mesh
