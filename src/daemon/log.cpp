#include "daemon/log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace gentianspindle {

namespace {

log4cplus::Logger
PartLogger(std::string_view aPart)
{
  return log4cplus::Logger::getInstance(std::string(aPart));
}

}

void
StartLog(const std::string& aLevel)
{
  log4cplus::SharedAppenderPtr console(
    new log4cplus::ConsoleAppender(true, true));
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
LogInfo(std::string_view aPart, const std::string& aSentence)
{
  LOG4CPLUS_INFO(PartLogger(aPart), aSentence);
}

void
LogWarn(std::string_view aPart, const std::string& aSentence)
{
  LOG4CPLUS_WARN(PartLogger(aPart), aSentence);
}

void
LogError(std::string_view aPart, const std::string& aSentence)
{
  LOG4CPLUS_ERROR(PartLogger(aPart), aSentence);
}

}
