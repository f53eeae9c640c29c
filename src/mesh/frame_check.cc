#include "mesh/frame_check.h"

#include <cmath>
#include <limits>

#include "comfreylock/types.h"
#include "http_io.h"
#include "http_message_rules.h"

namespace comfreylock::mesh {
namespace {

/// Differences of two times of up to half the range do not overflow.
constexpr uint64_t kMaxSentUs = std::numeric_limits<int64_t>::max() / 2;
constexpr uint32_t kMinFinalStatus = 200;
/// A node keeps up to 64 departed targets.
constexpr int kMaxDepartedRows = 64;

void Require(bool valid, const char* field) {
  if (!valid)
    throw InputError(std::string(field) + " is out of range");
}

void RequireRate(float value, const char* field) {
  Require(std::isfinite(value) && value >= 0, field);
}

/// A revision that no store reaches would hide all later evacuations.
void RequireRevision(const wire::Load& load) {
  Require(
      load.evacuations().revision() <= std::numeric_limits<int64_t>::max() / 2,
      "load.evacuations.revision");
}

void RequireUsableAddress(const std::string& address) {
  auto endpoint = ParseEndpoint(address);
  Require(endpoint.port() != 0 && !endpoint.address().is_unspecified(),
          "address");
}

template <typename Fields>
void RequireFields(const Fields& fields, const char* field) {
  for (const wire::Field& each : fields)
    Require(IsToken(each.name()) && IsValidFieldValue(each.value()), field);
}

}  // namespace

void CheckNodeRecord(const wire::NodeRecord& record, std::string_view node) {
  Require(!node.empty() && record.node().node() == node, "node");
  RequireUsableAddress(record.address());
}

void CheckFrame(const wire::Frame& frame) {
  switch (frame.body_case()) {
    case wire::Frame::kHello:
      Require(!frame.hello().node().empty(), "hello.node");
      // Earlier releases do not send an address.
      if (!frame.hello().address().empty())
        RequireUsableAddress(frame.hello().address());
      return;
    case wire::Frame::kLoad:
      Require(frame.load().sent_us() <= kMaxSentUs, "load.sent_us");
      RequireRevision(frame.load());
      return;
    case wire::Frame::kForward:
      Require(frame.forward().sent_us() <= kMaxSentUs, "forward.sent_us");
      Require(IsToken(frame.forward().method()), "forward.method");
      Require(IsValidRequestTarget(frame.forward().path()), "forward.path");
      RequireFields(frame.forward().fields(), "forward.fields");
      return;
    case wire::Frame::kOutcome: {
      const wire::Outcome& outcome = frame.outcome();
      Require(outcome.kind() != wire::Outcome::ANSWERED ||
                  (outcome.status() >= kMinFinalStatus &&
                   IsValidStatus(outcome.status())),
              "outcome.status");
      Require(IsValidFieldValue(outcome.status_text()), "outcome.status_text");
      RequireFields(outcome.fields(), "outcome.fields");
      Require(outcome.load().sent_us() <= kMaxSentUs, "outcome.load.sent_us");
      RequireRevision(outcome.load());
      return;
    }
    case wire::Frame::kDemand:
      for (const wire::Demand::Row& row : frame.demand().rows())
        RequireRate(row.per_second(), "demand.rows.per_second");
      return;
    case wire::Frame::kShares:
      for (const wire::Shares::Row& row : frame.shares().rows()) {
        RequireRate(row.per_second(), "shares.rows.per_second");
        RequireRate(row.burst(), "shares.rows.burst");
      }
      return;
    case wire::Frame::kTargetsLeft:
      Require(!frame.targets_left().node().empty(), "targets_left.node");
      Require(frame.targets_left().departed_size() <= kMaxDepartedRows,
              "targets_left.departed");
      for (const auto& row : frame.targets_left().departed())
        Require(!row.id().empty(), "targets_left.departed.id");
      return;
    default:
      return;
  }
}

}  // namespace comfreylock::mesh
