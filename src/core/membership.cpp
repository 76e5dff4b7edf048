#include "core/membership.h"

#include <algorithm>
#include <bit>

namespace gentianspindle {

namespace {

// Members told at once when something important changes.
constexpr uint32_t kSpreadMembers = 3;
// Indirect probes that one instance keeps track of.
constexpr size_t kMaxRelayed = 64;
// The direct answer is awaited for this part of a period.
constexpr Micros kDirectShare = 3;
constexpr uint32_t kNewsSendFactor = 3;
// Members whose state goes along without being new, so that a lost piece of
// news is made good.
constexpr uint32_t kOldNews = 2;

// Leaving and dead outweigh suspect, and suspect outweighs alive, at the same
// incarnation.
int
Weight(MemberStatus aStatus)
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
  return kNewsSendFactor *
         static_cast<uint32_t>(std::bit_width(this->members.size() + 1));
}

void
Membership::SetStatus(Known& aKnown, MemberStatus aStatus, Micros aNow)
{
  aKnown.updates.status = aStatus;
  aKnown.since = aNow;
  aKnown.sendsLeft = this->UpdateSends();
  ++this->changes;
}

void
Membership::OnTick(Micros aNow, std::vector<OutgoingProbe>& aOut)
{
  for (auto it = this->members.begin(); it != this->members.end();) {
    Known& known = it->second;
    Micros age = aNow - known.since;
    if (known.updates.status == MemberStatus::Suspect &&
        age >= this->SuspicionTime()) {
      this->SetStatus(known, MemberStatus::Dead, aNow);
    }
    bool forget =
      known.updates.status == MemberStatus::Dead && age >= this->options.forget;
    it = forget ? this->members.erase(it) : std::next(it);
    this->changes += forget ? 1 : 0;
  }
  Micros age = aNow - this->periodStart;
  bool late = age >= this->options.period / kDirectShare;
  if (late && !this->acked && !this->askedHelpers &&
      this->probed != kNoInstance) {
    this->askedHelpers = true;
    for (InstanceId helper :
         this->RandomMembers(this->options.helpers, this->probed)) {
      aOut.push_back({ helper,
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
  if (found->second.updates.status == MemberStatus::Leaving) {
    // It said goodbye; its zone is not cut off without it.
    this->members.erase(found);
    ++this->changes;
    return;
  }
  if (found->second.updates.status == MemberStatus::Alive) {
    this->SetStatus(found->second, MemberStatus::Suspect, aNow);
  }
}

void
Membership::StartProbe(Micros aNow, std::vector<OutgoingProbe>& aOut)
{
  this->periodStart = aNow;
  this->acked = false;
  this->askedHelpers = false;
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

// One seed that is not a live member, or one dead member, is called each
// period, so that parts of the fleet find each other after a cut.
void
Membership::ProbeDeadOrSeed(std::vector<OutgoingProbe>& aOut)
{
  std::vector<InstanceId> lost;
  for (InstanceId seed : this->seeds) {
    if (!this->members.contains(seed)) {
      lost.push_back(seed);
    }
  }
  for (const auto& [instance, known] : this->members) {
    if (known.updates.status == MemberStatus::Dead) {
      lost.push_back(instance);
    }
  }
  if (lost.empty()) {
    return;
  }
  InstanceId peer = lost[this->random() % lost.size()];
  aOut.push_back(
    { peer, this->MakeProbe(ProbeKind::Join, ++this->sequence, peer) });
}

// Each round probes all members once, in random order.
InstanceId
Membership::NextTarget()
{
  if (this->round.empty()) {
    for (const auto& [instance, known] : this->members) {
      this->round.push_back(instance);
    }
    std::shuffle(this->round.begin(), this->round.end(), this->random);
  }
  while (!this->round.empty()) {
    InstanceId target = this->round.back();
    this->round.pop_back();
    auto found = this->members.find(target);
    if (found != this->members.end() &&
        found->second.updates.status != MemberStatus::Dead) {
      return target;
    }
  }
  return kNoInstance;
}

std::vector<InstanceId>
Membership::RandomMembers(uint32_t aCount, InstanceId aExcept)
{
  std::vector<InstanceId> all;
  for (const auto& [instance, known] : this->members) {
    if (instance != aExcept && known.updates.status != MemberStatus::Dead) {
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
  for (auto& [instance, known] : this->members) {
    if (known.sendsLeft > 0 &&
        probe.updates.size() <= this->options.updatesPerProbe) {
      --known.sendsLeft;
      probe.updates.push_back(known.updates);
    }
  }
  if (this->members.empty()) {
    return probe;
  }
  for (uint32_t i = 0; i < kOldNews; ++i) {
    auto any = this->members.begin();
    std::advance(any, this->random() % this->members.size());
    probe.updates.push_back(any->second.updates);
  }
  return probe;
}

void
Membership::OnProbe(InstanceId aFrom,
                    const Probe& aProbe,
                    Micros aNow,
                    std::vector<OutgoingProbe>& aOut)
{
  for (const MemberUpdate& updates : aProbe.updates) {
    this->Learn(updates, aNow);
  }
  switch (aProbe.kind) {
    case ProbeKind::Ping:
      aOut.push_back(
        { aFrom,
          this->MakeProbe(ProbeKind::Ack, aProbe.sequence, aProbe.target) });
      break;
    case ProbeKind::Join: {
      Probe answer =
        this->MakeProbe(ProbeKind::Ack, aProbe.sequence, kNoInstance);
      for (const auto& [instance, known] : this->members) {
        if (answer.updates.size() <= this->options.updatesPerProbe * 2) {
          answer.updates.push_back(known.updates);
        }
      }
      aOut.push_back({ aFrom, std::move(answer) });
      break;
    }
    case ProbeKind::PingRequest:
      if (this->relayed.size() >= kMaxRelayed) {
        this->relayed.clear();
      }
      this->relayed[++this->sequence] = { aFrom, aProbe.sequence };
      aOut.push_back(
        { aProbe.target,
          this->MakeProbe(ProbeKind::Ping, this->sequence, aProbe.target) });
      break;
    case ProbeKind::Ack: {
      if (aProbe.sequence == this->probedSequence &&
          aProbe.target == this->probed) {
        this->acked = true;
      }
      auto asked = this->relayed.find(aProbe.sequence);
      if (asked != this->relayed.end()) {
        aOut.push_back({ asked->second.asker,
                         this->MakeProbe(ProbeKind::Ack,
                                         asked->second.sequence,
                                         aProbe.target) });
        this->relayed.erase(asked);
      }
      break;
    }
  }
}

void
Membership::Learn(const MemberUpdate& aNews, Micros aNow)
{
  if (aNews.instance == this->self.instance) {
    this->LearnOfSelf(aNews);
    return;
  }
  auto [place, fresh] = this->members.try_emplace(aNews.instance);
  Known& known = place->second;
  if (fresh) {
    known.updates = aNews;
    this->SetStatus(known, aNews.status, aNow);
    return;
  }
  known.updates.tableVersion =
    std::max(known.updates.tableVersion, aNews.tableVersion);
  bool newer = aNews.incarnation > known.updates.incarnation ||
               (aNews.incarnation == known.updates.incarnation &&
                Weight(aNews.status) > Weight(known.updates.status));
  if (!newer) {
    return;
  }
  bool changed = aNews.status != known.updates.status;
  known.updates.incarnation = aNews.incarnation;
  known.updates.zone = aNews.zone;
  known.sendsLeft = this->UpdateSends();
  if (changed) {
    this->SetStatus(known, aNews.status, aNow);
  }
}

// Refutes what others wrongly say of this instance, and outlives its own
// former life at the same address.
void
Membership::LearnOfSelf(const MemberUpdate& aNews)
{
  if (aNews.incarnation < this->self.incarnation) {
    return;
  }
  bool same = aNews.incarnation == this->self.incarnation &&
              aNews.status == this->self.status;
  if (same) {
    return;
  }
  this->superseded = this->superseded || aNews.status == MemberStatus::Dead;
  this->self.incarnation = aNews.incarnation + 1;
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
Membership::Spread(std::vector<OutgoingProbe>& aOut)
{
  for (InstanceId peer : this->RandomMembers(kSpreadMembers, kNoInstance)) {
    aOut.push_back(
      { peer, this->MakeProbe(ProbeKind::Ping, ++this->sequence, peer) });
  }
}

void
Membership::Forget(InstanceId aInstance)
{
  auto found = this->members.find(aInstance);
  if (found != this->members.end() &&
      found->second.updates.status == MemberStatus::Dead) {
    this->members.erase(found);
    ++this->changes;
  }
}

std::vector<Member>
Membership::Candidates() const
{
  std::vector<Member> members;
  if (this->self.status != MemberStatus::Leaving) {
    members.push_back({ this->self.instance, this->self.zone, true });
  }
  for (const auto& [instance, known] : this->members) {
    MemberStatus status = known.updates.status;
    if (status != MemberStatus::Leaving) {
      members.push_back(
        { instance, known.updates.zone, status != MemberStatus::Dead });
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
  for (const auto& [instance, known] : this->members) {
    all.push_back(known.updates);
  }
  return all;
}

bool
Membership::TakeSuperseded()
{
  bool was = this->superseded;
  this->superseded = false;
  return was;
}

}
