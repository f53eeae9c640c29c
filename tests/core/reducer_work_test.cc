#include <gtest/gtest.h>

#include "fleet_simulation.h"

namespace comfreylock {
namespace {

template <typename T>
std::vector<T> TakeEffects(FleetSimulation::Host& host) {
  std::vector<T> found;
  for (const auto& effect : host.effects) {
    if (const auto* wanted = std::get_if<T>(&effect))
      found.push_back(*wanted);
  }
  host.effects.clear();
  return found;
}

// Guards against an onward call that is attributed to the wrong organisation
// because two callers chose the same request id.
TEST(ReducerWorkTest, EqualRequestIdsKeepOrganisations) {
  FleetSimulation simulation(3);
  simulation.Add("a");
  simulation.Add("b");
  simulation.Run(3s);
  simulation.hosts["a"].effects.clear();
  for (const char* organisation : {"kamilla", "bodza"}) {
    WorkArrived work{WorkId{organisation[0] == 'k' ? 101U : 102U}};
    work.context.set_request_id("same");
    work.context.set_organisation(organisation);
    work.context.set_service("s");
    work.context.set_remaining_ms(1000);
    simulation.Feed("a", work);
  }
  auto started = TakeEffects<StartWork>(simulation.hosts["a"]);
  ASSERT_EQ(started.size(), 2u);
  EXPECT_NE(started[0].request_id, started[1].request_id);
  for (const auto& start : started) {
    CallArrived call{CallId{start.work.value}};
    call.request.method = "GET";
    call.request.request_target = "/x";
    call.request.request_id = start.request_id;
    call.request.onward = true;
    simulation.Feed("a", call);
    auto sent = TakeEffects<Dispatch>(simulation.hosts["a"]);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].context.organisation(),
              start.work.value == 101U ? "kamilla" : "bodza");
  }
}

}  // namespace
}  // namespace comfreylock
