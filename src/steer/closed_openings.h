// Flows whose opening packets an instance sends to no server any more.
#pragma once

#include "steer/types.h"

#include "absl/container/flat_hash_map.h"

#include <deque>

namespace gentianspindle::steer {

// Longer than a caller repeats its opening packet, which is 1.4 s.
constexpr Micros kOpeningMemory = 2 * kSecond;

class ClosedOpenings
{
public:
  // Closes the flow that aOpening opens, for kOpeningMemory.
  void Close(const Packet& aOpening, Micros aNow);
  // Returns whether the flow that aOpening opens is closed. Another flow with
  // the same ends has another sequence number.
  bool IsClosed(const Packet& aOpening, Micros aNow) const;
  // Forgets the flows whose time has ended.
  void Expire(Micros aNow);
  size_t Size() const { return this->closed.size(); }

private:
  struct Entry
  {
    uint32_t seq = 0; // of the opening packet
    Micros until = 0;
  };
  absl::flat_hash_map<FlowId, Entry> closed;
  std::deque<std::pair<FlowId, Micros>> expiries; // the first one is due first
};

}
