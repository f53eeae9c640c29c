#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>
#include <utility>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standin_target.h"

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "IP:PORT to listen on.");
ABSL_FLAG(std::string, name, "target", "Name of the target in its answers.");
ABSL_FLAG(int, slots, 50, "Requests that run at a time; others wait.");
ABSL_FLAG(uint32_t,
          queue,
          0,
          "Requests that may wait; further ones get 503. 0: no limit.");
ABSL_FLAG(double,
          service_ms,
          2,
          "Mean service time of a request, milliseconds.");
ABSL_FLAG(std::string,
          distribution,
          "constant",
          "Service times: constant or exponential.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of exponential service times.");
ABSL_FLAG(int,
          cold_start_ms,
          0,
          "Time after the start during which service times fall to normal, "
          "milliseconds.");
ABSL_FLAG(std::string,
          crash_on,
          "",
          "The process exits with 3 on a request whose path or body contains "
          "this word.");
ABSL_FLAG(std::string,
          onward,
          "",
          "IP:PORT for onward calls; empty: none are made.");
ABSL_FLAG(std::string, onward_path, "", "Path of onward calls.");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  namespace standins = comfreylock::standins;
  std::string distribution = absl::GetFlag(FLAGS_distribution);
  if (distribution != "constant" && distribution != "exponential") {
    std::cerr << "--distribution: \"" << distribution
              << "\" is not constant or exponential\n";
    return 2;
  }
  if (absl::GetFlag(FLAGS_slots) < 1) {
    std::cerr << "--slots: " << absl::GetFlag(FLAGS_slots)
              << " is less than 1\n";
    return 2;
  }
  standins::TargetOptions options;
  options.name = absl::GetFlag(FLAGS_name);
  options.slots = absl::GetFlag(FLAGS_slots);
  options.max_queued = absl::GetFlag(FLAGS_queue);
  options.service_ms = absl::GetFlag(FLAGS_service_ms);
  options.exponential = distribution == "exponential";
  options.seed = absl::GetFlag(FLAGS_seed);
  options.cold_start =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms));
  options.crash_on = absl::GetFlag(FLAGS_crash_on);
  options.onward = absl::GetFlag(FLAGS_onward);
  options.onward_path = absl::GetFlag(FLAGS_onward_path);
  comfreylock::asio::io_context context(1);
  standins::StandinTarget target(context, std::move(options));
  // asio::detached would hide errors such as an address already in use.
  auto rethrow = [](std::exception_ptr error) {
    if (error)
      std::rethrow_exception(error);
  };
  comfreylock::asio::co_spawn(
      context,
      standins::Serve(context, absl::GetFlag(FLAGS_address),
                      [&target](standins::Exchange& exchange) {
                        return target.Handle(exchange);
                      }),
      rethrow);
  try {
    context.run();
  } catch (const std::exception& error) {
    std::cerr << "standin-target: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
