#include "support/spread_fleet.h"

#include "support/tagged_view.h"

namespace gentianspindle {

namespace {

constexpr Micros kTick = 50 * kMillisecond;
constexpr Micros kStoreTime = 4 * kMillisecond;
constexpr Micros kNearTime = 100;
constexpr Micros kFarTime = 900;
constexpr Micros kWatchWait = 1 * kSecond;
constexpr Micros kFirstWait = 20 * kMillisecond;
constexpr Micros kPace = 500 * kMillisecond;
constexpr Micros kRetry = 400 * kMillisecond;
constexpr Micros kTouchTime = 4 * kSecond;

}

void
SpreadStore::PutConfig()
{
  ++this->configVersion;
  this->configRevision = ++this->revision;
}

void
SpreadStore::PutServer(steer::ServerId aId)
{
  steer::ServerChange change = MakeServer(aId, "web", ++this->revision);
  this->listed[change.name] = change;
  this->history.push_back(std::move(change));
}

void
SpreadStore::RemoveServer(steer::ServerId aId)
{
  steer::ServerChange change = MakeRemoved(aId, this->revision + 1);
  if (this->listed.erase(change.name) > 0) {
    ++this->revision;
    this->history.push_back(std::move(change));
  }
}

SpreadFleet::SpreadFleet(const SpreadFleetOptions& aOptions)
  : options(aOptions)
  , random(aOptions.seed)
{
  for (size_t zone = 0; zone < aOptions.zones; ++zone) {
    for (size_t i = 0; i < aOptions.perZone; ++i) {
      SpreadInstance instance;
      instance.zone = zone;
      instance.address = static_cast<Address>(0x0A000000 + zone * 0x10000 + i);
      instance.cores = i < 2 ? 0.5 : 0.04;
      this->byAddress[instance.address] = this->instances.size();
      this->instances.push_back(std::move(instance));
    }
  }
}

void
SpreadFleet::Start(size_t aInstance)
{
  SpreadInstance& instance = this->instances[aInstance];
  instance.alive = true;
  instance.calmSince = this->Now();
  uint64_t life = ++instance.life;
  spread::ReplicatorOptions made;
  made.self = instance.address;
  made.zone = "z" + std::to_string(instance.zone);
  made.cores = instance.cores;
  made.seeds = { this->instances.front().address,
                 this->instances[this->instances.size() / 2].address };
  made.randomSeed = this->random();
  instance.spread = std::make_unique<spread::Replicator>(made);
  instance.view = std::make_unique<steer::View>();
  instance.reading = false;
  instance.asksView = false;
  ++instance.watches;
  this->Tick(aInstance, life);
  this->clock.After(30 * kMillisecond,
                    [=, this] { this->List(aInstance, life); });
}

void
SpreadFleet::Kill(size_t aInstance)
{
  this->instances[aInstance].alive = false;
  ++this->instances[aInstance].life;
}

void
SpreadFleet::TurnAway(size_t aInstance, bool aAway)
{
  if (aAway) {
    this->store.turnedAway.insert(aInstance);
  } else {
    this->store.turnedAway.erase(aInstance);
  }
  this->instances[aInstance].calmSince = this->Now();
}

void
SpreadFleet::CutZone(size_t aZone, bool aCut)
{
  if (aCut) {
    this->cutZones.insert(aZone);
  } else {
    this->cutZones.erase(aZone);
  }
}

bool
SpreadFleet::Reaches(const SpreadInstance& aFrom,
                     const SpreadInstance& aTo) const
{
  bool cut = aFrom.zone != aTo.zone && (this->cutZones.contains(aFrom.zone) ||
                                        this->cutZones.contains(aTo.zone));
  return aTo.alive && !cut;
}

bool
SpreadFleet::StoreAnswers(size_t aInstance) const
{
  return !this->store.down && !this->store.turnedAway.contains(aInstance);
}

void
SpreadFleet::Run(Micros aTime)
{
  Micros end = this->Now() + aTime;
  while (this->Now() < end) {
    this->clock.RunUntil(std::min(end, this->Now() + kTick));
    this->Observe();
  }
}

void
SpreadFleet::Tick(size_t aInstance, uint64_t aLife)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.life != aLife) {
    return;
  }
  instance.spread->Tick(this->Now());
  instance.view->Tick(this->Now());
  this->FollowRole(aInstance);
  this->Exchange(aInstance);
  this->clock.After(kTick, [=, this] { this->Tick(aInstance, aLife); });
}

// The first list, unless a peer gave a view before.
void
SpreadFleet::List(size_t aInstance, uint64_t aLife)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.life != aLife || instance.spread->HasView()) {
    return;
  }
  this->store.calls += 2;
  if (!this->StoreAnswers(aInstance)) {
    this->clock.After(kRetry, [=, this] { this->List(aInstance, aLife); });
    return;
  }
  std::vector<steer::ServerChange> list;
  for (const auto& [name, change] : this->store.listed) {
    list.push_back(change);
  }
  instance.view->PutConfig(MakeConfig(this->store.configVersion));
  instance.view->PutServers(list, this->Now());
  instance.spread->OnConfigAnswer(
    this->store.configVersion, this->store.revision, this->Now());
  instance.spread->OnServersList(this->store.revision, this->Now());
}

void
SpreadFleet::FollowRole(size_t aInstance)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.reading == instance.spread->Reads()) {
    return;
  }
  instance.reading = instance.spread->Reads();
  uint64_t watch = ++instance.watches;
  if (instance.reading) {
    this->Watch(aInstance, watch, true, kFirstWait);
    this->Watch(aInstance, watch, false, kFirstWait);
  }
}

void
SpreadFleet::Watch(size_t aInstance,
                   uint64_t aWatch,
                   bool aServers,
                   Micros aWait)
{
  if (this->instances[aInstance].watches != aWatch) {
    return;
  }
  ++this->store.calls;
  Micros asked = this->Now();
  this->clock.After(kStoreTime, [=, this] {
    this->Answer(aInstance, aWatch, aServers, asked, aWait);
  });
}

bool
SpreadFleet::TakeAnswer(SpreadInstance& aInstance, bool aServers)
{
  spread::Replicator& spread = *aInstance.spread;
  if (!aServers) {
    bool fresh =
      aInstance.view->PutConfig(MakeConfig(this->store.configVersion));
    spread.OnConfigAnswer(
      this->store.configVersion, this->store.revision, this->Now());
    return fresh;
  }
  std::vector<steer::ServerChange> changes;
  for (const steer::ServerChange& change : this->store.history) {
    if (change.revision > spread.Servers().revision) {
      changes.push_back(change);
      aInstance.view->PutServer(change, this->Now());
    }
  }
  spread.OnServersChanges(changes, this->store.revision, this->Now());
  return !changes.empty();
}

// Waits at the store until there is a change or the time is over. A store
// that does not answer is noticed when the call's time is over.
void
SpreadFleet::Answer(size_t aInstance,
                    uint64_t aWatch,
                    bool aServers,
                    Micros aAskedAt,
                    Micros aWait)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.watches != aWatch || !instance.alive) {
    return;
  }
  bool answers = this->StoreAnswers(aInstance);
  Micros waited = this->Now() - aAskedAt;
  bool news = aServers ? !this->store.history.empty() &&
                           this->store.history.back().revision >
                             instance.spread->Servers().revision
                       : this->store.configVersion > instance.view->Version();
  constexpr Micros kSlack = 700 * kMillisecond;
  bool over = waited >= (answers ? aWait : aWait + kSlack);
  if (!over && !(answers && news)) {
    this->clock.After(kStoreTime, [=, this] {
      this->Answer(aInstance, aWatch, aServers, aAskedAt, aWait);
    });
    return;
  }
  if (!answers) {
    instance.spread->OnStoreLost(this->Now());
    this->FollowRole(aInstance);
    this->clock.After(
      kRetry, [=, this] { this->Watch(aInstance, aWatch, aServers, kRetry); });
    return;
  }
  bool changed = this->TakeAnswer(instance, aServers);
  Micros pause = changed && aServers ? kPace : 0;
  this->clock.After(
    pause, [=, this] { this->Watch(aInstance, aWatch, aServers, kWatchWait); });
  this->Exchange(aInstance);
}

void
SpreadFleet::Exchange(size_t aInstance)
{
  SpreadInstance& instance = this->instances[aInstance];
  for (const spread::OutgoingHeartbeat& sending :
       instance.spread->TakeHeartbeats(this->Now())) {
    for (Address to : sending.to) {
      this->Deliver(aInstance, to, sending.heartbeat);
    }
  }
  std::optional<spread::ViewRequest> wanted =
    instance.spread->NextViewRequest(this->Now());
  if (wanted && !instance.asksView) {
    instance.asksView = true;
    this->FetchView(aInstance, *wanted);
  }
}

void
SpreadFleet::Deliver(size_t aFrom,
                     Address aTo,
                     const spread::Heartbeat& aHeartbeat)
{
  auto known = this->byAddress.find(aTo);
  std::uniform_real_distribution<double> chance(0, 1);
  if (known == this->byAddress.end() ||
      chance(this->random) < this->options.loss) {
    return;
  }
  size_t to = known->second;
  bool near = this->instances[aFrom].zone == this->instances[to].zone;
  // Some datagrams are overtaken by later ones.
  Micros jitter = chance(this->random) < 0.05 ? 60 * kMillisecond : 0;
  this->clock.After((near ? kNearTime : kFarTime) + jitter, [=, this] {
    SpreadInstance& instance = this->instances[to];
    if (!this->Reaches(this->instances[aFrom], instance)) {
      return;
    }
    instance.view->PutChanges(
      instance.spread->OnHeartbeat(
        this->instances[aFrom].address, aHeartbeat, this->Now()),
      this->Now());
    this->Exchange(to);
  });
}

void
SpreadFleet::FetchView(size_t aInstance, spread::ViewRequest aWanted)
{
  uint64_t life = this->instances[aInstance].life;
  size_t from = this->byAddress.at(aWanted.peer);
  this->clock.After(5 * kMillisecond, [=, this] {
    SpreadInstance& instance = this->instances[aInstance];
    if (instance.life != life) {
      return;
    }
    instance.asksView = false;
    const SpreadInstance& peer = this->instances[from];
    if (!this->Reaches(instance, peer) || !peer.spread->HasView()) {
      return;
    }
    instance.view->PutConfig(peer.view->CopyConfig());
    instance.spread->OnPeerConfig(instance.view->Version(),
                                  peer.spread->Config().revision);
    uint64_t revision = peer.spread->Servers().revision;
    if (!aWanted.servers || revision <= instance.spread->Servers().revision) {
      return;
    }
    instance.view->PutServers(peer.view->CopyServers(this->Now()), this->Now());
    instance.spread->OnPeerServers(revision);
  });
}

void
SpreadFleet::ChangeConfig()
{
  this->store.PutConfig();
  Awaited change{ this->store.configVersion, this->Now(), {} };
  for (size_t i = 0; i < this->instances.size(); ++i) {
    change.missing.insert(i);
  }
  this->awaited.push_back(std::move(change));
}

// An instance counts from when it has been calm for a while.
void
SpreadFleet::Observe()
{
  for (Awaited& change : this->awaited) {
    std::erase_if(change.missing, [&](size_t aInstance) {
      const SpreadInstance& instance = this->instances[aInstance];
      if (!instance.alive || !this->StoreAnswers(aInstance)) {
        return false;
      }
      Micros took = this->Now() - change.at;
      bool inForce = instance.view->Version() >= change.version;
      bool calm = this->Now() - instance.calmSince >= kTouchTime;
      if (calm) {
        this->slowest = std::max(this->slowest, took);
      }
      return inForce;
    });
  }
  std::erase_if(this->awaited,
                [](const Awaited& aChange) { return aChange.missing.empty(); });
}

size_t
SpreadFleet::Readers() const
{
  return static_cast<size_t>(std::count_if(this->instances.begin(),
                                           this->instances.end(),
                                           [](const SpreadInstance& aInstance) {
                                             return aInstance.alive &&
                                                    aInstance.spread->Reads();
                                           }));
}

size_t
SpreadFleet::Behind() const
{
  size_t behind = 0;
  for (const SpreadInstance& instance : this->instances) {
    if (!instance.alive) {
      continue;
    }
    std::map<std::string, uint64_t> known;
    for (const steer::ServerChange& change :
         instance.view->CopyServers(this->Now())) {
      known[change.name] = change.revision;
    }
    std::map<std::string, uint64_t> listed;
    for (const auto& [name, change] : this->store.listed) {
      listed[name] = change.revision;
    }
    bool same =
      known == listed && instance.view->Version() == this->store.configVersion;
    behind += same ? 0 : 1;
  }
  return behind;
}

}
