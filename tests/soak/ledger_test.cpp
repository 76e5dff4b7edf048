// A deliberate fault is caught by each check of the soak, and what is allowed
// is not.
#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/plan.h"

#include <catch2/catch.hpp>

namespace gentianspindle::soak {

namespace {

// The only finding, or none.
Breach
OnlyBreach(const Ledger& aLedger)
{
  CHECK(aLedger.Findings().size() <= 1);
  return aLedger.Findings().empty() ? Breach::Count
                                    : aLedger.Findings().front().breach;
}

}

TEST_CASE("Requests that run twice, unasked, elsewhere or though refused")
{
  Ledger ledger;
  ledger.OnSent("r1", "web");
  SECTION("as asked")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::Count);
  }
  SECTION("twice")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRun("s2", "r1", "web", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::RanTwice);
  }
  SECTION("unasked")
  {
    ledger.OnRun("s1", "r2", "web", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::Unasked);
  }
  SECTION("at another service")
  {
    ledger.OnRun("s1", "r1", "archive", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::WrongService);
  }
  SECTION("refused after it ran")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRefused("r1", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::RefusedAndRan);
  }
  SECTION("run after it was refused")
  {
    ledger.OnRefused("r1", kSecond);
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::RefusedAndRan);
  }
}

TEST_CASE("Answers that are not whole, and packets that changed")
{
  Ledger ledger;
  SECTION("answer")
  {
    ledger.OnBadAnswer("r1", "its body is not whole", kSecond);
    CHECK(OnlyBreach(ledger) == Breach::BrokenAnswer);
  }
  SECTION("packet")
  {
    Packet packet{ .seq = 7, .acks = true, .data = "abc" };
    std::vector<uint8_t> bytes = Encode(packet);
    CHECK(IsWhole(*Decode(bytes)));
    bytes[28] = 9; // the echo may change
    CHECK(IsWhole(*Decode(bytes)));
    bytes.back() ^= 1;
    CHECK_FALSE(IsWhole(*Decode(bytes)));
  }
}

TEST_CASE("New work for a server that drains, by an instance in touch")
{
  Ledger ledger;
  ledger.OnDraining("s1", 10 * kSecond);
  ledger.OnOpened("s1", 0, 10 * kSecond + kDrainTime);
  CHECK(ledger.Findings().empty());
  SECTION("in touch")
  {
    ledger.OnOpened("s1", 0, 10 * kSecond + kDrainTime + 1);
    CHECK(OnlyBreach(ledger) == Breach::Drained);
  }
  SECTION("another instance's trouble excuses nothing")
  {
    ledger.Trouble().Begin(Cause::Unplanned, 1, 9 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(OnlyBreach(ledger) == Breach::Drained);
  }
  SECTION("its own trouble does, for a while")
  {
    ledger.Trouble().Begin(Cause::Unplanned, 0, 9 * kSecond);
    ledger.Trouble().End(Cause::Unplanned, 0, 11 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(ledger.Findings().empty());
    ledger.OnOpened("s1", 0, 16 * kSecond);
    CHECK(OnlyBreach(ledger) == Breach::Drained);
  }
}

TEST_CASE("A configuration that is late or goes back")
{
  Ledger ledger;
  ledger.OnAccepted(1, kSecond);
  ledger.OnAccepted(2, 10 * kSecond);
  ledger.OnInForce(0, 1, 10 * kSecond + kInForceTime);
  CHECK(ledger.Findings().empty());
  SECTION("late")
  {
    ledger.OnInForce(0, 1, 10 * kSecond + kInForceTime + 1);
    CHECK(OnlyBreach(ledger) == Breach::Late);
  }
  SECTION("late while the store is in trouble")
  {
    ledger.Trouble().Begin(Cause::Unplanned, std::nullopt, 11 * kSecond);
    ledger.OnInForce(0, 1, 14 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("back")
  {
    ledger.OnInForce(0, 2, 11 * kSecond);
    ledger.OnInForce(0, 1, 12 * kSecond);
    CHECK(OnlyBreach(ledger) == Breach::WentBack);
  }
  SECTION("a start may begin with an older one")
  {
    ledger.OnInForce(0, 2, 11 * kSecond);
    ledger.OnStarted(0);
    ledger.OnInForce(0, 1, 12 * kSecond);
    CHECK(ledger.Findings().empty());
  }
}

TEST_CASE("A flow that planned work breaks, and a planned stop that fails")
{
  Ledger ledger;
  SECTION("planned stop of an instance")
  {
    ledger.Trouble().Begin(Cause::Planned, 0, 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(OnlyBreach(ledger) == Breach::FlowBroken);
  }
  SECTION("unplanned trouble near it")
  {
    ledger.Trouble().Begin(Cause::OfServer, std::nullopt, 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("the server is gone")
  {
    ledger.OnGone("s1", 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("exit")
  {
    ledger.OnExit(0, true, 0, kSecond);
    CHECK(ledger.Findings().empty());
    ledger.OnExit(0, true, 139, kSecond);
    CHECK(OnlyBreach(ledger) == Breach::BadExit);
  }
}

TEST_CASE("A seed gives the same plan, with all acts over many seeds")
{
  std::set<Act> seen;
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    std::vector<Step> plan = MakePlan({ .seed = seed });
    std::vector<Step> again = MakePlan({ .seed = seed });
    REQUIRE(plan.size() == again.size());
    for (size_t i = 0; i < plan.size(); ++i) {
      CHECK(Describe(plan[i]) == Describe(again[i]));
      seen.insert(plan[i].act);
    }
  }
  CHECK(seen.size() == static_cast<size_t>(Act::Count));
}

}
