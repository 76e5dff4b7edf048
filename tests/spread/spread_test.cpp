// Decisions of spreading, and a fleet of them in virtual time.
#include "support/spread_fleet.h"
#include "support/tagged_view.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

using spread::Heartbeat;
using spread::Replicator;

constexpr Address kSelf = 10;
constexpr Address kPeer = 20;

Replicator
MakeReplicator(double aCores = 0.5)
{
  spread::ReplicatorOptions options;
  options.self = kSelf;
  options.zone = "a";
  options.cores = aCores;
  options.seeds = { kPeer };
  return Replicator(options);
}

Heartbeat
MakeHeartbeat(const std::string& aZone, bool aReads)
{
  Heartbeat heartbeat;
  heartbeat.zone = aZone;
  heartbeat.cores = 0.5;
  heartbeat.reads = aReads;
  heartbeat.storeAnswers = aReads;
  heartbeat.hasView = true;
  heartbeat.configVersion = 3;
  heartbeat.configRevision = 50;
  heartbeat.serversRevision = 50;
  heartbeat.recent = { 50, 50, {} };
  return heartbeat;
}

// A fleet after its first fifteen seconds.
std::unique_ptr<SpreadFleet>
MakeFleet(const SpreadFleetOptions& aOptions = {})
{
  auto fleet = std::make_unique<SpreadFleet>(aOptions);
  for (steer::ServerId id = 1; id <= 30; ++id) {
    fleet->store.PutServer(id);
  }
  for (size_t i = 0; i < fleet->Size(); ++i) {
    fleet->Start(i);
  }
  fleet->Run(15 * kSecond);
  return fleet;
}

}

TEST_CASE("Changes follow on without a gap, or a view is wanted")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(3, 50, kSecond);
  spread.OnServersList(50, kSecond);
  Heartbeat heartbeat = MakeHeartbeat("a", true);
  heartbeat.serversRevision = 60;
  heartbeat.recent = { 50, 60, { MakeServer(1, "web", 55) } };
  CHECK(spread.OnHeartbeat(kPeer, heartbeat, kSecond).size() == 1);
  // Told again.
  CHECK(spread.OnHeartbeat(kPeer, heartbeat, kSecond).empty());
  CHECK(spread.Servers().revision == 60);
  heartbeat.serversRevision = 80;
  heartbeat.recent = { 70, 80, { MakeServer(2, "web", 75) } };
  CHECK(spread.OnHeartbeat(kPeer, heartbeat, kSecond).empty());
  CHECK_FALSE(spread.NextViewRequest(kSecond));
  std::optional<spread::ViewRequest> viewRequest =
    spread.NextViewRequest(kSecond + spread::kViewRequestDelay);
  REQUIRE(viewRequest);
  CHECK(viewRequest->peer == kPeer);
  CHECK(viewRequest->servers);
  // The datagram between the two was only late.
  heartbeat.recent = { 60, 80, { MakeServer(2, "web", 75) } };
  CHECK(spread.OnHeartbeat(kPeer, heartbeat, 2 * kSecond).size() == 1);
  CHECK_FALSE(spread.NextViewRequest(3 * kSecond));
}

TEST_CASE("An older peer makes nothing go back and confirms what it knew")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(5, 90, kSecond);
  spread.OnServersList(90, kSecond);
  Heartbeat older = MakeHeartbeat("a", true);
  older.configAge = 100 * kMillisecond;
  older.serversAge = 100 * kMillisecond;
  CHECK(spread.OnHeartbeat(kPeer, older, 3 * kSecond).empty());
  CHECK(spread.Servers().revision == 90);
  CHECK_FALSE(spread.NextViewRequest(10 * kSecond));
  CHECK(spread.Config().confirmedAt == 3 * kSecond - 100 * kMillisecond);
}

TEST_CASE("A newer peer's age says nothing until its version is in force")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(3, 50, kSecond);
  spread.OnServersList(50, kSecond);
  Heartbeat heartbeat = MakeHeartbeat("a", true);
  heartbeat.configVersion = 4;
  spread.OnHeartbeat(kPeer, heartbeat, 9 * kSecond);
  CHECK(spread.Config().confirmedAt == kSecond);
  std::optional<spread::ViewRequest> viewRequest =
    spread.NextViewRequest(9 * kSecond);
  REQUIRE(viewRequest);
  CHECK(viewRequest->peer == kPeer);
  // The servers are as new here.
  CHECK_FALSE(viewRequest->servers);
}

TEST_CASE("Of two readers of a zone the better one goes on")
{
  Replicator spread = MakeReplicator(0.1);
  Micros now = 20 * kSecond;
  // Nobody reads: this instance does.
  for (Micros end = now + 5 * kSecond; now < end; now += 50 * kMillisecond) {
    spread.Tick(now);
  }
  REQUIRE(spread.Reads());
  spread.OnConfigResponse(3, 50, now);
  spread.OnServersList(50, now);
  Heartbeat larger = MakeHeartbeat("a", true);
  SECTION("One without an answer of the store is not better")
  {
    larger.storeAnswers = false;
  }
  SECTION("One of another zone is no rival")
  {
    larger.zone = "b";
  }
  SECTION("A larger one that the store answers is") {}
  for (Micros end = now + 2 * kSecond; now < end; now += 50 * kMillisecond) {
    spread.OnHeartbeat(kPeer, larger, now);
    spread.Tick(now);
  }
  CHECK(spread.Reads() == !(larger.storeAnswers && larger.zone == "a"));
}

TEST_CASE("A pause makes what is known old")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(3, 50, kSecond);
  spread.OnServersList(50, kSecond);
  CHECK_FALSE(spread.Stale(kSecond));
  spread.OnProcessPause();
  CHECK(spread.Stale(kSecond));
}

TEST_CASE("A store that answers after a long silence was away")
{
  Replicator spread = MakeReplicator();
  spread.OnConfigResponse(3, 50, kSecond);
  spread.OnServersList(50, kSecond);
  // At the start, and at watches that tell nothing, it was not.
  spread.OnServersChanges({}, 50, 2 * kSecond);
  CHECK(spread.StoreBackAt() == spread::kNever);
  SECTION("for whoever begins to read just then")
  {
    spread.OnServersChanges({}, 60, 9 * kSecond);
    CHECK(spread.StoreBackAt() == 9 * kSecond);
  }
  SECTION("but not for one that stood still itself")
  {
    spread.OnProcessPause();
    spread.OnServersChanges({}, 60, 9 * kSecond);
    CHECK(spread.StoreBackAt() == spread::kNever);
  }
}

TEST_CASE("A fleet reads with one instance a zone, and all follow")
{
  auto fleet = MakeFleet();
  CHECK(fleet->ReaderCount() == 4);
  CHECK(fleet->OutdatedInstances() == 0);
  uint64_t callsBefore = fleet->store.calls;
  for (steer::ServerId id = 1; id <= 10; ++id) {
    fleet->ChangeConfig();
    fleet->store.PutServer(100 + id);
    fleet->store.RemoveServer(id);
    fleet->Run(kSecond);
  }
  fleet->Run(2 * kSecond);
  CHECK(fleet->OutdatedInstances() == 0);
  CHECK(fleet->MaxPropagationTime() <= kSecond);
  // Four readers, two kinds, a watch a second, one more for each change.
  CHECK(fleet->store.calls - callsBefore < 4 * (2 * 12 + 2 * 10) * 1.2);
}

TEST_CASE("Readers that die are replaced within the bound")
{
  auto fleet = MakeFleet();
  for (size_t i = 0; i < fleet->Size(); ++i) {
    if (fleet->At(i).spread->Reads()) {
      fleet->Kill(i);
    }
  }
  fleet->ChangeConfig();
  fleet->store.PutServer(77);
  fleet->Run(6 * kSecond);
  CHECK(fleet->OutdatedInstances() == 0);
  CHECK(fleet->ReaderCount() == 4);
  CHECK(fleet->MaxPropagationTime() <= 3 * kSecond);
}

TEST_CASE("Readers that the store turns away do not hold their zone up")
{
  auto fleet = MakeFleet();
  SECTION("one") {}
  SECTION("all")
  {
    for (size_t i = 0; i < fleet->Size(); ++i) {
      if (fleet->At(i).spread->Reads()) {
        fleet->DenyStore(i, true);
      }
    }
  }
  for (size_t i = 0; i < fleet->Size(); ++i) {
    if (fleet->At(i).spread->Reads()) {
      fleet->DenyStore(i, true);
      break;
    }
  }
  fleet->ChangeConfig();
  fleet->Run(3 * kSecond);
  fleet->ChangeConfig();
  fleet->Run(6 * kSecond);
  CHECK(fleet->MaxPropagationTime() <= 3 * kSecond);
}

TEST_CASE("A zone that is cut off reads for itself, and joins again")
{
  auto fleet = MakeFleet();
  fleet->IsolateZone(2, true);
  fleet->ChangeConfig();
  fleet->Run(8 * kSecond);
  fleet->IsolateZone(2, false);
  fleet->ChangeConfig();
  fleet->Run(8 * kSecond);
  CHECK(fleet->OutdatedInstances() == 0);
  CHECK(fleet->ReaderCount() == 4);
  CHECK(fleet->MaxPropagationTime() <= 3 * kSecond);
}

TEST_CASE("While the store is down few ask it, and all know soon after")
{
  auto fleet = MakeFleet({ .perZone = 20 });
  fleet->store.down = true;
  uint64_t callsBefore = fleet->store.calls;
  fleet->Run(6 * kSecond);
  // Of 80 instances that all asked every second: 960.
  CHECK(fleet->store.calls - callsBefore < 250);
  fleet->store.down = false;
  fleet->ChangeConfig();
  fleet->Run(5 * kSecond);
  CHECK(fleet->OutdatedInstances() == 0);
  CHECK(fleet->MaxPropagationTime() <= 3 * kSecond);
}

TEST_CASE("A fresh instance gets its view from a peer while the store is down")
{
  auto fleet = MakeFleet();
  fleet->store.down = true;
  fleet->Kill(3);
  fleet->Run(kSecond);
  fleet->Start(3);
  fleet->Run(200 * kMillisecond);
  CHECK(fleet->At(3).spread->HasView());
}

}
