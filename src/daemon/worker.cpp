#include "daemon/worker.h"

#include "daemon/control.h"

#include <algorithm>
#include <poll.h>

namespace gentianspindle {

namespace {

// Period at which an idle worker looks for a stop.
constexpr int kPollMs = 50;
// Buffer space beyond the path MTU. A packet from the fabric that is too large
// for the tunnel arrives whole if it fits, and is rejected as TooLarge; a
// longer one is cut off and dropped as BadLength.
constexpr size_t kBufferHeadroomBytes = 160;
// Outer IPv4, UDP and relay headers of a packet between two instances: 20, 8
// and up to 64 bytes.
constexpr uint16_t kRelayOverheadBytes = 92;
constexpr uint16_t kTcpIpHeaderBytes = 40;

}

Worker::Worker(Node& aNode, const Sockets& aSockets, ThreadCounts& aCounts)
  : node(aNode)
  , sockets(aSockets)
  , counts(aCounts)
  , sender(aNode, aSockets, aCounts)
{
  const FabricSettings& fabric = aNode.GetSettings().fabric;
  for (const std::string& text : fabric.sources) {
    ParseAddress(text, this->fabricSources.emplace_back());
  }
  this->maxPacket = static_cast<uint16_t>(fabric.pathMtu - kTunnelBytes);
  this->maxSegment = static_cast<uint16_t>(
    fabric.pathMtu - kRelayOverheadBytes - kTcpIpHeaderBytes);
  this->batch.bufferBytes =
    static_cast<size_t>(fabric.pathMtu) + kBufferHeadroomBytes;
  this->batch.bytes.resize(this->batch.bufferBytes * kBatch);
  for (size_t i = 0; i < kBatch; ++i) {
    this->batch.parts[i] = { this->batch.bytes.data() +
                               i * this->batch.bufferBytes,
                             this->batch.bufferBytes };
  }
}

void
Worker::Run(const std::atomic<bool>& aStop)
{
  std::array<pollfd, 2> polled{ { { this->sockets.fabric, POLLIN, 0 },
                                  { this->sockets.peer, POLLIN, 0 } } };
  while (!aStop) {
    if (poll(polled.data(), polled.size(), kPollMs) <= 0) {
      continue;
    }
    this->now = MonotonicNow();
    this->node.DetectProcessPause(this->now);
    this->snapshot = this->node.Current();
    if ((polled[0].revents & POLLIN) != 0) {
      size_t count = this->Receive(this->sockets.fabric);
      for (size_t i = 0; i < count; ++i) {
        this->OnFabric(this->Datagram(i), this->Source(i));
      }
      this->sender.Flush();
    }
    if ((polled[1].revents & POLLIN) != 0) {
      size_t count = this->Receive(this->sockets.peer);
      for (size_t i = 0; i < count; ++i) {
        this->OnPeer(this->Datagram(i), this->Source(i));
      }
      this->sender.Flush();
    }
  }
}

size_t
Worker::Receive(int aSocket)
{
  for (size_t i = 0; i < kBatch; ++i) {
    msghdr& header = this->batch.messages[i].msg_hdr;
    header = {};
    header.msg_name = &this->batch.sources[i];
    header.msg_namelen = sizeof(sockaddr_in);
    header.msg_iov = &this->batch.parts[i];
    header.msg_iovlen = 1;
  }
  int count = recvmmsg(
    aSocket, this->batch.messages.data(), kBatch, MSG_DONTWAIT, nullptr);
  return count < 0 ? 0 : static_cast<size_t>(count);
}

std::span<uint8_t>
Worker::Datagram(size_t aIndex)
{
  auto* bytes = static_cast<uint8_t*>(this->batch.parts[aIndex].iov_base);
  return { bytes, this->batch.messages[aIndex].msg_len };
}

InstanceId
Worker::Source(size_t aIndex) const
{
  const sockaddr_in& source = this->batch.sources[aIndex];
  return MakeInstanceId(ntohl(source.sin_addr.s_addr), ntohs(source.sin_port));
}

void
Worker::OnFabric(std::span<uint8_t> aDatagram, InstanceId aSource)
{
  this->counts.Add(Path::FabricIn, aDatagram.size());
  bool allowed =
    std::find(this->fabricSources.begin(),
              this->fabricSources.end(),
              InstanceAddress(aSource)) != this->fabricSources.end();
  if (!allowed) {
    this->counts.Add(Reason::UnknownSource);
    return;
  }
  std::span<const uint8_t> inner;
  Segment segment;
  Reason dropReason = ParseGeneve(aDatagram, inner);
  if (dropReason == Reason::None) {
    dropReason = ParseSegment(inner, segment);
  }
  if (dropReason != Reason::None) {
    this->counts.Add(dropReason);
    return;
  }
  if (this->RejectIfTooLarge(inner, segment)) {
    return;
  }
  if (segment.Opens()) {
    ClampMss(aDatagram.subspan(kGeneveBytes), this->maxSegment);
  }
  Arrival arrival{ .now = this->now,
                   .segment = &segment,
                   .packet = inner.first(segment.length) };
  this->HandlePacket(arrival);
}

bool
Worker::RejectIfTooLarge(std::span<const uint8_t> aPacket,
                         const Segment& aSegment)
{
  if (aSegment.length <= this->maxPacket) {
    return false;
  }
  this->counts.Add(Reason::TooLarge);
  if (aSegment.dontFragment) {
    this->sender.SendToCaller(
      MakeUnreachable(aPacket, kIcmpFragmentationNeeded, this->maxPacket));
  }
  return true;
}

void
Worker::OnPeer(std::span<uint8_t> aDatagram, InstanceId aSource)
{
  if (aDatagram.empty()) {
    this->counts.Add(Reason::BadPeerMessage);
    return;
  }
  auto kind = static_cast<DatagramKind>(aDatagram[0]);
  if (kind == DatagramKind::Control) {
    this->counts.Add(Path::ControlIn, aDatagram.size());
    HandleSealedProbe(this->node, this->sender, this->counts, aDatagram);
    return;
  }
  // Relays and notes are not signed; they are accepted if their source has the
  // address and port of a member.
  if (!this->snapshot->peers.contains(aSource)) {
    this->counts.Add(Reason::UnknownSource);
    return;
  }
  if (kind == DatagramKind::Relay) {
    this->OnRelay(aDatagram);
  } else if (kind == DatagramKind::Note) {
    this->OnNote(aDatagram, aSource);
  } else {
    this->counts.Add(Reason::BadPeerMessage);
  }
}

void
Worker::OnRelay(std::span<uint8_t> aDatagram)
{
  this->counts.Add(Path::PeerIn, aDatagram.size());
  RelayedPacket relayed;
  Segment segment;
  if (!DecodeRelay(aDatagram, relayed) ||
      ParseSegment(relayed.packet, segment) != Reason::None) {
    this->counts.Add(Reason::BadPeerMessage);
    return;
  }
  Arrival arrival{ .now = this->now,
                   .segment = &segment,
                   .packet = relayed.packet,
                   .relayed = true,
                   .version = relayed.version,
                   .walk = relayed.walk };
  this->HandlePacket(arrival);
}

void
Worker::OnNote(std::span<uint8_t> aDatagram, InstanceId aSource)
{
  this->counts.Add(Path::NotesIn, aDatagram.size());
  Note note;
  ServiceKey key;
  if (!DecodeNote(aDatagram, note, key)) {
    this->counts.Add(Reason::BadPeerMessage);
    return;
  }
  note.from = aSource;
  auto service = this->snapshot->services.find(key);
  if (service == this->snapshot->services.end()) {
    this->counts.Add(Reason::UnknownService);
    return;
  }
  this->out.clear();
  int64_t version = 0;
  {
    absl::MutexLock lock(&service->second->mutex);
    service->second->engine.OnNote(note, this->now, this->out);
    version = service->second->engine.Version();
  }
  this->sender.Execute(
    { this->out.data(), this->out.size() }, {}, key, version);
}

void
Worker::HandlePacket(Arrival& aArrival)
{
  if (!this->snapshot->joined) {
    this->counts.Add(Reason::NotJoined);
    return;
  }
  const ServiceKey& key = aArrival.segment->service;
  auto service = this->snapshot->services.find(key);
  if (service == this->snapshot->services.end()) {
    this->counts.Add(this->snapshot->tableVersion == 0
                       ? Reason::NoTable
                       : Reason::UnknownService);
    return;
  }
  this->out.clear();
  int64_t version = 0;
  {
    absl::MutexLock lock(&service->second->mutex);
    service->second->engine.OnPacket(aArrival, this->out);
    version = service->second->engine.Version();
  }
  this->sender.Execute(
    { this->out.data(), this->out.size() }, aArrival.packet, key, version);
}

}
