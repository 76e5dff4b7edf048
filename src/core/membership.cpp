#include "core/membership.h"

#include <algorithm>
#include <bit>

namespace gentianspindle {

namespace {

// Number of members that SendUpdates sends updates to.
constexpr uint32_t kUpdateRecipients = 3;
// Max. indirect probes that one instance tracks; one more discards all others.
constexpr size_t kMaxIndirectProbes = 64;
// If no Ack has come after the period divided by this, other members are asked
// for indirect probes.
constexpr Micros kDirectAckDivisor = 3;
// An update is sent this many times the bit width of the number of members.
constexpr uint32_t kUpdateSendFactor = 3;
// Number of random members whose status each probe repeats, which compensates
// for lost updates.
constexpr uint32_t kRepeatedUpdates = 2;

// At the same incarnation, the status with the higher precedence wins: dead
// over leaving, leaving over suspect, suspect over alive.
int
Precedence(MemberStatus aStatus)
{
  switch (aStatus) {
    case MemberStatus::Alive:
      return 0;
    case MemberStatus::Suspect:
      return 1;
    case MemberStatus::Leaving:
      return 2;
    case MemberStatus::Dead:
      return 3;
  }
  return 0;
}

}

Membership::Membership(const MembershipOptions& aOptions,
                       InstanceId aSelf,
                       std::string_view aZone,
                       std::span<const InstanceId> aSeeds,
                       uint64_t aRandomSeed)
  : options(aOptions)
  , self{ aSelf, std::string(aZone), MemberStatus::Alive, 1, 0 }
  , random(aRandomSeed)
{
  for (InstanceId seed : aSeeds) {
    if (seed != aSelf) {
      this->seeds.push_back(seed);
    }
  }
}

Micros
Membership::SuspicionTime() const
{
  return this->options.period * this->options.suspectPeriods;
}

uint32_t
Membership::UpdateSends() const
{
  return kUpdateSendFactor *
         static_cast<uint32_t>(std::bit_width(this->members.size() + 1));
}

void
Membership::SetStatus(MemberRecord& aRecord, MemberStatus aStatus, Micros aNow)
{
  aRecord.update.status = aStatus;
  aRecord.since = aNow;
  aRecord.sendsLeft = this->UpdateSends();
  ++this->changes;
}

void
Membership::OnTick(Micros aNow, std::vector<OutgoingProbe>& aOut)
{
  for (auto it = this->members.begin(); it != this->members.end();) {
    MemberRecord& record = it->second;
    Micros age = aNow - record.since;
    if (record.update.status == MemberStatus::Suspect &&
        age >= this->SuspicionTime()) {
      this->SetStatus(record, MemberStatus::Dead, aNow);
    }
    bool expired = record.update.status == MemberStatus::Dead &&
                   age >= this->options.evictAfter;
    it = expired ? this->members.erase(it) : std::next(it);
    this->changes += expired ? 1 : 0;
  }
  Micros age = aNow - this->periodStart;
  bool ackLate = age >= this->options.period / kDirectAckDivisor;
  if (ackLate && !this->acked && !this->askedIndirectProbers &&
      this->probed != kNoInstance) {
    this->askedIndirectProbers = true;
    for (InstanceId prober :
         this->RandomMembers(this->options.indirectProbers, this->probed)) {
      aOut.push_back({ prober,
                       this->MakeProbe(ProbeKind::PingRequest,
                                       this->probedSequence,
                                       this->probed) });
    }
  }
  if (age >= this->options.period) {
    this->FinishProbe(aNow);
    this->StartProbe(aNow, aOut);
  }
}

void
Membership::FinishProbe(Micros aNow)
{
  auto found = this->members.find(this->probed);
  if (found == this->members.end() || this->acked) {
    return;
  }
  if (found->second.update.status == MemberStatus::Leaving) {
    // It announced that it leaves, so it is removed. A dead member would stay
    // as unreachable, which can leave the servers of its zone without an owner.
    this->members.erase(found);
    ++this->changes;
    return;
  }
  if (found->second.update.status == MemberStatus::Alive) {
    this->SetStatus(found->second, MemberStatus::Suspect, aNow);
  }
}

void
Membership::StartProbe(Micros aNow, std::vector<OutgoingProbe>& aOut)
{
  this->periodStart = aNow;
  this->acked = false;
  this->askedIndirectProbers = false;
  this->probed = this->NextTarget();
  this->ProbeDeadOrSeed(aOut);
  if (this->probed == kNoInstance) {
    return;
  }
  this->probedSequence = ++this->sequence;
  aOut.push_back(
    { this->probed,
      this->MakeProbe(ProbeKind::Ping, this->probedSequence, this->probed) });
}

// Probes one unknown seed or dead member each period, so that parts of the
// fleet find each other again after a network partition.
void
Membership::ProbeDeadOrSeed(std::vector<OutgoingProbe>& aOut)
{
  std::vector<InstanceId> unreachable;
  for (InstanceId seed : this->seeds) {
    if (!this->members.contains(seed)) {
      unreachable.push_back(seed);
    }
  }
  for (const auto& [instance, record] : this->members) {
    if (record.update.status == MemberStatus::Dead) {
      unreachable.push_back(instance);
    }
  }
  if (unreachable.empty()) {
    return;
  }
  InstanceId peer = unreachable[this->random() % unreachable.size()];
  aOut.push_back(
    { peer, this->MakeProbe(ProbeKind::Join, ++this->sequence, peer) });
}

// Each round probes all members but dead ones once, in random order.
InstanceId
Membership::NextTarget()
{
  if (this->round.empty()) {
    for (const auto& [instance, record] : this->members) {
      this->round.push_back(instance);
    }
    std::shuffle(this->round.begin(), this->round.end(), this->random);
  }
  while (!this->round.empty()) {
    InstanceId target = this->round.back();
    this->round.pop_back();
    auto found = this->members.find(target);
    if (found != this->members.end() &&
        found->second.update.status != MemberStatus::Dead) {
      return target;
    }
  }
  return kNoInstance;
}

std::vector<InstanceId>
Membership::RandomMembers(uint32_t aCount, InstanceId aExcept)
{
  std::vector<InstanceId> all;
  for (const auto& [instance, record] : this->members) {
    if (instance != aExcept && record.update.status != MemberStatus::Dead) {
      all.push_back(instance);
    }
  }
  std::shuffle(all.begin(), all.end(), this->random);
  all.resize(std::min<size_t>(aCount, all.size()));
  return all;
}

Probe
Membership::MakeProbe(ProbeKind aKind, int64_t aSequence, InstanceId aTarget)
{
  Probe probe{ aKind, aSequence, aTarget, { this->self } };
  for (auto& [instance, record] : this->members) {
    if (record.sendsLeft > 0 &&
        probe.updates.size() <= this->options.updatesPerProbe) {
      --record.sendsLeft;
      probe.updates.push_back(record.update);
    }
  }
  if (this->members.empty()) {
    return probe;
  }
  for (uint32_t i = 0; i < kRepeatedUpdates; ++i) {
    auto any = this->members.begin();
    std::advance(any, this->random() % this->members.size());
    probe.updates.push_back(any->second.update);
  }
  return probe;
}

void
Membership::OnProbe(InstanceId aFrom,
                    const Probe& aProbe,
                    Micros aNow,
                    std::vector<OutgoingProbe>& aOut)
{
  for (const MemberUpdate& update : aProbe.updates) {
    this->ApplyUpdate(update, aNow);
  }
  switch (aProbe.kind) {
    case ProbeKind::Ping:
      aOut.push_back(
        { aFrom,
          this->MakeProbe(ProbeKind::Ack, aProbe.sequence, aProbe.target) });
      break;
    case ProbeKind::Join: {
      Probe reply =
        this->MakeProbe(ProbeKind::Ack, aProbe.sequence, kNoInstance);
      for (const auto& [instance, record] : this->members) {
        if (reply.updates.size() <= this->options.updatesPerProbe * 2) {
          reply.updates.push_back(record.update);
        }
      }
      aOut.push_back({ aFrom, std::move(reply) });
      break;
    }
    case ProbeKind::PingRequest:
      if (this->indirectProbes.size() >= kMaxIndirectProbes) {
        this->indirectProbes.clear();
      }
      this->indirectProbes[++this->sequence] = { aFrom, aProbe.sequence };
      aOut.push_back(
        { aProbe.target,
          this->MakeProbe(ProbeKind::Ping, this->sequence, aProbe.target) });
      break;
    case ProbeKind::Ack: {
      if (aProbe.sequence == this->probedSequence &&
          aProbe.target == this->probed) {
        this->acked = true;
      }
      auto pending = this->indirectProbes.find(aProbe.sequence);
      if (pending != this->indirectProbes.end()) {
        aOut.push_back({ pending->second.requester,
                         this->MakeProbe(ProbeKind::Ack,
                                         pending->second.sequence,
                                         aProbe.target) });
        this->indirectProbes.erase(pending);
      }
      break;
    }
  }
}

void
Membership::ApplyUpdate(const MemberUpdate& aUpdate, Micros aNow)
{
  if (aUpdate.instance == this->self.instance) {
    this->ApplySelfUpdate(aUpdate);
    return;
  }
  auto [position, inserted] = this->members.try_emplace(aUpdate.instance);
  MemberRecord& record = position->second;
  if (inserted) {
    record.update = aUpdate;
    this->SetStatus(record, aUpdate.status, aNow);
    return;
  }
  record.update.tableVersion =
    std::max(record.update.tableVersion, aUpdate.tableVersion);
  bool newer = aUpdate.incarnation > record.update.incarnation ||
               (aUpdate.incarnation == record.update.incarnation &&
                Precedence(aUpdate.status) > Precedence(record.update.status));
  if (!newer) {
    return;
  }
  bool changed = aUpdate.status != record.update.status;
  record.update.incarnation = aUpdate.incarnation;
  record.update.zone = aUpdate.zone;
  record.sendsLeft = this->UpdateSends();
  if (changed) {
    this->SetStatus(record, aUpdate.status, aNow);
  }
}

// Refutes a wrong update about this instance by a higher incarnation. The
// update may also be about an earlier process at the same address.
void
Membership::ApplySelfUpdate(const MemberUpdate& aUpdate)
{
  if (aUpdate.incarnation < this->self.incarnation) {
    return;
  }
  bool same = aUpdate.incarnation == this->self.incarnation &&
              aUpdate.status == this->self.status;
  if (same) {
    return;
  }
  this->declaredDead =
    this->declaredDead || aUpdate.status == MemberStatus::Dead;
  this->self.incarnation = aUpdate.incarnation + 1;
}

void
Membership::Leave()
{
  this->self.status = MemberStatus::Leaving;
  ++this->self.incarnation;
  ++this->changes;
}

void
Membership::SetTableVersion(int64_t aVersion)
{
  this->self.tableVersion = aVersion;
}

void
Membership::SendUpdates(std::vector<OutgoingProbe>& aOut)
{
  for (InstanceId peer : this->RandomMembers(kUpdateRecipients, kNoInstance)) {
    aOut.push_back(
      { peer, this->MakeProbe(ProbeKind::Ping, ++this->sequence, peer) });
  }
}

void
Membership::Evict(InstanceId aInstance)
{
  auto found = this->members.find(aInstance);
  if (found != this->members.end() &&
      found->second.update.status == MemberStatus::Dead) {
    this->members.erase(found);
    ++this->changes;
  }
}

std::vector<Member>
Membership::PossibleOwners() const
{
  std::vector<Member> members;
  if (this->self.status != MemberStatus::Leaving) {
    members.push_back({ this->self.instance, this->self.zone, true });
  }
  for (const auto& [instance, record] : this->members) {
    MemberStatus status = record.update.status;
    if (status != MemberStatus::Leaving) {
      members.push_back(
        { instance, record.update.zone, status != MemberStatus::Dead });
    }
  }
  std::sort(members.begin(),
            members.end(),
            [](const Member& aLeft, const Member& aRight) {
              return aLeft.instance < aRight.instance;
            });
  return members;
}

std::vector<MemberUpdate>
Membership::All() const
{
  std::vector<MemberUpdate> all{ this->self };
  for (const auto& [instance, record] : this->members) {
    all.push_back(record.update);
  }
  return all;
}

bool
Membership::TakeDeclaredDead()
{
  bool was = this->declaredDead;
  this->declaredDead = false;
  return was;
}

}
