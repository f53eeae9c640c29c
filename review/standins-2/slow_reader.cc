/// Clients that keep a connection, send further idempotent requests before the
/// first is answered, and read the answers slowly but steadily. The rule: a
/// host in touch passes a request from a kept connection on to a sound target
/// and closes that connection without an answer at most three times.
///
///   slow_reader RECORD FOLDER
///
/// TROUBLE=0: the clients read as fast as they can.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>

#include "lab.h"

namespace {

using lab::Node;
using lab::Now;
using lab::Request;
using lab::SleepFor;
using lab::Target;

constexpr int kHosts = 3;
constexpr int kClientsPerHost = 2;
/// After a first request on its connection, a client sends this many further
/// ones, one each `kInterval`, without waiting for the answers.
constexpr int kFurther = 40;
constexpr double kInterval = 0.05;
constexpr size_t kAnswerBytes = 36000;
/// For this time a slow client reads `kStepBytes` each `kStep`; then it reads
/// as fast as it can.
constexpr double kSlowTime = 7;
constexpr size_t kStepBytes = 1000;
constexpr double kStep = 0.5;
constexpr double kPatience = 20;
constexpr int kMaxClosed = 3;
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

class Client {
 public:
  Client(int host, int number, lab::Record& record)
      : record_(record),
        name_("client " + std::to_string(number) + " at node-" +
              std::to_string(host)) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (lab::Trouble()) {
      // A network with small segments and a small window, as over a phone.
      int size = 4096;
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
      int segment = 1460;
      ::setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(lab::kCallerPort);
    inet_pton(AF_INET, lab::Ip(host).c_str(), &address.sin_addr);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) != 0) {
      std::perror("connect");
      std::_Exit(2);
    }
  }

  void Run() {
    SendRequest();
    Read(1, Now() + 10, false);
    double slow_until = Now() + (lab::Trouble() ? kSlowTime : 0);
    double next_step = Now();
    for (int i = 0; i < kFurther; ++i) {
      SendRequest();
      double end = Now() + kInterval;
      if (!lab::Trouble())
        Read(1 + kFurther, end, false);
      lab::SleepUntil(end);
      if (lab::Trouble() && Now() >= next_step) {
        next_step = Now() + kStep;
        ReadOnce(kStepBytes);
      }
    }
    Read(1 + kFurther, slow_until, true);
    Read(1 + kFurther, Now() + kPatience, false);
    record_.Line(name_ + " has " + std::to_string(answered_) +
                 " whole answers to " + std::to_string(ids_.size()) +
                 " requests" + (closed_ ? "; the node has closed" : ""));
    ::close(socket_);
  }

  /// @return requests without a whole answer on a connection that the node has
  /// closed.
  std::vector<std::string> Unanswered() const {
    if (!closed_)
      return {};
    return {ids_.begin() + answered_, ids_.end()};
  }

 private:
  void SendRequest() {
    if (closed_)
      return;
    ids_.push_back(lab::NewRequestId());
    record_.Line(name_ + " sends " + ids_.back());
    std::string text = "GET /proofs/p" + std::to_string(ids_.size()) +
                       "/work-20 HTTP/1.1\r\nHost: label.example\r\n"
                       "X-Comfreylock-Request-Id: " +
                       ids_.back() +
                       "\r\nX-Comfreylock-Request-Deadline: 5000\r\n"
                       "X-Comfreylock-Credential: " +
                       kKey + "\r\n\r\n";
    ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  /// Reads until `answers` were received in all, or until `deadline`.
  void Read(int answers, double deadline, bool slowly) {
    while (!closed_ && answered_ < answers && Now() < deadline) {
      if (slowly)
        SleepFor(std::min(kStep, std::max(0.0, deadline - Now())));
      ReadOnce(slowly ? kStepBytes : 65536);
    }
  }

  void ReadOnce(size_t size) {
    pollfd state{socket_, POLLIN, 0};
    if (closed_ || ::poll(&state, 1, 20) <= 0)
      return;
    std::string bytes(size, '\0');
    ssize_t got = ::recv(socket_, bytes.data(), size, 0);
    if (got <= 0) {
      closed_ = true;
      record_.Line(name_ + " sees its connection " +
                   (got == 0 ? "closed" : "reset"));
      return;
    }
    input_.append(bytes, 0, static_cast<size_t>(got));
    Parse();
  }

  void Parse() {
    while (true) {
      size_t end = input_.find("\r\n\r\n");
      if (end == std::string::npos)
        return;
      size_t length = input_.find("Content-Length: ");
      size_t size = std::strtoul(input_.c_str() + length + 16, nullptr, 10);
      if (length > end || input_.size() < end + 4 + size)
        return;
      record_.Line(name_ + " has the whole answer to " +
                   ids_[static_cast<size_t>(answered_)] + ": " +
                   input_.substr(9, 3));
      input_.erase(0, end + 4 + size);
      ++answered_;
    }
  }

  lab::Record& record_;
  std::string name_;
  int socket_;
  std::vector<std::string> ids_;
  std::string input_;
  int answered_ = 0;
  bool closed_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  lab::Record& record = *new lab::Record(argv[1]);
  auto* store = new lab::Store(lab::Ip(250), lab::kStorePort);
  store->Put("op/config", Config());
  auto& ran_mutex = *new std::mutex;
  auto& ran = *new std::set<std::string>;
  auto on_run = [&](const Target& target, const Request& request) {
    std::string id = request.Field("X-Comfreylock-Request-Id");
    record.Line(id + " begins to run on the target at " + target.ip());
    std::lock_guard lock(ran_mutex);
    ran.insert(id);
  };
  std::vector<std::unique_ptr<Node>> nodes;
  auto& targets = *new std::vector<std::unique_ptr<Target>>;
  for (int i = 1; i <= kHosts; ++i) {
    nodes.push_back(std::make_unique<Node>(
        Node::Options{"node-" + std::to_string(i), lab::Ip(i), "proofdesk",
                      "zone-a", lab::Ip(250), argv[2]}));
    nodes.back()->Start();
    Target::Options options;
    options.ip = lab::Ip(i);
    options.service = "proofdesk";
    options.zone = "zone-a";
    options.slots = 55;
    options.answer_bytes = kAnswerBytes;
    targets.push_back(std::make_unique<Target>(options, on_run, record));
  }
  lab::Require(
      [&] {
        return std::ranges::all_of(
            nodes, [](const auto& node) { return node->IsReady(); });
      },
      15, "the nodes are not ready");
  SleepFor(4.5);
  std::vector<Client> clients;
  for (int i = 0; i < kHosts * kClientsPerHost; ++i)
    clients.emplace_back(i % kHosts + 1, i + 1, record);
  std::vector<std::thread> threads;
  for (Client& client : clients)
    threads.emplace_back([&client] { client.Run(); });
  for (std::thread& thread : threads)
    thread.join();
  int count = 0;
  for (const Client& client : clients) {
    for (const std::string& id : client.Unanswered()) {
      std::lock_guard lock(ran_mutex);
      count += ran.contains(id) ? 1 : 0;
    }
  }
  bool alive = std::ranges::all_of(
      nodes, [](const auto& node) { return node->IsRunning(); });
  std::string result =
      "requests that a target ran and whose connection was closed without an "
      "answer: " +
      std::to_string(count) + " (at most " + std::to_string(kMaxClosed) +
      "): " + (count > kMaxClosed ? "BROKEN" : "held") +
      (alive ? "" : "; a node has ended");
  record.Line(result);
  std::printf("%s\n", result.c_str());
  nodes.clear();
  std::fflush(stdout);
  std::_Exit(count > kMaxClosed ? 1 : 0);
}
