#include "steer/drains.h"

#include <algorithm>

namespace gentianspindle::steer {

bool
DrainState::PutList(std::span<const DrainChange> aList,
                    const StorePosition& aPosition)
{
  DrainState listed{ .position = aPosition, .changedPosition = aPosition };
  for (const DrainChange& change : aList) {
    listed.zones.push_back(change.zone);
  }
  std::sort(listed.zones.begin(), listed.zones.end());
  listed.zones.erase(std::unique(listed.zones.begin(), listed.zones.end()),
                     listed.zones.end());
  return this->Adopt(listed);
}

// The changes may begin before this state's position, as a peer can bring a
// newer one while a watch waits. To repeat those is harmless: the last change
// of a zone decides, and a zone without any is as it was.
bool
DrainState::PutChanges(std::span<const DrainChange> aChanges,
                       const StorePosition& aPosition)
{
  DrainState next = *this;
  next.position = aPosition;
  for (const DrainChange& change : aChanges) {
    auto at =
      std::lower_bound(next.zones.begin(), next.zones.end(), change.zone);
    bool isDrained = at != next.zones.end() && *at == change.zone;
    if (change.removed && isDrained) {
      next.zones.erase(at);
    } else if (!change.removed && !isDrained) {
      next.zones.insert(at, change.zone);
    }
  }
  if (!aChanges.empty()) {
    next.changedPosition = aPosition;
  }
  return this->Adopt(next);
}

bool
DrainState::Adopt(const DrainState& aState)
{
  if (aState.position <= this->position) {
    return false;
  }
  bool isNew = !this->IsKnown() || aState.zones != this->zones;
  // A zone may have changed and changed back.
  if (isNew || aState.changedPosition > this->position) {
    this->changedPosition =
      std::max(this->changedPosition, aState.changedPosition);
  }
  this->position = aState.position;
  this->zones = aState.zones;
  return isNew;
}

}
