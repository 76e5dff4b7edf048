// This instance's view of the configuration and the backend servers: the last
// valid state, kept through any outage of the store.
#pragma once

#include "base/store_position.h"
#include "steer/drains.h"
#include "steer/types.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <optional>
#include <span>
#include <string_view>

namespace gentianspindle::steer {

// After an outage of the store, or of the path to it, an entry that is missing
// may have expired although its server lives, and may come back. A server that
// goes missing within this time of the outage's end takes new flows for this
// time more.
constexpr Micros kGracePeriod = 2 * kSecond;
// After this time a missing server counts as gone, and its flows are reset. It
// is longer than the grace period, as a reset cannot be undone.
constexpr Micros kMissingTimeout = 3 * kSecond;
// A drain that the store lacks after it came back from an older copy stays in
// force for this time. Servers write their state again within about 2 s of the
// return, and operators their requests.
constexpr Micros kDrainRetention = 5 * kSecond;
// Servers stay in the view for this time after they went missing, so that late
// packets of their flows are reset, and not dropped for an unknown tag.
constexpr Micros kGoneRetention = 60 * kSecond;

// State of a server's entry in the registry, which is the set of the servers'
// entries in the store.
enum class RegistryState : uint8_t
{
  Listed,
  Unreadable, // listed, but the entry cannot be read; open flows continue
  // Removed, or not in the last list. The entry may have expired in an outage.
  Missing,
  Gone,    // missing for kMissingTimeout, or at once if it was draining
  Evicted, // the index is free
};

// A server of the registry as this instance knows it.
struct Server
{
  ServerEntry entry;
  Tag tag = kNoTag;
  RegistryState registryState = RegistryState::Listed;
  // Set if the server went missing within kGracePeriod of the end of a store
  // outage. Cleared kGracePeriod later, or when the server is listed again.
  bool inGracePeriod = false;
  // The store lost the server's drain in a return from an older copy; cleared
  // after kDrainRetention.
  bool drainRetained = false;
  bool tagConflict = false; // another server has the tag
  bool zoneDrained = false; // its zone is drained
  StorePosition position;   // of the entry, or of its removal
  uint32_t generation = 0;  // number of server processes seen at this index
  Micros changedAt = 0;     // when a change or list last set the state
  Micros warmupUntil = 0;
  Micros drainRetainedUntil = 0;

  // Returns whether the server drains, as far as this instance knows.
  bool IsDraining() const
  {
    return this->entry.draining || this->drainRetained;
  }
  // Returns whether the server is listed, or may have lost its entry only in an
  // outage.
  bool IsAvailable() const
  {
    return this->registryState == RegistryState::Listed ||
           (this->registryState == RegistryState::Missing &&
            this->inGracePeriod);
  }
  // Returns whether the registry and the drains allow new flows to the server.
  // See ExclusionOf for what else may exclude it.
  bool AcceptsNewFlows() const
  {
    return this->IsAvailable() && !this->IsDraining() && !this->tagConflict &&
           !this->zoneDrained;
  }
};

// A route of the configuration in force.
struct Route
{
  RouteEntry entry;
  // Services that the route has had in the configurations that this instance
  // applied since the route last appeared: open flows stay with their service
  // when the route changes.
  std::vector<std::string> allowedServices;

  bool AllowsService(std::string_view aService) const;
};

// One entry of the registry as read from the store.
struct ServerChange
{
  std::string name;
  StorePosition position;
  bool removed = false;
  // Empty if the entry cannot be read; not used if it was removed.
  std::optional<ServerEntry> entry;
};

// One configuration object as read from the store.
struct ConfigChange
{
  std::string name;
  StorePosition position;
  bool removed = false;
  // Empty if it cannot be read; not used if it was removed.
  std::optional<Config> config;
  // Names of the routes that config lacks, as they cannot be read.
  std::vector<std::string> unreadableRoutes;
};

// Routes and servers, looked up by endpoint, tag and service.
class View
{
public:
  // Applies aConfig if its version is higher than the one in force. Returns
  // whether it did.
  bool PutConfig(const Config& aConfig);

  // Applies a whole list of the registry; entries that it lacks are missing.
  void PutServers(std::span<const ServerChange> aList, Micros aNow);
  // Applies changes that came after the list.
  void PutChanges(std::span<const ServerChange> aChanges, Micros aNow);
  // Applies one change. Returns false if it is outdated, or if it removes or
  // makes unreadable a server that the view does not know.
  bool PutServer(const ServerChange& aChange, Micros aNow);

  // Applies the drained zones, to servers that appear later, too. Returns false
  // if the state is of an earlier position than the one in force. Drains that
  // the state of a later era lacks stay in force for kDrainRetention, or until
  // that era has had them.
  bool PutDrains(const DrainState& aState, Micros aNow);
  const DrainState& Drains() const { return this->drains; }
  // Returns whether the servers of a zone get no new flow: its drain is in
  // force or retained.
  bool IsZoneDrained(const std::string& aZone) const;

  // Sets the region of each zone, which the routes' regions refer to.
  void SetRegions(absl::flat_hash_map<std::string, std::string> aRegionOfZone)
  {
    this->regionOfZone = std::move(aRegionOfZone);
  }
  // Returns whether the route may use the server's region. A route with regions
  // uses no server whose region is not known.
  bool AllowsRegion(const RouteEntry& aRoute, const Server& aServer) const;

  // Sets when the last store outage, in which entries may have expired, ended.
  // aNow is that time, not the present one.
  void SetStoreBackAt(Micros aNow) { this->storeBackAt = aNow; }

  // Ends grace periods, and turns missing servers into gone and evicted ones.
  void Tick(Micros aNow);

  // Returns whether both the servers and a configuration are known.
  bool Ready() const { return this->hasServers && this->config.version > 0; }
  bool HasServers() const { return this->hasServers; }
  int64_t Version() const { return this->config.version; }
  // Returns whether a route leads to the service, or led to it since the route
  // last appeared. An entry of any other service is another writer's, or of a
  // service that is not in use: it says nothing of other servers.
  bool IsRouted(std::string_view aService) const;
  // New flows a second for a server of aService in its warm-up; 0: no bound.
  double WarmupQuotaOf(std::string_view aService) const;

  // Copies of the configuration in force and of the listed servers, for other
  // instances. Unreadable servers have no entry there.
  Config CopyConfig() const;
  std::vector<ServerChange> CopyServers(Micros aNow) const;

  const Route* FindRoute(Endpoint aTarget) const;
  // Returns whether an earlier configuration had a route to aTarget that the
  // one in force lacks.
  bool IsFormerRoute(Endpoint aTarget) const
  {
    return this->formerRoutes.contains(aTarget);
  }
  size_t Routes() const { return this->routes.size(); }

  ServerIndex FindTag(Tag aTag) const;
  const Server& At(ServerIndex aServer) const { return this->servers[aServer]; }
  // Number of indexes, including those of evicted servers.
  size_t Size() const { return this->servers.size(); }
  // Number of server processes that this view has seen.
  uint64_t ProcessCount() const { return this->processCount; }
  // Indexes of the servers of aService, including those that are gone.
  std::span<const ServerIndex> ServersOf(std::string_view aService) const;

private:
  static bool IsFormerProcess(const ServerChange& aChange,
                              const Server& aServer);
  // Applies the readable entry of a change that is not a removal.
  void PutEntry(const ServerChange& aChange, Micros aNow);
  ServerIndex AllocateIndex(const std::string& aName);
  void Evict(ServerIndex aServer);
  void RetainDrains(const DrainState& aState, Micros aNow);
  void UpdateZoneDrains();
  void EndRetainedDrains(Micros aNow);
  static void MarkUnreadable(Server& aServer, Micros aNow);
  void MarkMissing(Server& aServer, Micros aNow);
  void UpdateRoutedServices();
  bool HasTagPriority(const Server& aServer, const Server& aOther) const;
  void AddTag(ServerIndex aIndex);
  void RebuildTags();

  Config config;
  absl::flat_hash_map<Endpoint, Route> routes;
  absl::flat_hash_set<std::string> routedServices;
  // Targets of removed routes. They stay until a configuration has them again.
  absl::flat_hash_set<Endpoint> formerRoutes;
  std::vector<Server> servers;
  std::vector<ServerIndex> freeIndexes;
  absl::flat_hash_map<std::string, ServerIndex> byName;
  absl::flat_hash_map<Tag, ServerIndex> byTag;
  absl::flat_hash_map<std::string, std::vector<ServerIndex>> byService;
  absl::flat_hash_map<std::string, std::string> regionOfZone;
  DrainState drains;
  // Zones whose drains the store lost in a return from an older copy, and until
  // when they stay in force.
  absl::flat_hash_map<std::string, Micros> retainedZones;
  uint64_t processCount = 0;
  bool hasServers = false;
  // End of the last store outage. The default is so long before any time in use
  // that it starts no grace period.
  Micros storeBackAt = -kGoneRetention;
};

}
