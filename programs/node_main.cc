#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "comfreylock/types.h"
#include "log_writer.h"
#include "settings.h"
#include "shell.h"

ABSL_FLAG(std::string, settings, "", "Settings file, JSON with comments.");

namespace {

constexpr int kExitBadInput = 2;

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "The comfreylock node: one small process beside each target.\n"
      "Example: comfreylock-node --settings=node.json");
  absl::ParseCommandLine(argc, argv);
  try {
    std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty())
      throw comfreylock::InputError("--settings: is missing; a file name");
    auto settings =
        comfreylock::ParseNodeSettings(comfreylock::ReadFile(path), path);
    comfreylock::OpenLog(settings.log_file);
    comfreylock::Shell shell(std::move(settings));
    shell.Run();
  } catch (const comfreylock::InputError& error) {
    std::cerr << "comfreylock-node: " << error.what() << "\n";
    return kExitBadInput;
  } catch (const std::exception& error) {
    std::cerr << "comfreylock-node: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
