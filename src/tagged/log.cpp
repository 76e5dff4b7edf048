#include "tagged/log.h"

#include "base/text.h"

#include <algorithm>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace gentianspindle::tagged {

namespace {

// Lines that wait for the consumer take at most this much memory.
constexpr size_t kMaxPendingBytes = 512 * 1024;
// A pipe accepts up to this many bytes atomically, so that lines of processes
// that share it are not mixed.
constexpr size_t kMaxWriteBytes = 4096;
// Lines are collected for this time and written together, to save system calls.
constexpr Micros kFlushDelay = 200 * kMillisecond;
// At least one flow in 2^kMaxSampleShift is logged.
constexpr uint32_t kMaxSampleShift = 20;
constexpr char kLoggerName[] = "gentianspindle";

// Appends aText as a JSON string. Each byte that is not printable ASCII is
// written as \u00XX, so UTF-8 text is not decoded.
void
AppendQuoted(std::string& aOut, std::string_view aText)
{
  static constexpr char kHex[] = "0123456789abcdef";
  aOut.push_back('"');
  for (char c : aText) {
    auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aOut.push_back('\\');
      aOut.push_back(c);
    } else if (byte < 0x20 || byte >= 0x7F) {
      absl::StrAppend(&aOut, "\\u00");
      aOut.push_back(kHex[byte >> 4]);
      aOut.push_back(kHex[byte & 0xF]);
    } else {
      aOut.push_back(c);
    }
  }
  aOut.push_back('"');
}

}

LogLine::LogLine(std::string_view aEvent)
{
  // Avoids reallocations: a line of usual length has about as many bytes.
  this->fields.reserve(384);
  this->Text("event", aEvent);
}

LogLine&
LogLine::Text(std::string_view aKey, std::string_view aValue)
{
  absl::StrAppend(&this->fields, ",\"", ToAbsl(aKey), "\":");
  AppendQuoted(this->fields, aValue);
  return *this;
}

LogLine&
LogLine::Number(std::string_view aKey, int64_t aValue)
{
  absl::StrAppend(&this->fields, ",\"", ToAbsl(aKey), "\":", aValue);
  return *this;
}

LogLine&
LogLine::Real(std::string_view aKey, double aValue)
{
  absl::StrAppend(&this->fields, ",\"", ToAbsl(aKey), "\":", aValue);
  return *this;
}

// Buffers lines between the logging library and standard output. A line that
// does not fit is dropped and counted.
struct Log::LineBuffer : public log4cplus::Appender
{
  std::string pending;
  uint64_t lines = 0;
  uint64_t dropped = 0;

  LineBuffer() = default;
  LineBuffer(const LineBuffer&) = delete;
  LineBuffer& operator=(const LineBuffer&) = delete;
  ~LineBuffer() override { this->destructorImpl(); }

  void close() override { this->closed = true; }

  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    const std::string& line = aEvent.getMessage();
    if (this->pending.size() + line.size() + 1 > kMaxPendingBytes) {
      ++this->dropped;
      return;
    }
    this->pending += line;
    this->pending.push_back('\n');
    ++this->lines;
  }

  // Returns the length of the whole lines that fit into one write, or of the
  // first line if that is longer.
  size_t WholeLineBytes() const
  {
    size_t end = this->pending.rfind('\n', kMaxWriteBytes - 1);
    if (end == std::string::npos) {
      end = this->pending.find('\n');
    }
    return end + 1;
  }

  void Drain()
  {
    while (!this->pending.empty()) {
      ssize_t written =
        write(STDOUT_FILENO, this->pending.data(), this->WholeLineBytes());
      if (written <= 0) {
        // The consumer is slow, and the write is retried later; or it is gone,
        // and nothing can be reported.
        return;
      }
      this->pending.erase(0, static_cast<size_t>(written));
    }
  }
};

std::unique_ptr<Log>
Log::Make(event_base* aBase,
          std::string_view aInstance,
          int64_t aLinesPerSecond)
{
  std::unique_ptr<Log> log(new Log);
  log->instance = aInstance;
  log->linesPerSecond = aLinesPerSecond;
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log4cplus::initialize();
  // The library counts references in the object itself, and the log holds one
  // of them.
  auto* lineBuffer = new LineBuffer;
  lineBuffer->addReference();
  log->lineBuffer =
    std::shared_ptr<LineBuffer>(lineBuffer, [](LineBuffer* aLineBuffer) {
      aLineBuffer->removeReference();
    });
  log4cplus::Logger logger = log4cplus::Logger::getInstance(kLoggerName);
  logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  logger.setAdditivity(false);
  logger.addAppender(log4cplus::SharedAppenderPtr(lineBuffer));
  Log* self = log.get();
  log->flushTimer = std::make_unique<Timer>(aBase, [self] { self->Flush(); });
  return log;
}

Log::~Log()
{
  this->Flush();
  log4cplus::Logger::getInstance(kLoggerName).removeAllAppenders();
}

void
Log::Write(const LogLine& aLine)
{
  std::string line = absl::StrCat("{\"unix_ms\":",
                                  TimeOfDay() / kMillisecond,
                                  ",\"at_us\":",
                                  SteadyNow(),
                                  ",\"instance\":");
  AppendQuoted(line, this->instance);
  absl::StrAppend(&line, aLine.Fields(), "}");
  bool wasEmpty = this->lineBuffer->pending.empty();
  log4cplus::Logger::getInstance(kLoggerName)
    .forcedLog(log4cplus::INFO_LOG_LEVEL, line, nullptr, -1);
  if (wasEmpty) {
    this->flushTimer->Start(kFlushDelay);
  }
}

// Halves the share of flows that is logged after a second with more lines than
// the rate, and doubles it after one with less than a third: twice as many
// lines are still below the rate. In between the share stays.
bool
Log::ShouldLogFlow(uint64_t aHash, Micros aNow)
{
  if (aNow - this->secondStartedAt >= kSecond) {
    if (this->linesThisSecond > this->linesPerSecond) {
      this->sampleShift = std::min(this->sampleShift + 1, kMaxSampleShift);
    } else if (this->linesThisSecond < this->linesPerSecond / 3 &&
               this->sampleShift > 0) {
      --this->sampleShift;
    }
    this->secondStartedAt = aNow;
    this->linesThisSecond = 0;
  }
  uint64_t mask = (uint64_t{ 1 } << this->sampleShift) - 1;
  bool overLimit = this->linesThisSecond >= 2 * this->linesPerSecond;
  if ((aHash & mask) != 0 || overLimit) {
    ++this->sampledOut;
    return false;
  }
  ++this->linesThisSecond;
  return true;
}

LogCounts
Log::Counts() const
{
  return { this->lineBuffer->lines,
           this->lineBuffer->dropped,
           this->sampledOut };
}

void
Log::Flush()
{
  this->lineBuffer->Drain();
  if (!this->lineBuffer->pending.empty()) {
    this->flushTimer->Start(kFlushDelay);
  }
}

}
