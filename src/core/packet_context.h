// The context in which an engine handles one packet.
#pragma once

#include "core/engine.h"

namespace gentianspindle {

// A packet with its walk, its lookup order and the decisions made about it.
struct Engine::PacketContext
{
  const Arrival& arrival;
  Outbox& out;
  Walk walk;
  Order order;
  // The packet may start a new flow: a SYN, or a UDP datagram whose walk has
  // neither kWalkLookup nor kWalkAdopt. In Engine::OnPacket it is false for UDP
  // until Engine::Realign is done.
  bool opens;

  const Segment& Packet() const { return *this->arrival.segment; }
  FlowKey Flow() const { return this->arrival.segment->flow; }
  Micros Now() const { return this->arrival.now; }
  // True for a packet of a UDP service, ICMP errors included.
  bool IsUdp() const
  {
    return this->arrival.segment->service.protocol == Protocol::Udp;
  }
};

}
