// Runs the daemon of the tagged transport as a process, with a stand-in for the
// store. The tests guard against faults that show only in the whole daemon:
// lost packets or views during store outages, reloads and planned stops.
#include "platform/wire.h"
#include "support/loopback.h"
#include "support/object_store.h"
#include "support/wait.h"
#include "tagged/udp.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace gentianspindle {

namespace {

using nlohmann::json;

constexpr Address kLoopback = 0x7F000001;
constexpr Endpoint kTarget{ 0xC6120001, 443 }; // 198.18.0.1:443
constexpr int kReceiveTimeoutMs = 5000;

// A bound UDP socket and its endpoint; stands for the fabric or a server.
struct BoundSocket
{
  tagged::UdpSocket socket;
  Endpoint endpoint;

  static BoundSocket Make()
  {
    auto socket = tagged::UdpSocket::Bind({ kLoopback, 0 });
    REQUIRE(socket.ok());
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(
      socket->Descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return { *std::move(socket), { kLoopback, ntohs(address.sin_port) } };
  }

  // Returns the next datagram, or no bytes if none comes in aTimeoutMs.
  std::vector<uint8_t> Receive(int aTimeoutMs = kReceiveTimeoutMs) const
  {
    pollfd pollEntry{ this->socket.Descriptor(), POLLIN, 0 };
    if (poll(&pollEntry, 1, aTimeoutMs) <= 0) {
      return {};
    }
    std::vector<uint8_t> bytes(2048);
    ssize_t count =
      recv(this->socket.Descriptor(), bytes.data(), bytes.size(), 0);
    bytes.resize(count < 0 ? 0 : static_cast<size_t>(count));
    return bytes;
  }
};

// Builds a packet without data from port aPort of 127.0.0.1 to kTarget: an
// opening packet, or one with the ACK flag, 64. platform/wire.cpp has the
// offsets.
std::vector<uint8_t>
MakePacket(uint16_t aPort, bool aSyn, steer::Tag aTag = 0)
{
  std::vector<uint8_t> bytes(32);
  bytes[8] = aSyn ? 1 : 64;
  auto put16 = [&](size_t aOffset, uint32_t aValue) {
    bytes[aOffset] = static_cast<uint8_t>(aValue >> 8);
    bytes[aOffset + 1] = static_cast<uint8_t>(aValue);
  };
  auto put32 = [&](size_t aOffset, uint32_t aValue) {
    put16(aOffset, aValue >> 16);
    put16(aOffset + 2, aValue & 0xFFFF);
  };
  put16(16, aPort);
  put32(18, kLoopback);
  put16(22, kTarget.port);
  put32(24, kTarget.address);
  put32(28, aTag);
  return bytes;
}

// Builds the store's entry of a server of service web.
json
ServerSpec(Endpoint aEndpoint, const std::string& aState = "ready")
{
  return { { "service", "web" },     { "address", FormatEndpoint(aEndpoint) },
           { "zone", "a" },          { "version", "v1" },
           { "slots", 2 },           { "state", aState },
           { "warmup_left_ms", 0 },  { "seq", 1 },
           { "born", 1700000000000 } };
}

// Builds a configuration that routes kTarget to service web.
json
ConfigSpec(int64_t aVersion)
{
  return { { "version", aVersion },
           { "routes",
             { { { "name", "web" },
                 { "host", "198.18.0.1" },
                 { "path_prefix", "/443/" },
                 { "slo_ms", 100 },
                 { "priority", 1 },
                 { "service", "web" } } } },
           { "services", json::array() },
           { "limits", { { "idle_timeout_ms", 15000 } } } };
}

// Addresses and ports that one daemon's settings are made from.
struct DaemonOptions
{
  int storePort = 0;
  Address address = LoopbackAddress();
  uint16_t peersPort = 0;
  std::vector<Address> seeds;
};

// One daemon process with its settings file. Its standard output, the log, is
// a pipe that the test reads. The destructor kills the process.
struct Daemon
{
  DaemonOptions options;
  pid_t pid = -1;
  int output = -1;
  Endpoint packets{ 0, NextPort() };
  uint16_t readyPort = NextPort();
  uint16_t metricsPort = NextPort();
  std::filesystem::path folder;

  explicit Daemon(int aStorePort)
    : Daemon(DaemonOptions{ .storePort = aStorePort })
  {
  }

  explicit Daemon(const DaemonOptions& aOptions)
    : options(aOptions)
  {
    this->packets.address = aOptions.address;
    std::string name = std::filesystem::temp_directory_path() / "tagXXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    this->folder = name;
    this->WriteSettings(200);
    int pipeEnds[2];
    REQUIRE(pipe2(pipeEnds, O_CLOEXEC) == 0);
    this->output = pipeEnds[0];
    this->pid = fork();
    if (this->pid == 0) {
      dup2(pipeEnds[1], STDOUT_FILENO);
      std::string path = this->SettingsPath();
      setenv("GENTIANSPINDLE_CONFIG", path.c_str(), 1);
      execl(GENTIANSPINDLE_TAGGED, GENTIANSPINDLE_TAGGED, nullptr);
      _exit(99);
    }
    close(pipeEnds[1]);
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  ~Daemon()
  {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
    }
    close(this->output);
    std::filesystem::remove_all(this->folder);
  }

  std::string SettingsPath() const { return this->folder / "settings.toml"; }

  std::string Host() const { return FormatAddress(this->options.address); }

  // Replaces the settings file in one step, so that no half-written file is
  // read. aExtra goes at its end.
  void WriteSettings(int aLinesPerSecond, const char* aExtra = "") const
  {
    std::string seeds;
    for (Address seed : this->options.seeds) {
      seeds += (seeds.empty() ? "\"" : ", \"") + FormatAddress(seed) + ":1\"";
    }
    if (!seeds.empty()) {
      seeds = "seeds = [" + seeds + "]\n";
    }
    std::string newPath = this->folder / "next.toml";
    std::ofstream(newPath) << "[instance]\nname = \"one\"\naddress = \""
                           << this->Host() << "\"\nzone = \"a\"\n"
                           << "[fabric]\npackets = \""
                           << FormatEndpoint(this->packets) << "\"\n"
                           << "[ready]\nlisten = \"" << this->Host() << ":"
                           << this->readyPort << "\"\n"
                           << "[store]\naddress = \"127.0.0.1:"
                           << this->options.storePort
                           << "\"\nwatch_ms = 300\npace_ms = 20\n"
                           << "[peers]\nport = " << this->options.peersPort
                           << "\n"
                           << seeds << "[metrics]\nport = " << this->metricsPort
                           << "\n"
                           << "[log]\nlines_per_s = " << aLinesPerSecond << "\n"
                           << aExtra;
    std::filesystem::rename(newPath, this->SettingsPath());
  }

  // Returns the status of the readiness page; 0 if it cannot be read.
  int ReadinessStatus() const
  {
    httplib::Client client(this->Host(), this->readyPort);
    auto response = client.Get("/-/readiness");
    return response ? response->status : 0;
  }

  std::string Metrics() const
  {
    httplib::Client client(this->Host(), this->metricsPort);
    auto response = client.Get("/metrics");
    return response ? response->body : "";
  }

  double Metric(const std::string& aName) const
  {
    return MetricOf(this->Metrics(), aName);
  }

  void Send(const std::vector<uint8_t>& aBytes, const BoundSocket& aFrom) const
  {
    sockaddr_in destination = tagged::ToSocketAddress(this->packets);
    sendto(aFrom.socket.Descriptor(),
           aBytes.data(),
           aBytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&destination),
           sizeof destination);
  }

  // Reads what the log pipe has, up to 64 KiB. Waits for a first byte unless
  // the pipe is set not to block.
  std::string ReadOutput() const
  {
    std::string text(1 << 16, '\0');
    ssize_t count = read(this->output, text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<size_t>(count));
    return text;
  }

  // Returns the exit status; -1 if a signal ended the process.
  int WaitForExit()
  {
    int status = -1;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
};

// Waits until aCondition holds; false after 10 s.
template<typename F>
bool
Eventually(F aCondition)
{
  return WaitFor(aCondition, 10);
}

// A store with one route and one server, and the sockets of the server and the
// fabric.
struct Fixture
{
  ObjectStore store;
  int port = store.Start();
  BoundSocket serverSocket = BoundSocket::Make();
  BoundSocket fabricSocket = BoundSocket::Make();

  Fixture()
  {
    this->store.Put("config", "main", ConfigSpec(3));
    this->store.Put(
      "servers", "i-75bc4be3cd", ServerSpec(this->serverSocket.endpoint));
  }
};

}

TEST_CASE(
  "While the store is away, new flows still reach a server and flows known "
  "only by tag reach theirs")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
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
    return daemon.Metrics().find("reason=\"away\"} 0") == std::string::npos;
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
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
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
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  fixture.store.silent = true;
  REQUIRE(Eventually([&] {
    return daemon.Metrics().find("reason=\"no_answer\"} 0") ==
           std::string::npos;
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
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  kill(daemon.pid, SIGTERM);
  CHECK(Eventually([&] { return daemon.ReadinessStatus() == 503; }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  CHECK(daemon.WaitForExit() == 0);
}

TEST_CASE(
  "Settings are reloaded with and without a signal, and bad ones change "
  "nothing")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
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
  CHECK(daemon.ReadinessStatus() == 200);
}

TEST_CASE("A log pipe that is full because its reader stopped blocks no packet")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  daemon.WriteSettings(100'000);
  kill(daemon.pid, SIGHUP);
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
  REQUIRE(Eventually([&] { return first.ReadinessStatus() == 200; }));
  fixture.store.status = 503;
  Daemon second(
    { fixture.port, secondAddress, port, { firstAddress, secondAddress } });
  CHECK(Eventually([&] { return second.ReadinessStatus() == 200; }));
  // The metrics port is opened later than the packet path and readiness.
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_peer_views_total") == 1; }));
  second.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
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

TEST_CASE("An odd entry of the store costs only itself, and the daemon goes on")
{
  std::string nested(2'000'000, '[');
  nested.append(2'000'000, ']');
  std::string objects;
  for (size_t i = 0; i < 2'000'000; ++i) {
    objects += "{\"a\":";
  }
  std::string odd = GENERATE_COPY(values<std::string>({
    R"("service":"web","address":"127.0.0.1:70000")",
    R"("service":"web","address":"127.0.0.1:0")",
    R"("service":"web","address":"127.0.0.1:-1")",
    "\"service\":\"\xff\xfe\"",
    R"("service":1e999)",
    R"("slots":)" + std::string(400, '9'),
    R"("service":"\ud800")",
    R"("other":)" + nested,
    R"("other":)" + objects + "0" + std::string(2'000'000, '}'),
  }));
  INFO(odd.substr(0, 60));
  Fixture fixture;
  fixture.store.PutText("servers", "i-76", "{" + odd + "}");
  Daemon daemon(fixture.port);
  fcntl(daemon.output, F_SETFL, O_NONBLOCK);
  // The list of the start has the odd entry before the good one, a watch has it
  // again at another revision.
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  fixture.store.PutText("servers", "i-74", "{" + odd + "}");
  fixture.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually([&] {
    return daemon.Metric("gentianspindle_config_version") == 9 &&
           daemon.Metric(
             "gentianspindle_unreadable_entries_total{kind=\"server\"}") == 2;
  }));
  std::string logText;
  CHECK(Eventually([&] {
    logText += daemon.ReadOutput();
    return logText.find(R"("kind":"server","name":"i-74")") !=
             std::string::npos &&
           logText.find(R"("kind":"server","name":"i-76")") !=
             std::string::npos;
  }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  fixture.store.Put("servers",
                    "i-75bc4be3cd",
                    ServerSpec(fixture.serverSocket.endpoint, "draining"));
  CHECK(Eventually([&] {
    daemon.Send(MakePacket(7100, true), fixture.fabricSocket);
    return fixture.serverSocket.Receive(20).empty();
  }));
  // The process is the one that was started.
  CHECK(waitpid(daemon.pid, nullptr, WNOHANG) == 0);
}

TEST_CASE("A configuration with an odd route loses that route, and one that "
          "cannot be read leaves the version in force")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  std::string good = ConfigSpec(20)["routes"][0].dump();
  fixture.store.PutText("config",
                        "main",
                        R"({"version":20,"routes":[{"name":"odd","x":1e999},)" +
                          good + "]}");
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 20; }));
  fixture.store.PutText("config", "main", R"({"version":1e999,"routes":[]})");
  CHECK(Eventually([&] {
    return daemon.Metric(
             "gentianspindle_unreadable_entries_total{kind=\"config\"}") == 1;
  }));
  CHECK(daemon.Metric(
          "gentianspindle_unreadable_entries_total{kind=\"route\"}") == 1);
  CHECK(daemon.Metric("gentianspindle_config_version") == 20);
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
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
  REQUIRE(Eventually([&] {
    return first.ReadinessStatus() == 200 && second.ReadinessStatus() == 200;
  }));
  other.status = 503;
  fixture.store.Put("config", "main", ConfigSpec(8));
  fixture.store.Put("servers", "i-1", ServerSpec(BoundSocket::Make().endpoint));
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_config_version") == 8; }));
}

}
