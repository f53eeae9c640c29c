#include "http_message_rules.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

/// The rules for the heads of HTTP messages, without a network.
namespace comfreylock {
namespace {

using Error = HttpHeadScanner::Error;
using MessageKind = HttpHeadScanner::MessageKind;

/// Scans `head` as it arrives in two pieces and is parsed line by line.
Error ScanInTwo(MessageKind kind, const std::string& head, size_t split) {
  HttpHeadScanner scanner(kind);
  Error first = scanner.Scan(std::string_view(head).substr(0, split));
  if (first != Error::kNone)
    return first;
  size_t line_end = std::string_view(head).substr(0, split).rfind('\n');
  size_t consumed = line_end == std::string::npos ? 0 : line_end + 1;
  scanner.Consume(consumed);
  return scanner.Scan(std::string_view(head).substr(consumed));
}

// Guards against a violation that is not seen because of where the head was
// split on its way.
TEST(HttpHeadScannerTest, FindsViolationInAnySplit) {
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::pair<std::string, Error>> heads = {
      {start + "A: b\r\nC:\r\n\r\nbody", Error::kNone},
      {start + "\r\n", Error::kNone},
      {"HTTP/1.1 000 OK\r\n", Error::kBadStatus},
      {"HTTP/1.1 099 OK\r\n", Error::kBadStatus},
      {"HTTP/1.1 600 OK\r\n", Error::kBadStatus},
      {"HTTP/1.1 42 OK\r\n", Error::kBadStatus},
      {"HTTP/1.1 1000 OK\r\n", Error::kBadStatus},
      {"HTTP/1.1  200 OK\r\n", Error::kBadStatus},
      {start + " A: b\r\n", Error::kFoldedLine},
      {start + "A: b\r\n c\r\n", Error::kFoldedLine},
      {start + "A: b\r\n\tc\r\n", Error::kFoldedLine},
      {start + "A: b\r\n \r\n", Error::kFoldedLine},
      {start + "A : b\r\n", Error::kBadFieldName},
      {start + "A\r\n", Error::kBadFieldName},
      {start + ": b\r\n", Error::kBadFieldName},
      {start + "A\x01: b\r\n", Error::kBadFieldName},
      {start + "A(: b\r\n", Error::kBadFieldName},
      {start + "A: b\rc\r\n", Error::kBadLineEnding},
      {start + "A: b\n", Error::kBadLineEnding},
      {start + "\rA: b\r\n", Error::kBadLineEnding},
      {"HTTP/1.1 200 OK\n", Error::kBadLineEnding},
      {start + "A: b" + std::string(1, '\0'), Error::kNulByte},
  };
  for (const auto& [head, error] : heads) {
    for (size_t split = 0; split <= head.size(); ++split) {
      EXPECT_EQ(ScanInTwo(MessageKind::kResponse, head, split), error)
          << testing::PrintToString(head) << " split at " << split;
    }
  }
}

// Guards against a parser that ends a head at another byte than the scanner.
TEST(HttpHeadScannerTest, HeadIsConsumedAtItsLastByteOnly) {
  const std::string head = "GET / HTTP/1.1\r\nA: b\r\n\r\n";
  for (size_t consumed = 0; consumed <= head.size(); ++consumed) {
    HttpHeadScanner scanner(MessageKind::kRequest);
    EXPECT_EQ(scanner.Scan(head + "body: x\r\n y"), Error::kNone);
    scanner.Consume(consumed);
    EXPECT_EQ(scanner.IsHeadConsumed(), consumed == head.size()) << consumed;
  }
}

}  // namespace
}  // namespace comfreylock
