// Callers, backend servers and instances of the tagged transport in virtual
// time. The simulation measures what callers get under a load, without a real
// network or clock.
#pragma once

#include "steer/steer.h"
#include "support/clock.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace gentianspindle {

// What chooses the server of a new flow.
enum class TaggedPolicy : uint8_t
{
  Product,            // FlowSteering as the daemon uses it
  ProductWithoutHold, // without holding flows at the concurrency limit
  // A random listed server; a repeated opening packet picks again, so it
  // usually goes to another one.
  Random,
  // The listed server with the least expected wait, with knowledge of all
  // requests, speeds and flows, and without delay.
  LeastWait,
};

// One kind of request. Each has a route of its own to the one service.
struct TaggedLoadKind
{
  // New requests a second, by the time since the start.
  std::function<double(Micros)> arrivalRate;
  Micros work = 59 * kMillisecond; // mean
  Micros latencyTarget = 250 * kMillisecond;
  // Time from a request's start after which its reply no longer counts and its
  // caller starts no new attempt.
  Micros deadline = 2500 * kMillisecond;
  uint32_t priority = 0; // 0 is the most urgent
  bool repeatable = true;
  // Callers that each keep one flow for all their requests; 0: each request has
  // a flow of its own.
  size_t longFlows = 0;
};

// Settings of the callers, the instances and the servers.
struct TaggedLoadOptions
{
  TaggedPolicy policy = TaggedPolicy::Product;
  size_t instances = 7;
  // The instances and servers are distributed over the zones in turn.
  size_t zones = 1;
  size_t servers = 14;
  uint32_t slots = 3;
  // Greatest number of requests that wait at a server.
  uint32_t queue = 12;
  // Longest wait of a request at a server, which then responds with 503.
  Micros maxQueueTime = 350 * kMillisecond;
  // If empty, there is one kind, with arrivalRate and the figures below.
  std::vector<TaggedLoadKind> kinds;
  // Mean work of a request.
  Micros work = 59 * kMillisecond;
  // Sigma of the work, which is log-normal with the mean `work`.
  double workSigma = 0.5;
  Micros latencyTarget = 250 * kMillisecond;
  Micros deadline = 2500 * kMillisecond;
  // A caller retries failed attempts at most this often, each on a new flow.
  uint32_t retries = 2;
  Micros oneWayDelay = 2 * kMillisecond;
  // Added to it between an instance and a server of different zones.
  Micros crossZoneDelay = 0;
  Micros duration = 20 * kSecond;
  // Probability that a packet towards a server is lost.
  double loss = 0;
  uint64_t seed = 1;
  // New requests a second, by the time since the start.
  std::function<double(Micros)> arrivalRate;
  // Factor on the work of a server, by its index and the time since the start.
  // 0: the server receives nothing, but still answers the requests that it has.
  std::function<double(size_t, Micros)> slowdown;
  // Share of the callers in each zone, by its index and the time since the
  // start, relative to the others; without it all are alike. Callers use the
  // instances of their zone.
  std::function<double(size_t, Micros)> zoneDemand;
  // If set, the servers of the first zone are draining until this time since
  // the start, and in their warm-up for warmup after it.
  Micros returnAt = 0;
  Micros warmup = 0;
  // Whether the instance with this index is up, by the time since the start;
  // without it all are. Callers of one that is down use another of its zone.
  std::function<bool(size_t, Micros)> instanceUp;
  // Changes the options of each instance's flow steering.
  std::function<void(steer::FlowSteeringOptions&)> steering;
};

// Returns a quantile of the latencies, or 0 if there are none.
inline Micros
LatencyQuantile(std::vector<Micros> aLatencies, double aQuantile)
{
  if (aLatencies.empty()) {
    return 0;
  }
  auto index = static_cast<std::ptrdiff_t>(
    aQuantile * static_cast<double>(aLatencies.size() - 1));
  auto at = aLatencies.begin() + index;
  std::nth_element(aLatencies.begin(), at, aLatencies.end());
  return *at;
}

// Outcome of the requests of one kind or of the callers of one zone.
struct TaggedLoadShare
{
  uint64_t requestCount = 0;
  uint64_t withinTarget = 0;
  std::vector<Micros> latencies;

  double WithinTarget() const
  {
    return static_cast<double>(this->withinTarget) /
           static_cast<double>(std::max<uint64_t>(1, this->requestCount));
  }
};

// Outcome of all requests.
struct TaggedLoadResult
{
  uint64_t requestCount = 0;
  // Requests with a reply within the latency target, and above it but within
  // the deadline.
  uint64_t withinTarget = 0;
  uint64_t overTarget = 0;
  uint64_t failed = 0; // requests without a reply within the deadline
  // Requests that servers started to execute more than once.
  uint64_t executedTwice = 0;
  // Resets by an instance of requests without a reply that a server had started
  // to execute.
  uint64_t refusedButExecuted = 0;
  // Latencies of the requests that got a reply.
  std::vector<Micros> latencies;
  // Executions that each server started, by the server's index.
  std::map<size_t, uint64_t> perServer;
  std::vector<TaggedLoadShare> kinds; // as in the options
  std::vector<TaggedLoadShare> zones;
  uint64_t crossedZones = 0; // executions at a server of another zone

  double ShareWithinTarget() const
  {
    return static_cast<double>(this->withinTarget) /
           static_cast<double>(this->requestCount);
  }
  double ShareFailed() const
  {
    return static_cast<double>(this->failed) /
           static_cast<double>(this->requestCount);
  }
  Micros LatencyAt(double aQuantile) const
  {
    return LatencyQuantile(this->latencies, aQuantile);
  }
};

// Share of the requests in time in the zone where it is lowest, and where it is
// highest.
inline double
WorstZone(const TaggedLoadResult& aResult)
{
  double worst = 1;
  for (const TaggedLoadShare& zone : aResult.zones) {
    worst = std::min(worst, zone.WithinTarget());
  }
  return worst;
}

inline double
BestZone(const TaggedLoadResult& aResult)
{
  double best = 0;
  for (const TaggedLoadShare& zone : aResult.zones) {
    best = std::max(best, zone.WithinTarget());
  }
  return best;
}

// Runs one simulation to its end.
TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions);

}
