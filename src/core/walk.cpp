// The walk of a packet along the ranks.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

namespace {

// Two instances that point at each other, and a walk over all ranks, end
// below this.
constexpr uint8_t kMaxHops = 24;

}

void
Engine::OnPacket(const Arrival& aArrival, Outbox& aOut)
{
  const Segment& packet = *aArrival.segment;
  PacketContext context{ aArrival,
                         aOut,
                         aArrival.walk,
                         this->LookupOrder(packet.flow),
                         packet.Opens() };
  if (aArrival.relayed && aArrival.version != this->version) {
    this->Realign(context);
  }
  if (context.walk.hops > kMaxHops) {
    this->Drop(context, Reason::HopLimit);
    return;
  }
  if (context.IsUdp() && !packet.icmpError) {
    // No packet tells a first datagram from a later one, so a cold owner
    // must look a flow up before it may admit it.
    context.opens =
      !context.walk.Has(kWalkAdopt) && !context.walk.Has(kWalkLookup);
  }
  FlowIndex flow = this->flows.Find(packet.flow);
  if (flow != kNoFlow && this->HandleKnownFlow(context, flow)) {
    this->ClaimForFreeSlots(aArrival.now, aOut);
    return;
  }
  if (!this->HandleDirectedPacket(context)) {
    this->ContinueWalk(context);
  }
  this->ClaimForFreeSlots(aArrival.now, aOut);
}

// The sender has another version of the table, so its steps do not count
// here. A lookup starts again, once; else the walk goes on from the same
// server.
void
Engine::Realign(PacketContext& aContext)
{
  Walk& walk = aContext.walk;
  bool directed = walk.Has(kWalkGranted) || walk.Has(kWalkAdopt) ||
                  walk.Has(kWalkPinned) || walk.Has(kWalkExhausted);
  if (!aContext.opens && !directed && !walk.Has(kWalkRealigned)) {
    this->Restart(aContext, kWalkRealigned);
    return;
  }
  auto position = std::find(aContext.order.begin(),
                            aContext.order.end(),
                            this->FindServer(walk.server));
  bool known = position != aContext.order.end();
  walk.step =
    static_cast<uint8_t>(known ? position - aContext.order.begin() : 0);
}

void
Engine::Restart(PacketContext& aContext, WalkFlag aCause)
{
  aContext.walk.flags &= static_cast<uint16_t>(~kWalkPinned);
  aContext.walk.flags |= aCause;
  aContext.walk.step = 0;
  aContext.walk.adopt = 0;
}

// Handles a packet whose flow stands in this table. False: walk on.
bool
Engine::HandleKnownFlow(PacketContext& aContext, FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  if (flow.state == FlowState::Passed) {
    return false;
  }
  ServerState& server = this->servers[flow.server];
  if (server.gone) {
    this->EraseFlow(aFlow);
    aContext.out.push_back(
      { .action = Action::Reset, .reason = Reason::ServerGone });
    this->Count(Reason::ServerGone);
    return true;
  }
  bool syn = aContext.Packet().Opens();
  if (this->IsOwnedHere(flow.server)) {
    if (syn && flow.state == FlowState::Closing) {
      this->EraseFlow(aFlow); // the caller uses its port again
      return false;
    }
    if (flow.state == FlowState::Elsewhere) {
      flow.adopted = true; // its server came to this instance
      this->SetState(aFlow, FlowState::Idle);
    }
    this->Forward(aContext, aFlow);
    return true;
  }
  if (aContext.walk.Has(kWalkPinFailed)) {
    this->EraseFlow(aFlow);
    return false;
  }
  if (server.owner == kNoInstance) {
    this->Drop(aContext, Reason::OwnerUnreachable);
    return true;
  }
  flow.lastSeen = aContext.Now();
  this->SetState(aFlow, FlowState::Elsewhere);
  auto position =
    std::find(aContext.order.begin(), aContext.order.end(), flow.server);
  aContext.walk.step = static_cast<uint8_t>(position - aContext.order.begin());
  aContext.walk.flags |= kWalkPinned;
  if (position == aContext.order.end()) {
    return false;
  }
  this->RelayTo(aContext, server.owner);
  return true;
}

// Handles a packet that a peer sent here for one purpose. False: walk on.
bool
Engine::HandleDirectedPacket(PacketContext& aContext)
{
  Walk& walk = aContext.walk;
  if (walk.Has(kWalkExhausted)) {
    this->OnNoFreeSlot(aContext);
    return true;
  }
  if (walk.step >= aContext.order.size()) {
    return false;
  }
  ServerIndex server = aContext.order[walk.step];
  if (!this->IsOwnedHere(server)) {
    return false;
  }
  if (walk.Has(kWalkGranted)) {
    auto claim = this->claims.find(aContext.Flow());
    bool claimValid =
      claim != this->claims.end() && claim->second.server == server;
    if (claimValid) {
      --this->servers[server].reserved;
      this->timing.OnAdmitted(aContext.Now() - claim->second.claimedAt);
      this->claims.erase(claim);
    }
    if (!claimValid &&
        !this->HasFreeSlot(this->servers[server], aContext.Now())) {
      ++this->counts.claimsLost;
      this->Drop(aContext, Reason::HeldDuplicate);
      return true;
    }
    this->ForwardNew(aContext, server);
    return true;
  }
  if (walk.Has(kWalkAdopt)) {
    this->Adopt(aContext, server);
    return true;
  }
  // The asker knows that the flow is here; a cold owner takes its word.
  bool acceptsPin = walk.Has(kWalkPinned) && !aContext.opens &&
                    this->MayServeUnknownFlow(aContext, server);
  if (acceptsPin) {
    this->Adopt(aContext, server);
    return true;
  }
  if (walk.Has(kWalkPinned)) {
    this->Restart(aContext, kWalkPinFailed);
  }
  return false;
}

// Walks along the ranks as far as this instance owns the servers, then hands
// the packet to the next owner.
void
Engine::ContinueWalk(PacketContext& aContext)
{
  Walk& walk = aContext.walk;
  if (aContext.opens && this->held.contains(aContext.Flow())) {
    this->Drop(aContext, Reason::HeldDuplicate);
    return;
  }
  for (; walk.step < aContext.order.size(); ++walk.step) {
    if (aContext.opens &&
        this->CountAskedServers(aContext) >= this->options.servers) {
      break;
    }
    ServerIndex server = aContext.order[walk.step];
    ServerState& state = this->servers[server];
    if (state.owner == kNoInstance) {
      walk.flags |= kWalkColdOwner;
      walk.adopt = walk.adopt == 0 ? state.row.address : walk.adopt;
      this->Count(Reason::SkippedUnreachable);
      continue;
    }
    if (state.owner != this->self) {
      this->RelayTo(aContext, state.owner);
      return;
    }
    if (walk.first == kNoInstance) {
      walk.first = this->self;
    }
    if (this->AskFormerOwner(aContext, state)) {
      return;
    }
    if (!aContext.opens) {
      this->RecordColdOwner(aContext, server);
      // With all exceptions known and no former ranking, an unknown flow of
      // this default server can only be here.
      bool mustBeHere = walk.step == 0 && walk.adopt == state.row.address &&
                        state.knowledge == Knowledge::Exceptions &&
                        this->former.empty();
      if (mustBeHere) {
        this->Adopt(aContext, server);
        return;
      }
      continue;
    }
    if (this->TryToAdmit(aContext, server)) {
      return;
    }
  }
  if (aContext.opens) {
    this->OnNoFreeSlot(aContext);
  } else {
    this->OnFlowNotFound(aContext);
  }
}

// Servers that take new flows among those asked so far.
uint32_t
Engine::CountAskedServers(const PacketContext& aContext) const
{
  uint32_t asked = 0;
  for (size_t i = 0; i < aContext.walk.step; ++i) {
    asked += this->servers[aContext.order[i]].TakesNew() ? 1 : 0;
  }
  return asked;
}

// The flow is not in this table: a warm owner says no, a cold one cannot.
void
Engine::RecordColdOwner(PacketContext& aContext, ServerIndex aServer)
{
  if (aContext.walk.adopt == 0 &&
      this->MayServeUnknownFlow(aContext, aServer)) {
    aContext.walk.adopt = this->servers[aServer].row.address;
  }
}

// Admits a new flow to aServer where it has a free slot. False: pass it on.
bool
Engine::TryToAdmit(PacketContext& aContext, ServerIndex aServer)
{
  ServerState& server = this->servers[aServer];
  if (this->MayHaveForwardedSyn(server, aContext.Now())) {
    aContext.walk.flags |= kWalkColdOwner;
    if (aContext.IsUdp()) {
      aContext.opens = false;
      aContext.walk.flags |= kWalkLookup;
      this->RecordColdOwner(aContext, aServer);
      return false;
    }
  }
  if (this->HasPassedOn(aContext)) {
    // The first copy of this SYN may have been admitted further on.
    aContext.walk.flags |= kWalkBusyServer;
    this->RecordPassOn(aContext, Reason::PassedOnAgain);
    return false;
  }
  bool usable = !this->options.useHealth ||
                server.IsUsable(aContext.Now(), this->trustReports);
  if (!server.TakesNew() || !usable) {
    this->RecordPassOn(aContext, Reason::Unavailable);
    return false;
  }
  if (!this->HasFreeSlot(server, aContext.Now())) {
    aContext.walk.flags |= kWalkBusyServer;
    this->RecordPassOn(aContext, Reason::PassedOnBusy);
    return false;
  }
  this->timing.OnAdmitted(0);
  this->ForwardNew(aContext, aServer);
  return true;
}

// Did this instance pass a copy of this packet on at this step?
bool
Engine::HasPassedOn(const PacketContext& aContext) const
{
  FlowIndex known = this->flows.Find(aContext.Flow());
  return known != kNoFlow &&
         (this->flows.At(known).passedSteps >> aContext.walk.step & 1U) != 0;
}

void
Engine::RecordPassOn(PacketContext& aContext, Reason aReason)
{
  this->Count(aReason);
  FlowIndex flow = this->flows.Find(aContext.Flow());
  if (flow == kNoFlow) {
    flow = this->PutFlow(aContext.Flow(),
                         aContext.order[aContext.walk.step],
                         FlowState::Passed,
                         aContext.Now());
  }
  this->flows.At(flow).passedSteps |=
    static_cast<uint16_t>(1U << std::min<uint8_t>(aContext.walk.step, 15));
}

// A new flow found no free slot on its whole walk.
void
Engine::OnNoFreeSlot(PacketContext& aContext)
{
  Walk& walk = aContext.walk;
  if (walk.first == kNoInstance) {
    bool noServers = aContext.order.empty();
    if (noServers) {
      this->Refuse(aContext, Reason::Unavailable);
    } else {
      this->Drop(aContext, Reason::OwnerUnreachable);
    }
    return;
  }
  if (walk.first != this->self) {
    walk.flags |= kWalkExhausted;
    this->RelayTo(aContext, walk.first);
    return;
  }
  bool shouldHold = this->options.busy == BusyPolicy::Hold &&
                    this->service.waitMs > 0 && walk.Has(kWalkBusyServer);
  if (this->options.busy == BusyPolicy::LeastLoaded) {
    this->AdmitToLeastLoaded(aContext);
  } else if (shouldHold) {
    this->Hold(aContext);
  } else if (walk.Has(kWalkColdOwner)) {
    this->Drop(aContext, Reason::ColdOwner);
  } else {
    this->Refuse(aContext,
                 walk.Has(kWalkBusyServer) ? Reason::Overloaded
                                           : Reason::Unavailable);
  }
}

// No owner knows the flow. Where one of them could not say no, the first such
// takes it; where that one cannot be reached, the flow may live there and
// must not go elsewhere.
void
Engine::OnFlowNotFound(PacketContext& aContext)
{
  Walk& walk = aContext.walk;
  ServerIndex server = this->FindServer(walk.adopt);
  auto position =
    std::find(aContext.order.begin(), aContext.order.end(), server);
  if (walk.adopt == 0 || position == aContext.order.end()) {
    this->Drop(aContext, Reason::UnknownFlow);
    return;
  }
  InstanceId owner = this->servers[server].owner;
  if (owner == kNoInstance) {
    this->Drop(aContext, Reason::OwnerUnreachable);
    return;
  }
  if (owner == this->self) {
    this->Adopt(aContext, server);
    return;
  }
  walk.step = static_cast<uint8_t>(position - aContext.order.begin());
  walk.flags |= kWalkAdopt;
  this->RelayTo(aContext, owner);
}

// Forwards to the server of a flow in this table and notes what the packet
// says of it.
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
  FlowState after = FlowState::Fresh;
  if (!aContext.IsUdp()) {
    after = Advance(flow, packet, aContext.Now());
  }
  flow.lastSeen = aContext.Now();
  bool answered = before == FlowState::Waiting && after == FlowState::Answering;
  Micros age = aContext.Now() - flow.requestAt;
  if (before != FlowState::Waiting && after == FlowState::Waiting) {
    flow.hadFreeSlot = server.Occupied() <= server.row.slots;
  }
  if (answered && flow.hadFreeSlot) {
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

void
Engine::ForwardNew(PacketContext& aContext, ServerIndex aServer)
{
  FlowIndex known = this->flows.Find(aContext.Flow());
  if (known != kNoFlow) {
    this->EraseFlow(known); // before room is made, it may be the oldest
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

// Packets of unknown flows cost a walk each, so random ones are bounded.
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
