#include "steer/steer.h"

#include "base/text.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// A flow without packets for this time no longer counts as open at its
// server. Its packets still find the server by their tag.
constexpr Micros kQuietTime = 5 * kSecond;

}

const FlowRecord*
FlowSteering::Find(const FlowId& aFlow) const
{
  auto record = this->flows.find(aFlow);
  return record == this->flows.end() ? nullptr : &record->second;
}

Decision
FlowSteering::Count(Decision aDecision)
{
  ++this->counts.reasons[static_cast<size_t>(aDecision.reason)];
  return aDecision;
}

// A server process that is new at its place starts without evidence.
void
FlowSteering::FollowView()
{
  if (this->processes == this->view.Processes()) {
    return;
  }
  this->processes = this->view.Processes();
  this->evidence.resize(this->view.Size());
  this->generations.resize(this->view.Size());
  for (size_t i = 0; i < this->evidence.size(); ++i) {
    uint32_t generation = this->view.At(static_cast<ServerIndex>(i)).generation;
    if (this->generations[i] != generation) {
      this->generations[i] = generation;
      this->evidence[i] = {};
    }
  }
}

bool
FlowSteering::SameProcess(const FlowRecord& aRecord) const
{
  return this->view.At(aRecord.server).generation == aRecord.generation;
}

Decision
FlowSteering::OnPacket(const Packet& aPacket, bool aFresh, Micros aNow)
{
  this->sample = {};
  this->FollowView();
  if (!this->view.Ready()) {
    return this->Count({ .reason = Reason::NoView });
  }
  const Route* route = this->view.FindRoute(aPacket.flow.target);
  if (aPacket.syn) {
    return this->Count(this->OnOpening(aPacket, route, aFresh, aNow));
  }
  return this->Count(this->OnFlow(aPacket, route, aNow));
}

std::string_view
FlowSteering::PickService(const Route& aRoute, const FlowId& aFlow)
{
  const std::vector<WeightedService>& services = aRoute.entry.services;
  uint64_t sum = 0;
  for (const WeightedService& one : services) {
    sum += one.weight;
  }
  if (sum == 0) {
    return {};
  }
  uint64_t place = absl::HashOf(aFlow) % sum;
  for (const WeightedService& one : services) {
    if (place < one.weight) {
      return one.service;
    }
    place -= one.weight;
  }
  return {};
}

Decision
FlowSteering::OnOpening(const Packet& aPacket,
                        const Route* aRoute,
                        bool aFresh,
                        Micros aNow)
{
  if (aRoute == nullptr) {
    bool removed = this->view.WasRoute(aPacket.flow.target);
    // A route may have been added since the view was last confirmed; then
    // silence is safe, as the caller repeats its packet.
    Action action = removed || aFresh ? Action::Reset : Action::Drop;
    return { .action = action,
             .reason = removed ? Reason::RouteRemoved : Reason::UnknownRoute };
  }
  auto known = this->flows.find(aPacket.flow);
  if (known != this->flows.end()) {
    bool copy = known->second.openingSeq == aPacket.seq &&
                known->second.placedHere && this->SameProcess(known->second);
    if (copy) {
      return this->OnCopy(aPacket, known->second, *aRoute, aNow);
    }
    this->Erase(aPacket.flow, Outcome::Expired);
  }
  std::string_view service = PickService(*aRoute, aPacket.flow);
  return this->Admit(aPacket, *aRoute, service, aNow);
}

FlowSteering::Queue&
FlowSteering::QueueOf(std::string_view aService)
{
  return this->queues.try_emplace(ToAbsl(aService)).first->second;
}

FlowSteering::Queue*
FlowSteering::QueueOf(ServerIndex aServer)
{
  auto queue = this->queues.find(this->view.At(aServer).entry.service);
  return queue == this->queues.end() ? nullptr : &queue->second;
}

const ConcurrencyLimit*
FlowSteering::LimitOf(std::string_view aService) const
{
  auto queue = this->queues.find(ToAbsl(aService));
  return queue == this->queues.end() ? nullptr : &queue->second.window;
}

Decision
FlowSteering::Admit(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    Micros aNow)
{
  Queue& queue = this->QueueOf(aService);
  if (queue.holds.Size() > 0 && queue.holds.Holds(aPacket.flow)) {
    return { .action = Action::Drop, .reason = Reason::HeldAgain };
  }
  if (!this->options.hold || queue.window.Admits()) {
    return this->Place(aPacket, aRoute, aService, kNoServer, aNow);
  }
  bool fits = queue.holds.Put({ .packet = aPacket,
                                .priority = aRoute.entry.priority,
                                .latencyTarget = aRoute.entry.latencyTarget,
                                .heldAt = aNow });
  if (!fits) {
    return { .action = Action::Reset, .reason = Reason::HoldFull };
  }
  ++this->heldCount;
  return { .action = Action::Hold,
           .reason = Reason::Held,
           .windowOpen = queue.window.Open(),
           .windowLimit = queue.window.Limit() };
}

std::optional<Released>
FlowSteering::Release(Micros aNow)
{
  if (this->heldCount == 0) {
    return std::nullopt;
  }
  for (auto& [service, queue] : this->queues) {
    std::optional<Released> released = this->ReleaseFrom(service, queue, aNow);
    if (released) {
      --this->heldCount;
      return released;
    }
  }
  return std::nullopt;
}

std::optional<Released>
FlowSteering::ReleaseFrom(const std::string& aService,
                          Queue& aQueue,
                          Micros aNow)
{
  Decision decision{ .action = Action::Reset, .reason = Reason::HeldTooLong };
  std::optional<HeldOpening> held = aQueue.holds.TakeExpired(aNow);
  if (!held) {
    if (!aQueue.window.Admits()) {
      return std::nullopt;
    }
    held = aQueue.holds.Take(aNow);
    if (!held) {
      return std::nullopt;
    }
    const Route* route = this->view.FindRoute(held->packet.flow.target);
    decision.reason = Reason::RouteRemoved;
    if (route != nullptr) {
      decision = this->Place(held->packet, *route, aService, kNoServer, aNow);
    }
  }
  decision.waited = aNow - held->heldAt;
  decision.windowOpen = aQueue.window.Open();
  decision.windowLimit = aQueue.window.Limit();
  return Released{ held->packet, this->Count(decision) };
}

// The caller heard no answer for 200 ms or more. A server that answered
// others since then is alive: the packet or its answer was lost, and a second
// server would make a second answer. One that answered nobody is left.
Decision
FlowSteering::OnCopy(const Packet& aPacket,
                     FlowRecord& aRecord,
                     const Route& aRoute,
                     Micros aNow)
{
  const Server& server = this->view.At(aRecord.server);
  const ServerHealth& evidence = this->evidence[aRecord.server];
  bool alive = !aRecord.opening || evidence.lastProgress > aRecord.placedAt;
  if (alive && (server.TakesNew() || !aRecord.opening)) {
    return { .action = Action::Forward,
             .reason = Reason::Repeated,
             .server = aRecord.server,
             .tag = server.tag };
  }
  this->Doubt(aRecord, aNow);
  ServerIndex except = aRecord.server;
  this->Erase(aPacket.flow, Outcome::Unanswered);
  std::string_view service = PickService(aRoute, aPacket.flow);
  Decision decision = this->Place(aPacket, aRoute, service, except, aNow);
  if (decision.action == Action::Forward) {
    decision.reason = Reason::PlacedAgain;
  }
  return decision;
}

Decision
FlowSteering::Place(const Packet& aPacket,
                    const Route& aRoute,
                    std::string_view aService,
                    ServerIndex aExcept,
                    Micros aNow)
{
  Choice choice =
    this->placer.Choose(this->view, this->evidence, aService, aExcept, aNow);
  if (choice.server == kNoServer) {
    return { .action = Action::Reset,
             .reason = Reason::NoServer,
             .choice = choice };
  }
  const Server& server = this->view.At(choice.server);
  ServerHealth& evidence = this->evidence[choice.server];
  ++evidence.open;
  ++evidence.opening;
  Queue& queue = this->QueueOf(aService);
  queue.window.OnStart();
  queue.counted.push_back(
    { aPacket.flow, aNow + kCountedAims * aRoute.entry.latencyTarget });
  this->flows[aPacket.flow] = { .server = choice.server,
                                .generation = server.generation,
                                .openingSeq = aPacket.seq,
                                .placedAt = aNow,
                                .lastAt = aNow,
                                .latencyTarget = aRoute.entry.latencyTarget,
                                .placedHere = true,
                                .counted = true };
  this->openings.push_back({ aPacket.flow, aNow });
  this->idles.push_back({ aPacket.flow, aNow + kQuietTime });
  return { .action = Action::Forward,
           .reason = Reason::Placed,
           .server = choice.server,
           .tag = server.tag,
           .choice = choice };
}

Decision
FlowSteering::OnFlow(const Packet& aPacket, const Route* aRoute, Micros aNow)
{
  if (aRoute == nullptr) {
    bool removed = this->view.WasRoute(aPacket.flow.target);
    return { .action = removed && !aPacket.rst ? Action::Reset : Action::Drop,
             .reason = removed ? Reason::RouteRemoved : Reason::UnknownRoute };
  }
  ServerIndex place = this->view.FindTag(aPacket.tag);
  if (aPacket.tag == kNoTag) {
    const FlowRecord* record = this->Find(aPacket.flow);
    if (record == nullptr) {
      return { .reason = Reason::NoTag };
    }
    place = record->server;
  }
  if (place == kNoServer) {
    return { .reason = Reason::UnknownTag };
  }
  const Server& server = this->view.At(place);
  if (!aRoute->EverLedTo(server.entry.service)) {
    return { .reason = Reason::TagNotAllowed };
  }
  if (server.presence == Presence::Gone) {
    this->Erase(aPacket.flow, Outcome::Reset);
    return { .action = aPacket.rst ? Action::Drop : Action::Reset,
             .reason = Reason::ServerGone };
  }
  Decision decision{ .action = Action::Forward,
                     .reason = Reason::Known,
                     .server = place,
                     .tag = server.tag };
  this->Learn(aPacket, place, decision, aNow);
  return decision;
}

// Reads off the caller's numbers how far the flow got.
void
FlowSteering::Learn(const Packet& aPacket,
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
    // The flow came over from another instance.
    FlowRecord fresh{ .server = aServer,
                      .generation = this->view.At(aServer).generation,
                      .ackBase = aPacket.ack,
                      .placedAt = aNow,
                      .opening = false };
    known = this->flows.emplace(aPacket.flow, fresh).first;
    ++this->evidence[aServer].open;
    this->idles.push_back({ aPacket.flow, aNow + kQuietTime });
  }
  FlowRecord& record = known->second;
  record.lastAt = aNow;
  ServerHealth& evidence = this->evidence[record.server];
  bool mine = record.server == aServer && this->SameProcess(record);
  if (record.opening && mine && !aPacket.rst) {
    record.opening = false;
    record.ackBase = aPacket.ack;
    --evidence.opening;
    evidence.OnProgress(aNow);
    this->sample = { .handshake = true, .took = aNow - record.placedAt };
  }
  if (aPacket.dataBytes > 0 && record.requestAt == 0) {
    record.requestAt = aNow;
    aDecision.firstRequest = true;
  }
  bool acked = aPacket.ack != record.ackBase;
  if (acked && !record.answered && record.requestAt != 0 && mine) {
    record.answered = true;
    evidence.OnProgress(aNow);
    evidence.OnResponse(aNow - record.requestAt);
    if (Queue* queue = this->QueueOf(aServer)) {
      queue->window.OnResponse(
        aNow - record.requestAt, record.latencyTarget, aNow);
    }
    this->sample = { .response = true, .took = aNow - record.requestAt };
  }
  if (aPacket.fin || aPacket.rst) {
    this->Erase(aPacket.flow, aPacket.rst ? Outcome::Reset : Outcome::Closed);
  }
}

void
FlowSteering::Doubt(FlowRecord& aRecord, Micros aNow)
{
  if (aRecord.suspected || !this->SameProcess(aRecord)) {
    return;
  }
  aRecord.suspected = true;
  ServerHealth& evidence = this->evidence[aRecord.server];
  if (evidence.lastProgress <= aRecord.placedAt) {
    evidence.OnUnanswered(aNow);
    ++this->counts.suspected;
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
  this->Uncount(record);
  if (this->SameProcess(record)) {
    ServerHealth& evidence = this->evidence[record.server];
    --evidence.open;
    evidence.opening -= record.opening ? 1 : 0;
  }
  ++this->counts.outcomes[static_cast<size_t>(aOutcome)];
  this->flows.erase(known);
}

void
FlowSteering::Uncount(FlowRecord& aRecord)
{
  Queue* queue = this->QueueOf(aRecord.server);
  if (aRecord.counted && queue != nullptr) {
    queue->window.OnEnd();
  }
  aRecord.counted = false;
}

// Part of the bound that this instance may always use, so that a wrong
// picture of the queues cannot close a service.
double
FlowSteering::ShareOfSlots(std::string_view aService) const
{
  constexpr double kPart = 0.75;
  uint32_t slots = 0;
  for (ServerIndex place : this->view.Of(aService)) {
    const Server& server = this->view.At(place);
    slots += server.TakesNew() ? server.entry.slots : 0;
  }
  auto instances = static_cast<double>(std::max<size_t>(1, this->instances));
  return std::max(1.0, kPart * slots / instances);
}

void
FlowSteering::FollowQueues(Micros aNow)
{
  for (auto& [service, queue] : this->queues) {
    queue.window.SetFloor(this->ShareOfSlots(service));
    while (!queue.counted.empty() && queue.counted.front().at <= aNow) {
      auto known = this->flows.find(queue.counted.front().flow);
      // The same end may have opened a later flow.
      bool over =
        known != this->flows.end() &&
        known->second.placedAt + kCountedAims * known->second.latencyTarget <=
          aNow;
      if (over) {
        this->Uncount(known->second);
      }
      queue.counted.pop_front();
    }
  }
}

void
FlowSteering::Tick(Micros aNow)
{
  this->view.Tick(aNow);
  this->FollowView();
  while (!this->openings.empty() &&
         aNow - this->openings.front().at >= kAnswerTime) {
    Due due = this->openings.front();
    this->openings.pop_front();
    auto known = this->flows.find(due.flow);
    bool open = known != this->flows.end() && known->second.opening &&
                known->second.placedAt == due.at;
    if (open) {
      this->Doubt(known->second, aNow);
    }
  }
  this->ExpireFlows(aNow);
  this->FollowQueues(aNow);
}

void
FlowSteering::ExpireFlows(Micros aNow)
{
  while (!this->idles.empty() && this->idles.front().at <= aNow) {
    Due due = this->idles.front();
    this->idles.pop_front();
    auto known = this->flows.find(due.flow);
    if (known == this->flows.end()) {
      continue;
    }
    Micros quietAt = known->second.lastAt + kQuietTime;
    if (quietAt <= aNow) {
      this->Erase(due.flow, Outcome::Expired);
    } else {
      this->idles.push_back({ due.flow, quietAt });
    }
  }
}

void
FlowSteering::OnProcessPause(Micros aNow)
{
  for (Due& due : this->openings) {
    auto known = this->flows.find(due.flow);
    if (known != this->flows.end()) {
      known->second.suspected = true;
    }
  }
  this->openings.clear();
  for (ServerHealth& evidence : this->evidence) {
    evidence.avoidUntil = std::min(evidence.avoidUntil, aNow);
  }
}

}
