// Example tables with the zones of the two organisations' deployments.
#pragma once

#include "core/table.h"

namespace gentianspindle {

// A deployment: its zones, its instances, the slots of a backend server, and
// Service::waitMs.
struct Deployment
{
  // Availability zones of the backend servers.
  std::vector<std::string> zones;
  // Availability zone of each instance.
  std::vector<std::string> instances;
  uint32_t slots = 2;
  uint32_t waitMs = 400;
};

inline Deployment
Panji()
{
  return { { "jkt", "bdg", "smg", "sby" },
           { "jkt", "bdg", "smg", "sby", "jkt", "bdg", "smg" },
           2,
           400 };
}

inline Deployment
Talleres()
{
  return { { "gdl-centro", "gdl-zapopan", "gdl-tlaque" },
           { "gdl-centro",
             "gdl-zapopan",
             "gdl-tlaque",
             "gdl-centro",
             "gdl-zapopan",
             "gdl-tlaque" },
           3,
           400 };
}

// Makes a service whose servers have consecutive addresses and are distributed
// over the zones in turn.
inline Service
MakeService(const Deployment& aDeployment,
            const std::string& aName,
            Address aAddress,
            Address aFirstServer,
            size_t aServers)
{
  Service service;
  service.name = aName;
  service.key = { aAddress, 443, Protocol::Tcp };
  service.waitMs = aDeployment.waitMs;
  for (size_t i = 0; i < aServers; ++i) {
    ServerRow row;
    row.address = aFirstServer + static_cast<Address>(i);
    row.zone = aDeployment.zones[i % aDeployment.zones.size()];
    row.weight = 10;
    row.slots = aDeployment.slots;
    row.connections = 2000;
    service.rows.push_back(row);
  }
  return service;
}

// Makes a table of two services, with 14 and 4 backend servers: 10.20.1.1 to
// 10.20.1.14 and 10.20.2.1 to 10.20.2.4.
inline Table
MakeTable(const Deployment& aDeployment)
{
  constexpr Address kServices = 0xCB007100; // 203.0.113.0
  Table table;
  table.version = 1;
  table.services.push_back(
    MakeService(aDeployment, "short", kServices + 10, 0x0A140101, 14));
  table.services.push_back(
    MakeService(aDeployment, "sheets", kServices + 11, 0x0A140201, 4));
  return table;
}

}
