// Keeps this instance's view of configuration and servers up to date, from
// the store where this instance reads it and from its peers otherwise.
#pragma once

#include "spread/spread.h"
#include "tagged/list_watcher.h"
#include "tagged/log.h"
#include "tagged/peers.h"
#include "tagged/settings.h"

namespace gentianspindle::tagged {

// Peers get this much time to give a view at start before the store is asked.
constexpr Micros kStoreDelayAtStart = 30 * kMillisecond;
// While a peer's view is on its way the store is asked this much later.
constexpr Micros kStoreDelayForPeerView = 150 * kMillisecond;
// An unknown route truly does not exist where the configuration was confirmed
// within this time.
constexpr Micros kConfigFreshTime = 2500 * kMillisecond;

// How the kinds look at the store.
struct StoreFormats
{
  KindFormat<steer::ServerChange> servers;
  KindFormat<steer::ConfigChange> config;
};

struct SyncEvents
{
  std::function<void()> onView; // the view changed
  std::function<void(const LogLine&)> log;
};

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
  // This instance stood still.
  void OnProcessPause();

  bool IsConfigFresh(Micros aNow) const
  {
    return aNow - this->spread.Config().confirmedAt < kConfigFreshTime;
  }
  // Since the older of the two kinds was confirmed.
  Micros ViewAge(Micros aNow) const;
  uint32_t FleetSize() const { return this->spread.FleetSize(); }
  bool Reads() const { return this->spread.Reads(); }
  const ListWatcherCounts& ServersCounts() const
  {
    return this->servers.Counts();
  }
  const ListWatcherCounts& ConfigCounts() const
  {
    return this->config.Counts();
  }
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
  void OnStoreLost(std::string_view aKind,
                   const std::string& aError,
                   bool aFirst);
  void OnStoreBack(std::string_view aKind, Micros aOutage);
  void OnStoreResponse(std::span<const steer::ServerChange> aChanges,
                       uint64_t aRevision,
                       bool aList);
  void OnStoreResponse(std::span<const steer::ConfigChange> aChanges,
                       uint64_t aRevision,
                       bool aList);
  void OnHeartbeat(Address aFrom, const spread::Heartbeat& aHeartbeat);
  std::optional<ViewVersion> CurrentViewVersion() const;
  PeerView CopyView(bool aWithServers) const;
  void OnPeerView(const PeerView& aView, const std::string& aPeer);
  void ApplyReaderRole();
  void CheckStaleness(Micros aNow);
  void ExchangeWithPeers(Micros aNow);
  void LogServers(std::span<const steer::ServerChange> aChanges,
                  std::string_view aSource);

  steer::View& view;
  SyncEvents events;
  std::string store; // its address, for the log
  spread::Replicator spread;
  ListWatcher<steer::ServerChange> servers;
  ListWatcher<steer::ConfigChange> config;
  std::unique_ptr<Peers> peers;
  Timer firstListTimer;
  bool firstListStarted = false; // by the first list
  bool peerViewPending = false;  // a view of a peer is on its way
  bool isReader = false;         // the followers watch
  bool stale = false;
};

}
