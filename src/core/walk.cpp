// Looks a packet's flow up at the owners in lookup order, or finds a server
// for a new flow in that order.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

namespace {

// Max. relays of a packet; stops loops between instances. A walk normally needs
// at most kRankDepth + 2: one for each ranked server, one back to the arbiter
// and one for the grant.
constexpr uint8_t kMaxHops = 24;
// Number of steps that Flow::passedSteps has a bit for.
constexpr uint8_t kRecordedSteps = 16;

// Returns the step's bit in Flow::passedSteps; 0 if it has none.
uint16_t
StepBit(uint8_t aStep)
{
  return aStep < kRecordedSteps ? static_cast<uint16_t>(1U << aStep) : 0;
}

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
    // The first datagram of a flow looks like any later one. So a cold owner
    // (see Knowledge) looks the flow up instead of admitting it; if no owner
    // knows the flow, it is adopted.
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

// Converts the walk of a sender that has other rows of the service, as its
// step is an index in another lookup order. A walk without an instruction (see
// HandleDirectedPacket) starts again, but only once and not for a SYN; a new
// UDP flow cannot be told from an established one yet. Any other walk continues
// at the same server, or at the first one if that server is not in the lookup
// order here.
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

// Starts the walk again at the first server.
void
Engine::Restart(PacketContext& aContext, WalkFlag aCause)
{
  aContext.walk.flags &= static_cast<uint16_t>(~kWalkPinned);
  aContext.walk.flags |= aCause;
  aContext.walk.step = 0;
  aContext.walk.adopt = 0;
}

// Handles a packet whose flow is in the flow table. False where the walk has
// to continue.
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
      this->EraseFlow(aFlow); // the caller reuses its port for a new flow
      return false;
    }
    if (flow.state == FlowState::Elsewhere) {
      flow.adopted = true; // this instance became the owner of its server
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
    // The step is past the end now, so the walk ends without asking a server.
    return false;
  }
  this->RelayTo(aContext, server.owner);
  return true;
}

// Handles a packet that a peer relayed with an instruction: a walk that passed
// all candidates, a grant, an adoption or a pinned flow. False where the walk
// has to continue.
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
  // The sender knows that the flow is at this server, so an owner that may not
  // know the flow adopts it.
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

// Continues the walk until the packet is handled here or relayed to another
// instance. Servers without a reachable owner are skipped, and copies of held
// packets are dropped.
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
        this->CountCandidatesBeforeStep(aContext) >= this->options.servers) {
      break;
    }
    ServerIndex server = aContext.order[walk.step];
    ServerState& state = this->servers[server];
    if (state.owner == kNoInstance) {
      walk.flags |= kWalkMayHaveFlow;
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
      this->RecordForAdoption(aContext, server);
      // This is the flow's default server, all flows that are not at their
      // default server are known, and there is no former ranking, so an
      // unknown flow can only be here.
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

// Number of candidates before the walk's step: servers that accept new flows,
// also those without a reachable owner, which are not asked.
uint32_t
Engine::CountCandidatesBeforeStep(const PacketContext& aContext) const
{
  uint32_t candidates = 0;
  for (size_t i = 0; i < aContext.walk.step; ++i) {
    candidates += this->servers[aContext.order[i]].TakesNew() ? 1 : 0;
  }
  return candidates;
}

// Records aServer for adoption if the flow may be there although it is not in
// this flow table, as this instance may not know all flows of aServer. Only the
// first such server is recorded.
void
Engine::RecordForAdoption(PacketContext& aContext, ServerIndex aServer)
{
  if (aContext.walk.adopt == 0 &&
      this->MayServeUnknownFlow(aContext, aServer)) {
    aContext.walk.adopt = this->servers[aServer].row.address;
  }
}

// Admits a new flow to aServer if the server accepts new flows, is usable and
// has a free slot, and no earlier copy of the packet was passed on at this
// step. False where the walk has to continue. If a former owner may have
// forwarded the flow's first datagram, a UDP datagram continues as a lookup.
bool
Engine::TryToAdmit(PacketContext& aContext, ServerIndex aServer)
{
  ServerState& server = this->servers[aServer];
  if (this->MayHaveForwardedSyn(server, aContext.Now())) {
    aContext.walk.flags |= kWalkMayHaveFlow;
    if (aContext.IsUdp()) {
      aContext.opens = false;
      aContext.walk.flags |= kWalkLookup;
      this->RecordForAdoption(aContext, aServer);
      return false;
    }
  }
  if (this->HasPassedOn(aContext)) {
    // The first copy of this packet may have been admitted at a later server.
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

// True where an opening packet of the flow was passed on at this step, here or
// at a former owner. Steps from kRecordedSteps on are not recorded.
bool
Engine::HasPassedOn(const PacketContext& aContext) const
{
  FlowIndex known = this->flows.Find(aContext.Flow());
  return known != kNoFlow &&
         (this->flows.At(known).passedSteps & StepBit(aContext.walk.step)) != 0;
}

// Counts aReason and records that the packet is passed on at this step; later
// copies of it are then passed on as well.
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
  this->flows.At(flow).passedSteps |= StepBit(aContext.walk.step);
}

// Handles a new flow that no candidate server admitted. Its arbiter applies the
// busy policy.
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
  } else if (walk.Has(kWalkMayHaveFlow)) {
    this->Drop(aContext, Reason::ColdOwner);
  } else {
    this->Refuse(aContext,
                 walk.Has(kWalkBusyServer) ? Reason::Overloaded
                                           : Reason::Unavailable);
  }
}

// Handles a packet whose flow no owner knows. The first owner on the walk that
// may not know all flows of its server adopts it. If a server whose owner is
// unreachable comes before, the packet is dropped, as the flow may be at that
// server and must not go to another.
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

}
