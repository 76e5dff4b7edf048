#include "support/spread_fleet.h"

#include "support/tagged_view.h"

namespace gentianspindle {

namespace {

constexpr Micros kTick = 50 * kMillisecond; // period of the instances' ticks
// Response time of the store, and the interval at which a waiting watch looks
// for changes.
constexpr Micros kStoreDelay = 4 * kMillisecond;
// One-way delays of datagrams.
constexpr Micros kSameZoneDelay = 100;
constexpr Micros kCrossZoneDelay = 900;
constexpr Micros kMaxWatchWait = 1 * kSecond;
constexpr Micros kMaxDrainsWatchWait = 2500 * kMillisecond;
constexpr Micros kFirstWatchWait = 20 * kMillisecond;
// Pause of a watch for servers after a change, so that changes are batched.
constexpr Micros kPauseAfterChange = 500 * kMillisecond;
// Delay before a failed call is repeated; also the wait of a repeated watch.
constexpr Micros kStoreRetryDelay = 400 * kMillisecond;

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
      instance.cores = aOptions.cores.value_or(i < 2 ? 0.5 : 0.04);
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
  instance.faultFreeSince = this->Now();
  uint64_t incarnation = ++instance.incarnation;
  spread::ReplicatorOptions replicatorOptions;
  replicatorOptions.self = instance.address;
  replicatorOptions.zone = "z" + std::to_string(instance.zone);
  replicatorOptions.cores = instance.cores;
  replicatorOptions.seeds = {
    this->instances.front().address,
    this->instances[this->instances.size() / 2].address
  };
  replicatorOptions.randomSeed = this->random();
  replicatorOptions.drains = this->options.drains;
  instance.spread = std::make_unique<spread::Replicator>(replicatorOptions);
  instance.view = std::make_unique<steer::View>();
  instance.reading = false;
  instance.fetchingView = false;
  ++instance.latestWatch;
  this->Tick(aInstance, incarnation);
  this->clock.After(30 * kMillisecond,
                    [=, this] { this->ListStore(aInstance, incarnation); });
}

void
SpreadFleet::Kill(size_t aInstance)
{
  this->instances[aInstance].alive = false;
  ++this->instances[aInstance].incarnation;
}

void
SpreadFleet::DenyStore(size_t aInstance, bool aDenied)
{
  if (aDenied) {
    this->store.deniedInstances.insert(aInstance);
  } else {
    this->store.deniedInstances.erase(aInstance);
  }
  this->instances[aInstance].faultFreeSince = this->Now();
}

void
SpreadFleet::IsolateZone(size_t aZone, bool aIsolated)
{
  if (aIsolated) {
    this->isolatedZones.insert(aZone);
  } else {
    this->isolatedZones.erase(aZone);
  }
}

void
SpreadFleet::IsolateInstance(size_t aInstance, bool aIsolated)
{
  Address address = this->instances[aInstance].address;
  if (aIsolated) {
    this->isolatedInstances.insert(address);
  } else {
    this->isolatedInstances.erase(address);
  }
}

bool
SpreadFleet::Reaches(const SpreadInstance& aFrom,
                     const SpreadInstance& aTo) const
{
  bool isolated =
    aFrom.zone != aTo.zone && (this->isolatedZones.contains(aFrom.zone) ||
                               this->isolatedZones.contains(aTo.zone));
  isolated = isolated || this->isolatedInstances.contains(aFrom.address) ||
             this->isolatedInstances.contains(aTo.address);
  return aTo.alive && !isolated;
}

bool
SpreadFleet::StoreAnswers(size_t aInstance) const
{
  return !this->store.down && !this->store.deniedInstances.contains(aInstance);
}

void
SpreadFleet::Run(Micros aTime)
{
  Micros end = this->Now() + aTime;
  while (this->Now() < end) {
    this->clock.RunUntil(std::min(end, this->Now() + kTick));
    this->RecordPropagation();
    this->RecordDrains();
  }
}

void
SpreadFleet::Tick(size_t aInstance, uint64_t aIncarnation)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.incarnation != aIncarnation) {
    return;
  }
  instance.spread->Tick(this->Now());
  instance.view->Tick(this->Now());
  this->UpdateWatches(aInstance);
  this->Exchange(aInstance);
  this->clock.After(kTick, [=, this] { this->Tick(aInstance, aIncarnation); });
}

// Lists the store for the first time, unless a peer sent its view before.
void
SpreadFleet::ListStore(size_t aInstance, uint64_t aIncarnation)
{
  SpreadInstance& instance = this->instances[aInstance];
  spread::Replicator& spread = *instance.spread;
  bool knowsDrains = !this->options.drains || spread.Drains().IsKnown();
  if (instance.incarnation != aIncarnation ||
      (spread.HasView() && knowsDrains)) {
    return;
  }
  this->store.calls += this->options.drains ? 3 : 2;
  if (!this->StoreAnswers(aInstance)) {
    this->clock.After(kStoreRetryDelay,
                      [=, this] { this->ListStore(aInstance, aIncarnation); });
    return;
  }
  instance.view->PutConfig(MakeConfig(this->store.configVersion));
  instance.spread->OnConfigResponse(
    this->store.configVersion, this->store.Position(), this->Now());
  this->ApplyServersList(instance);
  if (this->options.drains) {
    instance.spread->OnDrainsResponse(
      this->store.ListDrains(), this->store.Position(), true, this->Now());
    instance.view->PutDrains(instance.spread->Drains(), this->Now());
  }
}

void
SpreadFleet::ApplyServersList(SpreadInstance& aInstance)
{
  std::vector<steer::ServerChange> list;
  for (const auto& [name, change] : this->store.listed) {
    list.push_back(change);
  }
  aInstance.view->PutServers(list, this->Now());
  aInstance.spread->OnServersList(this->store.Position(), this->Now());
}

// As ListWatcher: a watch from another era, or from before the store's history,
// leads to a list.
bool
SpreadFleet::NeedsList(const StorePosition& aFrom) const
{
  return aFrom.era != this->store.era ||
         aFrom.revision < this->store.oldestRevision;
}

void
SpreadFleet::UpdateWatches(size_t aInstance)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.reading == instance.spread->Reads()) {
    return;
  }
  instance.reading = instance.spread->Reads();
  uint64_t watch = ++instance.latestWatch;
  if (instance.reading) {
    this->StartWatch(aInstance, watch, SpreadKind::Servers, kFirstWatchWait);
    this->StartWatch(aInstance, watch, SpreadKind::Config, kFirstWatchWait);
    if (this->options.drains) {
      this->StartWatch(aInstance, watch, SpreadKind::Drains, kFirstWatchWait);
    }
  }
}

void
SpreadFleet::StartWatch(size_t aInstance,
                        uint64_t aWatch,
                        SpreadKind aKind,
                        Micros aWait)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.latestWatch != aWatch) {
    return;
  }
  if (aKind == SpreadKind::Drains) {
    instance.drainsFrom = instance.spread->Drains().position;
  }
  ++this->store.calls;
  Micros startedAt = this->Now();
  this->clock.After(kStoreDelay, [=, this] {
    this->ContinueWatch(aInstance, aWatch, aKind, startedAt, aWait);
  });
}

bool
SpreadFleet::HasUpdate(const SpreadInstance& aInstance, SpreadKind aKind) const
{
  if (aKind == SpreadKind::Config) {
    return this->store.configVersion > aInstance.view->Version();
  }
  if (aKind == SpreadKind::Drains) {
    return this->NeedsList(aInstance.drainsFrom) ||
           (!this->store.drainHistory.empty() &&
            this->store.drainHistory.back().position > aInstance.drainsFrom);
  }
  if (this->NeedsList(aInstance.spread->Servers().position)) {
    return true;
  }
  return !this->store.history.empty() && this->store.history.back().position >
                                           aInstance.spread->Servers().position;
}

bool
SpreadFleet::ApplyReply(SpreadInstance& aInstance, SpreadKind aKind)
{
  spread::Replicator& spread = *aInstance.spread;
  if (aKind == SpreadKind::Drains) {
    return this->ApplyDrainsReply(aInstance);
  }
  if (aKind == SpreadKind::Config) {
    bool isNew =
      aInstance.view->PutConfig(MakeConfig(this->store.configVersion));
    spread.OnConfigResponse(
      this->store.configVersion, this->store.Position(), this->Now());
    return isNew;
  }
  if (this->NeedsList(spread.Servers().position)) {
    ++this->store.calls;
    this->ApplyServersList(aInstance);
    return true;
  }
  std::vector<steer::ServerChange> changes;
  for (const steer::ServerChange& change : this->store.history) {
    if (change.position > spread.Servers().position) {
      changes.push_back(change);
      aInstance.view->PutServer(change, this->Now());
    }
  }
  spread.OnServersChanges(changes, this->store.Position(), this->Now());
  return !changes.empty();
}

// Checks a watch that waits at the store: it ends when there is a change or its
// wait time has passed. If the store does not respond, it ends when the call
// times out.
void
SpreadFleet::ContinueWatch(size_t aInstance,
                           uint64_t aWatch,
                           SpreadKind aKind,
                           Micros aStartedAt,
                           Micros aWait)
{
  SpreadInstance& instance = this->instances[aInstance];
  if (instance.latestWatch != aWatch || !instance.alive) {
    return;
  }
  bool storeAnswers = this->StoreAnswers(aInstance);
  Micros waited = this->Now() - aStartedAt;
  bool hasUpdate = this->HasUpdate(instance, aKind);
  // A call that the store does not answer times out this long after its wait.
  constexpr Micros kTimeoutSlack = 700 * kMillisecond;
  bool expired = waited >= (storeAnswers ? aWait : aWait + kTimeoutSlack);
  if (!expired && !(storeAnswers && hasUpdate)) {
    this->clock.After(kStoreDelay, [=, this] {
      this->ContinueWatch(aInstance, aWatch, aKind, aStartedAt, aWait);
    });
    return;
  }
  if (!storeAnswers) {
    instance.spread->OnStoreLost(this->Now());
    this->UpdateWatches(aInstance);
    this->clock.After(kStoreRetryDelay, [=, this] {
      this->StartWatch(aInstance, aWatch, aKind, kStoreRetryDelay);
    });
    return;
  }
  bool changed = this->ApplyReply(instance, aKind);
  Micros pause =
    changed && aKind == SpreadKind::Servers ? kPauseAfterChange : 0;
  Micros wait =
    aKind == SpreadKind::Drains ? kMaxDrainsWatchWait : kMaxWatchWait;
  this->clock.After(
    pause, [=, this] { this->StartWatch(aInstance, aWatch, aKind, wait); });
  this->Exchange(aInstance);
}

void
SpreadFleet::Exchange(size_t aInstance)
{
  SpreadInstance& instance = this->instances[aInstance];
  for (const spread::OutgoingHeartbeat& outgoing :
       instance.spread->TakeHeartbeats(this->Now())) {
    for (Address to : outgoing.to) {
      this->Deliver(aInstance, to, outgoing.heartbeat);
    }
  }
  std::optional<spread::ViewRequest> request =
    instance.spread->NextViewRequest(this->Now());
  if (request && !instance.fetchingView) {
    instance.fetchingView = true;
    this->FetchView(aInstance, *request);
  }
}

void
SpreadFleet::Deliver(size_t aFrom,
                     Address aTo,
                     const spread::Heartbeat& aHeartbeat)
{
  auto known = this->byAddress.find(aTo);
  std::uniform_real_distribution<double> uniform(0, 1);
  if (known == this->byAddress.end() ||
      uniform(this->random) < this->options.loss) {
    return;
  }
  size_t to = known->second;
  bool sameZone = this->instances[aFrom].zone == this->instances[to].zone;
  spread::Heartbeat received = aHeartbeat;
  // As a datagram carries it.
  received.cores =
    spread::FromMillicores(spread::ToMillicores(aHeartbeat.cores));
  Micros jitter =
    uniform(this->random) < 0.05 ? this->options.lateness : Micros{ 0 };
  this->clock.After(
    (sameZone ? kSameZoneDelay : kCrossZoneDelay) + jitter, [=, this] {
      SpreadInstance& instance = this->instances[to];
      if (!this->Reaches(this->instances[aFrom], instance)) {
        return;
      }
      instance.view->PutChanges(
        instance.spread->OnHeartbeat(
          this->instances[aFrom].address, received, this->Now()),
        this->Now());
      instance.view->PutDrains(instance.spread->Drains(), this->Now());
      this->Exchange(to);
    });
}

void
SpreadFleet::FetchView(size_t aInstance, spread::ViewRequest aRequest)
{
  uint64_t incarnation = this->instances[aInstance].incarnation;
  size_t from = this->byAddress.at(aRequest.peer);
  this->clock.After(5 * kMillisecond, [=, this] {
    SpreadInstance& instance = this->instances[aInstance];
    if (instance.incarnation != incarnation) {
      return;
    }
    instance.fetchingView = false;
    const SpreadInstance& peer = this->instances[from];
    if (!this->Reaches(instance, peer) || !peer.spread->HasView()) {
      return;
    }
    instance.view->PutConfig(peer.view->CopyConfig());
    instance.spread->OnPeerConfig(instance.view->Version(),
                                  peer.spread->Config().position);
    instance.spread->OnPeerDrains(peer.spread->Drains(), spread::kNever);
    instance.view->PutDrains(instance.spread->Drains(), this->Now());
    StorePosition position = peer.spread->Servers().position;
    if (!aRequest.servers || position <= instance.spread->Servers().position) {
      return;
    }
    instance.view->PutServers(peer.view->CopyServers(this->Now()), this->Now());
    instance.spread->OnPeerServers(position);
  });
}

void
SpreadFleet::ChangeConfig()
{
  this->store.PutConfig();
  PendingChange change{ this->store.configVersion, this->Now(), {} };
  for (size_t i = 0; i < this->instances.size(); ++i) {
    change.outstanding.insert(i);
  }
  this->pendingChanges.push_back(std::move(change));
}

// An instance counts once it had no fault of its own for kFaultFreePeriod.
void
SpreadFleet::RecordPropagation()
{
  for (PendingChange& change : this->pendingChanges) {
    std::erase_if(change.outstanding, [&](size_t aInstance) {
      const SpreadInstance& instance = this->instances[aInstance];
      if (!instance.alive || !this->StoreAnswers(aInstance)) {
        return false;
      }
      Micros elapsed = this->Now() - change.at;
      bool inForce = instance.view->Version() >= change.version;
      bool faultFree =
        this->Now() - instance.faultFreeSince >= kFaultFreePeriod;
      if (faultFree) {
        this->maxPropagationTime = std::max(this->maxPropagationTime, elapsed);
      }
      return inForce;
    });
  }
  std::erase_if(this->pendingChanges, [](const PendingChange& aChange) {
    return aChange.outstanding.empty();
  });
}

size_t
SpreadFleet::ReaderCount() const
{
  return static_cast<size_t>(std::count_if(this->instances.begin(),
                                           this->instances.end(),
                                           [](const SpreadInstance& aInstance) {
                                             return aInstance.alive &&
                                                    aInstance.spread->Reads();
                                           }));
}

size_t
SpreadFleet::OutdatedInstances() const
{
  size_t outdated = 0;
  for (const SpreadInstance& instance : this->instances) {
    if (!instance.alive) {
      continue;
    }
    std::map<std::string, StorePosition> known;
    for (const steer::ServerChange& change :
         instance.view->CopyServers(this->Now())) {
      known[change.name] = change.position;
    }
    std::map<std::string, StorePosition> listed;
    for (const auto& [name, change] : this->store.listed) {
      listed[name] = change.position;
    }
    bool same =
      known == listed && instance.view->Version() == this->store.configVersion;
    outdated += same ? 0 : 1;
  }
  return outdated;
}

}
