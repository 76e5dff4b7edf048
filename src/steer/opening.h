// When a caller retransmits its opening packet, and when such a packet is out
// of date.
#pragma once

#include "steer/server_health.h"

#include <algorithm>
#include <array>

namespace gentianspindle::steer {

// Times between the opening packet, its retransmissions, and the moment when
// the caller gives up.
constexpr std::array<Micros, 3> kOpeningIntervals{ 200 * kMillisecond,
                                                   400 * kMillisecond,
                                                   800 * kMillisecond };

// Returns how long after its arrival an opening packet may be sent to a server:
// the answer, one round trip later, must reach the caller before its next step.
// Later another instance may have sent its next retransmission to another
// server. Two servers that answer would share the flow, as the caller returns
// the tag of the last answer, whichever it took.
constexpr Micros
UsableTime(const Packet& aOpening)
{
  size_t step =
    std::min<size_t>(aOpening.retransmissions, kOpeningIntervals.size() - 1);
  return kOpeningIntervals[step] - kHandshakeTimeout;
}

}
