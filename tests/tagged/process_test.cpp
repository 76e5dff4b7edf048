// Runs the daemon of the tagged transport as a process, with a stand-in for the
// store. The tests guard against faults that show only in the whole daemon:
// lost packets or views during store outages, reloads and planned stops.
#include "steer/opening.h"
#include "support/tagged_process.h"

namespace gentianspindle {

TEST_CASE(
  "While the store is away, new flows still reach a server and flows known "
  "only by tag reach theirs")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  std::vector<uint8_t> datagram = fixture.serverSocket.Receive();
  // The server's id in 8 bytes, big-endian, and the packet of 32 bytes.
  REQUIRE(datagram.size() == 40);
  CHECK(datagram[3] == 0x75);
  CHECK(datagram[7] == 0xcd);
  steer::Tag tag = steer::TagOf(0x75bc4be3cdULL);
  CHECK(platform::PacketFormat::Decode(std::span(datagram).subspan(8))->tag ==
        tag);

  fixture.store.status = 503;
  REQUIRE(Eventually([&] {
    return daemon.Metric(
             "gentianspindle_store_retries_total{reason=\"away\"}") >= 1;
  }));
  // A flow that this instance never saw, with its tag, and then a new flow.
  daemon.Send(MakePacket(7001, false, tag), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  daemon.Send(MakePacket(7002, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  CHECK(daemon.ReadinessStatus() == 200);
}

TEST_CASE(
  "Changes arrive from watches, from lists of several pages and after the "
  "store dropped its history")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  for (int i = 1; i <= 7; ++i) {
    fixture.store.Put("servers",
                      "i-" + std::to_string(i),
                      ServerSpec(BoundSocket::Make().endpoint, "draining"));
  }
  fixture.store.DropHistory();
  fixture.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 9; }));
  fixture.store.Put("servers",
                    "i-75bc4be3cd",
                    ServerSpec(fixture.serverSocket.endpoint, "draining"));
  // The only server that was ready is draining too, so new flows are reset. The
  // resets go to the caller's address at the daemon's packet port, and no
  // packet reaches the server.
  CHECK(Eventually([&] {
    daemon.Send(MakePacket(7100, true), fixture.fabricSocket);
    return fixture.serverSocket.Receive(20).empty();
  }));
}

TEST_CASE(
  "A store that stops answering is detected, and its new version arrives "
  "once it answers again")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  fixture.store.silent = true;
  REQUIRE(Eventually([&] {
    return daemon.Metric(
             "gentianspindle_store_retries_total{reason=\"no_answer\"}") >= 1;
  }));
  fixture.store.Put("config", "main", ConfigSpec(20));
  fixture.store.silent = false;
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 20; }));
}

TEST_CASE(
  "In a planned stop the readiness check returns 503, packets are still "
  "forwarded, and the process exits with 0")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  kill(daemon.pid, SIGTERM);
  CHECK(Eventually([&] { return daemon.ReadinessStatus() == 503; }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  CHECK(daemon.WaitForExit() == 0);
}

namespace {

// Sends opening packets from new ports until one reaches a server, and returns
// how many packets from aPort the servers got before it. Packets are handled in
// the order in which they were sent, so no more of them will come.
std::vector<size_t>
CountPackets(const Daemon& aDaemon,
             const Fixture& aFixture,
             std::span<const BoundSocket* const> aServers,
             uint16_t aPort)
{
  std::vector<size_t> counts(aServers.size());
  bool probeArrived = false;
  auto receiveAll = [&] {
    for (size_t i = 0; i < aServers.size(); ++i) {
      for (auto bytes = aServers[i]->Receive(20); bytes.size() == 40;
           bytes = aServers[i]->Receive(20)) {
        uint16_t port = static_cast<uint16_t>(bytes[24] << 8 | bytes[25]);
        counts[i] += port == aPort ? 1 : 0;
        probeArrived = probeArrived || port != aPort;
      }
    }
  };
  uint16_t probe = 20000;
  bool arrived = Eventually([&] {
    aDaemon.Send(MakePacket(++probe, true), aFixture.fabricSocket);
    receiveAll();
    return probeArrived;
  });
  // Packets sent before the probe may wait at a server that was read earlier.
  receiveAll();
  CHECK(arrived);
  return counts;
}

}

// Guards against a paused process that sends the retransmissions of one opening
// packet to several servers.
TEST_CASE(
  "Retransmissions of an opening packet that waited while the process was "
  "stopped reach one server")
{
  Fixture fixture;
  BoundSocket other = BoundSocket::Make();
  fixture.store.Put("servers", "i-75bc4be3ce", ServerSpec(other.endpoint));
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  kill(daemon.pid, SIGSTOP);
  for (uint8_t retransmissions : { 0, 1, 2 }) {
    daemon.Send(MakePacket(7000, true, 0, retransmissions),
                fixture.fabricSocket);
  }
  kill(daemon.pid, SIGCONT);
  std::array<const BoundSocket*, 2> servers{ &fixture.serverSocket, &other };
  std::vector<size_t> counts =
    CountPackets(daemon, fixture, servers, uint16_t{ 7000 });
  CHECK((counts[0] == 0 || counts[1] == 0));
}

// Guards against a paused process that forwards opening packets whose callers
// have opened their flows through another instance meanwhile.
TEST_CASE(
  "Opening packets that grew old while the process was stopped reach no "
  "server")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  kill(daemon.pid, SIGSTOP);
  daemon.Send(MakePacket(7000, true, 0, 0), fixture.fabricSocket);
  usleep(steer::kOpeningIntervals[0]);
  kill(daemon.pid, SIGCONT);
  std::array<const BoundSocket*, 1> servers{ &fixture.serverSocket };
  CHECK(CountPackets(daemon, fixture, servers, uint16_t{ 7000 })[0] == 0);
  CHECK(daemon.Metric(
          "gentianspindle_decisions_total{reason=\"out_of_date\"}") >= 1);
}

TEST_CASE(
  "Settings are reloaded with and without a signal, and bad ones change "
  "nothing")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  std::string logText;
  auto logContains = [&](const std::string& aText) {
    logText += daemon.ReadOutput();
    return logText.find(aText) != std::string::npos;
  };
  fcntl(daemon.output, F_SETFL, O_NONBLOCK);
  daemon.WriteSettings(100);
  CHECK(Eventually([&] { return logContains("\"outcome\":\"in_force\""); }));
  daemon.WriteSettings(100, "[nonsense]\nkey = 1\n");
  kill(daemon.pid, SIGHUP);
  CHECK(Eventually([&] { return logContains("\"outcome\":\"refused\""); }));
  CHECK(daemon.Metric("gentianspindle_reloads_refused_total") >= 1);
  CHECK(daemon.ReadinessStatus() == 200);
}

// Guards against flows that change their server (review/6 and review/7): two
// servers that both got the opening packet share the flow.
TEST_CASE("An opening packet without an answer reaches no second server")
{
  Fixture fixture;
  BoundSocket other = BoundSocket::Make();
  fixture.store.Put("servers", "i-2", ServerSpec(other.endpoint));
  Daemon daemon(fixture.port);
  // The metrics port opens with the first tick.
  REQUIRE(
    Eventually([&] { return daemon.Metric("gentianspindle_ready") == 1; }));
  std::array<const BoundSocket*, 2> servers{ &fixture.serverSocket, &other };
  constexpr uint16_t kPort = 7000;
  std::array<size_t, 2> sums{};
  for (uint8_t retransmissions : { 0, 1, 2 }) {
    daemon.Send(MakePacket(kPort, true, 0, retransmissions),
                fixture.fabricSocket);
    std::vector<size_t> counts = CountPackets(daemon, fixture, servers, kPort);
    sums[0] += counts[0];
    sums[1] += counts[1];
    usleep(steer::kOpeningIntervals[0]);
  }
  CHECK((sums[0] == 0 || sums[1] == 0));
  // The last one is refused, as two in a row went unanswered.
  CHECK(sums[0] + sums[1] == 2);
  CHECK(daemon.Metric(
          "gentianspindle_decisions_total{reason=\"server_silent\"}") >= 1);
}

TEST_CASE("A log pipe that is full because its reader stopped blocks no packet")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.IsReady(); }));
  daemon.WriteSettings(100'000);
  kill(daemon.pid, SIGHUP);
  // The daemon opens its log and the metrics port some time after it is ready.
  REQUIRE(
    Eventually([&] { return daemon.Metric("gentianspindle_ready") == 1; }));
  // Nobody reads the pipe: log lines of about 400 bytes fill it and the buffer
  // of the daemon.
  size_t forwarded = 0;
  constexpr size_t kFlows = 4000;
  for (size_t i = 0; i < kFlows; ++i) {
    daemon.Send(MakePacket(static_cast<uint16_t>(8000 + i), true),
                fixture.fabricSocket);
    forwarded += fixture.serverSocket.Receive().empty() ? 0 : 1;
  }
  CHECK(forwarded == kFlows);
  CHECK(daemon.Metric("gentianspindle_log_dropped_total") > 0);
}

TEST_CASE(
  "An instance that starts while the store is away gets its view from a "
  "peer")
{
  Fixture fixture;
  uint16_t port = NextPort();
  const Address firstAddress = LoopbackAddress(1);
  const Address secondAddress = LoopbackAddress(2);
  Daemon first(
    { fixture.port, firstAddress, port, { firstAddress, secondAddress } });
  REQUIRE(Eventually([&] { return first.IsReady(); }));
  fixture.store.status = 503;
  Daemon second(
    { fixture.port, secondAddress, port, { firstAddress, secondAddress } });
  CHECK(Eventually([&] { return second.IsReady(); }));
  // The metrics port is opened later than the packet path and readiness.
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_peer_views_total") == 1; }));
  CHECK(OpensAFlow(second, fixture));
}

TEST_CASE(
  "One instance of a zone reads the store for the others, and another takes "
  "over when it is killed")
{
  Fixture fixture;
  uint16_t port = NextPort();
  const Address firstAddress = LoopbackAddress(1);
  const Address secondAddress = LoopbackAddress(2);
  Daemon first(
    { fixture.port, firstAddress, port, { firstAddress, secondAddress } });
  Daemon second(
    { fixture.port, secondAddress, port, { firstAddress, secondAddress } });
  auto countReaders = [&] {
    return first.Metric("gentianspindle_reads_store") +
           second.Metric("gentianspindle_reads_store");
  };
  // The zone has a reader within three seconds; if both instances read, one of
  // them stops.
  usleep(3'500'000);
  REQUIRE(Eventually([&] { return countReaders() == 1; }));
  fixture.store.Put("config", "main", ConfigSpec(8));
  for (const Daemon* daemon : { &first, &second }) {
    CHECK(Eventually(
      [&] { return daemon->Metric("gentianspindle_config_version") == 8; }));
  }
  Daemon& reader =
    first.Metric("gentianspindle_reads_store") == 1 ? first : second;
  Daemon& other = &reader == &first ? second : first;
  kill(reader.pid, SIGKILL);
  CHECK(Eventually(
    [&] { return other.Metric("gentianspindle_reads_store") == 1; }));
  fixture.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually(
    [&] { return other.Metric("gentianspindle_config_version") == 9; }));
}

TEST_CASE(
  "An instance that the store turns away receives changes from its peers")
{
  Fixture fixture;
  ObjectStore other; // the store as the second instance reaches it
  int otherPort = other.Start();
  other.Put("config", "main", ConfigSpec(3));
  other.Put(
    "servers", "i-75bc4be3cd", ServerSpec(fixture.serverSocket.endpoint));
  uint16_t port = NextPort();
  const Address firstAddress = LoopbackAddress(1);
  const Address secondAddress = LoopbackAddress(2);
  Daemon first(
    { fixture.port, firstAddress, port, { firstAddress, secondAddress } });
  Daemon second(
    { otherPort, secondAddress, port, { firstAddress, secondAddress } });
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  other.status = 503;
  fixture.store.Put("config", "main", ConfigSpec(8));
  fixture.store.Put("servers", "i-1", ServerSpec(BoundSocket::Make().endpoint));
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_config_version") == 8; }));
}

// Guards against a drained zone that gets new flows, and against an instance
// that starts during the drain and does not know of it.
TEST_CASE("While its zone is drained a server gets no new flow, also after a "
          "restart with the store away, and gets them again afterwards")
{
  Fixture fixture;
  uint16_t port = NextPort();
  auto options = [&](int aLast) {
    std::vector<Address> seeds{ LoopbackAddress(1), LoopbackAddress(2) };
    return DaemonOptions{ fixture.port,
                          seeds[static_cast<size_t>(aLast) - 1],
                          port,
                          seeds,
                          "[drain]\nbound_ms = 5000\n" };
  };
  auto isRefused = [&](const Daemon& aDaemon) {
    double before = Decisions(aDaemon, "zone_drained");
    return !OpensAFlow(aDaemon, fixture) &&
           Decisions(aDaemon, "zone_drained") == before + 1;
  };
  auto drainedZones = [](const Daemon& aDaemon, double aCount) {
    return Eventually(
      [&] { return aDaemon.Metric("gentianspindle_drained_zones") == aCount; });
  };
  Daemon first(options(1));
  REQUIRE(Eventually([&] { return first.IsReady(); }));
  CHECK(OpensAFlow(first, fixture));
  fixture.store.PutText("evacuations", "a", "{\"odd\":1e999}");
  REQUIRE(drainedZones(first, 1));
  CHECK(isRefused(first));
  fixture.store.status = 503;
  {
    Daemon second(options(2));
    REQUIRE(Eventually([&] { return second.IsReady(); }));
    CHECK(isRefused(second));
    CHECK(drainedZones(second, 1));
  }
  fixture.store.status = 200;
  fixture.store.DropHistory();
  fixture.store.Remove("evacuations", "a");
  CHECK(drainedZones(first, 0));
  CHECK(OpensAFlow(first, fixture));
  std::string logText = first.ReadOutput();
  CHECK(logText.find(R"("event":"zone_drain","drained_zone":"a",)"
                     R"("state":"in_force","source":"store")") !=
        std::string::npos);
}

TEST_CASE(
  "An instance that cannot learn of drains serves callers after a bounded "
  "wait")
{
  Fixture fixture;
  uint16_t port = NextPort();
  std::vector<Address> seeds{ LoopbackAddress(1), LoopbackAddress(2) };
  // A peer that does not read the drains, and then a store that is away.
  Daemon peer({ fixture.port, seeds[0], port, seeds });
  REQUIRE(Eventually([&] { return peer.IsReady(); }));
  fixture.store.status = 503;
  Daemon daemon(
    { fixture.port, seeds[1], port, seeds, "[drain]\nbound_ms = 5000\n" });
  CHECK(Eventually([&] { return daemon.IsReady(); }));
  CHECK(OpensAFlow(daemon, fixture));
}

// Guards against flows that change their server: the fabric hands the second
// opening packet to another instance than the first one.
TEST_CASE("A repeated opening packet reaches the same server through a peer")
{
  Fixture fixture;
  std::vector<std::unique_ptr<BoundSocket>> others;
  std::vector<const BoundSocket*> servers{ &fixture.serverSocket };
  for (int i = 1; i <= 3; ++i) {
    others.push_back(std::make_unique<BoundSocket>(BoundSocket::Make()));
    servers.push_back(others.back().get());
    fixture.store.Put(
      "servers", "i-" + std::to_string(i), ServerSpec(others.back()->endpoint));
  }
  uint16_t port = NextPort();
  std::vector<Address> seeds{ LoopbackAddress(1), LoopbackAddress(2) };
  Daemon first({ fixture.port, seeds[0], port, seeds });
  Daemon second({ fixture.port, seeds[1], port, seeds });
  REQUIRE(Eventually([&] { return first.IsReady() && second.IsReady(); }));
  // Returns the server that a packet of the flow reached.
  auto receive = [&]() -> const BoundSocket* {
    for (int i = 0; i < 100; ++i) {
      for (const BoundSocket* server : servers) {
        if (!server->Receive(1).empty()) {
          return server;
        }
      }
    }
    return nullptr;
  };
  // Instances know each other some time after their start; until then the
  // repeated packet is refused.
  uint16_t flow = 8000;
  int same = 0;
  CHECK(Eventually([&] {
    ++flow;
    first.Send(MakePacket(flow, true, 0, 0), fixture.fabricSocket);
    const BoundSocket* placed = receive();
    second.Send(MakePacket(flow, true, 0, 1), fixture.fabricSocket);
    const BoundSocket* repeated = receive();
    CHECK((placed == nullptr || repeated == nullptr || placed == repeated));
    same += placed != nullptr && placed == repeated ? 1 : 0;
    return same == 8;
  }));
  CHECK(second.Metric("gentianspindle_opening_messages_in_total") >= 8);
}

}
