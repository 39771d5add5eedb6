#include "gateway/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <memory>

namespace jd {
namespace {

log4cxx::LoggerPtr LoggerOf(LogPart part) {
  static const std::array<log4cxx::LoggerPtr, 6> loggers = {
      log4cxx::Logger::getLogger("gateway"), log4cxx::Logger::getLogger("peers"),
      log4cxx::Logger::getLogger("slots"),   log4cxx::Logger::getLogger("config"),
      log4cxx::Logger::getLogger("zones"),   log4cxx::Logger::getLogger("calls")};
  return loggers.at(static_cast<size_t>(part));
}

}  // namespace

void SetUpLog(const std::string& level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%d %-5p %c: %m%n");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void LogDebug(LogPart part, const std::string& text) {
  LOG4CXX_DEBUG(LoggerOf(part), text);
}

void LogInfo(LogPart part, const std::string& text) {
  LOG4CXX_INFO(LoggerOf(part), text);
}

void LogWarning(LogPart part, const std::string& text) {
  LOG4CXX_WARN(LoggerOf(part), text);
}

}  // namespace jd
