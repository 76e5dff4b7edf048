// Queues outgoing datagrams and carries decisions out. One per thread.
#pragma once

#include "daemon/node.h"

#include <array>
#include <deque>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace gentianspindle {

sockaddr_in
ToSocketAddress(InstanceId aEndpoint);

// UDP sockets of one thread.
struct Sockets
{
  int fabric = -1;
  int peer = -1;
};

// Opens the two sockets; several threads may share the ports.
absl::StatusOr<Sockets>
OpenSockets(const Settings& aSettings);
void
CloseSockets(Sockets& aSockets);

class Sender
{
public:
  Sender(const Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts);

  // aPacket must live until Flush; decisions that bring a packet of their own
  // are moved from.
  void Execute(std::span<Decision> aDecisions,
               std::span<const uint8_t> aPacket,
               const ServiceKey& aService,
               int64_t aVersion);
  void SendControl(InstanceId aPeer, std::string aDatagram);
  // Packet of our own to a caller, through the fabric.
  void SendToCaller(std::vector<uint8_t> aPacket);
  void Flush();

private:
  static constexpr size_t kBatch = 128;
  static constexpr size_t kHeaderBytes = 96;

  struct Queue
  {
    std::array<mmsghdr, kBatch> messages{};
    std::array<std::array<iovec, 2>, kBatch> parts{};
    std::array<sockaddr_in, kBatch> targets{};
    std::array<std::array<uint8_t, kHeaderBytes>, kBatch> headers{};
    size_t used = 0;
  };

  void ExecuteOne(Decision& aDecision,
                  std::span<const uint8_t> aPacket,
                  const ServiceKey& aService,
                  int64_t aVersion);
  void SendRejection(const Decision& aDecision,
                     std::span<const uint8_t> aPacket);
  void Enqueue(Queue& aQueue,
               int aSocket,
               InstanceId aTarget,
               std::span<const uint8_t> aHeader,
               std::span<const uint8_t> aBody);
  void FlushQueue(Queue& aQueue, int aSocket);
  std::span<const uint8_t> KeepUntilFlush(std::vector<uint8_t> aBytes);

  Sockets sockets;
  ThreadCounts& counts;
  InstanceId returnEndpoint = kNoInstance;
  uint16_t serverPort;
  Queue toFabric; // and to backend servers
  Queue toPeers;
  std::deque<std::vector<uint8_t>> pendingBuffers; // until the next flush
};

}
