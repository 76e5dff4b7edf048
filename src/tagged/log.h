// Structured log on standard output, one JSON object a line, through the
// logging library. It uses a bounded amount of memory, and never waits for the
// process that reads the output, the log's consumer.
#pragma once

#include "tagged/loop.h"

#include "absl/strings/str_cat.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianspindle::tagged {

// A line under construction: the event and the fields of its JSON object.
class LogLine
{
public:
  explicit LogLine(std::string_view aEvent);

  LogLine& Text(std::string_view aKey, std::string_view aValue);
  LogLine& Number(std::string_view aKey, int64_t aValue);
  LogLine& Real(std::string_view aKey, double aValue);

  // Returns the fields, each with a comma before it.
  const std::string& Fields() const { return this->fields; }

private:
  std::string fields;
};

struct LogCounts
{
  uint64_t lines = 0;      // put into the buffer, written or not
  uint64_t dropped = 0;    // the buffer was full, as the consumer was too slow
  uint64_t sampledOut = 0; // decisions that ShouldLogFlow left out
};

// Buffers lines, and writes them together after a short delay.
class Log
{
public:
  // Above aLinesPerSecond, decisions on flows are sampled by flow.
  static std::unique_ptr<Log> Make(event_base* aBase,
                                   std::string_view aInstance,
                                   int64_t aLinesPerSecond);
  ~Log();

  void Write(const LogLine& aLine);
  // Returns whether a decision on the flow with this hash is logged now. All
  // decisions on a flow get the same result while the load doesn't change,
  // except that no more are logged in a second with twice the rate already.
  bool ShouldLogFlow(uint64_t aHash, Micros aNow);
  void SetRate(int64_t aLinesPerSecond)
  {
    this->linesPerSecond = aLinesPerSecond;
  }
  LogCounts Counts() const;
  // Writes as many of the buffered lines as standard output accepts at once.
  void Flush();

private:
  Log() = default;
  struct LineBuffer;

  std::string instance;
  int64_t linesPerSecond = 0;
  Micros secondStartedAt = 0;
  int64_t linesThisSecond = 0; // of decisions on flows
  uint32_t sampleShift = 0;    // one flow in 2^sampleShift is logged
  uint64_t sampledOut = 0;
  std::shared_ptr<LineBuffer> lineBuffer;
  std::unique_ptr<Timer> flushTimer;
};

}
