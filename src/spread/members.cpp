#include "spread/members.h"

#include <algorithm>

namespace gentianspindle::spread {

void
Members::AddReported(Address aAddress,
                     std::string_view aZone,
                     bool aReads,
                     Micros aNow)
{
  if (aAddress == this->self) {
    return;
  }
  Member& member = this->members[aAddress];
  member.reportedAt = aNow;
  if (member.heardAt == kNever) {
    member.zone = aZone;
    member.reads = aReads;
  }
}

void
Members::OnHeartbeat(Address aFrom, const Heartbeat& aHeartbeat, Micros aNow)
{
  if (aFrom == this->self) {
    return;
  }
  Member& member = this->members[aFrom];
  member.zone = aHeartbeat.zone;
  member.cores = aHeartbeat.cores;
  member.reads = aHeartbeat.reads;
  member.storeAnswers = aHeartbeat.storeAnswers;
  member.zoneSize = aHeartbeat.zoneSize;
  member.heardAt = aNow;
  // A reader of the sender's zone can be among its members, too.
  for (Address sameZone : aHeartbeat.members) {
    this->AddReported(sameZone, aHeartbeat.zone, false, aNow);
  }
  for (const ReaderAddress& reader : aHeartbeat.readers) {
    this->AddReported(reader.address, reader.zone, true, aNow);
  }
}

// A member that was heard once and is silent now is dead or unreachable. It is
// added as a new member if others report it again.
void
Members::Evict(Micros aNow)
{
  std::erase_if(this->members, [aNow](const auto& aEntry) {
    const Member& member = aEntry.second;
    bool heard = member.heardAt != kNever;
    return heard ? aNow - member.heardAt > kMemberTimeout
                 : aNow - member.reportedAt > kReportedMemberTimeout;
  });
}

uint32_t
Members::ZoneSize() const
{
  auto sameZone = std::count_if(
    this->members.begin(), this->members.end(), [this](const auto& aEntry) {
      return this->IsSameZone(aEntry.second);
    });
  return static_cast<uint32_t>(sameZone) + 1;
}

uint32_t
Members::FleetSize() const
{
  std::map<std::string_view, uint32_t> sizes;
  for (const auto& [address, member] : this->members) {
    uint32_t& size = sizes[member.zone];
    size = std::max(size, std::max(1U, member.zoneSize));
  }
  sizes[this->zone] = this->ZoneSize();
  uint32_t sum = 0;
  for (const auto& [zone, size] : sizes) {
    sum += size;
  }
  return sum;
}

std::vector<Address>
Members::SampleSameZone(size_t aMax)
{
  std::vector<Address> sameZone;
  for (const auto& [address, member] : this->members) {
    if (this->IsSameZone(member)) {
      sameZone.push_back(address);
    }
  }
  std::shuffle(sameZone.begin(), sameZone.end(), this->random);
  sameZone.resize(std::min(sameZone.size(), aMax));
  return sameZone;
}

bool
Members::KnowsReader(Micros aNow) const
{
  return std::any_of(
    this->members.begin(), this->members.end(), [&](const auto& aEntry) {
      return this->IsSameZone(aEntry.second) && aEntry.second.MayBeReader(aNow);
    });
}

std::vector<ReaderAddress>
Members::RemoteReaders() const
{
  std::vector<ReaderAddress> readers;
  for (const auto& [address, member] : this->members) {
    if (member.reads && !this->IsSameZone(member)) {
      readers.push_back({ address, member.zone });
    }
  }
  return readers;
}

}
