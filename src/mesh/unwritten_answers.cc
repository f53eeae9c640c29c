#include "mesh/unwritten_answers.h"

#include <algorithm>
#include <utility>

namespace comfreylock::mesh {

std::string_view NameOf(CutReason reason) {
  switch (reason) {
    case CutReason::kClosedByCaller:
      return "closed_by_caller";
    case CutReason::kWriteTimeout:
      return "write_timeout";
    case CutReason::kStalled:
      return "stalled";
    case CutReason::kMemory:
      return "memory";
    case CutReason::kLastAnswer:
      return "last_answer";
    case CutReason::kInternalError:
      return "internal_error";
    case CutReason::kShutdown:
      return "shutdown";
  }
  return "";
}

void UnwrittenAnswers::Add(CallId call,
                           RequestNames request,
                           size_t bytes,
                           size_t queued) {
  answers_.push_back({call, std::move(request), bytes, write_start_ + queued});
  held_bytes_ += HeldBytes(answers_.back());
}

void UnwrittenAnswers::EndWrite() {
  write_start_ += std::exchange(progress_, 0);
  auto unfinished = std::ranges::find_if(answers_, [this](const auto& answer) {
    return answer.end > write_start_;
  });
  for (auto done = answers_.begin(); done != unfinished; ++done)
    held_bytes_ -= HeldBytes(*done);
  answers_.erase(answers_.begin(), unfinished);
  // Callers seldom leave an answer unread, so that the memory is not kept.
  if (answers_.empty())
    answers_ = {};
}

std::vector<CutAnswer> UnwrittenAnswers::Take(CutReason reason) {
  std::vector<CutAnswer> cut;
  uint64_t written = write_start_ + progress_;
  for (Answer& answer : std::exchange(answers_, {})) {
    if (answer.end <= written)
      continue;
    size_t unwritten = std::min<uint64_t>(answer.bytes, answer.end - written);
    cut.push_back({answer.call, std::move(answer.request), answer.bytes,
                   unwritten, reason});
  }
  held_bytes_ = 0;
  return cut;
}

size_t UnwrittenAnswers::HeldBytes(const Answer& answer) {
  return sizeof(answer) + answer.request.request_id.size() +
         answer.request.organisation.size() + answer.request.route.size();
}

}  // namespace comfreylock::mesh
