#ifndef COMFREYLOCK_STORE_KEYS_H_
#define COMFREYLOCK_STORE_KEYS_H_

#include <string_view>

/// Keys in the store that more than one part of the reducer reads.
namespace comfreylock {

/// Followed by `<zone>/<node>`; the value is a wire::Member.
inline constexpr std::string_view kMembersPrefix = "/comfreylock/members/";

}  // namespace comfreylock

#endif  // COMFREYLOCK_STORE_KEYS_H_
