#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "ctl.h"
#include "settings.h"

namespace comfreylock::ctl {
namespace {

constexpr size_t kMaxLineColumns = 80;
constexpr std::string_view kFoldIndent = "    ";

std::string_view EscapeCodeOf(Colour colour) {
  switch (colour) {
    case Colour::kNone:
      return "";
    case Colour::kRed:
      return "\033[31m";
    case Colour::kGreen:
      return "\033[32m";
    case Colour::kYellow:
      return "\033[33m";
  }
  return "";
}

}  // namespace

Session::Session(Options options) : options_(std::move(options)) {}

const std::string& Session::Argument(size_t index,
                                     std::string_view name) const {
  if (index >= options_.arguments.size())
    throw InputError(std::string(name) + ": is missing; see --help");
  return options_.arguments[index];
}

const CtlSettings& Session::settings() {
  if (settings_)
    return *settings_;
  std::string path = options_.settings;
  if (path.empty()) {
    const char* variable = std::getenv("COMFREYLOCK_CTL_SETTINGS");
    path = variable ? variable : "";
  }
  if (path.empty()) {
    throw InputError(
        "--settings: is missing; allowed: a file name, or "
        "COMFREYLOCK_CTL_SETTINGS in "
        "the environment");
  }
  settings_ = ParseCtlSettings(ReadFile(path), path);
  return *settings_;
}

BundleRepository& Session::bundles() {
  if (!bundles_) {
    store_ = std::make_unique<CtlStore>(settings().store_address);
    bundles_ = std::make_unique<BundleRepository>(
        [this](const StoreRequest& request) {
          return store_->Execute(request);
        },
        settings().operators);
  }
  return *bundles_;
}

Signer Session::author() const {
  if (options_.sign_with.empty()) {
    throw InputError(
        "--sign-with: is missing; allowed: a key file made by operator-key");
  }
  return ParseSigner(ReadFile(options_.sign_with), options_.sign_with);
}

std::optional<Signer> Session::approver() const {
  if (options_.approve_with.empty())
    return std::nullopt;
  return ParseSigner(ReadFile(options_.approve_with), options_.approve_with);
}

void Session::ProposeAndMaybeRoll(const std::string& text,
                                  const std::string& origin) {
  Signer signer = author();
  auto approving_signer = approver();
  std::string id = bundles().Propose(text, origin, signer);
  if (!approving_signer) {
    PrintLine("proposal " + id + " by " + signer.name +
              "; another operator signs it off: sign-off " + id);
    return;
  }
  bundles().SignOff(id, *approving_signer);
  uint64_t version = bundles().Roll(id);
  PrintLine("version " + std::to_string(version) + " by " + signer.name +
                ", signed off by " + approving_signer->name + ", is in force",
            Colour::kGreen);
}

void PrintLine(std::string_view line, Colour colour) {
  bool coloured = colour != Colour::kNone && isatty(STDOUT_FILENO) != 0;
  if (coloured)
    std::cout << EscapeCodeOf(colour);
  std::string rest(line);
  while (rest.size() > kMaxLineColumns) {
    size_t fold_at = rest.rfind(' ', kMaxLineColumns);
    // A word longer than a line is not split, so that it can be copied.
    if (fold_at == std::string::npos || fold_at <= kFoldIndent.size())
      break;
    std::cout << rest.substr(0, fold_at) << "\n";
    rest = std::string(kFoldIndent) + rest.substr(fold_at + 1);
  }
  std::cout << rest << (coloured ? "\033[0m\n" : "\n");
}

}  // namespace comfreylock::ctl
