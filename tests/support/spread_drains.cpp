// The part of SpreadFleet that concerns the drains of zones.
#include "support/spread_fleet.h"

#include <algorithm>

namespace gentianspindle {

void
SpreadFleet::SetStoreDown(bool aDown)
{
  this->store.down = aDown;
  this->storeUpSince = this->Now();
}

// Without the history since the watch's position a list replaces the state.
bool
SpreadFleet::ApplyDrainsReply(SpreadInstance& aInstance)
{
  bool list = this->NeedsList(aInstance.drainsFrom);
  std::vector<steer::DrainChange> changes;
  if (list) {
    ++this->store.calls;
    changes = this->store.ListDrains();
  } else {
    std::copy_if(this->store.drainHistory.begin(),
                 this->store.drainHistory.end(),
                 std::back_inserter(changes),
                 [&aInstance](const steer::DrainChange& aChange) {
                   return aChange.position > aInstance.drainsFrom;
                 });
  }
  aInstance.spread->OnDrainsResponse(
    changes, this->store.Position(), list, this->Now());
  aInstance.view->PutDrains(aInstance.spread->Drains(), this->Now());
  return !changes.empty();
}

// As RecordPropagation, for each moment at which a zone is drained.
void
SpreadFleet::RecordDrains()
{
  for (size_t i = 0; i < this->instances.size(); ++i) {
    const SpreadInstance& instance = this->instances[i];
    Micros faultFreeSince =
      std::max(instance.faultFreeSince, this->storeUpSince);
    if (!instance.alive || !this->StoreAnswers(i) ||
        this->Now() - faultFreeSince < kFaultFreePeriod) {
      continue;
    }
    const std::vector<std::string>& known = instance.view->Drains().zones;
    for (const auto& [zone, since] : this->store.drained) {
      if (std::find(known.begin(), known.end(), zone) == known.end()) {
        this->maxDrainTime = std::max(this->maxDrainTime, this->Now() - since);
      }
    }
  }
}

size_t
SpreadFleet::WrongDrains() const
{
  size_t wrong = 0;
  for (const SpreadInstance& instance : this->instances) {
    if (instance.alive && instance.spread->Drains().IsKnown()) {
      const steer::DrainState& drains = instance.spread->Drains();
      bool same = drains.zones == this->store.DrainedAsOf(drains.position) &&
                  drains.zones == instance.view->Drains().zones;
      wrong += same ? 0 : 1;
    }
  }
  return wrong;
}

size_t
SpreadFleet::OutdatedDrains() const
{
  size_t outdated = 0;
  for (const SpreadInstance& instance : this->instances) {
    bool same =
      instance.view && instance.view->Drains().zones ==
                         this->store.DrainedAsOf(this->store.Position());
    outdated += !instance.alive || same ? 0 : 1;
  }
  return outdated;
}

}
