#include "daemon/sender.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace gentianspindle {

sockaddr_in
ToSocketAddress(InstanceId aEndpoint)
{
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(InstanceAddress(aEndpoint));
  target.sin_port = htons(InstancePort(aEndpoint));
  return target;
}

namespace {

constexpr int kSocketBufferBytes = 4 << 20;
// Seconds and microseconds. Without effect at present: only the workers
// receive, and they do so without blocking.
constexpr timeval kReceiveTimeout{ 0, 50'000 };

absl::StatusOr<int>
OpenUdp(InstanceId aEndpoint)
{
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  int on = 1;
  sockaddr_in address = ToSocketAddress(aEndpoint);
  bool bound =
    fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  if (!bound) {
    std::string text = absl::StrCat(
      "bind UDP ", FormatInstance(aEndpoint), ": ", std::strerror(errno));
    if (fd >= 0) {
      close(fd);
    }
    return absl::UnavailableError(text);
  }
  // These options are best effort; the socket works without them.
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof(int));
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes, sizeof(int));
  setsockopt(
    fd, SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout, sizeof(kReceiveTimeout));
  return fd;
}

}

absl::StatusOr<Sockets>
OpenSockets(const Settings& aSettings)
{
  Address address = 0;
  ParseAddress(aSettings.instance.address, address);
  Sockets sockets;
  absl::StatusOr<int> fabric = OpenUdp(
    MakeInstanceId(address, static_cast<uint16_t>(aSettings.fabric.port)));
  if (!fabric.ok()) {
    return fabric.status();
  }
  sockets.fabric = *fabric;
  absl::StatusOr<int> peer = OpenUdp(
    MakeInstanceId(address, static_cast<uint16_t>(aSettings.peers.port)));
  if (!peer.ok()) {
    close(sockets.fabric);
    return peer.status();
  }
  sockets.peer = *peer;
  return sockets;
}

void
CloseSockets(Sockets& aSockets)
{
  close(aSockets.fabric);
  close(aSockets.peer);
}

Sender::Sender(const Node& aNode,
               const Sockets& aSockets,
               ThreadCounts& aCounts)
  : sockets(aSockets)
  , counts(aCounts)
  , serverPort(static_cast<uint16_t>(aNode.GetSettings().fabric.serverPort))
{
  ParseInstance(aNode.GetSettings().fabric.answer, this->returnEndpoint);
}

void
Sender::Execute(std::span<Decision> aDecisions,
                std::span<const uint8_t> aPacket,
                const ServiceKey& aService,
                int64_t aVersion)
{
  for (Decision& decision : aDecisions) {
    std::span<const uint8_t> packet = aPacket;
    if (!decision.packet.empty()) {
      packet = this->KeepUntilFlush(std::move(decision.packet));
    }
    this->ExecuteOne(decision, packet, aService, aVersion);
  }
}

void
Sender::ExecuteOne(Decision& aDecision,
                   std::span<const uint8_t> aPacket,
                   const ServiceKey& aService,
                   int64_t aVersion)
{
  switch (aDecision.action) {
    case Action::Forward:
      this->counts.Add(Path::ToServer, aPacket.size());
      this->Enqueue(this->toFabric,
                    this->sockets.fabric,
                    MakeInstanceId(aDecision.server, this->serverPort),
                    GeneveHeader(),
                    aPacket);
      break;
    case Action::Relay: {
      std::span<const uint8_t> header =
        EncodeRelayHeader(aDecision.walk, aVersion);
      this->counts.Add(Path::ToPeer, header.size() + aPacket.size());
      this->Enqueue(
        this->toPeers, this->sockets.peer, aDecision.peer, header, aPacket);
      break;
    }
    case Action::SendNote: {
      std::span<const uint8_t> note = EncodeNote(aDecision.note, aService);
      this->counts.Add(Path::NotesOut, note.size());
      this->Enqueue(
        this->toPeers, this->sockets.peer, aDecision.peer, note, {});
      break;
    }
    case Action::Refuse:
    case Action::Reset:
      this->SendRejection(aDecision, aPacket);
      break;
    case Action::Drop:
    case Action::Hold:
      break;
  }
}

void
Sender::SendRejection(const Decision& aDecision,
                      std::span<const uint8_t> aPacket)
{
  Segment segment;
  if (ParseSegment(aPacket, segment) != Reason::None) {
    return;
  }
  bool udp = segment.service.protocol == Protocol::Udp;
  std::vector<uint8_t> answer;
  if (!udp) {
    answer = MakeReset(aPacket, segment);
  } else if (aDecision.action == Action::Refuse) {
    answer = MakeUnreachable(aPacket, kIcmpPortUnreachable, 0);
  }
  if (!answer.empty()) {
    this->SendToCaller(std::move(answer));
  }
}

void
Sender::SendToCaller(std::vector<uint8_t> aPacket)
{
  std::span<const uint8_t> packet = this->KeepUntilFlush(std::move(aPacket));
  this->counts.Add(Path::ToCaller, packet.size());
  this->Enqueue(this->toFabric,
                this->sockets.fabric,
                this->returnEndpoint,
                GeneveHeader(),
                packet);
}

void
Sender::SendSealedProbe(InstanceId aPeer, std::string aDatagram)
{
  this->counts.Add(Path::ControlOut, aDatagram.size());
  std::span<const uint8_t> body =
    this->KeepUntilFlush({ aDatagram.begin(), aDatagram.end() });
  this->Enqueue(this->toPeers, this->sockets.peer, aPeer, {}, body);
}

std::span<const uint8_t>
Sender::KeepUntilFlush(std::vector<uint8_t> aBytes)
{
  this->pendingBuffers.push_back(std::move(aBytes));
  return this->pendingBuffers.back();
}

void
Sender::Enqueue(Queue& aQueue,
                int aSocket,
                InstanceId aTarget,
                std::span<const uint8_t> aHeader,
                std::span<const uint8_t> aBody)
{
  if (aQueue.used == kBatch) {
    this->FlushQueue(aQueue, aSocket);
  }
  size_t i = aQueue.used++;
  std::copy(aHeader.begin(), aHeader.end(), aQueue.headers[i].begin());
  aQueue.parts[i][0] = { aQueue.headers[i].data(), aHeader.size() };
  aQueue.parts[i][1] = { const_cast<uint8_t*>(aBody.data()), aBody.size() };
  aQueue.targets[i] = ToSocketAddress(aTarget);
  msghdr& header = aQueue.messages[i].msg_hdr;
  header = {};
  header.msg_name = &aQueue.targets[i];
  header.msg_namelen = sizeof(sockaddr_in);
  header.msg_iov = aQueue.parts[i].data();
  header.msg_iovlen = 2;
}

void
Sender::FlushQueue(Queue& aQueue, int aSocket)
{
  size_t sent = 0;
  while (sent < aQueue.used) {
    int count = sendmmsg(aSocket,
                         aQueue.messages.data() + sent,
                         static_cast<unsigned>(aQueue.used - sent),
                         0);
    if (count <= 0) {
      // The first message failed, for example as no route leads to its target.
      // It is dropped, and the rest is still sent. A full socket buffer is no
      // failure: the socket blocks until there is space.
      this->counts.Add(Reason::SocketFull);
      ++sent;
      continue;
    }
    sent += static_cast<size_t>(count);
  }
  aQueue.used = 0;
}

void
Sender::Flush()
{
  this->FlushQueue(this->toFabric, this->sockets.fabric);
  this->FlushQueue(this->toPeers, this->sockets.peer);
  this->pendingBuffers.clear();
}

}
