// How long requests take by route, so that the times at servers that got
// different kinds of requests can be compared.
#pragma once

#include "steer/server_load.h"

#include "absl/container/flat_hash_map.h"

namespace gentianspindle::steer {

class RequestTimes
{
public:
  // A handshake takes the way that a response takes, without work at the
  // server.
  void OnHandshake(Micros aDuration);
  // Returns the part of a request's time that was spent at the server.
  double ServiceMicros(Micros aDuration) const;
  // A request was answered. Returns the logarithm of its time at the server,
  // relative to the mean of its route. One that a full server rejected counts
  // as very long.
  double OnResponse(const Endpoint& aRoute, double aServiceMicros);
  // Number of requests that were taken for rejected ones.
  uint64_t Rejections() const { return this->rejections; }

  // The share of an open flow's time between two requests that it will have one
  // in flight. aIdleFlows flows are open without one, and requests on flows
  // that had one before took aBusyTime since the last call, aPeriod ago.
  void UpdateIdleLoad(uint32_t aIdleFlows, Micros aBusyTime, Micros aPeriod);
  double IdleLoad() const { return this->idleLoad; }

private:
  struct RouteTime
  {
    Average time{ .maxWeight = 200 }; // logarithm
  };

  absl::flat_hash_map<Endpoint, RouteTime> routes;
  uint64_t rejections = 0;
  double wayMicros = 0; // moving average; 0: unknown
  // Before it is known, idle flows count a little, so that they spread.
  double idleLoad = 0.05;
};

}
