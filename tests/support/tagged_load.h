// Callers, backend servers and instances of the tagged transport in virtual
// time. The simulation measures what callers get under a load, without a real
// network or clock.
#pragma once

#include "steer/steer.h"
#include "support/clock.h"

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
  // Mean work of a request.
  Micros work = 59 * kMillisecond;
  // Sigma of the work, which is log-normal with the mean `work`.
  double workSigma = 0.5;
  Micros latencyTarget = 250 * kMillisecond;
  // Time from a request's start after which its reply no longer counts and its
  // caller starts no new attempt.
  Micros deadline = 2500 * kMillisecond;
  // A caller retries failed attempts at most this often, each on a new flow.
  uint32_t retries = 2;
  Micros oneWayDelay = 2 * kMillisecond;
  Micros duration = 20 * kSecond;
  // Probability that a packet towards a server is lost.
  double loss = 0;
  uint64_t seed = 1;
  // New requests a second, by the time since the start.
  std::function<double(Micros)> arrivalRate;
  // Factor on the work of a server, by its index and the time since the start.
  // Factors below 1 count as 1; 0: the server receives nothing, but still
  // answers the requests that it has.
  std::function<double(size_t, Micros)> slowdown;
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
  // Quantile of the latencies.
  Micros LatencyAt(double aQuantile);
};

// Runs one simulation to its end.
TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions);

}
