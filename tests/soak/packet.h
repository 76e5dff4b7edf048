// Encodes and decodes the packets of flows for the callers and backend servers
// of the soak. It shares only code of src/base with platform/wire.h, so that
// neither can hide a fault of the other.
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianspindle::soak {

constexpr size_t kHeaderBytes = 32;
// Max. data bytes of a packet, as the platform has it.
constexpr size_t kMaxPayload = 1200;
// Length of the server id that precedes each packet to a backend server.
constexpr size_t kServerIdBytes = 8;

// A decoded packet.
struct Packet
{
  uint32_t seq = 0;
  uint32_t ack = 0;
  bool syn = false;
  bool acks = false; // the ACK flag
  bool fin = false;
  bool rst = false;
  uint32_t checksum = 0; // 0 in packets that an instance makes
  Endpoint from;
  Endpoint to;
  // Field in which instances write the flow tag. Both ends send back the last
  // value that they received.
  uint32_t echo = 0;
  std::string data;
};

// Encodes the packet with a newly computed checksum, not aPacket.checksum.
std::vector<uint8_t>
Encode(Packet aPacket);
// Returns nullopt if the length of aBytes isn't the one that its header states.
// Checks neither the checksum, see IsIntact, nor kMaxPayload.
std::optional<Packet>
Decode(std::span<const uint8_t> aBytes);
// Whether the checksum, which doesn't cover echo, is right; false for packets
// that an instance makes.
bool
IsIntact(const Packet& aPacket);
// Whether the packet is a reset by an instance, not by its caller or server.
bool
IsBalancerReset(const Packet& aPacket);

}
