#include "steer/admission.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// Weight of the newest response in the moving average, which covers about the
// last ten responses.
constexpr double kSmoothingWeight = 0.1;
// Longer responses count as this fraction of the latency target, so that one
// straggler does not look like a queue.
constexpr double kMaxResponseFraction = 1.5;
// Smallest gap between two reviews of the limit: the time until a change of the
// limit shows in the response times.
constexpr Micros kSettleTime = 200 * kMillisecond;
// Smallest factor by which one review lowers the limit (see Shrink).
constexpr double kMinShrinkFactor = 0.9;
// If servers reject a greater part of the requests, the limit is lowered.
constexpr double kMaxRejected = 0.02;
// A review lowers it by this factor then: a full queue is several times the
// room that the servers need.
constexpr double kRejectionShrinkFactor = 0.8;
// One review raises the limit by this factor, and then by this many flows,
// which make up most of the growth of a small limit.
constexpr double kGrowthFactor = 1.04;
constexpr double kGrowthFlows = 0.2;
// A limit that was not reached for this time is removed.
constexpr Micros kLimitExpiry = 1500 * kMillisecond;
}

void
ConcurrencyLimit::OnResponse(Micros aDuration,
                             Micros aLatencyTarget,
                             Micros aNow)
{
  if (aLatencyTarget <= 0) {
    return;
  }
  double fraction =
    static_cast<double>(aDuration) / static_cast<double>(aLatencyTarget);
  fraction = std::min(fraction, kMaxResponseFraction);
  this->responseFraction +=
    kSmoothingWeight * (fraction - this->responseFraction);
  this->rejected -= kSmoothingWeight * this->rejected;
  this->Review(aNow);
}

void
ConcurrencyLimit::OnRejection(Micros aNow)
{
  this->rejected += kSmoothingWeight * (1 - this->rejected);
  this->Review(aNow);
}

void
ConcurrencyLimit::Review(Micros aNow)
{
  if (this->limiting && this->open + 1 >= this->limit) {
    this->limitReachedAt = aNow;
  }
  if (aNow - this->reviewedAt < kSettleTime) {
    return;
  }
  this->reviewedAt = aNow;
  if (this->responseFraction > kTargetResponseFraction) {
    this->limitReachedAt = this->limiting ? this->limitReachedAt : aNow;
    this->Shrink(std::max(kMinShrinkFactor,
                          kTargetResponseFraction / this->responseFraction),
                 this->floor);
  } else if (this->rejected > kMaxRejected) {
    this->limitReachedAt = this->limiting ? this->limitReachedAt : aNow;
    this->Shrink(kRejectionShrinkFactor, this->floor / kFloorFraction);
  } else if (this->limiting && aNow - this->limitReachedAt > kLimitExpiry) {
    this->limiting = false;
  } else if (this->limiting) {
    this->Grow();
  }
}

// Lowers the limit, or sets the first one: from the number of open flows, or
// from the limit if that is lower, it shrinks in proportion to the excess of
// the response time, but at most to kMinShrinkFactor. It ends at the floor or
// above, so a limit below the floor is raised.
void
ConcurrencyLimit::Shrink(double aFactor, double aLeast)
{
  double base =
    this->limiting ? std::min<double>(this->limit, this->open) : this->open;
  this->limit = std::max(aLeast, base * aFactor);
  this->limiting = true;
}

// Raises the limit if the open flows are at the limit or at most one below.
void
ConcurrencyLimit::Grow()
{
  bool reached = this->open + 1 >= this->limit;
  this->limit =
    reached ? this->limit * kGrowthFactor + kGrowthFlows : this->limit;
}

}
