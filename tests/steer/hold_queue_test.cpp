// The hold queue under random packets, against one that looks at each held
// opening.
#include "steer/hold_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace gentianspindle {

using namespace steer;

namespace {

using Openings = std::vector<HeldOpening>;

Openings::iterator
Choose(Openings& aHeld, Micros aNow)
{
  auto best = aHeld.end();
  for (auto next = aHeld.begin(); next != aHeld.end(); ++next) {
    if (!next->IsUsable(aNow) || next->ExpiresAt() <= aNow) {
      continue;
    }
    bool first = best == aHeld.end() || next->priority < best->priority;
    bool newer =
      !first && next->priority == best->priority && !next->IsLate(aNow);
    best = first || newer ? next : best;
  }
  return best;
}

Openings::iterator
ChooseExpired(Openings& aHeld, Micros aNow)
{
  return std::find_if(
    aHeld.begin(), aHeld.end(), [aNow](const HeldOpening& aOpening) {
      return aOpening.ExpiresAt() <= aNow;
    });
}

}

TEST_CASE("The hold queue takes out what a look at each opening would choose")
{
  std::mt19937 random(7);
  HoldQueue queue;
  Openings held;
  Micros now = 1000 * kSecond;
  uint16_t port = 0;
  auto check = [&](const std::optional<HeldOpening>& aTaken,
                   Openings::iterator aExpected) {
    REQUIRE(aTaken.has_value() == (aExpected != held.end()));
    if (aTaken) {
      REQUIRE(aTaken->packet.flow == aExpected->packet.flow);
      held.erase(aExpected);
    }
  };
  for (int i = 0; i < 20000; ++i) {
    now += static_cast<Micros>(random() % (8 * kMillisecond));
    HeldOpening opening;
    opening.packet.flow = { { 1, ++port }, { 2, 443 } };
    opening.priority = random() % 3;
    opening.latencyTarget = random() % 3 * 400 * kMillisecond;
    opening.heldAt = now;
    opening.arrivedAt = now;
    bool isShort = random() % 2 == 0;
    opening.holdUntil = isShort ? now + 100 * kMillisecond : 0;
    REQUIRE(queue.Put(opening));
    held.push_back(opening);
    HeldOpening& again = held[random() % held.size()];
    again.packet.retransmissions = 1 + random() % 2;
    again.arrivedAt = now;
    REQUIRE(queue.OnRetransmission(again.packet, now));
    check(queue.TakeExpired(now), ChooseExpired(held, now));
    if (random() % 2 == 0) {
      check(queue.Take(now), Choose(held, now));
    }
    REQUIRE(queue.Size() == held.size());
  }
}

TEST_CASE("The hold queue is bounded")
{
  HoldQueue queue;
  HeldOpening opening;
  for (size_t i = 0; i < kMaxHeldOpenings; ++i) {
    opening.packet.flow.caller.port = static_cast<uint16_t>(i);
    CHECK(queue.Put(opening));
  }
  opening.packet.flow.caller.port = static_cast<uint16_t>(kMaxHeldOpenings);
  CHECK_FALSE(queue.Put(opening));
}

// An opening is refused while its caller can still be told the truth, not when
// its flow may be open elsewhere.
TEST_CASE("A held opening that ends between two copies is refused before")
{
  HeldOpening opening;
  opening.heldAt = opening.arrivedAt = 1000 * kSecond;
  opening.holdUntil = opening.heldAt + 150 * kMillisecond;
  CHECK(opening.IsUsable(opening.ExpiresAt() + kHoldCheckPeriod - 1));
  HoldQueue queue;
  queue.Put(opening);
  CHECK_FALSE(queue.TakeExpired(opening.ExpiresAt() - 1));
  CHECK(queue.TakeExpired(opening.ExpiresAt()));
}

}
