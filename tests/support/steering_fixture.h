// One instance's flow steering, to which tests hand packets as callers would.
#pragma once

#include "steer/steer.h"
#include "support/tagged_view.h"

namespace gentianspindle {

constexpr Micros kStart = 1000 * kSecond;

// One instance's flow steering with a view of three servers of the service
// "web", two slots each, and one of the service "archive".
struct SteeringFixture
{
  steer::FlowSteering steer;
  Micros now = kStart;

  explicit SteeringFixture(steer::FlowSteeringOptions aOptions = {})
    : steer(InZone(std::move(aOptions)))
  {
    steer::View& view = this->steer.CurrentView();
    view.PutConfig(MakeConfig(1));
    std::vector<steer::ServerChange> list{
      MakeServer(1), MakeServer(2), MakeServer(3), MakeServer(9, "archive")
    };
    view.PutServers(list, this->now);
  }

  // Returns a packet without flags of the flow from port aPort.
  static steer::Packet MakePacket(uint16_t aPort, Endpoint aTarget = kWebTarget)
  {
    steer::Packet packet;
    packet.flow = { { 0x64400007, aPort }, aTarget };
    packet.seq = aPort;
    return packet;
  }

  // The caller on aPort sends its opening packet (SYN) or a retransmission,
  // which then waits for aQueueTime in the instance's socket.
  steer::Decision Open(uint16_t aPort,
                       Micros aQueueTime = 0,
                       uint32_t aRetransmissions = 0)
  {
    steer::Packet packet = MakePacket(aPort);
    packet.syn = true;
    packet.retransmissions = aRetransmissions;
    packet.queueTime = aQueueTime;
    return this->steer.OnPacket(packet, true, this->now);
  }

  // The caller sends data with aTag; aAck 2 acknowledges a response, 1 does
  // not.
  steer::Decision SendData(uint16_t aPort, steer::Tag aTag, uint32_t aAck = 1)
  {
    steer::Packet packet = MakePacket(aPort);
    packet.tag = aTag;
    packet.ack = aAck;
    packet.dataBytes = 100;
    return this->steer.OnPacket(packet, true, this->now);
  }

  // The caller closes its flow.
  steer::Decision SendFin(uint16_t aPort, steer::Tag aTag)
  {
    steer::Packet packet = MakePacket(aPort);
    packet.tag = aTag;
    packet.ack = 2;
    packet.fin = true;
    return this->steer.OnPacket(packet, true, this->now);
  }

  static steer::FlowSteeringOptions InZone(steer::FlowSteeringOptions aOptions)
  {
    aOptions.placer.zone = "a";
    return aOptions;
  }

  steer::ServerIndex IndexOf(steer::ServerId aId) const
  {
    return this->steer.CurrentView().FindTag(steer::TagOf(aId));
  }
};

}
