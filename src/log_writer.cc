#include "log_writer.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace comfreylock {
namespace {

log4cplus::Logger& NodeLogger() {
  static log4cplus::Initializer initializer;
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("comfreylock"));
  return logger;
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

/// Quotes what could be taken for the end of a field.
std::string Escape(const std::string& value) {
  if (value.find_first_of(" \"\n\r\\=") == std::string::npos && !value.empty())
    return value;
  std::string escaped = "\"";
  for (char letter : value) {
    if (letter == '\n' || letter == '\r') {
      escaped += "\\n";
      continue;
    }
    if (letter == '"' || letter == '\\')
      escaped += '\\';
    escaped += letter;
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
  const LogEventInfo& info = InfoOf(event.code);
  std::string line = std::to_string(static_cast<int>(event.code)) + " " +
                     std::string(info.name);
  for (const auto& [name, value] : event.fields)
    line += " " + name + "=" + Escape(value);
  NodeLogger().log(LevelOf(info.level), line);
}

}  // namespace comfreylock
