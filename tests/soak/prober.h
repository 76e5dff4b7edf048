// Determines whether the newest configuration version is in force at each
// instance. Each version adds a route of its own and keeps those of the last
// few versions, and the prober sends opening packets for the newest route
// directly to the instances, past the fabric.
#pragma once

#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/port.h"

#include <map>
#include <nlohmann/json.hpp>

namespace gentianspindle::soak {

// Returns the configuration of a version: the routes of the callers, and those
// of this version and the last few before it.
nlohmann::json
MakeConfigSpec(int64_t aVersion,
               const std::vector<std::pair<Endpoint, std::string>>& aTargets);

// Probes all instances periodically and reports to the ledger.
class Prober
{
public:
  static absl::StatusOr<std::unique_ptr<Prober>>
  Make(Endpoint aSelf, std::vector<Endpoint> aInstances, Ledger& aLedger);

  // Handles the packets that have arrived, and probes for aNewestVersion when
  // this is due.
  void Step(int64_t aNewestVersion);

private:
  // An opening packet to the route of a version.
  struct Probe
  {
    size_t instance = 0;
    int64_t version = 0;
    Micros at = 0;
  };
  Prober(Endpoint aSelf,
         std::vector<Endpoint> aInstances,
         Ledger& aLedger,
         DatagramSocket aPort);
  void SendProbe(size_t aInstance, int64_t aVersion);
  void OnPacket(const Packet& aPacket);
  void Send(size_t aInstance, const Packet& aPacket);

  Endpoint self;
  std::vector<Endpoint> instances;
  Ledger& ledger;
  DatagramSocket port;
  std::map<uint16_t, Probe> probes; // by source port
  uint16_t nextPort = 1024;
  Micros nextProbeAt = 0;
};

}
