// Ranking of servers for each flow, and assignment of owners to servers.
#include "core/rank.h"

#include <catch2/catch.hpp>
#include <map>

namespace gentianspindle {

namespace {

const ServiceKey kService{ 0xCB007100, 443, Protocol::Tcp };

std::vector<RankedServer>
MakeServers(size_t aCount, uint32_t aWeight)
{
  std::vector<RankedServer> servers;
  for (size_t i = 0; i < aCount; ++i) {
    servers.push_back({ 0x0A000001 + static_cast<Address>(i),
                        aWeight,
                        static_cast<ServerIndex>(i) });
  }
  return servers;
}

// Counts for each server the flows that have it as their default server.
std::map<ServerIndex, size_t>
CountFirstRanks(const Ranking& aRanking, size_t aFlows)
{
  std::map<ServerIndex, size_t> counts;
  for (size_t i = 0; i < aFlows; ++i) {
    ++counts[aRanking.For(HashFlow(kService, i))[0]];
  }
  return counts;
}

}

TEST_CASE(
  "Servers are the default servers of flows in proportion to their weights")
{
  std::vector<RankedServer> servers = MakeServers(4, 10);
  servers[3].weight = 30;
  std::map<ServerIndex, size_t> counts =
    CountFirstRanks(Ranking::Make(kService, servers), 60'000);
  for (ServerIndex i = 0; i < 3; ++i) {
    CHECK(counts[i] > 8'500);
    CHECK(counts[i] < 11'500);
  }
  CHECK(counts[3] > 28'000);
  CHECK(counts[3] < 32'000);
}

TEST_CASE(
  "The removal of a server moves only its own flows, to the next in order")
{
  std::vector<RankedServer> servers = MakeServers(14, 10);
  Ranking before = Ranking::Make(kService, servers);
  servers.erase(servers.begin() + 5);
  Ranking after = Ranking::Make(kService, servers);
  for (FlowKey flow = 0; flow < 20'000; ++flow) {
    uint64_t hash = HashFlow(kService, flow);
    ServerIndex oldServer = before.For(hash)[0];
    ServerIndex newServer = after.For(hash)[0];
    // The second server in lookup order takes the flows of a removed default
    // server.
    REQUIRE(newServer == (oldServer == 5 ? before.For(hash)[1] : oldServer));
  }
}

TEST_CASE("Servers are spread about evenly over the instances of their zone")
{
  std::vector<Member> members{ { 1, "a" }, { 2, "a" }, { 3, "b" } };
  std::vector<OwnedServer> servers;
  for (Address i = 0; i < 20; ++i) {
    servers.push_back({ i + 1, i < 10 ? "a" : "b" });
  }
  std::vector<InstanceId> owners = AssignOwners(members, servers);
  size_t ownedByFirst = 0;
  for (size_t i = 0; i < 10; ++i) {
    CHECK((owners[i] == 1 || owners[i] == 2));
    ownedByFirst += owners[i] == 1 ? 1 : 0;
  }
  CHECK(ownedByFirst >= 3);
  CHECK(ownedByFirst <= 7);
  for (size_t i = 10; i < 20; ++i) {
    CHECK(owners[i] == 3);
  }
}

TEST_CASE("Servers of an unreachable zone get no owner in another zone")
{
  std::vector<Member> members{ { 1, "a" }, { 2, "b", false } };
  std::vector<OwnedServer> servers{ { 10, "b" }, { 11, "a" } };
  std::vector<InstanceId> owners = AssignOwners(members, servers);
  CHECK(owners[0] == kNoInstance);
  CHECK(owners[1] == 1);
}

TEST_CASE("Servers of a zone without instances get an owner in another zone")
{
  std::vector<Member> members{ { 1, "a" }, { 2, "a" } };
  std::vector<OwnedServer> servers{ { 10, "c" } };
  CHECK(AssignOwners(members, servers)[0] != kNoInstance);
}

}
