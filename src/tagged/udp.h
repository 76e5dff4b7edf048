// Batches of datagrams on one socket.
#pragma once

#include "base/address.h"
#include "tagged/transport.h"

#include "absl/status/statusor.h"

#include <array>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace gentianspindle::tagged {

// Datagrams of one system call.
constexpr size_t kBatchSize = 32;
// Larger than any packet, so that an oversized one shows.
constexpr size_t kDatagramBufferBytes = 2048;

sockaddr_in
ToSocketAddress(Endpoint aEndpoint);

class UdpSocket
{
public:
  static absl::StatusOr<UdpSocket> Bind(Endpoint aListen);
  UdpSocket(UdpSocket&& aOther) noexcept;
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  ~UdpSocket();

  int Descriptor() const { return this->descriptor; }

private:
  explicit UdpSocket(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }
  int descriptor;
};

// Received datagrams, each behind kHeadroom free bytes.
class ReceiveBatch
{
public:
  // aRecordSources: also where the datagrams come from.
  explicit ReceiveBatch(bool aRecordSources = false);
  size_t Receive(int aSocket);
  Endpoint From(size_t aIndex) const;
  // Headroom and datagram.
  std::span<uint8_t> At(size_t aIndex);

private:
  static constexpr size_t kStride = kHeadroom + kDatagramBufferBytes;
  std::vector<uint8_t> bytes;
  bool recordSources;
  std::array<iovec, kBatchSize> parts{};
  std::array<mmsghdr, kBatchSize> messages{};
  std::array<sockaddr_in, kBatchSize> addresses{};
};

// Datagrams to be sent together. Their bytes must stay until Send.
class SendBatch
{
public:
  // False where the batch is full.
  bool Add(std::span<uint8_t> aBytes, Endpoint aTo);
  // Bytes for a datagram that is made here.
  std::span<uint8_t> NextBuffer();
  // Returns how many the socket took.
  size_t Send(int aSocket);
  size_t Size() const { return this->size; }

private:
  size_t size = 0;
  size_t usedBuffers = 0;
  std::array<iovec, kBatchSize> parts{};
  std::array<mmsghdr, kBatchSize> messages{};
  std::array<sockaddr_in, kBatchSize> addresses{};
  std::array<std::array<uint8_t, kResetBufferBytes>, kBatchSize> buffers{};
};

}
