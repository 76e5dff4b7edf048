// Requests that are told from the packets of a flow, and what is learned from
// their times.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

Packet
MakeSegment(uint32_t aSeq, uint32_t aAck, uint16_t aBytes)
{
  Packet packet;
  packet.seq = aSeq;
  packet.ack = aAck;
  packet.dataBytes = aBytes;
  return packet;
}

}

TEST_CASE("Each request of a flow is timed, also if it has several packets")
{
  RequestTracker tracker;
  CHECK_FALSE(tracker.OnPacket(MakeSegment(100, 1, 0), 10).began);
  CHECK(tracker.OnPacket(MakeSegment(100, 1, 900), 20).began);
  CHECK_FALSE(tracker.OnPacket(MakeSegment(1000, 1, 900), 25).began);
  RequestProgress first = tracker.OnPacket(MakeSegment(1900, 501, 0), 70);
  CHECK(first.answered);
  CHECK(first.duration == 50);
  // Repeated data, and acknowledgements that come late, show nothing.
  CHECK_FALSE(tracker.OnPacket(MakeSegment(1000, 301, 900), 75).began);
  CHECK_FALSE(tracker.OnPacket(MakeSegment(1900, 401, 0), 75).answered);
  CHECK(tracker.OnPacket(MakeSegment(1900, 501, 10), 100).began);
  // The packet with the next request is the first that acknowledges.
  RequestProgress both = tracker.OnPacket(MakeSegment(1910, 601, 10), 130);
  CHECK(both.answered);
  CHECK(both.duration == 30);
  CHECK(both.began);
  CHECK(tracker.begun == 3);
}

TEST_CASE("Sequence and acknowledgement numbers wrap around")
{
  RequestTracker tracker;
  tracker.OnPacket(MakeSegment(UINT32_MAX - 5, UINT32_MAX - 2, 0), 10);
  CHECK(tracker.OnPacket(MakeSegment(UINT32_MAX - 5, UINT32_MAX - 2, 20), 20)
          .began);
  CHECK(tracker.OnPacket(MakeSegment(14, 90, 0), 30).answered);
  CHECK_FALSE(
    tracker.OnPacket(MakeSegment(14, UINT32_MAX - 2, 0), 35).answered);
  CHECK(tracker.OnPacket(MakeSegment(14, 90, 20), 40).began);
}

TEST_CASE("Between its requests a flow doesn't count as busy")
{
  SteeringFixture fixture({ .byRequests = ByRequests::Always });
  Tag tag = fixture.Open(7000).tag;
  const ServerLoad& load = fixture.steer.HealthOf(fixture.IndexOf(tag)).load;
  CHECK(load.inFlight == 1);
  Packet packet = SteeringFixture::MakePacket(7000);
  packet.tag = tag;
  for (uint32_t request = 0; request < 50; ++request) {
    packet.ack = 1 + request;
    packet.dataBytes = 100;
    fixture.steer.OnPacket(packet, true, fixture.now);
    CHECK(load.inFlight == 1);
    fixture.now += 20 * kMillisecond;
    packet.seq += 100;
    packet.dataBytes = 0;
    packet.ack = 2 + request;
    fixture.steer.OnPacket(packet, true, fixture.now);
    CHECK(load.inFlight == 0);
    CHECK(load.idle == 1);
    fixture.now += kSecond;
  }
  CHECK(fixture.steer.ServiceLoads().at("web").hasLongFlows);
  fixture.now += kQuietTime + 2 * kSecond;
  fixture.steer.Tick(fixture.now);
  CHECK(load.idle == 0);
}

TEST_CASE("A server that answers after part of the work counts as full")
{
  constexpr Endpoint kRoute{ 1, 1 };
  RequestTimes times;
  times.OnHandshake(4 * kMillisecond);
  for (int i = 0; i < 50; ++i) {
    times.OnResponse(kRoute, times.ServiceMicros(54 * kMillisecond));
  }
  CHECK(std::abs(times.OnResponse(
          kRoute, times.ServiceMicros(54 * kMillisecond))) < 0.01);
  CHECK(times.OnResponse(kRoute, times.ServiceMicros(29 * kMillisecond)) <
        -0.5);
  CHECK(times.OnResponse(kRoute, times.ServiceMicros(5 * kMillisecond)) > 1);
  CHECK(times.Rejections() == 1);
}

TEST_CASE("A server's factor needs samples, and loses them with time")
{
  ServerLoad load;
  load.OnTime(-0.5, kStart);
  CHECK(load.factor > 0.85);
  for (int i = 0; i < 50; ++i) {
    load.OnTime(-0.5, kStart);
  }
  CHECK(load.factor < 0.7);
  CHECK(load.IsLearned());
  for (Micros age = 0; age < 60 * kSecond; age += kLoadPeriod) {
    load.Age();
  }
  CHECK(load.factor > 0.9);
  CHECK_FALSE(load.IsLearned());
}

TEST_CASE("The choice among thousands of servers compares a bounded number")
{
  std::vector<ServerChange> list;
  for (ServerId id = 1; id <= 5400; ++id) {
    list.push_back(MakeServer(id));
    list.back().entry->zone = id % 3 == 0 ? "a" : "b";
    // The few that take new flows are found all the same.
    list.back().entry->draining = id > 2700 && id != 5000;
  }
  View view;
  view.PutServers(list, kStart);
  std::vector<ServerHealth> health(view.Size());
  Placer placer({ .zone = "a" });
  RouteEntry route;
  PlacementRequest request{ .service = "web",
                            .route = route,
                            .byRequests = true };
  Placement placement = placer.ChooseServer(view, health, request, kStart);
  CHECK(placement.candidates > 40);
  CHECK(placement.candidates <= 80);
  CHECK(view.At(placement.server).entry.zone == "a");
  for (ServerChange& change : list) {
    change.entry->draining = change.entry->id != 5000;
    ++change.position.revision;
  }
  view.PutServers(list, kStart);
  placement = placer.ChooseServer(view, health, request, kStart);
  CHECK(view.At(placement.server).entry.id == 5000);
}

TEST_CASE("What was learned of a server ends with its process")
{
  SteeringFixture fixture({ .byRequests = ByRequests::Always });
  Tag tag = fixture.Open(7000).tag;
  ServerIndex index = fixture.IndexOf(tag);
  fixture.SendData(7000, tag);
  fixture.now += 20 * kMillisecond;
  fixture.SendData(7000, tag, 2);
  CHECK(fixture.steer.HealthOf(index).load.time.weight == 1);
  ServerChange restarted = MakeServer(tag, "web", 2);
  restarted.entry->startedAt += 1;
  fixture.steer.CurrentView().PutServer(restarted, fixture.now);
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.HealthOf(index).load.time.weight == 0);
  // Packets of the flow to the former process show nothing of the new one.
  fixture.SendData(7000, tag, 3);
  fixture.SendFin(7000, tag);
  CHECK(fixture.steer.HealthOf(index).load.time.weight == 0);
  CHECK(fixture.steer.HealthOf(index).load.inFlight == 0);
  CHECK(fixture.steer.HealthOf(index).load.idle == 0);
}

}
