#include "tagged/sync.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <iostream>

namespace gentianspindle::tagged {

namespace {

// A drains watch waits for this fraction of the bound. Even if its connection
// delivers nothing more, that shows early enough for another watch.
constexpr double kDrainsWaitFraction = 0.5;
// The source of a change in the log where it is not a peer.
constexpr char kStoreSource[] = "store";

spread::ReplicatorOptions
OptionsOf(const TaggedSettings& aSettings)
{
  spread::ReplicatorOptions options;
  ParseAddress(aSettings.instance.address, options.self);
  options.zone = aSettings.instance.zone;
  options.cores = aSettings.instance.cores;
  options.standalone = aSettings.peers.port == 0;
  options.watchWait = aSettings.store.watchMs * kMillisecond;
  options.drains = aSettings.drain.boundMs > 0;
  // The seeds' ports are not used: all instances have the same peer port.
  for (const std::string& seed : aSettings.peers.seeds) {
    options.seeds.push_back(EndpointOf(seed).address);
  }
  options.randomSeed = RandomSeed(aSettings);
  return options;
}

// Returns whether this instance reads the list of servers without pauses. A
// seed does, as all other instances query the seeds at their start and request
// a view from those that have one, and so does an instance without seeds.
bool
IsEager(const TaggedSettings& aSettings)
{
  spread::ReplicatorOptions options = OptionsOf(aSettings);
  const std::vector<Address>& seeds = options.seeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), options.self) != seeds.end();
}

Micros
DrainsWait(const TaggedSettings& aSettings)
{
  Micros wait = static_cast<Micros>(aSettings.drain.boundMs *
                                    kDrainsWaitFraction * kMillisecond);
  constexpr Micros kMaxWait = 30 * kSecond; // the longest that a store allows
  return std::clamp(wait, aSettings.store.watchMs * kMillisecond, kMaxWait);
}

}

uint32_t
RandomSeed(const TaggedSettings& aSettings)
{
  return static_cast<uint32_t>(
    absl::HashOf(aSettings.instance.address, SteadyNow()));
}

Sync::Sync(event_base* aBase,
           const TaggedSettings& aSettings,
           const StoreFormats& aFormats,
           steer::View& aView,
           SyncEvents aEvents)
  : view(aView)
  , events(std::move(aEvents))
  , store(aSettings.store.address)
  , spread(OptionsOf(aSettings))
  , servers(aBase,
            EndpointOf(aSettings.store.address),
            aFormats.servers,
            { .wait = aSettings.store.watchMs * kMillisecond,
              .pace = aSettings.store.paceMs * kMillisecond,
              .eager = IsEager(aSettings) },
            this->MakeWatcherEvents<steer::ServerChange>("servers"),
            RandomSeed(aSettings))
  , config(aBase,
           EndpointOf(aSettings.store.address),
           aFormats.config,
           { .wait = aSettings.store.watchMs * kMillisecond },
           this->MakeWatcherEvents<steer::ConfigChange>("config"),
           RandomSeed(aSettings) + 1)
  , readsDrains(aSettings.drain.boundMs > 0)
  , drains(aBase,
           EndpointOf(aSettings.store.address),
           aFormats.drains,
           { .wait = DrainsWait(aSettings) },
           this->MakeWatcherEvents<steer::DrainChange>("drains"),
           RandomSeed(aSettings) + 2)
  , firstListTimer(aBase, [this] {
    this->firstListStarted = true;
    this->servers.Start();
    this->config.Start();
    if (this->readsDrains) {
      this->drains.Start();
    }
  })
{
}

std::unique_ptr<Sync>
Sync::Make(event_base* aBase,
           const TaggedSettings& aSettings,
           const StoreFormats& aFormats,
           steer::View& aView,
           SyncEvents aEvents)
{
  std::unique_ptr<Sync> sync(
    new Sync(aBase, aSettings, aFormats, aView, std::move(aEvents)));
  if (aSettings.peers.port != 0) {
    sync->StartPeers(aBase, aSettings);
  }
  // Without peers or seeds this instance knows no peer that could have a view.
  bool standalone = !sync->peers || aSettings.peers.seeds.empty();
  sync->firstListTimer.Start(standalone ? 0 : kStoreDelayAtStart);
  sync->ExchangeWithPeers(SteadyNow());
  return sync;
}

template<typename C>
ListWatcherEvents<C>
Sync::MakeWatcherEvents(std::string_view aKind)
{
  ListWatcherEvents<C> created;
  created.onList = [this](std::span<const C> aList,
                          const StorePosition& aPosition) {
    this->OnStoreResponse(aList, aPosition, true);
  };
  created.onChanges = [this](std::span<const C> aChanges,
                             const StorePosition& aPosition) {
    this->OnStoreResponse(aChanges, aPosition, false);
  };
  created.onEra = [this](uint64_t aEra) { this->OnStoreEra(aEra); };
  created.onStoreLost = [this, aKind](const std::string& aError, bool aFirst) {
    this->OnStoreLost(aKind, aError, aFirst);
  };
  created.onStoreBack = [this, aKind](Micros aOutage) {
    this->OnStoreBack(aKind, aOutage);
  };
  return created;
}

// A later era than the first one means that the store came back from an older
// copy.
bool
Sync::RecordEra(uint64_t aEra, const std::string& aSource)
{
  if (aEra <= this->era) {
    return false;
  }
  uint64_t former = this->era;
  this->era = aEra;
  if (former == 0) {
    return false;
  }
  ++this->returns;
  LogLine line("store_era");
  line.Number("era", static_cast<int64_t>(aEra))
    .Number("former_era", static_cast<int64_t>(former))
    .Number("former_revision",
            static_cast<int64_t>(this->spread.Servers().position.revision))
    .Text("source", aSource)
    .Number("config_version", this->view.Version());
  this->events.log(line);
  return true;
}

// Entries that the copy lacks get the grace period of any outage, and the kinds
// that have not seen the era yet are listed again.
void
Sync::OnStoreEra(uint64_t aEra)
{
  if (!this->RecordEra(aEra, kStoreSource)) {
    return;
  }
  Micros now = SteadyNow();
  this->spread.OnStoreBack(now);
  this->view.SetStoreBackAt(now);
  this->servers.EnterEra(aEra);
  this->config.EnterEra(aEra);
  if (this->readsDrains) {
    this->drains.EnterEra(aEra);
  }
}

void
Sync::OnStoreLost(std::string_view aKind,
                  const std::string& aError,
                  bool aFirst)
{
  if (aFirst) {
    LogLine line("store_lost");
    line.Text("kind", aKind)
      .Text("store", this->store)
      .Text("problem", aError)
      .Number("config_version", this->view.Version());
    this->events.log(line);
  }
  this->spread.OnStoreLost(SteadyNow());
  this->ApplyReaderRole();
}

void
Sync::OnStoreBack(std::string_view aKind, Micros aOutage)
{
  Micros now = SteadyNow();
  this->view.SetStoreBackAt(now);
  this->spread.OnStoreBack(now);
  LogLine line("store_back");
  line.Text("kind", aKind).Number("away_ms", aOutage / kMillisecond);
  this->events.log(line);
}

void
Sync::OnStoreResponse(std::span<const steer::ServerChange> aChanges,
                      const StorePosition& aPosition,
                      bool aList)
{
  Micros now = SteadyNow();
  if (aList) {
    this->spread.OnServersList(aPosition, now);
  } else {
    this->spread.OnServersChanges(aChanges, aPosition, now);
  }
  // Set before the changes are applied, as it decides whether missing entries
  // get a grace period.
  this->view.SetStoreBackAt(this->spread.StoreBackAt());
  if (aList) {
    this->view.PutServers(aChanges, now);
  } else {
    this->view.PutChanges(aChanges, now);
  }
  this->events.onView();
  this->LogServers(aChanges, kStoreSource);
  for (const steer::ServerChange& change : aChanges) {
    if (!change.removed && !change.entry) {
      this->ReportUnreadable(EntryKind::Server, change.name, change.position);
    }
  }
  this->ExchangeWithPeers(now);
}

void
Sync::OnStoreResponse(std::span<const steer::ConfigChange> aChanges,
                      const StorePosition& aPosition,
                      bool /*aList*/)
{
  for (const steer::ConfigChange& change : aChanges) {
    // A removed configuration counts as unreadable, too. In both cases the one
    // in force stays.
    if (change.removed || !change.config) {
      this->ReportUnreadable(EntryKind::Config, change.name, change.position);
      continue;
    }
    for (const std::string& route : change.unreadableRoutes) {
      this->ReportUnreadable(EntryKind::Route, route, change.position);
    }
    int64_t formerVersion = this->view.Version();
    if (this->view.PutConfig(*change.config)) {
      this->events.onView();
      LogLine line("config");
      line.Number("version", change.config->version)
        .Number("former", formerVersion)
        .Number("revision", static_cast<int64_t>(change.position.revision))
        .Number("routes", static_cast<int64_t>(this->view.Routes()));
      this->events.log(line);
    }
  }
  Micros now = SteadyNow();
  this->spread.OnConfigResponse(this->view.Version(), aPosition, now);
  this->ExchangeWithPeers(now);
}

void
Sync::OnStoreResponse(std::span<const steer::DrainChange> aChanges,
                      const StorePosition& aPosition,
                      bool aList)
{
  Micros now = SteadyNow();
  this->spread.OnDrainsResponse(aChanges, aPosition, aList, now);
  this->ApplyDrains(kStoreSource);
  this->ExchangeWithPeers(now);
}

// Once a peer told of the drained zones, no list is needed, only watches that
// continue from there.
void
Sync::ApplyDrains(const std::string& aSource)
{
  const steer::DrainState& next = this->spread.Drains();
  steer::DrainState former = this->view.Drains();
  this->view.PutDrains(next, SteadyNow());
  if (!former.IsKnown()) {
    this->drains.AdvanceTo(next.position);
    this->events.onView();
  }
  auto hasZone = [](const steer::DrainState& aState, const std::string& aZone) {
    return std::binary_search(aState.zones.begin(), aState.zones.end(), aZone);
  };
  for (const std::string& zone : next.zones) {
    if (!hasZone(former, zone)) {
      this->LogDrain(zone, "in_force", aSource);
    }
  }
  for (const std::string& zone : former.zones) {
    if (!hasZone(next, zone)) {
      bool isRetained = this->view.IsZoneDrained(zone);
      this->LogDrain(zone, isRetained ? "retained" : "lifted", aSource);
    }
  }
}

// Starts or stops the watches when the replicator has changed this instance's
// role. Started watches continue from the known position, whether it came from
// the store or from a peer.
void
Sync::ApplyReaderRole()
{
  bool reads = this->spread.Reads();
  if (reads == this->isReader) {
    return;
  }
  this->isReader = reads;
  if (reads && this->spread.HasView()) {
    this->servers.AdvanceTo(this->spread.Servers().position);
    this->config.AdvanceTo(this->spread.Config().position);
  }
  this->servers.SetWatching(reads);
  this->config.SetWatching(reads);
  if (this->readsDrains) {
    if (reads && this->spread.Drains().IsKnown()) {
      this->drains.AdvanceTo(this->spread.Drains().position);
    }
    this->drains.SetWatching(reads);
  }
  LogLine line(reads ? "reads_store" : "follows_peers");
  line
    .Text("reason",
          spread::kReadReasonNames[static_cast<size_t>(
            this->spread.LastReadReason())])
    .Number("view_age_ms", this->ViewAge(SteadyNow()) / kMillisecond)
    .Number("instances", this->spread.FleetSize());
  this->events.log(line);
}

Micros
Sync::ViewAge(Micros aNow) const
{
  return aNow - std::min(this->spread.Config().confirmedAt,
                         this->spread.Servers().confirmedAt);
}

// Logs when the view becomes stale, and when it no longer is.
void
Sync::CheckStaleness(Micros aNow)
{
  bool isStale = this->spread.Stale(aNow);
  if (isStale == this->stale) {
    return;
  }
  this->stale = isStale;
  LogLine line(isStale ? "view_stale" : "view_fresh");
  line.Number("view_age_ms", this->ViewAge(aNow) / kMillisecond)
    .Number("config_version", this->view.Version());
  this->events.log(line);
}

void
Sync::CheckQuotaList()
{
  if (this->quotaList == this->spread.QuotaList()) {
    return;
  }
  this->quotaList = this->spread.QuotaList();
  Address self = this->spread.QuotaHolders(SteadyNow()).self;
  bool listed =
    std::binary_search(this->quotaList.begin(), this->quotaList.end(), self);
  LogLine line("quota_holders");
  line.Number("holders", static_cast<int64_t>(this->quotaList.size()))
    .Number("listed", listed ? 1 : 0);
  this->events.log(line);
}

void
Sync::Tick(Micros aNow)
{
  this->spread.Tick(aNow);
  this->ApplyReaderRole();
  this->CheckStaleness(aNow);
  this->CheckQuotaList();
  this->ExchangeWithPeers(aNow);
}

void
Sync::OnProcessPause()
{
  this->spread.OnProcessPause();
  if (this->peers) {
    this->peers->DiscardQueuedDatagrams();
  }
  if (this->isReader) {
    this->servers.Reconnect();
    this->config.Reconnect();
    this->drains.Reconnect();
  }
}

EntryCounts
Sync::UnreadableCounts() const
{
  EntryCounts counts = this->unreadable.Counts();
  counts[static_cast<size_t>(EntryKind::Unnamed)] =
    this->servers.Counts().unnamed + this->config.Counts().unnamed +
    this->drains.Counts().unnamed;
  return counts;
}

}
