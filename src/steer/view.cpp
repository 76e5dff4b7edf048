#include "steer/view.h"

#include "base/text.h"

#include <algorithm>

namespace gentianspindle::steer {

bool
Route::AllowsService(std::string_view aService) const
{
  return std::find(this->allowedServices.begin(),
                   this->allowedServices.end(),
                   aService) != this->allowedServices.end();
}

bool
View::PutConfig(const Config& aConfig)
{
  if (aConfig.version <= this->config.version) {
    return false;
  }
  absl::flat_hash_map<Endpoint, Route> next;
  for (const RouteEntry& entry : aConfig.routes) {
    Route route{ entry, {} };
    auto old = this->routes.find(entry.endpoint);
    if (old != this->routes.end()) {
      route.allowedServices = std::move(old->second.allowedServices);
      this->routes.erase(old);
    }
    for (const WeightedService& one : entry.services) {
      if (!route.AllowsService(one.service)) {
        route.allowedServices.push_back(one.service);
      }
    }
    this->formerRoutes.erase(entry.endpoint);
    next[entry.endpoint] = std::move(route);
  }
  for (const auto& [endpoint, route] : this->routes) {
    this->formerRoutes.insert(endpoint);
  }
  this->routes = std::move(next);
  this->config = aConfig;
  this->config.routes.clear();
  this->UpdateRoutedServices();
  return true;
}

void
View::UpdateRoutedServices()
{
  absl::flat_hash_set<std::string> routed;
  for (const auto& [endpoint, route] : this->routes) {
    routed.insert(route.allowedServices.begin(), route.allowedServices.end());
  }
  if (routed != this->routedServices) {
    this->routedServices = std::move(routed);
    this->RebuildTags();
  }
}

bool
View::IsRouted(std::string_view aService) const
{
  return this->routedServices.contains(ToAbsl(aService));
}

Config
View::CopyConfig() const
{
  Config copy = this->config;
  for (const auto& [endpoint, route] : this->routes) {
    copy.routes.push_back(route.entry);
  }
  return copy;
}

std::vector<ServerChange>
View::CopyServers(Micros aNow) const
{
  std::vector<ServerChange> copy;
  for (const auto& [name, index] : this->byName) {
    const Server& server = this->servers[index];
    if (server.registryState == RegistryState::Unreadable) {
      copy.push_back({ name, server.position, false, {} });
      continue;
    }
    if (server.registryState != RegistryState::Listed) {
      continue;
    }
    ServerEntry entry = server.entry;
    entry.warmupLeft = std::max<Micros>(0, server.warmupUntil - aNow);
    copy.push_back({ name, server.position, false, std::move(entry) });
  }
  return copy;
}

double
View::WarmupQuotaOf(std::string_view aService) const
{
  for (const ServiceEntry& service : this->config.services) {
    if (service.name == aService) {
      return service.warmupQuota;
    }
  }
  return 0;
}

const Route*
View::FindRoute(Endpoint aTarget) const
{
  auto route = this->routes.find(aTarget);
  return route == this->routes.end() ? nullptr : &route->second;
}

ServerIndex
View::FindTag(Tag aTag) const
{
  auto index = this->byTag.find(aTag);
  return index == this->byTag.end() ? kNoServer : index->second;
}

std::span<const ServerIndex>
View::ServersOf(std::string_view aService) const
{
  auto indexes = this->byService.find(ToAbsl(aService));
  if (indexes == this->byService.end()) {
    return {};
  }
  return indexes->second;
}

void
View::PutServers(std::span<const ServerChange> aList, Micros aNow)
{
  absl::flat_hash_set<std::string> listed;
  for (const ServerChange& change : aList) {
    listed.insert(change.name);
  }
  this->PutChanges(aList, aNow);
  for (const auto& [name, index] : this->byName) {
    if (!listed.contains(name)) {
      this->MarkMissing(this->servers[index], aNow);
    }
  }
  this->hasServers = true;
}

void
View::PutChanges(std::span<const ServerChange> aChanges, Micros aNow)
{
  for (const ServerChange& change : aChanges) {
    this->PutServer(change, aNow);
  }
}

// Returns whether the store, which came back from an older copy, has an entry
// of a process that ended before the known one started. The entry of that one
// is written again, or the one of the copy is removed.
bool
View::IsFormerProcess(const ServerChange& aChange, const Server& aServer)
{
  return aChange.position.era > aServer.position.era &&
         aChange.entry->startedAt < aServer.entry.startedAt;
}

// Applies an equal position too: a list repeats entries that did not change,
// and with it a missing server is listed again.
bool
View::PutServer(const ServerChange& aChange, Micros aNow)
{
  auto known = this->byName.find(aChange.name);
  if (known != this->byName.end() &&
      this->servers[known->second].position > aChange.position) {
    return false;
  }
  if (aChange.entry && !aChange.removed) {
    if (known != this->byName.end() &&
        IsFormerProcess(aChange, this->servers[known->second])) {
      this->servers[known->second].position = aChange.position;
      return false;
    }
    this->PutEntry(aChange, aNow);
    return true;
  }
  if (known == this->byName.end()) {
    return false;
  }
  Server& server = this->servers[known->second];
  server.position = aChange.position;
  if (aChange.removed) {
    this->MarkMissing(server, aNow);
  } else {
    MarkUnreadable(server, aNow);
  }
  return true;
}

ServerIndex
View::AllocateIndex(const std::string& aName)
{
  ServerIndex index = kNoServer;
  if (this->freeIndexes.empty()) {
    index = static_cast<ServerIndex>(this->servers.size());
    this->servers.emplace_back();
  } else {
    index = this->freeIndexes.back();
    this->freeIndexes.pop_back();
  }
  this->byName[aName] = index;
  return index;
}

void
View::PutEntry(const ServerChange& aChange, Micros aNow)
{
  const ServerEntry& entry = *aChange.entry;
  auto known = this->byName.find(aChange.name);
  bool isNew = known == this->byName.end();
  ServerIndex index = isNew ? this->AllocateIndex(aChange.name) : known->second;
  Server& server = this->servers[index];
  bool serviceChanged = isNew || server.entry.service != entry.service;
  if (serviceChanged && !isNew) {
    std::erase(this->byService[server.entry.service], index);
  }
  if (isNew || server.entry.startedAt != entry.startedAt) {
    ++server.generation;
    ++this->processCount;
    server.drainRetained = false;
  } else if (aChange.position.era > server.position.era &&
             server.IsDraining()) {
    server.drainRetained = true;
    server.drainRetainedUntil = aNow + kDrainRetention;
  }
  server.entry = entry;
  server.tag = TagOf(entry.id);
  server.registryState = RegistryState::Listed;
  server.inGracePeriod = false;
  server.position = aChange.position;
  server.changedAt = aNow;
  server.warmupUntil = aNow + entry.warmupLeft;
  server.zoneDrained = this->IsZoneDrained(entry.zone);
  if (serviceChanged) {
    this->byService[entry.service].push_back(index);
  }
  if (isNew) {
    this->AddTag(index);
  }
}

bool
View::PutDrains(const DrainState& aState, Micros aNow)
{
  if (aState.position < this->drains.position) {
    return false;
  }
  this->RetainDrains(aState, aNow);
  this->drains = aState;
  this->UpdateZoneDrains();
  return true;
}

void
View::RetainDrains(const DrainState& aState, Micros aNow)
{
  if (aState.position.era > this->drains.position.era) {
    for (const std::string& zone : this->drains.zones) {
      this->retainedZones[zone] = aNow + kDrainRetention;
    }
  }
  for (const std::string& zone : aState.zones) {
    this->retainedZones.erase(zone);
  }
}

void
View::UpdateZoneDrains()
{
  for (Server& server : this->servers) {
    server.zoneDrained = this->IsZoneDrained(server.entry.zone);
  }
}

bool
View::IsZoneDrained(const std::string& aZone) const
{
  return this->retainedZones.contains(aZone) ||
         std::binary_search(
           this->drains.zones.begin(), this->drains.zones.end(), aZone);
}

// Ends the drains that were not written again in time.
void
View::EndRetainedDrains(Micros aNow)
{
  size_t ended =
    absl::erase_if(this->retainedZones, [aNow](const auto& aRetained) {
      return aNow >= aRetained.second;
    });
  if (ended > 0) {
    this->UpdateZoneDrains();
  }
}

bool
View::AllowsRegion(const RouteEntry& aRoute, const Server& aServer) const
{
  if (aRoute.regions.empty()) {
    return true;
  }
  auto region = this->regionOfZone.find(aServer.entry.zone);
  return region != this->regionOfZone.end() &&
         std::find(aRoute.regions.begin(),
                   aRoute.regions.end(),
                   region->second) != aRoute.regions.end();
}

// An entry of a service that no route leads to loses the tag to any other, a
// gone server to one that is not gone; else the smaller id gets it.
bool
View::HasTagPriority(const Server& aServer, const Server& aOther) const
{
  bool isRouted = this->IsRouted(aServer.entry.service);
  if (isRouted != this->IsRouted(aOther.entry.service)) {
    return isRouted;
  }
  return aOther.registryState == RegistryState::Gone ||
         (aServer.registryState != RegistryState::Gone &&
          aServer.entry.id < aOther.entry.id);
}

// Of two servers with the same tag one gets it, and with it all packets that
// carry the tag; the other takes no new flows. This is decided when a server is
// first seen, after an eviction and when a configuration names other services,
// not when a server becomes gone or is listed again, so instances that saw
// another order of changes can differ.
void
View::AddTag(ServerIndex aIndex)
{
  Server& server = this->servers[aIndex];
  server.tagConflict = false;
  auto [holder, inserted] = this->byTag.try_emplace(server.tag, aIndex);
  if (inserted) {
    return;
  }
  Server& other = this->servers[holder->second];
  bool wins = this->HasTagPriority(server, other);
  (wins ? other : server).tagConflict = true;
  holder->second = wins ? aIndex : holder->second;
}

// Assigns all tags anew, as another server may have the tag of one that was
// evicted, or whose service is no longer routed.
void
View::RebuildTags()
{
  this->byTag.clear();
  for (size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].registryState != RegistryState::Evicted) {
      this->AddTag(static_cast<ServerIndex>(i));
    }
  }
}

// New flows cannot use an unreadable entry, but its server process may well
// live.
void
View::MarkUnreadable(Server& aServer, Micros aNow)
{
  aServer.registryState = RegistryState::Unreadable;
  aServer.changedAt = aNow;
}

// Applies to entries that were removed and to those that a list lacks. A server
// that was draining has left. Any other may live although its entry expired in
// the store; it takes new flows meanwhile only if an outage of the store ended
// less than kGracePeriod ago. Tick ends the grace period kGracePeriod after the
// server went missing.
void
View::MarkMissing(Server& aServer, Micros aNow)
{
  bool listed = aServer.registryState == RegistryState::Listed ||
                aServer.registryState == RegistryState::Unreadable;
  if (!listed) {
    return;
  }
  aServer.registryState =
    aServer.IsDraining() ? RegistryState::Gone : RegistryState::Missing;
  aServer.inGracePeriod = aNow - this->storeBackAt < kGracePeriod;
  aServer.changedAt = aNow;
}

void
View::Tick(Micros aNow)
{
  this->EndRetainedDrains(aNow);
  for (size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    Micros age = aNow - server.changedAt;
    server.drainRetained =
      server.drainRetained && aNow < server.drainRetainedUntil;
    if (server.registryState == RegistryState::Missing) {
      server.inGracePeriod = server.inGracePeriod && age < kGracePeriod;
      server.registryState =
        age < kMissingTimeout ? RegistryState::Missing : RegistryState::Gone;
    } else if (server.registryState == RegistryState::Gone &&
               age >= kGoneRetention) {
      this->Evict(static_cast<ServerIndex>(i));
    }
  }
}

void
View::Evict(ServerIndex aServer)
{
  Server& server = this->servers[aServer];
  std::erase(this->byService[server.entry.service], aServer);
  absl::erase_if(this->byName, [aServer](const auto& aEntry) {
    return aEntry.second == aServer;
  });
  server = { .registryState = RegistryState::Evicted,
             .generation = server.generation };
  this->freeIndexes.push_back(aServer);
  this->RebuildTags();
}

}
