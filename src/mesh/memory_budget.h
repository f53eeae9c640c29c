#ifndef COMFREYLOCK_MESH_MEMORY_BUDGET_H_
#define COMFREYLOCK_MESH_MEMORY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "comfreylock/types.h"

/// The bound on the bytes that one process holds for callers, other nodes and
/// its target.
///
/// Load pattern: clients that nobody controls send many large bodies
/// concurrently, with a length or in chunks of any size, stop just short of the
/// end and stay open; targets and callers read slowly. Without a common bound,
/// each holder stays within its own limit and the process still runs out of
/// memory.
namespace comfreylock::mesh {

class MemoryBudget {
 public:
  /// What bytes are held for.
  enum class Kind {
    kReading,        ///< Requests that callers are sending.
    kRequests,       ///< Complete requests that are not answered.
    kAnswers,        ///< Answers that callers have not read.
    kLinkInput,      ///< Requests and partial frames from other nodes.
    kLinkOutput,     ///< Frames that other nodes have not read.
    kTargetAnswers,  ///< Answers that the target is sending.
    kConnections,    ///< Buffers of callers' connections, also the kernel's.
  };
  static constexpr size_t kKindCount = 7;

  /// Each use may take the held bytes up to its own share of the limit, so that
  /// large bodies leave room for small ones, and these for requests without a
  /// body.
  /// Answers belong to requests that have run: room is made for them where
  /// requests would be refused.
  enum class Use { kLargeBody, kSmallBody, kNoBody, kAnswer };

  /// Memory assumed if the settings give none: the smallest host of the design
  /// size.
  static constexpr size_t kDefaultMemoryBytes = size_t{160} * 1024 * 1024;
  /// Largest body that counts as small.
  static constexpr size_t kSmallBodyBytes = size_t{64} * 1024;
  /// Bytes counted for each connection of a caller: the read buffer with a
  /// header of the default maximum, the object, and the kernel's socket.
  static constexpr size_t kConnectionBytes = size_t{32} * 1024;

  /// @param memory_bytes memory of the host that the process may use.
  explicit MemoryBudget(size_t memory_bytes = kDefaultMemoryBytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// @return bytes that may be held at most.
  size_t limit() const { return limit_; }
  /// @return bytes up to which `use` may take the total.
  size_t LimitOf(Use use) const;
  /// @return the number of callers' connections for which there is room.
  size_t MaxConnections() const;

  /// @return whether `bytes` more may be held for `use`.
  bool Admits(size_t bytes, Use use) const;

  void Add(Kind kind, size_t bytes);
  void Subtract(Kind kind, size_t bytes);

  /// Counts a request or an answer that was given up for want of memory.
  void CountRefusal() { ++refusals_; }
  /// Counts a body or an answer that was abandoned because it had stalled.
  void CountAbandoned() { ++abandoned_; }

  /// Updates the state of pressure: entered when most of the room for large
  /// bodies is used or something was given up, left after a calm period.
  /// @return the new state if it changed.
  std::optional<bool> UpdatePressure(TimePoint now);

  bool under_pressure() const { return under_pressure_; }
  size_t held() const { return held_; }
  size_t held(Kind kind) const {
    return held_by_kind_[static_cast<size_t>(kind)];
  }
  uint64_t refusals() const { return refusals_; }
  uint64_t abandoned() const { return abandoned_; }

  /// @return the name of a kind in metrics.
  static std::string_view NameOf(Kind kind);

 private:
  size_t limit_;
  size_t held_ = 0;
  std::array<size_t, kKindCount> held_by_kind_{};
  uint64_t refusals_ = 0;
  uint64_t abandoned_ = 0;
  uint64_t seen_events_ = 0;  ///< Refusals and abandonments at last update.
  bool under_pressure_ = false;
  TimePoint last_pressed_at_;
};

/// Bytes that one holder has charged to a budget; subtracted on destruction.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  /// @param budget must outlive the charge.
  MemoryCharge(MemoryBudget& budget, MemoryBudget::Kind kind)
      : budget_(&budget), kind_(kind) {}
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(other.budget_),
        kind_(other.kind_),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&& other) noexcept {
    if (this != &other) {
      Resize(0);
      budget_ = other.budget_;
      kind_ = other.kind_;
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ~MemoryCharge() { Resize(0); }

  size_t bytes() const { return bytes_; }

  void Resize(size_t bytes) {
    if (bytes > bytes_)
      budget_->Add(kind_, bytes - bytes_);
    else if (bytes < bytes_)
      budget_->Subtract(kind_, bytes_ - bytes);
    bytes_ = bytes;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  MemoryBudget::Kind kind_ = MemoryBudget::Kind::kReading;
  size_t bytes_ = 0;
};

/// @param max_descriptors descriptors that the process may have open.
/// @return how many of them callers' connections may use.
size_t MaxCallerDescriptors(size_t max_descriptors);

/// @param max_descriptors descriptors that the process may have open.
/// @return how many of them links that other nodes opened may use.
size_t MaxAcceptedLinkDescriptors(size_t max_descriptors);

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_MEMORY_BUDGET_H_
