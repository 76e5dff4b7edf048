// Second openings: when the opening packet of a flow without an answer goes to
// another server too, and how many do.
#pragma once

#include "steer/opening.h"

namespace gentianspindle::steer {

// "Race" in names here means a second opening: two servers get the same opening
// packet.
struct RaceOptions
{
  double budget = 0; // second openings, as a share of openings; 0: none
  double burst = 5;  // most that the budget can save up
};

// Token bucket. It is empty at first, so that a restart gives no burst.
class RaceBudget
{
public:
  explicit RaceBudget(const RaceOptions& aOptions)
    : options(aOptions)
  {
  }

  bool IsOn() const { return this->options.budget > 0; }
  // A flow that could have a second opening was placed.
  void OnOpening()
  {
    this->tokens = std::min(this->tokens + this->options.budget,
                            std::max(1.0, this->options.burst));
  }
  // Takes what one second opening costs. Returns false if too little is left.
  bool Take();

private:
  RaceOptions options;
  double tokens = 0;
};

// Moving 99th percentile of the times that handshakes take.
class HandshakeTimes
{
public:
  void Add(Micros aDuration);
  // A handshake took longer than the delay.
  void AddLate();
  // Returns how long an opening waits for an answer before the second one goes
  // out; 0 while too few handshakes are known.
  Micros Delay() const;

private:
  double quantile = 0; // microseconds
  uint32_t count = 0;  // up to the number that is needed
};

// A flow that gets a second opening unless its server answers before.
struct RaceTimer
{
  Micros at = 0;
  Micros sentAt = 0; // when the first opening was sent
  Packet packet;

  friend bool operator>(const RaceTimer& aLeft, const RaceTimer& aRight)
  {
    return aLeft.at > aRight.at;
  }
};

// An opening packet to send to a second server.
struct SecondOpening
{
  Packet packet;
  ServerIndex server = kNoServer;
  ServerIndex first = kNoServer; // server that has not answered
  Tag tag = kNoTag;
  Micros waited = 0;
};

struct RaceCounts
{
  uint64_t raced = 0;
  uint64_t won = 0; // the flow opened at the second server
  // The flow opened at another server, or not through this instance.
  uint64_t wasted = 0;
  uint64_t refused = 0; // the budget was used
};

}
