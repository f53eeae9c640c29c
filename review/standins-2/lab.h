#ifndef COMFREYLOCK_REVIEW_STANDINS_2_LAB_H_
#define COMFREYLOCK_REVIEW_STANDINS_2_LAB_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

/// Stand-ins for the platform's store, for targets and for callers, and the
/// means to start nodes as processes. Written from the platform's pages, for
/// the scripts in `review/`. All addresses are loopback addresses.
namespace lab {

/// @return seconds since the start of this program, by the steady clock.
double Now();
void SleepFor(double seconds);
void SleepUntil(double time);

/// Writes one line, with its time, to the record of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method;
  std::string path;
  Fields fields;
  std::string body;
  std::string Field(const std::string& name) const;
};

struct Answer {
  int status = 0;  ///< 0: the connection ended without an answer.
  Fields fields;
  std::string body;
  std::string Field(const std::string& name) const;
};

/// HTTP/1.1 server with one thread for each connection.
class Server {
 public:
  /// Handles one request. `alive` returns false once the client has closed the
  /// connection. Without a result, the connection is reset.
  using Handler =
      std::function<std::optional<Answer>(const Request&,
                                          const std::function<bool()>& alive)>;

  Server(std::string ip, int port, Handler handler);
  ~Server();
  void Open();
  /// Ends as a killed process does: the listener and all connections close.
  void Kill();

 private:
  void Accept(int listener);
  void Serve(int connection);

  std::string ip_;
  int port_;
  Handler handler_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> connections_;
  std::vector<std::thread> acceptors_;
};

/// Sends one request on a new connection and waits for its answer.
Answer Send(const std::string& ip,
            int port,
            const Request& request,
            double timeout);

/// Store of the platform: items, watches, transactions and leases.
class Store {
 public:
  Store(std::string ip, int port);
  /// Writes as the operator does.
  /// @return time of the confirmation.
  double Put(const std::string& key, const std::string& value);
  /// While silent, the store answers no call, and carries none out.
  void SetSilent(bool silent) { silent_ = silent; }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Change {
    int64_t revision;
    std::string key;
    bool removed;
  };

  std::optional<Answer> Handle(const Request& request);
  Answer Reply(int status, const nlohmann::json& body);
  nlohmann::json Encode(const std::string& key, const Item& item);
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<int64_t, std::pair<double, double>> leases_;  ///< End, length.
  int64_t revision_ = 1;
  int64_t last_lease_ = 0;
  std::atomic<bool> silent_ = false;
  std::unique_ptr<Server> server_;
};

/// A target (upstream) that reports to the node beside it.
class Target {
 public:
  struct Options {
    std::string ip;
    std::string service;
    std::string zone;
    int slots = 50;
    double report_interval = 1.5;
    double restart_delay = 2;  ///< Time from a crash to the next start.
    /// A request whose path contains this word crashes the target; empty: none.
    std::string crash_word;
    size_t answer_bytes = 0;  ///< Size of the answers; 0: a short text.
  };
  /// Called when a request begins to run, or when its run ends.
  using Observer = std::function<void(const Target&, const Request&)>;

  /// @param on_end may be null.
  Target(Options options,
         Observer on_run,
         Record& record,
         Observer on_end = nullptr);
  ~Target();
  /// Deregisters, without a body, until the node confirms, and reports no more.
  /// The target goes on serving.
  /// @return time of the confirmation, or a negative number if there was none.
  double Leave();
  /// Ends the target.
  void Stop();
  const std::string& ip() const { return options_.ip; }

 private:
  void Start();
  void Crash();
  void ReportLoop();
  std::optional<Answer> Handle(const Request& request,
                               const std::function<bool()>& alive);

  Options options_;
  Observer on_run_;
  Observer on_end_;
  Record& record_;
  std::mutex mutex_;
  std::string id_;
  int64_t born_ = 0;
  int sequence_ = 0;
  int starts_ = 0;
  std::atomic<bool> running_ = false;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> left_ = false;
  std::atomic<double> restart_at_ = 0;
  Server server_;
  std::thread reporter_;
};

constexpr int kTargetPort = 8547;
constexpr int kCallerPort = 8548;
constexpr int kPeerPort = 8543;
constexpr int kReadyPort = 8546;
constexpr int kReportPort = 8540;
constexpr int kStorePort = 8545;

/// A node, run by the command of the deploy file.
class Node {
 public:
  struct Options {
    std::string name;
    std::string ip;
    std::string service;
    std::string zone;
    std::string store_ip;
    std::string folder;  ///< For settings and log.
    int memory_mb = 260;
  };
  explicit Node(Options options);
  ~Node();
  void Start();
  /// @return seconds until the process had ended.
  double Terminate();
  void Signal(int signal);
  bool IsReady() const;
  /// @return resident memory in MB, 0 if the process has ended.
  double ResidentMb() const;
  /// @return whether the process runs.
  bool IsRunning();
  /// @return whether it ran without interruption for `seconds` before `time`.
  bool RanFor(double seconds, double time) const;
  const Options& options() const { return options_; }

 private:
  Options options_;
  int pid_ = -1;
  /// Starts and ends of its processes. A stop or SIGTERM counts as an end.
  std::vector<std::pair<double, double>> runs_;
};

/// @return address 127.A.B.`host` of the subnet that this process uses.
std::string Ip(int host);
std::string NewRequestId();
bool Trouble();
/// Waits until the condition holds. Ends the process with 2 if it does not in
/// time, since the case could not run then.
void Require(const std::function<bool()>& condition,
             double seconds,
             const std::string& what);

}  // namespace lab

#endif  // COMFREYLOCK_REVIEW_STANDINS_2_LAB_H_
