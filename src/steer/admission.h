// How many flows this instance may have open at one service, and which
// callers wait meanwhile. Answers the load of a crest that exceeds what the
// servers can do: without it all requests queue at the servers and all come
// late, with it most are answered in time and the rest a little later.
#pragma once

#include "steer/types.h"

#include <deque>
#include <optional>

namespace gentianspindle::steer {

// ResponseFraction time, as a part of the time that callers want, above which
// the servers' queues are too long.
constexpr double kTargetResponseFraction = 0.6;
// A caller gives an opening up after 1.4 s; this leaves time for the answer.
constexpr Micros kMaxHoldTime = 1300 * kMillisecond;
constexpr size_t kMaxHeldOpenings = 4096;
// A flow counts against the bound for this many times the time that callers
// want. Later its caller has given up, or it is a straggler; neither says that
// the queues are long, and callers that went away must not keep others out.
constexpr Micros kCountedLatencyTargets = 2;

// Bound on open flows from the response times seen here. Each instance finds
// its share by itself: all see the same queues.
class ConcurrencyLimit
{
public:
  // A response took aDuration; callers want it within aLatencyTarget.
  void OnResponse(Micros aDuration, Micros aLatencyTarget, Micros aNow);
  // The limit never falls below aFloor, this instance's share of the slots.
  void SetFloor(double aFloor) { this->floor = aFloor; }
  void OnStart() { ++this->open; }
  void OnEnd() { this->open -= this->open > 0 ? 1 : 0; }

  bool Admits() const { return !this->limiting || this->open < this->limit; }
  bool IsLimiting() const { return this->limiting; }
  double Limit() const { return this->limit; }
  uint32_t Open() const { return this->open; }
  double ResponseFraction() const { return this->responseFraction; }

private:
  void Shrink();
  void Grow();

  uint32_t open = 0;
  bool limiting = false;
  double limit = 0;
  double floor = 1;
  double responseFraction = 0; // average, as a part of what callers want
  Micros changedAt = 0;
  Micros limitReachedAt = 0; // when the limit last bound
};

struct HeldOpening
{
  Packet packet;
  uint32_t priority = 0; // 0 goes first
  Micros latencyTarget = 0;
  Micros heldAt = 0;
};

// Callers that wait for a place, of one service.
class HoldQueue
{
public:
  bool Holds(const FlowId& aFlow) const;
  // False where the queue is full.
  bool Put(const HeldOpening& aOpening);
  void Remove(const FlowId& aFlow);
  // The next one to be placed.
  std::optional<HeldOpening> Take(Micros aNow);
  // One that waited too long to be placed.
  std::optional<HeldOpening> TakeExpired(Micros aNow);
  size_t Size() const { return this->held.size(); }

private:
  std::deque<HeldOpening> held; // oldest first
};

}
