#include "soak/prober.h"

#include "tagged/loop.h"

namespace gentianspindle::soak {

namespace {

constexpr Micros kProbePeriod = 400 * kMillisecond;
// Number of earlier versions whose routes a configuration keeps.
constexpr int64_t kKeptVersions = 8;
// 198.18.0.9; the route of a version has this port plus the version.
constexpr Endpoint kProbeRoutes{ 0xC6120009, 10000 };
// Beyond this number of probes without a response, all of them are dropped.
constexpr size_t kMaxPendingProbes = 20000;

// Returns the address of the route that aVersion adds.
Endpoint
RouteOf(int64_t aVersion)
{
  return { kProbeRoutes.address,
           static_cast<uint16_t>(kProbeRoutes.port + aVersion) };
}

nlohmann::json
MakeRoute(Endpoint aTarget, const std::string& aService)
{
  return { { "name", FormatEndpoint(aTarget) },
           { "host", FormatAddress(aTarget.address) },
           { "path_prefix", "/" + std::to_string(aTarget.port) + "/" },
           { "type", aTarget.port == 444 ? "non_idempotent" : "idempotent" },
           { "slo_ms", 300 },
           { "priority", 1 },
           { "service", aService } };
}

}

nlohmann::json
MakeConfigSpec(int64_t aVersion,
               const std::vector<std::pair<Endpoint, std::string>>& aTargets)
{
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& [target, service] : aTargets) {
    routes.push_back(MakeRoute(target, service));
  }
  for (int64_t version = std::max<int64_t>(1, aVersion - kKeptVersions);
       version <= aVersion;
       ++version) {
    routes.push_back(MakeRoute(RouteOf(version), "probe"));
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services", nlohmann::json::array() },
           { "limits", { { "idle_timeout_ms", 15000 } } } };
}

Prober::Prober(Endpoint aSelf,
               std::vector<Endpoint> aInstances,
               Ledger& aLedger,
               DatagramSocket aPort)
  : self(aSelf)
  , instances(std::move(aInstances))
  , ledger(aLedger)
  , port(std::move(aPort))
{
}

absl::StatusOr<std::unique_ptr<Prober>>
Prober::Make(Endpoint aSelf, std::vector<Endpoint> aInstances, Ledger& aLedger)
{
  absl::StatusOr<DatagramSocket> port = DatagramSocket::Bind(aSelf);
  if (!port.ok()) {
    return port.status();
  }
  return std::unique_ptr<Prober>(
    new Prober(aSelf, std::move(aInstances), aLedger, *std::move(port)));
}

void
Prober::Step(int64_t aNewestVersion)
{
  this->port.Receive([this](std::span<uint8_t> aBytes, Endpoint /*aFrom*/) {
    if (std::optional<Packet> packet = Decode(aBytes)) {
      this->OnPacket(*packet);
    }
  });
  Micros now = tagged::SteadyNow();
  if (now < this->nextProbeAt) {
    return;
  }
  this->nextProbeAt = now + kProbePeriod;
  for (size_t i = 0; i < this->instances.size(); ++i) {
    this->SendProbe(i, aNewestVersion);
  }
}

void
Prober::SendProbe(size_t aInstance, int64_t aVersion)
{
  this->nextPort = std::max<uint16_t>(1024, this->nextPort + 1);
  if (this->probes.size() > kMaxPendingProbes) {
    this->probes.clear();
  }
  this->probes[this->nextPort] = { aInstance, aVersion, tagged::SteadyNow() };
  Packet packet{ .seq = this->nextPort, .syn = true };
  packet.from = { this->self.address, this->nextPort };
  packet.to = RouteOf(aVersion);
  this->Send(aInstance, packet);
}

// A SYN-ACK of the route's server shows that the version is in force. A reset
// by the instance is taken to mean that it isn't, and that the one before it
// may be. An instance that knows no server for the probe service resets too, so
// no step of the plan affects the probe server.
void
Prober::OnPacket(const Packet& aPacket)
{
  auto known = this->probes.find(aPacket.to.port);
  if (known == this->probes.end()) {
    return;
  }
  Probe probe = known->second;
  bool inForce = aPacket.syn && aPacket.acks;
  if (!inForce && !IsBalancerReset(aPacket)) {
    return;
  }
  this->probes.erase(known);
  this->ledger.OnInForce(
    probe.instance, inForce ? probe.version : probe.version - 1, probe.at);
  if (inForce) {
    // Ends the flow at the instance and the server.
    Packet end{ .seq = aPacket.ack,
                .ack = aPacket.seq + 1,
                .acks = true,
                .rst = true,
                .from = aPacket.to,
                .to = aPacket.from,
                .echo = aPacket.echo };
    this->Send(probe.instance, end);
  }
}

void
Prober::Send(size_t aInstance, const Packet& aPacket)
{
  this->port.Send(Encode(aPacket), this->instances[aInstance]);
}

}
