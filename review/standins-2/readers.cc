/// Many clients that send several idempotent requests at once and read their
/// answers slowly. The rule: processes of the system do not end by themselves
/// three times on two hosts; a process that exceeds the memory of its host
/// (`memory_mb`) is killed by the platform, and that counts.
///
///   readers RECORD FOLDER
///
/// TROUBLE=0: the clients read as fast as they can.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

#include "lab.h"

namespace {

using lab::Answer;
using lab::Node;
using lab::Now;
using lab::Request;
using lab::SleepFor;
using lab::Target;

constexpr int kHosts = 4;
/// The clients come to this many of the hosts.
constexpr int kPressedHosts = 2;
constexpr int kRounds = 3;
constexpr int kClientsPerHost = 800;
/// Requests that a client sends before it has the first answer.
constexpr int kAtOnce = 16;
/// Time over which the clients of a round arrive.
constexpr double kArrivalTime = 1;
/// Time after which the clients of a round leave.
constexpr double kStayTime = 8;
/// A slow client reads `kStepBytes` each `kStep`.
constexpr size_t kStepBytes = 1000;
constexpr double kStep = 0.5;
constexpr int kThreadsPerHost = 4;
constexpr size_t kAnswerBytes = 36000;
constexpr int kMemoryMb = 260;
constexpr double kRestartDelay = 0.5;
constexpr int kMaxEnds = 3;
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
            {"timeout_ms", 5000},
            {"target_latency_ms", 5000},
            {"priority", 2},
            {"service", "proofdesk"},
            {"max_attempts", 2},
            {"public", false}}}}}}}};
  return config.dump();
}

Request MakeRequest(const std::string& path) {
  return {"GET",
          path,
          {{"Host", "label.example"},
           {"X-Comfreylock-Request-Id", lab::NewRequestId()},
           {"X-Comfreylock-Request-Deadline", "5000"},
           {"X-Comfreylock-Credential", kKey}},
          ""};
}

std::string Serialise(const Request& request) {
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.fields)
    text += name + ": " + value + "\r\n";
  return text + "\r\n";
}

int Connect(const std::string& ip) {
  int client = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client < 0) {
    std::perror("socket");
    std::_Exit(2);
  }
  if (lab::Trouble()) {
    // Segments and a window as on a network, not those of the loopback device.
    int size = 4096;
    ::setsockopt(client, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    int segment = 1460;
    ::setsockopt(client, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(lab::kCallerPort);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  bool connected = ::connect(client, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address)) == 0;
  if (!connected) {
    ::close(client);
    return -1;
  }
  ::fcntl(client, F_SETFL, O_NONBLOCK);
  return client;
}

class Case {
 public:
  Case(const std::string& record, const std::string& folder)
      : record_(record), store_(lab::Ip(250), lab::kStorePort) {
    store_.Put("op/config", Config());
    for (int i = 1; i <= kHosts; ++i) {
      Node::Options options{"node-" + std::to_string(i),
                            lab::Ip(i),
                            "proofdesk",
                            "zone-a",
                            lab::Ip(250),
                            folder,
                            kMemoryMb};
      nodes_.push_back(std::make_unique<Node>(std::move(options)));
      nodes_.back()->Start();
      Target::Options target;
      target.ip = lab::Ip(i);
      target.service = "proofdesk";
      target.zone = "zone-a";
      target.slots = 55;
      target.answer_bytes = kAnswerBytes;
      targets_.push_back(std::make_unique<Target>(
          target, [](const Target&, const Request&) {}, record_));
      ends_.push_back(0);
      peaks_.push_back(0);
    }
  }

  int Run() {
    lab::Require([this] { return AllReady(); }, 15, "the nodes are not ready");
    SleepFor(4.5);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < kHosts; ++i) {
      threads.emplace_back([this, i] { Supervise(i); });
      threads.emplace_back([this, i] { SendOrdinary(i); });
    }
    for (int round = 1; round <= kRounds; ++round) {
      record_.Line("round " + std::to_string(round) + ": " +
                   std::to_string(kClientsPerHost) +
                   " clients come to each of " + std::to_string(kPressedHosts) +
                   " hosts");
      std::vector<std::thread> crowd;
      for (int host = 1; host <= kPressedHosts; ++host) {
        for (int i = 0; i < kThreadsPerHost; ++i)
          crowd.emplace_back([this, host] { Press(lab::Ip(host)); });
      }
      for (std::thread& thread : crowd)
        thread.join();
      SleepFor(1);
      lab::Require([this] { return AllReady(); }, 15,
                   "the nodes are not ready again");
      SleepFor(3.5);
    }
    stop_ = true;
    for (std::thread& thread : threads)
      thread.join();
    int hosts = 0;
    for (size_t i = 0; i < kHosts; ++i) {
      hosts += ends_[i] >= kMaxEnds ? 1 : 0;
      record_.Line(nodes_[i]->options().name + ": peak of " +
                   std::to_string(peaks_[i]) + " MB resident, ended " +
                   std::to_string(ends_[i]) + " times");
    }
    record_.Line("ordinary requests: " + std::to_string(served_) + " served, " +
                 std::to_string(refused_) + " refused, " +
                 std::to_string(cut_) + " without an answer");
    bool broken = hosts >= 2;
    std::string result = "hosts on which the process ended three times: " +
                         std::to_string(hosts) +
                         " (at most 1): " + (broken ? "BROKEN" : "held");
    record_.Line(result);
    std::printf("%s\n", result.c_str());
    std::fflush(stdout);
    nodes_.clear();
    return broken ? 1 : 0;
  }

 private:
  bool AllReady() {
    std::lock_guard lock(mutex_);
    return std::ranges::all_of(
        nodes_, [](const auto& node) { return node->IsReady(); });
  }

  /// The platform: kills a process that exceeds the memory of its host, and
  /// starts processes that have ended.
  void Supervise(size_t host) {
    Node& node = *nodes_[host];
    while (!stop_) {
      SleepFor(0.02);
      std::lock_guard lock(mutex_);
      double resident = node.ResidentMb();
      peaks_[host] = std::max(peaks_[host], resident);
      if (resident > kMemoryMb) {
        record_.Line(node.options().name + " holds " +
                     std::to_string(resident) + " MB of " +
                     std::to_string(kMemoryMb) + " MB and is killed");
        node.Signal(SIGKILL);
        SleepFor(0.05);
      }
      if (!node.IsRunning()) {
        ++ends_[host];
        record_.Line(node.options().name + " has ended");
        SleepFor(kRestartDelay);
        node.Start();
      }
    }
  }

  void SendOrdinary(size_t host) {
    while (!stop_) {
      Answer answer =
          lab::Send(lab::Ip(static_cast<int>(host) + 1), lab::kCallerPort,
                    MakeRequest("/proofs/ordinary/work-50"), 6);
      ++(answer.status == 200 ? served_ : answer.status == 0 ? cut_ : refused_);
      SleepFor(0.2);
    }
  }

  void Press(const std::string& ip) {
    constexpr int kClients = kClientsPerHost / kThreadsPerHost;
    double leave_at = Now() + kStayTime;
    std::vector<int> clients;
    for (int i = 0; i < kClients; ++i) {
      int client = Connect(ip);
      if (client < 0)
        continue;
      std::string text;
      for (int k = 0; k < kAtOnce; ++k)
        text += Serialise(
            MakeRequest("/proofs/p" + std::to_string(k) + "/work-50"));
      ::send(client, text.data(), text.size(), MSG_NOSIGNAL);
      clients.push_back(client);
      ReadSome(clients, 0);
      SleepFor(kArrivalTime / kClients);
    }
    while (Now() < leave_at && !clients.empty())
      ReadSome(clients, lab::Trouble() ? kStep : 0.02);
    for (int client : clients)
      ::close(client);
  }

  /// Lets each client read once, and removes those whose connection has ended.
  void ReadSome(std::vector<int>& clients, double pause) {
    if (pause > 0)
      SleepFor(pause);
    else if (lab::Trouble())
      return;
    std::string bytes(lab::Trouble() ? kStepBytes : 262144, '\0');
    std::erase_if(clients, [&](int client) {
      ssize_t got = ::recv(client, bytes.data(), bytes.size(), 0);
      bool ended = got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
      if (ended)
        ::close(client);
      return ended;
    });
  }

  lab::Record record_;
  lab::Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::mutex mutex_;  ///< Guards the processes of the nodes.
  std::vector<int> ends_;
  std::vector<double> peaks_;
  std::atomic<int> served_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> cut_ = 0;
  std::atomic<bool> stop_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  auto instance = std::make_unique<Case>(argv[1], argv[2]);
  // The threads of the stand-ins end with this process.
  std::_Exit(instance.release()->Run());
}
