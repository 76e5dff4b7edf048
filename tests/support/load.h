// Callers and backend servers in virtual time: open-loop arrivals, a minimal
// TCP, slots and queues. The load balancer under test sets Load::send to
// receive the callers' packets, and calls Load to deliver, refuse or reset.
#pragma once

#include "core/table.h"
#include "support/clock.h"
#include "wire/packet.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gentianspindle {

// Settings of the callers and of the work of their requests.
struct LoadOptions
{
  // New flows a second, by the time since the start.
  std::function<double(Micros)> arrivalRate;
  // Callers open flows for this time.
  Micros duration = 20 * kSecond;
  // Mean work of a short request; exponentially distributed.
  Micros meanShortWork = 10 * kMillisecond;
  // Share of the requests that are long.
  double longShare = 0;
  // A long request has this many times the work.
  double longFactor = 50;
  uint32_t requestsPerFlow = 1;
  // Mean time between the requests of a flow; exponentially distributed.
  Micros thinkTime = 0;
  // The caller gives up a flow this long after it opened it; 0: never.
  Micros deadline = 0;
  // One-way delay from callers to the fabric, and from servers to callers.
  Micros callerDelay = 1 * kMillisecond;
  uint64_t seed = 1;
  // Factor on the work of a server, by the time since the start; 1 if not set.
  std::function<double(Address, Micros)> slowdown;
};

// Outcome of all flows, and what the servers did.
struct LoadResult
{
  uint64_t opened = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  // Flows that were refused after a server had received their SYN, counted also
  // if they are in `broken`.
  uint64_t refusedButSeen = 0;
  // Flows that were reset, that were refused after the handshake, or whose
  // retransmissions all stayed unanswered.
  uint64_t broken = 0;
  // Flows that their caller gave up at its deadline.
  uint64_t abandoned = 0;
  // Packets of flows that had not ended, other than SYNs and RSTs, that reached
  // another server than that of their flow.
  uint64_t wrongServer = 0;
  // Packets that found more open connections at their server than allowed.
  uint64_t overConnectionLimit = 0;
  // Time from the first packet of a request to its reply; with the first
  // request of a flow, from the SYN.
  std::vector<Micros> shortLatencies;
  std::vector<Micros> longLatencies;
  std::map<Address, Micros> busyTime;
  // Flows whose SYN the server has received.
  std::map<Address, uint64_t> flowsPerServer;

  // Quantile of the latencies of short requests.
  Micros ShortLatencyAt(double aQuantile);
  // Greatest busy time of a server over the servers' mean.
  double BusyImbalance() const;
};

// The callers and the backend servers of the simulation.
class Load
{
public:
  Load(VirtualClock& aClock, const LoadOptions& aOptions);

  // Adds the backend servers of aService. Callers open this share of all flows
  // to it.
  void AddService(const Service& aService, double aShareOfFlows);
  // Receives the callers' packets; set by the load balancer under test.
  std::function<void(const Segment&)> send;

  // The load balancer under test delivers packets to the servers and reports
  // refused and reset flows here.
  void DeliverToServer(Address aServer, const Segment& aSegment);
  void OnRefused(FlowKey aFlow);
  void OnReset(FlowKey aFlow);

  void Start();
  LoadResult& Result() { return this->result; }
  // Flows that have completed their handshake at aServer and have not ended.
  size_t EstablishedFlowsAt(Address aServer) const;
  // Flows that have not ended.
  size_t ActiveFlows() const { return this->callers.size(); }

private:
  // The client end of a flow.
  struct Caller
  {
    ServiceKey service;
    // Sequence numbers of the next byte to send and to receive.
    uint32_t sent = 0;
    uint32_t received = 0;
    uint32_t requestsLeft = 1;
    bool established = false;
    // A request was sent and has no reply yet.
    bool awaitingReply = false;
    bool isLong = false;
    Micros work = 0;
    Micros openedAt = 0;
    Micros requestAt = 0;
    // Number of the current retransmission timer; earlier ones do nothing.
    uint32_t timer = 0;
    // Retransmissions since the handshake or the last reply.
    uint32_t attempts = 0;
    Address server = 0;
  };
  // A request at a server.
  struct Job
  {
    FlowKey flow = 0;
    Micros work = 0;
  };
  // A backend server: its limits, and its requests and flows.
  struct Backend
  {
    uint32_t slots = 1;
    uint32_t connections = 1;
    uint32_t busy = 0;
    std::deque<Job> queue;
    // Flows with a completed handshake that have not ended.
    std::unordered_set<FlowKey> open;
    // Flows whose SYN has arrived, also after their end.
    std::unordered_set<FlowKey> seen;
  };

  void ScheduleArrival(size_t aService);
  void OpenFlow(size_t aService);
  void SendFromCaller(FlowKey aFlow, uint8_t aFlags, uint32_t aPayload);
  void SendRequest(FlowKey aFlow);
  void StartTimer(FlowKey aFlow);
  void Abandon(FlowKey aFlow);
  void StartJobs(Address aServer);
  void FinishJob(Address aServer, const Job& aJob, Micros aDuration);
  void OnSynAck(FlowKey aFlow, Address aServer);
  void OnReply(FlowKey aFlow, Address aServer);

  VirtualClock& clock;
  LoadOptions options;
  LoadResult result;
  std::mt19937_64 random;
  Micros start = 0;
  uint64_t nextFlow = 0;
  std::vector<ServiceKey> services;
  std::vector<double> shares;
  std::unordered_map<FlowKey, Caller> callers;
  std::map<Address, Backend> backends;
};

}
