#ifndef COMFREYLOCK_LOG_WRITER_H_
#define COMFREYLOCK_LOG_WRITER_H_

#include <string>

#include "comfreylock/effects.h"

/// Writes numbered events through log4cplus.
namespace comfreylock {

/// Sets up the log. @param file path, or empty for standard error.
void OpenLog(const std::string& file);

/// Writes one event as `number name field=value ...`. At most
/// `kMaxLogLinesPerInterval` lines with the same number and reason are written
/// in each `kLogInterval`; the others are only counted.
void WriteLog(const Log& event);

/// Writes the counts of suppressed lines of all intervals that have ended.
/// Called at each tick.
void WriteSuppressedLineCounts();

}  // namespace comfreylock

#endif  // COMFREYLOCK_LOG_WRITER_H_
