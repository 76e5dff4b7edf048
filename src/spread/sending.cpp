// Which heartbeats an instance sends, and to whom.
#include "spread/spread.h"

#include <algorithm>

namespace gentianspindle::spread {

namespace {

// Number of members that a reader's heartbeat or a reply lists at most.
constexpr size_t kListedMembers = 12;
// Number of members that a follower without a reader or a view queries at most,
// beside the seeds.
constexpr size_t kQueriedMembers = 3;

}

Heartbeat
Replicator::MakeHeartbeat(Micros aNow)
{
  Heartbeat heartbeat;
  heartbeat.zone = this->options.zone;
  heartbeat.cores = this->options.cores;
  heartbeat.reads = this->reads;
  heartbeat.storeAnswers = this->storeAnswers;
  heartbeat.hasView = this->HasView();
  heartbeat.configVersion = this->configVersion;
  heartbeat.configPosition = this->config.position;
  // An unknown age is counted from kNever, so it is sent as more than 1000 s.
  heartbeat.configAge = aNow - this->config.confirmedAt;
  heartbeat.serversPosition = this->servers.position;
  heartbeat.serversAge = aNow - this->servers.confirmedAt;
  this->PutDrainsInto(heartbeat, aNow);
  heartbeat.storeBackAge =
    this->storeBackAt == kNever ? -1 : aNow - this->storeBackAt;
  heartbeat.recent = { this->servers.position, this->servers.position, {} };
  heartbeat.zoneSize = this->members.ZoneSize();
  heartbeat.fleetSize = this->fleetSize;
  heartbeat.verdicts = this->verdicts.Newest(this->reads, aNow);
  heartbeat.quotaHolders = this->quotaSharing.List();
  heartbeat.handsOutQuota = this->quotaSharing.HandsOut();
  return heartbeat;
}

void
Replicator::PutDrainsInto(Heartbeat& aHeartbeat, Micros aNow) const
{
  aHeartbeat.drains.position = this->drains.position;
  aHeartbeat.drains.changedPosition = this->drains.changedPosition;
  aHeartbeat.drainsAge = aNow - this->drainsConfirmedAt;
  size_t bytes = 0;
  for (const std::string& zone : this->drains.zones) {
    bytes += zone.size();
  }
  aHeartbeat.drainsLeftOut = this->drains.zones.size() > kMaxDrainedZones ||
                             bytes > kMaxDrainedZoneBytes;
  if (!aHeartbeat.drainsLeftOut) {
    aHeartbeat.drains.zones = this->drains.zones;
  }
}

void
Replicator::AppendReaderHeartbeats(std::vector<OutgoingHeartbeat>& aHeartbeats,
                                   Micros aNow)
{
  std::vector<Address> to;
  for (const auto& [address, member] : this->members.All()) {
    if (this->members.IsSameZone(member)) {
      to.push_back(address);
    }
  }
  std::vector<ReaderAddress> remote = this->members.RemoteReaders();
  for (const ReaderAddress& reader : remote) {
    to.push_back(reader.address);
  }
  Heartbeat heartbeat = this->MakeHeartbeat(aNow);
  heartbeat.members = this->members.SampleSameZone(kListedMembers);
  heartbeat.readers = std::move(remote);
  // Only the first datagram lists members, readers, verdicts and holders.
  for (ChangeRange& range : this->changeLog.RecentRanges(aNow)) {
    heartbeat.recent = std::move(range);
    aHeartbeats.push_back({ to, heartbeat });
    heartbeat.members.clear();
    heartbeat.readers.clear();
    heartbeat.verdicts.clear();
    heartbeat.quotaHolders.clear();
  }
  ++this->heartbeatCount;
  if (this->heartbeatCount % kHeartbeatsPerSeedQuery == 0 &&
      !this->options.seeds.empty()) {
    Heartbeat query = this->MakeHeartbeat(aNow);
    query.wantsAnswer = true;
    Address seed =
      this->options.seeds[this->random() % this->options.seeds.size()];
    aHeartbeats.push_back({ { seed }, std::move(query) });
  }
}

std::vector<Address>
Replicator::ReaderQueryTargets()
{
  std::vector<Address> targets = this->members.SampleSameZone(kQueriedMembers);
  targets.insert(
    targets.end(), this->options.seeds.begin(), this->options.seeds.end());
  std::sort(targets.begin(), targets.end());
  targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
  return targets;
}

// The hello goes to the readers of this zone. Without a known reader or a view
// it goes to members and seeds, which may know a reader, and asks for a reply.
void
Replicator::AppendHello(std::vector<OutgoingHeartbeat>& aHeartbeats,
                        Micros aNow)
{
  OutgoingHeartbeat hello{ {}, this->MakeHeartbeat(aNow) };
  for (const auto& [address, member] : this->members.All()) {
    if (member.MayBeReader(aNow) && this->members.IsSameZone(member)) {
      hello.to.push_back(address);
    }
  }
  if (hello.to.empty() || !this->HasView()) {
    hello.heartbeat.wantsAnswer = true;
    hello.to = this->ReaderQueryTargets();
  }
  if (!hello.to.empty()) {
    aHeartbeats.push_back(std::move(hello));
  }
}

void
Replicator::AppendReplies(std::vector<OutgoingHeartbeat>& aHeartbeats,
                          Micros aNow)
{
  if (this->replyTo.empty()) {
    return;
  }
  Heartbeat heartbeat = this->MakeHeartbeat(aNow);
  heartbeat.members = this->members.SampleSameZone(kListedMembers);
  heartbeat.readers = this->members.RemoteReaders();
  for (const auto& [address, member] : this->members.All()) {
    if (member.Reads(aNow) && this->members.IsSameZone(member)) {
      heartbeat.readers.push_back({ address, member.zone });
    }
  }
  aHeartbeats.push_back({ std::move(this->replyTo), std::move(heartbeat) });
  this->replyTo.clear();
}

std::vector<OutgoingHeartbeat>
Replicator::TakeHeartbeats(Micros aNow)
{
  std::vector<OutgoingHeartbeat> heartbeats;
  this->AppendReplies(heartbeats, aNow);
  if (this->reads) {
    Micros since = aNow - this->lastHeartbeatAt;
    bool due = since >= kHeartbeatPeriod ||
               (this->updatePending && since >= kMinHeartbeatGap) ||
               (this->verdictPending && since >= kMinVerdictGap);
    if (due) {
      this->lastHeartbeatAt = aNow;
      this->updatePending = false;
      this->verdictPending = false;
      this->AppendReaderHeartbeats(heartbeats, aNow);
    }
    return heartbeats;
  }
  bool settled = this->HasView() && this->members.KnowsReader(aNow);
  Micros period = settled ? kHelloPeriod : kJoinHelloPeriod;
  Micros since = aNow - this->lastHelloAt;
  bool early = this->verdictPending && since >= kMinVerdictGap;
  if (since >= period || early) {
    this->lastHelloAt = aNow;
    this->verdictPending = false;
    this->AppendHello(heartbeats, aNow);
  }
  return heartbeats;
}

}
