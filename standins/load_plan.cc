#include "load_plan.h"

#include "comfreylock/config.h"
#include "json_reader.h"

namespace comfreylock::standins {
namespace {

constexpr double kMaxRatePerSecond = 100'000;
/// Upper bound of `from`, `until` and `timeout`.
constexpr std::chrono::milliseconds kMaxDuration = 10min;
constexpr uint32_t kMaxRequestBodyBytes = 256 << 20;

LoadStream ParseStream(const nlohmann::json& value,
                       const std::string& origin,
                       size_t index,
                       ErrorList& errors) {
  ObjectReader reader(value, origin, "streams[" + std::to_string(index) + "]",
                      errors);
  LoadStream stream;
  reader.Read("name", stream.name, true);
  reader.Read("key", stream.key);
  reader.Read("method", stream.method);
  reader.Read("path", stream.path, true);
  reader.Read("callers", stream.callers);
  reader.Read("rate", stream.rate, 0.01, kMaxRatePerSecond);
  reader.Read("from", stream.from, 0ms, kMaxDuration);
  reader.Read("until", stream.until, 1ms, kMaxDuration);
  reader.Read("timeout", stream.timeout, 1ms, kMaxDuration);
  reader.Read("retries", stream.retries, 0, 100);
  reader.Read("once_only", stream.once_only);
  reader.Read("resends", stream.resends, 0, 100);
  reader.Read("body_bytes", stream.body_bytes, 0, kMaxRequestBodyBytes);
  reader.Read("check_body", stream.check_body);
  reader.Finish();
  if (stream.callers.empty())
    reader.Fail("callers", "is empty", "a list of IP:PORT");
  if (stream.until <= stream.from)
    reader.Fail("until", "is not after from", "a later time");
  return stream;
}

}  // namespace

LoadPlan ParseLoadPlan(std::string_view text, std::string_view origin) {
  nlohmann::json document = ParseJson(text, origin);
  ErrorList errors;
  ObjectReader reader(document, std::string(origin), "", errors);
  LoadPlan plan;
  reader.Read("seed", plan.seed, 0, std::numeric_limits<uint64_t>::max());
  reader.Read("bin", plan.bin, 10ms, 60s);
  reader.Read("max_in_flight", plan.max_in_flight, 1, 20'000);
  const auto* streams = reader.Child("streams");
  if (!streams || !streams->is_array()) {
    reader.Fail("streams", "is missing", "a list of streams");
  } else {
    for (size_t i = 0; i < streams->size(); ++i) {
      plan.streams.push_back(
          ParseStream((*streams)[i], std::string(origin), i, errors));
    }
  }
  reader.Finish();
  errors.ThrowIfNotEmpty();
  return plan;
}

}  // namespace comfreylock::standins
