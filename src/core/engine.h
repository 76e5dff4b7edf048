// The engine decides for one service at one instance where each packet goes,
// and whether a new flow is admitted, held or refused. It does no input or
// output and has no clock or thread: its driver passes in packets, notes and
// ticks, and carries out the decisions.
#pragma once

#include "core/flows.h"
#include "core/rank.h"
#include "core/server.h"
#include "wire/packet.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"

#include <deque>
#include <span>
#include <vector>

namespace gentianspindle {

// What happens to a new flow when no candidate server has a free slot.
enum class BusyPolicy : uint8_t
{
  // It waits at its arbiter until a candidate server frees a slot, for
  // Service::waitMs at most. It is treated as with Refuse where waitMs is 0,
  // kWalkBusyServer is not set, EngineOptions::held flows are held already, or
  // the wait has ended.
  Hold,
  // It goes to the server with the fewest occupied slots among all servers in
  // its lookup order that the arbiter owns, that accept new flows and that are
  // below their connection limit.
  LeastLoaded,
  Refuse, // it is refused at once, or dropped if kWalkMayHaveFlow is set
};

// Which held flow gets a freed slot.
enum class HoldOrder : uint8_t
{
  OldestFirst,
  NewestFirst,
  // Oldest first while the queue drains in time; newest first once the oldest
  // flow has waited for more than half of its time.
  Adaptive,
};

struct EngineOptions
{
  // An established flow without packets is evicted after this time. An owner
  // that began cold counts as warm after it, as all unknown flows have expired.
  Micros idle = 3600 * kSecond;
  // A caller may retransmit a SYN for this time. Half-open flows and records of
  // passed-on SYNs are evicted after it.
  Micros synLifetime = 64 * kSecond;
  // A flow whose handshake is not finished occupies a slot for this time; so
  // does a flow that has not sent its first request.
  Micros handshake = 250 * kMillisecond;
  // A response counts as complete when the caller has sent no packet for this
  // time.
  Micros quiet = 20 * kMillisecond;
  // Max. half-open flows per owned server, connecting ones included. The limit
  // is one total for all servers of the service.
  uint32_t halfOpen = 4096;
  // Max. candidate servers of a new flow: the first ones in its lookup order
  // that accept new flows.
  uint32_t servers = 6;
  uint32_t held = 256; // max. held flows
  BusyPolicy busy = BusyPolicy::Hold;
  HoldOrder order = HoldOrder::OldestFirst;
  bool usePipeline = true; // admit more flows than slots, see Timing::Pipeline
  bool useHealth = true;   // keep new flows from servers that seem to be down
  // Max. lookups of unknown flows that this instance relays to other owners as
  // the first one asked.
  double walksPerSecond = 20'000;
};

// Bits of Walk::flags. They go over the wire.
using WalkFlag = uint16_t;
// The walk met a server without a reachable owner or, with a new flow, an owner
// that became cold so recently that a former owner may have forwarded the SYN.
// So a server may already have this flow.
constexpr WalkFlag kWalkMayHaveFlow = 1;
// The walk passed all candidates without admitting the flow; the arbiter
// applies the busy policy.
constexpr WalkFlag kWalkExhausted = 2;
// The packet is a held SYN, or first UDP datagram, that its arbiter grants to
// the claiming owner.
constexpr WalkFlag kWalkGranted = 4;
// No owner knows the flow; the receiver adopts it.
constexpr WalkFlag kWalkAdopt = 8;
// The sender knows the flow's server and relays straight to its owner.
constexpr WalkFlag kWalkPinned = 16;
// The owner that the packet was pinned to does not know the flow. The walk
// started again; it is neither pinned again nor relayed to a former owner.
constexpr WalkFlag kWalkPinFailed = 32;
// A healthy server was full, or an owner had passed on an earlier copy of the
// packet, so waiting for a slot can help.
constexpr WalkFlag kWalkBusyServer = 64;
// The packet has been relayed to the former owner of a server, which happens
// once in a walk at most. If it comes back unpinned, that owner does not know
// the flow.
constexpr WalkFlag kWalkAskedFormer = 512;
// The lookup of an established flow, or the walk of any UDP datagram, started
// again, because the sender had other rows of the service. It starts again for
// this reason only once.
constexpr WalkFlag kWalkRealigned = 256;
// A UDP datagram that met a cold owner. It is looked up like a packet of an
// established flow; if no owner knows its flow, it is adopted, not admitted.
constexpr WalkFlag kWalkLookup = 128;

// The state of a packet's walk: instances ask the owners of the servers in
// lookup order, and relay the packet to the next owner where needed.
struct Walk
{
  uint8_t step = 0;   // index in the lookup order
  uint8_t hops = 0;   // relays between instances so far
  uint16_t flags = 0; // WalkFlag bits
  // First server that may have the flow although no owner asked so far knows
  // it: its owner is unreachable, or knows none or only the exceptions of the
  // server's flows. 0 if there is none.
  Address adopt = 0;
  Address server = 0; // server at step, for peers with other rows
  // Owner that was asked first. It is the arbiter of a new flow: it alone may
  // hold, grant or refuse it.
  InstanceId first = kNoInstance;

  bool Has(WalkFlag aFlag) const { return (this->flags & aFlag) != 0; }
};

enum class NoteKind : uint8_t
{
  Held, // from an arbiter: the flow is held and waits for a slot
  // From an arbiter: the flow was granted to another owner, or the receiver's
  // claim gets no grant, as the flow is not held or the server not known there.
  Void,
  Claim, // from an owner: it reserves a slot for the held flow
  Found, // from an owner to the flow's replica: the flow is at its server
};

// A message between instances about one flow.
struct Note
{
  NoteKind kind = NoteKind::Held;
  FlowKey flow = 0;
  Address server = 0; // of a Claim or Found note, otherwise 0
  // Sender. The message does not carry it: the receiving driver sets it to the
  // source of the datagram.
  InstanceId from = kNoInstance;
};

// A packet that reached this instance, from a caller or from a peer.
struct Arrival
{
  Micros now = 0;
  const Segment* segment = nullptr;
  std::span<const uint8_t> packet;
  bool relayed = false; // a peer sent it, with its walk
  int64_t version = 0;  // Engine::Version() at that peer
  Walk walk;
};

enum class Action : uint8_t
{
  Forward, // to a backend server
  Relay,   // to a peer
  // RST or, for UDP, ICMP to the caller. No server has seen the flow, except
  // perhaps with BusyPolicy::LeastLoaded, which doesn't check kWalkMayHaveFlow.
  Refuse,
  // RST to the caller, nothing for UDP; a server may have run the request.
  Reset,
  Drop,     // no answer to the caller
  Hold,     // the packet stays here until a slot is free
  SendNote, // a note to a peer
};

// What the driver has to do. Only the members that the action needs are set.
struct Decision
{
  Action action = Action::Drop;
  Reason reason = Reason::None;
  Address server = 0;
  InstanceId peer = kNoInstance;
  Walk walk;
  Note note;
  // The held packet; empty where the decision is about the arriving packet.
  std::vector<uint8_t> packet;
};

// An entry of the flow table that the former owner of a server sends to the
// next owner; see Flow for the members.
struct HandedFlow
{
  FlowKey key = 0;
  Address server = 0; // address of Flow::server
  FlowState state = FlowState::Idle;
  uint32_t sentEnd = 0;
  uint32_t ackBase = 0;
  uint32_t lastAck = 0;
  uint16_t passedSteps = 0;
  bool finSeen = false;
};

using Outbox = absl::InlinedVector<Decision, 4>;

struct EngineCounts
{
  uint64_t admitted = 0;
  // Flows accepted without their SYN, or UDP flows after a failed lookup.
  uint64_t adopted = 0;
  uint64_t held = 0;
  uint64_t granted = 0;    // flows held here that were granted, also to peers
  uint64_t claimsVoid = 0; // own claims that were answered by a Void note
  // Own claims that timed out, and grants that arrived without a claim when no
  // slot was free.
  uint64_t claimsLost = 0;
  std::array<uint64_t, static_cast<size_t>(Reason::Count)> reasons{};
};

class Engine
{
public:
  Engine(const EngineOptions& aOptions, InstanceId aSelf);

  // Applies the rows of the service. aVersion tells different rows apart: peers
  // with equal rows have the same number, which is not 0. It need not grow; the
  // daemon takes a hash of the service. With aIsNew no flow of the service can
  // exist yet. SetOwners has to be called again after this.
  void SetService(const Service& aService,
                  int64_t aVersion,
                  bool aIsNew,
                  Micros aNow);

  // Sets the owner of each of Servers(), in their order. aOwnersWithoutSelf
  // are the owners if this instance did not exist, so those that owned the
  // servers before it joined. aReachable are the instances that respond,
  // including leaving ones.
  void SetOwners(std::span<const InstanceId> aOwners,
                 std::span<const InstanceId> aOwnersWithoutSelf,
                 std::span<const InstanceId> aReachable,
                 Micros aNow);

  // All servers that the service has had, removed servers included. Entries are
  // never removed, so the index of a server stays the same.
  std::span<const ServerState> Servers() const { return this->servers; }

  void OnPacket(const Arrival& aArrival, Outbox& aOut);
  void OnNote(const Note& aNote, Micros aNow, Outbox& aOut);
  void OnTick(Micros aNow, Outbox& aOut);

  // Applies a report that a backend server is down or up. A report alone does
  // not keep new flows from a server whose flows make progress.
  void OnReport(Address aServer, bool aDown);

  // Sets what is known about the flows of all servers to Knowledge::None, so
  // this instance is a cold owner of those that it owns. During a process pause
  // its peers may have owned them.
  void InvalidateKnowledge(Micros aNow);

  // Entries that the next owner of aServer can't derive from the ranking:
  // flows of aServer that have another default server or are neither idle nor
  // closing, and flows whose default server is aServer but that are at another
  // server or were passed on.
  std::vector<HandedFlow> Exceptions(Address aServer) const;
  // Current owner of aServer; kNoInstance where there is none.
  InstanceId OwnerOf(Address aServer) const;
  // True where this instance knows at least the exceptions of aServer, so that
  // its hand-over gives the next owner all that it needs. Callers ask before
  // SetOwners gives aServer to another instance, as that sets Knowledge::None.
  bool KnowsExceptions(Address aServer, Micros aNow) const;
  // Adds a part of the former owner's Exceptions(aServer); aLast says that it
  // is the last part. False where this instance does not own aServer yet.
  bool AcceptHandOver(Address aServer,
                      std::span<const HandedFlow> aFlows,
                      bool aLast,
                      Micros aNow);

  const FlowTable& Flows() const { return this->flows; }
  const EngineCounts& Counts() const { return this->counts; }
  const Service& Current() const { return this->service; }
  // The number that SetService got last; 0 before.
  int64_t Version() const { return this->version; }
  size_t HeldNow() const { return this->held.size(); }

  // Servers that may have the flow, in the order in which they are asked:
  // by the current ranking, then by former ones.
  using Order = absl::InlinedVector<ServerIndex, 16>;
  Order LookupOrder(FlowKey aFlow) const;

private:
  // A SYN, or first UDP datagram, that this instance holds as the flow's
  // arbiter.
  struct HeldSyn
  {
    std::vector<uint8_t> packet;
    Segment segment;
    Walk walk;
    Micros deadline = 0;
  };
  // A flow that its arbiter holds and for which a server of this instance may
  // be a candidate.
  struct ClaimableFlow
  {
    InstanceId arbiter = kNoInstance;
    Micros expires = 0;
  };
  // A slot that this instance reserved for a flow which a peer holds, until the
  // peer answers or the claim times out.
  struct OpenClaim
  {
    ServerIndex server = kNoServer;
    Micros claimedAt = 0;
  };
  struct PacketContext; // see packet_context.h

  // aFlow of type FlowIndex is an index in the flow table, of type FlowKey the
  // key of a flow.

  // Servers and flow entries: engine.cpp, handover.cpp; MarkStragglers:
  // hold.cpp; HasPassedOn: walk.cpp.
  bool IsOwnedHere(ServerIndex aServer) const;
  bool MayHaveForwardedSyn(const ServerState& aServer, Micros aNow) const;
  bool MayServeUnknownFlow(const PacketContext& aContext,
                           ServerIndex aServer) const;
  bool IsPlacedHere(FlowIndex aFlow) const;
  bool IsFormerDefault(FlowKey aFlow, ServerIndex aServer) const;
  ServerIndex FindServer(Address aAddress) const;
  void SetState(FlowIndex aFlow, FlowState aState);
  void UpdateServerCounts(const Flow& aFlow, int aSign);
  bool HasFreeSlot(const ServerState& aServer, Micros aNow) const;
  void MarkStraggler(FlowIndex aFlow);
  void MarkStragglers(Micros aNow);
  void EraseFlow(FlowIndex aFlow);
  // Inserts the flow into the flow table, or replaces its entry there.
  FlowIndex PutFlow(FlowKey aFlow,
                    ServerIndex aServer,
                    FlowState aState,
                    Micros aNow);
  void Count(Reason aReason);
  void EnsureServer(const ServerRow& aRow, Knowledge aKnowledge);
  Ranking MakeRanking(std::span<const ServerRow> aRows) const;
  bool HasPassedOn(const PacketContext& aContext) const;

  // Walks: walk.cpp, handover.cpp.
  void ContinueWalk(PacketContext& aContext);
  bool HandleKnownFlow(PacketContext& aContext, FlowIndex aFlow);
  bool HandleDirectedPacket(PacketContext& aContext);
  void Realign(PacketContext& aContext);
  void Restart(PacketContext& aContext, WalkFlag aCause);
  bool AskFormerOwner(PacketContext& aContext, const ServerState& aServer);
  void RecordForAdoption(PacketContext& aContext, ServerIndex aServer);
  bool TryToAdmit(PacketContext& aContext, ServerIndex aServer);
  void OnFlowNotFound(PacketContext& aContext);
  void OnNoFreeSlot(PacketContext& aContext);
  void Forward(PacketContext& aContext, FlowIndex aFlow);
  void ForwardNew(PacketContext& aContext, ServerIndex aServer);
  InstanceId PickReplica(const PacketContext& aContext) const;
  void Adopt(PacketContext& aContext, ServerIndex aServer);
  void RecordPassOn(PacketContext& aContext, Reason aReason);
  void RelayTo(PacketContext& aContext, InstanceId aPeer);
  void Drop(PacketContext& aContext, Reason aReason);
  void Refuse(PacketContext& aContext, Reason aReason);
  bool TakeWalkToken(Micros aNow);
  uint32_t CountCandidatesBeforeStep(const PacketContext& aContext) const;

  // Held flows and expiry: hold.cpp; LimitHalfOpen: engine.cpp.
  void Hold(PacketContext& aContext);
  void AdmitToLeastLoaded(PacketContext& aContext);
  void NotifyCandidateOwners(NoteKind aKind,
                             FlowKey aFlow,
                             InstanceId aExcept,
                             Outbox& aOut);
  void AddClaimable(FlowKey aFlow, InstanceId aArbiter, Micros aNow);
  void ClaimForFreeSlots(Micros aNow, Outbox& aOut);
  bool ClaimNext(ServerIndex aServer, Micros aNow, Outbox& aOut);
  FlowKey TakeClaimable(ServerState& aServer,
                        Micros aNow,
                        ClaimableFlow& aClaimable);
  void OnClaim(const Note& aNote, Micros aNow, Outbox& aOut);
  void OnVoid(const Note& aNote);
  void OnFound(const Note& aNote, Micros aNow);
  void Grant(FlowKey aFlow,
             ServerIndex aServer,
             InstanceId aClaimant,
             Micros aNow,
             Outbox& aOut);
  void ExpireHeld(Micros aNow, Outbox& aOut);
  void ExpireClaims(Micros aNow);
  void ExpireFlows(Micros aNow);
  void LimitHalfOpen();

  EngineOptions options;
  InstanceId self;
  Service service;
  int64_t version = 0; // see SetService
  std::vector<ServerState> servers;
  absl::flat_hash_map<Address, ServerIndex> serverIndexes;
  Ranking ranking;
  std::vector<Ranking> former; // rankings by former rows, newest first
  FlowTable flows;
  absl::flat_hash_map<FlowKey, HeldSyn> held;
  // Keys of held, in the order in which they were added; some may no longer be
  // held.
  std::deque<FlowKey> heldOrder;
  absl::flat_hash_map<FlowKey, ClaimableFlow> claimable;
  absl::flat_hash_map<FlowKey, OpenClaim> claims;
  // Keys of claims, oldest first; some may no longer have a claim.
  std::deque<FlowKey> claimOrder;
  EngineCounts counts;
  Timing timing;
  double walkTokens = 0; // token bucket of walksPerSecond
  Micros walkTokensAt = 0;
  uint32_t ownedServerCount = 0;
  bool trustReports = true; // at most half of the servers are reported down
};

}
