#include "decision_log.h"

#include <time.h>

#include <array>
#include <cstdio>

namespace comfreylock {

void DecisionLog::Add(Decision decision) {
  decisions_.push_back(std::move(decision));
  if (decisions_.size() > capacity_)
    decisions_.pop_front();
}

std::vector<Decision> DecisionLog::FindByRequest(
    std::string_view request_id) const {
  std::vector<Decision> found;
  for (const auto& decision : decisions_) {
    if (decision.request_id == request_id)
      found.push_back(decision);
  }
  return found;
}

std::string FormatWallTime(WallTime time) {
  constexpr int64_t kMillisecondsPerSecond = 1000;
  int64_t count = time.time_since_epoch().count();
  time_t seconds = count / kMillisecondsPerSecond;
  tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  size_t length =
      strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(count % kMillisecondsPerSecond));
  return std::string(text.data(), length) + fraction.data();
}

}  // namespace comfreylock
