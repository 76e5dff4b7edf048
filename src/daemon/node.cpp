#include "daemon/node.h"

#include "store/store.h"

#include <chrono>
#include <xxhash.h>

namespace gentianspindle {

namespace {

// An instance that has found no peer after this number of probe periods serves
// alone.
constexpr Micros kJoinTimeoutPeriods = 10;

std::vector<InstanceId>
ParseInstances(const std::vector<std::string>& aTexts)
{
  std::vector<InstanceId> instances;
  for (const std::string& text : aTexts) {
    InstanceId instance = kNoInstance;
    if (ParseInstance(text, instance)) {
      instances.push_back(instance);
    }
  }
  return instances;
}

EngineOptions
MakeOptions(const Settings& aSettings)
{
  EngineOptions options;
  options.idle = aSettings.flows.idleS * kSecond;
  options.synLifetime = aSettings.flows.synS * kSecond;
  options.handshake = aSettings.flows.handshakeMs * kMillisecond;
  options.quiet = aSettings.flows.quietMs * kMillisecond;
  options.halfOpen = static_cast<uint32_t>(aSettings.flows.halfOpen);
  options.servers = static_cast<uint32_t>(aSettings.walk.servers);
  options.held = static_cast<uint32_t>(aSettings.walk.held);
  return options;
}

MembershipOptions
MakeMembershipOptions(const Settings& aSettings)
{
  MembershipOptions options;
  options.period = aSettings.peers.probeMs * kMillisecond;
  return options;
}

InstanceId
SelfOf(const Settings& aSettings)
{
  Address address = 0;
  ParseAddress(aSettings.instance.address, address);
  return MakeInstanceId(address, static_cast<uint16_t>(aSettings.peers.port));
}

std::vector<SealKey>
KeysOf(const Settings& aSettings)
{
  std::vector<SealKey> keys{ { static_cast<int16_t>(aSettings.peers.keyId),
                               aSettings.peers.key } };
  if (aSettings.peers.oldKeyId != 0) {
    keys.push_back({ static_cast<int16_t>(aSettings.peers.oldKeyId),
                     aSettings.peers.oldKey });
  }
  return keys;
}

// The number before the first sequence number of sealed messages: the wall
// clock in microseconds, so that the numbers after a restart are higher than
// those before, unless the clock was set back. Peers reject numbers that they
// have seen or that are too old. Clocks of different instances are never
// compared.
int64_t
InitialSequence()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Hash of the service with its present and former rows, the same at all
// instances where these are the same; never 0 or negative. The engine takes it
// as its version. A relayed packet carries it, so that a peer notices that its
// rows differ.
int64_t
ServiceHash(const Service& aService)
{
  std::string part = EncodePart(aService);
  uint64_t hash = XXH3_64bits(part.data(), part.size());
  return static_cast<int64_t>(hash >> 1 | 1);
}

}

Micros
MonotonicNow()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

Node::Node(const Settings& aSettings)
  : members(MakeMembershipOptions(aSettings),
            SelfOf(aSettings),
            aSettings.instance.zone,
            ParseInstances(aSettings.peers.seeds),
            std::random_device{}())
  , sealer(KeysOf(aSettings), SelfOf(aSettings), InitialSequence())
  , linkSealer(KeysOf(aSettings), SelfOf(aSettings), InitialSequence())
  , settings(aSettings)
  , options(MakeOptions(aSettings))
  , self(SelfOf(aSettings))
  , snapshot(std::make_shared<Snapshot>())
{
}

std::unique_ptr<Node>
Node::Make(const Settings& aSettings)
{
  std::unique_ptr<Node> node(new Node(aSettings));
  node->RecordTick(MonotonicNow());
  node->ApplyMembership(MonotonicNow());
  return node;
}

std::vector<ReleasedServer>
Node::TakeReleased()
{
  absl::MutexLock lock(&this->tableMutex);
  return std::exchange(this->releasedServers, {});
}

Table
Node::CopyTable()
{
  absl::MutexLock lock(&this->tableMutex);
  return this->table;
}

ThreadCounts&
Node::AddThreadCounts()
{
  this->counts.push_back(std::make_unique<ThreadCounts>());
  return *this->counts.back();
}

bool
Node::ActivateTable(const Table& aTable, Micros aNow)
{
  absl::MutexLock lock(&this->tableMutex);
  if (aTable.version <= this->table.version) {
    return false;
  }
  std::shared_ptr<const Snapshot> now = this->Current();
  auto next = std::make_shared<Snapshot>();
  next->tableVersion = aTable.version;
  next->peers = now->peers;
  next->joined = now->joined;
  // A service that the previous table lacks is taken to have no flows yet. With
  // the first table after a start it is not known which services are new,
  // unless the platform had no table before.
  bool knowsPrevious = this->table.version > 0 || this->confirmedNoTable;
  for (const Service& service : aTable.services) {
    auto known = now->services.find(service.key);
    std::shared_ptr<ServiceEntry> entry;
    if (known == now->services.end()) {
      entry = std::make_shared<ServiceEntry>(this->options, this->self);
      entry->name = service.name;
    } else {
      entry = known->second;
    }
    absl::MutexLock engineLock(&entry->mutex);
    if (!(entry->engine.Current() == service)) {
      bool fresh = known == now->services.end() && knowsPrevious;
      entry->engine.SetService(service, ServiceHash(service), fresh, aNow);
    }
    next->services.emplace(service.key, entry);
  }
  this->table = aTable;
  if (next->joined) {
    this->AssignOwnersLocked(*next, aNow);
  }
  this->Publish(std::move(next));
  return true;
}

// Assigns the servers of all services at once, removed servers included, so
// that the number of servers is bounded per instance and not per service.
// Records the servers that pass from this instance to another, for their
// hand-over.
void
Node::AssignOwnersLocked(Snapshot& aSnapshot, Micros aNow)
{
  std::vector<OwnedServer> all;
  std::vector<std::shared_ptr<ServiceEntry>> entries;
  for (auto& [key, entry] : aSnapshot.services) {
    entries.push_back(entry);
    absl::MutexLock lock(&entry->mutex);
    for (const ServerState& server : entry->engine.Servers()) {
      all.push_back({ server.row.address, server.row.zone });
    }
  }
  std::vector<InstanceId> owners = AssignOwners(this->possibleOwners, all);
  std::vector<InstanceId> ownersWithoutSelf =
    AssignOwnersWithout(this->self, this->possibleOwners, all);
  std::span<const InstanceId> remainingOwners = owners;
  std::span<const InstanceId> remainingWithoutSelf = ownersWithoutSelf;
  for (const std::shared_ptr<ServiceEntry>& entry : entries) {
    absl::MutexLock lock(&entry->mutex);
    std::span<const ServerState> servers = entry->engine.Servers();
    size_t count = servers.size();
    for (size_t i = 0; i < count; ++i) {
      bool released = servers[i].owner == this->self &&
                      remainingOwners[i] != this->self &&
                      remainingOwners[i] != kNoInstance;
      if (released) {
        this->releasedServers.push_back(
          { entry,
            entry->engine.Current().key,
            servers[i].row.address,
            entry->engine.KnowsExceptions(servers[i].row.address, aNow) });
      }
    }
    entry->engine.SetOwners(remainingOwners.first(count),
                            remainingWithoutSelf.first(count),
                            this->present,
                            aNow);
    remainingWithoutSelf = remainingWithoutSelf.subspan(count);
    remainingOwners = remainingOwners.subspan(count);
  }
}

void
Node::ApplyMembership(Micros aNow)
{
  std::vector<Member> next;
  std::vector<MemberUpdate> all;
  {
    absl::MutexLock lock(&this->control);
    next = this->members.PossibleOwners();
    all = this->members.All();
  }
  absl::MutexLock lock(&this->tableMutex);
  this->possibleOwners = std::move(next);
  std::shared_ptr<const Snapshot> now = this->Current();
  auto fresh = std::make_shared<Snapshot>(*now);
  fresh->peers.clear();
  this->present.clear();
  for (const MemberUpdate& member : all) {
    fresh->peers.insert(member.instance);
    if (member.status != MemberStatus::Dead) {
      this->present.push_back(member.instance);
    }
  }
  // An instance that knows no peers yet would consider itself the owner of
  // every server, so it waits for peers or until the timeout.
  Micros joinTimeout =
    kJoinTimeoutPeriods * this->settings.peers.probeMs * kMillisecond;
  fresh->joined =
    now->joined || all.size() > 1 || aNow - this->startedAt >= joinTimeout;
  if (fresh->joined) {
    this->AssignOwnersLocked(*fresh, aNow);
  }
  this->Publish(std::move(fresh));
}

void
Node::DetectProcessPause(Micros aNow)
{
  Micros last = this->lastTick.load();
  Micros limit = this->settings.peers.probeMs * kMillisecond *
                 MembershipOptions{}.suspectPeriods;
  if (aNow - last < limit ||
      !this->lastTick.compare_exchange_strong(last, aNow)) {
    return;
  }
  this->InvalidateKnowledge(aNow);
}

void
Node::InvalidateKnowledge(Micros aNow)
{
  for (const auto& [key, entry] : this->Current()->services) {
    absl::MutexLock lock(&entry->mutex);
    entry->engine.InvalidateKnowledge(aNow);
  }
}

}
