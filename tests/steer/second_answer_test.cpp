// Flows whose opening packets are answered late or not at all, in random
// histories.
#include "support/clock.h"
#include "support/steering_fixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kToInstance = kMillisecond;
constexpr uint16_t kPort = 7000;

// One caller, whose opening packets may be lost or be answered late.
struct Caller
{
  SteeringFixture fixture;
  VirtualClock clock;                         // starts at kStart
  std::map<ServerIndex, Micros> answerDelays; // 0: the answer is lost
  ServerIndex server = kNoServer;             // whose answer the caller took
  Tag tag = kNoTag;                           // the last that it received
  size_t wrong = 0; // packets that did not go to that server

  Decision Receive(Packet aPacket)
  {
    this->fixture.now = this->clock.Now();
    return this->fixture.steer.OnPacket(aPacket, true, this->fixture.now);
  }

  void SendOpening(uint32_t aRetransmissions)
  {
    if (this->server != kNoServer) {
      return;
    }
    this->clock.After(kToInstance, [=, this] {
      Packet packet = SteeringFixture::MakePacket(kPort);
      packet.syn = true;
      packet.retransmissions = aRetransmissions;
      Decision decision = this->Receive(packet);
      if (decision.action == Action::Forward) {
        this->Answer(decision.server, decision.tag);
      }
    });
  }

  void Answer(ServerIndex aServer, Tag aTag)
  {
    Micros delay = this->answerDelays[aServer];
    if (delay > 0) {
      this->clock.After(delay, [=, this] { this->OnAnswer(aServer, aTag); });
    }
  }

  void OnAnswer(ServerIndex aServer, Tag aTag)
  {
    this->tag = aTag;
    if (this->server != kNoServer) {
      return;
    }
    this->server = aServer;
    // The caller acknowledges the answer at once.
    this->Send(false);
    constexpr int kPackets = 30;
    for (int i = 1; i < kPackets; ++i) {
      this->clock.After(i * 40 * kMillisecond,
                        [=, this] { this->Send(i == kPackets - 1); });
    }
  }

  void Send(bool aLast)
  {
    Packet packet = SteeringFixture::MakePacket(kPort);
    packet.tag = this->tag;
    packet.ack = 1;
    packet.dataBytes = 100;
    packet.fin = aLast;
    this->clock.After(kToInstance, [=, this] {
      this->wrong += this->Receive(packet).server == this->server ? 0 : 1;
    });
  }

  void Run()
  {
    uint32_t retransmissions = 0;
    for (Micros at : { 0, 200, 600 }) {
      this->clock.After(at * kMillisecond,
                        [=, this] { this->SendOpening(retransmissions); });
      ++retransmissions;
    }
    for (Micros end = this->clock.Now() + 3 * kSecond;
         this->clock.Now() < end;) {
      this->clock.RunUntil(this->clock.Now() + 10 * kMillisecond);
      this->fixture.now = this->clock.Now();
      this->fixture.steer.Tick(this->fixture.now);
    }
  }
};

}

TEST_CASE("With any answers a flow stays at the server that its caller took")
{
  bool passed = rc::check([] {
    Caller caller;
    for (ServerIndex index : { 0, 1, 2 }) {
      auto delay = *rc::gen::inRange<Micros>(0, 1000);
      caller.answerDelays[index] = delay * kMillisecond;
    }
    caller.Run();
    RC_CLASSIFY(caller.server != kNoServer, "opened");
    RC_LOG() << "server " << caller.server << "\n";
    RC_ASSERT(caller.wrong == 0U);
    for (ServerIndex index : { 0, 1, 2 }) {
      const ServerHealth& health = caller.fixture.steer.HealthOf(index);
      bool none = caller.server == kNoServer;
      RC_ASSERT(none || (health.open == 0 && health.opening == 0));
      RC_ASSERT(none || (health.load.inFlight == 0 && health.load.idle == 0));
    }
  });
  CHECK(passed);
}

}
