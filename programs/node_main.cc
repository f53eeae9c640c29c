#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "comfreylock/log_event.h"
#include "comfreylock/types.h"
#include "flag_names.h"
#include "log_writer.h"
#include "node_runtime.h"
#include "settings.h"

ABSL_FLAG(std::string, settings, "", "Settings file, JSON with comments.");
ABSL_FLAG(bool,
          print_defaults,
          false,
          "Print the settings that have a default, and exit.");
ABSL_FLAG(bool, print_log_events, false, "Print docs/log-events.md, and exit.");

namespace {

constexpr int kExitBadInput = 2;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "The comfreylock node: one small process beside each target.\n"
      "Example: comfreylock-node --settings=node.json");
  std::vector<std::string> arguments;
  for (int i = 0; i < argc; ++i)
    arguments.push_back(comfreylock::NormaliseFlag(argv[i]));
  std::vector<char*> pointers;
  for (auto& argument : arguments)
    pointers.push_back(argument.data());
  absl::ParseCommandLine(argc, pointers.data());
  if (absl::GetFlag(FLAGS_print_defaults)) {
    std::cout << comfreylock::DefaultSettingsText();
    return 0;
  }
  if (absl::GetFlag(FLAGS_print_log_events)) {
    std::cout << comfreylock::LogCatalogueMarkdown();
    return 0;
  }
  try {
    std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
      throw comfreylock::InputError(
          "--settings: is missing; allowed: a file name");
    auto settings =
        comfreylock::ParseNodeSettings(comfreylock::ReadFile(path), path);
    comfreylock::OpenLog(settings.log_file);
    comfreylock::NodeRuntime runtime(std::move(settings));
    runtime.Run();
  } catch (const comfreylock::InputError& error) {
    std::cerr << "comfreylock-node: " << error.what() << "\n";
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "comfreylock-node: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
