// What the caller's packets of one flow show about its server: whether a
// request waits for its answer, and whether the server lets data go
// unacknowledged.
#pragma once

#include "steer/types.h"

namespace gentianspindle::steer {

// Callers repeat unacknowledged data after 200 ms. Data that is seen again
// sooner than this waited in the socket together with its first copy, and shows
// nothing about the server.
constexpr Micros kMinRepeatTime = 150 * kMillisecond;

// Returns whether aLeft comes after aRight in a space of sequence numbers that
// wraps around.
constexpr bool
SeqAfter(uint32_t aLeft, uint32_t aRight)
{
  return static_cast<int32_t>(aLeft - aRight) > 0;
}

// What one packet showed.
struct ProgressEvent
{
  bool answered = false; // the caller acknowledged more of the server's data
  bool repeated = false; // the caller sent data again
  bool started = false;  // the packet has the first data of a request
  // If the packet acknowledged the first data of a response: the time since its
  // request. 0 otherwise.
  Micros responseTime = 0;
};

// Progress of one flow, as far as this instance saw its packets.
struct FlowProgress
{
  uint32_t dataEnd = 0; // sequence number after the caller's highest data
  uint32_t lastAck = 0; // the caller's highest acknowledgement
  bool known = false;   // dataEnd and lastAck were set by a packet
  // When the request that waits for its answer was first seen; 0: none waits.
  Micros requestAt = 0;
  Micros dataAt = 0;     // when data was last seen
  Micros answeredAt = 0; // when lastAck last advanced
  uint32_t repeats = 0;  // of the data of the request that waits

  // Updates the progress by a packet of the flow after its opening packet.
  ProgressEvent OnCallerPacket(const Packet& aPacket, Micros aNow);
};

}
