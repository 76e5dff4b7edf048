// Callers and backend servers in virtual time: open-loop arrivals, a minimal
// TCP, slots and queues. A router, given as functions, carries the callers'
// packets.
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

struct LoadOptions
{
  std::function<double(Micros)>
    arrivalRate; // new flows a second, by time from start
  Micros duration = 20 * kSecond;
  Micros meanShortWork = 10 * kMillisecond; // mean, exponential
  double longShare = 0;                     // of requests
  double longFactor = 50;
  uint32_t requestsPerFlow = 1;
  Micros thinkTime = 0; // mean, exponential
  Micros deadline = 0;  // the caller gives up after this; 0: never
  Micros callerDelay = 1 * kMillisecond; // one way, callers to fabric
  uint64_t seed = 1;
  std::function<double(Address, Micros)> slowdown; // factor on a server's work
};

struct LoadResult
{
  uint64_t opened = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t refusedButSeen = 0;
  uint64_t broken = 0;    // reset after the handshake
  uint64_t abandoned = 0; // by the caller, at its deadline
  uint64_t wrongServer = 0;
  uint64_t overConnectionLimit = 0;
  std::vector<Micros>
    shortLatencies; // first packet of the request to last byte
  std::vector<Micros> longLatencies;
  std::map<Address, Micros> busyTime;
  std::map<Address, uint64_t> flowsPerServer;

  Micros ShortLatencyAt(double aQuantile);
  double BusyImbalance() const; // greatest over mean
};

class Load
{
public:
  Load(VirtualClock& aClock, const LoadOptions& aOptions);

  // Adds the backend servers of aService; its flows are opened too.
  void AddService(const Service& aService, double aShareOfFlows);
  // Where callers' packets go.
  std::function<void(const Segment&)> send;

  // The router's side.
  void DeliverToServer(Address aServer, const Segment& aSegment);
  void OnRefused(FlowKey aFlow);
  void OnReset(FlowKey aFlow);

  void Start();
  LoadResult& Result() { return this->result; }
  // Flows whose handshake is done at aServer.
  size_t EstablishedFlowsAt(Address aServer) const;
  size_t ActiveFlows() const { return this->callers.size(); }

private:
  struct Caller
  {
    ServiceKey service;
    uint32_t sent = 0;
    uint32_t received = 0;
    uint32_t requestsLeft = 1;
    bool established = false;
    bool awaitingReply = false; // for an answer
    bool isLong = false;
    Micros work = 0;
    Micros openedAt = 0;
    Micros requestAt = 0;
    uint32_t timer = 0;
    uint32_t attempts = 0;
    Address server = 0;
  };
  struct Job
  {
    FlowKey flow = 0;
    Micros work = 0;
  };
  struct Backend
  {
    uint32_t slots = 1;
    uint32_t connections = 1;
    uint32_t busy = 0;
    std::deque<Job> queue;
    std::unordered_set<FlowKey> open;
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
