// Runs real daemon processes, each on its own loopback address.
#pragma once

#include "core/table.h"
#include "support/wait.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianspindle {

// Addresses and ports of one test's fleet, whose network no other process has
// while this one runs.
struct LocalFleet
{
  // The fleet uses the addresses 127.N.0.0/16, where N is this number.
  uint8_t loopbackNet = 0;
  uint16_t fabricPort = 0;
  uint16_t peerPort = 0;
  uint16_t metricsPort = 0;
  // The instances send packets for callers (resets, for example) to this port
  // of 127.0.0.1.
  uint16_t returnPort = 0;
  // URL of the platform's object API.
  std::string platform;
  // Availability zone of each instance.
  std::vector<std::string> zones;

  // Throws std::runtime_error if no network is free.
  static LocalFleet Make(const std::string& aPlatform,
                         const std::vector<std::string>& aZones);
  // Address of the instance with this index.
  Address InstanceAddressAt(size_t aInstance) const;
  InstanceId FabricEndpoint(size_t aInstance) const;
  // Returns aTable with the addresses of its backend servers moved into this
  // fleet's network.
  Table Localize(Table aTable) const;
};

// One daemon process. It is killed when the object is destroyed.
class DaemonProcess
{
public:
  // Throws std::system_error if the process cannot be started.
  DaemonProcess(const LocalFleet& aFleet, size_t aInstance);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Signal(int aSignal) const;
  // True once the process has ended. From then on WaitStatus() is its status as
  // waitpid gives it; 0 means exit code 0.
  bool HasEnded();
  int WaitStatus() const { return this->status; }
  // Value of a metric without labels; -1 where the metrics page can't be read
  // or does not have it.
  double Metric(const std::string& aName) const;

private:
  pid_t pid = -1;
  int status = -1;
  bool ended = false;
  std::string address;
  uint16_t metricsPort;
};

}
