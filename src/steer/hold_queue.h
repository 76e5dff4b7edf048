// Opening packets of callers that wait until the limit of their service admits
// them. Each operation takes a time that grows with the logarithm of the number
// of held openings, so that a full queue costs a packet hardly more.
#pragma once

#include "steer/opening.h"

#include "absl/container/flat_hash_map.h"

#include <map>
#include <optional>
#include <queue>
#include <set>

namespace gentianspindle::steer {

// A caller gives up its opening after 1.4 s; this leaves time for the answer.
constexpr Micros kMaxHoldTime = 1300 * kMillisecond;
// Limit for one service; further opening packets are refused with a reset.
constexpr size_t kMaxHeldOpenings = 4096;
// Held openings are looked at with every packet, and at least this often.
constexpr Micros kHoldCheckPeriod = 50 * kMillisecond;

// Opening packet of a caller that waits until the limit admits it.
struct HeldOpening
{
  Packet packet;         // the last one that this instance received
  uint32_t priority = 0; // 0 goes first
  Micros latencyTarget = 0;
  Micros heldAt = 0;
  Micros arrivedAt = 0; // of that packet
  // When the caller is to be refused; 0: kMaxHoldTime after heldAt.
  Micros holdUntil = 0;

  // Returns whether the packet may be sent to a server at aNow. A
  // retransmission that did not come here may have opened the flow through
  // another instance.
  bool IsUsable(Micros aNow) const { return aNow < this->UsableUntil(); }
  Micros UsableUntil() const
  {
    return this->arrivedAt + UsableTime(this->packet);
  }
  // Returns whether a server could hardly answer it in time any more.
  bool IsLate(Micros aNow) const { return aNow >= this->LateAt(); }
  Micros LateAt() const;
  // Returns when its time in the queue ends.
  Micros ExpiresAt() const;
};

class HoldQueue
{
public:
  HoldQueue() = default;
  // Entries point into the queue.
  HoldQueue(const HoldQueue&) = delete;
  HoldQueue& operator=(const HoldQueue&) = delete;

  // Returns whether the flow of aPacket is held. If aPacket is a retransmission
  // of the held packet, it takes its place.
  bool OnRetransmission(const Packet& aPacket, Micros aArrivedAt);
  // Returns false if the queue is full.
  bool Put(const HeldOpening& aOpening);
  // Takes out the opening that is to be placed next, if one is usable: the most
  // urgent; among equally urgent ones the newest that can still be answered in
  // time, or else the oldest.
  std::optional<HeldOpening> Take(Micros aNow);
  // Takes out the opening that has waited longest, if one is usable.
  std::optional<HeldOpening> TakeOldest(Micros aNow);
  // Takes out an opening whose time in the queue has ended.
  std::optional<HeldOpening> TakeExpired(Micros aNow);
  // Takes out any opening.
  std::optional<HeldOpening> TakeAny();
  // Returns whether an opening is usable.
  bool HasUsable(Micros aNow);
  size_t Size() const { return this->held.size(); }
  bool Holds(const FlowId& aFlow) const
  {
    return this->numbers.contains(aFlow);
  }

private:
  // Held openings are numbered in the order in which they came.
  using Number = uint64_t;
  using Numbers = std::set<Number>;
  // Usable openings of one priority.
  struct Usable
  {
    Numbers timely;
    Numbers late;
  };
  struct Entry
  {
    HeldOpening opening;
    Numbers* place = nullptr; // the set that has its number, if one has
  };
  // Moment at which an opening may change its place. Those of an opening that
  // was taken out stay until they are due.
  using Change = std::pair<Micros, Number>;

  // Brings all places up to aNow. Finds them all anew if aNow is before that of
  // the last call.
  void Advance(Micros aNow);
  void Move(Number aNumber, Entry& aEntry, Numbers* aTo);
  void Schedule(Number aNumber, const HeldOpening& aOpening);
  HeldOpening Remove(Number aNumber);

  std::map<Number, Entry> held;
  absl::flat_hash_map<FlowId, Number> numbers;
  std::map<uint32_t, Usable> usable; // by priority; entries keep their address
  Numbers expired;
  std::priority_queue<Change, std::vector<Change>, std::greater<>> changes;
  Number lastNumber = 0;
  Micros advancedTo = 0;
};

}
