// Guards against packets that are decoded, encapsulated or built differently
// from the published format.
#include "platform/wire.h"

#include "tagged/transport.h"

#include <catch2/catch.hpp>
#include <vector>

namespace gentianspindle {

namespace {

// The opening packet of the published example: 100.64.0.7:40001 to
// 198.18.0.1:443.
std::vector<uint8_t>
OpeningPacket()
{
  return { 0x11, 0x22, 0x33, 0x44, 0,    0,    0,    0,    1,    0, 0,
           0,    0xa1, 0xb2, 0xc3, 0xd5, 0x9c, 0x41, 0x64, 0x40, 0, 7,
           1,    0xbb, 0xc6, 0x12, 0,    1,    0,    0,    0,    0 };
}

// A packet of the same flow that carries aData and has the ACK flag, 64.
std::vector<uint8_t>
PacketWithData(const std::string& aData)
{
  std::vector<uint8_t> bytes = OpeningPacket();
  bytes[8] = 64;
  bytes[10] = static_cast<uint8_t>(aData.size() >> 8);
  bytes[11] = static_cast<uint8_t>(aData.size());
  bytes.insert(bytes.end(), aData.begin(), aData.end());
  return bytes;
}

}

TEST_CASE("The published opening packet is decoded")
{
  std::optional<steer::Packet> packet =
    platform::PacketFormat::Decode(OpeningPacket());
  REQUIRE(packet);
  CHECK(FormatEndpoint(packet->flow.caller) == "100.64.0.7:40001");
  CHECK(FormatEndpoint(packet->flow.target) == "198.18.0.1:443");
  CHECK(packet->seq == 0x11223344);
  CHECK(packet->syn);
  CHECK_FALSE(packet->fin);
  CHECK_FALSE(packet->rst);
  CHECK(packet->tag == steer::kNoTag);
}

TEST_CASE("Copies of an opening packet are counted, other packets are not")
{
  std::vector<uint8_t> bytes = OpeningPacket();
  CHECK(platform::PacketFormat::Decode(bytes)->retransmissions == 0);
  bytes[7] = 2;
  CHECK(platform::PacketFormat::Decode(bytes)->retransmissions == 2);
  bytes[8] = 64;
  CHECK(platform::PacketFormat::Decode(bytes)->retransmissions == 0);
}

TEST_CASE("Datagrams that are not one whole packet are not decoded")
{
  std::vector<uint8_t> bytes = PacketWithData("abc");
  CHECK(platform::PacketFormat::Decode(bytes));
  bytes.pop_back();
  CHECK_FALSE(platform::PacketFormat::Decode(bytes));
  bytes.resize(31);
  CHECK_FALSE(platform::PacketFormat::Decode(bytes));
  CHECK_FALSE(platform::PacketFormat::Decode({}));
  CHECK_FALSE(
    platform::PacketFormat::Decode(PacketWithData(std::string(1201, 'x'))));
}

TEST_CASE("A packet to a backend server has the server's id before it and the "
          "tag in it")
{
  std::vector<uint8_t> bytes(tagged::kHeadroom);
  std::vector<uint8_t> packet = PacketWithData("abc");
  bytes.insert(bytes.end(), packet.begin(), packet.end());
  std::span<uint8_t> datagram =
    platform::PacketFormat::Encapsulate(bytes, 0xAABBCCDD, 0x75bc4be3cdULL);
  REQUIRE(datagram.size() == 8 + packet.size());
  std::vector<uint8_t> id(datagram.begin(), datagram.begin() + 8);
  CHECK(id == std::vector<uint8_t>{ 0, 0, 0, 0x75, 0xbc, 0x4b, 0xe3, 0xcd });
  packet[28] = 0xAA;
  packet[29] = 0xBB;
  packet[30] = 0xCC;
  packet[31] = 0xDD;
  CHECK(std::equal(packet.begin(), packet.end(), datagram.begin() + 8));
}

TEST_CASE("The reset for the published opening packet has the published bytes")
{
  std::optional<steer::Packet> packet =
    platform::PacketFormat::Decode(OpeningPacket());
  std::array<uint8_t, tagged::kResetBufferBytes> buffer{};
  buffer.fill(0xFF);
  std::span<uint8_t> reset = platform::PacketFormat::MakeReset(*packet, buffer);
  std::vector<uint8_t> expected{ 0,    0,    0,    0,    0, 0, 0,    0,
                                 0x80, 0,    0,    0,    0, 0, 0,    0,
                                 1,    0xbb, 0xc6, 0x12, 0, 1, 0x9c, 0x41,
                                 0x64, 0x40, 0,    7,    0, 0, 0,    0 };
  CHECK(std::vector<uint8_t>(reset.begin(), reset.end()) == expected);
}

TEST_CASE("The id of a request is read only if one packet holds it whole")
{
  auto id = [](const std::string& aData) {
    return std::string(
      platform::PacketFormat::RequestId(PacketWithData(aData)));
  };
  CHECK(id("GET / HTTP/1.1\r\nAttempt-Id: a69c\r\n\r\n") == "a69c");
  CHECK(id("GET / HTTP/1.1\r\nAttempt-Id: a69").empty());
  CHECK(id("GET / HTTP/1.1\r\nHost: x\r\n\r\n").empty());
  CHECK(id("").empty());
}

}
