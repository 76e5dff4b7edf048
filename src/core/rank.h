// The order of a service's backend servers for a flow, and the owner of each
// server. Both are pure functions of the table and of the members.
#pragma once

#include "core/table.h"

#include <span>
#include <vector>

namespace gentianspindle {

// Index of a backend server in an engine's list of servers.
using ServerIndex = uint16_t;
constexpr ServerIndex kNoServer = UINT16_MAX;

// Number of classes of flows; all flows of a class have the same ranking.
constexpr size_t kRankClasses = 4096;
// Max. number of servers in a ranking. Of a service with more servers, each
// class of flows ranks the first ones only.
constexpr size_t kRankDepth = 12;

// A server to rank.
struct RankedServer
{
  Address address = 0;
  uint32_t weight = 1;
  ServerIndex index = 0; // the engine's index, which the ranking stores
};

// Precomputed weighted rendezvous hashing: for each class of flows the servers
// in lookup order. The first one is the default server of the class.
struct Ranking
{
  size_t depth = 0;                 // servers per class
  std::vector<ServerIndex> indexes; // depth servers for each class

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

// An instance that may own servers.
struct Member
{
  InstanceId instance = kNoInstance;
  std::string zone;
  bool reachable = true;
};

// A server that gets an owner.
struct OwnedServer
{
  Address address = 0;
  std::string_view zone;
};

// Returns the owner of each server, by rendezvous hashing with bounded loads
// among the reachable members of its zone. If all members of a zone are
// unreachable, its servers have no owner, kNoInstance. If a zone has no
// members, the members of the other zones own its servers.
std::vector<InstanceId>
AssignOwners(std::span<const Member> aMembers,
             std::span<const OwnedServer> aServers);

// Returns the owners if aInstance were not a member.
std::vector<InstanceId>
AssignOwnersWithout(InstanceId aInstance,
                    std::span<const Member> aMembers,
                    std::span<const OwnedServer> aServers);

}
