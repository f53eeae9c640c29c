#include "mesh/line_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace comfreylock::mesh {
namespace {

/// Buffered bytes above which lines are dropped, as when the reader of the log
/// does not read.
constexpr size_t kMaxBufferedBytes = 64 * 1024;
/// Buffered bytes at which `Write` flushes.
constexpr size_t kFlushThresholdBytes = 4 * 1024;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarning:
      return "WARN";
    case LogLevel::kError:
      return "ERROR";
  }
  return "ERROR";
}

void AppendValue(std::string& text, std::string_view value) {
  bool plain = !value.empty() &&
               value.find_first_of(" \"\n\r\\=") == std::string_view::npos;
  if (plain) {
    text += value;
    return;
  }
  text += '"';
  for (char letter : value) {
    if (letter == '\n' || letter == '\r') {
      text += "\\n";
      continue;
    }
    if (letter == '"' || letter == '\\')
      text += '\\';
    text += letter;
  }
  text += '"';
}

void AppendTime(std::string& text) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  char buffer[40];
  size_t length =
      std::strftime(buffer, sizeof(buffer), "%Y-%m-%dT%H:%M:%S", &parts);
  text.append(buffer, length);
  std::snprintf(buffer, sizeof(buffer), ".%03ldZ ", now.tv_nsec / 1'000'000);
  text += buffer;
}

}  // namespace

LineLog::LineLog(int descriptor, std::string node)
    : descriptor_(descriptor),
      node_(std::move(node)),
      window_start_(Clock::now()) {
  int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0)
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void LineLog::Write(LogCode code, const Fields& fields) {
  auto now = Clock::now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    window_bytes_ = 0;
  }
  const LogEventInfo& info = InfoOf(code);
  size_t limit =
      kMaxInfoBytesPerSecond * (info.level == LogLevel::kInfo ? 1 : 2);
  if (window_bytes_ > limit || buffer_.size() > kMaxBufferedBytes) {
    ++unreported_dropped_lines_;
    ++total_dropped_lines_;
    return;
  }
  Append(info, fields);
  if (buffer_.size() >= kFlushThresholdBytes)
    Flush();
}

void LineLog::Append(const LogEventInfo& info, const Fields& fields) {
  size_t before = buffer_.size();
  AppendTime(buffer_);
  buffer_ += LevelName(info.level);
  buffer_ += ' ';
  buffer_ += std::to_string(static_cast<int>(info.code));
  buffer_ += ' ';
  buffer_ += info.name;
  buffer_ += " node=";
  buffer_ += node_;
  for (const auto& [name, value] : fields) {
    buffer_ += ' ';
    buffer_ += name;
    buffer_ += '=';
    AppendValue(buffer_, value);
  }
  buffer_ += '\n';
  window_bytes_ += buffer_.size() - before;
}

void LineLog::Flush() {
  if (unreported_dropped_lines_ > 0 && buffer_.size() < kMaxBufferedBytes) {
    uint64_t count = std::exchange(unreported_dropped_lines_, 0);
    Append(InfoOf(LogCode::kLinesDropped), {{"count", std::to_string(count)}});
  }
  while (!buffer_.empty()) {
    ssize_t written = write(descriptor_, buffer_.data(), buffer_.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return;
    buffer_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace comfreylock::mesh
