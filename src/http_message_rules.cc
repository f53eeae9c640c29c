#include "http_message_rules.h"

#include <algorithm>

namespace comfreylock {
namespace {

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
/// Position of the status in a status line ("HTTP/1.1 200 OK"). The bytes
/// before it are left to the parser.
constexpr size_t kStatusBegin = 9;
constexpr size_t kStatusEnd = 12;

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

bool IsTokenByte(char byte) {
  constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return IsDigit(byte) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         kSpecial.find(byte) != std::string_view::npos;
}

}  // namespace

bool IsValidStatus(unsigned status) {
  return status >= kMinStatus && status <= kMaxStatus;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenByte);
}

bool IsValidFieldValue(std::string_view text) {
  return std::ranges::none_of(text, [](char byte) {
    return byte == '\r' || byte == '\n' || byte == '\0';
  });
}

bool IsValidRequestTarget(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char byte) {
    return byte > 0x20 && byte != 0x7f;
  });
}

HttpHeadScanner::Error HttpHeadScanner::Scan(std::string_view unparsed) {
  while (error_ == Error::kNone && state_ != State::kHeadEnd &&
         scanned_ < unparsed.size()) {
    error_ = ScanByte(unparsed[scanned_++]);
  }
  return error_;
}

void HttpHeadScanner::Consume(size_t bytes) {
  scanned_ -= std::min(bytes, scanned_);
}

HttpHeadScanner::Error HttpHeadScanner::ScanByte(char byte) {
  if (byte == '\0')
    return Error::kNulByte;
  switch (state_) {
    case State::kStartLine:
      return ScanStartLine(byte);
    case State::kStartLineCr:
    case State::kValueCr:
    case State::kLastCr:
      if (byte != '\n')
        return Error::kBadLineEnding;
      state_ = state_ == State::kLastCr ? State::kHeadEnd : State::kLineStart;
      return Error::kNone;
    case State::kLineStart:
      if (byte == ' ' || byte == '\t')
        return Error::kFoldedLine;
      if (byte == '\r') {
        state_ = State::kLastCr;
        return Error::kNone;
      }
      state_ = State::kName;
      return IsTokenByte(byte) ? Error::kNone : Error::kBadFieldName;
    case State::kName:
      if (byte == ':') {
        state_ = State::kValue;
        return Error::kNone;
      }
      return IsTokenByte(byte) ? Error::kNone : Error::kBadFieldName;
    case State::kValue:
      if (byte == '\n')
        return Error::kBadLineEnding;
      if (byte == '\r')
        state_ = State::kValueCr;
      return Error::kNone;
    case State::kHeadEnd:
      return Error::kNone;
  }
  return Error::kNone;
}

HttpHeadScanner::Error HttpHeadScanner::ScanStartLine(char byte) {
  size_t at = start_line_size_++;
  if (byte == '\n')
    return Error::kBadLineEnding;
  if (kind_ == MessageKind::kResponse) {
    bool valid = true;
    if (at >= kStatusBegin && at < kStatusEnd) {
      valid = IsDigit(byte);
      status_ = status_ * 10 + static_cast<unsigned>(byte - '0');
    } else if (at == kStatusEnd) {
      valid = byte == ' ' && IsValidStatus(status_);
    } else if (at == kStatusBegin - 1) {
      valid = byte == ' ';
    }
    if (!valid)
      return Error::kBadStatus;
  }
  if (byte == '\r')
    state_ = State::kStartLineCr;
  return Error::kNone;
}

}  // namespace comfreylock
