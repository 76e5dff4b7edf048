// Packets of open flows, and the records of flows.
#include "steer/steer.h"

namespace gentianspindle::steer {

const FlowRecord*
FlowSteering::FindFlow(const FlowId& aFlow) const
{
  auto record = this->flows.find(aFlow);
  return record == this->flows.end() ? nullptr : &record->second;
}

bool
FlowSteering::SameProcess(const FlowRecord& aRecord) const
{
  return this->view.At(aRecord.server).generation == aRecord.generation;
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
  if (this->AnswersWithReset(aPacket, index, aNow)) {
    this->Erase(aPacket.flow, Outcome::Reset);
    return { .action = Action::Reset,
             .reason = Reason::ServerSilent,
             .server = index };
  }
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
    this->health[aServer].load.OnOpen(false);
    this->idleTimers.push_back({ aPacket.flow, aNow + kQuietTime });
  }
  FlowRecord& record = known->second;
  record.lastPacketAt = aNow;
  ServerHealth& health = this->health[record.server];
  bool isCurrent = record.server == aServer && this->SameProcess(record);
  if (record.opening && isCurrent && !aPacket.rst) {
    record.opening = false;
    record.ackBase = aPacket.ack;
    record.handshake = aNow - record.lastSentAt;
    --health.opening;
    health.OnProgress(aNow);
    this->detector.OnProgress(aServer, aNow);
    this->sample = { .handshake = true, .duration = aNow - record.placedAt };
    this->times.OnHandshake(record.handshake);
  }
  ProgressEvent event = record.progress.OnCallerPacket(aPacket, aNow);
  if (isCurrent) {
    this->OnFlowProgress(event, record, aPacket, aNow);
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
      this->OnAnswer(*admission, record, aNow);
    }
    this->sample = { .response = true, .duration = aNow - record.requestAt };
  }
  if (isCurrent && !aPacket.rst) {
    this->TrackRequests(aPacket, record, aNow);
  }
  if (record.answered && aPacket.dataBytes > 0 && !aPacket.fin) {
    this->OnLongFlow(aServer, aNow);
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
    if (this->detector.HasPeerVerdict(aRecord.server, aNow)) {
      health.OnVerdict(aNow);
    }
    this->detector.OnEvidence(aRecord.server, Evidence::Opening, aNow);
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
    health.load.OnEnd(record.busy);
    if (aOutcome == Outcome::Closed) {
      this->ServiceLoadOf(record.server).OnClosed(record.requests.begun);
    }
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
  if (aRecord.room != nullptr) {
    aRecord.room->OnEnd();
  }
  aRecord.limit = nullptr;
  aRecord.room = nullptr;
}

}
