// Requests on one flow, told from the caller's packets alone.
#pragma once

#include "steer/flow_progress.h"

namespace gentianspindle::steer {

// What one packet shows of the flow's requests.
struct RequestProgress
{
  bool began = false;    // the first data of a request
  bool answered = false; // a response to the request in flight arrived
  Micros duration = 0;   // of the answered request
};

// A request begins with the first data beyond the former request's, and is
// answered when the acknowledgement advances. Packets may be reordered, so only
// the greatest numbers count; sequence numbers wrap around.
struct RequestTracker
{
  uint32_t dataEnd = 0; // sequence number after the last data seen
  uint32_t acked = 0;   // greatest acknowledgement seen
  Micros beganAt = 0;   // of the request in flight; 0: none is
  uint32_t begun = 0;   // number of requests
  bool started = false; // a packet was seen

  // The acknowledgement goes first: the first data of the next request may be
  // the first packet that acknowledges the response to the last one.
  RequestProgress OnPacket(const Packet& aPacket, Micros aNow)
  {
    RequestProgress progress;
    if (!this->started) {
      this->started = true;
      this->dataEnd = aPacket.seq;
      this->acked = aPacket.ack;
    }
    if (SeqAfter(aPacket.ack, this->acked)) {
      this->acked = aPacket.ack;
      progress.answered = this->beganAt != 0;
      progress.duration = progress.answered ? aNow - this->beganAt : 0;
      this->beganAt = 0;
    }
    uint32_t end = aPacket.seq + aPacket.dataBytes;
    if (aPacket.dataBytes > 0 && SeqAfter(end, this->dataEnd)) {
      this->dataEnd = end;
      progress.began = this->beganAt == 0;
      this->beganAt = progress.began ? aNow : this->beganAt;
      this->begun += progress.began ? 1 : 0;
    }
    return progress;
  }
};

}
