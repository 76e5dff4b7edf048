#include "core/flows.h"

namespace gentianspindle {

FlowIndex
FlowTable::Find(FlowKey aKey) const
{
  auto found = this->index.find(aKey);
  return found == this->index.end() ? kNoFlow : found->second;
}

FlowIndex
FlowTable::Insert(FlowKey aKey,
                  ServerIndex aServer,
                  FlowState aState,
                  Micros aNow)
{
  FlowIndex entry;
  if (this->unused.empty()) {
    entry = static_cast<FlowIndex>(this->flows.size());
    this->flows.emplace_back();
  } else {
    entry = this->unused.back();
    this->unused.pop_back();
  }
  Flow& flow = this->flows[entry];
  flow = Flow{};
  flow.key = aKey;
  flow.lastSeen = aNow;
  flow.requestAt = aNow;
  flow.server = aServer;
  flow.state = aState;
  this->index.emplace(aKey, entry);
  this->Append(entry);
  return entry;
}

void
FlowTable::Erase(FlowIndex aFlow)
{
  this->Unlink(aFlow);
  this->index.erase(this->flows[aFlow].key);
  this->unused.push_back(aFlow);
}

void
FlowTable::Move(FlowIndex aFlow, FlowState aState)
{
  this->Unlink(aFlow);
  this->flows[aFlow].state = aState;
  this->Append(aFlow);
}

size_t
FlowTable::Bytes() const
{
  // A flat_hash_map keeps one control byte beside each slot.
  size_t slot = sizeof(std::pair<FlowKey, FlowIndex>) + 1;
  return this->flows.capacity() * sizeof(Flow) +
         this->unused.capacity() * sizeof(FlowIndex) +
         this->index.capacity() * slot;
}

void
FlowTable::Unlink(FlowIndex aFlow)
{
  Flow& flow = this->flows[aFlow];
  List& list = this->lists[static_cast<size_t>(flow.state)];
  (flow.previous == kNoFlow ? list.head : this->flows[flow.previous].next) =
    flow.next;
  (flow.next == kNoFlow ? list.tail : this->flows[flow.next].previous) =
    flow.previous;
}

void
FlowTable::Append(FlowIndex aFlow)
{
  Flow& flow = this->flows[aFlow];
  List& list = this->lists[static_cast<size_t>(flow.state)];
  flow.previous = list.tail;
  flow.next = kNoFlow;
  (list.tail == kNoFlow ? list.head : this->flows[list.tail].next) = aFlow;
  list.tail = aFlow;
}

namespace {

// Returns the state of a flow after an acknowledgement. The caller acknowledges
// one sequence number for the server's SYN and one for its FIN, so without an
// open request only an advance by more than one is a response. While a flow is
// Waiting, any advance counts as the response.
FlowState
AdvanceAck(Flow& aFlow, uint32_t aAck)
{
  constexpr uint32_t kFinSequenceNumbers = 1;
  bool advanced = SequenceBefore(aFlow.lastAck, aAck);
  uint32_t gained = advanced ? aAck - aFlow.lastAck : 0;
  if (advanced) {
    aFlow.lastAck = aAck;
  }
  switch (aFlow.state) {
    case FlowState::Connecting:
    case FlowState::HalfOpen:
      aFlow.lastAck = aAck;
      return FlowState::Fresh;
    case FlowState::Waiting:
      return advanced ? FlowState::Answering : FlowState::Waiting;
    case FlowState::Fresh:
    case FlowState::Idle:
    case FlowState::Closing:
      return gained > kFinSequenceNumbers ? FlowState::Answering : aFlow.state;
    default:
      return aFlow.state;
  }
}

}

// New bytes of the caller start or continue a request; a retransmission does
// not. A FIN before the response has begun closes only one direction, so such a
// flow stays Waiting.
FlowState
Advance(Flow& aFlow, const Segment& aSegment, Micros aNow)
{
  aFlow.lastSeen = aNow;
  uint32_t end = aSegment.sequence + aSegment.payload;
  bool first = aFlow.adopted || aFlow.state == FlowState::Connecting ||
               aFlow.state == FlowState::HalfOpen;
  if (aFlow.adopted) {
    aFlow.lastAck = aSegment.acknowledged;
    aFlow.adopted = false;
  }
  bool newData =
    aSegment.payload > 0 && (first || SequenceBefore(aFlow.sentEnd, end));
  FlowState state = aFlow.state;
  if ((aSegment.flags & kTcpAck) != 0) {
    state = AdvanceAck(aFlow, aSegment.acknowledged);
  }
  if (first || SequenceBefore(aFlow.sentEnd, end)) {
    aFlow.sentEnd = end;
  }
  if (newData && state != FlowState::Waiting) {
    aFlow.requestAt = aNow;
    aFlow.ackBase = aSegment.acknowledged;
    state = FlowState::Waiting;
  }
  if ((aSegment.flags & kTcpFin) != 0) {
    aFlow.finSeen = true;
    if (state != FlowState::Waiting) {
      state = FlowState::Closing;
    }
  }
  return state;
}

}
