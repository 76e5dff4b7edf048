// Ranking of a service's backend servers for a flow, and which instance owns
// which server. Pure functions of the table and of the member set.
#pragma once

#include "core/table.h"

#include <span>
#include <vector>

namespace gentianspindle {

// Place of a backend server in an engine's server list.
using ServerIndex = uint16_t;
constexpr ServerIndex kNoServer = UINT16_MAX;

// Flows fall into this many classes; all flows of a class share one ranking.
constexpr size_t kRankClasses = 4096;
// Servers that a stored ranking holds at most.
constexpr size_t kRankDepth = 12;

// Weight of a server and the number that stands for it in rankings.
struct RankedServer
{
  Address address = 0;
  uint32_t weight = 1;
  ServerIndex index = 0;
};

// Precomputed weighted rendezvous ranking.
struct Ranking
{
  size_t depth = 0;
  std::vector<ServerIndex> indexes; // depth places for each class

  static Ranking Make(const ServiceKey& aService,
                      std::span<const RankedServer> aServers);

  std::span<const ServerIndex> For(uint64_t aFlowHash) const
  {
    size_t first = (aFlowHash % kRankClasses) * this->depth;
    return std::span(this->indexes).subspan(first, this->depth);
  }
};

// Hash of a flow, the same at every instance.
uint64_t
HashFlow(const ServiceKey& aService, FlowKey aFlow);

struct Member
{
  InstanceId instance = kNoInstance;
  std::string zone;
  bool reachable = true;
};

struct OwnedServer
{
  Address address = 0;
  std::string_view zone;
};

// The owner of each server: bounded-load rendezvous hashing among the
// reachable members of its zone. A zone all of whose members are unreachable
// keeps its servers: their owner is kNoInstance. A zone without members has
// its servers owned by the members of the others.
std::vector<InstanceId>
AssignOwners(std::span<const Member> aMembers,
             std::span<const OwnedServer> aServers);

// The owners if aInstance were not there.
std::vector<InstanceId>
AssignOwnersWithout(InstanceId aInstance,
                    std::span<const Member> aMembers,
                    std::span<const OwnedServer> aServers);

}
