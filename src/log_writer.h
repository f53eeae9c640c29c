#ifndef COMFREYLOCK_LOG_WRITER_H_
#define COMFREYLOCK_LOG_WRITER_H_

#include <string>

#include "comfreylock/effects.h"

/// Writes numbered events through log4cplus.
namespace comfreylock {

/// Sets up the log. @param file path, or empty for standard error.
void OpenLog(const std::string& file);

/// Writes one event as `number name field=value ...`. Repeats of one number
/// and reason beyond `kMaxLogLinesPerInterval` in `kLogInterval` are counted
/// only.
void WriteLog(const Log& event);

/// Writes the counts of repeats whose interval has ended; called now and then.
void WriteLogRepeats();

}  // namespace comfreylock

#endif  // COMFREYLOCK_LOG_WRITER_H_
