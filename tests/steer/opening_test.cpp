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

TEST_CASE("A repeated opening packet leaves a server that answered no flow")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 200 * kMillisecond;
  Decision repeated = fixture.Open(7000);
  CHECK(repeated.reason == Reason::PlacedAgain);
  CHECK(repeated.action == Action::Forward);
  CHECK(repeated.server != first.server);
}

// Guards against a flow that changes its server: the caller returns the last
// tag that it received, which a second answer changes, but the flow opened at
// the server whose answer the caller took.
TEST_CASE("A flow stays at the server of its first packet when another answers")
{
  bool firstAnswers = GENERATE(true, false);
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 200 * kMillisecond;
  Decision repeated = fixture.Open(7000);
  fixture.now += 2 * kMillisecond;
  const Decision& taken = firstAnswers ? first : repeated;
  const Decision& late = firstAnswers ? repeated : first;
  CHECK(fixture.SendData(7000, taken.tag).server == taken.server);
  CHECK(
    fixture.steer.FindFlow(SteeringFixture::MakePacket(7000).flow)->server ==
    taken.server);
  fixture.now += 2 * kMillisecond;
  Decision later = fixture.SendData(7000, late.tag);
  CHECK(later.server == taken.server);
  CHECK(later.tag == taken.tag);
  // The flow counts at the server that it is at, and nowhere once it has ended.
  auto loadOf = [&fixture](const Decision& aDecision) {
    const ServerLoad& load = fixture.steer.HealthOf(aDecision.server).load;
    return load.inFlight + load.idle;
  };
  CHECK(loadOf(taken) == 1);
  CHECK(loadOf(late) == 0);
  Decision last = fixture.SendFin(7000, late.tag);
  CHECK(last.server == taken.server);
  CHECK(loadOf(taken) == 0);
  // No flow is left at either server.
  CHECK(fixture.steer.HealthOf(first.server).open == 0);
  CHECK(fixture.steer.HealthOf(repeated.server).open == 0);
  CHECK(fixture.steer.HealthOf(first.server).opening == 0);
  CHECK(fixture.steer.HealthOf(repeated.server).opening == 0);
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

TEST_CASE(
  "A retransmission that came when the server could have answered leaves it")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += kHandshakeTimeout + 10 * kMillisecond;
  CHECK(fixture.Open(7000, 11 * kMillisecond).server == first.server);
  CHECK(fixture.Open(7000, 10 * kMillisecond).reason == Reason::PlacedAgain);
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
