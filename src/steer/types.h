// Types that the decisions of the tagged transport work on: packets, backend
// servers and routes.
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::steer {

// Names the backend server of a flow in the flow's packets. An instance writes
// it into each packet that it forwards, and both ends echo the last tag that
// they received, so every instance can tell the server.
using Tag = uint32_t;
constexpr Tag kNoTag = 0;

using ServerId = uint64_t;

// Derives a server's tag from its id, so that all instances use the same tag
// without communication. Ids from 1 to 2^32 - 1 give distinct tags; 0 and
// greater ids may share their tag with another.
constexpr Tag
TagOf(ServerId aId)
{
  auto tag = static_cast<Tag>(aId ^ (aId >> 32));
  return tag == kNoTag ? 1 : tag;
}

// Entry of one backend server in the registry, as the store has it.
struct ServerEntry
{
  ServerId id = 0;
  // Start of the server process in milliseconds since 1970; it differs after a
  // restart.
  int64_t startedAt = 0;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  uint32_t slots = 1; // requests that the server handles concurrently
  bool draining = false;
  Micros warmupLeft = 0; // time for which the started server is still slow

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

// Service of a route and its share of the route's flows.
struct WeightedService
{
  std::string service;
  uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// Services that receive the flows to one address and port.
struct RouteEntry
{
  std::string name;
  Endpoint endpoint;
  std::vector<WeightedService> services;
  // Of one request; 0: unknown. Silent servers' flows are reset only if it is 0
  // or at least kMinUsefulTimeout.
  Micros timeout = 0;
  Micros latencyTarget = 0; // time within which callers want the response
  uint32_t priority = 0;    // 0 is the most urgent
  // The requests are idempotent: callers repeat them after any failure.
  bool repeatable = false;
  // Regions whose servers may serve the route; empty: all.
  std::vector<std::string> regions;

  friend bool operator==(const RouteEntry&, const RouteEntry&) = default;
};

// What the configuration says of one service.
struct ServiceEntry
{
  std::string name;
  // New flows a second that one server in its warm-up gets from the whole
  // fleet; 0: no bound.
  double warmupQuota = 0;

  friend bool operator==(const ServiceEntry&, const ServiceEntry&) = default;
};

// One version of the configuration.
struct Config
{
  int64_t version = 0;
  std::vector<RouteEntry> routes;
  // Only services that need more than their defaults.
  std::vector<ServiceEntry> services;
  // Idle timeout of flows; not applied, only sent to peers.
  Micros idle = 15 * kSecond;
};

// Both ends of a flow: the caller, and the address and port that it called.
struct FlowId
{
  Endpoint caller;
  Endpoint target;

  friend bool operator==(const FlowId&, const FlowId&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const FlowId& aFlow)
  {
    return H::combine(std::move(aState), aFlow.caller, aFlow.target);
  }
};

// Header fields of a caller's packet.
struct Packet
{
  FlowId flow;
  uint32_t seq = 0;
  uint32_t ack = 0;
  Tag tag = kNoTag;
  uint16_t dataBytes = 0;
  bool syn = false;
  bool fin = false;
  bool rst = false;
  // Of an opening packet: how often the caller sent it before.
  uint32_t retransmissions = 0;
  // Of an opening packet: how long it waited in the instance's socket, as it
  // does while the process is paused. 0 for other packets.
  Micros queueTime = 0;
};

// Index of a server in the view.
using ServerIndex = uint32_t;
constexpr ServerIndex kNoServer = UINT32_MAX;

}
