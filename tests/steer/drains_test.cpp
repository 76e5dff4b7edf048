// Drains of zones and regions of routes: which servers a new flow may get, and
// what becomes of flows that are open already.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace gentianspindle {

using namespace steer;

namespace {

// Three servers of "web": 1 in zone "a", 2 in zone "b", 3 in zone "c".
struct ZonesFixture : SteeringFixture
{
  uint64_t revision = 100;

  ZonesFixture()
  {
    for (ServerId id : { 1, 2, 3 }) {
      this->PutServer(id, std::string(1, static_cast<char>('a' + id - 1)));
    }
  }

  void PutServer(ServerId aId, const std::string& aZone)
  {
    ServerChange change = MakeServer(aId, "web", ++this->revision);
    change.entry->zone = aZone;
    this->steer.CurrentView().PutServer(change, this->now);
  }

  // Drains exactly these zones.
  void Drain(const std::vector<std::string>& aZones)
  {
    ++this->revision;
    this->steer.CurrentView().PutDrains(
      { PositionAt(this->revision), PositionAt(this->revision), aZones },
      this->now);
  }

  // Returns how many of aCount new flows each server gets, by its id.
  std::map<ServerId, int> CountOpenings(int aCount = 60)
  {
    std::map<ServerId, int> counts;
    for (int i = 0; i < aCount; ++i) {
      Decision decision = this->Open(++this->port);
      if (decision.action == Action::Forward) {
        ++counts[this->steer.CurrentView().At(decision.server).entry.id];
      }
    }
    return counts;
  }

  uint16_t port = 7000;
};

}

TEST_CASE("While a zone is drained its servers get no new flow")
{
  ZonesFixture fixture;
  REQUIRE(fixture.CountOpenings().contains(1));
  fixture.Drain({ "a" });
  CHECK_FALSE(fixture.CountOpenings().contains(1));
  // A server that appears in the zone later gets none either.
  fixture.PutServer(4, "a");
  CHECK_FALSE(fixture.CountOpenings().contains(4));
  fixture.Drain({ "a", "b" });
  std::map<ServerId, int> counts = fixture.CountOpenings();
  CHECK(counts.size() == 1);
  CHECK(counts.contains(3));
  fixture.Drain({ "b" });
  CHECK(fixture.CountOpenings().contains(1));
}

TEST_CASE("A state of an earlier revision does not replace the one in force")
{
  ZonesFixture fixture;
  fixture.Drain({ "a" });
  CHECK_FALSE(fixture.steer.CurrentView().PutDrains(
    { PositionAt(5), PositionAt(5), {} }, fixture.now));
  CHECK_FALSE(fixture.CountOpenings().contains(1));
}

// Guards against openings in a zone whose drain is acknowledged, but missing in
// the copy from which the store came back, until operators write it again.
TEST_CASE("A drain that the store's next era lacks stays in force for a while")
{
  ZonesFixture fixture;
  View& view = fixture.steer.CurrentView();
  fixture.Drain({ "a", "b" });
  view.PutDrains({ PositionAt(5, 2), PositionAt(5, 2), { "b" } }, fixture.now);
  Micros returnedAt = fixture.now;
  CHECK_FALSE(fixture.CountOpenings().contains(1));
  SECTION("until it ends")
  {
    view.Tick(returnedAt + kDrainRetention - 1);
    CHECK_FALSE(fixture.CountOpenings().contains(1));
    view.Tick(returnedAt + kDrainRetention);
  }
  SECTION("or until it is written again and then withdrawn")
  {
    view.PutDrains({ PositionAt(6, 2), PositionAt(6, 2), { "a", "b" } },
                   fixture.now);
    CHECK_FALSE(fixture.CountOpenings().contains(1));
    view.PutDrains({ PositionAt(7, 2), PositionAt(7, 2), { "b" } },
                   fixture.now);
  }
  CHECK(fixture.CountOpenings().contains(1));
  CHECK_FALSE(fixture.CountOpenings().contains(2));
}

TEST_CASE("A flow that is open in a drained zone stays there")
{
  ZonesFixture fixture;
  fixture.Drain({ "b", "c" });
  Decision opened = fixture.Open(6000);
  fixture.SendData(6000, opened.tag);
  fixture.Drain({ "a", "b", "c" });
  Decision decision = fixture.SendData(6000, opened.tag, 2);
  CHECK(decision.action == Action::Forward);
  CHECK(decision.reason == Reason::Known);
  CHECK(fixture.steer.CurrentView().At(decision.server).entry.id == 1);
}

// The server in the drained zone got the first packet and may still answer, so
// no other server gets the retransmission either.
TEST_CASE("A retransmission of an opening packet reaches no drained zone")
{
  ZonesFixture fixture;
  fixture.Drain({ "b", "c" });
  Decision opened = fixture.Open(6000);
  REQUIRE(opened.action == Action::Forward);
  fixture.Drain({ "a" });
  fixture.now += kOpeningIntervals[0];
  Decision again = fixture.Open(6000, 0, 1);
  CHECK(again.action == Action::Reset);
  CHECK(again.reason == Reason::ServerUnusable);
  Decision newFlow = fixture.Open(6001);
  CHECK(newFlow.action == Action::Forward);
  CHECK(newFlow.server != opened.server);
}

TEST_CASE("A held opening packet is released to no server of a drained zone")
{
  ZonesFixture fixture;
  // Slow responses turn on the concurrency limit.
  for (int i = 0; i < 200; ++i) {
    Decision opened = fixture.Open(++fixture.port);
    fixture.SendData(fixture.port, opened.tag);
    fixture.now += 300 * kMillisecond;
    fixture.SendData(fixture.port, opened.tag, 2);
    fixture.SendFin(fixture.port, opened.tag);
    fixture.steer.Tick(fixture.now);
  }
  uint16_t held = 0;
  for (int i = 0; held == 0 && i < 100; ++i) {
    bool holds = fixture.Open(++fixture.port).action == Action::Hold;
    held = holds ? fixture.port : 0;
  }
  REQUIRE(held != 0);
  bool allDrained = GENERATE(false, true);
  fixture.Drain(allDrained ? std::vector<std::string>{ "a", "b", "c" }
                           : std::vector<std::string>{ "a", "b" });
  fixture.now += kCountedLatencyTargets * 100 * kMillisecond;
  fixture.steer.Tick(fixture.now);
  fixture.Open(held, 0, 1);
  std::optional<ReleasedPacket> released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  const Decision& decision = released->decision;
  CHECK(decision.action == (allDrained ? Action::Reset : Action::Forward));
  CHECK((allDrained ? decision.reason == Reason::ZoneDrained
                    : decision.server == fixture.IndexOf(3)));
}

TEST_CASE("With all zones drained a new flow is refused at once, and counted")
{
  ZonesFixture fixture;
  fixture.Drain({ "a", "b", "c" });
  Decision decision = fixture.Open(6000);
  CHECK(decision.action == Action::Reset);
  CHECK(decision.reason == Reason::ZoneDrained);
  auto index = static_cast<size_t>(Reason::ZoneDrained);
  CHECK(fixture.steer.Counts().reasons[index] == 1);
}

TEST_CASE("A route uses only servers of its regions")
{
  struct Row
  {
    std::vector<std::string> regions;
    std::set<ServerId> servers; // none: refused
  };
  Row row = GENERATE(values<Row>({
    { {}, { 1, 2, 3 } },
    { { "north" }, { 1, 2 } },
    { { "south" }, {} }, // the region of zone "c" is not known
    { { "north", "south" }, { 1, 2 } },
    { { "elsewhere" }, {} },
  }));
  ZonesFixture fixture;
  View& view = fixture.steer.CurrentView();
  view.SetRegions({ { "a", "north" }, { "b", "north" }, { "x", "south" } });
  Config config = MakeConfig(2);
  config.routes[0].regions = row.regions;
  view.PutConfig(config);
  std::set<ServerId> used;
  for (const auto& [server, count] : fixture.CountOpenings()) {
    used.insert(server);
  }
  CHECK(used == row.servers);
  if (row.servers.empty()) {
    Decision refused = fixture.Open(6000);
    CHECK(refused.action == Action::Reset);
    CHECK(refused.reason == Reason::RegionNotAllowed);
  }
}

TEST_CASE("A route that loses a region keeps its open flows there, but opens "
          "none")
{
  ZonesFixture fixture;
  View& view = fixture.steer.CurrentView();
  view.SetRegions({ { "a", "north" }, { "b", "south" }, { "c", "south" } });
  fixture.Drain({ "b", "c" });
  Decision opened = fixture.Open(6000);
  Decision opening = fixture.Open(6001);
  fixture.SendData(6000, opened.tag);
  fixture.Drain({});
  Config config = MakeConfig(2);
  config.routes[0].regions = { "south" };
  view.PutConfig(config);
  CHECK(fixture.SendData(6000, opened.tag, 2).server == opened.server);
  fixture.now += kOpeningIntervals[0];
  CHECK(fixture.Open(6001, 0, 1).server != opening.server);
}

}
