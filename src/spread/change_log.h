// Log of the latest changes of servers, from which heartbeats repeat them for
// instances that missed some.
#pragma once

#include "spread/beat.h"

#include <deque>
#include <span>

namespace gentianspindle::spread {

// Every heartbeat repeats the changes of this time, so that the next datagram
// makes up for a lost one.
constexpr Micros kResendTime = 2 * kSecond;
// Limits of the changes in one datagram and of the datagrams of one heartbeat.
// An instance that misses more changes fetches a whole view.
constexpr size_t kMaxChangeBytes = 900;
constexpr size_t kMaxChangeRanges = 6;

class ChangeLog
{
public:
  // Empties the log: a list or view gave the state at aRevision, and the single
  // changes before it are not known.
  void ResetTo(uint64_t aRevision);
  // Adds the changes between the log's revision and aRevision.
  void Add(std::span<const steer::ServerChange> aChanges,
           uint64_t aRevision,
           Micros aNow);
  uint64_t Revision() const { return this->revision; }

  // Returns the changes of the last kResendTime in ranges that each fit a
  // datagram, and evicts older ones.
  std::vector<ChangeRange> RecentRanges(Micros aNow);

private:
  struct Entry
  {
    steer::ServerChange change;
    Micros at = 0; // when this instance learnt of the change
  };
  std::deque<Entry> entries; // by revision
  uint64_t baseRevision = 0; // entries has all changes after this revision
  uint64_t revision = 0;     // up to which all changes are known
};

}
