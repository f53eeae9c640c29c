#ifndef COMFREYLOCK_HTTP_MESSAGE_RULES_H_
#define COMFREYLOCK_HTTP_MESSAGE_RULES_H_

#include <cstddef>
#include <string_view>

/// Rules for HTTP/1.1 messages that apply wherever a message is read: from
/// callers, targets, the store and other nodes. A message that two readers
/// would interpret differently is rejected by the first of them.
///
/// Load pattern: faulty peers whose messages have a wrong status, field names
/// that are not tokens, folded lines or line endings that are not CRLF.
namespace comfreylock {

/// @return whether the status lies in 100 to 599.
bool IsValidStatus(unsigned status);

/// @return whether `text` is a token (RFC 9110, 5.6.2): not empty, and without
/// a blank, control byte, separator or byte above 0x7f. Methods and field names
/// are tokens.
bool IsToken(std::string_view text);

/// @return whether `text` can be a field value or a status text: it contains no
/// CR, LF or NUL.
bool IsValidFieldValue(std::string_view text);

/// @return whether `text` can be the target of a request line: not empty, and
/// without a blank or control byte.
bool IsValidRequestTarget(std::string_view text);

/// Checks the raw bytes of the head of one message before they are parsed. The
/// parser accepts folded lines and joins them, so they can be recognised only
/// in the raw bytes. The bytes may arrive in any split.
class HttpHeadScanner {
 public:
  enum class MessageKind { kRequest, kResponse };
  enum class Error {
    kNone,
    kBadStatus,      ///< Not three digits, or outside 100 to 599.
    kFoldedLine,     ///< A line after the start line begins with a blank.
    kBadFieldName,   ///< Not a token, or without a colon.
    kBadLineEnding,  ///< CR or LF that is not part of a CRLF.
    kNulByte,
  };

  explicit HttpHeadScanner(MessageKind kind) : kind_(kind) {}

  /// Scans the bytes that have not been scanned, up to the end of the head.
  /// @param unparsed all received bytes that the parser has not consumed.
  /// @return the first violation so far.
  Error Scan(std::string_view unparsed);

  /// Tells how many bytes the parser has consumed since the last `Scan`.
  /// @param bytes at most those that have been scanned, as long as the head is
  ///     not complete.
  void Consume(size_t bytes);

  /// @return whether the head is complete and the parser has consumed exactly
  /// its bytes.
  bool IsHeadConsumed() const {
    return state_ == State::kHeadEnd && scanned_ == 0;
  }

 private:
  enum class State {
    kStartLine,
    kStartLineCr,
    kLineStart,
    kName,
    kValue,
    kValueCr,
    kLastCr,
    kHeadEnd,
  };

  Error ScanByte(char byte);
  Error ScanStartLine(char byte);

  MessageKind kind_;
  State state_ = State::kStartLine;
  Error error_ = Error::kNone;
  size_t start_line_size_ = 0;  ///< Scanned bytes of the start line.
  unsigned status_ = 0;
  size_t scanned_ = 0;  ///< Scanned bytes that the parser has not consumed.
};

}  // namespace comfreylock

#endif  // COMFREYLOCK_HTTP_MESSAGE_RULES_H_
