#include "tagged/sync.h"

#include "absl/hash/hash.h"

#include <algorithm>
#include <iostream>

namespace gentianspindle::tagged {

namespace {

// Changes that come together and are logged one by one.
constexpr size_t kMostServerLines = 50;

uint32_t
RandomSeed(const TaggedSettings& aSettings)
{
  return static_cast<uint32_t>(
    absl::HashOf(aSettings.instance.address, SteadyNow()));
}

spread::ReplicatorOptions
OptionsOf(const TaggedSettings& aSettings)
{
  spread::ReplicatorOptions options;
  ParseAddress(aSettings.instance.address, options.self);
  options.zone = aSettings.instance.zone;
  options.cores = aSettings.instance.cores;
  options.standalone = aSettings.peers.port == 0;
  for (const std::string& seed : aSettings.peers.seeds) {
    options.seeds.push_back(EndpointOf(seed).address);
  }
  options.randomSeed = RandomSeed(aSettings);
  return options;
}

// Seeds are asked by all others, so they get the view first.
bool
IsEager(const TaggedSettings& aSettings)
{
  spread::ReplicatorOptions options = OptionsOf(aSettings);
  const std::vector<Address>& seeds = options.seeds;
  return seeds.empty() ||
         std::find(seeds.begin(), seeds.end(), options.self) != seeds.end();
}

std::string_view
StateName(const steer::ServerChange& aChange)
{
  if (aChange.removed) {
    return "removed";
  }
  if (!aChange.entry) {
    return "unreadable";
  }
  return aChange.entry->draining ? "draining" : "ready";
}

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
            this->EventsOf<steer::ServerChange>("servers"),
            RandomSeed(aSettings))
  , config(aBase,
           EndpointOf(aSettings.store.address),
           aFormats.config,
           { .wait = aSettings.store.watchMs * kMillisecond },
           this->EventsOf<steer::ConfigChange>("config"),
           RandomSeed(aSettings) + 1)
  , askStore(aBase, [this] {
    this->storeAsked = true;
    this->servers.Start();
    this->config.Start();
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
  bool standalone = !sync->peers || aSettings.peers.seeds.empty();
  sync->askStore.Start(standalone ? 0 : kPeersFirst);
  sync->Exchange(SteadyNow());
  return sync;
}

void
Sync::StartPeers(event_base* aBase, const TaggedSettings& aSettings)
{
  Endpoint self{ 0, static_cast<uint16_t>(aSettings.peers.port) };
  ParseAddress(aSettings.instance.address, self.address);
  PeerEvents peerEvents;
  peerEvents.onHeartbeat = [this](Address aFrom,
                                  const spread::Heartbeat& aHeartbeat) {
    this->OnHeartbeat(aFrom, aHeartbeat);
  };
  peerEvents.state = [this] { return this->StateOfView(); };
  peerEvents.view = [this](bool aServers) { return this->CopyView(aServers); };
  peerEvents.onView = [this](const PeerView& aView, const std::string& aPeer) {
    this->OnPeerView(aView, aPeer);
  };
  absl::StatusOr<std::unique_ptr<Peers>> made =
    Peers::Make(aBase, self, std::move(peerEvents));
  if (!made.ok()) {
    // Callers are served without peers. The log is not up yet.
    std::cerr << "gentianspindled: " << made.status().message() << std::endl;
    return;
  }
  this->peers = *std::move(made);
}

template<typename C>
ListWatcherEvents<C>
Sync::EventsOf(std::string_view aKind)
{
  ListWatcherEvents<C> made;
  made.onList = [this](std::span<const C> aList, uint64_t aRevision) {
    this->OnAnswer(aList, aRevision, true);
  };
  made.onChanges = [this](std::span<const C> aChanges, uint64_t aRevision) {
    this->OnAnswer(aChanges, aRevision, false);
  };
  made.onLost = [this, aKind](const std::string& aProblem, bool aFirst) {
    this->OnStoreLost(aKind, aProblem, aFirst);
  };
  made.onBack = [this, aKind](Micros aAway) {
    this->OnStoreBack(aKind, aAway);
  };
  return made;
}

void
Sync::OnStoreLost(std::string_view aKind,
                  const std::string& aProblem,
                  bool aFirst)
{
  if (aFirst) {
    LogLine line("store_lost");
    line.Text("kind", aKind)
      .Text("store", this->store)
      .Text("problem", aProblem)
      .Number("config_version", this->view.Version());
    this->events.log(line);
  }
  this->spread.OnStoreLost(SteadyNow());
  this->FollowRole();
}

void
Sync::OnStoreBack(std::string_view aKind, Micros aAway)
{
  Micros now = SteadyNow();
  this->view.OnStoreRecovered(now);
  this->spread.OnStoreBack(now);
  LogLine line("store_back");
  line.Text("kind", aKind).Number("away_ms", aAway / kMillisecond);
  this->events.log(line);
}

void
Sync::OnAnswer(std::span<const steer::ServerChange> aChanges,
               uint64_t aRevision,
               bool aList)
{
  Micros now = SteadyNow();
  if (aList) {
    this->spread.OnServersList(aRevision, now);
  } else {
    this->spread.OnServersChanges(aChanges, aRevision, now);
  }
  // Whether missing entries may have lapsed depends on it.
  this->view.OnStoreRecovered(this->spread.StoreBackAt());
  if (aList) {
    this->view.PutServers(aChanges, now);
  } else {
    this->view.PutChanges(aChanges, now);
  }
  this->events.onView();
  this->LogServers(aChanges, "store");
  this->Exchange(now);
}

void
Sync::OnAnswer(std::span<const steer::ConfigChange> aChanges,
               uint64_t aRevision,
               bool /*aList*/)
{
  for (const steer::ConfigChange& change : aChanges) {
    if (change.removed || !change.config) {
      LogLine line("config_unreadable");
      line.Text("name", change.name)
        .Number("revision", static_cast<int64_t>(change.revision));
      this->events.log(line);
      continue;
    }
    int64_t before = this->view.Version();
    if (this->view.PutConfig(*change.config)) {
      this->events.onView();
      LogLine line("config");
      line.Number("version", change.config->version)
        .Number("former", before)
        .Number("revision", static_cast<int64_t>(change.revision))
        .Number("routes", static_cast<int64_t>(this->view.Routes()));
      this->events.log(line);
    }
  }
  Micros now = SteadyNow();
  this->spread.OnConfigAnswer(this->view.Version(), aRevision, now);
  this->Exchange(now);
}

void
Sync::OnHeartbeat(Address aFrom, const spread::Heartbeat& aHeartbeat)
{
  Micros now = SteadyNow();
  std::vector<steer::ServerChange> fresh =
    this->spread.OnHeartbeat(aFrom, aHeartbeat, now);
  this->view.OnStoreRecovered(this->spread.StoreBackAt());
  this->view.PutChanges(fresh, now);
  if (!fresh.empty()) {
    this->events.onView();
    this->LogServers(fresh, FormatAddress(aFrom));
  }
  this->Exchange(now);
}

std::optional<ViewState>
Sync::StateOfView() const
{
  if (!this->spread.HasView()) {
    return std::nullopt;
  }
  return ViewState{ this->view.Version(), this->spread.Servers().revision };
}

PeerView
Sync::CopyView(bool aServers) const
{
  PeerView copy;
  copy.config = this->view.CopyConfig();
  copy.configRevision = this->spread.Config().revision;
  if (aServers) {
    copy.serversRevision = this->spread.Servers().revision;
    copy.servers = this->view.CopyServers(SteadyNow());
  }
  return copy;
}

void
Sync::OnPeerView(const PeerView& aView, const std::string& aPeer)
{
  this->peerAnswers = false;
  int64_t before = this->view.Version();
  bool newConfig = this->view.PutConfig(aView.config);
  this->spread.OnPeerConfig(this->view.Version(), aView.configRevision);
  bool newServers = aView.serversRevision > this->spread.Servers().revision;
  if (newServers) {
    this->view.PutServers(aView.servers, SteadyNow());
    this->spread.OnPeerServers(aView.serversRevision);
  }
  // A watch that did not tell is silent.
  if (this->reading && newConfig) {
    this->config.Restart();
  }
  if (this->reading && newServers) {
    this->servers.Restart();
  }
  if (this->view.HasServers()) {
    this->servers.Know(this->spread.Servers().revision);
  }
  if (this->view.Version() > 0) {
    this->config.Know(this->spread.Config().revision);
  }
  this->events.onView();
  LogLine line("view_from_peer");
  line.Text("peer", aPeer)
    .Number("config_version", this->view.Version())
    .Number("former", before)
    .Number("servers_revision",
            static_cast<int64_t>(this->spread.Servers().revision))
    .Text("servers", newServers ? "newer" : "known");
  this->events.log(line);
}

// The watches go on from what is known, whoever told it.
void
Sync::FollowRole()
{
  bool reads = this->spread.Reads();
  if (reads == this->reading) {
    return;
  }
  this->reading = reads;
  if (reads && this->spread.HasView()) {
    this->servers.Know(this->spread.Servers().revision);
    this->config.Know(this->spread.Config().revision);
  }
  this->servers.Watch(reads);
  this->config.Watch(reads);
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

void
Sync::FollowAge(Micros aNow)
{
  bool now = this->spread.Stale(aNow);
  if (now == this->stale) {
    return;
  }
  this->stale = now;
  LogLine line(now ? "view_stale" : "view_fresh");
  line.Number("view_age_ms", this->ViewAge(aNow) / kMillisecond)
    .Number("config_version", this->view.Version());
  this->events.log(line);
}

// Sends what is due, and asks for a view where a peer knows more.
void
Sync::Exchange(Micros aNow)
{
  if (!this->peers) {
    return;
  }
  for (const spread::OutgoingHeartbeat& sending :
       this->spread.TakeHeartbeats(aNow)) {
    this->peers->Send(sending.to, sending.heartbeat);
  }
  std::optional<spread::ViewRequest> wanted =
    this->spread.NextViewRequest(aNow);
  if (!wanted) {
    return;
  }
  this->peers->AskForView(wanted->peer, wanted->servers);
  bool waits = !this->storeAsked && !this->peerAnswers;
  if (!this->spread.HasView() && waits) {
    this->peerAnswers = true;
    this->askStore.Start(kPeerViewTime);
  }
}

void
Sync::Tick(Micros aNow)
{
  this->spread.Tick(aNow);
  this->FollowRole();
  this->FollowAge(aNow);
  this->Exchange(aNow);
}

void
Sync::OnProcessPause()
{
  this->spread.OnProcessPause();
  if (this->peers) {
    this->peers->DropWaiting();
  }
  if (this->reading) {
    this->servers.Restart();
    this->config.Restart();
  }
}

// A whole list says with one line how many it named.
void
Sync::LogServers(std::span<const steer::ServerChange> aChanges,
                 std::string_view aSource)
{
  if (aChanges.size() > kMostServerLines) {
    LogLine line("servers");
    line.Number("entries", static_cast<int64_t>(aChanges.size()))
      .Text("source", aSource);
    this->events.log(line);
    return;
  }
  for (const steer::ServerChange& change : aChanges) {
    LogLine line("server");
    line.Text("id", change.name)
      .Number("revision", static_cast<int64_t>(change.revision))
      .Text("state", StateName(change))
      .Text("source", aSource);
    this->events.log(line);
  }
}

}
