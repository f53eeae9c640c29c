#ifndef COMFREYLOCK_MESH_LINE_LOG_H_
#define COMFREYLOCK_MESH_LINE_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "comfreylock/log_event.h"

/// Writes structured log lines to a file descriptor, at a limited rate and
/// without blocking.
namespace comfreylock::mesh {

class LineLog {
 public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  /// Bytes per second above which info lines are dropped; the limit of warnings
  /// and errors is twice as high.
  static constexpr size_t kMaxInfoBytesPerSecond = 16 * 1024;

  /// @param descriptor open for writing; it is set to non-blocking.
  /// @param node name of the node, added to each line.
  LineLog(int descriptor, std::string node);

  /// Buffers the line `time level number name node=... field=value ...`, or
  /// drops it if the rate or the buffer has reached its limit.
  void Write(LogCode code, const Fields& fields);

  /// Writes the buffered lines as far as the descriptor accepts them, and a
  /// line with the number of lines dropped since the last such line.
  void Flush();

  uint64_t dropped() const { return total_dropped_lines_; }

 private:
  using Clock = std::chrono::steady_clock;

  void Append(const LogEventInfo& info, const Fields& fields);

  int descriptor_;
  std::string node_;
  std::string buffer_;
  Clock::time_point window_start_;
  size_t window_bytes_ = 0;  ///< Written in the current one-second window.
  uint64_t unreported_dropped_lines_ = 0;
  uint64_t total_dropped_lines_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_LINE_LOG_H_
