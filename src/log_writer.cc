#include "log_writer.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "comfreylock/config.h"
#include "log_rate_limiter.h"

namespace comfreylock {
namespace {

log4cplus::Logger& NodeLogger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("comfreylock"));
  return logger;
}

LogRateLimiter& LineLimiter() {
  static LogRateLimiter limiter(kMaxLogLinesPerInterval, kLogInterval);
  return limiter;
}

/// @return the event's number, name and reason. The rate of lines that have
/// these in common is limited.
std::string KindOf(const Log& event) {
  std::string kind = std::to_string(static_cast<int>(event.code)) + " " +
                     std::string(InfoOf(event.code).name);
  for (const auto& [name, value] : event.fields) {
    if (name == "reason")
      kind += " reason=" + value;
  }
  return kind;
}

log4cplus::LogLevel LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

/// Quotes a value that is empty or holds characters that delimit fields.
std::string Escape(const std::string& value) {
  if (value.find_first_of(" \"\n\r\\=") == std::string::npos && !value.empty())
    return value;
  std::string escaped = "\"";
  for (char character : value) {
    if (character == '\n' || character == '\r') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\')
      escaped += '\\';
    escaped += character;
  }
  return escaped + "\"";
}

}  // namespace

void OpenLog(const std::string& file) {
  log4cplus::Logger& logger = NodeLogger();
  log4cplus::SharedAppenderPtr appender;
  if (file.empty())
    appender = new log4cplus::ConsoleAppender(true, true);
  else
    appender = new log4cplus::FileAppender(file, std::ios_base::app);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n")));
  logger.addAppender(appender);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void WriteLog(const Log& event) {
  if (!LineLimiter().TryAcquire(KindOf(event), LogRateLimiter::Clock::now()))
    return;
  const LogEventInfo& info = InfoOf(event.code);
  std::string line = std::to_string(static_cast<int>(event.code)) + " " +
                     std::string(info.name);
  for (const auto& [name, value] : event.fields)
    line += " " + name + "=" + Escape(value);
  NodeLogger().log(LevelOf(info.level), line);
}

void WriteSuppressedLineCounts() {
  for (const auto& [kind, count] :
       LineLimiter().CloseEndedIntervals(LogRateLimiter::Clock::now())) {
    NodeLogger().log(log4cplus::INFO_LOG_LEVEL,
                     kind + " repeated=" + std::to_string(count));
  }
}

}  // namespace comfreylock
