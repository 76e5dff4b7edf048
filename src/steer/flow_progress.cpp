#include "steer/flow_progress.h"

namespace gentianspindle::steer {

// Acknowledgements may arrive out of order, so only a higher one counts. It is
// looked at before the data: the first packet of a request may be the first
// that acknowledges the response to the former one.
ProgressEvent
FlowProgress::OnCallerPacket(const Packet& aPacket, Micros aNow)
{
  ProgressEvent event;
  if (!this->known) {
    this->known = true;
    this->dataEnd = aPacket.seq;
    this->lastAck = aPacket.ack;
  }
  if (SeqAfter(aPacket.ack, this->lastAck)) {
    this->lastAck = aPacket.ack;
    this->answeredAt = aNow;
    event.answered = true;
    event.responseTime = this->requestAt == 0 ? 0 : aNow - this->requestAt;
    this->requestAt = 0;
    this->repeats = 0;
  }
  if (aPacket.dataBytes == 0) {
    return event;
  }
  uint32_t end = aPacket.seq + aPacket.dataBytes;
  if (SeqAfter(end, this->dataEnd)) {
    this->dataEnd = end;
    event.started = this->requestAt == 0;
    this->requestAt = event.started ? aNow : this->requestAt;
  } else if (this->requestAt != 0 && aNow - this->dataAt >= kMinRepeatTime) {
    ++this->repeats;
    event.repeated = true;
  }
  this->dataAt = aNow;
  return event;
}

}
