// Guards against soak checks that miss a violation or report allowed behaviour,
// and against plans that a seed doesn't repeat or that never have some action.
#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/plan.h"

#include <catch2/catch.hpp>

namespace gentianspindle::soak {

namespace {

// Returns the violation of the only finding, or Count where there is none.
Violation
OnlyViolation(const Ledger& aLedger)
{
  CHECK(aLedger.Findings().size() <= 1);
  return aLedger.Findings().empty() ? Violation::Count
                                    : aLedger.Findings().front().violation;
}

}

TEST_CASE("Requests that run twice, unasked, at another service or although "
          "refused are violations")
{
  Ledger ledger;
  ledger.OnSent("r1", "web");
  SECTION("runs once at its service")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Count);
  }
  SECTION("runs twice")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRun("s2", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RanTwice);
  }
  SECTION("no caller sent it")
  {
    ledger.OnRun("s1", "r2", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Unasked);
  }
  SECTION("runs at another service")
  {
    ledger.OnRun("s1", "r1", "archive", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::WrongService);
  }
  SECTION("is refused after it ran")
  {
    ledger.OnRun("s1", "r1", "web", kSecond);
    ledger.OnRefused("r1", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RefusedAndRan);
  }
  SECTION("runs after it was refused")
  {
    ledger.OnRefused("r1", kSecond);
    ledger.OnRun("s1", "r1", "web", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::RefusedAndRan);
  }
}

TEST_CASE(
  "A damaged response is a violation, and a changed packet is not intact")
{
  Ledger ledger;
  SECTION("response")
  {
    ledger.OnBadResponse(
      "r1", "its body differs from what the server sent", kSecond);
    CHECK(OnlyViolation(ledger) == Violation::BrokenAnswer);
  }
  SECTION("packet")
  {
    Packet packet{ .seq = 7, .acks = true, .data = "abc" };
    std::vector<uint8_t> bytes = Encode(packet);
    CHECK(IsIntact(*Decode(bytes)));
    bytes[28] = 9; // instances may change the echo
    CHECK(IsIntact(*Decode(bytes)));
    bytes.back() ^= 1;
    CHECK_FALSE(IsIntact(*Decode(bytes)));
  }
}

TEST_CASE(
  "A new flow to a drained zone is a violation from the bound until the "
  "request may be withdrawn")
{
  constexpr Micros kFrom = 10 * kSecond;
  constexpr Micros kUntil = kFrom + kMaxZoneDrainDelay + 3;
  Ledger ledger;
  ledger.OnOpened("s1", 0, kFrom);
  ledger.OnZoneDrain("s1", kFrom, kUntil);
  ledger.OnOpened("s1", 0, kFrom + kMaxZoneDrainDelay);
  ledger.OnOpened("s1", 0, kUntil);
  CHECK(ledger.Findings().empty());
  ledger.OnOpened("s1", 0, kUntil - 1);
  CHECK(OnlyViolation(ledger) == Violation::Drained);
}

TEST_CASE("A late new flow to a draining server is a violation unless its "
          "instance is disturbed")
{
  Ledger ledger;
  ledger.OnDraining("s1", 10 * kSecond);
  ledger.OnOpened("s1", 0, 10 * kSecond + kMaxDrainDelay);
  CHECK(ledger.Findings().empty());
  SECTION("undisturbed instance")
  {
    ledger.OnOpened("s1", 0, 10 * kSecond + kMaxDrainDelay + 1);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
  SECTION("a fault of another instance doesn't matter")
  {
    ledger.Disruptions().Begin(DisruptionKind::Unplanned, 1, 9 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
  SECTION("a fault of the instance excuses it until some time after its end")
  {
    ledger.Disruptions().Begin(DisruptionKind::Unplanned, 0, 9 * kSecond);
    ledger.Disruptions().End(DisruptionKind::Unplanned, 0, 11 * kSecond);
    ledger.OnOpened("s1", 0, 14 * kSecond);
    CHECK(ledger.Findings().empty());
    ledger.OnOpened("s1", 0, 16 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::Drained);
  }
}

TEST_CASE("A configuration that is in force too late or gives way to an older "
          "one is a violation")
{
  Ledger ledger;
  ledger.OnAccepted(1, kSecond);
  ledger.OnAccepted(2, 10 * kSecond);
  ledger.OnInForce(0, 1, 10 * kSecond + kMaxConfigDelay);
  CHECK(ledger.Findings().empty());
  SECTION("too late")
  {
    ledger.OnInForce(0, 1, 10 * kSecond + kMaxConfigDelay + 1);
    CHECK(OnlyViolation(ledger) == Violation::Late);
  }
  SECTION("late during a fault of the store")
  {
    ledger.Disruptions().Begin(
      DisruptionKind::Unplanned, std::nullopt, 11 * kSecond);
    ledger.OnInForce(0, 1, 14 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("back to an older one")
  {
    ledger.OnInForce(0, 2, 11 * kSecond);
    ledger.OnInForce(0, 1, 12 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::WentBack);
  }
  SECTION("an instance that starts may begin with an older one")
  {
    ledger.OnInForce(0, 2, 11 * kSecond);
    ledger.OnStarted(0);
    ledger.OnInForce(0, 1, 12 * kSecond);
    CHECK(ledger.Findings().empty());
  }
}

TEST_CASE(
  "A flow broken without a fault and a planned stop with a bad status are "
  "violations")
{
  Ledger ledger;
  SECTION("during a planned stop of an instance")
  {
    ledger.Disruptions().Begin(DisruptionKind::Planned, 0, 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(OnlyViolation(ledger) == Violation::FlowBroken);
  }
  SECTION("during a fault of a server")
  {
    ledger.Disruptions().Begin(
      DisruptionKind::ServerFault, std::nullopt, 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("after the server is gone")
  {
    ledger.OnGone("s1", 9 * kSecond);
    ledger.OnFlowReset("s1", 10 * kSecond);
    CHECK(ledger.Findings().empty());
  }
  SECTION("exit status of a planned stop")
  {
    ledger.OnExit(0, true, 0, kSecond);
    CHECK(ledger.Findings().empty());
    ledger.OnExit(0, true, 139, kSecond);
    CHECK(OnlyViolation(ledger) == Violation::BadExit);
  }
}

TEST_CASE(
  "A seed always gives the same plan, and many seeds together give every "
  "action")
{
  std::set<StepAction> seen;
  for (uint32_t seed = 1; seed <= 80; ++seed) {
    PlanOptions options{ .schedule =
                           seed % 2 == 0 ? Schedule::Servers : Schedule::All,
                         .seed = seed };
    std::vector<Step> plan = MakePlan(options);
    std::vector<Step> repeatedPlan = MakePlan(options);
    REQUIRE(plan.size() == repeatedPlan.size());
    for (size_t i = 0; i < plan.size(); ++i) {
      CHECK(Describe(plan[i]) == Describe(repeatedPlan[i]));
      seen.insert(plan[i].action);
    }
  }
  CHECK(seen.size() == static_cast<size_t>(StepAction::Count));
}

}
