// Decisions of one instance of the tagged transport, packet by packet.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

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

}
