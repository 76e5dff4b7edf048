// One instance with a few servers and callers of long flows, in virtual time.
// Servers and links fail as a test says, and each reset of a flow is judged.
#pragma once

#include "support/steering_fixture.h"

#include <functional>
#include <map>
#include <random>

namespace gentianspindle {

constexpr size_t kWorldServers = 4;
constexpr size_t kWorldCallers = 16;
constexpr Micros kWorldTick = 50 * kMillisecond;
constexpr Micros kWorldDelay = 1 * kMillisecond; // one way
// A server that was reached for this time is in touch: a reset of its flow is
// false.
constexpr Micros kInTouchTime = 1500 * kMillisecond;

struct SilenceWorld
{
  struct Server
  {
    bool reached = true;        // packets pass in both directions
    bool refuses = false;       // no process listens: connections are refused
    bool refusesProbes = false; // it refuses connections and serves its flows
    bool grey = false;          // it acknowledges requests and answers none
    bool reused = false;    // another process has its address: it only connects
    bool acksAtOnce = true; // else it acknowledges with its answers only
    Micros roundTrip = 0;   // beside kWorldDelay, to anyone
    Micros work = 50 * kMillisecond;
    Micros freeAt = 0;    // when its queue is empty
    Micros reachedAt = 0; // since when it is reached
    Micros silentAt = 0;  // when it fell silent
  };
  struct Caller
  {
    uint16_t port = 0;
    steer::Tag tag = steer::kNoTag;
    uint32_t seq = 1;
    uint32_t ack = 1;
    uint32_t request = 0; // number of the last one
    uint32_t begun = 0;   // the last one that the server began to work on
    bool acked = true;    // the server acknowledged it
    bool answered = true;
    Micros requestAt = 0;
  };

  steer::FlowSteering steer{ steer::FlowSteeringOptions{
    .placer = { .zone = "a" },
    .probesPerSecond = 5 } };
  Micros now = kStart;
  std::multimap<Micros, std::function<void()>> events;
  std::array<Server, kWorldServers> servers;
  std::array<Caller, kWorldCallers> callers;
  std::mt19937 random;
  double loss = 0; // of each packet
  bool probesPass = true;
  Micros linkTime = 0;    // both ways, that packets queue at the instance
  Micros jitter = 0;      // of each packet, so that packets overtake each other
  Micros frozenUntil = 0; // of the instance
  uint32_t answers = 0;
  uint32_t resets = 0;
  uint32_t falseResets = 0;
  std::vector<Micros> delays; // from the silence to resets of waiting flows

  SilenceWorld(const SilenceWorld&) = delete;
  explicit SilenceWorld(uint32_t aSeed, bool aRepeatable = true)
    : random(aSeed)
  {
    steer::View& view = this->steer.CurrentView();
    steer::Config config = MakeConfig(1);
    config.routes[0].repeatable = aRepeatable;
    view.PutConfig(config);
    std::vector<steer::ServerChange> list;
    for (steer::ServerId id = 1; id <= kWorldServers; ++id) {
      list.push_back(MakeServer(id));
    }
    view.PutServers(list, this->now);
    for (size_t i = 0; i < kWorldCallers; ++i) {
      this->callers[i].port = static_cast<uint16_t>(7000 + i);
      this->OpenFlow(this->callers[i], i % kWorldServers);
      this->After(this->Below(kSecond),
                  [this, i] { this->SendRequest(this->callers[i]); });
    }
    this->Tick();
  }

  Micros Below(Micros aMax)
  {
    return static_cast<Micros>(this->random() % static_cast<uint64_t>(aMax));
  }
  bool Lost()
  {
    return std::uniform_real_distribution<>(0, 1)(this->random) < this->loss;
  }
  void After(Micros aDelay, std::function<void()> aEvent)
  {
    this->events.emplace(this->now + aDelay, std::move(aEvent));
  }
  // One packet on its way, which takes aExtra more; it may get lost.
  void Pass(std::function<void()> aEvent, Micros aExtra = 0)
  {
    if (!this->Lost()) {
      Micros late = this->jitter == 0 ? 0 : this->Below(this->jitter);
      this->After(kWorldDelay + late + aExtra, std::move(aEvent));
    }
  }
  // The instance handles what arrives in a freeze when that is over.
  void AtInstance(std::function<void()> aEvent)
  {
    if (this->now < this->frozenUntil) {
      this->events.emplace(this->frozenUntil, std::move(aEvent));
    } else {
      aEvent();
    }
  }
  void Run(Micros aDuration)
  {
    Micros end = this->now + aDuration;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto first = this->events.begin();
      this->now = first->first;
      std::function<void()> event = std::move(first->second);
      this->events.erase(first);
      event();
    }
    this->now = end;
  }

  void SetReached(size_t aServer, bool aReached)
  {
    Server& server = this->servers[aServer];
    if (server.reached && !aReached) {
      server.silentAt = this->now;
    }
    server.reached = aReached;
    server.reachedAt = this->now;
  }
  Server& ServerOf(const Caller& aCaller)
  {
    return this->servers[aCaller.tag - 1];
  }

  // The caller gets a flow; its handshake is not played.
  static void OpenFlow(Caller& aCaller, size_t aServer)
  {
    aCaller = { .port = aCaller.port, .tag = steer::TagOf(aServer + 1) };
  }
  steer::Packet MakePacket(const Caller& aCaller, uint16_t aDataBytes) const
  {
    steer::Packet packet = SteeringFixture::MakePacket(aCaller.port);
    packet.seq = aCaller.seq - aDataBytes;
    packet.ack = aCaller.ack;
    packet.tag = aCaller.tag;
    packet.dataBytes = aDataBytes;
    return packet;
  }
  void SendRequest(Caller& aCaller)
  {
    aCaller.seq += 100;
    ++aCaller.request;
    aCaller.acked = aCaller.answered = false;
    aCaller.requestAt = this->now;
    this->SendData(aCaller, aCaller.request, 200 * kMillisecond);
  }
  // Sends the data, and again while it is not acknowledged. After three seconds
  // the caller gives up and opens another flow.
  void SendData(Caller& aCaller, uint32_t aRequest, Micros aAgainAfter)
  {
    bool done = aCaller.request != aRequest || aCaller.answered;
    if (done || this->now - aCaller.requestAt >= 3 * kSecond) {
      if (!done) {
        this->Reopen(aCaller);
      }
      return;
    }
    if (!aCaller.acked) {
      steer::Packet packet = this->MakePacket(aCaller, 100);
      this->Pass(
        [this, &aCaller, packet] {
          this->AtInstance(
            [this, &aCaller, packet] { this->OnPacket(aCaller, packet); });
        },
        this->linkTime / 2);
    }
    this->After(aAgainAfter, [this, &aCaller, aRequest, aAgainAfter] {
      this->SendData(
        aCaller, aRequest, std::min(2 * aAgainAfter, 1600 * kMillisecond));
    });
  }
  void Reopen(Caller& aCaller)
  {
    uint32_t request = aCaller.request;
    aCaller.port = static_cast<uint16_t>(aCaller.port + kWorldCallers);
    OpenFlow(aCaller, this->random() % kWorldServers);
    aCaller.request = request + 1;
    this->After(100 * kMillisecond, [this, &aCaller, request] {
      if (aCaller.request == request + 1) {
        this->SendRequest(aCaller);
      }
    });
  }
  void OnPacket(Caller& aCaller, const steer::Packet& aPacket)
  {
    steer::Decision decision = this->steer.OnPacket(aPacket, true, this->now);
    if (decision.action == steer::Action::Reset) {
      this->OnReset(aPacket);
    } else if (decision.action == steer::Action::Forward) {
      uint32_t request = aCaller.request;
      bool isRequest = aPacket.dataBytes > 0;
      Micros extra = (this->ServerOf(aCaller).roundTrip + this->linkTime) / 2;
      this->Pass(
        [this, &aCaller, request, isRequest] {
          if (isRequest && aCaller.request == request) {
            this->OnRequest(aCaller, request);
          }
        },
        extra);
    }
  }
  // The server acknowledges each request, and works on the first copy.
  void OnRequest(Caller& aCaller, uint32_t aRequest)
  {
    Server& server = this->ServerOf(aCaller);
    if (!server.reached || server.refuses || server.reused) {
      return;
    }
    if (server.acksAtOnce) {
      this->Pass(
        [&aCaller, aRequest] {
          aCaller.acked = aCaller.acked || aCaller.request == aRequest;
        },
        server.roundTrip / 2);
    }
    if (server.grey || aCaller.begun == aRequest) {
      return;
    }
    aCaller.begun = aRequest;
    server.freeAt = std::max(server.freeAt, this->now) + server.work;
    this->After(server.freeAt - this->now, [this, &aCaller, aRequest] {
      this->Answer(aCaller, aRequest);
    });
  }
  // Sends the answer until the caller has it.
  void Answer(Caller& aCaller, uint32_t aRequest)
  {
    if (aCaller.request != aRequest || aCaller.answered) {
      return;
    }
    if (this->ServerOf(aCaller).reached) {
      this->Pass(
        [this, &aCaller, aRequest] {
          if (aCaller.request == aRequest && !aCaller.answered) {
            this->OnAnswer(aCaller);
          }
        },
        this->ServerOf(aCaller).roundTrip / 2);
    }
    this->After(200 * kMillisecond, [this, &aCaller, aRequest] {
      this->Answer(aCaller, aRequest);
    });
  }
  void OnAnswer(Caller& aCaller)
  {
    ++this->answers;
    aCaller.acked = aCaller.answered = true;
    aCaller.ack += 1000;
    steer::Packet packet = this->MakePacket(aCaller, 0);
    this->Pass(
      [this, &aCaller, packet] {
        this->AtInstance(
          [this, &aCaller, packet] { this->OnPacket(aCaller, packet); });
      },
      this->linkTime / 2);
    uint32_t request = aCaller.request;
    this->After(kSecond / 2 + this->Below(kSecond), [this, &aCaller, request] {
      if (aCaller.request == request) {
        this->SendRequest(aCaller);
      }
    });
  }
  void OnReset(const steer::Packet& aPacket)
  {
    for (Caller& caller : this->callers) {
      if (caller.port != aPacket.flow.caller.port) {
        continue;
      }
      const Server& server = this->ServerOf(caller);
      ++this->resets;
      bool inTouch = server.reached && !server.refuses && !server.reused &&
                     this->now - server.reachedAt > kInTouchTime;
      this->falseResets += inTouch ? 1 : 0;
      if (!caller.answered && caller.requestAt <= server.silentAt) {
        this->delays.push_back(this->now - server.silentAt);
      }
      this->Reopen(caller);
    }
  }

  void OnProbe(const steer::Probe& aProbe)
  {
    if (!this->probesPass) {
      return;
    }
    size_t index = (aProbe.endpoint.address & 0xFF) - 1;
    Micros extra = (this->servers[index].roundTrip + this->linkTime) / 2;
    this->Pass(
      [this, aProbe, index, extra] {
        const Server& server = this->servers[index];
        steer::ProbeResult result = server.refuses || server.refusesProbes
                                      ? steer::ProbeResult::Refused
                                      : steer::ProbeResult::Connected;
        if (server.reached) {
          this->Pass(
            [this, aProbe, result] {
              this->AtInstance([this, aProbe, result] {
                this->steer.OnProbeResult(aProbe, result, this->now);
              });
            },
            extra);
        }
      },
      extra);
  }
  void Tick()
  {
    this->AtInstance([this] {
      this->steer.Tick(this->now);
      for (const steer::Packet& reset : this->steer.TakeResets()) {
        this->OnReset(reset);
      }
      for (const steer::Probe& probe : this->steer.TakeProbes(this->now)) {
        this->OnProbe(probe);
      }
      this->After(kWorldTick, [this] { this->Tick(); });
    });
  }
  uint64_t Verdicts(steer::VerdictChange aChange) const
  {
    return this->steer.Detector()
      .Counts()
      .verdicts[static_cast<size_t>(aChange)];
  }
};

}
