// Decisions of one instance of the tagged transport, packet by packet.
#include "steer/steer.h"

#include "support/tagged_view.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kStart = 1000 * kSecond;

// One instance's flow steering with a view of three servers of the service
// "web", two slots each, and one of the service "archive".
struct SteeringFixture
{
  FlowSteering steer{ FlowSteeringOptions{ .placer = { .zone = "a" } } };
  Micros now = kStart;

  SteeringFixture()
  {
    View& view = this->steer.CurrentView();
    view.PutConfig(MakeConfig(1));
    std::vector<ServerChange> list{
      MakeServer(1), MakeServer(2), MakeServer(3), MakeServer(9, "archive")
    };
    view.PutServers(list, this->now);
  }

  // Returns a packet without flags of the flow from port aPort.
  static Packet MakePacket(uint16_t aPort, Endpoint aTarget = kWebTarget)
  {
    Packet packet;
    packet.flow = { { 0x64400007, aPort }, aTarget };
    packet.seq = aPort;
    return packet;
  }

  // The caller on aPort sends its opening packet (SYN) or a retransmission,
  // which then waits for aQueueTime in the instance's socket.
  Decision Open(uint16_t aPort,
                Micros aQueueTime = 0,
                uint32_t aRetransmissions = 0)
  {
    Packet packet = MakePacket(aPort);
    packet.syn = true;
    packet.retransmissions = aRetransmissions;
    packet.queueTime = aQueueTime;
    return this->steer.OnPacket(packet, true, this->now);
  }

  // The caller sends data with aTag; aAck 2 acknowledges a response, 1 does
  // not.
  Decision SendData(uint16_t aPort, Tag aTag, uint32_t aAck = 1)
  {
    Packet packet = MakePacket(aPort);
    packet.tag = aTag;
    packet.ack = aAck;
    packet.dataBytes = 100;
    return this->steer.OnPacket(packet, true, this->now);
  }

  // The caller closes its flow.
  Decision SendFin(uint16_t aPort, Tag aTag)
  {
    Packet packet = MakePacket(aPort);
    packet.tag = aTag;
    packet.ack = 2;
    packet.fin = true;
    return this->steer.OnPacket(packet, true, this->now);
  }

  ServerIndex IndexOf(ServerId aId) const
  {
    return this->steer.CurrentView().FindTag(TagOf(aId));
  }
};

}

TEST_CASE(
  "A packet of a flow unknown to this instance goes to its tag's server")
{
  SteeringFixture fixture;
  Decision decision = fixture.SendData(7000, TagOf(2));
  CHECK(decision.action == Action::Forward);
  CHECK(decision.server == fixture.IndexOf(2));
}

TEST_CASE("A tag of a server outside the route's services is dropped")
{
  SteeringFixture fixture;
  Decision decision = fixture.SendData(7000, TagOf(9));
  CHECK(decision.action == Action::Drop);
  CHECK(decision.reason == Reason::TagNotAllowed);
}

TEST_CASE("A packet with the tag of an unknown server is dropped, not reset")
{
  SteeringFixture fixture;
  Decision decision = fixture.SendData(7000, TagOf(77));
  CHECK(decision.action == Action::Drop);
  CHECK(decision.reason == Reason::UnknownTag);
}

TEST_CASE(
  "A flow of a missing server stays, and is reset when the server is gone")
{
  SteeringFixture fixture;
  Decision opened = fixture.Open(7000);
  ServerId id = fixture.steer.CurrentView().At(opened.server).entry.id;
  fixture.SendData(7000, opened.tag);
  fixture.steer.CurrentView().PutServer(MakeRemoved(id, 9), fixture.now);
  CHECK(fixture.SendData(7000, opened.tag).action == Action::Forward);
  fixture.now += kMissingTimeout;
  fixture.steer.Tick(fixture.now);
  Decision afterTimeout = fixture.SendData(7000, opened.tag);
  CHECK(afterTimeout.action == Action::Reset);
  CHECK(afterTimeout.reason == Reason::ServerGone);
}

TEST_CASE("A draining server keeps its flows and gets no new ones")
{
  SteeringFixture fixture;
  Decision opened = fixture.Open(7000);
  ServerId id = fixture.steer.CurrentView().At(opened.server).entry.id;
  ServerChange draining = MakeServer(id, "web", 9);
  draining.entry->draining = true;
  fixture.steer.CurrentView().PutServer(draining, fixture.now);
  CHECK(fixture.SendData(7000, opened.tag).server == opened.server);
  for (uint16_t port = 7100; port < 7200; ++port) {
    CHECK(fixture.Open(port).server != opened.server);
  }
}

TEST_CASE(
  "A SYN to an unknown route is reset if the configuration is fresh, else "
  "dropped")
{
  SteeringFixture fixture;
  Packet packet = SteeringFixture::MakePacket(7000, { 0x01020304, 1 });
  packet.syn = true;
  CHECK(fixture.steer.OnPacket(packet, true, fixture.now).action ==
        Action::Reset);
  CHECK(fixture.steer.OnPacket(packet, false, fixture.now).action ==
        Action::Drop);
}

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
  // Both servers may answer. The caller returns the tag of the answer that it
  // took, and that tag decides.
  CHECK(fixture.SendData(7000, first.tag).server == first.server);
  CHECK(fixture.SendData(7000, repeated.tag).server == repeated.server);
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

TEST_CASE("A SYN with a new sequence number on a used port opens a new flow")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.SendData(7000, first.tag);
  Packet reopening = SteeringFixture::MakePacket(7000);
  reopening.syn = true;
  reopening.seq = 99;
  Decision second = fixture.steer.OnPacket(reopening, true, fixture.now);
  CHECK(second.reason == Reason::Placed);
  CHECK(fixture.steer.Flows() == 1);
}

TEST_CASE(
  "A server with an unanswered opening gets no new flow in its backoff, and "
  "is no longer suspect after a FIN that acknowledges its answer")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += kHandshakeTimeout;
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 1);
  for (uint16_t port = 7100; port < 7130; ++port) {
    Decision next = fixture.Open(port);
    CHECK(next.server != first.server);
    fixture.SendData(port, next.tag);
    fixture.SendFin(port, next.tag);
  }
  // The FIN acknowledges the server's answer to the opening packet, so the
  // server is no longer suspect, in the backoff and after it.
  fixture.SendFin(7000, first.tag);
  fixture.now += kInitialServerBackoff;
  CHECK_FALSE(fixture.steer.HealthOf(first.server).IsSuspect(fixture.now));
}

TEST_CASE(
  "Handshakes left unanswered during a process pause make no server suspect")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  fixture.now += 5 * kSecond;
  fixture.steer.OnProcessPause(fixture.now);
  fixture.steer.Tick(fixture.now);
  CHECK_FALSE(fixture.steer.HealthOf(first.server).IsSuspect(fixture.now));
}

TEST_CASE("A server restarted under its id starts with clean health counts")
{
  SteeringFixture fixture;
  Decision first = fixture.Open(7000);
  ServerId id = fixture.steer.CurrentView().At(first.server).entry.id;
  fixture.now += 200 * kMillisecond;
  fixture.Open(7000);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 1);
  ServerChange restarted = MakeServer(id, "web", 20);
  restarted.entry->startedAt = 2000;
  fixture.steer.CurrentView().PutServer(restarted, fixture.now);
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.HealthOf(first.server).unanswered == 0);
  CHECK(fixture.steer.HealthOf(first.server).open == 0);
}

TEST_CASE("A new flow is reset at once when all servers are draining")
{
  SteeringFixture fixture;
  for (ServerId id : { 1, 2, 3 }) {
    ServerChange draining = MakeServer(id, "web", 9);
    draining.entry->draining = true;
    fixture.steer.CurrentView().PutServer(draining, fixture.now);
  }
  Decision decision = fixture.Open(7000);
  CHECK(decision.action == Action::Reset);
  CHECK(decision.reason == Reason::NoServer);
}

TEST_CASE("The counts of open flows return to zero when all flows have ended")
{
  SteeringFixture fixture;
  for (uint16_t port = 7000; port < 7100; ++port) {
    Decision opened = fixture.Open(port);
    fixture.now += kMillisecond;
    fixture.SendData(port, opened.tag);
    if (port % 2 == 0) {
      fixture.SendFin(port, opened.tag);
    }
  }
  fixture.now += 6 * kSecond;
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.Flows() == 0);
  for (ServerId id : { 1, 2, 3 }) {
    const ServerHealth& health = fixture.steer.HealthOf(fixture.IndexOf(id));
    CHECK(health.open == 0);
    CHECK(health.opening == 0);
  }
  CHECK(fixture.steer.LimitOf("web")->Open() == 0);
}

// Guards against flows that count against the limit until their record is
// erased, after five seconds without packets. After a loss of power the
// concurrency limit was one, and the flows of callers that had given up without
// closing them kept other callers out.
TEST_CASE("Flows of callers that gave up stop counting against the limit")
{
  SteeringFixture fixture;
  uint16_t port = 7000;
  auto openAndRequest = [&] {
    Decision opened = fixture.Open(++port);
    if (opened.action == Action::Forward) {
      fixture.SendData(port, opened.tag);
    }
    return opened;
  };
  // Slow responses turn on the concurrency limit.
  for (int i = 0; i < 200; ++i) {
    Decision opened = openAndRequest();
    fixture.now += 300 * kMillisecond;
    if (opened.action == Action::Forward) {
      fixture.SendData(port, opened.tag, 2);
    }
    fixture.SendFin(port, opened.tag);
    fixture.steer.Tick(fixture.now);
  }
  REQUIRE(fixture.steer.LimitOf("web")->IsLimiting());
  // The callers of these flows give up without a FIN.
  for (int i = 0; i < 100; ++i) {
    openAndRequest();
  }
  CHECK(openAndRequest().action == Action::Hold);
  fixture.now += kCountedLatencyTargets * 100 * kMillisecond;
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.LimitOf("web")->Open() == 0);
  // The caller of the held flow has sent the packet again meanwhile.
  CHECK(fixture.Open(port, 0, 1).reason == Reason::HeldAgain);
  CHECK(fixture.steer.Release(fixture.now)->decision.action == Action::Forward);
}

TEST_CASE("A held flow that another instance placed meanwhile is not placed "
          "again")
{
  SteeringFixture fixture;
  uint16_t port = 7000;
  for (int i = 0; i < 200; ++i) {
    Decision opened = fixture.Open(++port);
    fixture.SendData(port, opened.tag);
    fixture.now += 300 * kMillisecond;
    fixture.SendData(port, opened.tag, 2);
    fixture.SendFin(port, opened.tag);
    fixture.steer.Tick(fixture.now);
  }
  uint16_t held = 0;
  for (int i = 0; held == 0 && i < 100; ++i) {
    held = fixture.Open(++port).action == Action::Hold ? port : 0;
  }
  REQUIRE(held != 0);
  ServerIndex server = fixture.IndexOf(1);
  fixture.now += kCountedLatencyTargets * 100 * kMillisecond;
  CHECK(fixture.Open(held, 0, 1).reason == Reason::HeldAgain);
  fixture.SendData(held, TagOf(1));
  fixture.steer.Tick(fixture.now);
  uint32_t openBefore = fixture.steer.HealthOf(server).open;
  uint64_t allBefore = fixture.steer.Flows();
  CHECK(fixture.steer.Release(fixture.now)->decision.action == Action::Drop);
  CHECK(fixture.steer.HealthOf(server).open == openBefore);
  CHECK(fixture.steer.Flows() == allBefore);
  CHECK(
    fixture.steer.FindFlow(SteeringFixture::MakePacket(held).flow)->server ==
    server);
}

// Guards against a second server for a flow whose caller went on to another
// instance while this one held its opening packet, as in a planned roll.
TEST_CASE(
  "A held flow whose caller sent no further packet here is neither placed "
  "nor reset")
{
  SteeringFixture fixture;
  uint16_t port = 7000;
  for (int i = 0; i < 200; ++i) {
    Decision opened = fixture.Open(++port);
    fixture.SendData(port, opened.tag);
    fixture.now += 300 * kMillisecond;
    fixture.SendData(port, opened.tag, 2);
    fixture.SendFin(port, opened.tag);
    fixture.steer.Tick(fixture.now);
  }
  Decision opened;
  do {
    opened = fixture.Open(++port);
  } while (opened.action != Action::Hold);
  Micros heldAt = fixture.now;
  // The limit admits it now, but the caller's next retransmission is due.
  fixture.now = heldAt + kCountedLatencyTargets * 100 * kMillisecond;
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.LimitOf("web")->Admits());
  CHECK_FALSE(fixture.steer.Release(fixture.now));
  fixture.now = heldAt + kMaxHoldTime;
  std::optional<ReleasedPacket> released = fixture.steer.Release(fixture.now);
  REQUIRE(released);
  CHECK(released->decision.action == Action::Drop);
  CHECK(released->decision.reason == Reason::OutOfDate);
}

TEST_CASE("A flow stops counting against its service when its server moves to "
          "another one")
{
  SteeringFixture fixture;
  for (uint16_t port = 7000; port < 7030; ++port) {
    fixture.Open(port);
  }
  REQUIRE(fixture.steer.LimitOf("web")->Open() == 30);
  for (ServerId id : { 1, 2, 3 }) {
    fixture.steer.CurrentView().PutServer(MakeServer(id, "archive", 2),
                                          fixture.now);
  }
  for (uint16_t port = 7000; port < 7030; ++port) {
    Packet packet = SteeringFixture::MakePacket(port);
    packet.rst = true;
    fixture.steer.OnPacket(packet, true, fixture.now);
  }
  fixture.now += kCountedLatencyTargets * 100 * kMillisecond;
  fixture.steer.Tick(fixture.now);
  CHECK(fixture.steer.LimitOf("web")->Open() == 0);
}

TEST_CASE("The concurrency limit never falls below three quarters of the "
          "instance's share of the slots")
{
  SteeringFixture fixture;
  fixture.steer.SetInstanceCount(2);
  fixture.steer.Tick(fixture.now);
  uint16_t port = 7000;
  for (int i = 0; i < 400; ++i) {
    Decision opened = fixture.Open(++port);
    fixture.SendData(port, opened.tag);
    fixture.now += 300 * kMillisecond;
    fixture.SendData(port, opened.tag, 2);
    fixture.SendFin(port, opened.tag);
    fixture.steer.Tick(fixture.now);
  }
  // Three servers of two slots, two instances, three quarters of the share.
  CHECK(fixture.steer.LimitOf("web")->Limit() == Approx(2.25));
}

}
