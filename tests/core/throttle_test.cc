#include "comfreylock/throttle.h"

#include <random>

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// A service that carries `capacity` calls in each window; all above it end
/// overloaded.
struct Service {
  EntryThrottle throttle;
  std::mt19937_64 random{7};
  TimePoint now{10s};

  /// @return calls let through in one window of `offered` calls.
  int RunWindow(int offered, int capacity) {
    int passed = 0;
    std::uniform_real_distribution<double> share(0, 1);
    for (int i = 0; i < offered; ++i)
      passed += throttle.Admit("s", 2, share(random), now) ? 1 : 0;
    for (int i = 0; i < passed; ++i)
      throttle.OnEnded("s", 2, i >= capacity, now);
    now += kThrottleWindow;
    return passed;
  }
};

// Guards against work for calls that a service further down will shed, and
// against a throttle that leaves capacity unused.
TEST(ThrottleTest, LetsThroughWhatTheServiceCarries) {
  Service service;
  int passed = 0;
  for (int window = 0; window < 150; ++window) {
    int count = service.RunWindow(300, 150);
    passed += window >= 50 ? count : 0;
  }
  EXPECT_GT(passed, 100 * 148);
  EXPECT_LT(passed, 100 * 165);
}

// Guards against a throttle that outlasts its trigger.
TEST(ThrottleTest, OpensWithinTwoSecondsAfterTheOverload) {
  Service service;
  for (int window = 0; window < 100; ++window)
    service.RunWindow(1500, 150);
  EXPECT_LT(service.throttle.ShareOf("s", 2, service.now), 0.3);
  for (int window = 0; window < 15; ++window)
    service.RunWindow(140, 150);
  EXPECT_EQ(service.throttle.ShareOf("s", 2, service.now), 1.0);
}

// Guards against important calls that pay for an overload of others.
TEST(ThrottleTest, KeepsImportancesApart) {
  Service service;
  for (int window = 0; window < 100; ++window)
    service.RunWindow(1500, 150);
  EXPECT_EQ(service.throttle.ShareOf("s", 0, service.now), 1.0);
}

}  // namespace
}  // namespace comfreylock
