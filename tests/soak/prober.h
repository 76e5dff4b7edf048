// Asks each instance directly, with opening packets, which configuration it
// acts by. Every version has a route of its own; the last few stay.
#pragma once

#include "soak/ledger.h"
#include "soak/packet.h"
#include "soak/port.h"

#include <map>
#include <nlohmann/json.hpp>

namespace gentianspindle::soak {

// The routes that a version has: those of the callers, and of itself.
nlohmann::json
MakeConfigSpec(int64_t aVersion,
               const std::vector<std::pair<Endpoint, std::string>>& aTargets);

class Prober
{
public:
  static absl::StatusOr<std::unique_ptr<Prober>>
  Make(Endpoint aSelf, std::vector<Endpoint> aInstances, Ledger& aLedger);

  void Step(int64_t aNewestVersion);

private:
  struct Probe
  {
    size_t instance = 0;
    int64_t version = 0;
    Micros at = 0;
  };
  Prober(Endpoint aSelf,
         std::vector<Endpoint> aInstances,
         Ledger& aLedger,
         Port aPort);
  void SendProbe(size_t aInstance, int64_t aVersion);
  void OnPacket(const Packet& aPacket);
  void Send(size_t aInstance, const Packet& aPacket);

  Endpoint self;
  std::vector<Endpoint> instances;
  Ledger& ledger;
  Port port;
  std::map<uint16_t, Probe> probes; // by port
  uint16_t nextPort = 1024;
  Micros nextProbeAt = 0;
};

}
