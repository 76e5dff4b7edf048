#include "steer/steer.h"

#include "support/tagged_view.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kStart = 1000 * kSecond;

struct Bench
{
  FlowSteering steer{ FlowSteeringOptions{ .placer = { .zone = "a" } } };
  Micros now = kStart;

  Bench()
  {
    View& view = this->steer.CurrentView();
    view.PutConfig(MakeConfig(1));
    std::vector<ServerChange> list{
      MakeServer(1), MakeServer(2), MakeServer(3), MakeServer(9, "archive")
    };
    view.PutServers(list, this->now);
  }

  static Packet Of(uint16_t aPort, Endpoint aTarget = kWebTarget)
  {
    Packet packet;
    packet.flow = { { 0x64400007, aPort }, aTarget };
    packet.seq = aPort;
    return packet;
  }

  Decision Open(uint16_t aPort)
  {
    Packet packet = Of(aPort);
    packet.syn = true;
    return this->steer.OnPacket(packet, true, this->now);
  }

  Decision Data(uint16_t aPort, Tag aTag, uint32_t aAck = 1)
  {
    Packet packet = Of(aPort);
    packet.tag = aTag;
    packet.ack = aAck;
    packet.dataBytes = 100;
    return this->steer.OnPacket(packet, true, this->now);
  }

  Decision Fin(uint16_t aPort, Tag aTag)
  {
    Packet packet = Of(aPort);
    packet.tag = aTag;
    packet.ack = 2;
    packet.fin = true;
    return this->steer.OnPacket(packet, true, this->now);
  }

  ServerIndex Place(ServerId aId) const
  {
    return this->steer.CurrentView().FindTag(TagOf(aId));
  }
};

}

TEST_CASE("A flow that this instance never saw goes where its tag says")
{
  Bench bench;
  Decision decision = bench.Data(7000, TagOf(2));
  CHECK(decision.action == Action::Forward);
  CHECK(decision.server == bench.Place(2));
}

TEST_CASE("A tag reaches no server that the route never led to")
{
  Bench bench;
  Decision decision = bench.Data(7000, TagOf(9));
  CHECK(decision.action == Action::Drop);
  CHECK(decision.reason == Reason::TagNotAllowed);
}

TEST_CASE("A tag of a server unknown here is dropped, not reset")
{
  Bench bench;
  Decision decision = bench.Data(7000, TagOf(77));
  CHECK(decision.action == Action::Drop);
  CHECK(decision.reason == Reason::UnknownTag);
}

TEST_CASE("A flow of a server that is gone is reset, never moved")
{
  Bench bench;
  Decision opened = bench.Open(7000);
  ServerId id = bench.steer.CurrentView().At(opened.server).entry.id;
  bench.Data(7000, opened.tag);
  bench.steer.CurrentView().PutServer(MakeRemoved(id, 9), bench.now);
  CHECK(bench.Data(7000, opened.tag).action == Action::Forward);
  bench.now += kMissingTimeout;
  bench.steer.Tick(bench.now);
  Decision late = bench.Data(7000, opened.tag);
  CHECK(late.action == Action::Reset);
  CHECK(late.reason == Reason::ServerGone);
}

TEST_CASE("A draining server keeps its flows and gets no new ones")
{
  Bench bench;
  Decision opened = bench.Open(7000);
  ServerId id = bench.steer.CurrentView().At(opened.server).entry.id;
  ServerChange draining = MakeServer(id, "web", 9);
  draining.entry->draining = true;
  bench.steer.CurrentView().PutServer(draining, bench.now);
  CHECK(bench.Data(7000, opened.tag).server == opened.server);
  for (uint16_t port = 7100; port < 7200; ++port) {
    CHECK(bench.Open(port).server != opened.server);
  }
}

TEST_CASE("An unknown route is refused only by a view that is up to date")
{
  Bench bench;
  Packet packet = Bench::Of(7000, { 0x01020304, 1 });
  packet.syn = true;
  CHECK(bench.steer.OnPacket(packet, true, bench.now).action == Action::Reset);
  CHECK(bench.steer.OnPacket(packet, false, bench.now).action == Action::Drop);
}

TEST_CASE("A copy goes to the same server while that answers others")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.now += 50 * kMillisecond;
  bench.Data(7001, first.tag); // not a flow of ours: no evidence
  // Another flow at the same server finishes its handshake.
  uint16_t port = 7100;
  Decision other;
  do {
    other = bench.Open(++port);
  } while (other.server != first.server);
  bench.now += 10 * kMillisecond;
  bench.Data(port, other.tag);
  bench.now += 140 * kMillisecond;
  Decision copy = bench.Open(7000);
  CHECK(copy.reason == Reason::Repeated);
  CHECK(copy.server == first.server);
}

TEST_CASE("A copy leaves a server that answered nobody")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.now += 200 * kMillisecond;
  Decision copy = bench.Open(7000);
  CHECK(copy.reason == Reason::PlacedAgain);
  CHECK(copy.action == Action::Forward);
  CHECK(copy.server != first.server);
  // The tag that the caller returns decides, whichever answer came first.
  CHECK(bench.Data(7000, first.tag).server == first.server);
  CHECK(bench.Data(7000, copy.tag).server == copy.server);
}

TEST_CASE("A copy that comes after the answer stays with its server")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.now += 5 * kMillisecond;
  bench.Data(7000, first.tag);
  bench.now += 195 * kMillisecond;
  Decision copy = bench.Open(7000);
  CHECK(copy.reason == Reason::Repeated);
  CHECK(copy.server == first.server);
}

TEST_CASE("A port that is used again opens a new flow")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.Data(7000, first.tag);
  Packet again = Bench::Of(7000);
  again.syn = true;
  again.seq = 99;
  Decision second = bench.steer.OnPacket(again, true, bench.now);
  CHECK(second.reason == Reason::Placed);
  CHECK(bench.steer.Flows() == 1);
}

TEST_CASE("A silent server is left after one opening packet, and tried again")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.now += kHandshakeTimeout;
  bench.steer.Tick(bench.now);
  CHECK(bench.steer.HealthOf(first.server).unanswered == 1);
  for (uint16_t port = 7100; port < 7130; ++port) {
    Decision next = bench.Open(port);
    CHECK(next.server != first.server);
    bench.Data(port, next.tag);
    bench.Fin(port, next.tag);
  }
  // Later one flow at a time tries it.
  bench.Fin(7000, first.tag);
  bench.now += kInitialServerBackoff;
  CHECK_FALSE(bench.steer.HealthOf(first.server).IsSuspect(bench.now));
}

TEST_CASE("After a pause of this instance nothing speaks against the servers")
{
  Bench bench;
  Decision first = bench.Open(7000);
  bench.now += 5 * kSecond;
  bench.steer.OnProcessPause(bench.now);
  bench.steer.Tick(bench.now);
  CHECK_FALSE(bench.steer.HealthOf(first.server).IsSuspect(bench.now));
}

TEST_CASE("A server that starts again under its id begins without evidence")
{
  Bench bench;
  Decision first = bench.Open(7000);
  ServerId id = bench.steer.CurrentView().At(first.server).entry.id;
  bench.now += 200 * kMillisecond;
  bench.Open(7000);
  CHECK(bench.steer.HealthOf(first.server).unanswered == 1);
  ServerChange started = MakeServer(id, "web", 20);
  started.entry->startedAt = 2000;
  bench.steer.CurrentView().PutServer(started, bench.now);
  bench.steer.Tick(bench.now);
  CHECK(bench.steer.HealthOf(first.server).unanswered == 0);
  CHECK(bench.steer.HealthOf(first.server).open == 0);
}

TEST_CASE("With no server to go to a new flow is refused at once")
{
  Bench bench;
  for (ServerId id : { 1, 2, 3 }) {
    ServerChange draining = MakeServer(id, "web", 9);
    draining.entry->draining = true;
    bench.steer.CurrentView().PutServer(draining, bench.now);
  }
  Decision decision = bench.Open(7000);
  CHECK(decision.action == Action::Reset);
  CHECK(decision.reason == Reason::NoServer);
}

TEST_CASE("Counts of open flows come back to zero")
{
  Bench bench;
  for (uint16_t port = 7000; port < 7100; ++port) {
    Decision opened = bench.Open(port);
    bench.now += kMillisecond;
    bench.Data(port, opened.tag);
    if (port % 2 == 0) {
      bench.Fin(port, opened.tag);
    }
  }
  bench.now += 6 * kSecond;
  bench.steer.Tick(bench.now);
  CHECK(bench.steer.Flows() == 0);
  for (ServerId id : { 1, 2, 3 }) {
    const ServerHealth& health = bench.steer.HealthOf(bench.Place(id));
    CHECK(health.open == 0);
    CHECK(health.opening == 0);
  }
  CHECK(bench.steer.LimitOf("web")->Open() == 0);
}

// Seen on the bench after a loss of power: a bound of one, and callers that
// had given up without a word counted against it for five seconds.
TEST_CASE("Callers that went away do not keep others out")
{
  Bench bench;
  uint16_t port = 7000;
  auto openAndAsk = [&] {
    Decision opened = bench.Open(++port);
    if (opened.action == Action::Forward) {
      bench.Data(port, opened.tag);
    }
    return opened;
  };
  // Slow responses bound the window.
  for (int i = 0; i < 200; ++i) {
    Decision opened = openAndAsk();
    bench.now += 300 * kMillisecond;
    if (opened.action == Action::Forward) {
      bench.Data(port, opened.tag, 2);
    }
    bench.Fin(port, opened.tag);
    bench.steer.Tick(bench.now);
  }
  REQUIRE(bench.steer.LimitOf("web")->IsLimiting());
  // These never end.
  for (int i = 0; i < 100; ++i) {
    openAndAsk();
  }
  CHECK(openAndAsk().action == Action::Hold);
  bench.now += kCountedLatencyTargets * 100 * kMillisecond;
  bench.steer.Tick(bench.now);
  CHECK(bench.steer.LimitOf("web")->Open() == 0);
  CHECK(bench.steer.Release(bench.now)->decision.action == Action::Forward);
}

TEST_CASE("The bound leaves an instance its share of the slots")
{
  Bench bench;
  bench.steer.SetInstanceCount(2);
  bench.steer.Tick(bench.now);
  uint16_t port = 7000;
  for (int i = 0; i < 400; ++i) {
    Decision opened = bench.Open(++port);
    bench.Data(port, opened.tag);
    bench.now += 300 * kMillisecond;
    bench.Data(port, opened.tag, 2);
    bench.Fin(port, opened.tag);
    bench.steer.Tick(bench.now);
  }
  // Three servers of two slots, two instances, three quarters of the share.
  CHECK(bench.steer.LimitOf("web")->Limit() == Approx(2.25));
}

}
