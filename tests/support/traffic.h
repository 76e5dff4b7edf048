// Stand-ins for the fabric, the callers and the backend servers in one thread.
// Callers send real IP packets with a minimal TCP, each to a random instance,
// which forwards it to a backend server. Replies of backend servers go to the
// caller in memory, as they do not pass through instances.
#pragma once

#include "core/table.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace gentianspindle {

// Settings of the traffic and of the instances that it goes to.
struct TrafficOptions
{
  Table table;
  // Fabric endpoints of the instances.
  std::vector<InstanceId> instances;
  uint16_t serverPort = 6081;
  // Port to which instances send packets for callers (resets, for example); 0
  // picks a free one.
  uint16_t returnPort = 0;
  uint32_t flows = 1000;
  double flowsPerSecond = 2000;
  // Mean service time of a request; exponentially distributed.
  Micros serviceTime = 2 * kMillisecond;
  // Share of the requests that are stragglers.
  double stragglerShare = 0;
  // A straggler takes this many times as long.
  double stragglerFactor = 50;
  uint32_t requestsPerFlow = 1;
  // Time between the requests of a flow.
  Micros thinkTime = 0;
  uint32_t replyBytes = 2000;
  // A flow without progress for this time counts as broken.
  Micros progressTimeout = 15 * kSecond;
  uint64_t seed = 1;
  // Called with the time in each round of the event loop, for example to
  // replace instances.
  std::function<void(Micros)> onLoop;
};

// Outcome of all flows.
struct TrafficResult
{
  uint64_t opened = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  // Refused flows of which a server had received the SYN.
  uint64_t refusedButSeen = 0;
  // Flows reset after the handshake, or without progress for progressTimeout.
  uint64_t broken = 0;
  uint64_t wrongService = 0;
  // Packets of a flow that reached a second server. The flow ends as with a
  // reset.
  uint64_t wrongServer = 0;
  uint64_t badChecksum = 0;
  uint64_t retransmissions = 0;
  // Requests that had to queue at a server.
  uint64_t queuedRequests = 0;
  std::map<std::string, uint64_t> flowsPerServer;
  // Time from sending a request to the whole reply.
  std::vector<Micros> latencies;
};

// The stand-ins and their event loop.
class Traffic
{
public:
  explicit Traffic(const TrafficOptions& aOptions);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Opens the sockets. Returns false where one cannot be bound.
  bool Open();
  uint16_t ReturnPort() const { return this->returnPort; }
  // Replaces the instances; this may happen while traffic runs.
  void SetInstances(std::vector<InstanceId> aInstances)
  {
    this->options.instances = std::move(aInstances);
  }
  // Opens all flows and runs until they have ended.
  TrafficResult Run();

private:
  enum class CallerState : uint8_t
  {
    SynSent,
    Requesting,
    Thinking,
    Ended,
  };
  // The client end of a flow.
  struct Caller
  {
    size_t service = 0;
    CallerState state = CallerState::SynSent;
    // Next sequence number.
    uint32_t sent = 0;
    // Next sequence number that is expected of the server.
    uint32_t received = 0;
    // Bytes received of the current reply.
    uint32_t replyBytesReceived = 0;
    uint32_t requestsLeft = 0;
    // Number of the current timer; earlier timers are void.
    uint32_t timer = 0;
    Micros requestAt = 0;
    Micros lastProgress = 0;
    bool finSent = false;
  };
  // The server end of a flow.
  struct ServerConnection
  {
    uint32_t received = 0;
    uint32_t sent = 0;
    bool established = false;
  };
  // A request at a server; end is the sequence number after it.
  struct Job
  {
    FlowKey flow;
    uint32_t end;
  };
  // A backend server with its socket, its queue and its flows.
  struct Backend
  {
    Address address = 0;
    size_t service = 0;
    uint32_t slots = 1;
    uint32_t busy = 0;
    int socket = -1;
    std::deque<Job> queue;
    std::unordered_map<FlowKey, ServerConnection> connections;
    std::unordered_map<FlowKey, bool> seen;
  };
  // Events of the same time run in the order in which they were added.
  struct Event
  {
    Micros at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return this->at != aOther.at ? this->at > aOther.at
                                   : this->order > aOther.order;
    }
  };

  void After(Micros aDelay, std::function<void()> aRun);
  void OpenFlow();
  void SendFromCaller(FlowKey aFlow, uint8_t aFlags, uint32_t aBytes);
  void SendRequest(FlowKey aFlow);
  void StartTimer(FlowKey aFlow);
  void OnTimer(FlowKey aFlow, uint32_t aTimer);
  void EndFlow(FlowKey aFlow);
  void Receive(int aSocket, Backend* aBackend);
  void OnBackendPacket(Backend& aBackend,
                       const uint8_t* aPacket,
                       size_t aBytes);
  void OnRequest(Backend& aBackend, FlowKey aFlow, uint32_t aEnd);
  void StartJobs(Backend& aBackend);
  void FinishJob(Backend& aBackend, const Job& aJob);
  void SendReply(Backend& aBackend, FlowKey aFlow);
  void OnReply(FlowKey aFlow, uint32_t aSequence, uint32_t aBytes);
  void OnSynAck(FlowKey aFlow, uint32_t aSequence);
  void OnReset(FlowKey aFlow);
  bool SeenAnywhere(FlowKey aFlow) const;

  TrafficOptions options;
  TrafficResult result;
  std::mt19937_64 random;
  Micros now = 0;
  uint64_t order = 0;
  uint64_t nextCaller = 0;
  int fabricSocket = -1;
  uint16_t returnPort = 0;
  std::priority_queue<Event> events;
  std::unordered_map<FlowKey, Caller> callers;
  std::vector<Backend> backends;
};

}
