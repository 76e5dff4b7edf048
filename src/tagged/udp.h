// UDP socket, and batches of datagrams that are received or sent together.
#pragma once

#include "base/address.h"
#include "base/time.h"
#include "tagged/transport.h"

#include "absl/status/statusor.h"

#include <array>
#include <ctime>
#include <netinet/in.h>
#include <optional>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace gentianspindle::tagged {

// Maximum number of datagrams that one system call receives or sends.
constexpr size_t kBatchSize = 32;
// Larger than any packet, so that an oversized datagram is recognised and not
// cut to a packet's size. A longer heartbeat is cut, and so is unreadable.
constexpr size_t kDatagramBufferBytes = 2048;

sockaddr_in
ToSocketAddress(Endpoint aEndpoint);

// Owns a bound socket that doesn't block.
class UdpSocket
{
public:
  static absl::StatusOr<UdpSocket> Bind(Endpoint aListen);
  // Lets the kernel record when each datagram arrives.
  absl::Status RecordArrivals() const;
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

// Received datagrams, each with kHeadroom free bytes before it.
class ReceiveBatch
{
public:
  // aRecordSources: whether From is used.
  explicit ReceiveBatch(bool aRecordSources = false);
  // Replaces the batch by up to kBatchSize datagrams that wait in the socket's
  // buffer; returns their number, which is 0 also after an error.
  size_t Receive(int aSocket);
  // Returns the sender of a datagram.
  Endpoint From(size_t aIndex) const;
  // Returns the headroom and the datagram.
  std::span<uint8_t> At(size_t aIndex);
  // Returns how long a datagram has been in this process or the socket's
  // buffer; nullopt if the kernel didn't record its arrival, or if the time of
  // day was set back since.
  std::optional<Micros> QueueTime(size_t aIndex) const;

private:
  static constexpr size_t kStride = kHeadroom + kDatagramBufferBytes;
  // Control message in which the kernel returns the time of arrival.
  struct alignas(cmsghdr) ArrivalBuffer
  {
    std::array<uint8_t, CMSG_SPACE(sizeof(timespec))> bytes{};
  };
  std::vector<uint8_t> bytes;
  bool recordSources;
  std::array<iovec, kBatchSize> parts{};
  std::array<mmsghdr, kBatchSize> messages{};
  std::array<sockaddr_in, kBatchSize> addresses{};
  std::array<ArrivalBuffer, kBatchSize> arrivals{};
};

// Datagrams to be sent together. Their bytes must stay valid until Send.
class SendBatch
{
public:
  // Returns false, and adds nothing, if the batch is full.
  bool Add(std::span<uint8_t> aBytes, Endpoint aTo);
  // Returns a buffer of kResetBufferBytes for a datagram that this instance
  // builds itself. It is valid until Send, or until kBatchSize further calls.
  std::span<uint8_t> NextBuffer();
  // Sends and empties the batch; returns how many datagrams the socket
  // accepted. Those that it refuses are dropped.
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
