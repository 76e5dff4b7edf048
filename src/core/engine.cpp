#include "core/engine.h"
#include "core/visit.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle {

namespace {

// Two instances that point at each other, and a walk over all ranks, end
// below this.
constexpr uint8_t kMaxHops = 24;
// Passed-on marks that an instance keeps per half-open flow it may keep.
constexpr size_t kPassedPerHalfOpen = 4;

bool
ContainsServer(const Engine::Order& aOrder, ServerIndex aServer)
{
  return std::find(aOrder.begin(), aOrder.end(), aServer) != aOrder.end();
}

}

Engine::Engine(const EngineOptions& aOptions, InstanceId aSelf)
  : options(aOptions)
  , self(aSelf)
  , walkTokens(aOptions.walksPerSecond)
{
}

void
Engine::SetService(const Service& aService,
                   int64_t aVersion,
                   bool aFresh,
                   Micros aNow)
{
  bool first = this->version == 0;
  this->service = aService;
  this->version = aVersion;
  for (ServerState& server : this->servers) {
    server.removed = true;
    server.gone = true;
  }
  auto put = [&](const ServerRow& aRow, bool aCurrent) {
    auto [place, isNew] = this->places.try_emplace(
      aRow.address, static_cast<ServerIndex>(this->servers.size()));
    if (isNew) {
      this->servers.emplace_back();
      this->servers.back().knowledge =
        aFresh || !first ? Knowledge::All : Knowledge::None;
      this->servers.back().row = aRow;
      this->servers.back().removed = true;
    }
    ServerState& server = this->servers[place->second];
    server.gone = false;
    if (aCurrent) {
      bool returns = server.removed || (server.row.draining && !aRow.draining);
      if (returns && !first) {
        server.rampFrom = aNow;
      }
      server.row = aRow;
      server.removed = false;
    }
  };
  auto rank = [&](const std::vector<ServerRow>& aRows) {
    std::vector<RankedServer> ranked;
    ranked.reserve(aRows.size());
    for (const ServerRow& row : aRows) {
      ranked.push_back(
        { row.address, row.weight, this->places.at(row.address) });
    }
    return Ranking::Make(aService.key, ranked);
  };
  for (const ServerRow& row : aService.rows) {
    put(row, true);
  }
  this->ranking = rank(aService.rows);
  this->former.clear();
  const std::vector<ServerRow>* newer = &aService.rows;
  for (const std::vector<ServerRow>& rows : aService.former) {
    for (const ServerRow& row : rows) {
      put(row, false);
    }
    auto same = [](const ServerRow& aLeft, const ServerRow& aRight) {
      return aLeft.address == aRight.address && aLeft.weight == aRight.weight;
    };
    // A change of limits or state alone leaves the ranking as it is.
    if (!std::equal(
          rows.begin(), rows.end(), newer->begin(), newer->end(), same)) {
      this->former.push_back(rank(rows));
    }
    newer = &rows;
  }
}

void
Engine::SetOwners(std::span<const InstanceId> aOwners,
                  std::span<const InstanceId> aOthers,
                  std::span<const InstanceId> aPresent,
                  Micros aNow)
{
  this->ownedServers = 0;
  for (size_t i = 0; i < this->servers.size(); ++i) {
    ServerState& server = this->servers[i];
    bool had = server.owner == this->self;
    bool has = aOwners[i] == this->self;
    this->ownedServers += has ? 1 : 0;
    if (has && !had) {
      server.ownedSince = aNow;
      server.reserved = 0;
      server.formerOwner =
        server.owner == kNoInstance ? aOthers[i] : server.owner;
    }
    bool present =
      std::find(aPresent.begin(), aPresent.end(), server.formerOwner) !=
      aPresent.end();
    if (!present) {
      server.formerOwner = kNoInstance;
    }
    // A server that nobody has owned yet needs no hand-over; once an owner
    // is known, only that owner's word makes a successor warm.
    if (!has && aOwners[i] != kNoInstance) {
      server.knowledge = Knowledge::None;
    }
    server.owner = aOwners[i];
  }
}

bool
Engine::IsMine(ServerIndex aServer) const
{
  return this->servers[aServer].owner == this->self;
}

// A former owner may have forwarded a SYN that the caller still retransmits.
bool
Engine::MayHaveRefusable(const ServerState& aServer, Micros aNow) const
{
  return aServer.knowledge == Knowledge::None &&
         aNow - aServer.ownedSince < this->options.synLife;
}

// The flow is not in the table here. Could it be at aServer all the same?
// After a hand-over only flows at their default server are not known, by the
// present ranking or by a former one.
bool
Engine::MayKnowLess(const Visit& aVisit, ServerIndex aServer) const
{
  const ServerState& server = this->servers[aServer];
  bool settled = server.knowledge == Knowledge::All ||
                 aVisit.Now() - server.ownedSince >= this->options.idle;
  FlowIndex known = this->flows.Find(aVisit.Flow());
  bool passedOn = known != kNoFlow &&
                  (this->flows.At(known).passedSteps >> aVisit.walk.step & 1U);
  if (settled || passedOn) {
    return false;
  }
  return server.knowledge == Knowledge::None || aVisit.order[0] == aServer ||
         this->IsFormerDefault(aVisit.Flow(), aServer);
}

bool
Engine::IsFormerDefault(FlowKey aFlow, ServerIndex aServer) const
{
  uint64_t hash = HashFlow(this->service.key, aFlow);
  return std::any_of(
    this->former.begin(), this->former.end(), [&](const Ranking& aRanking) {
      std::span<const ServerIndex> ranks = aRanking.For(hash);
      return !ranks.empty() && ranks[0] == aServer;
    });
}

bool
Engine::IsPlacedHere(FlowIndex aFlow) const
{
  FlowState state = this->flows.At(aFlow).state;
  return state != FlowState::Passed && state != FlowState::Elsewhere;
}

ServerIndex
Engine::FindServer(Address aAddress) const
{
  auto place = this->places.find(aAddress);
  return place == this->places.end() ? kNoServer : place->second;
}

Engine::Order
Engine::LookupOrder(FlowKey aFlow) const
{
  uint64_t hash = HashFlow(this->service.key, aFlow);
  std::span<const ServerIndex> ranks = this->ranking.For(hash);
  Order order(ranks.begin(), ranks.end());
  for (const Ranking& ranking : this->former) {
    for (ServerIndex server : ranking.For(hash)) {
      if (!this->servers[server].gone && !ContainsServer(order, server)) {
        order.push_back(server);
      }
    }
  }
  return order;
}

void
Engine::CountIn(const Flow& aFlow, int aSign)
{
  uint32_t& count =
    this->servers[aFlow.server].counts[static_cast<size_t>(aFlow.state)];
  count += static_cast<uint32_t>(aSign);
  if (aFlow.straggling) {
    this->servers[aFlow.server].stragglers += static_cast<uint32_t>(aSign);
  }
}

bool
Engine::HasFreeSlot(const ServerState& aServer, Micros aNow) const
{
  double pipeline = this->options.usePipeline ? this->timing.Pipeline() : 0;
  return aServer.HasFreeSlot(aNow, pipeline);
}

void
Engine::MarkStraggler(FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  this->CountIn(flow, -1);
  flow.straggling = true;
  this->CountIn(flow, 1);
}

void
Engine::SetState(FlowIndex aFlow, FlowState aState)
{
  Flow& flow = this->flows.At(aFlow);
  this->CountIn(flow, -1);
  bool works = aState == FlowState::Waiting || aState == FlowState::Answering;
  flow.straggling = flow.straggling && works;
  this->flows.Move(aFlow, aState);
  this->CountIn(this->flows.At(aFlow), 1);
}

void
Engine::EraseFlow(FlowIndex aFlow)
{
  this->CountIn(this->flows.At(aFlow), -1);
  this->flows.Erase(aFlow);
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
    ++this->counts.reasons[static_cast<size_t>(Reason::ServerGone)];
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
      ++this->counts.reasons[static_cast<size_t>(Reason::SkippedUnreachable)];
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

// Until the hand-over has arrived, the former owner knows best. As long as its
// view makes it the owner, it also admits; were both to admit, each would say
// "no" for the other's flows. Once its view has changed it sends a flow that
// it knows back with its server, and the rest as it came.
bool
Engine::AskFormerOwner(Visit& aVisit, const ServerState& aServer)
{
  bool ask = aServer.knowledge == Knowledge::None &&
             aServer.formerOwner != kNoInstance &&
             !aVisit.walk.Has(kWalkAskedFormer) &&
             !aVisit.walk.Has(kWalkMissed);
  if (!ask) {
    return false;
  }
  aVisit.walk.flags |= kWalkAskedFormer;
  this->RelayTo(aVisit, aServer.formerOwner);
  return true;
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
  FlowIndex known = this->flows.Find(aVisit.Flow());
  if (this->MayHaveRefusable(server, aVisit.Now())) {
    aVisit.walk.flags |= kWalkSawCold;
    if (aVisit.IsUdp()) {
      aVisit.opens = false;
      aVisit.walk.flags |= kWalkLookup;
      this->AskForKnown(aVisit, aServer);
      return false;
    }
  }
  bool passedBefore =
    known != kNoFlow &&
    (this->flows.At(known).passedSteps >> aVisit.walk.step & 1U) != 0;
  if (passedBefore) {
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

void
Engine::PassOn(Visit& aVisit, Reason aReason)
{
  ++this->counts.reasons[static_cast<size_t>(aReason)];
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow == kNoFlow) {
    if (this->servers.empty()) {
      return;
    }
    flow = this->flows.Insert(aVisit.Flow(),
                              aVisit.order[aVisit.walk.step],
                              FlowState::Passed,
                              aVisit.Now());
    this->CountIn(this->flows.At(flow), 1);
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
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  this->BoundHalfOpen();
  FlowState state = aVisit.IsUdp() ? FlowState::Fresh : FlowState::Connecting;
  flow = this->flows.Insert(aVisit.Flow(), aServer, state, aVisit.Now());
  this->flows.At(flow).sentEnd = aVisit.Packet().sequence + 1;
  this->CountIn(this->flows.At(flow), 1);
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

// A flow at its default server is found without any state. Of the others,
// two instances know: the one that owns the server and the one that was asked
// first, or, where both are this one, the next owner on the walk. So the
// death of one instance loses none.
InstanceId
Engine::PickWitness(const Visit& aVisit) const
{
  const Walk& walk = aVisit.walk;
  if (walk.first != this->self) {
    return walk.Has(kWalkGranted) ? kNoInstance : walk.first;
  }
  for (size_t i = 0; walk.step > 0 && i < aVisit.order.size(); ++i) {
    InstanceId owner = this->servers[aVisit.order[i]].owner;
    if (owner != this->self && owner != kNoInstance) {
      return owner;
    }
  }
  return kNoInstance;
}

// Goes on with a flow that began before this instance owned its server.
void
Engine::Adopt(Visit& aVisit, ServerIndex aServer)
{
  const Segment& packet = aVisit.Packet();
  ServerState& server = this->servers[aServer];
  bool keep = !packet.icmpError && (packet.flags & kTcpRst) == 0 &&
              (packet.flags & kTcpSyn) == 0;
  if (!keep) {
    aVisit.out.push_back(
      { .action = Action::Forward, .server = server.row.address });
    return;
  }
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  flow =
    this->flows.Insert(aVisit.Flow(), aServer, FlowState::Idle, aVisit.Now());
  this->flows.At(flow).adopted = true;
  this->CountIn(this->flows.At(flow), 1);
  ++this->counts.adopted;
  this->Forward(aVisit, flow);
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
  ++this->counts.reasons[static_cast<size_t>(aReason)];
  aVisit.out.push_back({ .action = Action::Drop, .reason = aReason });
}

void
Engine::Refuse(Visit& aVisit, Reason aReason)
{
  ++this->counts.reasons[static_cast<size_t>(aReason)];
  FlowIndex flow = this->flows.Find(aVisit.Flow());
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  aVisit.out.push_back({ .action = Action::Refuse, .reason = aReason });
}

void
Engine::BoundHalfOpen()
{
  size_t bound = size_t{ this->options.halfOpen } *
                 std::max<uint32_t>(this->ownedServers, 1);
  size_t halfOpen = 0;
  size_t passed = 0;
  for (const ServerState& server : this->servers) {
    halfOpen +=
      server.Count(FlowState::Connecting) + server.Count(FlowState::HalfOpen);
    passed += server.Count(FlowState::Passed);
  }
  if (passed >= bound * kPassedPerHalfOpen) {
    this->EraseFlow(this->flows.Oldest(FlowState::Passed));
  }
  if (halfOpen < bound) {
    return;
  }
  FlowIndex oldest = this->flows.Oldest(FlowState::HalfOpen);
  if (oldest == kNoFlow) {
    oldest = this->flows.Oldest(FlowState::Connecting);
  }
  ++this->counts.reasons[static_cast<size_t>(Reason::HalfOpenLimit)];
  this->EraseFlow(oldest);
}

void
Engine::OnReport(Address aServer, bool aDown)
{
  ServerIndex place = this->FindServer(aServer);
  if (place == kNoServer) {
    return;
  }
  this->servers[place].reportedDown = aDown;
  size_t down = std::count_if(
    this->servers.begin(), this->servers.end(), [](const ServerState& aState) {
      return aState.reportedDown;
    });
  this->trustReports = down * 2 <= this->servers.size();
}

void
Engine::LoseTrust(Micros aNow)
{
  for (ServerState& server : this->servers) {
    server.knowledge = Knowledge::None;
    server.ownedSince = aNow;
  }
}

InstanceId
Engine::OwnerOf(Address aServer) const
{
  ServerIndex place = this->FindServer(aServer);
  return place == kNoServer ? kNoInstance : this->servers[place].owner;
}

bool
Engine::KnowsAll(Address aServer, Micros aNow) const
{
  ServerIndex place = this->FindServer(aServer);
  return place != kNoServer &&
         (this->servers[place].knowledge != Knowledge::None ||
          aNow - this->servers[place].ownedSince >= this->options.idle);
}

std::vector<HandedFlow>
Engine::Exceptions(Address aServer) const
{
  std::vector<HandedFlow> found;
  ServerIndex server = this->FindServer(aServer);
  for (size_t i = 0; i < kFlowStates; ++i) {
    auto state = static_cast<FlowState>(i);
    bool guessable = state == FlowState::Idle || state == FlowState::Closing;
    FlowIndex place = this->flows.Oldest(state);
    for (; place != kNoFlow; place = this->flows.At(place).next) {
      const Flow& flow = this->flows.At(place);
      Order order = this->LookupOrder(flow.key);
      bool isDefault = !order.empty() && order[0] == server;
      bool placed = this->IsPlacedHere(place);
      bool passed = state == FlowState::Passed;
      // A flow at the server given away counts as being elsewhere from the
      // first packet after the change of owner.
      bool here = !passed && flow.server == server && !(isDefault && guessable);
      // The successor of the default server has to know where else to send.
      bool mark = isDefault && flow.server != server;
      FlowState handed = state;
      if (mark && placed) {
        handed = FlowState::Elsewhere;
      } else if (here && !placed) {
        handed = FlowState::Idle;
      }
      if (here || mark || (isDefault && passed)) {
        found.push_back({ flow.key,
                          this->servers[flow.server].row.address,
                          handed,
                          flow.sentEnd,
                          flow.ackBase,
                          flow.lastAck,
                          flow.passedSteps,
                          flow.finSeen });
      }
    }
  }
  return found;
}

bool
Engine::TakeOver(Address aServer,
                 std::span<const HandedFlow> aFlows,
                 bool aLast,
                 Micros aNow)
{
  ServerIndex server = this->FindServer(aServer);
  if (server == kNoServer || !this->IsMine(server)) {
    return false;
  }
  for (const HandedFlow& flow : aFlows) {
    ServerIndex at = this->FindServer(flow.server);
    FlowIndex known = this->flows.Find(flow.key);
    bool better = known == kNoFlow || (flow.state != FlowState::Passed &&
                                       !this->IsPlacedHere(known));
    if (at == kNoServer || !better) {
      continue;
    }
    if (known != kNoFlow) {
      this->EraseFlow(known);
    }
    FlowIndex place = this->flows.Insert(flow.key, at, flow.state, aNow);
    Flow& copy = this->flows.At(place);
    copy.requestAt = aNow;
    copy.sentEnd = flow.sentEnd;
    copy.ackBase = flow.ackBase;
    copy.lastAck = flow.lastAck;
    copy.passedSteps = flow.passedSteps;
    copy.finSeen = flow.finSeen;
    this->CountIn(copy, 1);
  }
  if (aLast && this->servers[server].knowledge == Knowledge::None) {
    this->servers[server].knowledge = Knowledge::Exceptions;
    this->servers[server].formerOwner = kNoInstance;
  }
  return true;
}

}
