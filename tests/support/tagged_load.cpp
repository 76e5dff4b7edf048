#include "support/tagged_load.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle {

namespace {

using namespace steer;

constexpr Endpoint kTarget{ 0xC6120001, 443 };
// A caller repeats its opening packet after these times, then gives up.
constexpr Micros kFirstCopy = 200 * kMillisecond;
constexpr Micros kSecondCopy = 600 * kMillisecond;
constexpr Micros kAttemptEnd = 1400 * kMillisecond;
constexpr Micros kRetransmit = 200 * kMillisecond;
constexpr Micros kTick = 50 * kMillisecond;

struct Request
{
  uint64_t id = 0;
  Micros askedAt = 0;
  uint32_t tries = 0;
  bool done = false;
  uint32_t runs = 0;
  Micros work = 0;
};

struct Flow
{
  uint64_t request = 0;
  size_t instance = 0;
  FlowId id;
  bool open = false;
  bool ended = false;
  Tag tag = kNoTag;
};

struct Job
{
  uint64_t flow = 0;
  Micros arrivedAt = 0;
};

struct Backend
{
  uint32_t busy = 0;
  std::deque<Job> queue;
};

class Simulation
{
public:
  explicit Simulation(const TaggedLoadOptions& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
    , backends(aOptions.servers)
  {
    for (size_t i = 0; i < aOptions.instances; ++i) {
      FlowSteeringOptions made;
      made.placer.zone = this->Zone(i);
      made.hold = aOptions.way == TaggedWay::Product;
      this->instances.push_back(std::make_unique<FlowSteering>(made));
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
      this->result.ranTwice += request.runs > 1 ? 1 : 0;
    }
    return this->result;
  }

private:
  std::string Zone(size_t aPlace) const
  {
    return "zone-" + std::to_string(aPlace % this->options.zones);
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
    double rate = this->options.rate(since);
    std::exponential_distribution<double> gap(rate / kSecond);
    this->clock.After(1 + static_cast<Micros>(gap(this->random)), [this] {
      this->Arrive();
      this->ScheduleArrival();
    });
  }

  void Arrive()
  {
    uint64_t id = ++this->lastRequest;
    std::lognormal_distribution<double> factor(
      -this->options.spread * this->options.spread / 2, this->options.spread);
    Request& request = this->requests[id];
    request.id = id;
    request.askedAt = this->clock.Now();
    request.work = static_cast<Micros>(static_cast<double>(this->options.work) *
                                       factor(this->random));
    ++this->result.asked;
    this->Attempt(id);
  }

  void Attempt(uint64_t aRequest)
  {
    Request& request = this->requests[aRequest];
    bool over = this->clock.Now() - request.askedAt >= this->options.deadline;
    if (over || request.tries > this->options.retries) {
      return;
    }
    ++request.tries;
    uint64_t key = ++this->lastFlow;
    Flow& flow = this->flows[key];
    flow.request = aRequest;
    flow.instance = this->random() % this->instances.size();
    flow.id = { { static_cast<Address>(0x64400000 + (key >> 14)),
                  static_cast<uint16_t>(1024 + (key & 0x3FFF)) },
                kTarget };
    for (Micros at : { Micros{ 0 }, kFirstCopy, kSecondCopy }) {
      this->clock.After(at, [this, key] { this->SendOpening(key); });
    }
    this->clock.After(kAttemptEnd, [this, key] {
      if (!this->flows[key].open) {
        this->EndAttempt(key);
      }
    });
  }

  // The attempt failed; the caller tries again on a new flow.
  void EndAttempt(uint64_t aFlow)
  {
    Flow& flow = this->flows[aFlow];
    if (flow.ended) {
      return;
    }
    flow.ended = true;
    this->Attempt(flow.request);
  }

  Packet MakePacket(const Flow& aFlow) const
  {
    Packet packet;
    packet.flow = aFlow.id;
    packet.seq = 100;
    packet.tag = aFlow.tag;
    return packet;
  }

  void SendOpening(uint64_t aFlow)
  {
    Flow& flow = this->flows[aFlow];
    if (flow.ended || flow.open) {
      return;
    }
    this->clock.After(this->options.oneWay, [this, aFlow] {
      Packet packet = this->MakePacket(this->flows[aFlow]);
      packet.syn = true;
      this->AtInstance(aFlow, packet);
    });
  }

  void Send(uint64_t aFlow, const Packet& aPacket)
  {
    this->clock.After(this->options.oneWay, [this, aFlow, aPacket] {
      this->AtInstance(aFlow, aPacket);
    });
  }

  void AtInstance(uint64_t aFlow, const Packet& aPacket)
  {
    size_t place = this->flows[aFlow].instance;
    if (this->options.way == TaggedWay::Random) {
      bool opens = aPacket.syn;
      size_t server =
        opens ? this->random() % this->options.servers : aPacket.tag - 1;
      this->AtServer(aFlow, aPacket, server);
      return;
    }
    FlowSteering& instance = *this->instances[place];
    Micros now = this->clock.Now();
    this->CarryOut(aFlow, aPacket, instance.OnPacket(aPacket, true, now));
    this->ReleaseHeld(place);
  }

  void ReleaseHeld(size_t aInstance)
  {
    FlowSteering& instance = *this->instances[aInstance];
    while (std::optional<ReleasedPacket> released =
             instance.Release(this->clock.Now())) {
      const Endpoint& caller = released->packet.flow.caller;
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
      this->AtServer(aFlow, aPacket, aDecision.tag - 1);
    } else if (aDecision.action == Action::Reset) {
      this->clock.After(this->options.oneWay, [this, aFlow] {
        Flow& flow = this->flows[aFlow];
        const Request& request = this->requests[flow.request];
        this->result.refusedButRan += request.runs > 0 && !request.done;
        this->EndAttempt(aFlow);
      });
    }
  }

  double Slowness(size_t aServer) const
  {
    return this->options.slowness
             ? this->options.slowness(aServer, this->clock.Now() - this->start)
             : 1;
  }

  void AtServer(uint64_t aFlow, const Packet& aPacket, size_t aServer)
  {
    std::uniform_real_distribution<double> chance(0, 1);
    if (this->Slowness(aServer) == 0) {
      return;
    }
    if (chance(this->random) < this->options.loss) {
      if (aPacket.dataBytes > 0) {
        this->clock.After(
          kRetransmit, [this, aFlow, aPacket] { this->Send(aFlow, aPacket); });
      }
      return;
    }
    if (aPacket.syn) {
      Tag tag = static_cast<Tag>(aServer + 1);
      this->clock.After(this->options.oneWay,
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
      this->Answer(aFlow, false);
      return;
    }
    backend.queue.push_back({ aFlow, this->clock.Now() });
    this->clock.After(this->options.shedAfter,
                      [this, aFlow, aServer] { this->Shed(aFlow, aServer); });
    this->StartJobs(aServer);
  }

  void Shed(uint64_t aFlow, size_t aServer)
  {
    std::deque<Job>& queue = this->backends[aServer].queue;
    auto job = std::find_if(queue.begin(), queue.end(), [&](const Job& aJob) {
      return aJob.flow == aFlow;
    });
    if (job != queue.end()) {
      queue.erase(job);
      this->Answer(aFlow, false);
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
      ++request.runs;
      ++this->result.perServer[aServer];
      auto took = static_cast<Micros>(static_cast<double>(request.work) *
                                      std::max(1.0, this->Slowness(aServer)));
      this->clock.After(took, [this, flow, aServer] {
        --this->backends[aServer].busy;
        this->Answer(flow, true);
        this->StartJobs(aServer);
      });
    }
  }

  void Answer(uint64_t aFlow, bool aRan)
  {
    this->clock.After(this->options.oneWay, [this, aFlow, aRan] {
      Flow& flow = this->flows[aFlow];
      Request& request = this->requests[flow.request];
      Micros took = this->clock.Now() - request.askedAt;
      if (aRan && !request.done && took <= this->options.deadline) {
        request.done = true;
        this->result.times.push_back(took);
        ++(took <= this->options.latencyTarget ? this->result.inAim
                                               : this->result.late);
      }
      Packet last = this->MakePacket(flow);
      last.ack = 1000;
      last.fin = true;
      this->Send(aFlow, last);
      if (aRan) {
        flow.ended = true;
      } else {
        this->EndAttempt(aFlow);
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
TaggedLoadResult::At(double aShare)
{
  if (this->times.empty()) {
    return 0;
  }
  auto place =
    static_cast<size_t>(aShare * static_cast<double>(this->times.size() - 1));
  std::nth_element(this->times.begin(),
                   this->times.begin() + static_cast<std::ptrdiff_t>(place),
                   this->times.end());
  return this->times[place];
}

TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions)
{
  return Simulation(aOptions).Run();
}

}
