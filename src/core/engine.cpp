// The servers, owners and flow entries of an engine.
#include "core/engine.h"

#include <algorithm>

namespace gentianspindle {

namespace {

// Ratio of the limit of passed-on SYNs to the limit of half-open flows.
constexpr size_t kPassedPerHalfOpen = 4;

bool
ContainsServer(const Engine::Order& aOrder, ServerIndex aServer)
{
  return std::find(aOrder.begin(), aOrder.end(), aServer) != aOrder.end();
}

}

Engine::Engine(const EngineOptions& aOptions, InstanceId aSelf)
  : options(aOptions)
  , self(aSelf)
  , walkTokens(aOptions.walksPerSecond)
{
}

void
Engine::SetService(const Service& aService,
                   int64_t aVersion,
                   bool aIsNew,
                   Micros aNow)
{
  bool first = this->version == 0;
  this->service = aService;
  this->version = aVersion;
  std::vector<bool> served;
  for (ServerState& server : this->servers) {
    served.push_back(server.TakesNew());
    server.removed = true;
    server.gone = true;
  }
  Knowledge knowledge = aIsNew || !first ? Knowledge::All : Knowledge::None;
  for (const ServerRow& row : aService.rows) {
    this->EnsureServer(row, knowledge);
    ServerIndex index = this->serverIndexes.at(row.address);
    ServerState& server = this->servers[index];
    bool isNew = index >= served.size();
    bool starts = !row.draining && (isNew || !served[index]);
    if (starts && !first) {
      server.slowStartFrom = aNow;
    }
    server.row = row;
    server.removed = false;
  }
  this->ranking = this->MakeRanking(aService.rows);
  this->former.clear();
  const std::vector<ServerRow>* newer = &aService.rows;
  for (const std::vector<ServerRow>& rows : aService.former) {
    for (const ServerRow& row : rows) {
      this->EnsureServer(row, knowledge);
    }
    auto same = [](const ServerRow& aLeft, const ServerRow& aRight) {
      return aLeft.address == aRight.address && aLeft.weight == aRight.weight;
    };
    // The ranking depends on addresses and weights only.
    if (!std::equal(
          rows.begin(), rows.end(), newer->begin(), newer->end(), same)) {
      this->former.push_back(this->MakeRanking(rows));
    }
    newer = &rows;
  }
}

// Adds the server of aRow with aKnowledge if it is not known yet.
void
Engine::EnsureServer(const ServerRow& aRow, Knowledge aKnowledge)
{
  auto [found, isNew] = this->serverIndexes.try_emplace(
    aRow.address, static_cast<ServerIndex>(this->servers.size()));
  if (isNew) {
    ServerState& server = this->servers.emplace_back();
    server.knowledge = aKnowledge;
    server.row = aRow;
    server.removed = true;
  }
  this->servers[found->second].gone = false;
}

Ranking
Engine::MakeRanking(std::span<const ServerRow> aRows) const
{
  std::vector<RankedServer> ranked;
  ranked.reserve(aRows.size());
  for (const ServerRow& row : aRows) {
    ranked.push_back(
      { row.address, row.weight, this->serverIndexes.at(row.address) });
  }
  return Ranking::Make(this->service.key, ranked);
}

void
Engine::SetOwners(std::span<const InstanceId> aOwners,
                  std::span<const InstanceId> aOwnersWithoutSelf,
                  std::span<const InstanceId> aReachable,
                  Micros aNow)
{
  this->ownedServerCount = 0;
  for (size_t i = 0; i < this->servers.size(); ++i) {
    ServerState& server = this->servers[i];
    bool had = server.owner == this->self;
    bool has = aOwners[i] == this->self;
    this->ownedServerCount += has ? 1 : 0;
    if (has && !had) {
      server.ownedSince = aNow;
      server.formerOwner =
        server.owner == kNoInstance ? aOwnersWithoutSelf[i] : server.owner;
    }
    bool reachable =
      std::find(aReachable.begin(), aReachable.end(), server.formerOwner) !=
      aReachable.end();
    if (!reachable) {
      server.formerOwner = kNoInstance;
    }
    // A server that never had an owner needs no hand-over. Once it has one,
    // a later owner is cold until the hand-over has arrived.
    if (!has && aOwners[i] != kNoInstance) {
      server.knowledge = Knowledge::None;
    }
    server.owner = aOwners[i];
  }
}

bool
Engine::IsOwnedHere(ServerIndex aServer) const
{
  return this->servers[aServer].owner == this->self;
}

ServerIndex
Engine::FindServer(Address aAddress) const
{
  auto found = this->serverIndexes.find(aAddress);
  return found == this->serverIndexes.end() ? kNoServer : found->second;
}

Engine::Order
Engine::LookupOrder(FlowKey aFlow) const
{
  uint64_t hash = HashFlow(this->service.key, aFlow);
  std::span<const ServerIndex> ranks = this->ranking.For(hash);
  Order order(ranks.begin(), ranks.end());
  for (const Ranking& ranking : this->former) {
    for (ServerIndex server : ranking.For(hash)) {
      if (!this->servers[server].gone && !ContainsServer(order, server)) {
        order.push_back(server);
      }
    }
  }
  return order;
}

// Adds aSign, 1 or -1, to the counters of the flow's server.
void
Engine::UpdateServerCounts(const Flow& aFlow, int aSign)
{
  uint32_t& count =
    this->servers[aFlow.server].counts[static_cast<size_t>(aFlow.state)];
  count += static_cast<uint32_t>(aSign);
  if (aFlow.straggling) {
    this->servers[aFlow.server].stragglers += static_cast<uint32_t>(aSign);
  }
}

bool
Engine::HasFreeSlot(const ServerState& aServer, Micros aNow) const
{
  double pipeline = this->options.usePipeline ? this->timing.Pipeline() : 0;
  return aServer.HasFreeSlot(aNow, pipeline);
}

void
Engine::MarkStraggler(FlowIndex aFlow)
{
  Flow& flow = this->flows.At(aFlow);
  this->UpdateServerCounts(flow, -1);
  flow.straggling = true;
  this->UpdateServerCounts(flow, 1);
}

void
Engine::SetState(FlowIndex aFlow, FlowState aState)
{
  Flow& flow = this->flows.At(aFlow);
  this->UpdateServerCounts(flow, -1);
  bool hasRequest =
    aState == FlowState::Waiting || aState == FlowState::Answering;
  flow.straggling = flow.straggling && hasRequest;
  this->flows.Move(aFlow, aState);
  this->UpdateServerCounts(this->flows.At(aFlow), 1);
}

void
Engine::EraseFlow(FlowIndex aFlow)
{
  this->UpdateServerCounts(this->flows.At(aFlow), -1);
  this->flows.Erase(aFlow);
}

FlowIndex
Engine::PutFlow(FlowKey aFlow,
                ServerIndex aServer,
                FlowState aState,
                Micros aNow)
{
  FlowIndex flow = this->flows.Find(aFlow);
  if (flow != kNoFlow) {
    this->EraseFlow(flow);
  }
  flow = this->flows.Insert(aFlow, aServer, aState, aNow);
  this->UpdateServerCounts(this->flows.At(flow), 1);
  return flow;
}

void
Engine::Count(Reason aReason)
{
  ++this->counts.reasons[static_cast<size_t>(aReason)];
}

// Evicts the oldest half-open flow, and the oldest passed-on SYN, where there
// are as many as allowed.
void
Engine::LimitHalfOpen()
{
  size_t bound = size_t{ this->options.halfOpen } *
                 std::max<uint32_t>(this->ownedServerCount, 1);
  size_t halfOpen = 0;
  size_t passed = 0;
  for (const ServerState& server : this->servers) {
    halfOpen +=
      server.Count(FlowState::Connecting) + server.Count(FlowState::HalfOpen);
    passed += server.Count(FlowState::Passed);
  }
  if (passed >= bound * kPassedPerHalfOpen) {
    this->EraseFlow(this->flows.Oldest(FlowState::Passed));
  }
  if (halfOpen < bound) {
    return;
  }
  FlowIndex oldest = this->flows.Oldest(FlowState::HalfOpen);
  if (oldest == kNoFlow) {
    oldest = this->flows.Oldest(FlowState::Connecting);
  }
  this->Count(Reason::HalfOpenLimit);
  this->EraseFlow(oldest);
}

// Reports are ignored while more than half of Servers(), which include removed
// ones, are reported down.
void
Engine::OnReport(Address aServer, bool aDown)
{
  ServerIndex found = this->FindServer(aServer);
  if (found == kNoServer) {
    return;
  }
  this->servers[found].reportedDown = aDown;
  size_t down = std::count_if(
    this->servers.begin(), this->servers.end(), [](const ServerState& aState) {
      return aState.reportedDown;
    });
  this->trustReports = down * 2 <= this->servers.size();
}

}
