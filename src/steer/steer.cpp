#include "steer/steer.h"

#include "base/text.h"
#include "steer/opening.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// A server counts under the first exclusion that ExclusionOf finds. The one
// that ends soonest gives the reason.
Reason
ReasonWithoutServer(const ExclusionCounts& aExcluded)
{
  auto count = [&aExcluded](Exclusion aExclusion) {
    return aExcluded[static_cast<size_t>(aExclusion)];
  };
  if (count(Exclusion::WarmupQuota) > 0) {
    return Reason::WarmupQuota;
  }
  if (count(Exclusion::ZoneDrained) > 0) {
    return Reason::ZoneDrained;
  }
  return count(Exclusion::RegionNotAllowed) > 0 ? Reason::RegionNotAllowed
                                                : Reason::NoServer;
}

}

Decision
FlowSteering::Count(Decision aDecision)
{
  ++this->counts.reasons[static_cast<size_t>(aDecision.reason)];
  return aDecision;
}

Decision
FlowSteering::Count(Decision aDecision, const Route* aRoute)
{
  if (aRoute != nullptr) {
    this->routeCounts.Add(aRoute->entry.name, aDecision.reason);
  }
  return this->Count(aDecision);
}

// Clears the health of each server whose process is new at its index.
void
FlowSteering::SyncWithView()
{
  if (this->syncedProcessCount == this->view.ProcessCount()) {
    return;
  }
  this->syncedProcessCount = this->view.ProcessCount();
  this->health.resize(this->view.Size());
  this->generations.resize(this->view.Size());
  for (size_t i = 0; i < this->health.size(); ++i) {
    uint32_t generation = this->view.At(static_cast<ServerIndex>(i)).generation;
    if (this->generations[i] != generation) {
      this->generations[i] = generation;
      this->health[i] = {};
      this->detector.OnReplaced(static_cast<ServerIndex>(i));
    }
  }
}

Decision
FlowSteering::OnPacket(const Packet& aPacket, bool aConfigFresh, Micros aNow)
{
  this->sample = {};
  this->SyncWithView();
  if (!this->view.Ready()) {
    return this->Count({ .reason = Reason::NoView });
  }
  const Route* route = this->view.FindRoute(aPacket.flow.target);
  if (aPacket.syn) {
    return this->Count(this->OnOpening(aPacket, route, aConfigFresh, aNow),
                       route);
  }
  return this->Count(this->OnFlow(aPacket, route, aNow));
}

// Picks a service by weight. A flow gets the same one each time in this
// process, as long as the route's services and weights stay; another process
// may pick another one, as absl::HashOf can differ between processes. Returns
// an empty name if the route has no services, or only services of weight 0.
std::string_view
FlowSteering::PickService(const Route& aRoute, const FlowId& aFlow)
{
  const std::vector<WeightedService>& services = aRoute.entry.services;
  uint64_t totalWeight = 0;
  for (const WeightedService& one : services) {
    totalWeight += one.weight;
  }
  if (totalWeight == 0) {
    return {};
  }
  uint64_t index = absl::HashOf(aFlow) % totalWeight;
  for (const WeightedService& one : services) {
    if (index < one.weight) {
      return one.service;
    }
    index -= one.weight;
  }
  return {};
}

Decision
FlowSteering::OnOpening(const Packet& aPacket,
                        const Route* aRoute,
                        bool aConfigFresh,
                        Micros aNow)
{
  if (aPacket.queueTime >= UsableTime(aPacket)) {
    return { .reason = Reason::OutOfDate };
  }
  if (aRoute == nullptr) {
    bool removed = this->view.IsFormerRoute(aPacket.flow.target);
    // The route may have been added since the configuration was last confirmed.
    // Dropping the packet is safe then, as the caller repeats it.
    Action action = removed || aConfigFresh ? Action::Reset : Action::Drop;
    return { .action = action,
             .reason = removed ? Reason::RouteRemoved : Reason::UnknownRoute };
  }
  auto known = this->flows.find(aPacket.flow);
  if (known != this->flows.end()) {
    if (known->second.openingSeq == aPacket.seq) {
      return this->OnRetransmission(aPacket, known->second, *aRoute, aNow);
    }
    if (aPacket.retransmissions > 0) {
      // It may be a late one of the flow that is open.
      return { .action = Action::Reset, .reason = Reason::Unconfirmed };
    }
    this->Erase(aPacket.flow, Outcome::Expired);
  }
  if (std::optional<Decision> decision =
        this->OnUnknownOpening(aPacket, *aRoute, aNow)) {
    return *decision;
  }
  std::string_view service = PickService(*aRoute, aPacket.flow);
  return this->Admit(aPacket, *aRoute, service, aNow);
}

Decision
FlowSteering::Place(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    Micros aNow)
{
  Placement placement = this->placer.ChooseServer(
    this->view, this->health, this->RequestFor(aRoute, aService), aNow);
  this->counts.keptFromWarmup +=
    placement.excluded[static_cast<size_t>(Exclusion::WarmupQuota)];
  if (placement.server == kNoServer) {
    return { .action = Action::Reset,
             .reason = ReasonWithoutServer(placement.excluded),
             .placement = placement };
  }
  this->warmupQuota.OnOpening(this->view, placement.server, aNow);
  const Server& server = this->view.At(placement.server);
  if (server.entry.zone != this->options.placer.zone) {
    ++this->counts.crossings[aRoute.entry.name];
  }
  ServiceAdmission& admission = this->AdmissionOf(aService);
  admission.limit.OnStart();
  RouteRoom* room =
    admission.rooms.IsUsed() ? &admission.rooms.Of(aRoute.entry) : nullptr;
  if (room != nullptr) {
    room->OnStart();
  }
  admission.counted.push_back(
    { aPacket.flow,
      aNow + kCountedLatencyTargets * aRoute.entry.latencyTarget });
  this->AddOpening(aPacket,
                   { .server = placement.server,
                     .latencyTarget = aRoute.entry.latencyTarget,
                     .limit = &admission.limit,
                     .room = room },
                   aNow);
  return { .action = Action::Forward,
           .reason = Reason::Placed,
           .server = placement.server,
           .tag = server.tag,
           .placement = placement };
}

// Adds the record of a flow whose opening packet goes to its server now, and
// counts it there.
void
FlowSteering::AddOpening(const Packet& aPacket,
                         const FlowRecord& aRecord,
                         Micros aNow)
{
  ServerHealth& health = this->health[aRecord.server];
  ++health.open;
  ++health.opening;
  health.load.OnOpen(true);
  FlowRecord& record = this->flows[aPacket.flow];
  record = aRecord;
  record.generation = this->view.At(aRecord.server).generation;
  record.openingSeq = aPacket.seq;
  record.placedAt = aNow;
  record.sentAt = aNow;
  record.lastSentAt = aNow;
  record.lastPacketAt = aNow;
  record.busy = true;
  this->handshakeTimers.push_back({ aPacket.flow, aNow });
  this->idleTimers.push_back({ aPacket.flow, aNow + kQuietTime });
}

}
