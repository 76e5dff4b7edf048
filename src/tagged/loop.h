// Event loop of the daemon: helpers for libevent's timers and events, and the
// clocks. Everything runs on one thread.
#pragma once

#include "base/time.h"

#include <ctime>
#include <event2/event.h>
#include <functional>
#include <memory>

namespace gentianspindle::tagged {

struct FreeBase
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};
struct FreeEvent
{
  void operator()(event* aEvent) const { event_free(aEvent); }
};
using EventBasePtr = std::unique_ptr<event_base, FreeBase>;
using EventPtr = std::unique_ptr<event, FreeEvent>;

// Returns the time of the monotonic clock.
Micros
SteadyNow();
// Returns the time of the monotonic clock that also counts while the machine is
// suspended.
Micros
BootNow();

// Returns the time of day in microseconds since 1970. It may jump.
Micros
TimeOfDay();
Micros
ToMicros(const timespec& aTime);

// Calls aCallback once after each Start, unless Stop comes before. A second
// Start replaces the first.
class Timer
{
public:
  Timer(event_base* aBase, std::function<void()> aCallback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(Micros aDelay);
  void Stop();

private:
  std::function<void()> callback;
  EventPtr timer;
};

}
