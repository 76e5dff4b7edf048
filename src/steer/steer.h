// The decisions of the tagged transport: what becomes of each packet. No input
// or output, clock or thread; the driver brings packets and ticks.
#pragma once

#include "steer/admission.h"
#include "steer/placer.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <deque>

namespace gentianspindle::steer {

enum class Action : uint8_t
{
  Forward,
  Reset, // to the caller
  Drop,
  Hold, // the driver keeps the packet until Release or the end of the hold
};

// Why, for counters and logs.
enum class Reason : uint8_t
{
  Placed,      // new flow
  PlacedAgain, // the first server did not answer
  Repeated,    // copy of an opening packet, same server
  Known,       // by its tag
  NoView,      // nothing is known yet
  UnknownRoute,
  RouteRemoved,
  NoServer, // the service has no server to go to
  UnknownTag,
  TagNotAllowed, // the route never led to the tag's server
  ServerGone,
  NoTag,     // neither tag nor record
  Held,      // the service's servers are busy
  HeldAgain, // copy of a held packet
  HoldFull,
  HeldTooLong,
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

struct Decision
{
  Action action = Action::Drop;
  Reason reason = Reason::NoView;
  ServerIndex server = kNoServer;
  Tag tag = kNoTag;          // to be written into the packet
  bool firstRequest = false; // the packet has the flow's first data
  // Of a flow that is or was held: the bound that held it.
  Micros waited = 0;
  uint32_t openFlows = 0;
  double flowLimit = 0;
  Placement placement;
};

// How a flow that ended looked to this instance.
enum class Outcome : uint8_t
{
  Closed,
  Reset,
  Unanswered, // the opening packet was in vain
  Expired,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Outcome::Count)>
  kOutcomeNames{ "closed", "reset", "unanswered", "expired" };

struct FlowRecord
{
  ServerIndex server = kNoServer;
  uint32_t generation = 0; // of the server
  uint32_t openingSeq = 0;
  uint32_t ackBase = 0; // the caller's first acknowledgement
  Micros placedAt = 0;
  Micros requestAt = 0; // first data seen
  Micros lastAt = 0;
  bool opening = true;    // no answer seen yet
  bool suspected = false; // counted against the server
  bool answered = false;
  Micros latencyTarget = 0; // of the route
  bool placedHere = false;
  bool counted = false; // against the service's bound
};

// A held packet whose time has come.
struct ReleasedPacket
{
  Packet packet;
  Decision decision;
};

// Times that callers saw, for the driver's histograms.
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
  uint64_t suspected = 0;
};

struct FlowSteeringOptions
{
  PlacerOptions placer;
  bool hold = true; // callers wait here while the servers are busy
};

class FlowSteering
{
public:
  explicit FlowSteering(const FlowSteeringOptions& aOptions)
    : options(aOptions)
    , placer(aOptions.placer)
  {
  }

  // How many instances share the servers, this one included.
  void SetInstanceCount(size_t aInstanceCount)
  {
    this->instanceCount = aInstanceCount;
  }

  View& CurrentView() { return this->view; }
  const View& CurrentView() const { return this->view; }

  // aFresh: the view is known to be up to date, so that an unknown route
  // truly does not exist.
  Decision OnPacket(const Packet& aPacket, bool aFresh, Micros aNow);
  // The next held packet to send on or to refuse; call until there is none,
  // after packets and ticks.
  std::optional<ReleasedPacket> Release(Micros aNow);
  // Call often, at least every 50 ms.
  void Tick(Micros aNow);
  // This instance stood still: what was open then says nothing about the
  // servers.
  void OnProcessPause(Micros aNow);

  const FlowSteeringCounts& Counts() const { return this->counts; }
  size_t Flows() const { return this->flows.size(); }
  const ConcurrencyLimit* LimitOf(std::string_view aService) const;
  const ServerHealth& HealthOf(ServerIndex aServer) const
  {
    return this->health[aServer];
  }
  const FlowRecord* FindFlow(const FlowId& aFlow) const;
  // Handshake or response time that the last packet showed.
  const LatencySample& LastSample() const { return this->sample; }

private:
  Decision Count(Decision aDecision);
  Decision OnOpening(const Packet& aPacket,
                     const Route* aRoute,
                     bool aFresh,
                     Micros aNow);
  Decision OnRetransmission(const Packet& aPacket,
                            FlowRecord& aRecord,
                            const Route& aRoute,
                            Micros aNow);
  // Places the flow, or holds it where the service is busy.
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
  double ShareOfSlots(std::string_view aService) const;
  static std::string_view PickService(const Route& aRoute, const FlowId& aFlow);

  struct FlowTimer
  {
    FlowId flow;
    Micros at = 0;
  };
  struct ServiceQueue
  {
    ConcurrencyLimit limit;
    HoldQueue holdQueue;
    std::deque<FlowTimer> counted; // when flows count no more
  };
  ServiceQueue& QueueOf(std::string_view aService);
  ServiceQueue* QueueOf(ServerIndex aServer);
  std::optional<ReleasedPacket> ReleaseFrom(const std::string& aService,
                                            ServiceQueue& aQueue,
                                            Micros aNow);

  FlowSteeringOptions options;
  View view;
  Placer placer;
  std::vector<ServerHealth> health;  // by place in the view
  std::vector<uint32_t> generations; // of the evidence
  uint64_t processCount = 0;         // of the view, when last followed
  absl::flat_hash_map<FlowId, FlowRecord> flows;
  absl::flat_hash_map<std::string, ServiceQueue> queues; // by service
  size_t heldCount = 0;
  size_t instanceCount = 1;
  std::deque<FlowTimer> handshakeTimers; // by time of placing
  std::deque<FlowTimer> idleTimers;      // by time of the next look
  FlowSteeringCounts counts;
  LatencySample sample;
};

}
