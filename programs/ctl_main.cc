#include <iostream>
#include <map>
#include <string>

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include "comfreylock/types.h"
#include "ctl/ctl.h"
#include "flag_names.h"

ABSL_FLAG(
    std::string,
    settings,
    "",
    "Settings file of this program, JSON with comments; the default is the "
    "environment variable COMFREYLOCK_CTL_SETTINGS.");
ABSL_FLAG(std::string, sign_with, "", "Key file of the operator who signs.");
ABSL_FLAG(std::string,
          approve_with,
          "",
          "Key file of another operator: signs off and rolls immediately.");
ABSL_FLAG(bool, json, false, "Print JSON.");

namespace {

using comfreylock::InputError;
using comfreylock::ctl::Session;

// Exit codes; see docs/reference.md.
constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitRefused = 3;

constexpr char kUsage[] =
    "Checks, reviews and rolls bundles, and shows the state of a fleet.\n"
    "  check FILE...            checks settings or bundles, prints all errors\n"
    "  operator-key NAME        makes a signing key pair, shown once\n"
    "  propose FILE             signs a bundle and proposes it\n"
    "  review ID                shows differences from the bundle in force\n"
    "  sign-off ID              adds the signature of another operator\n"
    "  roll ID                  puts a proposal into force\n"
    "  history                  lists versions that were in force\n"
    "  key issue ORGANISATION   proposes a new key, shown once\n"
    "  key withdraw KEY-ID      proposes to withdraw a key\n"
    "  key list                 lists keys in force\n"
    "  status                   shows the state of all nodes\n"
    "  explain REQUEST-ID       shows recorded decisions about a request\n"
    "  drain IP:PORT            starts a graceful shutdown of one node\n"
    "Exit codes: 0 done, 1 failed, 2 bad input, 3 refused.\n"
    "Example: comfreylock-ctl propose bundle.json --sign-with=anna.json";

using Command = void (*)(Session&);
const std::map<std::string, Command, std::less<>> kCommands = {
    {"check", comfreylock::ctl::Check},
    {"operator-key", comfreylock::ctl::OperatorKey},
    {"propose", comfreylock::ctl::Propose},
    {"review", comfreylock::ctl::Review},
    {"sign-off", comfreylock::ctl::SignOff},
    {"roll", comfreylock::ctl::Roll},
    {"history", comfreylock::ctl::History},
    {"key", comfreylock::ctl::Key},
    {"status", comfreylock::ctl::Status},
    {"explain", comfreylock::ctl::Explain},
    {"drain", comfreylock::ctl::Drain},
};

std::string CommandNames() {
  std::string names;
  for (const auto& [name, command] : kCommands)
    names += (names.empty() ? "" : ", ") + name;
  return names;
}

/// Checks flag names before Abseil parses them, because Abseil exits with 1 on
/// an unknown flag and this program exits with 2 on bad input.
/// @return the arguments, with underscores in flag names.
std::vector<std::string> CheckedArguments(int argc, char** argv) {
  std::vector<std::string> arguments;
  for (int i = 0; i < argc; ++i) {
    std::string argument = comfreylock::NormaliseFlag(argv[i]);
    if (i > 0 && argument.starts_with("--") && argument.size() > 2) {
      size_t equals = std::min(argument.find('='), argument.size());
      if (!absl::FindCommandLineFlag(argument.substr(2, equals - 2))) {
        throw InputError(std::string(argv[i]) +
                         ": is unknown; allowed: --settings, --sign-with, "
                         "--approve-with, --json, --help");
      }
    }
    arguments.push_back(std::move(argument));
  }
  return arguments;
}

void Run(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--help") {
      std::cout << absl::ProgramUsageMessage() << "\n";
      return;
    }
  }
  auto arguments = CheckedArguments(argc, argv);
  std::vector<char*> pointers;
  for (auto& argument : arguments)
    pointers.push_back(argument.data());
  auto positional = absl::ParseCommandLine(static_cast<int>(pointers.size()),
                                           pointers.data());
  if (positional.size() < 2)
    throw InputError("the subcommand is missing; allowed: " + CommandNames());
  auto command = kCommands.find(std::string_view(positional[1]));
  if (command == kCommands.end()) {
    throw InputError("subcommand " + std::string(positional[1]) +
                     " is unknown; allowed: " + CommandNames());
  }
  comfreylock::ctl::Options options;
  options.arguments.assign(positional.begin() + 2, positional.end());
  options.settings = absl::GetFlag(FLAGS_settings);
  options.sign_with = absl::GetFlag(FLAGS_sign_with);
  options.approve_with = absl::GetFlag(FLAGS_approve_with);
  options.json = absl::GetFlag(FLAGS_json);
  Session session(std::move(options));
  command->second(session);
}

int PrintError(const std::exception& error, int code) {
  std::cerr << "comfreylock-ctl: " << error.what() << "\n";
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  try {
    Run(argc, argv);
  } catch (const InputError& error) {
    return PrintError(error, kExitBadInput);
  } catch (const comfreylock::RefusedError& error) {
    return PrintError(error, kExitRefused);
  } catch (const std::exception& error) {
    return PrintError(error, kExitFailed);
  }
  return 0;
}
