// The store of SpreadFleet: changes of its entries, and its return to a copy.
#include "support/spread_fleet.h"

#include "support/tagged_view.h"

namespace gentianspindle {

void
SpreadStore::PutConfig()
{
  ++this->configVersion;
  this->configRevision = ++this->revision;
}

void
SpreadStore::PutServer(steer::ServerId aId)
{
  steer::ServerChange change = MakeServer(aId);
  change.position = this->Next();
  this->listed[change.name] = change;
  this->history.push_back(std::move(change));
}

void
SpreadStore::RemoveServer(steer::ServerId aId)
{
  steer::ServerChange change = MakeRemoved(aId, 0);
  if (this->listed.erase(change.name) > 0) {
    change.position = this->Next();
    this->history.push_back(std::move(change));
  }
}

void
SpreadStore::ReturnToCopy(Micros aNow)
{
  static_cast<SpreadContent&>(*this) = this->copy;
  ++this->era;
  for (auto& [name, change] : this->listed) {
    change.position.era = this->era;
  }
  for (steer::ServerChange& change : this->history) {
    change.position.era = this->era;
  }
  for (steer::DrainChange& change : this->drainHistory) {
    change.position.era = this->era;
  }
  for (auto& [zone, drainedAt] : this->drained) {
    drainedAt = aNow;
  }
  this->RecordDrained();
  this->configRevision = ++this->revision;
}

void
SpreadStore::SetDrain(const std::string& aZone, bool aDrained, Micros aNow)
{
  if (this->drained.contains(aZone) == aDrained) {
    return;
  }
  if (aDrained) {
    this->drained[aZone] = aNow;
  } else {
    this->drained.erase(aZone);
  }
  this->drainHistory.push_back({ aZone, this->Next(), !aDrained });
  this->RecordDrained();
}

void
SpreadStore::RecordDrained()
{
  std::vector<std::string>& zones = this->drainedAsOf[this->Position()];
  for (const auto& [zone, at] : this->drained) {
    zones.push_back(zone);
  }
}

std::vector<steer::DrainChange>
SpreadStore::ListDrains() const
{
  std::vector<steer::DrainChange> list;
  for (const auto& [zone, at] : this->drained) {
    list.push_back({ zone, this->Position(), false });
  }
  return list;
}

}
