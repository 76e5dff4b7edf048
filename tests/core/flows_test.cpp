// States of one flow, and the table of all flows.
#include "core/flows.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

namespace {

Segment
MakeSegment(uint8_t aFlags, uint32_t aSequence, uint32_t aAck, uint32_t aBytes)
{
  Segment segment;
  segment.flags = aFlags;
  segment.sequence = aSequence;
  segment.acknowledged = aAck;
  segment.payload = aBytes;
  return segment;
}

// A flow whose state changes with each packet that it receives.
struct FlowFixture
{
  Flow flow;

  FlowState Receive(uint8_t aFlags,
                    uint32_t aSequence,
                    uint32_t aAck,
                    uint32_t aBytes = 0)
  {
    Segment segment = MakeSegment(aFlags, aSequence, aAck, aBytes);
    this->flow.state = Advance(this->flow, segment, 1);
    return this->flow.state;
  }
};

}

TEST_CASE("The state of a flow follows the caller's sequence numbers and ACKs")
{
  FlowFixture fixture;
  fixture.flow.sentEnd = 101;
  CHECK(fixture.Receive(kTcpAck, 101, 501) == FlowState::Fresh);
  CHECK(fixture.Receive(kTcpAck, 101, 501, 50) == FlowState::Waiting);
  // A retransmission does not change the state.
  CHECK(fixture.Receive(kTcpAck, 101, 501, 50) == FlowState::Waiting);
  CHECK(fixture.Receive(kTcpAck, 151, 1501) == FlowState::Answering);
  CHECK(fixture.Receive(kTcpAck, 151, 1501, 50) == FlowState::Waiting);
  CHECK(fixture.Receive(kTcpAck, 201, 2501) == FlowState::Answering);
  CHECK(fixture.Receive(kTcpAck | kTcpFin, 201, 2501) == FlowState::Closing);
}

TEST_CASE(
  "After a FIN before the response the flow still waits for the response")
{
  FlowFixture fixture;
  fixture.Receive(kTcpAck, 101, 501);
  fixture.Receive(kTcpAck, 101, 501, 50);
  CHECK(fixture.Receive(kTcpAck | kTcpFin, 151, 501) == FlowState::Waiting);
  CHECK(fixture.Receive(kTcpAck, 152, 1501) == FlowState::Answering);
  CHECK(fixture.flow.finSeen);
}

TEST_CASE("A closing flow is answering again when its caller acknowledges data")
{
  FlowFixture fixture;
  fixture.Receive(kTcpAck, 101, 501);
  CHECK(fixture.Receive(kTcpAck | kTcpFin, 101, 501) == FlowState::Closing);
  // One sequence number is the server's FIN, more are data of a response.
  CHECK(fixture.Receive(kTcpAck, 102, 502) == FlowState::Closing);
  CHECK(fixture.Receive(kTcpAck, 102, 1502) == FlowState::Answering);
}

TEST_CASE("The state of a flow is right when its sequence numbers wrap around")
{
  FlowFixture fixture;
  fixture.Receive(kTcpAck, 0xFFFFFFF0, 0xFFFFFFF0);
  CHECK(fixture.Receive(kTcpAck, 0xFFFFFFF0, 0xFFFFFFF0, 32) ==
        FlowState::Waiting);
  CHECK(fixture.Receive(kTcpAck, 0x10, 0x10) == FlowState::Answering);
}

TEST_CASE(
  "The lists of flows keep the order of Insert and Move and lose no flow")
{
  FlowTable table;
  for (FlowKey key = 1; key <= 100; ++key) {
    table.Insert(key, 0, FlowState::Idle, static_cast<Micros>(key));
  }
  table.Move(table.Find(1), FlowState::Idle);
  CHECK(table.At(table.Oldest(FlowState::Idle)).key == 2);
  table.Move(table.Find(2), FlowState::Waiting);
  CHECK(table.At(table.Oldest(FlowState::Idle)).key == 3);
  size_t erased = 0;
  while (table.Oldest(FlowState::Idle) != kNoFlow) {
    table.Erase(table.Oldest(FlowState::Idle));
    ++erased;
  }
  CHECK(erased == 99);
  CHECK(table.Size() == 1);
  CHECK(table.Find(2) == table.Oldest(FlowState::Waiting));
}

TEST_CASE("A flow takes at most 64 bytes beside the hash index")
{
  FlowTable table;
  constexpr size_t kFlows = 300'000;
  for (FlowKey key = 1; key <= kFlows; ++key) {
    table.Insert(key, 0, FlowState::Idle, 0);
  }
  CHECK(sizeof(Flow) <= 64);
  // A flow takes 64 bytes in the vector and 17 in the hash index; spare room of
  // both at worst doubles the size.
  CHECK(table.Bytes() < kFlows * (64 + 17) * 2);
}

}
