// Per-packet decisions of the tagged transport: forward, hold, reset or drop.
// The code does no I/O, reads no clock and starts no threads: the node passes
// in packets, ticks and the time.
#pragma once

#include "steer/admission.h"
#include "steer/placer.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"

#include <array>
#include <deque>

namespace gentianspindle::steer {

// The record of a flow without packets for this time is erased, so that the
// flow no longer counts as open at its server. Later packets still find the
// server by their tag.
constexpr Micros kQuietTime = 5 * kSecond;

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
  Placed,        // a new flow got a server
  PlacedAgain,   // its first server did not answer or takes no new flows
  Repeated,      // retransmitted opening packet, same server
  Known,         // the tag or the flow record gives the server
  NoView,        // configuration or servers are not known yet
  UnknownRoute,  // no route has the packet's target
  RouteRemoved,  // only an earlier configuration had the route
  NoServer,      // no server of the service takes new flows, or only one that
                 // did not answer this flow
  UnknownTag,    // no server of the view has the packet's tag
  TagNotAllowed, // the route does not allow the service of the tag's server
  ServerGone,    // the flow's server is RegistryState::Gone
  NoTag,         // the packet has no tag and its flow no record
  Held,          // the service is at its limit of open flows
  HeldAgain,     // retransmission of a held packet, or a held packet whose
                 // flow was placed meanwhile
  HoldFull,      // the service's hold queue is full
  HeldTooLong,   // the flow was held for kMaxHoldTime
  OutOfDate,     // the opening packet waited beyond its UsableTime
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Reason::Count)>
  kReasonNames{
    "placed",      "placed_again",    "repeated",      "known",
    "no_view",     "unknown_route",   "route_removed", "no_server",
    "unknown_tag", "tag_not_allowed", "server_gone",   "no_tag",
    "held",        "held_again",      "hold_full",     "held_too_long",
    "out_of_date",
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
  Tag tag = kNoTag; // to be written into the packet
  // The packet has the first data that was seen since the flow's record was
  // made. Another instance makes its own record, and so does this one after
  // kQuietTime without packets.
  bool firstRequest = false;
  // If the flow is or was held: for how long so far, how many flows count
  // against the service's limit, and the limit.
  Micros waited = 0;
  uint32_t openFlows = 0;
  double flowLimit = 0;
  Placement placement; // how the server was chosen, if the flow was placed
};

// How a flow ended, as far as this instance saw.
enum class Outcome : uint8_t
{
  Closed,     // the caller sent a FIN
  Reset,      // the caller sent a reset, or got one as the server was gone
  Unanswered, // the server did not answer the opening packet
  // No packets for kQuietTime, a new flow with the same ends, or
  // the opening packet again after the server's process was replaced.
  Expired,
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Outcome::Count)>
  kOutcomeNames{ "closed", "reset", "unanswered", "expired" };

// What this instance knows of one open flow.
struct FlowRecord
{
  ServerIndex server = kNoServer;
  uint32_t generation = 0; // of the server when the record was made
  // Sequence number of the opening packet. If another instance placed the flow,
  // the number before that of the first data that this one saw, which is the
  // same if that was the flow's first data.
  uint32_t openingSeq = 0;
  // Another acknowledgement than this one shows a response. It is that of the
  // caller's packet that ended the handshake or, if another instance placed the
  // flow, of the first packet with data that this one saw.
  uint32_t ackBase = 0;
  // When the server was chosen; if another instance chose it, when this one saw
  // the flow's first data.
  Micros placedAt = 0;
  // When the opening packet was sent to the server: at placedAt, or later if
  // the process was stopped in between.
  Micros sentAt = 0;
  Micros requestAt = 0;    // when the first data was seen; 0: not yet
  Micros lastPacketAt = 0; // when a packet last updated the record
  bool opening = true;     // the handshake is not yet answered
  // The flow can no longer make its server suspect: its opening packet went
  // unanswered already, or this process was paused before its handshake check.
  bool suspected = false;
  bool answered = false;    // the response to the first request was seen
  Micros latencyTarget = 0; // of the route; 0 if another instance placed it
  // Limit that the flow counts against; null: it counts no more.
  ConcurrencyLimit* limit = nullptr;
};

// A packet that was held, and what to do with it now.
struct ReleasedPacket
{
  Packet packet;
  Decision decision;
};

// Handshake or response time of one flow, for histograms. At most one of the
// flags is set; if none is, there is no time.
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
  uint64_t suspected = 0; // opening packets counted as unanswered by a server
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

  // aConfigFresh says that the configuration was confirmed recently, so that a
  // route that it lacks does not exist.
  Decision OnPacket(const Packet& aPacket, bool aConfigFresh, Micros aNow);
  // Returns the next held packet to forward or reset. Call it after packets
  // and ticks until it returns none.
  std::optional<ReleasedPacket> Release(Micros aNow);
  // Checks the view, handshakes, idle flows and limits. Call it at least every
  // 50 ms: only the next call notices a handshake that has been unanswered for
  // kHandshakeTimeout, 60 ms.
  void Tick(Micros aNow);
  // The packets of the flows that were placed at aPlacedFrom or later were sent
  // only at aSentAt, as the process was stopped meanwhile.
  void OnSendDelay(Micros aPlacedFrom, Micros aSentAt);
  // This process was paused. Handshakes that were open meanwhile say nothing
  // about the servers, and servers in backoff may be tried again.
  void OnProcessPause(Micros aNow);

  const FlowSteeringCounts& Counts() const { return this->counts; }
  size_t Flows() const { return this->flows.size(); }
  // Returns null before the first opening packet for aService.
  const ConcurrencyLimit* LimitOf(std::string_view aService) const;
  const ServerHealth& HealthOf(ServerIndex aServer) const
  {
    return this->health[aServer];
  }
  const FlowRecord* FindFlow(const FlowId& aFlow) const;
  // The handshake or response time that ended with the packet last passed to
  // OnPacket, if one did.
  const LatencySample& LastSample() const { return this->sample; }

private:
  // Adds aDecision to the counts, and returns it.
  Decision Count(Decision aDecision);
  Decision OnOpening(const Packet& aPacket,
                     const Route* aRoute,
                     bool aConfigFresh,
                     Micros aNow);
  Decision OnRetransmission(const Packet& aPacket,
                            FlowRecord& aRecord,
                            const Route& aRoute,
                            Micros aNow);
  // Places the flow, or holds it if the service is at its limit. If it is held
  // already, drops the packet; if the hold queue is full, refuses the flow.
  Decision Admit(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 Micros aNow);
  Decision Place(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 ServerIndex aExcluded,
                 Micros aNow);
  // Decides on a packet that is not an opening packet.
  Decision OnFlow(const Packet& aPacket, const Route* aRoute, Micros aNow);
  void TrackProgress(const Packet& aPacket,
                     ServerIndex aServer,
                     Decision& aDecision,
                     Micros aNow);
  void SuspectServer(FlowRecord& aRecord, Micros aNow);
  void Erase(const FlowId& aFlow, Outcome aOutcome);
  // Clears the health of servers whose process is new in the view.
  void SyncWithView();
  bool SameProcess(const FlowRecord& aRecord) const;
  void ExpireFlows(Micros aNow);
  static void ReleaseFromLimit(FlowRecord& aRecord);
  void UpdateLimits(Micros aNow);
  double FlowLimitFloor(std::string_view aService) const;
  static std::string_view PickService(const Route& aRoute, const FlowId& aFlow);

  // Scheduled check of a flow. A flow that ended leaves its timers behind.
  struct FlowTimer
  {
    FlowId flow;
    Micros at = 0; // due time; in handshakeTimers the time of sending
  };
  // Admission state of one service.
  struct ServiceAdmission
  {
    ConcurrencyLimit limit;
    HoldQueue holdQueue;
    // Timers that end the counting of flows, in order of placement. One may be
    // late if routes of the service have different latency targets.
    std::deque<FlowTimer> counted;
  };
  ServiceAdmission& AdmissionOf(std::string_view aService);
  // Returns null if no flow of the server's service was ever placed here.
  ServiceAdmission* AdmissionOf(ServerIndex aServer);
  std::optional<ReleasedPacket> ReleaseFrom(const std::string& aService,
                                            ServiceAdmission& aAdmission,
                                            Micros aNow);

  FlowSteeringOptions options;
  View view;
  Placer placer;
  std::vector<ServerHealth> health;  // by index in the view
  std::vector<uint32_t> generations; // of the server processes in health
  // View::ProcessCount at the last SyncWithView.
  uint64_t syncedProcessCount = 0;
  absl::flat_hash_map<FlowId, FlowRecord> flows;
  // By service. Flow records point to the limits, so no service is erased, and
  // the kind of map keeps their addresses.
  absl::node_hash_map<std::string, ServiceAdmission> admissions;
  size_t heldCount = 0; // held packets of all services
  size_t instanceCount = 1;
  std::deque<FlowTimer> handshakeTimers; // by the time of sending
  // Idle checks, roughly by due time: a check may run late, by up to
  // kQuietTime.
  std::deque<FlowTimer> idleTimers;
  FlowSteeringCounts counts;
  LatencySample sample;
};

}
