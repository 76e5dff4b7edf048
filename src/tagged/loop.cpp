#include "tagged/loop.h"

#include <ctime>

namespace gentianspindle::tagged {

namespace {

Micros
Read(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return now.tv_sec * kSecond + now.tv_nsec / 1000;
}

}

Micros
SteadyNow()
{
  return Read(CLOCK_MONOTONIC);
}

Micros
BootNow()
{
  return Read(CLOCK_BOOTTIME);
}

Timer::Timer(event_base* aBase, std::function<void()> aCall)
  : call(std::move(aCall))
{
  this->timer.reset(evtimer_new(
    aBase,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Timer*>(aSelf)->call();
    },
    this));
}

void
Timer::Start(Micros aAfter)
{
  timeval after{ aAfter / kSecond, aAfter % kSecond };
  evtimer_add(this->timer.get(), &after);
}

void
Timer::Stop()
{
  evtimer_del(this->timer.get());
}

}
