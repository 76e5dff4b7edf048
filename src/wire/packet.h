// Parses and writes IPv4, TCP, UDP, ICMP and Geneve headers, and builds the
// balancer's own replies to callers.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gentianspindle {

// Lengths of headers without options, in bytes.
constexpr size_t kGeneveBytes = 8;
constexpr size_t kIpv4Bytes = 20;
constexpr size_t kUdpBytes = 8;
// Outer IPv4, UDP and Geneve headers around a packet to a backend server.
constexpr size_t kTunnelBytes = kIpv4Bytes + kUdpBytes + kGeneveBytes;

// TCP flags.
constexpr uint8_t kTcpFin = 0x01;
constexpr uint8_t kTcpSyn = 0x02;
constexpr uint8_t kTcpRst = 0x04;
constexpr uint8_t kTcpPsh = 0x08;
constexpr uint8_t kTcpAck = 0x10;

// The fields of a caller's packet that forwarding decisions use. For an ICMP
// error, service and flow are those of the packet that it quotes.
struct Segment
{
  ServiceKey service;
  FlowKey flow = 0;
  uint32_t sequence = 0;     // TCP sequence number
  uint32_t acknowledged = 0; // TCP acknowledgement number
  uint32_t payload = 0;      // bytes after the TCP or UDP header
  uint16_t length = 0;       // bytes of the IP packet
  uint8_t flags = 0;         // TCP flags
  bool icmpError = false;
  bool dontFragment = false;

  // True where the packet opens a TCP flow: a SYN with neither ACK nor RST.
  // Always false for UDP.
  bool Opens() const
  {
    return this->service.protocol == Protocol::Tcp &&
           (this->flags & (kTcpSyn | kTcpAck | kTcpRst)) == kTcpSyn;
  }
};

// Parses an IPv4 packet of a caller. Returns Reason::None and fills aSegment,
// or the reason to drop the packet. It accepts TCP, UDP and ICMP "destination
// unreachable", and refuses IP options, fragments, a wrong checksum of the IP
// header and lengths that do not fit. Checksums of TCP, UDP and ICMP and the
// length in the UDP header are not checked.
Reason
ParseSegment(std::span<const uint8_t> aPacket, Segment& aSegment);

// Checks a Geneve header and sets aInner to the packet after it. The header
// must be of version 0, have no options and neither the control nor the
// critical bit, and announce IPv4; its VNI is not checked. Returns Reason::None
// or the reason to drop the datagram.
Reason
ParseGeneve(std::span<const uint8_t> aDatagram,
            std::span<const uint8_t>& aInner);

// Returns a Geneve header without options for an IPv4 packet.
std::span<const uint8_t, kGeneveBytes>
GeneveHeader();

// Lowers the MSS option of a TCP SYN to aMss if it is higher, and adjusts the
// checksum. ParseSegment must have accepted the packet.
void
ClampMss(std::span<uint8_t> aPacket, uint16_t aMss);

// Returns the RST that answers aPacket, a TCP packet that is refused or whose
// flow is reset, from the service to the caller. Empty for a RST and for an
// ICMP error.
std::vector<uint8_t>
MakeReset(std::span<const uint8_t> aPacket, const Segment& aSegment);

// Returns an ICMP "destination unreachable" with aCode for aPacket, from its
// destination to its source. It quotes the IP header and 8 bytes after it. aMtu
// is the MTU of the next hop for code 4, otherwise 0.
std::vector<uint8_t>
MakeUnreachable(std::span<const uint8_t> aPacket, uint8_t aCode, uint16_t aMtu);

// Codes for MakeUnreachable.
constexpr uint8_t kIcmpPortUnreachable = 3;
constexpr uint8_t kIcmpFragmentationNeeded = 4;

// Returns the Internet checksum over aBytes. aSum is the sum of the 16-bit
// words before them, an even number of bytes.
uint16_t
Checksum(std::span<const uint8_t> aBytes, uint32_t aSum = 0);

}
