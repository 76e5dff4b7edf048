#include "steer/hold_queue.h"

namespace gentianspindle::steer {

namespace {

// Part of the latency target, in tenths, that one request is assumed to need at
// a server without a queue.
constexpr Micros kServiceTenths = 3;

// Returns when the caller sends its opening packet again, or gives up.
Micros
NextStepAt(const HeldOpening& aOpening)
{
  size_t step = std::min<size_t>(aOpening.packet.retransmissions,
                                 kOpeningIntervals.size() - 1);
  return aOpening.arrivedAt + kOpeningIntervals[step];
}

}

Micros
HeldOpening::LateAt() const
{
  return this->heldAt + (10 - kServiceTenths) * this->latencyTarget / 10 + 1;
}

// A caller can be told the truth only while its packet is usable: later its
// flow may be open elsewhere. So an opening whose time would end between that
// and its next retransmission is refused before.
Micros
HeldOpening::ExpiresAt() const
{
  if (this->holdUntil == 0) {
    return this->heldAt + kMaxHoldTime;
  }
  Micros lastCheck = this->UsableUntil() - kHoldCheckPeriod;
  bool inGap =
    this->holdUntil > lastCheck && this->holdUntil < NextStepAt(*this);
  return inGap ? lastCheck : this->holdUntil;
}

bool
HoldQueue::OnRetransmission(const Packet& aPacket, Micros aArrivedAt)
{
  auto known = this->numbers.find(aPacket.flow);
  if (known == this->numbers.end()) {
    return false;
  }
  HeldOpening& opening = this->held.at(known->second).opening;
  if (opening.packet.seq == aPacket.seq) {
    opening.packet = aPacket;
    opening.arrivedAt = aArrivedAt;
    this->Schedule(known->second, opening);
  }
  return true;
}

bool
HoldQueue::Put(const HeldOpening& aOpening)
{
  if (this->held.size() >= kMaxHeldOpenings) {
    return false;
  }
  Number number = ++this->lastNumber;
  this->held[number].opening = aOpening;
  this->numbers[aOpening.packet.flow] = number;
  this->Schedule(number, aOpening);
  return true;
}

// Its place is found by the next Advance, and again at each later moment that
// may change it.
void
HoldQueue::Schedule(Number aNumber, const HeldOpening& aOpening)
{
  this->changes.emplace(0, aNumber);
  this->changes.emplace(aOpening.UsableUntil(), aNumber);
  this->changes.emplace(aOpening.LateAt(), aNumber);
  this->changes.emplace(aOpening.ExpiresAt(), aNumber);
}

void
HoldQueue::Advance(Micros aNow)
{
  if (aNow < this->advancedTo) {
    for (const auto& [number, entry] : this->held) {
      this->Schedule(number, entry.opening);
    }
  }
  this->advancedTo = aNow;
  while (!this->changes.empty() && this->changes.top().first <= aNow) {
    Number number = this->changes.top().second;
    this->changes.pop();
    auto known = this->held.find(number);
    if (known == this->held.end()) {
      continue;
    }
    Entry& entry = known->second;
    const HeldOpening& opening = entry.opening;
    if (opening.ExpiresAt() <= aNow) {
      this->Move(number, entry, &this->expired);
    } else if (!opening.IsUsable(aNow)) {
      this->Move(number, entry, nullptr);
    } else {
      Usable& same = this->usable[opening.priority];
      this->Move(
        number, entry, opening.IsLate(aNow) ? &same.late : &same.timely);
    }
  }
}

void
HoldQueue::Move(Number aNumber, Entry& aEntry, Numbers* aTo)
{
  if (aEntry.place != nullptr) {
    aEntry.place->erase(aNumber);
  }
  if (aTo != nullptr) {
    aTo->insert(aNumber);
  }
  aEntry.place = aTo;
}

HeldOpening
HoldQueue::Remove(Number aNumber)
{
  auto known = this->held.find(aNumber);
  this->Move(aNumber, known->second, nullptr);
  HeldOpening opening = known->second.opening;
  this->numbers.erase(opening.packet.flow);
  this->held.erase(known);
  return opening;
}

// At peak load the oldest would take the capacity and be late all the same. Of
// those that are already late the oldest goes first, as its caller is the next
// to give up.
std::optional<HeldOpening>
HoldQueue::Take(Micros aNow)
{
  this->Advance(aNow);
  for (auto& [priority, same] : this->usable) {
    if (!same.timely.empty()) {
      return this->Remove(*same.timely.rbegin());
    }
    if (!same.late.empty()) {
      return this->Remove(*same.late.begin());
    }
  }
  return std::nullopt;
}

std::optional<HeldOpening>
HoldQueue::TakeOldest(Micros aNow)
{
  this->Advance(aNow);
  Number oldest = 0;
  for (const auto& [priority, same] : this->usable) {
    for (const Numbers* place : { &same.timely, &same.late }) {
      bool older = !place->empty() && (oldest == 0 || *place->begin() < oldest);
      oldest = older ? *place->begin() : oldest;
    }
  }
  return oldest == 0 ? std::nullopt
                     : std::optional<HeldOpening>(this->Remove(oldest));
}

std::optional<HeldOpening>
HoldQueue::TakeExpired(Micros aNow)
{
  this->Advance(aNow);
  return this->expired.empty()
           ? std::nullopt
           : std::optional<HeldOpening>(this->Remove(*this->expired.begin()));
}

std::optional<HeldOpening>
HoldQueue::TakeAny()
{
  return this->held.empty() ? std::nullopt
                            : std::optional<HeldOpening>(
                                this->Remove(this->held.begin()->first));
}

bool
HoldQueue::HasUsable(Micros aNow)
{
  this->Advance(aNow);
  for (const auto& [priority, same] : this->usable) {
    if (!same.timely.empty() || !same.late.empty()) {
      return true;
    }
  }
  return false;
}

}
