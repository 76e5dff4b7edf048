// The other instances, as far as they were heard of.
#pragma once

#include "spread/heartbeat.h"

#include <map>
#include <random>
#include <span>
#include <string_view>

namespace gentianspindle::spread {

// A reader that is silent for this time no longer counts as one.
constexpr Micros kReaderTimeout = 1300 * kMillisecond;
// An instance that was not heard for this time gets no more beats.
constexpr Micros kMemberTimeout = 5 * kSecond;
// One that others name, but that never spoke, is kept for this time.
constexpr Micros kReportedMemberTimeout = 10 * kSecond;
constexpr Micros kNever = -1000 * kSecond;

struct Member
{
  std::string zone; // empty: not known
  double cores = 0;
  bool reads = false;
  bool storeAnswers = false;
  uint32_t zoneSize = 0;
  Micros heardAt = kNever;    // from itself
  Micros reportedAt = kNever; // by others

  bool Reads(Micros aNow) const
  {
    return this->reads && aNow - this->heardAt < kReaderTimeout;
  }
  // The same, or others say so.
  bool MayBeReader(Micros aNow) const
  {
    return this->heardAt == kNever ? this->reads : this->Reads(aNow);
  }
};

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
  void Evict(Micros aNow);

  const std::map<Address, Member>& All() const { return this->members; }
  bool IsSameZone(const Member& aMember) const
  {
    return aMember.zone == this->zone;
  }
  // Instances of this zone, this one included.
  uint32_t ZoneSize() const;
  // Of all zones, as far as their readers tell.
  uint32_t FleetSize() const;

  // At most aMax members of this zone, by chance.
  std::vector<Address> SampleSameZone(size_t aMax);
  // Is a reader of this zone heard or named?
  bool KnowsReader(Micros aNow) const;
  // Readers of other zones, also ones that fell silent a moment ago.
  std::vector<ReaderAddress> RemoteReaders() const;

private:
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
