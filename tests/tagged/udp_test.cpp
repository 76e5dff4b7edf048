// Batches of datagrams on a real socket.
#include "support/loopback.h"
#include "tagged/udp.h"

#include <catch2/catch.hpp>

namespace gentianspindle {

TEST_CASE("A datagram that the socket refuses does not take the rest of its "
          "batch with it")
{
  Endpoint receiver{ LoopbackAddress(), NextPort() };
  auto from = tagged::UdpSocket::Bind({ LoopbackAddress(), NextPort() });
  auto to = tagged::UdpSocket::Bind(receiver);
  REQUIRE(from.ok());
  REQUIRE(to.ok());
  std::array<uint8_t, 4> bytes{ 1, 2, 3, 4 };
  tagged::SendBatch batch;
  batch.Add(bytes, receiver);
  // No datagram can be sent to a broadcast address without SO_BROADCAST.
  batch.Add(bytes, { 0xFFFFFFFF, receiver.port });
  batch.Add(bytes, receiver);
  batch.Add(bytes, receiver);
  CHECK(batch.Send(from->Descriptor()) == 3);
  tagged::ReceiveBatch received;
  CHECK(received.Receive(to->Descriptor()) == 3);
}

}
