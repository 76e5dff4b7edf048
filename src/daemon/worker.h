// A packet worker: receives datagrams from the fabric and from peers, passes
// them to the engines and sends what these decide.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <vector>

namespace gentianspindle {

// Runs on a thread and UDP sockets of its own.
class Worker
{
public:
  Worker(Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts);

  // Returns within one poll timeout after aStop is set.
  void Run(const std::atomic<bool>& aStop);

private:
  static constexpr size_t kBatch = 64; // datagrams

  // Buffers for one recvmmsg call.
  struct Batch
  {
    std::array<mmsghdr, kBatch> messages{};
    std::array<iovec, kBatch> parts{};
    std::array<sockaddr_in, kBatch> sources{};
    std::vector<uint8_t> bytes;
    size_t bufferBytes = 0;
  };

  // Fills the batch without blocking; returns the number of datagrams.
  size_t Receive(int aSocket);
  // Return a datagram of the batch, and the address and port that sent it.
  std::span<uint8_t> Datagram(size_t aIndex);
  InstanceId Source(size_t aIndex) const;
  void OnFabric(std::span<uint8_t> aDatagram, InstanceId aSource);
  void OnPeer(std::span<uint8_t> aDatagram, InstanceId aSource);
  void OnRelay(std::span<uint8_t> aDatagram);
  void OnNote(std::span<uint8_t> aDatagram, InstanceId aSource);
  // True if the packet is too large for the tunnel. It is dropped then, and its
  // caller gets an ICMP error if the packet must not be fragmented.
  bool RejectIfTooLarge(std::span<const uint8_t> aPacket,
                        const Segment& aSegment);
  // Passes a valid packet to the engine of its service and queues what that
  // decides. Drops the packet before this instance has joined, and if the table
  // has no such service.
  void HandlePacket(Arrival& aArrival);

  Node& node;
  Sockets sockets;
  ThreadCounts& counts;
  Sender sender;
  Batch batch;
  Outbox out;
  Micros now = 0;
  std::shared_ptr<const Snapshot> snapshot;
  std::vector<Address> fabricSources;
  uint16_t maxPacket;  // bytes of an IP packet that the tunnel carries
  uint16_t maxSegment; // MSS in bytes that callers' SYNs are lowered to
};

}
