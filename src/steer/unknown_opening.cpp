// Opening packets that a caller sent again, of flows without a record here.
//
// Another instance may have sent an earlier one to a server, as the fabric
// moves flows when instances come and go; a second server must not get this one
// (see retransmission.cpp). The instances that may have done so are asked
// first.
#include "steer/steer.h"

namespace gentianspindle::steer {

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
  if (!this->queries.CanAsk(aNow)) {
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
