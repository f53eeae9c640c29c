#include "comfreylock/log_event.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "log_rate_limiter.h"

namespace comfreylock {
namespace {

using namespace std::chrono_literals;

// Guards against log events that are missing from docs/log-events.md.
TEST(LogEventTest, PageMatchesCatalogue) {
  std::ifstream file(std::string(COMFREYLOCK_SOURCE_DIR) +
                     "/docs/log-events.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_EQ(page.str(), LogCatalogueMarkdown())
      << "run build/bin/comfreylock-node --print-log-events > "
         "docs/log-events.md";
}

// Guards against a number that is used for two events.
TEST(LogEventTest, NumbersAscend) {
  auto events = LogCatalogue();
  auto repeated = std::ranges::adjacent_find(
      events, std::ranges::greater_equal(), &LogEventInfo::code);
  EXPECT_EQ(repeated, events.end());
}

// Guards against a flood of equal lines, and against lines that are suppressed
// without being counted.
TEST(LogRateLimiterTest, CountsSuppressedLines) {
  LogRateLimiter limiter(2, 1s);
  LogRateLimiter::Clock::time_point now{};
  int written = 0;
  for (int i = 0; i < 10; ++i)
    written += limiter.TryAcquire("200 call_refused", now) ? 1 : 0;
  EXPECT_EQ(written, 2);
  EXPECT_TRUE(limiter.TryAcquire("300 work_rejected", now));
  EXPECT_TRUE(limiter.CloseEndedIntervals(now + 999ms).empty());
  auto ended = limiter.CloseEndedIntervals(now + 1s);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0], LogRateLimiter::SuppressedCount("200 call_refused", 8));
  EXPECT_TRUE(limiter.TryAcquire("200 call_refused", now + 1s));
}

}  // namespace
}  // namespace comfreylock
