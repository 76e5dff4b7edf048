// The daemon of the tagged transport as a process, the store that it reads, and
// the sockets of the fabric and of a server.
#pragma once

#include "platform/wire.h"
#include "support/loopback.h"
#include "support/object_store.h"
#include "support/wait.h"
#include "tagged/loop.h"
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
// opening packet, or one with the ACK flag, 64. aAck is the acknowledgement; in
// an opening packet it counts how often it was sent before. By default that
// is the last retransmission, which stays usable for so long that a busy
// machine doesn't make it out of date. platform/wire.cpp has the offsets.
inline std::vector<uint8_t>
MakePacket(uint16_t aPort, bool aSyn, steer::Tag aTag = 0, uint8_t aAck = 2)
{
  std::vector<uint8_t> bytes(32);
  bytes[7] = aAck;
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
inline nlohmann::json
ServerSpec(Endpoint aEndpoint, const std::string& aState = "ready")
{
  return { { "service", "web" },     { "address", FormatEndpoint(aEndpoint) },
           { "zone", "a" },          { "version", "v1" },
           { "slots", 2 },           { "state", aState },
           { "warmup_left_ms", 0 },  { "seq", 1 },
           { "born", 1700000000000 } };
}

// Builds a configuration that routes kTarget to service web.
inline nlohmann::json
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
           { "services", nlohmann::json::array() },
           { "limits", { { "idle_timeout_ms", 15000 } } } };
}

// Addresses and ports that one daemon's settings are made from.
struct DaemonOptions
{
  int storePort = 0;
  Address address = LoopbackAddress();
  uint16_t peersPort = 0;
  std::vector<Address> seeds;
  const char* extra = ""; // further sections of the settings
};

// One daemon process with its settings file. Its standard output, the log, is
// a pipe that the test reads. The destructor kills the process.
struct Daemon
{
  DaemonOptions options;
  pid_t pid = -1;
  int output = -1;
  Micros readyAt = 0; // when IsReady first saw that it serves; 0: not yet
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
    this->WriteSettings(200, this->options.extra);
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

  // Returns whether the daemon serves callers, and has done so for so long that
  // it knows which repeated opening packets it has not seen before.
  bool IsReady()
  {
    if (this->ReadinessStatus() != 200) {
      return false;
    }
    Micros now = tagged::SteadyNow();
    this->readyAt = this->readyAt == 0 ? now : this->readyAt;
    return now - this->readyAt >= steer::kOpeningMemory;
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

// Returns how often the daemon decided for a reason.
inline double
Decisions(const Daemon& aDaemon, const std::string& aReason)
{
  return aDaemon.Metric("gentianspindle_decisions_total{reason=\"" + aReason +
                        "\"}");
}

// Sends the first opening packet of a new flow and returns whether it reaches
// the server. Only one that a busy daemon counts as out of date is sent again,
// from another port.
inline bool
OpensAFlow(const Daemon& aDaemon, const Fixture& aFixture)
{
  static uint16_t port = 7000;
  for (;;) {
    double outOfDate = Decisions(aDaemon, "out_of_date");
    aDaemon.Send(MakePacket(port++, true, 0, 0), aFixture.fabricSocket);
    if (aFixture.serverSocket.Receive(300).size() == 40) {
      return true;
    }
    if (Decisions(aDaemon, "out_of_date") == outOfDate) {
      return false;
    }
  }
}

}
