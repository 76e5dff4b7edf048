#include "support/daemon_process.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fstream>
#include <httplib.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

extern char** environ;

namespace gentianspindle {

namespace {

constexpr uint8_t kFirstNet = 2;
constexpr uint8_t kLastNet = 250;
// Ports of all fleets, whose networks differ; kFirstReturnPort and the
// network's number give the port at 127.0.0.1, which all fleets share.
constexpr uint16_t kReservationPort = 20'000;
constexpr uint16_t kFabricPort = 20'001;
constexpr uint16_t kPeerPort = 20'002;
constexpr uint16_t kMetricsPort = 20'003;
constexpr uint16_t kFirstReturnPort = 21'000;

// Reserves a network for this process, as long as it runs: a bound socket that
// stays open keeps other test processes from it. Throws if none is left.
uint8_t
ReserveNet()
{
  for (uint8_t net = kFirstNet; net <= kLastNet; ++net) {
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kReservationPort);
    address.sin_addr.s_addr = htonl(0x7F000001 | (Address{ net } << 16));
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
      return net;
    }
    close(fd);
  }
  throw std::runtime_error("no free loopback network for a fleet");
}

}

LocalFleet
LocalFleet::Make(const std::string& aPlatform,
                 const std::vector<std::string>& aZones)
{
  LocalFleet fleet;
  fleet.loopbackNet = ReserveNet();
  fleet.fabricPort = kFabricPort;
  fleet.peerPort = kPeerPort;
  fleet.metricsPort = kMetricsPort;
  fleet.returnPort = kFirstReturnPort + fleet.loopbackNet;
  fleet.platform = aPlatform;
  fleet.zones = aZones;
  return fleet;
}

Address
LocalFleet::InstanceAddressAt(size_t aInstance) const
{
  // 127.N.9.1 for the first instance. Localize puts the backend servers of
  // MakeTable at 127.N.1 and 127.N.2.
  return 0x7F000000 | (Address{ this->loopbackNet } << 16) | 0x0900 |
         static_cast<Address>(aInstance + 1);
}

InstanceId
LocalFleet::FabricEndpoint(size_t aInstance) const
{
  return MakeInstanceId(this->InstanceAddressAt(aInstance), this->fabricPort);
}

Table
LocalFleet::Localize(Table aTable) const
{
  for (Service& service : aTable.services) {
    for (ServerRow& row : service.rows) {
      row.address = 0x7F000000 | (Address{ this->loopbackNet } << 16) |
                    (row.address & 0xFFFF);
    }
  }
  return aTable;
}

DaemonProcess::DaemonProcess(const LocalFleet& aFleet, size_t aInstance)
  : address(FormatAddress(aFleet.InstanceAddressAt(aInstance)))
  , metricsPort(aFleet.metricsPort)
{
  std::ostringstream seeds;
  for (size_t i = 0; i < aFleet.zones.size(); ++i) {
    seeds << (i == 0 ? "" : ", ") << '"'
          << FormatAddress(aFleet.InstanceAddressAt(i)) << ':'
          << aFleet.peerPort << '"';
  }
  std::string path = "daemon-" + this->address + ".toml";
  std::ofstream(path) << "[instance]\naddress = \"" << this->address
                      << "\"\nzone = \"" << aFleet.zones[aInstance]
                      << "\"\n[fabric]\nport = " << aFleet.fabricPort
                      << "\nserver_port = " << aFleet.fabricPort
                      << "\nsources = [\"127.0.0.1\"]\nanswer = \"127.0.0.1:"
                      << aFleet.returnPort
                      << "\"\n[peers]\nport = " << aFleet.peerPort
                      << "\nseeds = [" << seeds.str()
                      << "]\nkey = \"key-of-the-tests-only\"\n"
                      << "probe_ms = 200\n[platform]\nurl = \""
                      << aFleet.platform
                      << "\"\nwatch_ms = 1000\n[metrics]\nlisten = \""
                      << this->address << ':' << aFleet.metricsPort
                      << "\"\n[log]\nlevel = \"WARN\"\n";
  std::string program = GENTIANSPINDLE_DAEMON;
  std::string option = "--settings";
  std::array<char*, 4> arguments{
    program.data(), option.data(), path.data(), nullptr
  };
  int error = posix_spawn(
    &this->pid, program.c_str(), nullptr, nullptr, arguments.data(), environ);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), program);
  }
}

DaemonProcess::~DaemonProcess()
{
  if (!this->HasEnded()) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, &this->status, 0);
  }
}

void
DaemonProcess::Signal(int aSignal) const
{
  kill(this->pid, aSignal);
}

bool
DaemonProcess::HasEnded()
{
  if (!this->ended && waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
    this->ended = true;
  }
  return this->ended;
}

double
DaemonProcess::Metric(const std::string& aName) const
{
  httplib::Client client(this->address, this->metricsPort);
  client.set_connection_timeout(0, 200'000);
  auto page = client.Get("/metrics");
  return page ? MetricOf(page->body, aName) : -1;
}

}
