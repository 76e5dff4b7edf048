// The other instances that this one heard from, or of which others reported.
#pragma once

#include "spread/beat.h"

#include <map>
#include <random>
#include <span>
#include <string_view>

namespace gentianspindle::spread {

// A reader that is silent for this time no longer counts as a reader.
constexpr Micros kReaderTimeout = 1300 * kMillisecond;
// A member that is silent for this time is evicted and gets no more heartbeats.
constexpr Micros kMemberTimeout = 5 * kSecond;
// A member that others report, but that was never heard itself, is evicted this
// long after the last report.
constexpr Micros kReportedMemberTimeout = 10 * kSecond;
// Time of events that never happened; it is before any time in use.
constexpr Micros kNever = -1000 * kSecond;

// Another instance, as described by its last heartbeat or by other instances.
struct Member
{
  std::string zone; // empty if unknown
  double cores = 0;
  bool reads = false;
  bool storeAnswers = false;
  uint32_t zoneSize = 0;
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
  // Removes members that are silent or unreported for too long.
  void Evict(Micros aNow);

  const std::map<Address, Member>& All() const { return this->members; }
  bool IsSameZone(const Member& aMember) const
  {
    return aMember.zone == this->zone;
  }
  // Number of instances of this zone, this one included.
  uint32_t ZoneSize() const;
  // Number of instances of all zones, as far as their members announce it.
  uint32_t FleetSize() const;

  // Returns at most aMax random members of this zone.
  std::vector<Address> SampleSameZone(size_t aMax);
  // Returns whether a reader of this zone was heard or reported.
  bool KnowsReader(Micros aNow) const;
  // Returns the readers of other zones, including those that recently became
  // silent.
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
