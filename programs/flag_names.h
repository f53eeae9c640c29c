#ifndef COMFREYLOCK_PROGRAMS_FLAG_NAMES_H_
#define COMFREYLOCK_PROGRAMS_FLAG_NAMES_H_

#include <algorithm>
#include <string>
#include <string_view>

namespace comfreylock {

/// Abseil's flag names have underscores; dashes are accepted as well.
/// @return `argument` with underscores in the name if it is a flag.
inline std::string NormaliseFlag(std::string argument) {
  constexpr std::string_view kPrefix = "--";
  if (!argument.starts_with(kPrefix))
    return argument;
  auto end = std::ranges::find(argument, '=');
  std::replace(argument.begin() + kPrefix.size(), end, '-', '_');
  return argument;
}

}  // namespace comfreylock

#endif  // COMFREYLOCK_PROGRAMS_FLAG_NAMES_H_
