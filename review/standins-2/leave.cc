/// A target deregisters shortly after its node was restarted in a short outage
/// of the store. The rule: later than `drain_ms` after the node has confirmed
/// that the target leaves, no request reaches it that hosts in touch send on.
///
///   leave RECORD FOLDER
///
/// TROUBLE=0: the store has no outage.
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
constexpr double kContact = 3;
constexpr double kDrain = 2;
/// Time for which the store answers nothing.
constexpr double kOutage = 4.3;
/// Time from the end of the outage until the target deregisters.
constexpr double kLeaveAfter = 0.6;
/// Time for which the target serves after the confirmation.
constexpr double kStay = 10;
constexpr const char* kKey = "6wsjnbanfqasnmgkcuyj";

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
         {"paths",
          {{{"name", "r-proofs"},
            {"prefix", "/proofs/"},
            {"route_type", "idempotent"},
            {"timeout_ms", 1200},
            {"target_latency_ms", 1500},
            {"priority", 2},
            {"service", "proofdesk"},
            {"max_attempts", 2},
            {"public", false}}}}}}}};
  return config.dump();
}

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : record_(record), store_(lab::Ip(250), lab::kStorePort) {
    store_.Put("op/config", Config());
    for (int i = 1; i <= kHosts; ++i) {
      nodes_.push_back(std::make_unique<Node>(
          Node::Options{"node-" + std::to_string(i), lab::Ip(i), "proofdesk",
                        "zone-a", lab::Ip(250), folder}));
      nodes_.back()->Start();
      Target::Options options;
      options.ip = lab::Ip(i);
      options.service = "proofdesk";
      options.zone = "zone-a";
      options.slots = 55;
      targets_.push_back(std::make_unique<Target>(
          options,
          [this](const Target& target, const Request& request) {
            OnRun(target, request);
          },
          record_));
    }
  }

  int Main() {
    lab::Require([this] { return AllReady(); }, 15, "the nodes are not ready");
    SleepFor(kContact + 1.5);
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kHosts; ++i)
      clients.emplace_back([this, i] { SendOrdinary(i); });
    SleepFor(1);
    double begin = Now();
    if (lab::Trouble()) {
      record_.Line("the store is silent");
      store_.SetSilent(true);
    }
    record_.Line("node-1 gets SIGTERM");
    double seconds = nodes_[0]->Terminate();
    record_.Line("node-1 has ended after " + std::to_string(seconds) + " s");
    SleepFor(0.2);
    nodes_[0]->Start();
    record_.Line("node-1 starts again");
    lab::SleepUntil(begin + kOutage);
    store_.SetSilent(false);
    stable_at_ = Now() + (lab::Trouble() ? kContact : 0);
    record_.Line("the store answers");
    SleepFor(kLeaveAfter);
    double confirmed_at = targets_[0]->Leave();
    if (confirmed_at < 0) {
      std::fprintf(stderr, "the leave was not confirmed\n");
      nodes_.clear();
      return 2;
    }
    {
      std::lock_guard lock(mutex_);
      confirmed_at_ = confirmed_at;
    }
    lab::SleepUntil(confirmed_at + kStay);
    targets_[0]->Stop();
    stop_ = true;
    for (std::thread& client : clients)
      client.join();
    std::lock_guard lock(mutex_);
    record_.Line(
        "requests that reached the target later than 2 s after the "
        "confirmation: " +
        std::to_string(late_));
    std::string result = "of these sent on by hosts in touch: " +
                         std::to_string(late_in_touch_) + " (none allowed): " +
                         (late_in_touch_ > 0 ? "BROKEN" : "held");
    record_.Line(result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    nodes_.clear();
    return late_in_touch_ > 0 ? 1 : 0;
  }

 private:
  bool AllReady() {
    return std::ranges::all_of(
        nodes_, [](const auto& node) { return node->IsReady(); });
  }

  /// Requests of the clients on one host. The platform takes a host out of
  /// service after two questions without a 200.
  void SendOrdinary(size_t host) {
    double next_question = 0;
    int misses = 0;
    while (!stop_) {
      if (Now() >= next_question) {
        next_question = Now() + 1;
        misses = nodes_[host]->IsReady() ? 0 : misses + 1;
      }
      if (misses < 2) {
        std::string id = lab::NewRequestId();
        {
          std::lock_guard lock(mutex_);
          entries_[id] = host;
        }
        Answer answer =
            lab::Send(lab::Ip(static_cast<int>(host) + 1), lab::kCallerPort,
                      {"GET",
                       "/proofs/p/work-50",
                       {{"Host", "label.example"},
                        {"X-Comfreylock-Request-Id", id},
                        {"X-Comfreylock-Request-Deadline", "5000"},
                        {"X-Comfreylock-Credential", kKey}},
                       ""},
                      6);
        record_.Line(id + " at node-" + std::to_string(host + 1) + " gets " +
                     std::to_string(answer.status));
      }
      SleepFor(0.1);
    }
  }

  void OnRun(const Target& target, const Request& request) {
    std::string id = request.Field("X-Comfreylock-Request-Id");
    std::lock_guard lock(mutex_);
    if (&target != targets_[0].get() || confirmed_at_ < 0)
      return;
    record_.Line(id + " reaches the target that has left, " +
                 std::to_string(Now() - confirmed_at_) +
                 " s after the confirmation");
    if (Now() <= confirmed_at_ + kDrain)
      return;
    ++late_;
    bool in_touch = Now() > stable_at_ && nodes_[0]->RanFor(kContact, Now()) &&
                    nodes_[entries_[id]]->RanFor(kContact, Now());
    late_in_touch_ += in_touch ? 1 : 0;
  }

  lab::Record record_;
  lab::Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::map<std::string, size_t> entries_;
  double confirmed_at_ = -1;
  std::atomic<double> stable_at_ = 0;
  int late_ = 0;
  int late_in_touch_ = 0;
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
