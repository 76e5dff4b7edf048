// Metrics of the daemon in Prometheus text form.
#pragma once

#include "steer/steer.h"
#include "tagged/list_watcher.h"
#include "tagged/log.h"
#include "tagged/peers.h"

#include <array>
#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace gentianspindle::tagged {

// Upper ends of the buckets of latency histograms, microseconds.
constexpr std::array<Micros, 12> kBucketBounds{
  1'000,   2'500,   5'000,   10'000,    25'000,    50'000,
  100'000, 250'000, 500'000, 1'000'000, 2'500'000, 5'000'000,
};

struct Histogram
{
  std::array<uint64_t, kBucketBounds.size() + 1> counts{};
  double sumSeconds = 0;

  void Add(Micros aDuration);
};

struct PortCounts
{
  uint64_t packetsIn = 0;
  uint64_t packetsOut = 0;
  uint64_t bytesIn = 0;
  uint64_t badPackets = 0;
  uint64_t sendFailed = 0;
};

// All that the metrics page shows.
struct MetricsSource
{
  const PortCounts& port;
  const steer::FlowSteering& steer;
  const Histogram& handshake;
  const Histogram& response;
  const ListWatcherCounts& servers;
  const ListWatcherCounts& config;
  PeerCounts peers;
  LogCounts log;
  Micros viewAge = 0;
  bool reads = false; // this instance asks the store
  bool ready = false;
};

std::string
FormatMetrics(const MetricsSource& aSource);

}
