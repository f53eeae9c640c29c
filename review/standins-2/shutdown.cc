/// A node is stopped with SIGTERM while clients use a public route. The rule: a
/// request that the node has read and passed on gets a complete answer, unless
/// it was sent within 3 s of the SIGTERM and its target was still at work in
/// the last sixth of `grace_s`.
///
///   shutdown RECORD FOLDER
///
/// TROUBLE=0: the node is not stopped.
#include <algorithm>
#include <csignal>
#include <cstdlib>

#include "lab.h"

namespace {

using lab::Answer;
using lab::Node;
using lab::Now;
using lab::Request;
using lab::SleepFor;
using lab::Target;

constexpr int kHosts = 3;
constexpr int kPublicClients = 6;
constexpr int kKeyedClients = 6;
constexpr double kContact = 3;
constexpr double kGrace = 6;
/// Requests sent within this time of the SIGTERM may be cut in the last sixth
/// of `kGrace`.
constexpr double kEarly = 3;
constexpr const char* kKey = "6wsjnbanfqasnmgkcuyj";

nlohmann::json Route(const std::string& name, bool is_public) {
  return {{"name", "r-" + name},        {"prefix", "/" + name + "/"},
          {"route_type", "idempotent"}, {"timeout_ms", 1500},
          {"target_latency_ms", 1500},  {"priority", 2},
          {"service", "proofdesk"},     {"max_attempts", 2},
          {"public", is_public}};
}

std::string Config() {
  nlohmann::json config = {
      {"version", "r7"},
      {"services", {{{"name", "proofdesk"}, {"health_path", "/health"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 67108864},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "acme"}, {"api_keys", {kKey}}}}},
      {"virtual_hosts",
       {{{"host", "label.example"},
         {"paths", {Route("open", true), Route("proofs", false)}}}}}};
  return config.dump();
}

struct Sent {
  bool is_public = false;
  double sent_at = 0;
  double ended_at = 0;
  double run_at = 0;     ///< 0: it reached no target.
  double run_ended = 0;  ///< 0: still running.
  int status = -1;       ///< 0: the connection ended without an answer.
};

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : record_(record), store_(lab::Ip(250), lab::kStorePort) {
    store_.Put("op/config", Config());
    for (int i = 1; i <= kHosts; ++i) {
      // The first zone has one host. The platform does not take it out of
      // service, since fewer than half of the zone's nodes are in without it.
      std::string zone = i == 1 ? "zone-a" : "zone-b";
      nodes_.push_back(std::make_unique<Node>(
          Node::Options{"node-" + std::to_string(i), lab::Ip(i), "proofdesk",
                        zone, lab::Ip(250), folder}));
      nodes_.back()->Start();
      Target::Options options;
      options.ip = lab::Ip(i);
      options.service = "proofdesk";
      options.zone = zone;
      options.slots = 55;
      targets_.push_back(std::make_unique<Target>(
          options,
          [this](const Target&, const Request& request) {
            std::lock_guard lock(mutex_);
            sent_[request.Field("X-Comfreylock-Request-Id")].run_at = Now();
          },
          record_,
          [this](const Target&, const Request& request) {
            std::lock_guard lock(mutex_);
            sent_[request.Field("X-Comfreylock-Request-Id")].run_ended = Now();
          }));
    }
  }

  int Main() {
    lab::Require(
        [this] {
          return std::ranges::all_of(
              nodes_, [](const auto& node) { return node->IsReady(); });
        },
        15, "the nodes are not ready");
    SleepFor(kContact + 1.5);
    std::vector<std::thread> clients;
    for (int i = 0; i < kPublicClients + kKeyedClients; ++i)
      clients.emplace_back([this, i] { Call(i < kPublicClients, i); });
    SleepFor(kContact + 1);
    double begin = Now();
    if (lab::Trouble()) {
      record_.Line("node-1 gets SIGTERM");
      double seconds = nodes_[0]->Terminate();
      record_.Line("node-1 has ended after " + std::to_string(seconds) + " s");
    } else {
      SleepFor(kGrace);
    }
    stop_ = true;
    for (std::thread& client : clients)
      client.join();
    SleepFor(1);
    int result = Judge(begin);
    nodes_.clear();
    return result;
  }

 private:
  /// Sends one request after the other to node-1.
  void Call(bool is_public, int client) {
    for (int count = 0; !stop_; ++count) {
      std::string id = lab::NewRequestId();
      Request request{"GET",
                      std::string(is_public ? "/open/" : "/proofs/") + "c" +
                          std::to_string(client) + "-" + std::to_string(count) +
                          "/work-" + std::to_string(300 + 40 * client),
                      {{"Host", "label.example"},
                       {"X-Comfreylock-Request-Id", id},
                       {"X-Comfreylock-Request-Deadline", "5000"}},
                      ""};
      if (!is_public)
        request.fields.emplace_back("X-Comfreylock-Credential", kKey);
      {
        std::lock_guard lock(mutex_);
        sent_[id].is_public = is_public;
        sent_[id].sent_at = Now();
      }
      Answer answer = lab::Send(lab::Ip(1), lab::kCallerPort, request, 6);
      {
        std::lock_guard lock(mutex_);
        sent_[id].status = answer.status;
        sent_[id].ended_at = Now();
      }
      SleepFor(answer.status == 200 ? 0.02 : 0.2);
    }
  }

  int Judge(double begin) {
    std::lock_guard lock(mutex_);
    int lost = 0;
    int excused = 0;
    for (const auto& [id, sent] : sent_) {
      double after = sent.sent_at - begin;
      if (after >= 0 || sent.ended_at >= begin) {
        record_.Line(std::string(sent.is_public ? "public " : "keyed ") + id +
                     " sent " + std::to_string(after) + " s after the SIGTERM" +
                     (sent.run_at > 0 ? ", run by a target" : "") + ", gets " +
                     std::to_string(sent.status) + " at " +
                     std::to_string(sent.ended_at - begin) + " s");
      }
      if (sent.status != 0 || sent.run_at == 0)
        continue;
      bool late_work =
          sent.run_ended == 0 || sent.run_ended > begin + kGrace * 5 / 6;
      bool is_excused = after <= kEarly && late_work;
      ++(is_excused ? excused : lost);
    }
    record_.Line("cut, and excused: " + std::to_string(excused));
    std::string result =
        "requests that were passed on and cut without an answer: " +
        std::to_string(lost) +
        " (none allowed): " + (lost > 0 ? "BROKEN" : "held");
    record_.Line(result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    return lost > 0 ? 1 : 0;
  }

  lab::Record record_;
  lab::Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
  std::atomic<bool> stop_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  auto instance = std::make_unique<Case>(argv[1], argv[2]);
  // The threads of the stand-ins end with this process.
  std::_Exit(instance.release()->Main());
}
