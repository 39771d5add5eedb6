#include "gateway/log.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <climits>
#include <cstdint>
#include <memory>
#include <utility>

namespace jd {
namespace {

// Bytes kept for a slow reader of standard output. Lines beyond them are dropped, so that the
// gateway never waits for the reader.
constexpr size_t kMaxBufferedBytes = 256 * 1024;
// Bounds the CPU time that logging takes under load.
constexpr uint64_t kMaxCallLinesPerSecond = 500;
constexpr const char* kCallLogger = "calls";

/// Log4cxx appender that writes to standard output without blocking and buffers the rest.
class NonBlockingStdoutAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit NonBlockingStdoutAppender(log4cxx::LayoutPtr layout) : layout_(std::move(layout)) {}
  ~NonBlockingStdoutAppender() override { WritePending(); }

  void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override {
    // Lines about the process itself are rare and must not be lost in a flood of lines about calls,
    // so lines about calls are limited in rate and may fill only half of the buffer.
    const bool of_call = event->getLoggerName() == kCallLogger;
    if (of_call && !AdmitCallLine()) {
      return;
    }
    log4cxx::LogString line;
    layout_->format(line, event, pool);
    const size_t limit = of_call ? kMaxBufferedBytes / 2 : kMaxBufferedBytes;
    if (pending_.size() + line.size() > limit) {
      ++dropped_;
      return;
    }
    if (dropped_ > 0) {
      pending_ += "log: event=lines-dropped count=" + std::to_string(dropped_) + "\n";
      dropped_ = 0;
    }
    pending_ += line;
    WritePending();
  }
  void close() override { WritePending(); }
  bool requiresLayout() const override { return false; }

 private:
  // Returns whether another line about a call may be logged in this second; counts the line as
  // dropped if not.
  bool AdmitCallLine() {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
        std::chrono::steady_clock::now().time_since_epoch());
    if (second != current_second_) {
      current_second_ = second;
      call_lines_ = 0;
    }
    if (call_lines_ >= kMaxCallLinesPerSecond) {
      ++dropped_;
      return false;
    }
    ++call_lines_;
    return true;
  }

  // Writes pending bytes until writing would block. A pipe that polls as writable accepts PIPE_BUF
  // bytes without blocking.
  void WritePending() {
    size_t written = 0;
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    while (written < pending_.size() && poll(&output, 1, 0) == 1 &&
           (output.revents & POLLOUT) != 0) {
      const size_t size = std::min<size_t>(pending_.size() - written, PIPE_BUF);
      const ssize_t taken = write(STDOUT_FILENO, pending_.data() + written, size);
      if (taken <= 0) {
        break;
      }
      written += static_cast<size_t>(taken);
    }
    pending_.erase(0, written);
  }

  log4cxx::LayoutPtr layout_;
  std::string pending_;
  std::chrono::seconds current_second_{0};
  uint64_t call_lines_ = 0;
  uint64_t dropped_ = 0;
};

log4cxx::LoggerPtr LoggerFor(LogPart part) {
  static const std::array<log4cxx::LoggerPtr, 7> loggers = {
      log4cxx::Logger::getLogger("gateway"),  log4cxx::Logger::getLogger("peers"),
      log4cxx::Logger::getLogger("slots"),    log4cxx::Logger::getLogger("config"),
      log4cxx::Logger::getLogger("zones"),    log4cxx::Logger::getLogger(kCallLogger),
      log4cxx::Logger::getLogger("endpoints")};
  return loggers.at(static_cast<size_t>(part));
}

LogPart LogPartFor(EventKind kind) {
  switch (kind) {
    case EventKind::kCallStarted:
    case EventKind::kCallFinished:
    case EventKind::kCallRefused:
    case EventKind::kAttemptStarted:
    case EventKind::kAttemptEnded:
    case EventKind::kCrashFingerprint:
    case EventKind::kPermitRefused:
    case EventKind::kQuotaExceeded:
      return LogPart::kCalls;
    case EventKind::kEndpointCold:
    case EventKind::kEndpointWarm:
    case EventKind::kEndpointDraining:
    case EventKind::kEndpointEjected:
    case EventKind::kEndpointLimit:
    case EventKind::kProbe:
      return LogPart::kEndpoints;
    case EventKind::kPeerLive:
    case EventKind::kPeerDead:
    case EventKind::kPeerOneWay:
    case EventKind::kPeerLeaving:
      return LogPart::kPeers;
    case EventKind::kZoneChanged:
      return LogPart::kZones;
    case EventKind::kSlotsLent:
    case EventKind::kSlotsExpired:
    case EventKind::kOwnerChanged:
      return LogPart::kSlots;
    default:
      return LogPart::kConfig;
  }
}

void AppendField(const char* name, const std::string& value, std::string* line) {
  if (!value.empty()) {
    *line += std::string(" ") + name + "=" + value;
  }
}

}  // namespace

void SetUpLog(const std::string& level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%d %-5p %c: %m%n");
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(std::make_shared<NonBlockingStdoutAppender>(layout));
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(level, log4cxx::Level::getInfo()));
}

void LogDebug(LogPart part, const std::string& text) {
  LOG4CXX_DEBUG(LoggerFor(part), text);
}

void LogInfo(LogPart part, const std::string& text) {
  LOG4CXX_INFO(LoggerFor(part), text);
}

void LogWarning(LogPart part, const std::string& text) {
  LOG4CXX_WARN(LoggerFor(part), text);
}

void LogEvent(const Event& event) {
  const log4cxx::LoggerPtr logger = LoggerFor(LogPartFor(event.kind));
  if (!logger->isInfoEnabled()) {
    return;
  }
  std::string line = "event=" + std::string(EventKindName(event.kind));
  AppendField("request", event.request.value, &line);
  AppendField("endpoint", event.endpoint.value, &line);
  AppendField("zone", event.zone.value, &line);
  if (!event.detail.empty()) {
    line += " " + event.detail;
  }
  LOG4CXX_INFO(logger, line);
}

}  // namespace jd
