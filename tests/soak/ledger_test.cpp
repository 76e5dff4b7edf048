// A deliberate fault is caught by each check of the soak, and what is allowed
// is not.
#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/plan.h"

#include <catch2/catch.hpp>

namespace gentianspindle::soak {

namespace {

// The only finding, or none.
Violation
OnlyViolation(const Ledger& aLedger)
{
  CHECK(aLedger.Findings().size() <= 1);
  return aLedger.Findings().empty() ? Violation::Count
                                    : aLedger.Findings().front().violation;
}

}

TEST_CASE("Requests that run twice, unasked, elsewhere or though refused")
{
  Ledger ledger;
  ledger.OnSent("r1", "web");
  SECTION("as asked")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Count);
  }
  SECTION("twice")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRun("s2", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RanTwice);
  }
  SECTION("unasked")
  {
    ledger.OnRun("s1", "r2", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Unasked);
  }
  SECTION("at another service")
  {
    ledger.OnRun("s1", "r1", "archive", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::WrongService);
  }
  SECTION("refused after it ran")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRefused("r1", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RefusedAndRan);
  }
  SECTION("run after it was refused")
  {
    ledger.OnRefused("r1", kSecond);
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RefusedAndRan);
  }
}

TEST_CASE("Answers that are not whole, and packets that changed")
{
  Ledger ledger;
  SECTION("answer")
  {
    ledger.OnBadResponse("r1", "its body is not whole", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::BrokenAnswer);
  }
  SECTION("packet")
  {
    Packet packet{ .seq = 7, .acks = true, .data = "abc" };
    std::vector<uint8_t> bytes = Encode(packet);
    CHECK(IsIntact(*Decode(bytes)));
    bytes[28] = 9; // the echo may change
    CHECK(IsIntact(*Decode(bytes)));
    bytes.back() ^= 1;
    CHECK_FALSE(IsIntact(*Decode(bytes)));
  }
}

TEST_CASE("New work for a server that drains, by an instance in touch")
{
  Ledger ledger;
  ledger.OnDraining("s1", 10 * kSecond);
  ledger.OnOpened("s1", 0, 10 * kSecond + kMaxDrainDelay);
  CHECK(ledger.Findings().empty());
  SECTION("in touch")
  {
    ledger.OnOpened("s1", 0, 10 * kSecond + kMaxDrainDelay + 1);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
  SECTION("another instance's trouble excuses nothing")
  {
    ledger.Disruptions().Begin(DisruptionKind::Unplanned, 1, 9 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
  SECTION("its own trouble does, for a while")
  {
    ledger.Disruptions().Begin(DisruptionKind::Unplanned, 0, 9 * kSecond);
    ledger.Disruptions().End(DisruptionKind::Unplanned, 0, 11 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(ledger.Findings().empty());
    ledger.OnOpened("s1", 0, 16 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
}

TEST_CASE("A configuration that is late or goes back")
{
  Ledger ledger;
  ledger.OnAccepted(1, kSecond);
  ledger.OnAccepted(2, 10 * kSecond);
  ledger.OnInForce(0, 1, 10 * kSecond + kMaxConfigDelay);
  CHECK(ledger.Findings().empty());
  SECTION("late")
  {
    ledger.OnInForce(0, 1, 10 * kSecond + kMaxConfigDelay + 1);
    CHECK(OnlyViolation(ledger) == Violation::Late);
  }
  SECTION("late while the store is in trouble")
  {
    ledger.Disruptions().Begin(
      DisruptionKind::Unplanned, std::nullopt, 11 * kSecond);
    ledger.OnInForce(0, 1, 14 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("back")
  {
    ledger.OnInForce(0, 2, 11 * kSecond);
    ledger.OnInForce(0, 1, 12 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::WentBack);
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
    ledger.Disruptions().Begin(DisruptionKind::Planned, 0, 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::FlowBroken);
  }
  SECTION("unplanned trouble near it")
  {
    ledger.Disruptions().Begin(
      DisruptionKind::ServerFault, std::nullopt, 9 * kSecond);
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
    CHECK(OnlyViolation(ledger) == Violation::BadExit);
  }
}

TEST_CASE("A seed gives the same plan, with all acts over many seeds")
{
  std::set<StepAction> seen;
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    std::vector<Step> plan = MakePlan({ .seed = seed });
    std::vector<Step> repeatedPlan = MakePlan({ .seed = seed });
    REQUIRE(plan.size() == repeatedPlan.size());
    for (size_t i = 0; i < plan.size(); ++i) {
      CHECK(Describe(plan[i]) == Describe(repeatedPlan[i]));
      seen.insert(plan[i].action);
    }
  }
  CHECK(seen.size() == static_cast<size_t>(StepAction::Count));
}

}
