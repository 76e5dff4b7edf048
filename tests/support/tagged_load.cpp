#include "support/tagged_load.h"

#include "support/tagged_load_knowledge.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle {

namespace {

using namespace steer;

// Instances, callers and servers of one run.
class Simulation
{
public:
  explicit Simulation(const TaggedLoadOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , servers(this->clock,
              { .servers = aOptions.servers,
                .slots = aOptions.slots,
                .queue = aOptions.queue,
                .maxQueueTime = aOptions.maxQueueTime,
                .onStart =
                  [this](const LoadJob& aJob, size_t aServer) {
                    return this->OnStart(aJob, aServer);
                  },
                .onEnd =
                  [this](const LoadJob& aJob, size_t aServer, bool aExecuted) {
                    this->Reply(aJob.flow, aServer, aExecuted);
                  } })
  {
    if (this->options.kinds.empty()) {
      this->options.kinds.push_back({ .arrivalRate = aOptions.arrivalRate,
                                      .work = aOptions.work,
                                      .latencyTarget = aOptions.latencyTarget,
                                      .deadline = aOptions.deadline });
    }
    for (size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      for (size_t i = 0; i < this->options.kinds[kind].longFlows; ++i) {
        this->callers.push_back({ .kind = kind, .zone = i % aOptions.zones });
      }
    }
    this->result.kinds.resize(this->options.kinds.size());
    this->result.zones.resize(this->options.zones);
    for (size_t i = 0; i < aOptions.instances; ++i) {
      FlowSteeringOptions steeringOptions;
      steeringOptions.placer.zone = LoadZone(aOptions, i);
      // Not drawn from `random`, whose sequence the callers use.
      steeringOptions.placer.randomSeed =
        static_cast<uint32_t>(aOptions.seed * aOptions.instances + i + 1);
      steeringOptions.hold = aOptions.policy == TaggedPolicy::Product;
      if (aOptions.steering) {
        aOptions.steering(steeringOptions);
      }
      this->instances.push_back(
        std::make_unique<FlowSteering>(steeringOptions));
      this->instances.back()->SetInstanceCount(
        aOptions.instances, aOptions.instances / aOptions.zones);
      FillLoadView(this->options,
                   this->clock.Now(),
                   false,
                   this->instances.back()->CurrentView());
    }
  }

  TaggedLoadResult Run()
  {
    this->start = this->clock.Now();
    Micros deadline = 0;
    for (size_t kind = 0; kind < this->options.kinds.size(); ++kind) {
      this->ScheduleArrival(kind);
      deadline = std::max(deadline, this->options.kinds[kind].deadline);
    }
    this->Tick();
    if (this->options.returnAt > 0) {
      this->clock.After(this->options.returnAt, [this] {
        for (auto& instance : this->instances) {
          View& view = instance->CurrentView();
          FillLoadView(this->options, this->clock.Now(), true, view);
        }
      });
    }
    this->clock.RunUntil(this->start + this->options.duration + 2 * deadline);
    for (const auto& [id, request] : this->requests) {
      this->result.failed += request.done ? 0 : 1;
      this->result.executedTwice += request.executions > 1 ? 1 : 0;
    }
    return this->result;
  }

private:
  void ScheduleArrival(size_t aKind)
  {
    Micros since = this->clock.Now() - this->start;
    if (since > this->options.duration) {
      return;
    }
    double arrivalRate = this->options.kinds[aKind].arrivalRate(since);
    std::exponential_distribution<double> gap(arrivalRate / kSecond);
    this->clock.After(1 + static_cast<Micros>(gap(this->random)),
                      [this, aKind] {
                        this->StartRequest(aKind);
                        this->ScheduleArrival(aKind);
                      });
  }

  // Returns the index + 1 of a random idle caller that keeps its flow, or 0.
  uint64_t PickLongCaller(size_t aKind, size_t aZone)
  {
    std::vector<uint64_t> idle;
    for (size_t i = 0; i < this->callers.size(); ++i) {
      const LongCaller& caller = this->callers[i];
      if (caller.kind == aKind && caller.zone == aZone && !caller.busy) {
        idle.push_back(i + 1);
      }
    }
    return idle.empty() ? 0 : idle[this->random() % idle.size()];
  }

  void StartRequest(size_t aKind)
  {
    uint64_t id = ++this->lastRequest;
    const TaggedLoadKind& kind = this->options.kinds[aKind];
    std::lognormal_distribution<double> factor(-this->options.workSigma *
                                                 this->options.workSigma / 2,
                                               this->options.workSigma);
    LoadRequest& request = this->requests[id];
    request.id = id;
    request.kind = aKind;
    request.startedAt = this->clock.Now();
    request.work = static_cast<Micros>(static_cast<double>(kind.work) *
                                       factor(this->random));
    request.zone =
      PickZone(this->options, this->clock.Now() - this->start, this->random);
    ++this->result.requestCount;
    ++this->result.kinds[aKind].requestCount;
    ++this->result.zones[request.zone].requestCount;
    if (kind.longFlows > 0) {
      request.caller = this->PickLongCaller(aKind, request.zone);
    }
    if (request.caller > 0) {
      LongCaller& caller = this->callers[request.caller - 1];
      caller.busy = true;
      if (caller.flow != 0) {
        this->flows[caller.flow].request = id;
        ++request.attempts;
        this->SendRequest(caller.flow);
        return;
      }
    }
    this->StartAttempt(id);
  }

  void StartAttempt(uint64_t aRequest)
  {
    LoadRequest& request = this->requests[aRequest];
    const TaggedLoadKind& kind = this->options.kinds[request.kind];
    bool expired = this->clock.Now() - request.startedAt >= kind.deadline;
    if (expired || request.attempts > this->options.retries) {
      this->EndLongRequest(request);
      return;
    }
    ++request.attempts;
    uint64_t key = ++this->lastFlow;
    LoadFlow& flow = this->flows[key];
    flow.request = aRequest;
    flow.instance = PickInstance(this->options, request.zone, this->random);
    flow.id = LoadFlowId(key, request.kind);
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

  // The caller that keeps its flow may start its next request.
  void EndLongRequest(const LoadRequest& aRequest)
  {
    if (aRequest.caller > 0) {
      this->callers[aRequest.caller - 1].busy = false;
    }
  }

  // Ends a failed attempt. The caller retries on a new flow.
  void FailAttempt(uint64_t aFlow)
  {
    LoadFlow& flow = this->flows[aFlow];
    if (flow.ended) {
      return;
    }
    flow.ended = true;
    uint64_t caller = this->requests[flow.request].caller;
    if (caller > 0) {
      this->callers[caller - 1].flow = 0;
    }
    this->StartAttempt(flow.request);
  }

  Packet MakePacket(const LoadFlow& aFlow) const
  {
    Packet packet;
    packet.flow = aFlow.id;
    packet.seq = kFirstSeq + aFlow.requests * kRequestBytes;
    packet.ack = aFlow.open ? 1 + aFlow.replies * kReplyBytes : 0;
    packet.tag = aFlow.tag;
    return packet;
  }

  void SendOpening(uint64_t aFlow, uint32_t aRetransmissions)
  {
    LoadFlow& flow = this->flows[aFlow];
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

  // Returns the server of a new flow without asking an instance.
  size_t ChooseFreely(const LoadFlow& aFlow)
  {
    if (this->options.policy == TaggedPolicy::Random) {
      return this->random() % this->options.servers;
    }
    std::vector<double> slowdown;
    for (size_t i = 0; i < this->options.servers; ++i) {
      slowdown.push_back(this->Slowdown(i));
    }
    const LoadRequest& request = this->requests[aFlow.request];
    return this->whole.Choose(
      this->servers, slowdown, request.kind, request.zone);
  }

  void DeliverToInstance(uint64_t aFlow, const Packet& aPacket)
  {
    LoadFlow& flow = this->flows[aFlow];
    size_t index = flow.instance;
    if (this->options.policy == TaggedPolicy::Random ||
        this->options.policy == TaggedPolicy::LeastWait) {
      size_t server = aPacket.syn ? this->ChooseFreely(flow) : aPacket.tag - 1;
      this->DeliverToServer(aFlow, aPacket, server);
      return;
    }
    while (!IsUp(this->options, index, this->clock.Now() - this->start)) {
      index =
        PickInstance(this->options, index % this->options.zones, this->random);
      flow.instance = index;
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
      this->CarryOut(LoadFlowKey(released->packet.flow),
                     released->packet,
                     released->decision);
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
        LoadFlow& flow = this->flows[aFlow];
        const LoadRequest& request = this->requests[flow.request];
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

  bool IsLost()
  {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           this->options.loss;
  }

  void DeliverToServer(uint64_t aFlow, const Packet& aPacket, size_t aServer)
  {
    bool lost = this->Slowdown(aServer) == 0 || this->IsLost();
    if (lost) {
      if (aPacket.dataBytes > 0) {
        this->Retransmit(aFlow, aPacket);
      }
      return;
    }
    if (aPacket.syn) {
      Tag tag = static_cast<Tag>(aServer + 1);
      this->clock.After(this->DelayFrom(aFlow, aServer),
                        [this, aFlow, tag] { this->OnSynAck(aFlow, tag); });
    } else if (aPacket.dataBytes > 0) {
      if (this->flows[aFlow].requests == 1) {
        this->whole.OnRequest(aServer,
                              this->requests[this->flows[aFlow].request].kind);
      }
      this->servers.OnRequest({ aFlow, this->flows[aFlow].request }, aServer);
    }
  }

  // Time from the server to the caller of the flow. It includes the way of the
  // forwarded packet to a server in another zone, which arrives at once.
  Micros DelayFrom(uint64_t aFlow, size_t aServer) const
  {
    const LoadFlow& flow = this->flows.at(aFlow);
    bool remote =
      flow.instance % this->options.zones != aServer % this->options.zones;
    return this->options.oneWayDelay +
           (remote ? 2 * this->options.crossZoneDelay : 0);
  }

  // The caller sends lost data again, after twice the time each time, and gives
  // the flow up at the request's deadline.
  void Retransmit(uint64_t aFlow, const Packet& aPacket)
  {
    LoadFlow& flow = this->flows[aFlow];
    const LoadRequest& request = this->requests[flow.request];
    Micros deadline =
      request.startedAt + this->options.kinds[request.kind].deadline;
    Micros left = deadline - this->clock.Now();
    Micros delay = kRetransmitDelay << std::min(flow.losses, kMaxDoublings);
    ++flow.losses;
    if (delay >= left) {
      this->clock.After(std::max<Micros>(1, left),
                        [this, aFlow] { this->FailAttempt(aFlow); });
      return;
    }
    this->clock.After(delay, [this, aFlow, aPacket] {
      if (!this->flows[aFlow].ended) {
        this->Send(aFlow, aPacket);
      }
    });
  }

  void OnSynAck(uint64_t aFlow, Tag aTag)
  {
    LoadFlow& flow = this->flows[aFlow];
    if (flow.ended || flow.open) {
      return;
    }
    flow.open = true;
    flow.tag = aTag;
    uint64_t caller = this->requests[flow.request].caller;
    if (caller > 0) {
      this->callers[caller - 1].flow = aFlow;
    }
    this->SendRequest(aFlow);
  }

  // Sends the data of the flow's request.
  void SendRequest(uint64_t aFlow)
  {
    LoadFlow& flow = this->flows[aFlow];
    flow.losses = 0;
    Packet packet = this->MakePacket(flow);
    packet.dataBytes = kRequestBytes;
    ++flow.requests;
    this->Send(aFlow, packet);
  }

  // A server starts to work on a request; returns how long it takes.
  Micros OnStart(const LoadJob& aJob, size_t aServer)
  {
    LoadRequest& request = this->requests[aJob.request];
    ++request.executions;
    ++this->result.perServer[aServer];
    this->result.crossedZones +=
      aServer % this->options.zones != request.zone ? 1 : 0;
    double slowdown = this->Slowdown(aServer);
    return static_cast<Micros>(static_cast<double>(request.work) *
                               (slowdown > 0 ? slowdown : 1));
  }

  void Reply(uint64_t aFlow, size_t aServer, bool aExecuted)
  {
    Micros delay = this->DelayFrom(aFlow, aServer);
    this->clock.After(delay, [this, aFlow, aExecuted] {
      LoadFlow& flow = this->flows[aFlow];
      if (aExecuted && !flow.ended) {
        this->CountReply(this->requests[flow.request]);
      }
      ++flow.replies;
      LoadRequest& request = this->requests[flow.request];
      bool keeps = aExecuted && !flow.ended && request.caller > 0;
      Packet last = this->MakePacket(flow);
      last.fin = !keeps;
      this->Send(aFlow, last);
      if (keeps) {
        this->EndLongRequest(request);
      } else if (aExecuted) {
        flow.ended = true;
      } else {
        this->FailAttempt(aFlow);
      }
    });
  }

  void CountReply(LoadRequest& aRequest)
  {
    const TaggedLoadKind& kind = this->options.kinds[aRequest.kind];
    Micros elapsed = this->clock.Now() - aRequest.startedAt;
    if (aRequest.done || elapsed > kind.deadline) {
      return;
    }
    aRequest.done = true;
    this->result.latencies.push_back(elapsed);
    bool inTime = elapsed <= kind.latencyTarget;
    ++(inTime ? this->result.withinTarget : this->result.overTarget);
    for (TaggedLoadShare* share : { &this->result.kinds[aRequest.kind],
                                    &this->result.zones[aRequest.zone] }) {
      share->withinTarget += inTime ? 1 : 0;
      share->latencies.push_back(elapsed);
    }
  }

  void SendProbe(FlowSteering& aInstance, const Probe& aProbe)
  {
    bool lost = this->Slowdown(aProbe.server) == 0 || this->IsLost();
    ProbeResult result = lost ? ProbeResult::TimedOut : ProbeResult::Connected;
    this->clock.After(lost ? kProbeTimeout : 2 * this->options.oneWayDelay,
                      [this, &aInstance, aProbe, result] {
                        aInstance.OnProbeResult(
                          aProbe, result, this->clock.Now());
                      });
  }

  void Tick()
  {
    for (size_t i = 0; i < this->instances.size(); ++i) {
      this->instances[i]->Tick(this->clock.Now());
      for (const Probe& probe :
           this->instances[i]->TakeProbes(this->clock.Now())) {
        this->SendProbe(*this->instances[i], probe);
      }
      this->ReleaseHeld(i);
    }
    this->clock.After(kTick, [this] { this->Tick(); });
  }

  TaggedLoadOptions options;
  TaggedLoadResult result;
  VirtualClock clock;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FlowSteering>> instances;
  LoadServers servers;
  WholeKnowledge whole{ this->options };
  std::vector<LongCaller> callers;
  std::map<uint64_t, LoadRequest> requests;
  std::map<uint64_t, LoadFlow> flows;
  uint64_t lastRequest = 0;
  uint64_t lastFlow = 0;
  Micros start = 0;
};

}

TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

}
