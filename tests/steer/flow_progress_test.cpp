// What the packets of one flow show about its server.
#include "steer/flow_progress.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

using namespace steer;

namespace {

constexpr Micros kStart = 1000 * kSecond;

Packet
MakePacket(uint32_t aSeq, uint16_t aDataBytes, uint32_t aAck)
{
  Packet packet;
  packet.seq = aSeq;
  packet.dataBytes = aDataBytes;
  packet.ack = aAck;
  return packet;
}

}

TEST_CASE("Each request of a flow is seen, also where sequence numbers wrap")
{
  FlowProgress progress;
  uint32_t seq = UINT32_MAX - 50;
  uint32_t ack = UINT32_MAX - 10;
  for (int request = 0; request < 3; ++request) {
    CHECK(progress.OnCallerPacket(MakePacket(seq, 100, ack), kStart).started);
    CHECK(progress.requestAt == kStart);
    seq += 100;
    ack += 1000;
    ProgressEvent event = progress.OnCallerPacket(MakePacket(seq, 0, ack),
                                                  kStart + 60 * kMillisecond);
    CHECK(event.answered);
    CHECK(event.responseTime == 60 * kMillisecond);
    CHECK(progress.requestAt == 0);
  }
}

TEST_CASE("Data that is sent again without an answer counts as repeated")
{
  FlowProgress progress;
  progress.OnCallerPacket(MakePacket(1, 100, 1), kStart);
  Micros now = kStart + 200 * kMillisecond;
  CHECK(progress.OnCallerPacket(MakePacket(1, 100, 1), now).repeated);
  CHECK_FALSE(progress.OnCallerPacket(MakePacket(1, 100, 1), now).repeated);
  CHECK(progress.repeats == 1);
  progress.OnCallerPacket(MakePacket(101, 0, 500), now);
  CHECK(progress.repeats == 0);
  // An acknowledgement that was overtaken is no progress.
  CHECK_FALSE(progress.OnCallerPacket(MakePacket(101, 0, 300), now).answered);
}

}
