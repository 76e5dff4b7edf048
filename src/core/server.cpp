#include "core/server.h"

#include <algorithm>

namespace gentianspindle {

// A connecting or fresh flow counts: its request is on the way, and a second
// flow admitted meanwhile would find the slot taken.
uint32_t
ServerState::Occupied() const
{
  return this->Count(FlowState::Connecting) + this->Count(FlowState::Fresh) +
         this->Count(FlowState::Waiting) + this->Count(FlowState::Answering) +
         this->reserved;
}

uint32_t
ServerState::Open() const
{
  return this->Occupied() + this->Count(FlowState::HalfOpen) +
         this->Count(FlowState::Idle);
}

uint32_t
ServerState::Slots(Micros aNow) const
{
  Micros age = aNow - this->rampFrom;
  if (age >= kRampTime) {
    return this->row.slots;
  }
  auto ramped = static_cast<uint32_t>(this->row.slots * age / kRampTime);
  return std::clamp<uint32_t>(ramped, 1, this->row.slots);
}

bool
ServerState::Works(Micros aNow, bool aTrustReports) const
{
  bool stale = aNow - this->lastProgress > kProgressWindow;
  bool down = this->reportedDown && aTrustReports && stale;
  if (!this->Silent() && !down) {
    return true;
  }
  return aNow - this->lastTrial >= kTrialPeriod;
}

bool
ServerState::HasFreeSlot(Micros aNow) const
{
  return this->Occupied() < this->Slots(aNow) &&
         this->Open() < this->row.connections;
}

void
ServerState::OnProgress(Micros aNow)
{
  if (this->Silent()) {
    this->rampFrom = aNow;
  }
  this->failedHandshakes = 0;
  this->lastProgress = aNow;
}

void
ServerState::OnResponse(Micros aTook)
{
  constexpr Micros kShare = 8; // RFC 6298 uses the same gain
  this->responseTime += (aTook - this->responseTime) / kShare;
}

}
