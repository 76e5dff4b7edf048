// Keeps this instance's view of configuration and servers up to date: from the
// store while this instance is a reader, and from its peers otherwise.
#pragma once

#include "spread/spread.h"
#include "tagged/list_watcher.h"
#include "tagged/log.h"
#include "tagged/peers.h"
#include "tagged/settings.h"
#include "tagged/unreadable_entries.h"

namespace gentianspindle::tagged {

// At start an instance with peers and seeds requests its first list from the
// store only after this time, so that a peer's view may arrive first.
constexpr Micros kStoreDelayAtStart = 30 * kMillisecond;
// If it requests a view from a peer before that, it requests the list only this
// time after the first such request.
constexpr Micros kStoreDelayForPeerView = 150 * kMillisecond;
// An instance that has its first view serves callers only once it also knows
// the drained zones, or after this time: if neither the store nor a peer tells
// it, callers are worse off without it.
constexpr Micros kMaxDrainsWait = 500 * kMillisecond;
// Opening packets for an unknown route are reset only if the configuration was
// confirmed within this time; otherwise they are dropped, as the route may have
// been added since.
constexpr Micros kConfigFreshTime = 2500 * kMillisecond;

// Returns a seed that differs between instances, and between the starts of one.
uint32_t
RandomSeed(const TaggedSettings& aSettings);

// Formats of the three kinds of objects in the store.
struct StoreFormats
{
  KindFormat<steer::ServerChange> servers;
  KindFormat<steer::ConfigChange> config;
  KindFormat<steer::DrainChange> drains;
};

struct SyncEvents
{
  // Called when the view may have changed: also after a store response for
  // servers without changes, or a peer's view with nothing new.
  std::function<void()> onView;
  // Called with each query of a peer about an opening; returns the reply.
  std::function<steer::OpeningReply(const steer::OpeningQuery&)> onOpeningQuery;
  // Called with each reply of a peer to such a query.
  std::function<void(Address, const steer::OpeningReply&)> onOpeningReply;
  // Called with each verdict on a server that a peer of this zone sent.
  std::function<void(const spread::Verdict&)> onVerdict;
  std::function<void(const LogLine&)> log;
};

// Applies store responses, heartbeats and peers' views to the view, and informs
// the replicator, which decides whether this instance reads the store.
class Sync
{
public:
  static std::unique_ptr<Sync> Make(event_base* aBase,
                                    const TaggedSettings& aSettings,
                                    const StoreFormats& aFormats,
                                    steer::View& aView,
                                    SyncEvents aEvents);

  // Call often, at least every 50 ms.
  void Tick(Micros aNow);
  // Call after the process was paused: the view may be out of date, and so may
  // the heartbeats that arrived meanwhile.
  void OnProcessPause();

  // Sets this instance's verdicts on servers, for its peers.
  void SetVerdicts(std::span<const spread::Verdict> aVerdicts, Micros aNow)
  {
    this->spread.SetVerdicts(aVerdicts, aNow);
  }
  void SendOpeningQuery(const steer::OutgoingOpeningQuery& aQuery);
  // Returns the instances that may have got an opening packet before it came
  // here.
  spread::OpeningPeers FindOpeningPeers(Micros aNow) const
  {
    return this->spread.FindOpeningPeers(aNow);
  }
  // Returns whether the configuration was confirmed recently enough.
  bool IsConfigFresh(Micros aNow) const
  {
    return aNow - this->spread.Config().confirmedAt < kConfigFreshTime;
  }
  // Returns the time since the store last confirmed the configuration or the
  // servers, whichever is longer ago. It is more than 1000 s if one of the two
  // was never confirmed, or not since a process pause.
  Micros ViewAge(Micros aNow) const;
  // Returns whether the drained zones are known, or are not read at all.
  bool KnowsDrains() const
  {
    return !this->readsDrains || this->spread.Drains().IsKnown();
  }
  // Returns the time since the store last confirmed the drained zones; 0 if
  // they are not read.
  Micros DrainsAge(Micros aNow) const
  {
    return this->readsDrains ? aNow - this->spread.DrainsConfirmedAt() : 0;
  }
  uint32_t FleetSize() const { return this->spread.FleetSize(); }
  steer::QuotaHolders QuotaHolders(Micros aNow) const
  {
    return this->spread.QuotaHolders(aNow);
  }
  Micros QuotaValidUntil() const { return this->spread.QuotaValidUntil(); }
  uint32_t ZoneSize() const { return this->spread.ZoneSize(); }
  bool Reads() const { return this->spread.Reads(); }
  const ListWatcherCounts& ServersCounts() const
  {
    return this->servers.Counts();
  }
  const ListWatcherCounts& ConfigCounts() const
  {
    return this->config.Counts();
  }
  const ListWatcherCounts& DrainsCounts() const
  {
    return this->drains.Counts();
  }
  // The store's latest known era, and how often it rose since the start.
  uint64_t Era() const { return this->era; }
  uint64_t Returns() const { return this->returns; }
  // Counts of entries of the store that cannot be read.
  EntryCounts UnreadableCounts() const;
  // Counts of the messages to and from peers.
  PeerCounts Counts() const
  {
    return this->peers ? this->peers->Counts() : PeerCounts{};
  }

private:
  Sync(event_base* aBase,
       const TaggedSettings& aSettings,
       const StoreFormats& aFormats,
       steer::View& aView,
       SyncEvents aEvents);
  void StartPeers(event_base* aBase, const TaggedSettings& aSettings);
  template<typename C>
  ListWatcherEvents<C> MakeWatcherEvents(std::string_view aKind);
  // Records an era that the store or a peer shows. Returns whether the store
  // came back with it, as far as this instance knew until now.
  bool RecordEra(uint64_t aEra, const std::string& aSource);
  // A response of the store is of a later era than the former ones.
  void OnStoreEra(uint64_t aEra);
  void OnStoreLost(std::string_view aKind,
                   const std::string& aError,
                   bool aFirst);
  void OnStoreBack(std::string_view aKind, Micros aOutage);
  void OnStoreResponse(std::span<const steer::ServerChange> aChanges,
                       const StorePosition& aPosition,
                       bool aList);
  void OnStoreResponse(std::span<const steer::ConfigChange> aChanges,
                       const StorePosition& aPosition,
                       bool aList);
  void OnStoreResponse(std::span<const steer::DrainChange> aChanges,
                       const StorePosition& aPosition,
                       bool aList);
  // Puts the replicator's drained zones in force, and logs those that changed.
  void ApplyDrains(const std::string& aSource);
  void LogDrain(std::string_view aZone,
                std::string_view aState,
                const std::string& aSource);
  void OnHeartbeat(Address aFrom, const spread::Heartbeat& aHeartbeat);
  void OnOpening(Address aFrom, const OpeningMessage& aMessage);
  // Returns the instances of this zone without aAsker, if that is one of them
  // and this instance knows them all.
  std::optional<std::vector<Address>> ZoneFor(Address aAsker) const;
  std::optional<ViewVersion> CurrentViewVersion() const;
  PeerView CopyView(bool aWithServers) const;
  PeerView WithEras(const PeerView& aView) const;
  void OnPeerView(const PeerView& aView, const std::string& aPeer);
  void ApplyReaderRole();
  void CheckStaleness(Micros aNow);
  void CheckQuotaList();
  void ExchangeWithPeers(Micros aNow);
  void LogServers(std::span<const steer::ServerChange> aChanges,
                  std::string_view aSource);
  // Counts and logs an entry that cannot be read, once a version.
  void ReportUnreadable(EntryKind aKind,
                        std::string_view aName,
                        const StorePosition& aPosition);

  steer::View& view;
  SyncEvents events;
  std::string store; // address of the store, for the log
  spread::Replicator spread;
  UnreadableEntries unreadable;
  ListWatcher<steer::ServerChange> servers;
  ListWatcher<steer::ConfigChange> config;
  bool readsDrains = false; // the drains watcher is used
  ListWatcher<steer::DrainChange> drains;
  std::unique_ptr<Peers> peers;
  uint64_t era = 0;     // the latest of the store that is known; 0: none
  uint64_t returns = 0; // later eras since the first one
  Timer firstListTimer;
  bool firstListStarted = false;
  bool peerViewPending = false;   // a first view was requested from a peer
  bool isReader = false;          // the list watchers watch the store
  bool stale = false;             // the view was stale at the last check
  std::vector<Address> quotaList; // at the last check
};

}
