#include "spread/quota_sharing.h"

#include <algorithm>

namespace gentianspindle::spread {

namespace {

// Zones that are remembered at most; others than those of the servers only
// matter before their servers start.
constexpr size_t kMaxZones = 64;

bool
WasHeard(const Member& aMember, Micros aNow)
{
  return aMember.heardAt != kNever && aNow - aMember.heardAt < kQuotaHeardTime;
}

}

QuotaSharing::QuotaSharing(Address aSelf,
                           std::string_view aZone,
                           bool aStandalone)
  : self(aSelf)
  , zone(aZone)
  , standalone(aStandalone)
{
}

void
QuotaSharing::OnHeartbeat(const Heartbeat& aHeartbeat, Micros aNow)
{
  if (this->zones.size() < kMaxZones) {
    this->zones.insert(aHeartbeat.zone);
  }
  bool listed =
    aHeartbeat.zone == this->zone && !aHeartbeat.quotaHolders.empty();
  if (!listed) {
    return;
  }
  if (aHeartbeat.handsOutQuota) {
    this->Confirm(aHeartbeat.quotaHolders, aNow);
  } else if (this->list.empty()) {
    // Known, but not in force: a new reader must not make another list while
    // the holders of this one use it.
    this->list = aHeartbeat.quotaHolders;
  }
}

void
QuotaSharing::Confirm(const std::vector<Address>& aList, Micros aNow)
{
  Micros silence = aNow - this->heardAt;
  bool same = aList == this->list;
  bool gap = this->paused || silence >= kQuotaListGap ||
             (silence >= kQuotaLease && !same);
  if (gap) {
    this->paused = false;
    this->earlier.clear();
    this->knownSince = aNow;
  } else if (!same) {
    this->earlier.push_back({ this->list, this->heardAt });
  }
  this->list = aList;
  this->heardAt = aNow;
}

bool
QuotaSharing::HearsMajority(const Members& aMembers, Micros aNow) const
{
  auto heard =
    std::count_if(this->list.begin(), this->list.end(), [&](Address aHolder) {
      auto member = aMembers.All().find(aHolder);
      return aHolder == this->self ||
             (member != aMembers.All().end() && WasHeard(member->second, aNow));
    });
  return 2 * static_cast<size_t>(heard) > this->list.size();
}

// Keeps the holders that are alive, and fills the list up with other instances
// of the zone, in the order of their addresses.
std::vector<Address>
QuotaSharing::MakeList(const Members& aMembers, Micros aNow) const
{
  std::vector<Address> made;
  std::vector<Address> others;
  auto add = [&](Address aAddress, bool aHeard, bool aAlive) {
    bool holds =
      std::binary_search(this->list.begin(), this->list.end(), aAddress);
    if (holds && aAlive) {
      made.push_back(aAddress);
    } else if (!holds && aHeard) {
      others.push_back(aAddress);
    }
  };
  add(this->self, true, true);
  for (const auto& [address, member] : aMembers.All()) {
    if (aMembers.IsSameZone(member)) {
      add(address, WasHeard(member, aNow), member.heardAt != kNever);
    }
  }
  for (size_t i = 0; i < others.size() && made.size() < kMaxQuotaHolders; ++i) {
    made.push_back(others[i]);
  }
  std::sort(made.begin(), made.end());
  return made;
}

void
QuotaSharing::UpdateList(const Members& aMembers, Micros aNow)
{
  bool hearsAny = std::any_of(
    aMembers.All().begin(), aMembers.All().end(), [&](const auto& aEntry) {
      return WasHeard(aEntry.second, aNow);
    });
  bool majority = !this->list.empty() && this->HearsMajority(aMembers, aNow);
  this->majorityAt =
    majority || this->majorityAt == kNever ? aNow : this->majorityAt;
  Micros wait = !hearsAny            ? kAloneQuotaListTime
                : this->list.empty() ? kFirstQuotaListTime
                                     : kNewQuotaListTime;
  bool renew = !majority && aNow - this->majorityAt >= wait;
  bool due = aNow - this->changedAt >= kQuotaListGap;
  std::vector<Address> made =
    majority || renew ? this->MakeList(aMembers, aNow) : this->list;
  bool changes = renew || (majority && due && made != this->list);
  this->handsOut = majority || renew;
  if (!this->handsOut) {
    return;
  }
  if (changes) {
    this->changedAt = aNow;
    this->majorityAt = aNow;
  }
  this->Confirm(changes ? made : this->list, aNow);
}

void
QuotaSharing::Tick(const Members& aMembers, bool aLeads, Micros aNow)
{
  std::erase_if(this->earlier, [aNow](const EarlierList& aList) {
    return aNow - aList.heardAt >= kQuotaSettleTime;
  });
  if (this->standalone) {
    return;
  }
  if (aLeads) {
    this->UpdateList(aMembers, aNow);
    return;
  }
  this->handsOut = false;
  this->majorityAt = kNever;
  // Another reader may have changed the list just before.
  this->changedAt = aNow;
}

steer::QuotaHolders
QuotaSharing::Holders(Micros aNow) const
{
  steer::QuotaHolders holders{ .self = this->self,
                               .zone = this->zone,
                               .standalone = this->standalone,
                               .zones = { this->zones.begin(),
                                          this->zones.end() } };
  holders.zones.push_back(this->zone);
  bool inForce = !this->paused && aNow - this->heardAt < kQuotaLease &&
                 aNow - this->knownSince >= kQuotaSettleTime;
  if (!inForce) {
    return holders;
  }
  holders.lists.push_back(this->list);
  for (const EarlierList& one : this->earlier) {
    holders.lists.push_back(one.list);
  }
  return holders;
}

}
