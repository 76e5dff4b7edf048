// Which servers may get a new flow, and why the others may not.
#pragma once

#include "steer/warmup_quota.h"

#include <array>

namespace gentianspindle::steer {

// Why a server is no candidate for a new flow.
enum class Exclusion : uint8_t
{
  None, // it is a candidate
  Unlisted,
  Draining,
  TagConflict,      // another server has its tag
  RegionNotAllowed, // the route may not use the region of its zone
  ZoneDrained,      // its zone is drained
  WarmupQuota,      // its warm-up quota gives this instance no flow now
  Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Exclusion::Count)>
  kExclusionNames{ "none",         "unlisted",           "draining",
                   "tag_conflict", "region_not_allowed", "zone_drained",
                   "warmup_quota" };

constexpr std::string_view
ExclusionName(Exclusion aExclusion)
{
  return kExclusionNames[static_cast<size_t>(aExclusion)];
}

// Number of servers by exclusion.
using ExclusionCounts =
  std::array<uint32_t, static_cast<size_t>(Exclusion::Count)>;

// A new flow that needs a server.
struct PlacementRequest
{
  std::string_view service;
  const RouteEntry& route;
  WarmupQuota* warmupQuota = nullptr; // null: no bound
  // Compare servers by the requests in flight and the learned service times,
  // in place of open flows and response times.
  bool byRequests = false;
  // Requests in flight to be expected of an open flow without one.
  double idleLoad = 0;
  double zoneLoad = 0; // see ServiceLoad
};

// Returns why the server cannot get the flow. A suspect server is no exclusion:
// the placer uses one if there is no other.
Exclusion
ExclusionOf(const View& aView,
            ServerIndex aServer,
            const PlacementRequest& aRequest,
            Micros aNow);

}
