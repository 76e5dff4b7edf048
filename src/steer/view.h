// What this instance believes of configuration and backend servers: the last
// good state, kept through any outage of the store.
#pragma once

#include "steer/types.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <optional>
#include <span>
#include <string_view>

namespace gentianspindle::steer {

// An entry that is missing after the store or the way to it was away may
// still come back within this time, and takes new flows meanwhile.
constexpr Micros kGracePeriod = 2 * kSecond;
// After this time a missing server is gone, and so are its flows. Longer than
// the lapse, as a reset cannot be taken back.
constexpr Micros kMissingTimeout = 3 * kSecond;
// Servers that are gone are remembered for their open flows.
constexpr Micros kGoneRetention = 60 * kSecond;

enum class RegistryState : uint8_t
{
  Listed,
  Unreadable, // listed, but the entry says nothing; flows go on
  Missing,    // not listed; may have lapsed
  Gone,
  Evicted, // the place is free
};

struct Server
{
  ServerEntry entry;
  Tag tag = kNoTag;
  RegistryState registryState = RegistryState::Listed;
  bool inGracePeriod = false; // missing, and the store was away just now
  bool tagConflict = false;   // another server has the same tag
  uint64_t revision = 0;      // of the entry
  uint32_t generation = 0;    // counts the server processes seen at this place
  Micros changedAt = 0;       // when this instance learnt of the last change
  Micros warmupUntil = 0;

  // May new flows go there, as far as the registry says?
  bool AcceptsNewFlows() const
  {
    bool available =
      this->registryState == RegistryState::Listed ||
      (this->registryState == RegistryState::Missing && this->inGracePeriod);
    return available && !this->entry.draining && !this->tagConflict;
  }
};

struct Route
{
  RouteEntry entry;
  // Services that the route ever led to: open flows stay with theirs.
  std::vector<std::string> allowedServices;

  bool AllowsService(std::string_view aService) const;
};

// One entry of the registry as read from the store.
struct ServerChange
{
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  std::optional<ServerEntry> entry; // none: it cannot be read
};

struct ConfigChange
{
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  std::optional<Config> config;
};

class View
{
public:
  // Puts aConfig in force where its version is higher; true where it was.
  bool PutConfig(const Config& aConfig);

  // A whole list of the registry; what is not in it is missing.
  void PutServers(std::span<const ServerChange> aList, Micros aNow);
  // Changes after the list.
  void PutChanges(std::span<const ServerChange> aChanges, Micros aNow);
  // One of them. True where something changed.
  bool PutServer(const ServerChange& aChange, Micros aNow);

  // The store answers again after it did not; entries may have lapsed.
  void OnStoreRecovered(Micros aNow) { this->storeBackAt = aNow; }

  // Turns missing servers into gone ones in time.
  void Tick(Micros aNow);

  bool Ready() const { return this->hasServers && this->config.version > 0; }
  bool HasServers() const { return this->hasServers; }
  int64_t Version() const { return this->config.version; }

  // For other instances: the configuration in force and the readable servers.
  Config CopyConfig() const;
  std::vector<ServerChange> CopyServers(Micros aNow) const;

  const Route* FindRoute(Endpoint aTarget) const;
  // Did a configuration before the one in force have the route?
  bool IsFormerRoute(Endpoint aTarget) const
  {
    return this->formerRoutes.contains(aTarget);
  }
  size_t Routes() const { return this->routes.size(); }

  ServerIndex FindTag(Tag aTag) const;
  const Server& At(ServerIndex aServer) const { return this->servers[aServer]; }
  size_t Size() const { return this->servers.size(); }
  // Counts the server processes that this view has seen.
  uint64_t ProcessCount() const { return this->processCount; }
  // Places of the servers of aService, gone ones included.
  std::span<const ServerIndex> ServersOf(std::string_view aService) const;

private:
  void Put(const ServerChange& aChange, Micros aNow);
  ServerIndex AllocateIndex(const std::string& aName);
  void Evict(ServerIndex aServer);
  static void MarkUnreadable(Server& aServer, Micros aNow);
  void MarkMissing(Server& aServer, Micros aNow);
  void AddTag(ServerIndex aIndex);
  void RebuildTags();

  Config config;
  absl::flat_hash_map<Endpoint, Route> routes;
  absl::flat_hash_set<Endpoint> formerRoutes;
  std::vector<Server> servers;
  std::vector<ServerIndex> freeIndexes;
  absl::flat_hash_map<std::string, ServerIndex> byName;
  absl::flat_hash_map<Tag, ServerIndex> byTag;
  absl::flat_hash_map<std::string, std::vector<ServerIndex>> byService;
  uint64_t processCount = 0;
  bool hasServers = false;
  Micros storeBackAt = -kGoneRetention;
};

}
