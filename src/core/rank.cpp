#include "core/rank.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <xxhash.h>

namespace gentianspindle {

namespace {

// Seeds that make the three hashes independent of each other. They must be the
// same at all instances.
constexpr uint64_t kFlowSeed = 0x67656e7469616e31;
constexpr uint64_t kRankSeed = 0x67656e7469616e32;
constexpr uint64_t kOwnerSeed = 0x67656e7469616e33;

// An owner has at most this multiple of the mean number of servers per
// reachable member of its zone, rounded up. Servers of zones without members
// are counted apart, with the mean over all reachable members.
constexpr double kOwnerLoadBound = 1.25;

template<typename T>
uint64_t
HashOf(const T& aValue, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(&aValue, sizeof(aValue), aSeed);
}

struct ServerScore
{
  double score;
  ServerIndex index;
};

// Exponential variate with rate aWeight: server i has the smallest one with
// probability weight_i / sum of weights. The server with the smallest score
// comes first in lookup order. The upper 53 bits of the hash become a number
// above 0 and at most 1.
double
Score(uint64_t aHash, uint32_t aWeight)
{
  double unit = (static_cast<double>(aHash >> 11) + 0.5) * 0x1p-53;
  return -std::log(unit) / aWeight;
}

// An instance that may become the owner of a server.
struct OwnerCandidate
{
  InstanceId instance;
  size_t servers = 0; // number of servers that it owns so far
};

struct ZoneMembers
{
  std::vector<OwnerCandidate> reachable;
  bool known = false;
};

// Returns the candidate with the highest score (hash of instance and server)
// among those with fewer than aMaxServers servers, and counts the server there.
InstanceId
PickOwner(std::vector<OwnerCandidate>& aCandidates,
          Address aServer,
          size_t aMaxServers)
{
  OwnerCandidate* best = nullptr;
  uint64_t bestScore = 0;
  for (OwnerCandidate& candidate : aCandidates) {
    std::array<uint64_t, 2> pair{ candidate.instance, aServer };
    uint64_t score = HashOf(pair, kOwnerSeed);
    if (candidate.servers < aMaxServers &&
        (best == nullptr || score > bestScore)) {
      best = &candidate;
      bestScore = score;
    }
  }
  if (best == nullptr) {
    return kNoInstance;
  }
  ++best->servers;
  return best->instance;
}

}

uint64_t
HashFlow(const ServiceKey& aService, FlowKey aFlow)
{
  std::array<uint64_t, 2> words{ aFlow,
                                 (uint64_t{ aService.address } << 32) |
                                   (uint64_t{ aService.port } << 8) |
                                   static_cast<uint64_t>(aService.protocol) };
  return HashOf(words, kFlowSeed);
}

Ranking
Ranking::Make(const ServiceKey& aService,
              std::span<const RankedServer> aServers)
{
  Ranking ranking;
  ranking.depth = std::min(aServers.size(), kRankDepth);
  ranking.indexes.reserve(kRankClasses * ranking.depth);
  std::vector<ServerScore> scores(aServers.size());
  for (uint64_t flowClass = 0; flowClass < kRankClasses; ++flowClass) {
    for (size_t i = 0; i < aServers.size(); ++i) {
      std::array<uint64_t, 3> words{ flowClass,
                                     aServers[i].address,
                                     aService.address };
      scores[i] = { Score(HashOf(words, kRankSeed), aServers[i].weight),
                    aServers[i].index };
    }
    std::partial_sort(scores.begin(),
                      scores.begin() + static_cast<int64_t>(ranking.depth),
                      scores.end(),
                      [](const ServerScore& aLeft, const ServerScore& aRight) {
                        return aLeft.score < aRight.score;
                      });
    for (size_t i = 0; i < ranking.depth; ++i) {
      ranking.indexes.push_back(scores[i].index);
    }
  }
  return ranking;
}

std::vector<InstanceId>
AssignOwners(std::span<const Member> aMembers,
             std::span<const OwnedServer> aServers)
{
  absl::flat_hash_map<std::string_view, ZoneMembers> zones;
  ZoneMembers all;
  for (const Member& member : aMembers) {
    ZoneMembers& zone = zones[member.zone];
    zone.known = true;
    if (member.reachable) {
      zone.reachable.push_back({ member.instance });
      all.reachable.push_back({ member.instance });
    }
  }
  auto membersOf = [&](std::string_view aZone) -> ZoneMembers& {
    auto zone = zones.find(aZone);
    return zone == zones.end() ? all : zone->second;
  };
  absl::flat_hash_map<const ZoneMembers*, size_t> load;
  for (const OwnedServer& server : aServers) {
    ++load[&membersOf(server.zone)];
  }
  // All instances assign in the order of addresses, as each assignment depends
  // on the earlier ones.
  std::vector<size_t> order(aServers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
    return aServers[aLeft].address < aServers[aRight].address;
  });
  std::vector<InstanceId> owners(aServers.size(), kNoInstance);
  for (size_t i : order) {
    ZoneMembers& zone = membersOf(aServers[i].zone);
    if (zone.reachable.empty()) {
      continue;
    }
    double mean = static_cast<double>(load[&zone]) /
                  static_cast<double>(zone.reachable.size());
    auto maxServers = static_cast<size_t>(std::ceil(mean * kOwnerLoadBound));
    owners[i] = PickOwner(zone.reachable, aServers[i].address, maxServers);
  }
  return owners;
}

std::vector<InstanceId>
AssignOwnersWithout(InstanceId aInstance,
                    std::span<const Member> aMembers,
                    std::span<const OwnedServer> aServers)
{
  std::vector<Member> others(aMembers.begin(), aMembers.end());
  std::erase_if(others, [=](const Member& aMember) {
    return aMember.instance == aInstance;
  });
  return AssignOwners(others, aServers);
}

}
