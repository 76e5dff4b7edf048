#include "daemon/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace gentianspindle {

namespace {

log4cplus::Logger
ComponentLogger(std::string_view aComponent)
{
  return log4cplus::Logger::getInstance(std::string(aComponent));
}

}

void
StartLog(const std::string& aLevel)
{
  // To standard error, flushed after each line.
  log4cplus::SharedAppenderPtr console(
    new log4cplus::ConsoleAppender(true, true));
  // %D is local time.
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(
    "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(console);
  log4cplus::LogLevel level =
    log4cplus::getLogLevelManager().fromString(aLevel);
  root.setLogLevel(
    level == log4cplus::NOT_SET_LOG_LEVEL ? log4cplus::INFO_LOG_LEVEL : level);
}

void
LogInfo(std::string_view aComponent, const std::string& aMessage)
{
  LOG4CPLUS_INFO(ComponentLogger(aComponent), aMessage);
}

void
LogWarn(std::string_view aComponent, const std::string& aMessage)
{
  LOG4CPLUS_WARN(ComponentLogger(aComponent), aMessage);
}

void
LogError(std::string_view aComponent, const std::string& aMessage)
{
  LOG4CPLUS_ERROR(ComponentLogger(aComponent), aMessage);
}

}
