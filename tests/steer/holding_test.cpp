// Which flows count against their service's limit, and what becomes of held
// ones.
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

// Guards against flows of callers that gave up without closing: they must not
// count against the limit until their record is erased.
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
