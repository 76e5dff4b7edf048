// Guards against packets that are parsed, changed or built wrongly: libtins, an
// independent library, builds the inputs and reads the results.
#include "wire/packet.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

namespace gentianspindle {

namespace {

// A SYN from 10.0.0.1:40000 to 203.0.113.10:443 with an MSS of 1460.
Tins::IP
MakeSyn()
{
  Tins::TCP tcp(443, 40'000);
  tcp.flags(Tins::TCP::SYN);
  tcp.seq(1000);
  tcp.mss(1460);
  return Tins::IP("203.0.113.10", "10.0.0.1") / tcp;
}

}

TEST_CASE("A SYN is parsed as an independent library built it")
{
  std::vector<uint8_t> packet = MakeSyn().serialize();
  Segment segment;
  REQUIRE(ParseSegment(packet, segment) == Reason::None);
  CHECK(segment.Opens());
  CHECK(segment.service == ServiceKey{ 0xCB00710A, 443, Protocol::Tcp });
  CHECK(segment.flow == MakeFlowKey(0x0A000001, 40'000));
  CHECK(segment.sequence == 1000);
}

TEST_CASE(
  "The MSS is lowered to the limit but never raised, and the checksum stays "
  "valid")
{
  for (bool odd : { false, true }) {
    Tins::IP ip = MakeSyn();
    if (odd) {
      Tins::TCP& tcp = ip.rfind_pdu<Tins::TCP>();
      tcp.remove_option(Tins::TCP::MSS);
      tcp.add_option(Tins::TCP::option(Tins::TCP::NOP));
      tcp.mss(1460);
    }
    std::vector<uint8_t> packet = ip.serialize();
    ClampMss(packet, 1300);
    Tins::IP clamped(packet.data(), static_cast<uint32_t>(packet.size()));
    CHECK(clamped.rfind_pdu<Tins::TCP>().mss() == 1300);
    uint16_t sum = clamped.rfind_pdu<Tins::TCP>().checksum();
    std::vector<uint8_t> reserialized = clamped.serialize();
    Tins::IP recomputed(reserialized.data(),
                        static_cast<uint32_t>(reserialized.size()));
    CHECK(recomputed.rfind_pdu<Tins::TCP>().checksum() == sum);
    ClampMss(packet, 1400); // above the MSS: no change
    Tins::IP unchanged(packet.data(), static_cast<uint32_t>(packet.size()));
    CHECK(unchanged.rfind_pdu<Tins::TCP>().mss() == 1300);
  }
}

TEST_CASE("The RST for a SYN has the ports, flags and numbers of RFC 9293")
{
  std::vector<uint8_t> packet = MakeSyn().serialize();
  Segment segment;
  ParseSegment(packet, segment);
  std::vector<uint8_t> reset = MakeReset(packet, segment);
  Tins::IP ip(reset.data(), static_cast<uint32_t>(reset.size()));
  const Tins::TCP& tcp = ip.rfind_pdu<Tins::TCP>();
  CHECK(ip.dst_addr() == "10.0.0.1");
  CHECK(tcp.sport() == 443);
  CHECK(tcp.dport() == 40'000);
  CHECK(tcp.flags() == (Tins::TCP::RST | Tins::TCP::ACK));
  CHECK(tcp.ack_seq() == 1001);
  std::vector<uint8_t> reserialized = ip.serialize();
  CHECK(reserialized == reset); // libtins computed the same checksums
}

TEST_CASE("An ICMP error belongs to the flow of the packet that it quotes")
{
  Tins::TCP quoted(40'000, 443);
  Tins::IP inner = Tins::IP("10.0.0.1", "203.0.113.10") / quoted;
  Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
  icmp.code(4);
  Tins::IP ip = Tins::IP("203.0.113.10", "192.0.2.1") / icmp /
                Tins::RawPDU(inner.serialize());
  std::vector<uint8_t> packet = ip.serialize();
  Segment segment;
  REQUIRE(ParseSegment(packet, segment) == Reason::None);
  CHECK(segment.icmpError);
  CHECK(segment.flow == MakeFlowKey(0x0A000001, 40'000));
  CHECK(segment.service == ServiceKey{ 0xCB00710A, 443, Protocol::Tcp });
}

TEST_CASE("Malformed packets are refused, each with its reason")
{
  std::vector<uint8_t> validPacket = MakeSyn().serialize();
  Segment segment;
  auto parseModified = [&](auto aModify) {
    std::vector<uint8_t> packet = validPacket;
    aModify(packet);
    return ParseSegment(packet, segment);
  };
  auto fixChecksum = [](std::vector<uint8_t>& aPacket) {
    aPacket[10] = aPacket[11] = 0;
    uint16_t sum = Checksum(std::span(aPacket).first(kIpv4Bytes));
    aPacket[10] = static_cast<uint8_t>(sum >> 8);
    aPacket[11] = static_cast<uint8_t>(sum);
  };
  using Packet = std::vector<uint8_t>;
  CHECK(parseModified([](Packet& aPacket) { aPacket.clear(); }) ==
        Reason::ShortPacket);
  CHECK(parseModified([](Packet& aPacket) { aPacket[0] = 0x60; }) ==
        Reason::NotIpv4);
  CHECK(parseModified([](Packet& aPacket) { aPacket[0] = 0x46; }) ==
        Reason::BadOptions);
  CHECK(parseModified([](Packet& aPacket) { aPacket.resize(30); }) ==
        Reason::BadLength);
  CHECK(parseModified([](Packet& aPacket) { aPacket[6] |= 0x20; }) ==
        Reason::Fragment);
  CHECK(parseModified([](Packet& aPacket) { aPacket[10] ^= 1; }) ==
        Reason::BadChecksum);
  CHECK(parseModified([&](Packet& aPacket) {
          aPacket[9] = 47;
          fixChecksum(aPacket);
        }) == Reason::UnknownProtocol);
  CHECK(parseModified([](Packet& aPacket) { aPacket[32] = 0x10; }) ==
        Reason::BadLength);
}

TEST_CASE("Malformed Geneve headers are refused, each with its reason")
{
  std::vector<uint8_t> datagram(GeneveHeader().begin(), GeneveHeader().end());
  std::span<const uint8_t> inner;
  CHECK(ParseGeneve(datagram, inner) == Reason::None);
  CHECK(ParseGeneve(std::span(datagram).first(7), inner) ==
        Reason::ShortPacket);
  datagram[0] = 0x40;
  CHECK(ParseGeneve(datagram, inner) == Reason::BadVersion);
  datagram[0] = 0x01;
  CHECK(ParseGeneve(datagram, inner) == Reason::BadOptions);
  datagram[0] = 0;
  datagram[2] = 0x86;
  CHECK(ParseGeneve(datagram, inner) == Reason::NotIpv4);
}

}
