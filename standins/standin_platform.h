#ifndef COMFREYLOCK_STANDIN_PLATFORM_H_
#define COMFREYLOCK_STANDIN_PLATFORM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "mesh/http_client.h"
#include "mesh/http_server.h"

/// Stand-ins for two parts of the users' platform, written from its published
/// documentation: the metadata store, and targets that report to the node
/// beside them. For tests and demos on loopback.
namespace comfreylock::platform_standins {

/// The metadata store: keys with revisions, watches, transactions and leases.
class PlatformStoreStandin {
 public:
  PlatformStoreStandin(boost::asio::io_context& context,
                       const std::string& address);

  /// Writes a key without a lease, as operators do.
  void Put(const std::string& key, const std::string& value);

  /// Deletes a key, as operators do.
  void Delete(const std::string& key);

  /// @return the value, or an empty string.
  std::string Get(const std::string& key) const;

  /// Sets the status of the answers to all further requests, which are not
  /// carried out; 0: they are served.
  void SetFailure(int status) { failure_status_ = status; }

  /// The next `count` transactions that succeed are carried out, but their
  /// answers are not sent.
  void LoseAnswers(int count) { answers_to_lose_ = count; }

  /// Sets the era that all responses report; 0: none is reported.
  void SetEra(uint64_t era) { era_ = era; }

  /// Keeps a copy of all keys, for `RestoreCopy`.
  void SaveCopy();

  /// Performs the operators' drill: refuses all requests with 503 for `outage`,
  /// then returns to the copy in the next era. All leases and their keys are
  /// lost. Revisions and leases are assigned again from those of the copy.
  void RestoreCopy(std::chrono::milliseconds outage);

  /// Discards the history of changes; watches from earlier revisions get 410.
  void Compact();

  int writes() const { return writes_; }
  int reads() const { return reads_; }
  int grants() const { return grants_; }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;  ///< Revision at which the key was created.
    int64_t lease = 0;
  };
  struct Change {
    std::string key;
    int64_t revision = 0;
    bool removed = false;
  };
  struct PendingWatch {
    CallId call;
    std::string prefix;
    int64_t after_revision = 0;
    std::chrono::steady_clock::time_point answer_deadline;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    std::chrono::steady_clock::time_point expires_at;
  };

  /// What a copy of the store contains.
  struct Copy {
    std::map<std::string, Item> items;
    int64_t revision = 1;
    int64_t last_lease = 0;
  };

  void OnRequest(CallId call, const mesh::HttpRequest& request);
  void OnKey(CallId call, const std::string& query);
  void OnRange(CallId call, const std::string& query);
  void OnWatch(CallId call, const std::string& query);
  void OnTransaction(CallId call, const nlohmann::json& body);
  /// Carries out a transaction if its conditions hold.
  /// @return the status of the response.
  int RunTransaction(const nlohmann::json& body);
  void FinishRestore();
  void Answer(CallId call, int status, const nlohmann::json& body);
  nlohmann::json ItemToJson(const std::string& key, const Item& item) const;
  nlohmann::json EventsAfter(const std::string& prefix, int64_t after) const;
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Remove(const std::string& key);
  /// Answers the watches that have events or whose time is over.
  void ServeWatches();
  /// Expires leases and answers watches, every kTickInterval.
  void Tick();

  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::vector<PendingWatch> pending_watches_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t oldest_revision_ = 1;
  int64_t last_lease_ = 0;
  uint64_t era_ = 0;
  Copy copy_;
  /// End of the outage of a drill in progress.
  std::optional<std::chrono::steady_clock::time_point> restored_at_;
  int failure_status_ = 0;
  int answers_to_lose_ = 0;
  int writes_ = 0;
  int reads_ = 0;
  int grants_ = 0;
  boost::asio::steady_timer timer_;
  mesh::HttpServer server_;
};

/// Behaviour of a target stand-in.
struct TargetBehaviour {
  std::chrono::milliseconds service_time{5};
  bool sheds = false;            ///< Answers 503 without running the request.
  bool omits_signature = false;  ///< Omits X-Comfreylock-Server-Signature.
  bool fails = false;            ///< Runs the request, answers 500 and closes.
  std::string state = "ready";   ///< In the reports to the node.
  size_t answer_bytes = 0;       ///< Size of the answers; 0: a short text.
};

/// A target that reports to the node beside it.
class PlatformTargetStandin {
 public:
  PlatformTargetStandin(boost::asio::io_context& context,
                        std::string id,
                        std::string service,
                        const std::string& address,
                        const std::string& report_address);

  void SetBehaviour(TargetBehaviour behaviour) { behaviour_ = behaviour; }

  using Observer = std::function<void(const std::string& event,
                                      const mesh::HttpRequest& request)>;

  /// @param observer called with "ran" for each request that runs, and with
  ///     "left" when the node accepts the deregistration.
  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  /// Sets the address in further reports; the default is the listener's.
  void SetReportedAddress(std::string address) {
    address_ = std::move(address);
  }

  /// Sends a report (heartbeat) now.
  void Report();

  /// Stops the periodic reports and deregisters, with an empty body.
  void Deregister();

  /// @return number of runs by request id.
  const std::map<std::string, int>& runs() const { return runs_; }

  /// @return header fields of the last request that ran.
  const mesh::Fields& last_fields() const { return last_fields_; }

 private:
  void OnRequest(CallId call, mesh::HttpRequest request);
  void ReportPeriodically();

  boost::asio::io_context& context_;
  std::string id_;
  std::string service_;
  std::string address_;
  uint64_t sequence_ = 0;
  uint64_t started_at_ms_;
  TargetBehaviour behaviour_;
  Observer observer_;
  std::map<std::string, int> runs_;
  mesh::Fields last_fields_;
  mesh::HttpServer server_;
  mesh::HttpClient reporter_;
  boost::asio::steady_timer timer_;
};

}  // namespace comfreylock::platform_standins

#endif  // COMFREYLOCK_STANDIN_PLATFORM_H_
