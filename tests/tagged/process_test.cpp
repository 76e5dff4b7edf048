// The daemon of the tagged transport as a process, before a stand-in store.
#include "platform/wire.h"
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
constexpr Endpoint kTarget{ 0xC6120001, 443 };
constexpr int kReceiveTimeoutMs = 5000;

// A bound socket that says where it is.
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

uint16_t
FreePort()
{
  return BoundSocket::Make().endpoint.port;
}

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

json
ServerSpec(Endpoint aEndpoint, const std::string& aState = "ready")
{
  return { { "service", "web" },     { "address", FormatEndpoint(aEndpoint) },
           { "zone", "a" },          { "version", "v1" },
           { "slots", 2 },           { "state", aState },
           { "warmup_left_ms", 0 },  { "seq", 1 },
           { "born", 1700000000000 } };
}

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

struct DaemonOptions
{
  int storePort = 0;
  Address address = kLoopback;
  uint16_t peersPort = 0;
  std::vector<Address> seeds;
};

// One daemon with its settings file; its standard output is a pipe.
struct Daemon
{
  DaemonOptions options;
  pid_t pid = -1;
  int output = -1;
  Endpoint packets{ 0, FreePort() };
  uint16_t readyPort = FreePort();
  uint16_t metricsPort = FreePort();
  std::filesystem::path folder;

  explicit Daemon(int aStorePort)
    : Daemon(DaemonOptions{ .storePort = aStorePort })
  {
  }

  explicit Daemon(const DaemonOptions& aOffset)
    : options(aOffset)
  {
    this->packets.address = aOffset.address;
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

  std::string ReadOutput() const
  {
    std::string text(1 << 16, '\0');
    ssize_t count = read(this->output, text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<size_t>(count));
    return text;
  }

  int WaitForExit()
  {
    int status = -1;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
};

template<typename F>
bool
Eventually(F aCondition)
{
  return WaitFor(aCondition, 10);
}

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

TEST_CASE("A flow reaches its host by tag, also while the store is away")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  daemon.Send(MakePacket(7000, true), fixture.fabricSocket);
  std::vector<uint8_t> datagram = fixture.serverSocket.Receive();
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
  // A flow that this instance never saw, and a new one.
  daemon.Send(MakePacket(7001, false, tag), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  daemon.Send(MakePacket(7002, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
  CHECK(daemon.ReadinessStatus() == 200);
}

TEST_CASE("Changes arrive through watches, pages and a forgotten history")
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
  // No server takes new flows any more: refused at once, at the port that the
  // fabric uses.
  CHECK(Eventually([&] {
    daemon.Send(MakePacket(7100, true), fixture.fabricSocket);
    return fixture.serverSocket.Receive(20).empty();
  }));
}

TEST_CASE("A silent store is noticed, and the new version comes after it")
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

TEST_CASE("A planned stop turns the fabric away, serves on, and ends with 0")
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

TEST_CASE("Settings change with and without a signal; bad ones change nothing")
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

TEST_CASE("A reader of the log that stopped holds no packet up")
{
  Fixture fixture;
  Daemon daemon(fixture.port);
  REQUIRE(Eventually([&] { return daemon.ReadinessStatus() == 200; }));
  daemon.WriteSettings(100'000);
  kill(daemon.pid, SIGHUP);
  // Nobody reads the pipe. Lines of about 400 bytes fill it and the buffer.
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

TEST_CASE("An instance that starts while the store is away asks its peers")
{
  Fixture fixture;
  uint16_t port = FreePort();
  constexpr Address kFirstAddress = kLoopback + 1;
  constexpr Address kSecondAddress = kLoopback + 2;
  Daemon first(
    { fixture.port, kFirstAddress, port, { kFirstAddress, kSecondAddress } });
  REQUIRE(Eventually([&] { return first.ReadinessStatus() == 200; }));
  fixture.store.status = 503;
  Daemon second(
    { fixture.port, kSecondAddress, port, { kFirstAddress, kSecondAddress } });
  CHECK(Eventually([&] { return second.ReadinessStatus() == 200; }));
  // The metrics page comes after the packet path.
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_peer_views_total") == 1; }));
  second.Send(MakePacket(7000, true), fixture.fabricSocket);
  CHECK(fixture.serverSocket.Receive().size() == 40);
}

TEST_CASE("One instance of a zone reads the store and tells the others")
{
  Fixture fixture;
  uint16_t port = FreePort();
  constexpr Address kFirstAddress = kLoopback + 1;
  constexpr Address kSecondAddress = kLoopback + 2;
  Daemon first(
    { fixture.port, kFirstAddress, port, { kFirstAddress, kSecondAddress } });
  Daemon second(
    { fixture.port, kSecondAddress, port, { kFirstAddress, kSecondAddress } });
  auto countReaders = [&] {
    return first.Metric("gentianspindle_reads_store") +
           second.Metric("gentianspindle_reads_store");
  };
  // A reader is chosen within three seconds; of two, one steps down.
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

TEST_CASE("An instance that the store turns away hears changes from peers")
{
  Fixture fixture;
  ObjectStore other; // stands for the store as the second instance sees it
  int otherPort = other.Start();
  other.Put("config", "main", ConfigSpec(3));
  other.Put(
    "servers", "i-75bc4be3cd", ServerSpec(fixture.serverSocket.endpoint));
  uint16_t port = FreePort();
  constexpr Address kFirstAddress = kLoopback + 1;
  constexpr Address kSecondAddress = kLoopback + 2;
  Daemon first(
    { fixture.port, kFirstAddress, port, { kFirstAddress, kSecondAddress } });
  Daemon second(
    { otherPort, kSecondAddress, port, { kFirstAddress, kSecondAddress } });
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
