#include "spread/spread.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::spread {

// What was confirmed before the store came back from an older copy says nothing
// of its present state.
void
Freshness::Confirm(const StorePosition& aPosition, Micros aAt)
{
  if (aPosition.era < this->position.era) {
    return;
  }
  this->position = std::max(this->position, aPosition);
  this->confirmedAt = std::max(this->confirmedAt, aAt);
}

Replicator::Replicator(const ReplicatorOptions& aOptions)
  : options(aOptions)
  , members(aOptions.self, aOptions.zone, aOptions.randomSeed)
  , quotaSharing(aOptions.self, aOptions.zone, aOptions.standalone)
  , random(aOptions.randomSeed)
{
  std::erase(this->options.seeds, aOptions.self);
  this->options.cores = FromMillicores(ToMillicores(aOptions.cores));
}

Micros
Replicator::RandomDelay(Micros aMax)
{
  return static_cast<Micros>(this->random() % static_cast<uint64_t>(aMax));
}

// If the view is stale when the store answers, neither the store nor a peer has
// confirmed it for a while, so the store is taken to have been unavailable. An
// instance that has just started to read had no failed call of its own that
// would show the outage. Without a confirmation of both configuration and
// servers, as at the start and after a process pause, no outage is seen.
void
Replicator::OnStoreAnswer(Micros aNow)
{
  bool unconfirmed =
    this->config.confirmedAt == kNever || this->servers.confirmedAt == kNever;
  if (this->HasView() && !unconfirmed && this->Stale(aNow)) {
    this->OnStoreBack(aNow);
  }
  this->storeAnswers = true;
}

void
Replicator::OnConfigResponse(int64_t aVersion,
                             const StorePosition& aPosition,
                             Micros aNow)
{
  this->OnStoreAnswer(aNow);
  this->updatePending = this->updatePending || aVersion > this->configVersion;
  this->configVersion = std::max(this->configVersion, aVersion);
  this->config.Confirm(aPosition, aNow);
}

void
Replicator::OnServersList(const StorePosition& aPosition, Micros aNow)
{
  this->OnStoreAnswer(aNow);
  this->hasServers = true;
  this->updatePending = true;
  this->changeLog.ResetTo(aPosition);
  this->servers.Confirm(aPosition, aNow);
}

void
Replicator::OnServersChanges(std::span<const steer::ServerChange> aChanges,
                             const StorePosition& aPosition,
                             Micros aNow)
{
  this->OnStoreAnswer(aNow);
  this->updatePending = this->updatePending || !aChanges.empty();
  this->changeLog.Add(aChanges, aPosition, aNow);
  this->servers.Confirm(aPosition, aNow);
}

bool
Replicator::OnDrainsResponse(std::span<const steer::DrainChange> aChanges,
                             const StorePosition& aPosition,
                             bool aList,
                             Micros aNow)
{
  if (aPosition.era < this->drains.position.era) {
    return false;
  }
  this->OnStoreAnswer(aNow);
  bool changed = aList ? this->drains.PutList(aChanges, aPosition)
                       : this->drains.PutChanges(aChanges, aPosition);
  this->drainsConfirmedAt = aNow;
  this->updatePending = this->updatePending || changed;
  return changed;
}

// A state of an earlier position confirms the present one, which was the
// store's at a later time, but not one of an earlier era.
bool
Replicator::OnPeerDrains(const steer::DrainState& aState, Micros aConfirmedAt)
{
  bool isFormer = aState.position.era < this->drains.position.era;
  if (!this->options.drains || !aState.IsKnown() || isFormer) {
    return false;
  }
  bool changed = this->drains.Adopt(aState);
  this->drainsConfirmedAt = std::max(this->drainsConfirmedAt, aConfirmedAt);
  this->updatePending = this->updatePending || changed;
  return changed;
}

// Where the heartbeat leaves out the zones, they are the same as here if they
// last changed before the position that this instance knows.
void
Replicator::OnHeartbeatDrains(const Heartbeat& aHeartbeat, Micros aNow)
{
  steer::DrainState state = aHeartbeat.drains;
  if (aHeartbeat.drainsLeftOut) {
    if (state.changedPosition > this->drains.position) {
      return;
    }
    state.zones = this->drains.zones;
  }
  this->OnPeerDrains(state, aNow - aHeartbeat.drainsAge);
}

void
Replicator::OnStoreBack(Micros aNow)
{
  this->storeBackAt = aNow;
  this->updatePending = true;
}

void
Replicator::OnProcessPause()
{
  this->config.confirmedAt = kNever;
  this->servers.confirmedAt = kNever;
  this->drainsConfirmedAt = kNever;
  this->quotaSharing.OnProcessPause();
}

void
Replicator::OnPeerConfig(int64_t aVersion, const StorePosition& aPosition)
{
  this->configVersion = std::max(this->configVersion, aVersion);
  this->config.position = std::max(this->config.position, aPosition);
  this->updatePending = true;
}

void
Replicator::OnPeerServers(const StorePosition& aPosition)
{
  this->hasServers = true;
  if (aPosition > this->servers.position) {
    this->servers.position = aPosition;
    this->changeLog.ResetTo(aPosition);
  }
  this->updatePending = true;
}

// Stops reading after one failed attempt if there is a better reader.
void
Replicator::OnStoreLost(Micros aNow)
{
  this->storeAnswers = false;
  if (this->reads && this->HasBetterReader(aNow)) {
    this->StopReading(aNow);
  }
}

// Returns whether the sender is of a former version of this program, which
// knows no eras.
bool
Replicator::LacksEras(const Heartbeat& aHeartbeat) const
{
  return aHeartbeat.hasView && aHeartbeat.serversPosition.era == 0 &&
         this->servers.position.era > 0;
}

// The revisions of such a sender are taken as of the era that is known here, so
// that changes spread while a fleet is upgraded.
Heartbeat
Replicator::WithEras(const Heartbeat& aHeartbeat) const
{
  Heartbeat heartbeat = aHeartbeat;
  uint64_t era = this->servers.position.era;
  heartbeat.configPosition.AssumeEra(this->config.position.era);
  heartbeat.serversPosition.AssumeEra(era);
  heartbeat.recent.from.AssumeEra(era);
  heartbeat.recent.to.AssumeEra(era);
  for (steer::ServerChange& change : heartbeat.recent.changes) {
    change.position.AssumeEra(era);
  }
  heartbeat.drains.position.AssumeEra(this->drains.position.era);
  heartbeat.drains.changedPosition.AssumeEra(this->drains.position.era);
  return heartbeat;
}

std::vector<steer::ServerChange>
Replicator::OnHeartbeat(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow)
{
  if (this->LacksEras(aHeartbeat)) {
    return this->OnHeartbeat(aFrom, this->WithEras(aHeartbeat), aNow);
  }
  bool knewReader = this->members.KnowsReader(aNow);
  this->members.OnHeartbeat(aFrom, aHeartbeat, aNow);
  this->quotaSharing.OnHeartbeat(aHeartbeat, aNow);
  if (!knewReader && this->members.KnowsReader(aNow)) {
    // Announces this instance to the reader at once.
    this->lastHelloAt = kNever;
  }
  if (aHeartbeat.wantsAnswer) {
    this->replyTo.push_back(aFrom);
  }
  if (!this->reads && aHeartbeat.reads &&
      aHeartbeat.zone == this->options.zone) {
    this->fleetSize = aHeartbeat.fleetSize;
    this->zoneSize = aHeartbeat.zoneSize;
    this->heardReader = true;
  }
  this->OnHeartbeatDrains(aHeartbeat, aNow);
  bool newVerdict = aHeartbeat.zone == this->options.zone &&
                    this->verdicts.OnPeerVerdicts(aHeartbeat.verdicts, aNow);
  // A follower passes on none, but may become a reader.
  this->verdictPending = this->verdictPending || (newVerdict && this->reads);
  if (!aHeartbeat.hasView) {
    return {};
  }
  if (aHeartbeat.storeBackAge >= 0) {
    this->storeBackAt =
      std::max(this->storeBackAt, aNow - aHeartbeat.storeBackAge);
  }
  std::vector<steer::ServerChange> newChanges;
  const ChangeRange& recent = aHeartbeat.recent;
  bool isContiguous = this->hasServers &&
                      recent.from <= this->servers.position &&
                      recent.to > this->servers.position;
  if (isContiguous) {
    for (const steer::ServerChange& change : recent.changes) {
      if (change.position > this->servers.position) {
        newChanges.push_back(change);
      }
    }
    this->changeLog.Add(newChanges, recent.to, aNow);
    this->servers.position = recent.to;
    this->updatePending = this->updatePending || !newChanges.empty();
  }
  this->CompareWithPeer(aFrom, aHeartbeat, aNow);
  return newChanges;
}

void
Replicator::SetVerdicts(std::span<const Verdict> aVerdicts, Micros aNow)
{
  if (this->verdicts.SetOwn(aVerdicts, aNow)) {
    this->verdictPending = true;
  }
}

// Applies the peer's confirmations of the configuration and of the servers
// where this instance is not behind the peer, and records the peer where it is.
void
Replicator::CompareWithPeer(Address aFrom,
                            const Heartbeat& aHeartbeat,
                            Micros aNow)
{
  bool configBehind = aHeartbeat.configVersion > this->configVersion;
  bool serversBehind =
    !this->hasServers || aHeartbeat.serversPosition > this->servers.position;
  if (!configBehind && this->configVersion > 0) {
    this->config.Confirm(aHeartbeat.configPosition,
                         aNow - aHeartbeat.configAge);
  }
  if (!serversBehind) {
    this->servers.Confirm(aHeartbeat.serversPosition,
                          aNow - aHeartbeat.serversAge);
  }
  bool drainsBehind = this->options.drains && aHeartbeat.drainsLeftOut &&
                      aHeartbeat.drains.changedPosition > this->drains.position;
  if (!configBehind && !serversBehind && !drainsBehind) {
    return;
  }
  if (!this->IsBehind()) {
    this->behindSince = aNow;
  }
  this->aheadConfigVersion = aHeartbeat.configVersion;
  this->aheadServersPosition = aHeartbeat.serversPosition;
  this->aheadDrainsPosition =
    drainsBehind ? aHeartbeat.drains.changedPosition : StorePosition{};
  this->aheadPeer = aFrom;
}

bool
Replicator::IsBehind() const
{
  return this->aheadConfigVersion > this->configVersion ||
         this->aheadServersPosition > this->servers.position ||
         this->aheadDrainsPosition > this->drains.position;
}

std::optional<ViewRequest>
Replicator::NextViewRequest(Micros aNow) const
{
  if (!this->IsBehind()) {
    return std::nullopt;
  }
  Micros wait = this->reads && this->storeAnswers ? kReaderViewRequestDelay
                                                  : kViewRequestDelay;
  bool configBehind = this->aheadConfigVersion > this->configVersion;
  bool serversBehind =
    !this->hasServers || this->aheadServersPosition > this->servers.position;
  bool urgent = !this->HasView() || (!this->reads && configBehind);
  bool waited = aNow - this->behindSince >= wait;
  if (!urgent && !waited) {
    return std::nullopt;
  }
  // The next datagrams may still bring missing changes of servers, so those are
  // requested only after the delay or without a view.
  return ViewRequest{ this->aheadPeer,
                      serversBehind && (waited || !this->HasView()) };
}

bool
Replicator::Stale(Micros aNow) const
{
  Micros oldest = std::min(this->config.confirmedAt, this->servers.confirmedAt);
  Micros quiet = this->options.watchWait + kStaleMargin;
  return aNow - oldest > std::max(kStaleTime, quiet);
}

void
Replicator::Tick(Micros aNow)
{
  this->members.Evict(aNow);
  if (this->reads) {
    this->fleetSize = this->members.FleetSize();
    this->zoneSize = this->members.ZoneSize();
    this->CheckStepDown(aNow);
  } else {
    this->CheckTakeover(aNow);
  }
  bool leads = this->reads && !this->HasBetterReader(aNow);
  this->quotaSharing.Tick(this->members, leads, aNow);
}

OpeningPeers
Replicator::FindOpeningPeers(Micros aNow) const
{
  OpeningPeers peers;
  for (const auto& [address, member] : this->members.All()) {
    bool sameZone = this->members.IsSameZone(member);
    if (sameZone) {
      peers.sameZone.push_back(address);
    }
    if (sameZone || member.reads) {
      peers.addresses.push_back(address);
    }
  }
  bool settled = aNow - this->startedReadingAt >= kReaderSettleTime;
  peers.knowsZone = this->options.standalone || (this->reads && settled);
  return peers;
}

}
