// IPv4, TCP, UDP, ICMP and Geneve headers: parsing, checksums, small answers.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <span>
#include <vector>

namespace gentianspindle {

constexpr size_t kGeneveBytes = 8;
constexpr size_t kIpv4Bytes = 20;
constexpr size_t kUdpBytes = 8;
// Outer IPv4, UDP and Geneve headers around a packet to a backend server.
constexpr size_t kTunnelBytes = kIpv4Bytes + kUdpBytes + kGeneveBytes;

constexpr uint8_t kTcpFin = 0x01;
constexpr uint8_t kTcpSyn = 0x02;
constexpr uint8_t kTcpRst = 0x04;
constexpr uint8_t kTcpPsh = 0x08;
constexpr uint8_t kTcpAck = 0x10;

// What the decisions need of one packet of a caller.
struct Segment
{
  ServiceKey service;
  FlowKey flow = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t payload = 0; // bytes after the TCP or UDP header
  uint16_t length = 0;  // bytes of the IP packet
  uint8_t flags = 0;    // TCP flags
  bool icmpError = false;
  bool dontFragment = false;

  // Opens a flow: a SYN without ACK.
  bool Opens() const
  {
    return this->service.protocol == Protocol::Tcp &&
           (this->flags & (kTcpSyn | kTcpAck | kTcpRst)) == kTcpSyn;
  }
};

// Parses an IPv4 packet of a caller. Returns Reason::None and fills aSegment,
// or the reason to drop the packet.
Reason
ParseSegment(std::span<const uint8_t> aPacket, Segment& aSegment);

// Checks a Geneve header without options that carries IPv4; aInner is what
// follows it.
Reason
ParseGeneve(std::span<const uint8_t> aDatagram,
            std::span<const uint8_t>& aInner);

// Geneve header without options that carries IPv4.
std::span<const uint8_t, kGeneveBytes>
GeneveHeader();

// Lowers the MSS option of a SYN to aMss and mends the checksum.
void
ClampMss(std::span<uint8_t> aPacket, uint16_t aMss);

// RST that answers aPacket, from the service to the caller. Empty where
// aPacket is itself a RST.
std::vector<uint8_t>
MakeReset(std::span<const uint8_t> aPacket, const Segment& aSegment);

// ICMP destination unreachable with aCode; aMtu goes with code 4.
std::vector<uint8_t>
MakeUnreachable(std::span<const uint8_t> aPacket, uint8_t aCode, uint16_t aMtu);

constexpr uint8_t kIcmpPortUnreachable = 3;
constexpr uint8_t kIcmpFragmentationNeeded = 4;

// Internet checksum over aBytes, continued from aSum.
uint16_t
Checksum(std::span<const uint8_t> aBytes, uint32_t aSum = 0);

}
