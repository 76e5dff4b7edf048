// Which instances of this zone hold the slots of warm-up quotas. The zone's
// best reader makes the list of holders and sends it with its heartbeats; a
// change of the list takes effect only after its earlier holders have stopped.
#pragma once

#include "spread/members.h"
#include "steer/warmup_quota.h"

#include <set>

namespace gentianspindle::spread {

// Holders of a list at most.
constexpr size_t kMaxQuotaHolders = 32;
// An instance that has not heard the list for this time uses no slot.
constexpr Micros kQuotaLease = 1300 * kMillisecond;
// An instance uses a slot that is new to it only this long after it heard of
// it: the lease of the earlier holder, then a second in which the openings of
// both would count together, and a margin for the way of a heartbeat.
constexpr Micros kQuotaSettleTime = kQuotaLease + 1200 * kMillisecond;
// Two changes of a list are at least this far apart. An instance that missed
// the list for less time knows that it did not change and come back.
constexpr Micros kQuotaListGap = 5 * kSecond;
// A reader uses and changes its list only while it heard more than half of the
// listed holders within this time, so that a part of a zone that is cut off
// doesn't take the slots of the rest. They send a hello every second.
constexpr Micros kQuotaHeardTime = 2500 * kMillisecond;
// Without that many it makes a new list: after the first time if there is no
// list, after the second if most holders are gone, after the third if it hears
// no other instance at all.
constexpr Micros kFirstQuotaListTime = 3 * kSecond;
constexpr Micros kNewQuotaListTime = 10 * kSecond;
constexpr Micros kAloneQuotaListTime = 30 * kSecond;

class QuotaSharing
{
public:
  QuotaSharing(Address aSelf, std::string_view aZone, bool aStandalone);

  // A heartbeat came from an instance.
  void OnHeartbeat(const Heartbeat& aHeartbeat, Micros aNow);
  // The holders of a paused process's slots may have changed meanwhile, and
  // heartbeats that waited for it are no sign that they did not.
  void OnProcessPause() { this->paused = true; }
  // aLeads says that this instance is the best reader of its zone.
  void Tick(const Members& aMembers, bool aLeads, Micros aNow);

  // The list that this instance knows, and whether it hands it out.
  const std::vector<Address>& List() const { return this->list; }
  bool HandsOut() const { return this->handsOut; }
  // Returns the holders as of aNow.
  steer::QuotaHolders Holders(Micros aNow) const;
  // They hold their slots until then, if nothing more is heard of them.
  Micros ValidUntil() const { return this->heardAt + kQuotaLease; }

private:
  // A list that was heard before the present one.
  struct EarlierList
  {
    std::vector<Address> list;
    Micros heardAt = 0; // the last time
  };
  // The list is in force at aNow, as its reader says.
  void Confirm(const std::vector<Address>& aList, Micros aNow);
  // Makes the first list or changes the present one.
  void UpdateList(const Members& aMembers, Micros aNow);
  std::vector<Address> MakeList(const Members& aMembers, Micros aNow) const;
  bool HearsMajority(const Members& aMembers, Micros aNow) const;

  Address self;
  std::string zone;
  bool standalone;
  std::set<std::string> zones;
  std::vector<Address> list; // sorted; empty: none is known
  std::vector<EarlierList> earlier;
  Micros heardAt = kNever; // when the list was last confirmed
  // The list, or those before it, were known without a gap since then.
  Micros knownSince = kNever;
  Micros changedAt = kNever; // when this instance last changed the list
  // Since when this reader waits to hear most holders: the last time it did, or
  // it began to lead or changed the list.
  Micros majorityAt = kNever;
  bool handsOut = false;
  bool paused = false;
};

}
