// Holds new flows. A new flow for which no candidate server has a free slot
// waits at its arbiter, the first owner asked, until one of its candidates
// frees a slot. The owner of that server claims the flow and reserves the slot;
// the arbiter grants each held flow once, and answers a claim for a flow that
// it no longer holds with a Void note. Only the arbiter refuses a flow. If
// kWalkMayHaveFlow is set, it drops the SYN instead of refusing it, as a server
// may already have the flow. So a refused SYN has reached no server.
//
// Also handles notes, and expires flows, claims and held flows at each tick.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

namespace {

// An unanswered claim releases its slot after this time.
constexpr Micros kClaimTimeout = 100 * kMillisecond;
// Flows in the state Closing are evicted after this time without packets. A FIN
// alone doesn't suffice: with an open request a flow stays Waiting.
constexpr Micros kClosingTime = 2 * kSecond;

}

// Holds the SYN or first UDP datagram at this instance, its arbiter, and
// notifies the owners of the flow's candidate servers. If EngineOptions::held
// flows are held already, refuses the flow, or drops the packet if
// kWalkMayHaveFlow is set.
void
Engine::Hold(PacketContext& aContext)
{
  FlowKey key = aContext.Flow();
  if (this->held.contains(key)) {
    this->Drop(aContext, Reason::HeldDuplicate);
    return;
  }
  if (this->held.size() >= this->options.held) {
    if (aContext.walk.Has(kWalkMayHaveFlow)) {
      this->Drop(aContext, Reason::ColdOwner);
    } else {
      this->Refuse(aContext, Reason::OverloadedHoldFull);
    }
    return;
  }
  HeldSyn& syn = this->held[key];
  std::span<const uint8_t> packet = aContext.arrival.packet;
  syn.packet.assign(packet.begin(), packet.end());
  syn.segment = aContext.Packet();
  syn.walk = aContext.walk;
  syn.deadline = aContext.Now() + this->service.waitMs * kMillisecond;
  this->heldOrder.push_back(key);
  ++this->counts.held;
  aContext.out.push_back({ .action = Action::Hold });
  this->AddClaimable(key, this->self, aContext.Now());
  this->NotifyCandidateOwners(NoteKind::Held, key, this->self, aContext.out);
}

// Admits the flow by BusyPolicy::LeastLoaded; it queues at the server. Refuses
// it if no server meets the conditions of that policy, even if kWalkMayHaveFlow
// is set. Only benchmarks use this policy, for comparison with holding.
void
Engine::AdmitToLeastLoaded(PacketContext& aContext)
{
  ServerIndex best = kNoServer;
  for (size_t i = 0; i < aContext.order.size(); ++i) {
    ServerIndex server = aContext.order[i];
    const ServerState& state = this->servers[server];
    bool eligible = this->IsOwnedHere(server) && state.TakesNew() &&
                    state.OpenFlows() < state.row.connections;
    if (eligible && (best == kNoServer ||
                     state.Occupied() < this->servers[best].Occupied())) {
      best = server;
    }
  }
  if (best == kNoServer) {
    this->Refuse(aContext, Reason::ConnectionLimit);
    return;
  }
  this->ForwardNew(aContext, best);
}

// Sends a note to each other instance that owns a candidate server of the
// flow, except aExcept.
void
Engine::NotifyCandidateOwners(NoteKind aKind,
                              FlowKey aFlow,
                              InstanceId aExcept,
                              Outbox& aOut)
{
  absl::InlinedVector<InstanceId, 8> notified{ this->self, aExcept };
  uint32_t candidates = 0;
  for (ServerIndex candidate : this->LookupOrder(aFlow)) {
    const ServerState& server = this->servers[candidate];
    if (!server.TakesNew()) {
      continue;
    }
    if (++candidates > this->options.servers) {
      return;
    }
    bool alreadyNotified =
      std::find(notified.begin(), notified.end(), server.owner) !=
      notified.end();
    if (alreadyNotified || server.owner == kNoInstance) {
      continue;
    }
    notified.push_back(server.owner);
    aOut.push_back({ .action = Action::SendNote,
                     .peer = server.owner,
                     .note = { aKind, aFlow, 0, this->self } });
  }
}

// Queues a flow that aArbiter holds at those of its candidate servers that this
// instance owns.
void
Engine::AddClaimable(FlowKey aFlow, InstanceId aArbiter, Micros aNow)
{
  Micros expires = aNow + this->service.waitMs * kMillisecond;
  this->claimable[aFlow] = { aArbiter, expires };
  uint32_t candidates = 0;
  for (ServerIndex candidate : this->LookupOrder(aFlow)) {
    ServerState& server = this->servers[candidate];
    if (!server.TakesNew()) {
      continue;
    }
    if (++candidates > this->options.servers) {
      return;
    }
    if (this->IsOwnedHere(candidate)) {
      server.claimable.push_back(aFlow);
    }
  }
}

void
Engine::OnNote(const Note& aNote, Micros aNow, Outbox& aOut)
{
  switch (aNote.kind) {
    case NoteKind::Held:
      this->AddClaimable(aNote.flow, aNote.from, aNow);
      break;
    case NoteKind::Void:
      this->OnVoid(aNote);
      break;
    case NoteKind::Claim:
      this->OnClaim(aNote, aNow, aOut);
      break;
    case NoteKind::Found:
      this->OnFound(aNote, aNow);
      break;
  }
  this->ClaimForFreeSlots(aNow, aOut);
}

// Records that the flow is at a server of a peer, unless it already is at a
// server of this instance.
void
Engine::OnFound(const Note& aNote, Micros aNow)
{
  FlowIndex flow = this->flows.Find(aNote.flow);
  ServerIndex server = this->FindServer(aNote.server);
  bool here = flow != kNoFlow && this->IsPlacedHere(flow);
  if (here || server == kNoServer) {
    return;
  }
  uint16_t passedSteps = flow == kNoFlow ? 0 : this->flows.At(flow).passedSteps;
  flow = this->PutFlow(aNote.flow, server, FlowState::Elsewhere, aNow);
  this->flows.At(flow).passedSteps = passedSteps;
}

// The flow gets no grant here, see NoteKind::Void: this instance no longer
// claims it, and releases the slot if one was reserved for it.
void
Engine::OnVoid(const Note& aNote)
{
  this->claimable.erase(aNote.flow);
  auto claim = this->claims.find(aNote.flow);
  if (claim != this->claims.end()) {
    --this->servers[claim->second.server].reserved;
    this->claims.erase(claim);
    ++this->counts.claimsVoid;
  }
}

// Claims held flows for the free slots of all own servers.
void
Engine::ClaimForFreeSlots(Micros aNow, Outbox& aOut)
{
  if (this->claimable.empty()) {
    return;
  }
  for (size_t i = 0; i < this->servers.size(); ++i) {
    auto candidate = static_cast<ServerIndex>(i);
    while (this->IsOwnedHere(candidate) &&
           !this->servers[i].claimable.empty() &&
           this->ClaimNext(candidate, aNow, aOut)) {
    }
  }
}

// Claims one held flow for a free slot of aServer: grants it if this instance
// holds it, otherwise sends a claim to its arbiter. False where the server gets
// no new flow now (no free slot, draining, removed, seems to be down) or no
// flow waits.
bool
Engine::ClaimNext(ServerIndex aServer, Micros aNow, Outbox& aOut)
{
  ServerState& server = this->servers[aServer];
  bool canClaim =
    server.TakesNew() && this->HasFreeSlot(server, aNow) &&
    (!this->options.useHealth || server.IsUsable(aNow, this->trustReports));
  if (!canClaim) {
    return false;
  }
  ClaimableFlow waiting;
  FlowKey key = this->TakeClaimable(server, aNow, waiting);
  if (waiting.arbiter == kNoInstance) {
    return false;
  }
  if (waiting.arbiter == this->self) {
    this->Grant(key, aServer, this->self, aNow, aOut);
    return true;
  }
  ++server.reserved;
  this->claims[key] = { aServer, aNow };
  this->claimOrder.push_back(key);
  aOut.push_back(
    { .action = Action::SendNote,
      .peer = waiting.arbiter,
      .note = { NoteKind::Claim, key, server.row.address, this->self } });
  return true;
}

// Removes the next flow by HoldOrder that may still be held from the queue of
// aServer, and from the claimable flows, so that no other server here claims
// it. Sets aClaimable; its arbiter is kNoInstance where there is no such flow.
FlowKey
Engine::TakeClaimable(ServerState& aServer,
                      Micros aNow,
                      ClaimableFlow& aClaimable)
{
  while (!aServer.claimable.empty()) {
    bool newest = this->options.order == HoldOrder::NewestFirst;
    if (this->options.order == HoldOrder::Adaptive) {
      auto front = this->claimable.find(aServer.claimable.front());
      Micros halfWait = this->service.waitMs * kMillisecond / 2;
      newest = front != this->claimable.end() &&
               front->second.expires - aNow < halfWait;
    }
    FlowKey key = newest ? aServer.claimable.back() : aServer.claimable.front();
    if (newest) {
      aServer.claimable.pop_back();
    } else {
      aServer.claimable.pop_front();
    }
    auto waiting = this->claimable.find(key);
    if (waiting == this->claimable.end()) {
      continue;
    }
    aClaimable = waiting->second;
    this->claimable.erase(waiting);
    if (aClaimable.expires > aNow) {
      return key;
    }
    aClaimable = {};
  }
  return 0;
}

// Grants the claim if the flow is still held here and the server is known;
// otherwise answers with a Void note.
void
Engine::OnClaim(const Note& aNote, Micros aNow, Outbox& aOut)
{
  ServerIndex server = this->FindServer(aNote.server);
  if (server != kNoServer && this->held.contains(aNote.flow)) {
    this->Grant(aNote.flow, server, aNote.from, aNow, aOut);
    return;
  }
  aOut.push_back({ .action = Action::SendNote,
                   .peer = aNote.from,
                   .note = { NoteKind::Void, aNote.flow, 0, this->self } });
}

// Ends the hold of the flow: admits it to aServer if aClaimant is this
// instance, otherwise relays its SYN to aClaimant. Sends a Void note to the
// owners of the other candidates. If aServer has left the lookup order, the SYN
// is discarded.
void
Engine::Grant(FlowKey aFlow,
              ServerIndex aServer,
              InstanceId aClaimant,
              Micros aNow,
              Outbox& aOut)
{
  auto found = this->held.find(aFlow);
  if (found == this->held.end()) {
    return;
  }
  HeldSyn syn = std::move(found->second);
  this->held.erase(found);
  this->claimable.erase(aFlow);
  ++this->counts.granted;
  this->NotifyCandidateOwners(NoteKind::Void, aFlow, aClaimant, aOut);
  Order order = this->LookupOrder(aFlow);
  auto candidate = std::find(order.begin(), order.end(), aServer);
  if (candidate == order.end()) {
    return;
  }
  syn.walk.step = static_cast<uint8_t>(candidate - order.begin());
  syn.walk.flags = kWalkGranted;
  Arrival arrival{
    .now = aNow, .segment = &syn.segment, .packet = syn.packet, .walk = syn.walk
  };
  Outbox out;
  PacketContext context{ arrival, out, syn.walk, order, true };
  if (aClaimant == this->self) {
    this->ForwardNew(context, aServer);
  } else {
    this->PutFlow(aFlow, aServer, FlowState::Elsewhere, aNow);
    this->RelayTo(context, aClaimant);
  }
  for (Decision& decision : out) {
    decision.packet = syn.packet;
    aOut.push_back(std::move(decision));
  }
}

// Refuses held flows whose deadline has passed, in the order in which they were
// held. The SYN is dropped instead if kWalkMayHaveFlow is set, as a server may
// already have the flow.
void
Engine::ExpireHeld(Micros aNow, Outbox& aOut)
{
  while (!this->heldOrder.empty()) {
    FlowKey key = this->heldOrder.front();
    auto found = this->held.find(key);
    if (found != this->held.end() && found->second.deadline > aNow) {
      return;
    }
    this->heldOrder.pop_front();
    if (found == this->held.end()) {
      continue;
    }
    HeldSyn syn = std::move(found->second);
    this->held.erase(found);
    this->claimable.erase(key);
    FlowIndex flow = this->flows.Find(key);
    if (flow != kNoFlow && !syn.walk.Has(kWalkMayHaveFlow)) {
      this->EraseFlow(flow);
    }
    bool mayHaveFlow = syn.walk.Has(kWalkMayHaveFlow);
    Reason reason = mayHaveFlow ? Reason::ColdOwner : Reason::Overloaded;
    this->Count(reason);
    aOut.push_back({ .action = mayHaveFlow ? Action::Drop : Action::Refuse,
                     .reason = reason,
                     .packet = std::move(syn.packet) });
  }
}

// Releases the slots of claims that were not answered in time.
void
Engine::ExpireClaims(Micros aNow)
{
  while (!this->claimOrder.empty()) {
    FlowKey key = this->claimOrder.front();
    auto claim = this->claims.find(key);
    if (claim != this->claims.end() &&
        aNow - claim->second.claimedAt < kClaimTimeout) {
      return;
    }
    this->claimOrder.pop_front();
    if (claim != this->claims.end()) {
      --this->servers[claim->second.server].reserved;
      this->claims.erase(claim);
      ++this->counts.claimsLost;
    }
  }
}

// Evicts flows without recent packets, or moves them to their next state.
void
Engine::ExpireFlows(Micros aNow)
{
  auto expire = [&](FlowState aState, Micros aLifetime, auto aOnExpiry) {
    FlowIndex flow = this->flows.Oldest(aState);
    while (flow != kNoFlow &&
           aNow - this->flows.At(flow).lastSeen >= aLifetime) {
      aOnExpiry(flow);
      flow = this->flows.Oldest(aState);
    }
  };
  auto erase = [&](FlowIndex aFlow) { this->EraseFlow(aFlow); };
  expire(FlowState::HalfOpen, this->options.synLifetime, erase);
  expire(FlowState::Connecting, this->options.handshake, [&](FlowIndex aFlow) {
    ++this->servers[this->flows.At(aFlow).server].unansweredHandshakes;
    this->SetState(aFlow, FlowState::HalfOpen);
  });
  expire(FlowState::Fresh, this->options.handshake, [&](FlowIndex aFlow) {
    this->SetState(aFlow, FlowState::Idle);
  });
  expire(FlowState::Answering, this->options.quiet, [&](FlowIndex aFlow) {
    bool closes = this->flows.At(aFlow).finSeen;
    this->SetState(aFlow, closes ? FlowState::Closing : FlowState::Idle);
  });
  expire(FlowState::Idle, this->options.idle, erase);
  expire(FlowState::Waiting, this->options.idle, erase);
  expire(FlowState::Closing, kClosingTime, erase);
  expire(FlowState::Passed, this->options.synLifetime, erase);
  expire(FlowState::Elsewhere, this->options.idle, erase);
}

// Marks waiting flows without a packet for longer than Timing::StragglerAge, as
// their request runs much longer than most. The list of waiting flows is in the
// order of their last packets, which is nearly the order of their requests.
void
Engine::MarkStragglers(Micros aNow)
{
  Micros stragglerAge = this->timing.StragglerAge();
  if (stragglerAge == 0) {
    return;
  }
  FlowIndex flow = this->flows.Oldest(FlowState::Waiting);
  while (flow != kNoFlow &&
         aNow - this->flows.At(flow).lastSeen > stragglerAge) {
    if (!this->flows.At(flow).straggling) {
      this->MarkStraggler(flow);
    }
    flow = this->flows.At(flow).next;
  }
}

void
Engine::OnTick(Micros aNow, Outbox& aOut)
{
  this->ExpireFlows(aNow);
  this->MarkStragglers(aNow);
  this->ExpireClaims(aNow);
  this->ExpireHeld(aNow, aOut);
  this->ClaimForFreeSlots(aNow, aOut);
}

}
