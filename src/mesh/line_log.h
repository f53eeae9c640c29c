#ifndef COMFREYLOCK_MESH_LINE_LOG_H_
#define COMFREYLOCK_MESH_LINE_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "comfreylock/log_event.h"

/// Structured log lines on a file descriptor, bounded and never blocking.
namespace comfreylock::mesh {

class LineLog {
 public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  /// Bytes a second beyond which info lines are dropped; warnings and errors
  /// have twice as much.
  static constexpr size_t kBytesPerSecond = 16 * 1024;

  /// @param descriptor set to non-blocking.
  /// @param node added to each line.
  LineLog(int descriptor, std::string node);

  /// Writes `time level number name node=... field=value ...`.
  void Write(LogCode code, const Fields& fields);

  /// Writes what is buffered, and the count of dropped lines.
  void Flush();

  uint64_t dropped() const { return dropped_total_; }

 private:
  using Clock = std::chrono::steady_clock;

  void Append(const LogEventInfo& info, const Fields& fields);

  int descriptor_;
  std::string node_;
  std::string buffer_;
  Clock::time_point second_;
  size_t bytes_ = 0;  ///< In this second.
  uint64_t dropped_ = 0;
  uint64_t dropped_total_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_LINE_LOG_H_
