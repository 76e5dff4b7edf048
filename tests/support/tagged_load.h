// Callers, backend servers and instances of the tagged transport in virtual
// time: what callers get under a load, without network or clock.
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

// Who chooses the server of a new flow.
enum class TaggedPolicy : uint8_t
{
  Product,
  ProductWithoutHold,
  Random, // any listed server; a copy goes to another one
};

struct TaggedLoadOptions
{
  TaggedPolicy policy = TaggedPolicy::Product;
  size_t instances = 7;
  size_t zones = 1; // instances and servers are dealt to them in turn
  size_t servers = 14;
  uint32_t slots = 3;
  uint32_t queue = 12;                      // requests that wait at a server
  Micros maxQueueTime = 350 * kMillisecond; // longest wait there, then 503
  Micros work = 59 * kMillisecond;          // mean
  double workSigma = 0.5;                   // of the work, log-normal
  Micros latencyTarget = 250 * kMillisecond;
  Micros deadline = 2500 * kMillisecond;
  uint32_t retries = 2;
  Micros oneWayDelay = 2 * kMillisecond;
  Micros duration = 20 * kSecond;
  double loss = 0; // of packets towards the servers
  uint64_t seed = 1;
  std::function<double(Micros)>
    arrivalRate; // new requests a second, from start
  // Factor on a server's work; 0: it is dark.
  std::function<double(size_t, Micros)> slowdown;
};

struct TaggedLoadResult
{
  uint64_t requestCount = 0;
  uint64_t withinTarget = 0;
  uint64_t overTarget = 0;
  uint64_t failed = 0;
  uint64_t executedTwice = 0; // one request at two servers
  uint64_t refusedButExecuted =
    0;                           // reset by an instance, though a server ran it
  std::vector<Micros> latencies; // of the answered ones
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
  Micros LatencyAt(double aQuantile);
};

TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions);

}
