#ifndef COMFREYLOCK_NODE_CLOCK_H_
#define COMFREYLOCK_NODE_CLOCK_H_

#include "comfreylock/types.h"

namespace comfreylock {

/// @return the current time of NodeClock (CLOCK_BOOTTIME).
TimePoint ReadNodeClock();

}  // namespace comfreylock

#endif  // COMFREYLOCK_NODE_CLOCK_H_
