#include "comfreylock/throttle.h"

#include <random>

#include <gtest/gtest.h>

#include "comfreylock/config.h"

namespace comfreylock {
namespace {

/// Simulates a service behind the throttle. In each window it serves up to its
/// capacity; all further calls end overloaded.
struct Service {
  EntryThrottle throttle;
  std::mt19937_64 random{7};
  TimePoint now{10s};

  /// Offers `offered` calls in one window. @return the number admitted.
  int RunWindow(int offered, int capacity) {
    int admitted = 0;
    std::uniform_real_distribution<double> uniform(0, 1);
    for (int i = 0; i < offered; ++i)
      admitted += throttle.Admit("s", 2, uniform(random), now) ? 1 : 0;
    for (int i = 0; i < admitted; ++i)
      throttle.OnCallEnded("s", 2, i >= capacity, now);
    now += kThrottleWindow;
    return admitted;
  }
};

// Guards against a throttle that admits calls which a downstream service will
// shed, and against one that leaves capacity unused.
TEST(ThrottleTest, AdmitsServiceCapacity) {
  Service service;
  int admitted = 0;
  for (int window = 0; window < 150; ++window) {
    int count = service.RunWindow(300, 150);
    admitted += window >= 50 ? count : 0;
  }
  EXPECT_GT(admitted, 100 * 148);
  EXPECT_LT(admitted, 100 * 165);
}

// Guards against a throttle that keeps refusing after the overload has ended.
TEST(ThrottleTest, AdmitsAllWithinTwoSecondsAfterOverload) {
  Service service;
  for (int window = 0; window < 100; ++window)
    service.RunWindow(1500, 150);
  EXPECT_LT(service.throttle.AdmittedFraction("s", 2, service.now), 0.3);
  for (int window = 0; window < 15; ++window)
    service.RunWindow(140, 150);
  EXPECT_EQ(service.throttle.AdmittedFraction("s", 2, service.now), 1.0);
}

// Guards against important calls that are refused because less important ones
// overload the service.
TEST(ThrottleTest, ImportancesThrottledSeparately) {
  Service service;
  for (int window = 0; window < 100; ++window)
    service.RunWindow(1500, 150);
  EXPECT_EQ(service.throttle.AdmittedFraction("s", 0, service.now), 1.0);
}

}  // namespace
}  // namespace comfreylock
