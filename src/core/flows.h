// The flow table of one service at one instance: which backend server each
// flow of a caller went to, and what the flow is doing there.
#pragma once

#include "core/rank.h"
#include "core/types.h"
#include "wire/packet.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <span>
#include <vector>

namespace gentianspindle {

// What a flow is doing, read off the caller's sequence and acknowledgement
// numbers.
enum class FlowState : uint8_t
{
  Connecting, // SYN forwarded, counts against slots for a while
  HalfOpen,   // SYN forwarded long ago, no progress
  Fresh,      // handshake done, no request yet, counts for a while
  Idle,       // between requests
  Waiting,    // request sent, no acknowledgement of an answer yet
  Answering,  // acknowledgements of an answer advance
  Closing,    // FIN seen after the answer
  Passed,     // SYN passed on along the ranks, place not known
  Elsewhere,  // known to be at a server that another instance owns
  Count,
};

constexpr size_t kFlowStates = static_cast<size_t>(FlowState::Count);

using FlowIndex = uint32_t;
constexpr FlowIndex kNoFlow = UINT32_MAX;

struct Flow
{
  FlowKey key = 0;
  Micros lastSeen = 0;  // last packet of the caller
  Micros requestAt = 0; // when the SYN or the open request was sent
  FlowIndex previous = kNoFlow;
  FlowIndex next = kNoFlow;
  uint32_t sentEnd = 0; // sequence number after the caller's last byte
  uint32_t ackBase = 0; // acknowledgement number when the request was sent
  uint32_t lastAck = 0;
  ServerIndex server = kNoServer;
  FlowState state = FlowState::Connecting;
  uint16_t passedSteps = 0; // steps of the walk that passed the SYN on
  bool finSeen = false;
  bool straggling = false;  // its request runs much longer than most
  bool hadFreeSlot = false; // its request found a free slot at the server
  bool adopted = false;     // taken over in the middle, no SYN seen here
};
static_assert(sizeof(Flow) <= 64);

// Each state has a list of its flows in the order of their last event, so
// that expiry looks at list heads only.
class FlowTable
{
public:
  // kNoFlow where there is none.
  FlowIndex Find(FlowKey aKey) const;
  Flow& At(FlowIndex aFlow) { return this->flows[aFlow]; }
  const Flow& At(FlowIndex aFlow) const { return this->flows[aFlow]; }

  // aKey must not be in the table.
  FlowIndex Insert(FlowKey aKey,
                   ServerIndex aServer,
                   FlowState aState,
                   Micros aNow);
  void Erase(FlowIndex aFlow);

  // Moves the flow to the end of the list of aState.
  void Move(FlowIndex aFlow, FlowState aState);

  // Flow of aState whose last event is the oldest.
  FlowIndex Oldest(FlowState aState) const
  {
    return this->lists[static_cast<size_t>(aState)].head;
  }
  size_t Size() const { return this->index.size(); }

  // Bytes of the table, hash index included.
  size_t Bytes() const;

private:
  struct List
  {
    FlowIndex head = kNoFlow;
    FlowIndex tail = kNoFlow;
  };

  void Unlink(FlowIndex aFlow);
  void Append(FlowIndex aFlow);

  absl::flat_hash_map<FlowKey, FlowIndex> index;
  std::vector<Flow> flows;
  std::vector<FlowIndex> unused;
  std::array<List, kFlowStates> lists;
};

// State after a packet of an established flow; updates the numbers in aFlow.
// It changes nothing else.
FlowState
Advance(Flow& aFlow, const Segment& aSegment, Micros aNow);

// True where sequence number aLeft lies before aRight.
constexpr bool
SequenceBefore(uint32_t aLeft, uint32_t aRight)
{
  return static_cast<int32_t>(aLeft - aRight) < 0;
}

}
