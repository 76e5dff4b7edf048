// Servers that fall silent, and what looks like it: what happens to the flows.
#include "support/silence_world.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr size_t kServer = 1; // the one that fails
constexpr size_t kFlows = kWorldCallers / kWorldServers;
// Any server may be a control.
constexpr auto kAny = [](ServerIndex) { return true; };

}

TEST_CASE("The flows of a server that is silent for good are reset")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  world.SetReached(kServer, false);
  world.Run(2 * kSecond);
  CHECK(world.resets >= kFlows);
  CHECK(world.Verdicts(VerdictChange::Unanswered) == 1);
  CHECK(world.steer.Detector().IsSilent(kServer));
}

TEST_CASE("The flows of a crashed server are reset by refused probes")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  world.servers[kServer].refuses = true;
  world.Run(2 * kSecond);
  CHECK(world.resets >= kFlows);
  CHECK(world.Verdicts(VerdictChange::Refused) == 1);
}

TEST_CASE("A verdict ends when its server, which was paused, answers again")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  world.SetReached(kServer, false);
  world.Run(1500 * kMillisecond);
  CHECK(world.steer.Detector().IsSilent(kServer));
  world.SetReached(kServer, true);
  world.Run(kVerdictLifetime + kSecond);
  CHECK_FALSE(world.steer.Detector().IsSilent(kServer));
  CHECK(world.falseResets == 0);
}

TEST_CASE("Servers that live but serve badly keep their flows")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  SECTION("slow")
  {
    world.servers[kServer].work = 400 * kMillisecond;
  }
  SECTION("a queue of seconds")
  {
    world.servers[kServer].freeAt = world.now + 2 * kSecond;
  }
  SECTION("grey: it acknowledges requests and answers none")
  {
    world.servers[kServer].grey = true;
  }
  SECTION("lossy links")
  {
    world.loss = 0.1;
  }
  SECTION("lossy links, and a network that drops all probes")
  {
    world.loss = 0.1;
    world.probesPass = false;
  }
  SECTION("refused probes of a server that answers its flows")
  {
    world.servers[kServer].work = 400 * kMillisecond;
    world.servers[kServer].refusesProbes = true;
  }
  world.Run(20 * kSecond);
  CHECK(world.resets == 0);
  CHECK(world.answers > 0);
}

TEST_CASE("Servers that are reached slowly have no verdict")
{
  struct Times
  {
    Micros roundTrip; // of one server
    Micros linkTime;
  };
  for (Times times : { Times{ 210, 0 }, { 400, 0 }, { 0, 250 }, { 0, 400 } }) {
    for (uint32_t seed = 1; seed <= 20; ++seed) {
      SilenceWorld world(seed);
      world.Run(4 * kSecond);
      world.servers[kServer].roundTrip = times.roundTrip * kMillisecond;
      world.linkTime = times.linkTime * kMillisecond;
      for (SilenceWorld::Server& server : world.servers) {
        server.work = 150 * kMillisecond;
        server.acksAtOnce = false;
      }
      world.Run(20 * kSecond);
      INFO(times.roundTrip << " " << times.linkTime << " seed " << seed);
      CHECK(world.Verdicts(VerdictChange::Unanswered) == 0);
      CHECK(world.resets == 0);
    }
  }
}

TEST_CASE("Only an available server is probed as a control")
{
  FailureDetector detector(5);
  Micros now = kStart;
  ServerIndex gone = 2;
  detector.Tick(now);
  detector.OnProgress(3, now);
  detector.OnProgress(gone, now);
  detector.OnEvidence(kServer, Evidence::Repeat, now);
  std::vector<ServerIndex> controls;
  for (int tick = 0; tick < 8; ++tick) {
    for (ServerIndex server : detector.TakeProbes(
           now, [gone](ServerIndex aServer) { return aServer != gone; })) {
      if (server != kServer) {
        controls.push_back(server);
      }
    }
    now += kWorldTick;
  }
  REQUIRE_FALSE(controls.empty());
  CHECK(std::count(controls.begin(), controls.end(), 3) ==
        static_cast<std::ptrdiff_t>(controls.size()));
}

// An answer is a control only if its own probe was answered in time.
TEST_CASE("A late answer to a probe of an earlier round is no control")
{
  constexpr ServerIndex kOther = 2;
  FailureDetector detector(5);
  Micros now = kStart;
  detector.Tick(now);
  detector.OnEvidence(kOther, Evidence::Overdue, now);
  CHECK(detector.TakeProbes(now, kAny).size() == 1);
  Micros sentAt = now;
  detector.OnEvidence(kServer, Evidence::Repeat, now);
  for (int tick = 0; tick < 20; ++tick) {
    now += kWorldTick;
    detector.Tick(now);
    detector.TakeProbes(now, kAny);
    if (now - sentAt == 300 * kMillisecond) {
      detector.OnProbeResult(kOther, ProbeResult::Connected, sentAt, now);
    }
    CHECK_FALSE(detector.IsSilent(kServer));
  }
}

TEST_CASE("A refusal counts only in the round of its probe")
{
  FailureDetector detector(5);
  Micros now = kStart;
  detector.Tick(now);
  detector.OnEvidence(kServer, Evidence::Repeat, now);
  detector.TakeProbes(now, kAny);
  Micros sentAt = now;
  now += kWorldTick;
  detector.OnProgress(kServer, now);
  detector.OnEvidence(kServer, Evidence::Repeat, now);
  detector.OnEvidence(kServer, Evidence::Repeat, now);
  detector.TakeProbes(now, kAny);
  detector.OnProbeResult(kServer, ProbeResult::Refused, sentAt, now);
  bool refused = false;
  for (int tick = 0; tick < 20; ++tick) {
    now += kWorldTick;
    detector.Tick(now);
    for (ServerIndex server : detector.TakeProbes(now, kAny)) {
      if (server == kServer && !refused) {
        refused = true;
        detector.OnProbeResult(server, ProbeResult::Refused, now, now);
      }
    }
  }
  CHECK_FALSE(detector.IsSilent(kServer));
}

TEST_CASE("Repeats without unanswered probes lead to no verdict")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  for (SilenceWorld::Server& server : world.servers) {
    server.acksAtOnce = false;
    server.work = 400 * kMillisecond;
  }
  world.Run(20 * kSecond);
  CHECK(world.Verdicts(VerdictChange::Unanswered) == 0);
  CHECK(world.Verdicts(VerdictChange::Refused) == 0);
  CHECK(world.resets == 0);
}

TEST_CASE("A flow with a request always in flight keeps few timers")
{
  SteeringFixture fixture;
  fixture.steer = FlowSteering{ FlowSteeringOptions{ .placer = { .zone = "a" },
                                                     .probesPerSecond = 5 } };
  Config config = MakeConfig(1);
  config.routes[0].repeatable = true;
  fixture.steer.CurrentView().PutConfig(config);
  fixture.steer.CurrentView().PutServers(std::vector{ MakeServer(1) },
                                         fixture.now);
  Packet packet = SteeringFixture::MakePacket(7000);
  packet.tag = TagOf(1);
  packet.dataBytes = 100;
  for (uint32_t request = 1; request <= 1000; ++request) {
    packet.seq += 100;
    packet.ack = request;
    fixture.steer.OnPacket(packet, true, fixture.now);
    fixture.now += 10 * kMillisecond;
    fixture.steer.Tick(fixture.now);
  }
  // Those of the requests of the last kMinOverdue.
  CHECK(fixture.steer.RequestTimers() >= 1);
  CHECK(fixture.steer.RequestTimers() <= 21);
}

// The usual response of the slow server is 2 s, so its request is overdue after
// 8 s. A request at another server that begins later is overdue before.
TEST_CASE("A request that may wait for long doesn't hide others")
{
  SteeringFixture fixture;
  fixture.steer = FlowSteering{ FlowSteeringOptions{ .placer = { .zone = "a" },
                                                     .probesPerSecond = 5 } };
  Config config = MakeConfig(1);
  config.routes[0].repeatable = true;
  fixture.steer.CurrentView().PutConfig(config);
  fixture.steer.CurrentView().PutServers(
    std::vector{ MakeServer(1), MakeServer(2) }, fixture.now);
  auto send = [&fixture](uint16_t aPort, Tag aTag, uint32_t aRequest) {
    Packet packet = SteeringFixture::MakePacket(aPort);
    packet.tag = aTag;
    packet.seq += 100 * aRequest;
    packet.ack = aRequest;
    packet.dataBytes = 100;
    fixture.steer.OnPacket(packet, true, fixture.now);
  };
  auto run = [&fixture](Micros aDuration) {
    for (Micros end = fixture.now + aDuration; fixture.now < end;) {
      fixture.now += kWorldTick;
      fixture.steer.Tick(fixture.now);
    }
  };
  auto overdue = [&fixture] {
    return fixture.steer.Detector()
      .Counts()
      .evidence[static_cast<size_t>(Evidence::Overdue)];
  };
  for (uint32_t request = 1; request <= 3; ++request) {
    send(7000, TagOf(1), request);
    run(2 * kSecond);
  }
  send(7000, TagOf(1), 4);
  run(400 * kMillisecond);
  REQUIRE(fixture.steer.HealthOf(0).responseMicros > 500 * kMillisecond);
  uint64_t before = overdue();
  send(7001, TagOf(2), 1);
  run(700 * kMillisecond);
  CHECK(overdue() > before);
}

TEST_CASE("An instance that reaches no server has no verdict")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  for (size_t i = 0; i < kWorldServers; ++i) {
    world.SetReached(i, false);
  }
  world.Run(5 * kSecond);
  CHECK(world.resets == 0);
}

TEST_CASE("An instance that wakes from a freeze has no verdict")
{
  for (Micros freeze : { 300, 700, 2000 }) {
    INFO(freeze);
    SilenceWorld world(1);
    world.Run(4 * kSecond);
    world.frozenUntil = world.now + freeze * kMillisecond;
    world.Run(5 * kSecond);
    CHECK(world.resets == 0);
  }
}

TEST_CASE("In a zone cut the flows of the unreached servers end, and no others")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  world.SetReached(0, false);
  world.SetReached(1, false);
  world.Run(2 * kSecond);
  CHECK(world.resets >= 2 * kFlows);
  CHECK(world.falseResets == 0);
  world.SetReached(0, true);
  world.SetReached(1, true);
  world.Run(10 * kSecond);
  CHECK(world.steer.Detector().Verdicts().empty());
  CHECK(world.falseResets == 0);
}

TEST_CASE("A process that took over a silent server's address is no life sign")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  ServerChange other = MakeServer(40, "archive", 20);
  other.entry->endpoint = MakeServer(kServer + 1).entry->endpoint;
  other.entry->startedAt = 2000;
  world.steer.CurrentView().PutServer(other, world.now);
  world.servers[kServer].reused = true;
  world.Run(3 * kSecond);
  CHECK(world.resets >= kFlows);
}

TEST_CASE("Requests that may not be repeated are left alone")
{
  SilenceWorld world(1, false);
  world.Run(4 * kSecond);
  world.SetReached(kServer, false);
  world.Run(5 * kSecond);
  CHECK(world.resets == 0);
}

TEST_CASE("A peer's verdict resets nothing, and lowers the evidence needed")
{
  SilenceWorld world(1);
  world.Run(4 * kSecond);
  world.steer.OnPeerVerdict(kServer + 1, 1000, world.now, world.now);
  world.Run(2 * kSecond);
  CHECK(world.resets == 0);
  world.SetReached(kServer, false);
  world.Run(10 * kMillisecond);
  world.steer.OnPeerVerdict(kServer + 1, 1000, world.now, world.now);
  world.Run(kProbeSpread + kProbeTimeout + 3 * kWorldTick);
  CHECK(world.steer.Detector().IsSilent(kServer));
}

TEST_CASE("With a peer's verdict one unanswered opening ends the trials")
{
  SteeringFixture fixture;
  fixture.steer = FlowSteering{ FlowSteeringOptions{ .placer = { .zone = "a" },
                                                     .probesPerSecond = 5 } };
  fixture.steer.CurrentView().PutConfig(MakeConfig(1));
  fixture.steer.CurrentView().PutServers(
    std::vector{ MakeServer(1), MakeServer(2) }, fixture.now);
  Decision opened = fixture.Open(7000);
  ServerId id = fixture.steer.CurrentView().At(opened.server).entry.id;
  fixture.now += kHandshakeTimeout;
  fixture.steer.Tick(fixture.now);
  fixture.steer.OnPeerVerdict(id, 1000, fixture.now, fixture.now);
  CHECK(fixture.steer.HealthOf(opened.server).backoffUntil ==
        fixture.now + kMaxServerBackoff);
}

// Answers a load of silent servers that is larger than the bound of the probes.
TEST_CASE("If many servers fall silent, the probes suffice for some of them")
{
  constexpr ServerIndex kLiving = 99;
  FailureDetector detector(1);
  Micros now = kStart;
  detector.Tick(now);
  detector.OnProgress(kLiving, now);
  for (ServerIndex server = 0; server < 20; ++server) {
    detector.OnEvidence(server, Evidence::Repeat, now);
  }
  size_t sent = 0;
  for (int tick = 0; tick < 16; ++tick) {
    for (ServerIndex server : detector.TakeProbes(now, kAny)) {
      ++sent;
      if (server == kLiving) {
        detector.OnProbeResult(server, ProbeResult::Connected, now, now);
      }
    }
    now += kWorldTick;
    detector.Tick(now);
  }
  CHECK(detector.Verdicts().size() >= 2);
  CHECK(sent <= kMinProbeBurst + 1);
  // An answer that is late after all ends a verdict.
  ServerIndex late = detector.Verdicts().front().first;
  detector.OnProbeResult(late, ProbeResult::Connected, kStart, now);
  CHECK_FALSE(detector.IsSilent(late));
}

namespace {

// Returns how long after the silence flows with a request in flight are reset.
std::vector<Micros>
ResetDelays()
{
  std::vector<Micros> delays;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    SilenceWorld world(seed);
    world.Run(4 * kSecond + world.Below(kSecond));
    world.SetReached(kServer, false);
    world.Run(4 * kSecond);
    delays.insert(delays.end(), world.delays.begin(), world.delays.end());
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

}

// The stated targets: half of the flows with a request in flight are reset
// within 0.5 s of the silence, 99 % within 1 s.
TEST_CASE("Flows with a request in flight are reset soon after the silence")
{
  std::vector<Micros> delays = ResetDelays();
  REQUIRE(delays.size() >= 20);
  INFO("resets " << delays.size() << ", p50 " << delays[delays.size() / 2]
                 << " us, p99 " << delays[delays.size() * 99 / 100] << " us");
  CHECK(delays[delays.size() * 99 / 100] <= 1 * kSecond);
}

TEST_CASE("Half of the flows with a request in flight are reset in 0.5 s",
          "[!mayfail]")
{
  std::vector<Micros> delays = ResetDelays();
  REQUIRE(delays.size() >= 20);
  INFO("resets " << delays.size() << ", p50 " << delays[delays.size() / 2]
                 << " us");
  CHECK(delays[delays.size() / 2] <= 500 * kMillisecond);
}

// Pauses of servers and of the instance, loss up to 10 %, reordering, long
// requests and queues of seconds.
TEST_CASE("In random histories no flow of a server in touch is reset")
{
  bool passed = rc::check([](uint32_t aSeed) {
    SilenceWorld world(aSeed);
    world.loss = 0.01 * static_cast<double>(world.Below(11));
    world.jitter = world.Below(20 * kMillisecond) + 1;
    for (SilenceWorld::Server& server : world.servers) {
      server.work = 5 * kMillisecond + world.Below(400 * kMillisecond);
      server.acksAtOnce = world.Below(2) == 0;
    }
    for (int i = 0; i < 60; ++i) {
      world.Run(world.Below(kSecond));
      size_t index = static_cast<size_t>(world.Below(kWorldServers));
      SilenceWorld::Server& server = world.servers[index];
      switch (world.Below(9)) {
        case 0:
          world.SetReached(index, !server.reached);
          break;
        case 1:
          server.freeAt = world.now + world.Below(3 * kSecond);
          break;
        case 2:
          world.frozenUntil = world.now + world.Below(3 * kSecond);
          break;
        case 3:
          server.work = 5 * kMillisecond + world.Below(kSecond);
          break;
        case 4:
          server.grey = !server.grey;
          break;
        case 5:
          if (!server.reached) {
            world.steer.OnPeerVerdict(index + 1, 1000, world.now, world.now);
          }
          break;
        case 6:
          world.linkTime = 0;
          server.roundTrip = world.Below(400 * kMillisecond);
          break;
        case 7:
          world.linkTime = world.Below(400 * kMillisecond);
          for (SilenceWorld::Server& each : world.servers) {
            each.roundTrip = 0;
          }
          break;
        default:
          world.SetReached(index, true);
      }
    }
    RC_CLASSIFY(world.resets > 0, "with resets");
    RC_ASSERT(world.falseResets == 0U);
  });
  CHECK(passed);
}

}
