#include "spread/spread.h"

#include <algorithm>
#include <cmath>

namespace gentianspindle::spread {

namespace {

// Members that one beat names, and members that one without a reader asks.
constexpr size_t kNamedMembers = 12;
constexpr size_t kAskedMembers = 3;
// Each of so many beats also goes to a seed, so that parts of a fleet that do
// not know each other meet.
constexpr uint32_t kSeedEvery = 5;

}

void
Freshness::Confirm(uint64_t aRevision, Micros aAt)
{
  this->revision = std::max(this->revision, aRevision);
  this->confirmedAt = std::max(this->confirmedAt, aAt);
}

Replicator::Replicator(const ReplicatorOptions& aOptions)
  : options(aOptions)
  , members(aOptions.self, aOptions.zone, aOptions.randomSeed)
  , random(aOptions.randomSeed)
{
  std::erase(this->options.seeds, aOptions.self);
}

Micros
Replicator::RandomDelay(Micros aMax)
{
  return static_cast<Micros>(this->random() % static_cast<uint64_t>(aMax));
}

// The store was away if nobody could confirm the view for long. One that
// begins to read just then has lost no call of its own that would tell.
void
Replicator::NoteAnswer(Micros aNow)
{
  bool paused =
    this->config.confirmedAt == kNever || this->servers.confirmedAt == kNever;
  if (this->HasView() && !paused && this->Stale(aNow)) {
    this->OnStoreBack(aNow);
  }
  this->storeAnswers = true;
}

void
Replicator::OnConfigAnswer(int64_t aVersion, uint64_t aRevision, Micros aNow)
{
  this->NoteAnswer(aNow);
  this->news = this->news || aVersion > this->configVersion;
  this->configVersion = std::max(this->configVersion, aVersion);
  this->config.Confirm(aRevision, aNow);
}

void
Replicator::OnServersList(uint64_t aRevision, Micros aNow)
{
  this->NoteAnswer(aNow);
  this->hasServers = true;
  this->news = true;
  this->log.StartAt(aRevision);
  this->servers.Confirm(aRevision, aNow);
}

void
Replicator::OnServersChanges(std::span<const steer::ServerChange> aChanges,
                             uint64_t aRevision,
                             Micros aNow)
{
  this->NoteAnswer(aNow);
  this->news = this->news || !aChanges.empty();
  this->log.Add(aChanges, aRevision, aNow);
  this->servers.Confirm(aRevision, aNow);
}

void
Replicator::OnStoreBack(Micros aNow)
{
  this->storeBackAt = aNow;
  this->news = true;
}

void
Replicator::OnProcessPause()
{
  this->config.confirmedAt = kNever;
  this->servers.confirmedAt = kNever;
}

void
Replicator::OnPeerConfig(int64_t aVersion, uint64_t aRevision)
{
  this->configVersion = std::max(this->configVersion, aVersion);
  this->config.revision = std::max(this->config.revision, aRevision);
  this->news = true;
}

void
Replicator::OnPeerServers(uint64_t aRevision)
{
  this->hasServers = true;
  if (aRevision > this->servers.revision) {
    this->servers.revision = aRevision;
    this->log.StartAt(aRevision);
  }
  this->news = true;
}

// Beside a better reader one trial is enough.
void
Replicator::OnStoreLost(Micros aNow)
{
  this->storeAnswers = false;
  if (this->reads && this->HasBetter(aNow)) {
    this->StopReading(aNow);
  }
}

std::vector<steer::ServerChange>
Replicator::OnHeartbeat(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow)
{
  bool knewReader = this->members.KnowsReader(aNow);
  this->members.OnHeartbeat(aFrom, aHeartbeat, aNow);
  if (!knewReader && this->members.KnowsReader(aNow)) {
    this->lastHelloAt = kNever;
  }
  if (aHeartbeat.wantsAnswer) {
    this->answerTo.push_back(aFrom);
  }
  if (!this->reads && aHeartbeat.reads &&
      aHeartbeat.zone == this->options.zone) {
    this->fleetSize = aHeartbeat.fleetSize;
    this->followed = true;
  }
  if (!aHeartbeat.hasView) {
    return {};
  }
  if (aHeartbeat.storeBackAge >= 0) {
    this->storeBackAt =
      std::max(this->storeBackAt, aNow - aHeartbeat.storeBackAge);
  }
  std::vector<steer::ServerChange> fresh;
  const ChangeRange& recent = aHeartbeat.recent;
  bool follows = this->hasServers && recent.from <= this->servers.revision &&
                 recent.to > this->servers.revision;
  if (follows) {
    for (const steer::ServerChange& change : recent.changes) {
      if (change.revision > this->servers.revision) {
        fresh.push_back(change);
      }
    }
    this->log.Add(fresh, recent.to, aNow);
    this->servers.revision = recent.to;
    this->news = this->news || !fresh.empty();
  }
  this->NoteBehind(aFrom, aHeartbeat, aNow);
  return fresh;
}

// What a peer confirms holds here too where this instance knows as much.
void
Replicator::NoteBehind(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow)
{
  bool oldConfig = aHeartbeat.configVersion > this->configVersion;
  bool oldServers =
    !this->hasServers || aHeartbeat.serversRevision > this->servers.revision;
  if (!oldConfig && this->configVersion > 0) {
    this->config.Confirm(aHeartbeat.configRevision,
                         aNow - aHeartbeat.configAge);
  }
  if (!oldServers) {
    this->servers.Confirm(this->servers.revision, aNow - aHeartbeat.serversAge);
  }
  if (!oldConfig && !oldServers) {
    return;
  }
  if (!this->IsBehind()) {
    this->behindSince = aNow;
  }
  this->behindVersion = aHeartbeat.configVersion;
  this->behindRevision = aHeartbeat.serversRevision;
  this->behindWhom = aFrom;
}

bool
Replicator::IsBehind() const
{
  return this->behindVersion > this->configVersion ||
         this->behindRevision > this->servers.revision;
}

std::optional<ViewRequest>
Replicator::NextViewRequest(Micros aNow) const
{
  if (!this->IsBehind()) {
    return std::nullopt;
  }
  Micros wait = this->reads && this->storeAnswers ? kReaderGapTime : kGapTime;
  bool oldConfig = this->behindVersion > this->configVersion;
  bool oldServers =
    !this->hasServers || this->behindRevision > this->servers.revision;
  bool urgent = !this->HasView() || (!this->reads && oldConfig);
  bool waited = aNow - this->behindSince >= wait;
  if (!urgent && !waited) {
    return std::nullopt;
  }
  // Changes of servers that are late may still come.
  return ViewRequest{ this->behindWhom,
                      oldServers && (waited || !this->HasView()) };
}

bool
Replicator::Stale(Micros aNow) const
{
  Micros oldest = std::min(this->config.confirmedAt, this->servers.confirmedAt);
  return aNow - oldest > kStaleTime;
}

// One that the store answers goes first, then the larger, then the smaller
// address; so all agree who reads.
bool
ReaderRank::IsBetter(const ReaderRank& aOther) const
{
  if (this->storeAnswers != aOther.storeAnswers) {
    return this->storeAnswers;
  }
  if (this->cores != aOther.cores) {
    return this->cores > aOther.cores;
  }
  return this->address < aOther.address;
}

ReaderRank
Replicator::OwnRank() const
{
  return { this->storeAnswers, this->options.cores, this->options.self };
}

// Of this zone, without this instance.
std::optional<ReaderRank>
Replicator::BestReader(Micros aNow) const
{
  std::optional<ReaderRank> best;
  for (const auto& [address, member] : this->members.All()) {
    if (!member.Reads(aNow) || !this->members.IsSameZone(member)) {
      continue;
    }
    ReaderRank rank{ member.storeAnswers, member.cores, address };
    best = !best || rank.IsBetter(*best) ? rank : best;
  }
  return best;
}

void
Replicator::Tick(Micros aNow)
{
  this->members.Forget(aNow);
  if (this->reads) {
    this->fleetSize = this->members.FleetSize();
    this->DecideReading(aNow);
  } else {
    this->DecideFollowing(aNow);
  }
}

bool
Replicator::HasBetter(Micros aNow) const
{
  std::optional<ReaderRank> best = this->BestReader(aNow);
  return best && best->IsBetter(this->OwnRank());
}

void
Replicator::DecideReading(Micros aNow)
{
  if (!this->HasBetter(aNow)) {
    this->betterSince = 0;
    return;
  }
  this->betterSince = this->betterSince == 0 ? aNow : this->betterSince;
  if (aNow - this->betterSince >= kStepDownTime) {
    this->StopReading(aNow);
  }
}

ReadReason
Replicator::WhyRead(const std::optional<ReaderRank>& aBest, Micros aNow) const
{
  if (!aBest) {
    return ReadReason::NoReader;
  }
  if (this->Stale(aNow) && aNow >= this->nextTrialAt) {
    return ReadReason::Stale;
  }
  bool larger =
    this->options.cores > aBest->cores && aNow - this->stoppedAt > kUpgradeTime;
  return larger ? ReadReason::Larger : ReadReason::None;
}

Micros
Replicator::TakeOverDelay(ReadReason aReason)
{
  Micros size = this->members.ZoneSize();
  if (aReason == ReadReason::Stale) {
    return this->RandomDelay(size * kTrialEach);
  }
  double part = 1 / (1 + 4 * this->options.cores);
  Micros longest = this->followed ? kTakeOverTime : kFirstTakeOverTime;
  longest += size * kTakeOverEach;
  longest = static_cast<Micros>(part * static_cast<double>(longest));
  Micros least = this->followed ? longest / 2 : kFirstTakeOver;
  return least + this->RandomDelay(longest / 2 + kMillisecond);
}

void
Replicator::DecideFollowing(Micros aNow)
{
  ReadReason reason = this->WhyRead(this->BestReader(aNow), aNow);
  if (reason != this->takeOverWhy) {
    this->takeOverWhy = reason;
    this->takeOverAt = aNow + this->TakeOverDelay(reason);
  }
  bool due = this->options.alone || aNow >= this->takeOverAt;
  if (reason != ReadReason::None && due) {
    this->StartReading(reason, aNow);
  }
}

void
Replicator::StartReading(ReadReason aWhy, Micros aNow)
{
  this->reads = true;
  this->why = aWhy;
  this->storeAnswers = false;
  this->takeOverWhy = ReadReason::None;
  this->betterSince = 0;
  this->fleetSize = this->members.FleetSize();
  // The first beat also goes to a seed.
  this->beats = kSeedEvery - 1;
  this->lastHeartbeatAt = aNow - kHeartbeatPeriod;
}

void
Replicator::StopReading(Micros aNow)
{
  this->reads = false;
  this->why = ReadReason::BetterReader;
  this->betterSince = 0;
  this->stoppedAt = aNow;
  this->nextTrialAt = aNow + kTrialPause + this->RandomDelay(kTrialPause);
  // The other reader and the seeds hear at once that this one follows.
  this->lastHelloAt = kNever;
}

Heartbeat
Replicator::MakeHeartbeat(Micros aNow)
{
  Heartbeat beat;
  beat.zone = this->options.zone;
  beat.cores = this->options.cores;
  beat.reads = this->reads;
  beat.storeAnswers = this->storeAnswers;
  beat.hasView = this->HasView();
  beat.configVersion = this->configVersion;
  beat.configRevision = this->config.revision;
  beat.configAge = aNow - this->config.confirmedAt;
  beat.serversRevision = this->servers.revision;
  beat.serversAge = aNow - this->servers.confirmedAt;
  beat.storeBackAge =
    this->storeBackAt == kNever ? -1 : aNow - this->storeBackAt;
  beat.recent = { this->servers.revision, this->servers.revision, {} };
  beat.zoneSize = this->members.ZoneSize();
  beat.fleetSize = this->fleetSize;
  return beat;
}

void
Replicator::SendToAll(std::vector<OutgoingHeartbeat>& aSendings, Micros aNow)
{
  std::vector<Address> to;
  for (const auto& [address, member] : this->members.All()) {
    if (this->members.IsSameZone(member)) {
      to.push_back(address);
    }
  }
  std::vector<ReaderAddress> far = this->members.RemoteReaders();
  for (const ReaderAddress& reader : far) {
    to.push_back(reader.address);
  }
  Heartbeat beat = this->MakeHeartbeat(aNow);
  beat.members = this->members.SampleSameZone(kNamedMembers);
  beat.readers = std::move(far);
  for (ChangeRange& range : this->log.Recent(aNow)) {
    beat.recent = std::move(range);
    aSendings.push_back({ to, beat });
    beat.members.clear();
    beat.readers.clear();
  }
  ++this->beats;
  if (this->beats % kSeedEvery == 0 && !this->options.seeds.empty()) {
    Heartbeat question = this->MakeHeartbeat(aNow);
    question.wantsAnswer = true;
    Address seed =
      this->options.seeds[this->random() % this->options.seeds.size()];
    aSendings.push_back({ { seed }, std::move(question) });
  }
}

std::vector<Address>
Replicator::AskedForReaders()
{
  std::vector<Address> asked = this->members.SampleSameZone(kAskedMembers);
  asked.insert(
    asked.end(), this->options.seeds.begin(), this->options.seeds.end());
  std::sort(asked.begin(), asked.end());
  asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
  return asked;
}

// To the readers of this zone; where none is known, to whoever may name one.
void
Replicator::SendHello(std::vector<OutgoingHeartbeat>& aSendings, Micros aNow)
{
  OutgoingHeartbeat hello{ {}, this->MakeHeartbeat(aNow) };
  for (const auto& [address, member] : this->members.All()) {
    if (member.MayRead(aNow) && this->members.IsSameZone(member)) {
      hello.to.push_back(address);
    }
  }
  if (hello.to.empty() || !this->HasView()) {
    hello.beat.wantsAnswer = true;
    hello.to = this->AskedForReaders();
  }
  if (!hello.to.empty()) {
    aSendings.push_back(std::move(hello));
  }
}

void
Replicator::SendAnswers(std::vector<OutgoingHeartbeat>& aSendings, Micros aNow)
{
  if (this->answerTo.empty()) {
    return;
  }
  Heartbeat beat = this->MakeHeartbeat(aNow);
  beat.members = this->members.SampleSameZone(kNamedMembers);
  beat.readers = this->members.RemoteReaders();
  for (const auto& [address, member] : this->members.All()) {
    if (member.Reads(aNow) && this->members.IsSameZone(member)) {
      beat.readers.push_back({ address, member.zone });
    }
  }
  aSendings.push_back({ std::move(this->answerTo), std::move(beat) });
  this->answerTo.clear();
}

std::vector<OutgoingHeartbeat>
Replicator::TakeHeartbeats(Micros aNow)
{
  std::vector<OutgoingHeartbeat> sendings;
  this->SendAnswers(sendings, aNow);
  if (this->reads) {
    Micros since = aNow - this->lastHeartbeatAt;
    bool due =
      since >= kHeartbeatPeriod || (this->news && since >= kMinHeartbeatGap);
    if (due) {
      this->lastHeartbeatAt = aNow;
      this->news = false;
      this->SendToAll(sendings, aNow);
    }
    return sendings;
  }
  bool settled = this->HasView() && this->members.KnowsReader(aNow);
  Micros period = settled ? kHelloPeriod : kFirstHelloPeriod;
  if (aNow - this->lastHelloAt >= period) {
    this->lastHelloAt = aNow;
    this->SendHello(sendings, aNow);
  }
  return sendings;
}

}
