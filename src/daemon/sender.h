// Executes the decisions of the engines and sends datagrams in batches.
#pragma once

#include "daemon/node.h"

#include <array>
#include <deque>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace gentianspindle {

// Converts any address and port, not only those of an instance.
sockaddr_in
ToSocketAddress(InstanceId aEndpoint);

// UDP sockets of one worker. Other threads may send through them, too.
struct Sockets
{
  int fabric = -1;
  int peer = -1;
};

// Opens both sockets. All workers bind the same ports (SO_REUSEPORT).
absl::StatusOr<Sockets>
OpenSockets(const Settings& aSettings);
void
CloseSockets(Sockets& aSockets);

// Queues datagrams until Flush sends them or a queue is full. Not thread-safe:
// each thread has a sender of its own.
class Sender
{
public:
  Sender(const Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts);

  // Queues what aDecisions require. aPacket is the arriving packet and must
  // live until Flush; a decision on a held packet brings that packet with
  // it, and it is moved from. aVersion is Engine::Version() of the service,
  // which goes into the header of relayed packets.
  void Execute(std::span<Decision> aDecisions,
               std::span<const uint8_t> aPacket,
               const ServiceKey& aService,
               int64_t aVersion);
  // Queues a sealed membership probe or its reply.
  void SendSealedProbe(InstanceId aPeer, std::string aDatagram);
  // Queues a packet that this instance made for a caller; the fabric delivers
  // it.
  void SendToCaller(std::vector<uint8_t> aPacket);
  // Sends all queued datagrams.
  void Flush();

private:
  static constexpr size_t kBatch = 128; // datagrams
  // Space for a header or note that is copied into the queue. It must hold the
  // longest one, as Enqueue does not check the length.
  static constexpr size_t kHeaderBytes = 96;

  // Datagrams for one sendmmsg call, each of a copied header and a body that
  // is only referred to.
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
  // Answers a refused or reset flow: RST for TCP; for UDP, ICMP port
  // unreachable if it is refused and nothing if it is reset.
  void SendRejection(const Decision& aDecision,
                     std::span<const uint8_t> aPacket);
  void Enqueue(Queue& aQueue,
               int aSocket,
               InstanceId aTarget,
               std::span<const uint8_t> aHeader,
               std::span<const uint8_t> aBody);
  void FlushQueue(Queue& aQueue, int aSocket);
  // Takes aBytes over, so that a queue can refer to them.
  std::span<const uint8_t> KeepUntilFlush(std::vector<uint8_t> aBytes);

  Sockets sockets;
  ThreadCounts& counts;
  // Where the fabric takes packets to callers.
  InstanceId returnEndpoint = kNoInstance;
  uint16_t serverPort;
  Queue toFabric; // to the fabric and to backend servers
  Queue toPeers;
  // Bodies that the queues refer to until the next flush.
  std::deque<std::vector<uint8_t>> pendingBuffers;
};

}
