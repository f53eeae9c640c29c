#include "peer_context.h"

#include <algorithm>

#include "crypto.h"

namespace comfreylock {
namespace {

constexpr char kContextField[] = "Comfreylock-Context";
constexpr char kReportField[] = "Comfreylock-Report";

}  // namespace

void SetContext(http::fields& fields,
                const wire::CallContext& context,
                const NodeServices& node) {
  std::string data = context.SerializeAsString();
  fields.set(kContextField,
             ToBase64(data) + "." + ToBase64(node.ComputeMac(data)));
}

std::optional<wire::CallContext> ReadContext(const http::fields& fields,
                                             const NodeServices& node) {
  std::string_view value = fields[kContextField];
  size_t dot = value.find('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  std::string data = FromBase64(value.substr(0, dot));
  std::string mac = FromBase64(value.substr(dot + 1));
  wire::CallContext context;
  if (!EqualConstantTime(mac, node.ComputeMac(data)) ||
      !context.ParseFromString(data)) {
    return std::nullopt;
  }
  return context;
}

void SetReport(http::fields& fields, const wire::AnswerReport& report) {
  fields.set(kReportField, ToBase64(report.SerializeAsString()));
}

wire::AnswerReport ReadReport(const http::fields& fields) {
  wire::AnswerReport report;
  if (!report.ParseFromString(FromBase64(fields[kReportField])))
    report.Clear();
  return report;
}

std::chrono::milliseconds TimeLeft(const NodeServices& node,
                                   TimePoint deadline) {
  auto remaining =
      node.ToIoTimePoint(deadline) - std::chrono::steady_clock::now();
  return std::max(
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining),
      std::chrono::milliseconds(0));
}

}  // namespace comfreylock
