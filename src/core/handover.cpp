// Flows that began before this instance owned their server. An owner gets to
// know them by hand-over from the former owner, by relaying packets to it, or
// by adopting flows that no owner knows.
#include "core/packet_context.h"

#include <algorithm>

namespace gentianspindle {

// True where a former owner may have forwarded a SYN to aServer that the caller
// still retransmits.
bool
Engine::MayHaveForwardedSyn(const ServerState& aServer, Micros aNow) const
{
  return aServer.knowledge == Knowledge::None &&
         aNow - aServer.ownedSince < this->options.synLifetime;
}

// True where the packet's flow may be at aServer although the flow table has no
// entry of it, or one in the state Passed only. It is not there if its SYN was
// passed on at this step. After a hand-over the only unknown flows are those at
// their default server, by the current ranking or by a former one. Unknown
// flows expire within the idle time.
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

// True where a former ranking has aServer as the flow's default server.
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

// True where the flow's state is that of a flow at a server of this instance.
// The server may have another owner by now, see Exceptions.
bool
Engine::IsPlacedHere(FlowIndex aFlow) const
{
  FlowState state = this->flows.At(aFlow).state;
  return state != FlowState::Passed && state != FlowState::Elsewhere;
}

// Relays the packet to the former owner of aServer, which knows more until its
// hand-over has arrived. While the former owner considers itself the owner, it
// alone admits flows: if both instances admitted, neither would know the
// other's flows. Once it knows of the new owner it relays packets back, with
// the server of each flow that it knows.
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

// Picks the replica, the second instance that stores the flow, so that the
// failure of one instance loses no flow: the instance that was asked first or,
// if that is this one, the first other owner in the lookup order. The arbiter
// already knows a flow that it granted. A flow at its default server needs no
// replica, as the ranking finds it; if another instance was asked first, that
// one becomes its replica all the same.
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

// Forwards the packet to aServer and records its flow, which began before this
// instance owned aServer or, with UDP, may be new. ICMP errors and packets with
// RST or SYN record none.
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
Engine::KnowsExceptions(Address aServer, Micros aNow) const
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
      // After the change of owner, the first packet of a flow of the released
      // server sets the flow's state to Elsewhere.
      bool here = !passed && flow.server == server && !(isDefault && derivable);
      // The next owner of the default server must know the flow's server.
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
