// One packet on its way through an engine.
#pragma once

#include "core/engine.h"

namespace gentianspindle {

struct Engine::PacketContext
{
  const Arrival& arrival;
  Outbox& out;
  Walk walk;
  Order order;
  bool opens; // may start a flow

  const Segment& Packet() const { return *this->arrival.segment; }
  FlowKey Flow() const { return this->arrival.segment->flow; }
  Micros Now() const { return this->arrival.now; }
  bool IsUdp() const
  {
    return this->arrival.segment->service.protocol == Protocol::Udp;
  }
};

}
