#include "steer/view.h"

#include "base/text.h"

#include <algorithm>

namespace gentianspindle::steer {

bool
Route::EverLedTo(std::string_view aService) const
{
  return std::find(this->everServices.begin(),
                   this->everServices.end(),
                   aService) != this->everServices.end();
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
      route.everServices = std::move(old->second.everServices);
      this->routes.erase(old);
    }
    for (const WeightedService& one : entry.services) {
      if (!route.EverLedTo(one.service)) {
        route.everServices.push_back(one.service);
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
  return true;
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
  for (const auto& [name, place] : this->byName) {
    const Server& server = this->servers[place];
    if (server.presence != Presence::Listed) {
      continue;
    }
    ServerEntry entry = server.entry;
    entry.warmupLeft = std::max<Micros>(0, server.warmupUntil - aNow);
    copy.push_back({ name, server.revision, false, std::move(entry) });
  }
  return copy;
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
  auto place = this->byTag.find(aTag);
  return place == this->byTag.end() ? kNoServer : place->second;
}

std::span<const ServerIndex>
View::Of(std::string_view aService) const
{
  auto places = this->byService.find(ToAbsl(aService));
  if (places == this->byService.end()) {
    return {};
  }
  return places->second;
}

void
View::PutServers(std::span<const ServerChange> aList, Micros aNow)
{
  absl::flat_hash_set<std::string> listed;
  for (const ServerChange& change : aList) {
    listed.insert(change.name);
  }
  this->PutChanges(aList, aNow);
  for (const auto& [name, place] : this->byName) {
    if (!listed.contains(name)) {
      this->MarkMissing(this->servers[place], aNow);
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

bool
View::PutServer(const ServerChange& aChange, Micros aNow)
{
  auto known = this->byName.find(aChange.name);
  if (known != this->byName.end() &&
      this->servers[known->second].revision > aChange.revision) {
    return false;
  }
  if (aChange.entry && !aChange.removed) {
    this->Put(aChange, aNow);
    return true;
  }
  if (known == this->byName.end()) {
    return false;
  }
  Server& server = this->servers[known->second];
  server.revision = aChange.revision;
  if (aChange.removed) {
    this->MarkMissing(server, aNow);
  } else {
    MarkUnreadable(server, aNow);
  }
  return true;
}

ServerIndex
View::TakePlace(const std::string& aName)
{
  ServerIndex place = kNoServer;
  if (this->freePlaces.empty()) {
    place = static_cast<ServerIndex>(this->servers.size());
    this->servers.emplace_back();
  } else {
    place = this->freePlaces.back();
    this->freePlaces.pop_back();
  }
  this->byName[aName] = place;
  return place;
}

void
View::Put(const ServerChange& aChange, Micros aNow)
{
  const ServerEntry& entry = *aChange.entry;
  auto known = this->byName.find(aChange.name);
  bool isNew = known == this->byName.end();
  ServerIndex place = isNew ? this->TakePlace(aChange.name) : known->second;
  Server& server = this->servers[place];
  bool moved = isNew || server.entry.service != entry.service;
  if (moved && !isNew) {
    std::erase(this->byService[server.entry.service], place);
  }
  if (isNew || server.entry.startedAt != entry.startedAt) {
    ++server.generation;
    ++this->processes;
  }
  server.entry = entry;
  server.tag = TagOf(entry.id);
  server.presence = Presence::Listed;
  server.inGracePeriod = false;
  server.revision = aChange.revision;
  server.changedAt = aNow;
  server.warmupUntil = aNow + entry.warmupLeft;
  if (moved) {
    this->byService[entry.service].push_back(place);
  }
  if (isNew) {
    this->AddTag(place);
  }
}

// Two live servers with one tag: the one with the smaller id keeps it, the
// other takes no new flows. Every instance that knows both decides the same.
void
View::AddTag(ServerIndex aPlace)
{
  Server& server = this->servers[aPlace];
  server.tagTaken = false;
  auto [held, free] = this->byTag.try_emplace(server.tag, aPlace);
  if (free) {
    return;
  }
  Server& other = this->servers[held->second];
  bool mine =
    other.presence == Presence::Gone ||
    (server.presence != Presence::Gone && server.entry.id < other.entry.id);
  (mine ? other : server).tagTaken = true;
  held->second = mine ? aPlace : held->second;
}

// A place became free: its tag may be another server's now.
void
View::MarkTags()
{
  this->byTag.clear();
  for (size_t i = 0; i < this->servers.size(); ++i) {
    if (this->servers[i].presence != Presence::Forgotten) {
      this->AddTag(static_cast<ServerIndex>(i));
    }
  }
}

// The entry names no server to use now, but its process may well live.
void
View::MarkUnreadable(Server& aServer, Micros aNow)
{
  aServer.presence = Presence::Unreadable;
  aServer.changedAt = aNow;
}

// A server that drained has left. Any other may have lapsed from the store
// alone; whether it takes new flows meanwhile depends on the store.
void
View::MarkMissing(Server& aServer, Micros aNow)
{
  bool listed = aServer.presence == Presence::Listed ||
                aServer.presence == Presence::Unreadable;
  if (!listed) {
    return;
  }
  aServer.presence =
    aServer.entry.draining ? Presence::Gone : Presence::Missing;
  aServer.inGracePeriod = aNow - this->storeBackAt < kGracePeriod;
  aServer.changedAt = aNow;
}

void
View::Tick(Micros aNow)
{
  for (size_t i = 0; i < this->servers.size(); ++i) {
    Server& server = this->servers[i];
    Micros age = aNow - server.changedAt;
    if (server.presence == Presence::Missing) {
      server.inGracePeriod = server.inGracePeriod && age < kGracePeriod;
      server.presence = age < kGoneTime ? Presence::Missing : Presence::Gone;
    } else if (server.presence == Presence::Gone && age >= kForgetTime) {
      this->Forget(static_cast<ServerIndex>(i));
    }
  }
}

void
View::Forget(ServerIndex aServer)
{
  Server& server = this->servers[aServer];
  std::erase(this->byService[server.entry.service], aServer);
  absl::erase_if(this->byName, [aServer](const auto& aEntry) {
    return aEntry.second == aServer;
  });
  server = { .presence = Presence::Forgotten, .generation = server.generation };
  this->freePlaces.push_back(aServer);
  this->MarkTags();
}

}
