// Log of the latest changes of servers, from which heartbeats repeat them for
// instances that missed some.
#pragma once

#include "spread/beat.h"

#include <deque>
#include <span>

namespace gentianspindle::spread {

// A reader's regular heartbeats repeat each change for this time, so that a
// later datagram makes up for a lost one.
constexpr Micros kResendTime = 2 * kSecond;
// Limits of the changes in one datagram, by their estimated size, and of the
// datagrams that a reader sends at a time. The oldest changes are left out, and
// an instance that misses them fetches a whole view.
constexpr size_t kMaxChangeBytes = 900;
constexpr size_t kMaxChangeRanges = 6;

class ChangeLog
{
public:
  // Empties the log: a list or view gave the state at aPosition, and the single
  // changes before it are not known.
  void ResetTo(const StorePosition& aPosition);
  // Adds those of aChanges, in any order, that the log does not have yet. The
  // log then has all changes up to aPosition.
  void Add(std::span<const steer::ServerChange> aChanges,
           const StorePosition& aPosition,
           Micros aNow);
  const StorePosition& Position() const { return this->position; }

  // Returns the changes of the last kResendTime in ranges that each fit a
  // datagram, and evicts older ones. Returns at least one range, which may have
  // no changes.
  std::vector<ChangeRange> RecentRanges(Micros aNow);

private:
  struct Entry
  {
    steer::ServerChange change;
    Micros at = 0; // when this instance learnt of the change
  };
  std::deque<Entry> entries;  // by position
  StorePosition basePosition; // entries has all changes after it
  StorePosition position;     // up to which all changes are known
};

}
