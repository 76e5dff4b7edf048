// Which instance of a zone reads the store, and when that changes.
#include "spread/spread.h"

namespace gentianspindle::spread {

// A reader that the store answers ranks first, then the one with more cores,
// then the one with the lower address.
bool
ReaderRank::RanksAbove(const ReaderRank& aOther) const
{
  if (this->storeAnswers != aOther.storeAnswers) {
    return this->storeAnswers;
  }
  if (this->cores != aOther.cores) {
    return this->cores > aOther.cores;
  }
  return this->address < aOther.address;
}

ReaderRank
Replicator::OwnRank() const
{
  return { this->storeAnswers, this->options.cores, this->options.self };
}

// Returns the best other reader of this zone.
std::optional<ReaderRank>
Replicator::BestReader(Micros aNow) const
{
  std::optional<ReaderRank> best;
  for (const auto& [address, member] : this->members.All()) {
    if (!member.Reads(aNow) || !this->members.IsSameZone(member)) {
      continue;
    }
    ReaderRank rank{ member.storeAnswers, member.cores, address };
    best = !best || rank.RanksAbove(*best) ? rank : best;
  }
  return best;
}

bool
Replicator::HasBetterReader(Micros aNow) const
{
  std::optional<ReaderRank> best = this->BestReader(aNow);
  return best && best->RanksAbove(this->OwnRank());
}

void
Replicator::CheckStepDown(Micros aNow)
{
  if (!this->HasBetterReader(aNow)) {
    this->betterReaderSince = 0;
    return;
  }
  this->betterReaderSince =
    this->betterReaderSince == 0 ? aNow : this->betterReaderSince;
  if (aNow - this->betterReaderSince >= kStepDownDelay) {
    this->StopReading(aNow);
  }
}

ReadReason
Replicator::ReasonToRead(const std::optional<ReaderRank>& aBest,
                         Micros aNow) const
{
  if (!aBest) {
    return ReadReason::NoReader;
  }
  if (this->Stale(aNow) && aNow >= this->nextReadAttemptAt) {
    return ReadReason::Stale;
  }
  bool larger = this->options.cores > aBest->cores &&
                aNow - this->stoppedAt > kReclaimDelay;
  return larger ? ReadReason::Larger : ReadReason::None;
}

// Returns the random delay before this follower starts to read. It is shorter
// for instances with more cores, except before a read attempt, for reason
// Stale.
Micros
Replicator::TakeoverDelay(ReadReason aReason)
{
  Micros size = this->members.ZoneSize();
  if (aReason == ReadReason::Stale) {
    return this->RandomDelay(size * kReadAttemptDelayPerInstance);
  }
  double fraction = 1 / (1 + kTakeoverDivisorPerCore * this->options.cores);
  Micros maxDelay = this->heardReader ? kTakeoverDelay : kFirstTakeoverDelay;
  maxDelay += size * kTakeoverDelayPerInstance;
  maxDelay = static_cast<Micros>(fraction * static_cast<double>(maxDelay));
  Micros minDelay = this->heardReader ? maxDelay / 2 : kMinFirstTakeoverDelay;
  return minDelay + this->RandomDelay(maxDelay / 2 + kMillisecond);
}

void
Replicator::CheckTakeover(Micros aNow)
{
  ReadReason reason = this->ReasonToRead(this->BestReader(aNow), aNow);
  if (reason != this->takeoverReason) {
    this->takeoverReason = reason;
    this->takeoverAt = aNow + this->TakeoverDelay(reason);
  }
  bool due = this->options.standalone || aNow >= this->takeoverAt;
  if (reason != ReadReason::None && due) {
    this->StartReading(reason, aNow);
  }
}

void
Replicator::StartReading(ReadReason aReadReason, Micros aNow)
{
  this->reads = true;
  this->startedReadingAt = aNow;
  this->readReason = aReadReason;
  this->storeAnswers = false;
  this->takeoverReason = ReadReason::None;
  this->betterReaderSince = 0;
  this->fleetSize = this->members.FleetSize();
  // The first heartbeat also queries a seed.
  this->heartbeatCount = kHeartbeatsPerSeedQuery - 1;
  this->lastHeartbeatAt = aNow - kHeartbeatPeriod;
}

void
Replicator::StopReading(Micros aNow)
{
  this->reads = false;
  this->readReason = ReadReason::BetterReader;
  this->betterReaderSince = 0;
  this->stoppedAt = aNow;
  this->nextReadAttemptAt =
    aNow + kReadAttemptBackoff + this->RandomDelay(kReadAttemptBackoff);
  // A hello heartbeat announces at once that this instance follows: to the
  // zone's other readers, or to members and seeds if no reader is known.
  this->lastHelloAt = kNever;
}

}
