// The flow table of one service at one instance: the backend server of each
// flow, and the flow's state there.
#pragma once

#include "core/rank.h"
#include "core/types.h"
#include "wire/packet.h"

#include "absl/container/flat_hash_map.h"

#include <array>
#include <span>
#include <vector>

namespace gentianspindle {

// The state of a flow, derived from the caller's sequence and acknowledgement
// numbers and from the time since its last packet (Engine::ExpireFlows). A UDP
// flow is Fresh after each datagram, then Idle. Connecting, Fresh, Waiting and
// Answering flows occupy a slot.
enum class FlowState : uint8_t
{
  Connecting, // SYN forwarded within EngineOptions::handshake
  HalfOpen,   // SYN forwarded longer ago, no progress
  Fresh,      // handshake finished, for less than that time without a request
  Idle,       // no open request: between requests, or no request in that time
  Waiting,    // request sent, no acknowledgement of a response yet
  Answering,  // acknowledgements of a response advance
  Closing,    // FIN seen, no request open
  Passed,     // SYN passed on in lookup order, server not known; Flow::server
              // is the server where it was passed on first
  Elsewhere,  // at a server that another instance owns
  Count,
};

constexpr size_t kFlowStates = static_cast<size_t>(FlowState::Count);

using FlowIndex = uint32_t;
constexpr FlowIndex kNoFlow = UINT32_MAX;

// An entry of the flow table.
struct Flow
{
  FlowKey key = 0;
  Micros lastSeen = 0;  // last packet of the caller, or the entry's insertion
  Micros requestAt = 0; // arrival of the SYN, then of the latest request
  FlowIndex previous = kNoFlow;
  FlowIndex next = kNoFlow;
  uint32_t sentEnd = 0; // sequence number after the caller's last byte
  uint32_t ackBase = 0; // acknowledgement number of the latest request
  uint32_t lastAck = 0; // highest acknowledgement number of the caller
  ServerIndex server = kNoServer;
  FlowState state = FlowState::Connecting;
  // Bits of the steps at which its SYN was passed on; bit 15 is for all steps
  // from 15 on.
  uint16_t passedSteps = 0;
  bool finSeen = false;
  bool straggling = false; // its request runs much longer than most
  // When its request came, no more slots were occupied at its server than
  // ServerRow::slots. Its own slot counts only if it occupied one before.
  bool slotsSufficed = false;
  // sentEnd and lastAck are not known, as earlier packets did not all pass
  // here. The next TCP packet sets them.
  bool adopted = false;
};
static_assert(sizeof(Flow) <= 64);

// All flows by key. Each state has a list of its flows in the order of the last
// Insert or Move. This is nearly the order of lastSeen, so that expiry looks at
// list heads only; a retransmitted SYN renews lastSeen without a Move.
class FlowTable
{
public:
  // kNoFlow if the table does not have aKey.
  FlowIndex Find(FlowKey aKey) const;
  Flow& At(FlowIndex aFlow) { return this->flows[aFlow]; }
  const Flow& At(FlowIndex aFlow) const { return this->flows[aFlow]; }

  // aKey must not be in the table.
  FlowIndex Insert(FlowKey aKey,
                   ServerIndex aServer,
                   FlowState aState,
                   Micros aNow);
  // Frees the entry; its index can be reused.
  void Erase(FlowIndex aFlow);

  // Moves the flow to the end of the list of aState.
  void Move(FlowIndex aFlow, FlowState aState);

  // Flow of aState whose last Insert or Move is the oldest; kNoFlow if there is
  // no flow of that state. Flow::next leads to the next one.
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

// Returns the state of a flow after a packet of an established flow and updates
// the sequence and acknowledgement numbers, times and flags of aFlow. It does
// not change the state in aFlow.
FlowState
Advance(Flow& aFlow, const Segment& aSegment, Micros aNow);

// True where sequence number aLeft is before aRight.
constexpr bool
SequenceBefore(uint32_t aLeft, uint32_t aRight)
{
  return static_cast<int32_t>(aLeft - aRight) < 0;
}

}
