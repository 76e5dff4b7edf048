// Metrics of the daemon in Prometheus text form.
#pragma once

#include "steer/steer.h"
#include "tagged/list_watcher.h"
#include "tagged/log.h"
#include "tagged/peers.h"
#include "tagged/unreadable_entries.h"

#include <array>
#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace gentianspindle::tagged {

// Upper bounds of the buckets of latency histograms, in microseconds.
constexpr std::array<Micros, 12> kBucketBounds{
  1'000,   2'500,   5'000,   10'000,    25'000,    50'000,
  100'000, 250'000, 500'000, 1'000'000, 2'500'000, 5'000'000,
};

// Counts durations by bucket; the last bucket has no upper bound.
struct Histogram
{
  std::array<uint64_t, kBucketBounds.size() + 1> counts{};
  double sumSeconds = 0;

  void Add(Micros aDuration);
};

// Counts of the socket for callers' packets.
struct PortCounts
{
  uint64_t packetsIn = 0;  // datagrams, badPackets included
  uint64_t packetsOut = 0; // to be sent, sendFailed included
  uint64_t bytesIn = 0;    // of packetsIn
  uint64_t badPackets = 0; // datagrams that are not packets
  uint64_t sendFailed = 0;
  // Opening packets whose arrival the kernel did not record.
  uint64_t arrivalsUnknown = 0;
};

// All values that the metrics are made of.
struct MetricsSource
{
  const PortCounts& port;
  const steer::FlowSteering& steer;
  const Histogram& handshake;
  const Histogram& response;
  const ListWatcherCounts& servers;
  const ListWatcherCounts& config;
  const ListWatcherCounts& drains;
  Micros drainsAge = 0;
  EntryCounts unreadable{};
  PeerCounts peers;
  LogCounts log;
  Micros viewAge = 0;
  uint64_t storeEra = 0;
  uint64_t storeReturns = 0; // from an older copy
  bool reads = false;        // this instance reads the store
  bool ready = false;
  uint64_t reloadsRefused = 0;
};

std::string
FormatMetrics(const MetricsSource& aSource);

}
