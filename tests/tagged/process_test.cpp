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
constexpr int kWaitMs = 5000;

// A bound socket that says where it is.
struct Peer
{
  tagged::UdpSocket socket;
  Endpoint at;

  static Peer Make()
  {
    auto socket = tagged::UdpSocket::Bind({ kLoopback, 0 });
    REQUIRE(socket.ok());
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(
      socket->Descriptor(), reinterpret_cast<sockaddr*>(&address), &size);
    return { *std::move(socket), { kLoopback, ntohs(address.sin_port) } };
  }

  std::vector<uint8_t> Receive(int aWaitMs = kWaitMs) const
  {
    pollfd ready{ this->socket.Descriptor(), POLLIN, 0 };
    if (poll(&ready, 1, aWaitMs) <= 0) {
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
  return Peer::Make().at.port;
}

std::vector<uint8_t>
MakePacket(uint16_t aPort, bool aSyn, steer::Tag aTag = 0)
{
  std::vector<uint8_t> bytes(32);
  bytes[8] = aSyn ? 1 : 64;
  auto put16 = [&](size_t aPlace, uint32_t aValue) {
    bytes[aPlace] = static_cast<uint8_t>(aValue >> 8);
    bytes[aPlace + 1] = static_cast<uint8_t>(aValue);
  };
  auto put32 = [&](size_t aPlace, uint32_t aValue) {
    put16(aPlace, aValue >> 16);
    put16(aPlace + 2, aValue & 0xFFFF);
  };
  put16(16, aPort);
  put32(18, kLoopback);
  put16(22, kTarget.port);
  put32(24, kTarget.address);
  put32(28, aTag);
  return bytes;
}

json
ServerSpec(Endpoint aAt, const std::string& aState = "ready")
{
  return { { "service", "web" },     { "address", FormatEndpoint(aAt) },
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

struct Place
{
  int storePort = 0;
  Address address = kLoopback;
  uint16_t peersPort = 0;
  std::vector<Address> seeds;
};

// One daemon with its settings file; its standard output is a pipe.
struct Daemon
{
  Place place;
  pid_t pid = -1;
  int output = -1;
  Endpoint packets{ 0, FreePort() };
  uint16_t readyPort = FreePort();
  uint16_t metricsPort = FreePort();
  std::filesystem::path folder;

  explicit Daemon(int aStorePort)
    : Daemon(Place{ .storePort = aStorePort })
  {
  }

  explicit Daemon(const Place& aPlace)
    : place(aPlace)
  {
    this->packets.address = aPlace.address;
    std::string name = std::filesystem::temp_directory_path() / "tagXXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    this->folder = name;
    this->WriteSettings(200);
    int ends[2];
    REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
    this->output = ends[0];
    this->pid = fork();
    if (this->pid == 0) {
      dup2(ends[1], STDOUT_FILENO);
      std::string path = this->SettingsPath();
      setenv("GENTIANSPINDLE_CONFIG", path.c_str(), 1);
      execl(GENTIANSPINDLE_TAGGED, GENTIANSPINDLE_TAGGED, nullptr);
      _exit(99);
    }
    close(ends[1]);
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

  std::string Host() const { return FormatAddress(this->place.address); }

  void WriteSettings(int aLines, const char* aMore = "") const
  {
    std::string seeds;
    for (Address seed : this->place.seeds) {
      seeds += (seeds.empty() ? "\"" : ", \"") + FormatAddress(seed) + ":1\"";
    }
    if (!seeds.empty()) {
      seeds = "seeds = [" + seeds + "]\n";
    }
    std::string next = this->folder / "next.toml";
    std::ofstream(next) << "[instance]\nname = \"one\"\naddress = \""
                        << this->Host() << "\"\nzone = \"a\"\n"
                        << "[fabric]\npackets = \""
                        << FormatEndpoint(this->packets) << "\"\n"
                        << "[ready]\nlisten = \"" << this->Host() << ":"
                        << this->readyPort << "\"\n"
                        << "[store]\naddress = \"127.0.0.1:"
                        << this->place.storePort
                        << "\"\nwatch_ms = 300\npace_ms = 20\n"
                        << "[peers]\nport = " << this->place.peersPort << "\n"
                        << seeds << "[metrics]\nport = " << this->metricsPort
                        << "\n"
                        << "[log]\nlines_per_s = " << aLines << "\n"
                        << aMore;
    std::filesystem::rename(next, this->SettingsPath());
  }

  int Ready() const
  {
    httplib::Client client(this->Host(), this->readyPort);
    auto answer = client.Get("/-/readiness");
    return answer ? answer->status : 0;
  }

  std::string Metrics() const
  {
    httplib::Client client(this->Host(), this->metricsPort);
    auto answer = client.Get("/metrics");
    return answer ? answer->body : "";
  }

  double Metric(const std::string& aName) const
  {
    return MetricOf(this->Metrics(), aName);
  }

  void Send(const std::vector<uint8_t>& aBytes, const Peer& aFrom) const
  {
    sockaddr_in to = tagged::ToSocketAddress(this->packets);
    sendto(aFrom.socket.Descriptor(),
           aBytes.data(),
           aBytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&to),
           sizeof to);
  }

  std::string ReadOutput() const
  {
    std::string text(1 << 16, '\0');
    ssize_t count = read(this->output, text.data(), text.size());
    text.resize(count < 0 ? 0 : static_cast<size_t>(count));
    return text;
  }

  int WaitForEnd()
  {
    int status = -1;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
};

template<typename F>
bool
Eventually(F aHolds)
{
  return WaitFor(aHolds, 10);
}

struct Site
{
  ObjectStore store;
  int port = store.Start();
  Peer host = Peer::Make();
  Peer fabric = Peer::Make();

  Site()
  {
    this->store.Put("config", "main", ConfigSpec(3));
    this->store.Put("servers", "i-75bc4be3cd", ServerSpec(this->host.at));
  }
};

}

TEST_CASE("A flow reaches its host by tag, also while the store is away")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  daemon.Send(MakePacket(7000, true), site.fabric);
  std::vector<uint8_t> opened = site.host.Receive();
  REQUIRE(opened.size() == 40);
  CHECK(opened[3] == 0x75);
  CHECK(opened[7] == 0xcd);
  steer::Tag tag = steer::TagOf(0x75bc4be3cdULL);
  CHECK(platform::PacketFormat::Decode(std::span(opened).subspan(8))->tag ==
        tag);

  site.store.status = 503;
  REQUIRE(Eventually([&] {
    return daemon.Metrics().find("reason=\"away\"} 0") == std::string::npos;
  }));
  // A flow that this instance never saw, and a new one.
  daemon.Send(MakePacket(7001, false, tag), site.fabric);
  CHECK(site.host.Receive().size() == 40);
  daemon.Send(MakePacket(7002, true), site.fabric);
  CHECK(site.host.Receive().size() == 40);
  CHECK(daemon.Ready() == 200);
}

TEST_CASE("Changes arrive through watches, pages and a forgotten history")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  for (int i = 1; i <= 7; ++i) {
    site.store.Put("servers",
                   "i-" + std::to_string(i),
                   ServerSpec(Peer::Make().at, "draining"));
  }
  site.store.DropHistory();
  site.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 9; }));
  site.store.Put(
    "servers", "i-75bc4be3cd", ServerSpec(site.host.at, "draining"));
  // No server takes new flows any more: refused at once, at the port that the
  // fabric uses.
  CHECK(Eventually([&] {
    daemon.Send(MakePacket(7100, true), site.fabric);
    return site.host.Receive(20).empty();
  }));
}

TEST_CASE("A silent store is noticed, and the new version comes after it")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  site.store.silent = true;
  REQUIRE(Eventually([&] {
    return daemon.Metrics().find("reason=\"no_answer\"} 0") ==
           std::string::npos;
  }));
  site.store.Put("config", "main", ConfigSpec(20));
  site.store.silent = false;
  CHECK(Eventually(
    [&] { return daemon.Metric("gentianspindle_config_version") == 20; }));
}

TEST_CASE("A planned stop turns the fabric away, serves on, and ends with 0")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  kill(daemon.pid, SIGTERM);
  CHECK(Eventually([&] { return daemon.Ready() == 503; }));
  daemon.Send(MakePacket(7000, true), site.fabric);
  CHECK(site.host.Receive().size() == 40);
  CHECK(daemon.WaitForEnd() == 0);
}

TEST_CASE("Settings change with and without a signal; bad ones change nothing")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  std::string seen;
  auto says = [&](const std::string& aText) {
    seen += daemon.ReadOutput();
    return seen.find(aText) != std::string::npos;
  };
  fcntl(daemon.output, F_SETFL, O_NONBLOCK);
  daemon.WriteSettings(100);
  CHECK(Eventually([&] { return says("\"outcome\":\"in_force\""); }));
  daemon.WriteSettings(100, "[nonsense]\nkey = 1\n");
  kill(daemon.pid, SIGHUP);
  CHECK(Eventually([&] { return says("\"outcome\":\"refused\""); }));
  CHECK(daemon.Ready() == 200);
}

TEST_CASE("A reader of the log that stopped holds no packet up")
{
  Site site;
  Daemon daemon(site.port);
  REQUIRE(Eventually([&] { return daemon.Ready() == 200; }));
  daemon.WriteSettings(100'000);
  kill(daemon.pid, SIGHUP);
  // Nobody reads the pipe. Lines of about 400 bytes fill it and the buffer.
  size_t forwarded = 0;
  constexpr size_t kFlows = 4000;
  for (size_t i = 0; i < kFlows; ++i) {
    daemon.Send(MakePacket(static_cast<uint16_t>(8000 + i), true), site.fabric);
    forwarded += site.host.Receive().empty() ? 0 : 1;
  }
  CHECK(forwarded == kFlows);
  CHECK(daemon.Metric("gentianspindle_log_dropped_total") > 0);
}

TEST_CASE("An instance that starts while the store is away asks its peers")
{
  Site site;
  uint16_t port = FreePort();
  constexpr Address kFirst = kLoopback + 1;
  constexpr Address kSecond = kLoopback + 2;
  Daemon first({ site.port, kFirst, port, { kFirst, kSecond } });
  REQUIRE(Eventually([&] { return first.Ready() == 200; }));
  site.store.status = 503;
  Daemon second({ site.port, kSecond, port, { kFirst, kSecond } });
  CHECK(Eventually([&] { return second.Ready() == 200; }));
  // The metrics page comes after the packet path.
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_peer_views_total") == 1; }));
  second.Send(MakePacket(7000, true), site.fabric);
  CHECK(site.host.Receive().size() == 40);
}

TEST_CASE("One instance of a zone reads the store and tells the others")
{
  Site site;
  uint16_t port = FreePort();
  constexpr Address kFirst = kLoopback + 1;
  constexpr Address kSecond = kLoopback + 2;
  Daemon first({ site.port, kFirst, port, { kFirst, kSecond } });
  Daemon second({ site.port, kSecond, port, { kFirst, kSecond } });
  auto readers = [&] {
    return first.Metric("gentianspindle_reads_store") +
           second.Metric("gentianspindle_reads_store");
  };
  // A reader is chosen within three seconds; of two, one steps down.
  usleep(3'500'000);
  REQUIRE(Eventually([&] { return readers() == 1; }));
  site.store.Put("config", "main", ConfigSpec(8));
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
  site.store.Put("config", "main", ConfigSpec(9));
  CHECK(Eventually(
    [&] { return other.Metric("gentianspindle_config_version") == 9; }));
}

TEST_CASE("An instance that the store turns away hears changes from peers")
{
  Site site;
  ObjectStore other; // stands for the store as the second instance sees it
  int otherPort = other.Start();
  other.Put("config", "main", ConfigSpec(3));
  other.Put("servers", "i-75bc4be3cd", ServerSpec(site.host.at));
  uint16_t port = FreePort();
  constexpr Address kFirst = kLoopback + 1;
  constexpr Address kSecond = kLoopback + 2;
  Daemon first({ site.port, kFirst, port, { kFirst, kSecond } });
  Daemon second({ otherPort, kSecond, port, { kFirst, kSecond } });
  REQUIRE(
    Eventually([&] { return first.Ready() == 200 && second.Ready() == 200; }));
  other.status = 503;
  site.store.Put("config", "main", ConfigSpec(8));
  site.store.Put("servers", "i-1", ServerSpec(Peer::Make().at));
  CHECK(Eventually(
    [&] { return second.Metric("gentianspindle_config_version") == 8; }));
}

}
