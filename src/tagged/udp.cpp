#include "tagged/udp.h"

#include "tagged/loop.h"

#include "absl/strings/str_cat.h"

#include <cerrno>
#include <cstring>
#include <unistd.h>

namespace gentianspindle::tagged {

namespace {

// Requested size of the socket's buffer: large enough for the packets of a peak
// load, or of a moment in which the process doesn't get the processor. The
// kernel may grant less.
constexpr int kReceiveBufferBytes = 1 << 20;

}

sockaddr_in
ToSocketAddress(Endpoint aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  address.sin_addr.s_addr = htonl(aEndpoint.address);
  return address;
}

absl::StatusOr<UdpSocket>
UdpSocket::Bind(Endpoint aListen)
{
  int descriptor =
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return absl::UnavailableError(
      absl::StrCat("open UDP socket: ", strerror(errno)));
  }
  UdpSocket udpSocket(descriptor);
  setsockopt(descriptor,
             SOL_SOCKET,
             SO_RCVBUF,
             &kReceiveBufferBytes,
             sizeof kReceiveBufferBytes);
  sockaddr_in address = ToSocketAddress(aListen);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    return absl::UnavailableError(absl::StrCat(
      "bind UDP ", FormatEndpoint(aListen), ": ", strerror(errno)));
  }
  return udpSocket;
}

absl::Status
UdpSocket::RecordArrivals() const
{
  int enabled = 1;
  if (setsockopt(this->descriptor,
                 SOL_SOCKET,
                 SO_TIMESTAMPNS,
                 &enabled,
                 sizeof enabled) != 0) {
    return absl::UnavailableError(
      absl::StrCat("record arrivals of datagrams: ", strerror(errno)));
  }
  return absl::OkStatus();
}

UdpSocket::UdpSocket(UdpSocket&& aOther) noexcept
  : descriptor(aOther.descriptor)
{
  aOther.descriptor = -1;
}

UdpSocket::~UdpSocket()
{
  if (this->descriptor >= 0) {
    close(this->descriptor);
  }
}

ReceiveBatch::ReceiveBatch(bool aRecordSources)
  : bytes(kBatchSize * kStride)
  , recordSources(aRecordSources)
{
  for (size_t i = 0; i < kBatchSize; ++i) {
    this->parts[i] = { this->bytes.data() + i * kStride + kHeadroom,
                       kDatagramBufferBytes };
    this->messages[i].msg_hdr.msg_iov = &this->parts[i];
    this->messages[i].msg_hdr.msg_iovlen = 1;
  }
}

Endpoint
ReceiveBatch::From(size_t aIndex) const
{
  const sockaddr_in& address = this->addresses[aIndex];
  return { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

size_t
ReceiveBatch::Receive(int aSocket)
{
  for (size_t i = 0; i < kBatchSize; ++i) {
    msghdr& header = this->messages[i].msg_hdr;
    header.msg_control = &this->arrivals[i];
    header.msg_controllen = sizeof this->arrivals[i];
    if (this->recordSources) {
      header.msg_name = &this->addresses[i];
      header.msg_namelen = sizeof this->addresses[i];
    }
  }
  int count =
    recvmmsg(aSocket, this->messages.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  return count < 0 ? 0 : static_cast<size_t>(count);
}

std::span<uint8_t>
ReceiveBatch::At(size_t aIndex)
{
  return { this->bytes.data() + aIndex * kStride,
           kHeadroom + this->messages[aIndex].msg_len };
}

// The kernel records arrivals in the time of day.
std::optional<Micros>
ReceiveBatch::QueueTime(size_t aIndex) const
{
  const msghdr& header = this->messages[aIndex].msg_hdr;
  const cmsghdr* control = CMSG_FIRSTHDR(&header);
  if (control == nullptr || control->cmsg_level != SOL_SOCKET ||
      control->cmsg_type != SCM_TIMESTAMPNS) {
    return std::nullopt;
  }
  timespec arrival{};
  std::memcpy(&arrival, CMSG_DATA(control), sizeof arrival);
  Micros queueTime = TimeOfDay() - ToMicros(arrival);
  return queueTime < 0 ? std::nullopt : std::optional(queueTime);
}

bool
SendBatch::Add(std::span<uint8_t> aBytes, Endpoint aTo)
{
  if (this->size == kBatchSize) {
    return false;
  }
  size_t i = this->size++;
  this->addresses[i] = ToSocketAddress(aTo);
  this->parts[i] = { aBytes.data(), aBytes.size() };
  msghdr& header = this->messages[i].msg_hdr;
  header = {};
  header.msg_name = &this->addresses[i];
  header.msg_namelen = sizeof this->addresses[i];
  header.msg_iov = &this->parts[i];
  header.msg_iovlen = 1;
  return true;
}

std::span<uint8_t>
SendBatch::NextBuffer()
{
  return this->buffers[this->usedBuffers++ % kBatchSize];
}

// A datagram can be refused for itself, as for an address that cannot be
// reached, so those after it are still tried. If the socket's buffer is full,
// that holds for all.
size_t
SendBatch::Send(int aSocket)
{
  size_t sent = 0;
  size_t next = 0;
  while (next < this->size) {
    int count = sendmmsg(aSocket,
                         this->messages.data() + next,
                         static_cast<unsigned>(this->size - next),
                         MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<size_t>(count);
      next += static_cast<size_t>(count);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else {
      ++next;
    }
  }
  this->size = 0;
  this->usedBuffers = 0;
  return sent;
}

}
