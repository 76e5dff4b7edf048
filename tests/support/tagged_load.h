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
enum class TaggedWay : uint8_t
{
  Product,
  ProductWithoutHold,
  Random, // any listed server; a copy goes to another one
};

struct TaggedLoadOptions
{
  TaggedWay way = TaggedWay::Product;
  size_t instances = 7;
  size_t zones = 1; // instances and servers are dealt to them in turn
  size_t servers = 14;
  uint32_t slots = 3;
  uint32_t queue = 12;                   // requests that wait at a server
  Micros shedAfter = 350 * kMillisecond; // longest wait there, then 503
  Micros work = 59 * kMillisecond;       // mean
  double spread = 0.5;                   // of the work, log-normal
  Micros latencyTarget = 250 * kMillisecond;
  Micros deadline = 2500 * kMillisecond;
  uint32_t retries = 2;
  Micros oneWay = 2 * kMillisecond;
  Micros duration = 20 * kSecond;
  double loss = 0; // of packets towards the servers
  uint64_t seed = 1;
  std::function<double(Micros)> rate; // new requests a second, from start
  // Factor on a server's work; 0: it is dark.
  std::function<double(size_t, Micros)> slowness;
};

struct TaggedLoadResult
{
  uint64_t asked = 0;
  uint64_t inAim = 0;
  uint64_t late = 0;
  uint64_t failed = 0;
  uint64_t ranTwice = 0;      // one request at two servers
  uint64_t refusedButRan = 0; // reset by an instance, though a server ran it
  std::vector<Micros> times;  // of the answered ones
  std::map<size_t, uint64_t> perServer;

  double ShareInAim() const
  {
    return static_cast<double>(this->inAim) / static_cast<double>(this->asked);
  }
  double ShareFailed() const
  {
    return static_cast<double>(this->failed) / static_cast<double>(this->asked);
  }
  Micros At(double aShare);
};

TaggedLoadResult
RunTaggedLoad(const TaggedLoadOptions& aOptions);

}
