// Runs real daemons on loopback addresses of their own.
#pragma once

#include "core/table.h"
#include "support/wait.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianspindle {

// Addresses and ports of one test's fleet, free when it was made.
struct LocalFleet
{
  uint8_t loopbackNet = 0; // 127.net.0.0/16
  uint16_t fabricPort = 0;
  uint16_t peerPort = 0;
  uint16_t metricsPort = 0;
  uint16_t returnPort = 0;
  std::string platform;
  std::vector<std::string> zones; // of the instances

  static LocalFleet Make(const std::string& aPlatform,
                         const std::vector<std::string>& aZones);
  Address InstanceAddressAt(size_t aInstance) const;
  InstanceId FabricEndpoint(size_t aInstance) const;
  // aTable with its backend servers moved to this fleet's addresses.
  Table Localize(Table aTable) const;
};

class DaemonProcess
{
public:
  DaemonProcess(const LocalFleet& aFleet, size_t aInstance);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Signal(int aSignal) const;
  // True once the process has ended; its exit status is then known.
  bool HasEnded();
  int ExitStatus() const { return this->status; }
  // Value of a metric without labels; -1 where the page cannot be read.
  double Metric(const std::string& aName) const;

private:
  pid_t pid = -1;
  int status = -1;
  bool ended = false;
  std::string address;
  uint16_t metricsPort;
};

}
