#ifndef COMFREYLOCK_MESH_UNWRITTEN_ANSWERS_H_
#define COMFREYLOCK_MESH_UNWRITTEN_ANSWERS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/types.h"

/// The answers of a caller's connection that are not completely written, and
/// what is told about them when the connection ends.
namespace comfreylock::mesh {

/// Names a request in log lines.
struct RequestNames {
  std::string request_id;
  std::string organisation;
  std::string route;
};

/// Why a connection ended before its answers were written.
enum class CutReason {
  kClosedByCaller,  ///< The caller closed or reset it, or is gone.
  kWriteTimeout,    ///< The caller did not read in time.
  kStalled,         ///< It made no progress, and what it held was needed.
  kMemory,          ///< There was no memory for the answer.
  kLastAnswer,      ///< An earlier answer was the last one of the connection.
  kInternalError,   ///< An event of the connection could not be handled.
  kShutdown,        ///< The process exits.
};

/// @return the value of `reason` in log lines.
std::string_view NameOf(CutReason reason);

/// An answer that the caller does not get, or not completely.
struct CutAnswer {
  CallId call;
  RequestNames request;        ///< Empty if there was no answer yet.
  size_t bytes = 0;            ///< Size of the answer; 0 if there was none yet.
  size_t unwritten_bytes = 0;  ///< Bytes of it that were not written.
  CutReason reason = CutReason::kClosedByCaller;
};

/// Knows which answers of one connection are not completely written. They are
/// written in the order in which they are added.
class UnwrittenAnswers {
 public:
  /// @param bytes size of the answer.
  /// @param queued bytes from the start of the write in progress, or else of
  ///     the next one, to the end of the answer.
  void Add(CallId call, RequestNames request, size_t bytes, size_t queued);

  /// @param bytes bytes of the write in progress that are written so far.
  void SetProgress(size_t bytes) { progress_ = bytes; }

  /// Ends the write in progress and forgets the answers that it has finished.
  void EndWrite();

  /// Forgets all answers. @return those that are not completely written.
  std::vector<CutAnswer> Take(CutReason reason);

  /// @return memory that the answers take here, bytes.
  size_t held_bytes() const { return held_bytes_; }

 private:
  struct Answer {
    CallId call;
    RequestNames request;
    size_t bytes = 0;
    uint64_t end = 0;  ///< Position in the output of the connection.
  };

  static size_t HeldBytes(const Answer& answer);

  std::vector<Answer> answers_;
  uint64_t write_start_ = 0;  ///< Position of the write in progress.
  size_t progress_ = 0;       ///< Bytes of that write that are written.
  size_t held_bytes_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_UNWRITTEN_ANSWERS_H_
