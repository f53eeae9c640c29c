#ifndef COMFREYLOCK_STORE_KEYS_H_
#define COMFREYLOCK_STORE_KEYS_H_

#include <string_view>

/// Store keys that several parts of the reducer use.
namespace comfreylock {

/// Followed by `<zone>/<node>`; the value is a wire::Member.
inline constexpr std::string_view kMembersPrefix = "/comfreylock/members/";

}  // namespace comfreylock

#endif  // COMFREYLOCK_STORE_KEYS_H_
