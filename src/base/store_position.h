// A point in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace gentianspindle {

// The store counts its changes in revisions. When it comes back from an older
// copy, it has lost the latest ones and gives their revisions out again, but
// its era rises by one. So positions are ordered by era first.
struct StorePosition
{
  uint64_t era = 0; // 0: before the first era, or not known
  uint64_t revision = 0;

  constexpr StorePosition() = default;
  constexpr StorePosition(uint64_t aEra, uint64_t aRevision)
    : era(aEra)
    , revision(aRevision)
  {
  }

  // The revisions of a store start above 0.
  constexpr bool IsKnown() const { return this->revision > 0; }

  // Takes aEra for an era that is not known.
  constexpr void AssumeEra(uint64_t aEra)
  {
    this->era = this->era == 0 ? aEra : this->era;
  }

  friend constexpr bool operator==(const StorePosition&,
                                   const StorePosition&) = default;
  friend constexpr std::strong_ordering operator<=>(const StorePosition& aLeft,
                                                    const StorePosition& aRight)
  {
    return aLeft.era == aRight.era ? aLeft.revision <=> aRight.revision
                                   : aLeft.era <=> aRight.era;
  }
};

}
