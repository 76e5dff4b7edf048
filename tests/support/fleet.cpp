#include "support/fleet.h"

#include <cstring>

namespace gentianspindle {

namespace {

constexpr Address kFirstInstance = 0x7F000001;
constexpr uint16_t kPort = 6082;

// The engines store the packets of held flows as bytes. In the simulation these
// bytes are the Segment itself.
std::span<const uint8_t>
ToBytes(const Segment& aSegment)
{
  return { reinterpret_cast<const uint8_t*>(&aSegment), sizeof(Segment) };
}

Segment
FromBytes(std::span<const uint8_t> aBytes)
{
  Segment segment;
  std::memcpy(static_cast<void*>(&segment), aBytes.data(), sizeof(Segment));
  return segment;
}

}

Fleet::Fleet(VirtualClock& aClock, const FleetOptions& aOptions, Load& aLoad)
  : clock(aClock)
  , options(aOptions)
  , load(aLoad)
  , random(aOptions.seed)
{
  for (size_t i = 0; i < aOptions.zones.size(); ++i) {
    Node& node = this->nodes.emplace_back();
    node.id = MakeInstanceId(kFirstInstance + static_cast<Address>(i), kPort);
    node.zone = aOptions.zones[i];
    this->Tick(i);
  }
  aLoad.send = [this](const Segment& aSegment) { this->Spray(aSegment); };
}

Engine&
Fleet::At(size_t aInstance, const ServiceKey& aService)
{
  return *this->nodes[aInstance].engines.at(aService.address);
}

void
Fleet::Tick(size_t aInstance)
{
  Node& node = this->nodes[aInstance];
  if (node.up) {
    for (auto& [address, engine] : node.engines) {
      Outbox out;
      engine->OnTick(this->clock.Now(), out);
      this->CarryOut(aInstance, engine->Current().key, nullptr, out);
    }
  }
  this->clock.After(this->options.tick, [=, this] { this->Tick(aInstance); });
}

void
Fleet::SetTable(const Table& aTable)
{
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    this->SetTableAt(i, aTable);
  }
}

void
Fleet::SetTableAt(size_t aInstance, const Table& aTable)
{
  Node& node = this->nodes[aInstance];
  if (!node.up) {
    return;
  }
  for (const Service& service : aTable.services) {
    std::unique_ptr<Engine>& engine = node.engines[service.key.address];
    bool isNew = engine == nullptr && aTable.version == 1;
    if (engine == nullptr) {
      engine = std::make_unique<Engine>(this->options.engine, node.id);
    }
    engine->SetService(service, aTable.version, isNew, this->clock.Now());
  }
  node.table = aTable;
  this->AssignAt(node);
}

void
Fleet::AssignAt(Node& aNode)
{
  std::vector<Member> members;
  std::vector<InstanceId> listedInstances;
  for (const Node& node : this->nodes) {
    if (node.listed) {
      listedInstances.push_back(node.id);
    }
    if (node.listed && !node.leaving) {
      members.push_back({ node.id, node.zone, true });
    }
  }
  std::vector<OwnedServer> servers;
  for (auto& [address, engine] : aNode.engines) {
    for (const ServerState& server : engine->Servers()) {
      servers.push_back({ server.row.address, server.row.zone });
    }
  }
  std::vector<InstanceId> owners = AssignOwners(members, servers);
  std::vector<InstanceId> ownersWithoutSelf =
    AssignOwnersWithout(aNode.id, members, servers);
  std::span<const InstanceId> remainingOwners = owners;
  std::span<const InstanceId> remainingWithoutSelf = ownersWithoutSelf;
  for (auto& [address, engine] : aNode.engines) {
    size_t count = engine->Servers().size();
    for (size_t i = 0; i < count; ++i) {
      const ServerState& server = engine->Servers()[i];
      if (server.owner == aNode.id && remainingOwners[i] != aNode.id) {
        this->HandOver(
          aNode,
          engine->Current().key,
          server.row.address,
          engine->KnowsExceptions(server.row.address, this->clock.Now()));
      }
    }
    engine->SetOwners(remainingOwners.first(count),
                      remainingWithoutSelf.first(count),
                      listedInstances,
                      this->clock.Now());
    remainingOwners = remainingOwners.subspan(count);
    remainingWithoutSelf = remainingWithoutSelf.subspan(count);
  }
}

// A membership update reaches each instance at a different time.
void
Fleet::Assign()
{
  for (Node& node : this->nodes) {
    Micros delay = this->options.maxMembershipDelay == 0
                     ? 0
                     : static_cast<Micros>(this->random() %
                                           this->options.maxMembershipDelay);
    this->clock.After(delay, [&node, this] {
      if (node.up) {
        this->AssignAt(node);
      }
    });
  }
}

// Sends the entries of aFrom for a server to the next owner, and repeats this
// until the next owner accepts them, or aFrom has stopped or owns the server
// again.
void
Fleet::HandOver(Node& aFrom,
                const ServiceKey& aService,
                Address aServer,
                bool aComplete)
{
  constexpr Micros kRetryDelay = 100 * kMillisecond;
  this->clock.After(this->options.handOverDelay, [=, &aFrom, this] {
    if (!aFrom.up) {
      return;
    }
    std::vector<HandedFlow> flows =
      aFrom.engines.at(aService.address)->Exceptions(aServer);
    InstanceId successor = aFrom.engines.at(aService.address)->OwnerOf(aServer);
    if (successor == aFrom.id || successor == kNoInstance) {
      return;
    }
    Node& to = this->nodes[this->IndexOf(successor)];
    bool accepted =
      to.up && this->At(this->IndexOf(successor), aService)
                 .AcceptHandOver(aServer, flows, aComplete, this->clock.Now());
    if (!accepted) {
      this->clock.After(kRetryDelay, [=, &aFrom, this] {
        this->HandOver(aFrom, aService, aServer, aComplete);
      });
    }
  });
}

void
Fleet::Kill(size_t aInstance, Micros aDetectionTime)
{
  Node& node = this->nodes[aInstance];
  node.up = false;
  node.engines.clear();
  this->clock.After(aDetectionTime, [=, this] {
    this->nodes[aInstance].listed = false;
    this->Assign();
  });
}

void
Fleet::Leave(size_t aInstance)
{
  Node& node = this->nodes[aInstance];
  node.leaving = true;
  // The leaving instance knows it before the others.
  this->AssignAt(node);
  this->Assign();
  // A leaving instance still handles packets for this time.
  constexpr Micros kRelayTime = 2 * kSecond;
  this->clock.After(kRelayTime, [=, this] {
    Node& stopped = this->nodes[aInstance];
    stopped.up = false;
    stopped.listed = false;
    stopped.leaving = false;
    stopped.engines.clear();
  });
}

void
Fleet::Join(size_t aInstance)
{
  Node& node = this->nodes[aInstance];
  if (node.up) {
    return;
  }
  node.up = true;
  Table newest;
  for (const Node& other : this->nodes) {
    if (other.table.version > newest.version) {
      newest = other.table;
    }
  }
  this->SetTableAt(aInstance, newest);
  node.listed = true;
  this->Assign();
}

void
Fleet::SetIsolated(size_t aInstance, bool aIsolated)
{
  this->nodes[aInstance].isolated = aIsolated;
}

bool
Fleet::Reaches(size_t aFrom, size_t aTo) const
{
  return this->nodes[aTo].up && !this->nodes[aFrom].isolated &&
         !this->nodes[aTo].isolated;
}

Micros
Fleet::Delay(size_t aFrom, size_t aTo) const
{
  return this->nodes[aFrom].zone == this->nodes[aTo].zone
           ? this->options.sameZoneDelay
           : this->options.crossZoneDelay;
}

size_t
Fleet::IndexOf(InstanceId aInstance) const
{
  return InstanceAddress(aInstance) - kFirstInstance;
}

// The fabric immediately knows which instances have stopped or are leaving. The
// network loses, duplicates and reorders packets.
void
Fleet::Spray(const Segment& aSegment)
{
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<size_t> up;
  for (size_t i = 0; i < this->nodes.size(); ++i) {
    if (this->nodes[i].up && !this->nodes[i].leaving) {
      up.push_back(i);
    }
  }
  int copies = uniform(this->random) < this->options.copies ? 2 : 1;
  for (int i = 0; i < copies && !up.empty(); ++i) {
    if (uniform(this->random) < this->options.loss) {
      continue;
    }
    Micros extraDelay =
      this->options.reorder == 0
        ? 0
        : static_cast<Micros>(this->random() % this->options.reorder);
    size_t instance = up[this->random() % up.size()];
    this->clock.After(extraDelay, [=, this] {
      this->Deliver(instance, aSegment, false, 0, {});
    });
  }
}

void
Fleet::Deliver(size_t aInstance,
               const Segment& aSegment,
               bool aRelayed,
               int64_t aVersion,
               const Walk& aWalk)
{
  Node& node = this->nodes[aInstance];
  auto engine = node.engines.find(aSegment.service.address);
  if (!node.up || engine == node.engines.end()) {
    return;
  }
  Outbox out;
  engine->second->OnPacket({ .now = this->clock.Now(),
                             .segment = &aSegment,
                             .packet = ToBytes(aSegment),
                             .relayed = aRelayed,
                             .version = aVersion,
                             .walk = aWalk },
                           out);
  this->CarryOut(aInstance, aSegment.service, &aSegment, out);
}

void
Fleet::CarryOut(size_t aFrom,
                const ServiceKey& aService,
                const Segment* aSegment,
                Outbox& aOut)
{
  int64_t version = this->At(aFrom, aService).Version();
  for (Decision& decision : aOut) {
    Segment segment = !decision.packet.empty() ? FromBytes(decision.packet)
                      : aSegment != nullptr    ? *aSegment
                                               : Segment{};
    switch (decision.action) {
      case Action::Forward:
        this->clock.After(this->options.sameZoneDelay, [=, this] {
          this->load.DeliverToServer(decision.server, segment);
        });
        break;
      case Action::Relay: {
        size_t to = this->IndexOf(decision.peer);
        ++this->relays;
        if (this->Reaches(aFrom, to)) {
          this->clock.After(this->Delay(aFrom, to), [=, this] {
            this->Deliver(to, segment, true, version, decision.walk);
          });
        }
        break;
      }
      case Action::Refuse:
      case Action::Reset: {
        bool refuse = decision.action == Action::Refuse;
        this->clock.After(this->options.crossZoneDelay, [=, this] {
          refuse ? this->load.OnRefused(segment.flow)
                 : this->load.OnReset(segment.flow);
        });
        break;
      }
      case Action::SendNote:
        this->SendNote(aFrom, aService, decision);
        break;
      case Action::Drop:
      case Action::Hold:
        break;
    }
  }
}

void
Fleet::SendNote(size_t aFrom,
                const ServiceKey& aService,
                const Decision& aDecision)
{
  size_t to = this->IndexOf(aDecision.peer);
  ++this->notes;
  if (!this->Reaches(aFrom, to)) {
    return;
  }
  Note note = aDecision.note;
  this->clock.After(this->Delay(aFrom, to), [=, this] {
    Node& node = this->nodes[to];
    if (!node.up || !node.engines.contains(aService.address)) {
      return;
    }
    Outbox out;
    this->At(to, aService).OnNote(note, this->clock.Now(), out);
    this->CarryOut(to, aService, nullptr, out);
  });
}

uint64_t
Fleet::Reason(enum Reason aReason) const
{
  uint64_t sum = 0;
  for (const Node& node : this->nodes) {
    for (const auto& [address, engine] : node.engines) {
      sum += engine->Counts().reasons[static_cast<size_t>(aReason)];
    }
  }
  return sum;
}

}
