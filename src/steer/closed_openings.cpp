#include "steer/closed_openings.h"

namespace gentianspindle::steer {

void
ClosedOpenings::Put(const FlowId& aFlow, const Entry& aEntry)
{
  this->closed[aFlow] = aEntry;
  this->expiries.emplace_back(aFlow, aEntry.until);
}

void
ClosedOpenings::Refuse(const Packet& aOpening, Micros aNow)
{
  this->Put(aOpening.flow,
            { ClosedBy::Refusal, aOpening.seq, 0, aNow + kOpeningMemory });
}

bool
ClosedOpenings::LeaveToPeer(const FlowId& aFlow,
                            uint32_t aSeq,
                            uint32_t aRetransmissions,
                            Micros aNow)
{
  if (this->expiries.size() >= kMaxLeftOpenings) {
    return false;
  }
  this->Put(
    aFlow,
    { ClosedBy::Promise, aSeq, aRetransmissions, aNow + kOpeningMemory });
  return true;
}

// A caller's later retransmission is open to a new query.
std::optional<ClosedBy>
ClosedOpenings::Find(const Packet& aOpening, Micros aNow) const
{
  auto known = this->closed.find(aOpening.flow);
  if (known == this->closed.end() || known->second.seq != aOpening.seq ||
      aNow >= known->second.until) {
    return std::nullopt;
  }
  const Entry& entry = known->second;
  bool isLater = entry.by == ClosedBy::Promise &&
                 aOpening.retransmissions > entry.retransmissions;
  return isLater ? std::nullopt : std::optional(entry.by);
}

void
ClosedOpenings::Expire(Micros aNow)
{
  while (!this->expiries.empty() && this->expiries.front().second <= aNow) {
    auto known = this->closed.find(this->expiries.front().first);
    // The flow may have been closed again since.
    if (known != this->closed.end() && known->second.until <= aNow) {
      this->closed.erase(known);
    }
    this->expiries.pop_front();
  }
}

}
