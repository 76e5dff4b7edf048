#include "daemon/node.h"

#include "store/store.h"

#include <chrono>
#include <xxhash.h>

namespace gentianspindle {

namespace {

// An instance that nobody answers for so many probe periods goes on alone.
constexpr Micros kAlonePeriods = 10;

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

// Later lives of an instance sign with higher sequence numbers. Only this
// instance's own clock is compared with itself.
int64_t
FirstSequence()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Equal for equal rows at all instances; goes along with relayed packets.
int64_t
RevisionOf(const Service& aService)
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
  , sealer(KeysOf(aSettings), SelfOf(aSettings), FirstSequence())
  , linkSealer(KeysOf(aSettings), SelfOf(aSettings), FirstSequence())
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
  node->NoteTick(MonotonicNow());
  node->ApplyMembers(MonotonicNow());
  return node;
}

std::vector<ReleasedServer>
Node::TakeReleased()
{
  absl::MutexLock lock(&this->apply);
  return std::exchange(this->given, {});
}

Table
Node::CopyTable()
{
  absl::MutexLock lock(&this->apply);
  return this->table;
}

ThreadCounts&
Node::NewCounts()
{
  this->counts.push_back(std::make_unique<ThreadCounts>());
  return *this->counts.back();
}

bool
Node::PutInForce(const Table& aTable, Micros aNow)
{
  absl::MutexLock lock(&this->apply);
  if (aTable.version <= this->table.version) {
    return false;
  }
  std::shared_ptr<const Snapshot> now = this->Current();
  auto next = std::make_shared<Snapshot>();
  next->tableVersion = aTable.version;
  next->peers = now->peers;
  next->joined = now->joined;
  // A service that this instance saw come into being has no flows yet.
  bool knewBefore = this->table.version > 0 || this->sawNoTable;
  for (const Service& service : aTable.services) {
    auto known = now->services.find(service.key);
    std::shared_ptr<ServiceSlot> slot;
    if (known == now->services.end()) {
      slot = std::make_shared<ServiceSlot>(this->options, this->self);
      slot->name = service.name;
    } else {
      slot = known->second;
    }
    absl::MutexLock engineLock(&slot->mutex);
    if (!(slot->engine.Current() == service)) {
      bool fresh = known == now->services.end() && knewBefore;
      slot->engine.SetService(service, RevisionOf(service), fresh, aNow);
    }
    next->services.emplace(service.key, slot);
  }
  this->table = aTable;
  if (next->joined) {
    this->AssignLocked(*next, aNow);
  }
  this->Publish(std::move(next));
  return true;
}

// Owners are assigned over all servers of the table at once, so that load is
// bounded per instance and not per service.
void
Node::AssignLocked(Snapshot& aSnapshot, Micros aNow)
{
  std::vector<OwnedServer> all;
  std::vector<std::shared_ptr<ServiceSlot>> slots;
  for (auto& [key, slot] : aSnapshot.services) {
    slots.push_back(slot);
    absl::MutexLock lock(&slot->mutex);
    for (const ServerState& server : slot->engine.Servers()) {
      all.push_back({ server.row.address, server.row.zone });
    }
  }
  std::vector<InstanceId> owners = AssignOwners(this->candidates, all);
  std::vector<InstanceId> others =
    AssignOwnersWithout(this->self, this->candidates, all);
  std::span<const InstanceId> rest = owners;
  std::span<const InstanceId> restOfOthers = others;
  for (const std::shared_ptr<ServiceSlot>& slot : slots) {
    absl::MutexLock lock(&slot->mutex);
    std::span<const ServerState> servers = slot->engine.Servers();
    size_t count = servers.size();
    for (size_t i = 0; i < count; ++i) {
      bool gave = servers[i].owner == this->self && rest[i] != this->self &&
                  rest[i] != kNoInstance;
      if (gave) {
        this->given.push_back(
          { slot,
            slot->engine.Current().key,
            servers[i].row.address,
            slot->engine.KnowsAll(servers[i].row.address, aNow) });
      }
    }
    slot->engine.SetOwners(
      rest.first(count), restOfOthers.first(count), this->present, aNow);
    restOfOthers = restOfOthers.subspan(count);
    rest = rest.subspan(count);
  }
}

void
Node::ApplyMembers(Micros aNow)
{
  std::vector<Member> next;
  std::vector<MemberUpdate> all;
  {
    absl::MutexLock lock(&this->control);
    next = this->members.Candidates();
    all = this->members.All();
  }
  absl::MutexLock lock(&this->apply);
  this->candidates = std::move(next);
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
  // An instance that knows only itself would take every flow for its own.
  Micros alone = kAlonePeriods * this->settings.peers.probeMs * kMillisecond;
  fresh->joined =
    now->joined || all.size() > 1 || aNow - this->startedAt >= alone;
  if (fresh->joined) {
    this->AssignLocked(*fresh, aNow);
  }
  this->Publish(std::move(fresh));
}

void
Node::CheckPause(Micros aNow)
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
  for (const auto& [key, slot] : this->Current()->services) {
    absl::MutexLock lock(&slot->mutex);
    slot->engine.InvalidateKnowledge(aNow);
  }
}

}
