#include "steer/steer.h"

#include "base/text.h"
#include "steer/opening.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace gentianspindle::steer {

const FlowRecord*
FlowSteering::FindFlow(const FlowId& aFlow) const
{
  auto record = this->flows.find(aFlow);
  return record == this->flows.end() ? nullptr : &record->second;
}

Decision
FlowSteering::Count(Decision aDecision)
{
  ++this->counts.reasons[static_cast<size_t>(aDecision.reason)];
  return aDecision;
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
    }
  }
}

bool
FlowSteering::SameProcess(const FlowRecord& aRecord) const
{
  return this->view.At(aRecord.server).generation == aRecord.generation;
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
    return this->Count(this->OnOpening(aPacket, route, aConfigFresh, aNow));
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
    bool retransmission = known->second.openingSeq == aPacket.seq &&
                          this->SameProcess(known->second);
    if (retransmission) {
      return this->OnRetransmission(aPacket, known->second, *aRoute, aNow);
    }
    this->Erase(aPacket.flow, Outcome::Expired);
  }
  std::string_view service = PickService(*aRoute, aPacket.flow);
  return this->Admit(aPacket, *aRoute, service, aNow);
}

FlowSteering::ServiceAdmission&
FlowSteering::AdmissionOf(std::string_view aService)
{
  return this->admissions.try_emplace(ToAbsl(aService)).first->second;
}

FlowSteering::ServiceAdmission*
FlowSteering::AdmissionOf(ServerIndex aServer)
{
  auto admission = this->admissions.find(this->view.At(aServer).entry.service);
  return admission == this->admissions.end() ? nullptr : &admission->second;
}

const ConcurrencyLimit*
FlowSteering::LimitOf(std::string_view aService) const
{
  auto admission = this->admissions.find(ToAbsl(aService));
  return admission == this->admissions.end() ? nullptr
                                             : &admission->second.limit;
}

Decision
FlowSteering::Admit(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    Micros aNow)
{
  ServiceAdmission& admission = this->AdmissionOf(aService);
  Micros arrivedAt = aNow - aPacket.queueTime;
  if (admission.holdQueue.Size() > 0 &&
      admission.holdQueue.OnCopy(aPacket, arrivedAt)) {
    return { .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  if (!this->options.hold || admission.limit.Admits()) {
    return this->Place(aPacket, aRoute, aService, kNoServer, aNow);
  }
  bool fits =
    admission.holdQueue.Put({ .packet = aPacket,
                              .priority = aRoute.entry.priority,
                              .latencyTarget = aRoute.entry.latencyTarget,
                              .heldAt = aNow,
                              .arrivedAt = arrivedAt });
  if (!fits) {
    return { .action = Action::Reset, .reason = Reason::HoldFull };
  }
  ++this->heldCount;
  return { .action = Action::Hold,
           .reason = Reason::Held,
           .openFlows = admission.limit.Open(),
           .flowLimit = admission.limit.Limit() };
}

std::optional<ReleasedPacket>
FlowSteering::Release(Micros aNow)
{
  if (this->heldCount == 0) {
    return std::nullopt;
  }
  for (auto& [service, admission] : this->admissions) {
    std::optional<ReleasedPacket> released =
      this->ReleaseFrom(service, admission, aNow);
    if (released) {
      --this->heldCount;
      return released;
    }
  }
  return std::nullopt;
}

std::optional<ReleasedPacket>
FlowSteering::ReleaseFrom(const std::string& aService,
                          ServiceAdmission& aAdmission,
                          Micros aNow)
{
  Decision decision{ .action = Action::Reset, .reason = Reason::HeldTooLong };
  std::optional<HeldOpening> held = aAdmission.holdQueue.TakeExpired(aNow);
  if (held && !held->IsUsable(aNow)) {
    // The flow may be open through another instance, so it is not reset.
    decision = { .action = Action::Drop, .reason = Reason::OutOfDate };
  }
  if (!held) {
    if (!aAdmission.limit.Admits()) {
      return std::nullopt;
    }
    held = aAdmission.holdQueue.Take(aNow);
    if (!held) {
      return std::nullopt;
    }
    const Route* route = this->view.FindRoute(held->packet.flow.target);
    decision.reason = Reason::RouteRemoved;
    if (this->flows.contains(held->packet.flow)) {
      // Placed meanwhile: by another instance, or with another service here.
      decision = { .action = Action::Drop, .reason = Reason::HeldAgain };
    } else if (route != nullptr) {
      decision = this->Place(held->packet, *route, aService, kNoServer, aNow);
    }
  }
  decision.waited = aNow - held->heldAt;
  decision.openFlows = aAdmission.limit.Open();
  decision.flowLimit = aAdmission.limit.Limit();
  return ReleasedPacket{ held->packet, this->Count(decision) };
}

// The caller had seen no answer when it sent this copy. A flow whose handshake
// was answered stays at its server. If the server answered other flows since,
// it is alive: the packet or its answer was lost, and a second server would
// answer a second time. If the copy reached this instance before the server
// could answer, it shows nothing; copies that waited in the socket together
// were all sent before the first of them was forwarded. Else, or if the server
// takes no new flows, the flow gets another server.
Decision
FlowSteering::OnRetransmission(const Packet& aPacket,
                               FlowRecord& aRecord,
                               const Route& aRoute,
                               Micros aNow)
{
  const Server& server = this->view.At(aRecord.server);
  const ServerHealth& health = this->health[aRecord.server];
  Micros arrivedAt = aNow - aPacket.queueTime;
  bool couldAnswer = arrivedAt - aRecord.sentAt >= kHandshakeTimeout;
  bool alive = !aRecord.opening || health.lastProgress > aRecord.sentAt;
  bool stays = alive || !couldAnswer;
  if (stays && (server.AcceptsNewFlows() || !aRecord.opening)) {
    return { .action = Action::Forward,
             .reason = Reason::Repeated,
             .server = aRecord.server,
             .tag = server.tag };
  }
  if (couldAnswer) {
    this->SuspectServer(aRecord, aNow);
  }
  ServerIndex excluded = aRecord.server;
  this->Erase(aPacket.flow, Outcome::Unanswered);
  std::string_view service = PickService(aRoute, aPacket.flow);
  Decision decision = this->Place(aPacket, aRoute, service, excluded, aNow);
  if (decision.action == Action::Forward) {
    decision.reason = Reason::PlacedAgain;
  }
  return decision;
}

Decision
FlowSteering::Place(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    ServerIndex aExcluded,
                    Micros aNow)
{
  Placement placement = this->placer.ChooseServer(
    this->view, this->health, aService, aExcluded, aNow);
  if (placement.server == kNoServer) {
    return { .action = Action::Reset,
             .reason = Reason::NoServer,
             .placement = placement };
  }
  const Server& server = this->view.At(placement.server);
  ServerHealth& health = this->health[placement.server];
  ++health.open;
  ++health.opening;
  ServiceAdmission& admission = this->AdmissionOf(aService);
  admission.limit.OnStart();
  admission.counted.push_back(
    { aPacket.flow,
      aNow + kCountedLatencyTargets * aRoute.entry.latencyTarget });
  this->flows[aPacket.flow] = { .server = placement.server,
                                .generation = server.generation,
                                .openingSeq = aPacket.seq,
                                .placedAt = aNow,
                                .sentAt = aNow,
                                .lastPacketAt = aNow,
                                .latencyTarget = aRoute.entry.latencyTarget,
                                .limit = &admission.limit };
  this->handshakeTimers.push_back({ aPacket.flow, aNow });
  this->idleTimers.push_back({ aPacket.flow, aNow + kQuietTime });
  return { .action = Action::Forward,
           .reason = Reason::Placed,
           .server = placement.server,
           .tag = server.tag,
           .placement = placement };
}

Decision
FlowSteering::OnFlow(const Packet& aPacket, const Route* aRoute, Micros aNow)
{
  if (aRoute == nullptr) {
    bool removed = this->view.IsFormerRoute(aPacket.flow.target);
    return { .action = removed && !aPacket.rst ? Action::Reset : Action::Drop,
             .reason = removed ? Reason::RouteRemoved : Reason::UnknownRoute };
  }
  ServerIndex index = this->view.FindTag(aPacket.tag);
  if (aPacket.tag == kNoTag) {
    const FlowRecord* record = this->FindFlow(aPacket.flow);
    if (record == nullptr) {
      return { .reason = Reason::NoTag };
    }
    index = record->server;
  }
  if (index == kNoServer) {
    return { .reason = Reason::UnknownTag };
  }
  const Server& server = this->view.At(index);
  if (!aRoute->AllowsService(server.entry.service)) {
    return { .reason = Reason::TagNotAllowed };
  }
  if (server.registryState == RegistryState::Gone) {
    this->Erase(aPacket.flow, Outcome::Reset);
    return { .action = aPacket.rst ? Action::Drop : Action::Reset,
             .reason = Reason::ServerGone };
  }
  Decision decision{ .action = Action::Forward,
                     .reason = Reason::Known,
                     .server = index,
                     .tag = server.tag };
  this->TrackProgress(aPacket, index, decision, aNow);
  return decision;
}

// Infers from the caller's acknowledgements, data and flags how far the flow
// got, and updates its record and the server's health.
void
FlowSteering::TrackProgress(const Packet& aPacket,
                            ServerIndex aServer,
                            Decision& aDecision,
                            Micros aNow)
{
  auto known = this->flows.find(aPacket.flow);
  if (known == this->flows.end()) {
    bool carriesRequest = aPacket.dataBytes > 0 && !aPacket.fin;
    if (!carriesRequest || aPacket.rst) {
      return;
    }
    // Another instance handled the flow so far.
    FlowRecord newRecord{ .server = aServer,
                          .generation = this->view.At(aServer).generation,
                          .openingSeq = aPacket.seq - 1,
                          .ackBase = aPacket.ack,
                          .placedAt = aNow,
                          .opening = false };
    known = this->flows.emplace(aPacket.flow, newRecord).first;
    ++this->health[aServer].open;
    this->idleTimers.push_back({ aPacket.flow, aNow + kQuietTime });
  }
  FlowRecord& record = known->second;
  record.lastPacketAt = aNow;
  ServerHealth& health = this->health[record.server];
  bool isCurrent = record.server == aServer && this->SameProcess(record);
  if (record.opening && isCurrent && !aPacket.rst) {
    record.opening = false;
    record.ackBase = aPacket.ack;
    --health.opening;
    health.OnProgress(aNow);
    this->sample = { .handshake = true, .duration = aNow - record.placedAt };
  }
  if (aPacket.dataBytes > 0 && record.requestAt == 0) {
    record.requestAt = aNow;
    aDecision.firstRequest = true;
  }
  bool acked = aPacket.ack != record.ackBase;
  if (acked && !record.answered && record.requestAt != 0 && isCurrent) {
    record.answered = true;
    health.OnProgress(aNow);
    health.OnResponse(aNow - record.requestAt);
    if (ServiceAdmission* admission = this->AdmissionOf(aServer)) {
      admission->limit.OnResponse(
        aNow - record.requestAt, record.latencyTarget, aNow);
    }
    this->sample = { .response = true, .duration = aNow - record.requestAt };
  }
  if (aPacket.fin || aPacket.rst) {
    this->Erase(aPacket.flow, aPacket.rst ? Outcome::Reset : Outcome::Closed);
  }
}

// Counts the flow's unanswered opening packet against its server, once a flow,
// unless the server answered another flow since.
void
FlowSteering::SuspectServer(FlowRecord& aRecord, Micros aNow)
{
  if (aRecord.suspected || !this->SameProcess(aRecord)) {
    return;
  }
  aRecord.suspected = true;
  ServerHealth& health = this->health[aRecord.server];
  if (health.lastProgress <= aRecord.sentAt) {
    health.OnUnanswered(aNow);
    ++this->counts.suspected;
  }
}

void
FlowSteering::Erase(const FlowId& aFlow, Outcome aOutcome)
{
  auto known = this->flows.find(aFlow);
  if (known == this->flows.end()) {
    return;
  }
  FlowRecord& record = known->second;
  ReleaseFromLimit(record);
  if (this->SameProcess(record)) {
    ServerHealth& health = this->health[record.server];
    --health.open;
    health.opening -= record.opening ? 1 : 0;
  }
  ++this->counts.outcomes[static_cast<size_t>(aOutcome)];
  this->flows.erase(known);
}

// Stops counting the flow against its service's limit. That is not found by the
// server, whose entry may have changed its service meanwhile.
void
FlowSteering::ReleaseFromLimit(FlowRecord& aRecord)
{
  if (aRecord.limit != nullptr) {
    aRecord.limit->OnEnd();
  }
  aRecord.limit = nullptr;
}

}
