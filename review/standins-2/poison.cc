/// A request that crashes each target which begins to run it. The rule: once it
/// has crashed the third target, it may reach targets in three more retries at
/// most, apart from those within `contact_ms` of that crash and those that
/// hosts out of touch send.
///
///   poison roll|quiet RECORD FOLDER
///
/// roll: all nodes are restarted in turn with SIGTERM, and the request comes
///   again at each of them once that node is in touch again. TROUBLE=0: no node
///   is restarted.
/// quiet: the service has few other requests, and the request comes again every
///   6 s. TROUBLE=0: the request crashes no target.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>

#include "lab.h"

namespace {

using lab::Answer;
using lab::Node;
using lab::Now;
using lab::Request;
using lab::SleepFor;
using lab::Target;

constexpr double kContact = 3;
constexpr int kMaxRetries = 3;
constexpr const char* kKey = "6wsjnbanfqasnmgkcuyj";
constexpr const char* kPoisonPath = "/proofs/poison-17";

std::string Config() {
  nlohmann::json config = {{"version", "r7"},
                           {"services",
                            {{{"name", "proofdesk"},
                              {"health_path", "/health"},
                              {"max_connections", 430}}}},
                           {"limits",
                            {{"max_header_bytes", 16384},
                             {"max_body_bytes", 67108864},
                             {"header_timeout_ms", 3000},
                             {"idle_timeout_ms", 15000}}},
                           {"tenants",
                            {{{"name", "acme"},
                              {"api_keys", {kKey}},
                              {"priority", 1},
                              {"rate_per_s", 0},
                              {"burst", 0}}}},
                           {"virtual_hosts",
                            {{{"host", "label.example"},
                              {"paths",
                               {{{"name", "r-proofs"},
                                 {"prefix", "/proofs/"},
                                 {"route_type", "idempotent"},
                                 {"timeout_ms", 1500},
                                 {"target_latency_ms", 1500},
                                 {"priority", 2},
                                 {"service", "proofdesk"},
                                 {"max_attempts", 2},
                                 {"public", false}},
                                {{"name", "r-orders"},
                                 {"prefix", "/orders/"},
                                 {"route_type", "non_idempotent"},
                                 {"timeout_ms", 1500},
                                 {"target_latency_ms", 2000},
                                 {"priority", 0},
                                 {"service", "proofdesk"},
                                 {"max_attempts", 2},
                                 {"public", false}}}}}}}};
  return config.dump();
}

struct Arrival {
  double time;
  std::string request;
  std::string target;
};

class Case {
 public:
  Case(bool roll, const std::string& record, const std::string& folder)
      : roll_(roll),
        trouble_(lab::Trouble()),
        record_(record),
        folder_(folder),
        store_(lab::Ip(250), lab::kStorePort) {}

  int Run() {
    store_.Put("op/config", Config());
    int hosts = roll_ ? 6 : 4;
    for (int i = 0; i < hosts; ++i) {
      nodes_.push_back(std::make_unique<Node>(
          Node::Options{"node-" + std::to_string(i + 1), lab::Ip(i + 1),
                        "proofdesk", "zone-a", lab::Ip(250), folder_}));
      nodes_.back()->Start();
    }
    for (int i = 0; i < hosts; ++i) {
      Target::Options options;
      options.ip = lab::Ip(i + 1);
      options.service = "proofdesk";
      options.zone = "zone-a";
      options.slots = 50;
      options.restart_delay = 2;
      if (roll_ || trouble_)
        options.crash_word = "poison";
      targets_.push_back(std::make_unique<Target>(
          options,
          [this](const Target& target, const Request& request) {
            OnRun(target, request);
          },
          record_));
    }
    lab::Require([this] { return AllReady(); }, 15, "the nodes are not ready");
    SleepFor(kContact + 1.5);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < nodes_.size(); ++i)
      threads.emplace_back([this, i] { Load(i); });
    if (roll_) {
      Roll();
    } else {
      for (size_t i = 0; i < 8; ++i) {
        SendPoison(i % nodes_.size());
        SleepFor(6);
      }
    }
    stop_ = true;
    for (std::thread& thread : threads)
      thread.join();
    return Judge();
  }

  /// Ends the nodes that this case started.
  void StopNodes() { nodes_.clear(); }

 private:
  bool AllReady() {
    return std::ranges::all_of(
        nodes_, [](const auto& node) { return node->IsReady(); });
  }

  void Roll() {
    // Its first attempt crashes up to two targets; then it is repeated twice.
    for (size_t i = 0; i < 3; ++i) {
      SendPoison(i);
      SleepFor(4);
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (trouble_) {
        record_.Line(nodes_[i]->options().name + " gets SIGTERM");
        double seconds = nodes_[i]->Terminate();
        record_.Line(nodes_[i]->options().name + " has ended after " +
                     std::to_string(seconds) + " s");
        SleepFor(0.3);
        nodes_[i]->Start();
        record_.Line(nodes_[i]->options().name + " starts again");
        Node* node = nodes_[i].get();
        lab::Require([node] { return node->IsReady(); }, 10,
                     node->options().name + " is not ready again");
      } else {
        SleepFor(3.5);
      }
      SleepFor(kContact + 1);
      SendPoison(i);
      SleepFor(2.5);
    }
  }

  Request MakeRequest(const std::string& method,
                      const std::string& path,
                      const std::string& id) {
    return {method,
            path,
            {{"Host", "label.example"},
             {"X-Comfreylock-Request-Id", id},
             {"X-Comfreylock-Request-Deadline", "5000"},
             {"X-Comfreylock-Credential", kKey}},
            ""};
  }

  void SendPoison(size_t host) {
    std::string id = lab::NewRequestId();
    {
      std::lock_guard lock(mutex_);
      poison_entry_[id] = host;
    }
    record_.Line("poison " + id + " is sent to " +
                 nodes_[host]->options().name);
    Answer answer = lab::Send(nodes_[host]->options().ip, lab::kCallerPort,
                              MakeRequest("GET", kPoisonPath, id), 6);
    record_.Line("poison " + id + " gets " + std::to_string(answer.status));
  }

  /// Ordinary requests of the clients on one host. The platform takes a host
  /// out of service after two questions without a 200.
  void Load(size_t host) {
    const std::string& ip = nodes_[host]->options().ip;
    std::mt19937 random(static_cast<unsigned>(host + 1));
    // The quiet service gets one request in 6 s on average.
    std::exponential_distribution<double> pause(
        roll_ ? 10.0 : 1.0 / (6.0 * static_cast<double>(nodes_.size())));
    double next_question = 0;
    int misses = 0;
    for (int count = 0; !stop_; ++count) {
      double end = Now() + pause(random);
      while (Now() < end && !stop_)
        SleepFor(std::min(0.05, std::max(0.0, end - Now())));
      if (stop_)
        return;
      if (Now() >= next_question) {
        next_question = Now() + 1;
        misses = nodes_[host]->IsReady() ? 0 : misses + 1;
      }
      if (misses < 2) {
        std::string id = lab::NewRequestId();
        bool order = count % 2 == 1;
        std::string path = order ? "/orders/o" : "/proofs/p";
        path += std::to_string(host) + "-" + std::to_string(count) +
                (order ? "/work-300" : "/work-40");
        Answer answer =
            lab::Send(ip, lab::kCallerPort,
                      MakeRequest(order ? "POST" : "GET", path, id), 6);
        if (answer.status != 200) {
          record_.Line((order ? "order " : "view ") + id + " at " +
                       nodes_[host]->options().name + " gets " +
                       std::to_string(answer.status));
        }
        std::lock_guard lock(mutex_);
        ++(answer.status == 200 ? served_ : not_served_);
        if (order && answer.status == 502)
          ++lost_orders_;
      }
    }
  }

  void OnRun(const Target& target, const Request& request) {
    std::string id = request.Field("X-Comfreylock-Request-Id");
    std::lock_guard lock(mutex_);
    if (!poison_entry_.contains(id))
      return;
    arrivals_.push_back({Now(), id, target.ip()});
    record_.Line("poison " + id + " begins to run on the target at " +
                 target.ip());
  }

  int Judge() {
    std::lock_guard lock(mutex_);
    std::set<std::string> retries;
    record_.Line("poison reached targets " + std::to_string(arrivals_.size()) +
                 " times; ordinary requests served " + std::to_string(served_) +
                 ", not served " + std::to_string(not_served_) +
                 "; orders whose target crashed while it ran them: " +
                 std::to_string(lost_orders_));
    for (const Arrival& arrival : arrivals_) {
      // Both the node that took the request and the one beside the target.
      bool in_touch = std::ranges::all_of(nodes_, [&](const auto& node) {
        bool involved = node == nodes_[poison_entry_.at(arrival.request)] ||
                        node->options().ip == arrival.target;
        return !involved || node->RanFor(kContact, arrival.time);
      });
      if (arrivals_.size() >= 3 &&
          arrival.time > arrivals_[2].time + kContact && in_touch)
        retries.insert(arrival.request);
    }
    bool crashes = roll_ || trouble_;
    bool broken = crashes && static_cast<int>(retries.size()) > kMaxRetries;
    std::string result =
        "retries that reached targets later than 3 s after the third crash: " +
        std::to_string(crashes ? retries.size() : 0) + " (at most " +
        std::to_string(kMaxRetries) + "): " + (broken ? "BROKEN" : "held");
    record_.Line(result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    return broken ? 1 : 0;
  }

  bool roll_;
  bool trouble_;
  lab::Record record_;
  std::string folder_;
  lab::Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;
  std::map<std::string, size_t> poison_entry_;
  std::vector<Arrival> arrivals_;
  int served_ = 0;
  int not_served_ = 0;
  int lost_orders_ = 0;
  std::atomic<bool> stop_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: poison roll|quiet RECORD FOLDER\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int result;
  {
    auto instance = std::make_unique<Case>(std::string(argv[1]) == "roll",
                                           argv[2], argv[3]);
    result = instance->Run();
    // Ends the nodes; the stand-ins' threads end with this process.
    instance.release()->StopNodes();
  }
  std::_Exit(result);
}
