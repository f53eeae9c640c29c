#ifndef COMFREYLOCK_CTL_SETTINGS_H_
#define COMFREYLOCK_CTL_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "comfreylock/bundle_head.h"

/// Settings of the command-line program for operators.
namespace comfreylock {

struct CtlSettings {
  std::string store_address;       ///< IP:PORT.
  OperatorKeys operators;          ///< Whose signatures are valid.
  std::string operator_token;      ///< Bearer token of the operator listeners.
  std::vector<std::string> nodes;  ///< Operator listeners, IP:PORT.
};

/// @throws InputError naming each line or field that is wrong.
CtlSettings ParseCtlSettings(std::string_view text, std::string_view origin);

}  // namespace comfreylock

#endif  // COMFREYLOCK_CTL_SETTINGS_H_
