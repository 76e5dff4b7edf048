// Virtual time for tests and benchmarks: an event queue whose clock jumps from
// one event to the next.
#pragma once

#include "base/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace gentianspindle {

// A clock with timers. Events of the same time run in the order in which they
// were added.
class VirtualClock
{
public:
  Micros Now() const { return this->now; }

  // Runs aRun once aDelay has passed.
  void After(Micros aDelay, std::function<void()> aRun)
  {
    this->events.push({ this->now + aDelay, ++this->order, std::move(aRun) });
  }

  // Runs all events that are due up to aEnd and then sets the time to aEnd.
  void RunUntil(Micros aEnd)
  {
    while (!this->events.empty() && this->events.top().at <= aEnd) {
      // std::priority_queue only gives const access to its top element, which
      // would copy the function.
      std::function<void()> run =
        std::move(const_cast<Event&>(this->events.top()).run);
      this->now = this->events.top().at;
      this->events.pop();
      run();
    }
    this->now = aEnd;
  }

private:
  struct Event
  {
    Micros at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->order > aOther.order;
    }
  };

  // Starts at 1000 s, long after the 0 with which engines initialise times.
  Micros now = 1'000'000'000;
  uint64_t order = 0;
  std::priority_queue<Event> events;
};

}
