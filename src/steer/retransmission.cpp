// Opening packets that a caller sent again.
//
// All opening packets of a flow go to one server. A second server would answer
// too, and repeat its answer; the caller returns the tag of the last answer
// that it received, whichever it took, and only that tag tells another
// instance, or this one after a pause of the flow, which server the flow is at.
// So a flow whose server does not answer gets no other one: its opening is
// refused, and the caller tries again on a new flow, which is placed elsewhere.
//
// A retransmission of a flow of which this instance has no record may have been
// sent to a server by another instance before, as the fabric moves flows when
// instances come and go. The instances that may have done so are asked first.
#include "steer/steer.h"

namespace gentianspindle::steer {

namespace {

// So many opening packets in a row that a server left unanswered, of one flow
// or of several, show that it is silent. A single one or its answer may be
// lost.
constexpr uint32_t kUnansweredOfSilent = 2;

}

// If the packet reached this instance before the server could answer the last
// one, it shows nothing; retransmissions that waited in the socket together
// were all sent before the first of them was forwarded. An answer to another
// flow shows that the server lives.
bool
FlowSteering::SeemsSilent(const Packet& aPacket,
                          FlowRecord& aRecord,
                          Micros aNow)
{
  const ServerHealth& health = this->health[aRecord.server];
  Micros arrivedAt = aNow - aPacket.queueTime;
  bool couldAnswer = arrivedAt - aRecord.lastSentAt >= kHandshakeTimeout;
  if (!couldAnswer || health.lastProgress > aRecord.sentAt) {
    return false;
  }
  ++aRecord.unanswered;
  this->SuspectServer(aRecord, aNow);
  return aRecord.unanswered >= kUnansweredOfSilent ||
         health.unanswered >= kUnansweredOfSilent ||
         this->detector.IsSilent(aRecord.server) ||
         this->detector.LeftProbeUnanswered(
           aRecord.server, kHandshakeTimeout, aNow) ||
         this->detector.HasPeerVerdict(aRecord.server, aNow);
}

// The caller had seen no answer when it sent this packet again.
Decision
FlowSteering::OnRetransmission(const Packet& aPacket,
                               FlowRecord& aRecord,
                               const Route& aRoute,
                               Micros aNow)
{
  if (!this->SameProcess(aRecord)) {
    return this->RefuseOpening(aPacket, Reason::ServerUnusable, aNow);
  }
  const Server& server = this->view.At(aRecord.server);
  bool mayOpen =
    server.AcceptsNewFlows() && this->view.AllowsRegion(aRoute.entry, server);
  if (aRecord.opening && !mayOpen) {
    return this->RefuseOpening(aPacket, Reason::ServerUnusable, aNow);
  }
  if (aRecord.opening && this->SeemsSilent(aPacket, aRecord, aNow)) {
    return this->RefuseOpening(aPacket, Reason::ServerSilent, aNow);
  }
  aRecord.lastSentAt = aNow;
  return { .action = Action::Forward,
           .reason = Reason::Repeated,
           .server = aRecord.server,
           .tag = server.tag };
}

// The first server may still answer: the flow stays closed here, so that later
// retransmissions reach no other one.
Decision
FlowSteering::RefuseOpening(const Packet& aPacket, Reason aReason, Micros aNow)
{
  this->Erase(aPacket.flow, Outcome::Unanswered);
  this->closedOpenings.Refuse(aPacket, aNow);
  return { .action = Action::Reset, .reason = aReason };
}

bool
FlowSteering::IsHeld(const Packet& aPacket, const Route& aRoute)
{
  std::string_view service = PickService(aRoute, aPacket.flow);
  ServiceAdmission& admission = this->AdmissionOf(service);
  return admission.holdQueue.Holds(aPacket.flow) ||
         admission.rooms.Holds(aPacket.flow);
}

// Decides on an opening packet of a flow without a record here. Returns nothing
// if no server can have got an earlier one.
std::optional<Decision>
FlowSteering::OnUnknownOpening(const Packet& aPacket,
                               const Route& aRoute,
                               Micros aNow)
{
  std::optional<ClosedBy> closed = this->closedOpenings.Find(aPacket, aNow);
  if (closed == ClosedBy::Refusal) {
    return Decision{ .action = Action::Reset, .reason = Reason::RefusedBefore };
  }
  if (closed == ClosedBy::Promise) {
    return Decision{ .action = Action::Drop, .reason = Reason::OutOfDate };
  }
  if (this->queries.IsPending(aPacket.flow)) {
    return Decision{ .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  if (aPacket.retransmissions == 0 || this->IsHeld(aPacket, aRoute)) {
    return std::nullopt;
  }
  if (!this->queries.KnowsAll(aNow)) {
    return Decision{ .action = Action::Reset, .reason = Reason::Unconfirmed };
  }
  if (!this->queries.HasPeers()) {
    return std::nullopt;
  }
  bool started = this->queries.Start(aPacket, aNow);
  return Decision{ .action = started ? Action::Hold : Action::Reset,
                   .reason = started ? Reason::Queried : Reason::Unconfirmed };
}

// To say that none was sent is a promise to send none: a packet that arrives
// late, or waits here, is dropped.
OpeningReply
FlowSteering::OnOpeningQuery(const OpeningQuery& aQuery, Micros aNow)
{
  OpeningReply reply{ .query = aQuery };
  auto known = this->flows.find(aQuery.flow);
  if (known != this->flows.end()) {
    const FlowRecord& record = known->second;
    bool isSame = record.openingSeq == aQuery.seq && this->SameProcess(record);
    if (isSame) {
      const ServerEntry& entry = this->view.At(record.server).entry;
      reply.state = OpeningState::Sent;
      reply.server = entry.id;
      reply.startedAt = entry.startedAt;
    }
    return reply;
  }
  Packet opening{ .flow = aQuery.flow,
                  .seq = aQuery.seq,
                  .retransmissions = aQuery.retransmissions };
  bool refused = this->closedOpenings.Find(opening, aNow) == ClosedBy::Refusal;
  bool knows = this->queries.KnowsOwn(aNow) && !refused &&
               !this->queries.IsPending(aQuery.flow);
  if (knows && this->closedOpenings.LeaveToPeer(
                 aQuery.flow, aQuery.seq, aQuery.retransmissions, aNow)) {
    reply.state = OpeningState::NotSent;
  }
  return reply;
}

void
FlowSteering::OnOpeningReply(Address aFrom,
                             const OpeningReply& aReply,
                             Micros aNow)
{
  if (auto resolved = this->queries.OnReply(aFrom, aReply)) {
    this->SyncWithView();
    this->resolvedOpenings.push_back(this->DecideOn(*resolved, aNow));
  }
}

ReleasedPacket
FlowSteering::DecideOn(const ResolvedOpening& aResolved, Micros aNow)
{
  Packet packet = aResolved.packet;
  packet.queueTime = aNow - aResolved.arrivedAt;
  const Route* route = this->view.FindRoute(packet.flow.target);
  Decision decision{ .action = Action::Reset, .reason = Reason::RouteRemoved };
  if (packet.queueTime >= UsableTime(packet)) {
    decision = { .action = Action::Drop, .reason = Reason::OutOfDate };
  } else if (this->flows.contains(packet.flow)) {
    // A packet of the open flow came meanwhile.
    decision = { .action = Action::Drop, .reason = Reason::HeldAgain };
  } else if (route != nullptr) {
    decision = this->DecideBy(aResolved.reply, packet, *route, aNow);
  }
  return { packet, this->Count(decision, route) };
}

Decision
FlowSteering::DecideBy(const OpeningReply& aReply,
                       const Packet& aPacket,
                       const Route& aRoute,
                       Micros aNow)
{
  if (aReply.state == OpeningState::Sent) {
    return this->AdoptOpening(aReply, aPacket, aRoute, aNow);
  }
  if (aReply.state == OpeningState::Unknown) {
    return { .action = Action::Reset, .reason = Reason::Unconfirmed };
  }
  this->closedOpenings.Reopen(aPacket.flow);
  return this->Admit(aPacket, aRoute, PickService(aRoute, aPacket.flow), aNow);
}

// Sends the packet to the server that got the flow's first one. That server's
// silence is the other instance's evidence.
Decision
FlowSteering::AdoptOpening(const OpeningReply& aReply,
                           const Packet& aPacket,
                           const Route& aRoute,
                           Micros aNow)
{
  ServerIndex index = this->view.FindTag(TagOf(aReply.server));
  bool mayOpen = false;
  if (index != kNoServer) {
    const Server& server = this->view.At(index);
    mayOpen = server.entry.id == aReply.server &&
              server.entry.startedAt == aReply.startedAt &&
              aRoute.AllowsService(server.entry.service) &&
              server.AcceptsNewFlows() &&
              this->view.AllowsRegion(aRoute.entry, server);
  }
  if (!mayOpen) {
    return this->RefuseOpening(aPacket, Reason::ServerUnusable, aNow);
  }
  this->AddOpening(aPacket,
                   { .server = index,
                     .suspected = true,
                     .latencyTarget = aRoute.entry.latencyTarget },
                   aNow);
  return { .action = Action::Forward,
           .reason = Reason::Repeated,
           .server = index,
           .tag = this->view.At(index).tag };
}

}
