// Log lines of Sync on entries of the store.
#include "tagged/sync.h"

namespace gentianspindle::tagged {

namespace {

// Up to this many changes that come together are logged one by one.
constexpr size_t kMaxServerLines = 50;
// Names of unreadable entries are cut to this length in the log.
constexpr size_t kMaxLoggedNameBytes = 64;

std::string_view
StateName(const steer::ServerChange& aChange)
{
  if (aChange.removed) {
    return "removed";
  }
  if (!aChange.entry) {
    return "unreadable";
  }
  return aChange.entry->draining ? "draining" : "ready";
}

}

void
Sync::LogDrain(std::string_view aZone,
               std::string_view aState,
               const std::string& aSource)
{
  LogLine line("zone_drain");
  line.Text("drained_zone", aZone)
    .Text("state", aState)
    .Text("source", aSource)
    .Number("age_ms", this->DrainsAge(SteadyNow()) / kMillisecond)
    .Number("revision",
            static_cast<int64_t>(this->spread.Drains().position.revision));
  this->events.log(line);
}

void
Sync::ReportUnreadable(EntryKind aKind,
                       std::string_view aName,
                       const StorePosition& aPosition)
{
  if (!this->unreadable.Record(aKind, aName, aPosition)) {
    return;
  }
  LogLine line("entry_unreadable");
  line.Text("kind", kEntryKindNames[static_cast<size_t>(aKind)])
    .Text("name", aName.substr(0, kMaxLoggedNameBytes))
    .Number("revision", static_cast<int64_t>(aPosition.revision));
  this->events.log(line);
}

// Logs each change, or only their number if there are more than
// kMaxServerLines, as usual after a list.
void
Sync::LogServers(std::span<const steer::ServerChange> aChanges,
                 std::string_view aSource)
{
  if (aChanges.size() > kMaxServerLines) {
    LogLine line("servers");
    line.Number("entries", static_cast<int64_t>(aChanges.size()))
      .Text("source", aSource);
    this->events.log(line);
    return;
  }
  for (const steer::ServerChange& change : aChanges) {
    LogLine line("server");
    line.Text("id", change.name)
      .Number("revision", static_cast<int64_t>(change.position.revision))
      .Text("state", StateName(change))
      .Text("source", aSource);
    this->events.log(line);
  }
}

}
