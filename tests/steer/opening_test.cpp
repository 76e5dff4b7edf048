// Opening packets: late ones, retransmissions, and servers that do not answer.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

TEST_CASE(
  "A repeated opening packet stays at a server that answered another flow")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 50 * kMillisecond;
  // The first data of a flow that this instance did not place shows no answer.
  fixture.SendData(7001, first.tag);
  // Another flow finishes its handshake with the same server.
  uint16_t port = 7100;
  Decision other;
  do {
    other = fixture.Open(++port);
  } while (other.server != first.server);
  fixture.now += 10 * kMillisecond;
  fixture.SendData(port, other.tag);
  fixture.now += 140 * kMillisecond;
  Decision repeated = fixture.Open(7000);
  CHECK(repeated.reason == Reason::Repeated);
  CHECK(repeated.server == first.server);
}

// Guards against a flow that two servers answer (review/6 and review/7): one
// answer was lost, a second server got the retransmission, and the caller
// returned the tag of whichever answered last.
TEST_CASE("A repeated opening packet stays at a server that answered no flow")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 200 * kMillisecond;
  Decision repeated = fixture.Open(7000, 0, 1);
  CHECK(repeated.action == Action::Forward);
  CHECK(repeated.reason == Reason::Repeated);
  CHECK(repeated.server == first.server);
  CHECK(repeated.tag == first.tag);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 1);
}

// Guards against the same fault on the other ways to a second server: whatever
// happens to the first one, the flow's retransmissions reach no other.
TEST_CASE("A flow whose server can't be used any more is refused")
{
  std::string event =
    GENERATE("silent", "draining", "zone drained", "removed", "restarted");
  INFO(event);
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  ServerId id = first.server + 1;
  fixture.now += 200 * kMillisecond;
  ServerChange change = MakeServer(id, "web", 2);
  View& view = fixture.steer.CurrentView();
  if (event == "silent") {
    // Its second packet is not answered either.
    CHECK(fixture.Open(7000, 0, 1).server == first.server);
    fixture.now += 400 * kMillisecond;
  } else if (event == "zone drained") {
    view.PutDrains(
      { PositionAt(3), PositionAt(3), { view.At(first.server).entry.zone } },
      fixture.now);
  } else {
    change.entry->draining = event == "draining";
    change.entry->startedAt += event == "restarted" ? 1 : 0;
    change.removed = event == "removed";
    view.PutServer(change, fixture.now);
  }
  Decision refused = fixture.Open(7000, 0, 2);
  CHECK(refused.action == Action::Reset);
  CHECK(refused.reason ==
        (event == "silent" ? Reason::ServerSilent : Reason::ServerUnusable));
  // The reset may be lost, and the server usable again.
  change = MakeServer(id, "web", 3);
  view.PutServer(change, fixture.now);
  view.PutDrains({ PositionAt(4), PositionAt(4), {} }, fixture.now);
  fixture.now += 100 * kMillisecond;
  CHECK(fixture.Open(7000, 0, 2).reason == Reason::RefusedBefore);
  for (ServerIndex server : { 0, 1, 2 }) {
    CHECK(fixture.steer.HealthOf(server).open == 0);
    CHECK(fixture.steer.HealthOf(server).opening == 0);
  }
  // The caller's new flow is served.
  CHECK(fixture.Open(7001).reason == Reason::Placed);
  // If the first server answered after all, the flow is open there.
  CHECK(fixture.SendData(7000, first.tag).server == first.server);
}

// Guards against flows that are moved to another server later: retransmissions
// that waited in the socket of a paused process went to one server each, all of
// them answered, and the caller took over the tag of a late answer.
TEST_CASE(
  "Retransmissions of an opening packet that waited together go to one server")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000, 100 * kMillisecond);
  // Many packets are handled between the retransmissions, so that the second
  // one comes up later than kHandshakeTimeout after the first.
  fixture.now += 2 * kHandshakeTimeout;
  for (Micros queueTime : { 200 * kMillisecond, 130 * kMillisecond }) {
    Decision again = fixture.Open(7000, queueTime, 1);
    CHECK(again.action == Action::Forward);
    CHECK(again.reason == Reason::Repeated);
    CHECK(again.server == first.server);
  }
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 0);
}

// A probe tells a lost packet from a silent server before the caller sends its
// second opening packet.
TEST_CASE("A server that leaves a probe unanswered gets no second packet")
{
  bool answers = GENERATE(true, false);
  SteeringFixture fixture({ .probesPerSecond = 5 });
  Decision first = fixture.Open(7000);
  std::vector<Probe> probes;
  for (Micros at = 50; at <= 150; at += 50) {
    fixture.now += 50 * kMillisecond;
    fixture.steer.Tick(fixture.now);
    for (const Probe& probe : fixture.steer.TakeProbes(fixture.now)) {
      CHECK(probe.server == first.server);
      if (answers) {
        fixture.steer.OnProbeResult(probe, ProbeResult::Connected, fixture.now);
      }
      probes.push_back(probe);
    }
  }
  CHECK_FALSE(probes.empty());
  fixture.now += 50 * kMillisecond;
  Decision second = fixture.Open(7000, 0, 1);
  CHECK(second.reason == (answers ? Reason::Repeated : Reason::ServerSilent));
  CHECK(second.action == (answers ? Action::Forward : Action::Reset));
}

TEST_CASE(
  "A retransmission that came when the server could have answered counts "
  "against it")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += kHandshakeTimeout + 10 * kMillisecond;
  CHECK(fixture.Open(7000, 11 * kMillisecond).server == first.server);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 0);
  fixture.now += kHandshakeTimeout;
  CHECK(fixture.Open(7000, 0).server == first.server);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 1);
}

// Guards against the same fault if the process is stopped after it has chosen
// the server and before it sends the packet.
TEST_CASE(
  "Retransmissions that came before a delayed opening packet was sent leave it "
  "at its server")
{
  SteeringFixture fixture;
  Micros placedAt = fixture.now;
  Decision first = fixture.Open(7000);
  fixture.now += kSecond;
  fixture.steer.OnSendDelay(placedAt, fixture.now);
  for (Micros queueTime : { 700 * kMillisecond, 400 * kMillisecond }) {
    Decision again = fixture.Open(7000, queueTime, 2);
    CHECK(again.reason == Reason::Repeated);
    CHECK(again.server == first.server);
  }
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 0);
}

// Guards against flows that are moved to another server later: a process that
// was paused forwarded opening packets of flows that were open meanwhile, and
// their callers took over the tag of the second answer.
TEST_CASE("An opening packet is dropped if its caller has sent the next one")
{
  for (const auto& [retransmissions, usableTime] :
       std::vector<std::pair<uint32_t, Micros>>{
         { 0, 140 * kMillisecond },
         { 1, 340 * kMillisecond },
         { 2, 740 * kMillisecond },
         { 99, 740 * kMillisecond },
       }) {
    INFO("retransmissions " << retransmissions);
    SteeringFixture fixture;
    Decision late = fixture.Open(7000, usableTime, retransmissions);
    CHECK(late.action == Action::Drop);
    CHECK(late.reason == Reason::OutOfDate);
    CHECK(fixture.steer.Flows() == 0);
    Decision inTime = fixture.Open(7000, usableTime - 1, retransmissions);
    CHECK(inTime.reason == Reason::Placed);
  }
}

TEST_CASE("A late opening packet to an unknown route is dropped, not reset")
{
  SteeringFixture fixture;
  Packet packet = SteeringFixture::MakePacket(7000, { 0x01020304, 1 });
  packet.syn = true;
  packet.queueTime = kSecond;
  CHECK(fixture.steer.OnPacket(packet, true, fixture.now).action ==
        Action::Drop);
}

TEST_CASE("An opening packet repeated after the handshake stays at its server")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 5 * kMillisecond;
  fixture.SendData(7000, first.tag);
  fixture.now += 195 * kMillisecond;
  Decision repeated = fixture.Open(7000);
  CHECK(repeated.reason == Reason::Repeated);
  CHECK(repeated.server == first.server);
}

// Guards against a second server for an open flow: the caller's last
// retransmission and its first request overtook each other on the way to this
// instance.
TEST_CASE(
  "A retransmission that comes after the first request of a flow that another "
  "instance placed goes to the flow's server")
{
  SteeringFixture fixture;
  Packet request = SteeringFixture::MakePacket(7000);
  request.seq = 7001;
  request.tag = TagOf(2);
  request.dataBytes = 100;
  fixture.steer.OnPacket(request, true, fixture.now);
  Decision again = fixture.Open(7000, 0, 1);
  CHECK(again.reason == Reason::Repeated);
  CHECK(again.server == fixture.IndexOf(2));
  CHECK(fixture.steer.FindFlow(request.flow)->server == fixture.IndexOf(2));
}

}
