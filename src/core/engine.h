// The decisions for one service at one instance: where each packet goes, and
// whether a new flow is admitted, held or refused. No input or output, clock
// or thread: the driver brings packets, notes and ticks, and carries out the
// decisions.
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

// What becomes of a new flow that finds no free slot.
enum class BusyPolicy : uint8_t
{
  Hold,        // wait for the first server to free a slot
  LeastLoaded, // go to the least occupied server below its connection limit
  Refuse,
};

// Which held flow gets a freed slot.
enum class HoldOrder : uint8_t
{
  OldestFirst,
  NewestFirst,
  // Oldest first while the queue drains in time, else newest first.
  Adaptive,
};

struct EngineOptions
{
  Micros idle = 3600 * kSecond;
  Micros synLifetime = 64 * kSecond;
  Micros handshake = 250 * kMillisecond;
  Micros quiet = 20 * kMillisecond;
  uint32_t halfOpen = 4096; // per owned server
  uint32_t servers = 6;     // candidates of a new flow
  uint32_t held = 256;
  BusyPolicy busy = BusyPolicy::Hold;
  HoldOrder order = HoldOrder::OldestFirst;
  bool usePipeline = true;        // credit for flows on their way
  bool useHealth = true;          // silence and reports keep new flows away
  double walksPerSecond = 20'000; // of packets of unknown flows
};

// Bits of Walk::flags.
using WalkFlag = uint16_t;
constexpr WalkFlag kWalkColdOwner = 1;   // an owner could not say no
constexpr WalkFlag kWalkExhausted = 2;   // all asked; back to the arbiter
constexpr WalkFlag kWalkGranted = 4;     // held SYN for the claiming server
constexpr WalkFlag kWalkAdopt = 8;       // nobody knows the flow; take it over
constexpr WalkFlag kWalkPinned = 16;     // the asker knows the flow's server
constexpr WalkFlag kWalkPinFailed = 32;  // a short cut was wrong; use none
constexpr WalkFlag kWalkBusyServer = 64; // a server was full, not just broken
constexpr WalkFlag kWalkAskedFormer = 512; // the former owner does not know
constexpr WalkFlag kWalkRealigned = 256;   // begun again by another table
constexpr WalkFlag kWalkLookup = 128; // datagram that may be known further on

// Where a packet stands on its way along the lookup order.
struct Walk
{
  uint8_t step = 0;
  uint8_t hops = 0;
  uint16_t flags = 0; // WalkFlag bits
  Address adopt = 0;  // first server whose owner could not say no
  Address server = 0; // server at step, for peers with another table
  InstanceId first = kNoInstance; // first owner asked: the arbiter

  bool Has(WalkFlag aFlag) const { return (this->flags & aFlag) != 0; }
};

enum class NoteKind : uint8_t
{
  Held,  // arbiter: this flow waits for a slot
  Void,  // arbiter: it no longer does
  Claim, // owner: I keep a slot for it
  Found, // owner: this flow is at my server
};

struct Note
{
  NoteKind kind = NoteKind::Held;
  FlowKey flow = 0;
  Address server = 0;
  InstanceId from = kNoInstance;
};

struct Arrival
{
  Micros now = 0;
  const Segment* segment = nullptr;
  std::span<const uint8_t> packet;
  bool relayed = false; // from a peer, with a walk
  int64_t version = 0;  // table version of the peer
  Walk walk;
};

enum class Action : uint8_t
{
  Forward, // to a backend server
  Relay,   // to a peer
  Refuse,  // truthfully "not run": RST or ICMP to the caller
  Reset,   // outcome unknown: RST to the caller
  Drop,
  Hold,
  SendNote,
};

struct Decision
{
  Action action = Action::Drop;
  Reason reason = Reason::None;
  Address server = 0;
  InstanceId peer = kNoInstance;
  Walk walk;
  Note note;
  // Packet that was held; empty where the arriving packet is meant.
  std::vector<uint8_t> packet;
};

// A flow on its way to the next owner of a server.
struct HandedFlow
{
  FlowKey key = 0;
  Address server = 0; // where the flow is
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
  uint64_t adopted = 0;
  uint64_t held = 0;
  uint64_t granted = 0;
  uint64_t claimsVoid = 0;
  uint64_t claimsLost = 0;
  std::array<uint64_t, static_cast<size_t>(Reason::Count)> reasons{};
};

class Engine
{
public:
  Engine(const EngineOptions& aOptions, InstanceId aSelf);

  // Puts a version of the service in force. aIsNew: no flow of it can exist
  // yet. Owners have to be set again after this.
  void SetService(const Service& aService,
                  int64_t aVersion,
                  bool aIsNew,
                  Micros aNow);

  // Owner of each of Servers(), in their order. aOwnersWithoutSelf: what the
  // owners would be without this instance, so who owned a server before it
  // came. aReachable: instances that answer, leaving ones included.
  void SetOwners(std::span<const InstanceId> aOwners,
                 std::span<const InstanceId> aOwnersWithoutSelf,
                 std::span<const InstanceId> aReachable,
                 Micros aNow);

  // All servers whose flows may live, removed ones included.
  std::span<const ServerState> Servers() const { return this->servers; }

  void OnPacket(const Arrival& aArrival, Outbox& aOut);
  void OnNote(const Note& aNote, Micros aNow, Outbox& aOut);
  void OnTick(Micros aNow, Outbox& aOut);

  // Health or load report of a backend server; a second witness only.
  void OnReport(Address aServer, bool aDown);

  // After a pause of this instance nothing it owns is warm any more.
  void InvalidateKnowledge(Micros aNow);

  // Flows of aServer that its next owner cannot guess: those not at their
  // default server, those with an open request, and marks.
  std::vector<HandedFlow> Exceptions(Address aServer) const;
  // Present owner of aServer; kNoInstance where there is none.
  InstanceId OwnerOf(Address aServer) const;
  // Does this instance know enough of aServer to make a successor know?
  bool KnowsAll(Address aServer, Micros aNow) const;
  // A part of what the former owner of aServer knew; aLast: now all of it.
  // False where this instance does not own it, or not yet.
  bool AcceptHandOver(Address aServer,
                      std::span<const HandedFlow> aFlows,
                      bool aLast,
                      Micros aNow);

  const FlowTable& Flows() const { return this->flows; }
  const EngineCounts& Counts() const { return this->counts; }
  const Service& Current() const { return this->service; }
  int64_t Version() const { return this->version; }
  size_t HeldNow() const { return this->held.size(); }

  // Servers to ask for a flow, in order.
  using Order = absl::InlinedVector<ServerIndex, 16>;
  Order LookupOrder(FlowKey aFlow) const;

private:
  struct HeldSyn
  {
    std::vector<uint8_t> packet;
    Segment segment;
    Walk walk;
    Micros deadline = 0;
  };
  struct ClaimableFlow
  {
    InstanceId arbiter = kNoInstance;
    Micros expires = 0;
  };
  struct OpenClaim
  {
    ServerIndex server = kNoServer;
    Micros claimedAt = 0;
  };
  struct PacketContext; // one packet on its way through this instance

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
  // Puts the flow into the table, in place of what stood there.
  FlowIndex PutFlow(FlowKey aFlow,
                    ServerIndex aServer,
                    FlowState aState,
                    Micros aNow);
  void Count(Reason aReason);
  void EnsureServer(const ServerRow& aRow, Knowledge aKnowledge);
  Ranking MakeRanking(std::span<const ServerRow> aRows) const;
  bool HasPassedOn(const PacketContext& aContext) const;

  // walk.cpp, handover.cpp
  void ContinueWalk(PacketContext& aContext);
  bool HandleKnownFlow(PacketContext& aContext, FlowIndex aFlow);
  bool HandleDirectedPacket(PacketContext& aContext);
  void Realign(PacketContext& aContext);
  void Restart(PacketContext& aContext, WalkFlag aCause);
  bool AskFormerOwner(PacketContext& aContext, const ServerState& aServer);
  void RecordColdOwner(PacketContext& aContext, ServerIndex aServer);
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
  uint32_t CountAskedServers(const PacketContext& aContext) const;

  // hold.cpp: late binding
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
  int64_t version = 0;
  std::vector<ServerState> servers;
  absl::flat_hash_map<Address, ServerIndex> serverIndexes;
  Ranking ranking;
  std::vector<Ranking> former;
  FlowTable flows;
  absl::flat_hash_map<FlowKey, HeldSyn> held;
  std::deque<FlowKey> heldOrder; // by deadline
  absl::flat_hash_map<FlowKey, ClaimableFlow> claimable;
  absl::flat_hash_map<FlowKey, OpenClaim> claims;
  std::deque<FlowKey> claimOrder; // by expiry
  EngineCounts counts;
  Timing timing;
  double walkTokens = 0;
  Micros walkTokensAt = 0;
  uint32_t ownedServers = 0;
  bool trustReports = true;
};

}
