#include "observer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "http_operator_server.h"

namespace comfreylock {
namespace {

using namespace std::chrono_literals;

using testing::HasSubstr;
using testing::Not;

// Guards against memory that grows with each request.
TEST(DecisionLogTest, DropsOldestAtCapacity) {
  DecisionLog log(2);
  for (const char* id : {"a", "b", "c"})
    log.Add({WallTime(5ms), id, "refused", {}});
  EXPECT_TRUE(log.FindByRequest("a").empty());
  EXPECT_EQ(log.FindByRequest("c").size(), 1u);
  EXPECT_EQ(FormatWallTime(WallTime(1005ms)), "1970-01-01T00:00:01.005Z");
}

// Guards against buckets that are not cumulative, and against a number of
// series that grows with the number of organisations.
TEST(MetricsTest, CumulativeBucketsAndBoundedSeries) {
  Metrics metrics;
  metrics.RecordCall("kamilla", 0, 3ms);
  metrics.RecordCall("kamilla", 0, 30s);
  metrics.RecordRefusal("kamilla", Reason::kOverRate);
  std::string text = metrics.FormatMetrics({});
  std::string labels = "{organisation=\"kamilla\",importance=\"0\"";
  EXPECT_THAT(text, HasSubstr("_bucket" + labels + ",le=\"0.0025\"} 0\n"));
  EXPECT_THAT(text, HasSubstr("_bucket" + labels + ",le=\"0.005\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("_bucket" + labels + ",le=\"10\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("_bucket" + labels + ",le=\"+Inf\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("reason=\"over_rate\"} 1\n"));
  for (int i = 0; i < 100; ++i)
    metrics.RecordCall("made-up-" + std::to_string(i), 0, 1ms);
  text = metrics.FormatMetrics({});
  EXPECT_THAT(text, HasSubstr("organisation=\"other\""));
  EXPECT_THAT(text, Not(HasSubstr("made-up-99")));
}

// Guards against decisions that lack the reason why a call was refused.
TEST(ObserverTest, RecordsCallRefusal) {
  Observer observer;
  NodeIdentity identity;
  identity.node = "n";
  NodeReducer node(identity, TimePoint(1s));
  CallArrived call{CallId{1}, {}};
  call.request.request_id = "r1";
  Event event{TimePoint(1s), WallTime(1s), call};
  observer.Observe(event, node.Reduce(event), node);
  auto decisions = observer.decisions().FindByRequest("r1");
  ASSERT_EQ(decisions.size(), 1u);
  EXPECT_EQ(decisions[0].decision, "refused");
  EXPECT_EQ(decisions[0].figures[0].second, "no_bundle");
  EXPECT_THAT(observer.metrics().FormatMetrics({}),
              HasSubstr("no_bundle\"} 1"));
}

// Guards against a request id that is not found because it is percent-encoded.
TEST(HttpOperatorTest, DecodesQueryParameters) {
  EXPECT_EQ(QueryParameter("/explain?x=1&request_id=a%2Fb%", "request_id"),
            "a/b%");
  EXPECT_EQ(QueryParameter("/explain", "request_id"), "");
}

}  // namespace
}  // namespace comfreylock
