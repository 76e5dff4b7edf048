// Batches of datagrams on a real socket.
#include "support/loopback.h"
#include "support/wait.h"
#include "tagged/udp.h"

#include <catch2/catch.hpp>
#include <unistd.h>

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

TEST_CASE("The time that a datagram waited in the socket is known if arrivals "
          "are recorded")
{
  Endpoint receiver{ LoopbackAddress(), NextPort() };
  auto from = tagged::UdpSocket::Bind({ LoopbackAddress(), NextPort() });
  auto to = tagged::UdpSocket::Bind(receiver);
  REQUIRE(from.ok());
  REQUIRE(to.ok());
  std::array<uint8_t, 4> bytes{ 1, 2, 3, 4 };
  tagged::SendBatch batch;
  auto send = [&] {
    batch.Add(bytes, receiver);
    REQUIRE(batch.Send(from->Descriptor()) == 1);
  };
  tagged::ReceiveBatch received;
  send();
  REQUIRE(received.Receive(to->Descriptor()) == 1);
  CHECK_FALSE(received.QueueTime(0));
  REQUIRE(to->RecordArrivals().ok());
  // The kernel may start to record a little later than it was asked to.
  constexpr Micros kWait = 30 * kMillisecond;
  CHECK(WaitFor(
    [&] {
      send();
      usleep(kWait);
      REQUIRE(received.Receive(to->Descriptor()) == 1);
      return received.QueueTime(0).value_or(0) >= kWait;
    },
    10));
}

}
