// Drained zones: the decisions of one replicator, each failure once in a fleet,
// and random histories in virtual time. They guard against an opening in a
// drained zone beyond the bound, and against a return to an earlier state.
#include "support/spread_fleet.h"
#include "support/tagged_view.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gentianspindle {

namespace {

using spread::Heartbeat;
using spread::Replicator;
using Zones = std::vector<std::string>;

constexpr Address kPeer = 20;
// A drain must be in force within this time.
constexpr Micros kMaxDrainTime = 5 * kSecond;

Replicator
MakeReplicator(bool aDrains = true)
{
  spread::ReplicatorOptions options;
  options.self = 10;
  options.zone = "a";
  options.seeds = { kPeer };
  options.drains = aDrains;
  return Replicator(options);
}

// Returns a heartbeat whose sender, without a view, knows these drained zones
// since half a second.
Heartbeat
MakeHeartbeat(uint64_t aRevision, uint64_t aChangedRevision, Zones aZones)
{
  Heartbeat heartbeat;
  heartbeat.zone = "a";
  heartbeat.drains = { PositionAt(aRevision),
                       PositionAt(aChangedRevision),
                       std::move(aZones) };
  heartbeat.drainsAge = kSecond / 2;
  return heartbeat;
}

// Returns a fleet that has run for fifteen seconds.
std::unique_ptr<SpreadFleet>
MakeFleet(SpreadFleetOptions aOptions = {})
{
  aOptions.drains = true;
  auto fleet = std::make_unique<SpreadFleet>(aOptions);
  fleet->store.PutServer(1);
  fleet->store.Copy();
  for (size_t i = 0; i < fleet->Size(); ++i) {
    fleet->Start(i);
  }
  fleet->Run(15 * kSecond);
  return fleet;
}

bool
Knows(const SpreadFleet& aFleet, size_t aInstance, const Zones& aZones)
{
  return aFleet.At(aInstance).view->Drains().zones == aZones;
}

}

TEST_CASE(
  "A heartbeat of an earlier revision that arrives late changes nothing")
{
  Replicator spread = MakeReplicator();
  spread.OnHeartbeat(kPeer, MakeHeartbeat(50, 50, { "z1" }), kSecond);
  CHECK(spread.Drains().zones == Zones{ "z1" });
  // The request is withdrawn and made again within a second.
  spread.OnHeartbeat(kPeer, MakeHeartbeat(60, 60, { "z1", "z2" }), kSecond);
  spread.OnHeartbeat(kPeer, MakeHeartbeat(55, 55, {}), 2 * kSecond);
  CHECK(spread.Drains().zones == Zones{ "z1", "z2" });
  CHECK(spread.Drains().position == PositionAt(60));
  // What it confirms is no newer than its age.
  CHECK(spread.DrainsConfirmedAt() == 2 * kSecond - kSecond / 2);
}

TEST_CASE("The changes of a watch that began before a peer's state end in the "
          "state of its revision")
{
  Replicator spread = MakeReplicator();
  spread.OnDrainsResponse({}, PositionAt(40), true, kSecond);
  std::vector<steer::DrainChange> changes{ { "z1", PositionAt(45), false },
                                           { "z1", PositionAt(50), true },
                                           { "z2", PositionAt(52), false },
                                           { "z1", PositionAt(55), false } };
  SECTION("with a peer's state in between")
  {
    spread.OnHeartbeat(kPeer, MakeHeartbeat(50, 50, {}), kSecond);
  }
  SECTION("without one") {}
  spread.OnDrainsResponse(changes, PositionAt(58), false, kSecond);
  CHECK(spread.Drains().zones == Zones{ "z1", "z2" });
  // A response from before what a peer told changes nothing.
  spread.OnHeartbeat(kPeer, MakeHeartbeat(70, 70, {}), kSecond);
  spread.OnDrainsResponse(changes, PositionAt(60), false, kSecond);
  CHECK(spread.Drains().zones.empty());
  // After a loss of the store's history the list replaces the state.
  std::vector<steer::DrainChange> list{ { "z3", PositionAt(44), false } };
  spread.OnDrainsResponse(list, PositionAt(80), true, kSecond);
  CHECK(spread.Drains().zones == Zones{ "z3" });
}

// Guards against a drain that no instance ever heeds, or never lifts, after the
// store came back from an older copy: its revision is below the known one.
TEST_CASE(
  "A drain of the store's next era replaces the state of the former one")
{
  Replicator reader = MakeReplicator();
  reader.OnDrainsResponse({}, PositionAt(90), true, kSecond);
  Replicator follower = MakeReplicator();
  follower.OnPeerDrains(reader.Drains(), kSecond);
  std::vector<steer::DrainChange> list{ { "z1", PositionAt(20, 2), false } };
  CHECK(reader.OnDrainsResponse(list, PositionAt(40, 2), true, 2 * kSecond));
  CHECK(follower.OnPeerDrains(reader.Drains(), 2 * kSecond));
  CHECK(follower.Drains().zones == Zones{ "z1" });
  CHECK(follower.Drains().changedPosition == PositionAt(40, 2));
  // What was sent in the former era and comes late neither changes nor
  // confirms.
  CHECK_FALSE(
    follower.OnPeerDrains({ PositionAt(95), PositionAt(95), {} }, 3 * kSecond));
  CHECK(follower.Drains().zones == Zones{ "z1" });
  CHECK(follower.DrainsConfirmedAt() == 2 * kSecond);
  CHECK_FALSE(reader.OnDrainsResponse({}, PositionAt(95), false, 3 * kSecond));
  CHECK(reader.Drains().zones == Zones{ "z1" });
  CHECK(reader.DrainsConfirmedAt() == 2 * kSecond);
  // The end of the drain, and a second return soon after.
  std::vector<steer::DrainChange> ended{ { "z1", PositionAt(41, 2), true } };
  CHECK(reader.OnDrainsResponse(ended, PositionAt(41, 2), false, 4 * kSecond));
  CHECK(reader.OnDrainsResponse(list, PositionAt(30, 3), true, 5 * kSecond));
  CHECK(follower.OnPeerDrains(reader.Drains(), 5 * kSecond) == false);
  CHECK(follower.Drains().position == PositionAt(30, 3));
}

// Guards against a view that keeps the drains of the former era.
TEST_CASE("Drains that a heartbeat of the next era leaves out are requested")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(3, PositionAt(50), kSecond);
  spread.OnServersList(PositionAt(50), kSecond);
  spread.OnDrainsResponse({}, PositionAt(50), true, kSecond);
  Heartbeat heartbeat = MakeHeartbeat(0, 0, {});
  heartbeat.hasView = true;
  heartbeat.configVersion = 3;
  heartbeat.configPosition = PositionAt(50);
  heartbeat.serversPosition = PositionAt(50);
  heartbeat.drains = { PositionAt(40, 2), PositionAt(40, 2), {} };
  heartbeat.drainsLeftOut = true;
  spread.OnHeartbeat(kPeer, heartbeat, 2 * kSecond);
  CHECK(spread.Drains().position == PositionAt(50));
  CHECK(spread.NextViewRequest(2 * kSecond + spread::kViewRequestDelay));
}

TEST_CASE("Without the setting drains are neither taken over nor passed on")
{
  Replicator spread = MakeReplicator(false);
  spread.OnHeartbeat(kPeer, MakeHeartbeat(50, 50, { "z1" }), kSecond);
  CHECK_FALSE(spread.Drains().IsKnown());
  CHECK(spread.TakeHeartbeats(kSecond)[0].heartbeat.drains.position ==
        StorePosition{});
}

TEST_CASE("More drained zones than a heartbeat holds are fetched with a view")
{
  Replicator sender = MakeReplicator();
  std::vector<steer::DrainChange> changes;
  for (size_t i = 0; i <= spread::kMaxDrainedZones; ++i) {
    changes.push_back({ "zone-" + std::to_string(i), PositionAt(60), false });
  }
  sender.OnConfigResponse(3, PositionAt(50), kSecond);
  sender.OnServersList(PositionAt(50), kSecond);
  sender.OnDrainsResponse(changes, PositionAt(60), true, kSecond);
  Heartbeat heartbeat = sender.TakeHeartbeats(kSecond)[0].heartbeat;
  CHECK(heartbeat.drainsLeftOut);
  CHECK(heartbeat.drains.zones.empty());

  Replicator receiver = MakeReplicator();
  receiver.OnConfigResponse(3, PositionAt(50), kSecond);
  receiver.OnServersList(PositionAt(50), kSecond);
  receiver.OnDrainsResponse({}, PositionAt(50), true, kSecond);
  receiver.OnHeartbeat(kPeer, heartbeat, kSecond);
  CHECK(receiver.Drains().position == PositionAt(50));
  auto request = receiver.NextViewRequest(kSecond + spread::kViewRequestDelay);
  REQUIRE(request);
  CHECK(request->peer == kPeer);
  CHECK_FALSE(request->servers);
  receiver.OnPeerDrains(sender.Drains(), spread::kNever);
  CHECK_FALSE(receiver.NextViewRequest(9 * kSecond));
  // Later heartbeats without a change need no view.
  sender.OnDrainsResponse({}, PositionAt(90), false, 2 * kSecond);
  receiver.OnHeartbeat(
    kPeer, sender.TakeHeartbeats(2 * kSecond)[0].heartbeat, 2 * kSecond);
  CHECK(receiver.Drains().position == PositionAt(90));
  CHECK(receiver.Drains().zones == sender.Drains().zones);
}

TEST_CASE(
  "Drains reach all instances at once, also two zones, a withdrawal and "
  "a new request within a second")
{
  auto fleet = MakeFleet();
  uint64_t callsBefore = fleet->store.calls;
  fleet->SetDrain("z1", true);
  fleet->Run(300 * kMillisecond);
  CHECK(fleet->OutdatedDrains() == 0);
  fleet->SetDrain("z2", true);
  fleet->SetDrain("z1", false);
  fleet->Run(100 * kMillisecond);
  fleet->SetDrain("z1", true);
  fleet->Run(300 * kMillisecond);
  CHECK(fleet->OutdatedDrains() == 0);
  CHECK(fleet->WrongDrains() == 0);
  fleet->SetDrain("z1", false);
  fleet->SetDrain("z2", false);
  fleet->Run(9300 * kMillisecond);
  CHECK(fleet->OutdatedDrains() == 0);
  // Four readers: in ten seconds twenty watches of the other kinds, four of the
  // drains and one for each of four rounds of changes, with a margin of 20 %.
  CHECK(fleet->store.calls - callsBefore < 4 * (20 + 4 + 4) * 1.2);
}

TEST_CASE("Each failure leaves the drained zones as they were known last")
{
  auto fleet = MakeFleet();
  fleet->SetDrain("z1", true);
  fleet->Run(kSecond);
  SECTION("an instance that restarts during a store outage")
  {
    fleet->SetStoreDown(true);
    fleet->Kill(9);
    fleet->Run(kSecond);
    fleet->Start(9);
    fleet->Run(300 * kMillisecond);
    CHECK(Knows(*fleet, 9, { "z1" }));
  }
  SECTION("all instances restart after the store is back")
  {
    for (size_t i = 0; i < fleet->Size(); ++i) {
      fleet->Kill(i);
    }
    fleet->Run(kSecond);
    for (size_t i = 0; i < fleet->Size(); ++i) {
      fleet->Start(i);
    }
    fleet->Run(500 * kMillisecond);
    CHECK(fleet->OutdatedDrains() == 0);
  }
  SECTION(
    "a zone that is cut off from the others and from the store, and comes "
    "back after a withdrawal")
  {
    size_t perZone = fleet->Size() / 4;
    auto cut = [&](bool aCut) {
      fleet->IsolateZone(2, aCut);
      for (size_t i = 2 * perZone; i < 3 * perZone; ++i) {
        fleet->DenyStore(i, aCut);
      }
    };
    cut(true);
    fleet->SetDrain("z1", false);
    fleet->SetDrain("z3", true);
    fleet->Run(8 * kSecond);
    CHECK(Knows(*fleet, 2 * perZone, { "z1" }));
    CHECK(Knows(*fleet, 0, { "z3" }));
    cut(false);
    fleet->Run(2 * kSecond);
    CHECK(fleet->OutdatedDrains() == 0);
  }
  SECTION("the store forgets its history")
  {
    fleet->store.ForgetHistory();
    fleet->SetDrain("z2", true);
    fleet->Run(kSecond);
    CHECK(fleet->OutdatedDrains() == 0);
  }
  SECTION("the store turns the readers away")
  {
    for (size_t i = 0; i < fleet->Size(); ++i) {
      if (fleet->At(i).spread->Reads()) {
        fleet->DenyStore(i, true);
      }
    }
    fleet->SetDrain("z2", true);
    fleet->Run(4 * kSecond);
    CHECK(fleet->OutdatedDrains() == 0);
  }
  CHECK(fleet->WrongDrains() == 0);
  CHECK(fleet->MaxDrainTime() <= kMaxDrainTime);
}

namespace {

// A fault, its end, or an operator's request.
enum class Step : uint8_t
{
  Drain,
  Withdraw,
  DrainAgain, // withdrawn and made again within a second
  Kill,
  Start,
  DenyStore,
  AllowStore,
  IsolateZone,
  ReconnectZone,
  StoreDown,
  StoreUp,
  ForgetHistory,
  Server,
  Copy,
  Return, // the store comes back from the copy
  Count,
};

constexpr size_t kStepKinds = static_cast<size_t>(Step::Count);

// Applies one step; aSelector chooses its instance or zone. The store accepts
// no request while it is away.
void
ApplyStep(SpreadFleet& aFleet, Step aStep, size_t aSelector)
{
  size_t instance = aSelector % aFleet.Size();
  std::string zone = "z" + std::to_string(aSelector % 3);
  bool alive = aFleet.At(instance).alive;
  bool accepts = !aFleet.store.down;
  if (aStep == Step::Drain && accepts) {
    aFleet.SetDrain(zone, true);
  } else if (aStep == Step::Withdraw && accepts) {
    aFleet.SetDrain(zone, false);
  } else if (aStep == Step::DrainAgain && accepts) {
    aFleet.SetDrain(zone, false);
    aFleet.Run(static_cast<Micros>(aSelector) * 5 * kMillisecond);
    aFleet.SetDrain(zone, true);
  } else if (aStep == Step::Kill && alive) {
    aFleet.Kill(instance);
  } else if (aStep == Step::Start && !alive) {
    aFleet.Start(instance);
  } else if (aStep == Step::DenyStore || aStep == Step::AllowStore) {
    aFleet.DenyStore(instance, aStep == Step::DenyStore);
  } else if (aStep == Step::IsolateZone || aStep == Step::ReconnectZone) {
    aFleet.IsolateZone(aSelector % 3, aStep == Step::IsolateZone);
  } else if (aStep == Step::StoreDown || aStep == Step::StoreUp) {
    aFleet.SetStoreDown(aStep == Step::StoreDown);
  } else if (aStep == Step::ForgetHistory) {
    aFleet.store.ForgetHistory();
  } else if (aStep == Step::Copy) {
    aFleet.store.Copy();
  } else if (aStep == Step::Return) {
    aFleet.store.ReturnToCopy(aFleet.Now());
  } else if (aStep == Step::Server) {
    aFleet.store.PutServer(1 + aSelector % 40);
  }
}

}

TEST_CASE("Under random faults no drain is forgotten or comes late, and no "
          "state goes back")
{
  bool passed = rc::check([] {
    SpreadFleetOptions options;
    options.zones = 3;
    options.perZone = 4;
    options.loss = 0.03;
    options.lateness = 2 * kSecond; // peers seem stale
    options.seed = *rc::gen::inRange<uint32_t>(1, 1 << 30);
    auto fleet = MakeFleet(options);
    auto count = *rc::gen::inRange<size_t>(5, 30);
    std::vector<StorePosition> positions(fleet->Size());
    std::vector<uint64_t> incarnations(fleet->Size(), 0);
    for (size_t i = 0; i < count; ++i) {
      auto step = static_cast<Step>(*rc::gen::inRange<size_t>(0, kStepKinds));
      auto selector = *rc::gen::inRange<size_t>(0, 120);
      auto delay = *rc::gen::inRange<Micros>(0, 2500) * kMillisecond;
      RC_LOG() << "step " << static_cast<int>(step) << ", selector " << selector
               << ", then run for " << delay / kMillisecond << " ms\n";
      ApplyStep(*fleet, step, selector);
      fleet->Run(delay);
      for (size_t index = 0; index < fleet->Size(); ++index) {
        const SpreadInstance& instance = fleet->At(index);
        if (!instance.alive) {
          continue;
        }
        StorePosition position = instance.spread->Drains().position;
        bool same = instance.incarnation == incarnations[index];
        RC_ASSERT(!same || position >= positions[index]);
        incarnations[index] = instance.incarnation;
        positions[index] = position;
      }
      RC_ASSERT(fleet->WrongDrains() == 0U);
      RC_ASSERT(fleet->MaxDrainTime() <= kMaxDrainTime);
    }
    for (size_t index = 0; index < fleet->Size(); ++index) {
      fleet->DenyStore(index, false);
      fleet->IsolateZone(index % 3, false);
    }
    fleet->SetStoreDown(false);
    fleet->Run(12 * kSecond);
    RC_ASSERT(fleet->OutdatedDrains() == 0U);
    RC_ASSERT(fleet->MaxDrainTime() <= kMaxDrainTime);
  });
  CHECK(passed);
}

}
