#ifndef COMFREYLOCK_CTL_CTL_H_
#define COMFREYLOCK_CTL_CTL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ctl_bundle.h"
#include "ctl_settings.h"
#include "ctl_store.h"

/// Subcommands of comfreylock-ctl.
namespace comfreylock::ctl {

/// Arguments and flags of the command line.
struct Options {
  std::vector<std::string> arguments;  ///< After the subcommand.
  std::string settings;
  std::string sign_with;
  std::string approve_with;
  bool json = false;
};

/// State of one run: loads the settings and connects to the store on first use.
class Session {
 public:
  explicit Session(Options options);

  const Options& options() const { return options_; }

  /// @return argument `index`.
  /// @throws InputError with `name` if the argument is missing.
  const std::string& Argument(size_t index, std::string_view name) const;

  const CtlSettings& settings();
  BundleRepository& bundles();

  /// @throws InputError if --sign-with is missing or names no key file.
  Signer author() const;

  /// @return the signer of --approve-with, if given.
  std::optional<Signer> approver() const;

  /// Proposes `text`; with --approve-with also signs it off and rolls it.
  void ProposeAndMaybeRoll(const std::string& text, const std::string& origin);

 private:
  Options options_;
  std::optional<CtlSettings> settings_;
  std::unique_ptr<CtlStore> store_;
  std::unique_ptr<BundleRepository> bundles_;
};

enum class Colour { kNone, kRed, kGreen, kYellow };

/// Prints a line folded at 80 columns; a colour is used on a terminal only.
void PrintLine(std::string_view line, Colour colour = Colour::kNone);

// Each subcommand throws on failure.
void Check(Session& session);
void OperatorKey(Session& session);
void Propose(Session& session);
void Review(Session& session);
void SignOff(Session& session);
void Roll(Session& session);
void History(Session& session);
void Key(Session& session);
void Status(Session& session);
void Explain(Session& session);
void Drain(Session& session);

}  // namespace comfreylock::ctl

#endif  // COMFREYLOCK_CTL_CTL_H_
