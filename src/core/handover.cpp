// What an owner knows of flows that began before it owned their server, and
// how it learns more: hand-over, asking the former owner, adoption.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

// A former owner may have forwarded a SYN that the caller still retransmits.
bool
Engine::MayHaveForwardedSyn(const ServerState& aServer, Micros aNow) const
{
  return aServer.knowledge == Knowledge::None &&
         aNow - aServer.ownedSince < this->options.synLifetime;
}

// The flow is not in the table here. Could it be at aServer all the same?
// After a hand-over only flows at their default server are not known, by the
// present ranking or by a former one.
bool
Engine::MayServeUnknownFlow(const PacketContext& aContext,
                            ServerIndex aServer) const
{
  const ServerState& server = this->servers[aServer];
  bool settled = server.knowledge == Knowledge::All ||
                 aContext.Now() - server.ownedSince >= this->options.idle;
  if (settled || this->HasPassedOn(aContext)) {
    return false;
  }
  return server.knowledge == Knowledge::None || aContext.order[0] == aServer ||
         this->IsFormerDefault(aContext.Flow(), aServer);
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

// Until the hand-over has arrived, the former owner knows best. As long as its
// view makes it the owner, it also admits; were both to admit, each would say
// "no" for the other's flows. Once its view has changed it sends a flow that
// it knows back with its server, and the rest as it came.
bool
Engine::AskFormerOwner(PacketContext& aContext, const ServerState& aServer)
{
  bool ask = aServer.knowledge == Knowledge::None &&
             aServer.formerOwner != kNoInstance &&
             !aContext.walk.Has(kWalkAskedFormer) &&
             !aContext.walk.Has(kWalkPinFailed);
  if (!ask) {
    return false;
  }
  aContext.walk.flags |= kWalkAskedFormer;
  this->RelayTo(aContext, aServer.formerOwner);
  return true;
}

// A flow at its default server is found without any state. Of the others,
// two instances know: the one that owns the server and the one that was asked
// first, or, where both are this one, the next owner on the walk. So the
// death of one instance loses none.
InstanceId
Engine::PickReplica(const PacketContext& aContext) const
{
  const Walk& walk = aContext.walk;
  if (walk.first != this->self) {
    return walk.Has(kWalkGranted) ? kNoInstance : walk.first;
  }
  for (size_t i = 0; walk.step > 0 && i < aContext.order.size(); ++i) {
    InstanceId owner = this->servers[aContext.order[i]].owner;
    if (owner != this->self && owner != kNoInstance) {
      return owner;
    }
  }
  return kNoInstance;
}

// Goes on with a flow that began before this instance owned its server.
void
Engine::Adopt(PacketContext& aContext, ServerIndex aServer)
{
  const Segment& packet = aContext.Packet();
  ServerState& server = this->servers[aServer];
  bool shouldRecord = !packet.icmpError && (packet.flags & kTcpRst) == 0 &&
                      (packet.flags & kTcpSyn) == 0;
  if (!shouldRecord) {
    aContext.out.push_back(
      { .action = Action::Forward, .server = server.row.address });
    return;
  }
  FlowIndex flow =
    this->PutFlow(aContext.Flow(), aServer, FlowState::Idle, aContext.Now());
  this->flows.At(flow).adopted = true;
  ++this->counts.adopted;
  this->Forward(aContext, flow);
}

void
Engine::InvalidateKnowledge(Micros aNow)
{
  for (ServerState& server : this->servers) {
    server.knowledge = Knowledge::None;
    server.ownedSince = aNow;
  }
}

InstanceId
Engine::OwnerOf(Address aServer) const
{
  ServerIndex index = this->FindServer(aServer);
  return index == kNoServer ? kNoInstance : this->servers[index].owner;
}

bool
Engine::KnowsAll(Address aServer, Micros aNow) const
{
  ServerIndex index = this->FindServer(aServer);
  return index != kNoServer &&
         (this->servers[index].knowledge != Knowledge::None ||
          aNow - this->servers[index].ownedSince >= this->options.idle);
}

std::vector<HandedFlow>
Engine::Exceptions(Address aServer) const
{
  std::vector<HandedFlow> found;
  ServerIndex server = this->FindServer(aServer);
  for (size_t i = 0; i < kFlowStates; ++i) {
    auto state = static_cast<FlowState>(i);
    bool derivable = state == FlowState::Idle || state == FlowState::Closing;
    FlowIndex index = this->flows.Oldest(state);
    for (; index != kNoFlow; index = this->flows.At(index).next) {
      const Flow& flow = this->flows.At(index);
      Order order = this->LookupOrder(flow.key);
      bool isDefault = !order.empty() && order[0] == server;
      bool placed = this->IsPlacedHere(index);
      bool passed = state == FlowState::Passed;
      // A flow at the server given away counts as being elsewhere from the
      // first packet after the change of owner.
      bool here = !passed && flow.server == server && !(isDefault && derivable);
      // The successor of the default server has to know where else to send.
      bool redirect = isDefault && flow.server != server;
      FlowState handed = state;
      if (redirect && placed) {
        handed = FlowState::Elsewhere;
      } else if (here && !placed) {
        handed = FlowState::Idle;
      }
      if (here || redirect || (isDefault && passed)) {
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
Engine::AcceptHandOver(Address aServer,
                       std::span<const HandedFlow> aFlows,
                       bool aLast,
                       Micros aNow)
{
  ServerIndex server = this->FindServer(aServer);
  if (server == kNoServer || !this->IsOwnedHere(server)) {
    return false;
  }
  for (const HandedFlow& flow : aFlows) {
    ServerIndex flowServer = this->FindServer(flow.server);
    FlowIndex known = this->flows.Find(flow.key);
    bool accept = known == kNoFlow || (flow.state != FlowState::Passed &&
                                       !this->IsPlacedHere(known));
    if (flowServer == kNoServer || !accept) {
      continue;
    }
    FlowIndex index = this->PutFlow(flow.key, flowServer, flow.state, aNow);
    Flow& copy = this->flows.At(index);
    copy.requestAt = aNow;
    copy.sentEnd = flow.sentEnd;
    copy.ackBase = flow.ackBase;
    copy.lastAck = flow.lastAck;
    copy.passedSteps = flow.passedSteps;
    copy.finSeen = flow.finSeen;
  }
  if (aLast && this->servers[server].knowledge == Knowledge::None) {
    this->servers[server].knowledge = Knowledge::Exceptions;
    this->servers[server].formerOwner = kNoInstance;
  }
  return true;
}

}
