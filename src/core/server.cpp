#include "core/server.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle {

namespace {

// Exponential smoothing with the gain of RFC 6298, 1/8.
constexpr Micros kSmoothingDivisor = 8;
// A sample is limited to this multiple of the smoothed value, so that
// stragglers do not distort the time of ordinary requests.
constexpr Micros kMaxSampleFactor = 3;
// A request older than this multiple of the smoothed response time is a
// straggler.
constexpr Micros kStragglerFactor = 4;
// Upper limit of the ratio that Pipeline returns: flows per slot beyond the
// slots.
constexpr double kMaxPipeline = 4;
// The time of requests varies, so with the mean alone slots would at times be
// idle.
constexpr double kPipelineMargin = 1.6;

// The result is at least 1, as 0 stands for a time not measured yet.
Micros
Smooth(Micros aOld, Micros aSample)
{
  if (aOld == 0) {
    return std::max<Micros>(aSample, 1);
  }
  Micros sample = std::min(aSample, aOld * kMaxSampleFactor);
  return std::max<Micros>(aOld + (sample - aOld) / kSmoothingDivisor, 1);
}

}

// Connecting and fresh flows count: their request is on the way, and a second
// flow admitted meanwhile would find the slot occupied.
uint32_t
ServerState::Occupied() const
{
  return this->Count(FlowState::Connecting) + this->Count(FlowState::Fresh) +
         this->Count(FlowState::Waiting) + this->Count(FlowState::Answering) +
         this->reserved;
}

uint32_t
ServerState::OpenFlows() const
{
  return this->Occupied() + this->Count(FlowState::HalfOpen) +
         this->Count(FlowState::Idle);
}

uint32_t
ServerState::Slots(Micros aNow) const
{
  Micros age = aNow - this->slowStartFrom;
  if (age >= kSlowStartTime) {
    return this->row.slots;
  }
  auto allowed = static_cast<uint32_t>(this->row.slots * age / kSlowStartTime);
  return std::clamp<uint32_t>(allowed, 1, this->row.slots);
}

bool
ServerState::IsUsable(Micros aNow, bool aTrustReports) const
{
  bool stale = aNow - this->lastProgress > kProgressWindow;
  bool down = this->reportedDown && aTrustReports && stale;
  if (!this->IsUnresponsive() && !down) {
    return true;
  }
  return aNow - this->lastAdmission >= kTrialPeriod;
}

// A flow occupies its slot from the SYN to the acknowledgement of the response,
// but the server works on it for a part of that time only. If no more flows
// than slots were admitted, the slots would be idle for the rest. A straggler
// frees its slot late, so no other flow is admitted ahead for it.
uint32_t
ServerState::Limit(Micros aNow, double aPipeline) const
{
  uint32_t slots = this->Slots(aNow);
  if (this->stragglers >= slots) {
    return this->stragglers;
  }
  double regularSlots = slots - this->stragglers;
  return this->stragglers +
         static_cast<uint32_t>(std::lround(regularSlots * (1 + aPipeline)));
}

bool
ServerState::HasFreeSlot(Micros aNow, double aPipeline) const
{
  return this->Occupied() < this->Limit(aNow, aPipeline) &&
         this->OpenFlows() < this->row.connections;
}

void
ServerState::OnProgress(Micros aNow)
{
  if (this->IsUnresponsive()) {
    this->slowStartFrom = aNow;
  }
  this->unansweredHandshakes = 0;
  this->lastProgress = aNow;
}

void
Timing::OnHandshake(Micros aDuration)
{
  this->handshake = Smooth(this->handshake, aDuration);
}

void
Timing::OnResponse(Micros aDuration)
{
  this->response = Smooth(this->response, aDuration);
}

void
Timing::OnAdmitted(Micros aDuration)
{
  this->claim += (aDuration - this->claim) / kSmoothingDivisor;
}

// A handshake is taken as network time alone, and a response is taken to
// contain as much network time as a handshake.
double
Timing::Pipeline() const
{
  if (this->handshake == 0 || this->response == 0) {
    return 0;
  }
  Micros work = std::max<Micros>(this->response - this->handshake, 1);
  Micros networkTime = 2 * this->handshake + this->claim;
  double ratio = kPipelineMargin * static_cast<double>(networkTime) /
                 static_cast<double>(work);
  return std::min(ratio, kMaxPipeline);
}

Micros
Timing::StragglerAge() const
{
  return this->response * kStragglerFactor;
}

}
