// One engine that owns all servers of a service, for tests of its decisions.
#pragma once

#include "core/engine.h"
#include "support/examples.h"

namespace gentianspindle {

constexpr InstanceId kSelf = 1;
constexpr InstanceId kPeer = 2;
constexpr Micros kStart = 1000 * kSecond;

// An engine of instance kSelf for the first service of the example table. The
// instance owns all servers unless a test changes that.
struct EngineFixture
{
  Service service = MakeTable(Panji()).services[0];
  EngineOptions options;
  Engine engine;
  Micros now = kStart;

  explicit EngineFixture(const EngineOptions& aOptions = {}, bool aIsNew = true)
    : options(aOptions)
    , engine(aOptions, kSelf)
  {
    this->engine.SetService(this->service, 1, aIsNew, this->now);
    this->OwnAll(kSelf);
  }

  // Makes aOwner the owner of every server.
  void OwnAll(InstanceId aOwner)
  {
    std::vector<InstanceId> owners(this->engine.Servers().size(), aOwner);
    this->engine.SetOwners(owners, owners, {}, this->now);
  }

  // Hands a packet of the caller to the engine; with aWalk, one that a peer has
  // relayed.
  Outbox Send(FlowKey aFlow,
              uint8_t aFlags,
              uint32_t aSequence = 100,
              uint32_t aAck = 0,
              uint32_t aBytes = 0,
              const Walk* aWalk = nullptr)
  {
    Segment segment;
    segment.service = this->service.key;
    segment.flow = aFlow;
    segment.flags = aFlags;
    segment.sequence = aSequence;
    segment.acknowledged = aAck;
    segment.payload = aBytes;
    std::vector<uint8_t> packet(40, 1);
    Outbox out;
    Arrival arrival{ .now = this->now,
                     .segment = &segment,
                     .packet = packet,
                     .relayed = aWalk != nullptr,
                     .version = this->engine.Version(),
                     .walk = aWalk != nullptr ? *aWalk : Walk{} };
    this->engine.OnPacket(arrival, out);
    return out;
  }

  // Lets aDelay pass and ticks the engine.
  Outbox Tick(Micros aDelay)
  {
    this->now += aDelay;
    Outbox out;
    this->engine.OnTick(this->now, out);
    return out;
  }

  // Fills all 28 slots, 2 at each of 14 servers, with flows that wait for their
  // responses.
  void FillSlots()
  {
    FlowKey flow = 1'000'000;
    for (size_t admitted = 0; admitted < 28; ++flow) {
      Outbox out = this->Send(flow, kTcpSyn);
      if (out[0].action == Action::Forward) {
        this->Send(flow, kTcpAck, 101, 1);
        this->Send(flow, kTcpAck, 101, 1, 50);
        ++admitted;
      }
    }
    this->Tick(500 * kMillisecond); // held flows time out
  }
};

}
