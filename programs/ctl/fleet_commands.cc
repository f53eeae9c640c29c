#include <iostream>

#include "ctl.h"
#include "ctl_http.h"
#include "json_reader.h"

/// Subcommands that call the operator listeners of nodes.
namespace comfreylock::ctl {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";

struct NodeAnswer {
  std::string address;
  std::string error;  ///< Empty if the node answered.
  nlohmann::json body;
};

NodeAnswer SendToNode(Session& session,
                      const std::string& address,
                      http::verb method,
                      const std::string& target) {
  NodeAnswer answer{address, "", nullptr};
  try {
    CtlResponse response = SendCtlRequest(
        address, method, target,
        std::string(kBearerPrefix) + session.settings().operator_token);
    answer.body = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200)
      answer.error = "answered with status " + std::to_string(response.status);
    else if (answer.body.is_discarded())
      answer.error = "answered with invalid JSON";
  } catch (const std::exception& error) {
    answer.error = error.what();
  }
  return answer;
}

std::vector<NodeAnswer> GetFromAllNodes(Session& session,
                                        const std::string& target) {
  if (session.settings().nodes.empty()) {
    throw InputError(
        "nodes: is missing in the settings; allowed: a list of operator "
        "listeners, IP:PORT");
  }
  std::vector<NodeAnswer> answers;
  for (const auto& address : session.settings().nodes)
    answers.push_back(SendToNode(session, address, http::verb::get, target));
  return answers;
}

void PrintStatus(const NodeAnswer& answer) {
  const auto& body = answer.body;
  std::string line =
      body.value("node", answer.address) + " (" + body.value("zone", "") +
      (body.value("service", "").empty() ? "" : ", ") +
      body.value("service", "") + "): version " +
      std::to_string(body.value("bundle_version", 0)) + ", members " +
      std::to_string(body.value("members", 0)) + ", in flight " +
      std::to_string(body.value("in_flight", 0)) + " of " +
      std::to_string(body.value("limit", 0)) + ", queued " +
      std::to_string(body.value("queued", 0)) + ", shed level " +
      std::to_string(body.value("shed_level", 0)) + ", store " +
      body.value("store", "unknown");
  if (body.value("draining", false))
    line += ", draining";
  PrintLine(line);
}

/// Percent-encodes all characters but letters, digits, `-` and `_`.
std::string PercentEncode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (unsigned char character : text) {
    if (std::isalnum(character) || character == '-' || character == '_') {
      encoded += static_cast<char>(character);
      continue;
    }
    encoded += '%';
    encoded += kDigits[character >> 4];
    encoded += kDigits[character & 15];
  }
  return encoded;
}

void PrintDecision(const nlohmann::json& decision) {
  std::string line = decision.value("time", "") + " " +
                     decision.value("node", "") + " " +
                     decision.value("decision", "");
  const nlohmann::json figures =
      decision.value("figures", nlohmann::json::object());
  for (const auto& [name, value] : figures.items()) {
    line += " " + name + "=" +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  PrintLine(line);
}

void ThrowIfAnyFailed(const std::vector<NodeAnswer>& answers) {
  std::string failures;
  for (const auto& answer : answers) {
    if (!answer.error.empty()) {
      failures += (failures.empty() ? "" : "\n") + ("node " + answer.address) +
                  ": " + answer.error;
    }
  }
  if (!failures.empty())
    throw Error(failures);
}

}  // namespace

void Status(Session& session) {
  auto answers = GetFromAllNodes(session, "/status");
  nlohmann::json list = nlohmann::json::array();
  for (const auto& answer : answers) {
    if (answer.error.empty())
      list.push_back(answer.body);
    else
      list.push_back({{"address", answer.address}, {"error", answer.error}});
    if (answer.error.empty() && !session.options().json)
      PrintStatus(answer);
  }
  if (session.options().json)
    std::cout << list.dump(2) << "\n";
  ThrowIfAnyFailed(answers);
}

void Explain(Session& session) {
  const std::string& id = session.Argument(0, "REQUEST-ID");
  auto answers =
      GetFromAllNodes(session, "/explain?request_id=" + PercentEncode(id));
  std::vector<nlohmann::json> decisions;
  for (const auto& answer : answers) {
    if (!answer.error.empty())
      continue;
    for (const auto& decision : answer.body)
      decisions.push_back(decision);
  }
  // The clocks of hosts differ slightly. The stable sort keeps the order of
  // decisions of one node that have the same time.
  std::ranges::stable_sort(decisions, {}, [](const nlohmann::json& decision) {
    return decision.value("time", "");
  });
  if (session.options().json) {
    std::cout << nlohmann::json(decisions).dump(2) << "\n";
  } else {
    for (const auto& decision : decisions)
      PrintDecision(decision);
  }
  ThrowIfAnyFailed(answers);
  if (decisions.empty()) {
    throw Error("no node has recorded a decision about request " + id +
                "; only the latest decisions are kept");
  }
}

void Drain(Session& session) {
  const std::string& address = session.Argument(0, "IP:PORT");
  auto answer = SendToNode(session, address, http::verb::post, "/drain");
  ThrowIfAnyFailed({answer});
  PrintLine("node " + address + " is draining");
}

}  // namespace comfreylock::ctl
