// Opening packets that a caller sent again, of flows with a record here.
//
// All opening packets of a flow go to one server. A second server would answer
// too, and repeat its answer; the caller returns the tag of the last answer
// that it received, whichever it took, and only that tag tells another
// instance, or this one after a pause of the flow, which server the flow is at.
// So a flow whose server does not answer gets no other one: its opening is
// refused, and the caller tries again on a new flow, which is placed elsewhere.
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

}
