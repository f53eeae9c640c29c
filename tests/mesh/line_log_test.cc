#include "mesh/line_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <regex>
#include <string>

namespace comfreylock::mesh {
namespace {

/// A pipe that nobody reads until `ReadAll` is called.
class Pipe {
 public:
  Pipe() { EXPECT_EQ(pipe(ends_), 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  int writer() const { return ends_[1]; }

  std::string ReadAll() {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    ssize_t got = 0;
    while ((got = read(ends_[0], buffer, sizeof(buffer))) > 0)
      text.append(buffer, static_cast<size_t>(got));
    return text;
  }

 private:
  int ends_[2] = {};
};

TEST(LineLogTest, WritesFieldsAndQuotesSpecialValues) {
  Pipe pipe;
  LineLog log(pipe.writer(), "n1");
  log.Write(LogCode::kCallRefused, {{"request_id", "a b\nc"}, {"empty", ""}});
  log.Flush();
  std::string line = pipe.ReadAll();
  EXPECT_NE(line.find("INFO 200 call_refused node=n1 request_id=\"a b\\nc\" "
                      "empty=\"\"\n"),
            std::string::npos)
      << line;
}

// A burst of refusals must neither flood the log nor block the process.
TEST(LineLogTest, LimitsRateAndCountsDroppedLines) {
  Pipe pipe;
  LineLog log(pipe.writer(), "n1");
  for (int i = 0; i < 20'000; ++i)
    log.Write(LogCode::kCallRefused, {{"request_id", "0123456789abcdef"}});
  log.Flush();
  std::string text = pipe.ReadAll();
  EXPECT_LE(text.size(), 2 * LineLog::kMaxInfoBytesPerSecond);
  EXPECT_GT(log.dropped(), 15'000u);
  EXPECT_NE(text.find("lines_dropped"), std::string::npos);
}

// A reader that stops reading must not block the process in `write`.
TEST(LineLogTest, DoesNotBlockWhenReaderStalls) {
  Pipe pipe;
  LineLog log(pipe.writer(), "n1");
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 2000; ++i)
      log.Write(LogCode::kNodeStarted, {{"text", std::string(200, 'x')}});
    log.Flush();
  }
  SUCCEED() << "no write blocked";
}

// The log lines in the operations page must match the events of the program.
TEST(LineLogTest, OperationsPageLinesMatchCatalogue) {
  std::ifstream page(std::string(COMFREYLOCK_SOURCE_DIR) +
                     "/docs/OPERATIONS.md");
  std::regex line_pattern(R"(^\S+Z (INFO|WARN|ERROR) (\d+) (\w+) node=.*)");
  std::smatch match;
  int lines = 0;
  for (std::string line; std::getline(page, line);) {
    if (!std::regex_match(line, match, line_pattern))
      continue;
    ++lines;
    const LogEventInfo& info =
        InfoOf(static_cast<LogCode>(std::stoi(match[2])));
    EXPECT_EQ(info.name, match[3].str()) << line;
  }
  EXPECT_GE(lines, 4);
}

}  // namespace
}  // namespace comfreylock::mesh
