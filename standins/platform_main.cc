#include <unistd.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>

#include "standin_platform.h"

ABSL_FLAG(std::string, role, "", "store or target.");
ABSL_FLAG(std::string, address, "127.0.0.1:8545", "IP:PORT to listen on.");
ABSL_FLAG(std::string,
          control,
          "",
          "IP:PORT of POST /faults, for a store: {\"status\": 503, \"lose\": "
          "2, \"compact\": true, \"copy\": true, \"restore_ms\": 300}. "
          "restore_ms returns to the last copy after that time. Empty: none.");
ABSL_FLAG(uint64_t,
          era,
          0,
          "Era that a store reports; each restore raises it. 0: none.");
ABSL_FLAG(std::string, id, "i-1", "Id of the target.");
ABSL_FLAG(std::string, service, "shop", "Service of the target.");
ABSL_FLAG(std::string,
          reported_address,
          "",
          "IP:PORT that the target reports; empty: --address.");
ABSL_FLAG(std::string,
          report_to,
          "",
          "IP:PORT at which the node beside the target receives reports.");
ABSL_FLAG(int,
          work_ms,
          5,
          "Service time of a request at the target, milliseconds.");
ABSL_FLAG(uint32_t,
          answer_bytes,
          0,
          "Size of a target's answers, bytes; 0: a short text.");
ABSL_FLAG(
    int,
    leave_ms,
    3000,
    "Time for which the target still serves after SIGTERM, milliseconds.");

namespace comfreylock::platform_standins {
namespace {

constexpr int kUsageError = 2;
constexpr int kBadRequest = 400;

int RunStore(boost::asio::io_context& context) {
  PlatformStoreStandin store(context, absl::GetFlag(FLAGS_address));
  store.SetEra(absl::GetFlag(FLAGS_era));
  std::unique_ptr<mesh::HttpServer> control;
  auto on_request = [&](CallId call, const mesh::HttpRequest& request) {
    mesh::HttpAnswer answer;
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      answer.status = kBadRequest;
    } else {
      store.SetFailure(body.value("status", 0));
      store.LoseAnswers(body.value("lose", 0));
      if (body.value("compact", false))
        store.Compact();
      if (body.value("copy", false))
        store.SaveCopy();
      if (body.contains("restore_ms"))
        store.RestoreCopy(
            std::chrono::milliseconds(body.value("restore_ms", 0)));
    }
    control->Respond(call, std::move(answer));
  };
  if (!absl::GetFlag(FLAGS_control).empty()) {
    control = std::make_unique<mesh::HttpServer>(
        context,
        mesh::HttpServer::Handlers{on_request, [](CallId) {},
                                   [] { return mesh::CallerLimits(); }});
    control->Listen(absl::GetFlag(FLAGS_control));
  }
  context.run();
  return 0;
}

/// Writes one JSON line for each event, with the time of the steady clock,
/// which all processes of a host share.
void PrintEvent(const std::string& event, const mesh::HttpRequest& request) {
  using std::chrono::microseconds;
  auto now = std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  nlohmann::json line = {{"event", event},
                         {"time_us", now.count()},
                         {"target", absl::GetFlag(FLAGS_id)},
                         {"path", request.request_target}};
  for (const auto& [name, value] : request.fields)
    line["fields"][name] = value;
  std::string text = line.dump() + "\n";
  // Exits if the line cannot be written: the checks that read it would count
  // too few runs.
  for (size_t offset = 0; offset < text.size();) {
    ssize_t written =
        ::write(STDOUT_FILENO, text.data() + offset, text.size() - offset);
    if (written <= 0) {
      std::perror("standin-platform: standard output");
      std::_Exit(1);
    }
    offset += static_cast<size_t>(written);
  }
}

int RunTarget(boost::asio::io_context& context) {
  PlatformTargetStandin target(
      context, absl::GetFlag(FLAGS_id), absl::GetFlag(FLAGS_service),
      absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_report_to));
  target.SetBehaviour(
      {.service_time = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms)),
       .answer_bytes = absl::GetFlag(FLAGS_answer_bytes)});
  target.SetObserver(PrintEvent);
  if (!absl::GetFlag(FLAGS_reported_address).empty())
    target.SetReportedAddress(absl::GetFlag(FLAGS_reported_address));
  boost::asio::signal_set signals(context, SIGTERM);
  boost::asio::steady_timer exit_timer(context);
  signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
    if (error)
      return;
    target.Deregister();
    exit_timer.expires_after(
        std::chrono::milliseconds(absl::GetFlag(FLAGS_leave_ms)));
    exit_timer.async_wait(
        [&](boost::system::error_code /*error*/) { context.stop(); });
  });
  context.run();
  return 0;
}

int Main() {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  const std::string role = absl::GetFlag(FLAGS_role);
  try {
    if (role == "store")
      return RunStore(context);
    if (role == "target")
      return RunTarget(context);
  } catch (const std::exception& error) {
    std::cerr << "standin-platform: " << error.what() << '\n';
    return 1;
  }
  std::cerr << "--role: \"" << role << "\" is not store or target\n";
  return kUsageError;
}

}  // namespace
}  // namespace comfreylock::platform_standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return comfreylock::platform_standins::Main();
}
