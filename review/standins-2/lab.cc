#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace lab {
namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
constexpr const char* kRequestIdField = "X-Comfreylock-Request-Id";

bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string FindField(const Fields& fields, const std::string& name) {
  for (const auto& [field, value] : fields) {
    if (SameName(field, name))
      return value;
  }
  return "";
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int socket, const std::string& text) {
  for (size_t sent = 0; sent < text.size();) {
    ssize_t bytes =
        ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (bytes <= 0)
      return false;
    sent += static_cast<size_t>(bytes);
  }
  return true;
}

/// Reads until the buffer holds `until`, or `size` bytes. @return false at the
/// end of the connection or at `deadline`.
bool Fill(int socket, std::string& buffer, double deadline) {
  double left = deadline - Now();
  pollfd state{socket, POLLIN, 0};
  if (left <= 0 || ::poll(&state, 1, static_cast<int>(left * 1000) + 1) <= 0)
    return false;
  char bytes[16384];
  ssize_t got = ::recv(socket, bytes, sizeof(bytes), 0);
  if (got <= 0)
    return false;
  buffer.append(bytes, static_cast<size_t>(got));
  return true;
}

/// Reads the head and the body, which has a length, of one message.
bool ReadMessage(int socket,
                 std::string& buffer,
                 double deadline,
                 std::string& first_line,
                 Fields& fields,
                 std::string& body) {
  size_t end;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(socket, buffer, deadline))
      return false;
  }
  std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  size_t at = head.find("\r\n");
  first_line = head.substr(0, at);
  for (at += 2; at < head.size();) {
    size_t line_end = head.find("\r\n", at);
    std::string line = head.substr(at, line_end - at);
    size_t colon = line.find(':');
    size_t value = line.find_first_not_of(' ', colon + 1);
    fields.emplace_back(line.substr(0, colon),
                        value == std::string::npos ? "" : line.substr(value));
    at = line_end + 2;
  }
  std::string length = FindField(fields, "Content-Length");
  size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer.size() < size) {
    if (!Fill(socket, buffer, deadline))
      return false;
  }
  body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

bool HasClosed(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

void Reset(int socket) {
  linger option{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

const char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (k < count ? static_cast<uint8_t>(bytes[i + k]) : uint32_t{0});
    for (size_t k = 0; k < 4; ++k)
      text += k <= count ? kBase64[group >> (18 - 6 * k) & 63] : '=';
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (char letter : text) {
    const char* found = letter == '=' ? nullptr : std::strchr(kBase64, letter);
    if (!found)
      continue;
    group = group << 6 | static_cast<uint32_t>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits);
    }
  }
  return bytes;
}

std::string Unescape(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string Parameter(const std::string& target, const std::string& name) {
  std::string query =
      "&" + target.substr(std::min(target.size(), target.find('?') + 1));
  size_t at = query.find("&" + name + "=");
  if (at == std::string::npos)
    return "";
  at += name.size() + 2;
  return Unescape(query.substr(at, query.find('&', at) - at));
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) {
  if (time > Now())
    SleepFor(time - Now());
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (!file_) {
    std::perror(path.c_str());
    std::_Exit(2);
  }
}

Record::~Record() {
  std::fclose(file_);
}

void Record::Line(const std::string& text) {
  std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", Now(), text.c_str());
  std::fflush(file_);
}

std::string Request::Field(const std::string& name) const {
  return FindField(fields, name);
}

std::string Answer::Field(const std::string& name) const {
  return FindField(fields, name);
}

Server::Server(std::string ip, int port, Handler handler)
    : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {}

Server::~Server() {
  Kill();
  for (std::thread& thread : acceptors_)
    thread.join();
}

void Server::Open() {
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip_, port_);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 512) != 0) {
    std::perror((ip_ + ":" + std::to_string(port_)).c_str());
    std::_Exit(2);
  }
  std::lock_guard lock(mutex_);
  listener_ = listener;
  acceptors_.emplace_back([this, listener] { Accept(listener); });
}

void Server::Kill() {
  std::lock_guard lock(mutex_);
  if (listener_ < 0)
    return;
  ::shutdown(listener_, SHUT_RDWR);
  listener_ = -1;
  for (int connection : connections_) {
    Reset(connection);
    ::shutdown(connection, SHUT_RDWR);
  }
}

void Server::Accept(int listener) {
  while (true) {
    int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      ::close(listener);
      return;
    }
    int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      std::lock_guard lock(mutex_);
      if (listener_ != listener) {
        Reset(connection);
        ::close(connection);
        continue;
      }
      connections_.insert(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void Server::Serve(int connection) {
  std::string buffer;
  while (true) {
    Request request;
    std::string line;
    if (!ReadMessage(connection, buffer, Now() + 60, line, request.fields,
                     request.body))
      break;
    size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.path = line.substr(space + 1, line.rfind(' ') - space - 1);
    auto answer =
        handler_(request, [connection] { return !HasClosed(connection); });
    if (!answer) {
      Reset(connection);
      break;
    }
    std::string text =
        "HTTP/1.1 " + std::to_string(answer->status) + " Status\r\n";
    for (const auto& [name, value] : answer->fields)
      text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(answer->body.size()) +
            "\r\n\r\n" + answer->body;
    if (!SendAll(connection, text))
      break;
  }
  {
    std::lock_guard lock(mutex_);
    connections_.erase(connection);
  }
  ::close(connection);
}

Answer Send(const std::string& ip,
            int port,
            const Request& request,
            double timeout) {
  Answer answer;
  double deadline = Now() + timeout;
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, port);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0) {
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields)
      text += name + ": " + value + "\r\n";
    if (request.method != "GET")
      text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n" + request.body;
    std::string buffer;
    std::string line;
    if (SendAll(socket, text) &&
        ReadMessage(socket, buffer, deadline, line, answer.fields, answer.body))
      answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
  }
  ::close(socket);
  return answer;
}

Store::Store(std::string ip, int port) {
  server_ = std::make_unique<Server>(
      std::move(ip), port,
      [this](const Request& request, const std::function<bool()>&) {
        return Handle(request);
      });
  server_->Open();
}

double Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard lock(mutex_);
  Write(key, value, 0);
  return Now();
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.lease = lease;
  if (item.created == 0)
    item.created = revision_;
  history_.push_back({revision_, key, false});
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  history_.push_back({++revision_, key, true});
  changed_.notify_all();
}

void Store::ExpireLeases() {
  std::vector<std::string> gone;
  for (const auto& [key, item] : items_) {
    auto lease = leases_.find(item.lease);
    if (item.lease != 0 &&
        (lease == leases_.end() || lease->second.first <= Now()))
      gone.push_back(key);
  }
  for (const std::string& key : gone)
    Remove(key);
  std::erase_if(leases_,
                [](const auto& lease) { return lease.second.first <= Now(); });
}

json Store::Encode(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

Answer Store::Reply(int status, const json& body) {
  Answer answer;
  answer.status = status;
  answer.fields = {{"Content-Type", "application/json"}};
  answer.body = body.dump();
  return answer;
}

std::optional<Answer> Store::Handle(const Request& request) {
  if (silent_) {
    // The caller's time-out ends the connection.
    SleepFor(10);
    return std::nullopt;
  }
  std::unique_lock lock(mutex_);
  ExpireLeases();
  std::string path = request.path.substr(0, request.path.find('?'));
  std::string last = path.substr(path.rfind('/') + 1);
  json body = json::parse(request.body, nullptr, false);
  if (path == "/v1/kv-key") {
    auto found = items_.find(Parameter(request.path, "key"));
    json reply = found == items_.end() ? json::object()
                                       : Encode(found->first, found->second);
    reply["as_of"] = revision_;
    return Reply(found == items_.end() ? 404 : 200, reply);
  }
  if (path == "/v1/kv-range") {
    std::string prefix = Parameter(request.path, "prefix");
    std::string after = Parameter(request.path, "after");
    json reply = {
        {"items", json::array()}, {"has_more", false}, {"as_of", revision_}};
    for (const auto& [key, item] : items_) {
      if (key.starts_with(prefix) && key > after)
        reply["items"].push_back(Encode(key, item));
    }
    return Reply(200, reply);
  }
  if (path == "/v1/kv-watch") {
    std::string prefix = Parameter(request.path, "prefix");
    int64_t after = std::stoll(Parameter(request.path, "after"));
    double deadline =
        Now() + std::stod(Parameter(request.path, "wait_ms")) / 1000;
    while (true) {
      json events = json::array();
      for (const Change& change : history_) {
        if (change.revision <= after || !change.key.starts_with(prefix))
          continue;
        auto item = items_.find(change.key);
        if (change.removed) {
          events.push_back({{"key", change.key},
                            {"revision", change.revision},
                            {"removed", true}});
        } else if (item != items_.end()) {
          events.push_back(Encode(change.key, item->second));
        }
      }
      if (!events.empty() || Now() >= deadline)
        return Reply(200, {{"events", events}, {"as_of", revision_}});
      changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
  }
  if (path == "/v1/kv-txn") {
    for (const json& row : body.at("expect")) {
      auto found = items_.find(row.at("key").get<std::string>());
      int64_t revision = found == items_.end() ? 0 : found->second.revision;
      if (revision != row.at("revision").get<int64_t>())
        return Reply(412, {{"items", json::array()}});
    }
    for (const json& row : body.at("writes")) {
      int64_t lease = row.value("lease", int64_t{0});
      if (lease != 0 && !leases_.contains(lease))
        return Reply(404, json::object());
    }
    for (const json& row : body.at("writes")) {
      Write(row.at("key").get<std::string>(),
            FromBase64(row.at("value").get<std::string>()),
            row.value("lease", int64_t{0}));
    }
    for (const json& key : body.at("deletes"))
      Remove(key.get<std::string>());
    return Reply(200, {{"revision", revision_}});
  }
  if (path == "/v1/kv-lease") {
    double length = body.at("ttl_ms").get<double>() / 1000;
    leases_[++last_lease_] = {Now() + length, length};
    return Reply(200, {{"lease", last_lease_}, {"ttl_ms", body.at("ttl_ms")}});
  }
  if (path.starts_with("/v1/kv-keep/")) {
    auto lease = leases_.find(std::stoll(last));
    if (lease == leases_.end())
      return Reply(404, json::object());
    lease->second.first = Now() + lease->second.second;
    return Reply(
        200, {{"ttl_ms", static_cast<int64_t>(lease->second.second * 1000)}});
  }
  if (path.starts_with("/v1/kv-lease-end/")) {
    leases_.erase(std::stoll(last));
    ExpireLeases();
    return Reply(200, json::object());
  }
  return Reply(404, json::object());
}

Target::Target(Options options,
               Observer on_run,
               Record& record,
               Observer on_end)
    : options_(std::move(options)),
      on_run_(std::move(on_run)),
      on_end_(std::move(on_end)),
      record_(record),
      server_(
          options_.ip,
          kTargetPort,
          [this](const Request& request, const std::function<bool()>& alive) {
            return Handle(request, alive);
          }) {
  Start();
  reporter_ = std::thread([this] { ReportLoop(); });
}

Target::~Target() {
  stopping_ = true;
  reporter_.join();
}

void Target::Start() {
  std::lock_guard lock(mutex_);
  ++starts_;
  id_ = "i-" + options_.ip + "-" + std::to_string(starts_);
  born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  sequence_ = 0;
  server_.Open();
  running_ = true;
  record_.Line("target " + id_ + " starts");
}

void Target::Crash() {
  std::lock_guard lock(mutex_);
  if (!running_)
    return;
  restart_at_ = Now() + options_.restart_delay;
  running_ = false;
  record_.Line("target " + id_ + " crashes");
  server_.Kill();
}

double Target::Leave() {
  left_ = true;
  Request leave{"POST", "", {{"Host", "node"}}, ""};
  {
    std::lock_guard lock(mutex_);
    leave.path = "/v1/Instances.Deregister/" + id_;
  }
  for (int i = 0; i < 5; ++i) {
    record_.Line("target " + leave.path.substr(leave.path.rfind('/') + 1) +
                 " deregisters");
    if (Send(options_.ip, kReportPort, leave, 1).status == 200) {
      record_.Line("its node confirms that it leaves");
      return Now();
    }
  }
  return -1;
}

void Target::Stop() {
  left_ = true;
  running_ = false;
  record_.Line("the target at " + options_.ip + " ends");
  server_.Kill();
}

void Target::ReportLoop() {
  double next_report = 0;
  while (!stopping_) {
    SleepFor(0.02);
    if (left_)
      continue;
    if (!running_ && Now() >= restart_at_) {
      Start();
      next_report = 0;
    }
    if (!running_ || Now() < next_report)
      continue;
    next_report = Now() + options_.report_interval;
    Request report{"POST", "", {}, ""};
    {
      std::lock_guard lock(mutex_);
      report.path = "/v1/Instances.Heartbeat/" + id_;
      report.body =
          json({{"service", options_.service},
                {"address", options_.ip + ":" + std::to_string(kTargetPort)},
                {"zone", options_.zone},
                {"version", "v1"},
                {"slots", options_.slots},
                {"state", "ready"},
                {"warmup_left_ms", 0},
                {"sequence", ++sequence_},
                {"born", born_}})
              .dump();
    }
    report.fields = {{"Host", "node"}, {"Content-Type", "application/json"}};
    if (Send(options_.ip, kReportPort, report, 1).status != 200)
      next_report = Now() + 0.2;
  }
}

std::optional<Answer> Target::Handle(const Request& request,
                                     const std::function<bool()>& alive) {
  std::string id;
  {
    std::lock_guard lock(mutex_);
    id = id_;
  }
  Answer answer;
  std::string expected = request.Field("X-Comfreylock-Expected-Instance");
  if (!expected.empty() && expected != id) {
    answer.status = 421;
    answer.fields = {{"X-Comfreylock-Instance-Id", id}};
    return answer;
  }
  on_run_(*this, request);
  if (!options_.crash_word.empty() &&
      request.path.find(options_.crash_word) != std::string::npos) {
    Crash();
    return std::nullopt;
  }
  // The work in milliseconds stands in the path: /.../work-50.
  size_t at = request.path.find("work-");
  double work = at == std::string::npos
                    ? 0.005
                    : std::atof(request.path.c_str() + at + 5) / 1000;
  for (double end = Now() + work; Now() < end;) {
    SleepFor(std::min(0.01, std::max(0.0, end - Now())));
    if (!alive()) {
      if (on_end_)
        on_end_(*this, request);
      return std::nullopt;
    }
  }
  if (on_end_)
    on_end_(*this, request);
  answer.status = 200;
  answer.fields = {{kRequestIdField, request.Field(kRequestIdField)},
                   {"X-Comfreylock-Server-Signature", "s." + id}};
  answer.body = "answer to " + request.Field(kRequestIdField);
  if (options_.answer_bytes > answer.body.size())
    answer.body.resize(options_.answer_bytes, 'x');
  return answer;
}

Node::Node(Options options) : options_(std::move(options)) {
  auto address = [this](int port) {
    return options_.ip + ":" + std::to_string(port);
  };
  json settings = {
      {"node", options_.name},
      {"service", options_.service},
      {"zone", options_.zone},
      {"target_address", address(kTargetPort)},
      {"caller_address", address(kCallerPort)},
      {"peer_address", address(kPeerPort)},
      {"readiness_address", address(kReadyPort)},
      {"report_address", address(kReportPort)},
      {"metrics_address", options_.ip},
      {"store_address", options_.store_ip + ":" + std::to_string(kStorePort)},
      {"report_interval_ms", 1500},
      {"memory_mb", options_.memory_mb},
      {"max_descriptors", 4100},
      {"bounds",
       {{"seed_lag_s", 3},
        {"addr_reuse_s", 2},
        {"contact_ms", 3000},
        {"ack_ms", 4000},
        {"catch_up_s", 4},
        {"drain_ms", 2000},
        {"grace_s", 6},
        {"loss_slack_ms", 200},
        {"config_apply_ms", 2000},
        {"rollback_slack_ms", 250},
        {"max_skew_ms", 5000},
        {"strict_revoke", true},
        {"revoke_ms", 5000},
        {"retry_budget_ratio", 0.2},
        {"retry_window_s", 10},
        {"retry_slack", 48},
        {"quota_window_s", 5},
        {"quota_overage", 0.1},
        {"quota_slack", 20},
        {"recovery_s", 15}}}};
  std::ofstream(options_.folder + "/" + options_.name + ".json")
      << settings.dump(1);
}

Node::~Node() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

void Node::Start() {
  runs_.emplace_back(Now(), 1e9);
  std::string setting =
      "COMFREYLOCK_SETTINGS=" + options_.folder + "/" + options_.name + ".json";
  std::string log = options_.folder + "/" + options_.name + ".log";
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    ::_exit(1);
  int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(output, 1);
  ::dup2(output, 2);
  char program[] = "target/bin/comfreylock-platform-node";
  char* arguments[] = {program, nullptr};
  char* environment[] = {setting.data(), nullptr};
  ::execve(program, arguments, environment);
  ::_exit(127);
}

double Node::Terminate() {
  double begin = Now();
  runs_.back().second = begin;
  ::kill(pid_, SIGTERM);
  while (Now() < begin + 6 && ::waitpid(pid_, nullptr, WNOHANG) == 0)
    SleepFor(0.01);
  if (Now() >= begin + 6) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  pid_ = -1;
  return Now() - begin;
}

void Node::Signal(int signal) {
  ::kill(pid_, signal);
}

bool Node::RanFor(double seconds, double time) const {
  return std::ranges::any_of(runs_, [=](const auto& run) {
    return run.first + seconds <= time && time <= run.second;
  });
}

bool Node::IsRunning() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = -1;
  return pid_ > 0;
}

bool Node::IsReady() const {
  Request question{"GET", "/v1/readiness", {{"Host", "node"}}, ""};
  return Send(options_.ip, kReadyPort, question, 1).status == 200;
}

double Node::ResidentMb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  double kilobytes = 0;
  while (status >> word) {
    if (word == "VmRSS:")
      status >> kilobytes;
  }
  return kilobytes / 1024;
}

std::string Ip(int host) {
  int process = static_cast<int>(::getpid());
  return "127." + std::to_string(64 + process / 250 % 64) + "." +
         std::to_string(1 + process % 250) + "." + std::to_string(host);
}

std::string NewRequestId() {
  static std::atomic<uint64_t> count = 0;
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08llx",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned long long>(++count));
  return text;
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

void Require(const std::function<bool()>& condition,
             double seconds,
             const std::string& what) {
  for (double end = Now() + seconds; Now() < end; SleepFor(0.05)) {
    if (condition())
      return;
  }
  std::fprintf(stderr, "the case could not run: %s\n", what.c_str());
  std::_Exit(2);
}

}  // namespace lab
