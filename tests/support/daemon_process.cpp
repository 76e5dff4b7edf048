#include "support/daemon_process.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fstream>
#include <httplib.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace gentianspindle {

namespace {

// Returns a port that was free just now for sockets of type aType; 0 where
// there is none. The port is not reserved: another process may take it before
// it is used.
uint16_t
FindFreePort(int aType)
{
  int fd = socket(AF_INET, aType, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  socklen_t bytes = sizeof(address);
  bool bound =
    bind(fd, reinterpret_cast<sockaddr*>(&address), bytes) == 0 &&
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &bytes) == 0;
  close(fd);
  return bound ? ntohs(address.sin_port) : 0;
}

}

LocalFleet
LocalFleet::Make(const std::string& aPlatform,
                 const std::vector<std::string>& aZones)
{
  static uint8_t fleetCount = 0;
  LocalFleet fleet;
  // From 1 to 250. The fleets of a process take five networks in turn; test
  // processes that run at the same time rarely share one.
  fleet.loopbackNet =
    static_cast<uint8_t>(1 + (getpid() + 50 * fleetCount++) % 250);
  fleet.fabricPort = FindFreePort(SOCK_DGRAM);
  fleet.peerPort = FindFreePort(SOCK_STREAM);
  fleet.metricsPort = FindFreePort(SOCK_STREAM);
  fleet.returnPort = FindFreePort(SOCK_DGRAM);
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
  posix_spawn(
    &this->pid, program.c_str(), nullptr, nullptr, arguments.data(), environ);
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
