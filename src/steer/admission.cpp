#include "steer/admission.h"

#include <algorithm>

namespace gentianspindle::steer {

namespace {

// Weight of the newest response in the average: about the last ten.
constexpr double kWeight = 0.1;
// One straggler must not look like a queue.
constexpr double kMostResponse = 1.5;
// Time for a change of the limit to show in the responses.
constexpr Micros kSettleTime = 200 * kMillisecond;
constexpr double kLeastShrink = 0.9;
constexpr double kGrowth = 1.04;
// A limit that did not bind for this time is taken away.
constexpr Micros kFreeTime = 1500 * kMillisecond;
// Of the time that callers want, the part that one request needs at a server
// without a queue.
constexpr double kServicePart = 0.3;

}

void
ConcurrencyLimit::OnResponse(Micros aDuration,
                             Micros aLatencyTarget,
                             Micros aNow)
{
  if (aLatencyTarget <= 0) {
    return;
  }
  double part =
    static_cast<double>(aDuration) / static_cast<double>(aLatencyTarget);
  part = std::min(part, kMostResponse);
  this->response += kWeight * (part - this->response);
  if (this->bounded && this->open + 1 >= this->limit) {
    this->boundAt = aNow;
  }
  if (aNow - this->changedAt < kSettleTime) {
    return;
  }
  this->changedAt = aNow;
  if (this->response > kTargetResponse) {
    this->boundAt = this->bounded ? this->boundAt : aNow;
    this->Shrink();
  } else if (this->bounded && aNow - this->boundAt > kFreeTime) {
    this->bounded = false;
  } else if (this->bounded) {
    this->Grow();
  }
}

void
ConcurrencyLimit::Shrink()
{
  double factor = std::max(kLeastShrink, kTargetResponse / this->response);
  double base =
    this->bounded ? std::min<double>(this->limit, this->open) : this->open;
  this->limit = std::max(this->floor, base * factor);
  this->bounded = true;
}

void
ConcurrencyLimit::Grow()
{
  bool binds = this->open + 1 >= this->limit;
  this->limit = binds ? this->limit * kGrowth + 0.2 : this->limit;
}

bool
HoldQueue::Holds(const FlowId& aFlow) const
{
  return std::any_of(
    this->held.begin(), this->held.end(), [&](const HeldOpening& aHeld) {
      return aHeld.packet.flow == aFlow;
    });
}

bool
HoldQueue::Put(const HeldOpening& aOpening)
{
  if (this->held.size() >= kMostHeld) {
    return false;
  }
  this->held.push_back(aOpening);
  return true;
}

void
HoldQueue::Remove(const FlowId& aFlow)
{
  std::erase_if(this->held, [&](const HeldOpening& aHeld) {
    return aHeld.packet.flow == aFlow;
  });
}

// The most urgent first; among these, who can still be answered in time, the
// newest first: in a crest the oldest would take the place and be late all the
// same. Who is late already follows, the oldest first, before the caller gives
// up.
std::optional<HeldOpening>
HoldQueue::Take(Micros aNow)
{
  auto isLate = [aNow](const HeldOpening& aHeld) {
    auto left =
      static_cast<double>(aHeld.latencyTarget - (aNow - aHeld.heldAt));
    return left < kServicePart * static_cast<double>(aHeld.latencyTarget);
  };
  auto best = this->held.end();
  for (auto next = this->held.begin(); next != this->held.end(); ++next) {
    if (best == this->held.end() || next->priority < best->priority) {
      best = next;
      continue;
    }
    bool replaces = next->priority == best->priority && !isLate(*next);
    best = replaces ? next : best;
  }
  if (best == this->held.end()) {
    return std::nullopt;
  }
  HeldOpening taken = *best;
  this->held.erase(best);
  return taken;
}

std::optional<HeldOpening>
HoldQueue::TakeExpired(Micros aNow)
{
  if (this->held.empty() || aNow - this->held.front().heldAt < kLongestHold) {
    return std::nullopt;
  }
  HeldOpening taken = this->held.front();
  this->held.pop_front();
  return taken;
}

}
