// What the tagged transport decides with: packets, backend servers, routes.
#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianspindle::steer {

// Small value that travels with the packets of a flow. Both ends hand back
// the last one that they received, so it names the flow's backend server to
// any instance.
using Tag = uint32_t;
constexpr Tag kNoTag = 0;

using ServerId = uint64_t;

// The tag of a server is the same at every instance without agreement. Ids of
// up to 32 bits give distinct tags.
constexpr Tag
TagOf(ServerId aId)
{
  auto tag = static_cast<Tag>(aId ^ (aId >> 32));
  return tag == kNoTag ? 1 : tag;
}

// What the registry says of one backend server.
struct ServerEntry
{
  ServerId id = 0;
  int64_t startedAt = 0; // milliseconds since 1970; tells two starts apart
  std::string service;
  Endpoint endpoint;
  std::string zone;
  uint32_t slots = 1; // requests at a time
  bool draining = false;
  Micros warmupLeft = 0; // still slow after its start, from now on

  friend bool operator==(const ServerEntry&, const ServerEntry&) = default;
};

struct WeightedService
{
  std::string service;
  uint32_t weight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

// Where flows to one address and port go.
struct RouteEntry
{
  std::string name;
  Endpoint endpoint;
  std::vector<WeightedService> services;
  Micros timeout = 0;       // of one request
  Micros latencyTarget = 0; // callers want their answer within this time
  uint32_t priority = 0;    // 0 is the most urgent
};

struct Config
{
  int64_t version = 0;
  std::vector<RouteEntry> routes;
  Micros idle = 15 * kSecond; // a flow may be forgotten after this time
};

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

// A caller's packet, without its data.
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
};

// Place of a server in the view.
using ServerIndex = uint32_t;
constexpr ServerIndex kNoServer = UINT32_MAX;

}
