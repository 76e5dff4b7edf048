// One packet worker: receives from fabric and peers, asks the engines, sends.
#pragma once

#include "daemon/sender.h"

#include <atomic>
#include <vector>

namespace gentianspindle {

class Worker
{
public:
  Worker(Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts);

  // Returns soon after aStop is set.
  void Run(const std::atomic<bool>& aStop);

private:
  static constexpr size_t kBatch = 64;

  struct Batch
  {
    std::array<mmsghdr, kBatch> messages{};
    std::array<iovec, kBatch> parts{};
    std::array<sockaddr_in, kBatch> sources{};
    std::vector<uint8_t> bytes;
    size_t bufferBytes = 0;
  };

  size_t Receive(int aSocket);
  std::span<uint8_t> Datagram(size_t aIndex);
  InstanceId Source(size_t aIndex) const;
  void OnFabric(std::span<uint8_t> aDatagram, InstanceId aSource);
  void OnPeer(std::span<uint8_t> aDatagram, InstanceId aSource);
  void OnRelay(std::span<uint8_t> aDatagram);
  void OnNote(std::span<uint8_t> aDatagram, InstanceId aSource);
  // True where aSegment's packet is too large for the tunnel and was answered
  // or dropped.
  bool RejectIfTooLarge(std::span<const uint8_t> aPacket,
                        const Segment& aSegment);
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
  uint16_t maxPacket; // bytes of an IP packet that the tunnel carries
  uint16_t maxSegment;
};

}
