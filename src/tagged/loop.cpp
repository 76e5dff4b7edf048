#include "tagged/loop.h"

namespace gentianspindle::tagged {

namespace {

Micros
ReadClock(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return ToMicros(now);
}

}

Micros
SteadyNow()
{
  return ReadClock(CLOCK_MONOTONIC);
}

Micros
BootNow()
{
  return ReadClock(CLOCK_BOOTTIME);
}

Micros
TimeOfDay()
{
  return ReadClock(CLOCK_REALTIME);
}

Micros
ToMicros(const timespec& aTime)
{
  return aTime.tv_sec * kSecond + aTime.tv_nsec / 1000;
}

Timer::Timer(event_base* aBase, std::function<void()> aCallback)
  : callback(std::move(aCallback))
{
  this->timer.reset(evtimer_new(
    aBase,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Timer*>(aSelf)->callback();
    },
    this));
}

void
Timer::Start(Micros aDelay)
{
  timeval delay{ aDelay / kSecond, aDelay % kSecond };
  evtimer_add(this->timer.get(), &delay);
}

void
Timer::Stop()
{
  evtimer_del(this->timer.get());
}

}
