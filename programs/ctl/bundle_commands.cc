#include <iostream>

#include "bundle_review.h"
#include "ctl.h"
#include "json_reader.h"
#include "settings.h"

/// Subcommands that check, propose, review and roll bundles.
namespace comfreylock::ctl {
namespace {

/// Checks one file as node settings, operator settings or a bundle, depending
/// on the fields that it has.
void CheckFile(const std::string& path) {
  std::string text = ReadFile(path);
  nlohmann::json document = ParseJson(text, path);
  if (document.contains("node"))
    ParseNodeSettings(text, path);
  else if (document.contains("store_address"))
    ParseCtlSettings(text, path);
  else
    ParseBundle(text, path);
}

std::string SignersOf(const BundleHead& head) {
  std::string names;
  for (const auto& signature : head.signatures)
    names += (names.empty() ? "" : ", ") + signature.signer;
  return names;
}

nlohmann::json HeadJson(const BundleHead& head) {
  nlohmann::json signers = nlohmann::json::array();
  for (const auto& signature : head.signatures)
    signers.push_back(signature.signer);
  return {
      {"version", head.version}, {"author", head.author}, {"signers", signers}};
}

}  // namespace

void Check(Session& session) {
  session.Argument(0, "FILE");
  std::string errors;
  for (const auto& path : session.options().arguments) {
    try {
      CheckFile(path);
      PrintLine(path + ": no errors", Colour::kGreen);
    } catch (const InputError& error) {
      errors += (errors.empty() ? "" : "\n") + std::string(error.what());
    }
  }
  if (!errors.empty())
    throw InputError(errors);
}

void OperatorKey(Session& session) {
  // The key pair is printed once and not stored.
  Signer signer{session.Argument(0, "NAME"), MakeSigningKey()};
  std::cout << FormatSigner(signer);
}

void Propose(Session& session) {
  const std::string& path = session.Argument(0, "FILE");
  session.ProposeAndMaybeRoll(ReadFile(path), path);
}

void Review(Session& session) {
  const std::string& id = session.Argument(0, "ID");
  BundleHead head = session.bundles().ReadProposal(id).head;
  auto current = session.bundles().ReadHead();
  std::string before;
  if (current)
    before = session.bundles().ReadText(current->head);
  BundleReview review = ReviewBundles(before, session.bundles().ReadText(head));
  if (session.options().json) {
    nlohmann::json document = HeadJson(head);
    document["differences"] = review.differences;
    document["effects"] = review.effects;
    std::cout << document.dump(2) << "\n";
    return;
  }
  PrintLine("proposal " + id + ": version " + std::to_string(head.version) +
            " by " + head.author + ", signed by " + SignersOf(head));
  PrintLine("differences from the bundle in force:");
  for (const auto& line : review.differences) {
    Colour colour = line[0] == '+'   ? Colour::kGreen
                    : line[0] == '-' ? Colour::kRed
                                     : Colour::kYellow;
    PrintLine("  " + line, colour);
  }
  PrintLine("effect on rates, slots and keys:");
  for (const auto& line : review.effects)
    PrintLine("  " + line);
}

void SignOff(Session& session) {
  const std::string& id = session.Argument(0, "ID");
  Signer signer = session.author();
  session.bundles().SignOff(id, signer);
  PrintLine("proposal " + id + " signed off by " + signer.name);
}

void Roll(Session& session) {
  uint64_t version = session.bundles().Roll(session.Argument(0, "ID"));
  PrintLine("version " + std::to_string(version) + " is in force",
            Colour::kGreen);
}

void History(Session& session) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& head : session.bundles().History()) {
    list.push_back(HeadJson(head));
    if (!session.options().json) {
      PrintLine("version " + std::to_string(head.version) + " by " +
                head.author + ", signed by " + SignersOf(head));
    }
  }
  if (session.options().json)
    std::cout << list.dump(2) << "\n";
}

}  // namespace comfreylock::ctl
