#include "steer/closed_openings.h"

namespace gentianspindle::steer {

void
ClosedOpenings::Close(const Packet& aOpening, Micros aNow)
{
  Micros until = aNow + kOpeningMemory;
  this->closed[aOpening.flow] = { aOpening.seq, until };
  this->expiries.emplace_back(aOpening.flow, until);
}

bool
ClosedOpenings::IsClosed(const Packet& aOpening, Micros aNow) const
{
  auto known = this->closed.find(aOpening.flow);
  return known != this->closed.end() && known->second.seq == aOpening.seq &&
         aNow < known->second.until;
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
