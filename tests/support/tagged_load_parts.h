// Requests, callers and flows of the tagged load, and the view that its
// instances share.
#pragma once

#include "support/tagged_load.h"

namespace gentianspindle {

// A caller repeats an unanswered opening packet after these times, and then
// gives up the attempt. After an answer, an attempt has no timeout.
constexpr Micros kFirstRepeat = 200 * kMillisecond;
constexpr Micros kSecondRepeat = 600 * kMillisecond;
constexpr Micros kAttemptTimeout = 1400 * kMillisecond;
// A caller sends lost data again after this time, which doubles up to so often.
constexpr Micros kRetransmitDelay = 200 * kMillisecond;
constexpr uint32_t kMaxDoublings = 3;
constexpr uint32_t kFirstSeq = 100;
constexpr uint32_t kRequestBytes = 200;
constexpr uint32_t kReplyBytes = 1000;
constexpr Micros kTick = 50 * kMillisecond; // period of the instances' ticks

// The route of the first kind; those of further ones have the next ports.
constexpr Endpoint kFirstLoadTarget{ 0xC6120001, 443 };

inline Endpoint
LoadTarget(size_t aKind)
{
  Endpoint target = kFirstLoadTarget;
  target.port = static_cast<uint16_t>(target.port + aKind);
  return target;
}

// Flows are numbered, and LoadFlowKey returns the number of one.
inline steer::FlowId
LoadFlowId(uint64_t aKey, size_t aKind)
{
  return { { static_cast<Address>(0x64400000 + (aKey >> 14)),
             static_cast<uint16_t>(1024 + (aKey & 0x3FFF)) },
           LoadTarget(aKind) };
}

inline uint64_t
LoadFlowKey(const steer::FlowId& aFlow)
{
  return (uint64_t{ aFlow.caller.address - 0x64400000 } << 14) |
         (aFlow.caller.port - 1024U);
}

// Returns the zone of the instance or server with this index.
inline std::string
LoadZone(const TaggedLoadOptions& aOptions, size_t aIndex)
{
  return "zone-" + std::to_string(aIndex % aOptions.zones);
}

// Returns whether the instance with this index is up.
inline bool
IsUp(const TaggedLoadOptions& aOptions, size_t aIndex, Micros aSince)
{
  return !aOptions.instanceUp || aOptions.instanceUp(aIndex, aSince);
}

// Returns the zone of the next caller.
inline size_t
PickZone(const TaggedLoadOptions& aOptions,
         Micros aSince,
         std::mt19937_64& aRandom)
{
  if (aOptions.zones == 1) {
    return 0;
  }
  if (!aOptions.zoneDemand) {
    return aRandom() % aOptions.zones;
  }
  std::vector<double> shares;
  for (size_t zone = 0; zone < aOptions.zones; ++zone) {
    shares.push_back(aOptions.zoneDemand(zone, aSince));
  }
  return std::discrete_distribution<size_t>(shares.begin(),
                                            shares.end())(aRandom);
}

// Returns an instance of the zone. Instances are in the zones in turn, so those
// of a zone have indexes that differ by the number of zones.
inline size_t
PickInstance(const TaggedLoadOptions& aOptions,
             size_t aZone,
             std::mt19937_64& aRandom)
{
  size_t count = aOptions.instances;
  if (aOptions.zones == 1 || count < aOptions.zones) {
    return aRandom() % count;
  }
  size_t inZone = (count - aZone + aOptions.zones - 1) / aOptions.zones;
  return aZone + aOptions.zones * (aRandom() % inZone);
}

// Fills in the servers and a route for each kind. aReturned says that the
// servers of the first zone have returned.
inline void
FillLoadView(const TaggedLoadOptions& aOptions,
             Micros aNow,
             bool aReturned,
             steer::View& aView)
{
  std::vector<steer::ServerChange> list;
  for (size_t i = 0; i < aOptions.servers; ++i) {
    steer::ServerEntry entry;
    entry.id = i + 1;
    entry.service = "service";
    entry.endpoint = { static_cast<Address>(0x0A000001 + i), 8080 };
    entry.zone = LoadZone(aOptions, i);
    entry.slots = aOptions.slots;
    bool returns = aOptions.returnAt > 0 && i % aOptions.zones == 0;
    entry.draining = returns && !aReturned;
    entry.startedAt = returns && aReturned ? 1 : 0;
    entry.warmupLeft = returns && aReturned ? aOptions.warmup : 0;
    uint64_t revision = i + 1 + (aReturned ? aOptions.servers : 0);
    list.push_back(
      { "i-" + std::to_string(i), StorePosition{ 1, revision }, false, entry });
  }
  steer::Config config;
  config.version = 1;
  for (size_t i = 0; i < aOptions.kinds.size(); ++i) {
    const TaggedLoadKind& kind = aOptions.kinds[i];
    config.routes.push_back({ .name = "route",
                              .endpoint = LoadTarget(i),
                              .services = { { "service", 1 } },
                              .latencyTarget = kind.latencyTarget,
                              .priority = kind.priority,
                              .repeatable = kind.repeatable });
  }
  aView.PutConfig(config);
  aView.PutServers(list, aNow);
}

// A request of a caller, over all its attempts.
struct LoadRequest
{
  uint64_t id = 0;
  size_t kind = 0;
  size_t zone = 0;
  uint64_t caller = 0; // that keeps a flow, by its index + 1; 0: none does
  Micros startedAt = 0;
  uint32_t attempts = 0;
  bool done = false;
  uint32_t executions = 0;
  Micros work = 0;
};

// A caller that keeps its flow for all its requests.
struct LongCaller
{
  size_t kind = 0;
  size_t zone = 0;
  uint64_t flow = 0; // 0: none is open
  bool busy = false;
};

// One attempt of a request or, if its caller keeps it, of several.
struct LoadFlow
{
  uint64_t request = 0; // the last one
  size_t instance = 0;
  steer::FlowId id;
  bool open = false;
  bool ended = false;
  steer::Tag tag = steer::kNoTag;
  uint32_t requests = 0; // that were sent
  uint32_t replies = 0;
  uint32_t losses = 0; // of the data of the last request
};

}
