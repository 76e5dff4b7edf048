// The other instances of the fleet: those that this one heard from, and those
// that a heartbeat of another instance listed (reported).
#pragma once

#include "spread/beat.h"

#include <map>
#include <random>
#include <span>
#include <string_view>

namespace gentianspindle::spread {

// A reader without a heartbeat for this time, more than three heartbeat
// periods, no longer counts as a reader.
constexpr Micros kReaderTimeout = 1300 * kMillisecond;
// A member without a heartbeat for longer than this is evicted, and gets none
// from this instance any more.
constexpr Micros kMemberTimeout = 5 * kSecond;
// A member that sent no heartbeat since it was first reported is evicted this
// long after the last report.
constexpr Micros kReportedMemberTimeout = 10 * kSecond;
// Time of events that never happened; it is before any time in use.
constexpr Micros kNever = -1000 * kSecond;

// Another instance, as its last heartbeat or, before the first one, the last
// report of other instances describes it.
struct Member
{
  std::string zone;
  double cores = 0;           // as it announced; 0 before its first heartbeat
  bool reads = false;         // it reads the store, as it or others announced
  bool storeAnswers = false;  // the store answers it, as it announced
  uint32_t zoneSize = 0;      // as it announced; 0 before its first heartbeat
  Micros heardAt = kNever;    // when its last heartbeat came
  Micros reportedAt = kNever; // when another instance last reported it

  // Returns whether the member was heard to be a reader recently.
  bool Reads(Micros aNow) const
  {
    return this->reads && aNow - this->heardAt < kReaderTimeout;
  }
  // Like Reads, but trusts others' reports on a member that was never heard.
  bool MayBeReader(Micros aNow) const
  {
    return this->heardAt == kNever ? this->reads : this->Reads(aNow);
  }
};

// All known members by address, without this instance.
class Members
{
public:
  explicit Members(Address aSelf, std::string_view aZone, uint32_t aSeed)
    : self(aSelf)
    , zone(aZone)
    , random(aSeed)
  {
  }

  void OnHeartbeat(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow);
  // Removes members that were not heard or reported for too long.
  void Evict(Micros aNow);

  const std::map<Address, Member>& All() const { return this->members; }
  bool IsSameZone(const Member& aMember) const
  {
    return aMember.zone == this->zone;
  }
  // Number of instances of this zone, this one included.
  uint32_t ZoneSize() const;
  // Number of instances of all zones: for another zone the largest number that
  // a member of it announced, but at least 1.
  uint32_t FleetSize() const;

  // Returns at most aMax random members of this zone.
  std::vector<Address> SampleSameZone(size_t aMax);
  // Returns whether a member of this zone is or may be a reader.
  bool KnowsReader(Micros aNow) const;
  // Returns the readers of other zones, also those whose heartbeats stopped,
  // until they are evicted.
  std::vector<ReaderAddress> RemoteReaders() const;

private:
  // Another instance reports the member aAddress.
  void AddReported(Address aAddress,
                   std::string_view aZone,
                   bool aReads,
                   Micros aNow);

  Address self;
  std::string zone;
  std::map<Address, Member> members;
  std::minstd_rand random;
};

}
