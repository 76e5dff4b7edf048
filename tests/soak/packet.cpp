#include "soak/packet.h"

#include "base/bytes.h"

#include <algorithm>

namespace gentianspindle::soak {

namespace {

// Flags of the platform's packet header.
constexpr uint8_t kSyn = 1;
constexpr uint8_t kFin = 2;
constexpr uint8_t kAck = 64;
constexpr uint8_t kRst = 128;

uint8_t
FlagsOf(const Packet& aPacket)
{
  return static_cast<uint8_t>(
    (aPacket.syn ? kSyn : 0) | (aPacket.fin ? kFin : 0) |
    (aPacket.acks ? kAck : 0) | (aPacket.rst ? kRst : 0));
}

// An FNV-1a hash of all fields but the echo, in which instances write the flow
// tag. It is never 0, the checksum of packets that an instance makes.
uint32_t
ChecksumOf(const Packet& aPacket)
{
  uint32_t checksum = 2166136261U;
  auto mix = [&checksum](uint32_t aValue) {
    for (int shift = 0; shift < 32; shift += 8) {
      checksum = (checksum ^ ((aValue >> shift) & 0xFF)) * 16777619U;
    }
  };
  mix(aPacket.seq);
  mix(aPacket.ack);
  mix(FlagsOf(aPacket));
  mix(aPacket.from.address);
  mix(aPacket.from.port);
  mix(aPacket.to.address);
  mix(aPacket.to.port);
  for (char byte : aPacket.data) {
    mix(static_cast<uint8_t>(byte));
  }
  return checksum == 0 ? 1 : checksum;
}

}

std::vector<uint8_t>
Encode(Packet aPacket)
{
  std::vector<uint8_t> bytes(kHeaderBytes + aPacket.data.size());
  Store32(bytes, 0, aPacket.seq);
  Store32(bytes, 4, aPacket.ack);
  bytes[8] = FlagsOf(aPacket);
  Store16(bytes, 10, static_cast<uint16_t>(aPacket.data.size()));
  Store32(bytes, 12, ChecksumOf(aPacket));
  Store16(bytes, 16, aPacket.from.port);
  Store32(bytes, 18, aPacket.from.address);
  Store16(bytes, 22, aPacket.to.port);
  Store32(bytes, 24, aPacket.to.address);
  Store32(bytes, 28, aPacket.echo);
  std::copy(
    aPacket.data.begin(), aPacket.data.end(), bytes.begin() + kHeaderBytes);
  return bytes;
}

std::optional<Packet>
Decode(std::span<const uint8_t> aBytes)
{
  bool validSize = aBytes.size() >= kHeaderBytes &&
                   aBytes.size() == kHeaderBytes + Load16(aBytes, 10);
  if (!validSize) {
    return std::nullopt;
  }
  Packet packet;
  packet.seq = Load32(aBytes, 0);
  packet.ack = Load32(aBytes, 4);
  packet.syn = (aBytes[8] & kSyn) != 0;
  packet.fin = (aBytes[8] & kFin) != 0;
  packet.acks = (aBytes[8] & kAck) != 0;
  packet.rst = (aBytes[8] & kRst) != 0;
  packet.checksum = Load32(aBytes, 12);
  packet.from = { Load32(aBytes, 18), Load16(aBytes, 16) };
  packet.to = { Load32(aBytes, 24), Load16(aBytes, 22) };
  packet.echo = Load32(aBytes, 28);
  packet.data.assign(aBytes.begin() + kHeaderBytes, aBytes.end());
  return packet;
}

bool
IsIntact(const Packet& aPacket)
{
  return aPacket.checksum == ChecksumOf(aPacket);
}

bool
IsBalancerReset(const Packet& aPacket)
{
  return aPacket.rst && aPacket.checksum == 0 && aPacket.data.empty();
}

}
