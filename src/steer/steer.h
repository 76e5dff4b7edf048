// Per-packet decisions of the tagged transport: forward, hold, reset or drop.
// The code has no input or output, clock or thread; the node passes in packets
// and ticks.
#pragma once

#include "steer/admission.h"
#include "steer/placer.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <deque>

namespace gentianspindle::steer {

// What to do with a packet.
enum class Action : uint8_t
{
  Forward,
  Reset, // send a reset to the caller
  Drop,
  Hold, // keep the packet until Release returns it
};

// Reason for a decision, for counters and logs.
enum class Reason : uint8_t
{
  Placed,       // a new flow got a server
  PlacedAgain,  // the flow's first server did not answer
  Repeated,     // retransmitted opening packet, same server
  Known,        // the tag or the flow record gives the server
  NoView,       // configuration or servers are not known yet
  UnknownRoute, // no route has the packet's target
  RouteRemoved, // only an earlier configuration had the route
  NoServer,     // no server of the service takes new flows
  UnknownTag,
  TagNotAllowed, // the route never had the service of the tag's server
  ServerGone,
  NoTag,       // the packet has no tag and its flow no record
  Held,        // the service is at its limit of open flows
  HeldAgain,   // retransmission of a held packet
  HoldFull,    // the service's hold queue is full
  HeldTooLong, // the flow was held for kMaxHoldTime
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)>
  kReasonNames{
    "placed",      "placed_again",    "repeated",      "known",
    "no_view",     "unknown_route",   "route_removed", "no_server",
    "unknown_tag", "tag_not_allowed", "server_gone",   "no_tag",
    "held",        "held_again",      "hold_full",     "held_too_long",
  };

constexpr std::string_view
ReasonName(Reason aReason)
{
  return kReasonNames[static_cast<size_t>(aReason)];
}

// What to do with one packet, and why.
struct Decision
{
  Action action = Action::Drop;
  Reason reason = Reason::NoView;
  ServerIndex server = kNoServer;
  Tag tag = kNoTag;          // to be written into the packet
  bool firstRequest = false; // the packet has the flow's first data
  // If the flow is or was held: how long so far, and the service's open flows
  // and limit.
  Micros waited = 0;
  uint32_t openFlows = 0;
  double flowLimit = 0;
  Placement placement;
};

// How a flow ended, as far as this instance saw.
enum class Outcome : uint8_t
{
  Closed,
  Reset,
  Unanswered, // the server did not answer the opening packet
  Expired,    // no packets for a while, or a new flow with the same ends
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Outcome::Count)>
  kOutcomeNames{ "closed", "reset", "unanswered", "expired" };

// What this instance knows of one open flow.
struct FlowRecord
{
  ServerIndex server = kNoServer;
  uint32_t generation = 0; // of the server
  uint32_t openingSeq = 0; // sequence number of the opening packet
  uint32_t ackBase = 0;    // the caller's first acknowledgement
  Micros placedAt = 0;
  Micros requestAt = 0;    // when the first data was seen
  Micros lastPacketAt = 0; // when the last packet was seen
  bool opening = true;     // the handshake is not yet answered
  // The flow can no longer make its server suspect: it already did, or the
  // process was paused.
  bool suspected = false;
  bool answered = false;    // the response to the first request was seen
  Micros latencyTarget = 0; // of the route
  bool placedHere = false;  // this instance chose the server
  bool counted = false;     // the flow counts against the service's limit
};

// A formerly held packet, and what to do with it now.
struct ReleasedPacket
{
  Packet packet;
  Decision decision;
};

// Handshake or response time of one flow, for histograms.
struct LatencySample
{
  bool handshake = false;
  bool response = false;
  Micros duration = 0;
};

struct FlowSteeringCounts
{
  std::array<uint64_t, static_cast<size_t>(Reason::Count)> reasons{};
  std::array<uint64_t, static_cast<size_t>(Outcome::Count)> outcomes{};
  uint64_t suspected = 0; // times that a flow made its server suspect
};

struct FlowSteeringOptions
{
  PlacerOptions placer;
  bool hold = true; // hold new flows while their service is at its limit
};

// Decides on each packet, and keeps the view, the servers' health, the flow
// records and the held packets that the decisions depend on.
class FlowSteering
{
public:
  explicit FlowSteering(const FlowSteeringOptions& aOptions)
    : options(aOptions)
    , placer(aOptions.placer)
  {
  }

  // Sets how many instances share the servers, this one included.
  void SetInstanceCount(size_t aInstanceCount)
  {
    this->instanceCount = aInstanceCount;
  }

  View& CurrentView() { return this->view; }
  const View& CurrentView() const { return this->view; }

  // aConfigFresh says that the view was confirmed recently, so that a route
  // that it lacks does not exist.
  Decision OnPacket(const Packet& aPacket, bool aConfigFresh, Micros aNow);
  // Returns the next held packet to forward or refuse. Call it after packets
  // and ticks until it returns none.
  std::optional<ReleasedPacket> Release(Micros aNow);
  // Call it often, at least every 50 ms.
  void Tick(Micros aNow);
  // This process was paused. Handshakes that were open meanwhile say nothing
  // about the servers, and servers in backoff may be tried again.
  void OnProcessPause(Micros aNow);

  const FlowSteeringCounts& Counts() const { return this->counts; }
  size_t Flows() const { return this->flows.size(); }
  const ConcurrencyLimit* LimitOf(std::string_view aService) const;
  const ServerHealth& HealthOf(ServerIndex aServer) const
  {
    return this->health[aServer];
  }
  const FlowRecord* FindFlow(const FlowId& aFlow) const;
  // Handshake or response time that ended with the last packet, if one did.
  const LatencySample& LastSample() const { return this->sample; }

private:
  Decision Count(Decision aDecision);
  Decision OnOpening(const Packet& aPacket,
                     const Route* aRoute,
                     bool aConfigFresh,
                     Micros aNow);
  Decision OnRetransmission(const Packet& aPacket,
                            FlowRecord& aRecord,
                            const Route& aRoute,
                            Micros aNow);
  // Places the flow, or holds it if the service is at its limit.
  Decision Admit(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 Micros aNow);
  Decision Place(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 ServerIndex aExcluded,
                 Micros aNow);
  Decision OnFlow(const Packet& aPacket, const Route* aRoute, Micros aNow);
  void TrackProgress(const Packet& aPacket,
                     ServerIndex aServer,
                     Decision& aDecision,
                     Micros aNow);
  void SuspectServer(FlowRecord& aRecord, Micros aNow);
  void Erase(const FlowId& aFlow, Outcome aOutcome);
  void SyncWithView();
  bool SameProcess(const FlowRecord& aRecord) const;
  void ExpireFlows(Micros aNow);
  void ReleaseFromLimit(FlowRecord& aRecord);
  void UpdateLimits(Micros aNow);
  double FlowLimitFloor(std::string_view aService) const;
  static std::string_view PickService(const Route& aRoute, const FlowId& aFlow);

  // Scheduled check of a flow.
  struct FlowTimer
  {
    FlowId flow;
    Micros at = 0; // when the check is due; for handshakes, the placement time
  };
  // Admission state of one service.
  struct ServiceQueue
  {
    ConcurrencyLimit limit;
    HoldQueue holdQueue;
    std::deque<FlowTimer> counted; // by the time when flows cease to count
  };
  ServiceQueue& QueueOf(std::string_view aService);
  ServiceQueue* QueueOf(ServerIndex aServer);
  std::optional<ReleasedPacket> ReleaseFrom(const std::string& aService,
                                            ServiceQueue& aQueue,
                                            Micros aNow);

  FlowSteeringOptions options;
  View view;
  Placer placer;
  std::vector<ServerHealth> health;  // by index in the view
  std::vector<uint32_t> generations; // of the servers that health describes
  uint64_t syncedProcessCount = 0;   // of the view at the last SyncWithView
  absl::flat_hash_map<FlowId, FlowRecord> flows;
  absl::flat_hash_map<std::string, ServiceQueue> queues; // by service
  size_t heldCount = 0;
  size_t instanceCount = 1;
  std::deque<FlowTimer> handshakeTimers; // by placement time
  std::deque<FlowTimer> idleTimers;      // by time of the next idle check
  FlowSteeringCounts counts;
  LatencySample sample;
};

}
