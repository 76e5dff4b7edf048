// Packets of flows as the soak's callers and backend servers send them;
// written apart from the product's own code, so that neither hides a fault of
// the other.
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
constexpr size_t kMaxPayload = 1200;
// Before a packet to a backend server: the one that it is meant for.
constexpr size_t kServerIdBytes = 8;

struct Packet
{
  uint32_t seq = 0;
  uint32_t ack = 0;
  bool syn = false;
  bool acks = false;
  bool fin = false;
  bool rst = false;
  uint32_t checksum = 0;
  Endpoint from;
  Endpoint to;
  uint32_t echo = 0;
  std::string data;
};

// Sets the sum that shows a change on the way.
std::vector<uint8_t>
Encode(Packet aPacket);
// None where the bytes are no packet.
std::optional<Packet>
Decode(std::span<const uint8_t> aBytes);
// Is the packet as its sender wrote it?
bool
IsIntact(const Packet& aPacket);
// A reset that no end of the flow has sent.
bool
IsBalancerReset(const Packet& aPacket);

}
