// What becomes of a packet once its walk has decided: it is forwarded to a
// server, relayed to another instance, dropped or refused.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

// Forwards the packet to the flow's server and updates the flow, the server
// and the measured times from it.
void
Engine::Forward(PacketContext& aContext, FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  const Segment& packet = aContext.Packet();
  ServerState& server = this->servers[flow.server];
  aContext.out.push_back(
    { .action = Action::Forward, .server = server.row.address });
  if (packet.icmpError) {
    return;
  }
  if ((packet.flags & kTcpRst) != 0) {
    this->EraseFlow(aFlow);
    return;
  }
  if (packet.Opens()) {
    flow.lastSeen = aContext.Now();
    return;
  }
  FlowState before = flow.state;
  // Each datagram of a UDP flow makes it Fresh, so that it occupies a slot for
  // EngineOptions::handshake.
  FlowState after = FlowState::Fresh;
  if (!aContext.IsUdp()) {
    after = Advance(flow, packet, aContext.Now());
  }
  flow.lastSeen = aContext.Now();
  bool answered = before == FlowState::Waiting && after == FlowState::Answering;
  // Time since the SYN or the request; 0 if this packet starts a request.
  Micros age = aContext.Now() - flow.requestAt;
  if (before != FlowState::Waiting && after == FlowState::Waiting) {
    flow.slotsSufficed = server.Occupied() <= server.row.slots;
  }
  if (answered && flow.slotsSufficed) {
    this->timing.OnResponse(age);
  }
  if (before == FlowState::Connecting) {
    this->timing.OnHandshake(age);
  }
  Micros stragglerAge = this->timing.StragglerAge();
  if (after == FlowState::Answering && !flow.straggling && stragglerAge > 0 &&
      age > stragglerAge) {
    this->MarkStraggler(aFlow);
  }
  if (answered || before == FlowState::Connecting ||
      before == FlowState::HalfOpen) {
    server.OnProgress(aContext.Now());
  }
  this->SetState(aFlow, after);
}

// Admits a new flow to aServer and sends a note to the flow's replica, if it
// has one (see PickReplica).
void
Engine::ForwardNew(PacketContext& aContext, ServerIndex aServer)
{
  FlowIndex known = this->flows.Find(aContext.Flow());
  if (known != kNoFlow) {
    // PutFlow below would replace this entry. It is erased first, so that
    // LimitHalfOpen neither counts it nor evicts it.
    this->EraseFlow(known);
  }
  this->LimitHalfOpen();
  FlowState state = aContext.IsUdp() ? FlowState::Fresh : FlowState::Connecting;
  FlowIndex flow =
    this->PutFlow(aContext.Flow(), aServer, state, aContext.Now());
  this->flows.At(flow).sentEnd = aContext.Packet().sequence + 1;
  ServerState& server = this->servers[aServer];
  server.lastAdmission = aContext.Now();
  ++this->counts.admitted;
  aContext.out.push_back(
    { .action = Action::Forward, .server = server.row.address });
  InstanceId replica = this->PickReplica(aContext);
  if (replica != kNoInstance) {
    aContext.out.push_back(
      { .action = Action::SendNote,
        .peer = replica,
        .note = {
          NoteKind::Found, aContext.Flow(), server.row.address, this->self } });
  }
}

// Takes a token for one lookup; false if the rate limit is reached. Each packet
// of an unknown flow that doesn't open one starts a lookup, so without the
// limit a flood of packets with random addresses would load all owners. Unused
// tokens are kept up to those of one second.
bool
Engine::TakeWalkToken(Micros aNow)
{
  double rate = this->options.walksPerSecond;
  double gained = static_cast<double>(aNow - this->walkTokensAt) / kSecond;
  this->walkTokens = std::min(rate, this->walkTokens + gained * rate);
  this->walkTokensAt = aNow;
  if (this->walkTokens < 1) {
    return false;
  }
  this->walkTokens -= 1;
  return true;
}

// Relays the packet with its walk to aPeer. Drops it instead if it is an
// unpinned lookup past step 0 that was asked here first, and the limit of
// lookups is reached.
void
Engine::RelayTo(PacketContext& aContext, InstanceId aPeer)
{
  Walk& walk = aContext.walk;
  bool continuesLookup = walk.step > 0 && !walk.Has(kWalkPinned) &&
                         !aContext.opens && walk.first == this->self;
  if (continuesLookup && !this->TakeWalkToken(aContext.Now())) {
    this->Drop(aContext, Reason::WalkBudget);
    return;
  }
  if (walk.step < aContext.order.size()) {
    walk.server = this->servers[aContext.order[walk.step]].row.address;
  }
  ++walk.hops;
  aContext.out.push_back(
    { .action = Action::Relay, .peer = aPeer, .walk = walk });
}

void
Engine::Drop(PacketContext& aContext, Reason aReason)
{
  this->Count(aReason);
  aContext.out.push_back({ .action = Action::Drop, .reason = aReason });
}

// Refuses a new flow and erases its entry, which records passed-on steps.
void
Engine::Refuse(PacketContext& aContext, Reason aReason)
{
  this->Count(aReason);
  FlowIndex flow = this->flows.Find(aContext.Flow());
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  aContext.out.push_back({ .action = Action::Refuse, .reason = aReason });
}

}
