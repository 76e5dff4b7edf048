// Stand-ins for the fabric, callers and backend servers in one thread: real
// IP packets with a minimal TCP, sprayed at random over the instances.
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

struct TrafficOptions
{
  Table table;
  std::vector<InstanceId> instances; // fabric endpoints of the instances
  uint16_t serverPort = 6081;
  uint16_t returnPort = 0; // where instances hand answers; 0 picks one
  uint32_t flows = 1000;
  double flowsPerSecond = 2000;
  Micros serviceTime = 2 * kMillisecond; // mean, exponential
  double stragglerShare = 0;             // of requests
  double stragglerFactor = 50;
  uint32_t requestsPerFlow = 1;
  Micros thinkTime = 0; // between requests of a flow
  uint32_t replyBytes = 2000;
  Micros deadline = 15 * kSecond; // of a flow, without progress
  uint64_t seed = 1;
  // Called between events, for example to replace instances.
  std::function<void(Micros)> onLoop;
};

struct TrafficResult
{
  uint64_t opened = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t refusedButSeen = 0; // a server had seen the refused SYN
  uint64_t broken = 0;
  uint64_t wrongService = 0;
  uint64_t wrongServer = 0; // packets of a flow at a second server
  uint64_t badChecksum = 0;
  uint64_t retransmissions = 0;
  uint64_t queuedRequests = 0; // requests that had to queue at a server
  std::map<std::string, uint64_t> flowsPerServer;
  std::vector<Micros> latencies; // request sent to whole answer
};

class Traffic
{
public:
  explicit Traffic(const TrafficOptions& aOptions);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Opens the sockets; false where an address is taken.
  bool Open();
  uint16_t ReturnPort() const { return this->returnPort; }
  // Instances may change while traffic runs.
  void SetInstances(std::vector<InstanceId> aInstances)
  {
    this->options.instances = std::move(aInstances);
  }
  // Runs until all flows have ended.
  TrafficResult Run();

private:
  enum class CallerState : uint8_t
  {
    SynSent,
    Requesting,
    Thinking,
    Ended,
  };
  struct Caller
  {
    size_t service = 0;
    CallerState state = CallerState::SynSent;
    uint32_t sent = 0;               // next sequence number
    uint32_t received = 0;           // next expected number of the server
    uint32_t replyBytesReceived = 0; // bytes of the present answer
    uint32_t requestsLeft = 0;
    uint32_t timer = 0; // older timers are void
    Micros requestAt = 0;
    Micros lastProgress = 0;
    bool finSent = false;
  };
  struct ServerConnection
  {
    uint32_t received = 0;
    uint32_t sent = 0;
    bool established = false;
  };
  struct Job
  {
    FlowKey flow;
    uint32_t end;
  };
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
