#include "mesh/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

/// Metrics of a mesh node in the text format of Prometheus.
namespace comfreylock::mesh {
namespace {

using namespace std::chrono_literals;
using testing::HasSubstr;

// Guards against a route or organisation whose name ends its label early, so
// that none of the metrics can be read.
TEST(MeshMetricsTest, LabelValuesAreEscaped) {
  Metrics metrics;
  metrics.CountAnswer("a\"b", "c\\d\ne", "200", 5ms);
  std::string text = metrics.FormatPrometheus({});
  EXPECT_THAT(text, HasSubstr(R"(_count{route="a\"b"} 1)"));
  EXPECT_THAT(text, HasSubstr(R"(_count{organisation="c\\d\ne"} 1)"));
}

TEST(MeshMetricsTest, LinksLostAreCountedByReason) {
  NodeStatus status;
  status.links_opened = 4;
  status.links_lost.at(static_cast<size_t>(LinkEnd::kWrongPeer)) = 3;
  std::string text = Metrics().FormatPrometheus(status);
  EXPECT_THAT(text, HasSubstr("comfreylock_links_opened_total 4\n"));
  for (const char* line :
       {"{reason=\"silent\"} 0\n", "{reason=\"closed\"} 0\n",
        "{reason=\"wrong_peer\"} 3\n", "{reason=\"refused\"} 0\n",
        "{reason=\"replaced\"} 0\n"}) {
    EXPECT_THAT(text,
                HasSubstr(std::string("comfreylock_links_lost_total") + line));
  }
}

}  // namespace
}  // namespace comfreylock::mesh
