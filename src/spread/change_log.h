// The latest changes of servers, for others that missed them.
#pragma once

#include "spread/heartbeat.h"

#include <deque>
#include <span>

namespace gentianspindle::spread {

// Changes are told again for this time, so that a lost datagram is made good
// by the next one.
constexpr Micros kResendTime = 2 * kSecond;
// Room for changes in one datagram, and datagrams of one beat. Who misses
// more takes a whole view.
constexpr size_t kMaxChangeBytes = 900;
constexpr size_t kMaxChangeRanges = 6;

class ChangeLog
{
public:
  // All up to aRevision is known by other means; nothing before it can be
  // told.
  void ResetTo(uint64_t aRevision);
  // Changes up to aRevision, which follow what is known.
  void Add(std::span<const steer::ServerChange> aChanges,
           uint64_t aRevision,
           Micros aNow);
  uint64_t Revision() const { return this->revision; }

  // The latest changes in ranges that each fit a datagram.
  std::vector<ChangeRange> RecentRanges(Micros aNow);

private:
  struct Entry
  {
    steer::ServerChange change;
    Micros at = 0;
  };
  std::deque<Entry> entries; // by revision
  uint64_t baseRevision = 0; // entries are all changes after this revision
  uint64_t revision = 0;
};

}
