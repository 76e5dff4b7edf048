// The walk of a packet along the ranks.
#include "core/visit.h"

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
  Visit visit{ aArrival,
               aOut,
               aArrival.walk,
               this->LookupOrder(packet.flow),
               packet.Opens() };
  if (aArrival.relayed && aArrival.version != this->version) {
    this->Realign(visit);
  }
  if (visit.walk.hops > kMaxHops) {
    this->Drop(visit, Reason::HopLimit);
    return;
  }
  if (visit.IsUdp() && !packet.icmpError) {
    // No packet tells a first datagram from a later one, so a cold owner
    // must look a flow up before it may admit it.
    visit.opens = !visit.walk.Has(kWalkAdopt) && !visit.walk.Has(kWalkLookup);
  }
  FlowIndex flow = this->flows.Find(packet.flow);
  if (flow != kNoFlow && this->TakeKnown(visit, flow)) {
    this->OfferFreeSlots(aArrival.now, aOut);
    return;
  }
  if (!this->TakeDirected(visit)) {
    this->Step(visit);
  }
  this->OfferFreeSlots(aArrival.now, aOut);
}

// The sender has another version of the table, so its steps do not count
// here. A lookup starts again, once; else the walk goes on from the same
// server.
void
Engine::Realign(Visit& aVisit)
{
  Walk& walk = aVisit.walk;
  bool directed = walk.Has(kWalkGranted) || walk.Has(kWalkAdopt) ||
                  walk.Has(kWalkPinned) || walk.Has(kWalkExhausted);
  if (!aVisit.opens && !directed && !walk.Has(kWalkRealigned)) {
    this->Restart(aVisit, kWalkRealigned);
    return;
  }
  auto place = std::find(
    aVisit.order.begin(), aVisit.order.end(), this->FindServer(walk.server));
  bool known = place != aVisit.order.end();
  walk.step = static_cast<uint8_t>(known ? place - aVisit.order.begin() : 0);
}

void
Engine::Restart(Visit& aVisit, WalkFlag aWhy)
{
  aVisit.walk.flags &= static_cast<uint16_t>(~kWalkPinned);
  aVisit.walk.flags |= aWhy;
  aVisit.walk.step = 0;
  aVisit.walk.adopt = 0;
}

// Handles a packet whose flow stands in this table. False: walk on.
bool
Engine::TakeKnown(Visit& aVisit, FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  if (flow.state == FlowState::Passed) {
    return false;
  }
  ServerState& server = this->servers[flow.server];
  if (server.gone) {
    this->EraseFlow(aFlow);
    aVisit.out.push_back(
      { .action = Action::Reset, .reason = Reason::ServerGone });
    this->Count(Reason::ServerGone);
    return true;
  }
  bool syn = aVisit.Packet().Opens();
  if (this->IsMine(flow.server)) {
    if (syn && flow.state == FlowState::Closing) {
      this->EraseFlow(aFlow); // the caller uses its port again
      return false;
    }
    if (flow.state == FlowState::Elsewhere) {
      flow.adopted = true; // its server came to this instance
      this->SetState(aFlow, FlowState::Idle);
    }
    this->Forward(aVisit, aFlow);
    return true;
  }
  if (aVisit.walk.Has(kWalkMissed)) {
    this->EraseFlow(aFlow);
    return false;
  }
  if (server.owner == kNoInstance) {
    this->Drop(aVisit, Reason::OwnerUnreachable);
    return true;
  }
  flow.lastSeen = aVisit.Now();
  this->SetState(aFlow, FlowState::Elsewhere);
  auto place = std::find(aVisit.order.begin(), aVisit.order.end(), flow.server);
  aVisit.walk.step = static_cast<uint8_t>(place - aVisit.order.begin());
  aVisit.walk.flags |= kWalkPinned;
  if (place == aVisit.order.end()) {
    return false;
  }
  this->RelayTo(aVisit, server.owner);
  return true;
}

// Handles a packet that a peer sent here for one purpose. False: walk on.
bool
Engine::TakeDirected(Visit& aVisit)
{
  Walk& walk = aVisit.walk;
  if (walk.Has(kWalkExhausted)) {
    this->EndOfOffers(aVisit);
    return true;
  }
  if (walk.step >= aVisit.order.size()) {
    return false;
  }
  ServerIndex server = aVisit.order[walk.step];
  if (!this->IsMine(server)) {
    return false;
  }
  if (walk.Has(kWalkGranted)) {
    auto claim = this->claims.find(aVisit.Flow());
    bool kept = claim != this->claims.end() && claim->second.server == server;
    if (kept) {
      --this->servers[server].reserved;
      this->timing.OnAdmitted(aVisit.Now() - claim->second.claimedAt);
      this->claims.erase(claim);
    }
    if (!kept && !this->HasFreeSlot(this->servers[server], aVisit.Now())) {
      ++this->counts.claimsLost;
      this->Drop(aVisit, Reason::HeldDuplicate);
      return true;
    }
    this->ForwardNew(aVisit, server);
    return true;
  }
  if (walk.Has(kWalkAdopt)) {
    this->Adopt(aVisit, server);
    return true;
  }
  // The asker knows that the flow is here; a cold owner takes its word.
  bool trusts =
    walk.Has(kWalkPinned) && !aVisit.opens && this->MayKnowLess(aVisit, server);
  if (trusts) {
    this->Adopt(aVisit, server);
    return true;
  }
  if (walk.Has(kWalkPinned)) {
    this->Restart(aVisit, kWalkMissed);
  }
  return false;
}

// Walks along the ranks as far as this instance owns the servers, then hands
// the packet to the next owner.
void
Engine::Step(Visit& aVisit)
{
  Walk& walk = aVisit.walk;
  if (aVisit.opens && this->held.contains(aVisit.Flow())) {
    this->Drop(aVisit, Reason::HeldDuplicate);
    return;
  }
  for (; walk.step < aVisit.order.size(); ++walk.step) {
    if (aVisit.opens && this->Asked(aVisit) >= this->options.servers) {
      break;
    }
    ServerIndex server = aVisit.order[walk.step];
    ServerState& state = this->servers[server];
    if (state.owner == kNoInstance) {
      walk.flags |= kWalkSawCold;
      walk.adopt = walk.adopt == 0 ? state.row.address : walk.adopt;
      this->Count(Reason::SkippedUnreachable);
      continue;
    }
    if (state.owner != this->self) {
      this->RelayTo(aVisit, state.owner);
      return;
    }
    if (walk.first == kNoInstance) {
      walk.first = this->self;
    }
    if (this->AskFormerOwner(aVisit, state)) {
      return;
    }
    if (!aVisit.opens) {
      this->AskForKnown(aVisit, server);
      // With all exceptions known and no former ranking, an unknown flow of
      // this default server can only be here.
      bool here = walk.step == 0 && walk.adopt == state.row.address &&
                  state.knowledge == Knowledge::Exceptions &&
                  this->former.empty();
      if (here) {
        this->Adopt(aVisit, server);
        return;
      }
      continue;
    }
    if (this->AskToAdmit(aVisit, server)) {
      return;
    }
  }
  if (aVisit.opens) {
    this->EndOfOffers(aVisit);
  } else {
    this->EndOfLookup(aVisit);
  }
}

// Servers that take new flows among those asked so far.
uint32_t
Engine::Asked(const Visit& aVisit) const
{
  uint32_t asked = 0;
  for (size_t i = 0; i < aVisit.walk.step; ++i) {
    asked += this->servers[aVisit.order[i]].TakesNew() ? 1 : 0;
  }
  return asked;
}

// The flow is not in this table: a warm owner says no, a cold one cannot.
void
Engine::AskForKnown(Visit& aVisit, ServerIndex aServer)
{
  if (aVisit.walk.adopt == 0 && this->MayKnowLess(aVisit, aServer)) {
    aVisit.walk.adopt = this->servers[aServer].row.address;
  }
}

// Admits a new flow to aServer where it has a free slot. False: pass it on.
bool
Engine::AskToAdmit(Visit& aVisit, ServerIndex aServer)
{
  ServerState& server = this->servers[aServer];
  if (this->MayHaveForwardedSyn(server, aVisit.Now())) {
    aVisit.walk.flags |= kWalkSawCold;
    if (aVisit.IsUdp()) {
      aVisit.opens = false;
      aVisit.walk.flags |= kWalkLookup;
      this->AskForKnown(aVisit, aServer);
      return false;
    }
  }
  if (this->HasPassed(aVisit)) {
    // The first copy of this SYN may have been admitted further on.
    aVisit.walk.flags |= kWalkSawBusy;
    this->PassOn(aVisit, Reason::PassedOnAgain);
    return false;
  }
  bool works = !this->options.useEvidence ||
               server.Works(aVisit.Now(), this->trustReports);
  if (!server.TakesNew() || !works) {
    this->PassOn(aVisit, Reason::Unavailable);
    return false;
  }
  if (!this->HasFreeSlot(server, aVisit.Now())) {
    aVisit.walk.flags |= kWalkSawBusy;
    this->PassOn(aVisit, Reason::PassedOnBusy);
    return false;
  }
  this->timing.OnAdmitted(0);
  this->ForwardNew(aVisit, aServer);
  return true;
}

// Did this instance pass a copy of this packet on at this step?
bool
Engine::HasPassed(const Visit& aVisit) const
{
  FlowIndex known = this->flows.Find(aVisit.Flow());
  return known != kNoFlow &&
         (this->flows.At(known).passedSteps >> aVisit.walk.step & 1U) != 0;
}

void
Engine::PassOn(Visit& aVisit, Reason aReason)
{
  this->Count(aReason);
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow == kNoFlow) {
    flow = this->PutFlow(aVisit.Flow(),
                         aVisit.order[aVisit.walk.step],
                         FlowState::Passed,
                         aVisit.Now());
  }
  this->flows.At(flow).passedSteps |=
    static_cast<uint16_t>(1U << std::min<uint8_t>(aVisit.walk.step, 15));
}

// A new flow found no free slot on its whole walk.
void
Engine::EndOfOffers(Visit& aVisit)
{
  Walk& walk = aVisit.walk;
  if (walk.first == kNoInstance) {
    bool none = aVisit.order.empty();
    if (none) {
      this->Refuse(aVisit, Reason::Unavailable);
    } else {
      this->Drop(aVisit, Reason::OwnerUnreachable);
    }
    return;
  }
  if (walk.first != this->self) {
    walk.flags |= kWalkExhausted;
    this->RelayTo(aVisit, walk.first);
    return;
  }
  bool wait = this->options.busy == BusyPolicy::Hold &&
              this->service.waitMs > 0 && walk.Has(kWalkSawBusy);
  if (this->options.busy == BusyPolicy::LeastBad) {
    this->PutLeastBad(aVisit);
  } else if (wait) {
    this->Hold(aVisit);
  } else if (walk.Has(kWalkSawCold)) {
    this->Drop(aVisit, Reason::ColdOwner);
  } else {
    this->Refuse(aVisit,
                 walk.Has(kWalkSawBusy) ? Reason::Overloaded
                                        : Reason::Unavailable);
  }
}

// No owner knows the flow. Where one of them could not say no, the first such
// takes it; where that one cannot be reached, the flow may live there and
// must not go elsewhere.
void
Engine::EndOfLookup(Visit& aVisit)
{
  Walk& walk = aVisit.walk;
  ServerIndex server = this->FindServer(walk.adopt);
  auto place = std::find(aVisit.order.begin(), aVisit.order.end(), server);
  if (walk.adopt == 0 || place == aVisit.order.end()) {
    this->Drop(aVisit, Reason::UnknownFlow);
    return;
  }
  InstanceId owner = this->servers[server].owner;
  if (owner == kNoInstance) {
    this->Drop(aVisit, Reason::OwnerUnreachable);
    return;
  }
  if (owner == this->self) {
    this->Adopt(aVisit, server);
    return;
  }
  walk.step = static_cast<uint8_t>(place - aVisit.order.begin());
  walk.flags |= kWalkAdopt;
  this->RelayTo(aVisit, owner);
}

// Forwards to the server of a flow in this table and notes what the packet
// says of it.
void
Engine::Forward(Visit& aVisit, FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  const Segment& packet = aVisit.Packet();
  ServerState& server = this->servers[flow.server];
  aVisit.out.push_back(
    { .action = Action::Forward, .server = server.row.address });
  if (packet.icmpError) {
    return;
  }
  if ((packet.flags & kTcpRst) != 0) {
    this->EraseFlow(aFlow);
    return;
  }
  if (packet.Opens()) {
    flow.lastSeen = aVisit.Now();
    return;
  }
  FlowState before = flow.state;
  FlowState after = FlowState::Fresh;
  if (!aVisit.IsUdp()) {
    after = Advance(flow, packet, aVisit.Now());
  }
  flow.lastSeen = aVisit.Now();
  bool answered = before == FlowState::Waiting && after == FlowState::Answering;
  Micros age = aVisit.Now() - flow.requestAt;
  if (before != FlowState::Waiting && after == FlowState::Waiting) {
    flow.unqueued = server.Occupied() <= server.row.slots;
  }
  if (answered && flow.unqueued) {
    this->timing.OnResponse(age);
  }
  if (before == FlowState::Connecting) {
    this->timing.OnHandshake(age);
  }
  Micros straggles = this->timing.StragglerAge();
  if (after == FlowState::Answering && !flow.straggling && straggles > 0 &&
      age > straggles) {
    this->MarkStraggler(aFlow);
  }
  if (answered || before == FlowState::Connecting ||
      before == FlowState::HalfOpen) {
    server.OnProgress(aVisit.Now());
  }
  this->SetState(aFlow, after);
}

void
Engine::ForwardNew(Visit& aVisit, ServerIndex aServer)
{
  FlowIndex known = this->flows.Find(aVisit.Flow());
  if (known != kNoFlow) {
    this->EraseFlow(known); // before room is made, it may be the oldest
  }
  this->BoundHalfOpen();
  FlowState state = aVisit.IsUdp() ? FlowState::Fresh : FlowState::Connecting;
  FlowIndex flow = this->PutFlow(aVisit.Flow(), aServer, state, aVisit.Now());
  this->flows.At(flow).sentEnd = aVisit.Packet().sequence + 1;
  ServerState& server = this->servers[aServer];
  server.lastTrial = aVisit.Now();
  ++this->counts.admitted;
  aVisit.out.push_back(
    { .action = Action::Forward, .server = server.row.address });
  InstanceId witness = this->PickWitness(aVisit);
  if (witness != kNoInstance) {
    aVisit.out.push_back(
      { .action = Action::SendNote,
        .peer = witness,
        .note = {
          NoteKind::Found, aVisit.Flow(), server.row.address, this->self } });
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
Engine::RelayTo(Visit& aVisit, InstanceId aPeer)
{
  Walk& walk = aVisit.walk;
  bool walksOn = walk.step > 0 && !walk.Has(kWalkPinned) && !aVisit.opens &&
                 walk.first == this->self;
  if (walksOn && !this->TakeWalkToken(aVisit.Now())) {
    this->Drop(aVisit, Reason::WalkBudget);
    return;
  }
  if (walk.step < aVisit.order.size()) {
    walk.server = this->servers[aVisit.order[walk.step]].row.address;
  }
  ++walk.hops;
  aVisit.out.push_back(
    { .action = Action::Relay, .peer = aPeer, .walk = walk });
}

void
Engine::Drop(Visit& aVisit, Reason aReason)
{
  this->Count(aReason);
  aVisit.out.push_back({ .action = Action::Drop, .reason = aReason });
}

void
Engine::Refuse(Visit& aVisit, Reason aReason)
{
  this->Count(aReason);
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  aVisit.out.push_back({ .action = Action::Refuse, .reason = aReason });
}

}
