// Admission control: limits how many flows this instance may have open at one
// service, and queues the callers that exceed the limit. It is made for peak
// loads beyond the servers' capacity: without it all requests queue at the
// servers and all responses are late, with it most are in time and the rest are
// a little late or refused.
#pragma once

#include "steer/hold_queue.h"

namespace gentianspindle::steer {

// If the average response time exceeds this fraction of the latency target, the
// servers' queues are too long.
constexpr double kTargetResponseFraction = 0.6;
// The floor of the limit in parts of this instance's share of the slots.
constexpr double kFloorFraction = 0.75;
// A flow counts against the limit for this multiple of its latency target (a
// factor, of type Micros only for the multiplication); without a latency target
// it counts until the next tick. After that its caller has given up, or the
// request is a straggler. Neither means that the queues are long, and flows of
// callers that gave up must not take the place of others.
constexpr Micros kCountedLatencyTargets = 2;

// Limit on the open flows of one service, adapted to the response times that
// this instance sees. Each instance finds its own share, as all of them see the
// same server queues; only the floor needs the number of instances.
class ConcurrencyLimit
{
public:
  // A request was answered after aDuration. aLatencyTarget is that of its
  // route; the response is ignored if it is 0.
  void OnResponse(Micros aDuration, Micros aLatencyTarget, Micros aNow);
  // The same for a request that a server rejected, as its queue was full. Only
  // where this is called do rejections lower the limit, and not below the
  // instance's share of the slots: servers that are not full reject none.
  void OnRejection(Micros aNow);
  // The limit never shrinks below aFloor, 3/4 of this instance's share of the
  // slots. A limit that is lower already is raised to aFloor by the next review
  // that finds slow responses, not at once.
  void SetFloor(double aFloor) { this->floor = aFloor; }
  // A flow starts to count against the limit, or no longer counts.
  void OnStart() { ++this->open; }
  void OnEnd() { this->open -= this->open > 0 ? 1 : 0; }

  // Returns whether one more flow may open.
  bool Admits() const { return !this->limiting || this->open < this->limit; }
  bool IsLimiting() const { return this->limiting; }
  double Limit() const { return this->limit; }
  uint32_t Open() const { return this->open; }
  double ResponseFraction() const { return this->responseFraction; }

private:
  // Lowers the limit by aFactor, but not below aLeast.
  void Shrink(double aFactor, double aLeast);
  void Grow();
  void Review(Micros aNow);

  uint32_t open = 0;     // flows that count against the limit
  bool limiting = false; // false: there is no limit
  double limit = 0;
  double floor = 1;
  double responseFraction = 0; // moving average of time / target
  double rejected = 0;         // moving average: part of the requests
  Micros reviewedAt = 0;       // when the limit was last reviewed
  // When a response last found the open flows at the limit or one below, or
  // when the limit was set.
  Micros limitReachedAt = 0;
};

}
