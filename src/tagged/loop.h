// The event loop of the daemon: one thread, timers and sockets by libevent.
#pragma once

#include "base/time.h"

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

// Now on the steady clock.
Micros
SteadyNow();
// Now on the clock that also counts while the instance is suspended.
Micros
BootNow();

// Calls back once after each Start, unless stopped before.
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
