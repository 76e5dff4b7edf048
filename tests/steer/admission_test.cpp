#include "steer/admission.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kLatencyTarget = 100 * kMillisecond;
constexpr Micros kStart = 1000 * kSecond;

HeldOpening
MakeHeldOpening(uint16_t aPort, Micros aAt, uint32_t aPriority = 1)
{
  HeldOpening held;
  held.packet.flow = { { 1, aPort }, { 2, 443 } };
  held.priority = aPriority;
  held.latencyTarget = kLatencyTarget;
  held.heldAt = aAt;
  return held;
}

uint16_t
PortOf(const std::optional<HeldOpening>& aHeld)
{
  return aHeld ? aHeld->packet.flow.caller.port : 0;
}

}

TEST_CASE("Quick responses bound nothing")
{
  ConcurrencyLimit limit;
  for (int i = 0; i < 1000; ++i) {
    limit.OnStart();
    limit.OnResponse(
      20 * kMillisecond, kLatencyTarget, kStart + i * kMillisecond);
    CHECK(limit.Admits());
  }
}

TEST_CASE("Slow responses bound the open flows, quick ones free them")
{
  ConcurrencyLimit limit;
  for (int i = 0; i < 40; ++i) {
    limit.OnStart();
  }
  Micros now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += 10 * kMillisecond;
    limit.OnResponse(2 * kLatencyTarget, kLatencyTarget, now);
  }
  CHECK(limit.IsLimiting());
  CHECK_FALSE(limit.Admits());
  CHECK(limit.Limit() >= 1);
  while (limit.Open() > 0) {
    limit.OnEnd();
  }
  CHECK(limit.Admits());
  for (int i = 0; i < 400; ++i) {
    now += 10 * kMillisecond;
    limit.OnResponse(20 * kMillisecond, kLatencyTarget, now);
  }
  CHECK_FALSE(limit.IsLimiting());
}

TEST_CASE("Who can still be in time goes first, the newest of these")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart));
  queue.Put(MakeHeldOpening(2, kStart + 150 * kMillisecond));
  queue.Put(MakeHeldOpening(3, kStart + 160 * kMillisecond));
  Micros now = kStart + 170 * kMillisecond;
  CHECK(PortOf(queue.Take(now)) == 3);
  CHECK(PortOf(queue.Take(now)) == 2);
  CHECK(PortOf(queue.Take(now)) == 1);
  CHECK(PortOf(queue.Take(now)) == 0);
}

TEST_CASE("Among the late the oldest goes first")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart));
  queue.Put(MakeHeldOpening(2, kStart + 10 * kMillisecond));
  CHECK(PortOf(queue.Take(kStart + 500 * kMillisecond)) == 1);
}

TEST_CASE("The most urgent goes before the newest")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart, 0));
  queue.Put(MakeHeldOpening(2, kStart + 10 * kMillisecond, 2));
  CHECK(PortOf(queue.Take(kStart + 20 * kMillisecond)) == 1);
}

TEST_CASE("A caller that waited too long is told so")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart));
  CHECK_FALSE(queue.TakeExpired(kStart + kMaxHoldTime - 1));
  CHECK(PortOf(queue.TakeExpired(kStart + kMaxHoldTime)) == 1);
  CHECK(queue.Size() == 0);
}

}
