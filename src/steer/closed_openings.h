// Flows whose opening packets an instance sends to no server any more.
#pragma once

#include "steer/types.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <optional>

namespace gentianspindle::steer {

// Longer than a caller repeats its opening packet, which is 1.4 s.
constexpr Micros kOpeningMemory = 2 * kSecond;
// Bounds the memory for flows that are left to peers.
constexpr size_t kMaxLeftOpenings = 1 << 16;

// Why a flow is closed.
enum class ClosedBy : uint8_t
{
  Refusal, // its server got an opening packet, and its caller a reset
  Promise, // a peer was told that this instance sends none to a server
};

class ClosedOpenings
{
public:
  // Closes the flow that aOpening opens, for kOpeningMemory.
  void Refuse(const Packet& aOpening, Micros aNow);
  // Does the same for opening packets that were sent up to aRetransmissions
  // times before. Returns false if there are too many such flows.
  bool LeaveToPeer(const FlowId& aFlow,
                   uint32_t aSeq,
                   uint32_t aRetransmissions,
                   Micros aNow);
  // Returns why the opening packet must not be sent to a server, if that is so.
  // Another flow with the same ends has another sequence number.
  std::optional<ClosedBy> Find(const Packet& aOpening, Micros aNow) const;
  void Reopen(const FlowId& aFlow) { this->closed.erase(aFlow); }
  // Forgets the flows whose time has ended.
  void Expire(Micros aNow);
  size_t Size() const { return this->closed.size(); }

private:
  struct Entry
  {
    ClosedBy by = ClosedBy::Refusal;
    uint32_t seq = 0; // of the opening packet
    uint32_t retransmissions = 0;
    Micros until = 0;
  };
  void Put(const FlowId& aFlow, const Entry& aEntry);

  absl::flat_hash_map<FlowId, Entry> closed;
  std::deque<std::pair<FlowId, Micros>> expiries; // the first one is due first
};

}
