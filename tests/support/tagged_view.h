// Entries of servers and a configuration for tests: servers whose names and
// addresses follow from their ids, and two routes.
#pragma once

#include "steer/view.h"

namespace gentianspindle {

constexpr Endpoint kWebTarget{ 0xC6120001, 443 };
constexpr Endpoint kArchiveTarget{ 0xC6120002, 443 };

// Returns a position of the store's first era.
constexpr StorePosition
PositionAt(uint64_t aRevision, uint64_t aEra = 1)
{
  return { aEra, aRevision };
}

inline steer::ServerChange
MakeServer(steer::ServerId aId,
           const std::string& aService = "web",
           uint64_t aRevision = 1)
{
  steer::ServerEntry entry;
  entry.id = aId;
  entry.startedAt = 1000;
  entry.service = aService;
  entry.endpoint = { static_cast<Address>(0x0A800000 + aId), 8080 };
  entry.zone = "a";
  entry.slots = 2;
  return { "i-" + std::to_string(aId), PositionAt(aRevision), false, entry };
}

inline steer::ServerChange
MakeRemoved(steer::ServerId aId, uint64_t aRevision)
{
  return { "i-" + std::to_string(aId), PositionAt(aRevision), true, {} };
}

inline steer::Config
MakeConfig(int64_t aVersion)
{
  steer::Config config;
  config.version = aVersion;
  config.routes.push_back({ .name = "web",
                            .endpoint = kWebTarget,
                            .services = { { "web", 1 } },
                            .latencyTarget = 100 * kMillisecond });
  config.routes.push_back({ .name = "archive",
                            .endpoint = kArchiveTarget,
                            .services = { { "archive", 1 } },
                            .latencyTarget = 500 * kMillisecond });
  return config;
}

}
