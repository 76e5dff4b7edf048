// Verdicts that servers are gone or out of reach, as the instances of one
// availability zone tell them each other in their heartbeats.
#pragma once

#include "base/time.h"
#include "steer/types.h"

#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace gentianspindle::spread {

// A heartbeat carries at most so many verdicts, the newest ones.
constexpr size_t kMaxVerdicts = 16;
// As steer::kPeerVerdictLifetime: an older verdict is not passed on, as the
// server may have returned.
constexpr Micros kSentVerdictLifetime = 1500 * kMillisecond;

// A verdict on one server process.
struct Verdict
{
  steer::ServerId server = 0;
  int64_t startedAt = 0; // of the server process
  Micros at = 0;         // when its instance last confirmed it

  bool IsOnSame(const Verdict& aOther) const
  {
    return this->server == aOther.server && this->startedAt == aOther.startedAt;
  }
};

// A verdict in a heartbeat, which has its age at the sending, as clocks differ.
struct SentVerdict
{
  steer::ServerId server = 0;
  int64_t startedAt = 0;
  Micros age = 0;
};

// Verdicts that this instance sends: its own and, if it is a reader, those that
// it heard from its zone.
class SharedVerdicts
{
public:
  // Replaces this instance's own verdicts. Returns whether one is new.
  bool SetOwn(std::span<const Verdict> aVerdicts, Micros aNow);
  // Adds what a peer sent. Returns whether one is new.
  bool OnPeerVerdicts(std::span<const SentVerdict> aVerdicts, Micros aNow);
  // Returns what was heard since the last call.
  std::vector<Verdict> TakePeerVerdicts()
  {
    return std::exchange(this->newFromPeers, {});
  }
  // Returns the newest verdicts, with or without those that were heard.
  std::vector<SentVerdict> Newest(bool aWithHeard, Micros aNow) const;

private:
  std::vector<Verdict> own;
  std::vector<Verdict> heard;
  std::vector<Verdict> newFromPeers;
};

}
