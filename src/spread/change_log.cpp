#include "spread/change_log.h"

#include <algorithm>

namespace gentianspindle::spread {

namespace {

// Number of changes that the log keeps at most, which is more than the
// datagrams sent at a time can hold.
constexpr size_t kMaxEntries = 400;
// Estimated size of one change in a datagram, without its names.
constexpr size_t kFixedChangeBytes = 40;

size_t
SizeOf(const steer::ServerChange& aChange)
{
  size_t names = aChange.name.size();
  if (aChange.entry) {
    names += aChange.entry->service.size() + aChange.entry->zone.size();
  }
  return kFixedChangeBytes + names;
}

}

void
ChangeLog::ResetTo(const StorePosition& aPosition)
{
  this->entries.clear();
  this->basePosition = aPosition;
  this->position = aPosition;
}

void
ChangeLog::Add(std::span<const steer::ServerChange> aChanges,
               const StorePosition& aPosition,
               Micros aNow)
{
  std::vector<steer::ServerChange> sorted(aChanges.begin(), aChanges.end());
  std::sort(
    sorted.begin(),
    sorted.end(),
    [](const steer::ServerChange& aLeft, const steer::ServerChange& aRight) {
      return aLeft.position < aRight.position;
    });
  for (steer::ServerChange& change : sorted) {
    if (change.position > this->position) {
      this->entries.push_back({ std::move(change), aNow });
    }
  }
  this->position = std::max(this->position, aPosition);
  while (this->entries.size() > kMaxEntries) {
    this->basePosition = this->entries.front().change.position;
    this->entries.pop_front();
  }
}

std::vector<ChangeRange>
ChangeLog::RecentRanges(Micros aNow)
{
  while (!this->entries.empty() &&
         aNow - this->entries.front().at > kResendTime) {
    this->basePosition = this->entries.front().change.position;
    this->entries.pop_front();
  }
  std::vector<ChangeRange> ranges;
  ChangeRange range{ .from = this->basePosition, .to = this->basePosition };
  size_t bytes = 0;
  for (const Entry& entry : this->entries) {
    size_t size = SizeOf(entry.change);
    if (bytes + size > kMaxChangeBytes && !range.changes.empty()) {
      StorePosition last = range.to;
      ranges.push_back(std::move(range));
      range = { .from = last, .to = last };
      bytes = 0;
    }
    range.to = entry.change.position;
    range.changes.push_back(entry.change);
    bytes += size;
  }
  range.to = this->position;
  ranges.push_back(std::move(range));
  if (ranges.size() > kMaxChangeRanges) {
    ranges.erase(ranges.begin(), ranges.end() - kMaxChangeRanges);
  }
  return ranges;
}

}
