#include "wire/packet.h"

#include "base/bytes.h"

#include <algorithm>
#include <array>

namespace gentianspindle {

namespace {

constexpr uint16_t kEtherIpv4 = 0x0800;
constexpr size_t kTcpBytes = 20;
constexpr uint8_t kProtocolIcmp = 1;
constexpr uint8_t kIcmpUnreachable = 3;
constexpr size_t kIcmpBytes = 8;
constexpr size_t kIcmpQuotedBytes = 8; // of the quoted packet's payload
constexpr uint8_t kOptionEnd = 0;
constexpr uint8_t kOptionNop = 1;
constexpr uint8_t kOptionMss = 2;
constexpr uint8_t kReplyTtl = 64;

// Adds the 16-bit words of aBytes to aSum, without folding the carries.
uint32_t
SumWords(std::span<const uint8_t> aBytes, uint32_t aSum)
{
  size_t offset = 0;
  for (; offset + 1 < aBytes.size(); offset += 2) {
    aSum += Load16(aBytes, offset);
  }
  if (offset < aBytes.size()) {
    aSum += uint32_t{ aBytes[offset] } << 8;
  }
  return aSum;
}

// Returns the length of an IPv4 header, from its first byte.
size_t
HeaderBytes(std::span<const uint8_t> aPacket)
{
  return size_t{ aPacket[0] & 0x0FU } * 4;
}

// Checks the IPv4 header alone.
Reason
CheckIpv4(std::span<const uint8_t> aPacket)
{
  if (aPacket.empty()) {
    return Reason::ShortPacket;
  }
  if (aPacket[0] >> 4 != 4) {
    return Reason::NotIpv4;
  }
  if (aPacket.size() < kIpv4Bytes) {
    return Reason::ShortPacket;
  }
  if (HeaderBytes(aPacket) != kIpv4Bytes) {
    return Reason::BadOptions;
  }
  size_t length = Load16(aPacket, 2);
  if (length < kIpv4Bytes || length > aPacket.size()) {
    return Reason::BadLength;
  }
  if ((Load16(aPacket, 6) & 0x3FFF) != 0) {
    return Reason::Fragment;
  }
  if (Checksum(aPacket.first(kIpv4Bytes)) != 0) {
    return Reason::BadChecksum;
  }
  return Reason::None;
}

// Fills the TCP fields of aSegment.
Reason
ParseTcp(std::span<const uint8_t> aTcp, Segment& aSegment)
{
  if (aTcp.size() < kTcpBytes) {
    return Reason::ShortPacket;
  }
  size_t header = static_cast<size_t>(aTcp[12] >> 4) * 4;
  if (header < kTcpBytes || header > aTcp.size()) {
    return Reason::BadLength;
  }
  aSegment.sequence = Load32(aTcp, 4);
  aSegment.acknowledged = Load32(aTcp, 8);
  aSegment.flags = aTcp[13];
  aSegment.payload = static_cast<uint32_t>(aTcp.size() - header);
  return Reason::None;
}

// Fills service and flow of aSegment from an ICMP "destination unreachable";
// all other ICMP messages are refused. An error from the caller's side quotes a
// packet that the backend server sent, whose source is the service and whose
// destination is the caller.
Reason
ParseIcmpError(std::span<const uint8_t> aIcmp, Segment& aSegment)
{
  if (aIcmp.size() < kIcmpBytes + kIpv4Bytes + kIcmpQuotedBytes) {
    return Reason::ShortPacket;
  }
  if (aIcmp[0] != kIcmpUnreachable) {
    return Reason::UnknownProtocol;
  }
  std::span<const uint8_t> quoted = aIcmp.subspan(kIcmpBytes);
  if (quoted[0] >> 4 != 4 || HeaderBytes(quoted) != kIpv4Bytes) {
    return Reason::BadOptions;
  }
  if (quoted[9] != static_cast<uint8_t>(Protocol::Tcp) &&
      quoted[9] != static_cast<uint8_t>(Protocol::Udp)) {
    return Reason::UnknownProtocol;
  }
  aSegment.service.protocol = static_cast<Protocol>(quoted[9]);
  aSegment.service.address = Load32(quoted, 12);
  aSegment.service.port = Load16(quoted, kIpv4Bytes);
  aSegment.flow =
    MakeFlowKey(Load32(quoted, 16), Load16(quoted, kIpv4Bytes + 2));
  aSegment.icmpError = true;
  return Reason::None;
}

// Writes the IPv4 header of a reply, with "don't fragment" set. aReply has the
// length of the whole packet.
void
WriteReplyHeader(std::span<uint8_t> aReply,
                 uint8_t aProtocol,
                 Address aSource,
                 Address aDestination)
{
  aReply[0] = 0x45;
  Store16(aReply, 2, static_cast<uint16_t>(aReply.size()));
  Store16(aReply, 6, 0x4000);
  aReply[8] = kReplyTtl;
  aReply[9] = aProtocol;
  Store32(aReply, 12, aSource);
  Store32(aReply, 16, aDestination);
  Store16(aReply, 10, Checksum(aReply.first(kIpv4Bytes)));
}

}

uint16_t
Checksum(std::span<const uint8_t> aBytes, uint32_t aSum)
{
  uint32_t sum = SumWords(aBytes, aSum);
  while (sum >> 16 != 0) {
    sum = (sum & 0xFFFF) + (sum >> 16);
  }
  return static_cast<uint16_t>(~sum);
}

Reason
ParseSegment(std::span<const uint8_t> aPacket, Segment& aSegment)
{
  Reason reason = CheckIpv4(aPacket);
  if (reason != Reason::None) {
    return reason;
  }
  aSegment = Segment{};
  aSegment.length = Load16(aPacket, 2);
  aSegment.dontFragment = (aPacket[6] & 0x40) != 0;
  std::span<const uint8_t> body =
    aPacket.subspan(kIpv4Bytes, aSegment.length - kIpv4Bytes);
  uint8_t protocol = aPacket[9];
  if (protocol == kProtocolIcmp) {
    return ParseIcmpError(body, aSegment);
  }
  if (protocol != static_cast<uint8_t>(Protocol::Tcp) &&
      protocol != static_cast<uint8_t>(Protocol::Udp)) {
    return Reason::UnknownProtocol;
  }
  if (body.size() < kUdpBytes) {
    return Reason::ShortPacket;
  }
  aSegment.service.protocol = static_cast<Protocol>(protocol);
  aSegment.service.address = Load32(aPacket, 16);
  aSegment.service.port = Load16(body, 2);
  aSegment.flow = MakeFlowKey(Load32(aPacket, 12), Load16(body, 0));
  if (aSegment.service.protocol == Protocol::Tcp) {
    return ParseTcp(body, aSegment);
  }
  aSegment.payload = static_cast<uint32_t>(body.size() - kUdpBytes);
  return Reason::None;
}

Reason
ParseGeneve(std::span<const uint8_t> aDatagram,
            std::span<const uint8_t>& aInner)
{
  if (aDatagram.size() < kGeneveBytes) {
    return Reason::ShortPacket;
  }
  if (aDatagram[0] >> 6 != 0) {
    return Reason::BadVersion;
  }
  if ((aDatagram[0] & 0x3F) != 0 || (aDatagram[1] & 0xC0) != 0) {
    return Reason::BadOptions;
  }
  if (Load16(aDatagram, 2) != kEtherIpv4) {
    return Reason::NotIpv4;
  }
  aInner = aDatagram.subspan(kGeneveBytes);
  return Reason::None;
}

std::span<const uint8_t, kGeneveBytes>
GeneveHeader()
{
  static constexpr std::array<uint8_t, kGeneveBytes> kHeader{ 0, 0, 0x08, 0x00,
                                                              0, 0, 0,    0 };
  return kHeader;
}

void
ClampMss(std::span<uint8_t> aPacket, uint16_t aMss)
{
  std::span<uint8_t> tcp = aPacket.subspan(kIpv4Bytes);
  size_t end = static_cast<size_t>(tcp[12] >> 4) * 4;
  size_t offset = kTcpBytes;
  while (offset < end && tcp[offset] != kOptionEnd) {
    if (tcp[offset] == kOptionNop) {
      ++offset;
      continue;
    }
    if (offset + 1 >= end || tcp[offset + 1] < 2 ||
        offset + tcp[offset + 1] > end) {
      return;
    }
    if (tcp[offset] == kOptionMss && tcp[offset + 1] == 4) {
      uint16_t oldMss = Load16(tcp, offset + 2);
      if (oldMss <= aMss) {
        return;
      }
      // RFC 1624, equation 3. A value at an odd offset enters the sum with its
      // bytes swapped.
      uint32_t sum = static_cast<uint16_t>(~Load16(tcp, 16));
      bool odd = offset % 2 != 0;
      auto word = [odd](uint16_t aValue) {
        return odd ? static_cast<uint16_t>((aValue >> 8) | (aValue << 8))
                   : aValue;
      };
      sum += static_cast<uint16_t>(~word(oldMss));
      sum += word(aMss);
      Store16(tcp, offset + 2, aMss);
      Store16(tcp, 16, Checksum({}, sum));
      return;
    }
    offset += tcp[offset + 1];
  }
}

std::vector<uint8_t>
MakeReset(std::span<const uint8_t> aPacket, const Segment& aSegment)
{
  if ((aSegment.flags & kTcpRst) != 0 || aSegment.icmpError) {
    return {};
  }
  std::vector<uint8_t> reply(kIpv4Bytes + kTcpBytes);
  Address service = Load32(aPacket, 16);
  Address caller = Load32(aPacket, 12);
  std::span<uint8_t> tcp = std::span(reply).subspan(kIpv4Bytes);
  Store16(tcp, 0, Load16(aPacket, kIpv4Bytes + 2));
  Store16(tcp, 2, Load16(aPacket, kIpv4Bytes));
  // RFC 9293, 3.10.7.1: a RST in reply to an ACK takes the acknowledgement
  // number as its sequence number. Otherwise it acknowledges the whole segment.
  if ((aSegment.flags & kTcpAck) != 0) {
    Store32(tcp, 4, aSegment.acknowledged);
    tcp[13] = kTcpRst;
  } else {
    uint32_t segmentLength = aSegment.payload +
                             ((aSegment.flags & kTcpSyn) != 0 ? 1 : 0) +
                             ((aSegment.flags & kTcpFin) != 0 ? 1 : 0);
    Store32(tcp, 8, aSegment.sequence + segmentLength);
    tcp[13] = kTcpRst | kTcpAck;
  }
  tcp[12] = (kTcpBytes / 4) << 4;
  WriteReplyHeader(reply, static_cast<uint8_t>(Protocol::Tcp), service, caller);
  uint32_t pseudo = SumWords(std::span(reply).subspan(12, 8), 0);
  pseudo += static_cast<uint8_t>(Protocol::Tcp) + kTcpBytes;
  Store16(tcp, 16, Checksum(tcp, pseudo));
  return reply;
}

std::vector<uint8_t>
MakeUnreachable(std::span<const uint8_t> aPacket, uint8_t aCode, uint16_t aMtu)
{
  size_t quoted = std::min(aPacket.size(), kIpv4Bytes + kIcmpQuotedBytes);
  std::vector<uint8_t> reply(kIpv4Bytes + kIcmpBytes + quoted);
  std::span<uint8_t> icmp = std::span(reply).subspan(kIpv4Bytes);
  icmp[0] = kIcmpUnreachable;
  icmp[1] = aCode;
  Store16(icmp, 6, aMtu);
  std::copy_n(aPacket.begin(), quoted, icmp.begin() + kIcmpBytes);
  Store16(icmp, 2, Checksum(icmp));
  WriteReplyHeader(
    reply, kProtocolIcmp, Load32(aPacket, 16), Load32(aPacket, 12));
  return reply;
}

}
