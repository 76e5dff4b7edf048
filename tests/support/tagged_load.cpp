#include "support/tagged_load.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle {

namespace {

using namespace steer;

constexpr Endpoint kTarget{ 0xC6120001, 443 };
// A caller repeats an unanswered opening packet after these times, and then
// gives up the attempt. After an answer, an attempt has no timeout.
constexpr Micros kFirstRepeat = 200 * kMillisecond;
constexpr Micros kSecondRepeat = 600 * kMillisecond;
constexpr Micros kAttemptTimeout = 1400 * kMillisecond;
// A caller sends lost data again after this time.
constexpr Micros kRetransmitDelay = 200 * kMillisecond;
constexpr Micros kTick = 50 * kMillisecond; // period of the instances' ticks

// A request of a caller, over all its attempts.
struct Request
{
  uint64_t id = 0;
  Micros startedAt = 0;
  uint32_t attempts = 0;
  bool done = false;
  uint32_t executions = 0;
  Micros work = 0;
};

// One attempt of a request.
struct Flow
{
  uint64_t request = 0;
  size_t instance = 0;
  FlowId id;
  bool open = false;
  bool ended = false;
  Tag tag = kNoTag;
};

// A request that waits at a server.
struct Job
{
  uint64_t flow = 0;
  Micros arrivedAt = 0;
};

// A backend server with its occupied slots and its queue.
struct Backend
{
  uint32_t busy = 0;
  std::deque<Job> queue;
};

// Instances, callers and servers of one run.
class Simulation
{
public:
  explicit Simulation(const TaggedLoadOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , backends(aOptions.servers)
  {
    for (size_t i = 0; i < aOptions.instances; ++i) {
      FlowSteeringOptions steeringOptions;
      steeringOptions.placer.zone = this->Zone(i);
      // Not drawn from `random`, whose sequence the callers use.
      steeringOptions.placer.randomSeed =
        static_cast<uint32_t>(aOptions.seed * aOptions.instances + i + 1);
      steeringOptions.hold = aOptions.policy == TaggedPolicy::Product;
      this->instances.push_back(
        std::make_unique<FlowSteering>(steeringOptions));
      this->instances.back()->SetInstanceCount(aOptions.instances);
      this->FillView(this->instances.back()->CurrentView());
    }
  }

  TaggedLoadResult Run()
  {
    this->start = this->clock.Now();
    this->ScheduleArrival();
    this->Tick();
    this->clock.RunUntil(this->start + this->options.duration +
                         2 * this->options.deadline);
    for (const auto& [id, request] : this->requests) {
      this->result.failed += request.done ? 0 : 1;
      this->result.executedTwice += request.executions > 1 ? 1 : 0;
    }
    return this->result;
  }

private:
  std::string Zone(size_t aIndex) const
  {
    return "zone-" + std::to_string(aIndex % this->options.zones);
  }

  void FillView(View& aView) const
  {
    std::vector<ServerChange> list;
    for (size_t i = 0; i < this->options.servers; ++i) {
      ServerEntry entry;
      entry.id = i + 1;
      entry.service = "service";
      entry.endpoint = { static_cast<Address>(0x0A000001 + i), 8080 };
      entry.zone = this->Zone(i);
      entry.slots = this->options.slots;
      list.push_back({ "i-" + std::to_string(i), i + 1, false, entry });
    }
    Config config;
    config.version = 1;
    config.routes.push_back({ .name = "route",
                              .endpoint = kTarget,
                              .services = { { "service", 1 } },
                              .latencyTarget = this->options.latencyTarget });
    aView.PutConfig(config);
    aView.PutServers(list, this->clock.Now());
  }

  void ScheduleArrival()
  {
    Micros since = this->clock.Now() - this->start;
    if (since > this->options.duration) {
      return;
    }
    double arrivalRate = this->options.arrivalRate(since);
    std::exponential_distribution<double> gap(arrivalRate / kSecond);
    this->clock.After(1 + static_cast<Micros>(gap(this->random)), [this] {
      this->StartRequest();
      this->ScheduleArrival();
    });
  }

  void StartRequest()
  {
    uint64_t id = ++this->lastRequest;
    std::lognormal_distribution<double> factor(-this->options.workSigma *
                                                 this->options.workSigma / 2,
                                               this->options.workSigma);
    Request& request = this->requests[id];
    request.id = id;
    request.startedAt = this->clock.Now();
    request.work = static_cast<Micros>(static_cast<double>(this->options.work) *
                                       factor(this->random));
    ++this->result.requestCount;
    this->StartAttempt(id);
  }

  void StartAttempt(uint64_t aRequest)
  {
    Request& request = this->requests[aRequest];
    bool expired =
      this->clock.Now() - request.startedAt >= this->options.deadline;
    if (expired || request.attempts > this->options.retries) {
      return;
    }
    ++request.attempts;
    uint64_t key = ++this->lastFlow;
    Flow& flow = this->flows[key];
    flow.request = aRequest;
    flow.instance = this->random() % this->instances.size();
    flow.id = { { static_cast<Address>(0x64400000 + (key >> 14)),
                  static_cast<uint16_t>(1024 + (key & 0x3FFF)) },
                kTarget };
    uint32_t retransmissions = 0;
    for (Micros at : { Micros{ 0 }, kFirstRepeat, kSecondRepeat }) {
      this->clock.After(at, [this, key, retransmissions] {
        this->SendOpening(key, retransmissions);
      });
      ++retransmissions;
    }
    this->clock.After(kAttemptTimeout, [this, key] {
      if (!this->flows[key].open) {
        this->FailAttempt(key);
      }
    });
  }

  // Ends a failed attempt. The caller retries on a new flow.
  void FailAttempt(uint64_t aFlow)
  {
    Flow& flow = this->flows[aFlow];
    if (flow.ended) {
      return;
    }
    flow.ended = true;
    this->StartAttempt(flow.request);
  }

  Packet MakePacket(const Flow& aFlow) const
  {
    Packet packet;
    packet.flow = aFlow.id;
    packet.seq = 100;
    packet.tag = aFlow.tag;
    return packet;
  }

  void SendOpening(uint64_t aFlow, uint32_t aRetransmissions)
  {
    Flow& flow = this->flows[aFlow];
    if (flow.ended || flow.open) {
      return;
    }
    this->clock.After(this->options.oneWayDelay,
                      [this, aFlow, aRetransmissions] {
                        Packet packet = this->MakePacket(this->flows[aFlow]);
                        packet.syn = true;
                        packet.retransmissions = aRetransmissions;
                        this->DeliverToInstance(aFlow, packet);
                      });
  }

  void Send(uint64_t aFlow, const Packet& aPacket)
  {
    this->clock.After(this->options.oneWayDelay, [this, aFlow, aPacket] {
      this->DeliverToInstance(aFlow, aPacket);
    });
  }

  void DeliverToInstance(uint64_t aFlow, const Packet& aPacket)
  {
    size_t index = this->flows[aFlow].instance;
    if (this->options.policy == TaggedPolicy::Random) {
      bool opens = aPacket.syn;
      size_t server =
        opens ? this->random() % this->options.servers : aPacket.tag - 1;
      this->DeliverToServer(aFlow, aPacket, server);
      return;
    }
    FlowSteering& instance = *this->instances[index];
    Micros now = this->clock.Now();
    this->CarryOut(aFlow, aPacket, instance.OnPacket(aPacket, true, now));
    this->ReleaseHeld(index);
  }

  void ReleaseHeld(size_t aInstance)
  {
    FlowSteering& instance = *this->instances[aInstance];
    while (std::optional<ReleasedPacket> released =
             instance.Release(this->clock.Now())) {
      const Endpoint& caller = released->packet.flow.caller;
      // The inverse of how StartAttempt makes the caller's endpoint.
      uint64_t key =
        (uint64_t{ caller.address - 0x64400000 } << 14) | (caller.port - 1024U);
      this->CarryOut(key, released->packet, released->decision);
    }
  }

  void CarryOut(uint64_t aFlow,
                const Packet& aPacket,
                const Decision& aDecision)
  {
    if (aDecision.action == Action::Forward) {
      this->DeliverToServer(aFlow, aPacket, aDecision.tag - 1);
    } else if (aDecision.action == Action::Reset) {
      this->clock.After(this->options.oneWayDelay, [this, aFlow] {
        Flow& flow = this->flows[aFlow];
        const Request& request = this->requests[flow.request];
        this->result.refusedButExecuted +=
          request.executions > 0 && !request.done;
        this->FailAttempt(aFlow);
      });
    }
  }

  double Slowdown(size_t aServer) const
  {
    return this->options.slowdown
             ? this->options.slowdown(aServer, this->clock.Now() - this->start)
             : 1;
  }

  void DeliverToServer(uint64_t aFlow, const Packet& aPacket, size_t aServer)
  {
    std::uniform_real_distribution<double> uniform(0, 1);
    if (this->Slowdown(aServer) == 0) {
      return;
    }
    if (uniform(this->random) < this->options.loss) {
      if (aPacket.dataBytes > 0) {
        this->clock.After(kRetransmitDelay, [this, aFlow, aPacket] {
          this->Send(aFlow, aPacket);
        });
      }
      return;
    }
    if (aPacket.syn) {
      Tag tag = static_cast<Tag>(aServer + 1);
      this->clock.After(this->options.oneWayDelay,
                        [this, aFlow, tag] { this->OnSynAck(aFlow, tag); });
    } else if (aPacket.dataBytes > 0) {
      this->OnRequest(aFlow, aServer);
    }
  }

  void OnSynAck(uint64_t aFlow, Tag aTag)
  {
    Flow& flow = this->flows[aFlow];
    if (flow.ended || flow.open) {
      return;
    }
    flow.open = true;
    flow.tag = aTag;
    Packet packet = this->MakePacket(flow);
    packet.ack = 1;
    packet.dataBytes = 200;
    this->Send(aFlow, packet);
  }

  void OnRequest(uint64_t aFlow, size_t aServer)
  {
    Backend& backend = this->backends[aServer];
    if (backend.queue.size() >= this->options.queue) {
      this->Reply(aFlow, false);
      return;
    }
    backend.queue.push_back({ aFlow, this->clock.Now() });
    this->clock.After(this->options.maxQueueTime,
                      [this, aFlow, aServer] { this->Shed(aFlow, aServer); });
    this->StartJobs(aServer);
  }

  // Rejects a request that has waited for maxQueueTime.
  void Shed(uint64_t aFlow, size_t aServer)
  {
    std::deque<Job>& queue = this->backends[aServer].queue;
    auto job = std::find_if(queue.begin(), queue.end(), [&](const Job& aJob) {
      return aJob.flow == aFlow;
    });
    if (job != queue.end()) {
      queue.erase(job);
      this->Reply(aFlow, false);
    }
  }

  void StartJobs(size_t aServer)
  {
    Backend& backend = this->backends[aServer];
    while (backend.busy < this->options.slots && !backend.queue.empty()) {
      uint64_t flow = backend.queue.front().flow;
      backend.queue.pop_front();
      ++backend.busy;
      Request& request = this->requests[this->flows[flow].request];
      ++request.executions;
      ++this->result.perServer[aServer];
      auto elapsed =
        static_cast<Micros>(static_cast<double>(request.work) *
                            std::max(1.0, this->Slowdown(aServer)));
      this->clock.After(elapsed, [this, flow, aServer] {
        --this->backends[aServer].busy;
        this->Reply(flow, true);
        this->StartJobs(aServer);
      });
    }
  }

  void Reply(uint64_t aFlow, bool aExecuted)
  {
    this->clock.After(this->options.oneWayDelay, [this, aFlow, aExecuted] {
      Flow& flow = this->flows[aFlow];
      Request& request = this->requests[flow.request];
      Micros elapsed = this->clock.Now() - request.startedAt;
      if (aExecuted && !request.done && elapsed <= this->options.deadline) {
        request.done = true;
        this->result.latencies.push_back(elapsed);
        ++(elapsed <= this->options.latencyTarget ? this->result.withinTarget
                                                  : this->result.overTarget);
      }
      Packet last = this->MakePacket(flow);
      last.ack = 1000;
      last.fin = true;
      this->Send(aFlow, last);
      if (aExecuted) {
        flow.ended = true;
      } else {
        this->FailAttempt(aFlow);
      }
    });
  }

  void Tick()
  {
    for (size_t i = 0; i < this->instances.size(); ++i) {
      this->instances[i]->Tick(this->clock.Now());
      this->ReleaseHeld(i);
    }
    this->clock.After(kTick, [this] { this->Tick(); });
  }

  TaggedLoadOptions options;
  TaggedLoadResult result;
  VirtualClock clock;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FlowSteering>> instances;
  std::vector<Backend> backends;
  std::map<uint64_t, Request> requests;
  std::map<uint64_t, Flow> flows;
  uint64_t lastRequest = 0;
  uint64_t lastFlow = 0;
  Micros start = 0;
};

}

Micros
TaggedLoadResult::LatencyAt(double aQuantile)
{
  if (this->latencies.empty()) {
    return 0;
  }
  auto index = static_cast<size_t>(
    aQuantile * static_cast<double>(this->latencies.size() - 1));
  std::nth_element(this->latencies.begin(),
                   this->latencies.begin() + static_cast<std::ptrdiff_t>(index),
                   this->latencies.end());
  return this->latencies[index];
}

TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

}
