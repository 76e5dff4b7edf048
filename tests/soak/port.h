// UDP socket of the soak.
#pragma once

#include "tagged/udp.h"

#include <memory>

namespace gentianspindle::soak {

// Receives and sends datagrams without blocking.
class DatagramSocket
{
public:
  static absl::StatusOr<DatagramSocket> Bind(Endpoint aLocal)
  {
    absl::StatusOr<tagged::UdpSocket> socket = tagged::UdpSocket::Bind(aLocal);
    if (!socket.ok()) {
      return socket.status();
    }
    return DatagramSocket(*std::move(socket));
  }

  // Calls aHandler(bytes, sender) for the datagrams that have arrived, at most
  // tagged::kBatchSize a call.
  template<typename F>
  void Receive(F aHandler)
  {
    size_t count = this->received->Receive(this->socket.Descriptor());
    for (size_t i = 0; i < count; ++i) {
      aHandler(this->received->At(i).subspan(tagged::kHeadroom),
               this->received->From(i));
    }
  }

  // Ignores errors: the datagram is lost then, as it may be on any network.
  void Send(std::span<const uint8_t> aBytes, Endpoint aTo) const
  {
    sockaddr_in to = tagged::ToSocketAddress(aTo);
    sendto(this->socket.Descriptor(),
           aBytes.data(),
           aBytes.size(),
           0,
           reinterpret_cast<const sockaddr*>(&to),
           sizeof to);
  }

  int Descriptor() const { return this->socket.Descriptor(); }

private:
  explicit DatagramSocket(tagged::UdpSocket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tagged::UdpSocket socket;
  // On the heap, as it holds pointers into itself and must not move. `true`: it
  // records the senders.
  std::unique_ptr<tagged::ReceiveBatch> received =
    std::make_unique<tagged::ReceiveBatch>(true);
};

}
