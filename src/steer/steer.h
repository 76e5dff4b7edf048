// Per-packet decisions of the tagged transport: forward, hold, reset or drop.
// The code does no I/O, reads no clock and starts no threads: the node passes
// in packets, ticks and the time.
#pragma once

#include "steer/decision.h"
#include "steer/failure_detector.h"
#include "steer/flow_record.h"
#include "steer/opening.h"
#include "steer/opening_query.h"
#include "steer/request_times.h"
#include "steer/route_counts.h"
#include "steer/service_load.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"

#include <deque>
#include <functional>
#include <limits>
#include <queue>
#include <utility>

namespace gentianspindle::steer {

// Services whose flows are placed by the requests in flight and the learned
// service times of servers, and not by open flows.
enum class ByRequests : uint8_t
{
  Never,
  LongFlows, // services with flows of many requests
  Always,
};

// What was learned of the servers' speeds.
struct LearnedCapacity
{
  uint32_t servers = 0;      // whose speed was learned
  double slots = 0;          // of these, weighted by the speed
  double meanAgeSeconds = 0; // since a request of these servers was timed
};

struct FlowSteeringOptions
{
  PlacerOptions placer;
  bool hold = true; // hold new flows while their service is at its limit
  double probesPerSecond = 0; // bound of FailureDetector; 0: it is off
  WarmupQuotaOptions warmupQuota;
  ByRequests byRequests = ByRequests::Never;
  ShareOptions shares;
};

// Decides on each packet, and keeps the view, the servers' health, the flow
// records and the held packets that the decisions depend on.
class FlowSteering
{
public:
  explicit FlowSteering(const FlowSteeringOptions& aOptions)
    : options(aOptions)
    , placer(aOptions.placer)
    , warmupQuota(aOptions.warmupQuota)
    , detector(aOptions.probesPerSecond)
  {
  }

  // Sets how many instances share the servers, and how many of them are in this
  // one's zone, this one included.
  void SetInstanceCount(size_t aInstanceCount, size_t aInstancesInZone = 1);

  // Sets which instances share the quotas of servers in their warm-up.
  void SetQuotaHolders(const QuotaHolders& aHolders,
                       Micros aValidUntil = std::numeric_limits<Micros>::max())
  {
    this->warmupQuota.SetHolders(aHolders, aValidUntil);
  }

  View& CurrentView() { return this->view; }
  const View& CurrentView() const { return this->view; }

  // aConfigFresh says that the configuration was confirmed recently, so that a
  // route that it lacks does not exist.
  Decision OnPacket(const Packet& aPacket, bool aConfigFresh, Micros aNow);
  // Returns the next held packet to forward or reset, or to hold further. Call
  // it after packets and ticks until it returns none.
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

  // Sets the instances that may have sent a packet of a flow that comes here
  // now to a server. aKnowsZone says that no other instance of this zone may
  // have; without any, none is asked then.
  void SetOpeningPeers(std::vector<Address> aPeers, bool aKnowsZone)
  {
    this->queries.SetPeers(std::move(aPeers), aKnowsZone);
  }
  // This process has just started, or begins to receive packets: a former one,
  // or another instance, may have sent earlier opening packets.
  void OnProcessStart(Micros aNow) { this->queries.OnStart(aNow); }
  // Returns the queries to send now. Call it after packets.
  std::vector<OutgoingOpeningQuery> TakeOpeningQueries()
  {
    return this->queries.TakeQueries();
  }
  OpeningReply OnOpeningQuery(const OpeningQuery& aQuery, Micros aNow);
  // Release may return the packet that the reply is about.
  void OnOpeningReply(Address aFrom, const OpeningReply& aReply, Micros aNow);

  // Returns the probes to send now. Call it after each tick.
  std::vector<Probe> TakeProbes(Micros aNow);
  void OnProbeResult(const Probe& aProbe, ProbeResult aResult, Micros aNow);
  // A peer's verdict of aAt on the server with aId whose process started at
  // aStartedAt.
  void OnPeerVerdict(ServerId aId, int64_t aStartedAt, Micros aAt, Micros aNow);
  // Returns packets whose callers get a reset now, although they sent nothing:
  // their requests wait for a silent server.
  std::vector<Packet> TakeResets() { return std::exchange(this->resets, {}); }
  FailureDetector& Detector() { return this->detector; }
  const FailureDetector& Detector() const { return this->detector; }

  // At the last Tick.
  LearnedCapacity Capacity() const;
  const RequestTimes& Times() const { return this->times; }
  const absl::flat_hash_map<std::string, ServiceLoad>& ServiceLoads() const
  {
    return this->serviceLoads;
  }
  const FlowSteeringCounts& Counts() const { return this->counts; }
  const RouteCounts& CountsByRoute() const { return this->routeCounts; }
  // Returns the services whose shares came into force or went out of force
  // since the last call, and which of both.
  std::vector<std::pair<std::string, bool>> TakeShareChanges()
  {
    return std::exchange(this->shareChanges, {});
  }
  size_t Flows() const { return this->flows.size(); }
  size_t RequestTimers() const { return this->requestTimers.size(); }
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
  struct ServiceAdmission;

  // Adds aDecision to the counts, and returns it.
  Decision Count(Decision aDecision);
  // Also counts it by route, if there is one.
  Decision Count(Decision aDecision, const Route* aRoute);
  Decision OnOpening(const Packet& aPacket,
                     const Route* aRoute,
                     bool aConfigFresh,
                     Micros aNow);
  Decision OnRetransmission(const Packet& aPacket,
                            FlowRecord& aRecord,
                            const Route& aRoute,
                            Micros aNow);
  // Counts an unanswered opening packet, and returns whether the flow's server
  // seems to be silent.
  bool SeemsSilent(const Packet& aPacket, FlowRecord& aRecord, Micros aNow);
  Decision RefuseOpening(const Packet& aPacket, Reason aReason, Micros aNow);
  bool IsHeld(const Packet& aPacket, const Route& aRoute);
  std::optional<Decision> OnUnknownOpening(const Packet& aPacket,
                                           const Route& aRoute,
                                           Micros aNow);
  // Decide on an opening packet by what other instances know of its flow.
  ReleasedPacket DecideOn(const ResolvedOpening& aResolved, Micros aNow);
  Decision DecideBy(const OpeningReply& aReply,
                    const Packet& aPacket,
                    const Route& aRoute,
                    Micros aNow);
  Decision AdoptOpening(const OpeningReply& aReply,
                        const Packet& aPacket,
                        const Route& aRoute,
                        Micros aNow);
  // Places the flow, or holds it if the service is at its limit. If it is held
  // already, drops the packet; if the hold queue is full, refuses the flow.
  Decision Admit(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 Micros aNow);
  // Does the same by the shares of the service's routes. Refuses a flow that
  // can't be answered in time or finds its route's share full.
  Decision AdmitByShare(const Packet& aPacket,
                        const Route& aRoute,
                        std::string_view aService,
                        ServiceAdmission& aAdmission,
                        Micros aNow);
  Decision Place(const Packet& aPacket,
                 const Route& aRoute,
                 std::string_view aService,
                 Micros aNow);
  void AddOpening(const Packet& aPacket,
                  const FlowRecord& aRecord,
                  Micros aNow);
  // Decides on a packet that is not an opening packet.
  Decision OnFlow(const Packet& aPacket, const Route* aRoute, Micros aNow);
  void TrackProgress(const Packet& aPacket,
                     ServerIndex aServer,
                     Decision& aDecision,
                     Micros aNow);
  // Follows the flow's requests, and learns from their times.
  void TrackRequests(const Packet& aPacket, FlowRecord& aRecord, Micros aNow);
  void SuspectServer(FlowRecord& aRecord, Micros aNow);
  // Passes what a packet showed on to the detector.
  void OnFlowProgress(const ProgressEvent& aEvent,
                      const FlowRecord& aRecord,
                      const Packet& aPacket,
                      Micros aNow);
  // Returns whether the flows to aTarget may be reset if their server is
  // silent, and their callers have the time to try again.
  bool MayReset(Endpoint aTarget) const;
  bool AnswersWithReset(const Packet& aPacket,
                        ServerIndex aServer,
                        Micros aNow);
  // Resets the flows of a silent server that wait for an answer.
  void ResetFlows(ServerIndex aServer, Micros aNow);
  void CheckRequests(Micros aNow);
  // Returns whether the view has a later process at the server's endpoint.
  bool IsEndpointReused(ServerIndex aServer) const;
  void Erase(const FlowId& aFlow, Outcome aOutcome);
  // Clears the health of servers whose process is new in the view.
  void SyncWithView();
  bool SameProcess(const FlowRecord& aRecord) const;
  void ExpireFlows(Micros aNow);
  void UpdateLoads(Micros aNow);
  ServiceLoad& ServiceLoadOf(ServerIndex aServer)
  {
    return this->serviceLoads[this->view.At(aServer).entry.service];
  }
  PlacementRequest RequestFor(const Route& aRoute, std::string_view aService);
  static void ReleaseFromLimit(FlowRecord& aRecord);
  void UpdateLimits(Micros aNow);
  void UpdateRooms(std::string_view aService,
                   ServiceAdmission& aAdmission,
                   Micros aNow);
  double FlowLimitFloor(std::string_view aService) const;
  static std::string_view PickService(const Route& aRoute, const FlowId& aFlow);

  // Scheduled check of a flow. A flow that ended leaves its timers behind.
  struct FlowTimer
  {
    FlowId flow;
    Micros at = 0; // due time; in handshakeTimers the time of sending
  };
  // Check of a request that waits. One that was answered leaves its timer
  // behind.
  struct RequestTimer
  {
    FlowId flow;
    Micros requestAt = 0; // when the request was seen
    Micros at = 0;        // due time

    friend bool operator>(const RequestTimer& aLeft, const RequestTimer& aRight)
    {
      return aLeft.at > aRight.at;
    }
  };
  // Admission state of one service.
  struct ServiceAdmission
  {
    ConcurrencyLimit limit;
    HoldQueue holdQueue; // of flows that are not admitted by shares
    RouteRooms rooms;
    bool sharesInForce = false; // at the last tick
    // Timers that end the counting of flows, in order of placement. One may be
    // late if routes of the service have different latency targets.
    std::deque<FlowTimer> counted;
  };
  ServiceAdmission& AdmissionOf(std::string_view aService);
  // Returns null if no flow of the server's service was ever placed here.
  ServiceAdmission* AdmissionOf(ServerIndex aServer);
  // Returns the service's next held opening to place or refuse, if one is due.
  std::optional<ReleasedPacket> ReleaseFrom(const std::string& aService,
                                            ServiceAdmission& aAdmission,
                                            Micros aNow);
  // As ReleaseFrom, for openings that wait for their route's share.
  std::optional<ReleasedPacket> ReleaseByShare(const std::string& aService,
                                               ServiceAdmission& aAdmission,
                                               Micros aNow);
  // Decides on a held opening that is taken out to be placed.
  Decision PlaceHeld(const HeldOpening& aHeld,
                     const std::string& aService,
                     Micros aNow);
  // Counts the decision on a held opening, and adds how it was held.
  ReleasedPacket Released(const HeldOpening& aHeld,
                          Decision aDecision,
                          const ServiceAdmission& aAdmission,
                          Micros aNow);
  // The server answered the flow's first request.
  void OnAnswer(ServiceAdmission& aAdmission,
                const FlowRecord& aRecord,
                Micros aNow);
  // A flow that the server answered before carries a further request.
  void OnLongFlow(ServerIndex aServer, Micros aNow);
  bool LeadsTo(Endpoint aTarget, std::string_view aService) const;

  FlowSteeringOptions options;
  View view;
  Placer placer;
  WarmupQuota warmupQuota;
  std::vector<ServerHealth> health;  // by index in the view
  std::vector<uint32_t> generations; // of the server processes in health
  // View::ProcessCount at the last SyncWithView.
  uint64_t syncedProcessCount = 0;
  absl::flat_hash_map<FlowId, FlowRecord> flows;
  ClosedOpenings closedOpenings;
  OpeningQueries queries;
  std::deque<ReleasedPacket> resolvedOpenings; // for Release
  // By service. Flow records point to the limits, so no service is erased, and
  // the kind of map keeps their addresses.
  absl::node_hash_map<std::string, ServiceAdmission> admissions;
  size_t heldCount = 0; // held packets of all services
  size_t instanceCount = 1;
  size_t instancesInZone = 1;            // instances of this one's zone
  std::deque<FlowTimer> handshakeTimers; // by the time of sending
  // Idle checks, roughly by due time: a check may run late, by up to
  // kQuietTime.
  std::deque<FlowTimer> idleTimers;
  FailureDetector detector;
  // Of requests that wait; the first one is due first.
  std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>>
    requestTimers;
  std::vector<Packet> resets;
  RequestTimes times;
  Micros laterRequestTime = 0; // of flows that had a request before
  Micros loadPeriodStart = 0;
  absl::flat_hash_map<std::string, ServiceLoad> serviceLoads; // by service
  FlowSteeringCounts counts;
  RouteCounts routeCounts;
  std::vector<std::pair<std::string, bool>> shareChanges;
  LatencySample sample;
};

}
