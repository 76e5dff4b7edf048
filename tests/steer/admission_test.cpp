// Concurrency limit and hold queue of the admission control.
#include "steer/admission.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kLatencyTarget = 100 * kMillisecond;
constexpr Micros kStart = 1000 * kSecond;

// Returns an opening packet from port aPort that has been held since aAt. It is
// the last retransmission, so that it stays usable for longest.
HeldOpening
MakeHeldOpening(uint16_t aPort, Micros aAt, uint32_t aPriority = 1)
{
  HeldOpening held;
  held.packet.flow = { { 1, aPort }, { 2, 443 } };
  held.packet.retransmissions = 2;
  held.arrivedAt = aAt;
  held.priority = aPriority;
  held.latencyTarget = kLatencyTarget;
  held.heldAt = aAt;
  return held;
}

// Returns the caller's port of a held opening, or 0 if there is none.
uint16_t
PortOf(const std::optional<HeldOpening>& aHeld)
{
  return aHeld ? aHeld->packet.flow.caller.port : 0;
}

}

TEST_CASE("While responses are quick the concurrency limit admits every flow")
{
  ConcurrencyLimit limit;
  for (int i = 0; i < 1000; ++i) {
    limit.OnStart();
    limit.OnResponse(
      20 * kMillisecond, kLatencyTarget, kStart + i * kMillisecond);
    CHECK(limit.Admits());
  }
}

TEST_CASE("Slow responses turn on the concurrency limit, quick ones lift it")
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

TEST_CASE(
  "Held openings that can still be answered in time go first, newest first")
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

TEST_CASE("Of held openings that are already late the oldest goes first")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart));
  queue.Put(MakeHeldOpening(2, kStart + 10 * kMillisecond));
  CHECK(PortOf(queue.Take(kStart + 500 * kMillisecond)) == 1);
}

TEST_CASE("A held opening of higher priority goes before a newer one")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart, 0));
  queue.Put(MakeHeldOpening(2, kStart + 10 * kMillisecond, 2));
  CHECK(PortOf(queue.Take(kStart + 20 * kMillisecond)) == 1);
}

// Guards against flows that are opened twice: the caller's next retransmission
// went to another instance, which opened the flow, and later the held one was
// placed.
TEST_CASE("A held opening whose next retransmission is due waits for it")
{
  HoldQueue queue;
  HeldOpening first = MakeHeldOpening(1, kStart);
  first.packet.retransmissions = 0;
  queue.Put(first);
  Micros now = kStart + UsableTime(first.packet);
  CHECK_FALSE(queue.Take(now));
  Packet again = first.packet;
  again.retransmissions = 1;
  now = kStart + kOpeningIntervals[0];
  CHECK(queue.OnRetransmission(again, now));
  CHECK(queue.Size() == 1);
  CHECK_FALSE(queue.Take(now + UsableTime(again)));
  CHECK(PortOf(queue.Take(now + UsableTime(again) - 1)) == 1);
  CHECK_FALSE(queue.OnRetransmission(again, now));
}

TEST_CASE("A held opening expires after the longest hold time")
{
  HoldQueue queue;
  queue.Put(MakeHeldOpening(1, kStart));
  CHECK_FALSE(queue.TakeExpired(kStart + kMaxHoldTime - 1));
  CHECK(PortOf(queue.TakeExpired(kStart + kMaxHoldTime)) == 1);
  CHECK(queue.Size() == 0);
}

}
